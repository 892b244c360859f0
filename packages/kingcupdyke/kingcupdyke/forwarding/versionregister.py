"""
kingcupdyke.forwarding.versionregister
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides at which software versions streams may begin, and which version began one without origin.

The register in the store names every version that may have begun a resumable stream. It outlives
all gateways, so that a version which no longer serves is not overlooked after a restart.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.endpointtable import VERSION_MEMORY_S, EndpointTable
from kingcupdyke.forwarding.softwareversions import SoftwareVersions

__all__ = ["Inference", "VersionRegister"]

#: Least value in seconds of the longest time that a stream can last.
MIN_STREAM_LIMIT_S = 60.0
#: Limit on caller timeouts that are taken into account, so that no caller can stop all inference.
MAX_CALLER_TIMEOUT_S = 3500.0
#: Seconds added to the longest time that a stream can last before a version is ruled out.
STREAM_MARGIN_S = 5.0
#: Seconds without an entry after which a version is removed from the register.
PRUNE_AFTER_S = 600.0
#: Seconds from the announcement of a removal to the removal. Must exceed the time that an entry
#: takes to reach the gateway that removes.
RETIRE_S = 30.0
#: Seconds for which requests wait for a version that is being added instead of being rejected for
#: lack of capacity at the others.
PENDING_S = 1.0


class Inference(NamedTuple):
    """What the register says on a stream without a known origin."""

    #: The version that began the stream, or None if it is not proved.
    software_version: str | None
    #: Registered versions, in order.
    registered: tuple[str, ...]
    reason: str


class VersionRegister:
    """What this gateway knows of the register.

    :param endpoint_table: the endpoints
    :param on_wanted: called with a service for which a version must be added to the register
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        on_wanted: Callable[[str], None] = lambda service: None,
    ) -> None:
        self._endpoint_table = endpoint_table
        self.on_wanted = on_wanted
        #: Longest time in seconds that a stream can last.
        self.stream_limit_s = MIN_STREAM_LIMIT_S
        #: The register of each service as last read or written.
        self._read_by_service: dict[str, SoftwareVersions] = {}
        #: Usable versions with the time at which they were last read or written, by service.
        self._usable_by_service: dict[str, dict[str, float]] = {}
        #: Times at which all registered versions were first read, by service.
        self._first_read_s_by_service: dict[str, dict[str, float]] = {}
        #: Versions to be added with the time since when they are wanted, by service.
        self._wanted_by_service: dict[str, dict[str, float]] = {}
        #: Services whose registers have to be checked before streams begin.
        self._suspended: set[str] = set()
        #: Time of the announcement of a removal by this gateway, by service and version.
        self._retired_s: dict[tuple[str, str], float] = {}

    @property
    def memory_s(self) -> float:
        """:return: seconds after which a stream can no longer be continued"""
        return self.stream_limit_s + STREAM_MARGIN_S

    def note_timeout(self, timeout_s: float) -> None:
        """Take the timeout of a route into account."""
        self.stream_limit_s = max(self.stream_limit_s, timeout_s)

    def note_caller_timeout(self, timeout_s: float) -> None:
        """Take the timeout of a caller into account."""
        self.note_timeout(min(timeout_s, MAX_CALLER_TIMEOUT_S))

    def suspend(self, service: str) -> None:
        """Let requests wait until a service's register has been checked after an outage."""
        self._suspended.add(service)

    def resume(self, service: str) -> None:
        """Rely on what is known of a register, as the store is unavailable again."""
        self._suspended.discard(service)

    def select(
        self, service: str, states: list[EndpointState], now_s: float
    ) -> list[EndpointState]:
        """Request that the versions of endpoints be added to the register.

        :return: those endpoints at which a resumable stream may begin now
        """
        if service in self._suspended:
            return []
        usable = self._usable_by_service.get(service, {})
        selected = [each for each in states if each.entry.software_version in usable]
        if len(selected) < len(states):
            for each in states:
                if each.entry.software_version not in usable:
                    self._want(service, each.entry.software_version, now_s)
        return selected

    def has_uncertain(self, service: str) -> bool:
        """:return: whether an endpoint of a service may run other software than its entry says"""
        ready = self._endpoint_table.list_ready(service)
        return len(self._endpoint_table.list_certain(ready)) < len(ready)

    def is_usable(self, service: str, software_version: str) -> bool:
        """:return: whether a version is registered and is not about to be removed"""
        return software_version in self._usable_by_service.get(service, ())

    def is_pending(self, service: str, now_s: float) -> bool:
        """:return: whether a version is being added since less than PENDING_S"""
        wanted = self._wanted_by_service.get(service)
        return bool(wanted) and now_s - max(wanted.values()) < PENDING_S

    def list_wanted(self, service: str) -> frozenset[str]:
        """:return: versions to be added"""
        return frozenset(self._wanted_by_service.get(service, ()))

    def get(self, service: str) -> SoftwareVersions:
        """:return: a service's register as last read or written"""
        return self._read_by_service.get(service, SoftwareVersions())

    def list_services(self) -> list[str]:
        """:return: services whose registers were read"""
        return list(self._read_by_service)

    def apply(self, service: str, versions: SoftwareVersions, now_s: float) -> None:
        """Replace what is known of a service's register by what was read or written."""
        self._suspended.discard(service)
        self._read_by_service[service] = versions
        first = self._first_read_s_by_service.get(service, {})
        self._first_read_s_by_service[service] = {
            each: first.get(each, now_s) for each in versions.versions
        }
        before = self._usable_by_service.get(service, {})
        self._usable_by_service[service] = dict.fromkeys(versions.usable, now_s)
        wanted = self._wanted_by_service.get(service, {})
        for each in versions.usable:
            wanted.pop(each, None)
        # The store has lost them, or another gateway removes them although they are in use here.
        recent = self._endpoint_table.list_versions(service, now_s - self.memory_s, now_s)
        for each in (before.keys() & recent) - versions.usable:
            self._want(service, each, now_s)

    def infer(self, service: str, now_s: float) -> Inference:
        """:return: which version began a stream of a service; to be called after :meth:`apply` with
        what the store has just answered
        """
        registered = self.get(service).versions
        names = tuple(sorted(registered))
        since_s = now_s - self.memory_s
        recent = self._endpoint_table.list_versions(service, since_s, now_s)
        is_complete = self._has_listed_since(since_s, now_s)
        first = self._first_read_s_by_service.get(service, {})
        possible = {
            each
            for each in registered
            if each in recent or not is_complete or first[each] > since_s
        }
        # A listed version may have been lost from the register with the latest writes of the store.
        possible |= recent
        if not possible & registered:
            return Inference(None, names, "no software version is registered")
        if len(possible) > 1:
            return Inference(None, names, "several software versions may have begun the stream")
        return Inference(possible.pop(), names, "")

    def forget_unlisted(self, now_s: float) -> None:
        """Require that versions be read again before use which were not listed for a while.

        The lease holder may remove them meanwhile.
        """
        for service, usable in self._usable_by_service.items():
            recent = self._endpoint_table.list_versions(service, now_s - self.memory_s, now_s)
            for version, read_s in list(usable.items()):
                if version not in recent and now_s - read_s > self.memory_s:
                    del usable[version]
            wanted = self._wanted_by_service.get(service, {})
            for version, since_s in list(wanted.items()):
                if version not in recent and now_s - since_s > self.memory_s:
                    del wanted[version]

    def list_prunable(self, service: str, now_s: float) -> frozenset[str]:
        """:return: registered versions that were not listed for so long that they can be removed"""
        since_s = now_s - max(PRUNE_AFTER_S, self.memory_s)
        if not self._has_listed_since(since_s, now_s):
            return frozenset()
        recent = self._endpoint_table.list_versions(service, since_s, now_s)
        first = self._first_read_s_by_service.get(service, {})
        return frozenset(
            version for version, s in first.items() if version not in recent and s <= since_s
        )

    def prune(self, service: str, versions: SoftwareVersions, now_s: float) -> SoftwareVersions:
        """Announce or carry out the removal of versions.

        :param versions: the register as just read
        :return: the register to be written
        """
        prunable = self.list_prunable(service, now_s)
        due = {
            each
            for each in prunable & versions.retiring
            if now_s - self._retired_s.setdefault((service, each), now_s) >= RETIRE_S
        }
        for each in prunable:
            self._retired_s.setdefault((service, each), now_s)
        self._forget_announcements(service, prunable - due)
        return versions.retire(prunable).remove(due)

    def is_prune_due(self, service: str, now_s: float) -> bool:
        """:return: whether :meth:`prune` would change the register"""
        return any(
            now_s - self._retired_s.get((service, each), now_s - RETIRE_S) >= RETIRE_S
            for each in self.list_prunable(service, now_s)
        )

    def _has_listed_since(self, since_s: float, now_s: float) -> bool:
        """:return: whether the list has been read without a gap, and is remembered, since a time"""
        is_remembered = now_s - since_s < VERSION_MEMORY_S
        return is_remembered and self._endpoint_table.listed_since_s <= since_s

    def _forget_announcements(self, service: str, kept: Iterable[str]) -> None:
        for key in [each for each in self._retired_s if each[0] == service]:
            if key[1] not in kept:
                del self._retired_s[key]

    def _want(self, service: str, software_version: str, now_s: float) -> None:
        wanted = self._wanted_by_service.setdefault(service, {})
        if software_version not in wanted:
            wanted[software_version] = now_s
            self.on_wanted(service)
