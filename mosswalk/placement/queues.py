"""A queue for each team, and the turns by which the teams are served."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.config import Objective, Team
from mosswalk.jobs.state import Job, Usage, milli_floor
from mosswalk.placement.capacity import FreeCapacity, ZoneRule, best_capacity, zone_rule
from mosswalk.placement.gangs import capacities_for_gang

_UNTIMED_US = 600_000_000
_MOMENT_US = 200_000
# Idle work competes with standard work by its times after it has waited this long, and all work
# comes before younger standard work after the second, begun or not: it must not be starved halfway.
_AGING_US = 50_000_000
_AGED_US = 300_000_000
# A job that has not begun by then comes before all others but prod work; its team's freed limit
# and claimed room are kept for it; by the last it comes before prod work too. The users want every
# job begun within four minutes.
OVERDUE_US = 150_000_000
_LAST_US = 200_000_000


def overdue(job: Job, wall_us: int) -> bool:
    """Whether a job has waited so long to begin that others must make way."""
    begun = job.record.live_count > 0 or job.record.done_count > 0
    return not begun and wall_us - job.record.submitted_at_us > OVERDUE_US


def is_protected(job: Job, wall_us: int) -> bool:
    """Whether a job is so old that only prod work may stop its tasks."""
    return wall_us - job.record.submitted_at_us > OVERDUE_US


class QueueOrder:
    """The order of a team's queue: priority first, then what can still be in time.

    A job that can't meet any of its times any more gives way to those that can: serving it first
    would only make them late too. Its own times are its deadline and the aims for its class, by
    when to be done and by when to begin.
    """

    def __init__(self, objectives: Iterable[Objective], teams: Iterable[Team] = ()) -> None:
        self._limits = {team.name: milli_floor(team.cpus_max) for team in teams}
        self._within_us: dict[tuple[str, str], list[int]] = {}
        for aim in objectives:
            if aim.job_class is not None and aim.within_s is not None:
                key = (aim.kind, aim.job_class)
                self._within_us.setdefault(key, []).append(to_us(aim.within_s))

    def _ready_us(self, job: Job, wall_us: int) -> int:
        """When the job could be done if it had all its team's limit from now on."""
        limit = self._limits.get(job.spec.team, 0)
        waves = 1.0
        if limit > 0 and job.cpus > 0:
            left = job.spec.tasks - job.record.done_count
            waves = max(1.0, left / max(1, limit // job.cpus))
        return wall_us + to_us(job.spec.estimate_s * waves)

    def target_at_us(self, job: Job, wall_us: int) -> int | None:
        """The first of its times that the job can still meet."""
        submitted_us, name = job.record.submitted_at_us, job.spec.job_class
        ready_us = self._ready_us(job, wall_us)
        times = [submitted_us + w for w in self._within_us.get(("finished", name), ())]
        if job.spec.deadline_s is not None:
            times.append(job.deadline_at_us())
        ends = [t for t in times if t >= ready_us]
        begins = [submitted_us + w for w in self._within_us.get(("wait", name), ())]
        return min((*ends, *(t for t in begins if t >= wall_us)), default=None)

    def sort_key(self, job: Job, wall_us: int) -> tuple[int, bool, int, int, str]:
        """Sorts a team's jobs; the same for a moment, as plans are made many times a second."""
        moment = wall_us // _MOMENT_US
        known = job.cached_queue_key
        if known is None or known[0] is not self or known[1] != moment:
            known = job.cached_queue_key = (self, moment, self._key(job, wall_us))
        return known[2]

    def _key(self, job: Job, wall_us: int) -> tuple[int, bool, int, int, str]:
        submitted_us = job.record.submitted_at_us
        target_us = self.target_at_us(job, wall_us)
        name = job.spec.job_class
        timed = job.spec.deadline_s is not None or any(
            (kind, name) in self._within_us for kind in ("finished", "wait")
        )
        late = timed and target_us is None
        waited_us = wall_us - submitted_us
        rank = job.rank
        if waited_us > _AGED_US:
            rank = min(rank, 1)
        elif waited_us > _AGING_US:
            rank = min(rank, 2)
        # What can no longer be in time gives way to what can, but not for ever.
        late = late and waited_us <= OVERDUE_US
        # Work without a time of its own is neither hurried nor left behind for ever.
        target_us = submitted_us + _UNTIMED_US if target_us is None else target_us
        if overdue(job, wall_us):
            # Behind prod work at first: a replica that waits costs more than a batch job's start.
            rank = 1 if waited_us < _LAST_US else -1
            return (rank, False, submitted_us, submitted_us, job.id)
        return (rank, late, target_us, submitted_us, job.id)


def fits_quota(team: Team, usage: Usage, job: Job, *, against_limit: bool) -> bool:
    """Whether one more task, or a whole gang, keeps the team within its limit or guarantee."""
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
    """How many more of the job's tasks the team's limit lets run."""
    if team.cpus_max > 0 and job.cpus > 0:
        count = min(count, (milli_floor(team.cpus_max) - usage.cpus) // job.cpus)
    if team.gpus_max > 0 and job.gpus > 0:
        count = min(count, (milli_floor(team.gpus_max) - usage.gpus) // job.gpus)
    return max(0, count) if count >= job.gang_size else 0


class Placement(Struct):
    """One task put on one machine."""

    job: Job
    index: int
    capacity: FreeCapacity

    def task_capacities(self) -> list[tuple[int, FreeCapacity]]:
        """Each task with its room."""
        return [(self.index, self.capacity)]


class GangPlacement(Struct):
    """All tasks of a gang, each put on a machine."""

    job: Job
    capacities: list[FreeCapacity]

    def task_capacities(self) -> list[tuple[int, FreeCapacity]]:
        """Each task with its room."""
        return list(enumerate(self.capacities))


class TeamQueue:
    """A team's jobs in order; gives one placing at a time until nothing more fits."""

    def __init__(
        self,
        team: Team,
        jobs: Iterable[Job],
        usage: Usage,
        zone_of: dict[str, str],
        avoid: Mapping[str, set[str]],
        held: Mapping[str, object],
        urgency: QueueOrder,
        wall_us: int,
    ) -> None:
        self.team = team
        self.usage = Usage(usage.cpus, usage.gpus)
        self._zone_of = zone_of
        self._avoid = avoid
        self._wall_us = wall_us
        self._jobs = sorted(
            (j for j in jobs if j.open and j.pending_count() > 0 and j.id not in held),
            key=lambda job: urgency.sort_key(job, wall_us),
        )
        self._at = 0
        self._pending: Iterator[int] | None = None
        self._next: int | None = None
        self._rule: ZoneRule | None = None
        # Where the head's last task went: while it holds the next one too, it is still best.
        self._last: FreeCapacity | None = None
        # Jobs whose next task found no room, for the factory and for preemption.
        self.unschedulable: list[Job] = []

    def head(self) -> Job | None:
        """The job whose task comes next."""
        return self._jobs[self._at] if self._at < len(self._jobs) else None

    def is_overdue(self, job: Job) -> bool:
        """Whether others must make way for a job."""
        return overdue(job, self._wall_us)

    def min_request(self) -> tuple[int, int] | None:
        """The least cores and memory that any task of the queue asks for."""
        if not self._jobs:
            return None
        return min(j.cpus for j in self._jobs), min(j.memory for j in self._jobs)

    def _skip(self) -> None:
        self._at += 1
        self._pending = self._rule = self._last = None

    def _find(self, job: Job, rooms: Iterable[FreeCapacity], rule: ZoneRule) -> FreeCapacity | None:
        last = self._last
        if last is not None and last.fits(job):
            return last
        found = best_capacity(job, rooms, rule, self._avoid.get(job.id, set()))
        # Its image is at hand there now and the fit is tighter, so nothing beats it. Replicas
        # and zone-bound tasks are looked at one by one.
        plain = job.spec.kind == "array" and not job.spec.spread and not job.spec.one_zone
        self._last = found if plain else None
        return found

    def _place_gang(self, job: Job, rooms: list[FreeCapacity]) -> GangPlacement | None:
        found = capacities_for_gang(job, rooms, self._avoid.get(job.id, set()))
        if found is None:
            return None
        for room in found:
            room.allocate(job)
            self.usage.add(job)
        return GangPlacement(job, found)

    def place_next(self, rooms: list[FreeCapacity]) -> Placement | GangPlacement | None:
        """Place the next task or gang that fits, taking its room; None when none does."""
        while (job := self.head()) is not None:
            if not fits_quota(self.team, self.usage, job, against_limit=True):
                # Held back by the limit, not by room: no reason to rent or preempt.
                if self.is_overdue(job):
                    # Smaller tasks would take each bit of the limit that comes free.
                    self._at = len(self._jobs)
                    return None
                self._skip()
                continue
            if job.is_gang:
                gang = self._place_gang(job, rooms)
                if gang is None:
                    self.unschedulable.append(job)
                self._skip()
                if gang is None:
                    continue
                return gang
            if self._rule is None:
                self._rule = zone_rule(job, self._zone_of)
                if self._rule is None:
                    # The zone of an attempt is unknown: nothing safe to do for this job.
                    self._skip()
                    continue
            if self._pending is not None and self._next is None:
                self._skip()
                continue
            room = self._find(job, rooms, self._rule)
            if room is None:
                self.unschedulable.append(job)
                self._skip()
                continue
            if self._pending is None:
                # Only now: most jobs that wait find no room, and this walks their tasks.
                self._pending = job.pending_tasks()
                self._next = next(self._pending, None)
                if self._next is None:
                    self._skip()
                    continue
            assert self._next is not None
            placing = Placement(job, self._next, room)
            room.allocate(job)
            self._rule.add(room.zone)
            self.usage.add(job)
            self._next = next(self._pending, None)
            return placing
        return None


def turn_key(queue: TeamQueue, share: float) -> tuple[int, int, float, str]:
    """Who comes next: the overdue, guarantees, priority, then the least used by share."""
    head = queue.head()
    assert head is not None
    if queue.is_overdue(head):
        return (-1, head.rank, queue.usage.cpus / share, queue.team.name)
    guaranteed = fits_quota(queue.team, queue.usage, head, against_limit=False)
    return (
        0 if guaranteed or head.rank == 0 else 1,
        head.rank,
        queue.usage.cpus / share,
        queue.team.name,
    )


def place_across_teams(
    queues: Iterable[TeamQueue], rooms: list[FreeCapacity], shares: Mapping[str, float]
) -> Iterator[Placement | GangPlacement]:
    """Give one placing at a time to the team whose turn it is."""
    waiting = [queue for queue in queues if queue.head() is not None]
    needs = [need for queue in waiting if (need := queue.min_request()) is not None]
    if needs:
        # When there is more work than room, nearly all rooms are full.
        cpus, memory = min(n[0] for n in needs), min(n[1] for n in needs)
        rooms = [r for r in rooms if r.cpus >= cpus and r.memory >= memory]
    while waiting:
        queue = min(waiting, key=lambda q: turn_key(q, shares.get(q.team.name, 1.0)))
        placing = queue.place_next(rooms)
        if placing is not None:
            yield placing
        waiting = [q for q in waiting if q.head() is not None and (q is not queue or placing)]
