"""
kingcupdyke_measure.slopescore
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of the core's decisions: processor time of a call and memory of an entry, by size.
"""

from collections.abc import Iterator
from random import Random

from kingcupdyke.admission import AdmissionQueue
from kingcupdyke.cache import PrefixIndex
from kingcupdyke.config import ConfigChange, ConfigReplica
from kingcupdyke.host import Host
from kingcupdyke.membership import MembershipTable
from kingcupdyke.placement import EndpointInventory, PlacementView
from kingcupdyke.placements import get_placement
from kingcupdyke.prefix import BLOCK_CHARACTERS, hash_prefixes
from kingcupdyke.report import LoadTracker
from kingcupdyke.request import Request
from kingcupdyke.routers import get_router
from kingcupdyke.routing import EndpointView
from kingcupdyke.rule import ModelRule, RuleSet, ServiceClass
from kingcupdyke.rulesnapshot import RuleSnapshot, StoredRule, store_rule
from kingcupdyke_measure.meter import Row, measure_bytes_per_entry, time_call_us

__all__ = [
    "list_core_rows",
    "make_change",
    "make_hosts",
    "make_model",
    "make_replica",
    "make_request",
]

_GB = 10**9
_CANDIDATE_COUNTS = (4, 16, 64, 256, 1024)
_PREFIX_COUNTS = (1_000, 20_000, 200_000)
_RULE_COUNTS = (100, 1000, 5400)
_HOST_COUNTS = (9, 100, 1000, 6370)
#: Numbers of models and of endpoints.
_PLACEMENT_SIZES = ((15, 5), (135, 343), (540, 1375), (540, 5500))


def list_core_rows(seed: int) -> Iterator[Row]:
    """Measure the slopes of the core.

    :param seed: seed of routing choices and of demand
    :return: the measured rows
    """
    yield from _measure_routing(seed)
    yield from _measure_prefixes()
    yield from _measure_admission()
    yield from _measure_config()
    yield from _measure_membership()
    yield from _measure_placement(seed)


def make_request(number: int = 0) -> Request:
    """:return: a request with a prompt of eight blocks"""
    prefixes = hash_prefixes("model-0", "", "x" * 8 * BLOCK_CHARACTERS)
    return Request(
        f"request-{number}",
        f"caller-{number % 20}",
        ServiceClass.INTERACTIVE,
        "model-0",
        "",
        0.0,
        1e9,
        True,
        prefixes=prefixes,
        body_bytes=2048,
        max_tokens=200,
    )


def make_model(number: int, replicas: int = 1) -> ModelRule:
    """:return: a model's rule"""
    return ModelRule(
        f"model-{number}",
        "1",
        14 * _GB,
        6 * _GB,
        replicas,
        (),
        ("*",),
        ServiceClass.INTERACTIVE,
        2.0,
    )


def make_replica(rules: int) -> ConfigReplica:
    """:return: a replica of the configuration with this number of rules in force"""
    replica = ConfigReplica()
    replica.accept_snapshot(1, [_make_stored_rule(number) for number in range(rules)])
    return replica


def make_change(version: int) -> ConfigChange:
    """:return: a change of one rule"""
    return ConfigChange(
        version, f"change-{version:08d}", "operator", (_make_stored_rule(version),), ()
    )


def make_hosts(count: int) -> list[Host]:
    """:return: hosts of sidecars in 15 data centres"""
    return [
        Host(
            f"host-{number:05d}",
            "127.0.0.1",
            20_000 + number,
            "sidecar",
            f"region-{number % 4}",
            f"centre-{number % 15}",
            "live",
        )
        for number in range(count)
    ]


def _make_stored_rule(number: int) -> StoredRule:
    return store_rule("model", make_model(number), "Jana Nováková, appointments desk")


def _measure_routing(seed: int) -> Iterator[Row]:
    rng = Random(seed)
    request = make_request()
    router = get_router("cost", home_region="region-0", home_data_centre="centre-0")
    for count in _CANDIDATE_COUNTS:
        loads, prefixes = LoadTracker(), PrefixIndex(200_000)
        hosts = make_hosts(count)
        for host in hosts:
            loads.record_report(host.host, 8, 0, 0.02, 0.0)
            prefixes.apply_event(host.host, "one", 1, True, request.prefixes[0])

        def make_views(hosts=hosts, loads=loads, prefixes=prefixes) -> list[EndpointView]:
            return [_make_view(host, loads, prefixes, request) for host in hosts]

        views = make_views()
        size = f"{count} candidates"
        times = max(5, 4000 // count)
        yield Row("views of the candidates", size, time_call_us(make_views, times), "us a request")
        choose_us = time_call_us(lambda v=views: router.choose(request, v, 0.1, rng), times)
        yield Row("choice by cost", size, choose_us, "us a request")


def _make_view(
    host: Host, loads: LoadTracker, prefixes: PrefixIndex, request: Request
) -> EndpointView:
    load = loads.estimate_load(host.host, 0.1)
    return EndpointView(
        host.host,
        host.region,
        host.data_centre,
        load.running,
        load.waiting,
        load.report_age_s,
        load.dispatched_since,
        load.token_interval_s,
        True,
        prefixes.cached_blocks(host.host, request.prefixes),
    )


def _fill_prefixes(count: int) -> PrefixIndex:
    index = PrefixIndex(count)
    for number in range(count):
        index.apply_event(f"host-{number % 64}", "one", number // 64 + 1, True, f"{number:016x}")
    return index


def _measure_prefixes() -> Iterator[Row]:
    prompt = "x" * 8 * BLOCK_CHARACTERS
    hash_us = time_call_us(lambda: hash_prefixes("model-0", "", prompt), 500)
    yield Row("hashes of a prompt", "8 blocks", hash_us, "us a request")
    request = make_request()
    for count in _PREFIX_COUNTS:
        index = _fill_prefixes(count)
        size = f"{count} prefixes"
        lookup_us = time_call_us(lambda i=index: i.cached_blocks("host-1", request.prefixes), 2000)
        yield Row("look-up of a prompt's prefixes", size, lookup_us, "us a candidate")
        numbers = iter(range(10**6, 10**9))
        event_us = time_call_us(
            lambda i=index, n=numbers: i.apply_event("new", "one", next(n), True, "f" * 16), 2000
        )
        yield Row("cache event", size, event_us, "us an event")
        entry_bytes = measure_bytes_per_entry(lambda c=count: _fill_prefixes(c), count)
        yield Row("prefix entry", size, entry_bytes, "bytes an entry")


def _measure_admission() -> Iterator[Row]:
    for waiting in (0, 64, 256):
        queue = AdmissionQueue(32, 100_000)
        for number in range(32 + waiting):
            queue.offer(make_request(number), 0.5, 0.0)
        numbers = iter(range(10**6, 10**9))
        running = iter([f"request-{number}" for number in range(32)])
        oldest_ids = [next(running)]

        def admit_one(queue=queue, numbers=numbers, oldest_ids=oldest_ids) -> None:
            number = next(numbers)
            queue.offer(make_request(number), 0.5, 0.0)
            started = queue.finished(oldest_ids.pop(), 0.0)
            oldest_ids.append(started[0].request_id if started else f"request-{number}")

        size = f"{waiting} waiting"
        yield Row("admission, in and out", size, time_call_us(admit_one, 200), "us a request")


def _measure_config() -> Iterator[Row]:
    for rules in _RULE_COUNTS:
        replica = make_replica(rules)
        size = f"{rules} rules"

        def accept(replica=replica) -> object:
            replica.accept_change(make_change(replica.version + 1))
            return replica.rule_set

        times = max(10, 20_000 // rules)
        yield Row("change of one rule, with its rule set", size, time_call_us(accept, times), "us")
        entry_bytes = measure_bytes_per_entry(
            lambda r=rules: _build_rule_set(make_replica(r)), rules
        )
        yield Row("rule held", size, entry_bytes, "bytes a rule")


def _build_rule_set(replica: ConfigReplica) -> tuple[ConfigReplica, RuleSet, RuleSnapshot]:
    return replica, replica.rule_set, replica.rule_snapshot


def _measure_membership() -> Iterator[Row]:
    for count in _HOST_COUNTS:
        hosts = make_hosts(count)
        table = MembershipTable(1.6)
        table.update_list(hosts, 0.0)
        size = f"{count} hosts"
        sequence = iter(range(1, 10**9))

        def receive_notice(table=table, sequence=sequence) -> None:
            table.record_notice("host-00001", "one", next(sequence), True, 0.0)

        yield Row("membership news", size, time_call_us(receive_notice, 500), "us an event")
        times = max(3, 20_000 // count)
        list_us = time_call_us(lambda t=table, h=hosts: t.update_list(h, 0.0), times)
        yield Row("reading of the host list", size, list_us, "us a reading")

        def change_and_list(table=table, receive_notice=receive_notice) -> None:
            receive_notice()
            table.routable()

        changed_us = time_call_us(change_and_list, times)
        yield Row("news and list of the routable hosts", size, changed_us, "us a call")
        unchanged_us = time_call_us(lambda t=table: t.routable(), times)
        yield Row("list of the routable hosts, kept", size, unchanged_us, "us a call")
        answer_times = iter(range(10**9))

        def receive_answer(table=table, answer_times=answer_times) -> None:
            table.record_answer("host-00001", "one", float(next(answer_times)))

        yield Row("answer of a host", size, time_call_us(receive_answer, 500), "us an event")
        entry_bytes = measure_bytes_per_entry(lambda c=count: _fill_table(c), count)
        yield Row("host held", size, entry_bytes, "bytes a host")


def _fill_table(count: int) -> MembershipTable:
    table = MembershipTable(1.6)
    table.update_list(make_hosts(count), 0.0)
    for number in range(count):
        name = f"host-{number:05d}"
        table.record_notice(name, "one", 1, False, 0.0)
        table.record_answer(name, "one", 0.0)
    return table


def _measure_placement(seed: int) -> Iterator[Row]:
    for models, endpoints in _PLACEMENT_SIZES:
        rng = Random(seed)
        view = _make_placement_view(models, endpoints, rng)
        policy = get_placement("greedy", lean=0.7)
        times = 1 if endpoints > 1000 else 5
        clock_s = iter(range(10**9))

        def plan(policy=policy, view=view, clock_s=clock_s) -> object:
            return policy.plan(view, float(next(clock_s)))

        size = f"{models} models x {endpoints} endpoints"
        yield Row("placement round", size, time_call_us(plan, times) / 1000, "ms a round")


def _make_placement_view(models: int, endpoints: int, rng: Random) -> PlacementView:
    names = [f"model-{number}" for number in range(models)]
    inventory = {}
    for number, host in enumerate(make_hosts(endpoints)):
        resident_models = {names[number % models], rng.choice(names), rng.choice(names)}
        inventory[host.host] = EndpointInventory(
            host.host,
            host.region,
            host.data_centre,
            80 * _GB,
            len(resident_models) * 20 * _GB,
            frozenset(resident_models),
            frozenset(),
            False,
            frozenset(),
        )
    rules = RuleSet.empty()._replace(
        models_by_name={f"model-{number}": make_model(number) for number in range(models)}
    )
    regions = sorted({each.region for each in inventory.values()})
    demand = {(name, region): rng.expovariate(1 / 5) for name in names for region in regions}
    return PlacementView(rules, inventory, demand)
