"""
kingcupdyke.forwarding.callertable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the caller of a request by its API key.
"""

import re
from hashlib import sha256
from hmac import compare_digest
from typing import NamedTuple

from kingcupdyke.forwarding.quotaspec import QuotaSpec

__all__ = ["MAX_KEY_CHARS", "Caller", "CallerTable", "hash_key", "is_valid_key"]

#: Limit of characters in a key.
MAX_KEY_CHARS = 4096
#: A key: visible ASCII characters.
KEY = re.compile(rf"[!-~]{{1,{MAX_KEY_CHARS}}}", re.ASCII)
#: Authentication scheme that precedes a key, in lower case.
SCHEME = "bearer"
#: Compared with the hash of a key that is not known, so that each request costs one comparison.
NO_HASH = bytes(sha256().digest_size)


class Caller(NamedTuple):
    """Someone who sends requests with one of its own keys."""

    name: str
    #: SHA-256 of each of its keys.
    key_hashes: frozenset[bytes]
    #: Rank of its requests, 0 is the most urgent; None leaves it to the route.
    priority: int | None = None
    #: None if its use is not limited.
    quota: QuotaSpec | None = None


class CallerTable:
    """The callers of one version of the configuration.

    Keys are held as hashes only, so that no dump of the process's state shows one.

    :param callers: each name and each key occurs once
    """

    def __init__(self, callers: tuple[Caller, ...]) -> None:
        self.callers_by_name = {each.name: each for each in callers}
        self._entry_by_hash: dict[bytes, tuple[bytes, Caller | None]] = {
            key_hash: (key_hash, caller) for caller in callers for key_hash in caller.key_hashes
        }

    def find(self, authorization: str) -> Caller | None:
        """:return: the caller whose key a request carries, or None if it has no known key

        :param authorization: value of the Authorization header, or its values separated by line
            feeds; empty if there is none
        """
        scheme, _, key = authorization.partition(" ")
        key = key.strip(" ")
        if scheme.lower() != SCHEME or not is_valid_key(key):
            return None
        key_hash = hash_key(key)
        known_hash, caller = self._entry_by_hash.get(key_hash, (NO_HASH, None))
        return caller if compare_digest(key_hash, known_hash) else None

    @staticmethod
    def describe_fault(authorization: str) -> str:
        """:return: why a request has no known key; the text does not contain the key"""
        scheme, _, key = authorization.partition(" ")
        if not authorization:
            return "no API key"
        if "\n" in authorization:
            return "more than one Authorization header"
        if scheme.lower() != SCHEME:
            return "another authorization scheme than Bearer"
        return "unknown API key" if is_valid_key(key.strip(" ")) else "malformed API key"


def is_valid_key(key: str) -> bool:
    """:return: whether a text can be sent as a key"""
    return KEY.fullmatch(key) is not None


def hash_key(key: str) -> bytes:
    """:return: the hash by which a key is held"""
    return sha256(key.encode("ascii")).digest()
