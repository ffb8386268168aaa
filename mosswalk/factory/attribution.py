"""Assigns each waiting task to one machine type.

The CBRAIN paper has one machine type per image. Here a task fits several types, and counting it in
the load of each of them would rent machines for it several times over.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from msgspec import Struct

from mosswalk.factory.load import fits, machine_share
from mosswalk.factory.view import FleetView, Pool, WaitingTasks
from mosswalk.jobs.state import Job


class TaskGroup(Struct):
    """Unplaced tasks assigned to one machine type that may use the same pools."""

    pools: tuple[Pool, ...]
    rank: int
    machines_needed: float
    estimates: list[float]
    # No machine is rented for these tasks if it would stay mostly empty.
    deferrable: bool

    def add(self, job: Job, machines_needed: float, deferrable: bool) -> None:
        """Add tasks of a job to the group."""
        self.deferrable = self.deferrable and deferrable
        self.rank = min(self.rank, job.rank)
        self.machines_needed += machines_needed
        self.estimates.append(job.spec.estimate_s)


def usable_pools(tasks: WaitingTasks, pools: Iterable[Pool]) -> tuple[Pool, ...]:
    """Return the pools that a job's next tasks may use."""
    spec = tasks.job.spec
    return tuple(
        pool
        for pool in pools
        if (pool[2] if tasks.waits_for_spot else spec.spot or not pool[2])
        and (spec.zone is None or pool[1] == spec.zone)
        and tasks.rule.allows(pool[1])
    )


class _TaskOptions(Struct):
    """Tasks and the open pools that they may use, by machine type."""

    tasks: WaitingTasks
    pools: dict[str, tuple[Pool, ...]]


def attribute_tasks(
    unplaced: list[WaitingTasks], view: FleetView, open_pools: Mapping[str, list[Pool]]
) -> dict[str, list[TaskGroup]]:
    """Assign each unplaced task to the cheapest machine type that has an open pool for it."""
    options = [_TaskOptions(tasks, _usable_by_type(tasks, view, open_pools)) for tasks in unplaced]
    totals = _total_by_type(options, view)
    existing_pools = {machine.pool for machine in view.machines if machine.usable}
    groups_by_type: dict[str, list[TaskGroup]] = {}
    for option in options:
        name = _cheapest_type(option, view, totals)
        if name is not None:
            deferrable = not option.tasks.urgent and _fits_existing_machine(
                option.tasks, existing_pools, view
            )
            _add(groups_by_type.setdefault(name, []), option, name, view, deferrable=deferrable)
    return groups_by_type


def _usable_by_type(
    tasks: WaitingTasks, view: FleetView, open_pools: Mapping[str, list[Pool]]
) -> dict[str, tuple[Pool, ...]]:
    return {
        name: pools
        for name, machine_type in view.types.items()
        if fits(tasks.job, machine_type) and (pools := usable_pools(tasks, open_pools[name]))
    }


def _has_spot(pools: tuple[Pool, ...]) -> bool:
    return any(pool[2] for pool in pools)


def _total_by_type(options: list[_TaskOptions], view: FleetView) -> dict[tuple[str, bool], float]:
    """Sum up all waiting tasks, by machine type and by whether its spot machines may be used.

    Tasks that need on-demand machines do not help to fill spot machines, nor the other way round.
    """
    totals: dict[tuple[str, bool], float] = {}
    for option in options:
        for name, pools in option.pools.items():
            key = (name, _has_spot(pools))
            machines_needed = machine_share(option.tasks.job, view.types[name]) * option.tasks.count
            totals[key] = totals.get(key, 0.0) + machines_needed
    return totals


def _cheapest_type(
    option: _TaskOptions, view: FleetView, totals: Mapping[tuple[str, bool], float]
) -> str | None:
    """Return the machine type on which the tasks cost least.

    The cost is the price of the capacity that a task uses, plus its share of what would stay empty
    if all waiting tasks that fit this type were placed on it.
    """
    costs = []
    for name, pools in option.pools.items():
        machine_type = view.types[name]
        price = min(machine_type.spot_price if pool[2] else machine_type.price for pool in pools)
        total = totals[(name, _has_spot(pools))]
        rounding_factor = math.ceil(total) / total
        costs.append(
            (price * machine_share(option.tasks.job, machine_type) * rounding_factor, name)
        )
    return min(costs)[1] if costs else None


def _add(
    groups: list[TaskGroup], option: _TaskOptions, name: str, view: FleetView, *, deferrable: bool
) -> None:
    """Add tasks to the group for the same pools, which is created if there is none."""
    job, pools = option.tasks.job, option.pools[name]
    machines_needed = machine_share(job, view.types[name]) * option.tasks.count
    for group in groups:
        if group.pools == pools:
            group.add(job, machines_needed, deferrable)
            return
    groups.append(TaskGroup(pools, job.rank, machines_needed, [job.spec.estimate_s], deferrable))


def _fits_existing_machine(tasks: WaitingTasks, existing_pools: set[Pool], view: FleetView) -> bool:
    """Return whether a machine exists that could run the tasks once it has free capacity."""
    return any(
        pool[0] in view.types and fits(tasks.job, view.types[pool[0]])
        for pool in usable_pools(tasks, existing_pools)
    )
