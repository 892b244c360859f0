"""
kingcupdyke.residency
~~~~~~~~~~~~~~~~~~~~~

The record of the endpoints that hold a model, and changes of it that keep the model reachable.
"""

import json
from collections.abc import Collection
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.error import DECODE_ERRORS, Failure, OptionError, Outcome, Step

__all__ = [
    "Holder",
    "ResidencyRecord",
    "add_holder",
    "count_staying",
    "decode_residency",
    "drop_incarnation",
    "encode_residency",
    "mark_leaving",
    "remove_holder",
]


class Holder(NamedTuple):
    """An endpoint on which a model is confirmed to be resident."""

    #: Incarnation of the engine; a restart starts a new one and empties the memory.
    incarnation: str
    host: str
    data_centre: str
    region: str
    #: Whether the host is leaving.
    leaving: bool = False


class ResidencyRecord(NamedTuple):
    """The store's object of one model; each change of it is a conditional update."""

    model: str
    holders_by_endpoint: dict[str, Holder]


def encode_residency(record: ResidencyRecord) -> bytes:
    """:return: the record as JSON, the same for equal records"""
    holders = {name: each._asdict() for name, each in record.holders_by_endpoint.items()}
    fields = {"model": record.model, "holders_by_endpoint": holders}
    return json.dumps(fields, separators=(",", ":"), sort_keys=True).encode()


def decode_residency(value: bytes) -> ResidencyRecord:
    """:return: the record
    :raises OptionError: when the value is not a residency record
    """
    try:
        fields = json.loads(value)
        holders = fields["holders_by_endpoint"].items()
        return ResidencyRecord(fields["model"], {name: Holder(**each) for name, each in holders})
    except DECODE_ERRORS as error:
        raise OptionError("residency", value[:100], "give a JSON residency record") from error


def add_holder(record: ResidencyRecord, endpoint: str, holder: Holder) -> ResidencyRecord:
    """Add an endpoint after its engine confirmed the load.

    :param record: the model's record
    :param endpoint: name of the endpoint
    :param holder: its engine and host; the mark of a leaving host is kept
    :return: the record to write
    """
    known = record.holders_by_endpoint.get(endpoint)
    if known is not None and known.host == holder.host and known.leaving:
        holder = holder._replace(leaving=True)
    return record._replace(holders_by_endpoint=record.holders_by_endpoint | {endpoint: holder})


def count_staying(
    record: ResidencyRecord, leaving: Collection[str], without: str | None = None
) -> int:
    """Count the confirmed holders on hosts that are not leaving.

    :param record: the model's record
    :param leaving: hosts known to be leaving, in addition to those marked in the record
    :param without: an endpoint to leave out of the count
    """
    return sum(
        not holder.leaving and holder.host not in leaving
        for endpoint, holder in record.holders_by_endpoint.items()
        if endpoint != without
    )


def remove_holder(
    record: ResidencyRecord, endpoint: str, needed: int, leaving: Collection[str]
) -> Result[ResidencyRecord, Failure]:
    """Remove an endpoint before its engine unloads the model.

    The unload may be sent to the engine only after the returned record has been written by a
    conditional update against the version at which ``record`` was read.

    :param record: the model's record
    :param endpoint: name of the endpoint
    :param needed: holders that must remain; at least one must remain in any case
    :param leaving: hosts known to be leaving
    :return: the record to write, unchanged if the endpoint is not a holder, or a failure if too
        few holders would remain
    """
    if endpoint not in record.holders_by_endpoint:
        return Ok(record)
    staying = count_staying(record, leaving, without=endpoint)
    min_staying = max(1, needed)
    if staying < min_staying:
        reason = f"{record.model}: {staying} of {min_staying} replicas would remain"
        return Error(Failure(Outcome.NOT_RUN, Step.ORDER, endpoint, reason))
    return Ok(_without_holder(record, endpoint))


def drop_incarnation(record: ResidencyRecord, endpoint: str, incarnation: str) -> ResidencyRecord:
    """Remove an endpoint whose engine has lost its memory.

    The model is gone from this engine, so the endpoint is removed even if no holder remains;
    the model must then be loaded again.

    :param record: the model's record
    :param endpoint: name of the endpoint
    :param incarnation: the incarnation that has ended; a holder of a later one is kept
    :return: the record to write
    """
    holder = record.holders_by_endpoint.get(endpoint)
    if holder is None or holder.incarnation != incarnation:
        return record
    return _without_holder(record, endpoint)


def mark_leaving(record: ResidencyRecord, host: str, leaving: bool = True) -> ResidencyRecord:
    """Mark the holders on a leaving host, so that removals elsewhere do not count them.

    :param record: the model's record
    :param host: name of the host
    :param leaving: False if the host is no longer leaving
    :return: the record to write
    """
    holders = {
        name: each._replace(leaving=leaving) if each.host == host else each
        for name, each in record.holders_by_endpoint.items()
    }
    return record._replace(holders_by_endpoint=holders)


def _without_holder(record: ResidencyRecord, endpoint: str) -> ResidencyRecord:
    holders = {name: each for name, each in record.holders_by_endpoint.items() if name != endpoint}
    return record._replace(holders_by_endpoint=holders)
