"""Sends withdrawals to the other controllers at once.

The leader learns of them through its watch too, but not while the state service refuses only the
leader, nor during an outage that follows the withdrawal. Correctness does not depend on this
broadcast: a leader that is not reached still stops renewing leases in time. With it, the tasks end
seconds after the withdrawal, also those on a machine that hangs when its lease should end.
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

_RETRY_DELAY_S = 0.5
# The retry delay is multiplied by a random factor of at least this.
_MIN_JITTER = 0.7
# The upper bound of that factor.
_MAX_JITTER = 1.3
# A record takes up to the setting ``value_kb``, and a message should stay below 4 MiB.
_MAX_PER_MESSAGE = 32


class WithdrawalClient(Protocol):
    """Sends withdrawals to other controllers."""

    async def withdrawn(self, node: str, message: Withdrawals) -> None:
        """Send withdrawals; raises if they are not acknowledged."""


class WithdrawalBroadcast:
    """Queues withdrawals for each other controller until it has acknowledged them."""

    def __init__(
        self,
        others: Iterable[str],
        peers: WithdrawalClient,
        retention_us: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        # After this time a withdrawal is dropped, since its tasks must have ended. This also
        # bounds the queues, because each withdrawal takes a write, and their rate is limited.
        self._retention_us = retention_us
        self._clock = clock
        self._rng = rng
        # By controller and job: when to drop the withdrawal, and the withdrawal.
        self._pending: dict[str, OrderedDict[str, tuple[int, Withdrawal]]] = {
            node: OrderedDict() for node in others
        }
        self._wake = {node: asyncio.Event() for node in self._pending}

    def enqueue(self, withdrawal: Withdrawal) -> None:
        """Queue a withdrawal for all other controllers."""
        now_us = self._clock.now_us()
        for node, pending in self._pending.items():
            pending[withdrawal.job] = (now_us + self._retention_us, withdrawal)
            self._wake[node].set()

    async def run(self) -> None:
        """Send to each controller in a task of its own; never returns.

        A controller that does not answer does not delay the others.
        """
        async with asyncio.TaskGroup() as group:
            for node in self._pending:
                group.create_task(self._send_to(node))

    async def _send_to(self, node: str) -> None:
        while True:
            await self._wake[node].wait()
            self._wake[node].clear()
            while batch := self._next_batch(node):
                try:
                    await self._peers.withdrawn(node, Withdrawals(batch))
                except Exception as error:
                    log.debug("withdrawals not sent to %s: %s", node, error)
                    await asyncio.sleep(
                        _RETRY_DELAY_S * self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
                    )
                    continue
                for withdrawal in batch:
                    self._pending[node].pop(withdrawal.job, None)

    def _next_batch(self, node: str) -> tuple[Withdrawal, ...]:
        now_us = self._clock.now_us()
        pending = self._pending[node]
        for job_id in [j for j, (expires_at_us, _) in pending.items() if expires_at_us < now_us]:
            del pending[job_id]
        # The newest ones are sent first: the older ones are more likely to be known by now.
        return tuple(w for _, w in list(pending.values())[-_MAX_PER_MESSAGE:])
