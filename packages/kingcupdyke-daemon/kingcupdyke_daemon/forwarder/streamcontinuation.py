"""
kingcupdyke_daemon.forwarder.streamcontinuation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds at which software version a client's stream may continue, and records where it began.
"""

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.forwarding.configuration import Route
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke.forwarding.streamorigin import StreamOrigin
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.dialect import LAST_EVENT_ID, Headers
from kingcupdyke_daemon.forwarder.origindirectory import OriginDirectory

__all__ = ["StreamContinuation"]


class StreamContinuation:
    """Keeps the stream of one request at the software version that began it.

    :param origins: origins of the streams of all gateways
    :param endpoint_table: the endpoints
    :param timer: the timer service
    :param route: route of the request
    :param metadata: metadata from the request's headers
    :param headers: headers of the request
    """

    def __init__(
        self,
        origins: OriginDirectory,
        endpoint_table: EndpointTable,
        timer: TimerService,
        route: Route,
        metadata: RequestMetadata,
        headers: Headers,
    ) -> None:
        self._origins = origins
        self._endpoint_table = endpoint_table
        self._timer = timer
        self._route = route
        self._metadata = metadata
        #: Whether the client continues a stream that an earlier attempt began.
        self.is_continued = route.is_resumable and (
            bool(metadata.resumes) or any(name == LAST_EVENT_ID for name, _ in headers)
        )

    async def find_origin(self, service: str) -> Result[StreamOrigin, Failure]:
        """Find where the stream began that the client continues.

        :param service: service that the route chooses for the request
        :return: the origin, or a failure if the stream can't be continued
        """
        origin = None
        if self._metadata.resumes:
            origin = await self._origins.find(self._metadata.resumes)
        if origin is None:
            return self._infer_origin(service)
        if all(each.service != origin.service for each in self._route.services):
            return _fail("the route no longer has the service that began the stream")
        return Ok(origin)

    def record_origin(self, service: str, software_version: str) -> None:
        """Record that the request's first event comes from a software version."""
        if self._route.is_resumable and not self.is_continued and self._metadata.attempt_id:
            origin = StreamOrigin(
                self._metadata.attempt_id, service, software_version, self._lifetime_s
            )
            self._origins.record(origin)

    @property
    def _lifetime_s(self) -> float:
        """:return: seconds within which a client may continue a stream of this route"""
        return max(self._route.timeout_s, self._metadata.caller_timeout_s or 0.0)

    def _infer_origin(self, service: str) -> Result[StreamOrigin, Failure]:
        """:return: an origin where only one software version can have begun the stream"""
        now_s = self._timer.now()
        version = self._endpoint_table.find_only_version(service, now_s - self._lifetime_s, now_s)
        if version is None or len(self._route.services) > 1:
            return _fail("the software that began the stream is unknown")
        return Ok(StreamOrigin(self._metadata.resumes, service, version, 0.0))


def _fail(reason: str) -> Result[StreamOrigin, Failure]:
    return Error(Failure(Outcome.NOT_RUN, Step.ROUTE, "", reason))
