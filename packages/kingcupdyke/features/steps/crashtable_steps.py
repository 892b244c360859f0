"""
crashtable_steps
~~~~~~~~~~~~~~~~

Steps for the crashes that gateways know.
"""

from random import Random

from behave import then, when
from forwarding_builders import make_datagrams

from kingcupdyke.forwarding.crashreport import CrashMessage, CrashReport, SoundPart
from kingcupdyke.forwarding.crashtable import CrashTable

FULL_MESSAGE = CrashMessage(
    "h", (CrashReport("e1", 7, ("a", "x"), True, 1.5),), (SoundPart("a", 0.25),)
)


@then("crashtable: a full message is the same when decoded")
def check_round_trip(context):
    assert CrashMessage.decode(FULL_MESSAGE.encode()).ok == FULL_MESSAGE


@then('crashtable: "{value}" is rejected')
def check_invalid(context, value):
    for each in make_datagrams(CrashMessage, value):
        assert CrashMessage.decode(each).is_error(), each


def split(text):
    return [each.strip() for each in text.split(",") if each.strip()]


def apply_event(table, text):
    """Apply an event at its own time."""
    second, name, prompt = text.split()
    parts = tuple(prompt.rstrip("*").split("-"))
    if name == "+":
        table.note_sound(parts, float(second))
    else:
        table.record(CrashReport(name, 1, parts, prompt.endswith("*"), 0.0), float(second))


@when('crashtable: the events are "{events}"')
def give_events(context, events):
    context.crash_table = CrashTable()
    for each in split(events):
        apply_event(context.crash_table, each)
        # Finding the signatures in between must not change them later.
        assert context.crash_table.signatures is not None


def describe_signatures(table):
    return ", ".join(sorted("-".join(sorted(each.parts)) for each in table.signatures))


@then('crashtable: the signatures are "{signatures}"')
def check_signatures(context, signatures):
    assert describe_signatures(context.crash_table) == signatures, context.crash_table.signatures


@then('crashtable: the signatures are ""')
def check_no_signature(context):
    assert not context.crash_table.signatures, context.crash_table.signatures


def is_rejected(table, prompt, now_s):
    return table.find_signature(prompt.split("-"), now_s) is not None


@then('crashtable: the rejected prompts of "{prompts}" are "{rejected}"')
def check_rejected(context, prompts, rejected):
    found = [each for each in split(prompts) if is_rejected(context.crash_table, each, 10.0)]
    assert found == split(rejected), found


@then('crashtable: the rejected prompts of "{prompts}" are ""')
def check_none_rejected(context, prompts):
    check_rejected(context, prompts, "")


@then('crashtable: after {seconds:g} s "{prompt}" is {state}')
def check_state(context, seconds, prompt, state):
    context.crash_table.drop_expired(seconds)
    assert is_rejected(context.crash_table, prompt, seconds) == (state == "rejected")


@then(
    "crashtable: {count:d} random orders of reports and answers, with repeats, give the same "
    "signatures"
)
def check_orders(context, count):
    events = "1 e1 a-x-l1*, 1 e1 a-y-l4, 2 e2 a-x-l2*, 2.5 + y, 3 e3 a-x-l3, 3.5 + a, 4 e4 a-y-l5*"
    messages = []
    for each in split(events):
        table = CrashTable()
        if "+" in each:
            # A table keeps answers only to prompts with parts that are in a report.
            for report in split(events):
                if "+" not in report:
                    apply_event(table, report)
        apply_event(table, each)
        messages.append(table.make_message("h", 5.0))
    random = Random(1)
    for _ in range(count):
        table = CrashTable()
        order = messages * 2
        random.shuffle(order)
        for message in order:
            table.merge(message, 5.0)
        assert describe_signatures(table) == "x", table.signatures


@when("crashtable: {count:d} other requests are at crashes")
def add_others(context, count):
    for number in range(count):
        report = CrashReport(f"o{number // 10}", 1, ("a", f"own{number}"), False, 0.0)
        context.crash_table.record(report, 4.0 + number / count)


@then("crashtable: at most {count:d} reports are kept")
def check_kept(context, count):
    assert len(context.crash_table.make_message("h", 5.0).reports) <= count
