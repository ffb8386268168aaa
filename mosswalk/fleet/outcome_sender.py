"""Tells the team owners what became of attempts, until the records show it."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from mosswalk.actors import Clock
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import split_task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.placement.owner import Owner
from mosswalk.wire.peers import Outcome, Outcomes

log = logging.getLogger(__name__)

_RESEND_US = 700_000


class OutcomeLink(Protocol):
    """How owners elsewhere are told."""

    def outcomes(self, node: str, message: Outcomes) -> Awaitable[None]:
        """Tell outcomes."""


@dataclass(slots=True)
class _Told:
    outcome: Outcome
    sent_us: int = 0


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

    def reset(self) -> None:
        """Forget all: another controller leads."""
        self._told.clear()

    def reported(self, outcome: Outcome) -> None:
        """A worker has reported it; one told already is sent again in its time only."""
        key = (outcome.task, outcome.attempt)
        self._told.setdefault(key, _Told(outcome)).outcome = outcome

    def proven(self, outcome: Outcome) -> None:
        """The cloud has confirmed it: whatever was told before, this is sent at once."""
        self._told[(outcome.task, outcome.attempt)] = _Told(outcome)

    def send_due(self) -> None:
        """Send what is due."""
        term = self._leadership.term
        if term is None:
            return
        now_us = self._clock.now_us()
        by_node: dict[str, list[Outcome]] = {}
        for key, told in list(self._told.items()):
            split = split_task_name(told.outcome.task)
            job = self._registry.jobs.get(split[0]) if split is not None else None
            if split is None or job is None or job.find(split[1], key[1]) is None:
                # The record shows it: the worker's next report gets its reap.
                del self._told[key]
                continue
            if now_us - told.sent_us < _RESEND_US:
                continue
            told.sent_us = now_us
            node = term.owners.get(job.spec.team)
            if node is not None:
                by_node.setdefault(node, []).append(told.outcome)
        for node, outcomes in by_node.items():
            message = Outcomes(term.term, tuple(outcomes))
            if node == self._leadership.node:
                self._owner.outcomes(message)
            else:
                self._spawn(self._send(node, message))

    async def _send(self, node: str, message: Outcomes) -> None:
        try:
            await self._peers.outcomes(node, message)
        except Exception as error:
            # Told again until the records show them.
            log.debug("outcomes to %s: %s", node, error)
