"""
kingcupdyke.forwarding.workitem
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A request as the dispatcher sees it.
"""

from typing import NamedTuple

from kingcupdyke.forwarding.metadata import PromptPart

__all__ = ["WorkItem"]


class WorkItem(NamedTuple):
    """The properties of a request on which the dispatcher decides."""

    attempt_id: str
    service: str
    model: str
    adapter: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    #: Rank; 0 is the most urgent.
    priority: int
    arrived_s: float
    #: Time until which the first event counts as on time.
    objective_s: float
    #: Time by which the answer must have begun, as the client leaves then.
    first_by_s: float
    #: Time by which the answer must be complete.
    deadline_s: float
    #: Software version at which its stream must continue, or None for any.
    software_version: str | None = None
    #: Identifies requests with the same method, path, caller and body; empty if unknown.
    fingerprint: str = ""
    #: Whether its stream may be continued, so that the version which begins it must be registered.
    is_resumable: bool = False
    #: Name of the caller, or empty if it is not known.
    caller: str = ""
    #: Name of the route.
    route: str = ""

    @property
    def part_ids(self) -> tuple[str, ...]:
        """:return: ids of the parts of its prompt, in order"""
        return tuple(each.part_id for each in self.parts)
