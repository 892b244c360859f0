"""
kingcupdyke_daemon.operator
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Authentication of operators of a daemon.
"""

from hashlib import sha256
from hmac import compare_digest

__all__ = ["is_operator"]


def is_operator(digest: str, token: bytes) -> bool:
    """Check an operator's token.

    :param digest: hexadecimal SHA-256 of the required token; empty if none is required
    :param token: the token that was sent
    :return: whether the sender is accepted as an operator
    """
    return not digest or compare_digest(sha256(token).hexdigest(), digest.lower())
