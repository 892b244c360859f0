"""
kingcupdyke_daemon.gateway.cleaner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Removal of endpoints that are gone from the residency records in the store.
"""

import logging

from kingcupdyke.error import OptionError
from kingcupdyke.residency import (
    ResidencyRecord,
    decode_residency,
    drop_incarnation,
    encode_residency,
)
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_wire.store import StoreClient, StoreObject

__all__ = ["HolderCleaner"]

_LOGGER = logging.getLogger(__name__)
#: Kind of the objects that list the holders of a model.
_RESIDENCY_KIND = "residency"
#: Interval between passes over all residency records.
_CLEAN_INTERVAL_S = 5.0
#: Time from the first call in which no holder is dropped, as hosts may not be listed yet.
_WARM_UP_S = 15.0


class HolderCleaner:
    """Drops dead holders of one region from the residency records.

    An unload requires that other endpoints hold the model, and must not count on a dead holder.
    Dropping a live holder by mistake is safe, as it only makes unloads more restricted.

    :param region: the region whose holders are checked
    :param directory: links to all endpoints
    :param store: the platform's store
    """

    def __init__(self, region: str, directory: EndpointDirectory, store: StoreClient) -> None:
        self._region = region
        self._directory = directory
        self._store = store
        self._first_call_s: float | None = None
        self._next_pass_s = 0.0

    async def clean(self, now_s: float) -> None:
        """Read all records once per interval, and drop holders that are gone.

        :param now_s: time in seconds of the timer service
        """
        if self._first_call_s is None:
            self._first_call_s = now_s
        if now_s < max(self._next_pass_s, self._first_call_s + _WARM_UP_S):
            return
        self._next_pass_s = now_s + _CLEAN_INTERVAL_S
        listed = await self._store.list(_RESIDENCY_KIND)
        if listed.is_ok():
            for stored in listed.ok[1]:
                await self._clean_record(stored, now_s)

    async def _clean_record(self, stored: StoreObject, now_s: float) -> None:
        try:
            record = decode_residency(stored.value)
        except OptionError as error:
            _LOGGER.warning("holders unreadable: step=order model=%s: %s", stored.name, error)
            return
        cleaned = self._drop_gone_holders(record, now_s)
        if cleaned == record:
            return
        gone = sorted(record.holders_by_endpoint.keys() - cleaned.holders_by_endpoint.keys())
        _LOGGER.warning("holders gone: step=order model=%s hosts=%s", record.model, ",".join(gone))
        # After a conflict or a lost answer, the next pass tries again.
        await self._store.put(
            _RESIDENCY_KIND, stored.name, encode_residency(cleaned), stored.version
        )

    def _drop_gone_holders(self, record: ResidencyRecord, now_s: float) -> ResidencyRecord:
        cleaned = record
        for endpoint, holder in record.holders_by_endpoint.items():
            if holder.region == self._region and self._directory.is_gone(holder.host, now_s):
                cleaned = drop_incarnation(cleaned, endpoint, holder.incarnation)
        return cleaned
