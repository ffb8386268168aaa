"""Decides whether this controller can serve users' requests, by comparison with the others.

On its own, a controller can't distinguish an outage of the state service from being the only one
that the service refuses. In an outage, all controllers should stay in the load balancer's list and
report the outage at once. One that is refused alone should leave the list, since its users would
get 503 while other controllers are served. A controller that is not served therefore asks the
others. A leader asks them even while it is served, to know which of them it can't reach, and
whether workers report to them because they can't reach the leader.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from mosswalk.actors import Clock
from mosswalk.wire.peers import PeerStatus

log = logging.getLogger(__name__)

# A watch without events lasts 2 s and confirms the state as of its beginning. Before the next one
# ends, that is up to 4.2 s ago. With a lower limit, all followers considered themselves refused in
# a minute without changes.
MAX_CONFIRMATION_AGE_US = 5_500_000
_CHECK_INTERVAL_S = 1.0
# A controller counts as unreachable after this many failed requests in a row.
_UNREACHABLE_AFTER_FAILURES = 2


class PeerStatusClient(Protocol):
    """Requests the status of other controllers."""

    async def peer_status(self, node: str) -> PeerStatus:
        """Ask another controller whether it is served, and how many stray workers report to it."""


class Health:
    """Checks whether the state service serves this controller, and asks the others if needed."""

    def __init__(
        self,
        others: Iterable[str],
        peers: PeerStatusClient,
        confirmed_until_us: Callable[[], int],
        clock: Clock,
        leads: Callable[[], bool] = lambda: False,
        on_unreachable: Callable[[frozenset[str]], None] = lambda _: None,
        on_stray_workers: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._others = tuple(others)
        self._peers = peers
        self._confirmed_until_us = confirmed_until_us
        self._clock = clock
        self._leads = leads
        self._on_unreachable = on_unreachable
        self._on_stray_workers = on_stray_workers
        # Controllers that did not answer the latest requests that this one sent while it was not
        # served; None while it is served.
        self.unreachable_peers: frozenset[str] | None = None
        # Consecutive failed requests, by controller.
        self._consecutive_failures: dict[str, int] = dict.fromkeys(self._others, 0)
        # Whether this controller is not served while others are, or may be.
        self.isolated = False
        # A controller that the state service serves while it does not serve this one.
        self.served_peer: str | None = None

    def is_served(self) -> bool:
        """Whether the state service serves this controller."""
        return self._clock.now_us() - self._confirmed_until_us() < MAX_CONFIRMATION_AGE_US

    def cannot_reach_leader(self, leader: str | None) -> bool:
        """Whether this controller can't reach a leader, and can't learn of a new one either.

        That is, the state service serves no controller that could name a new leader, and the leader
        given is None or did not answer. This is the case in a zone that is cut off, and where the
        leader died during an outage of the state service. False while this controller is served,
        and until it has asked the others after that.
        """
        if self.unreachable_peers is None or not self.state_service_unavailable():
            return False
        return leader is None or leader in self.unreachable_peers

    def state_service_unavailable(self) -> bool:
        """Whether the state service serves neither this controller nor any that it can reach."""
        return self.unreachable_peers is not None and self.served_peer is None

    async def _request_status(self, node: str) -> PeerStatus | None:
        try:
            return await self._peers.peer_status(node)
        except Exception as error:
            log.debug("controller %s: status request failed: %s", node, error)
            return None

    async def update(self) -> None:
        """Re-evaluate the health, and ask the other controllers if needed."""
        served = self.is_served()
        if served and self.isolated:
            log.info("the state service serves this controller again")
        if served:
            self.isolated, self.served_peer, self.unreachable_peers = False, None, None
        if not self._others or (served and not self._leads()):
            # Old failures must not exclude a controller when this one leads again.
            self._consecutive_failures = dict.fromkeys(self._others, 0)
            self._on_unreachable(frozenset())
            return
        answers = await asyncio.gather(*(self._request_status(node) for node in self._others))
        for node, answer in zip(self._others, answers, strict=True):
            self._consecutive_failures[node] = (
                self._consecutive_failures[node] + 1 if answer is None else 0
            )
        self._on_unreachable(
            frozenset(
                node
                for node, failures in self._consecutive_failures.items()
                if failures >= _UNREACHABLE_AFTER_FAILURES
            )
        )
        if served:
            self._on_stray_workers(sum(peer.stray_workers for peer in answers if peer is not None))
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
        # If no other controller answers, this one is cut off from all of them, and they may be
        # served.
        isolated = self.served_peer is not None or all(answer is None for answer in answers)
        if isolated and not self.isolated:
            log.info(
                "the state service does not serve this controller, so /healthz answers 'not ready';"
                " a controller that is served: %s",
                self.served_peer or "none known",
            )
        self.isolated = isolated

    async def run(self) -> None:
        """Check periodically; never returns."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            await self.update()
