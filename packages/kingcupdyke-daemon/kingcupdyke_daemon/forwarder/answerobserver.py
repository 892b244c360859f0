"""
kingcupdyke_daemon.forwarder.answerobserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records what endpoints say of themselves in the headers of their answers.
"""

from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.metadata import AnswerMetadata
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.endpointbackoffs import EndpointCall
from kingcupdyke_daemon.forwarder.requestlog import RequestLog

__all__ = ["AnswerObserver"]


class AnswerObserver:
    """Observes the answers to one request.

    :param deps: collaborators shared by all requests
    :param request_log: writes the request's log lines
    """

    def __init__(self, deps: ForwarderDependencies, request_log: RequestLog) -> None:
        self._deps = deps
        self._request_log = request_log

    def note_any(self, entry: EndpointEntry, status: int, answer: AnswerMetadata) -> None:
        """Record what counts in an answer to whatever request: that the endpoint is leaving, or
        requests backoff.
        """
        self._deps.backoffs.note_answer(entry, EndpointCall.REQUEST, status, answer)
        if answer.is_leaving:
            self._request_log.leaving.append(answer.endpoint or entry.endpoint)
            self._deps.leaving.note_answer(entry, answer)

    def note_own(self, entry: EndpointEntry, answer: AnswerMetadata) -> None:
        """Record the limit in the answer to this request; one that is not the endpoint's own work
        ends no limit.
        """
        self._request_log.limit_per_s = answer.limit_per_s
        is_other = answer.endpoint not in ("", entry.endpoint)
        if not is_other and (answer.is_stamped or answer.limit_per_s is not None):
            self._deps.limits.note_answer(entry, answer.limit_per_s)
