"""
kingcupdyke_daemon.forwarder.earlyrejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rejects the requests of new connections at a small part of the cost of serving a connection.
"""

import json
import logging
from socket import MSG_PEEK, socket

from kingcupdyke_daemon.forwarder.dialect import Headers

__all__ = ["read_waiting_request", "reject_waiting_request"]

_LOGGER = logging.getLogger(__name__)
#: Limit of the bytes of a request that is rejected in this way.
MAX_REQUEST_BYTES = 16_384
HEAD_END = b"\r\n\r\n"


def read_waiting_request(accepted: socket) -> Headers | None:
    """Look at the request that has arrived on a new connection, and leave it there.

    :param accepted: the connection, which does not block
    :return: its header fields, names in lower case; None unless it is there to its end and nothing
        follows it
    """
    try:
        data = accepted.recv(MAX_REQUEST_BYTES, MSG_PEEK)
    except OSError as error:
        _LOGGER.debug("no request to be rejected early: %r", error)
        return None
    head, end, body = data.partition(HEAD_END)
    fields = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    if not end or not all(colon for _, colon, _ in fields):
        return None
    headers = [(name.lower(), value.strip()) for name, _, value in fields]
    return headers if _find_length(headers) == len(body) else None


def reject_waiting_request(
    accepted: socket, status: int, phrase: str, reason: str, headers: Headers
) -> None:
    """Answer the request that :func:`read_waiting_request` has found, and close the connection.

    :param phrase: reason phrase of the status
    :param reason: what the answer's body says
    :param headers: further headers of the answer
    """
    body = json.dumps({"error": {"message": reason, "code": status}}).encode()
    fields = [
        *headers,
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    lines = [b"%s: %s" % each for each in fields]
    head = b"\r\n".join([f"HTTP/1.1 {status} {phrase}".encode(), *lines])
    try:
        # A close with unread bytes would reset the connection.
        accepted.recv(MAX_REQUEST_BYTES)
        accepted.send(head + HEAD_END + body)
    except OSError as error:
        _LOGGER.debug("the client disconnected: %r", error)
    finally:
        accepted.close()


def _find_length(headers: Headers) -> int | None:
    """:return: length of the body in bytes, or None if it can't be told from the headers"""
    lengths = [value for name, value in headers if name == b"content-length"]
    if any(name == b"transfer-encoding" for name, _ in headers) or len(lengths) > 1:
        return None
    if not lengths:
        return 0
    return int(lengths[0]) if lengths[0].isdigit() else None
