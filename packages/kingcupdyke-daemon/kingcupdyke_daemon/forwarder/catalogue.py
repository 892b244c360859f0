"""
kingcupdyke_daemon.forwarder.catalogue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Watches the configuration and the endpoints of a forwarding gateway in the store.
"""

import logging
from collections.abc import Callable
from math import inf

from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.callerlog import log_callers
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.storewatcher import StoreWatcher
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import DataAges, EndpointRecord
from kingcupdyke_daemon.taskerrors import TaskErrors
from kingcupdyke_wire.store import StoreClient, StoreObject

__all__ = ["Catalogue"]

_LOGGER = logging.getLogger(__name__)


class Catalogue:
    """Watches configuration and endpoints, and applies their changes.

    :param dialect: decodes the store's objects
    :param endpoint_table: is updated with the endpoints
    :param errors: logs and counts errors in one entry, which leave the others in force
    :param on_configuration: called with each configuration that is newer than the one in force
    :param on_change: called with the time in seconds after each change that may allow a decision on
        waiting requests
    :param get_endpoint_interval_s: returns the least seconds between calls that watch endpoints
    """

    def __init__(
        self,
        dialect: Dialect,
        store: StoreClient,
        endpoint_table: EndpointTable,
        timer: TimerService,
        errors: TaskErrors,
        on_configuration: Callable[[Configuration], None],
        on_change: Callable[[float], None],
        get_endpoint_interval_s: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._endpoint_table = endpoint_table
        self._timer = timer
        self._errors = errors
        self._on_configuration = on_configuration
        self._on_change = on_change
        self._configuration: Configuration | None = None
        self.configurations = StoreWatcher(
            store,
            dialect.configuration_kind,
            timer,
            self._apply_configurations,
            self._apply_configuration,
            lambda name, after_outage: None,
            redact=dialect.redact_configuration,
        )
        self.endpoints = StoreWatcher(
            store,
            dialect.endpoint_kind,
            timer,
            self._apply_endpoints,
            self._apply_endpoint,
            self._remove_endpoint,
            get_endpoint_interval_s,
        )
        self.endpoints.on_gap = endpoint_table.note_gap

    @property
    def is_loaded(self) -> bool:
        """:return: whether a configuration and the list of endpoints have been read"""
        return self._configuration is not None and self.endpoints.is_listed

    @property
    def version(self) -> int:
        """:return: version of the configuration in force, or 0"""
        return 0 if self._configuration is None else self._configuration.version

    def get_ages(self) -> DataAges:
        """:return: milliseconds since the store last confirmed configuration and endpoints"""
        now_s = self._timer.now()
        return DataAges(
            round((now_s - self.configurations.last_answer_s) * 1000),
            round((now_s - self.endpoints.last_answer_s) * 1000),
        )

    def _apply_configurations(self, objects: list[StoreObject], after_outage: bool) -> None:
        for each in objects:
            self._apply_configuration(each)

    def _apply_configuration(self, found: StoreObject) -> None:
        if found.name != self._dialect.configuration_name:
            return
        decoded = self._dialect.decode_configuration(found.value)
        if decoded.is_error():
            _LOGGER.error("the configuration can't be decoded: %s", decoded.error.reason)
            return
        configuration = decoded.ok
        before = self._configuration
        if before is not None and configuration.version <= before.version:
            return
        self._configuration = configuration
        _LOGGER.warning("configuration %d is in force", configuration.version)
        log_callers(before, configuration)
        self._on_configuration(configuration)
        self._on_change(self._timer.now())

    def _apply_endpoints(self, objects: list[StoreObject], after_outage: bool) -> None:
        entries = [self._dialect.decode_endpoint(each.name, each.value) for each in objects]
        for each in entries:
            if each.is_error():
                _LOGGER.warning("an endpoint's entry can't be decoded: %s", each.error.reason)
        usable = [each.ok for each in entries if each.is_ok()]
        for entry in usable:
            with self._errors.contain("endpoint entry"):
                self._endpoint_table.put(entry)
        now_s = self._timer.now()
        self._endpoint_table.retain({each.endpoint for each in usable}, now_s, after_outage)
        self._on_change(now_s)

    def _apply_endpoint(self, found: StoreObject) -> None:
        with self._errors.contain("endpoint entry"):
            self._put_endpoint(found)

    def _put_endpoint(self, found: StoreObject) -> None:
        entry = self._dialect.decode_endpoint(found.name, found.value)
        if entry.is_error():
            _LOGGER.warning("an endpoint's entry can't be decoded: %s", entry.error.reason)
            return
        known = self._endpoint_table.state_by_id.get(found.name)
        was_leaving = None if known is None else known.entry.is_leaving
        # A copy of a peer may be old.
        heard_s = -inf if self.endpoints.is_store_unreachable else self._timer.now()
        self._endpoint_table.put(entry.ok, heard_s)
        is_leaving = self._endpoint_table.state_by_id[found.name].entry.is_leaving
        if was_leaving != is_leaving:
            state = "leaving" if is_leaving else "ready"
            self._log_endpoint(found.name, entry.ok.software_version, state)
        self._on_change(self._timer.now())

    def _remove_endpoint(self, name: str, after_outage: bool) -> None:
        known = self._endpoint_table.state_by_id.get(name)
        software_version = "" if known is None else known.entry.software_version
        self._log_endpoint(name, software_version, "lapsed" if after_outage else "removed")
        self._endpoint_table.remove(name, self._timer.now(), after_outage)

    def _log_endpoint(self, endpoint: str, software_version: str, state: str) -> None:
        age_ms = self.get_ages().list_ms
        record = EndpointRecord(endpoint, state, software_version, age_ms)
        log_record(_LOGGER, "endpoint changed", record)
