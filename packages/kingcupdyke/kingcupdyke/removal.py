"""
kingcupdyke.removal
~~~~~~~~~~~~~~~~~~~

State machine that removes an endpoint from a model's residency record.
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
    """Write a residency record if it still has the given version."""

    record: ResidencyRecord
    if_version: int


class Removed(NamedTuple):
    """The record no longer names the endpoint: the model may be drained and unloaded."""

    model: str


class RemovalRefused(NamedTuple):
    """The endpoint must keep the model."""

    model: str
    failure: Failure


RemovalCommand = ReadResidency | WriteResidency | Removed | RemovalRefused


class RemovalMachine:
    """Removes one endpoint from one record; each event returns the next command.

    Only :class:`Removed` allows the unload. If the store rejects or fails a command ("not run"),
    the attempt ends and the endpoint keeps the model.

    :param model: name of the model
    :param endpoint: name of the endpoint
    :param needed: confirmed holders that must remain on hosts that are not leaving
    :param leaving: hosts known to be leaving
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
        """Decide on the record as read.

        :param record: the record, or None if it does not exist
        :param version: its version, 0 if it does not exist
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
        """The record was changed by another process: decide again on the current one.

        :param record: the current record, or None if it does not exist
        :param version: its version, 0 if it does not exist
        """
        return self.residency_read(record, version)

    def residency_unknown(self) -> RemovalCommand:
        """The answer to the write was lost: read the record back."""
        return ReadResidency(self._model)
