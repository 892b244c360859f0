"""
kingcupdyke_daemon.sidecar.check
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validation of messages to a sidecar before they are processed.
"""

from string import ascii_letters

from kingcupdyke.placement import OrderKind
from kingcupdyke.rule import ServiceClass
from kingcupdyke_wire.sidecar_pb2 import OrderRequest, RunRequest

__all__ = ["find_order_problem", "find_run_problem"]

_MAX_NAME_CHARACTERS = 200
_MAX_DEADLINE_MS = 3_600_000
_RUN_NAME_FIELDS = ("attempt_id", "request_id", "target")
_NAME_FIELDS_BY_KIND = {
    OrderKind.LOAD: ("order_id", "model"),
    OrderKind.UNLOAD: ("order_id", "model"),
    OrderKind.LOAD_ADAPTER: ("order_id", "model", "adapter"),
    OrderKind.UNLOAD_ADAPTER: ("order_id", "adapter"),
    OrderKind.ROLE: ("order_id", "role"),
}


def find_run_problem(request: RunRequest) -> str:
    """:return: why an attempt is invalid, or the empty string"""
    problem = _find_name_problem(request, _RUN_NAME_FIELDS)
    if problem:
        return problem
    if request.service_class not in ServiceClass.ALL:
        return f"service_class: no class {request.service_class[:40]!r}"
    if request.deadline_ms > _MAX_DEADLINE_MS:
        return f"deadline_ms: give at most {_MAX_DEADLINE_MS}"
    if not request.method or request.method.strip(ascii_letters):
        return "method: give an HTTP method"
    if not request.path.startswith("/") or not _is_visible(request.path):
        return "path: give a percent-encoded path that begins with a slash"
    for name in ("content_type", "idempotency_key"):
        value = getattr(request, name)
        if not (value.isascii() and value.isprintable()):
            return f"{name}: give printable ASCII"
    return ""


def find_order_problem(message: OrderRequest) -> str:
    """:return: why an order is invalid, or the empty string"""
    names = _NAME_FIELDS_BY_KIND.get(message.kind)
    if names is None:
        return f"no order of kind {message.kind[:40]!r} here"
    return _find_name_problem(message, names)


def _find_name_problem(message: RunRequest | OrderRequest, names: tuple[str, ...]) -> str:
    for name in names:
        if not 0 < len(getattr(message, name)) <= _MAX_NAME_CHARACTERS:
            return f"{name}: give 1 to {_MAX_NAME_CHARACTERS} characters"
    return ""


def _is_visible(text: str) -> bool:
    """:return: whether all characters are printable ASCII and none is a space"""
    return text.isascii() and text.isprintable() and " " not in text
