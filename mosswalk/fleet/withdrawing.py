"""Machines that may hold the tasks of withdrawn jobs for too long: they are released in time."""

from __future__ import annotations

from collections.abc import Iterator

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.silence import SilenceLimits
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import task_name
from mosswalk.leadership.actor import Leadership

# Machines tell a new leader by then whether withdrawn tasks are still there.
_HEAR_US = 4 * SECOND_US


class WithdrawnTasks:
    """Finds machines that have not shown in time that withdrawn tasks are gone."""

    def __init__(
        self,
        inventory: Inventory,
        registry: JobRegistry,
        leadership: Leadership,
        silence_limits: SilenceLimits,
        clock: Clock,
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._silence_limits = silence_limits
        self._clock = clock

    def overdue(self, since_us: int) -> Iterator[tuple[Machine, str]]:
        """Machines to release since withdrawn tasks may still be there, and why.

        Silence alone is no measure: it is counted anew by each leader, and many machines that are
        silent together are given longer. This counts from the withdrawal, whoever led meanwhile,
        for as long as a silent machine is given that may only be cut off. Its lease has ended by
        then if it runs at all; one that hangs keeps its tasks. ``cancel_s`` leaves time for the
        cloud to be down.
        """
        if not self._registry.withdrawn or self._clock.now_us() - since_us < _HEAR_US:
            return
        limit_us = self._silence_limits.silent_after_us + self._silence_limits.lease_us
        for job in list(self._registry.withdrawn.values()):
            age_us = self._clock.wall_us() - job.record.withdrawn_at_us
            if job.record.withdrawn_at_us == 0 or age_us < limit_us:
                continue
            for attempt in job.live_attempts():
                machine = self._inventory.machines.get(attempt.machine)
                key = (job.id, attempt.task, attempt.number)
                if machine is not None and not self._gone(machine, key):
                    what = f"{task_name(job.id, attempt.task)} was withdrawn"
                    yield machine, f"{what} {age_us / SECOND_US:.1f} s ago"

    def _gone(self, machine: Machine, key: AttemptKey) -> bool:
        """Whether a machine that is heard of has shown that an attempt is not there.

        The records may show it much later: writes are scarce.
        """
        start = (task_name(key[0], key[1]), key[2])
        reported = machine.tasks.get(start)
        if reported is not None:
            return reported.phase == "exited"
        epoch = self._leadership.term_number()
        heard = (
            machine.has_acknowledged_leader
            and self._clock.now_us() - machine.last_seen_at_us
            < self._silence_limits.silent_after_us
        )
        return heard and machine.term >= epoch and not machine.may_still_start(start, epoch)
