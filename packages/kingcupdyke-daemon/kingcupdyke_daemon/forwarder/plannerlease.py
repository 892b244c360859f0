"""
kingcupdyke_daemon.forwarder.plannerlease
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Creates the state machine of the planner's lease.
"""

from kingcupdyke.lease import LeaseMachine

__all__ = [
    "LEASE_MARGIN_S",
    "MAX_UNRENEWED_LEASE_S",
    "RENEWAL_INTERVAL_S",
    "make_planner_lease",
]

#: Name of the lease.
LEASE_NAME = "planner"
#: Interval between renewals of the lease by its holder, and between reads of it by other gateways.
RENEWAL_INTERVAL_S = 0.8
#: Time after its last renewal for which the lease may be kept by promises of peers. A gateway that
#: the holder did not list as a member waits this much longer before it takes the lease.
MAX_UNRENEWED_LEASE_S = 40.0

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
