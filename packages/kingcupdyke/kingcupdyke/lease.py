"""
kingcupdyke.lease
~~~~~~~~~~~~~~~~~

A lease, stored as an object of the platform's store, with an expiry and a fencing number.
"""

from kingcupdyke.error import OptionError
from kingcupdyke.leaserecord import LeaseCommand, LeaseRecord, ReadLease, WriteLease
from kingcupdyke.storeera import get_base_fence, name_in_era

__all__ = ["LeaseMachine"]


class LeaseMachine:
    """State machine that takes, renews and releases one lease.

    Each event returns the next command or None; one command is in flight at a time. Clocks of
    different hosts are never compared: an observer treats the lease as expired when it has seen
    the same version for the lease's duration by its own monotonic clock. While the store is
    unavailable the holder keeps its fencing number, since no other process can get a higher one.
    A holder that was paused must renew the lease before it may use its number again.

    A store that comes back from a copy has lost its latest writes, so that nothing that was known
    of the lease is true any more. The lease ends, and each era of the store has an object of its
    own, with fencing numbers above those of earlier eras. It is created only when no holder of an
    earlier era can be left: the lease's duration after all other hosts have seen the era, or after
    the time for which members may prolong a lease.

    The caller must call :meth:`tick` more often than every ``duration_s - renew_s`` seconds and
    must time out a call to the store within that time.

    :param name: name of the lease
    :param owner: unique name of this process, never used before or by another process
    :param duration_s: seconds without renewal after which other processes may take the lease
    :param renew_s: seconds between renewals, or between reads while another process holds the lease
    :param outlives_outage: whether the holder keeps the lease while the store is unavailable; must
        be False if the store may be reachable for another process at that time
    :param earlier_owner_prefix: common prefix of the names of earlier runs of this process; a lease
        that they hold is taken immediately, since they have ended
    :param host: name of this host among the members of a record
    :param outlives_s: seconds after a write for which :meth:`record_proof` may prolong the lease
    :param handover_s: seconds for which the fencing number is not used after the lease was taken
        from a holder that may have used its own until then
    :raises OptionError: when ``renew_s`` is more than half of the duration
    """

    def __init__(
        self,
        name: str,
        owner: str,
        duration_s: float,
        renew_s: float,
        outlives_outage: bool = True,
        earlier_owner_prefix: str = "",
        host: str = "",
        outlives_s: float = 0.0,
        handover_s: float = 0.0,
    ) -> None:
        if not 0 < renew_s <= duration_s / 2:
            raise OptionError("renew_s", renew_s, "give at most half of duration_s")
        self._name = name
        self._owner = owner
        self._duration_s = duration_s
        self._renew_s = renew_s
        self._outlives_outage = outlives_outage
        self._earlier_owners = earlier_owner_prefix
        self._host = host
        self._outlives_s = outlives_s
        self._handover_s = handover_s
        #: Era of the store in which all else that is known of the lease was read.
        self._era = 0
        self._era_seen_s = float("-inf")
        #: Time at which all other hosts had seen the era, or None if they have not yet.
        self._era_shared_s: float | None = None
        #: Greatest era that a peer has reported.
        self._reported_era = 0
        #: Whether all other hosts that may hold the lease have seen the present era.
        self.is_era_shared = True
        #: Time from which on the fencing number may be used.
        self._usable_from_s = float("-inf")
        #: Time at which the last confirmed write was issued.
        self._written_s = float("-inf")
        #: Members of that write and of later ones that may have taken effect.
        self._possible_members: set[str] = set()
        #: Hosts to record as members with the next write.
        self.members: tuple[str, ...] = ()
        self._record: LeaseRecord | None = None
        self._version = 0
        #: Time at which the version was first seen.
        self._first_seen_s = 0.0
        self._is_read = False
        #: Highest fencing number seen, kept in case the object is deleted.
        self._highest_fence = 0
        self._fence: int | None = None
        #: Last time at which this process is proven to have held the lease.
        self._proven_s = 0.0
        #: Fencing number of a write that may have taken effect.
        self._unconfirmed_fence: int | None = None
        #: The command in flight and the time at which it was issued.
        self._command: LeaseCommand | None = None
        self._issued_s = 0.0
        #: Earliest time of the next renewal or read.
        self._next_s = float("-inf")
        self._last_event_s = float("-inf")
        self._is_store_down = False
        self._is_released = False
        #: Whether an expired lease of another owner may be taken.
        self.may_take = True

    @property
    def fence(self) -> int | None:
        """:return: the fencing number as of the last event, or None if the lease is not held"""
        return self._fence

    def fence_at(self, now_s: float) -> int | None:
        """Get the fencing number that is valid now, even if a pause has delayed events.

        :param now_s: time in seconds of the timer service
        :return: the fencing number, or None if the lease is not held or must be renewed first
        """
        return None if self._has_lapsed(now_s) else self._fence

    def may_use(self, now_s: float) -> bool:
        """:return: whether the fencing number may be used, as no previous holder uses its own"""
        return now_s >= self._usable_from_s

    @property
    def era(self) -> int:
        """:return: the store's era in which the lease is held or contended for"""
        return self._era

    def note_era(self, era: int, now_s: float) -> None:
        """Take the store's era into account: in a new one, the lease has to be taken anew.

        :param era: era of the store's last answer; an earlier one than known is ignored
        :param now_s: time in seconds of the timer service
        """
        if era <= self._era:
            return
        self._era = era
        self._era_seen_s = now_s
        self._era_shared_s = None
        self._fence = self._unconfirmed_fence = None
        self._possible_members = set()
        self._record, self._version, self._is_read = None, 0, False
        self._highest_fence = max(self._highest_fence, get_base_fence(era))
        self._next_s = now_s

    def note_peer_era(self, era: int) -> None:
        """Take a report into account that a peer has seen an era of the store.

        A lease of an earlier era can't be relied on until the store confirms it. An era is heeded
        once, so that a wrong report can't end the lease for good.
        """
        if era <= max(self._era, self._reported_era):
            return
        self._reported_era = era
        if self._era and self._fence is not None:
            self._unconfirmed_fence, self._fence = self._fence, None
            self._next_s = float("-inf")

    def note_fence(self, fence: int) -> None:
        """Take a fencing number into account that a peer uses: a later one must be greater."""
        self._highest_fence = max(self._highest_fence, fence)

    @property
    def may_have_written(self) -> bool:
        """:return: whether the lease is held, or a write of it may still take effect"""
        return (
            self._fence is not None
            or isinstance(self._command, WriteLease)
            or (self._unconfirmed_fence is not None)
        )

    def record_proof(self, held_s: float) -> None:
        """Record a proof, from the members instead of the store, that the lease was held.

        :param held_s: time in seconds at which it was held; an earlier one than recorded has no
            effect, and one later than ``outlives_s`` after the last write is limited to that, since
            hosts that are not members may take the lease afterwards
        """
        if self._fence is not None:
            held_s = min(held_s, self._written_s + self._outlives_s)
            self._proven_s = max(self._proven_s, held_s)

    def written_age_s(self, now_s: float) -> float:
        """:return: seconds since the last confirmed write of this process was issued"""
        return now_s - self._written_s

    @property
    def proof_hosts(self) -> frozenset[str]:
        """:return: hosts that must all confirm a proof: all that a stored record may name as
        members
        """
        return frozenset(self._possible_members)

    def proof_age_s(self, now_s: float) -> float:
        """:return: seconds since the last time at which this process provably held the lease"""
        return now_s - self._proven_s

    def tick(self, now_s: float) -> LeaseCommand | None:
        """Renew or read the lease if that is due and no command is in flight.

        :param now_s: time in seconds of the timer service
        """
        self._check_lapse(now_s)
        if self._command is not None or self._is_released or now_s < self._next_s:
            return None
        if self._fence is None:
            return self._issue(ReadLease(self._object_name), now_s)
        return self._write(self._fence, now_s)

    def release(self, now_s: float) -> LeaseCommand | None:
        """Release the lease, so that other processes need not wait for its expiry.

        :param now_s: time in seconds of the timer service
        """
        self._check_lapse(now_s)
        self._is_released = True
        fence = self._fence
        self._fence = None
        if fence is None or self._command is not None:
            return None
        name, writes = self._object_name, self._count_write()
        record = LeaseRecord(name, "", fence, self._duration_s, writes)
        return self._issue(WriteLease(record, self._version), now_s)

    def lease_read(
        self, record: LeaseRecord | None, version: int, now_s: float
    ) -> LeaseCommand | None:
        """Decide on the lease as read: take it, renew it or wait.

        :param record: the object, or None if it does not exist
        :param version: its version, 0 if it does not exist
        :param now_s: time in seconds of the timer service
        """
        self._end_command(now_s)
        self._update_record(record, version, now_s)
        return None if self._is_released else self._decide(now_s)

    def lease_written(self, version: int, now_s: float) -> LeaseCommand | None:
        """The write took effect.

        :param version: the object's new version
        :param now_s: time in seconds of the timer service
        """
        command, issued_s = self._command, self._issued_s
        self._end_command(now_s)
        if not isinstance(command, WriteLease):
            return None
        self._update_record(command.record, version, now_s)
        if self._is_released:
            return None
        # The answer may have been delayed, so the lease counts as held when the write was issued.
        self._fence = command.record.fence
        self._unconfirmed_fence = None
        self._proven_s = issued_s
        self._written_s = issued_s
        self._possible_members = set(command.record.members)
        return None

    def lease_conflict(
        self, record: LeaseRecord | None, version: int, now_s: float
    ) -> LeaseCommand | None:
        """The version has changed: decide on the current lease.

        :param record: the current object, or None if it does not exist
        :param version: its version, 0 if it does not exist
        :param now_s: time in seconds of the timer service
        """
        return self.lease_read(record, version, now_s)

    def store_failed(self, now_s: float, unknown: bool) -> LeaseCommand | None:
        """The store did not answer.

        :param now_s: time in seconds of the timer service
        :param unknown: whether a write may have taken effect
        """
        command = self._command
        self._end_command(now_s)
        self._is_store_down = True
        if unknown and isinstance(command, WriteLease):
            self._unconfirmed_fence = command.record.fence
        return None

    def era_ended(self, now_s: float) -> None:
        """The store answered in a later era than the command was issued in.

        :param now_s: time in seconds of the timer service
        """
        self._end_command(now_s)
        self._next_s = now_s

    @property
    def _object_name(self) -> str:
        return name_in_era(self._name, self._era)

    def _check_lapse(self, now_s: float) -> None:
        if self._has_lapsed(now_s):
            self._unconfirmed_fence = self._fence
            self._fence = None
        self._last_event_s = now_s

    def _has_lapsed(self, now_s: float) -> bool:
        if self._fence is None or now_s - self._proven_s < self._duration_s:
            return False
        is_paused = now_s - self._last_event_s >= self._duration_s - self._renew_s
        return is_paused or not (self._outlives_outage and self._is_store_down)

    def _end_command(self, now_s: float) -> None:
        self._check_lapse(now_s)
        self._command = None
        self._is_store_down = False
        self._next_s = now_s + self._renew_s

    def _update_record(self, record: LeaseRecord | None, version: int, now_s: float) -> None:
        if not self._is_read or version != self._version:
            self._first_seen_s = now_s
        self._is_read = True
        self._highest_fence = max(self._highest_fence, record.fence if record else 0)
        self._record = record
        self._version = version

    def _decide(self, now_s: float) -> LeaseCommand | None:
        record = self._record
        if record is not None and self._is_own(record):
            # Another process may have seen this version for almost the whole duration, so only a
            # renewal proves the lease.
            return self._write(record.fence, now_s)
        self._fence = None
        self._unconfirmed_fence = None
        if record is None:
            return self._create(now_s)
        is_dead = bool(self._earlier_owners) and record.owner.startswith(self._earlier_owners)
        if not record.owner or is_dead:
            # The previous holder may have used its number until it released the lease, or waited
            # itself for the one before it.
            is_handed_over = not (is_dead and record.is_in_use)
            return self._take(record.fence, is_handed_over, now_s)
        expiry_s = record.duration_s
        if record.members and self._host not in record.members:
            # The members may prolong the lease without asking this host.
            expiry_s += record.outlives_s
        remaining_s = expiry_s - (now_s - self._first_seen_s)
        if remaining_s <= 0 and self.may_take:
            return self._take(record.fence, False, now_s)
        if remaining_s > 0:
            self._next_s = min(self._next_s, now_s + remaining_s)
        return None

    def _create(self, now_s: float) -> LeaseCommand | None:
        """Take a lease without a record, unless an earlier era may still have a holder."""
        was_deleted = self._highest_fence > get_base_fence(self._era)
        if not self._era:
            return self._take(0, was_deleted, now_s)
        if self._era_shared_s is None and self.is_era_shared:
            self._era_shared_s = now_s
        free_s = self._era_seen_s + self._duration_s + self._outlives_s
        if self._era_shared_s is not None:
            free_s = min(free_s, self._era_shared_s + self._duration_s)
        if now_s < free_s:
            self._next_s = min(self._next_s, free_s)
        elif self.may_take:
            return self._take(0, was_deleted, now_s)
        return None

    def _take(self, fence: int, is_handed_over: bool, now_s: float) -> LeaseCommand:
        """Take the lease with a greater number than all that are known.

        :param fence: fencing number of the record
        :param is_handed_over: whether another holder may have used its number until now
        """
        self._usable_from_s = now_s + self._handover_s if is_handed_over else now_s
        return self._write(max(fence, self._highest_fence) + 1, now_s)

    def _is_own(self, record: LeaseRecord) -> bool:
        return record.owner == self._owner and record.fence in (
            self._fence,
            self._unconfirmed_fence,
        )

    def _write(self, fence: int, now_s: float) -> LeaseCommand:
        writes = self._count_write()
        record = LeaseRecord(
            self._object_name,
            self._owner,
            fence,
            self._duration_s,
            writes,
            self.members,
            self._outlives_s,
            self.may_use(now_s),
        )
        self._possible_members |= set(self.members)
        return self._issue(WriteLease(record, self._version), now_s)

    def _count_write(self) -> int:
        return 1 if self._record is None else self._record.writes + 1

    def _issue(self, command: LeaseCommand, now_s: float) -> LeaseCommand:
        self._command = command
        self._issued_s = now_s
        return command
