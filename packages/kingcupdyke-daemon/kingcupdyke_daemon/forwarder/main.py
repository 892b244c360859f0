"""
kingcupdyke_daemon.forwarder.main
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs a forwarding gateway until a signal stops it.
"""

import logging
import signal
from time import monotonic

from anyio import Event, create_task_group, open_signal_receiver, run

from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.process import Forwarder
from kingcupdyke_daemon.forwarder.settings import ForwarderSettings, SettingsSource
from kingcupdyke_daemon.looptimes import TimedEventLoop
from kingcupdyke_wire.store import StoreClient

__all__ = ["run_forwarder", "run_process"]

_LOGGER = logging.getLogger(__name__)


def run_process(
    settings: ForwarderSettings, source: SettingsSource, dialect: Dialect, store: StoreClient
) -> int:
    """Run a forwarding gateway on an event loop of its own until its planned stop is complete.

    :return: the exit status
    """
    options = {"loop_factory": TimedEventLoop}
    return run(run_forwarder, settings, source, dialect, store, backend_options=options)


async def run_forwarder(
    settings: ForwarderSettings, source: SettingsSource, dialect: Dialect, store: StoreClient
) -> int:
    """Run a forwarding gateway until its planned stop is complete.

    :return: the exit status
    """
    started_s = monotonic()
    async with create_task_group() as tasks:
        stop = Event()
        forwarder = Forwarder(settings, source, dialect, store, tasks)
        tasks.start_soon(_watch_signals, stop, forwarder)
        await forwarder.run(stop)
        tasks.cancel_scope.cancel()
    _LOGGER.warning("ended after %.1f s", monotonic() - started_s)
    return 0


async def _watch_signals(stop: Event, forwarder: Forwarder) -> None:
    """Start a planned stop on SIGTERM or SIGINT, reload the settings on SIGHUP."""
    with open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for each in signals:
            _LOGGER.warning("signal %s", signal.Signals(each).name)
            if each == signal.SIGHUP:
                forwarder.reload()
            else:
                stop.set()
