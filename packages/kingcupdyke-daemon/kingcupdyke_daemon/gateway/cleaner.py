"""
kingcupdyke_daemon.gateway.cleaner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Taking endpoints that are gone out of the records of who holds which model.
"""

import logging

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
#: Seconds between readings of all records.
_CLEAN_S = 5.0
#: Seconds from the first look until what is not seen may count as gone.
_WARM_UP_S = 15.0


class HolderCleaner:
    """Drops dead holders of one region, so that no removal counts on them.

    To drop a holder that lives after all only makes removals harder.

    :param region: the region that is cleaned
    :param directory: links to all endpoints
    :param store: the platform's store
    """

    def __init__(self, region: str, directory: EndpointDirectory, store: StoreClient) -> None:
        self._region = region
        self._directory = directory
        self._store = store
        self._begun_s: float | None = None
        self._next_s = 0.0

    async def clean(self, now_s: float) -> None:
        """Read all records if it is time to, and drop holders that are gone.

        :param now_s: time in seconds of the timer service
        """
        if self._begun_s is None:
            self._begun_s = now_s
        if now_s < max(self._next_s, self._begun_s + _WARM_UP_S):
            return
        self._next_s = now_s + _CLEAN_S
        listed = await self._store.list(_RESIDENCY_KIND)
        if listed.is_ok():
            for found in listed.ok[1]:
                await self._clean_one(found, now_s)

    async def _clean_one(self, found: StoreObject, now_s: float) -> None:
        record = decode_residency(found.value)
        cleaned = self._drop_gone(record, now_s)
        if cleaned == record:
            return
        gone = sorted(record.holders_by_endpoint.keys() - cleaned.holders_by_endpoint.keys())
        _LOGGER.warning("holders gone: step=order model=%s hosts=%s", record.model, ",".join(gone))
        # A conflict or a lost answer is left to the next round.
        await self._store.put(_RESIDENCY_KIND, found.name, encode_residency(cleaned), found.version)

    def _drop_gone(self, record: ResidencyRecord, now_s: float) -> ResidencyRecord:
        cleaned = record
        for endpoint, holder in record.holders_by_endpoint.items():
            if holder.region == self._region and self._directory.is_gone(holder.host, now_s):
                cleaned = drop_incarnation(cleaned, endpoint, holder.incarnation)
        return cleaned
