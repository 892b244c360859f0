"""
kingcupdyke.acceptance
~~~~~~~~~~~~~~~~~~~~~~

Applies one configuration change at most once and determines its outcome if answers are lost.
"""

from collections.abc import Sequence
from typing import NamedTuple

from kingcupdyke.config import ConfigChange
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.rulesnapshot import SnapshotDelta

__all__ = [
    "AcceptCommand",
    "AcceptMachine",
    "AcceptResult",
    "Applied",
    "Conflict",
    "CreateChange",
    "NotApplied",
    "ReadBack",
    "ReadHead",
    "UnknownOutcome",
]


class ReadHead(NamedTuple):
    """Read the log after a version, before anything is written."""

    after_version: int


class CreateChange(NamedTuple):
    """Create the change's object; the store rejects the write if the object exists."""

    change: ConfigChange


class ReadBack(NamedTuple):
    """Read the log after a version, to find out whether a write took effect."""

    after_version: int
    #: Number of this read, from 1; the delay before it should grow with the number.
    read_number: int


class Applied(NamedTuple):
    """The change is accepted."""

    version: int


class Conflict(NamedTuple):
    """Another change took the version; this change is not applied and never will be."""

    #: The changes after the base version, in order.
    changes: tuple[ConfigChange, ...]


class NotApplied(NamedTuple):
    """The change is not applied and never will be."""

    failure: Failure


class UnknownOutcome(NamedTuple):
    """The change may or may not be accepted."""

    change_id: str
    failure: Failure


AcceptCommand = ReadHead | CreateChange | ReadBack
AcceptResult = Applied | Conflict | NotApplied | UnknownOutcome


class AcceptMachine:
    """State machine that applies a change; each event returns the next command or the result.

    The change's object is created only if it does not exist, so the store accepts exactly
    one change per version; creating it again with the same id is idempotent. After a lost
    answer the log is read back: if it holds this change's id, the change is applied; if it
    holds another id for the version, it is not. If it holds neither, the lost write may
    still arrive, so the change is created once more.

    :param change_id: unique id of the change
    :param author: who makes the change
    :param base_version: version that the operator read
    :param delta: rules that the change adds, replaces and removes
    :param max_read_backs: reads of the log after a write before the outcome is reported as unknown
    """

    def __init__(
        self,
        change_id: str,
        author: str,
        base_version: int,
        delta: SnapshotDelta,
        max_read_backs: int = 4,
    ) -> None:
        self._change = ConfigChange(base_version + 1, change_id, author, delta.puts, delta.removes)
        self._base_version = base_version
        self._max_read_backs = max_read_backs
        self._read_backs = 0
        self._last_command: AcceptCommand = ReadHead(base_version)
        #: Last failure after a write that may have taken effect; None before such a write.
        self._unresolved: Failure | None = None

    def start(self) -> AcceptCommand:
        """:return: the first command"""
        return self._last_command

    def log_read(
        self, head_version: int, changes: Sequence[ConfigChange]
    ) -> AcceptCommand | AcceptResult:
        """Handle the result of ReadHead or ReadBack.

        :param head_version: highest version in the log
        :param changes: the changes after the base version
        """
        for change in changes:
            if change.change_id == self._change.change_id:
                return Applied(change.version)
        if changes:
            return Conflict(tuple(changes))
        if head_version < self._base_version:
            # A write here would leave a gap in the version numbers, which no process can apply.
            return self.command_failed(_make_failure(f"there is no version {self._base_version}"))
        return self._issue(CreateChange(self._change))

    def change_created(self) -> AcceptResult:
        """The store has written the change."""
        return Applied(self._change.version)

    def version_taken(self) -> AcceptCommand | AcceptResult:
        """The object exists already, from this change or from another one."""
        return self._read_back(_make_failure(f"version {self._change.version} is taken"))

    def command_failed(self, failure: Failure) -> AcceptCommand | AcceptResult:
        """The last command failed."""
        may_have_written = (
            isinstance(self._last_command, CreateChange) and failure.outcome is Outcome.UNKNOWN
        )
        if self._unresolved is None and not may_have_written:
            return NotApplied(failure)
        return self._read_back(failure)

    def _issue(self, command: AcceptCommand) -> AcceptCommand:
        self._last_command = command
        return command

    def _read_back(self, failure: Failure) -> AcceptCommand | AcceptResult:
        self._unresolved = failure
        if self._read_backs >= self._max_read_backs:
            return UnknownOutcome(self._change.change_id, failure)
        self._read_backs += 1
        return self._issue(ReadBack(self._base_version, self._read_backs))


def _make_failure(reason: str) -> Failure:
    return Failure(Outcome.NOT_RUN, Step.CONFIGURE, "store", reason)
