"""Room on booted machines, and whether a task may take it."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from msgspec import Struct, field

from mosswalk.jobs.state import Job
from mosswalk.wire.peers import MachineOffer
from mosswalk.wire.users import JobSpec


class FreeCapacity(Struct, gc=False):
    """What is free on one machine; amounts in thousandths."""

    machine: str
    type: str
    zone: str
    spot: bool
    session: int
    cpus: int
    gpus: int
    memory: int
    # At hand or on their way: tasks that need the same image share one fetch.
    images: frozenset[str] = frozenset()
    # The price of a core for an hour, and how long a gigabyte of image takes to fetch.
    core_price: float = 0.0
    fetch_s_per_gb: float = 0.0
    # To be emptied: taken only when nothing else fits.
    cordoned: bool = False
    # Cores that replicas take: they stay, so more of them cost no further machine.
    replica_cpus: int = 0
    # The jobs for which attempts were stopped here a moment ago, if any were.
    claimed_by: frozenset[str] = frozenset()

    def fits(self, job: Job) -> bool:
        """Whether one task of the job fits by amounts."""
        return self.cpus >= job.cpus and self.gpus >= job.gpus and self.memory >= job.memory

    def image_fetch_s(self, job: Job) -> float:
        """How long a task of the job would wait for its image."""
        spec = job.spec
        return 0.0 if spec.image in self.images else spec.image_gb * self.fetch_s_per_gb

    def max_tasks(self, job: Job) -> int:
        """How many tasks of the job fit by amounts."""
        pairs = ((self.cpus, job.cpus), (self.gpus, job.gpus), (self.memory, job.memory))
        return max(0, min((free // asked for free, asked in pairs if asked), default=0))

    def free_fraction(self, job: Job) -> float:
        """How much of what a task asks for is free, by its scarcest amount."""
        return min(self.cpus / max(1, job.cpus), self.memory / max(1, job.memory))

    def allocate(self, job: Job, count: int = 1) -> None:
        """Use room for tasks; a negative count gives it back."""
        self.cpus -= job.cpus * count
        self.gpus -= job.gpus * count
        self.memory -= job.memory * count
        if count > 0:
            self.images |= {job.spec.image}
            if job.spec.kind == "daemon":
                self.replica_cpus += job.cpus * count

    def allows(self, job: Job) -> bool:
        """Whether the job may run on such a machine at all."""
        spec = job.spec
        if spec.types is not None and self.type not in spec.types:
            return False
        if spec.zone is not None and spec.zone != self.zone:
            return False
        return spec.spot or not self.spot


def capacity_from_offer(offer: MachineOffer) -> FreeCapacity:
    """The room of an offer."""
    return FreeCapacity(
        offer.machine,
        offer.type,
        offer.zone,
        offer.spot,
        offer.session,
        offer.cpus,
        offer.gpus,
        offer.memory,
        frozenset(offer.images),
        offer.core_price,
        offer.fetch_s_per_gb,
    )


class ZoneRule(Struct):
    """Where a job's next task may go, given its attempts that may be running."""

    one_zone: bool
    max_in_zone: int
    counts: dict[str, int] = field(default_factory=dict)

    def allows(self, zone: str) -> bool:
        """Whether one more attempt may start in the zone."""
        if self.one_zone and self.counts and zone not in self.counts:
            return False
        return self.counts.get(zone, 0) < self.max_in_zone

    def remaining_in_zone(self, zone: str) -> int:
        """How many more attempts may start in the zone."""
        return self.max_in_zone - self.counts.get(zone, 0) if self.allows(zone) else 0

    def add(self, zone: str, count: int = 1) -> None:
        """Count attempts."""
        self.counts[zone] = self.counts.get(zone, 0) + count


def new_zone_rule(spec: JobSpec) -> ZoneRule:
    """The rule for a job of which nothing runs."""
    return ZoneRule(spec.one_zone, -(-spec.tasks // 2) if spec.spread else spec.tasks)


def zone_rule(job: Job, zone_of: Mapping[str, str]) -> ZoneRule | None:
    """The rule for a job; None if the zone of one of its machines is not known yet.

    An attempt on a machine nobody can tell the zone of might be anywhere, so a job with a rule
    about zones then waits.
    """
    spec = job.spec
    rule = new_zone_rule(spec)
    if not spec.one_zone and not spec.spread:
        return rule
    for attempt in job.live_attempts():
        zone = zone_of.get(attempt.machine)
        if zone is None:
            return None
        rule.add(zone)
    return rule


# Estimates near zero must not make the image's fetch look like the whole cost.
_LEAST_RUN_S = 10.0


def _money(job: Job, room: FreeCapacity, fetch_s: float) -> float:
    """What a task's stay on the machine costs, its image's fetch included."""
    return room.core_price * (fetch_s + max(_LEAST_RUN_S, job.spec.estimate_s))


# Fetches that differ by less than this are alike: to a replica or a gang, and to others.
_REPLICA_STEP_S = 0.3
_FETCH_STEP_S = 3.0


def best_capacity(
    job: Job, rooms: Iterable[FreeCapacity], rule: ZoneRule, avoid: set[str]
) -> FreeCapacity | None:
    """Where the job's next task goes.

    It goes where its image is at hand or soon there: a fetch holds the room and does nothing.
    A replica stays long, so among those it goes where replicas are already, then on cheap room:
    a lone one keeps a whole machine from being given back. Other work goes where its stay costs
    least. Then a tight fit, so that large room stays whole.
    """
    best: FreeCapacity | None = None
    best_key: tuple[bool, int, float, int, int, str] | None = None
    spec = job.spec
    cpus, gpus, memory = job.cpus, job.gpus, job.memory
    for room in rooms:
        # Most rooms fail here, and every job that waits asks all of them.
        if room.cpus < cpus or room.memory < memory or room.gpus < gpus:
            continue
        if not room.allows(job) or room.machine in avoid or not rule.allows(room.zone):
            continue
        if room.claimed_by and job.id not in room.claimed_by and job.rank > 0:
            # Else the stopped task itself would be put back at once, and stopped again. Replicas
            # wait for nobody.
            continue
        fetch_s = room.image_fetch_s(job)
        if spec.kind == "daemon":
            first = round(fetch_s / _REPLICA_STEP_S)
            second = (0.0 if room.replica_cpus else 1.0) + round(room.core_price, 3)
        elif job.is_gang:
            # All of it waits for its last fetch.
            first, second = round(fetch_s / _REPLICA_STEP_S), round(_money(job, room, fetch_s), 2)
        else:
            first, second = round(fetch_s / _FETCH_STEP_S), round(_money(job, room, fetch_s), 2)
        key = (
            room.cordoned,
            first,
            second,
            # Spread replicas evenly, so that the last one still finds a zone open.
            rule.counts.get(room.zone, 0) if spec.spread else 0,
            room.cpus - job.cpus,
            room.machine,
        )
        if best_key is None or key < best_key:
            best, best_key = room, key
    return best


def capacity_to_claim(
    job: Job, rooms: Iterable[FreeCapacity], shapes: Container[str]
) -> FreeCapacity | None:
    """The room to keep for a job that is overdue, until its machine has enough of it free.

    Else small tasks take each scattered bit that comes free, and a large one never begins.
    """
    open_to = (r for r in rooms if not r.claimed_by and r.allows(job) and r.type in shapes)
    return max(open_to, key=lambda r: (r.free_fraction(job), r.machine), default=None)
