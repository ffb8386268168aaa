"""A queue for each team, and the turns by which the teams are served."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from mosswalk.config import Team
from mosswalk.jobs.state import Job, milli_room
from mosswalk.placement.rooms import Room, ZoneRule, best_room, zone_rule


def queue_order(job: Job) -> tuple[int, int, int, str]:
    """Priority first, then the earliest deadline, then the earliest arrival."""
    return (job.rank, job.due_us(), job.record.submitted_us, job.id)


@dataclass(slots=True)
class Usage:
    """What a team's live attempts take, in thousandths."""

    cpus: int = 0
    gpus: int = 0

    def add(self, job: Job, count: int = 1) -> None:
        """Count attempts."""
        self.cpus += job.cpus * count
        self.gpus += job.gpus * count


def usage_by_team(jobs: Iterable[Job]) -> dict[str, Usage]:
    """What each team uses, by every attempt that may be running."""
    usage: dict[str, Usage] = {}
    for job in jobs:
        count = job.record.live_count
        if count:
            usage.setdefault(job.spec.team, Usage()).add(job, count)
    return usage


def within(team: Team, usage: Usage, job: Job, *, limit: bool) -> bool:
    """Whether one more task keeps the team within its limit, or else its guarantee."""
    cpus, gpus = (team.cpus_max, team.gpus_max) if limit else (team.cpus, team.gpus)
    if limit:
        return (cpus <= 0 or usage.cpus + job.cpus <= milli_room(cpus)) and (
            gpus <= 0 or usage.gpus + job.gpus <= milli_room(gpus)
        )
    return (
        cpus > 0
        and usage.cpus + job.cpus <= milli_room(cpus)
        and (job.gpus == 0 or usage.gpus + job.gpus <= milli_room(gpus))
    )


@dataclass(slots=True)
class Placing:
    """One task put on one machine."""

    job: Job
    index: int
    room: Room


class TeamQueue:
    """A team's jobs in order; gives one placing at a time until nothing more fits."""

    def __init__(
        self, team: Team, jobs: Iterable[Job], usage: Usage, zone_of: dict[str, str],
        avoid: Mapping[str, set[str]], held: Mapping[str, object],
    ) -> None:  # fmt: skip
        self.team = team
        self.usage = Usage(usage.cpus, usage.gpus)
        self._zone_of = zone_of
        self._avoid = avoid
        self._jobs = sorted(
            (j for j in jobs if j.open and j.pending_count() > 0 and j.id not in held),
            key=queue_order,
        )
        self._at = 0
        self._pending: Iterator[int] | None = None
        self._next: int | None = None
        self._rule: ZoneRule | None = None
        # Jobs whose next task found no room, for the factory and for preemption.
        self.stuck: list[Job] = []

    def head(self) -> Job | None:
        """The job whose task comes next."""
        return self._jobs[self._at] if self._at < len(self._jobs) else None

    def _open(self, job: Job) -> None:
        if self._pending is None:
            self._pending = job.pending()
            self._next = next(self._pending, None)
            self._rule = zone_rule(job, self._zone_of)

    def _skip(self) -> None:
        self._at += 1
        self._pending = None

    def place_one(self, rooms: Iterable[Room]) -> Placing | None:
        """Place the next task that fits somewhere, taking its room; None when none does."""
        while (job := self.head()) is not None:
            self._open(job)
            if self._next is None:
                self._skip()
                continue
            if self._rule is None:
                # The zone of an attempt is unknown: nothing safe to do for this job.
                self._skip()
                continue
            if not within(self.team, self.usage, job, limit=True):
                # Held back by the limit, not by room: no reason to rent or preempt.
                self._skip()
                continue
            room = best_room(job, rooms, self._rule, self._avoid.get(job.id, set()))
            if room is None:
                self.stuck.append(job)
                self._skip()
                continue
            placing = Placing(job, self._next, room)
            room.take(job)
            self._rule.add(room.zone)
            self.usage.add(job)
            assert self._pending is not None
            self._next = next(self._pending, None)
            return placing
        return None


def turn_key(queue: TeamQueue, share: float) -> tuple[int, int, float, str]:
    """Who comes next: guarantees first, then priority, then the least used by share."""
    head = queue.head()
    assert head is not None
    guaranteed = within(queue.team, queue.usage, head, limit=False)
    return (
        0 if guaranteed or head.rank == 0 else 1,
        head.rank,
        queue.usage.cpus / share,
        queue.team.name,
    )


def serve_in_turn(
    queues: Iterable[TeamQueue], rooms: list[Room], shares: Mapping[str, float]
) -> Iterator[Placing]:
    """Give one placing at a time to the team whose turn it is."""
    waiting = [queue for queue in queues if queue.head() is not None]
    while waiting:
        queue = min(waiting, key=lambda q: turn_key(q, shares.get(q.team.name, 1.0)))
        placing = queue.place_one(rooms)
        if placing is not None:
            yield placing
        waiting = [q for q in waiting if q.head() is not None and (q is not queue or placing)]
