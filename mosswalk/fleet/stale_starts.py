"""Detects start commands in flight for withdrawn jobs and ending gangs.

A higher token makes their workers refuse them.
"""

from __future__ import annotations

import logging

from mosswalk.actors import SECOND_US, Clock
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.jobs.registry import AttemptKey, JobRegistry
from mosswalk.jobs.state import task_name
from mosswalk.leadership.actor import Leadership

log = logging.getLogger(__name__)

# A start command that must not be executed may be in flight for this long before it is outdated.
_MAX_STALE_START_AGE_US = 5 * SECOND_US


class StaleStarts:
    """Tracks unanswered /orders requests that could start tasks which must not run any more."""

    def __init__(
        self,
        inventory: Inventory,
        registry: JobRegistry,
        leadership: Leadership,
        tokens: WorkerTokens,
        command_sender: CommandSender,
        clock: Clock,
    ) -> None:
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._tokens = tokens
        self._command_sender = command_sender
        self._clock = clock
        self._stale_since_us: dict[AttemptKey, int] = {}

    def reset(self) -> None:
        """Discard all state; called when this controller stops leading."""
        self._stale_since_us.clear()

    def check(self) -> None:
        """Find stale starts, and outdate those that stay unanswered for too long."""
        now_us = self._clock.now_us()
        stale: dict[AttemptKey, int] = {}
        for machine in self._inventory.machines.values():
            if not machine.unanswered_starts:
                continue
            machine.discard_refused_starts(self._tokens.lowest())
            keys = self._stale_starts(machine)
            since_us = {key: self._stale_since_us.get(key, now_us) for key in keys}
            if since_us and now_us - min(since_us.values()) > _MAX_STALE_START_AGE_US:
                self._outdate_starts(machine)
                since_us = dict.fromkeys(since_us, now_us)
            stale.update(since_us)
        self._stale_since_us = stale

    def _stale_starts(self, machine: Machine) -> list[AttemptKey]:
        """The attempts that must not run, but that an unanswered start may still start."""
        lowest_token = self._tokens.lowest()
        stale: list[AttemptKey] = []
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
                stale.append(key)
        return stale

    def _outdate_starts(self, machine: Machine) -> None:
        """Show the worker a higher token: its own, or a new term's if the term has only one."""
        if not self._leadership.has_token_range():
            log.info("requesting a new term: a start of a task that must not run may be in flight")
            self._leadership.request_new_term()
        elif self._tokens.outdate_starts(machine):
            log.info(
                "showing %s token %d: a start of a task that must not run may be in flight",
                machine.name,
                self._tokens.current(machine),
            )
            self._command_sender.probe(machine)
