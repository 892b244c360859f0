"""
kingcupdyke.forwarding.modelwait
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Where the model of a request is ready, and how long it takes to load it.
"""

from kingcupdyke.forwarding.configuration import EngineSpec
from kingcupdyke.forwarding.endpoint import Replica
from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = ["estimate_load_s", "has_replica"]


def has_replica(table: EndpointTable, state: EndpointState, item: WorkItem, now_s: float) -> bool:
    """:return: whether the model and adapter of a request are ready at an endpoint"""
    endpoint = state.entry.endpoint
    if not table.has_replica(Replica(endpoint, item.model), now_s):
        return False
    if not item.adapter:
        return True
    return table.has_replica(Replica(endpoint, item.model, item.adapter), now_s)


def estimate_load_s(
    table: EndpointTable,
    item: WorkItem,
    engine_spec: EngineSpec,
    states: list[EndpointState],
    now_s: float,
) -> float:
    """:return: seconds that the fastest load of a request's model takes, 0 if it is ready"""
    spec = engine_spec.models_by_name[item.model]
    shortest_s = spec.load_s
    for state in states:
        if table.has_replica(Replica(state.entry.endpoint, item.model), now_s):
            return 0.0
        if item.model in state.entry.in_memory:
            shortest_s = min(shortest_s, spec.memory_load_s)
        elif item.model in state.entry.on_disk:
            shortest_s = min(shortest_s, spec.disk_load_s)
    return shortest_s
