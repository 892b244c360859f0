"""
kingcupdyke.removal
~~~~~~~~~~~~~~~~~~~

Taking an endpoint out of a model's residency record, as a state machine.
"""

from collections.abc import Collection
from typing import NamedTuple

from kingcupdyke.error import Failure
from kingcupdyke.residency import ResidencyRecord, remove_holder

__all__ = [
    "ReadResidency",
    "RemovalCommand",
    "RemovalMachine",
    "RemovalRefused",
    "Removed",
    "WriteResidency",
]


class ReadResidency(NamedTuple):
    """Read a model's residency record."""

    model: str


class WriteResidency(NamedTuple):
    """Write a residency record if it still has a version."""

    record: ResidencyRecord
    if_version: int


class Removed(NamedTuple):
    """The endpoint is out of the record: the model may be drained and unloaded."""

    model: str


class RemovalRefused(NamedTuple):
    """The endpoint must keep the model."""

    model: str
    failure: Failure


RemovalCommand = ReadResidency | WriteResidency | Removed | RemovalRefused


class RemovalMachine:
    """Removes one endpoint from one record; each event returns the next command.

    Only :class:`Removed` allows the unload. A write that the store refused or failed ("not run")
    ends the try: the endpoint keeps the model.

    :param model: name of the model
    :param endpoint: name of the endpoint
    :param needed: confirmed holders that must remain on hosts that stay
    :param leaving: hosts that are known to leave
    """

    def __init__(self, model: str, endpoint: str, needed: int, leaving: Collection[str]) -> None:
        self._model = model
        self._endpoint = endpoint
        self._needed = needed
        self._leaving = leaving

    def start(self) -> RemovalCommand:
        """:return: the first command"""
        return ReadResidency(self._model)

    def residency_read(self, record: ResidencyRecord | None, version: int) -> RemovalCommand:
        """Decide on the record as it is.

        :param record: the record, or None where there is none
        :param version: its version, 0 where there is none
        """
        if record is None or self._endpoint not in record.holders_by_endpoint:
            return Removed(self._model)
        removal = remove_holder(record, self._endpoint, self._needed, self._leaving)
        if removal.is_error():
            return RemovalRefused(self._model, removal.error)
        return WriteResidency(removal.ok, version)

    def residency_written(self) -> RemovalCommand:
        """The write took effect."""
        return Removed(self._model)

    def residency_conflict(self, record: ResidencyRecord | None, version: int) -> RemovalCommand:
        """Another changed the record: decide again on what is there.

        :param record: the record as it is now, or None where there is none
        :param version: its version, 0 where there is none
        """
        return self.residency_read(record, version)

    def residency_unknown(self) -> RemovalCommand:
        """The answer to the write was lost: read back."""
        return ReadResidency(self._model)
