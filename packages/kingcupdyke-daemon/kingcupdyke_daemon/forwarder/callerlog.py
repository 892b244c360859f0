"""
kingcupdyke_daemon.forwarder.callerlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Logs how a new configuration changes the callers and their keys.
"""

import logging

from kingcupdyke.forwarding.callertable import Caller
from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import CallersRecord

__all__ = ["log_callers"]

_LOGGER = logging.getLogger(__name__)


def log_callers(before: Configuration | None, after: Configuration) -> None:
    """Log the names of callers that have changed, and how many keys are known.

    :param before: the former configuration, or None at the start
    """
    old, new = _get_callers(before), _get_callers(after)
    record = CallersRecord(
        after.version,
        -1 if after.callers is None else len(new),
        sum(len(each.key_hashes) for each in new.values()),
        tuple(sorted(new.keys() - old.keys())),
        tuple(sorted(old.keys() - new.keys())),
        tuple(
            sorted(
                name
                for name in new.keys() & old.keys()
                if new[name].key_hashes != old[name].key_hashes
            )
        ),
    )
    had_callers = before is not None and before.callers is not None
    is_switched = had_callers != (after.callers is not None)
    if is_switched or record.added or record.removed or record.with_other_keys:
        log_record(_LOGGER, "callers changed", record, logging.WARNING)


def _get_callers(configuration: Configuration | None) -> dict[str, Caller]:
    if configuration is None or configuration.callers is None:
        return {}
    return configuration.callers.callers_by_name
