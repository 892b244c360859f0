"""
storechanges_steps
~~~~~~~~~~~~~~~~~~

Steps for the changes of the store that gateways pass on to their region.
"""

from behave import then, when
from forwarding_builders import make_datagrams

from kingcupdyke.forwarding.peermessage import MessageKind, pack_message
from kingcupdyke.forwarding.peerstate import GatewayState
from kingcupdyke.forwarding.storechanges import (
    StoreChange,
    StoreChanges,
    choose_primary_readers,
    choose_readers,
)

EMPTY = GatewayState("h", "i", 1, False, 1, (), (), (), 0, None, ())
MESSAGE = StoreChanges(
    "a", "kind", 4, 7, True, (StoreChange("n", 6, '{"a":"é"}'), StoreChange("o", 7, None)), 7
)


@then("storechanges: a message with changes is the same when decoded")
def check_round_trip(context):
    assert StoreChanges.decode(MESSAGE.encode()).ok == MESSAGE


@then("storechanges: a state is no valid message with changes")
def check_kinds(context):
    assert StoreChanges.decode(EMPTY.encode()).is_error()
    assert GatewayState.decode(MESSAGE.encode()).is_error()


@then('storechanges: "{value}" is rejected')
def check_rejected(context, value):
    for each in make_datagrams(StoreChanges, value):
        assert StoreChanges.decode(each).is_error(), each


@when('storechanges: the gateways "{gateways}" choose readers')
def choose(context, gateways):
    states = []
    for text in gateways.split():
        host, _, mark = text.partition("!")
        kinds = ("kind",) if mark == "cut" else ()
        states.append(
            EMPTY._replace(host=host, is_stopping=mark == "stopping", unreadable_kinds=kinds)
        )
    context.states = states
    peers_by_host = {each.host: [peer for peer in states if peer != each] for each in states}
    context.choices = {
        host: choose_readers("kind", host, peers) for host, peers in peers_by_host.items()
    }
    context.primaries = {
        host: choose_primary_readers("kind", host, peers) for host, peers in peers_by_host.items()
    }


@then("storechanges: all choose the same {count:d} readers, which are able to read")
def check_choice(context, count):
    able = {
        each.host for each in context.states if not each.unreadable_kinds and not each.is_stopping
    }
    choices = {tuple(found) for host, found in context.choices.items() if host in able}
    assert len(choices) == 1, choices
    (readers,) = choices
    assert len(readers) == count and set(readers) <= able, readers


@then("storechanges: each chooses itself")
def check_self(context):
    assert all(found == [host] for host, found in context.choices.items()), context.choices


@then("storechanges: all choose the same {count:d} primary readers, which are among the readers")
def check_primaries(context, count):
    able = [each.host for each in context.states if not each.unreadable_kinds]
    primaries = {tuple(context.primaries[host]) for host in able}
    assert len(primaries) == 1, primaries
    (chosen,) = primaries
    assert len(chosen) == count, chosen
    assert all(set(chosen) <= set(context.choices[host]) for host in able), chosen


@then("storechanges: a message without a last change is decoded with position 0")
def check_earlier_release(context):
    fields = MESSAGE._asdict()
    del fields["last_change"]
    found = StoreChanges.decode(pack_message(MessageKind.STORE_CHANGES, fields))
    assert found.ok == MESSAGE._replace(last_change=0), found
