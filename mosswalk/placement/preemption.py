"""Which attempts to stop so that more urgent work gets room."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from mosswalk.config import Team
from mosswalk.jobs.state import Job, milli_room
from mosswalk.placement.queues import Usage, within
from mosswalk.placement.rooms import Room, zone_rule
from mosswalk.store.records import Attempt


@dataclass(slots=True, frozen=True)
class Victim:
    """An attempt that could be stopped, and the job that would get its room."""

    job: Job
    attempt: Attempt
    wanted_by: str = ""


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
    return team is not None and used.cpus - other.cpus >= milli_room(team.cpus)


def choose_victims(
    stuck: Iterable[tuple[Job, int]],
    rooms: Iterable[Room],
    running: Mapping[str, list[Victim]],
    teams: Mapping[str, Team],
    usage: Mapping[str, Usage],
    zone_of: dict[str, str],
    most: int,
) -> list[Victim]:
    """Victims for tasks that found no room.

    ``rooms`` must already count what earlier victims will free, or each round would stop more.
    """
    spare = {room.machine: replace(room) for room in rooms}
    left = {machine: list(victims) for machine, victims in running.items()}
    used = {name: Usage(u.cpus, u.gpus) for name, u in usage.items()}
    chosen: list[Victim] = []
    for job, count in stuck:
        team = teams.get(job.spec.team)
        rule = zone_rule(job, zone_of)
        if team is None or rule is None:
            continue
        own = used.setdefault(job.spec.team, Usage())
        for _ in range(count):
            if len(chosen) >= most or not within(team, own, job, limit=True):
                break
            guaranteed = within(team, own, job, limit=False)
            best: tuple[tuple[int, int, int], Room, list[Victim]] | None = None
            for room in spare.values():
                if not room.allows(job) or not rule.allows(room.zone):
                    continue
                picked = _fewest(job, room, left.get(room.machine, []), guaranteed, teams, used)
                if picked is None:
                    continue
                key = (
                    sum(1 for v in picked if v.job.spec.checkpoint_s <= 0),
                    len(picked),
                    -max((v.job.rank for v in picked), default=3),
                )
                if best is None or key < best[0]:
                    best = (key, room, picked)
            if best is None:
                break
            _, room, picked = best
            for victim in picked:
                room.take(victim.job, -1)
                left[room.machine].remove(victim)
                used.setdefault(victim.job.spec.team, Usage()).add(victim.job, -1)
                chosen.append(replace(victim, wanted_by=job.id))
            room.take(job)
            rule.add(room.zone)
            own.add(job)
    return chosen


def _fewest(
    job: Job, room: Room, victims: list[Victim], guaranteed: bool,
    teams: Mapping[str, Team], usage: Mapping[str, Usage],
) -> list[Victim] | None:  # fmt: skip
    """Victims on one machine that make room for a task; None if they can't."""
    trial = replace(room)
    if trial.holds(job):
        return []
    picked: list[Victim] = []
    # Least urgent first; of those, the ones that can save and the youngest.
    order = sorted(
        victims,
        key=lambda v: (-v.job.rank, v.job.spec.checkpoint_s <= 0, -v.attempt.number),
    )
    for victim in order:
        if not may_preempt(job, victim.job, guaranteed, teams, usage):
            continue
        trial.take(victim.job, -1)
        picked.append(victim)
        if trial.holds(job):
            return picked
    return None
