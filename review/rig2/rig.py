"""Stand-ins of store, workers and clients, and the start of real gateways, for the cases 6 to 10.

Only the standard library is used. Everything listens on loopback addresses.
"""

from caserun import Record, run
from clients import KeptClient, exchange, write_request
from configuration import LIMITS, plain_route, plain_service
from gateway import Gateway
from store import Store
from workers import Engine, Worker

__all__ = [
    "Engine",
    "Gateway",
    "KeptClient",
    "LIMITS",
    "Record",
    "Store",
    "Worker",
    "exchange",
    "plain_route",
    "plain_service",
    "run",
    "write_request",
]
