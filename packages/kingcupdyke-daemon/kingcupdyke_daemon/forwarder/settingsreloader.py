"""
kingcupdyke_daemon.forwarder.settingsreloader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies changed settings to a running gateway.
"""

import logging
from collections.abc import Callable

from kingcupdyke_daemon.forwarder.settings import ForwarderSettings, SettingsSource

__all__ = ["SettingsReloader"]

_LOGGER = logging.getLogger(__name__)
#: Settings that take effect at the start only: listen addresses, names by which others identify
#: this gateway, and the time from which its lease duration is derived.
RESTART_FIELDS = (
    "host",
    "data_centre",
    "front",
    "ready",
    "peer",
    "metrics",
    "store_url",
    "lease_s",
    "quota_limits",
)


class SettingsReloader:
    """Holds the settings in force and applies changes to them.

    :param settings: the settings at the start
    :param source: provides changed settings
    :param apply: called with the new settings after each change
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
        """Reload the settings if they have changed since the last check."""
        stamp = self._source.read_stamp()
        if stamp is not None and stamp != self._stamp:
            self._stamp = stamp
            self.reload()

    def reload(self) -> None:
        """Read the settings again; invalid settings leave the current ones in force."""
        loaded = self._source.load()
        if loaded.is_error():
            _LOGGER.error("the changed settings are unusable: %s", "; ".join(loaded.error))
            return
        current = self.settings
        changed = [
            name for name in current._fields if getattr(current, name) != getattr(loaded.ok, name)
        ]
        if not changed:
            _LOGGER.warning("settings read again, nothing has changed")
            return
        needs_restart = [name for name in changed if name in RESTART_FIELDS]
        if needs_restart:
            names = ", ".join(needs_restart)
            _LOGGER.warning("changed settings need a restart to be in force: %s", names)
        applied = [name for name in changed if name not in RESTART_FIELDS]
        if applied:
            values = {name: getattr(loaded.ok, name) for name in applied}
            self.settings = current._replace(**values)
            self._apply(self.settings)
            _LOGGER.warning("changed settings are in force: %s", ", ".join(applied))
