"""
kingcupdyke_daemon.cmdline
~~~~~~~~~~~~~~~~~~~~~~~~~~

The command line of ``kingcupdyked``.
"""

import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
from cappa import Arg, Subcommands, command, invoke

from kingcupdyke_daemon.gateway.process import run_gateway
from kingcupdyke_daemon.logs import start_logs
from kingcupdyke_daemon.settings import GatewaySettings, SidecarSettings, load_settings
from kingcupdyke_daemon.sidecar.process import run_sidecar

__all__ = ["main"]

#: Exit status for invalid settings.
EXIT_BAD_SETTINGS = 2
#: Longest wait in seconds for the last log lines to be written.
FLUSH_TIMEOUT_S = 0.5


def _start(path: Path, kind: type, run: object) -> int:
    loaded = load_settings(path, kind)
    if loaded.is_error():
        for line in loaded.error:
            print(line, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = loaded.ok
    logs = start_logs(settings.common.log_level)
    try:
        return anyio.run(partial(run, settings))
    finally:
        logs.flush_for(FLUSH_TIMEOUT_S)


def _start_gateway(gateway: "GatewayCommand") -> int:
    return _start(gateway.settings, GatewaySettings, run_gateway)


def _start_sidecar(sidecar: "SidecarCommand") -> int:
    return _start(sidecar.settings, SidecarSettings, run_sidecar)


@command(name="gateway", invoke=_start_gateway)
@dataclass
class GatewayCommand:
    """Forward requests of callers to endpoints."""

    settings: Annotated[Path, Arg(long=True, help="YAML file of settings")]


@command(name="sidecar", invoke=_start_sidecar)
@dataclass
class SidecarCommand:
    """Serve one endpoint: a model engine, plain services, or both."""

    settings: Annotated[Path, Arg(long=True, help="YAML file of settings")]


@command(name="kingcupdyked")
@dataclass
class DaemonCommand:
    """The daemons of kingcupdyke. SIGTERM starts a planned stop: running requests are finished."""

    role: Subcommands[GatewayCommand | SidecarCommand]


def main(arguments: list[str] | None = None) -> int:
    """:param arguments: command line arguments; None takes those of the process
    :return: the exit status
    """
    return invoke(DaemonCommand, argv=arguments)
