"""
kingcupdyke_daemon.forwarder.storewatcher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the objects of one kind in the store.
"""

import logging
from collections.abc import Callable
from random import Random

from anyio import sleep

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.storerelay import RelayedObject, StoreRelay
from kingcupdyke.timer import TimerService
from kingcupdyke_wire.store import COMPACTED, StoreClient, StoreObject

__all__ = ["StoreWatcher"]

_LOGGER = logging.getLogger(__name__)
#: Seconds that one watch waits for changes.
WATCH_S = 10.0
#: Seconds before a failed call is made again, at first and at most.
RETRY_S = 0.1
RETRY_MOST_S = 0.8
#: Seconds without an answer after which the store counts as away.
AWAY_S = 1.0


class StoreWatcher:
    """Lists the objects of a kind, then watches them, over and over.

    :param store: the platform's store
    :param kind: kind of the objects
    :param timer: the timer service
    :param take_all: takes the whole list, and whether the store was away before it
    :param take: takes one changed object
    :param remove: takes the name of a removed object, and whether the store was away lately
    """

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        timer: TimerService,
        take_all: Callable[[list[StoreObject], bool], None],
        take: Callable[[StoreObject], None],
        remove: Callable[[str, bool], None],
    ) -> None:
        self._store = store
        self._kind = kind
        self._timer = timer
        self._take_all = take_all
        self._take = take
        self._remove = remove
        self._rng = Random(kind)
        self._failed_since_s: float | None = None
        self._away_until_s = 0.0
        self._position = 0
        self._object_by_name: dict[str, StoreObject] = {}
        #: Whether a whole list was taken since the start.
        self.is_listed = False
        #: Time of the last answer, in seconds.
        self.heard_s = 0.0

    async def follow_forever(self) -> None:
        """Follow until cancelled."""
        retry_s = RETRY_S
        while True:
            failure = await self._follow()
            if failure is None:
                retry_s = RETRY_S
                continue
            now_s = self._timer.now()
            if self._failed_since_s is None:
                self._failed_since_s = now_s
                _LOGGER.warning("following %s failed: %s", self._kind, failure.reason)
            await sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, RETRY_MOST_S)

    @property
    def was_away(self) -> bool:
        """:return: whether the store was away within the last moments"""
        return self._timer.now() < self._away_until_s

    @property
    def kind(self) -> str:
        """:return: kind of the objects"""
        return self._kind

    @property
    def is_cut_off(self) -> bool:
        """:return: whether the last call to the store failed"""
        return self._failed_since_s is not None

    def make_relay(self) -> StoreRelay:
        """:return: what the store last said, for a peer that does not reach it"""
        objects = tuple(
            RelayedObject(each.name, each.version, each.value.decode("utf-8", "replace"))
            for each in self._object_by_name.values()
        )
        return StoreRelay(self._kind, self._position, objects)

    def take_relay(self, relay: StoreRelay) -> None:
        """Take what a peer heard from the store, unless this gateway reaches it by itself."""
        if not self.is_cut_off or relay.position < self._position:
            return
        self.heard_s = self._timer.now()
        self._position = relay.position
        listed = {each.name for each in relay.objects}
        for name in self._object_by_name.keys() - listed:
            self._drop(name, True)
        for each in relay.objects:
            known = self._object_by_name.get(each.name)
            if known is None or known.version != each.version:
                self._put(StoreObject(self._kind, each.name, each.version, each.value.encode()))
        self.is_listed = True

    def _put(self, found: StoreObject) -> None:
        self._object_by_name[found.name] = found
        self._take(found)

    def _drop(self, name: str, was_away: bool) -> None:
        self._object_by_name.pop(name, None)
        self._remove(name, was_away)

    def _hear(self) -> None:
        now_s = self._timer.now()
        self.heard_s = now_s
        if self._failed_since_s is not None:
            _LOGGER.warning("following %s again", self._kind)
            if now_s - self._failed_since_s >= AWAY_S:
                # Entries that lapsed meanwhile may be listed again within about two seconds.
                self._away_until_s = now_s + 2 * AWAY_S
        self._failed_since_s = None

    async def _follow(self) -> Failure | None:
        """List once and watch until a call fails.

        :return: the failure, or None where the list has to be read again at once
        """
        listed = await self._store.list(self._kind)
        if listed.is_error():
            return listed.error
        self._hear()
        position, objects = listed.ok
        self._position = position
        self._object_by_name = {each.name: each for each in objects}
        self._take_all(objects, self.was_away)
        self.is_listed = True
        while True:
            watched = await self._store.watch(self._kind, position, WATCH_S)
            if watched.is_error():
                is_compacted = watched.error.reason == COMPACTED
                return None if is_compacted else watched.error
            self._hear()
            position = self._position = watched.ok.position
            for event in watched.ok.events:
                if event.current is None:
                    self._drop(event.name, self.was_away)
                else:
                    self._put(event.current)
