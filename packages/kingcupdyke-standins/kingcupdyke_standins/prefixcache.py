"""
kingcupdyke_standins.prefixcache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cache of prompt prefixes and the events that it publishes.
"""

from collections import OrderedDict, deque
from hashlib import sha256
from typing import NamedTuple

__all__ = ["CacheRecord", "PrefixCache", "hash_prefixes"]

BLOCK_CHARS = 256
HASH_DIGITS = 16
#: Events that stay readable.
EVENTS_HELD = 5000


class CacheRecord(NamedTuple):
    """An event and when it arose, in seconds of the loop's clock."""

    made_s: float
    sequence: int
    stored: bool
    prefix: str


class PrefixCache:
    """The most recently used prefix blocks.

    :param capacity_blocks: blocks that fit
    """

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._records: deque[CacheRecord] = deque(maxlen=EVENTS_HELD)
        self._sequence = 0

    def touch(self, prefixes: list[str], now_s: float) -> int:
        """Use the blocks of a prompt and store those that were missing.

        :return: how many blocks from the first one on were there
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
            dropped, _ = self._blocks.popitem(last=False)
            self._record(False, dropped, now_s)
        return hits

    def events_after(self, position: int, published_s: float, gap_every: int) -> list[CacheRecord]:
        """:return: events after a sequence number

        :param published_s: later events are not shown yet
        :param gap_every: events whose number it divides are lost; 0 loses none
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
    """:return: hashes of the whole blocks of a prompt, the shortest prefix first"""
    digest = sha256(f"{model}\0{adapter}\0".encode())
    prefixes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        prefixes.append(digest.hexdigest()[:HASH_DIGITS])
    return prefixes
