"""
kingcupdyke_daemon.forwarder.plannerlease
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Creates the state machine of the planner's lease.
"""

from kingcupdyke.lease import LeaseMachine
from kingcupdyke_daemon.forwarder.plannerrunner import (
    LEASE_NAME,
    MAX_UNRENEWED_LEASE_S,
    RENEWAL_INTERVAL_S,
)

__all__ = ["LEASE_MARGIN_S", "make_planner_lease"]

#: How much longer a lease lasts than the minimum time between the orders of two planners. Must
#: exceed the time after a proof of the lease during which orders are sent.
LEASE_MARGIN_S = 1.2


def make_planner_lease(host: str, incarnation: str, lease_s: float) -> LeaseMachine:
    """:return: the lease of a gateway

    :param incarnation: identifies this start of the process
    :param lease_s: minimum seconds between the orders of two planners
    """
    return LeaseMachine(
        LEASE_NAME,
        f"{host}/{incarnation}",
        lease_s + LEASE_MARGIN_S,
        RENEWAL_INTERVAL_S,
        outlives_outage=False,
        earlier_owner_prefix=f"{host}/",
        host=host,
        outlives_s=MAX_UNRENEWED_LEASE_S,
        handover_s=lease_s,
    )
