"""Which replicas to move so that the machine they are on can be given back.

The paper's machines fall idle when load drops (Algorithm 2 removes idle ones). Replicas never
end by themselves: a few of them left on a machine after a burst keep all of it rented to the end
of their services. Moving one costs its users a gap of about a second, so few are moved at once,
and only to where their image is at hand.
"""

from __future__ import annotations

from collections import ChainMap
from collections.abc import Iterable, MutableMapping
from itertools import takewhile

from msgspec import Struct, structs

from mosswalk.jobs.state import Job
from mosswalk.placement.capacity import FreeCapacity, zone_rule
from mosswalk.store.records import Attempt

# A machine more used than this is left as it is.
_MOST_USED = 0.5
# A fetch longer than this would make the gap too long.
_MOST_FETCH_S = 0.5
# So many machines are looked at in one go: each look asks all that are fuller.
_MOST_LOOKS = 48


class ReplicaHost(Struct):
    """A machine that runs replicas."""

    capacity: FreeCapacity
    # The used part of its scarcer amount, and what it costs an hour.
    load: float
    price: float
    replicas: list[tuple[Job, Attempt]]
    # Nothing else runs there, and all its replicas have run for a while.
    drainable: bool


def _fits_elsewhere(
    job: Job, attempt: Attempt, rooms: Iterable[FreeCapacity], zone_of: MutableMapping[str, str]
) -> FreeCapacity | None:
    rule = zone_rule(job, ChainMap({attempt.machine: ""}, zone_of))
    if rule is None:
        return None
    for room in rooms:
        if not room.fits(job) or not room.allows(job) or not rule.allows(room.zone):
            continue
        if room.image_fetch_s(job) <= _MOST_FETCH_S:
            return room
    return None


def choose_machine_to_drain(
    hosts: Iterable[ReplicaHost], zone_of: MutableMapping[str, str]
) -> ReplicaHost | None:
    """The machine whose emptying saves most, if its replicas fit on the others."""
    everything = list(hosts)
    candidates = [h for h in everything if h.drainable and 0 < h.load < _MOST_USED]
    candidates.sort(key=lambda h: (-h.price * (1 - h.load), h.capacity.machine))
    fullest_first = sorted(everything, key=lambda h: (-h.load, h.capacity.machine))
    for host in candidates[:_MOST_LOOKS]:
        if _can_be_emptied(host, fullest_first, zone_of):
            return host
    return None


def _can_be_emptied(
    host: ReplicaHost, fullest_first: list[ReplicaHost], zone_of: MutableMapping[str, str]
) -> bool:
    """Whether all replicas of a machine fit on others."""
    taken: dict[str, FreeCapacity] = {}
    for job, attempt in host.replicas:
        # Onto fuller machines only, or two of them would trade replicas for ever.
        fuller = takewhile(lambda other: other.load >= host.load, fullest_first)
        rooms = (taken.get(h.capacity.machine, h.capacity) for h in fuller if h is not host)
        found = _fits_elsewhere(job, attempt, rooms, zone_of)
        if found is None:
            return False
        room = taken.setdefault(found.machine, structs.replace(found))
        room.allocate(job)
    return True
