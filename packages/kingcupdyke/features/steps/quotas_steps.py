"""
quotas_steps
~~~~~~~~~~~~

Steps for the quotas of callers, in virtual time.
"""

from behave import given, then, when
from forwarding_builders import make_datagrams
from quota_simulation import QuotaSimulation

from kingcupdyke.forwarding.crashreport import CrashMessage
from kingcupdyke.forwarding.leavingmessage import LeavingMessage
from kingcupdyke.forwarding.limitmessage import LimitMessage
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.forwarding.pinneddemand import PinnedDemandMessage
from kingcupdyke.forwarding.quotabucket import QuotaBucket
from kingcupdyke.forwarding.quotalimits import QuotaLimits
from kingcupdyke.forwarding.quotamessage import QuotaAsk, QuotaClaim, QuotaGrant, QuotaVote
from kingcupdyke.forwarding.quotaspec import QuotaSpec, QuotaUnit
from kingcupdyke.forwarding.storechanges import StoreChanges
from kingcupdyke.forwarding.storerelay import StoreRelay
from kingcupdyke.forwarding.streamorigin import OriginMessage

#: Time in which all gateways get to know the owners and the buckets fill.
START_S = 12.0
MESSAGES = (
    QuotaAsk("c", "h", "i", 2, 1, (1.5, 2.0), 3.0, 4.0, 5.0),
    QuotaGrant("c", "i", 2, (True, False), 1.0, 2.0),
    QuotaClaim("h", "i", 1.5, 1.0, {"c": 3}, frozenset({"c"}), {"c": 2.5}),
    QuotaVote("h", "i", 1.5, ("c", "d")),
)
OTHER_KINDS = (
    CrashMessage,
    GatewayState,
    LeavingMessage,
    LimitMessage,
    OriginMessage,
    PinnedDemandMessage,
    StoreChanges,
    StoreRelay,
)


def read_spec(text):
    name, rate, burst, unit = text.split()
    return name, QuotaSpec(float(rate), float(burst), QuotaUnit(unit), 2400)


@given('quotas: {gateways:d} gateways and the callers "{callers}"')
def give_gateways(context, gateways, callers):
    specs = dict(read_spec(each) for each in callers.split(";"))
    context.simulation = QuotaSimulation(gateways, specs)
    context.simulation.run(START_S)


def choose(simulation, where):
    """:return: function that chooses the gateway of a request"""
    count = len(simulation.gateways)
    return {
        "one gateway": lambda: "g1",
        "any gateway": simulation.choose_any,
        "one gateway after the other": lambda: f"g{int(simulation.now_s / 3) % count}",
    }[where]


@when(
    "quotas: all callers send at 7 times their rates, through one gateway after the other and "
    "anywhere"
)
def send_overload(context):
    simulation = context.simulation
    for caller in simulation.spec_by_caller:
        for where in ("one gateway after the other", "any gateway"):
            simulation.load(caller, 3.5, 66.0, choose(simulation, where))


@when("quotas: gateways are cut off, frozen, killed, restarted and added")
def run_faults(context):
    simulation = context.simulation
    hosts = list(simulation.gateways)
    count = len(hosts)

    def find_owners():
        owners = {simulation.find_owner(each) for each in simulation.spec_by_caller}
        return sorted(owners - {None})

    simulation.run(4.0)
    simulation.cut(hosts[: count // 3], 6.0)
    simulation.run(9.0)
    for host in find_owners():
        simulation.freeze(host, 8.0)
    simulation.run(12.0)
    for host in find_owners():
        simulation.kill(host, 1.5)
    simulation.run(6.0)
    # Both halves hear half of the gateways.
    simulation.cut(hosts[: count // 2], 7.0)
    simulation.run(10.0)
    for _ in range(max(1, count // 4)):
        simulation.add()
    simulation.run(5.0)
    for host in hosts:
        simulation.kill(host, 1.0)
    simulation.run(20.0)
    context.seconds = 66.0


@then("quotas: no caller has used more than the bound in any 8 s")
def check_bound(context):
    simulation = context.simulation
    for caller in simulation.spec_by_caller:
        of_quota, of_bound = simulation.measure_use(caller)
        print(f"{caller}: {of_quota:.3f} of the quota, {of_bound:.3f} of the bound")
        assert of_bound <= 1.0, (caller, of_quota, of_bound)


@then("quotas: every caller has used at least a third of its rate")
def check_used(context):
    simulation = context.simulation
    for caller, spec in simulation.spec_by_caller.items():
        used = sum(cost for _, cost in simulation.served[caller])
        assert used >= spec.rate_per_s * context.seconds / 3, (caller, used)


@when("quotas: all callers send at {factor:g} times their rates for {seconds:g} s to {where}")
def send_to(context, factor, seconds, where):
    simulation = context.simulation
    messages, size = simulation.messages, simulation.bytes
    for caller in simulation.spec_by_caller:
        simulation.load(caller, factor, seconds, choose(simulation, where), factor < 1)
    simulation.run(seconds + 1.0)
    count = len(simulation.gateways) * (seconds + 1.0)
    messages, size = simulation.messages - messages, simulation.bytes - size
    print(f"{messages / count:.1f} messages and {size / count:.0f} bytes a gateway and second")


@when("quotas: all callers send at {factor:g} times their rates for {seconds:g} s")
def send_anywhere(context, factor, seconds):
    send_to(context, factor, seconds, "any gateway")


@then("quotas: less than 1 in {share:d} requests are denied")
def check_denied(context, share):
    for caller, outcomes in context.simulation.outcomes.items():
        assert outcomes["served"] > share, (caller, outcomes)
        assert (outcomes.total() - outcomes["served"]) * share < outcomes.total(), outcomes


@when("quotas: a request of {cost:d} tokens comes every {gap:d} s, to {count:d} gateways")
def send_seldom(context, cost, gap, count):
    for number in range(count):
        context.simulation.request("small", float(cost), f"g{number * 5}")
        context.simulation.run(gap)


@then("quotas: no request is denied")
def check_all_served(context):
    outcomes = context.simulation.outcomes["small"]
    assert outcomes["served"] == outcomes.total() > 0, outcomes


@when("quotas: the quotas are lowered to 1 in {divisor:d}")
def lower_quotas(context, divisor):
    simulation = context.simulation
    specs = {
        caller: each._replace(rate_per_s=each.rate_per_s / divisor, burst=each.burst / divisor)
        for caller, each in simulation.spec_by_caller.items()
    }
    send_anywhere_later = choose(simulation, "any gateway")
    for caller in specs:
        simulation.load(caller, 7.0, 20.0, send_anywhere_later)
    simulation.run(4.0)
    simulation.configure(specs)
    context.lowered_s = simulation.now_s
    simulation.run(17.0)


@then("quotas: no caller uses more than the new bound from {seconds:g} s later on")
def check_lowered(context, seconds):
    since_s = context.lowered_s + seconds
    for caller in context.simulation.spec_by_caller:
        of_quota, of_bound = context.simulation.measure_use(caller, since_s)
        assert 0.3 < of_bound <= 1.0, (caller, of_quota, of_bound)


@when("quotas: the owner stops while callers send at {factor:g} times their rates")
def stop_owner(context, factor):
    simulation = context.simulation
    simulation.load("calm", factor, 10.0, simulation.choose_any, True)
    simulation.run(3.0)
    simulation.gateways[simulation.find_owner("calm")].is_stopping = True
    simulation.run(8.0)


@when(
    "quotas: a gateway is cut off, and requests of {cost:d} tokens come there at {factor:d} times "
    "the rate"
)
def send_to_isolated(context, cost, factor):
    simulation = context.simulation
    rate_per_s = simulation.spec_by_caller["big"].rate_per_s
    simulation.cut(["g1"], 30.0)
    simulation.run(5.0)
    context.since_s = simulation.now_s
    for _ in range(100):
        for _ in range(round(rate_per_s * factor / cost / 10)):
            simulation.request("big", float(cost), "g1")
        simulation.run(0.1)


@then("quotas: it has served between {least:g} and {most:g} times its part of the reserve")
def check_reserve(context, least, most):
    used = sum(
        cost for time_s, cost in context.simulation.served["big"] if time_s >= context.since_s
    )
    reserve = 0.1 * 160_000 * (1.0 + 10.0) / 4
    assert least * reserve <= used <= most * reserve, (used, reserve)


@given('quotas: a full bucket of "{caller}"')
def give_bucket(context, caller):
    _, spec = read_spec(caller)
    context.bucket = QuotaBucket(spec, QuotaLimits(), 0.0)
    context.bucket.refill(1.0, 100.0)
    context.full = context.bucket.level


def ask(context, host, number, needs, advance):
    message = QuotaAsk("c", host, "i", number, 0, needs, advance, 0.0, 0.0)
    return context.bucket.answer(message, 100.0)


@when("quotas: {count:d} gateways each ask it for {amount:d} tokens in advance")
def ask_advance(context, count, amount):
    context.got = sum(ask(context, f"g{n}", 1, (), float(amount)).advance for n in range(count))


@then("quotas: they have got {amount:d} tokens, and a request of {cost:d} tokens is granted")
def check_advance(context, amount, cost):
    assert context.got == amount, context.got
    assert ask(context, "other", 1, (float(cost),), 0.0).accepted == (True,)


@when("quotas: a gateway asks {count:d} times for {cost:d} tokens, and no grant arrives")
def ask_again(context, count, cost):
    for number in range(1, count + 1):
        assert ask(context, "g0", number, (float(cost),), 0.0).accepted == (True,), number


@then("quotas: the bucket lacks {cost:d} tokens")
def check_level(context, cost):
    assert context.full - context.bucket.level == cost, context.bucket.level


@when("quotas: the owner is killed with a full bucket")
def kill_owner(context):
    context.simulation.kill(context.simulation.find_owner("small"), 60.0)
    context.killed_s = context.simulation.now_s


@then("quotas: the next owner's bucket holds at most what has accrued since")
def check_next_owner(context):
    simulation = context.simulation
    while simulation.find_owner("small") is None:
        simulation.run(0.05)
    simulation.run(0.2)
    owner = simulation.gateways[simulation.find_owner("small")]
    level = owner.core._state_by_caller["small"].bucket.level
    assert level <= 4200 * 0.3, (level, simulation.now_s - context.killed_s)


@when("quotas: {count:d} requests of {cost:d} tokens are refunded at once")
def refund_many(context, count, cost):
    simulation = context.simulation
    gateway = simulation.gateways["g0"]
    for _ in range(count):
        gateway.core.refund("small", float(cost), gateway.now())
    simulation.run(0.2)


@then("quotas: at most {count:d} requests of {cost:d} tokens are served at once")
def check_burst(context, count, cost):
    for _ in range(100):
        context.simulation.request("small", float(cost), "g0")
    assert 0 < context.simulation.outcomes["small"]["served"] <= count


@when("quotas: {count:d} requests of {cost:d} come at once")
def send_at_once(context, count, cost):
    simulation = context.simulation
    for _ in range(count):
        simulation.request("c", float(cost), "g0")
    simulation.run(0.2)


@then("quotas: {served:d} are served, and the others may come after {retry:g} s")
def check_served(context, served, retry):
    simulation = context.simulation
    assert simulation.outcomes["c"]["served"] == served, simulation.outcomes
    assert simulation.outcomes["c"]["unknown"] == 0, simulation.outcomes
    if served < 100:
        assert abs(simulation.retry_s["c"] - retry) < 0.02, simulation.retry_s


@then("quotas: each message is decoded by its own class only")
def check_messages(context):
    for message in MESSAGES:
        assert type(message).decode(message.encode()).ok == message
        for kind in (*(type(each) for each in MESSAGES), *OTHER_KINDS):
            if kind is not type(message):
                assert kind.decode(message.encode()).is_error(), (kind, message)


@then('quotas: "{value}" is rejected')
def check_invalid(context, value):
    for message in MESSAGES:
        for data in make_datagrams(type(message), value):
            assert type(message).decode(data).is_error(), data
