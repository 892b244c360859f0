"""
quota_simulation
~~~~~~~~~~~~~~~~

Runs the quotas of many gateways in virtual time, with faults, and records what is served.
"""

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from kingcupdyke.forwarding.quotagateway import GRANT_TIMEOUT_S, Denied, Granted, QuotaGateway
from kingcupdyke.forwarding.quotalimits import QuotaLimits

__all__ = ["QuotaSimulation"]

TICK_S = 0.05
POLL_S = 0.01
WINDOW_S = 8.0
REGIONS = 3
LOSS = 0.005


class SimulatedGateway:
    """A gateway whose clock stops while it is frozen."""

    def __init__(self, simulation, host):
        self.simulation = simulation
        self.host = host
        #: Time for which the clock did not run.
        self.stopped_s = 0.0
        self.frozen_since_s = None
        self.is_stopping = False
        self.queue = []
        self.start()

    def start(self):
        self.is_alive = True
        self.starts = getattr(self, "starts", 0) + 1
        self.next_list_s = 0.0
        simulation, self.queue = self.simulation, []
        self.core = QuotaGateway(
            self.host,
            f"i{self.starts}",
            simulation.limits,
            lambda host, message: simulation.send(self, host, message),
            self.now(),
        )
        self.core.configure(simulation.spec_by_caller, self.now())

    def now(self):
        return self.simulation.now_s - self.stopped_s

    def run(self, action):
        """Run now, or when the gateway is no longer frozen."""
        if self.frozen_since_s is not None:
            self.queue.append(action)
        elif self.is_alive:
            action()

    def thaw(self):
        self.stopped_s += self.simulation.now_s - self.frozen_since_s
        self.frozen_since_s = None
        for action in self.queue:
            action()
        self.queue = []


class QuotaSimulation:
    """Gateways g0, g1 ... in three regions.

    :param spec_by_caller: the quotas
    """

    def __init__(self, gateways, spec_by_caller, seed=1):
        self.random = Random(seed)
        self.limits = QuotaLimits()
        self.spec_by_caller = spec_by_caller
        self.now_s = 1000.0
        self.start_s = self.now_s
        self._events = []
        self._numbers = count()
        self.gateways = {}
        #: Group of each gateway; those of different groups do not hear each other.
        self.group = Counter()
        self._silent_since = {}
        #: Time and number of the last change to what gateways hear.
        self._fault_s, self._faults = self.now_s, 0
        self._live_by_key = {}
        self.served = {caller: [] for caller in spec_by_caller}
        self.outcomes = {caller: Counter() for caller in spec_by_caller}
        #: Retry-After of the last denial.
        self.retry_s = {}
        self.messages = self.bytes = 0
        for _ in range(gateways):
            self.add()

    def add(self):
        host = f"g{len(self.gateways)}"
        gateway = self.gateways[host] = SimulatedGateway(self, host)
        self.note_fault()
        self.at(self.random.random() * TICK_S, lambda: self.tick(gateway))

    def at(self, delay_s, action):
        heappush(self._events, (self.now_s + delay_s, next(self._numbers), action))

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heappop(self._events)
            action()
        self.now_s = end_s

    def tick(self, gateway):
        self.at(TICK_S, lambda: self.tick(gateway))
        if gateway.is_alive and gateway.frozen_since_s is None:
            if self.now_s >= gateway.next_list_s:
                gateway.next_list_s = self.now_s + self.list_interval_s
                live = self.list_live(gateway)
                stopping = {host for host in live if self.gateways[host].is_stopping}
                gateway.core.set_gateways(self.gateways, live - stopping)
            gateway.core.update(gateway.now())

    def list_live(self, gateway):
        """:return: the gateways that one hears; it notices late that one is silent"""
        late_s = max(1.5, 0.3 * len(self.gateways) / 8)
        is_late = self.now_s - self._fault_s > late_s + self.list_interval_s
        key = (self.group[gateway.host], self._faults)
        if is_late and key in self._live_by_key:
            return self._live_by_key[key]
        live = set()
        for host, each in self.gateways.items():
            pair = (gateway.host, host)
            is_heard = each.is_alive and each.frozen_since_s is None
            if is_heard and self.group[host] == self.group[gateway.host]:
                self._silent_since.pop(pair, None)
                live.add(host)
            elif self.now_s - self._silent_since.setdefault(pair, self.now_s) < late_s:
                live.add(host)
        if is_late:
            self._live_by_key[key] = live
        return live

    @property
    def list_interval_s(self):
        return max(0.25, len(self.gateways) / 300)

    def note_fault(self):
        self._fault_s = self.now_s
        self._faults += 1

    def send(self, sender, host, message):
        data = message.encode()
        self.messages += 1
        self.bytes += len(data)
        receiver = self.gateways.get(host)
        if receiver is None or self.group[sender.host] != self.group[host]:
            return
        if self.random.random() < LOSS:
            return
        is_local = (int(host[1:]) - int(sender.host[1:])) % REGIONS == 0
        delay_s = (
            self.random.uniform(0.001, 0.005) if is_local else self.random.uniform(0.03, 0.033)
        )
        decoded = type(message).decode(data).ok
        self.at(
            delay_s,
            lambda: receiver.run(lambda: receiver.core.receive(decoded, receiver.now())),
        )

    def request(self, caller, cost, host):
        gateway = self.gateways[host]
        gateway.run(lambda: self._request(gateway, caller, cost))

    def _request(self, gateway, caller, cost):
        core = gateway.core
        ended = []

        def end(ticket):
            if ticket not in ended:
                ended.append(ticket)
                self.end(caller, ticket)

        ticket = core.request(caller, cost, gateway.now(), end)
        if ticket.outcome is not None:
            end(ticket)
            return

        def poll():
            if ticket.outcome is None:
                core.poll(caller, gateway.now())
                self.at(POLL_S, lambda: gateway.run(poll))

        def give_up():
            if ticket.outcome is None:
                core.give_up(caller, ticket)
                end(ticket)

        poll()
        self.at(GRANT_TIMEOUT_S, lambda: gateway.run(give_up))

    def end(self, caller, ticket):
        outcome = ticket.outcome
        if isinstance(outcome, Granted):
            self.served[caller].append((self.now_s, ticket.cost))
            self.outcomes[caller]["served"] += 1
        else:
            assert isinstance(outcome, Denied) and outcome.retry_after_s > 0, outcome
            self.retry_s[caller] = outcome.retry_after_s
            self.outcomes[caller]["denied" if outcome.is_known else "unknown"] += 1

    def load(self, caller, factor, seconds, choose_host, is_even=False):
        """Send requests at a multiple of the caller's rate."""
        spec = self.spec_by_caller[caller]
        mean = 1.0 if spec.unit == "requests" else 2400.0
        end_s = self.now_s + seconds

        def send():
            if self.now_s >= end_s:
                return
            cost = mean if mean == 1.0 or is_even else self.choose_cost()
            self.request(caller, cost, choose_host())
            gap_s = mean / (spec.rate_per_s * factor)
            self.at(gap_s if is_even else self.random.expovariate(1 / gap_s), send)

        send()

    def choose_cost(self):
        """:return: 200 to 7000 tokens, 2400 on average"""
        return round(200 + 6800 * self.random.betavariate(1.0, 2.09))

    def choose_any(self):
        return self.random.choice([h for h, each in self.gateways.items() if each.is_alive])

    def configure(self, spec_by_caller):
        """Put other quotas in force at all gateways."""
        self.spec_by_caller = spec_by_caller
        for each in self.gateways.values():
            each.run(lambda each=each: each.core.configure(spec_by_caller, each.now()))

    def find_owner(self, caller):
        for host, each in self.gateways.items():
            if each.is_alive and each.core.election.get_share(caller, each.now()):
                return host
        return None

    def freeze(self, host, seconds):
        gateway = self.gateways[host]
        gateway.frozen_since_s = self.now_s
        self._begin_fault(seconds, gateway.thaw)

    def kill(self, host, seconds):
        gateway = self.gateways[host]
        gateway.is_alive = False
        self._begin_fault(seconds, gateway.start)

    def cut(self, hosts, seconds):
        self.group.update(dict.fromkeys(hosts, 1))
        self._begin_fault(seconds, self.group.clear)

    def _begin_fault(self, seconds, end):
        self.note_fault()
        self.at(seconds, lambda: (end(), self.note_fault()))

    def measure_use(self, caller, since_s=0.0):
        """:return: greatest use in any window, as a multiple of the quota, and of the bound"""
        spec = self.spec_by_caller[caller]
        quota = spec.rate_per_s * WINDOW_S + spec.burst
        slack = 17_000.0 if spec.unit == "tokens" else 1.0
        window, total, most = deque(), 0.0, 0.0
        for time_s, cost in self.served[caller]:
            if time_s < since_s:
                continue
            window.append((time_s, cost))
            total += cost
            while window[0][0] < time_s - WINDOW_S:
                total -= window.popleft()[1]
            most = max(most, total)
        return most / quota, most / (quota * 1.1 + slack)
