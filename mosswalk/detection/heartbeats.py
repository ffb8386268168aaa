"""Heartbeats between controllers, and what each of them tells of the links."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Mapping
from typing import Protocol

from msgspec import UNSET

from mosswalk.actors import SECOND_US, Clock, to_us
from mosswalk.config.detection import DetectionTuning
from mosswalk.detection.quorum import ReceivedHeartbeat
from mosswalk.detection.stall import StallMonitor
from mosswalk.detection.suspicion import PeerMonitor
from mosswalk.leadership.actor import Leadership
from mosswalk.peers.errors import PeerError, PeerRefusedError
from mosswalk.wire.peers import Heartbeat, LinkRow, PeerStatus, ProbeAnswer

log = logging.getLogger(__name__)

_MS_US = 1000


class DetectionClient(Protocol):
    """How other controllers are spoken to."""

    async def exchange(self, node: str, heartbeat: Heartbeat) -> PeerStatus:
        """Exchange heartbeats with another controller."""

    async def probe(self, node: str, subject: str) -> ProbeAnswer:
        """Have a controller try to reach a third one."""


class HeartbeatExchange:
    """Sends and takes heartbeats, and keeps the last one of each other controller."""

    def __init__(
        self,
        tuning: DetectionTuning,
        leadership: Leadership,
        suspicions: Mapping[str, PeerMonitor],
        stall: StallMonitor,
        peers: DetectionClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._tuning = tuning
        self._leadership = leadership
        self._suspicions = suspicions
        self._stall = stall
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self.received: dict[str, ReceivedHeartbeat] = {}

    def own_heartbeat(self) -> Heartbeat:
        """This controller's heartbeat."""
        now_us = self._clock.now_us()
        rows = tuple(
            LinkRow(
                peer.node,
                peer.run,
                peer.state,
                (now_us - peer.last_heard_at_us) // _MS_US,
                peer.refused,
            )
            for peer in self._suspicions.values()
        )
        since_stall_us = now_us - self._stall.listening_since_us
        stalled = self._stall.stalls > 0 and since_stall_us < to_us(self._tuning.ceiling_s)
        return Heartbeat(self._leadership.node, self._leadership.run_id, stalled, rows)

    def check_for_stall(self) -> None:
        """What is queued while we stand still may run before the tick that would tell."""
        now_us = self._clock.now_us()
        expected_us = to_us(self._tuning.heartbeat_s)
        stall_us = self._stall.check(now_us, self._clock.wall_us(), expected_us)
        if stall_us:
            log.info("stood still for %.1f s: listening anew", stall_us / SECOND_US)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """A heartbeat has arrived, as a request or as an answer."""
        now_us = self._clock.now_us()
        self.check_for_stall()
        peer = self._suspicions[heartbeat.node]
        peer.record_contact(heartbeat.run, now_us, self._stall.listening_since_us)
        received = ReceivedHeartbeat(heartbeat, now_us)
        self.received[heartbeat.node] = received
        ours = received.row_for(self._leadership.node)
        if ours is not None and not heartbeat.stalled:
            misses = ours.run == self._leadership.run_id and ours.state in ("silent", "unheard")
            peer.record_not_receiving(misses, now_us)
        for row in heartbeat.rows:
            other = self._suspicions.get(row.node)
            if other is not None and row.run == other.run:
                heard_us = now_us - row.heard_ms * _MS_US
                other.heard_by_others_at_us = max(other.heard_by_others_at_us or heard_us, heard_us)

    async def exchange(self, node: str) -> bool:
        """Exchange heartbeats with a controller; whether it answered."""
        peer = self._suspicions[node]
        asked_us = self._clock.now_us()
        try:
            status = await self._peers.exchange(node, self.own_heartbeat())
        except PeerError as error:
            peer.record_failed_request(asked_us, refused=isinstance(error, PeerRefusedError))
            return False
        peer.record_answer(self._clock.now_us())
        if status.heartbeat is not UNSET and status.heartbeat.node == node:
            self.handle_heartbeat(status.heartbeat)
        elif not self._takes_part(node):
            # It runs without detection: that it answers is all that there is to hear.
            peer.record_contact(peer.run, self._clock.now_us(), self._stall.listening_since_us)
        return True

    def _takes_part(self, node: str) -> bool:
        present = self._leadership.present.get(node)
        return present is None or present.lease is not UNSET

    async def probe_through_others(self, peer: PeerMonitor) -> None:
        """Have third controllers that are up try to reach one that is not heard here."""
        here = self._leadership.present
        others = [node for node in self._suspicions if node != peer.node and node in here]
        asked = self._rng.sample(others, min(self._tuning.probes, len(others)))
        answers = await asyncio.gather(*(self._probe_one(node, peer.node) for node in asked))
        if any(answers):
            peer.heard_by_others_at_us = self._clock.now_us()
        peer.probed = True

    async def _probe_one(self, node: str, subject: str) -> bool:
        try:
            return (await self._peers.probe(node, subject)).reached
        except PeerError:
            return False
