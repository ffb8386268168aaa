"""The failure detector's actor: decides each tick who is suspected, and fences the dead."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Coroutine
from typing import Any, Protocol

from msgspec import UNSET

from mosswalk.actors import SECOND_US, Clock, to_s, to_us
from mosswalk.config import Settings
from mosswalk.config.detection import DetectionTuning
from mosswalk.detection.fence import AuthorityFence
from mosswalk.detection.heartbeats import DetectionClient, HeartbeatExchange
from mosswalk.detection.quorum import (
    ReceivedHeartbeat,
    Vote,
    collect_votes,
    is_cut_off,
    is_dead,
    quorum_size,
)
from mosswalk.detection.renewer import LeaseRenewer
from mosswalk.detection.stall import StallMonitor
from mosswalk.detection.suspicion import PeerMonitor, StateChange
from mosswalk.detection.view import DetectionMetrics, DetectionView
from mosswalk.detection.view_builder import STATE_DESCRIPTIONS, build_matrix, build_peer_view
from mosswalk.leadership.actor import Leadership
from mosswalk.store.client import RefusedError, UnknownOutcomeError
from mosswalk.store.records import Presence, Verdict
from mosswalk.wire.peers import Heartbeat, ProbeAnswer

log = logging.getLogger(__name__)

# A tick later than this part of the floor is a stall of our own.
_STALL_PART = 0.5
# One that was heard within this part of a period need not be sent a heartbeat; but it is asked at
# least once in so many periods.
_EXCHANGE_PART = 0.75
_ASK_PERIODS = 2.5


class LeaseEnder(Protocol):
    """How a lease is ended in the state service."""

    async def end_lease(self, lease: int) -> None:
        """End a lease at once; it does not matter if it has ended already."""


class Detector:
    """Owns what this controller holds of the others."""

    def __init__(
        self,
        settings: Settings,
        tuning: DetectionTuning,
        leadership: Leadership,
        fence: AuthorityFence,
        peers: DetectionClient,
        client: LeaseEnder,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._tuning = tuning
        self._leadership = leadership
        self.fence = fence
        self._client = client
        self._clock = clock
        self._rng = rng
        self._node = settings.host_name
        now_us = clock.now_us()
        self._suspicions = {
            peer.host_name: PeerMonitor(peer.host_name, tuning, now_us) for peer in settings.known
        }
        self._controllers = len(self._suspicions) + 1
        limit_us = to_us(_STALL_PART * tuning.floor_s)
        self._stall = StallMonitor(now_us, clock.wall_us(), limit_us)
        self._heartbeats = HeartbeatExchange(
            tuning, leadership, self._suspicions, self._stall, peers, clock, rng
        )
        # A word older than this is no vote.
        self._oldest_us = to_us(tuning.ceiling_s)
        self._cut_off: frozenset[str] = frozenset()
        # The last verdict given here on each controller.
        self._given: dict[str, Verdict] = {}
        self._verdict_count = 0
        # From the last sign of life to the last verdict given here.
        self._time_to_verdict_us = 0
        self._known_runs: dict[str, str] = {}
        self._exchanging: set[str] = set()
        self._probing: set[str] = set()
        self._fencing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.renewer: LeaseRenewer | None = None

    # What others ask.

    def is_active(self) -> bool:
        """Whether the term says that all controllers took part."""
        term = self._leadership.term
        return term is not None and term.detects

    def suspected(self) -> frozenset[str]:
        """Those that get nothing new; who is gone has nothing, and keeps nobody waiting."""
        if not self.is_active():
            return frozenset()
        here = self._here()
        return frozenset(n for n, p in self._suspicions.items() if p.suspected and n in here)

    def verdict(self, node: str, run: str) -> Verdict:
        """Why a controller's teams, or the lead, are given to others."""
        given = self._given.get(node)
        if given is not None and given.run == run:
            return given
        present = self._here().get(node)
        if present is not None and present.run == run:
            return Verdict(node, run, "cut_off")
        # Another observer may have ended its lease a moment before we would have.
        peer = self._suspicions.get(node)
        agreed = self._votes(peer) if peer is not None and peer.run == run else ()
        if len(agreed) >= quorum_size(self._controllers):
            return Verdict(node, run, "quorum", tuple(vote.observer for vote in agreed))
        return Verdict(node, run, "lease")

    def _votes(self, peer: PeerMonitor) -> tuple[Vote, ...]:
        now_us = self._clock.now_us()
        return collect_votes(peer, self._node, self._heartbeats.received, now_us, self._oldest_us)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat | None:
        """A heartbeat has come; ours for the answer, or None to a stranger."""
        if heartbeat.node not in self._suspicions:
            return None
        self._heartbeats.handle_heartbeat(heartbeat)
        return self._heartbeats.own_heartbeat()

    async def probe(self, subject: str) -> ProbeAnswer:
        """Try to reach a controller for another one."""
        if subject not in self._suspicions:
            return ProbeAnswer(False)
        return ProbeAnswer(await self._heartbeats.exchange(subject))

    # Each tick.

    async def run(self) -> None:
        """Tick for ever."""
        while True:
            await asyncio.sleep(self._tuning.heartbeat_s * self._rng.uniform(0.9, 1.0))
            self._heartbeats.check_for_stall()
            self._stall.record_tick(self._clock.now_us(), self._clock.wall_us())
            self.tick()

    def tick(self) -> None:
        """Send heartbeats and decide anew."""
        now_us, listening_us = self._clock.now_us(), self._stall.listening_since_us
        self._note_presences(now_us, listening_us)
        for node, peer in self._suspicions.items():
            if self._exchange_due(peer, now_us):
                self._start_exchange(node)
            if peer.needs_probe(now_us, listening_us) and node not in self._probing:
                self._probing.add(node)
                self._spawn(self._probe_others(peer))
            self._observe(peer)
        if self.is_active() and self.fence.may_act():
            self._judge(now_us, listening_us)

    def _exchange_due(self, peer: PeerMonitor, now_us: int) -> bool:
        """Whether to send a heartbeat: one exchange a pair and period tells both of each other.

        Now and then each has to ask itself, to know that its own requests arrive.
        """
        if peer.suspected or peer.state != "alive":
            return True
        heartbeat_us = to_us(self._tuning.heartbeat_s)
        unheard = now_us - peer.last_heard_at_us > _EXCHANGE_PART * heartbeat_us
        return unheard or now_us - peer.last_answered_at_us > _ASK_PERIODS * heartbeat_us

    def _start_exchange(self, node: str) -> None:
        if node not in self._exchanging:
            self._exchanging.add(node)
            self._spawn(self._exchange_once(node))

    async def _exchange_once(self, node: str) -> None:
        try:
            await self._heartbeats.exchange(node)
        finally:
            self._exchanging.discard(node)

    async def _probe_others(self, peer: PeerMonitor) -> None:
        """Ask third controllers before anything is concluded from a silence."""
        try:
            await self._heartbeats.probe_through_others(peer)
        finally:
            self._probing.discard(peer.node)
        self._observe(peer)

    def _here(self) -> dict[str, Presence]:
        return self._leadership.present

    def _observe(self, peer: PeerMonitor) -> None:
        change = peer.update_state(self._clock.now_us(), self._stall.listening_since_us)
        if change is None:
            return
        self._log_change(change)
        # The others' verdicts wait for our word.
        for node in self._suspicions:
            self._start_exchange(node)

    def _note_presences(self, now_us: int, listening_us: int) -> None:
        """A presence that is new in the state service is a sign of life."""
        for node, peer in self._suspicions.items():
            present = self._here().get(node)
            if present is not None and present.run != self._known_runs.get(node):
                self._known_runs[node] = present.run
                peer.record_contact(present.run, now_us, listening_us)

    def _log_change(self, change: StateChange) -> None:
        log.info(
            "%s: %s -> %s (silent for %.2f s, patience %.2f s): %s",
            change.node,
            change.before,
            change.after,
            change.silence_us / SECOND_US,
            change.timeout_us / SECOND_US,
            STATE_DESCRIPTIONS[change.after],
        )

    # Verdicts.

    def _judge(self, now_us: int, listening_us: int) -> None:
        leads = self._leadership.leads()
        leader = self._leadership.leader()
        cut_off = set()
        for node, peer in self._suspicions.items():
            was_cut_off = node in self._cut_off
            if leads and is_cut_off(peer, was_cut_off, now_us, listening_us, self._tuning):
                cut_off.add(node)
            if leads or node == leader:
                self._judge_one(peer, now_us, listening_us)
        self._cut_off = frozenset(cut_off)
        if leads:
            self._leadership.note_unreachable(self._cut_off & self._here().keys())

    def _judge_one(self, peer: PeerMonitor, now_us: int, listening_us: int) -> None:
        present = self._here().get(peer.node)
        if present is None or present.run != peer.run or present.lease is UNSET:
            return
        agreed = self._votes(peer)
        if peer.node in self._fencing or not is_dead(
            peer, agreed, self._controllers, now_us, listening_us, self._tuning
        ):
            return
        observers = tuple(vote.observer for vote in agreed)
        verdict = Verdict(peer.node, peer.run, "quorum", observers)
        self._fencing.add(peer.node)
        self._spawn(self._fence_off(peer, verdict, present.lease))

    async def _fence_off(self, peer: PeerMonitor, verdict: Verdict, lease: int) -> None:
        """End a lease; where the state service does not do so, no verdict is given."""
        try:
            await self._client.end_lease(lease)
        except (RefusedError, UnknownOutcomeError) as error:
            log.info("%s: no verdict, its lease could not be ended: %s", peer.node, error)
            return
        finally:
            self._fencing.discard(peer.node)
        after_us = self._clock.now_us() - peer.last_heard_at_us
        peer.verdict_given = True
        self._given[peer.node] = verdict
        self._time_to_verdict_us = after_us
        self._verdict_count += 1
        log.info(
            "%s: dead, %s agree, last heard %.2f s ago; its lease %d has been ended",
            peer.node,
            ", ".join(verdict.observers),
            after_us / SECOND_US,
            lease,
        )

    # What operators see.

    def metrics(self) -> DetectionMetrics:
        """Counts for the metrics."""
        now_us, listening_us = self._clock.now_us(), self._stall.listening_since_us
        peers = self._suspicions.values()
        return DetectionMetrics(
            sum(peer.suspicions for peer in peers),
            sum(peer.false_suspicions for peer in peers),
            self._verdict_count,
            to_s(self._time_to_verdict_us),
            self._stall.stalls,
            self.fence.freezes,
            self.renewer.renewals if self.renewer is not None else 0,
            {peer.node: peer.suspicion_level(now_us, listening_us) for peer in peers},
        )

    def _is_dead(self, peer: PeerMonitor) -> bool:
        """Whether it is gone from the state service and the term has been made without it."""
        term = self._leadership.term
        runs = term.runs if term is not None else {}
        return peer.node not in self._here() and peer.node not in runs

    def view(self) -> DetectionView:
        """Who reaches whom, as far as is known here."""
        now_us = self._clock.now_us()
        own = ReceivedHeartbeat(self._heartbeats.own_heartbeat(), now_us)
        term = self._leadership.term
        return DetectionView(
            self._node,
            self._leadership.leader(),
            self._leadership.term_number(),
            self.is_active(),
            self._stall.stalls,
            self.fence.freezes,
            tuple(
                build_peer_view(
                    peer, now_us, self._stall.listening_since_us, dead=self._is_dead(peer)
                )
                for peer in self._suspicions.values()
            ),
            build_matrix({**self._heartbeats.received, self._node: own}, now_us),
            term.verdicts if term is not None else (),
        )

    # Background work.

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("failure detection: background work failed", exc_info=task.exception())
