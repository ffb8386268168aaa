"""Constructs one controller from its components, connects them, and serves it."""

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


# The share of the write rate that placements and outcomes may use.
_SCHEDULING_WRITE_SHARE = 0.85
# Workers and users send a request every few seconds. One that sends none for longer is cut off or
# dead, and its half-open connection must not occupy a socket for long.
_KEEPALIVE_S = 30.0


class Controller:
    """One controller and its components; tests can replace HTTP clients, clock and randomness.

    ``command_http`` sends commands to workers; ``http`` sends everything else.
    """

    def __init__(
        self,
        settings: Settings,
        http: aiohttp.ClientSession,
        command_http: aiohttp.ClientSession,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        params = settings.params
        self.settings = settings
        self.state_client = StateClient(http, settings.outside.state, params.state.rps, clock)
        self.mirror = Mirror(self.state_client, clock, rng)
        # Users' changes have a write queue of their own, so that they don't wait behind placements.
        # Placements use only a share of the rate, so that they leave some for users' changes: the
        # state service limits the writes of all controllers together.
        self.users_writer = GroupWriter(
            self.state_client, clock, rng, params.state.write_rps, params.state.txn_ops
        )
        self.writer = GroupWriter(
            self.state_client,
            clock,
            rng,
            _SCHEDULING_WRITE_SHARE * params.state.write_rps,
            params.state.txn_ops,
        )
        self.registry = JobRegistry(self.mirror)
        self.leadership = Leadership(settings, self.state_client, self.mirror, clock, rng)
        self.owner = Owner(
            settings, self.mirror, self.registry, self.writer, self.leadership, clock
        )
        self.peers = PeerClient(http, settings)
        self.manager = FleetManager(
            settings,
            self.mirror,
            self.registry,
            self.writer,
            self.leadership,
            self.owner,
            self.peers,
            command_http,
            clock,
        )
        self.cloud = CloudCaller(
            CloudClient(http, settings.outside.cloud),
            clock,
            rng,
            params.cloud.rps,
            self.manager.send,
            self.leadership.may_start_tasks,
            self.leadership.may_renew_worker_leases,
        )
        self.manager.cloud = self.cloud
        self.job_service = JobService(
            settings, self.state_client, self.mirror, self.users_writer, clock, rng
        )
        self.health = Health(
            [peer.host_name for peer in settings.known],
            self.peers,
            lambda: self.mirror.confirmed_until_us,
            clock,
            self.leadership.leads,
            self._on_unreachable,
            self._on_stray_workers,
        )
        self.detector: Detector | None = None
        tuning = settings.tuning.detection
        if tuning is not None:
            self.detector = self._create_detector(tuning, clock, rng)
        self.job_service.poll_other_controller = self._poll_other_controller
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
        # Followers need not learn of each change at once: with many controllers, their watch
        # requests would use up most of the rate that the state service allows.
        self.mirror.wants_prompt_updates = lambda: (
            self.leadership.leads() or self.leadership.owns_any_team()
        )
        self.metrics = Metrics(self)

    def is_healthy(self) -> bool:
        """Whether this controller can handle users' requests."""
        return self.mirror.loaded and not self.health.isolated

    def _create_detector(
        self, tuning: DetectionTuning, clock: Clock, rng: random.Random
    ) -> Detector:
        # Imported here, so that the failure detector costs nothing where it is off.
        from mosswalk.detection.detector import Detector
        from mosswalk.detection.fence import AuthorityFence, CommitGate

        fence = AuthorityFence(to_us(tuning.floor_s), clock, self.leadership)
        detector = Detector(
            self.settings, tuning, self.leadership, fence, self.peers, self.state_client, clock, rng
        )
        self.leadership.authority = fence
        self.leadership.failure_detector = detector
        self.writer.gate = self.users_writer.gate = CommitGate(fence, self.mirror)
        return detector

    def _on_unreachable(self, nodes: frozenset[str]) -> None:
        """Handle controllers that this leader failed to reach twice in a row.

        Without an active failure detector they get no teams in the next term; with one, only its
        verdicts count.
        """
        if self.detector is None or not self.detector.is_active():
            self.leadership.note_unreachable(nodes)

    def peer_status(self, heartbeat: Heartbeat | None) -> PeerStatus:
        """Answer another controller's request for this one's status."""
        is_served, stray_workers = (
            self.health.is_served(),
            self.manager.follower_reports.recent_workers.count(),
        )
        answer = None
        if heartbeat is not None and self.detector is not None:
            answer = self.detector.handle_heartbeat(heartbeat)
        return PeerStatus(is_served, stray_workers, UNSET if answer is None else answer)

    def apply_peer_withdrawals(self, message: Withdrawals) -> None:
        """Apply withdrawals that another controller has confirmed to users to the mirror.

        Their records are committed, so the watch will show the same or newer ones.
        """
        for withdrawal in message.withdrawals:
            key = records.job_key(withdrawal.job)
            self.mirror.apply_response(key, withdrawal.record, withdrawal.revision)
        self.mirror.notify_batch_applied()

    def _on_stray_workers(self, count: int) -> None:
        if self.manager.is_unreachable_for_workers(count):
            self.leadership.hand_over()

    async def _poll_other_controller(self, job_id: str) -> PollAnswer | None:
        node = self.health.served_peer
        if node is None:
            return None
        try:
            return await self.peers.poll(node, job_id)
        except PeerError as error:
            log.debug("passing a poll on to %s failed: %s", node, error)
            return None

    def web_apps(self) -> tuple[web.Application, web.Application]:
        """Build the web applications for users and workers, and for other controllers."""
        detector = self.detector
        users = users_app(
            self.job_service,
            self.manager.answer_report,
            self.is_healthy,
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
        """Create the coroutines that run as long as the process.

        All but the writers are restarted when they fail. A writer that fails leaves commits with an
        unknown outcome, so its failure ends the process.
        """
        restartable = [
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
            restartable += [self.detector.run, fence.run, fence.run_confirmations]
        return [
            self.writer.run(),
            self.users_writer.run(),
            *(run_forever(loop) for loop in restartable),
        ]

    def start_lease_renewer(self) -> None:
        """Start the thread that renews the lease while the event loop is late.

        Does nothing if the failure detector is off.
        """
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
    """Serve an application on an address.

    ``backlog`` connections can wait to be accepted: after a takeover many arrive at once.
    """
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


def _http_session(max_connections: int) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=max_connections, limit_per_host=0, keepalive_timeout=_KEEPALIVE_S
    )
    return aiohttp.ClientSession(connector=connector)


async def serve(settings: Settings) -> None:
    """Run a controller until it is killed."""
    budget = socket_budget(settings.params.machine_limits.max_connections)
    async with _http_session(budget.calls) as http, _http_session(budget.commands) as command_http:
        controller = Controller(settings, http, command_http, SystemClock(), random.Random())
        users, peers = controller.web_apps()
        max_connections = settings.params.machine_limits.max_connections
        await listen(users, settings.serve_on, max_connections)
        await listen(peers, settings.cluster_listen, max_connections)
        controller.start_lease_renewer()
        log.info("%s is serving on %s", settings.host_name, settings.serve_on)
        # None of the loops returns.
        await asyncio.gather(*controller.background_loops())
