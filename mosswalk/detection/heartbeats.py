"""Exchanges heartbeats between controllers; each one reports the state of its sender's links."""

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

_US_PER_MS = 1000


class DetectionClient(Protocol):
    """Sends requests to other controllers."""

    async def exchange(self, node: str, heartbeat: Heartbeat) -> PeerStatus:
        """Exchange heartbeats with another controller."""

    async def probe(self, node: str, subject: str) -> ProbeAnswer:
        """Ask a controller to try to reach a third one."""


class HeartbeatExchange:
    """Sends and receives heartbeats, and keeps the latest one of each other controller."""

    def __init__(
        self,
        tuning: DetectionTuning,
        leadership: Leadership,
        monitors: Mapping[str, PeerMonitor],
        stall_monitor: StallMonitor,
        peers: DetectionClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._tuning = tuning
        self._leadership = leadership
        self._monitors = monitors
        self._stall_monitor = stall_monitor
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self.received: dict[str, ReceivedHeartbeat] = {}

    def own_heartbeat(self) -> Heartbeat:
        """The heartbeat that this controller sends now."""
        now_us = self._clock.now_us()
        rows = tuple(
            LinkRow(
                peer.node,
                peer.run,
                peer.state,
                (now_us - peer.last_heard_at_us) // _US_PER_MS,
                peer.refused,
            )
            for peer in self._monitors.values()
        )
        since_stall_us = now_us - self._stall_monitor.listening_since_us
        stalled = self._stall_monitor.stalls > 0 and since_stall_us < to_us(self._tuning.ceiling_s)
        return Heartbeat(self._leadership.node, self._leadership.run_id, stalled, rows)

    def check_for_stall(self) -> None:
        """Check whether this process has stalled.

        A check at each tick is not enough: work that was queued during a stall may run before the
        next tick.
        """
        now_us = self._clock.now_us()
        interval_us = to_us(self._tuning.heartbeat_s)
        stall_us = self._stall_monitor.check(now_us, self._clock.wall_us(), interval_us)
        if stall_us:
            log.info(
                "this process stalled for %.1f s; silence of other controllers counts from now on",
                stall_us / SECOND_US,
            )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat that arrived as a request or in an answer."""
        now_us = self._clock.now_us()
        self.check_for_stall()
        peer = self._monitors[heartbeat.node]
        peer.record_contact(heartbeat.run, now_us, self._stall_monitor.listening_since_us)
        received = ReceivedHeartbeat(heartbeat, now_us)
        self.received[heartbeat.node] = received
        own_row = received.row_for(self._leadership.node)
        if own_row is not None and not heartbeat.stalled:
            not_receiving = own_row.run == self._leadership.run_id and own_row.state in (
                "silent",
                "unheard",
            )
            peer.record_not_receiving(not_receiving, now_us)
        for row in heartbeat.rows:
            other = self._monitors.get(row.node)
            if other is not None and row.run == other.run:
                heard_at_us = now_us - row.heard_ms * _US_PER_MS
                other.heard_by_others_at_us = max(
                    other.heard_by_others_at_us or heard_at_us, heard_at_us
                )

    async def exchange(self, node: str) -> bool:
        """Exchange heartbeats with a controller; returns whether it answered."""
        peer = self._monitors[node]
        sent_at_us = self._clock.now_us()
        try:
            status = await self._peers.exchange(node, self.own_heartbeat())
        except PeerError as error:
            peer.record_failed_request(sent_at_us, refused=isinstance(error, PeerRefusedError))
            return False
        peer.record_answer(self._clock.now_us())
        if status.heartbeat is not UNSET and status.heartbeat.node == node:
            # If another controller answers at the address of ``node``, that is no contact with it.
            self.handle_heartbeat(status.heartbeat)
        elif not self._supports_detection(node):
            # It runs without failure detection: its answer is the only contact there is.
            peer.record_contact(
                peer.run, self._clock.now_us(), self._stall_monitor.listening_since_us
            )
        return True

    def _supports_detection(self, node: str) -> bool:
        present = self._leadership.present.get(node)
        return present is None or present.lease is not UNSET

    async def probe_through_others(self, peer: PeerMonitor) -> None:
        """Ask up to ``probes`` present controllers to try to reach one that is silent."""
        present = self._leadership.present
        candidates = [node for node in self._monitors if node != peer.node and node in present]
        selected = self._rng.sample(candidates, min(self._tuning.probes, len(candidates)))
        answers = await asyncio.gather(*(self._probe_via(node, peer.node) for node in selected))
        if any(answers):
            peer.heard_by_others_at_us = self._clock.now_us()
        peer.probed = True

    async def _probe_via(self, node: str, subject: str) -> bool:
        """Ask ``node`` whether it reaches ``subject``; False also if ``node`` does not answer."""
        try:
            return (await self._peers.probe(node, subject)).reached
        except PeerError:
            return False
