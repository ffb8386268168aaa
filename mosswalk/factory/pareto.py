"""The Pareto set of pool choices (paper, Algorithms 3 and 4; section IV-B).

A pool is the spot or the on-demand machines of one type in one zone. All durations are in
microseconds; prices are per hour and only compared with one another.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import combinations

from msgspec import Struct


class PoolEstimate(Struct, frozen=True):
    """Price and times of a pool: alpha, q, b and phi of the paper."""

    pool: tuple[str, str, bool]
    price: float
    queue_us: float
    boot_us: float
    slowdown: float = 1.0

    def delay_us(self) -> float:
        """Return the expected time until a machine is up: q + b of the paper."""
        return self.queue_us + self.boot_us


class Action(Struct, frozen=True):
    """A set of pools with its round-trip time r and its cost c."""

    time_us: float
    cost: float
    pools: tuple[PoolEstimate, ...]


def evaluate(pools: Sequence[PoolEstimate], walltime_us: float) -> Action:
    """Procedure ActionExecutionTimeAndCost."""
    fastest = min(pools, key=lambda p: (p.delay_us(), p.price, p.pool))
    work_us = fastest.slowdown * walltime_us
    cost = fastest.price * (fastest.boot_us + work_us)
    cost += sum(p.price * p.boot_us for p in pools if p is not fastest)
    delay_us = fastest.delay_us()
    # A pool may have a measured delay of zero: use at least 1 us to avoid a division by zero.
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
    new_front = [action]
    for other in front:
        if dominates(other, action):
            return front
        if not dominates(action, other):
            new_front.append(other)
    return new_front


def pareto_front(pools: Iterable[PoolEstimate], walltime_us: float) -> list[Action]:
    """Procedure ParetoSet over every non-empty set of pools."""
    choices = sorted(pools, key=lambda p: p.pool)
    front: list[Action] = []
    for size in range(1, len(choices) + 1):
        for chosen in combinations(choices, size):
            front = add_to_front(front, evaluate(chosen, walltime_us))
    return front


def optimize(front: Sequence[Action], weight_of_time: float) -> Action:
    """Procedure Optimize: minimise lambda * r + (1 - lambda) * c, both normalised to 0 to 1."""
    times = [a.time_us for a in front]
    costs = [a.cost for a in front]

    def normalised(value: float, values: list[float]) -> float:
        span = max(values) - min(values)
        return (value - min(values)) / span if span > 0 else 0.0

    return min(
        front,
        key=lambda a: (
            weight_of_time * normalised(a.time_us, times)
            + (1 - weight_of_time) * normalised(a.cost, costs),
            len(a.pools),
            a.cost,
            tuple(p.pool for p in a.pools),
        ),
    )


def pools_within_call_limit(action: Action, calls: int) -> tuple[PoolEstimate, ...]:
    """Limit an action to its best pools by q + b if cloud calls are scarce (see docs/design.md)."""
    return tuple(sorted(action.pools, key=lambda p: (p.delay_us(), p.pool))[: max(0, calls)])
