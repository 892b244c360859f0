"""
kingcupdyke_standins.prefixcache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cache of prompt prefixes and the events that it publishes.
"""

from collections import OrderedDict, deque
from hashlib import sha256
from typing import NamedTuple

__all__ = ["CacheRecord", "PrefixCache", "hash_prefixes"]

#: Characters of a prompt in one prefix block.
BLOCK_CHARS = 256
#: Hexadecimal digits of the hash of a prefix.
HASH_DIGITS = 16
#: Number of events kept; older ones can no longer be read.
MAX_KEPT_EVENTS = 5000


class CacheRecord(NamedTuple):
    """A cache event and its time, in seconds on the clock of the event loop."""

    made_s: float
    sequence: int
    stored: bool
    prefix: str


class PrefixCache:
    """The most recently used prefix blocks.

    :param capacity_blocks: number of blocks above which the least recently used are evicted
    """

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._records: deque[CacheRecord] = deque(maxlen=MAX_KEPT_EVENTS)
        self._sequence = 0

    def touch(self, prefixes: list[str], now_s: float) -> int:
        """Mark the blocks of a prompt as used and store the missing ones.

        :return: the number of leading blocks that were cached
        """
        hits = 0
        while hits < len(prefixes) and prefixes[hits] in self._blocks:
            hits += 1
        for prefix in prefixes:
            if prefix not in self._blocks:
                self._record(True, prefix, now_s)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record(False, evicted, now_s)
        return hits

    def events_after(self, position: int, published_s: float, gap_every: int) -> list[CacheRecord]:
        """:return: events after a sequence number

        :param published_s: time up to which events are visible
        :param gap_every: events whose sequence number is a multiple of it are lost; 0 loses none
        """
        return [
            record
            for record in self._records
            if record.sequence > position
            and record.made_s <= published_s
            and not (gap_every and record.sequence % gap_every == 0)
        ]

    def _record(self, stored: bool, prefix: str, now_s: float) -> None:
        self._sequence += 1
        self._records.append(CacheRecord(now_s, self._sequence, stored, prefix))


def hash_prefixes(model: str, adapter: str, prompt: str) -> list[str]:
    """:return: hashes of the prefixes that end with a complete block, the shortest first"""
    digest = sha256(f"{model}\0{adapter}\0".encode())
    prefixes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        prefixes.append(digest.hexdigest()[:HASH_DIGITS])
    return prefixes
