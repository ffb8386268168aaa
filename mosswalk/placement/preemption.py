"""Chooses attempts to stop so that more urgent work gets capacity."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct, structs

from mosswalk.config import Team
from mosswalk.jobs.state import IDLE_RANK, PROD_RANK, Job, Usage, milli_floor
from mosswalk.placement.capacity import FreeCapacity, ZoneRule, new_zone_rule, zone_rule
from mosswalk.placement.queues import fits_quota
from mosswalk.store.records import Attempt
from mosswalk.wire.users import JobSpec

# A checkpoint that takes more than this fraction of the run time that is lost on average without it
# only delays the release of the capacity.
_MAX_CHECKPOINT_COST_RATIO = 0.7
# For at most this many waiting tasks does one call of ``choose_victims`` search for victims. The
# search for each task may scan all machines, so the limit bounds how long a call takes. A gang with
# more tasks than searches are left is skipped.
_MAX_SCANS = 48
# The key of one idle task that can checkpoint. Only free capacity would be better, and that would
# have been offered.
_BEST_POSSIBLE_KEY = (0, 1, -IDLE_RANK)


class Victim(Struct, frozen=True, gc=False):
    """An attempt that may be stopped, and the id of the job that would get its capacity."""

    job: Job
    attempt: Attempt
    preempting_job: str = ""
    # Its job is so old that only prod work may stop it: otherwise it might never complete.
    protected: bool = False


def should_checkpoint(spec: JobSpec) -> bool:
    """Whether a task that is stopped for more urgent work writes a checkpoint first.

    Without one it loses half of its checkpoint interval on average; with one it holds its capacity
    until the checkpoint is written.
    """
    return (
        spec.checkpoint_interval_s > 0
        and spec.checkpoint_duration_s < _MAX_CHECKPOINT_COST_RATIO * spec.checkpoint_interval_s / 2
    )


def may_preempt(
    job: Job, other: Job, guaranteed: bool, teams: Mapping[str, Team], usage: Mapping[str, Usage]
) -> bool:
    """Whether a job may have an attempt of another one stopped.

    This is the rule in the section "Preemption" of the protocol. The job may if its priority is
    higher. If it is within its team's guarantee, it also may if the other job's team keeps the CPUs
    of its own guarantee without the attempt.
    """
    if other.rank > job.rank:
        return True
    if not guaranteed or other.spec.team == job.spec.team:
        return False
    team = teams.get(other.spec.team)
    other_usage = usage.get(other.spec.team, Usage())
    return team is not None and other_usage.cpus - other.cpus >= milli_floor(team.cpus)


class _Preemption(Struct):
    """The capacity for one task, and the attempts to stop for it."""

    capacity: FreeCapacity
    victims: list[Victim]


class _VictimSelection:
    """The victims chosen so far, and the capacity and usage that result from their preemption."""

    def __init__(
        self,
        capacities: Iterable[FreeCapacity],
        running: Mapping[str, list[Victim]],
        teams: Mapping[str, Team],
        usage: Mapping[str, Usage],
    ) -> None:
        self._teams = teams
        self._capacities = {capacity.machine: structs.replace(capacity) for capacity in capacities}
        # Sorted only for the machines in _sorted_machines: most machines are skipped unsorted.
        self._running = {machine: list(victims) for machine, victims in running.items()}
        self._sorted_machines: set[str] = set()
        # Upper bounds of the CPU and memory that can be freed on a machine: they rule most out.
        self._freeable = {
            machine: (sum(v.job.cpus for v in victims), sum(v.job.memory for v in victims))
            for machine, victims in running.items()
        }
        self._usage = {name: Usage(u.cpus, u.gpus) for name, u in usage.items()}
        self.chosen: list[Victim] = []
        self.scans_left = _MAX_SCANS

    def usage(self, team: str) -> Usage:
        """The usage of a team after the preemptions chosen so far."""
        return self._usage.setdefault(team, Usage())

    def preempt_for(self, job: Job, rule: ZoneRule, guaranteed: bool) -> _Preemption | None:
        """Choose victims for one more task of a job; None if no machine can be made to fit it."""
        self.scans_left -= 1
        best: tuple[tuple[int, int, int], _Preemption] | None = None
        for machine, capacity in self._capacities.items():
            cpus, memory = self._freeable.get(machine, (0, 0))
            if capacity.cpus + cpus < job.cpus or capacity.memory + memory < job.memory:
                continue
            if not capacity.allows(job) or not rule.allows(capacity.zone):
                continue
            running = self._sorted_victims(machine)
            victims = _victims_on_machine(
                job, capacity, running, guaranteed, self._teams, self._usage
            )
            if victims is None:
                continue
            key = (
                sum(1 for v in victims if v.job.spec.checkpoint_interval_s <= 0),
                len(victims),
                -max((v.job.rank for v in victims), default=IDLE_RANK),
            )
            if best is None or key < best[0]:
                best = (key, _Preemption(capacity, victims))
            if key == _BEST_POSSIBLE_KEY:
                break
        if best is None:
            return None
        preemption = best[1]
        self._apply(job, preemption)
        rule.add(preemption.capacity.zone)
        return preemption

    def _sorted_victims(self, machine: str) -> list[Victim]:
        """A machine's attempts: lowest priority first, then able to checkpoint, then youngest."""
        running = self._running.get(machine, [])
        if machine not in self._sorted_machines:
            running.sort(key=_victim_sort_key)
            self._sorted_machines.add(machine)
        return running

    def _apply(self, job: Job, preemption: _Preemption) -> None:
        machine = preemption.capacity.machine
        for victim in preemption.victims:
            preemption.capacity.allocate(victim.job, -1)
            self._running[machine].remove(victim)
            self._adjust_freeable(machine, victim.job, -1)
            self.usage(victim.job.spec.team).add(victim.job, -1)
            self.chosen.append(structs.replace(victim, preempting_job=job.id))
        preemption.capacity.allocate(job)
        self.usage(job.spec.team).add(job)

    def undo(self, job: Job, preemption: _Preemption) -> None:
        """Revert the last preemption."""
        machine = preemption.capacity.machine
        self.usage(job.spec.team).add(job, -1)
        preemption.capacity.allocate(job, -1)
        for victim in preemption.victims:
            self.chosen.pop()
            self.usage(victim.job.spec.team).add(victim.job)
            self._adjust_freeable(machine, victim.job, 1)
            self._running[machine].append(victim)
            preemption.capacity.allocate(victim.job)
        if preemption.victims:
            self._running[machine].sort(key=_victim_sort_key)

    def _adjust_freeable(self, machine: str, job: Job, count: int) -> None:
        cpus, memory = self._freeable[machine]
        self._freeable[machine] = (cpus + count * job.cpus, memory + count * job.memory)


def _victim_sort_key(victim: Victim) -> tuple[int, bool, int]:
    return (-victim.job.rank, victim.job.spec.checkpoint_interval_s <= 0, -victim.attempt.number)


def choose_victims(
    unschedulable: Iterable[tuple[Job, int]],
    capacities: Iterable[FreeCapacity],
    running: Mapping[str, list[Victim]],
    teams: Mapping[str, Team],
    usage: Mapping[str, Usage],
    zones_by_machine: dict[str, str],
    max_victims: int,
) -> list[Victim]:
    """Choose victims for tasks that found no capacity.

    ``capacities`` must include what earlier victims will free, or each call would stop more.
    """
    selection = _VictimSelection(capacities, running, teams, usage)
    for job, count in unschedulable:
        team = teams.get(job.spec.team)
        rule = zone_rule(job, zones_by_machine)
        if team is None or rule is None:
            continue
        if job.is_gang:
            if len(selection.chosen) < max_victims and selection.scans_left >= job.spec.tasks:
                _preempt_for_gang(selection, job, team)
            continue
        team_usage = selection.usage(job.spec.team)
        for _ in range(count):
            if len(selection.chosen) >= max_victims or selection.scans_left <= 0:
                break
            if not fits_quota(team, team_usage, job, against_limit=True):
                break
            if (
                selection.preempt_for(
                    job, rule, fits_quota(team, team_usage, job, against_limit=False)
                )
                is None
            ):
                break
    return selection.chosen


def _preempt_for_gang(selection: _VictimSelection, job: Job, team: Team) -> None:
    """Choose victims for a whole gang; none if not all of its tasks would then fit."""
    team_usage = selection.usage(job.spec.team)
    if not fits_quota(team, team_usage, job, against_limit=True):
        return
    guaranteed = fits_quota(team, team_usage, job, against_limit=False)
    rule = new_zone_rule(job.spec)
    preemptions: list[_Preemption] = []
    while len(preemptions) < job.spec.tasks:
        preemption = selection.preempt_for(job, rule, guaranteed)
        if preemption is None:
            for earlier in reversed(preemptions):
                selection.undo(job, earlier)
            return
        preemptions.append(preemption)


def _victims_on_machine(
    job: Job,
    capacity: FreeCapacity,
    victims: list[Victim],
    guaranteed: bool,
    teams: Mapping[str, Team],
    usage: Mapping[str, Usage],
) -> list[Victim] | None:
    """The first victims on a machine that free enough for a task; None if all don't suffice."""
    cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory
    chosen: list[Victim] = []
    # None stands for the free capacity alone: perhaps no attempt has to be stopped.
    for victim in (None, *victims):
        if victim is not None:
            if victim.protected and job.rank > PROD_RANK:
                continue
            if not may_preempt(job, victim.job, guaranteed, teams, usage):
                continue
            cpus += victim.job.cpus
            gpus += victim.job.gpus
            memory += victim.job.memory
            chosen.append(victim)
        if cpus >= job.cpus and gpus >= job.gpus and memory >= job.memory:
            return chosen
    return None
