"""Which attempts to stop so that more urgent work gets room."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct, structs

from mosswalk.config import Team
from mosswalk.jobs.state import Job, Usage, milli_floor
from mosswalk.placement.capacity import FreeCapacity, ZoneRule, new_zone_rule, zone_rule
from mosswalk.placement.queues import fits_quota
from mosswalk.store.records import Attempt
from mosswalk.wire.users import JobSpec

# Saving that takes more than this part of what would be lost on average only holds up the room.
_SAVING_PART = 0.7
# How many tasks are looked at in one go: each look asks every machine.
_MOST_LOOKS = 48
# One idle task that can save: no choice is better but free room, which would have been offered.
_NO_BETTER = (0, 1, -3)


class Victim(Struct, frozen=True, gc=False):
    """An attempt that could be stopped, and the job that would get its room."""

    job: Job
    attempt: Attempt
    preempting_job: str = ""
    # Waited long to begin: only prod work may stop it, or it might never get anywhere.
    protected: bool = False


def should_checkpoint(spec: JobSpec) -> bool:
    """Whether a task that is stopped for more urgent work is to save first.

    On average it loses half its interval if it does not, and keeps the room while it saves.
    """
    return (
        spec.checkpoint_interval_s > 0
        and spec.checkpoint_duration_s < _SAVING_PART * spec.checkpoint_interval_s / 2
    )


def may_preempt(
    job: Job, other: Job, guaranteed: bool, teams: Mapping[str, Team], usage: Mapping[str, Usage]
) -> bool:
    """PROTOCOL, "Preemption": higher priority, or a guarantee against another team's surplus."""
    if other.rank > job.rank:
        return True
    if not guaranteed or other.spec.team == job.spec.team:
        return False
    team = teams.get(other.spec.team)
    used = usage.get(other.spec.team, Usage())
    return team is not None and used.cpus - other.cpus >= milli_floor(team.cpus)


class _Made(Struct):
    """Room made for one task: whom to stop there."""

    room: FreeCapacity
    victims: list[Victim]


class _Choice:
    """Victims chosen so far, and what the machines and the teams would have without them."""

    def __init__(
        self,
        rooms: Iterable[FreeCapacity],
        running: Mapping[str, list[Victim]],
        teams: Mapping[str, Team],
        usage: Mapping[str, Usage],
    ) -> None:
        self._teams = teams
        self._spare = {room.machine: structs.replace(room) for room in rooms}
        # In order only on the machines that are looked at: most are passed over.
        self._left = {machine: list(victims) for machine, victims in running.items()}
        self._in_order: set[str] = set()
        # At most this much could be freed on a machine: most are passed over by it.
        self._freeable = {
            machine: (sum(v.job.cpus for v in victims), sum(v.job.memory for v in victims))
            for machine, victims in running.items()
        }
        self._used = {name: Usage(u.cpus, u.gpus) for name, u in usage.items()}
        self.chosen: list[Victim] = []
        self.looks = _MOST_LOOKS

    def usage(self, team: str) -> Usage:
        """What a team would take."""
        return self._used.setdefault(team, Usage())

    def make_room(self, job: Job, rule: ZoneRule, guaranteed: bool) -> _Made | None:
        """Choose whom to stop for one more task of a job."""
        self.looks -= 1
        best: tuple[tuple[int, int, int], _Made] | None = None
        for machine, room in self._spare.items():
            cpus, memory = self._freeable.get(machine, (0, 0))
            if room.cpus + cpus < job.cpus or room.memory + memory < job.memory:
                continue
            if not room.allows(job) or not rule.allows(room.zone):
                continue
            victims = self._in_order_on(machine)
            picked = _fewest(job, room, victims, guaranteed, self._teams, self._used)
            if picked is None:
                continue
            key = (
                sum(1 for v in picked if v.job.spec.checkpoint_interval_s <= 0),
                len(picked),
                -max((v.job.rank for v in picked), default=3),
            )
            if best is None or key < best[0]:
                best = (key, _Made(room, picked))
            if key == _NO_BETTER:
                break
        if best is None:
            return None
        made = best[1]
        self._apply(job, made)
        rule.add(made.room.zone)
        return made

    def _in_order_on(self, machine: str) -> list[Victim]:
        """A machine's attempts: least urgent first; of those, what can save and the youngest."""
        left = self._left.get(machine, [])
        if machine not in self._in_order:
            left.sort(key=_order)
            self._in_order.add(machine)
        return left

    def _apply(self, job: Job, made: _Made) -> None:
        machine = made.room.machine
        for victim in made.victims:
            made.room.allocate(victim.job, -1)
            self._left[machine].remove(victim)
            self._free(machine, victim.job, -1)
            self.usage(victim.job.spec.team).add(victim.job, -1)
            self.chosen.append(structs.replace(victim, preempting_job=job.id))
        made.room.allocate(job)
        self.usage(job.spec.team).add(job)

    def undo(self, job: Job, made: _Made) -> None:
        """Take back the last choice."""
        machine = made.room.machine
        self.usage(job.spec.team).add(job, -1)
        made.room.allocate(job, -1)
        for victim in made.victims:
            self.chosen.pop()
            self.usage(victim.job.spec.team).add(victim.job)
            self._free(machine, victim.job, 1)
            self._left[machine].append(victim)
            made.room.allocate(victim.job)
        if made.victims:
            self._left[machine].sort(key=_order)

    def _free(self, machine: str, job: Job, count: int) -> None:
        cpus, memory = self._freeable[machine]
        self._freeable[machine] = (cpus + count * job.cpus, memory + count * job.memory)


def _order(victim: Victim) -> tuple[int, bool, int]:
    return (-victim.job.rank, victim.job.spec.checkpoint_interval_s <= 0, -victim.attempt.number)


def choose_victims(
    stuck: Iterable[tuple[Job, int]],
    rooms: Iterable[FreeCapacity],
    running: Mapping[str, list[Victim]],
    teams: Mapping[str, Team],
    usage: Mapping[str, Usage],
    zone_of: dict[str, str],
    max_victims: int,
) -> list[Victim]:
    """Victims for tasks that found no room.

    ``rooms`` must already count what earlier victims will free, or each round would stop more.
    """
    choice = _Choice(rooms, running, teams, usage)
    for job, count in stuck:
        team = teams.get(job.spec.team)
        rule = zone_rule(job, zone_of)
        if team is None or rule is None:
            continue
        if job.is_gang:
            if len(choice.chosen) < max_victims and choice.looks >= job.spec.tasks:
                _make_room_for_gang(choice, job, team)
            continue
        own = choice.usage(job.spec.team)
        for _ in range(count):
            if len(choice.chosen) >= max_victims or choice.looks <= 0:
                break
            if not fits_quota(team, own, job, against_limit=True):
                break
            if choice.make_room(job, rule, fits_quota(team, own, job, against_limit=False)) is None:
                break
    return choice.chosen


def _make_room_for_gang(choice: _Choice, job: Job, team: Team) -> None:
    """Choose whom to stop for a whole gang; nobody if that would not make room for all of it."""
    own = choice.usage(job.spec.team)
    if not fits_quota(team, own, job, against_limit=True):
        return
    guaranteed = fits_quota(team, own, job, against_limit=False)
    rule = new_zone_rule(job.spec)
    made: list[_Made] = []
    while len(made) < job.spec.tasks:
        one = choice.make_room(job, rule, guaranteed)
        if one is None:
            for earlier in reversed(made):
                choice.undo(job, earlier)
            return
        made.append(one)


def _fewest(
    job: Job,
    room: FreeCapacity,
    victims: list[Victim],
    guaranteed: bool,
    teams: Mapping[str, Team],
    usage: Mapping[str, Usage],
) -> list[Victim] | None:
    """Victims on one machine, in their order, that make room for a task; None if they can't."""
    cpus, gpus, memory = room.cpus, room.gpus, room.memory
    picked: list[Victim] = []
    for victim in (None, *victims):
        if victim is not None:
            if victim.protected and job.rank > 0:
                continue
            if not may_preempt(job, victim.job, guaranteed, teams, usage):
                continue
            cpus += victim.job.cpus
            gpus += victim.job.gpus
            memory += victim.job.memory
            picked.append(victim)
        if cpus >= job.cpus and gpus >= job.gpus and memory >= job.memory:
            return picked
    return None
