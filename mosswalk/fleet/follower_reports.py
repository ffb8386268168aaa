"""Answers of a controller that does not lead to the reports of workers.

Workers are redirected to the leader. If no other controller can renew their leases, this one does,
to keep their tasks running.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from mosswalk.actors import SECOND_US, Clock, to_us
from mosswalk.config import WorkerLimits
from mosswalk.fleet.command_log import CommandLog
from mosswalk.fleet.recent_workers import RecentWorkers
from mosswalk.fleet.report_evaluation import kill_commands_for_closed_jobs
from mosswalk.jobs.registry import JobRegistry
from mosswalk.leadership.actor import Leadership
from mosswalk.wire.workers import MAX_COMMANDS_PER_MESSAGE, Redirect, Report, ReportAnswer

log = logging.getLogger(__name__)

# The longest time between two polls in which the leader asks its followers how many workers have
# reported to them: ``peers.health`` pauses for 1 s and waits up to 1 s for the answers. This value
# does not control the polls.
_MAX_LEADER_POLL_INTERVAL_US = 2 * SECOND_US


class FollowerReports:
    """Answers reports while another controller leads, or this leader may not renew leases."""

    def __init__(
        self,
        limits: WorkerLimits,
        registry: JobRegistry,
        leadership: Leadership,
        command_log: CommandLog,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._leadership = leadership
        self._command_log = command_log
        # Workers that reported here recently, which the leader asks for. The window spans the
        # interval between two polls and that between two reports, so that no worker is missed.
        self.recent_workers = RecentWorkers(
            _MAX_LEADER_POLL_INTERVAL_US + to_us(limits.report_s), clock
        )
        # Workers redirected within the last lease duration. If one of them reports here again, the
        # leader has not answered it.
        self._redirected = RecentWorkers(to_us(limits.lease_s), clock)
        # Whether this controller knows no leader that it can reach, and reaches no controller that
        # could name a new one.
        self.no_leader_reachable: Callable[[], bool] = lambda: False
        # Whether the state service serves neither this controller nor any that it can reach.
        self.no_peer_reaches_state_service: Callable[[], bool] = lambda: False
        self._renews_leases = False

    def answer(self, report: Report) -> tuple[int, bytes]:
        """Return status and body of the answer to a report."""
        if self._may_renew_lease(report):
            commands = kill_commands_for_closed_jobs(report, self._registry.jobs)
            # The leader of this term may have shown the worker a higher token than the first one.
            token = max(self._leadership.first_token(), report.token)
            answer = ReportAnswer(token, tuple(commands[:MAX_COMMANDS_PER_MESSAGE]))
            self._command_log.report_answered(report, answer.token, answer.commands)
            return 200, msgspec.json.encode(answer)
        # The leader asks for the count of the first; the second shows this controller whether a
        # worker comes back after it was sent away.
        self.recent_workers.record(report.machine)
        self._redirected.record(report.machine)
        return self._redirect_or_reject()

    def _redirect_or_reject(self) -> tuple[int, bytes]:
        """Redirect to the leader (421), or reject (503) if no other controller is known to lead."""
        leader = self._leadership.leader()
        if leader is not None and leader != self._leadership.node:
            return 421, msgspec.json.encode(Redirect(leader))
        return 503, b'{"error":"not entitled to answer"}'

    def _may_renew_lease(self, report: Report) -> bool:
        """Whether to renew a worker's lease although this controller does not lead.

        In a partitioned zone no other controller can, and in an outage of the state service a
        leader that the workers can't reach is unable to hand over. A worker that has seen a higher
        term is redirected: it would discard the answer and go on reporting here until its lease
        ends.
        """
        may_renew = (
            self.no_peer_reaches_state_service()
            and self._leadership.may_renew_worker_leases_as_follower()
        )
        renews = may_renew and (
            self.no_leader_reachable() or self._redirected.contains(report.machine)
        )
        if renews and not self._renews_leases:
            log.info("renewing worker leases as a follower")
        elif self._renews_leases and not may_renew:
            log.info("no longer renewing worker leases as a follower")
        self._renews_leases = may_renew and (renews or self._renews_leases)
        return renews and report.term <= self._leadership.term_number()
