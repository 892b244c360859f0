"""
kingcupdyke_daemon.forwarder.requestcheck
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the requests of clients before they reach the handler.
"""

import re

from h11 import RemoteProtocolError, Request

from kingcupdyke.forwarding.configuration import ClientLimits
from kingcupdyke_daemon.forwarder.dialect import Headers

__all__ = ["RejectedRequest", "check_head", "describe_protocol_error", "find_length", "has_body"]

#: Line of a request in an error of h11, which quotes it as bytes.
QUOTED_LINE = re.compile(r":? (bytearray\()?b['\"].*", re.DOTALL)


class RejectedRequest(Exception):
    """A request that is rejected before it reaches the handler.

    :param status: HTTP status of the rejection
    :param reason: error message of the rejection
    :param headers: headers of the rejection
    """

    def __init__(self, status: int, reason: str, headers: Headers = ()) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.headers = headers


def describe_protocol_error(error: RemoteProtocolError) -> str:
    """:return: the error without the line that it quotes, which may contain a caller's key"""
    return QUOTED_LINE.sub("", str(error))


def check_head(head: Request, limits: ClientLimits) -> None:
    """:raises RejectedRequest: when the framing is ambiguous or the body is too large"""
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RejectedRequest(400, "both content-length and transfer-encoding are given")
    if find_length(head) > limits.max_body_bytes:
        raise RejectedRequest(413, "the request body is too large")


def find_length(head: Request) -> int:
    """:return: the declared length of the body, or 0 if none is declared"""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


def has_body(head: Request) -> bool:
    """:return: whether bytes of a body may follow the head"""
    return find_length(head) > 0 or any(name == b"transfer-encoding" for name, _ in head.headers)
