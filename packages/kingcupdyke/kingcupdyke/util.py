"""
kingcupdyke.util
~~~~~~~~~~~~~~~~

Helpers that check options, and rendezvous hashing.
"""

import re
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from inspect import Parameter, signature

from kingcupdyke.error import OptionError

__all__ = [
    "GIB",
    "MIB",
    "check_options",
    "get_bytes_opt",
    "get_choice_opt",
    "get_float_opt",
    "get_int_opt",
    "get_list_opt",
    "get_seconds_opt",
    "get_str_opt",
    "hash_score",
    "rank_rendezvous",
]

#: Bytes in a mebibyte.
MIB = 1 << 20
#: Bytes in a gibibyte.
GIB = 1 << 30

_MISSING = object()
_BYTES_BY_UNIT = {"": 1, "B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "TB": 10**12}
_BYTES_BY_UNIT |= {"KIB": 1 << 10, "MIB": MIB, "GIB": GIB, "TIB": 1 << 40}
_SECONDS_BY_UNIT = {"": 1.0, "ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


def _get(options: Mapping[str, object], name: str, default: object) -> object:
    value = options.get(name, default)
    if value is _MISSING:
        raise OptionError(name, None, "is required")
    return value


def check_options(kind: type, options: Mapping[str, object]) -> None:
    """Check that a class or one of its bases takes options of these names.

    :param kind: the class
    :param options: the options, by name
    :raises OptionError: when neither the class nor a base has such an option
    """
    parameters = [
        parameter
        for each in kind.__mro__
        if "__init__" in vars(each)
        for parameter in signature(each.__init__).parameters.values()
    ]
    allowed_names = {each.name for each in parameters if each.kind is not Parameter.VAR_KEYWORD}
    for name, value in options.items():
        if name not in allowed_names:
            raise OptionError(name, value, f"is not an option of {kind.__name__}; leave it out")


def get_str_opt(options: Mapping[str, object], name: str, default: object = _MISSING) -> str:
    """:return: the option as a non-empty string
    :raises OptionError: when it is missing, empty or not a string
    """
    value = _get(options, name, default)
    if value is default:
        return value
    if not isinstance(value, str) or not value:
        raise OptionError(name, value, "give a non-empty string")
    return value


def get_int_opt(
    options: Mapping[str, object], name: str, default: object = _MISSING, least: int = 0
) -> int:
    """:return: the option as a whole number of at least ``least``
    :raises OptionError: when it is missing, not a whole number or too small
    """
    value = _get(options, name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        raise OptionError(name, value, f"give a whole number of {least} or more")
    return value


def get_float_opt(
    options: Mapping[str, object],
    name: str,
    default: object = _MISSING,
    least: float = 0.0,
    most: float = float("inf"),
) -> float:
    """:return: the option as a number from ``least`` to ``most``
    :raises OptionError: when it is missing, not a number or out of range
    """
    value = _get(options, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise OptionError(name, value, f"give a number from {least:g} to {most:g}")
    return float(value)


def get_choice_opt(
    options: Mapping[str, object], name: str, choices: Iterable[str], default: object = _MISSING
) -> str:
    """:return: the option, one of ``choices``
    :raises OptionError: when it is missing or not one of them
    """
    value = _get(options, name, default)
    allowed = tuple(choices)
    if value not in allowed:
        raise OptionError(name, value, f"give one of {', '.join(allowed)}")
    return value


def get_list_opt(
    options: Mapping[str, object], name: str, default: object = _MISSING
) -> tuple[str, ...]:
    """:return: the option as a tuple of strings; a single string counts as a list of one
    :raises OptionError: when it is missing or contains anything but non-empty strings
    """
    value = _get(options, name, default)
    if isinstance(value, str):
        value = (value,)
    if not isinstance(value, list | tuple) or not all(isinstance(e, str) and e for e in value):
        raise OptionError(name, value, "give a list of names")
    return tuple(value)


def _parse_scaled(value: object, scales: Mapping[str, float], pattern: str) -> float | None:
    if isinstance(value, bool):
        return None
    if isinstance(value, int | float):
        return value if 0 <= value < float("inf") else None
    match = re.fullmatch(pattern, value.strip()) if isinstance(value, str) else None
    if match is None or match[2] not in scales:
        return None
    return float(match[1]) * scales[match[2]]


def get_bytes_opt(options: Mapping[str, object], name: str, default: object = _MISSING) -> int:
    """:return: the option in bytes, given as a number or a string such as ``14GB`` or ``80GiB``
    :raises OptionError: when it is missing or not a size
    """
    value = _get(options, name, default)
    upper = value.upper() if isinstance(value, str) else value
    size = _parse_scaled(upper, _BYTES_BY_UNIT, r"([0-9]+(?:\.[0-9]+)?)\s*([A-Z]*)")
    if size is None:
        raise OptionError(name, value, "give a size such as 14GB or 80GiB")
    return int(size)


def get_seconds_opt(options: Mapping[str, object], name: str, default: object = _MISSING) -> float:
    """:return: the option in seconds, given as a number or a string such as ``400ms`` or ``2h``
    :raises OptionError: when it is missing or not a duration
    """
    value = _get(options, name, default)
    seconds = _parse_scaled(value, _SECONDS_BY_UNIT, r"([0-9]+(?:\.[0-9]+)?)\s*([a-z]*)")
    if seconds is None:
        raise OptionError(name, value, "give a duration such as 400ms, 2s or 1h")
    return float(seconds)


def hash_score(key: str, member: str) -> int:
    """:return: a 64-bit hash of the pair, the same in every process"""
    digest = blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_rendezvous(key: str, members: Iterable[str]) -> list[str]:
    """:return: the members in descending order of their score for the key (rendezvous hashing)"""
    return sorted(members, key=lambda member: (hash_score(key, member), member), reverse=True)
