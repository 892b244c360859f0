"""
kingcupdyke_daemon.forwarder.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a forwarding gateway's surroundings spell what it reads and writes.
"""

from abc import ABC, abstractmethod

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport
from kingcupdyke.forwarding.enginestate import OrderReply
from kingcupdyke.forwarding.metadata import AnswerMetadata, ForwardMetadata, RequestMetadata
from kingcupdyke.placement import Order

__all__ = ["Dialect", "Headers"]

#: Header fields, the names in lower case.
Headers = list[tuple[bytes, bytes]]


class Dialect(ABC):
    """Names, formats and calls of one platform; nothing in it decides."""

    #: Kind and name of the configuration's object in the store.
    configuration_kind = ""
    configuration_name = ""
    #: Kind of the endpoints' entries in the store.
    endpoint_kind = ""
    #: Path of an engine's report.
    report_path = ""
    #: Path of an engine's orders.
    order_path = ""

    @abstractmethod
    def read_request(self, headers: Headers) -> RequestMetadata:
        """:return: what a client's headers say"""

    @abstractmethod
    def write_request(self, headers: Headers, terms: ForwardMetadata) -> Headers:
        """:return: a client's headers without those that are the gateway's to set, and with them"""

    @abstractmethod
    def read_answer(self, headers: Headers) -> AnswerMetadata:
        """:return: what the headers of an endpoint's answer say"""

    @abstractmethod
    def write_refusal(self, attempt_id: str, retry_after_s: float | None) -> Headers:
        """:return: headers of an answer of the gateway's own"""

    @abstractmethod
    def expect_endpoint(self, endpoint: str) -> dict[str, str]:
        """:return: headers by which a call of the gateway's own names the endpoint it is for"""

    @abstractmethod
    def decode_configuration(self, value: bytes) -> Result[Configuration, Failure]:
        """:return: the configuration, or a failure where the value is none"""

    @abstractmethod
    def decode_endpoint(self, endpoint: str, value: bytes) -> Result[EndpointEntry, Failure]:
        """:return: an endpoint's entry, or a failure where the value is none"""

    @abstractmethod
    def decode_report(self, value: bytes) -> Result[EndpointReport, Failure]:
        """:return: an engine's report, or a failure where the value is none"""

    @abstractmethod
    def encode_order(self, order: Order, expected: int, holder: str, fence: int) -> bytes:
        """:return: the body of an order

        :param expected: orders that the engine is to have accepted before
        :param holder: the host that gives the order
        :param fence: fencing number of the planner's lease
        """

    @abstractmethod
    def read_order_reply(self, status: int) -> OrderReply:
        """:return: what the status of an answer to an order means"""
