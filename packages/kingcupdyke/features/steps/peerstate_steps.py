"""
peerstate_steps
~~~~~~~~~~~~~~~

Steps for the messages between gateways.
"""

from behave import then, when
from forwarding_builders import make_datagrams

from kingcupdyke.forwarding.peerstate import (
    Demand,
    EndpointLoad,
    GatewayState,
    LeasePromise,
    PeerTable,
    Placement,
)
from kingcupdyke.forwarding.storerelay import RelayedObject, StoreRelay, list_relay_hosts

EMPTY = GatewayState("h", "i", 1, False, 1, (), (), (), 0, None, ())


@then("peerstate: a full message is the same when decoded")
def check_round_trip(context):
    state = EMPTY._replace(
        loads=(EndpointLoad("e", 2, 100),),
        demands=(Demand("m", "a", 3, 10.5),),
        unreachable=("e2",),
        fence=4,
        lease_promise=LeasePromise("p", "i", 4, 7),
        placements=(Placement("e", "m", "", True, 1.5),),
    )
    assert GatewayState.decode(state.encode()).ok == state


@then('peerstate: "{value}" is rejected')
def check_rejected(context, value):
    for each in make_datagrams(GatewayState, value):
        assert GatewayState.decode(each).is_error(), each


@when('peerstate: messages "{messages}" are received')
def receive_messages(context, messages):
    context.peers = PeerTable()
    for message in messages.split(", "):
        at_s, host, incarnation, number = message.split()
        state = EMPTY._replace(host=host, incarnation=incarnation, number=int(number))
        context.peers.receive(state, float(at_s))


@then('peerstate: at second {at_s:g} the live peers are "{live}"')
def check_live(context, at_s, live):
    found = " ".join(f"{each.host}:{each.number}" for each in context.peers.live(at_s))
    assert found == live, found


RELAY = StoreRelay("kind", 7, (RelayedObject("n", 3, '{"a":"é"}'),))


@then("peerstate: a relay of the store is the same when decoded")
def check_relay(context):
    assert StoreRelay.decode(RELAY.encode()).ok == RELAY


@then("peerstate: a state is no valid relay, and a relay is no valid state")
def check_kinds(context):
    assert StoreRelay.decode(EMPTY.encode()).is_error()
    assert GatewayState.decode(RELAY.encode()).is_error()


@then('peerstate: with the peers "{peers}" gateway b relays to "{hosts}"')
def check_hosts(context, peers, hosts):
    states = []
    for text in peers.split():
        host, _, mark = text.partition("!")
        kinds = {"": (), "cut": ("kind",), "other": ("another",)}[mark]
        states.append(EMPTY._replace(host=host, unreadable_kinds=kinds))
    assert list_relay_hosts("kind", "b", states) == hosts.split()


@then('peerstate: with the peers "{peers}" gateway b relays to ""')
def check_no_hosts(context, peers):
    check_hosts(context, peers, "")
