"""
routers_steps
~~~~~~~~~~~~~

Steps for routers.
"""

from collections import Counter
from random import Random

from behave import given, then, use_step_matcher, when
from builders import make_request, make_view
from checks import find_wrong_option

from kingcupdyke.error import Outcome, Step
from kingcupdyke.routers import get_router
from kingcupdyke.routers.cost import count_crossing_bytes

TRIES = 30


def read_value(text):
    """:return: a number if the text is one, False for an empty text, else the text"""
    if not text:
        return False
    try:
        return float(text)
    except ValueError:
        return text


def read_options(words):
    """:return: options from words such as ``lean=0.5``"""
    pairs = (word.split("=") for word in words)
    return {name: read_value(value) for name, value in pairs}


def read_views(words):
    """:return: views from words such as ``e1:south:busy`` with options after each"""
    views = []
    for word in words.replace("none", "").replace(" and ", " ").split():
        if "=" in word:
            views[-1] = views[-1]._replace(**read_options([word]))
        else:
            endpoint, region, *busy = word.split(":")
            load = {"running": 8, "waiting": 40} if busy else {}
            views.append(make_view(endpoint, region=region, **load))
    return views


def choose(context, request, views, now_s=0.0):
    return context.router.choose(request, views, now_s, context.rng)


use_step_matcher("re")


@given("a (?P<name>[a-z_]+) router(?P<options>.*)")
def make_router(context, name, options):
    context.router = get_router(name, **read_options(options.split()))
    context.rng = Random(1)


@given("a (?P<name>[a-z_]+) (?P<options>[a-z_]+=.*) router")
def make_router_first(context, name, options):
    make_router(context, name, options)


use_step_matcher("parse")


@when("the router chooses for a request among {views}")
def choose_any(context, views):
    choose_in_time(context, 10.0, views)


@when("the router chooses for a request with {left:g} seconds left among {views}")
def choose_in_time(context, left, views):
    request = make_request(max_tokens=50, deadline_s=left)
    views = read_views(views)
    context.results = [choose(context, request, views) for _ in range(TRIES)]


@then("the router rejects as not run at step route with a retry time")
def check_rejection(context):
    failure = context.results[0].error
    assert (failure.outcome, failure.step) == (Outcome.NOT_RUN, Step.ROUTE), failure
    assert failure.retry_after_s > 0, failure


@then("the router always chose {endpoint:w} {way}")
def check_choice(context, endpoint, way):
    chosen = {(each.ok.endpoint, each.ok.crosses_regions) for each in context.results}
    assert chosen == {(endpoint, way == "across regions")}, chosen


@when("the router chooses {count:d} times in 10 s for {size:d} bytes that only {view} serves")
def choose_remote(context, count, size, view):
    context.request = make_request(body_bytes=size, deadline_s=1000.0)
    context.views = read_views(view)
    times = [10.0 * number / count for number in range(count)]
    context.results = [choose(context, context.request, context.views, each) for each in times]


@then("the router crossed with {least:d} to {most:d} bytes and rejected the others")
def check_crossings(context, least, most):
    crossed = [each for each in context.results if each.is_ok()]
    total = len(crossed) * count_crossing_bytes(context.request)
    assert least <= total <= most, total
    assert all(each.error.retry_after_s > 0 for each in context.results if each.is_error())


@then("the router crosses once more after a refund")
def check_refund(context):
    context.router.refund(context.request)
    context.router.refund(context.request)
    results = [choose(context, context.request, context.views, 10.0) for _ in range(4)]
    assert [each.is_ok() for each in results][0], results
    assert not results[-1].is_ok()


@when("the router chooses for {count:d} requests with one prompt prefix among 40 endpoints, {load}")
def choose_with_prefix(context, count, load):
    request = make_request(max_tokens=50, prefixes=tuple("abcdefgh"))
    views = [make_view(f"e{number}") for number in range(40)]
    views = [each._replace(cached_blocks=0) for each in views]
    first = Counter(choose(context, request, views).ok.endpoint for _ in range(count))
    context.frequent = {endpoint for endpoint, _ in first.most_common(4)}
    warm = [
        each._replace(
            cached_blocks=8 * (each.endpoint in context.frequent),
            running=8 * (each.endpoint in context.frequent and load != "all idle"),
            waiting=20 * (each.endpoint in context.frequent and load != "all idle"),
        )
        for each in views
    ]
    if not context.router._affinity:
        warm = views
    context.chosen = Counter(choose(context, request, warm).ok.endpoint for _ in range(count))


@then("the router sent {least:d} to {most:d} of them to the four endpoints it chose most")
def check_frequent(context, least, most):
    total = sum(context.chosen[each] for each in context.frequent)
    assert least <= total <= most, context.chosen


@then("the router {name} with {options} is rejected for its option {option}")
def check_option(context, name, options, option):
    assert find_wrong_option(get_router, name, **read_options(options.split())) == option
