"""
kingcupdyke_measure.scenario
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Scenarios of load from settings files, and the requests that they make.
"""

from pathlib import Path
from random import Random
from typing import NamedTuple

from ruamel.yaml import YAML

from kingcupdyke.prefix import BLOCK_CHARACTERS
from kingcupdyke.rule import RuleSet
from kingcupdyke_measure.load import Arrival

__all__ = ["Scenario", "StreamPlan", "list_scenarios", "load_scenario", "make_arrivals"]

_SETTINGS = Path(__file__).resolve().parents[1] / "settings"
#: Blocks of a prompt that requests with one adapter share.
_SHARED_BLOCKS = 4


class StreamPlan(NamedTuple):
    """Requests of one kind."""

    kind: str
    caller: str
    #: Mean requests a second, outside and inside the peak.
    per_s: float
    deadline_s: float
    peak_per_s: float | None = None
    #: Name of the model, or the empty string for a service.
    model: str = ""
    tokens: int = 0
    #: Part of the requests that name an adapter.
    adapters: float = 0.0
    service: str = ""
    method: str = "GET"
    #: Seconds after which the caller presses again with the same key; None: no key.
    press_again_s: float | None = None


class Scenario(NamedTuple):
    """A load on one user's site, and what it is run with."""

    user: str
    name: str
    seed: int
    load_s: float
    peak_from_s: float
    peak_to_s: float
    #: Options of all engines.
    engine: tuple[str, ...]
    gateway: dict[str, object]
    #: Names of variants; each is a run.
    variants: tuple[str, ...]
    #: Name of the fault, or the empty string.
    fault: str
    streams: tuple[StreamPlan, ...]


def list_scenarios(user: str) -> list[str]:
    """:return: names of a user's scenarios"""
    return sorted(path.stem for path in (_SETTINGS / user).glob("*.yaml"))


def load_scenario(user: str, name: str) -> Scenario:
    """:return: a scenario from its settings file
    :raises OSError: when there is none
    """
    fields = YAML(typ="safe").load((_SETTINGS / user / f"{name}.yaml").read_text())
    peak_from_s, peak_to_s = fields.get("peak_s", (0.0, 0.0))
    return Scenario(
        user,
        name,
        fields["seed"],
        fields["load_s"],
        peak_from_s,
        peak_to_s,
        tuple(map(str, fields["engine"])),
        dict(fields.get("gateway", {})),
        tuple(fields["variants"]),
        fields.get("fault", ""),
        tuple(StreamPlan(**each) for each in fields["streams"]),
    )


def make_arrivals(scenario: Scenario, rules: RuleSet) -> list[Arrival]:
    """:return: the requests in order of their times, the same for the same seed"""
    rng = Random(scenario.seed)
    arrivals: list[Arrival] = []
    for plan in scenario.streams:
        for number, at_s in enumerate(_draw_times(scenario, plan, rng)):
            if plan.model:
                arrivals.append(_make_text(plan, number, at_s, rules, rng))
            else:
                arrivals += _make_calls(plan, number, at_s)
    return sorted(arrivals, key=lambda each: each.at_s)


def _draw_times(scenario: Scenario, plan: StreamPlan, rng: Random) -> list[float]:
    """:return: times of a Poisson process with a higher rate inside the peak"""
    peak_per_s = plan.per_s if plan.peak_per_s is None else plan.peak_per_s
    most_per_s = max(plan.per_s, peak_per_s)
    times_s = []
    at_s = rng.expovariate(most_per_s)
    while at_s < scenario.load_s:
        peak = scenario.peak_from_s <= at_s < scenario.peak_to_s
        if rng.random() * most_per_s < (peak_per_s if peak else plan.per_s):
            times_s.append(at_s)
        at_s += rng.expovariate(most_per_s)
    return times_s


def _make_text(plan: StreamPlan, number: int, at_s: float, rules: RuleSet, rng: Random) -> Arrival:
    adapters = sorted(n for n, each in rules.adapters_by_name.items() if each.model == plan.model)
    named = plan.model
    if adapters and rng.random() < plan.adapters:
        named = rng.choice(adapters)
    head = f"{named}: ".ljust(_SHARED_BLOCKS * BLOCK_CHARACTERS, "=")
    body = {
        "model": named,
        "max_tokens": plan.tokens,
        "stream": True,
        "messages": [{"role": "user", "content": f"{head}{plan.kind} {number}"}],
    }
    path = "/v1/chat/completions"
    token = _make_token(plan.caller)
    return Arrival(at_s, plan.kind, token, path, body, plan.deadline_s, plan.model)


def _make_calls(plan: StreamPlan, number: int, at_s: float) -> list[Arrival]:
    key = "" if plan.press_again_s is None else f"{plan.kind}-{number}"
    body = {plan.kind: number} if plan.method == "POST" else {}
    times_s = [at_s] if plan.press_again_s is None else [at_s, at_s + plan.press_again_s]
    path = f"/services/{plan.service}/{plan.kind}"
    return [
        Arrival(
            each_s,
            plan.kind,
            _make_token(plan.caller),
            path,
            body,
            plan.deadline_s,
            key=key,
            method=plan.method,
        )
        for each_s in times_s
    ]


def _make_token(caller: str) -> str:
    return f"example-token-{caller}"
