"""Room for a gang: for all of its tasks together, or none.

The paper places one task at a time (section III-A). A gang is one decision: with part of its room
taken, two gangs could each hold half and wait for ever.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import structs

from mosswalk.jobs.state import Job
from mosswalk.placement.capacity import Room, ZoneRule, best_room, new_zone_rule


def _fill(job: Job, candidates: list[Room], rule: ZoneRule) -> list[Room] | None:
    """The rooms for all tasks, one a task; None if they don't fit."""
    if sum(room.most(job) for room in candidates) < job.spec.tasks:
        return None
    copies = [structs.replace(room) for room in candidates]
    originals = {room.machine: room for room in candidates}
    found: list[Room] = []
    while len(found) < job.spec.tasks:
        copy = best_room(job, copies, rule, set())
        if copy is None:
            return None
        # Its image is fetched once for all of them, and a gang waits for its last fetch: as many
        # as fit go on one machine.
        count = min(copy.most(job), rule.most_more(copy.zone), job.spec.tasks - len(found))
        copy.take(job, count)
        rule.add(copy.zone, count)
        found += [originals[copy.machine]] * count
    return found


def _cost(job: Job, found: list[Room]) -> tuple[float, float]:
    """How long the gang waits for its last image, and what an hour of it costs."""
    wait_s = max(room.fetch_s(job) for room in found)
    return wait_s, sum(room.core_price for room in found)


def rooms_for_gang(job: Job, rooms: Iterable[Room], avoid: set[str]) -> list[Room] | None:
    """The room of each task, in the tasks' order; None if not all of them fit."""
    everywhere = [
        room for room in rooms if room.holds(job) and room.allows(job) and room.machine not in avoid
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
