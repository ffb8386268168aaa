"""What requested and booting machines will take of the tasks that wait."""

from __future__ import annotations

from collections.abc import Mapping

from mosswalk.factory.view import FleetView, WaitingTasks
from mosswalk.jobs.state import milli_floor
from mosswalk.placement.capacity import FreeCapacity, ZoneRule


def subtract_booting_capacity(view: FleetView) -> list[WaitingTasks]:
    """Waiting tasks less those that requested and booting machines will take."""
    rooms = _rooms_to_come(view)
    booting = {room.machine: room for room in rooms}
    least_cpus = min((tasks.job.cpus for tasks in view.waiting), default=0)
    left: list[WaitingTasks] = []
    for tasks in view.waiting:
        # Most rooms are full soon: each job would ask them all again.
        rooms = [room for room in rooms if room.cpus >= least_cpus]
        after = _take_rooms(tasks, rooms)
        if after.count:
            left.append(after)
    _note_loads(view, booting)
    return left


def _rooms_to_come(view: FleetView) -> list[FreeCapacity]:
    """The rooms of machines that are not up yet."""
    rooms = []
    for m in view.machines:
        shape = view.types.get(m.pool[0])
        if m.phase != "up" and shape is not None:
            rooms.append(
                FreeCapacity(
                    m.name,
                    m.pool[0],
                    m.pool[1],
                    m.pool[2],
                    0,
                    milli_floor(shape.cpus),
                    milli_floor(shape.gpus),
                    milli_floor(shape.memory_gb),
                )
            )
    return rooms


def _take_rooms(tasks: WaitingTasks, rooms: list[FreeCapacity]) -> WaitingTasks:
    """Give a job's tasks as much of the rooms as they may have; those that are left."""
    rule = ZoneRule(tasks.rule.one_zone, tasks.rule.max_in_zone, dict(tasks.rule.counts))
    count = tasks.count
    for room in rooms:
        if not count:
            break
        if not room.fits(tasks.job) or not room.allows(tasks.job):
            continue
        taken = min(count, room.max_tasks(tasks.job), rule.remaining_in_zone(room.zone))
        if taken > 0:
            room.allocate(tasks.job, taken)
            rule.add(room.zone, taken)
            count -= taken
    return WaitingTasks(tasks.job, count, rule, tasks.waits_for_spot, tasks.urgent)


def _note_loads(view: FleetView, booting: Mapping[str, FreeCapacity]) -> None:
    """A machine that is not up counts as loaded by what it will take."""
    for m in view.machines:
        if m.name in booting:
            room, shape = booting[m.name], view.types[m.pool[0]]
            m.load = 1 - min(
                room.cpus / max(1, milli_floor(shape.cpus)),
                room.memory / max(1, milli_floor(shape.memory_gb)),
            )
