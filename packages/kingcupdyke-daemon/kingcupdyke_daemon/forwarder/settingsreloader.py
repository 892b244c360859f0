"""
kingcupdyke_daemon.forwarder.settingsreloader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes changed settings into a running gateway.
"""

import logging
from collections.abc import Callable

from kingcupdyke_daemon.forwarder.settings import ForwarderSettings, SettingsSource

__all__ = ["SettingsReloader"]

_LOGGER = logging.getLogger(__name__)
#: Settings that are read at the start only: addresses that are listened on, names that others know
#: this gateway by, and the time that its lease is built on.
RESTART_FIELDS = (
    "host",
    "data_centre",
    "front",
    "ready",
    "peer",
    "metrics",
    "store_url",
    "lease_s",
)


class SettingsReloader:
    """The settings in force, and what becomes of changes.

    :param settings: the settings of the start
    :param source: where changed ones come from
    :param apply: called with the settings in force after each change
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        source: SettingsSource,
        apply: Callable[[ForwarderSettings], None],
    ) -> None:
        self.settings = settings
        self._source = source
        self._apply = apply
        self._stamp = source.read_stamp()

    def check(self, now_s: float) -> None:
        """Read the settings again where they have changed since the last time."""
        stamp = self._source.read_stamp()
        if stamp is not None and stamp != self._stamp:
            self._stamp = stamp
            self.reload()

    def reload(self) -> None:
        """Read the settings again; those that can't be used leave the present ones in force."""
        loaded = self._source.load()
        if loaded.is_error():
            _LOGGER.error("the changed settings are unusable: %s", "; ".join(loaded.error))
            return
        known = self.settings
        changed = [
            name for name in known._fields if getattr(known, name) != getattr(loaded.ok, name)
        ]
        if not changed:
            _LOGGER.warning("settings read again, nothing has changed")
            return
        waiting = [name for name in changed if name in RESTART_FIELDS]
        if waiting:
            names = ", ".join(waiting)
            _LOGGER.warning("changed settings need a restart to be in force: %s", names)
        taken = [name for name in changed if name not in RESTART_FIELDS]
        if taken:
            values = {name: getattr(loaded.ok, name) for name in taken}
            self.settings = known._replace(**values)
            self._apply(self.settings)
            _LOGGER.warning("changed settings are in force: %s", ", ".join(taken))
