"""
embedding
~~~~~~~~~

Uses the core as a library without a daemon: routing, admission, memory and answer assembly.
"""

from random import Random

from kingcupdyke import get_router
from kingcupdyke.admission import AdmissionQueue, Admitted, Refused
from kingcupdyke.answer import AnswerAssembler
from kingcupdyke.inventory import EngineInventory, OrderState
from kingcupdyke.ledger import MemoryLedger
from kingcupdyke.placement import Order, OrderKind
from kingcupdyke.request import Request
from kingcupdyke.routing import EndpointView
from kingcupdyke.rule import ServiceClass
from kingcupdyke.timer import ManualTimer
from kingcupdyke.util import GIB


def make_request(request_id: str, deadline_s: float) -> Request:
    """:return: a request that arrived at time zero"""
    return Request(
        request_id, "desk", ServiceClass.INTERACTIVE, "chat-7b", "", 0.0, deadline_s, True
    )


def route() -> None:
    """Route a request to the endpoint with the earliest expected answer."""
    idle = EndpointView("model-1", "north", "n1", 0, 0, 0.1, 0, 0.02, True, 0)
    busy = EndpointView("model-2", "north", "n2", 30, 40, 0.1, 0, 0.08, True, 0)
    router = get_router("cost", home_region="north")
    choice = router.choose(make_request("r1", 5.0), [busy, idle], 0.0, Random(1)).ok
    print(f"routed to {choice.endpoint}, crossing regions: {choice.crosses_regions}")


def admit() -> None:
    """Admit a request that can meet its deadline and reject immediately one that cannot."""
    timer = ManualTimer()
    queue = AdmissionQueue(capacity=1, most_waiting=4)
    first = queue.offer(make_request("r1", 5.0), 1.0, timer.now())
    too_late = queue.offer(make_request("r2", 0.5), 1.0, timer.now())
    assert isinstance(first, Admitted)
    assert isinstance(too_late, Refused)
    print(
        f"rejected: {too_late.failure.outcome}, retry after {too_late.failure.retry_after_s:.1f} s"
    )


def reserve_memory() -> None:
    """Reserve memory before an order is sent and keep it until the order's end is confirmed."""
    ledger = MemoryLedger(capacity_bytes=40 * GIB)
    empty = EngineInventory("engine-1", "", 0, 40 * GIB, 0, {}, {}, {}, {})
    ledger.observe(empty, 0.0)
    load = Order("o1", "model-1", OrderKind.LOAD, "chat-7b", order_bytes=24 * GIB)
    rival = Order("o2", "model-1", OrderKind.LOAD, "plan-13b", order_bytes=24 * GIB)
    assert ledger.reserve(load, 0.0, lifetime_s=30.0).is_ok()
    rejected = ledger.reserve(rival, 0.0, lifetime_s=30.0)
    print(f"second load: {rejected.error.outcome} at step {rejected.error.step}")
    ledger.answered("o1", OrderState.DONE, 1.0)
    print(f"resident: {', '.join(ledger.models)}, free: {ledger.free_bytes // GIB} GiB")


def assemble() -> None:
    """Assemble an answer whose parts include a duplicate and one of another answer."""
    answer = AnswerAssembler("r1", "a1")
    answer.start("r1", "a1", 200, "text/plain")
    parts = [answer.part("r1", "a1", offset, data) for offset, data in ((0, b"no"), (0, b"no"))]
    foreign = answer.part("r9", "a9", 1, b"??")
    answer.part("r1", "a1", 1, b"te")
    answer.end("r1", "a1", 2)
    print(
        f"duplicate dropped: {parts[1].ok is None},"
        f" part of another answer rejected: {foreign.is_error()}"
    )
    print(f"complete: {answer.complete}")


def main() -> None:
    """Run each example once."""
    route()
    admit()
    reserve_memory()
    assemble()


if __name__ == "__main__":
    main()
