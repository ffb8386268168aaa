"""Which attempts to stop so that more urgent work gets room."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from mosswalk.config import Team
from mosswalk.jobs.state import Job, Usage, milli_room
from mosswalk.placement.queues import within
from mosswalk.placement.rooms import Room, zone_rule
from mosswalk.store.records import Attempt
from mosswalk.wire.users import JobSpec

# Saving that takes more than this part of what would be lost on average only holds up the room.
_SAVING_PART = 0.7
# How many tasks are looked at in one go: each look asks every machine.
_MOST_LOOKS = 48
# One idle task that can save: no choice is better but free room, which would have been offered.
_NO_BETTER = (0, 1, -3)


@dataclass(slots=True, frozen=True)
class Victim:
    """An attempt that could be stopped, and the job that would get its room."""

    job: Job
    attempt: Attempt
    wanted_by: str = ""
    # Waited long to begin: only prod work may stop it, or it might never get anywhere.
    shielded: bool = False


def worth_saving(spec: JobSpec) -> bool:
    """Whether a task that is stopped for more urgent work is to save first.

    On average it loses half its interval if it does not, and keeps the room while it saves.
    """
    return spec.checkpoint_s > 0 and spec.save_s < _SAVING_PART * spec.checkpoint_s / 2


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
    # Least urgent first; of those, the ones that can save and the youngest.
    left = {
        machine: sorted(
            victims, key=lambda v: (-v.job.rank, v.job.spec.checkpoint_s <= 0, -v.attempt.number)
        )
        for machine, victims in running.items()
    }
    # At most this much could be freed on a machine: most are passed over by it.
    freeable = {
        machine: (sum(v.job.cpus for v in victims), sum(v.job.memory for v in victims))
        for machine, victims in left.items()
    }
    used = {name: Usage(u.cpus, u.gpus) for name, u in usage.items()}
    chosen: list[Victim] = []
    looks = _MOST_LOOKS
    for job, count in stuck:
        team = teams.get(job.spec.team)
        rule = zone_rule(job, zone_of)
        if team is None or rule is None:
            continue
        own = used.setdefault(job.spec.team, Usage())
        for _ in range(count):
            if len(chosen) >= most or looks <= 0 or not within(team, own, job, limit=True):
                break
            looks -= 1
            guaranteed = within(team, own, job, limit=False)
            best: tuple[tuple[int, int, int], Room, list[Victim]] | None = None
            for machine, room in spare.items():
                cpus, memory = freeable.get(machine, (0, 0))
                if room.cpus + cpus < job.cpus or room.memory + memory < job.memory:
                    continue
                if not room.allows(job) or not rule.allows(room.zone):
                    continue
                picked = _fewest(job, room, left.get(machine, []), guaranteed, teams, used)
                if picked is None:
                    continue
                key = (
                    sum(1 for v in picked if v.job.spec.checkpoint_s <= 0),
                    len(picked),
                    -max((v.job.rank for v in picked), default=3),
                )
                if best is None or key < best[0]:
                    best = (key, room, picked)
                if key == _NO_BETTER:
                    break
            if best is None:
                break
            _, room, picked = best
            for victim in picked:
                room.take(victim.job, -1)
                left[room.machine].remove(victim)
                cpus, memory = freeable[room.machine]
                freeable[room.machine] = (cpus - victim.job.cpus, memory - victim.job.memory)
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
    """Victims on one machine, in their order, that make room for a task; None if they can't."""
    cpus, gpus, memory = room.cpus, room.gpus, room.memory
    picked: list[Victim] = []
    for victim in (None, *victims):
        if victim is not None:
            if victim.shielded and job.rank > 0:
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
