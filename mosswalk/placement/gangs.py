"""Room for a gang: for all of its tasks together, or none.

The paper places one task at a time (section III-A). A gang is one decision: with part of its room
taken, two gangs could each hold half and wait for ever.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import structs

from mosswalk.jobs.state import Job
from mosswalk.placement.capacity import FreeCapacity, ZoneRule, best_capacity, new_zone_rule


def _fill(job: Job, candidates: list[FreeCapacity], rule: ZoneRule) -> list[FreeCapacity] | None:
    """The rooms for all tasks, one a task; None if they don't fit."""
    if sum(room.max_tasks(job) for room in candidates) < job.spec.tasks:
        return None
    copies = [structs.replace(room) for room in candidates]
    originals = {room.machine: room for room in candidates}
    found: list[FreeCapacity] = []
    while len(found) < job.spec.tasks:
        copy = best_capacity(job, copies, rule, set())
        if copy is None:
            return None
        # Its image is fetched once for all of them, and a gang waits for its last fetch: as many
        # as fit go on one machine.
        count = min(
            copy.max_tasks(job), rule.remaining_in_zone(copy.zone), job.spec.tasks - len(found)
        )
        copy.allocate(job, count)
        rule.add(copy.zone, count)
        found += [originals[copy.machine]] * count
    return found


def _cost(job: Job, found: list[FreeCapacity]) -> tuple[float, float]:
    """How long the gang waits for its last image, and what an hour of it costs."""
    wait_s = max(room.image_fetch_s(job) for room in found)
    return wait_s, sum(room.core_price for room in found)


def capacities_for_gang(
    job: Job, rooms: Iterable[FreeCapacity], avoid: set[str]
) -> list[FreeCapacity] | None:
    """The room of each task, in the tasks' order; None if not all of them fit."""
    everywhere = [
        room for room in rooms if room.fits(job) and room.allows(job) and room.machine not in avoid
    ]
    if not job.spec.one_zone:
        return _fill(job, everywhere, new_zone_rule(job.spec))
    choices = []
    for zone in sorted({room.zone for room in everywhere}):
        inside = [room for room in everywhere if room.zone == zone]
        found = _fill(job, inside, new_zone_rule(job.spec))
        if found is not None:
            choices.append(found)
    return min(choices, key=lambda found: _cost(job, found), default=None)
