"""The fleet manager: the leader's actor for machines, reports, commands and offers.

It holds state only while this controller leads. State that must survive a change of the leader is
in the job records, and the next leader learns the rest from reports and the machine list.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Iterable
from typing import Protocol

import aiohttp
import msgspec

from mosswalk.actors import SECOND_US, Actor, Clock, to_s, to_us
from mosswalk.cloud.actor import (
    CloudCaller,
    ListResult,
    MachineTypesResult,
    ReleaseResult,
    RentResult,
)
from mosswalk.config import Settings
from mosswalk.config.sockets import socket_budget
from mosswalk.factory.view import Release, WaitingTasks
from mosswalk.fleet.command_log import CommandLog
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.consolidating import Consolidator
from mosswalk.fleet.follower_reports import FollowerReports
from mosswalk.fleet.inventory import Inventory, Machine, SentStart
from mosswalk.fleet.machine_list import MachineListIntake
from mosswalk.fleet.messages import (
    DirectCommandsDone,
    Message,
    OfferDone,
    Plan,
    TermChanged,
    Tick,
)
from mosswalk.fleet.offers import OfferPlanner
from mosswalk.fleet.outcome_sender import OutcomeClient, OutcomeSender
from mosswalk.fleet.overdue_machines import WORKER_RECONNECT_US, OverdueMachines
from mosswalk.fleet.preempting import Preemptor
from mosswalk.fleet.recent_workers import leader_unreachable_for_workers
from mosswalk.fleet.record_maintenance import RecordMaintenance
from mosswalk.fleet.renting import FleetScaler
from mosswalk.fleet.report_intake import ReportIntake
from mosswalk.fleet.stale_starts import StaleStarts
from mosswalk.fleet.stopping import StopRegistry
from mosswalk.fleet.stray_machines import StrayMachines
from mosswalk.fleet.task_failures import TaskFailures
from mosswalk.fleet.withdrawing import WithdrawnTasks
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Job, task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.placement.owner import Owner
from mosswalk.store import records
from mosswalk.store.mirror import Mirror
from mosswalk.store.writer import GroupWriter
from mosswalk.wire.cloud import MAX_MACHINES_PER_PAGE, MachineType
from mosswalk.wire.peers import Offer, OfferAnswer, Outcome
from mosswalk.wire.workers import Command, Report, ReportAnswer

log = logging.getLogger(__name__)

_MIN_PLAN_INTERVAL_US = 50_000
# Planning is followed by a pause this many times as long, so that reports and health checks get
# most of the processor's time however long planning takes.
_PLAN_PAUSE_FACTOR = 4
_TICK_INTERVAL_US = 500_000
# More time than this between two ticks shows that the process was suspended.
_STALL_LIMIT_US = 2 * SECOND_US
_MIN_LIST_INTERVAL_US = 4 * SECOND_US
# The machine list of a large fleet has many pages: reading it takes no more than this fraction of
# the cloud's call rate.
_MAX_LIST_CALL_FRACTION = 0.25
_MACHINE_TYPES_INTERVAL_US = 60 * SECOND_US
# The interval of requests for the machine types until the cloud has answered one.
_MACHINE_TYPES_RETRY_US = 2 * SECOND_US
# Minimum time from the change of the leader to the first rental.
_MIN_RENT_DELAY_US = 4 * SECOND_US
_PREEMPTION_INTERVAL_US = 500_000
_GANG_PREEMPTION_INTERVAL_US = 150_000
_CONSOLIDATION_INTERVAL_US = SECOND_US
_ORPHAN_CLEANUP_INTERVAL_US = 60 * SECOND_US
# How long, beyond the grace period, capacity of stopped attempts is claimed for the preempting job.
_CLAIM_DURATION_US = 4 * SECOND_US
# A healthy machine reports within this many report intervals, allowing for jitter.
_REPORT_JITTER_FACTOR = 1.3


class OwnerClient(OutcomeClient, Protocol):
    """Client for the team owners on other controllers."""

    def offer(self, node: str, message: Offer) -> Awaitable[OfferAnswer]:
        """Offer free capacity."""


class FleetManager(Actor[Message]):
    """Owns the leader's state of the fleet, and calls the modules that do the parts of its work."""

    name = "fleet manager"

    def __init__(
        self,
        settings: Settings,
        mirror: Mirror,
        registry: JobRegistry,
        writer: GroupWriter,
        leadership: Leadership,
        owner: Owner,
        peers: OwnerClient,
        http_session: aiohttp.ClientSession,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._mirror = mirror
        self._registry = registry
        self._writer = writer
        self._leadership = leadership
        self._owner = owner
        self._peers = peers
        self._clock = clock
        workers = settings.params.workers
        self._lease_us = to_us(workers.lease_s)
        self._factory_interval_us = to_us(settings.tuning.factory.period_s)
        self._list_lag_us = to_us(settings.params.cloud.list_lag_s)
        self.inventory = Inventory()
        self._failures = TaskFailures(settings.tuning.fleet.errors_to_distrust)
        self._scaler = FleetScaler(settings, self.inventory, registry, clock)
        self._offers = OfferPlanner(
            settings,
            mirror,
            registry,
            self.inventory,
            leadership,
            self._scaler,
            clock,
            self._failures.failed_machines_by_job,
        )
        self._preemptor = Preemptor(settings, self.inventory, registry, self._offers, clock)
        self._consolidator = Consolidator(self.inventory, registry, self._offers, clock)
        self.cloud: CloudCaller | None = None
        self._leading = False
        # The last term in which this controller was found to lead.
        self._led_term = 0
        self._leading_since_us = 0
        # Since when reports have been answered without a break; silence counts only from then on.
        self._answering_since_us = 0
        self._last_tick_at_us = 0
        self._list_received = False
        # Whether the cloud has sent machine types and prices since this controller began to lead.
        self._types_received = False
        self._is_first_leader = False
        self._list_requested_at_us = 0
        self._types_requested_at_us = 0
        self._last_factory_run_at_us = 0
        self._last_preemption_at_us = 0
        self._last_consolidation_at_us = 0
        self._last_orphan_cleanup_at_us = 0
        self._plan_scheduled = False
        self._plan_pause_us = 0
        self._record_maintenance = RecordMaintenance(settings, mirror, registry, writer, leadership)
        self._outcome_sender = OutcomeSender(registry, leadership, owner, peers, self.spawn, clock)
        self._stops = StopRegistry(
            settings,
            self.inventory,
            registry,
            lambda machine, command: self._command_sender.send(machine, command),
            self._offers.is_silent,
            clock,
        )
        self.command_log = CommandLog()
        self.tokens = WorkerTokens(leadership)
        self._command_sender = CommandSender(
            self.inventory,
            registry,
            leadership,
            self.tokens,
            http_session,
            lambda machine, key: self._stops.grace_s(machine, key) is not None,
            self.send,
            self.spawn,
            clock,
            socket_budget(settings.params.machine_limits.max_connections).workers,
            self.command_log,
        )
        self._report_intake = ReportIntake(
            workers,
            self.inventory,
            registry,
            leadership,
            self.tokens,
            self._offers,
            self._outcome_sender,
            self._command_sender,
            self.command_log,
            self._stops,
            self._failures,
            self,
            clock,
        )
        self._overdue_machines = OverdueMachines(settings, self.inventory, leadership, clock)
        self._stray_machines = StrayMachines(
            self.inventory, leadership, self._command_sender, clock
        )
        self._machine_list = MachineListIntake(self.inventory, self._offers, self, clock)
        self._stale_starts = StaleStarts(
            self.inventory, registry, leadership, self.tokens, self._command_sender, clock
        )
        self._withdrawn_tasks = WithdrawnTasks(
            self.inventory,
            registry,
            self.tokens,
            self._overdue_machines.silence_limits,
            clock,
        )
        self.follower_reports = FollowerReports(
            workers, registry, leadership, self.command_log, clock
        )
        self._expected_report_us = to_us(_REPORT_JITTER_FACTOR * workers.report_s)
        registry.on_attempt_added.append(self._on_attempt_recorded)
        registry.on_withdrawn.append(self._on_job_withdrawn)
        registry.on_gang_ending.append(self._on_gang_ending)
        mirror.on_batch_applied(self.fleet_changed)
        leadership.on_term.append(lambda: self.send(TermChanged()))

    # Messages.

    async def receive(self, message: Message) -> None:
        """Handle one message."""
        match message:
            case DirectCommandsDone():
                self._on_direct_commands_done(message)
            case OfferDone():
                self._on_offer_done(message)
            case Plan():
                self._plan_scheduled = False
                if self._leading:
                    self._plan_offers()
            case Tick():
                self._check_leadership()
                if self._leading:
                    self._tick()
            case TermChanged():
                self._check_leadership()
            case ListResult() if self._leading:
                self._list_received = True
                self._machine_list.process(message)
            case ReleaseResult() if self._leading:
                self._on_released(message.machines)
            case RentResult() if self._leading:
                self._scaler.on_rented(message)
            case MachineTypesResult() if self._leading:
                self._on_types(message.types)
            case _:
                pass

    async def ticker(self) -> None:
        """Send a tick at each interval, forever."""
        while True:
            await asyncio.sleep(to_s(_TICK_INTERVAL_US))
            self.send(Tick())

    def answer_report(self, report: Report) -> tuple[int, bytes]:
        """Answer a report; return the status and the body.

        Reports don't go through the mailbox, so that they need not wait for the messages queued
        there. This is safe since no handler awaits: none is half done when a report arrives.
        """
        self._check_leadership()
        self._leadership.observe_term(report.term)
        if not self._leading or not self._leadership.may_renew_worker_leases():
            # A leader that may not renew the leases of workers answers like a follower.
            return self.follower_reports.answer(report)
        commands = self._report_intake.process(report, is_periodic=True)
        answer = ReportAnswer(self._report_intake.answer_token(report), tuple(commands))
        self.command_log.report_answered(report, answer.token, answer.commands)
        return 200, msgspec.json.encode(answer)

    def fleet_changed(self) -> None:
        """Schedule the planning of offers; called after changes that may affect them."""
        if self._leading and not self._plan_scheduled:
            self._plan_scheduled = True
            interval_us = max(_MIN_PLAN_INTERVAL_US, self._plan_pause_us)
            asyncio.get_running_loop().call_later(to_s(interval_us), self.send, Plan())

    def _check_leadership(self) -> None:
        """Set up the leader's state when this controller begins to lead; clear it when it stops."""
        if not self._leadership.leads():
            if self._leading:
                self._stop_leading()
            return
        term = self._leadership.term_number()
        if not self._leading and term == self._led_term:
            # What this controller decided, sent and learned before it lost the lead is forgotten,
            # but messages of this term may still be on the way.
            self._leadership.request_new_term()
            return
        self._led_term = term
        if not self._leading:
            self._start_leading(term)

    def _start_leading(self, term: int) -> None:
        log.info("leading in term %d, tokens from %d", term, self.tokens.lowest())
        self._leading = True
        self._leading_since_us = self._last_tick_at_us = self._answering_since_us = (
            self._clock.now_us()
        )
        self._report_intake.start_leading()
        # In the first term no controller has led before, so nothing has been rented: no need to
        # wait until the machine list shows earlier rentals.
        self._is_first_leader = term <= 1
        self._list_received = self._types_received = False
        self._load_recorded_types()
        # A request whose last time is this far back is due at once; so is the cleanup below.
        self._list_requested_at_us = self._types_requested_at_us = -_MACHINE_TYPES_INTERVAL_US
        for machine in list(self._registry.attempts_by_machine):
            self.inventory.add_from_record(machine, self._clock.now_us())
        self._stops.reset()
        self._last_orphan_cleanup_at_us = -_ORPHAN_CLEANUP_INTERVAL_US
        self._tick()

    def _stop_leading(self) -> None:
        log.info("no longer leading")
        self._leading = False
        self.inventory.reset()
        self._scaler.reset()
        self._offers.reset()
        self._outcome_sender.reset()
        self._stops.reset()
        self._command_sender.reset()
        self.tokens.reset()
        self._stale_starts.reset()
        self._overdue_machines.reset()
        if self.cloud is not None:
            self.cloud.clear_pending_releases()

    # Reports and commands.

    def is_unreachable_for_workers(self, reporting_elsewhere: int) -> bool:
        """Whether workers can't reach this leader and report to other controllers."""
        now_us = self._clock.now_us()
        if not self._leading or now_us - self._answering_since_us < WORKER_RECONNECT_US:
            return False
        up = [m for m in self.inventory.machines.values() if m.phase == "up" and not m.releasing]
        reporting_here = sum(1 for m in up if now_us - m.last_seen_at_us < self._expected_report_us)
        return leader_unreachable_for_workers(len(up), reporting_here, reporting_elsewhere)

    def machine_up(self, machine: Machine) -> None:
        """Record that a machine is up, and release surplus machines of its rental group."""
        boot_us = self._clock.now_us() - machine.rented_at_us
        log.info(
            "machine %s (%s, %s) is up after %.1f s",
            machine.name,
            machine.type,
            machine.zone,
            boot_us / SECOND_US,
        )
        for release in self._scaler.on_machine_up(machine, self._available_cloud_calls()):
            self._release_if_unused(release)

    def _available_cloud_calls(self) -> int:
        return self.cloud.available_calls() if self.cloud is not None else 0

    def _on_attempt_recorded(self, name: str, job: Job, attempt: records.Attempt) -> None:
        """Start a committed attempt without waiting for the machine's next report."""
        if not self._leading or not self._leadership.may_start_tasks() or not job.startable:
            return
        machine = self.inventory.machines.get(name)
        if machine is None or machine.session != attempt.session or machine.releasing:
            return
        self._command_sender.send(
            machine, Command("run", task_name(job.id, attempt.task), attempt.number)
        )

    def _on_job_withdrawn(self, job: Job) -> None:
        if self._leading:
            self._stops.kill_withdrawn(job)

    def _on_gang_ending(self, job: Job) -> None:
        if self._leading:
            self._stops.kill_gang(job)

    def _on_direct_commands_done(self, message: DirectCommandsDone) -> None:
        """Process the answer to commands sent directly to a worker, or the failure to send them.

        Start commands that were not sent or were answered with a report are not in flight any more.
        """
        self._command_sender.request_ended(message.machine)
        machine = self.inventory.machines.get(message.machine)
        if machine is None:
            return
        if not message.sent or message.report is not None:
            sent = SentStart(message.token, message.session)
            for start in message.starts:
                if machine.unanswered_starts.get(start) == sent:
                    del machine.unanswered_starts[start]
        if message.report is not None:
            self._leadership.observe_term(message.report.term)
            self._check_leadership()
            if self._leading:
                self._report_intake.process(message.report, is_periodic=False)
                self._command_sender.resend_refused_starts(machine, message)

    # Offers.

    def _plan_offers(self) -> None:
        """Plan and send offers, and preempt for gangs that fit nowhere."""
        started_at_us = self._clock.now_us()
        for node, offer in self._offers.plan():
            self.spawn(self._send_offer(node, offer))
        if (
            self._scaler.has_blocked_gangs()
            and started_at_us - self._last_preemption_at_us > _GANG_PREEMPTION_INTERVAL_US
        ):
            # Gangs are to start within seconds, so preemption does not wait for the next tick.
            self._last_preemption_at_us = started_at_us
            self._preempt_attempts(self._scaler.waiting_tasks())
        self._plan_pause_us = _PLAN_PAUSE_FACTOR * (self._clock.now_us() - started_at_us)

    async def _send_offer(self, node: str, offer: Offer) -> None:
        answer: OfferAnswer | None = None
        try:
            if node == self._leadership.node:
                answer = await self._owner.receive_offer(offer)
            else:
                answer = await self._peers.offer(node, offer)
        except Exception as error:
            log.debug("sending an offer to %s failed: %s", node, error)
        self.send(OfferDone(node, answer))

    def _on_offer_done(self, message: OfferDone) -> None:
        self._offers.on_answer(message.node, message.answer)
        self.fleet_changed()

    # Periodic work.

    def _tick(self) -> None:
        """Do the leader's periodic work; most of it only while worker leases may be renewed."""
        now_us = self._clock.now_us()
        if now_us - self._last_tick_at_us > _STALL_LIMIT_US:
            # While this process was suspended, it received no reports, so the silence of machines
            # shows nothing yet. On a recorded day, a leader resumed after 20 s and, although
            # deposed, released every machine.
            log.info(
                "process was suspended for %.1f s", (now_us - self._last_tick_at_us) / SECOND_US
            )
            self._leading_since_us = self._answering_since_us = now_us
            self._report_intake.restart_after_pause()
        self._last_tick_at_us = now_us
        may_renew_leases = self._leadership.may_renew_worker_leases()
        if not may_renew_leases:
            # This controller itself rejects reports. On a recorded day, when the state service came
            # back after 52 s, every machine was released as silent within that second.
            self._answering_since_us = now_us
        if self.cloud is None or not may_renew_leases:
            return
        types_interval_us = (
            _MACHINE_TYPES_INTERVAL_US if self._types_received else _MACHINE_TYPES_RETRY_US
        )
        if now_us - self._types_requested_at_us > types_interval_us:
            self._types_requested_at_us = now_us
            self.spawn(self.cloud.refresh_machine_types())
        if now_us - self._list_requested_at_us > self._list_period_us():
            self._list_requested_at_us = now_us
            self.spawn(self.cloud.refresh_machine_list())
        self._review_recorded_machines()
        self._offers.mark_periodic_changes()
        self._stray_machines.probe(self._leading_since_us)
        for machine, reason in self._withdrawn_tasks.overdue(self._answering_since_us):
            self.release(machine, reason, requires_state_service=False)
        self._release_overdue()
        self._outcome_sender.send_due()
        self._stale_starts.check()
        self._stops.discard_terminated()
        self._checkpoint_gangs()
        self._failures.retain_jobs(self._registry.jobs)
        if now_us - self._last_orphan_cleanup_at_us > _ORPHAN_CLEANUP_INTERVAL_US:
            self._last_orphan_cleanup_at_us = now_us
            self.spawn(self._record_maintenance.remove_orphaned_chunks())
        # Computed once for all uses below, as it examines all waiting tasks by their teams' limits.
        waiting = self._scaler.waiting_tasks()
        if now_us - self._last_preemption_at_us > _PREEMPTION_INTERVAL_US:
            self._last_preemption_at_us = now_us
            self._preempt_attempts(waiting)
        if (
            now_us - self._last_factory_run_at_us >= self._factory_interval_us
            and self._ready_to_rent()
        ):
            self._last_factory_run_at_us = now_us
            self._run_factory(waiting)
        if (
            now_us - self._last_consolidation_at_us > _CONSOLIDATION_INTERVAL_US
            and self._ready_to_rent()
        ):
            self._last_consolidation_at_us = now_us
            self._consolidate_replicas(waiting)
        self.fleet_changed()

    def _list_period_us(self) -> int:
        pages = 1 + len(self.inventory.machines) // MAX_MACHINES_PER_PAGE
        rps = self._settings.params.cloud.rps
        return max(_MIN_LIST_INTERVAL_US, to_us(pages / (_MAX_LIST_CALL_FRACTION * rps)))

    def _ready_to_rent(self) -> bool:
        """Whether the inventory is complete: machines missing from it would be rented again."""
        if (
            not self._list_received
            or not self._types_received
            or not self._leadership.may_start_tasks()
        ):
            return False
        if self._is_first_leader:
            return True
        return self._clock.now_us() - self._leading_since_us > max(
            _MIN_RENT_DELAY_US, self._list_lag_us
        )

    def _release_overdue(self) -> None:
        """Release overdue machines, but not while workers may be reconnecting to a new leader."""
        now_us = self._clock.now_us()
        if (
            now_us - self._answering_since_us < WORKER_RECONNECT_US
            or not self._leadership.may_start_tasks()
        ):
            return
        for machine, reason in self._overdue_machines.overdue(self._answering_since_us):
            self.release(machine, reason)

    # The cloud.

    def release(
        self, machine: Machine, reason: str, *, requires_state_service: bool = True
    ) -> None:
        """Release a machine.

        With ``requires_state_service`` false, it is released even if the state service is down.
        """
        if machine.releasing is None:
            log.info("releasing %s (%s, %s): %s", machine.name, machine.type, machine.zone, reason)
            machine.releasing = reason
            self._offers.mark_changed(machine.name)
        elif requires_state_service:
            return
        if self.cloud is not None:
            self.cloud.release([machine.name], requires_state_service=requires_state_service)

    def _release_if_unused(self, release: Release) -> None:
        machine = self.inventory.machines.get(release.machine)
        if machine is None:
            return
        if self._registry.attempts_on(machine.name) or self._offers.is_reserved(machine.name):
            return
        self.release(machine, release.reason)

    def _on_released(self, names: Iterable[str]) -> None:
        """Remove released machines; the attempts recorded on them are lost."""
        for name in names:
            lost = self._lost_attempts(name)
            log.info("machine %s is gone with %d recorded attempts", name, len(lost))
            for outcome in lost:
                self._outcome_sender.add_confirmed(outcome)
            self.inventory.remove(name, self._clock.now_us())
            self._offers.mark_changed(name)
            self._command_sender.remove_machine(name)
        self._outcome_sender.send_new()
        self.fleet_changed()

    def _lost_attempts(self, name: str) -> list[Outcome]:
        """The outcomes of all attempts that the records show on a machine that is gone."""
        return [
            Outcome(task_name(job, task), number, name, "lost")
            for job, task, number in self._registry.attempts_on(name)
        ]

    def _review_recorded_machines(self) -> None:
        """Add the machines that only records name; attempts on machines that are gone are lost.

        A placement may be recorded after its machine is gone: an owner commits it seconds after the
        offer, or later if the state service is slow or was down.
        """
        for name in list(self._registry.attempts_by_machine):
            if self.inventory.is_gone(name):
                for outcome in self._lost_attempts(name):
                    self._outcome_sender.add_reported(outcome)
            else:
                self.inventory.add_from_record(name, self._clock.now_us())

    def _load_recorded_types(self) -> None:
        """Load machine types from the records, to be used until the cloud sends them with prices.

        The cloud may be down when the leader changes. Tasks can then still be placed on machines
        that are up.
        """
        value = self._mirror.value(records.MACHINE_TYPES_KEY)
        if value is not None and not self.inventory.types:
            self.inventory.types = {t.name: t for t in records.decode_machine_types(value)}

    def _on_types(self, types: tuple[MachineType, ...]) -> None:
        self._types_received = True
        self.inventory.types = {t.name: t for t in types}
        for name in self.inventory.machines:
            self._offers.mark_changed(name)
        if not self._record_maintenance.machine_types_recorded(types):
            self.spawn(self._write_machine_types(types))
        self.fleet_changed()

    async def _write_machine_types(self, types: tuple[MachineType, ...]) -> None:
        if not await self._record_maintenance.write_machine_types(types):
            # Requested again at the next tick: until the types are recorded, every submission is
            # rejected.
            self._types_requested_at_us = -_MACHINE_TYPES_INTERVAL_US

    # Preemption and the factory.

    def _preempt_attempts(self, waiting: list[WaitingTasks]) -> None:
        """Stop less urgent attempts to free capacity for waiting tasks."""
        if not self._leadership.may_start_tasks():
            return
        now_us = self._clock.now_us()
        for victim in self._preemptor.select_victims(waiting, self._stops):
            spec, attempt = victim.job.spec, victim.attempt
            grace_s = self._preemptor.checkpoint_grace_s(victim)
            claim_until_us = now_us + _CLAIM_DURATION_US + to_us(grace_s)
            self._offers.claim(attempt.machine, claim_until_us, victim.preempting_job)
            log.info(
                "preempting %s/%d attempt %d on %s for more urgent tasks",
                spec.id,
                attempt.task,
                attempt.number,
                attempt.machine,
            )
            self._stops.stop(victim.job, attempt, grace_s)

    def _consolidate_replicas(self, waiting: list[WaitingTasks]) -> None:
        """Consolidate replicas while no tasks are waiting."""
        if waiting:
            return
        for job, attempt in self._consolidator.choose_replicas():
            log.info(
                "moving %s/%d attempt %d off %s",
                job.id,
                attempt.task,
                attempt.number,
                attempt.machine,
            )
            self._stops.stop(job, attempt, 0.0)

    def _checkpoint_gangs(self) -> None:
        """Stop gangs that are about to lose a spot machine while all their tasks can checkpoint."""
        for job in list(self._stops.gangs_to_checkpoint()):
            log.info(
                "stopping %s, all %d tasks: a machine of it is about to be reclaimed",
                job.id,
                job.spec.tasks,
            )
            self._stops.stop_gang(job)

    def _run_factory(self, waiting: list[WaitingTasks]) -> None:
        """Release and rent machines as the factory decides from the waiting tasks."""
        groups_by_pool, releases = self._scaler.decide(
            waiting,
            self._offers.free_capacity,
            self._available_cloud_calls(),
            self._consolidator.draining(),
        )
        for release in releases:
            self._release_if_unused(release)
        if self.cloud is not None:
            for pool, groups in groups_by_pool.items():
                self.spawn(self.cloud.rent(groups, pool))
