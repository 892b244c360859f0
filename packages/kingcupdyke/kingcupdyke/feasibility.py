"""
kingcupdyke.feasibility
~~~~~~~~~~~~~~~~~~~~~~~

Checks that the required replicas of all models fit the declared memory with one host lost.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from kingcupdyke.rule import AdapterRule, MemoryRule, ModelRule

__all__ = ["Misfit", "find_misfits"]

_GB = 10**9


class Misfit(NamedTuple):
    """A model whose replicas do not fit, and the rule field that requests too much."""

    model: str
    field: str
    value: object
    remedy: str


class _FreeHost(NamedTuple):
    """A host and its free memory; hosts sort by free memory."""

    free_bytes: int
    name: str


def find_misfits(
    models: Sequence[ModelRule], adapters: Iterable[AdapterRule], memory: Sequence[MemoryRule]
) -> list[Misfit]:
    """Check the fit with the loss of one host of each memory rule in turn.

    A replica needs memory for its weights, its KV cache and the largest adapter of its
    model; no two replicas of a model share a host. Models are placed greedily: those with
    the fewest regions first, then the largest. Each loss is tried with two strategies, worst
    fit (the host with the most free memory) and best fit (the one with the least). The
    heuristic may reject a tightly packed rule set although another layout would fit.

    :return: at most one misfit per model, from the first loss with which it does not fit
    """
    largest_by_model: dict[str, int] = {}
    for adapter in adapters:
        largest = largest_by_model.get(adapter.model, 0)
        largest_by_model[adapter.model] = max(largest, adapter.adapter_bytes)
    sizes_by_model = {
        model.name: model.weights_bytes + model.kv_bytes + largest_by_model.get(model.name, 0)
        for model in models
    }
    misfits_by_model: dict[str, Misfit] = {}
    for lost in memory:
        tries = [_place_all(models, sizes_by_model, memory, lost, choose) for choose in (max, min)]
        for misfit in min(tries, key=len):
            misfits_by_model.setdefault(misfit.model, misfit)
    return list(misfits_by_model.values())


def _place_all(
    models: Iterable[ModelRule],
    sizes_by_model: dict[str, int],
    memory: Iterable[MemoryRule],
    lost: MemoryRule,
    choose: Callable,
) -> list[Misfit]:
    free_by_region = _free_hosts(memory, lost)
    misfits = []
    # Models with few allowed regions come first, as the others have more alternatives.
    order = sorted(models, key=lambda each: (len(each.regions), -sizes_by_model[each.name]))
    for model in order:
        pools = [free_by_region[region] for region in model.regions if region in free_by_region]
        if len(pools) < len(model.regions):
            continue
        placed = _place_model(model, sizes_by_model[model.name], pools, choose)
        if placed < model.replicas:
            misfits.append(_describe(model, sizes_by_model[model.name], pools, placed, lost))
    return misfits


def _free_hosts(memory: Iterable[MemoryRule], lost: MemoryRule) -> dict[str, list[_FreeHost]]:
    free_by_region: dict[str, list[_FreeHost]] = {}
    for rule in memory:
        pool = free_by_region.setdefault(rule.region, [])
        for index in range(rule.hosts - (rule is lost)):
            insort(pool, _FreeHost(rule.bytes_per_host, f"{rule.name}/{index}"))
    return free_by_region


def _place_model(
    model: ModelRule, size_bytes: int, pools: Sequence[list[_FreeHost]], choose: Callable
) -> int:
    """:return: number of replicas placed, each on another host; their memory leaves the pools"""
    used_hosts: list[tuple[list[_FreeHost], _FreeHost]] = []
    for _ in range(model.replicas):
        fits = []
        for pool in pools:
            first = bisect_left(pool, (size_bytes, ""))
            if first < len(pool):
                fits.append((choose(pool[first], pool[-1]), pool))
        if not fits:
            break
        host, pool = choose(fits, key=lambda fit: fit[0])
        # A host that holds a replica of this model is excluded until all are placed.
        pool.remove(host)
        used_hosts.append((pool, host))
    for pool, host in used_hosts:
        insort(pool, host._replace(free_bytes=host.free_bytes - size_bytes))
    return len(used_hosts)


def _describe(
    model: ModelRule,
    size_bytes: int,
    pools: Sequence[list[_FreeHost]],
    placed: int,
    lost: MemoryRule,
) -> Misfit:
    hosts = sum(len(pool) for pool in pools)
    if model.replicas > hosts:
        remedy = f"with one host of {lost.name} lost, {hosts} hosts remain; lower the replicas"
        return Misfit(model.name, "replicas", model.replicas, remedy)
    max_free_bytes = max((pool[-1].free_bytes for pool in pools if pool), default=0)
    missing = model.replicas - placed
    missing_bytes = max(size_bytes - max_free_bytes, 0)
    shortage = (
        f"{_format_gb(missing_bytes)} are missing"
        if missing_bytes
        else "that host holds a replica already"
    )
    remedy = (
        f"with one host of {lost.name} lost, {missing} of {model.replicas} replicas do not fit: "
        f"{_format_gb(size_bytes)} are needed, {_format_gb(max_free_bytes)} are free on the "
        f"remaining host with the most free memory, {shortage}; "
        "request less KV cache or fewer replicas, allow another region or add a host"
    )
    return Misfit(model.name, "weights", model.weights_bytes, remedy)


def _format_gb(size_bytes: int) -> str:
    return f"{size_bytes / _GB:.2f}GB"
