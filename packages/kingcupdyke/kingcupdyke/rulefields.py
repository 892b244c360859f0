"""
kingcupdyke.rulefields
~~~~~~~~~~~~~~~~~~~~~~

Parses and checks the fields of a rule line, with one reader per kind of rule.
"""

import re
from collections.abc import Callable, Mapping
from difflib import get_close_matches

from kingcupdyke.error import OptionError
from kingcupdyke.rule import (
    AdapterRule,
    CallerRule,
    LinkRule,
    MemoryRule,
    ModelRule,
    ServiceClass,
    ServiceRule,
)
from kingcupdyke.rulesnapshot import AnyRule
from kingcupdyke.util import (
    get_bytes_opt,
    get_choice_opt,
    get_float_opt,
    get_int_opt,
    get_list_opt,
    get_seconds_opt,
    get_str_opt,
)

__all__ = ["READERS_BY_KIND", "FieldReader"]

HTTP_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
#: Smallest weight of a caller; with a weight of 0 it would be starved.
MIN_CALLER_WEIGHT = 0.01

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class FieldReader:
    """Reads fields with the option helpers and collects all errors.

    An invalid field reads as None, so a rule built from it must not be used if
    :meth:`finish` returns errors.

    :param fields: names and values as written
    """

    def __init__(self, fields: Mapping[str, object]) -> None:
        self._fields = fields
        self._errors: list[OptionError] = []
        self._known: set[str] = set()

    def read(self, getter: Callable, name: str, *args: object, **options: object) -> object:
        """:return: the field as parsed by the getter, or None if it is invalid"""
        self._known.add(name)
        try:
            return getter(self._fields, name, *args, **options)
        except OptionError as error:
            self._errors.append(error)
            return None

    def finish(self) -> list[OptionError]:
        """:return: all errors, unknown fields last"""
        for name in self._fields:
            if name not in self._known:
                self._errors.append(
                    OptionError(str(name), self._fields[name], self._suggest_field(name))
                )
        return self._errors

    def _suggest_field(self, name: object) -> str:
        close = get_close_matches(str(name), self._known, n=1)
        if close:
            return f"is not a field of this kind of rule; do you mean {close[0]}?"
        return f"is not a field of this kind of rule; it has {', '.join(sorted(self._known))}"


def get_name_opt(options: Mapping[str, object], name: str, *default: object) -> str:
    """:return: the option as a name that is safe in URLs and headers
    :raises OptionError: when it is missing, too long or has other characters
    """
    value = get_str_opt(options, name, *default)
    if _NAME_PATTERN.fullmatch(value) is None:
        remedy = "give a name of letters, digits and . _ : @ + -, at most 128 long"
        raise OptionError(name, value, remedy)
    return value


def get_digest_opt(options: Mapping[str, object], name: str) -> str:
    """:return: the option as a hexadecimal SHA-256 digest
    :raises OptionError: when it is missing or not a digest
    """
    value = get_str_opt(options, name)
    if _DIGEST_PATTERN.fullmatch(value) is None:
        # The value may be a token written by mistake, so it is kept out of the message.
        remedy = "give the SHA-256 digest of the token as 64 hexadecimal digits in lower case"
        raise OptionError(name, "(hidden)", remedy)
    return value


def get_methods_opt(options: Mapping[str, object], name: str) -> tuple[str, ...]:
    """:return: the option as HTTP methods
    :raises OptionError: when it is missing or contains any other method
    """
    methods = get_list_opt(options, name)
    for method in methods:
        if method not in HTTP_METHODS:
            raise OptionError(name, method, f"give any of {', '.join(HTTP_METHODS)}")
    return methods


def get_names_opt(options: Mapping[str, object], name: str) -> tuple[str, ...]:
    """:return: the option as one or more distinct names
    :raises OptionError: when it is missing, empty or contains a name twice
    """
    names = get_list_opt(options, name)
    if not names or len(set(names)) < len(names):
        raise OptionError(name, list(names), "give at least one name, and none of them twice")
    return names


def get_size_opt(options: Mapping[str, object], name: str) -> int:
    """:return: the option in bytes, above zero
    :raises OptionError: when it is missing or not a size above zero
    """
    size = get_bytes_opt(options, name)
    if size == 0:
        raise OptionError(name, options[name], "give a size above zero, such as 14GB")
    return size


def get_deadline_opt(options: Mapping[str, object], name: str) -> float:
    """:return: the option in seconds, above zero
    :raises OptionError: when it is missing or not a duration above zero
    """
    seconds = get_seconds_opt(options, name)
    if seconds == 0:
        raise OptionError(name, options[name], "give a duration above zero, such as 2s")
    return seconds


def _read_model(reader: FieldReader) -> ModelRule:
    return ModelRule(
        name=reader.read(get_name_opt, "model"),
        version=reader.read(get_str_opt, "version"),
        weights_bytes=reader.read(get_size_opt, "weights"),
        kv_bytes=reader.read(get_size_opt, "kv"),
        replicas=reader.read(get_int_opt, "replicas", 1, least=1),
        regions=reader.read(get_names_opt, "regions"),
        callers=reader.read(get_names_opt, "callers"),
        service_class=reader.read(get_choice_opt, "class", ServiceClass.ALL),
        deadline_s=reader.read(get_deadline_opt, "deadline"),
    )


def _read_adapter(reader: FieldReader) -> AdapterRule:
    return AdapterRule(
        name=reader.read(get_name_opt, "adapter"),
        model=reader.read(get_name_opt, "model"),
        adapter_bytes=reader.read(get_size_opt, "size"),
        callers=reader.read(get_names_opt, "callers"),
    )


def _read_service(reader: FieldReader) -> ServiceRule:
    return ServiceRule(
        name=reader.read(get_name_opt, "service"),
        callers=reader.read(get_names_opt, "callers"),
        idempotent_methods=reader.read(get_methods_opt, "idempotent"),
        service_class=reader.read(get_choice_opt, "class", ServiceClass.ALL),
        deadline_s=reader.read(get_deadline_opt, "deadline"),
    )


def _read_caller(reader: FieldReader) -> CallerRule:
    return CallerRule(
        name=reader.read(get_name_opt, "caller"),
        token_digest=reader.read(get_digest_opt, "token_sha256"),
        weight=reader.read(get_float_opt, "weight", 1.0, least=MIN_CALLER_WEIGHT, most=1000.0),
    )


def _read_memory(reader: FieldReader) -> MemoryRule:
    name = reader.read(get_name_opt, "memory")
    return MemoryRule(
        name=name,
        region=reader.read(get_name_opt, "region", name),
        hosts=reader.read(get_int_opt, "hosts", least=1),
        bytes_per_host=reader.read(get_size_opt, "per_host"),
    )


def _read_link(reader: FieldReader) -> LinkRule:
    return LinkRule(
        name=reader.read(get_name_opt, "link"),
        bytes_per_s=reader.read(get_size_opt, "budget"),
        lean=reader.read(get_float_opt, "lean", most=1.0),
    )


#: Reader of each kind of rule, by the line's first key.
READERS_BY_KIND: dict[str, Callable[[FieldReader], AnyRule]] = {
    "model": _read_model,
    "adapter": _read_adapter,
    "service": _read_service,
    "caller": _read_caller,
    "memory": _read_memory,
    "link": _read_link,
}
