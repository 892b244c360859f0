"""
kingcupdyke_daemon.forwarder.parts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the exchanges of a forwarding gateway work with.
"""

from typing import NamedTuple

from kingcupdyke.forwarding.board import EndpointBoard
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.repeats import RepeatBudget
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.pool import ConnectionPool
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.logs import LineSampler

__all__ = ["ForwarderParts"]


class ForwarderParts(NamedTuple):
    """What exchanges work with."""

    dialect: Dialect
    dispatcher: Dispatcher
    board: EndpointBoard
    queue: WaitingQueue
    pool: ConnectionPool
    budget: RepeatBudget
    timer: TimerService
    metrics: ForwarderMetrics
    sampler: LineSampler
