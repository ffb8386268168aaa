"""Which machine's replicas to move elsewhere so that the machine can be released.

In the CBRAIN paper, machines become idle when load drops, and Algorithm 2 removes idle ones.
Replicas never end by themselves: a few of them left on a machine after a burst keep all of it
rented until their services end. Moving a replica interrupts its service for about a second, so few
are moved at once, and only to machines that have their image cached or can fetch it quickly.
"""

from __future__ import annotations

from collections import ChainMap
from collections.abc import Iterable, MutableMapping
from itertools import takewhile

from msgspec import Struct, structs

from mosswalk.jobs.state import Job
from mosswalk.placement.capacity import FreeCapacity, zone_rule
from mosswalk.store.records import Attempt

# A machine with a higher load is not drained.
_MAX_LOAD = 0.5
# A longer image fetch would interrupt the service for too long.
_MAX_FETCH_S = 0.5
# At most this many machines are examined at once: each is checked against all that are fuller.
_MAX_CANDIDATES = 48


class ReplicaHost(Struct):
    """A machine that runs replicas."""

    capacity: FreeCapacity
    # The used fraction of its scarcer resource, and its price per hour.
    load: float
    price: float
    replicas: list[tuple[Job, Attempt]]
    # Nothing but replicas runs there, and all of them have run for a minimum time.
    drainable: bool


def _find_target(
    job: Job,
    attempt: Attempt,
    capacities: Iterable[FreeCapacity],
    zone_of: MutableMapping[str, str],
) -> FreeCapacity | None:
    # The replica itself counts in no real zone, since it will be stopped.
    rule = zone_rule(job, ChainMap({attempt.machine: ""}, zone_of))
    if rule is None:
        return None
    for capacity in capacities:
        if not capacity.fits(job) or not capacity.allows(job) or not rule.allows(capacity.zone):
            continue
        if capacity.image_fetch_s(job) <= _MAX_FETCH_S:
            return capacity
    return None


def choose_machine_to_drain(
    hosts: Iterable[ReplicaHost], zone_of: MutableMapping[str, str]
) -> ReplicaHost | None:
    """Return the machine whose release saves most, if its replicas fit on the others."""
    all_hosts = list(hosts)
    candidates = [h for h in all_hosts if h.drainable and 0 < h.load < _MAX_LOAD]
    candidates.sort(key=lambda h: (-h.price * (1 - h.load), h.capacity.machine))
    fullest_first = sorted(all_hosts, key=lambda h: (-h.load, h.capacity.machine))
    for host in candidates[:_MAX_CANDIDATES]:
        if _can_be_drained(host, fullest_first, zone_of):
            return host
    return None


def _can_be_drained(
    host: ReplicaHost, fullest_first: list[ReplicaHost], zone_of: MutableMapping[str, str]
) -> bool:
    """Return whether all replicas of a machine fit on others."""
    remaining: dict[str, FreeCapacity] = {}
    for job, attempt in host.replicas:
        # Only to machines at least as full, or two machines would exchange replicas forever.
        fuller = takewhile(lambda other: other.load >= host.load, fullest_first)
        capacities = (
            remaining.get(h.capacity.machine, h.capacity) for h in fuller if h is not host
        )
        target = _find_target(job, attempt, capacities, zone_of)
        if target is None:
            return False
        capacity = remaining.setdefault(target.machine, structs.replace(target))
        capacity.allocate(job)
    return True
