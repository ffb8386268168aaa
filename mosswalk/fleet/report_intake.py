"""Takes the workers' reports: what each tells of its machine and its tasks, and what to order.

Only while this controller leads. A report counts by its order, its epoch and whether its machine
hears us: docs/design.md, "What a report proves".
"""

from __future__ import annotations

import logging
from typing import Protocol

from mosswalk.actors import Clock, to_us
from mosswalk.config import WorkerLimits
from mosswalk.fleet.command_sender import CommandSender
from mosswalk.fleet.inventory import Inventory, Machine
from mosswalk.fleet.offers import OfferPlanner
from mosswalk.fleet.outcome_sender import OutcomeSender
from mosswalk.fleet.report_evaluation import evaluate_report
from mosswalk.fleet.stopping import StopRegistry
from mosswalk.fleet.task_failures import TaskFailures
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import parse_task_name
from mosswalk.leadership.actor import Leadership
from mosswalk.wire.workers import Command, Report

log = logging.getLogger(__name__)

# In these phases a task's image is on its machine.
_PHASES_WITH_IMAGE = ("running", "gathering")


class ReportListener(Protocol):
    """Who acts on what reports tell."""

    def fleet_changed(self) -> None:
        """A report has told something that a plan may be made of."""

    def machine_up(self, machine: Machine) -> None:
        """A machine reports for the first time."""

    def release(self, machine: Machine, why: str) -> None:
        """Return a machine."""


def next_report_confirms(registry: JobRegistry, command: Command) -> bool:
    """Whether a machine's next report tells if it has carried out an order.

    A gang's task that is being stopped may be reported as running until all of them exit.
    """
    parsed_name = parse_task_name(command.task)
    job = registry.jobs.get(parsed_name[0]) if parsed_name is not None else None
    return command.op != "kill" or job is None or not job.is_gang


class ReportIntake:
    """Keeps the inventory in step with reports, and answers them with orders."""

    def __init__(
        self,
        limits: WorkerLimits,
        inventory: Inventory,
        registry: JobRegistry,
        leadership: Leadership,
        offers: OfferPlanner,
        outcome_sender: OutcomeSender,
        command_sender: CommandSender,
        stops: StopRegistry,
        failures: TaskFailures,
        listener: ReportListener,
        clock: Clock,
    ) -> None:
        self._lease_us = to_us(limits.lease_s)
        self._inventory = inventory
        self._registry = registry
        self._leadership = leadership
        self._offers = offers
        self._outcome_sender = outcome_sender
        self._command_sender = command_sender
        self._stops = stops
        self._failures = failures
        self._listener = listener
        self._clock = clock
        # The epoch with which we began to lead: machines that have seen it hear us.
        self._first_term = 0
        # Since when workers have been finding their way to us.
        self._reconnecting_since_us = 0

    def start_leading(self, first_term: int) -> None:
        """This controller begins to lead."""
        self._first_term = first_term
        self.restart_after_pause()

    def restart_after_pause(self) -> None:
        """This controller stood still: workers may have turned to others meanwhile."""
        self._reconnecting_since_us = self._clock.now_us()

    def process(self, report: Report, *, is_periodic: bool) -> list[Command]:
        """Take a report, or the answer to /orders; the orders for the answer to a report."""
        now_us = self._clock.now_us()
        if self._inventory.is_gone(report.machine):
            return []
        machine = self._inventory.machines.get(report.machine)
        if machine is None:
            if report.term < self._first_term:
                # Perhaps a late copy from a machine long gone. If it is there, it hears our
                # epoch with this answer and reports again within half a second.
                return []
            log.info(
                "machine %s (%s, %s) reports unexpected", report.machine, report.type, report.zone
            )
            machine = self._inventory.adopt(
                report.machine, report.type, report.zone, report.spot, "booting", now_us
            )
        if not machine.is_new_report(report):
            # A late report: what it lists is as old as it is.
            return []
        before = self._usability_state(machine)
        if is_periodic:
            machine.check_answer_received(report, now_us, self._lease_us)
        else:
            machine.record_direct_answer()
        machine.address = report.address
        machine.session, machine.sequence = report.session, report.sequence
        machine.term = max(machine.term, report.term)
        if report.term >= self._first_term:
            self._record_contact(machine, report, is_periodic=is_periodic)
        elif machine.phase != "up" and is_periodic and machine.probed_at_us is None:
            # Just up, as it seems: let it see our epoch at once, and it can be used at once.
            self._command_sender.probe(machine)
        changed = machine.update_tasks(report.tasks)
        evaluation = evaluate_report(
            machine,
            report,
            self._registry.attempts_on(machine.name),
            self._leadership.term_number(),
            lambda job_id, index, number: self._stops.grace_s(machine, (job_id, index, number)),
            self._is_startable,
            may_start=self._leadership.may_start_tasks(),
            is_periodic=is_periodic,
        )
        # A report from before our time may be a late copy: it proves nothing.
        outcomes = evaluation.outcomes if machine.has_acknowledged_leader else []
        for outcome in outcomes:
            self._outcome_sender.add_reported(outcome)
        if outcomes:
            self._outcome_sender.send_new()
        if changed or before != self._usability_state(machine):
            # Most reports tell nothing new: room and plans are worked out for the others only.
            self._offers.mark_changed(machine.name)
            self._listener.fleet_changed()
        for command in evaluation.commands:
            log.debug("order to %s: %s", machine.name, command)
        if is_periodic:
            confirmable = tuple(
                command
                for command in evaluation.commands
                if next_report_confirms(self._registry, command)
            )
            machine.record_answer(self._leadership.term_number(), confirmable, now_us)
        return evaluation.commands

    def _is_startable(self, job_id: str) -> bool:
        job = self._registry.jobs.get(job_id)
        return job is not None and job.startable

    def _usability_state(self, machine: Machine) -> tuple[object, ...]:
        """All that a report can change of whether and how a machine is used, besides its tasks."""
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
        """A machine has reported under an epoch of ours, so it is there and hears us."""
        now_us = self._clock.now_us()
        machine.has_acknowledged_leader = True
        if machine.phase != "up":
            self._listener.machine_up(machine)
            machine.last_seen_at_us = now_us
        if machine.known_from_record_only:
            machine.known_from_record_only = False
            machine.type, machine.zone, machine.spot = report.type, report.zone, report.spot
        if is_periodic or now_us - self._reconnecting_since_us < self._lease_us:
            # Answers to /orders do not renew its lease: a machine whose reports do not reach us
            # is well only as long as it may still be on its way from the leader before us.
            machine.last_seen_at_us = now_us
        had_notice = machine.spot_notice_until_us is not None
        machine.spot_notice_until_us = (
            now_us + to_us(report.spot_notice_s) if report.spot_notice_s is not None else None
        )
        if machine.spot_notice_until_us is not None and not had_notice:
            log.info("machine %s: notice of %.1f s", machine.name, report.spot_notice_s)
        if report.tasks != machine.reported_tasks:
            self._record_task_changes(machine, report)

    def _record_task_changes(self, machine: Machine, report: Report) -> None:
        """What new exits tell of the machine, and running tasks of its cached images."""
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
            self._listener.release(machine, "fails its tasks")
