"""
kingcupdyke.connection
~~~~~~~~~~~~~~~~~~~~~~

Telling a silent connection from a dead endpoint.

An open connection can go silent for good while new ones work. Silence past a bound therefore
opens a new connection, on which running requests resume; only when that one does not work
either does the endpoint count as down.
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
    "SilenceDetector",
]

#: Seconds between beats on an idle connection.
BEAT_S = 0.5
#: Seconds without a word after which a connection counts as silent.
SILENCE_S = 2.0
#: Seconds before a peer that is down is tried again, doubled each time up to the most.
BACKOFF_S = 0.5
BACKOFF_MOST_S = 15.0


class ConnectionState(StrEnum):
    """What a silence detector says of a connection."""

    FINE = "fine"
    #: A beat is due.
    PROBE = "probe"
    SILENT = "silent"


class _PauseMeter:
    """Measures pauses of this process, which are no silence of its peers.

    :param most_s: seconds between two looks at the time of which nothing is discounted
    """

    def __init__(self, most_s: float) -> None:
        self._most_s = most_s
        self._looked_s: float | None = None

    def discount(self, since_s: float, now_s: float) -> float:
        """:return: seconds to discount from a wait that began at ``since_s``"""
        looked_s = now_s if self._looked_s is None else self._looked_s
        self._looked_s = now_s
        return max(0.0, now_s - max(looked_s, since_s) - self._most_s)


class SilenceDetector:
    """Watches one connection by what is sent and heard on it.

    :param beat_s: seconds after which a beat is due when nothing was sent
    :param silence_s: seconds without a word after which the connection is silent
    """

    def __init__(self, beat_s: float = BEAT_S, silence_s: float = SILENCE_S) -> None:
        self._beat_s = beat_s
        self._silence_s = silence_s
        self._pauses = _PauseMeter(silence_s / 2)
        self._sent_s: float | None = None
        self._unanswered_s: float | None = None

    def heard(self, now_s: float) -> None:
        """Anything came in on the connection."""
        self._unanswered_s = None

    def sent(self, now_s: float) -> None:
        """A message that is to be answered went out on the connection."""
        self._sent_s = now_s
        if self._unanswered_s is None:
            self._unanswered_s = now_s

    def check(self, now_s: float) -> ConnectionState:
        """:return: the state of the connection; a pause of this process is no silence"""
        since_s = now_s if self._unanswered_s is None else self._unanswered_s
        discount_s = self._pauses.discount(since_s, now_s)
        if self._unanswered_s is not None:
            self._unanswered_s += discount_s
            if now_s - self._unanswered_s >= self._silence_s:
                return ConnectionState.SILENT
        if self._sent_s is None or now_s - self._sent_s >= self._beat_s:
            return ConnectionState.PROBE
        return ConnectionState.FINE


class OpenNew(NamedTuple):
    """Open a connection; what runs resumes on it once it works."""

    peer: str
    generation: int


class Close(NamedTuple):
    """Close a connection and drop what still comes on it."""

    peer: str
    generation: int


class SendBeat(NamedTuple):
    """Send a beat on a connection, and report it by ``sent``."""

    peer: str
    generation: int


class PeerUp(NamedTuple):
    """The connection of a generation works: requests may be sent and resumed there."""

    peer: str
    generation: int


class PeerDown(NamedTuple):
    """The peer does not answer on a new connection either."""

    peer: str
    #: Seconds until it is tried again.
    retry_after_s: float


ConnectionCommand = OpenNew | Close | SendBeat | PeerUp | PeerDown


class _Phase(StrEnum):
    """How far the newest connection has come."""

    CONNECTING = "connecting"
    #: Open, but nothing was heard on it yet.
    PROVING = "proving"
    UP = "up"
    DOWN = "down"


class ConnectionMachine:
    """Keeps one working connection to a peer.

    :param peer: name of the peer
    :param rng: source of chance for the jitter
    :param beat_s: seconds after which a beat is due
    :param silence_s: bound of silence in seconds, also for opening and the first word
    :param backoff_s: first backoff in seconds
    :param backoff_most_s: most seconds of backoff
    """

    def __init__(
        self,
        peer: str,
        rng: Random,
        beat_s: float = BEAT_S,
        silence_s: float = SILENCE_S,
        backoff_s: float = BACKOFF_S,
        backoff_most_s: float = BACKOFF_MOST_S,
    ) -> None:
        self._rng = rng
        self._beat_s = beat_s
        self._silence_s = silence_s
        self._backoff_s = backoff_s
        self._backoff_most_s = backoff_most_s
        self._detector = SilenceDetector(beat_s, silence_s)
        self._pauses = _PauseMeter(silence_s / 2)
        self._since_s = float("-inf")
        self._phase = _Phase.DOWN
        self._due_s = float("-inf")
        self._failures = 0
        #: Name of the peer.
        self.peer = peer
        #: Number of the connection in use; messages of any other are ignored.
        self.generation = 0

    @property
    def is_up(self) -> bool:
        """Whether the connection of this generation works."""
        return self._phase == _Phase.UP

    @property
    def is_down(self) -> bool:
        """Whether the peer counts as down."""
        return self._phase == _Phase.DOWN

    def tick(self, now_s: float) -> list[ConnectionCommand]:
        """:return: what is to be done at a time in seconds of the timer service"""
        discount_s = self._pauses.discount(self._since_s, now_s)
        if self._phase == _Phase.DOWN:
            return self._open(now_s) if now_s >= self._due_s else []
        if self._phase == _Phase.UP:
            return self._watch(now_s)
        self._due_s += discount_s
        if now_s >= self._due_s:
            return [Close(self.peer, self.generation), *self._go_down(now_s)]
        return []

    def opened(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """A connection is open; it counts as working once something is heard on it."""
        if generation != self.generation:
            return [Close(self.peer, generation)]
        if self._phase != _Phase.CONNECTING:
            return []
        self._enter(_Phase.PROVING, now_s)
        return [SendBeat(self.peer, generation)]

    def open_failed(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """A connection could not be opened."""
        if generation != self.generation or self._phase != _Phase.CONNECTING:
            return []
        return self._go_down(now_s)

    def closed(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """A connection was closed by the other end or broke."""
        if generation != self.generation or self._phase == _Phase.DOWN:
            return []
        was_useful = self._phase == _Phase.UP and now_s - self._since_s >= self._beat_s
        return self._open(now_s) if was_useful else self._go_down(now_s)

    def sent(self, generation: int, now_s: float) -> None:
        """A message that is to be answered went out on a connection."""
        if generation == self.generation:
            self._detector.sent(now_s)

    def heard(self, generation: int, now_s: float) -> list[ConnectionCommand]:
        """Something came in on a connection; see ``accepts`` for whether to take it."""
        if not self.accepts(generation):
            return []
        self._detector.heard(now_s)
        if self._phase == _Phase.UP:
            return []
        self._enter(_Phase.UP, now_s)
        self._failures = 0
        return [PeerUp(self.peer, generation)]

    def accepts(self, generation: int) -> bool:
        """:return: whether messages of a connection are taken"""
        in_use = self._phase in (_Phase.PROVING, _Phase.UP)
        return in_use and generation == self.generation

    def _watch(self, now_s: float) -> list[ConnectionCommand]:
        state = self._detector.check(now_s)
        if state == ConnectionState.SILENT:
            return [Close(self.peer, self.generation), *self._open(now_s)]
        beat_is_due = state == ConnectionState.PROBE
        return [SendBeat(self.peer, self.generation)] if beat_is_due else []

    def _open(self, now_s: float) -> list[ConnectionCommand]:
        self.generation += 1
        self._enter(_Phase.CONNECTING, now_s)
        return [OpenNew(self.peer, self.generation)]

    def _enter(self, phase: _Phase, now_s: float) -> None:
        self._phase = phase
        self._since_s = now_s
        self._due_s = now_s + self._silence_s

    def _go_down(self, now_s: float) -> list[ConnectionCommand]:
        self._enter(_Phase.DOWN, now_s)
        backoff_s = min(self._backoff_s * 2**self._failures, self._backoff_most_s)
        retry_after_s = backoff_s * self._rng.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 32)
        self._due_s = now_s + retry_after_s
        return [PeerDown(self.peer, retry_after_s)]
