"""
kingcupdyke.connection
~~~~~~~~~~~~~~~~~~~~~~

Telling a stalled connection from an endpoint that is down.

An open connection can stall permanently while new ones work. When nothing is received within a
timeout, a new connection is therefore opened, on which running requests resume. The endpoint
counts as down only when the new connection does not work either.
"""

from enum import StrEnum
from random import Random
from typing import NamedTuple

__all__ = [
    "Close",
    "ConnectionCommand",
    "ConnectionMachine",
    "ConnectionState",
    "OpenNew",
    "PeerDown",
    "PeerUp",
    "SendBeat",
    "StallDetector",
]

#: Seconds between heartbeats ("beats") on an idle connection.
BEAT_INTERVAL_S = 0.5
#: A connection counts as stalled when a message stays unanswered for this many seconds.
STALL_TIMEOUT_S = 2.0
#: Seconds before a peer that is down is tried again; doubled after each failure, up to the maximum.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0


class ConnectionState(StrEnum):
    """State of a connection according to its stall detector."""

    FINE = "fine"
    #: A beat is due.
    PROBE = "probe"
    #: A sent message was not answered within the timeout.
    STALLED = "silent"


class _ProcessPauseMeter:
    """Measures pauses of this process, which must not count as stalls of its peers.

    :param max_interval_s: longest interval between two calls, in seconds, that is not a pause
    """

    def __init__(self, max_interval_s: float) -> None:
        self._max_interval_s = max_interval_s
        self._last_call_s: float | None = None

    def discount(self, since_s: float, now_s: float) -> float:
        """:return: seconds of pause to subtract from a wait that began at ``since_s``"""
        last_call_s = now_s if self._last_call_s is None else self._last_call_s
        self._last_call_s = now_s
        return max(0.0, now_s - max(last_call_s, since_s) - self._max_interval_s)


class StallDetector:
    """Detects a stalled connection from the messages sent and received on it.

    :param beat_interval_s: a beat is due when nothing was sent for this many seconds
    :param stall_timeout_s: seconds without an answer after which the connection is stalled
    """

    def __init__(
        self, beat_interval_s: float = BEAT_INTERVAL_S, stall_timeout_s: float = STALL_TIMEOUT_S
    ) -> None:
        self._beat_interval_s = beat_interval_s
        self._stall_timeout_s = stall_timeout_s
        self._pauses = _ProcessPauseMeter(stall_timeout_s / 2)
        self._last_sent_s: float | None = None
        self._unanswered_since_s: float | None = None

    def received(self, now_s: float) -> None:
        """Record that a message was received on the connection."""
        self._unanswered_since_s = None

    def sent(self, now_s: float) -> None:
        """Record that a message which requires an answer was sent on the connection."""
        self._last_sent_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s

    def check(self, now_s: float) -> ConnectionState:
        """:return: the state of the connection; pauses of this process do not count as a stall"""
        since_s = now_s if self._unanswered_since_s is None else self._unanswered_since_s
        discount_s = self._pauses.discount(since_s, now_s)
        if self._unanswered_since_s is not None:
            self._unanswered_since_s += discount_s
            if now_s - self._unanswered_since_s >= self._stall_timeout_s:
                return ConnectionState.STALLED
        if self._last_sent_s is None or now_s - self._last_sent_s >= self._beat_interval_s:
            return ConnectionState.PROBE
        return ConnectionState.FINE


class OpenNew(NamedTuple):
    """Open a connection; running requests resume on it once it works."""

    peer: str
    generation: int


class Close(NamedTuple):
    """Close a connection and drop all messages that still arrive on it."""

    peer: str
    generation: int


class SendBeat(NamedTuple):
    """Send a beat on a connection and call ``sent``."""

    peer: str
    generation: int


class PeerUp(NamedTuple):
    """The connection of a generation works: requests may be sent and resumed there."""

    peer: str
    generation: int


class PeerDown(NamedTuple):
    """The peer does not answer on a new connection either."""

    peer: str
    #: Seconds until the peer is tried again.
    retry_after_s: float


ConnectionCommand = OpenNew | Close | SendBeat | PeerUp | PeerDown


class _Phase(StrEnum):
    """State of the newest connection."""

    CONNECTING = "connecting"
    #: Open, but nothing has been received on it yet.
    PROVING = "proving"
    UP = "up"
    DOWN = "down"


class ConnectionMachine:
    """Keeps one working connection to a peer.

    :param peer: name of the peer
    :param rng: random numbers for the jitter of the backoff
    :param beat_interval_s: seconds between beats on an idle connection
    :param stall_timeout_s: timeout in seconds for an answer, for opening a connection and for the
        first message on it
    :param initial_backoff_s: backoff after the first failure, in seconds
    :param max_backoff_s: longest backoff in seconds
    """

    def __init__(
        self,
        peer: str,
        rng: Random,
        beat_interval_s: float = BEAT_INTERVAL_S,
        stall_timeout_s: float = STALL_TIMEOUT_S,
        initial_backoff_s: float = INITIAL_BACKOFF_S,
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        self._rng = rng
        self._beat_interval_s = beat_interval_s
        self._stall_timeout_s = stall_timeout_s
        self._initial_backoff_s = initial_backoff_s
        self._max_backoff_s = max_backoff_s
        self._detector = StallDetector(beat_interval_s, stall_timeout_s)
        self._pauses = _ProcessPauseMeter(stall_timeout_s / 2)
        self._phase_started_s = float("-inf")
        self._phase = _Phase.DOWN
        self._phase_ends_s = float("-inf")
        self._consecutive_failures = 0
        #: Name of the peer.
        self.peer = peer
        #: Number of the newest connection; messages of any other connection are ignored.
        self.generation = 0

    @property
    def is_up(self) -> bool:
        """Whether the newest connection works."""
        return self._phase == _Phase.UP

    @property
    def is_down(self) -> bool:
        """Whether the peer counts as down."""
        return self._phase == _Phase.DOWN

    def tick(self, now_s: float) -> list[ConnectionCommand]:
        """Advance to a time of the timer service, in seconds.

        :return: the commands to execute
        """
        discount_s = self._pauses.discount(self._phase_started_s, now_s)
        if self._phase == _Phase.DOWN:
            return self._open(now_s) if now_s >= self._phase_ends_s else []
        if self._phase == _Phase.UP:
            return self._check_stall(now_s)
        self._phase_ends_s += discount_s
        if now_s >= self._phase_ends_s:
            return [Close(self.peer, self.generation), *self._enter_down(now_s)]
        return []

    def opened(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """Record that a connection was opened; it counts as working once it received a message."""
        if generation != self.generation:
            return [Close(self.peer, generation)]
        if self._phase != _Phase.CONNECTING:
            return []
        self._enter(_Phase.PROVING, now_s)
        return [SendBeat(self.peer, generation)]

    def open_failed(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """Record that a connection could not be opened."""
        if generation != self.generation or self._phase != _Phase.CONNECTING:
            return []
        return self._enter_down(now_s)

    def closed(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """Record that a connection was closed by the peer or broke."""
        if generation != self.generation or self._phase == _Phase.DOWN:
            return []
        was_stable = (
            self._phase == _Phase.UP and now_s - self._phase_started_s >= self._beat_interval_s
        )
        return self._open(now_s) if was_stable else self._enter_down(now_s)

    def sent(self, generation: int, now_s: float) -> None:
        """Record that a message which requires an answer was sent on a connection."""
        if generation == self.generation:
            self._detector.sent(now_s)

    def received(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """Record that a message was received; ``accepts`` tells whether to process it."""
        if not self.accepts(generation):
            return []
        self._detector.received(now_s)
        if self._phase == _Phase.UP:
            return []
        self._enter(_Phase.UP, now_s)
        self._consecutive_failures = 0
        return [PeerUp(self.peer, generation)]

    def accepts(self, generation: int) -> bool:
        """:return: whether messages received on a connection are to be processed"""
        in_use = self._phase in (_Phase.PROVING, _Phase.UP)
        return in_use and generation == self.generation

    def _check_stall(self, now_s: float) -> list[ConnectionCommand]:
        state = self._detector.check(now_s)
        if state == ConnectionState.STALLED:
            return [Close(self.peer, self.generation), *self._open(now_s)]
        beat_is_due = state == ConnectionState.PROBE
        return [SendBeat(self.peer, self.generation)] if beat_is_due else []

    def _open(self, now_s: float) -> list[ConnectionCommand]:
        self.generation += 1
        self._enter(_Phase.CONNECTING, now_s)
        return [OpenNew(self.peer, self.generation)]

    def _enter(self, phase: _Phase, now_s: float) -> None:
        self._phase = phase
        self._phase_started_s = now_s
        self._phase_ends_s = now_s + self._stall_timeout_s

    def _enter_down(self, now_s: float) -> list[ConnectionCommand]:
        self._enter(_Phase.DOWN, now_s)
        backoff_s = min(
            self._initial_backoff_s * 2**self._consecutive_failures, self._max_backoff_s
        )
        retry_after_s = backoff_s * self._rng.uniform(0.5, 1.0)
        self._consecutive_failures = min(self._consecutive_failures + 1, 32)
        self._phase_ends_s = now_s + retry_after_s
        return [PeerDown(self.peer, retry_after_s)]
