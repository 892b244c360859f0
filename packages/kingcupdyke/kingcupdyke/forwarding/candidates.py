"""
kingcupdyke.forwarding.candidates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The endpoints that may serve requests, looked up once for all requests that are decided on together.
"""

from kingcupdyke.forwarding.endpointstate import EndpointState
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.modelwait import has_replica
from kingcupdyke.forwarding.workitem import WorkItem

__all__ = ["EndpointCandidates"]


class EndpointCandidates:
    """Remembers what it has looked up until :meth:`forget`.

    :param table: the endpoints
    """

    def __init__(self, table: EndpointTable) -> None:
        self._table = table
        self._ready_by_service: dict[str, list[EndpointState]] = {}
        #: Endpoints that hold a model, or an adapter of it, by service, model and adapter.
        self._holders_by_replica: dict[tuple[str, str, str], frozenset[str]] = {}

    def forget(self) -> None:
        """Look everything up again, as the endpoints or the time may have changed."""
        self._ready_by_service.clear()
        self._holders_by_replica.clear()

    def list_ready(self, service: str) -> list[EndpointState]:
        """:return: endpoints of a service that accept new requests; the list is shared"""
        ready = self._ready_by_service.get(service)
        if ready is None:
            ready = self._ready_by_service[service] = self._table.list_ready(service)
        return ready

    def list_holders(self, item: WorkItem, now_s: float) -> frozenset[str]:
        """:return: those of them at which the model and adapter of a request are ready"""
        key = item.service, item.model, item.adapter
        holders = self._holders_by_replica.get(key)
        if holders is None:
            holders = self._holders_by_replica[key] = frozenset(
                each.entry.endpoint
                for each in self.list_ready(item.service)
                if has_replica(self._table, each, item, now_s)
            )
        return holders
