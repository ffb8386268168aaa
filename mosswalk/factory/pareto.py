"""The Pareto set of pool choices (CBRAIN paper, Algorithms 3 and 4; section IV-B).

A pool is the spot or the on-demand machines of one type in one zone. All durations are in
microseconds; prices are per hour and only compared with one another.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import combinations

from msgspec import Struct


class PoolEstimate(Struct, frozen=True):
    """Price and times of a pool; the letters are those of the CBRAIN paper."""

    # Machine type, zone and whether it is the pool of spot machines.
    pool: tuple[str, str, bool]
    # Alpha: the price per hour.
    price: float
    # q: the time from the request for a machine until the cloud grants it.
    queue_us: float
    # b: the time from then until the machine is up.
    boot_us: float
    # Phi: the factor by which a task takes longer there than estimated.
    slowdown: float = 1.0

    def delay_us(self) -> float:
        """Return the expected time from the request for a machine until it is up: q + b."""
        return self.queue_us + self.boot_us


class Action(Struct, frozen=True):
    """A choice of pools, in each of which a machine is requested.

    ``time_us`` is the round-trip time r of the CBRAIN paper, from the request to the end of a task;
    ``cost`` is its cost c.
    """

    time_us: float
    cost: float
    pools: tuple[PoolEstimate, ...]


def evaluate(pools: Sequence[PoolEstimate], walltime_us: float) -> Action:
    """Estimate time and cost of a set of pools: procedure ActionExecutionTimeAndCost."""
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
    """Return whether ``a`` is at least as good as ``b`` in both, better in one: Dominate."""
    return (
        a.time_us <= b.time_us and a.cost <= b.cost and (a.time_us, a.cost) != (b.time_us, b.cost)
    )


def add_to_front(front: list[Action], action: Action) -> list[Action]:
    """Return the front with an action, less those that it dominates: AddToParetoSet.

    If another action dominates the new one, the front is returned unchanged.
    """
    new_front = [action]
    for other in front:
        if dominates(other, action):
            return front
        if not dominates(action, other):
            new_front.append(other)
    return new_front


def pareto_front(pools: Iterable[PoolEstimate], walltime_us: float) -> list[Action]:
    """Return the Pareto front of every non-empty set of pools: procedure ParetoSet."""
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
    """Return the pools of an action with the shortest delay, at most ``calls`` of them.

    ``calls`` is the number of pools in which a machine can be requested now: each takes a call to
    the cloud, whose rate is limited (see docs/design.md).
    """
    return tuple(sorted(action.pools, key=lambda p: (p.delay_us(), p.pool))[: max(0, calls)])
