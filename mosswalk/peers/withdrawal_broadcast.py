"""Tells the other controllers of withdrawals at once.

The leader learns of them by its watch too, but not while the state service refuses it alone, and
in an outage that follows not for as long as that lasts. Nothing rests on this: whoever is not
reached stops renewing leases in time all the same. But the tasks end seconds after the withdrawal,
and so do those on a machine that hangs when its lease should end.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from mosswalk.actors import Clock
from mosswalk.wire.peers import Withdrawal, Withdrawals

log = logging.getLogger(__name__)

_PAUSE_S = 0.5
# A record takes up to value_kb, and a message may have 4 MiB.
_MOST_IN_MESSAGE = 32


class WithdrawalClient(Protocol):
    """How the others are told."""

    async def withdrawn(self, node: str, message: Withdrawals) -> None:
        """Tell of withdrawals; an error if that is not acknowledged."""


class WithdrawalBroadcast:
    """What each of the others has not acknowledged yet."""

    def __init__(
        self,
        others: Iterable[str],
        peers: WithdrawalClient,
        keep_us: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        # After this long it is of no use to anybody. That bounds what waits, too: each withdrawal
        # has taken a write of the state service.
        self._keep_us = keep_us
        self._clock = clock
        self._rng = rng
        self._waiting: dict[str, OrderedDict[str, tuple[int, Withdrawal]]] = {
            node: OrderedDict() for node in others
        }
        self._wake = {node: asyncio.Event() for node in self._waiting}

    def enqueue(self, withdrawal: Withdrawal) -> None:
        """Tell all others soon."""
        now_us = self._clock.now_us()
        for node, waiting in self._waiting.items():
            waiting[withdrawal.job] = (now_us + self._keep_us, withdrawal)
            self._wake[node].set()

    async def run(self) -> None:
        """Tell for ever; one that does not answer keeps nobody else waiting."""
        async with asyncio.TaskGroup() as group:
            for node in self._waiting:
                group.create_task(self._run(node))

    async def _run(self, node: str) -> None:
        while True:
            await self._wake[node].wait()
            self._wake[node].clear()
            while batch := self._due(node):
                try:
                    await self._peers.withdrawn(node, Withdrawals(batch))
                except Exception as error:
                    log.debug("withdrawals to %s: %s", node, error)
                    await asyncio.sleep(_PAUSE_S * self._rng.uniform(0.7, 1.3))
                    continue
                for withdrawal in batch:
                    self._waiting[node].pop(withdrawal.job, None)

    def _due(self, node: str) -> tuple[Withdrawal, ...]:
        now_us = self._clock.now_us()
        waiting = self._waiting[node]
        for job_id in [j for j, (until_us, _) in waiting.items() if until_us < now_us]:
            del waiting[job_id]
        # The newest first: the oldest are the likeliest to be known by now.
        return tuple(w for _, w in list(waiting.values())[-_MOST_IN_MESSAGE:])
