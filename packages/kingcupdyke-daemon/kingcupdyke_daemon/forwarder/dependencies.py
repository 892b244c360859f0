"""
kingcupdyke_daemon.forwarder.dependencies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The collaborators of a forwarding gateway's requests.
"""

from typing import NamedTuple

from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.retrybudget import SharedRetryBudget
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.answerbuffer import AnswerMemory
from kingcupdyke_daemon.forwarder.crashdirectory import CrashDirectory
from kingcupdyke_daemon.forwarder.dialect import Dialect
from kingcupdyke_daemon.forwarder.endpointbackoffs import EndpointBackoffs
from kingcupdyke_daemon.forwarder.leavingdirectory import LeavingDirectory
from kingcupdyke_daemon.forwarder.limitdirectory import LimitDirectory
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.origindirectory import OriginDirectory
from kingcupdyke_daemon.forwarder.pool import ConnectionPool
from kingcupdyke_daemon.forwarder.queue import WaitingQueue
from kingcupdyke_daemon.forwarder.quotadirectory import QuotaDirectory
from kingcupdyke_daemon.forwarder.versionregistrar import VersionRegistrar
from kingcupdyke_daemon.logs import LineSampler

__all__ = ["ForwarderDependencies"]


class ForwarderDependencies(NamedTuple):
    """Collaborators shared by all forwarded requests of a gateway."""

    dialect: Dialect
    dispatcher: Dispatcher
    endpoint_table: EndpointTable
    queue: WaitingQueue
    pool: ConnectionPool
    budget: SharedRetryBudget
    timer: TimerService
    metrics: ForwarderMetrics
    sampler: LineSampler
    origins: OriginDirectory
    crashes: CrashDirectory
    limits: LimitDirectory
    leaving: LeavingDirectory
    backoffs: EndpointBackoffs
    versions: VersionRegistrar
    quotas: QuotaDirectory
    memory: AnswerMemory
