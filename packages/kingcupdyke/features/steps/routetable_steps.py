"""
routetable_steps
~~~~~~~~~~~~~~~~

Steps for routes and the table of routes.
"""

import re

from behave import given, then
from forwarding_builders import make_route

from kingcupdyke.forwarding.configuration import RouteKind, RouteTable, WeightedService


@given("routetable: routes {text}")
def make_table(context, text):
    routes = []
    for each in re.findall('"([^"]*)"', text):
        host, prefix, name = each.split()
        routes.append(make_route(name=name, host=host, path_prefix=prefix))
    context.routes = RouteTable(tuple(routes))


@then('routetable: a request for "{host}" and "{path}" takes "{route}"')
def check_route(context, host, path, route):
    found = context.routes.find(host, path)
    assert (found.name if found else "none") == route, found


def split_route():
    return make_route(services=(WeightedService("one", 90), WeightedService("two", 10)))


@then(
    "routetable: of {count:d} attempts a split of 90 to 10 sends {min_count:d} to {max_count:d} to "
    "the second service"
)
def check_shares(context, count, min_count, max_count):
    chosen = [split_route().choose_service(f"attempt-{number}") for number in range(count)]
    assert min_count <= chosen.count("two") <= max_count, chosen.count("two")


@then("routetable: an attempt takes the same service each time")
def check_fixed(context):
    for number in range(100):
        route = split_route()
        services = {route.choose_service(f"attempt-{number}") for _ in range(5)}
        assert len(services) == 1, services


@then("routetable: its timeout for the first event is {timeout:g} s")
def check_timeout(context, timeout):
    row = context.active_outline
    route = make_route(
        kind=RouteKind.STREAMING,
        objective_s=float(row["objective"]),
        gap_target_s=float(row["gap"]),
    )
    assert route.first_patience_s == timeout, route.first_patience_s
