"""
kingcupdyke_standins.process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Processes that tests and demos start, call and stop.
"""

import json
import signal
import sys
from abc import ABC, abstractmethod
from http.client import HTTPConnection
from pathlib import Path
from select import select
from subprocess import PIPE, Popen, TimeoutExpired
from threading import Thread
from typing import Self

from kingcupdyke_standins.faults import SWITCHES_BY_STANDIN

__all__ = ["DaemonProcess", "ListeningProcess", "StandinProcess"]

#: First word of the line that a process prints once it listens.
LISTENING = "listening"
#: Limit of the wait for each line that a process prints before it listens.
START_TIMEOUT_S = 20.0
#: Time after which a process that was asked to stop is killed.
STOP_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 5.0


class ListeningProcess(ABC):
    """A process that prints the addresses on which it listens.

    It is stopped at the end of its ``with`` block.

    :param arguments: arguments of its command line
    :raises RuntimeError: if it does not start
    """

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", self.module(), *arguments]
        self._process = Popen(command, stdout=PIPE, text=True)
        self._is_frozen = False
        line = self._read_line().split()
        if not line or line[0] != LISTENING:
            self.kill()
            raise RuntimeError(f"{' '.join(command)}: did not start")
        #: Ports by the word before their address in the printed line.
        self.ports_by_label = {
            word: int(address.rsplit(":", 1)[1])
            for word, address in zip(line[::2], line[1::2], strict=True)
        }
        # Copies the log of the process to the standard error of this process.
        Thread(target=self._copy_log, daemon=True).start()
        self.address = line[1].rsplit(":", 1)[0]
        self.port = self.ports_by_label[LISTENING]

    def _copy_log(self) -> None:
        for line in self._process.stdout:
            sys.stderr.write(line)

    @abstractmethod
    def module(self) -> str:
        """:return: name of the module that is run"""

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self.address}:{self.port}"

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def is_running(self) -> bool:
        """:return: whether the process has not ended"""
        return self._process.poll() is None

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)
        self._is_frozen = True

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self._signal(signal.SIGCONT)
        self._is_frozen = False

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM, without waiting for it."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """:return: the exit status
        :raises TimeoutExpired: if the process has not ended in time
        """
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self._signal(signal.SIGKILL)
        self._process.wait()
        self._process.stdout.close()

    def stop(self) -> int:
        """Stop the process gracefully, or kill it if it does not end in time.

        :return: the exit status
        """
        if self._is_frozen:
            self.thaw()
        self.terminate()
        try:
            self.wait()
        except TimeoutExpired:
            self.kill()
        self._process.stdout.close()
        return self._process.returncode

    def call(self, method: str, path: str, data: object = None) -> dict:
        """Send a request with JSON to the process and wait for the answer.

        :raises RuntimeError: for a status other than 200
        """
        connection = HTTPConnection(self.address, self.port, timeout=CALL_TIMEOUT_S)
        try:
            body = None if data is None else json.dumps(data)
            connection.request(method, path, body)
            answer = connection.getresponse()
            content = answer.read()
        finally:
            connection.close()
        if answer.status != 200:
            raise RuntimeError(f"{method} {path}: {answer.status} {content.decode()}")
        return json.loads(content) if content else {}

    def _read_line(self) -> str:
        """Copy log lines to standard error up to the first other line.

        :return: that line, or the empty string after a timeout or at the end of the output
        """
        while True:
            ready, _, _ = select([self._process.stdout], [], [], START_TIMEOUT_S)
            line = self._process.stdout.readline() if ready else ""
            if not line.startswith("{"):
                return line
            sys.stderr.write(line)

    def _signal(self, number: int) -> None:
        if self.is_running():
            self._process.send_signal(number)


class StandinProcess(ListeningProcess):
    """A stand-in; the first argument is its name, the others are options."""

    def module(self) -> str:
        return "kingcupdyke_standins"

    def set_faults(self, **values: bool | float) -> None:
        """Set fault switches by name."""
        self.call("PUT", "/faults", values)

    def reset_faults(self) -> None:
        """Set all fault switches to their defaults."""
        names = self.call("GET", "/faults")
        switches = next(
            each for each in SWITCHES_BY_STANDIN.values() if each.keys() == names.keys()
        )
        self.set_faults(**{name: switch.default for name, switch in switches.items()})

    def violations(self) -> list[str]:
        """:return: descriptions of the invariant violations that the stand-in has detected"""
        return self.call("GET", "/violations")["violations"]


class DaemonProcess(ListeningProcess):
    """A gateway or sidecar process.

    :param subcommand: "gateway" or "sidecar"
    :param settings: path of its settings file
    """

    def __init__(self, subcommand: str, settings: Path | str) -> None:
        super().__init__(subcommand, "--settings", str(settings))

    def module(self) -> str:
        return "kingcupdyke_daemon"
