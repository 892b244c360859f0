"""
pace_steps
~~~~~~~~~~

Steps for endpoints that start or recover, in virtual time.
"""

from zlib import compress

from behave import then, when
from pace_fleet import Fleet, make_entry

from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.pacemessage import PaceMessage, PaceReason, PaceReport
from kingcupdyke.forwarding.pacewindow import PaceWindow

END_S = 14.5
REPORT = PaceReport("e1", 7, 2, PaceReason.COLD, 5, 1, 4.5, False, True, 0.25, None)


@when('pace: {gateways:d} gateways send to an endpoint that "{behaviour}"')
def run_fleets(context, gateways, behaviour):
    context.permitted = []
    context.fleets = {
        mode: Fleet(gateways, behaviour, mode) for mode in ("pace", "none", "warm-up")
    }
    for mode, fleet in context.fleets.items():
        for half in range(2, int(2 * END_S) + 1):
            fleet.run(half / 2)
            if mode == "pace":
                context.permitted.append(fleet.count_permitted("e1"))
        figures = fleet.get_served_share(), fleet.worst_ratio, fleet.get_share_s()
        print(mode, *(round(each, 3) for each in figures))


@when('pace: with seed {seed:d}, {gateways:d} gateways send to an endpoint that "{behaviour}"')
def run_fleet(context, seed, gateways, behaviour):
    context.fleets = {"pace": Fleet(gateways, behaviour, "pace", seed)}
    context.fleets["pace"].run(END_S)


@then("pace: at least {share:d} in 100 callers of the first 10 s are served in time")
def check_served(context, share):
    assert context.fleets["pace"].get_served_share() >= share / 100


@then(
    "pace: of 100 callers at most {count:d} more is served in time without pace or with a warm-up"
)
def check_compared(context, count):
    shares = {mode: fleet.get_served_share() for mode, fleet in context.fleets.items()}
    assert shares["pace"] >= max(shares.values()) - count / 100, shares


@then("pace: the endpoint never has more than {factor:g} times the load that it can take")
def check_load(context, factor):
    assert context.fleets["pace"].worst_ratio <= factor, context.fleets["pace"].worst_ratio


@then("pace: it has 80 % of its share at most {seconds:g} s after it is fast")
def check_share(context, seconds):
    fleet = context.fleets["pace"]
    fast_s = fleet.behaviour.fast_s
    if fast_s is not None:
        assert fleet.get_share_s() <= fast_s + seconds, fleet.get_share_s()


@then("pace: at any time at least one request is permitted there")
def check_permitted(context):
    assert min(context.permitted) >= 1, context.permitted


@then(
    "pace: a window is {first:g}, {grown:g} after {successes:d} successes, {halved:g} after 2 "
    "failures, and at least {least:g} after {failures:d} more"
)
def check_window(context, first, grown, successes, halved, least, failures):
    window = PaceWindow(PaceReason.LISTED, 0.0)
    found = [window.window]
    for _ in range(successes):
        window.note_good(1, 1.0)
    found.append(window.window)
    window.note_bad(2.0)
    window.note_bad(2.01)
    found.append(window.window)
    for number in range(failures):
        window.note_bad(3.0 + number)
    assert [*found, window.window] == [first, grown, halved, least], found


@then("pace: of a first list only an endpoint that says that it is slow has a window")
def check_first_list(context):
    table = EndpointTable()
    cold = make_entry("e2", ())._replace(cold_left_s=3.0)
    table.replace_all([make_entry("e1", ()), cold], 5.0, False)
    assert dict(table.pace_table.list_windows()) == {"e2": 4.0}
    table.replace_all([make_entry("e1", ()), cold, make_entry("e3", ())], 6.0, False)
    assert dict(table.pace_table.list_windows()).keys() == {"e2", "e3"}


@then("pace: no other gateway of {count:d} begins a window if one reports failed connections")
def check_single_witness(context, count):
    fleet = Fleet(count, "alternates between up and down", "pace")
    fleet.run(-1.0)
    for _ in range(3):
        fleet.gateways["g0"].table.note_failure("e2", fleet.now_s, True)
    fleet.run(-0.1)
    windows = {
        host: dict(each.table.pace_table.list_windows()) for host, each in fleet.gateways.items()
    }
    assert windows.pop("g0").keys() == {"e2"}
    assert not any(windows.values()), windows


@then("pace: a full message is the same when decoded")
def check_round_trip(context):
    message = PaceMessage("h", "i", (REPORT,))
    assert PaceMessage.decode(message.encode()).ok == message


@then('pace: "{value}" is rejected')
def check_invalid(context, value):
    data = bytes([PaceMessage.message_kind]) + compress(value.encode(), wbits=-15)
    for each in (value.encode(), data, data[1:], data[:-1]):
        assert PaceMessage.decode(each).is_error(), each
