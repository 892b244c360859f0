"""
kingcupdyke_measure.fleetdialect
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A plain dialect for measurements of forwarding gateways: no models, entries as JSON.
"""

import json

from expression import Error, Ok, Result

from kingcupdyke.error import DECODE_ERRORS, Failure, Outcome, Step
from kingcupdyke.forwarding.configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
)
from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport
from kingcupdyke.forwarding.enginestate import OrderReply
from kingcupdyke.forwarding.metadata import AnswerMetadata, ForwardMetadata, RequestMetadata
from kingcupdyke.placement import Order
from kingcupdyke_daemon.forwarder.dialect import Dialect, Headers

__all__ = ["FLEET_HOST", "PLAIN_PATH", "SILENT_PATH", "STREAM_PATH", "FleetDialect"]

#: Host header and paths of the requests that are measured; those of the last get no answer.
FLEET_HOST = "fleet.example"
PLAIN_PATH = "/plain/"
STREAM_PATH = "/stream/"
SILENT_PATH = "/silent/"
SERVICE = "service"
ATTEMPT_HEADER = b"x-request-id"
#: Requests that an endpoint works on concurrently.
SLOTS = 256
#: Timeout of the routes if the configuration has none.
TIMEOUT_S = 20.0
OBJECTIVE_S = 1.0
#: Headers that concern one connection only.
CONNECTION_HEADERS = (b"connection", b"content-length", b"transfer-encoding")


class FleetDialect(Dialect):
    """Names an attempt in ``x-request-id``; every answer counts as stamped."""

    configuration_kind = "configurations"
    configuration_name = "main"
    endpoint_kind = "endpoints"

    def read_request(self, headers: Headers) -> RequestMetadata:
        return RequestMetadata(_find_attempt(headers), None, "", "", 0, 0, ())

    def write_request(self, headers: Headers, metadata: ForwardMetadata) -> Headers:
        return [each for each in headers if each[0] not in CONNECTION_HEADERS]

    def read_answer(self, headers: Headers) -> AnswerMetadata:
        return AnswerMetadata(_find_attempt(headers), False, True, "", None)

    def write_rejection(self, attempt_id: str, retry_after_s: float | None) -> Headers:
        return [] if retry_after_s is None else [(b"retry-after", f"{retry_after_s:.3f}".encode())]

    def expect_endpoint(self, endpoint: str) -> dict[str, str]:
        return {}

    def decode_configuration(self, value: bytes) -> Result[Configuration, Failure]:
        try:
            fields = json.loads(value)
            version, timeout_s = int(fields["version"]), float(fields.get("timeout_s", TIMEOUT_S))
        except DECODE_ERRORS as error:
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", repr(error)))
        routes = (
            _make_route("plain", PLAIN_PATH, RouteKind.IDEMPOTENT, timeout_s),
            _make_route("stream", STREAM_PATH, RouteKind.STREAMING, timeout_s),
            _make_route("silent", SILENT_PATH, RouteKind.IDEMPOTENT, timeout_s),
        )
        services = (ServiceSpec(SERVICE, "/", SLOTS, None),)
        return Ok(Configuration(version, routes, services, ClientLimits()))

    def decode_endpoint(self, endpoint: str, value: bytes) -> Result[EndpointEntry, Failure]:
        try:
            fields = json.loads(value)
            address = (str(fields["address"]), int(fields["port"]))
            data_centre = str(fields["data_centre"])
        except DECODE_ERRORS as error:
            return Error(Failure(Outcome.FAILED, Step.PARSE, endpoint, repr(error)))
        none: frozenset[str] = frozenset()
        return Ok(
            EndpointEntry(
                endpoint, SERVICE, address, data_centre, SLOTS, False, None, 1, 1, (), none, none
            )
        )

    def decode_report(self, value: bytes) -> Result[EndpointReport, Failure]:
        return Error(Failure(Outcome.FAILED, Step.PARSE, "", "there are no engines"))

    def encode_order(self, order: Order, expected: int, holder: str, fence: int) -> bytes:
        return b""

    def read_order_reply(self, status: int) -> OrderReply:
        return OrderReply.REFUSED


def _find_attempt(headers: Headers) -> str:
    for name, value in headers:
        if name == ATTEMPT_HEADER:
            return value.decode("latin-1")
    return ""


def _make_route(name: str, path_prefix: str, kind: RouteKind, timeout_s: float) -> Route:
    services = (WeightedService(SERVICE, 1.0),)
    return Route(
        name, FLEET_HOST, path_prefix, kind, services, timeout_s, OBJECTIVE_S, 0.2, 1, 1, False
    )
