"""
kingcupdyke_daemon.operator
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Who may give operators' orders to a daemon.
"""

from hashlib import sha256
from hmac import compare_digest

__all__ = ["is_operator"]


def is_operator(digest: str, token: bytes) -> bool:
    """Check an operator's token.

    :param digest: hexadecimal SHA-256 of the token that the settings ask for; empty: none
    :param token: what the operator has sent
    :return: whether the operator's orders are taken
    """
    return not digest or compare_digest(sha256(token).hexdigest(), digest.lower())
