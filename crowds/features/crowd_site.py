"""
crowd_site
~~~~~~~~~~

Starts the programs that crowds are sent to, with low limits, and asks them ordinary requests.
"""

import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from hashlib import sha256
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, Site, SitePlan

FOLDER = Path(__file__).parent
LOOPBACK = "127.0.0.1"
#: Limit of the wait for a start, an answer or an end. It ends a test; no page promises it.
PATIENCE_S = 30.0
RETRY_S = 0.2
GRACE_S = 8
#: Body of an ordinary request that has one.
ORDINARY_BODY = b"y" * 1_000_000
TOKEN = "token-desk"
#: Time for which a readiness check of the load balancer waits for its answer.
CALL_TIMEOUT_S = 5.0
SETTINGS = """
node = "edge-praha-a-1"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "praha-a"
region = "cechy"
port_range = [{peer}, {peer}]
seeds = []
bootstrap = true
beat_interval_ms = 1200
[zones]
praha-a = "cechy"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
stable_window_ms = 4000
grace_s = {grace_s}
config_apply_ms = 3000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
lease_ttl_ms = 3000
[platform]
address = "127.0.0.1:{store}"
form = "objects"
"""
RULES = f"""
- {{memory: north, region: north, hosts: 1, per_host: 40GB}}  # tests: not used
- {{caller: desk, token_sha256: "{sha256(TOKEN.encode()).hexdigest()}", weight: 2.0}}  # tests
- {{service: bookings, callers: [desk], idempotent: [GET], class: interactive, deadline: 4s}}  # T
"""


class Ordinary(NamedTuple):
    """An ordinary request to a listener."""

    port: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""

    def ask(self):
        """:return: the status of the answer, or 0 if there was none"""
        connection = HTTPConnection(LOOPBACK, self.port, timeout=CALL_TIMEOUT_S)
        try:
            connection.request(self.method, self.path, self.body or None, self.headers)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, HTTPException):
            return 0
        finally:
            connection.close()

    def wait_answer(self):
        """Ask until the answer has the status 200.

        :raises AssertionError: when that takes too long
        """
        statuses = []
        end_s = time.monotonic() + PATIENCE_S
        while time.monotonic() < end_s:
            statuses.append(self.ask())
            if statuses[-1] == 200:
                return
            time.sleep(RETRY_S)
        raise AssertionError(f"{self.method} {self.path} on {self.port}: {statuses}")


class ForwardingProgram:
    """A forwarding gateway between a store and endpoints, each program in a process of its own.

    :param memory_mb: memory limit of its settings
    :param max_fds: limit of descriptors of its settings
    """

    name = "forwarding gateway"
    #: Header lines of each request of the crowd.
    headers = ()

    def __init__(self, memory_mb, max_fds):
        self._stack = ExitStack()
        self._folder = Path(self._stack.enter_context(TemporaryDirectory()))
        backend = self._start([sys.executable, str(FOLDER / "crowd_backend.py")])
        names = ("front", "ready", "control", "peers", "metrics")
        self.ports = dict(zip(names, find_ports(len(names)), strict=True))
        path = self._folder / "settings.toml"
        text = SETTINGS.format(
            **self.ports,
            peer=self.ports["peers"],
            memory_mb=memory_mb,
            max_fds=max_fds,
            grace_s=GRACE_S,
            store=int(backend.stdout.readline()),
        )
        path.write_text(text)
        environ = os.environ | {
            "KINGCUPDYKE_SETTINGS": str(path),
            "KINGCUPDYKE_METRICS_PORT": str(self.ports["metrics"]),
            "KINGCUPDYKE_LOG_LEVEL": "INFO",
        }
        self.process = self._start([sys.executable, "-m", "kingcupdyke_platform"], environ)
        Ordinary(self.ports["ready"], "GET", "/v1/ready", {}).wait_answer()
        self.make_ordinary("front")[0].wait_answer()

    def _start(self, command, environ=None):
        log = (self._folder / f"{len(os.listdir(self._folder))}.log").open("w")
        self._stack.callback(log.close)
        stdout = log if environ else subprocess.PIPE
        process = subprocess.Popen(command, stdout=stdout, stderr=log, text=True, env=environ)
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    @property
    def pid(self):
        """:return: id of the process that the crowd is sent to"""
        return self.process.pid

    def is_running(self):
        """:return: whether the process has not ended"""
        return self.process.poll() is None

    def make_ordinary(self, listener):
        """:return: ordinary requests to a listener, and those to the front address"""
        headers = {"Host": "club.example", "Kingcupdyke-Attempt-Id": "ordinary-1"}
        headers |= {"Kingcupdyke-Deadline-Ms": "2000"}
        front = self.ports["front"]
        found = [
            Ordinary(front, "GET", "/read/1", headers),
            Ordinary(front, "POST", "/read/1", headers, ORDINARY_BODY),
            Ordinary(self.ports["ready"], "GET", "/v1/ready", {}),
        ]
        if listener == "metrics":
            found.append(Ordinary(self.ports["metrics"], "GET", "/metrics", {}))
        return found

    def stop(self):
        """:return: the status with which the process ends after a planned stop, None if killed"""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(PATIENCE_S)
        except subprocess.TimeoutExpired:
            return None

    def close(self):
        """End all processes."""
        self._stack.close()


class DaemonProgram:
    """A gateway and a sidecar in front of a plain service; the crowd is sent to one of the two.

    :param name: ``gateway`` or ``sidecar``
    """

    headers = (f"Authorization: Bearer {TOKEN}",)

    def __init__(self, name):
        self.name = name
        plan = SitePlan(
            gateways=(GatewayPlan("entry-n1", "north", "n1"),),
            sidecars=(SidecarPlan("app-n1", "north", "n1", services=(("bookings", ()),)),),
            gateway_settings={"pull_s": 1.0, "most_body_bytes": "5MB"},
            sidecar_settings={"pull_s": 1.0},
        )
        self._stack = ExitStack()
        site = self._stack.enter_context(Site(plan))
        self._gateway = site.gateways_by_name["entry-n1"]
        sidecar = site.sidecars_by_name["app-n1"]
        self.process = sidecar if name == "sidecar" else self._gateway
        self.ports = self.process.ports_by_label
        rules = site.folder / "first.rules.yaml"
        rules.write_text(RULES)
        command = [sys.executable, "-m", "kingcupdyke_tool", "rules", "apply", str(rules)]
        command += ["--settings", str(site.tool_settings), "--base", "0", "--author", "tests"]
        subprocess.run(command, capture_output=True, check=True)
        for each in self.make_ordinary("listening"):
            each.wait_answer()

    @property
    def pid(self):
        """:return: id of the process that the crowd is sent to"""
        return self.process.pid

    def is_running(self):
        """:return: whether the process has not ended"""
        return self.process.is_running()

    def make_ordinary(self, listener):
        """:return: ordinary requests through the gateway, and to the crowd's listener"""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        port = self._gateway.port
        found = [
            Ordinary(port, "GET", "/services/bookings/1", headers),
            Ordinary(port, "POST", "/services/bookings/1", headers, ORDINARY_BODY),
        ]
        if self.name == "gateway":
            found.append(Ordinary(port, "GET", "/readyz", {}))
        elif listener == "http":
            found.append(Ordinary(self.ports["http"], "GET", "/healthz", {}))
        return found

    def close(self):
        """End all processes."""
        self._stack.close()


def find_ports(count):
    """:return: free ports, for TCP and UDP"""
    held, ports = [], []
    while len(ports) < count:
        tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        held += [tcp, udp]
        tcp.bind((LOOPBACK, 0))
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            continue
        ports.append(tcp.getsockname()[1])
    for each in held:
        each.close()
    return ports
