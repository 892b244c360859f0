"""
kingcupdyke_tool.hostcalls
~~~~~~~~~~~~~~~~~~~~~~~~~~

The tool's calls to gateways and sidecars.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Mapping
from urllib.parse import urlencode

from anyio import fail_after
from expression import Error, Ok, Result
from google.protobuf.json_format import MessageToDict
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.host import Host
from kingcupdyke_wire.answerlimit import OPERATOR_ANSWER, RefusedAnswerError
from kingcupdyke_wire.channel import HostChannel
from kingcupdyke_wire.http import HttpAnswer, HttpClient
from kingcupdyke_wire.sidecar_grpc import SidecarStub
from kingcupdyke_wire.sidecar_pb2 import DescribeRequest, DrainRequest

__all__ = ["GatewayCalls", "HostCalls", "SidecarCalls", "make_calls"]

#: Timeout of one call in seconds.
CALL_TIMEOUT_S = 2.0
STATUS_OK = 200

Answer = Result[Mapping[str, object], Failure]


class HostCalls(ABC):
    """The tool's calls to one host; each answer is a mapping of JSON values.

    :param host: the entry of the host list
    :param token: bearer token of the operator, or the empty string
    """

    def __init__(self, host: Host, token: str = "") -> None:
        self._host = host
        self._token = token

    @abstractmethod
    async def describe(self) -> Answer:
        """:return: the state of the host"""

    @abstractmethod
    async def drain(self) -> Answer:
        """Ask the host to accept no more requests; the call is idempotent.

        :return: the number of requests in progress, as ``in_flight``
        """

    def _make_failure(self, outcome: Outcome, step: Step, reason: str) -> Failure:
        return Failure(outcome, step, self._host.host, reason)


class SidecarCalls(HostCalls):
    """Calls a sidecar over gRPC."""

    async def describe(self) -> Answer:
        return await self._call("Describe", DescribeRequest())

    async def drain(self) -> Answer:
        return await self._call("Drain", DrainRequest(reason="operator", token=self._token))

    async def _call(self, method: str, request: DescribeRequest | DrainRequest) -> Answer:
        channel = HostChannel(self._host.address, self._host.port)
        connected = False
        try:
            with fail_after(CALL_TIMEOUT_S):
                # Connect first, to tell a call that was never sent from one without an answer.
                await channel.__connect__()
                connected = True
                reply = await getattr(SidecarStub(channel), method)(request)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
            reason = str(error) or type(error).__name__
            if isinstance(error, GRPCError) and error.status is Status.PERMISSION_DENIED:
                return Error(self._make_failure(Outcome.FAILED, Step.AUTHENTICATE, error.message))
            if connected:
                return Error(self._make_failure(Outcome.UNKNOWN, Step.RUN, reason))
            return Error(self._make_failure(Outcome.NOT_RUN, Step.CONNECT, reason))
        finally:
            channel.close()
        return Ok(
            MessageToDict(
                reply, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
            )
        )


class GatewayCalls(HostCalls):
    """Calls a gateway over HTTP."""

    async def describe(self) -> Answer:
        return await self._request("GET", "/admin/status")

    async def drain(self) -> Answer:
        return await self._request("POST", "/admin/drain")

    async def explain(self, model: str, caller: str) -> Answer:
        """:return: where a request for a model would be routed, and why"""
        query = urlencode({"model": model, "caller": caller})
        return await self._request("GET", f"/admin/explain?{query}")

    async def _request(self, method: str, path: str) -> Answer:
        address = f"[{self._host.address}]" if ":" in self._host.address else self._host.address
        url = f"http://{address}:{self._host.port}"
        client = HttpClient(url, CALL_TIMEOUT_S, peer=self._host.host, limit=OPERATOR_ANSWER)
        headers = {"authorization": f"Bearer {self._token}"} if self._token else {}
        try:
            answer = await client.request(method, path, headers)
        finally:
            await client.aclose()
        return answer.bind(self._read)

    def _read(self, answer: HttpAnswer) -> Answer:
        try:
            OPERATOR_ANSWER.check_decoded(answer.body)
            data = json.loads(answer.body)
        except RefusedAnswerError as error:
            return Error(self._make_failure(Outcome.FAILED, Step.RUN, str(error)))
        except (ValueError, RecursionError):
            data = None
        if answer.status == STATUS_OK and isinstance(data, Mapping):
            return Ok(data)
        reason = data.get("error") if isinstance(data, Mapping) else None
        reason = f"status {answer.status}: {reason or 'unexpected answer format'}"
        return Error(self._make_failure(Outcome.FAILED, Step.RUN, reason))


def make_calls(host: Host, token: str = "") -> HostCalls:
    """:return: the calls for a host of this kind"""
    return GatewayCalls(host, token) if host.kind == "gateway" else SidecarCalls(host, token)
