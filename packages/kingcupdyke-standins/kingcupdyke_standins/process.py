"""
kingcupdyke_standins.process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starting and stopping processes in tests and demos.
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
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 5.0


class ListeningProcess(ABC):
    """A process that says where it listens.

    Ends with the ``with`` block that it is used in.

    :param arguments: what the process is told
    """

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", self.module(), *arguments]
        self._process = Popen(command, stdout=PIPE, text=True)
        self._is_frozen = False
        line = self._read_line().split()
        if not line or line[0] != LISTENING:
            self.kill()
            raise RuntimeError(f"{' '.join(command)}: did not start")
        #: Ports by the word before them in the line.
        self.ports_by_word = {
            word: int(place.rsplit(":", 1)[1])
            for word, place in zip(line[::2], line[1::2], strict=True)
        }
        # What it logs is shown beside the output of the one that started it.
        Thread(target=self._pass_on, daemon=True).start()
        self.address = line[1].rsplit(":", 1)[0]
        self.port = self.ports_by_word[LISTENING]

    def _pass_on(self) -> None:
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
        """Base address."""
        return f"http://{self.address}:{self.port}"

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def is_running(self) -> bool:
        """:return: whether the process has not ended"""
        return self._process.poll() is None

    def freeze(self) -> None:
        """Pause the process."""
        self._signal(signal.SIGSTOP)
        self._is_frozen = True

    def thaw(self) -> None:
        """Let a paused process go on."""
        self._signal(signal.SIGCONT)
        self._is_frozen = False

    def terminate(self) -> None:
        """Ask for a planned stop and don't wait for it."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """:return: the exit status
        :raises TimeoutExpired: when the process goes on
        """
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """End the process at once."""
        self._signal(signal.SIGKILL)
        self._process.wait()
        self._process.stdout.close()

    def stop(self) -> int:
        """End the process, by a planned stop where it obeys.

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
        """Call the process with JSON and wait for the answer.

        :raises RuntimeError: for another status than 200
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
        """:return: the line that says where it listens; what is logged before it is passed on"""
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
        """Set switches by name."""
        self.call("PUT", "/faults", values)

    def reset_faults(self) -> None:
        """Set all switches to what they are at the start."""
        names = self.call("GET", "/faults")
        switches = next(
            each for each in SWITCHES_BY_STANDIN.values() if each.keys() == names.keys()
        )
        self.set_faults(**{name: switch.default for name, switch in switches.items()})

    def violations(self) -> list[str]:
        """:return: what was seen that must never be"""
        return self.call("GET", "/violations")["violations"]


class DaemonProcess(ListeningProcess):
    """A daemon.

    :param subcommand: "gateway" or "sidecar"
    :param settings: file of its settings
    """

    def __init__(self, subcommand: str, settings: Path | str) -> None:
        super().__init__(subcommand, "--settings", str(settings))

    def module(self) -> str:
        return "kingcupdyke_daemon"
