"""
backofftable_steps
~~~~~~~~~~~~~~~~~~

Steps for the table of requested backoff.
"""

from behave import then, when

from kingcupdyke.forwarding.backofftable import BackoffTable


@when('backofftable: "{events}" happens')
def run_events(context, events):
    """Run events such as ``1.5 e1 2``: at 1.5 s, e1 requests 2 s."""
    context.backoff_table = BackoffTable()
    for event in events.split("; "):
        at_s, word, *seconds = event.split()
        context.now_s = float(at_s)
        if word == "clean":
            context.backoff_table.drop_expired(context.now_s)
        elif seconds:
            context.backoff_table.note(word, float(seconds[0]), context.now_s)


def describe(context):
    delays = context.backoff_table.list_delays(context.now_s)
    return " ".join(f"{endpoint}={delay_s:g}" for endpoint, delay_s in delays)


@then('backofftable: the remaining times are ""')
def check_none(context):
    assert describe(context) == "", describe(context)


@then('backofftable: the remaining times are "{delays}"')
def check_delays(context, delays):
    assert describe(context) == delays, describe(context)
    for each in delays.split():
        endpoint, _, delay_s = each.partition("=")
        assert (
            abs(context.backoff_table.find_delay(endpoint, context.now_s) - float(delay_s)) < 1e-9
        )


@then("backofftable: it is empty")
def check_empty(context):
    assert context.backoff_table.is_empty
