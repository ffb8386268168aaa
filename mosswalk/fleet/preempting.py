"""Which attempts the leader stops for more urgent work that found no room."""

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

_MOST_VICTIMS = 16
# How long a task takes to start once there is room, with its image at hand.
_START_S = 0.5


class Preemptor:
    """Shows the choice what runs where and what waits."""

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
        # By when the users want jobs of a class to begin.
        self._waits_us: dict[str, list[int]] = {}
        for aim in settings.params.objectives:
            if aim.kind == "wait" and aim.job_class is not None and aim.within_s is not None:
                self._waits_us.setdefault(aim.job_class, []).append(to_us(aim.within_s))

    def checkpoint_grace_s(self, victim: Victim) -> float:
        """How long a victim may save before its room is free."""
        spec = victim.job.spec
        if not should_checkpoint(spec):
            return 0.0
        wanting = self._registry.jobs.get(victim.preempting_job)
        if wanting is not None and self._would_miss_its_start(wanting, spec.checkpoint_duration_s):
            return 0.0
        return spec.checkpoint_duration_s

    def _would_miss_its_start(self, job: Job, save_s: float) -> bool:
        """Whether a job could begin in time if it need not wait for others to save."""
        waited_us = self._clock.wall_us() - job.record.submitted_at_us
        return any(
            waited_us <= within_us < waited_us + to_us(save_s + _START_S)
            for within_us in self._waits_us.get(job.spec.job_class, ())
        )

    def _guaranteed(self, job: Job, usage: Mapping[str, Usage]) -> bool:
        used = usage.get(job.spec.team) or Usage()
        return fits_quota(self._teams[job.spec.team], used, job, against_limit=False)

    def select_victims(
        self, waiting: Iterable[WaitingTasks], stopping: Container[AttemptKey]
    ) -> list[Victim]:
        """Whom to stop now for tasks that wait, besides those that are being stopped already."""
        usage = self._registry.usage()
        stuck = [
            (w.job, w.count)
            for w in waiting
            if w.job.rank == 0
            or (w.job.rank < IDLE_RANK and (w.job.is_gang or self._guaranteed(w.job, usage)))
        ]
        if not stuck:
            return []
        wall_us = self._clock.wall_us()
        rooms: list[FreeCapacity] = []
        running: dict[str, list[Victim]] = {}
        for shared in self._offers.free_capacities():
            room = structs.replace(shared)
            rooms.append(room)
            attempts = self._registry.attempts_on(room.machine)
            # Room of reported exits is free already: counted again, too little would be stopped.
            for key in self._offers.attempts_using_capacity(self._inventory.machines[room.machine]):
                job, attempt = self._registry.jobs.get(key[0]), attempts[key]
                if job is None:
                    continue
                if key in stopping or not job.open:
                    room.allocate(job, -1)
                elif job.rank > 0 and not job.is_gang:
                    # A gang would lose all of its tasks for the room of a few.
                    victim = Victim(job, attempt, protected=is_protected(job, wall_us))
                    running.setdefault(room.machine, []).append(victim)
        return choose_victims(
            stuck,
            rooms,
            running,
            self._teams,
            usage,
            self._inventory.zones_by_machine(),
            _MOST_VICTIMS,
        )
