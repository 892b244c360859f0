"""
kingcupdyke.routers
~~~~~~~~~~~~~~~~~~~

Routers, and their lookup by the name that settings use.
"""

from kingcupdyke.routers.baseline import LeastLoadRouter, RandomRouter, RoundRobinRouter
from kingcupdyke.routers.cost import CostRouter
from kingcupdyke.routing import Router
from kingcupdyke.util import check_options, get_choice_opt

__all__ = ["ROUTERS_BY_NAME", "get_router"]

#: Classes of routers by the name that settings use.
ROUTERS_BY_NAME: dict[str, type[Router]] = {
    each.name: each for each in (CostRouter, RandomRouter, RoundRobinRouter, LeastLoadRouter)
}


def get_router(name: str, **options: object) -> Router:
    """:return: a new router

    :param name: a key of :data:`ROUTERS_BY_NAME`
    :param options: see the router's class
    :raises OptionError: if the name is unknown or an option is invalid
    """
    kind = ROUTERS_BY_NAME[get_choice_opt({"router": name}, "router", ROUTERS_BY_NAME)]
    check_options(kind, options)
    return kind(**options)
