"""
pace_fleet
~~~~~~~~~~

Gateways before the endpoints of one service, of which some start or recover, in virtual time.
"""

from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from pace_behaviours import (
    BEHAVIOURS,
    DURATION_S,
    ENDPOINTS,
    IN_TIME_S,
    PROMPT_TOKENS,
    SLOTS,
    TOKENS_PER_S,
    Alternates,
)

from kingcupdyke.forwarding.configuration import EngineSpec, ModelSpec, ServiceSpec
from kingcupdyke.forwarding.decision import Send, Wait
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpoint import EndpointEntry, LoadedModel
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.pacemessage import PaceMessage
from kingcupdyke.forwarding.pacetable import PaceTable
from kingcupdyke.forwarding.peerreports import EndpointReports
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke_daemon.forwarder.pacedirectory import PaceDirectory

#: Time before the return for which the established endpoints are used.
BEFORE_S = 6.0
REQUESTS_PER_S = {"plain": 400, "engine": 80}
WARM_UP_S = 5.0
POLL_S = 0.025
MODEL = LoadedModel("m1", 1, frozenset())
ENGINE = EngineSpec(8, 100_000, 10**11, 2, 1.0, {"m1": ModelSpec("m1", 10**9, 6.0, 1.0, 0.5, 1)})


def make_entry(endpoint, models):
    return EndpointEntry(
        endpoint,
        "service",
        ("127.0.0.1", 1),
        "n1",
        slots=SLOTS,
        is_leaving=False,
        remaining_s=None,
        heartbeat=1,
        started_ms=1000,
        models=models,
        in_memory=frozenset(),
        on_disk=frozenset(),
    )


def make_item(attempt_id, is_engine, now_s):
    model, tokens = ("m1", PROMPT_TOKENS) if is_engine else ("", 0)
    left_s, objective_s = now_s + 4.0, now_s + IN_TIME_S
    return WorkItem(
        attempt_id, "service", model, "", (), tokens, 0, 1, now_s, objective_s, left_s, left_s
    )


class NoPace(PaceTable):
    """Begins no windows."""

    def begin(self, state, reason):
        pass

    def note_entry(self, state):
        pass

    def note_unreachable(self, state, now_s):
        pass

    def restart(self, state):
        pass


class Gateway:
    def __init__(self, fleet, host):
        self.fleet = fleet
        self.table = EndpointTable()
        if fleet.mode != "pace":
            self.table.pace_table = NoPace(self.table.state_by_id)
        self.dispatcher = Dispatcher(self.table, "n1", {"n1": "north"})
        is_engine = fleet.behaviour.kind == "engine"
        spec = ServiceSpec("service", "/health", 100, ENGINE if is_engine else None)
        self.dispatcher.configure({"service": spec})
        peers = {f"g{number}": "i" for number in range(fleet.count)}
        del peers[host]
        self.directory = PaceDirectory(
            host, "i", self.table.pace_table, self, lambda: peers, lambda: fleet.count, fleet.send
        )
        self.table.pace_table.set_gateways(host, peers, fleet.count)

    def now(self):
        return self.fleet.now_s

    def subscribe(self, name, interval_s, callback):
        def tick():
            callback(self.fleet.now_s)
            self.fleet.after(interval_s, tick)

        self.fleet.after(interval_s * self.fleet.rng.random(), tick)

    def refresh(self, interval_s):
        """Learn of the loads at the peers."""
        for name, total in self.fleet.load_by_endpoint.items():
            state = self.table.state_by_id.get(name)
            if state is not None:
                unread = self.fleet.unread_by_endpoint[name] * PROMPT_TOKENS
                own = len(state.tokens_by_attempt)
                state.peer_reports = EndpointReports(
                    max(0, total - own), max(0, unread - state.local_unread_tokens), 0
                )
        self.fleet.after(interval_s, lambda: self.refresh(interval_s))


class Fleet:
    """Runs requests through some gateways.

    :param gateways: number of gateways
    :param mode: ``pace``, ``none`` or ``warm-up``
    """

    def __init__(self, gateways, behaviour, mode, seed=1):
        self.count = gateways
        self.behaviour = BEHAVIOURS[behaviour]()
        self.mode = mode
        self.rng = Random(seed)
        self.now_s = -BEFORE_S
        self.events, self.numbers = [], count()
        self.names = [f"e{number}" for number in range(1, ENDPOINTS + 1)]
        self.load_by_endpoint = dict.fromkeys(self.names, 0)
        self.unread_by_endpoint = dict.fromkeys(self.names, 0)
        self.read_until_s = dict.fromkeys(self.names, -inf)
        #: Arrivals of callers, those served in time, and sends to returning endpoints.
        self.arrived_s, self.served_s, self.sent_s = [], [], []
        self.encoded = self.decoded = None
        self.worst_ratio = 0.0
        self.gateways = {}
        for number in range(gateways):
            self.gateways[f"g{number}"] = Gateway(self, f"g{number}")
        for each in self.gateways.values():
            self.list_endpoints(each)
            interval_s = 0.1 * max(1.0, (gateways - 1) / 8)
            phase_s = interval_s * self.rng.random()
            self.after(phase_s, lambda each=each, wait_s=interval_s: each.refresh(wait_s))
        self.after(0.0, self.arrive)

    def list_endpoints(self, gateway):
        """Let a gateway read the list, and each later change of it up to a second late."""
        behaviour, table = self.behaviour, gateway.table
        is_engine = behaviour.kind == "engine"
        models = (MODEL,) if is_engine else ()
        entries = [make_entry(name, models) for name in self.names]
        known = [
            each
            for each in entries
            if behaviour.is_known_before or each.endpoint not in behaviour.returning
        ]
        table.replace_all(known, self.now_s, False)
        for entry in entries:
            if entry.endpoint not in behaviour.returning or isinstance(behaviour, Alternates):
                continue
            late_s = BEFORE_S + self.rng.random()
            new = entry._replace(started_ms=2000)
            if is_engine:
                cold = new._replace(models=(), cold_left_s=behaviour.fast_s)
                self.after(late_s, lambda cold=cold: table.put(cold))
                late_s += behaviour.loaded_s
                new = new._replace(heartbeat=2, cold_left_s=behaviour.fast_s - behaviour.loaded_s)
            self.after(late_s, lambda new=new: table.put(new))

    def after(self, seconds, call):
        heappush(self.events, (self.now_s + seconds, next(self.numbers), call))

    def send(self, peer, data):
        """Deliver a message of the gateways, unless it is lost."""
        if self.rng.random() >= 0.02:
            if data is not self.encoded:
                self.encoded, self.decoded = data, PaceMessage.decode(data).ok
            message = self.decoded
            directory = self.gateways[peer].directory
            self.after(self.rng.uniform(0.001, 0.03), lambda: directory.receive(message))

    def run(self, end_s):
        while self.events[0][0] < end_s:
            self.now_s, _, call = heappop(self.events)
            call()

    def arrive(self):
        rate = REQUESTS_PER_S[self.behaviour.kind]
        self.after(self.rng.expovariate(rate), self.arrive)
        is_engine = self.behaviour.kind == "engine"
        item = make_item(f"r{next(self.numbers)}", is_engine, self.now_s)
        self.arrived_s.append(self.now_s)
        self.submit(self.rng.choice(list(self.gateways.values())), item, frozenset())

    def submit(self, gateway, item, excluded):
        avoided = frozenset()
        if self.mode == "warm-up" and self.rng.random() > self.now_s / WARM_UP_S > 0.0:
            avoided = frozenset(self.behaviour.returning)
            if len(avoided) == ENDPOINTS:
                avoided = frozenset()
        decision = gateway.dispatcher.submit(item, excluded | avoided, self.now_s)
        if isinstance(decision, Send):
            self.start(gateway, item, excluded, decision.endpoint)
        elif isinstance(decision, Wait):
            gateway.dispatcher.withdraw(item.attempt_id)
            self.after(POLL_S, lambda: self.submit(gateway, item, excluded))

    def start(self, gateway, item, excluded, endpoint):
        behaviour, sent_s = self.behaviour, self.now_s
        is_returning = endpoint in behaviour.returning
        is_up = behaviour.is_up(sent_s) or not is_returning
        end_s = 0.002
        first_s = None
        if is_up:
            is_engine = behaviour.kind == "engine"
            loads = self.unread_by_endpoint if is_engine else self.load_by_endpoint
            self.load_by_endpoint[endpoint] += 1
            if is_engine:
                self.unread_by_endpoint[endpoint] += 1
            load = loads[endpoint]
            if is_returning and sent_s >= 0.0:
                self.sent_s.append(sent_s)
                self.worst_ratio = max(self.worst_ratio, load / behaviour.get_take(sent_s))
            if is_engine:
                speed = behaviour.get_speed(sent_s) if is_returning else TOKENS_PER_S
                begin_s = max(sent_s, self.read_until_s[endpoint])
                self.read_until_s[endpoint] = begin_s + PROMPT_TOKENS / speed
                first_s = self.read_until_s[endpoint] - sent_s + 0.03
                end_s = first_s + 0.3
                unread = gateway.table.state_by_id[endpoint].unread_tokens
                self.after(first_s, lambda: self.begin(gateway, item, endpoint, first_s, unread))
            elif is_returning:
                end_s = behaviour.get_duration_s(load, sent_s)
            else:
                end_s = DURATION_S * max(1.0, load / SLOTS) ** 2
        if is_up and is_returning and first_s is None:
            end_s = min(end_s, behaviour.get_down_s(sent_s) - sent_s)
        self.after(
            end_s, lambda: self.end(gateway, item, excluded, endpoint, end_s, first_s, is_up)
        )

    def begin(self, gateway, item, endpoint, seconds, tokens):
        self.unread_by_endpoint[endpoint] -= 1
        self.note_byte(gateway, endpoint)
        gateway.dispatcher.began(item.attempt_id, endpoint, seconds, tokens, self.now_s)

    def note_byte(self, gateway, endpoint):
        state = gateway.table.state_by_id.get(endpoint)
        if state is not None:
            state.last_byte_s = self.now_s

    def end(self, gateway, item, excluded, endpoint, seconds, first_s, was_up):
        self.load_by_endpoint[endpoint] -= was_up
        is_up = was_up and (
            self.behaviour.is_up(self.now_s) or endpoint not in self.behaviour.returning
        )
        if is_up:
            self.note_byte(gateway, endpoint)
            gateway.table.note_success(endpoint)
        else:
            gateway.table.note_failure(endpoint, self.now_s, True)
        gateway.dispatcher.ended(
            item.attempt_id, endpoint, item.service, seconds, self.now_s, is_up
        )
        if not is_up:
            self.submit(gateway, item, excluded | {endpoint})
        elif (self.now_s if first_s is None else self.now_s - 0.3) <= item.objective_s:
            self.served_s.append(item.arrived_s)

    def get_served_share(self):
        """:return: share of the callers of the first 10 s that are served in time"""
        arrived = sum(0.0 <= each < 10.0 for each in self.arrived_s)
        return sum(0.0 <= each < 10.0 for each in self.served_s) / arrived

    def get_share_s(self):
        """:return: seconds until each returning endpoint has 80 % of its share over a second"""
        fair = 0.8 * len(self.behaviour.returning) / ENDPOINTS
        for half in range(2 * int(self.now_s) - 1):
            start_s = half / 2
            sent = sum(start_s <= each < start_s + 1.0 for each in self.sent_s)
            arrived = sum(start_s <= each < start_s + 1.0 for each in self.arrived_s)
            if sent >= fair * arrived:
                return start_s + 1.0
        return inf

    def count_permitted(self, endpoint):
        """:return: requests that all gateways have or may have at an endpoint now"""
        total = 0
        for each in self.gateways.values():
            state = each.table.state_by_id.get(endpoint)
            if state is None:
                continue
            if state.pace is None:
                return inf
            total += len(state.tokens_by_attempt)
            total += each.table.pace_table.has_room(state, self.now_s)
        return total
