"""The failure detector: decides on each tick who is suspected, and fences dead controllers."""

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

# A tick that is late by more than this fraction of ``floor_s`` is a stall of this process.
_STALL_LIMIT_FRACTION = 0.5
# A heartbeat is sent to a controller if the last contact with it was more than this many heartbeat
# periods ago. The limit is below 1, because a heartbeat that is not sent on this tick has to wait
# for the next one, which is about a period later.
_EXCHANGE_AFTER_PERIODS = 0.75
# A heartbeat is also sent, whatever contacts there were, if the controller last answered a request
# of this one more than this many heartbeat periods ago.
_REQUEST_AFTER_PERIODS = 2.5


class LeaseEnder(Protocol):
    """Ends leases in the state service."""

    async def end_lease(self, lease: int) -> None:
        """End a lease at once; one that has ended already is no error."""


class Detector:
    """Monitors the other controllers and gives verdicts on those that are dead."""

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
        self._monitors = {
            peer.host_name: PeerMonitor(peer.host_name, tuning, now_us) for peer in settings.known
        }
        self._controller_count = len(self._monitors) + 1
        stall_limit_us = to_us(_STALL_LIMIT_FRACTION * tuning.floor_s)
        self._stall_monitor = StallMonitor(now_us, clock.wall_us(), stall_limit_us)
        self._heartbeats = HeartbeatExchange(
            tuning, leadership, self._monitors, self._stall_monitor, peers, clock, rng
        )
        # An older heartbeat of an observer is not counted as a vote.
        self._max_vote_age_us = to_us(tuning.ceiling_s)
        self._cut_off: frozenset[str] = frozenset()
        # The latest verdict that this controller has given on each other one, by name.
        self._verdicts: dict[str, Verdict] = {}
        self._verdict_count = 0
        # Time from the last contact with a controller to the verdict on it, for the latest verdict.
        self._time_to_verdict_us = 0
        # The run of each controller whose new presence was last counted as a contact.
        self._known_runs: dict[str, str] = {}
        # Names of the controllers for which an exchange, a probe or a fencing is in progress.
        self._exchanging: set[str] = set()
        self._probing: set[str] = set()
        self._fencing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.renewer: LeaseRenewer | None = None

    # Queries and requests from other components.

    def is_active(self) -> bool:
        """Whether failure detection is in force, by the current term.

        It is in force from the first term on for which all controllers supported it, permanently.
        """
        term = self._leadership.term
        return term is not None and term.detects

    def suspected(self) -> frozenset[str]:
        """Present controllers that are suspected: they get no new teams and no offers.

        Absent ones are left out, since they own nothing that could be withheld or waited for.
        """
        if not self.is_active():
            return frozenset()
        present = self._present()
        return frozenset(n for n, p in self._monitors.items() if p.suspected and n in present)

    def verdict(self, node: str, run: str) -> Verdict:
        """The reason why a run of a controller loses its teams or the leadership."""
        recorded = self._verdicts.get(node)
        if recorded is not None and recorded.run == run:
            return recorded
        present = self._present().get(node)
        if present is not None and present.run == run:
            return Verdict(node, run, "cut_off")
        # Another observer may have ended its lease shortly before this one would have.
        peer = self._monitors.get(node)
        votes = self._current_votes(peer) if peer is not None and peer.run == run else ()
        if len(votes) >= quorum_size(self._controller_count):
            return Verdict(node, run, "quorum", tuple(vote.observer for vote in votes))
        return Verdict(node, run, "lease")

    def _current_votes(self, peer: PeerMonitor) -> tuple[Vote, ...]:
        now_us = self._clock.now_us()
        return collect_votes(
            peer, self._node, self._heartbeats.received, now_us, self._max_vote_age_us
        )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat | None:
        """Process a heartbeat; returns the answering one, or None for an unknown controller."""
        if heartbeat.node not in self._monitors:
            return None
        self._heartbeats.handle_heartbeat(heartbeat)
        return self._heartbeats.own_heartbeat()

    async def probe(self, subject: str) -> ProbeAnswer:
        """Try to reach a controller on behalf of another one."""
        if subject not in self._monitors:
            return ProbeAnswer(False)
        return ProbeAnswer(await self._heartbeats.exchange(subject))

    # Periodic work.

    async def run(self) -> None:
        """Tick about once in each heartbeat period; never returns."""
        while True:
            await asyncio.sleep(self._tuning.heartbeat_s * self._rng.uniform(0.9, 1.0))
            self._heartbeats.check_for_stall()
            self._stall_monitor.record_tick(self._clock.now_us(), self._clock.wall_us())
            self.tick()

    def tick(self) -> None:
        """Send heartbeats and probes, and re-evaluate states and verdicts."""
        now_us, listening_since_us = self._clock.now_us(), self._stall_monitor.listening_since_us
        self._record_new_presences(now_us, listening_since_us)
        for node, peer in self._monitors.items():
            if self._exchange_due(peer, now_us):
                self._start_exchange(node)
            if peer.needs_probe(now_us, listening_since_us) and node not in self._probing:
                self._probing.add(node)
                self._spawn(self._probe_through_others(peer))
            self._update_peer(peer)
        if self.is_active() and self.fence.may_act():
            self._evaluate_peers(now_us, listening_since_us)

    def _exchange_due(self, peer: PeerMonitor, now_us: int) -> bool:
        """Whether to send a heartbeat to a controller now.

        One exchange in each period informs both sides. Each side still has to send a request from
        time to time, to know that its own requests arrive.
        """
        if peer.suspected or peer.state != "alive":
            return True
        heartbeat_us = to_us(self._tuning.heartbeat_s)
        contact_due = now_us - peer.last_heard_at_us > _EXCHANGE_AFTER_PERIODS * heartbeat_us
        return (
            contact_due or now_us - peer.last_answered_at_us > _REQUEST_AFTER_PERIODS * heartbeat_us
        )

    def _start_exchange(self, node: str) -> None:
        if node not in self._exchanging:
            self._exchanging.add(node)
            self._spawn(self._exchange_once(node))

    async def _exchange_once(self, node: str) -> None:
        try:
            await self._heartbeats.exchange(node)
        finally:
            self._exchanging.discard(node)

    async def _probe_through_others(self, peer: PeerMonitor) -> None:
        """Have third controllers probe a silent one, then re-evaluate its state."""
        try:
            await self._heartbeats.probe_through_others(peer)
        finally:
            self._probing.discard(peer.node)
        self._update_peer(peer)

    def _present(self) -> dict[str, Presence]:
        return self._leadership.present

    def _update_peer(self, peer: PeerMonitor) -> None:
        """Update a controller's state; if it has changed, log that and send heartbeats to all."""
        change = peer.update_state(self._clock.now_us(), self._stall_monitor.listening_since_us)
        if change is None:
            return
        self._log_change(change)
        # Report the change at once: the other controllers' verdicts depend on this vote.
        for node in self._monitors:
            self._start_exchange(node)

    def _record_new_presences(self, now_us: int, listening_since_us: int) -> None:
        """Count a presence of a new run in the state service as a contact."""
        for node, peer in self._monitors.items():
            present = self._present().get(node)
            if present is not None and present.run != self._known_runs.get(node):
                self._known_runs[node] = present.run
                peer.record_contact(present.run, now_us, listening_since_us)

    def _log_change(self, change: StateChange) -> None:
        log.info(
            "%s: %s -> %s (silent for %.2f s, timeout %.2f s): %s",
            change.node,
            change.before,
            change.after,
            change.silence_us / SECOND_US,
            change.timeout_us / SECOND_US,
            STATE_DESCRIPTIONS[change.after],
        )

    # Verdicts.

    def _evaluate_peers(self, now_us: int, listening_since_us: int) -> None:
        """Fence off controllers that are dead, and report those that the leader can't use.

        The leader evaluates all others, a follower only the leader. A controller that is cut off
        may be alive, but the leader has to take its teams away. Absent controllers are not
        reported, since the next term leaves them out anyway.
        """
        leads = self._leadership.leads()
        leader = self._leadership.leader()
        cut_off = set()
        for node, peer in self._monitors.items():
            was_cut_off = node in self._cut_off
            if leads and is_cut_off(peer, was_cut_off, now_us, listening_since_us, self._tuning):
                cut_off.add(node)
            if leads or node == leader:
                self._evaluate_peer(peer, now_us, listening_since_us)
        self._cut_off = frozenset(cut_off)
        if leads:
            self._leadership.note_unreachable(self._cut_off & self._present().keys())

    def _evaluate_peer(self, peer: PeerMonitor, now_us: int, listening_since_us: int) -> None:
        """Start to fence off a controller if a quorum agrees that its present run is dead.

        A run that has not published its lease can't be fenced off.
        """
        present = self._present().get(peer.node)
        if present is None or present.run != peer.run or present.lease is UNSET:
            return
        votes = self._current_votes(peer)
        if peer.node in self._fencing or not is_dead(
            peer, votes, self._controller_count, now_us, listening_since_us, self._tuning
        ):
            return
        observers = tuple(vote.observer for vote in votes)
        verdict = Verdict(peer.node, peer.run, "quorum", observers)
        self._fencing.add(peer.node)
        self._spawn(self._fence_off(peer, verdict, present.lease))

    async def _fence_off(self, peer: PeerMonitor, verdict: Verdict, lease: int) -> None:
        """End a lease and record the verdict; if the lease can't be ended, no verdict is given."""
        try:
            await self._client.end_lease(lease)
        except (RefusedError, UnknownOutcomeError) as error:
            log.info("%s: no verdict, because its lease could not be ended: %s", peer.node, error)
            return
        finally:
            self._fencing.discard(peer.node)
        silence_us = self._clock.now_us() - peer.last_heard_at_us
        peer.verdict_given = True
        self._verdicts[peer.node] = verdict
        self._time_to_verdict_us = silence_us
        self._verdict_count += 1
        log.info(
            "%s: dead, agreed by %s, last heard %.2f s ago; its lease %d has been ended",
            peer.node,
            ", ".join(verdict.observers),
            silence_us / SECOND_US,
            lease,
        )

    # Views and metrics for operators.

    def metrics(self) -> DetectionMetrics:
        """The values for the metrics."""
        now_us, listening_since_us = self._clock.now_us(), self._stall_monitor.listening_since_us
        peers = self._monitors.values()
        return DetectionMetrics(
            sum(peer.suspicions for peer in peers),
            sum(peer.false_suspicions for peer in peers),
            self._verdict_count,
            to_s(self._time_to_verdict_us),
            self._stall_monitor.stalls,
            self.fence.freezes,
            self.renewer.renewals if self.renewer is not None else 0,
            {peer.node: peer.suspicion_level(now_us, listening_since_us) for peer in peers},
        )

    def _is_dead(self, peer: PeerMonitor) -> bool:
        """Whether a controller is absent from the state service and from the current term."""
        term = self._leadership.term
        runs = term.runs if term is not None else {}
        return peer.node not in self._present() and peer.node not in runs

    def view(self) -> DetectionView:
        """The state of all links, as far as this controller knows."""
        now_us = self._clock.now_us()
        own = ReceivedHeartbeat(self._heartbeats.own_heartbeat(), now_us)
        term = self._leadership.term
        return DetectionView(
            self._node,
            self._leadership.leader(),
            self._leadership.term_number(),
            self.is_active(),
            self._stall_monitor.stalls,
            self.fence.freezes,
            tuple(
                build_peer_view(
                    peer, now_us, self._stall_monitor.listening_since_us, dead=self._is_dead(peer)
                )
                for peer in self._monitors.values()
            ),
            build_matrix({**self._heartbeats.received, self._node: own}, now_us),
            term.verdicts if term is not None else (),
        )

    # Background tasks.

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("failure detection: a background task failed", exc_info=task.exception())
