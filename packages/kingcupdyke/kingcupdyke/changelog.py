"""
kingcupdyke.changelog
~~~~~~~~~~~~~~~~~~~~~

Object names and encoded values of the change log in the platform's store.
"""

import json
import zlib
from collections.abc import Iterable

from kingcupdyke.config import ConfigChange
from kingcupdyke.error import DECODE_ERRORS
from kingcupdyke.rulesnapshot import StoredRule

__all__ = [
    "CHANGES_KIND",
    "CHANGES_PER_PAGE",
    "SNAPSHOTS_KIND",
    "SNAPSHOT_NAME",
    "SNAPSHOT_PERIOD_CHANGES",
    "decode_change",
    "decode_snapshot",
    "encode_change",
    "encode_snapshot",
    "get_change_name",
    "get_page_prefix",
]

#: Kind of the objects that hold one accepted change each.
CHANGES_KIND = "changes"
#: Kind of the object that holds all rules of one version; it shortens the start of a process.
SNAPSHOTS_KIND = "snapshots"
SNAPSHOT_NAME = "rules"
#: Accepted changes between two snapshots.
SNAPSHOT_PERIOD_CHANGES = 64
#: Changes whose object names share a prefix, so that one call lists them.
CHANGES_PER_PAGE = 100

_NAME_DIGITS = 12
_PAGE_DIGITS = _NAME_DIGITS - 2
#: Larger values are compressed, since the store accepts at most 1 MB per object.
_MAX_PLAIN_BYTES = 64_000


def get_change_name(version: int) -> str:
    """:return: the object's name; names sort in order of the versions"""
    return f"{version:0{_NAME_DIGITS}d}"


def get_page_prefix(version: int) -> str:
    """:return: the name prefix of the page that holds the version's change"""
    return get_change_name(version)[:_PAGE_DIGITS]


def encode_change(change: ConfigChange) -> bytes:
    """:return: the value of the change's object"""
    return _pack(change._asdict())


def decode_change(value: bytes) -> ConfigChange:
    """:return: the change that an object's value encodes
    :raises ValueError: when the value does not encode a change
    """
    fields = _unpack(value)
    try:
        return ConfigChange(
            version=int(fields["version"]),
            change_id=str(fields["change_id"]),
            author=str(fields["author"]),
            puts=tuple(StoredRule(*rule) for rule in fields["puts"]),
            removes=tuple(fields["removes"]),
        )
    except DECODE_ERRORS as error:
        raise ValueError(f"not a configuration change: {error}") from error


def encode_snapshot(version: int, rules: Iterable[StoredRule]) -> bytes:
    """:return: the value of the snapshot's object"""
    return _pack({"version": version, "rules": sorted(rules)})


def decode_snapshot(value: bytes) -> tuple[int, tuple[StoredRule, ...]]:
    """:return: the version and its rules
    :raises ValueError: when the value does not encode a snapshot
    """
    fields = _unpack(value)
    try:
        return int(fields["version"]), tuple(StoredRule(*rule) for rule in fields["rules"])
    except DECODE_ERRORS as error:
        raise ValueError(f"not a rule snapshot: {error}") from error


def _pack(fields: dict[str, object]) -> bytes:
    plain = json.dumps(fields, ensure_ascii=False, separators=(",", ":")).encode()
    return plain if len(plain) <= _MAX_PLAIN_BYTES else zlib.compress(plain)


def _unpack(value: bytes) -> dict[str, object]:
    try:
        plain = value if value.startswith(b"{") else zlib.decompress(value)
    except zlib.error as error:
        raise ValueError(f"neither JSON nor compressed: {error}") from error
    try:
        return json.loads(plain)
    except RecursionError as error:
        raise ValueError("too deeply nested") from error
