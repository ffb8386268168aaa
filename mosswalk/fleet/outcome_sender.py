"""Sends outcomes of attempts to the team owners until the records show them."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from msgspec import Struct

from mosswalk.actors import Clock
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Job, parse_task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.placement.owner import Owner
from mosswalk.wire.peers import Outcome, Outcomes

log = logging.getLogger(__name__)

_RESEND_INTERVAL_US = 700_000
# Minimum time between two scans of all pending outcomes. Owners collect outcomes for a moment and
# check them again when the next message arrives: with resends on the periodic tick alone, the ends
# of gangs were written half a second late.
_MIN_SCAN_INTERVAL_US = 50_000


class OutcomeClient(Protocol):
    """Client for the team owners on other controllers."""

    def outcomes(self, node: str, message: Outcomes) -> Awaitable[None]:
        """Send outcomes."""


class _PendingOutcome(Struct):
    outcome: Outcome
    sent_at_us: int | None = None
    # Owners record an outcome only in the term in which it was sent.
    sent_in_term: int = 0


class OutcomeSender:
    """Keeps the outcomes that the records don't show yet, and sends them to the owners."""

    def __init__(
        self,
        registry: JobRegistry,
        leadership: Leadership,
        owner: Owner,
        peers: OutcomeClient,
        spawn: Callable[[Awaitable[None]], None],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._leadership = leadership
        self._owner = owner
        self._peers = peers
        self._spawn = spawn
        self._clock = clock
        self._pending: dict[tuple[str, int], _PendingOutcome] = {}
        # Those not sent yet. Kept apart so that the cost of a report depends on its own outcomes,
        # not on how many outcomes wait to be written.
        self._unsent: dict[tuple[str, int], _PendingOutcome] = {}
        self._last_scan_at_us = 0

    def reset(self) -> None:
        """Discard all state; called when this controller stops leading."""
        self._pending.clear()
        self._unsent.clear()

    def is_pending(self, outcome: Outcome) -> bool:
        """Whether an outcome of the same attempt waits to be recorded."""
        return (outcome.task, outcome.attempt) in self._pending

    def add_reported(self, outcome: Outcome) -> None:
        """Add an outcome that is known from a report or again; if sent, it waits for its resend."""
        key = (outcome.task, outcome.attempt)
        pending = self._pending.get(key)
        if pending is None:
            self._add(key, outcome)
        else:
            pending.outcome = outcome

    def add_confirmed(self, outcome: Outcome) -> None:
        """Add an outcome that the cloud has confirmed; it is sent at once, even if sent before."""
        self._add((outcome.task, outcome.attempt), outcome)

    def _add(self, key: tuple[str, int], outcome: Outcome) -> None:
        self._pending[key] = self._unsent[key] = _PendingOutcome(outcome)

    def send_new(self) -> None:
        """Send new outcomes, and those due for a resend if the last scan is long enough ago."""
        if self._clock.now_us() - self._last_scan_at_us >= _MIN_SCAN_INTERVAL_US:
            self.send_due()
            return
        unsent, self._unsent = self._unsent, {}
        self._send_all(list(unsent.items()))

    def send_due(self) -> None:
        """Send new outcomes and resend those that the records still don't show."""
        self._unsent.clear()
        self._last_scan_at_us = self._clock.now_us()
        resend_before_us = self._last_scan_at_us - _RESEND_INTERVAL_US
        term = self._leadership.term_number()
        self._send_all(
            [
                (key, pending)
                for key, pending in self._pending.items()
                if pending.sent_at_us is None
                or pending.sent_at_us <= resend_before_us
                or pending.sent_in_term != term
            ]
        )

    def _job_of(self, outcome: Outcome) -> Job | None:
        """The job whose records still show the attempt as live, or None."""
        parsed_name = parse_task_name(outcome.task)
        if parsed_name is None:
            return None
        if (*parsed_name, outcome.attempt) not in self._registry.attempts_on(outcome.machine):
            return None
        return self._registry.jobs.get(parsed_name[0])

    def _send_all(self, due: list[tuple[tuple[str, int], _PendingOutcome]]) -> None:
        term = self._leadership.term
        if term is None:
            return
        now_us = self._clock.now_us()
        by_node: dict[str, list[Outcome]] = {}
        for key, pending in due:
            job = self._job_of(pending.outcome)
            if job is None:
                # The record shows the outcome. The answer to the worker's next report contains the
                # command to reap the task.
                self._pending.pop(key, None)
                continue
            pending.sent_at_us, pending.sent_in_term = now_us, term.term
            node = term.owners.get(job.spec.team)
            if node is not None:
                by_node.setdefault(node, []).append(pending.outcome)
        for node, outcomes in by_node.items():
            message = Outcomes(term.term, tuple(outcomes))
            if node == self._leadership.node:
                self._owner.receive_outcomes(message)
            else:
                self._spawn(self._send(node, message))

    async def _send(self, node: str, message: Outcomes) -> None:
        try:
            await self._peers.outcomes(node, message)
        except Exception as error:
            # Outcomes are sent again until the records show them.
            log.debug("sending outcomes to %s failed: %s", node, error)
