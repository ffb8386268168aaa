"""Which waiting tasks the requested and booting machines will take."""

from __future__ import annotations

from collections.abc import Mapping

from mosswalk.factory.view import FleetView, WaitingTasks
from mosswalk.jobs.state import milli_floor
from mosswalk.placement.capacity import FreeCapacity, ZoneRule


def subtract_booting_capacity(view: FleetView) -> list[WaitingTasks]:
    """Return the waiting tasks less those that requested and booting machines will take.

    Also sets the load of these machines in the view.
    """
    capacities = _booting_capacities(view)
    booting = {capacity.machine: capacity for capacity in capacities}
    min_cpus = min((tasks.job.cpus for tasks in view.waiting), default=0)
    unplaced: list[WaitingTasks] = []
    for tasks in view.waiting:
        # Most machines are soon full; without this, each job would check all of them again.
        capacities = [capacity for capacity in capacities if capacity.cpus >= min_cpus]
        remaining = _allocate(tasks, capacities)
        if remaining.count:
            unplaced.append(remaining)
    _set_loads(view, booting)
    return unplaced


def _booting_capacities(view: FleetView) -> list[FreeCapacity]:
    """Return the capacity of each machine that is not up yet."""
    capacities = []
    for m in view.machines:
        machine_type = view.types.get(m.pool[0])
        if m.phase != "up" and machine_type is not None:
            capacities.append(
                FreeCapacity(
                    m.name,
                    m.pool[0],
                    m.pool[1],
                    m.pool[2],
                    0,
                    milli_floor(machine_type.cpus),
                    milli_floor(machine_type.gpus),
                    milli_floor(machine_type.memory_gb),
                )
            )
    return capacities


def _allocate(tasks: WaitingTasks, capacities: list[FreeCapacity]) -> WaitingTasks:
    """Allocate as much of the capacities to a job's tasks as it may use.

    Returns the tasks that remain.
    """
    rule = ZoneRule(tasks.rule.one_zone, tasks.rule.max_in_zone, dict(tasks.rule.counts))
    count = tasks.count
    for capacity in capacities:
        if not count:
            break
        if not capacity.fits(tasks.job) or not capacity.allows(tasks.job):
            continue
        allocated = min(count, capacity.max_tasks(tasks.job), rule.remaining_in_zone(capacity.zone))
        if allocated > 0:
            capacity.allocate(tasks.job, allocated)
            rule.add(capacity.zone, allocated)
            count -= allocated
    return WaitingTasks(tasks.job, count, rule, tasks.waits_for_spot, tasks.urgent)


def _set_loads(view: FleetView, booting: Mapping[str, FreeCapacity]) -> None:
    """Set the load of each machine that is not up yet to that of the tasks it will take."""
    for m in view.machines:
        if m.name in booting:
            capacity, machine_type = booting[m.name], view.types[m.pool[0]]
            m.load = 1 - min(
                capacity.cpus / max(1, milli_floor(machine_type.cpus)),
                capacity.memory / max(1, milli_floor(machine_type.memory_gb)),
            )
