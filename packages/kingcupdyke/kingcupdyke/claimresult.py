"""
kingcupdyke.claimresult
~~~~~~~~~~~~~~~~~~~~~~~

Store commands for buckets of idempotency keys, and the results of claims.
"""

from typing import NamedTuple

from kingcupdyke.error import Failure
from kingcupdyke.keyrecord import KeyBucket, KeyRecord

__all__ = [
    "ClaimResult",
    "Claimed",
    "KeyReused",
    "ReadBucket",
    "Replay",
    "StillRunning",
    "StoreCommand",
    "Unclaimed",
    "UnknownRun",
    "WriteBucket",
]


class ReadBucket(NamedTuple):
    """Read a bucket of key records."""

    name: str


class WriteBucket(NamedTuple):
    """Write a bucket if it still has the given version; 0 creates it."""

    name: str
    bucket: KeyBucket
    if_version: int


StoreCommand = ReadBucket | WriteBucket


class Claimed(NamedTuple):
    """The attempt holds the key and may run the request once."""

    record: KeyRecord


class Replay(NamedTuple):
    """The request has already run; its record holds the complete answer."""

    record: KeyRecord


class StillRunning(NamedTuple):
    """Another attempt holds the key and is not known to have ended."""

    record: KeyRecord


class UnknownRun(NamedTuple):
    """The request may have run, or its answer is no longer stored; it must not run again."""

    record: KeyRecord


class KeyReused(NamedTuple):
    """The key was used before with another request body: an error of the caller, status 422."""

    record: KeyRecord


class Unclaimed(NamedTuple):
    """The key was not claimed; the attempt must never run."""

    failure: Failure


ClaimResult = Claimed | Replay | StillRunning | UnknownRun | KeyReused | Unclaimed
