"""A queue of jobs for each team, and the order in which the teams are served."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.config import Objective, Team
from mosswalk.jobs.state import HIGH_RANK, PROD_RANK, STANDARD_RANK, Job, Usage, milli_floor
from mosswalk.placement.capacity import FreeCapacity, ZoneRule, best_capacity, zone_rule
from mosswalk.placement.gangs import capacities_for_gang

# A job without targets is sorted as if its target were this long after it was submitted.
_DEFAULT_TARGET_US = 600_000_000
_SORT_KEY_VALID_US = 200_000
# This long after its submission, an idle job ranks as a standard one.
_IDLE_PROMOTION_US = 50_000_000
# This long after its submission, every job ranks at least as a high one, started or not: a job that
# has started must not be starved before it completes.
_HIGH_PROMOTION_US = 300_000_000
# A job that has not started after this time is overdue: it comes before all work but prod, and the
# freed part of its team's limit and the capacity that it claims are held for it.
OVERDUE_US = 150_000_000
# After this time an overdue job comes before prod work too. Users expect every job to start within
# four minutes.
_OVERDUE_BEFORE_PROD_US = 200_000_000
# A rank more urgent than that of prod work, which is 0.
_BEFORE_PROD_RANK = -1


def is_overdue(job: Job, wall_us: int) -> bool:
    """Whether a job has waited so long to start that it takes precedence over others."""
    started = job.record.live_count > 0 or job.record.done_count > 0
    return not started and wall_us - job.record.submitted_at_us > OVERDUE_US


def is_protected(job: Job, wall_us: int) -> bool:
    """Whether a job is so old that only prod work may stop its tasks."""
    return wall_us - job.record.submitted_at_us > OVERDUE_US


class QueueOrder:
    """The order of a team's queue: by priority, then by the targets that can still be met.

    The priority is a rank, of which a lower one is more urgent. A job that was submitted long ago
    gets a more urgent rank than its submission asks for.

    A job that can't meet any of its targets any more comes after those that can, since placing it
    first would make them late too. A job's targets are its deadline and the objectives of its
    class, which limit the time until it starts or is done.
    """

    def __init__(self, objectives: Iterable[Objective], teams: Iterable[Team] = ()) -> None:
        self._cpu_limits = {team.name: milli_floor(team.cpus_max) for team in teams}
        # Target times after submission, by kind of objective and job class.
        self._target_offsets_us: dict[tuple[str, str], list[int]] = {}
        for objective in objectives:
            if objective.job_class is not None and objective.within_s is not None:
                key = (objective.kind, objective.job_class)
                self._target_offsets_us.setdefault(key, []).append(to_us(objective.within_s))

    def _earliest_done_at_us(self, job: Job, wall_us: int) -> int:
        """When the job could be done if it used its team's whole CPU limit from now on."""
        limit = self._cpu_limits.get(job.spec.team, 0)
        # How many times as many tasks as the limit allows at once are still to be run.
        waves = 1.0
        if limit > 0 and job.cpus > 0:
            remaining = job.spec.tasks - job.record.done_count
            waves = max(1.0, remaining / max(1, limit // job.cpus))
        return wall_us + to_us(job.spec.estimate_s * waves)

    def target_at_us(self, job: Job, wall_us: int) -> int | None:
        """The earliest target that the job can still meet, or None."""
        submitted_at_us, job_class = job.record.submitted_at_us, job.spec.job_class
        done_at_us = self._earliest_done_at_us(job, wall_us)
        done_targets = [
            submitted_at_us + w for w in self._target_offsets_us.get(("finished", job_class), ())
        ]
        if job.spec.deadline_s is not None:
            done_targets.append(job.deadline_at_us())
        reachable = [t for t in done_targets if t >= done_at_us]
        start_targets = [
            submitted_at_us + w for w in self._target_offsets_us.get(("wait", job_class), ())
        ]
        return min((*reachable, *(t for t in start_targets if t >= wall_us)), default=None)

    def sort_key(self, job: Job, wall_us: int) -> tuple[int, bool, int, int, str]:
        """The sort key of a job in its team's queue: rank, whether late, target, submission, id.

        It is cached for a short interval, as plans are made many times a second.
        """
        interval = wall_us // _SORT_KEY_VALID_US
        cached = job.cached_queue_key
        if cached is None or cached[0] is not self or cached[1] != interval:
            cached = job.cached_queue_key = (self, interval, self._compute_sort_key(job, wall_us))
        return cached[2]

    def _compute_sort_key(self, job: Job, wall_us: int) -> tuple[int, bool, int, int, str]:
        submitted_at_us = job.record.submitted_at_us
        target_at_us = self.target_at_us(job, wall_us)
        job_class = job.spec.job_class
        has_target = job.spec.deadline_s is not None or any(
            (kind, job_class) in self._target_offsets_us for kind in ("finished", "wait")
        )
        late = has_target and target_at_us is None
        waited_us = wall_us - submitted_at_us
        rank = job.rank
        if waited_us > _HIGH_PROMOTION_US:
            rank = min(rank, HIGH_RANK)
        elif waited_us > _IDLE_PROMOTION_US:
            rank = min(rank, STANDARD_RANK)
        # A job that is too late for its targets is postponed, but not forever. This limit matters
        # for jobs that have started; the others are overdue after the same time, see below.
        late = late and waited_us <= OVERDUE_US
        # A job without a target is neither preferred nor postponed forever.
        target_at_us = (
            submitted_at_us + _DEFAULT_TARGET_US if target_at_us is None else target_at_us
        )
        if is_overdue(job, wall_us):
            # At first an overdue job comes after prod work: a waiting replica costs more than the
            # late start of a batch job.
            rank = HIGH_RANK if waited_us < _OVERDUE_BEFORE_PROD_US else _BEFORE_PROD_RANK
            return (rank, False, submitted_at_us, submitted_at_us, job.id)
        return (rank, late, target_at_us, submitted_at_us, job.id)


def fits_quota(team: Team, usage: Usage, job: Job, *, against_limit: bool) -> bool:
    """Whether one more task, or a whole gang, keeps the team within its limit or its guarantee."""
    cpus, gpus = (team.cpus_max, team.gpus_max) if against_limit else (team.cpus, team.gpus)
    cpus_after = usage.cpus + job.cpus * job.gang_size
    gpus_after = usage.gpus + job.gpus * job.gang_size
    if against_limit:
        return (cpus <= 0 or cpus_after <= milli_floor(cpus)) and (
            gpus <= 0 or gpus_after <= milli_floor(gpus)
        )
    return (
        cpus > 0
        and cpus_after <= milli_floor(cpus)
        and (job.gpus == 0 or gpus_after <= milli_floor(gpus))
    )


def max_tasks_within_limit(team: Team, usage: Usage, job: Job, count: int) -> int:
    """How many of ``count`` further tasks the team's limit allows; for a gang, all or none."""
    if team.cpus_max > 0 and job.cpus > 0:
        count = min(count, (milli_floor(team.cpus_max) - usage.cpus) // job.cpus)
    if team.gpus_max > 0 and job.gpus > 0:
        count = min(count, (milli_floor(team.gpus_max) - usage.gpus) // job.gpus)
    return max(0, count) if count >= job.gang_size else 0


class Placement(Struct):
    """One task placed on one machine."""

    job: Job
    index: int
    capacity: FreeCapacity

    def task_capacities(self) -> list[tuple[int, FreeCapacity]]:
        """The task's index with the capacity it is placed on."""
        return [(self.index, self.capacity)]


class GangPlacement(Struct):
    """All tasks of a gang, each placed on a machine."""

    job: Job
    # In the order of the tasks' indexes.
    capacities: list[FreeCapacity]

    def task_capacities(self) -> list[tuple[int, FreeCapacity]]:
        """Each task's index with the capacity it is placed on."""
        return list(enumerate(self.capacities))


class TeamQueue:
    """A team's jobs with pending tasks, in order; makes one placement at a time."""

    def __init__(
        self,
        team: Team,
        jobs: Iterable[Job],
        usage: Usage,
        zones_by_machine: dict[str, str],
        avoided_machines: Mapping[str, set[str]],
        delayed_jobs: Mapping[str, object],
        queue_order: QueueOrder,
        wall_us: int,
    ) -> None:
        self.team = team
        self.usage = Usage(usage.cpus, usage.gpus)
        self._zones_by_machine = zones_by_machine
        self._avoided_machines = avoided_machines
        self._wall_us = wall_us
        self._jobs = sorted(
            (j for j in jobs if j.open and j.pending_count() > 0 and j.id not in delayed_jobs),
            key=lambda job: queue_order.sort_key(job, wall_us),
        )
        self._position = 0
        self._pending: Iterator[int] | None = None
        self._next_task: int | None = None
        self._zone_rule: ZoneRule | None = None
        # Where the head's last task was placed. While the next one fits, it is still best.
        self._last_capacity: FreeCapacity | None = None
        # Jobs whose next task found no capacity: reasons to rent machines or to preempt.
        self.unschedulable: list[Job] = []

    def head(self) -> Job | None:
        """The job whose task is placed next."""
        return self._jobs[self._position] if self._position < len(self._jobs) else None

    def is_overdue(self, job: Job) -> bool:
        """Whether a job takes precedence because it has waited too long to start."""
        return is_overdue(job, self._wall_us)

    def min_request(self) -> tuple[int, int] | None:
        """The lowest CPU and the lowest memory request of any task in the queue."""
        if not self._jobs:
            return None
        return min(j.cpus for j in self._jobs), min(j.memory for j in self._jobs)

    def _next_job(self) -> None:
        self._position += 1
        self._pending = self._zone_rule = self._last_capacity = None

    def _find_capacity(
        self, job: Job, capacities: Iterable[FreeCapacity], rule: ZoneRule
    ) -> FreeCapacity | None:
        last_capacity = self._last_capacity
        if last_capacity is not None and last_capacity.fits(job):
            return last_capacity
        found = best_capacity(job, capacities, rule, self._avoided_machines.get(job.id, set()))
        # The image is cached there now and the fit is tighter, so no machine is better. Replicas
        # and tasks with zone requirements are considered one by one.
        independent = job.spec.kind == "array" and not job.spec.spread and not job.spec.one_zone
        self._last_capacity = found if independent else None
        return found

    def _place_gang(self, job: Job, capacities: list[FreeCapacity]) -> GangPlacement | None:
        chosen = capacities_for_gang(job, capacities, self._avoided_machines.get(job.id, set()))
        if chosen is None:
            return None
        for capacity in chosen:
            capacity.allocate(job)
            self.usage.add(job)
        return GangPlacement(job, chosen)

    def place_next(self, capacities: list[FreeCapacity]) -> Placement | GangPlacement | None:
        """Place the next task or gang that fits and allocate its capacity; None if none fits."""
        while (job := self.head()) is not None:
            if not fits_quota(self.team, self.usage, job, against_limit=True):
                # Blocked by the limit, not by capacity: no reason to rent or preempt.
                if self.is_overdue(job):
                    # Stop here: smaller tasks would use each part of the limit that becomes free.
                    self._position = len(self._jobs)
                    return None
                self._next_job()
                continue
            if job.is_gang:
                gang = self._place_gang(job, capacities)
                if gang is None:
                    self.unschedulable.append(job)
                self._next_job()
                if gang is None:
                    continue
                return gang
            if self._zone_rule is None:
                self._zone_rule = zone_rule(job, self._zones_by_machine)
                if self._zone_rule is None:
                    # The zone of an attempt is unknown: a placement might break the zone rule.
                    self._next_job()
                    continue
            if self._pending is not None and self._next_task is None:
                self._next_job()
                continue
            capacity = self._find_capacity(job, capacities, self._zone_rule)
            if capacity is None:
                self.unschedulable.append(job)
                self._next_job()
                continue
            if self._pending is None:
                # This iterates over tasks, so it comes last: most waiting jobs find no capacity.
                self._pending = job.pending_tasks()
                self._next_task = next(self._pending, None)
                if self._next_task is None:
                    self._next_job()
                    continue
            assert self._next_task is not None
            placement = Placement(job, self._next_task, capacity)
            capacity.allocate(job)
            self._zone_rule.add(capacity.zone)
            self.usage.add(job)
            self._next_task = next(self._pending, None)
            return placement
        return None


def team_sort_key(queue: TeamQueue, share: float) -> tuple[int, int, float, str]:
    """The order in which teams are served.

    Teams whose next job is overdue come first, then those whose next job is prod work or within the
    guarantee. Among these priority counts, then the lowest usage relative to the team's share.
    """
    head = queue.head()
    assert head is not None
    if queue.is_overdue(head):
        return (-1, head.rank, queue.usage.cpus / share, queue.team.name)
    guaranteed = fits_quota(queue.team, queue.usage, head, against_limit=False)
    return (
        0 if guaranteed or head.rank == PROD_RANK else 1,
        head.rank,
        queue.usage.cpus / share,
        queue.team.name,
    )


def place_across_teams(
    queues: Iterable[TeamQueue], capacities: list[FreeCapacity], shares: Mapping[str, float]
) -> Iterator[Placement | GangPlacement]:
    """Make placements one at a time, each for the team that is first in order at that time."""
    waiting = [queue for queue in queues if queue.head() is not None]
    min_requests = [
        min_request for queue in waiting if (min_request := queue.min_request()) is not None
    ]
    if min_requests:
        # Machines too full for any task are dropped: with more work than capacity, nearly all are.
        cpus, memory = min(r[0] for r in min_requests), min(r[1] for r in min_requests)
        capacities = [c for c in capacities if c.cpus >= cpus and c.memory >= memory]
    while waiting:
        queue = min(waiting, key=lambda q: team_sort_key(q, shares.get(q.team.name, 1.0)))
        placement = queue.place_next(capacities)
        if placement is not None:
            yield placement
        waiting = [q for q in waiting if q.head() is not None and (q is not queue or placement)]
