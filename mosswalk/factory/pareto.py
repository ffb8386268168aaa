"""The Pareto set of pool choices (paper, Algorithms 3 and 4; section IV-B).

A pool is a zone with spot or steady machines of one shape. All durations are microseconds;
prices are per hour and only compared with one another.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import combinations

from msgspec import Struct


class PoolEstimate(Struct, frozen=True):
    """What is known of a pool: alpha, q, b and phi of the paper."""

    pool: tuple[str, str, bool]
    price: float
    queue_us: float
    boot_us: float
    slowdown: float = 1.0

    def delay_us(self) -> float:
        """q + b."""
        return self.queue_us + self.boot_us


class Action(Struct, frozen=True):
    """A set of pools with its round-trip time r and its cost c."""

    time_us: float
    cost: float
    pools: tuple[PoolEstimate, ...]


def evaluate(pools: Sequence[PoolEstimate], walltime_us: float) -> Action:
    """Procedure ActionExecutionTimeAndCost."""
    first = min(pools, key=lambda p: (p.delay_us(), p.price, p.pool))
    work_us = first.slowdown * walltime_us
    cost = first.price * (first.boot_us + work_us)
    cost += sum(p.price * p.boot_us for p in pools if p is not first)
    delay_us = first.delay_us()
    # A pool measured at no delay at all would divide by zero: take a microsecond.
    gain = sum(max(1.0, delay_us) / max(1.0, p.delay_us()) for p in pools)
    time_us = delay_us / 2 * (1 + math.exp(1 - gain)) + work_us
    return Action(time_us, cost, tuple(pools))


def dominates(a: Action, b: Action) -> bool:
    """Procedure Dominate."""
    return (
        a.time_us <= b.time_us and a.cost <= b.cost and (a.time_us, a.cost) != (b.time_us, b.cost)
    )


def add_to_front(front: list[Action], action: Action) -> list[Action]:
    """Procedure AddToParetoSet."""
    kept = [action]
    for other in front:
        if dominates(other, action):
            return front
        if not dominates(action, other):
            kept.append(other)
    return kept


def pareto_front(pools: Iterable[PoolEstimate], walltime_us: float) -> list[Action]:
    """Procedure ParetoSet over every non-empty set of pools."""
    choices = sorted(pools, key=lambda p: p.pool)
    front: list[Action] = []
    for size in range(1, len(choices) + 1):
        for chosen in combinations(choices, size):
            front = add_to_front(front, evaluate(chosen, walltime_us))
    return front


def optimize(front: Sequence[Action], weight_of_time: float) -> Action:
    """Procedure Optimize: the least of lambda * r + (1 - lambda) * c, both normalised."""
    times = [a.time_us for a in front]
    costs = [a.cost for a in front]

    def part(value: float, values: list[float]) -> float:
        span = max(values) - min(values)
        return (value - min(values)) / span if span > 0 else 0.0

    return min(
        front,
        key=lambda a: (
            weight_of_time * part(a.time_us, times) + (1 - weight_of_time) * part(a.cost, costs),
            len(a.pools),
            a.cost,
            tuple(p.pool for p in a.pools),
        ),
    )


def pools_within_call_limit(action: Action, calls: int) -> tuple[PoolEstimate, ...]:
    """When cloud calls are short, the set keeps its best pools by q + b (DESIGN)."""
    return tuple(sorted(action.pools, key=lambda p: (p.delay_us(), p.pool))[: max(0, calls)])
