"""
builders
~~~~~~~~

Requests, views, rules and inventories with default values, for the steps of several features.
"""

from kingcupdyke.placement import EndpointInventory
from kingcupdyke.request import Request
from kingcupdyke.routing import EndpointView
from kingcupdyke.rule import ModelRule, RuleSet, ServiceClass

__all__ = ["make_inventory", "make_model", "make_request", "make_rules", "make_view"]


def make_request(request_id="r1", **fields):
    """:return: an interactive request with a deadline of ten seconds"""
    default = Request(request_id, "referee", ServiceClass.INTERACTIVE, "m", "", 0.0, 10.0, True)
    return default._replace(**fields)


def make_view(endpoint, **fields):
    """:return: the view of an idle endpoint with a fresh report"""
    return EndpointView(endpoint, "north", "a", 0, 0, 0.0, 0, 0.01, True, 0)._replace(**fields)


def make_model(name, **fields):
    """:return: the rule of a model of 10 bytes that needs one replica"""
    default = ModelRule(name, "1", 8, 2, 1, (), ("*",), ServiceClass.INTERACTIVE, 10.0)
    return default._replace(**fields)


def make_rules(models, adapters=()):
    """:return: a rule set of the models and adapters"""
    return RuleSet.empty()._replace(
        models_by_name={each.name: each for each in models},
        adapters_by_name={each.name: each for each in adapters},
    )


def make_inventory(endpoint, **fields):
    """:return: an inventory of an empty endpoint with a capacity of 20 bytes"""
    empty = frozenset()
    default = EndpointInventory(endpoint, "north", "a", 20, 0, empty, empty, False, empty)
    return default._replace(**fields)
