"""
kingcupdyke_daemon.forwarder.workitems
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Describes clients' requests to the dispatcher.
"""

from uuid import uuid4

from kingcupdyke.forwarding.callertable import Caller
from kingcupdyke.forwarding.configuration import Route
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke_daemon.forwarder.fingerprint import make_fingerprint
from kingcupdyke_daemon.forwarder.reply import ClientRequest

__all__ = ["make_work_item"]


def make_work_item(
    request: ClientRequest,
    metadata: RequestMetadata,
    route: Route,
    caller: Caller | None,
    has_callers: bool,
) -> WorkItem:
    """:return: the properties of a request on which the dispatcher decides

    :param caller: who has sent the request, or None if that is not known
    :param has_callers: whether callers are configured
    """
    timeout_s = route.timeout_s if metadata.caller_timeout_s is None else metadata.caller_timeout_s
    name = "" if caller is None else caller.name
    has_priority = caller is not None and caller.priority is not None
    return WorkItem(
        attempt_id=metadata.attempt_id or uuid4().hex,
        service=route.choose_service(metadata.attempt_id),
        model=metadata.model,
        adapter=metadata.adapter,
        parts=metadata.parts,
        prompt_tokens=metadata.prompt_tokens,
        output_tokens=metadata.output_tokens,
        priority=caller.priority if has_priority else route.priority,
        arrived_s=request.arrived_s,
        objective_s=request.arrived_s + route.objective_s,
        first_by_s=request.arrived_s + route.first_patience_s,
        deadline_s=request.arrived_s + min(timeout_s, route.timeout_s),
        fingerprint=make_fingerprint(request, metadata, name, has_callers),
        is_resumable=route.is_resumable,
        caller=name,
        route=route.name,
    )
