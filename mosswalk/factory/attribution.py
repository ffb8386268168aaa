"""Which shape the tasks that wait count for.

The paper has one shape an image. Here a task fits several, and counting it in each shape's load
would rent for it several times over.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from msgspec import Struct

from mosswalk.factory.load import fits, machine_share
from mosswalk.factory.view import FleetView, Pool, WaitingTasks
from mosswalk.jobs.state import Job


class TaskGroup(Struct):
    """Unplaced tasks of one shape that may use the same pools."""

    pools: tuple[Pool, ...]
    rank: int
    machines_needed: float
    estimates: list[float]
    # A machine that would stay mostly empty is not rented for them.
    deferrable: bool

    def add(self, job: Job, amount: float, can_wait: bool) -> None:
        """Count more tasks."""
        self.deferrable = self.deferrable and can_wait
        self.rank = min(self.rank, job.rank)
        self.machines_needed += amount
        self.estimates.append(job.spec.estimate_s)


def usable_pools(tasks: WaitingTasks, pools: Iterable[Pool]) -> tuple[Pool, ...]:
    """The pools that a job's next tasks may use."""
    spec = tasks.job.spec
    return tuple(
        pool
        for pool in pools
        if (pool[2] if tasks.waits_for_spot else spec.spot or not pool[2])
        and (spec.zone is None or pool[1] == spec.zone)
        and tasks.rule.allows(pool[1])
    )


class _Choice(Struct):
    """Tasks and the open pools that they may use, by shape."""

    tasks: WaitingTasks
    pools: dict[str, tuple[Pool, ...]]


def attribute_tasks(
    unplaced: list[WaitingTasks], view: FleetView, open_pools: Mapping[str, list[Pool]]
) -> dict[str, list[TaskGroup]]:
    """Give each unplaced task to one shape: the cheapest whose pools are open."""
    choices = [_Choice(tasks, _usable_by_shape(tasks, view, open_pools)) for tasks in unplaced]
    totals = _totals(choices, view)
    there = {machine.pool for machine in view.machines if machine.usable}
    shares: dict[str, list[TaskGroup]] = {}
    for choice in choices:
        name = _cheapest(choice, view, totals)
        if name is not None:
            can_wait = not choice.tasks.urgent and _has_home(choice.tasks, there, view)
            _add(shares.setdefault(name, []), choice, name, view, can_wait=can_wait)
    return shares


def _usable_by_shape(
    tasks: WaitingTasks, view: FleetView, open_pools: Mapping[str, list[Pool]]
) -> dict[str, tuple[Pool, ...]]:
    return {
        name: pools
        for name, shape in view.types.items()
        if fits(tasks.job, shape) and (pools := usable_pools(tasks, open_pools[name]))
    }


def _has_spot(pools: tuple[Pool, ...]) -> bool:
    return any(pool[2] for pool in pools)


def _totals(choices: list[_Choice], view: FleetView) -> dict[tuple[str, bool], float]:
    """All that waits, by shape and by whether spot machines of it would serve.

    What must have steady machines does not fill spot ones, nor the other way round.
    """
    totals: dict[tuple[str, bool], float] = {}
    for choice in choices:
        for name, pools in choice.pools.items():
            key = (name, _has_spot(pools))
            amount = machine_share(choice.tasks.job, view.types[name]) * choice.tasks.count
            totals[key] = totals.get(key, 0.0) + amount
    return totals


def _cheapest(
    choice: _Choice, view: FleetView, totals: Mapping[tuple[str, bool], float]
) -> str | None:
    """The shape on which tasks cost least.

    That is the price of the room a task takes, with its part of what would stay empty if all that
    waits and fits were put on this shape.
    """
    costs = []
    for name, pools in choice.pools.items():
        shape = view.types[name]
        price = min(shape.spot_price if pool[2] else shape.price for pool in pools)
        total = totals[(name, _has_spot(pools))]
        empty = math.ceil(total) / total
        costs.append((price * machine_share(choice.tasks.job, shape) * empty, name))
    return min(costs)[1] if costs else None


def _add(
    groups: list[TaskGroup], choice: _Choice, name: str, view: FleetView, *, can_wait: bool
) -> None:
    """Count tasks with those that may use the same pools."""
    job, pools = choice.tasks.job, choice.pools[name]
    amount = machine_share(job, view.types[name]) * choice.tasks.count
    for group in groups:
        if group.pools == pools:
            group.add(job, amount, can_wait)
            return
    groups.append(TaskGroup(pools, job.rank, amount, [job.spec.estimate_s], can_wait))


def _has_home(tasks: WaitingTasks, there: set[Pool], view: FleetView) -> bool:
    """Whether there is a machine that could run the tasks once it has room."""
    return any(
        pool[0] in view.types and fits(tasks.job, view.types[pool[0]])
        for pool in usable_pools(tasks, there)
    )
