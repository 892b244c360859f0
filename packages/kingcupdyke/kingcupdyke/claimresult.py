"""
kingcupdyke.claimresult
~~~~~~~~~~~~~~~~~~~~~~~

Commands to the store for idempotency keys, and the results of claims.
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
    """Read a bucket."""

    name: str


class WriteBucket(NamedTuple):
    """Write a bucket if it still has a version; 0 creates it."""

    name: str
    bucket: KeyBucket
    if_version: int


StoreCommand = ReadBucket | WriteBucket


class Claimed(NamedTuple):
    """The attempt holds the key and may run once."""

    record: KeyRecord


class Replay(NamedTuple):
    """The work ran before; its record holds the whole answer."""

    record: KeyRecord


class StillRunning(NamedTuple):
    """Another attempt holds the key and is not known to have ended."""

    record: KeyRecord


class UnknownRun(NamedTuple):
    """The work may have run, or has run and its answer is no longer kept; it is not run again."""

    record: KeyRecord


class KeyReused(NamedTuple):
    """The key came before with another body: an error of the caller, status 422."""

    record: KeyRecord


class Unclaimed(NamedTuple):
    """The key was not claimed; the attempt must never run."""

    failure: Failure


ClaimResult = Claimed | Replay | StillRunning | UnknownRun | KeyReused | Unclaimed
