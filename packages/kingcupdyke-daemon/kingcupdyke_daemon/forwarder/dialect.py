"""
kingcupdyke_daemon.forwarder.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Interface to the platform's header names, data formats and paths.
"""

from abc import ABC, abstractmethod

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.endpoint import EndpointEntry, EndpointReport
from kingcupdyke.forwarding.enginestate import OrderReply
from kingcupdyke.forwarding.metadata import AnswerMetadata, ForwardMetadata, RequestMetadata
from kingcupdyke.placement import Order

__all__ = ["LAST_EVENT_ID", "Dialect", "Headers"]

#: Header of a request that continues a stream after the event with this id.
LAST_EVENT_ID = b"last-event-id"

#: HTTP header fields as pairs of lower-case name and value.
Headers = list[tuple[bytes, bytes]]


class Dialect(ABC):
    """Header names, formats and paths of one platform; contains no decisions."""

    #: Kind and name of the store's object that holds the configuration.
    configuration_kind = ""
    configuration_name = ""
    #: Kind of the store's objects that hold the endpoints' entries.
    endpoint_kind = ""
    #: Path at which an engine answers with its report.
    report_path = ""
    #: Path at which an engine accepts orders.
    order_path = ""

    @abstractmethod
    def read_request(self, headers: Headers) -> RequestMetadata:
        """:return: the metadata in a client's headers"""

    @abstractmethod
    def write_request(self, headers: Headers, metadata: ForwardMetadata) -> Headers:
        """Make the headers of a request to an endpoint.

        :return: a client's headers, where those that the gateway sets replace the client's own
        """

    @abstractmethod
    def read_answer(self, headers: Headers) -> AnswerMetadata:
        """:return: the metadata in the headers of an endpoint's answer"""

    @abstractmethod
    def write_rejection(self, attempt_id: str, retry_after_s: float | None) -> Headers:
        """:return: headers of an answer that the gateway gives itself"""

    @abstractmethod
    def expect_endpoint(self, endpoint: str) -> dict[str, str]:
        """:return: headers of a call by the gateway itself that name the intended endpoint"""

    @abstractmethod
    def decode_configuration(self, value: bytes) -> Result[Configuration, Failure]:
        """:return: the configuration, or a failure where the value can't be decoded"""

    def redact_configuration(self, value: bytes) -> bytes:
        """:return: a configuration object that can be decoded but contains no key of a caller"""
        return value

    @abstractmethod
    def decode_endpoint(self, endpoint: str, value: bytes) -> Result[EndpointEntry, Failure]:
        """:return: an endpoint's entry, or a failure where the value can't be decoded"""

    @abstractmethod
    def decode_report(self, value: bytes) -> Result[EndpointReport, Failure]:
        """:return: an engine's report, or a failure where the value can't be decoded"""

    @abstractmethod
    def encode_order(self, order: Order, expected: int, holder: str, fence: int) -> bytes:
        """:return: the body of an order

        :param expected: number of orders that the engine must have accepted before this one
        :param holder: host of the planner that sends the order
        :param fence: fencing number of the planner's lease
        """

    @abstractmethod
    def read_order_reply(self, status: int) -> OrderReply:
        """:return: the meaning of the HTTP status of an answer to an order"""
