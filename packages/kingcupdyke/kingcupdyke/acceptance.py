"""
kingcupdyke.acceptance
~~~~~~~~~~~~~~~~~~~~~~

Getting one change accepted, whatever happens to the answers of the store.
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
    """Read the changes after a version, before anything is written."""

    after_version: int


class CreateChange(NamedTuple):
    """Create the change's object where there is none."""

    change: ConfigChange


class ReadBack(NamedTuple):
    """Read the changes after a version, to learn what a write has done."""

    after_version: int
    #: Readings before this one; each should wait longer than the one before.
    tries: int


class Applied(NamedTuple):
    """The change is accepted."""

    version: int


class Conflict(NamedTuple):
    """Others changed the rules first; the own change is not applied and never will be."""

    #: What the others changed, in order.
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
    """Asks for one command after the other until it has a result.

    The change's object is created only where there is none, so that of all changes
    for one version the store takes one; creating it again with the same id is
    idempotent. After a lost answer the log is read back: the own id proves that the
    change is applied, a rival's that it is not. Where neither is there, a late write
    might still come, so the change is created once more instead of guessing.

    :param change_id: unique id of the change
    :param author: who makes the change
    :param base_version: version that the operator read
    :param delta: what the change does
    :param most_tries: readings back before the outcome is left unknown
    """

    def __init__(
        self,
        change_id: str,
        author: str,
        base_version: int,
        delta: SnapshotDelta,
        most_tries: int = 4,
    ) -> None:
        self._change = ConfigChange(base_version + 1, change_id, author, delta.puts, delta.removes)
        self._base_version = base_version
        self._most_tries = most_tries
        self._tries = 0
        self._last: AcceptCommand = ReadHead(base_version)
        #: Set while an own write may have taken effect or still may.
        self._doubt: Failure | None = None

    def start(self) -> AcceptCommand:
        """:return: the first command"""
        return self._last

    def hear_log(
        self, head_version: int, changes: Sequence[ConfigChange]
    ) -> AcceptCommand | AcceptResult:
        """Take what ReadHead or ReadBack asked for.

        :param head_version: highest version in the log
        :param changes: the changes after the base version
        """
        for change in changes:
            if change.change_id == self._change.change_id:
                return Applied(change.version)
        if changes:
            return Conflict(tuple(changes))
        if head_version < self._base_version:
            # Writing on would leave a hole in the log that no process gets over.
            return self.hear_failure(_fail(f"there is no version {self._base_version}"))
        return self._ask(CreateChange(self._change))

    def hear_created(self) -> AcceptResult:
        """Take the store's word that the change was written."""
        return Applied(self._change.version)

    def hear_taken(self) -> AcceptCommand | AcceptResult:
        """Take the store's word that there is an object already, the own one or a rival's."""
        return self._read_back(_fail(f"version {self._change.version} is taken"))

    def hear_failure(self, failure: Failure) -> AcceptCommand | AcceptResult:
        """Take a failure of the last command."""
        wrote = isinstance(self._last, CreateChange) and failure.outcome is Outcome.UNKNOWN
        if self._doubt is None and not wrote:
            return NotApplied(failure)
        return self._read_back(failure)

    def _ask(self, command: AcceptCommand) -> AcceptCommand:
        self._last = command
        return command

    def _read_back(self, failure: Failure) -> AcceptCommand | AcceptResult:
        self._doubt = failure
        if self._tries >= self._most_tries:
            return UnknownOutcome(self._change.change_id, failure)
        self._tries += 1
        return self._ask(ReadBack(self._base_version, self._tries))


def _fail(reason: str) -> Failure:
    return Failure(Outcome.NOT_RUN, Step.CONFIGURE, "store", reason)
