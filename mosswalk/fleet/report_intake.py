"""Processes the reports of workers while this controller leads.

A report updates the state of its machine and tasks and is answered with commands. What it proves
depends on its sequence number, its term and on whether the machine receives the leader's answers:
see docs/design.md, "What a report proves".
"""

from __future__ import annotations

import logging
from typing import Protocol

from mosswalk.actors import Clock, to_us
from mosswalk.config import WorkerLimits
from mosswalk.fleet.command_log import CommandLog
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.offers import OfferPlanner
from mosswalk.fleet.outcome_sender import OutcomeSender
from mosswalk.fleet.report_evaluation import evaluate_report
from mosswalk.fleet.stopping import StopRegistry
from mosswalk.fleet.task_failures import TaskFailures
from mosswalk.fleet.worker_tokens import WorkerTokens
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import parse_task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.wire.peers import Outcome
from mosswalk.wire.workers import MAX_COMMANDS_PER_MESSAGE, Command, Report

log = logging.getLogger(__name__)

# A new term is requested if a machine reports more ended attempts than this that can't be reaped in
# the current one. It keeps reports well below the size that PROTOCOL allows.
_MAX_WAITING_REAPS = 256
# In these phases the image of a task is on its machine.
_PHASES_WITH_IMAGE = ("running", "gathering")


class ReportListener(Protocol):
    """Receives the changes that reports show."""

    def fleet_changed(self) -> None:
        """Called when a report has changed something on which offers depend."""

    def machine_up(self, machine: Machine) -> None:
        """Called when a machine that was not up yet reports to this leader."""

    def release(self, machine: Machine, reason: str) -> None:
        """Release a machine."""


def next_report_confirms(registry: JobRegistry, command: Command) -> bool:
    """Whether the next report of a machine shows if it has executed a command.

    A task of a gang that is being stopped may be reported as running until all of them exit.
    """
    parsed_name = parse_task_name(command.task)
    job = registry.jobs.get(parsed_name[0]) if parsed_name is not None else None
    return command.op != "kill" or job is None or not job.is_gang


class ReportIntake:
    """Updates the inventory from reports, and answers them with commands."""

    def __init__(
        self,
        limits: WorkerLimits,
        inventory: Inventory,
        registry: JobRegistry,
        leadership: Leadership,
        tokens: WorkerTokens,
        offers: OfferPlanner,
        outcome_sender: OutcomeSender,
        command_sender: CommandSender,
        command_log: CommandLog,
        stops: StopRegistry,
        failures: TaskFailures,
        listener: ReportListener,
        clock: Clock,
    ) -> None:
        self._lease_us = to_us(limits.lease_s)
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._tokens = tokens
        self._offers = offers
        self._outcome_sender = outcome_sender
        self._command_sender = command_sender
        self._command_log = command_log
        self._stops = stops
        self._failures = failures
        self._listener = listener
        self._clock = clock
        # The lowest token when this controller began to lead. Machines that report it or a higher
        # one have received a message of this leader.
        self._first_token = 0
        # Since when workers may be reconnecting to this leader.
        self._reconnecting_since_us = 0

    def start_leading(self) -> None:
        """Start to process reports for a leadership that begins now."""
        self._first_token = self._tokens.lowest()
        self.restart_after_pause()

    def restart_after_pause(self) -> None:
        """Restart the time in which workers may be reconnecting.

        They may have reported to other controllers while this process was suspended.
        """
        self._reconnecting_since_us = self._clock.now_us()

    def process(self, report: Report, *, is_periodic: bool) -> list[Command]:
        """Process a report, or the answer to /orders; return the commands to answer a report with.

        They must be sent with ``answer_token``.
        """
        now_us = self._clock.now_us()
        if self._inventory.is_gone(report.machine):
            return []
        machine = self._inventory.machines.get(report.machine)
        if machine is None:
            if report.token < self._first_token:
                # Perhaps a late copy from a machine long gone. A machine that still runs learns the
                # term from this answer and reports again within half a second.
                return []
            log.info(
                "machine %s (%s, %s) reports but is not known: added to the inventory",
                report.machine,
                report.type,
                report.zone,
            )
            machine = self._inventory.adopt(
                report.machine, report.type, report.zone, report.spot, "booting", now_us
            )
        if not machine.is_new_report(report):
            # A late report: its contents are outdated.
            return []
        before = self._usability_state(machine)
        tasks_before, was_known = machine.tasks, machine.has_acknowledged_leader
        if is_periodic:
            machine.check_answer_received(report, now_us, self._lease_us)
        else:
            machine.record_direct_answer()
        machine.address = report.address
        machine.session, machine.sequence = report.session, report.sequence
        machine.token = max(machine.token, report.token)
        if report.token >= self._first_token:
            self._record_contact(machine, report, is_periodic=is_periodic)
        elif machine.phase != "up" and is_periodic and machine.probed_at_us is None:
            # Probably just booted: the probe shows it the term, so that it can be used at once.
            self._command_sender.probe(machine)
        changed = machine.update_tasks(report.tasks)
        evaluation = evaluate_report(
            machine,
            report,
            self._registry.attempts_on(machine.name),
            self._tokens.lowest(),
            lambda job_id, index, number: self._stops.grace_s(machine, (job_id, index, number)),
            self._is_startable,
            may_start=self._leadership.may_start_tasks(),
            is_periodic=is_periodic,
        )
        for task in evaluation.unrecorded:
            # A new leader's first report of a machine also lists what ended under the previous one.
            is_new = (task.task, task.attempt) not in tasks_before
            if is_new and (was_known or task.phase != "exited"):
                self._command_log.unrecorded_attempt(machine.name, task)
        # A report of a term before this leader's may be a late copy and proves nothing.
        outcomes = evaluation.outcomes if machine.has_acknowledged_leader else []
        for outcome in outcomes:
            self._log_if_lost(outcome, report)
            self._outcome_sender.add_reported(outcome)
        if outcomes:
            self._outcome_sender.send_new()
        if changed or before != self._usability_state(machine):
            # Most reports change nothing, so capacity and offers are recomputed only for those that
            # do.
            self._offers.mark_changed(machine.name)
            self._listener.fleet_changed()
        if not is_periodic:
            return []
        commands = self._answerable(machine, evaluation.commands)
        confirmable = tuple(
            command for command in commands if next_report_confirms(self._registry, command)
        )
        machine.record_answer(self._tokens.current(machine), confirmable, now_us)
        return commands

    def _log_if_lost(self, outcome: Outcome, report: Report) -> None:
        """Log which report first shows that an attempt is lost: of a later session, or without it.

        A report of the attempt's own session shows it only for an attempt that is to be stopped.
        """
        if outcome.kind == "lost" and not self._outcome_sender.is_pending(outcome):
            log.info(
                "%s attempt %d on %s is lost by report %d.%d in term %d",
                outcome.task,
                outcome.attempt,
                outcome.machine,
                report.session,
                report.sequence,
                self._leadership.term_number(),
            )

    def answer_token(self, report: Report) -> int:
        """The token for the answer to a report that has been processed."""
        return self._tokens.current(self._inventory.machines.get(report.machine))

    def _answerable(self, machine: Machine, commands: list[Command]) -> list[Command]:
        """The commands to send now; the others follow from the next report again.

        An attempt is reaped only with a token that outdates its start. In a term with a single
        token it waits for the next term, and the worker goes on reporting it.
        """
        reaps = [command for command in commands if command.op == "reap"]
        if reaps and not self._tokens.outdate_starts(machine):
            waiting = {
                command
                for command in reaps
                if self._tokens.may_start_again(machine, (command.task, command.attempt))
            }
            commands = [command for command in commands if command not in waiting]
            if len(waiting) > _MAX_WAITING_REAPS:
                log.info(
                    "requesting a new term: %d ended attempts on %s can't be reaped in this one",
                    len(waiting),
                    machine.name,
                )
                self._leadership.request_new_term()
        return commands[:MAX_COMMANDS_PER_MESSAGE]

    def _is_startable(self, job_id: str) -> bool:
        job = self._registry.jobs.get(job_id)
        return job is not None and job.startable

    def _usability_state(self, machine: Machine) -> tuple[object, ...]:
        """All that reports can change about whether and how a machine is used, except its tasks."""
        return (
            machine.session,
            machine.phase,
            machine.has_acknowledged_leader,
            machine.known_from_record_only,
            machine.not_receiving_since_us is None,
            machine.spot_notice_until_us is None,
            machine.unhealthy,
            machine.releasing is None,
            self._offers.is_silent(machine),
        )

    def _record_contact(self, machine: Machine, report: Report, *, is_periodic: bool) -> None:
        """Update a machine that has reported in a term of this leader: it runs and is reachable."""
        now_us = self._clock.now_us()
        machine.has_acknowledged_leader = True
        if machine.phase != "up":
            self._listener.machine_up(machine)
            machine.last_seen_at_us = now_us
        if machine.known_from_record_only:
            machine.known_from_record_only = False
            machine.type, machine.zone, machine.spot = report.type, report.zone, report.spot
        if is_periodic or now_us - self._reconnecting_since_us < self._lease_us:
            # The leader sends commands between reports by POST /orders, and the worker's answer is
            # a report too, but it does not renew the worker's lease. A machine whose periodic
            # reports don't reach this leader counts as seen only while it may still be reconnecting
            # from the previous leader.
            machine.last_seen_at_us = now_us
        had_notice = machine.spot_notice_until_us is not None
        machine.spot_notice_until_us = (
            now_us + to_us(report.spot_notice_s) if report.spot_notice_s is not None else None
        )
        if machine.spot_notice_until_us is not None and not had_notice:
            log.info("machine %s: spot notice, %.1f s left", machine.name, report.spot_notice_s)
        if report.tasks != machine.reported_tasks:
            self._record_task_changes(machine, report)

    def _record_task_changes(self, machine: Machine, report: Report) -> None:
        """Update the machine's health from new exits, and its cached images from running tasks.

        A machine that is now found unhealthy is released.
        """
        machine_type = self._inventory.types.get(machine.type)
        for task in report.tasks:
            before = machine.tasks.get((task.task, task.attempt))
            if before is not None and before.phase == task.phase:
                continue
            parsed_name = parse_task_name(task.task)
            job = self._registry.jobs.get(parsed_name[0]) if parsed_name is not None else None
            if task.phase in _PHASES_WITH_IMAGE and job is not None and machine_type is not None:
                machine.record_image_use(job.spec.image, job.spec.image_gb, machine_type.cache_gb)
            if task.phase != "exited" or parsed_name is None:
                continue
            self._failures.record_exit(machine, parsed_name[0], task)
        if self._failures.is_unhealthy(machine) and not machine.unhealthy:
            machine.unhealthy = True
            self._listener.release(machine, "unhealthy: its tasks fail repeatedly")
