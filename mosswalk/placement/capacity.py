"""Free capacity on booted machines, and which tasks may use it."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from msgspec import Struct, field

from mosswalk.jobs.state import PROD_RANK, Job
from mosswalk.wire.peers import MachineOffer
from mosswalk.wire.users import JobSpec


class FreeCapacity(Struct, gc=False):
    """The free resources of one machine; amounts are in thousandths."""

    machine: str
    type: str
    zone: str
    spot: bool
    session: int
    cpus: int
    gpus: int
    memory: int
    # Cached, or being fetched: tasks that need the same image share one fetch.
    images: frozenset[str] = frozenset()
    # The price of one core per hour.
    core_price: float = 0.0
    fetch_s_per_gb: float = 0.0
    # To be drained: used only when nothing else fits.
    cordoned: bool = False
    # CPUs used by replicas. Replicas run long, so the machine stays rented anyway, and another
    # replica here does not prevent a further machine from being released.
    replica_cpus: int = 0
    # Jobs with a claim on this capacity: overdue ones, and those that attempts were stopped for.
    claimed_by: frozenset[str] = frozenset()

    def fits(self, job: Job) -> bool:
        """Whether the free amounts suffice for one task of the job."""
        return self.cpus >= job.cpus and self.gpus >= job.gpus and self.memory >= job.memory

    def image_fetch_s(self, job: Job) -> float:
        """How long a task of the job would wait for its image to be fetched."""
        spec = job.spec
        return 0.0 if spec.image in self.images else spec.image_gb * self.fetch_s_per_gb

    def max_tasks(self, job: Job) -> int:
        """For how many tasks of the job the free amounts suffice."""
        pairs = ((self.cpus, job.cpus), (self.gpus, job.gpus), (self.memory, job.memory))
        return max(0, min((free // requested for free, requested in pairs if requested), default=0))

    def free_fraction(self, job: Job) -> float:
        """The fraction of a task's request that is free, of CPU or memory, whichever is scarcer."""
        return min(self.cpus / max(1, job.cpus), self.memory / max(1, job.memory))

    def allocate(self, job: Job, count: int = 1) -> None:
        """Allocate capacity to tasks; a negative count frees it."""
        self.cpus -= job.cpus * count
        self.gpus -= job.gpus * count
        self.memory -= job.memory * count
        if count > 0:
            self.images |= {job.spec.image}
            if job.spec.kind == "daemon":
                self.replica_cpus += job.cpus * count

    def allows(self, job: Job) -> bool:
        """Whether the job's type, zone and spot requirements admit this machine."""
        spec = job.spec
        if spec.types is not None and self.type not in spec.types:
            return False
        if spec.zone is not None and spec.zone != self.zone:
            return False
        return spec.spot or not self.spot


def capacity_from_offer(offer: MachineOffer) -> FreeCapacity:
    """The free capacity that an offer describes."""
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
    """The zones allowed for a job's next task, given the zones of its live attempts."""

    one_zone: bool
    max_in_zone: int
    # Live attempts by zone.
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
        """Count attempts that start in a zone."""
        self.counts[zone] = self.counts.get(zone, 0) + count


def new_zone_rule(spec: JobSpec) -> ZoneRule:
    """The zone rule for a job without live attempts."""
    return ZoneRule(spec.one_zone, -(-spec.tasks // 2) if spec.spread else spec.tasks)


def zone_rule(job: Job, zones_by_machine: Mapping[str, str]) -> ZoneRule | None:
    """The zone rule for a job; None if the zone of one of its machines is not known yet.

    An attempt on such a machine might be in any zone, so a job with zone requirements has to wait
    until the zone is known.
    """
    spec = job.spec
    rule = new_zone_rule(spec)
    if not spec.one_zone and not spec.spread:
        return rule
    for attempt in job.live_attempts():
        zone = zones_by_machine.get(attempt.machine)
        if zone is None:
            return None
        rule.add(zone)
    return rule


# Lower bound for a task's run time: with an estimate near zero, the cost would consist of the image
# fetch alone.
_MIN_RUN_S = 10.0


def _occupancy_cost(job: Job, capacity: FreeCapacity, fetch_s: float) -> float:
    """The cost of running a task on the machine, including the fetch of its image."""
    return capacity.core_price * (fetch_s + max(_MIN_RUN_S, job.spec.estimate_s))


# For replicas and gangs, image fetch times are rounded to multiples of this before they are
# compared.
_REPLICA_FETCH_STEP_S = 0.3
# For arrays, they are rounded to multiples of this.
_ARRAY_FETCH_STEP_S = 3.0


def best_capacity(
    job: Job, capacities: Iterable[FreeCapacity], rule: ZoneRule, avoided_machines: set[str]
) -> FreeCapacity | None:
    """The capacity to use for the job's next task, or None if it fits nowhere.

    Machines that are not cordoned come first, then those where the image is cached or fetched soon:
    during a fetch the capacity is occupied but unused. Replicas run long, and a single one prevents
    a whole machine from being released: they prefer machines with other replicas, then a low price.
    Other tasks prefer the lowest cost of their run. Last comes the tightest fit, so that large free
    capacities are not broken up.
    """
    best: FreeCapacity | None = None
    best_key: tuple[bool, int, float, int, int, str] | None = None
    spec = job.spec
    cpus, gpus, memory = job.cpus, job.gpus, job.memory
    for capacity in capacities:
        # Most machines fail this check. It comes first, as every waiting job scans all machines.
        if capacity.cpus < cpus or capacity.memory < memory or capacity.gpus < gpus:
            continue
        if (
            not capacity.allows(job)
            or capacity.machine in avoided_machines
            or not rule.allows(capacity.zone)
        ):
            continue
        if capacity.claimed_by and job.id not in capacity.claimed_by and job.rank > PROD_RANK:
            # Without claims, a task that was just stopped would be placed here again and be stopped
            # again. Prod work, such as replicas, ignores claims.
            continue
        fetch_s = capacity.image_fetch_s(job)
        if spec.kind == "daemon":
            fetch_rank = round(fetch_s / _REPLICA_FETCH_STEP_S)
            cost_rank = (0.0 if capacity.replica_cpus else 1.0) + round(capacity.core_price, 3)
        elif job.is_gang:
            # All of its tasks wait for the last fetch.
            fetch_rank, cost_rank = (
                round(fetch_s / _REPLICA_FETCH_STEP_S),
                round(_occupancy_cost(job, capacity, fetch_s), 2),
            )
        else:
            fetch_rank, cost_rank = (
                round(fetch_s / _ARRAY_FETCH_STEP_S),
                round(_occupancy_cost(job, capacity, fetch_s), 2),
            )
        key = (
            capacity.cordoned,
            fetch_rank,
            cost_rank,
            # Distribute evenly over zones, so that the last task still finds an allowed zone.
            rule.counts.get(capacity.zone, 0) if spec.spread else 0,
            capacity.cpus - job.cpus,
            capacity.machine,
        )
        if best_key is None or key < best_key:
            best, best_key = capacity, key
    return best


def capacity_to_claim(
    job: Job, capacities: Iterable[FreeCapacity], machine_types: Container[str]
) -> FreeCapacity | None:
    """The capacity that an overdue job is to claim until enough of it is free, if there is any.

    Without a claim, small tasks would use each part that becomes free, and a large task would never
    start.
    """
    candidates = (
        c for c in capacities if not c.claimed_by and c.allows(job) and c.type in machine_types
    )
    return max(candidates, key=lambda c: (c.free_fraction(job), c.machine), default=None)
