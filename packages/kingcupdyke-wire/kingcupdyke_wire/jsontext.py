"""
kingcupdyke_wire.jsontext
~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes JSON of which a part may be too deep or too long for the decoder, without losing the rest.

In place of such a part stands a number that is not finite, which JSON can't express: so whatever
contains it can be told from a value that was there.
"""

import gc
import json
import re
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf
from typing import Any

__all__ = ["load_json"]

#: Depth beyond which arrays and objects are not decoded.
MAX_DEPTH = 100
#: Digits beyond which an integer is not decoded, less than the limit of ``int``.
MAX_DIGITS = 1000
#: The beginning of a number with more digits.
LONG_NUMBER = re.compile(rf"(?<![0-9])[0-9]{{{MAX_DIGITS + 1}}}")
#: A string, or a bracket outside strings. A string that is not closed reaches to the end.
TOKEN = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\Z)|[\[{]|[\]}]', re.DOTALL)
#: Stands for a part that is too deep.
TOO_DEEP = "NaN"


def load_json(text: str) -> Any:
    """Decode JSON.

    :return: the value, in which an infinite number stands for each integer that is too long, and
        NaN for each array or object that is too deep
    :raises ValueError: if the text is not valid JSON
    """
    parse_int = _parse_int if LONG_NUMBER.search(text) else None
    with _paused_collector():
        try:
            return json.loads(text, parse_int=parse_int)
        except RecursionError:
            return json.loads(_cut_deep_parts(text), parse_int=parse_int)


@contextmanager
def _paused_collector() -> Iterator[None]:
    """Pause the collection of cycles, of which decoded JSON has none: with many containers it
    takes several times as long as decoding.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else inf


def _cut_deep_parts(text: str) -> str:
    """:return: the text with all arrays and objects below MAX_DEPTH replaced"""
    kept: list[str] = []
    kept_until = 0
    depth = 0
    for match in TOKEN.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += [text[kept_until : match.start()], TOO_DEEP]
                kept_until = len(text)
        elif token in "]}":
            if depth == MAX_DEPTH + 1:
                kept_until = match.end()
            depth -= 1
    kept.append(text[kept_until:])
    return "".join(kept)
