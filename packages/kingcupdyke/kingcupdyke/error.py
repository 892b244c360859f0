"""
kingcupdyke.error
~~~~~~~~~~~~~~~~~

Typed failures, with the step and the peer at which they arose.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "DECODE_ERRORS",
    "AnswerFault",
    "Failure",
    "OptionError",
    "Outcome",
    "Step",
    "describe_error",
]

#: Raised when data is decoded that another process has written: its types, names and numbers may be
#: others than expected, and it may be deeper than a decoder can go.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class Outcome(StrEnum):
    """Whether a request that failed may have run."""

    #: The request has not run and will not run under this attempt.
    NOT_RUN = "not_run"
    #: The request ran and failed.
    FAILED = "failed"
    #: The request may or may not have run.
    UNKNOWN = "unknown"


class Step(StrEnum):
    """Step of processing at which a failure arose."""

    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    ROUTE = "route"
    CONNECT = "connect"
    CLAIM = "claim"
    RUN = "run"
    RELAY = "relay"
    ORDER = "order"
    STORE = "store"
    CONFIGURE = "configure"


class AnswerFault(StrEnum):
    """What makes the bytes that a process has sent no answer."""

    #: They violate HTTP/1.1, or a head has no end.
    MALFORMED = "malformed"
    #: Its status is none that an answer can have.
    STATUS = "invalid status"
    #: There are too many answers before the one to the request.
    STRAY = "stray"
    #: An event has no end.
    EVENT = "event too long"
    #: The sender's answers hold more than the memory that they may use.
    MEMORY = "memory used up"
    #: The body is longer than an answer of its kind may be.
    LENGTH = "answer too long"
    #: The body would take more memory, once decoded, than an answer of its kind may use.
    DECODED_SIZE = "too large once decoded"
    #: The body is not of the expected format.
    FORMAT = "unexpected format"


class Failure(NamedTuple):
    """A failure as a value, for the error side of a ``Result``."""

    outcome: Outcome
    step: Step
    #: Address or name of the process at which the failure arose.
    peer: str
    reason: str
    #: Seconds after which a retry may succeed, or None if a retry does not help.
    retry_after_s: float | None = None
    #: What makes the peer's bytes no answer, or None if there was an answer, or the call broke off.
    fault: AnswerFault | None = None


class OptionError(ValueError):
    """A setting or argument has an invalid value.

    :param option: name of the option, dotted where nested
    :param value: the invalid value
    :param remedy: instruction on what to write instead
    """

    def __init__(self, option: str, value: object, remedy: str) -> None:
        super().__init__(f"{option}: {value!r}: {remedy}")
        self.option = option
        self.value = value
        self.remedy = remedy


def describe_error(error: Exception) -> str:
    """:return: a description of an error in decoding, without the data that was decoded"""
    if isinstance(error, UnicodeError):
        # Its representation contains all of the data, which may hold secrets.
        return f"{type(error).__name__}()"
    return repr(error)
