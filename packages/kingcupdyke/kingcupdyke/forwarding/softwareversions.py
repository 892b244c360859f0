"""
kingcupdyke.forwarding.softwareversions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The software versions of one service as the register in the store names them.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple

from expression import Error, Ok, Result

from kingcupdyke.error import DECODE_ERRORS, Failure, Outcome, Step

__all__ = ["SoftwareVersions"]


class SoftwareVersions(NamedTuple):
    """Versions that were used for resumable streams."""

    versions: frozenset[str] = frozenset()
    #: Those of them that are about to be removed, as they are no longer listed. A gateway has to
    #: add them again before it uses them.
    retiring: frozenset[str] = frozenset()

    @property
    def usable(self) -> frozenset[str]:
        """:return: versions at which streams may begin"""
        return self.versions - self.retiring

    def add(self, versions: Iterable[str]) -> "SoftwareVersions":
        """:return: a register with further usable versions"""
        added = frozenset(versions)
        return SoftwareVersions(self.versions | added, self.retiring - added)

    def retire(self, versions: Iterable[str]) -> "SoftwareVersions":
        """:return: a register in which versions are about to be removed"""
        return self._replace(retiring=self.retiring | (self.versions & frozenset(versions)))

    def remove(self, versions: Iterable[str]) -> "SoftwareVersions":
        """:return: a register without those of the versions that were about to be removed"""
        removed = self.retiring & frozenset(versions)
        return SoftwareVersions(self.versions - removed, self.retiring - removed)

    def encode(self) -> bytes:
        """:return: the register as JSON"""
        fields = {"versions": sorted(self.versions), "retiring": sorted(self.retiring)}
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result["SoftwareVersions", Failure]:
        """:return: the register, or a failure if the bytes are not a valid one"""
        try:
            fields = json.loads(value)
            versions, retiring = fields["versions"], fields["retiring"]
            if not all(isinstance(each, str) for each in (*versions, *retiring)):
                raise ValueError("a version is no text")
            return Ok(cls(frozenset(versions), frozenset(retiring) & frozenset(versions)))
        except DECODE_ERRORS as error:
            reason = f"invalid register of software versions: {error!r}"
            return Error(Failure(Outcome.FAILED, Step.PARSE, "", reason))
