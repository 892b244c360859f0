"""
streamorigin_steps
~~~~~~~~~~~~~~~~~~

Steps for the origins of streams.
"""

from itertools import permutations

from behave import given, then, when
from forwarding_builders import make_datagrams

from kingcupdyke.forwarding.pinneddemand import (
    PinnedDemand,
    PinnedDemandMessage,
    PinnedDemandTable,
)
from kingcupdyke.forwarding.streamorigin import (
    OriginMessage,
    StreamOrigin,
    StreamOriginTable,
    choose_holders,
)


@then("streamorigin: a full message is the same when decoded")
def check_round_trip(context):
    origin = StreamOrigin("r1", "s", "v1", 4.5, "e1", 1000, 0.5)
    message = OriginMessage("h", (origin,), ("r2",), ("r3", "r4"))
    assert OriginMessage.decode(message.encode()).ok == message


@then('streamorigin: "{value}" is rejected')
def check_rejected(context, value):
    for each in make_datagrams(OriginMessage, value):
        assert OriginMessage.decode(each).is_error(), each


@then("streamorigin: a message on pinned demand is the same when decoded")
def check_pinned_round_trip(context):
    message = PinnedDemandMessage("h", (PinnedDemand("s", "m", "a", "v1", 2),))
    assert PinnedDemandMessage.decode(message.encode()).ok == message
    assert PinnedDemandMessage.decode(OriginMessage("h").encode()).is_error()
    assert OriginMessage.decode(message.encode()).is_error()


@then("streamorigin: pinned demand counts for {seconds:g} s after the latest report of its gateway")
def check_pinned_table(context, seconds):
    table = PinnedDemandTable()
    demand = PinnedDemand("s", "m", "", "v1", 2)
    table.put(PinnedDemandMessage("g1", (demand,)), 0.0)
    table.put(PinnedDemandMessage("g1", (demand._replace(waiting=1),)), 0.5)
    table.put(PinnedDemandMessage("g2", (demand,)), 0.0)
    assert [each.waiting for each in table.list(seconds - 0.1)] == [1, 2]
    assert [each.waiting for each in table.list(seconds + 0.1)] == [1]


@given("streamorigin: a table of at most {count:d} origins")
def give_table(context, count):
    context.origins = StreamOriginTable(count)


@when('streamorigin: the origins "{origins}" are stored')
def store(context, origins):
    for each in origins.split(", "):
        at_s, attempt_id, version, valid_s = each.split()
        origin = StreamOrigin(attempt_id, "s", version, float(valid_s))
        context.origins.put(origin, float(at_s))


@then('streamorigin: at second {at_s:g} the known origins are "{known}"')
def check_known(context, at_s, known):
    context.origins.drop_expired(at_s)
    origins = [context.origins.get(f"r{number}", at_s) for number in range(1, 5)]
    found = " ".join(f"{each.attempt_id}:{each.software_version}" for each in origins if each)
    assert found == known, found


@then(
    'streamorigin: in regions of "{counts}" gateways, any two find each other\'s origins of '
    "{streams:d} streams"
)
def check_common(context, counts, streams):
    region_by_host = {
        f"g{region}-{number}": f"r{region}"
        for region, count in enumerate(counts.split())
        for number in range(int(count))
    }
    context.holder_counts = set()
    for stream in range(streams):
        known_by_host = {}
        for host, region in region_by_host.items():
            peers = {name: where for name, where in region_by_host.items() if name != host}
            holders = choose_holders(f"r{stream}", region, peers)
            context.holder_counts.add(len(holders))
            known_by_host[host] = {host, *holders}
        for first, second in permutations(region_by_host, 2):
            assert known_by_host[first] & known_by_host[second], (stream, first, second)


@then("streamorigin: each gateway chooses at most {count:d} peers")
def check_count(context, count):
    assert max(context.holder_counts) <= count, context.holder_counts
