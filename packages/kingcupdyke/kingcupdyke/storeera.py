"""
kingcupdyke.storeera
~~~~~~~~~~~~~~~~~~~~

Eras of a store that may come back from a copy, and numbers that are comparable across them.

A store that has come back from a copy has lost its latest writes and gives their revisions out
again. It counts its eras, and each new era is greater than all earlier ones. A number with the era
in its high bits is therefore unique, and greater than all numbers of earlier eras. The era 0 is
that of a store that never goes back, or one that has not answered yet.
"""

from typing import NamedTuple

__all__ = [
    "MAX_ERA",
    "EraRevision",
    "find_fence_era",
    "get_base_fence",
    "join_revision",
    "name_in_era",
    "split_revision",
]

#: Bits of a fencing number that count the owners of a lease in one era.
FENCE_COUNT_BITS = 24
#: Bits of a version or position that hold the store's revision.
REVISION_BITS = 40
#: Greatest era: fencing numbers up to it are exact in JSON readers that use double precision.
MAX_ERA = 2**20


class EraRevision(NamedTuple):
    """A revision of a store and the era in which it was given out."""

    era: int
    revision: int


def join_revision(era: int, revision: int) -> int:
    """:return: a version or position that is greater than all those of earlier eras"""
    return (era << REVISION_BITS) + revision


def split_revision(joined: int) -> EraRevision:
    """:return: the era and the revision of a version or position"""
    return EraRevision(joined >> REVISION_BITS, joined & ((1 << REVISION_BITS) - 1))


def get_base_fence(era: int) -> int:
    """:return: the number below all fencing numbers of an era, above those of earlier ones"""
    return era << FENCE_COUNT_BITS


def find_fence_era(fence: int) -> int:
    """:return: the era in which a fencing number was given out"""
    return fence >> FENCE_COUNT_BITS


def name_in_era(name: str, era: int) -> str:
    """Name an object that is valid in one era only.

    A conditional write that was sent in an earlier era can't match such an object by its version.
    """
    return f"{name}-{era}" if era else name
