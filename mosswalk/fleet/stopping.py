"""Keeps the attempts that the leader has decided to stop, with their grace periods.

A gang is stopped as a whole: either all its machines get the command at once, so that the whole
gang can write a checkpoint, or none does.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec import Struct

from mosswalk.actors import SECOND_US, Clock, to_us
from mosswalk.config import Settings
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import Job, task_name
from mosswalk.store.records import Attempt
from mosswalk.wire.workers import Command

# A task is killed if it still runs after its grace period times ``_KILL_GRACE_FACTOR``, plus this
# margin.
_KILL_MARGIN_US = 5 * SECOND_US
_KILL_GRACE_FACTOR = 1.5


class _Stop(Struct):
    requested_at_us: int
    grace_s: float


class StopRegistry:
    """Attempts to be stopped whose jobs are still open."""

    def __init__(
        self,
        settings: Settings,
        inventory: Inventory,
        registry: JobRegistry,
        send_command: Callable[[Machine, Command], None],
        is_silent: Callable[[Machine], bool],
        clock: Clock,
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._send_command = send_command
        self._is_silent = is_silent
        self._clock = clock
        self._gang_peer_us = to_us(settings.params.workers.gang_peer_s)
        self._stops: dict[AttemptKey, _Stop] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._stops

    def reset(self) -> None:
        """Discard all state; called when this controller starts or stops leading."""
        self._stops.clear()

    def discard_terminated(self) -> None:
        """Discard attempts that the records don't show as live any more."""
        for key in [k for k in self._stops if not self._registry.is_live(k)]:
            del self._stops[key]

    def grace_s(self, machine: Machine, key: AttemptKey) -> float | None:
        """The grace period with which an attempt is to be stopped, or None if it is to run."""
        job = self._registry.jobs.get(key[0])
        if job is None or not job.open:
            return 0.0
        stop = self._stops.get(key)
        if stop is not None:
            kill_after_us = to_us(stop.grace_s * _KILL_GRACE_FACTOR) + _KILL_MARGIN_US
            if job.is_gang:
                kill_after_us += self._gang_peer_us
            return (
                0.0 if self._clock.now_us() - stop.requested_at_us > kill_after_us else stop.grace_s
            )
        if job.gang_ending:
            return 0.0
        has_spot_notice = machine.spot_notice_until_us is not None
        if has_spot_notice and job.spec.checkpoint_interval_s > 0 and not job.is_gang:
            # The cloud is about to reclaim the machine: have the task write a checkpoint.
            return job.spec.checkpoint_duration_s
        return None

    def stop(self, job: Job, attempt: Attempt, grace_s: float) -> None:
        """Stop one attempt."""
        key = (job.id, attempt.task, attempt.number)
        self._stops[key] = _Stop(self._clock.now_us(), grace_s)
        self._kill(job, attempt, grace_s)

    def _kill(self, job: Job, attempt: Attempt, grace_s: float) -> None:
        machine = self._inventory.machines.get(attempt.machine)
        if machine is None or machine.session != attempt.session or machine.releasing:
            return
        name = task_name(job.id, attempt.task)
        reported = machine.tasks.get((name, attempt.number))
        # An attempt that the machine has not reported may be about to start there.
        if reported is None or reported.phase != "exited":
            self._send_command(machine, Command("kill", name, attempt.number, grace_s))

    def kill_withdrawn(self, job: Job) -> None:
        """Kill the tasks of a withdrawn job without waiting for the machines' next reports."""
        for attempt in job.live_attempts():
            self._kill(job, attempt, 0.0)

    def kill_gang(self, job: Job) -> None:
        """Kill what is left of an ending gang, except tasks that may be writing a checkpoint."""
        for attempt in job.live_attempts():
            if (job.id, attempt.task, attempt.number) not in self._stops:
                self._kill(job, attempt, 0.0)

    def gangs_to_checkpoint(self) -> Iterator[Job]:
        """Gangs that must write a checkpoint as one of their machines is about to be reclaimed."""
        for job in self._registry.gangs.values():
            if job.startable and job.spec.checkpoint_interval_s > 0 and self._can_checkpoint(job):
                yield job

    def _can_checkpoint(self, job: Job) -> bool:
        """Whether a machine of the gang has a spot notice, and all tasks can still checkpoint.

        For this, all machines must be reachable and the notice must leave enough time.
        """
        now_us = self._clock.now_us()
        has_spot_notice = False
        for attempt in job.live_attempts():
            if (job.id, attempt.task, attempt.number) in self._stops:
                return False
            machine = self._inventory.machines.get(attempt.machine)
            if (
                machine is None
                or machine.not_receiving_since_us is not None
                or self._is_silent(machine)
            ):
                return False
            if machine.spot_notice_until_us is not None:
                if machine.spot_notice_until_us - now_us < to_us(job.spec.checkpoint_duration_s):
                    return False
                has_spot_notice = True
        return has_spot_notice

    def stop_gang(self, job: Job) -> None:
        """Have all tasks of a gang write a checkpoint and stop at the same time."""
        for attempt in job.live_attempts():
            self.stop(job, attempt, job.spec.checkpoint_duration_s)
