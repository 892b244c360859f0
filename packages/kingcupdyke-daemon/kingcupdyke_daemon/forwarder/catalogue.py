"""
kingcupdyke_daemon.forwarder.catalogue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the store says of a gateway's surroundings: the configuration and the endpoints.
"""

import logging
from collections.abc import Callable

from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import DataAges, EndpointRecord
from kingcupdyke_wire.store import StoreClient, StoreObject

__all__ = ["Catalogue"]

_LOGGER = logging.getLogger(__name__)


class Catalogue:
    """Follows configuration and endpoints, and hands on what changes.

    :param dialect: decodes them
    :param board: takes the endpoints
    :param take_configuration: called with each configuration that is newer than all before
    :param changed: called after changes that waiting requests may depend on
    """

    def __init__(
        self,
        dialect: Dialect,
        store: StoreClient,
        board: EndpointTable,
        timer: TimerService,
        take_configuration: Callable[[Configuration], None],
        changed: Callable[[float], None],
    ) -> None:
        self._dialect = dialect
        self._board = board
        self._timer = timer
        self._take_newer = take_configuration
        self._changed = changed
        self._version: int | None = None
        self.configurations = StoreWatcher(
            store,
            dialect.configuration_kind,
            timer,
            self._take_configurations,
            self._take_configuration,
            lambda name, was_away: None,
        )
        self.endpoints = StoreWatcher(
            store,
            dialect.endpoint_kind,
            timer,
            self._take_endpoints,
            self._take_endpoint,
            self._remove_endpoint,
        )

    @property
    def is_known(self) -> bool:
        """:return: whether a configuration and the list of endpoints were read"""
        return self._version is not None and self.endpoints.is_listed

    @property
    def version(self) -> int:
        """:return: version of the configuration in force, or 0"""
        return self._version or 0

    def get_ages(self) -> DataAges:
        """:return: how old the store's last words are"""
        now_s = self._timer.now()
        return DataAges(
            round((now_s - self.configurations.heard_s) * 1000),
            round((now_s - self.endpoints.heard_s) * 1000),
        )

    def _take_configurations(self, objects: list[StoreObject], after_outage: bool) -> None:
        for each in objects:
            self._take_configuration(each)

    def _take_configuration(self, found: StoreObject) -> None:
        if found.name != self._dialect.configuration_name:
            return
        decoded = self._dialect.decode_configuration(found.value)
        if decoded.is_error():
            _LOGGER.error("the configuration is unreadable: %s", decoded.error.reason)
            return
        configuration = decoded.ok
        if self._version is not None and configuration.version <= self._version:
            return
        self._version = configuration.version
        _LOGGER.warning("configuration %d is in force", configuration.version)
        self._take_newer(configuration)
        self._changed(self._timer.now())

    def _take_endpoints(self, objects: list[StoreObject], after_outage: bool) -> None:
        entries = [self._dialect.decode_endpoint(each.name, each.value) for each in objects]
        for each in entries:
            if each.is_error():
                _LOGGER.warning("an endpoint's entry is unusable: %s", each.error.reason)
        usable = [each.ok for each in entries if each.is_ok()]
        self._board.replace_all(usable, self._timer.now(), after_outage)
        self._changed(self._timer.now())

    def _take_endpoint(self, found: StoreObject) -> None:
        entry = self._dialect.decode_endpoint(found.name, found.value)
        if entry.is_error():
            _LOGGER.warning("an endpoint's entry is unusable: %s", entry.error.reason)
            return
        known = self._board.state_by_id.get(found.name)
        if known is None or known.entry.is_leaving != entry.ok.is_leaving:
            self._log_endpoint(found.name, "leaving" if entry.ok.is_leaving else "ready")
        self._board.put(entry.ok)
        self._changed(self._timer.now())

    def _remove_endpoint(self, name: str, was_away: bool) -> None:
        self._log_endpoint(name, "lapsed" if was_away else "removed")
        self._board.remove(name, self._timer.now(), was_away)

    def _log_endpoint(self, endpoint: str, state: str) -> None:
        age_ms = self.get_ages().list_ms
        log_record(_LOGGER, "endpoint changed", EndpointRecord(endpoint, state, age_ms))
