"""
kingcupdyke_daemon.forwarder.streamcontinuation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds at which software version a client's stream may continue, and records where it began.
"""

import logging

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.forwarding.configuration import Route
from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke.forwarding.streamorigin import StreamOrigin
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.dialect import LAST_EVENT_ID, Headers
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import ContinuationRecord

__all__ = ["StreamContinuation"]

_LOGGER = logging.getLogger(__name__)
#: Evidence for the version at which a stream continues.
FROM_ORIGIN = "origin"
FROM_REGISTER = "register"


class StreamContinuation:
    """Keeps the stream of one request at the software version that began it.

    :param deps: collaborators shared by all requests
    :param route: route of the request
    :param metadata: metadata from the request's headers
    :param headers: headers of the request
    """

    def __init__(
        self,
        deps: ForwarderDependencies,
        route: Route,
        metadata: RequestMetadata,
        headers: Headers,
    ) -> None:
        self._deps = deps
        self._route = route
        self._metadata = metadata
        #: Whether the client continues a stream that an earlier attempt began.
        self.is_continued = route.is_resumable and (
            bool(metadata.resumes) or any(name == LAST_EVENT_ID for name, _ in headers)
        )
        if route.is_resumable and metadata.caller_timeout_s is not None:
            deps.versions.register.note_caller_timeout(metadata.caller_timeout_s)
        #: Entry of the endpoint as it was when the request was sent there.
        self._sent: EndpointEntry | None = None
        #: The origin once the first event was passed on, or found for a continued stream.
        self._origin: StreamOrigin | None = None
        self._began_s = 0.0
        #: Whether events were passed on to the client of this request.
        self._has_events = False
        #: What proves the version of a stream that is to continue, or empty.
        self._evidence = ""

    async def find_origin(self, service: str) -> Result[StreamOrigin, Failure]:
        """Find where the stream began that the client continues.

        :param service: service that the route chooses for the request
        :return: the origin, or a failure if the stream can't be continued
        """
        origin = None
        if self._metadata.resumes:
            origin = await self._deps.origins.find(self._metadata.resumes)
        if origin is None or not origin.started_ms:
            inferred = await self._infer_origin(service)
            if inferred.is_ok():
                self._accept(inferred.ok, FROM_REGISTER)
            return inferred
        if all(each.service != origin.service for each in self._route.services):
            return self._reject("the route no longer has the service that began the stream")
        self._accept(origin, FROM_ORIGIN)
        return Ok(origin)

    def may_send(self, entry: EndpointEntry, software_version: str) -> bool:
        """Check an endpoint's entry just before the request is sent, and remember it.

        :param software_version: version in the entry when the endpoint was chosen
        :return: whether the entry still names that version, and the stream may begin or continue
            there
        """
        self._sent = entry
        if not self._route.is_resumable:
            return True
        if self._origin is not None:
            return entry.software_version == self._origin.software_version
        is_usable = self._deps.versions.register.is_usable(entry.service, software_version)
        return is_usable and entry.software_version == software_version

    def begin(self, service: str, software_version: str) -> str:
        """Record that the first event of the request's answer is passed on now.

        :param software_version: version of the endpoint's software when the request was sent
        :return: the version at which the stream may continue
        """
        if self._origin is None or not self._origin.started_ms:
            self._begin_stream(service, software_version)
        if self._evidence:
            self._note_outcome("continued", self._evidence)
        self._has_events = True
        origin = self._origin
        starts = self._deps.endpoint_table.starts
        # A stream of an uncertain process proves nothing to other gateways.
        if origin.started_ms and starts.is_certain(
            origin.endpoint, origin.started_ms, self._began_s
        ):
            attempts = {self._metadata.attempt_id, self._metadata.resumes} - {""}
            age_s = self._deps.timer.now() - self._began_s
            valid_s = self._deps.versions.register.memory_s
            for each in sorted(attempts):
                self._deps.origins.record(
                    origin._replace(attempt_id=each, valid_s=valid_s, age_s=age_s)
                )
        return origin.software_version

    async def prove(self) -> Result[StreamOrigin, Failure]:
        """Prove the version of a stream that is to continue within the same answer.

        :return: the origin, or a failure if the stream can't be continued
        """
        origin = self._origin
        starts = self._deps.endpoint_table.starts
        if starts.may_have_restarted_before(origin.endpoint, self._began_s):
            return self._reject("the endpoint that began the stream may have started again")
        if origin.started_ms and starts.was_running(
            origin.endpoint, origin.started_ms, self._began_s
        ):
            evidence = FROM_ORIGIN
        else:
            inferred = await self._infer_origin(origin.service)
            if inferred.is_error():
                return inferred
            if inferred.ok.software_version != origin.software_version:
                return self._reject("the software that began the stream is uncertain")
            evidence = FROM_REGISTER
        if self._has_events:
            self._note_outcome("continued", evidence)
        return Ok(origin)

    @property
    def has_begun(self) -> bool:
        """:return: whether the stream may continue at one version only"""
        return self._origin is not None

    def note_refused(self, reason: str) -> None:
        """Record that a stream is not continued, as no endpoint of its version can serve it."""
        if self.has_begun:
            self._reject(reason)

    def _begin_stream(self, service: str, software_version: str) -> None:
        """Take the endpoint that the request was sent to as the one that began the stream."""
        entry = self._sent
        self._began_s = self._deps.timer.now()
        self._origin = StreamOrigin(
            self._metadata.attempt_id,
            service,
            software_version,
            0.0,
            entry.endpoint,
            entry.started_ms,
        )

    def _accept(self, origin: StreamOrigin, evidence: str) -> None:
        self._origin = origin
        self._evidence = evidence
        self._began_s = self._deps.timer.now() - origin.age_s

    async def _infer_origin(self, service: str) -> Result[StreamOrigin, Failure]:
        """:return: an origin where only one software version can have begun the stream"""
        if len(self._route.services) > 1:
            return self._reject("the software that began the stream is unknown")
        inference = await self._deps.versions.infer(service)
        if inference.software_version is None:
            return self._reject(inference.reason, inference.registered)
        version = inference.software_version
        return Ok(StreamOrigin(self._metadata.resumes, service, version, 0.0))

    def _reject(
        self, reason: str, registered: tuple[str, ...] | None = None
    ) -> Result[StreamOrigin, Failure]:
        self._note_outcome("rejected", reason, registered)
        message = f"the stream can't be continued: {reason}"
        return Error(Failure(Outcome.NOT_RUN, Step.ROUTE, "", message))

    def _note_outcome(
        self, outcome: str, reason: str, registered: tuple[str, ...] | None = None
    ) -> None:
        deps = self._deps
        deps.metrics.count_continuation(outcome, reason)
        origin = self._origin
        service = self._route.services[0].service if origin is None else origin.service
        if registered is None:
            registered = tuple(sorted(deps.versions.register.get(service).versions))
        record = ContinuationRecord(
            self._metadata.attempt_id,
            self._metadata.resumes,
            service,
            outcome,
            reason,
            "" if origin is None else origin.software_version,
            "" if origin is None else origin.endpoint,
            0 if origin is None else origin.started_ms,
            registered,
        )
        if outcome == "continued":
            deps.sampler.log(_LOGGER, "stream continued", record)
        else:
            log_record(_LOGGER, "stream can't be continued", record)
