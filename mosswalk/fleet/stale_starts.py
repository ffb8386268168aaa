"""Starts on the way for withdrawn jobs and ending gangs: a new term outdates them."""

from __future__ import annotations

import logging

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.inventory import Inventory
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import task_name
from mosswalk.leadership.actor import Leadership

log = logging.getLogger(__name__)

# The start of a task that must not run, if it may still be on the way, is outdated after this.
_LATE_START_US = 5 * SECOND_US


class StaleStarts:
    """Unanswered /orders that could still start what must not start any more."""

    def __init__(
        self, inventory: Inventory, registry: JobRegistry, leadership: Leadership, clock: Clock
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._clock = clock
        self._since_us: dict[AttemptKey, int] = {}

    def reset(self) -> None:
        """Forget all: another controller leads."""
        self._since_us.clear()

    def check(self) -> None:
        """Look for them, and have a new term made if one does not go away."""
        now_us = self._clock.now_us()
        epoch = self._leadership.term_number()
        late: dict[AttemptKey, int] = {}
        for machine in self._inventory.machines.values():
            if not machine.unanswered_starts:
                continue
            for key in self._registry.attempts_on(machine.name):
                start = (task_name(key[0], key[1]), key[2])
                job = self._registry.jobs.get(key[0])
                # A gang that ends waits for every task of the attempt to be proven gone.
                over = job is not None and (not job.open or job.gang_ending)
                if over and machine.may_still_start(start, epoch) and start not in machine.tasks:
                    late[key] = self._since_us.get(key, now_us)
            machine.unanswered_starts = {
                k: v
                for k, v in machine.unanswered_starts.items()
                if v[0] >= epoch and v[1] == machine.session
            }
        self._since_us = late
        if any(now_us - since_us > _LATE_START_US for since_us in late.values()):
            log.info("new term wanted: the start of a task that must not run is still on the way")
            self._since_us = {}
            self._leadership.request_new_term()
