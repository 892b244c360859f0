"""
kingcupdyke_measure.scenario
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads scenarios of load from settings files and makes their requests.
"""

from pathlib import Path
from random import Random
from typing import NamedTuple

from ruamel.yaml import YAML

from kingcupdyke.prefix import BLOCK_CHARACTERS
from kingcupdyke.rule import RuleSet
from kingcupdyke_measure.load import Arrival

__all__ = ["Scenario", "StreamPlan", "list_scenarios", "load_scenario", "make_arrivals"]

_SETTINGS_FOLDER = Path(__file__).resolve().parents[1] / "settings"
#: Length, in prefix blocks, of the prompt prefix that all requests with one adapter share.
_SHARED_PREFIX_BLOCKS = 4


class StreamPlan(NamedTuple):
    """A stream of requests of one kind, from one caller."""

    kind: str
    caller: str
    #: Mean requests a second outside the peak.
    per_s: float
    deadline_s: float
    #: Mean requests a second inside the peak; None: the same as outside.
    peak_per_s: float | None = None
    #: Name of the model, or the empty string for a service.
    model: str = ""
    #: Tokens of an answer.
    tokens: int = 0
    #: Share of the requests that name an adapter.
    adapters: float = 0.0
    #: Name of the service, if there is no model.
    service: str = ""
    method: str = "GET"
    #: Seconds after which the client sends a duplicate request with the same key; None: requests
    #: have no key and are sent once.
    press_again_s: float | None = None


class Scenario(NamedTuple):
    """A load on one user's site, with the settings of its runs."""

    user: str
    name: str
    seed: int
    load_s: float
    #: Start and end of the peak, in seconds from the start of the load.
    peak_from_s: float
    peak_to_s: float
    #: Command line options of all engines.
    engine: tuple[str, ...]
    #: Settings of all gateways.
    gateway: dict[str, object]
    #: Names of variants; each is a run.
    variants: tuple[str, ...]
    #: Name of the fault, or the empty string.
    fault: str
    streams: tuple[StreamPlan, ...]


def list_scenarios(user: str) -> list[str]:
    """:return: names of a user's scenarios"""
    return sorted(path.stem for path in (_SETTINGS_FOLDER / user).glob("*.yaml"))


def load_scenario(user: str, name: str) -> Scenario:
    """:return: a scenario from its settings file
    :raises OSError: if there is no such file
    """
    fields = YAML(typ="safe").load((_SETTINGS_FOLDER / user / f"{name}.yaml").read_text())
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
    """:return: the requests in order of their times; the scenario's seed determines them"""
    rng = Random(scenario.seed)
    arrivals: list[Arrival] = []
    for plan in scenario.streams:
        for number, at_s in enumerate(_draw_times(scenario, plan, rng)):
            if plan.model:
                arrivals.append(_make_completion(plan, number, at_s, rules, rng))
            else:
                arrivals += _make_service_calls(plan, number, at_s)
    return sorted(arrivals, key=lambda each: each.at_s)


def _draw_times(scenario: Scenario, plan: StreamPlan, rng: Random) -> list[float]:
    """:return: times of a Poisson process with another rate inside the peak"""
    peak_per_s = plan.per_s if plan.peak_per_s is None else plan.peak_per_s
    max_per_s = max(plan.per_s, peak_per_s)
    times_s = []
    at_s = rng.expovariate(max_per_s)
    while at_s < scenario.load_s:
        is_peak = scenario.peak_from_s <= at_s < scenario.peak_to_s
        if rng.random() * max_per_s < (peak_per_s if is_peak else plan.per_s):
            times_s.append(at_s)
        at_s += rng.expovariate(max_per_s)
    return times_s


def _make_completion(
    plan: StreamPlan, number: int, at_s: float, rules: RuleSet, rng: Random
) -> Arrival:
    adapters = sorted(n for n, each in rules.adapters_by_name.items() if each.model == plan.model)
    target = plan.model
    if adapters and rng.random() < plan.adapters:
        target = rng.choice(adapters)
    prompt_prefix = f"{target}: ".ljust(_SHARED_PREFIX_BLOCKS * BLOCK_CHARACTERS, "=")
    body = {
        "model": target,
        "max_tokens": plan.tokens,
        "stream": True,
        "messages": [{"role": "user", "content": f"{prompt_prefix}{plan.kind} {number}"}],
    }
    path = "/v1/chat/completions"
    token = _make_token(plan.caller)
    return Arrival(at_s, plan.kind, token, path, body, plan.deadline_s, plan.model)


def _make_service_calls(plan: StreamPlan, number: int, at_s: float) -> list[Arrival]:
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
