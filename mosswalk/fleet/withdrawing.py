"""Finds machines that may run tasks of withdrawn jobs for too long, to be released in time."""

from __future__ import annotations

from collections.abc import Iterator

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.silence import SilenceLimits
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import task_name

# How long machines may take to report to a new leader whether withdrawn tasks still run.
_REPORT_WAIT_US = 4 * SECOND_US


class WithdrawnTasks:
    """Finds machines that have not reported in time that withdrawn tasks have terminated."""

    def __init__(
        self,
        inventory: Inventory,
        registry: JobRegistry,
        tokens: WorkerTokens,
        silence_limits: SilenceLimits,
        clock: Clock,
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._tokens = tokens
        self._silence_limits = silence_limits
        self._clock = clock

    def overdue(self, answering_since_us: int) -> Iterator[tuple[Machine, str]]:
        """Machines to release because withdrawn tasks may still run there, with the reason.

        The limit for silent machines is not enough: each leader counts silence anew, and a longer
        limit applies where many machines are silent together. This limit counts from the
        withdrawal, no matter which controllers have led since, and is as long as the one for a
        silent machine that may only be partitioned. By then the lease of a worker that still runs
        has expired, whereas a worker that hangs keeps its tasks. ``cancel_s`` leaves time for an
        outage of the cloud.
        """
        if (
            not self._registry.withdrawn
            or self._clock.now_us() - answering_since_us < _REPORT_WAIT_US
        ):
            return
        limit_us = self._silence_limits.silent_after_us + self._silence_limits.lease_us
        for job in list(self._registry.withdrawn.values()):
            age_us = self._clock.wall_us() - job.record.withdrawn_at_us
            if job.record.withdrawn_at_us == 0 or age_us < limit_us:
                continue
            for attempt in job.live_attempts():
                machine = self._inventory.machines.get(attempt.machine)
                key = (job.id, attempt.task, attempt.number)
                if machine is not None and not self._is_shown_terminated(machine, key):
                    reason = f"{task_name(job.id, attempt.task)} was withdrawn"
                    yield machine, f"{reason} {age_us / SECOND_US:.1f} s ago"

    def _is_shown_terminated(self, machine: Machine, key: AttemptKey) -> bool:
        """Whether a machine that reports has shown that an attempt has terminated.

        The records may show it much later, since writes are limited.
        """
        start = (task_name(key[0], key[1]), key[2])
        reported = machine.tasks.get(start)
        if reported is not None:
            return reported.phase == "exited"
        lowest_token = self._tokens.lowest()
        is_reporting = (
            machine.has_acknowledged_leader
            and self._clock.now_us() - machine.last_seen_at_us
            < self._silence_limits.silent_after_us
        )
        return (
            is_reporting
            and machine.token >= lowest_token
            and not machine.may_still_start(start, lowest_token)
        )
