"""Finds capacity for a gang: for all of its tasks together, or for none.

The CBRAIN paper places one task at a time (section III-A). A gang is placed in one decision: two
gangs that each held a part of their capacity could wait for each other forever.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import structs

from mosswalk.jobs.state import Job
from mosswalk.placement.capacity import FreeCapacity, ZoneRule, best_capacity, new_zone_rule


def _choose_for_all(
    job: Job, candidates: list[FreeCapacity], rule: ZoneRule
) -> list[FreeCapacity] | None:
    """The capacities for all tasks, one for each task; None if they don't all fit."""
    if sum(capacity.max_tasks(job) for capacity in candidates) < job.spec.tasks:
        return None
    copies = [structs.replace(capacity) for capacity in candidates]
    originals = {capacity.machine: capacity for capacity in candidates}
    chosen: list[FreeCapacity] = []
    while len(chosen) < job.spec.tasks:
        copy = best_capacity(job, copies, rule, set())
        if copy is None:
            return None
        # As many tasks as fit are placed on one machine: they share one image fetch, and a gang
        # waits for its last fetch.
        count = min(
            copy.max_tasks(job), rule.remaining_in_zone(copy.zone), job.spec.tasks - len(chosen)
        )
        copy.allocate(job, count)
        rule.add(copy.zone, count)
        chosen += [originals[copy.machine]] * count
    return chosen


def _cost(job: Job, chosen: list[FreeCapacity]) -> tuple[float, float]:
    """The time until the gang's last image is fetched, then the sum of its core prices."""
    wait_s = max(capacity.image_fetch_s(job) for capacity in chosen)
    return wait_s, sum(capacity.core_price for capacity in chosen)


def capacities_for_gang(
    job: Job, capacities: Iterable[FreeCapacity], avoided_machines: set[str]
) -> list[FreeCapacity] | None:
    """The capacity for each task, in the order of the tasks; None if they don't all fit."""
    candidates = [
        capacity
        for capacity in capacities
        if capacity.fits(job) and capacity.allows(job) and capacity.machine not in avoided_machines
    ]
    if not job.spec.one_zone:
        return _choose_for_all(job, candidates, new_zone_rule(job.spec))
    options = []
    for zone in sorted({capacity.zone for capacity in candidates}):
        zone_candidates = [capacity for capacity in candidates if capacity.zone == zone]
        chosen = _choose_for_all(job, zone_candidates, new_zone_rule(job.spec))
        if chosen is not None:
            options.append(chosen)
    return min(options, key=lambda option: _cost(job, option), default=None)
