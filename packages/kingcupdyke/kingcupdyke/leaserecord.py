"""
kingcupdyke.leaserecord
~~~~~~~~~~~~~~~~~~~~~~~

The store's object of a lease, and the commands that read and write it.
"""

import json
from math import inf
from typing import NamedTuple

from kingcupdyke.error import DECODE_ERRORS, OptionError

__all__ = ["LeaseCommand", "LeaseRecord", "ReadLease", "WriteLease"]


class LeaseRecord(NamedTuple):
    """The store's object of one lease; each renewal writes it again and changes its version."""

    name: str
    #: Process that holds the lease, or the empty string after it was released.
    owner: str
    #: Fencing number, incremented with each change of owner.
    fence: int
    #: Seconds without a new version after which other processes may take the lease.
    duration_s: float
    #: Count of writes, so that each write changes the object: a store may give an unchanged object
    #: no new version.
    writes: int = 0
    #: Hosts that may confirm the holder while the store is unavailable. All other hosts wait
    #: ``outlives_s`` longer before they take the lease. Empty if all hosts wait the same time.
    members: tuple[str, ...] = ()
    #: Seconds after a write for which confirmations of the members may prolong the lease.
    outlives_s: float = 0.0
    #: Whether the holder may have used its fencing number. Until it has waited for the end of the
    #: previous holder's last use, it does not.
    is_in_use: bool = False

    def encode(self) -> bytes:
        """:return: the record as JSON"""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LeaseRecord":
        """:return: the record
        :raises OptionError: when the value is not a lease record
        """
        try:
            record = cls(**json.loads(value))
            _check_types(record)
            return record._replace(members=tuple(record.members))
        except DECODE_ERRORS as error:
            raise OptionError("lease", value[:100], "give a JSON lease record") from error


def _check_types(record: LeaseRecord) -> None:
    """:raises ValueError: when a field has another type, or a number is negative or not finite"""
    texts = (record.name, record.owner, *record.members)
    if not all(isinstance(each, str) for each in texts):
        raise ValueError("a name, an owner or a member is no text")
    counts = (record.fence, record.writes)
    if not all(isinstance(each, int) and each >= 0 for each in counts):
        raise ValueError("a count is no whole number")
    times_s = (record.duration_s, record.outlives_s)
    if not all(isinstance(each, (int, float)) and 0 <= each < inf for each in times_s):
        raise ValueError("a time is no number of seconds")
    if not isinstance(record.is_in_use, bool):
        raise ValueError("a flag is neither true nor false")


class ReadLease(NamedTuple):
    """Read the lease's object."""

    name: str


class WriteLease(NamedTuple):
    """Write the lease's object if it still has the given version."""

    record: LeaseRecord
    if_version: int


LeaseCommand = ReadLease | WriteLease
