"""Whether users' requests can be taken here, or only elsewhere.

A controller can't tell an outage of the state service from being refused alone. In an outage all
should stay in the balancer's list and say so at once; one that is refused alone should leave it,
since its users would be told 503 while others are served. So it asks the others. A leader asks
them too, to know which of them it can't reach, and whether workers turn to them that should come
to it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from mosswalk.actors import Clock
from mosswalk.wire.peers import PeerStatus

log = logging.getLogger(__name__)

# A watch that brings nothing lasts 2 s and confirms what was so when it began: until the next one
# ends, that is up to 4.2 s ago. Seen on a calm minute: all followers took themselves for refused.
MAX_CONFIRMATION_AGE_US = 5_500_000
_ASK_S = 1.0


class PeerStatusClient(Protocol):
    """How others are asked."""

    async def peer_status(self, node: str) -> PeerStatus:
        """What another controller sees of the state service and of the workers."""


class Health:
    """Watches this controller's sight of the state service, and asks others when it is lost."""

    def __init__(
        self,
        others: Iterable[str],
        peers: PeerStatusClient,
        confirmed_us: Callable[[], int],
        clock: Clock,
        leads: Callable[[], bool] = lambda: False,
        on_unreachable: Callable[[frozenset[str]], None] = lambda _: None,
        on_visitors: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._others = tuple(others)
        self._peers = peers
        self._confirmed_us = confirmed_us
        self._clock = clock
        self._leads = leads
        self._on_unreachable = on_unreachable
        self._on_visitors = on_visitors
        # Who did not answer when this controller, not served, last asked; None while it is served.
        self.unreachable_peers: frozenset[str] | None = None
        # Tries in a row that failed, by controller.
        self._failed: dict[str, int] = dict.fromkeys(self._others, 0)
        self.isolated = False
        # A controller that the state service serves while it does not serve this one.
        self.served_peer: str | None = None

    def is_served(self) -> bool:
        """Whether the state service serves this controller."""
        return self._clock.now_us() - self._confirmed_us() < MAX_CONFIRMATION_AGE_US

    def cannot_reach_leader(self, leader: str | None) -> bool:
        """Whether no leader can be reached from here, nor anybody who could name one.

        So it is in a zone that is cut off, or where the leader died in an outage of the state
        service.
        """
        if self.unreachable_peers is None or not self.state_service_unavailable():
            return False
        return leader is None or leader in self.unreachable_peers

    def state_service_unavailable(self) -> bool:
        """Whether the state service serves neither this controller nor any that it can reach."""
        return self.unreachable_peers is not None and self.served_peer is None

    async def _ask(self, node: str) -> PeerStatus | None:
        try:
            return await self._peers.peer_status(node)
        except Exception as error:
            log.debug("controller %s not asked: %s", node, error)
            return None

    async def update(self) -> None:
        """Decide anew."""
        fresh = self.is_served()
        if fresh and self.isolated:
            log.info("served by the state service again")
        if fresh:
            self.isolated, self.served_peer, self.unreachable_peers = False, None, None
        if not self._others or (fresh and not self._leads()):
            # What was seen long ago must not pass anybody over when this controller leads again.
            self._failed = dict.fromkeys(self._others, 0)
            self._on_unreachable(frozenset())
            return
        answers = await asyncio.gather(*(self._ask(node) for node in self._others))
        for node, answer in zip(self._others, answers, strict=True):
            self._failed[node] = self._failed[node] + 1 if answer is None else 0
        self._on_unreachable(frozenset(n for n, times in self._failed.items() if times >= 2))
        if fresh:
            self._on_visitors(sum(peer.stray_workers for peer in answers if peer is not None))
            return
        self.served_peer = next(
            (
                n
                for n, a in zip(self._others, answers, strict=True)
                if a is not None and a.state_is_fresh
            ),
            None,
        )
        self.unreachable_peers = frozenset(
            n for n, a in zip(self._others, answers, strict=True) if a is None
        )
        # With nobody to ask either, this controller is cut off from all: others may serve.
        alone = self.served_peer is not None or all(answer is None for answer in answers)
        if alone and not self.isolated:
            log.info(
                "not served by the state service, others are: %s", self.served_peer or "not known"
            )
        self.isolated = alone

    async def run(self) -> None:
        """Look for ever."""
        while True:
            await asyncio.sleep(_ASK_S)
            await self.update()
