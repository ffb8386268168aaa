"""Which attempts the leader stops for more urgent tasks that fit nowhere."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from msgspec import structs

from mosswalk.actors import Clock, to_us
from mosswalk.config import Settings
from mosswalk.factory.view import WaitingTasks
from mosswalk.fleet.inventory import Inventory
from mosswalk.fleet.offers import OfferPlanner
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import IDLE_RANK, Job, Usage
from mosswalk.placement.capacity import FreeCapacity
from mosswalk.placement.preemption import Victim, choose_victims, should_checkpoint
from mosswalk.placement.queues import fits_quota, is_protected

_MAX_VICTIMS = 16
# How long a task takes to start on free capacity with its image cached.
_CACHED_START_S = 0.5


class Preemptor:
    """Selects the attempts to stop, and how long each may take to write a checkpoint."""

    def __init__(
        self,
        settings: Settings,
        inventory: Inventory,
        registry: JobRegistry,
        offers: OfferPlanner,
        clock: Clock,
    ) -> None:
        self._teams = {team.name: team for team in settings.params.teams}
        self._inventory = inventory
        self._registry = registry
        self._offers = offers
        self._clock = clock
        # The objectives for the wait of a job until its start, by job class.
        self._wait_objectives_us: dict[str, list[int]] = {}
        for objective in settings.params.objectives:
            if (
                objective.kind == "wait"
                and objective.job_class is not None
                and objective.within_s is not None
            ):
                self._wait_objectives_us.setdefault(objective.job_class, []).append(
                    to_us(objective.within_s)
                )

    def checkpoint_grace_s(self, victim: Victim) -> float:
        """Return how long a victim may take to write a checkpoint before it is stopped.

        No time is given if the job that it is stopped for would then miss a wait objective.
        """
        spec = victim.job.spec
        if not should_checkpoint(spec):
            return 0.0
        preempting = self._registry.jobs.get(victim.preempting_job)
        if preempting is not None and self._would_start_late(
            preempting, spec.checkpoint_duration_s
        ):
            return 0.0
        return spec.checkpoint_duration_s

    def _would_start_late(self, job: Job, checkpoint_duration_s: float) -> bool:
        """Return whether a job meets a wait objective only if victims write no checkpoint."""
        waited_us = self._clock.wall_us() - job.record.submitted_at_us
        return any(
            waited_us <= within_us < waited_us + to_us(checkpoint_duration_s + _CACHED_START_S)
            for within_us in self._wait_objectives_us.get(job.spec.job_class, ())
        )

    def _is_guaranteed(self, job: Job, usage: Mapping[str, Usage]) -> bool:
        team_usage = usage.get(job.spec.team) or Usage()
        return fits_quota(self._teams[job.spec.team], team_usage, job, against_limit=False)

    def select_victims(
        self, waiting: Iterable[WaitingTasks], stopping: Container[AttemptKey]
    ) -> list[Victim]:
        """Return the attempts to stop for waiting tasks, besides those being stopped already."""
        usage = self._registry.usage()
        blocked = [
            (w.job, w.count)
            for w in waiting
            if w.job.rank == 0
            or (w.job.rank < IDLE_RANK and (w.job.is_gang or self._is_guaranteed(w.job, usage)))
        ]
        if not blocked:
            return []
        wall_us = self._clock.wall_us()
        capacities: list[FreeCapacity] = []
        running: dict[str, list[Victim]] = {}
        for shared in self._offers.free_capacities():
            capacity = structs.replace(shared)
            capacities.append(capacity)
            attempts = self._registry.attempts_on(capacity.machine)
            # The capacity of attempts with a reported exit is free already. If it were counted
            # twice, too few attempts would be stopped.
            for key in self._offers.attempts_using_capacity(
                self._inventory.machines[capacity.machine]
            ):
                job, attempt = self._registry.jobs.get(key[0]), attempts[key]
                if job is None:
                    continue
                if key in stopping or not job.open:
                    capacity.allocate(job, -1)
                elif job.rank > 0 and not job.is_gang:
                    # A gang would lose all its tasks for the capacity of a few of them.
                    victim = Victim(job, attempt, protected=is_protected(job, wall_us))
                    running.setdefault(capacity.machine, []).append(victim)
        return choose_victims(
            blocked,
            capacities,
            running,
            self._teams,
            usage,
            self._inventory.zones_by_machine(),
            _MAX_VICTIMS,
        )
