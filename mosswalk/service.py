"""Puts the actors of one controller together."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web
from msgspec import UNSET

from mosswalk.actors import Clock, SystemClock, run_forever, to_us
from mosswalk.api import users_app
from mosswalk.api.jobs import JobService
from mosswalk.cloud.actor import CloudCaller
from mosswalk.cloud.client import CloudClient
from mosswalk.config import Settings, split_address
from mosswalk.config.detection import DetectionTuning
from mosswalk.config.sockets import socket_budget
from mosswalk.fleet.manager import FleetManager
from mosswalk.jobs.registry import JobRegistry
from mosswalk.leadership.actor import Leadership
from mosswalk.metrics import Metrics
from mosswalk.peers import PeerClient, peer_app
from mosswalk.peers.errors import PeerError
from mosswalk.peers.health import Health
from mosswalk.peers.withdrawal_broadcast import WithdrawalBroadcast
from mosswalk.placement.owner import Owner
from mosswalk.store import records
from mosswalk.store.client import StateClient
from mosswalk.store.mirror import Mirror
from mosswalk.store.writer import GroupWriter
from mosswalk.wire.peers import Heartbeat, PeerStatus, PollAnswer, Withdrawals

if TYPE_CHECKING:
    from mosswalk.detection.detector import Detector

log = logging.getLogger(__name__)


# The part of the writes that placings and outcomes may use.
_WORK_SHARE = 0.85
# Workers and users are heard every few seconds: one silent for longer is cut off or gone, and
# its half-open connection must not keep a socket for long.
_KEEPALIVE_S = 30.0


class Controller:
    """One controller; everything it needs is handed in, so that tests can stand in for it."""

    def __init__(
        self,
        settings: Settings,
        session: aiohttp.ClientSession,
        orders: aiohttp.ClientSession,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        params = settings.params
        self.settings = settings
        self.client = StateClient(session, settings.outside.state, params.state.rps, clock)
        self.mirror = Mirror(self.client, clock, rng)
        # Users' own changes do not queue behind placings, and placings leave room for them: the
        # service counts the writes of all controllers together.
        self.users_writer = GroupWriter(
            self.client, clock, rng, params.state.write_rps, params.state.txn_ops
        )
        self.writer = GroupWriter(
            self.client, clock, rng, _WORK_SHARE * params.state.write_rps, params.state.txn_ops
        )
        self.registry = JobRegistry(self.mirror)
        self.leadership = Leadership(settings, self.client, self.mirror, clock, rng)
        self.owner = Owner(
            settings, self.mirror, self.registry, self.writer, self.leadership, clock
        )
        self.peers = PeerClient(session, settings)
        self.manager = FleetManager(
            settings,
            self.mirror,
            self.registry,
            self.writer,
            self.leadership,
            self.owner,
            self.peers,
            orders,
            clock,
        )
        self.cloud = CloudCaller(
            CloudClient(session, settings.outside.cloud),
            clock,
            rng,
            params.cloud.rps,
            self.manager.send,
            self.leadership.may_start_tasks,
            self.leadership.may_renew_worker_leases,
        )
        self.manager.cloud = self.cloud
        self.job_service = JobService(
            settings, self.client, self.mirror, self.users_writer, clock, rng
        )
        self.health = Health(
            [peer.host_name for peer in settings.known],
            self.peers,
            lambda: self.mirror.confirmed_until_us,
            clock,
            self.leadership.leads,
            self._note_unreachable,
            self._visitors_elsewhere,
        )
        self.detector: Detector | None = None
        tuning = settings.tuning.detection
        if tuning is not None:
            self.detector = self._detector(tuning, clock, rng)
        self.job_service.poll_other_controller = self._poll_elsewhere
        self.job_service.gangs_allowed = self.leadership.gangs_allowed
        self.withdrawal_broadcast = WithdrawalBroadcast(
            [peer.host_name for peer in settings.known],
            self.peers,
            to_us(params.workers.cancel_s),
            clock,
            rng,
        )
        self.job_service.on_withdrawn = self.withdrawal_broadcast.enqueue
        follower_reports = self.manager.follower_reports
        follower_reports.no_leader_reachable = lambda: self.health.cannot_reach_leader(
            self.leadership.leader()
        )
        follower_reports.no_peer_reaches_state_service = self.health.state_service_unavailable
        # Followers need not hear of each change at once: with many controllers, their watches
        # would take most of the requests that the state service allows.
        self.mirror.wants_prompt_updates = lambda: (
            self.leadership.leads() or self.leadership.owns_any_team()
        )
        self.metrics = Metrics(self)

    def healthy(self) -> bool:
        """Whether users' requests can be taken here."""
        return self.mirror.loaded and not self.health.isolated

    def _detector(self, tuning: DetectionTuning, clock: Clock, rng: random.Random) -> Detector:
        # Imported here: without it, it must cost nothing.
        from mosswalk.detection.detector import Detector
        from mosswalk.detection.fence import AuthorityFence, CommitGate

        fence = AuthorityFence(to_us(tuning.floor_s), clock, self.leadership)
        detector = Detector(
            self.settings, tuning, self.leadership, fence, self.peers, self.client, clock, rng
        )
        self.leadership.authority = fence
        self.leadership.failure_detector = detector
        self.writer.gate = self.users_writer.gate = CommitGate(fence, self.mirror)
        return detector

    def _note_unreachable(self, nodes: frozenset[str]) -> None:
        """Two failed tries of the leader are a verdict only where no failure detector gives one."""
        if self.detector is None or not self.detector.is_active():
            self.leadership.note_unreachable(nodes)

    def peer_status(self, heartbeat: Heartbeat | None) -> PeerStatus:
        """What this controller sees, for another one that asks."""
        fresh, strays = (
            self.health.is_served(),
            self.manager.follower_reports.recent_workers.count(),
        )
        answer = None
        if heartbeat is not None and self.detector is not None:
            answer = self.detector.handle_heartbeat(heartbeat)
        return PeerStatus(fresh, strays, UNSET if answer is None else answer)

    def apply_peer_withdrawals(self, message: Withdrawals) -> None:
        """Another controller has told users of withdrawals: put them into the mirror.

        What they bring is committed, so the watch will show the same or something newer.
        """
        for withdrawal in message.withdrawals:
            key = records.job_key(withdrawal.job)
            self.mirror.apply_response(key, withdrawal.record, withdrawal.revision)
        self.mirror.notify_batch_applied()

    def _visitors_elsewhere(self, count: int) -> None:
        if self.manager.is_unreachable_for_workers(count):
            self.leadership.hand_over()

    async def _poll_elsewhere(self, job_id: str) -> PollAnswer | None:
        node = self.health.served_peer
        if node is None:
            return None
        try:
            return await self.peers.poll(node, job_id)
        except PeerError as error:
            log.debug("poll not asked of %s: %s", node, error)
            return None

    def web_apps(self) -> tuple[web.Application, web.Application]:
        """The applications for users and workers, and for other controllers."""
        detector = self.detector
        users = users_app(
            self.job_service,
            self.manager.answer_report,
            self.healthy,
            self.metrics.render,
            detector.view if detector is not None else None,
        )
        return users, peer_app(
            self.owner.receive_offer,
            self.owner.receive_outcomes,
            self.peer_status,
            self.job_service.poll_for_peer,
            self.apply_peer_withdrawals,
            detector.probe if detector is not None else None,
        )

    def background_loops(self) -> list[Coroutine[Any, Any, None]]:
        """All that runs for ever.

        The writers alone are not begun again when they fail: commits under way would be
        left without a kind, so the process ends.
        """
        kept = [
            self.mirror.run,
            self.leadership.keep_lease,
            self.leadership.run,
            self.owner.run,
            self.manager.run,
            self.manager.ticker,
            self.cloud.run_releases,
            self.health.run,
            self.withdrawal_broadcast.run,
        ]
        if self.detector is not None:
            fence = self.detector.fence
            kept += [self.detector.run, fence.run, fence.run_confirmations]
        return [self.writer.run(), self.users_writer.run(), *(run_forever(loop) for loop in kept)]

    def start_lease_renewer(self) -> None:
        """Renew the lease from a thread when the main loop is late."""
        if self.detector is None:
            return
        from mosswalk.detection.renewer import LeaseRenewer

        tuning = self.settings.tuning
        assert tuning.detection is not None
        self.detector.renewer = LeaseRenewer(
            self.settings.outside.state,
            self.leadership,
            self.detector.fence,
            SystemClock(),
            ttl_s=tuning.leadership.ttl_s,
            renew_s=tuning.leadership.renew_s,
            progress_s=tuning.detection.progress_s,
        )
        self.detector.renewer.start()


async def listen(app: web.Application, address: str, backlog: int = 512) -> web.AppRunner:
    """Serve an application; after a takeover up to ``backlog`` connections come at once."""
    runner = web.AppRunner(
        app,
        access_log=None,
        keepalive_timeout=_KEEPALIVE_S,
        handle_signals=False,
        shutdown_timeout=0.2,
    )
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port, backlog=backlog, reuse_address=True).start()
    return runner


def _session(most: int) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=most, limit_per_host=0, keepalive_timeout=_KEEPALIVE_S)
    return aiohttp.ClientSession(connector=connector)


async def serve(settings: Settings) -> None:
    """Run a controller until it is killed."""
    budget = socket_budget(settings.params.machine_limits.max_connections)
    async with _session(budget.calls) as session, _session(budget.commands) as orders:
        controller = Controller(settings, session, orders, SystemClock(), random.Random())
        users, peers = controller.web_apps()
        most = settings.params.machine_limits.max_connections
        await listen(users, settings.serve_on, most)
        await listen(peers, settings.cluster_listen, most)
        controller.start_lease_renewer()
        log.info("%s serves on %s", settings.host_name, settings.serve_on)
        # None of these ever returns.
        await asyncio.gather(*controller.background_loops())
