"""
kingcupdyke.lease
~~~~~~~~~~~~~~~~~

A lease as an object of the platform's store, with an expiry and a fencing number.
"""

import json
from typing import NamedTuple

from kingcupdyke.error import OptionError

__all__ = ["LeaseCommand", "LeaseMachine", "LeaseRecord", "ReadLease", "WriteLease"]


class LeaseRecord(NamedTuple):
    """The store's object of one lease; each renewal writes it again and changes its version."""

    name: str
    #: Process that holds it, or the empty string when it was given back.
    owner: str
    #: Grows by one with each change of owner.
    fence: int
    #: Seconds without a new version after which others may take it.
    duration_s: float
    #: Number of the write: a store may take an unchanged object for no write at all.
    writes: int = 0
    #: Hosts that let the holder go on while the store is away; for others it takes longer until
    #: they may take the lease. None where all are treated alike.
    members: tuple[str, ...] = ()
    #: Seconds after a write for which the holder may go on by their word.
    outlives_s: float = 0.0

    def encode(self) -> bytes:
        """:return: the record as JSON"""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LeaseRecord":
        """:return: the record
        :raises OptionError: when the value is no lease record
        """
        try:
            record = cls(**json.loads(value))
            return record._replace(members=tuple(record.members))
        except (ValueError, TypeError) as error:
            raise OptionError("lease", value[:100], "give a JSON lease record") from error


class ReadLease(NamedTuple):
    """Read the lease's object."""

    name: str


class WriteLease(NamedTuple):
    """Write the lease's object if it still has a version."""

    record: LeaseRecord
    if_version: int


LeaseCommand = ReadLease | WriteLease


class LeaseMachine:
    """Takes, renews and judges one lease.

    Each event returns the next command or None; one command is under way at a time. Clocks of
    different hosts are never compared: an observer counts the lease as expired when it has seen
    the same version for the lease's duration by its own monotonic clock. While the store is away
    the holder goes on with its number, since no rival can get a higher one. A holder that was
    paused reads the lease again before its number counts. The caller ticks more often than
    ``duration_s - renew_s`` and gives up a call to the store within that time.

    :param name: name of the lease
    :param owner: name of this process, never used by another or before
    :param duration_s: seconds without renewal after which others may take the lease
    :param renew_s: seconds between renewals, or between reads while another holds it
    :param outlives_outage: whether the holder goes on while the store is away; not where the
        store may serve a rival meanwhile
    :param earlier_owners: how the names of earlier runs of this process begin; they are dead, so
        their lease is taken over at once
    :param host: name of this host among the members of a record
    :param outlives_s: seconds after a write for which :meth:`prove` may prolong the lease
    :raises OptionError: when two renewals do not fit in the duration
    """

    def __init__(
        self,
        name: str,
        owner: str,
        duration_s: float,
        renew_s: float,
        outlives_outage: bool = True,
        earlier_owners: str = "",
        host: str = "",
        outlives_s: float = 0.0,
    ) -> None:
        if not 0 < renew_s <= duration_s / 2:
            raise OptionError("renew_s", renew_s, "give at most half of duration_s")
        self._name = name
        self._owner = owner
        self._duration_s = duration_s
        self._renew_s = renew_s
        self._outlives_outage = outlives_outage
        self._earlier_owners = earlier_owners
        self._host = host
        self._outlives_s = outlives_s
        #: Time at which the last write that took effect was asked for.
        self._written_s = float("-inf")
        #: Members of that write and of later ones that may have taken effect.
        self._relied_on: set[str] = set()
        #: Hosts to name as members in the next write.
        self.members: tuple[str, ...] = ()
        self._record: LeaseRecord | None = None
        self._version = 0
        #: Time at which the version was first seen.
        self._seen_s = 0.0
        self._is_read = False
        #: Highest fencing number seen, which outlives a deleted object.
        self._highest_fence = 0
        self._fence: int | None = None
        #: Time of the last proof that this process held the lease.
        self._proved_s = 0.0
        #: Fencing number of a write that may have taken effect.
        self._tried_fence: int | None = None
        self._asked: LeaseCommand | None = None
        self._asked_s = 0.0
        self._next_s = float("-inf")
        self._event_s = float("-inf")
        self._is_store_down = False
        self._is_released = False
        #: Whether an expired lease of another owner may be taken.
        self.may_take = True

    @property
    def fence(self) -> int | None:
        """:return: the fencing number as of the last event, or None when the lease is not held"""
        return self._fence

    def fence_at(self, now_s: float) -> int | None:
        """Give the number to propose with, also when events were held up by a pause.

        :param now_s: time in seconds of the timer service
        :return: the fencing number, or None when the lease is not held or has to be read first
        """
        return None if self._has_lapsed(now_s) else self._fence

    @property
    def may_have_written(self) -> bool:
        """:return: whether the lease is held, or a write of it may still take effect"""
        return (
            self._fence is not None
            or isinstance(self._asked, WriteLease)
            or (self._tried_fence is not None)
        )

    def prove(self, held_s: float) -> None:
        """Take a proof, from elsewhere than the store, that the lease was held at a time.

        :param held_s: time in seconds; an older one than known changes nothing, and one too long
            after the last write counts no further than those who were not members wait
        """
        if self._fence is not None:
            held_s = min(held_s, self._written_s + self._outlives_s)
            self._proved_s = max(self._proved_s, held_s)

    def written_age_s(self, now_s: float) -> float:
        """:return: seconds since the store last took a write of this process"""
        return now_s - self._written_s

    @property
    def proof_hosts(self) -> frozenset[str]:
        """:return: hosts that must all agree for a proof: each that may count itself a member"""
        return frozenset(self._relied_on)

    def proof_age_s(self, now_s: float) -> float:
        """:return: seconds since the last proof that this process held the lease"""
        return now_s - self._proved_s

    def tick(self, now_s: float) -> LeaseCommand | None:
        """Renew, read or take the lease when it is time to.

        :param now_s: time in seconds of the timer service
        """
        self._note(now_s)
        if self._asked is not None or self._is_released or now_s < self._next_s:
            return None
        if self._fence is None:
            return self._ask(ReadLease(self._name), now_s)
        return self._write(self._fence, now_s)

    def release(self, now_s: float) -> LeaseCommand | None:
        """Give the lease back, so that others need not wait for its expiry.

        :param now_s: time in seconds of the timer service
        """
        self._note(now_s)
        self._is_released = True
        fence = self._fence
        self._fence = None
        if fence is None or self._asked is not None:
            return None
        record = LeaseRecord(self._name, "", fence, self._duration_s, self._count_write())
        return self._ask(WriteLease(record, self._version), now_s)

    def lease_read(
        self, record: LeaseRecord | None, version: int, now_s: float
    ) -> LeaseCommand | None:
        """Judge the lease as it is.

        :param record: the object, or None where there is none
        :param version: its version, 0 where there is none
        :param now_s: time in seconds of the timer service
        """
        self._answer(now_s)
        self._see(record, version, now_s)
        return None if self._is_released else self._judge(now_s)

    def lease_written(self, version: int, now_s: float) -> LeaseCommand | None:
        """The write took effect.

        :param version: the object's new version
        :param now_s: time in seconds of the timer service
        """
        command, asked_s = self._asked, self._asked_s
        self._answer(now_s)
        if not isinstance(command, WriteLease):
            return None
        self._see(command.record, version, now_s)
        if self._is_released:
            return None
        # The answer may be old: the lease is proved from when the write was asked for.
        self._fence = command.record.fence
        self._tried_fence = None
        self._proved_s = asked_s
        self._written_s = asked_s
        self._relied_on = set(command.record.members)
        return None

    def lease_conflict(
        self, record: LeaseRecord | None, version: int, now_s: float
    ) -> LeaseCommand | None:
        """The write lost: judge the lease as it is.

        :param record: the object as it is now, or None where there is none
        :param version: its version, 0 where there is none
        :param now_s: time in seconds of the timer service
        """
        return self.lease_read(record, version, now_s)

    def store_failed(self, now_s: float, unknown: bool) -> LeaseCommand | None:
        """The store did not answer.

        :param now_s: time in seconds of the timer service
        :param unknown: whether a write may have taken effect
        """
        command = self._asked
        self._answer(now_s)
        self._is_store_down = True
        if unknown and isinstance(command, WriteLease):
            self._tried_fence = command.record.fence
        return None

    def _note(self, now_s: float) -> None:
        if self._has_lapsed(now_s):
            self._tried_fence = self._fence
            self._fence = None
        self._event_s = now_s

    def _has_lapsed(self, now_s: float) -> bool:
        if self._fence is None or now_s - self._proved_s < self._duration_s:
            return False
        is_paused = now_s - self._event_s >= self._duration_s - self._renew_s
        return is_paused or not (self._outlives_outage and self._is_store_down)

    def _answer(self, now_s: float) -> None:
        self._note(now_s)
        self._asked = None
        self._is_store_down = False
        self._next_s = now_s + self._renew_s

    def _see(self, record: LeaseRecord | None, version: int, now_s: float) -> None:
        if not self._is_read or version != self._version:
            self._seen_s = now_s
        self._is_read = True
        self._highest_fence = max(self._highest_fence, record.fence if record else 0)
        self._record = record
        self._version = version

    def _judge(self, now_s: float) -> LeaseCommand | None:
        record = self._record
        if record is not None and self._is_own(record):
            # A rival may have watched this version for long: only a renewal proves the lease.
            return self._write(record.fence, now_s)
        self._fence = None
        self._tried_fence = None
        if record is None:
            return self._write(self._highest_fence + 1, now_s)
        is_dead = self._earlier_owners and record.owner.startswith(self._earlier_owners)
        is_free = not record.owner or is_dead
        patience_s = record.duration_s
        if record.members and self._host not in record.members:
            # The holder may go on without this host's word.
            patience_s += record.outlives_s
        left_s = patience_s - (now_s - self._seen_s)
        if is_free or (left_s <= 0 and self.may_take):
            return self._write(record.fence + 1, now_s)
        if left_s > 0:
            self._next_s = min(self._next_s, now_s + left_s)
        return None

    def _is_own(self, record: LeaseRecord) -> bool:
        return record.owner == self._owner and record.fence in (self._fence, self._tried_fence)

    def _write(self, fence: int, now_s: float) -> LeaseCommand:
        writes = self._count_write()
        record = LeaseRecord(
            self._name,
            self._owner,
            fence,
            self._duration_s,
            writes,
            self.members,
            self._outlives_s,
        )
        self._relied_on |= set(self.members)
        return self._ask(WriteLease(record, self._version), now_s)

    def _count_write(self) -> int:
        return 1 if self._record is None else self._record.writes + 1

    def _ask(self, command: LeaseCommand, now_s: float) -> LeaseCommand:
        self._asked = command
        self._asked_s = now_s
        return command
