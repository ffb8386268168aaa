"""The failure detector's actor: exchanges heartbeats, asks third controllers, fences the dead."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Coroutine
from typing import Any, Protocol

from msgspec import UNSET, Struct

from mosswalk.actors import SECOND_US, Clock, to_s, to_us
from mosswalk.config import Settings
from mosswalk.config.detection import DetectionTuning
from mosswalk.detection.fence import AuthorityFence
from mosswalk.detection.quorum import Received, Vote, is_cut_off, is_dead, quorum_size, votes
from mosswalk.detection.renewer import LeaseRenewer
from mosswalk.detection.stall import StallMonitor
from mosswalk.detection.suspicion import PeerSuspicion, StateChange
from mosswalk.detection.view import DetectionFigures, DetectionView, MatrixCell, PeerView
from mosswalk.leadership.actor import Leadership
from mosswalk.peers.errors import PeerError, PeerRefusedError
from mosswalk.store.client import RefusedError, UnknownOutcomeError
from mosswalk.store.records import Presence, Verdict
from mosswalk.wire.peers import Heartbeat, LinkRow, PeerStatus, ProbeAnswer

log = logging.getLogger(__name__)

_MS_US = 1000
# A tick later than this part of the floor is a stall of our own.
_STALL_PART = 0.5
# One that was heard within this part of a period need not be sent a heartbeat; but it is asked at
# least once in so many periods.
_EXCHANGE_PART = 0.75
_ASK_PERIODS = 2.5
_WHY = {
    "alive": "heard",
    "silent": "not heard here, nor by those who were asked",
    "unheard": "not heard here, but by others",
    "unhearing": "heard, but does not hear us",
}


class DetectionLink(Protocol):
    """How other controllers are spoken to."""

    async def exchange(self, node: str, heartbeat: Heartbeat) -> PeerStatus:
        """Exchange heartbeats with another controller."""

    async def probe(self, node: str, subject: str) -> ProbeAnswer:
        """Have a controller try to reach a third one."""


class LeaseEnder(Protocol):
    """How a lease is ended in the state service."""

    async def end_lease(self, lease: int) -> None:
        """End a lease at once; it does not matter if it has ended already."""


class _GivenVerdict(Struct, frozen=True):
    """A verdict that was given here, and how long after the last sign of life."""

    verdict: Verdict
    after_us: int


class Detector:
    """Owns what this controller holds of the others."""

    def __init__(
        self,
        settings: Settings,
        tuning: DetectionTuning,
        leadership: Leadership,
        fence: AuthorityFence,
        peers: DetectionLink,
        client: LeaseEnder,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._tuning = tuning
        self._leadership = leadership
        self.fence = fence
        self._peers = peers
        self._client = client
        self._clock = clock
        self._rng = rng
        self._node = settings.host_name
        now_us = clock.now_us()
        self._suspicions = {
            peer.host_name: PeerSuspicion(peer.host_name, tuning, now_us) for peer in settings.known
        }
        self._received: dict[str, Received] = {}
        self._controllers = len(self._suspicions) + 1
        limit_us = to_us(_STALL_PART * tuning.floor_s)
        self._stall = StallMonitor(now_us, clock.wall_us(), limit_us)
        # A word older than this is no vote.
        self._oldest_us = to_us(tuning.ceiling_s)
        self._cut_off: frozenset[str] = frozenset()
        self._given: dict[str, _GivenVerdict] = {}
        self._verdict_count = 0
        self._known_runs: dict[str, str] = {}
        self._exchanging: set[str] = set()
        self._probing: set[str] = set()
        self._fencing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.renewer: LeaseRenewer | None = None

    # What others ask.

    def in_force(self) -> bool:
        """Whether the term says that all controllers took part."""
        term = self._leadership.term
        return term is not None and term.detects

    def suspected(self) -> frozenset[str]:
        """Those that get nothing new; who is gone has nothing, and keeps nobody waiting."""
        if not self.in_force():
            return frozenset()
        here = self._here()
        return frozenset(n for n, p in self._suspicions.items() if p.suspected and n in here)

    def verdict(self, node: str, run: str) -> Verdict:
        """Why a controller's teams, or the lead, are given to others."""
        given = self._given.get(node)
        if given is not None and given.verdict.run == run:
            return given.verdict
        present = self._leadership.present.get(node)
        if present is not None and present.run == run:
            return Verdict(node, run, "cut_off")
        # Another observer may have ended its lease a moment before we would have.
        peer = self._suspicions.get(node)
        agreed = self._votes(peer) if peer is not None and peer.run == run else ()
        if len(agreed) >= quorum_size(self._controllers):
            return Verdict(node, run, "quorum", tuple(vote.observer for vote in agreed))
        return Verdict(node, run, "lease")

    def _votes(self, peer: PeerSuspicion) -> tuple[Vote, ...]:
        now_us = self._clock.now_us()
        return votes(peer, self._node, self._received, now_us, self._oldest_us)

    def arrived(self, heartbeat: Heartbeat) -> Heartbeat | None:
        """A heartbeat has come; ours for the answer, or None to a stranger."""
        if heartbeat.node not in self._suspicions:
            return None
        self._take(heartbeat)
        return self._heartbeat()

    async def probe(self, subject: str) -> ProbeAnswer:
        """Try to reach a controller for another one."""
        if subject not in self._suspicions:
            return ProbeAnswer(False)
        return ProbeAnswer(await self._exchange(subject))

    # Heartbeats.

    def _heartbeat(self) -> Heartbeat:
        now_us = self._clock.now_us()
        rows = tuple(
            LinkRow(
                peer.node, peer.run, peer.state, (now_us - peer.heard_us) // _MS_US, peer.refused
            )
            for peer in self._suspicions.values()
        )
        stalled = now_us - self._stall.listening_us < self._oldest_us and self._stall.stalls > 0
        return Heartbeat(self._node, self._leadership.run_id, stalled, rows)

    def _take(self, heartbeat: Heartbeat) -> None:
        """A heartbeat has arrived, as a request or as an answer."""
        now_us = self._clock.now_us()
        self._note_stall()
        peer = self._suspicions[heartbeat.node]
        peer.heard(heartbeat.run, now_us, self._stall.listening_us)
        received = Received(heartbeat, now_us)
        self._received[heartbeat.node] = received
        ours = received.row(self._node)
        if ours is not None and not heartbeat.stalled:
            misses = ours.run == self._leadership.run_id and ours.state in ("silent", "unheard")
            peer.said_of_us(misses, now_us)
        for row in heartbeat.rows:
            other = self._suspicions.get(row.node)
            if other is not None and row.run == other.run:
                heard_us = now_us - row.heard_ms * _MS_US
                other.heard_elsewhere_us = max(other.heard_elsewhere_us or heard_us, heard_us)

    async def _exchange(self, node: str) -> bool:
        """Exchange heartbeats with a controller; whether it answered."""
        peer = self._suspicions[node]
        asked_us = self._clock.now_us()
        try:
            status = await self._peers.exchange(node, self._heartbeat())
        except PeerError as error:
            peer.unanswered(asked_us, refused=isinstance(error, PeerRefusedError))
            return False
        peer.answered(self._clock.now_us())
        if status.heartbeat is not UNSET and status.heartbeat.node == node:
            self._take(status.heartbeat)
        elif not self._takes_part(node):
            # It runs without detection: that it answers is all that there is to hear.
            peer.heard(peer.run, self._clock.now_us(), self._stall.listening_us)
        return True

    async def _exchange_once(self, node: str) -> None:
        try:
            await self._exchange(node)
        finally:
            self._exchanging.discard(node)

    async def _probe_others(self, peer: PeerSuspicion) -> None:
        """Ask third controllers before anything is concluded from a silence."""
        try:
            await self._probe_through_others(peer)
        finally:
            self._probing.discard(peer.node)

    async def _probe_through_others(self, peer: PeerSuspicion) -> None:
        others = [
            n for n, other in self._suspicions.items() if n != peer.node and n in self._here()
        ]
        asked = self._rng.sample(others, min(self._tuning.probes, len(others)))
        answers = await asyncio.gather(*(self._probe_one(node, peer.node) for node in asked))
        if any(answers):
            peer.heard_elsewhere_us = self._clock.now_us()
        peer.probed = True
        self._observe(peer)

    async def _probe_one(self, node: str, subject: str) -> bool:
        try:
            return (await self._peers.probe(node, subject)).reached
        except PeerError:
            return False

    def _here(self) -> dict[str, Presence]:
        return self._leadership.present

    def _takes_part(self, node: str) -> bool:
        present = self._here().get(node)
        return present is None or present.lease is not UNSET

    # Each tick.

    async def run(self) -> None:
        """Tick for ever."""
        while True:
            await asyncio.sleep(self._tuning.heartbeat_s * self._rng.uniform(0.9, 1.0))
            self._note_stall()
            self._stall.tick(self._clock.now_us(), self._clock.wall_us())
            self.tick()

    def _note_stall(self) -> None:
        """What is queued while we stand still may run before the tick that would tell."""
        now_us = self._clock.now_us()
        expected_us = to_us(self._tuning.heartbeat_s)
        stall_us = self._stall.look(now_us, self._clock.wall_us(), expected_us)
        if stall_us:
            log.info("stood still for %.1f s: listening anew", stall_us / SECOND_US)

    def tick(self) -> None:
        """Send heartbeats and decide anew."""
        now_us, listening_us = self._clock.now_us(), self._stall.listening_us
        self._note_presences(now_us, listening_us)
        for node, peer in self._suspicions.items():
            if self._exchange_due(peer, now_us):
                self._start_exchange(node)
            if peer.needs_probe(now_us, listening_us) and node not in self._probing:
                self._probing.add(node)
                self._spawn(self._probe_others(peer))
            self._observe(peer)
        if self.in_force() and self.fence.may_act():
            self._judge(now_us, listening_us)

    def _exchange_due(self, peer: PeerSuspicion, now_us: int) -> bool:
        """Whether to send a heartbeat: one exchange a pair and period tells both of each other.

        Now and then each has to ask itself, to know that its own requests arrive.
        """
        if peer.suspected or peer.state != "alive":
            return True
        heartbeat_us = to_us(self._tuning.heartbeat_s)
        unheard = now_us - peer.heard_us > _EXCHANGE_PART * heartbeat_us
        return unheard or now_us - peer.answered_us > _ASK_PERIODS * heartbeat_us

    def _start_exchange(self, node: str) -> None:
        if node not in self._exchanging:
            self._exchanging.add(node)
            self._spawn(self._exchange_once(node))

    def _observe(self, peer: PeerSuspicion) -> None:
        change = peer.observe(self._clock.now_us(), self._stall.listening_us)
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
                peer.heard(present.run, now_us, listening_us)

    def _log_change(self, change: StateChange) -> None:
        log.info(
            "%s: %s -> %s (silent for %.2f s, patience %.2f s): %s",
            change.node,
            change.before,
            change.after,
            change.silence_us / SECOND_US,
            change.patience_us / SECOND_US,
            _WHY[change.after],
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

    def _judge_one(self, peer: PeerSuspicion, now_us: int, listening_us: int) -> None:
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

    async def _fence_off(self, peer: PeerSuspicion, verdict: Verdict, lease: int) -> None:
        """End a lease; where the state service does not do so, no verdict is given."""
        try:
            await self._client.end_lease(lease)
        except (RefusedError, UnknownOutcomeError) as error:
            log.info("%s: no verdict, its lease could not be ended: %s", peer.node, error)
            return
        finally:
            self._fencing.discard(peer.node)
        after_us = self._clock.now_us() - peer.heard_us
        peer.judged = True
        self._given[peer.node] = _GivenVerdict(verdict, after_us)
        self._verdict_count += 1
        log.info(
            "%s: dead, %s agree, last heard %.2f s ago; its lease %d has been ended",
            peer.node,
            ", ".join(verdict.observers),
            after_us / SECOND_US,
            lease,
        )

    # What operators see.

    def figures(self) -> DetectionFigures:
        """Counts for the metrics."""
        now_us, listening_us = self._clock.now_us(), self._stall.listening_us
        peers = self._suspicions.values()
        given = list(self._given.values())
        return DetectionFigures(
            sum(peer.suspicions for peer in peers),
            sum(peer.false_suspicions for peer in peers),
            self._verdict_count,
            to_s(given[-1].after_us) if given else 0.0,
            self._stall.stalls,
            self.fence.freezes,
            self.renewer.renewals if self.renewer is not None else 0,
            {peer.node: peer.level(now_us, listening_us) for peer in peers},
        )

    def _state(self, peer: PeerSuspicion) -> str:
        term = self._leadership.term
        runs = term.runs if term is not None else {}
        return "dead" if peer.node not in self._here() and peer.node not in runs else peer.state

    def _peer_view(self, peer: PeerSuspicion, now_us: int) -> PeerView:
        return PeerView(
            peer.node,
            peer.run,
            self._state(peer),
            peer.suspected,
            to_s(now_us - peer.state_since_us),
            _WHY[peer.state],
            to_s(now_us - peer.heard_us),
            to_s(peer.patience.patience_us()),
            peer.level(now_us, self._stall.listening_us),
            peer.suspicions,
            peer.false_suspicions,
        )

    def view(self) -> DetectionView:
        """Who reaches whom, as far as is known here."""
        now_us = self._clock.now_us()
        own = Received(self._heartbeat(), now_us)
        cells = tuple(
            MatrixCell(
                observer,
                row.node,
                row.state,
                row.heard_ms / 1000,
                to_s(now_us - last.arrived_us),
            )
            for observer, last in sorted({**self._received, self._node: own}.items())
            for row in last.heartbeat.rows
        )
        term = self._leadership.term
        return DetectionView(
            self._node,
            self._leadership.leader(),
            self._leadership.epoch(),
            self.in_force(),
            self._stall.stalls,
            self.fence.freezes,
            tuple(self._peer_view(peer, now_us) for peer in self._suspicions.values()),
            cells,
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
