"""What a controller that does not lead answers to workers.

Mostly it sends them on to the leader. Where nobody else can, it keeps their tasks alive.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from mosswalk.actors import SECOND_US, Clock, to_us
from mosswalk.config import WorkerLimits
from mosswalk.fleet.recent_workers import RecentWorkers
from mosswalk.fleet.report_evaluation import kill_commands_for_closed_jobs
from mosswalk.jobs.registry import JobRegistry
from mosswalk.leadership.actor import Leadership
from mosswalk.wire.workers import Redirect, Report, ReportAnswer

log = logging.getLogger(__name__)

# The leader asks each second or two how many workers came.
_ASKED_US = 2 * SECOND_US


class FollowerReports:
    """Answers reports while another controller leads, or while this one may not answer."""

    def __init__(
        self, limits: WorkerLimits, registry: JobRegistry, leadership: Leadership, clock: Clock
    ) -> None:
        self._registry = registry
        self._leadership = leadership
        # Long enough that the leader misses none of them.
        self.recent_workers = RecentWorkers(_ASKED_US + to_us(limits.report_s), clock)
        # Workers sent to the leader within a lease: one that comes back was not answered there.
        self._sent_on = RecentWorkers(to_us(limits.lease_s), clock)
        # Whether no leader can be reached from here, nor anybody who could name one.
        self.no_leader_reachable: Callable[[], bool] = lambda: False
        # Whether the state service serves nobody who can be reached.
        self.no_peer_reaches_state_service: Callable[[], bool] = lambda: False
        self._keeps = False

    def answer(self, report: Report) -> tuple[int, bytes]:
        """The status and the body of the answer to a report."""
        if self._may_keep(report):
            orders = tuple(kill_commands_for_closed_jobs(report, self._registry.jobs))
            return 200, msgspec.json.encode(ReportAnswer(self._leadership.term_number(), orders))
        self.recent_workers.record(report.machine)
        self._sent_on.record(report.machine)
        return self._refusal()

    def _refusal(self) -> tuple[int, bytes]:
        leader = self._leadership.leader()
        if leader is not None and leader != self._leadership.node:
            return 421, msgspec.json.encode(Redirect(leader))
        return 503, b'{"error":"not entitled to answer"}'

    def _may_keep(self, report: Report) -> bool:
        """Whether to keep a machine's tasks alive although another controller leads.

        In a zone that is cut off nobody else can; and in an outage of the state service a leader
        that the workers can't reach is not able to hand over. A worker that has seen a higher
        epoch would drop our answer and stay with us until its lease ends, so it is sent on.
        """
        may_keep = (
            self.no_peer_reaches_state_service()
            and self._leadership.may_renew_worker_leases_as_follower()
        )
        keeps = may_keep and (self.no_leader_reachable() or self._sent_on.contains(report.machine))
        if keeps and not self._keeps:
            log.info("workers are kept alive here")
        elif self._keeps and not may_keep:
            log.info("workers are kept alive no more")
        self._keeps = may_keep and (keeps or self._keeps)
        return keeps and report.term <= self._leadership.term_number()
