"""
kingcupdyke_tool.settings
~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of the tool: the addresses of the platform's services.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from kingcupdyke.check import Problem
from kingcupdyke.error import OptionError
from kingcupdyke.util import get_str_opt

__all__ = ["ToolSettings", "read_settings"]


class ToolSettings(NamedTuple):
    """Addresses of the platform's services."""

    #: Scheme, address and port of the object store.
    store: str
    #: Scheme, address and port of the host list.
    hosts: str


def read_settings(path: Path) -> Result[ToolSettings, tuple[Problem, ...]]:
    """:return: the settings of a YAML file, or all errors in it"""
    try:
        options = YAML(typ="safe").load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        return Error((Problem(1, "", None, f"can't be read: {error}"),))
    if not isinstance(options, Mapping):
        return Error((Problem(1, "", None, "write store: URL and hosts: URL, one per line"),))
    problems = [
        Problem(1, str(name), options[name], "is not a setting; the settings are store and hosts")
        for name in options
        if name not in ToolSettings._fields
    ]
    values = {}
    for name in ToolSettings._fields:
        try:
            values[name] = _get_url_opt(options, name)
        except OptionError as error:
            problems.append(Problem(1, error.option, error.value, error.remedy))
    return Error(tuple(problems)) if problems else Ok(ToolSettings(**values))


def _get_url_opt(options: Mapping[str, object], name: str) -> str:
    value = get_str_opt(options, name)
    if not value.startswith("http://"):
        raise OptionError(name, value, "give an address such as http://127.0.0.1:8080")
    return value.rstrip("/")
