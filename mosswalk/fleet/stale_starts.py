"""Detects start commands in flight for withdrawn jobs and ending gangs.

A new term makes workers reject them.
"""

from __future__ import annotations

import logging

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.inventory import Inventory
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import task_name
from mosswalk.leadership.actor import Leadership

log = logging.getLogger(__name__)

# A start command that must not be executed may be in flight for this long before a new term is
# requested.
_MAX_STALE_START_AGE_US = 5 * SECOND_US


class StaleStarts:
    """Tracks unanswered /orders requests that could start tasks which must not run any more."""

    def __init__(
        self,
        inventory: Inventory,
        registry: JobRegistry,
        leadership: Leadership,
        tokens: WorkerTokens,
        clock: Clock,
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._tokens = tokens
        self._clock = clock
        self._stale_since_us: dict[AttemptKey, int] = {}

    def reset(self) -> None:
        """Discard all state; called when this controller stops leading."""
        self._stale_since_us.clear()

    def check(self) -> None:
        """Find stale starts, and request a new term if one stays unanswered for too long."""
        now_us = self._clock.now_us()
        lowest_token = self._tokens.lowest()
        stale: dict[AttemptKey, int] = {}
        for machine in self._inventory.machines.values():
            if not machine.unanswered_starts:
                continue
            for key in self._registry.attempts_on(machine.name):
                start = (task_name(key[0], key[1]), key[2])
                job = self._registry.jobs.get(key[0])
                # An ending gang waits until all tasks of its attempt are known to be terminated.
                must_not_run = job is not None and (not job.open or job.gang_ending)
                if (
                    must_not_run
                    and machine.may_still_start(start, lowest_token)
                    and start not in machine.tasks
                ):
                    stale[key] = self._stale_since_us.get(key, now_us)
            machine.unanswered_starts = {
                k: v
                for k, v in machine.unanswered_starts.items()
                if v[0] >= max(lowest_token, machine.token) and v[1] == machine.session
            }
        self._stale_since_us = stale
        if any(
            now_us - stale_since_us > _MAX_STALE_START_AGE_US for stale_since_us in stale.values()
        ):
            log.info("requesting a new term: a start of a task that must not run may be in flight")
            self._stale_since_us = {}
            self._leadership.request_new_term()
