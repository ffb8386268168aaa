"""Tells the team owners what became of attempts, until the records show it."""

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

_RESEND_US = 700_000
# How often all that was sent is looked at, at most. Owners gather outcomes for a moment and look at
# them again when they are told the next: told on the tick alone, gangs' ends were written half a
# second late.
_LOOK_US = 50_000


class OutcomeLink(Protocol):
    """How owners elsewhere are told."""

    def outcomes(self, node: str, message: Outcomes) -> Awaitable[None]:
        """Tell outcomes."""


class _Told(Struct):
    outcome: Outcome
    sent_us: int | None = None


class OutcomeSender:
    """Outcomes that the records don't show yet."""

    def __init__(
        self,
        registry: JobRegistry,
        leadership: Leadership,
        owner: Owner,
        peers: OutcomeLink,
        spawn: Callable[[Awaitable[None]], None],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._leadership = leadership
        self._owner = owner
        self._peers = peers
        self._spawn = spawn
        self._clock = clock
        self._told: dict[tuple[str, int], _Told] = {}
        # Those of them that have not been sent yet: a report costs by what it tells, not by how
        # many outcomes wait for their writes.
        self._unsent: dict[tuple[str, int], _Told] = {}
        self._looked_us = 0

    def reset(self) -> None:
        """Forget all: another controller leads."""
        self._told.clear()
        self._unsent.clear()

    def add_reported(self, outcome: Outcome) -> None:
        """A worker has reported it; one told already is sent again in its time only."""
        key = (outcome.task, outcome.attempt)
        told = self._told.get(key)
        if told is None:
            self._add(key, outcome)
        else:
            told.outcome = outcome

    def add_confirmed(self, outcome: Outcome) -> None:
        """The cloud has confirmed it: whatever was told before, this is sent at once."""
        self._add((outcome.task, outcome.attempt), outcome)

    def _add(self, key: tuple[str, int], outcome: Outcome) -> None:
        self._told[key] = self._unsent[key] = _Told(outcome)

    def send_new(self) -> None:
        """Send what has not been sent yet, and in its time what else is due."""
        if self._clock.now_us() - self._looked_us >= _LOOK_US:
            self.send_due()
            return
        unsent, self._unsent = self._unsent, {}
        self._send_all(list(unsent.items()))

    def send_due(self) -> None:
        """Send what is due, also what was sent a while ago and the records don't show yet."""
        self._unsent.clear()
        self._looked_us = self._clock.now_us()
        sent_before_us = self._looked_us - _RESEND_US
        self._send_all(
            [
                (key, told)
                for key, told in self._told.items()
                if told.sent_us is None or told.sent_us <= sent_before_us
            ]
        )

    def _job_of(self, outcome: Outcome) -> Job | None:
        """The job whose records still show the attempt as live, or None."""
        split = parse_task_name(outcome.task)
        if split is None:
            return None
        if (*split, outcome.attempt) not in self._registry.attempts_on(outcome.machine):
            return None
        return self._registry.jobs.get(split[0])

    def _send_all(self, due: list[tuple[tuple[str, int], _Told]]) -> None:
        term = self._leadership.term
        if term is None:
            return
        now_us = self._clock.now_us()
        by_node: dict[str, list[Outcome]] = {}
        for key, told in due:
            job = self._job_of(told.outcome)
            if job is None:
                # The record shows it: the worker's next report gets its reap.
                self._told.pop(key, None)
                continue
            told.sent_us = now_us
            node = term.owners.get(job.spec.team)
            if node is not None:
                by_node.setdefault(node, []).append(told.outcome)
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
            # Told again until the records show them.
            log.debug("outcomes to %s: %s", node, error)
