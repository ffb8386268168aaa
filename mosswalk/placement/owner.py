"""The team owner: queues and places its teams' tasks, and records the outcomes of attempts.

It works in rounds. A round takes the outcomes and offers received since the last one, makes one
change per job from them and waits until all changes are committed or have failed. So a job never
has two changes in progress, and quota, spread and one-zone rules are checked against what is
committed or being committed by this owner alone.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

from mosswalk.actors import SECOND_US, Clock
from mosswalk.config import Settings, Team
from mosswalk.jobs.layout import needs_split, split_records
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import (
    PROD_RANK,
    Assignment,
    Draft,
    Job,
    Usage,
    parse_task_name,
    record_limits,
)
from mosswalk.leadership.actor import Leadership
from mosswalk.placement.capacity import FreeCapacity, capacity_from_offer
from mosswalk.placement.failure_backoff import FailureBackoff
from mosswalk.placement.queues import QueueOrder, TeamQueue
from mosswalk.placement.received_outcomes import ReceivedOutcomes
from mosswalk.store import records
from mosswalk.store.client import ConflictError, RefusedError, UnknownOutcomeError
from mosswalk.store.mirror import Mirror
from mosswalk.store.records import TermRecord
from mosswalk.store.writer import Change, GroupWriter
from mosswalk.wire.peers import Offer, OfferAnswer, Outcome, Outcomes

log = logging.getLogger(__name__)

# While the write rate is exhausted, outcomes of completed tasks are deferred for up to this time if
# their job continues: each change of a job costs a write, however many of its tasks it covers.
_MAX_DEFERRAL_US = 2 * SECOND_US
# While prod work waits, a round changes only as many jobs for their outcomes as can be written in
# this time at this owner's share of the write rate.
_LIMITED_ROUND_WRITE_S = 0.8
# The lowest limit on the number of jobs that such a round changes.
_MIN_JOB_LIMIT = 8
# Outcomes of a gang are deferred for up to this time: its tasks are reported done within about this
# time of each other.
_MAX_GANG_DEFERRAL_US = 700_000
# How often jobs are checked for records that are too large.
_SPLIT_CHECK_INTERVAL_US = SECOND_US
# How many jobs have their records split at the same time.
_MAX_CONCURRENT_SPLITS = 4
_ERROR_RETRY_S = 0.2
_NO_JOB_LIMIT = 1 << 30


class Owner:
    """Places tasks of the teams that this controller owns in the current term."""

    def __init__(
        self,
        settings: Settings,
        mirror: Mirror,
        registry: JobRegistry,
        writer: GroupWriter,
        leadership: Leadership,
        clock: Clock,
    ) -> None:
        self._mirror = mirror
        self._registry = registry
        self._writer = writer
        self._leadership = leadership
        self._clock = clock
        self._limits = record_limits(settings.params.state)
        self._write_rps = settings.params.state.write_rps
        self._max_outcome_jobs = _MIN_JOB_LIMIT
        self._queue_order = QueueOrder(settings.params.objectives, settings.params.teams)
        self._teams = {team.name: team for team in settings.params.teams}
        self._outcomes = ReceivedOutcomes()
        # Since when outcomes of a job are deferred, by job.
        self._deferred_since_us: dict[str, int] = {}
        self._offers: list[tuple[Offer, asyncio.Future[OfferAnswer]]] = []
        self._wake = asyncio.Event()
        # Jobs whose records must be split before anything else is written to them.
        self._jobs_to_split: set[str] = set()
        self._split_checked_at_us = 0
        self._failures = FailureBackoff()
        mirror.on_settled(self._wake.set)

    # Messages from the leader.

    def receive_outcomes(self, message: Outcomes) -> None:
        """Accept outcomes of attempts, which a leader repeats until the records show them."""
        self._outcomes.add(message)
        if message.outcomes:
            self._wake.set()

    async def receive_offer(self, message: Offer) -> OfferAnswer:
        """Place tasks on the offered capacity; returns once the placements are committed."""
        future: asyncio.Future[OfferAnswer] = asyncio.get_running_loop().create_future()
        self._offers.append((message, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Run a round whenever there is something to do, forever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            offers, self._offers = self._offers, []
            try:
                await self._run_round(offers)
            except Exception:
                log.exception("placement round failed")
                await asyncio.sleep(_ERROR_RETRY_S)
            for _, future in offers:
                if not future.done():
                    future.set_result(OfferAnswer(self._mirror.revision, 0))
            self._discard_closed_jobs()

    async def _run_round(self, offers: list[tuple[Offer, asyncio.Future[OfferAnswer]]]) -> None:
        """Apply outcomes, place tasks on offers, commit one change per job, answer the offers."""
        if self._leadership.term is not None:
            self._share_write_rate(self._leadership.term)
            await self._split_records()
        # Offers and outcomes are compared with the term whose version guards the commits: nothing
        # is awaited from here until the guards are read.
        term = self._leadership.term
        if term is None:
            self._outcomes.clear()
            return
        drafts: dict[str, Draft] = {}
        self._end_partly_placed_gangs(drafts)
        self._apply_outcomes(drafts, term.term)
        for job in self._registry.withdrawn.values():
            # The last attempt ended while the job was being withdrawn: it only has to be closed.
            # An empty draft does that, because it puts the final record of such a job.
            if job.record.live_count == 0 and job.id not in drafts and self._may_change(job):
                drafts[job.id] = Draft(job, self._limits)
        remaining_assignments: dict[str, list[Assignment]] = {}
        answers: list[tuple[asyncio.Future[OfferAnswer], int]] = []
        usage = self._registry.usage()
        zones_by_machine: dict[str, str] = {}
        for offer, _ in offers:
            zones_by_machine.update(offer.machine_zones)
        for offer, future in offers:
            placed = 0
            if offer.term == term.term:
                for team_offer in offer.teams:
                    for machine_offer in team_offer.machines:
                        zones_by_machine[machine_offer.machine] = machine_offer.zone
                for team_offer in offer.teams:
                    if self._leadership.owns(team_offer.team) and team_offer.team in self._teams:
                        capacities = [capacity_from_offer(m) for m in team_offer.machines]
                        placed += self._place_team(
                            self._teams[team_offer.team],
                            capacities,
                            usage,
                            zones_by_machine,
                            drafts,
                            remaining_assignments,
                            term.term,
                        )
            answers.append((future, placed))
        guards = {records.TERM_KEY: self._leadership.term_version}
        changed = [draft for draft in drafts.values() if draft.has_changes()]
        revisions = await asyncio.gather(*(self._commit(d.to_change(guards)) for d in changed))
        for draft, committed in zip(changed, revisions, strict=True):
            if committed is not None:
                _log_placements(draft)
        revisions += await asyncio.gather(
            *(
                self._write_remaining(job_id, remaining, term.term)
                for job_id, remaining in remaining_assignments.items()
            )
        )
        # The commits have been applied to the mirror without calling those that wait for changes.
        self._mirror.notify_batch_applied()
        revision = max((r for r in revisions if r is not None), default=self._mirror.revision)
        for future, placed in answers:
            if not future.done():
                future.set_result(OfferAnswer(revision, placed))

    def _share_write_rate(self, term: TermRecord) -> None:
        """Take an equal share of the write rate, which is limited for all controllers together."""
        rate_share = 1.0 / max(1, len(set(term.owners.values())))
        self._writer.set_rate_share(rate_share)
        self._max_outcome_jobs = max(
            _MIN_JOB_LIMIT, int(self._write_rps * rate_share * _LIMITED_ROUND_WRITE_S)
        )

    def _may_change(self, job: Job) -> bool:
        """Whether changes of a job may be computed from its records here.

        A header that the mirror has ahead of other records may already count tasks that the job's
        other records here do not show yet. Its version would pass the guard, and the change would
        undo what was committed to those records.
        """
        return self._leadership.owns(job.spec.team) and self._is_settled(job)

    def _is_settled(self, job: Job) -> bool:
        return self._mirror.is_settled(records.job_key(job.id))

    async def _split_records(self) -> None:
        """Split records that the state service would reject, before anything else is written."""
        if not self._leadership.gangs_allowed():
            # Split records came with the same version as gangs: a controller of the first version
            # can't read them. The service's limits are lowered only after the upgrade.
            return
        now_us = self._clock.now_us()
        if now_us - self._split_checked_at_us >= _SPLIT_CHECK_INTERVAL_US:
            self._split_checked_at_us = now_us
            self._jobs_to_split = {
                job.id for job in self._registry.jobs.values() if needs_split(job, self._limits)
            }
        jobs = [
            job
            for job_id in sorted(self._jobs_to_split)
            if (job := self._registry.jobs.get(job_id)) is not None
            and self._may_change(job)
            and needs_split(job, self._limits)
        ]
        await asyncio.gather(*(self._split_job(job) for job in jobs[:_MAX_CONCURRENT_SPLITS]))

    async def _split_job(self, job: Job) -> None:
        """Commit the changes that split a job's records; stop at the first that fails."""
        guards = {
            records.TERM_KEY: self._leadership.term_version,
            records.job_key(job.id): job.version,
        }
        split = split_records(job, self._limits)
        for change in split.changes(guards, self._limits.txn_ops):
            if await self._commit(change) is None:
                return
        log.info("%s split into records of %d tasks", job.id, split.header.chunk_size)

    def _schedule_split_if_needed(self, job: Job) -> bool:
        """Whether a job's records must be split before they are written again.

        If so, they are split at the beginning of the next round, which is scheduled.
        """
        if not self._leadership.gangs_allowed() or not needs_split(job, self._limits):
            return False
        self._jobs_to_split.add(job.id)
        self._wake.set()
        return True

    def _end_partly_placed_gangs(self, drafts: dict[str, Draft]) -> None:
        """End the attempts of gangs of which only a part was recorded.

        A round waits for all its commits, so no round of this owner is still recording the rest:
        either a commit of it has failed, or another owner was recording it and has been replaced.
        """
        for job in self._registry.gangs.values():
            if job.record.gang_phase == "placing" and self._may_change(job):
                log.info(
                    "%s: ending gang attempt, only %d tasks were placed",
                    job.id,
                    job.record.live_count,
                )
                drafts[job.id] = Draft(job, self._limits)
                drafts[job.id].end_gang()

    async def _write_remaining(
        self, job_id: str, remaining: list[Assignment], term: int
    ) -> int | None:
        """Commit the part of a gang's attempt that did not fit its first transaction."""
        revision: int | None = None
        while remaining:
            job = self._registry.jobs.get(job_id)
            if job is None or job.record.gang_phase != "placing" or not job.open:
                break
            if not self._may_change(job):
                break
            draft = Draft(job, self._limits)
            previous_count = len(remaining)
            remaining = draft.place_gang(remaining, term)
            if len(remaining) == previous_count:
                break
            revision = await self._commit(
                draft.to_change({records.TERM_KEY: self._leadership.term_version})
            )
            if revision is None:
                break
            _log_placements(draft)
        return revision

    def _can_defer(self, job: Job, outcomes: list[tuple[int, int, Outcome]]) -> bool:
        """Whether a job's outcomes may be written later, together with further ones.

        They may not if they complete the job, if a task has to be placed again, or if the job is
        not open any more.
        """
        if any(outcome.kind != "done" for _, _, outcome in outcomes):
            return False
        if job.is_gang and job.record.phase == "open":
            # Its tasks complete together, so the outcomes of the others are about to arrive.
            if len(outcomes) >= job.record.live_count:
                return False
            now_us = self._clock.now_us()
            return (
                now_us - self._deferred_since_us.setdefault(job.id, now_us) < _MAX_GANG_DEFERRAL_US
            )
        if not job.open:
            return False
        if job.record.done_count + len(outcomes) >= job.spec.tasks or self._writer.has_spare_rate():
            return False
        now_us = self._clock.now_us()
        return now_us - self._deferred_since_us.setdefault(job.id, now_us) < _MAX_DEFERRAL_US

    def _outcomes_by_job(self, term: int) -> dict[str, list[tuple[int, int, Outcome]]]:
        """Take the outcomes of a term that the records don't show, with task and attempt."""
        by_job: dict[str, list[tuple[int, int, Outcome]]] = {}
        for outcome in self._outcomes.take(term):
            parsed = parse_task_name(outcome.task)
            job = self._registry.jobs.get(parsed[0]) if parsed is not None else None
            if parsed is None or job is None or not self._leadership.owns(job.spec.team):
                continue
            attempt = job.find_attempt(parsed[1], outcome.attempt)
            if attempt is None or attempt.machine != outcome.machine:
                continue
            by_job.setdefault(job.id, []).append((parsed[1], outcome.attempt, outcome))
        return by_job

    def _apply_outcomes(self, drafts: dict[str, Draft], term: int) -> None:
        """Record a term's outcomes in drafts of their jobs; defer those that need not be now."""
        by_job = self._outcomes_by_job(term)
        # A round waits for all its changes. While prod work waits, a round takes only as many
        # outcomes as can be written quickly: after a network partition, replicas waited 10 s for
        # the outcomes of arrays. Otherwise it takes all of them: with a slow state service, short
        # rounds get less done.
        limited = self._has_prod_work(by_job)
        # Prod jobs come first, the others in order of arrival. When all were sorted by priority,
        # outcomes of jobs of class ``idle`` were delayed for as long as a burst of ``standard``
        # jobs went on.
        prod_first = sorted(
            by_job.items(), key=lambda item: self._registry.jobs[item[0]].rank > PROD_RANK
        )
        for job_id, job_outcomes in prod_first:
            job = self._registry.jobs[job_id]
            over_limit = limited and len(drafts) >= self._max_outcome_jobs
            if (
                over_limit
                or not self._is_settled(job)
                or self._can_defer(job, job_outcomes)
                or self._schedule_split_if_needed(job)
            ):
                self._outcomes.add(Outcomes(term, tuple(o for _, _, o in job_outcomes)))
                if over_limit:
                    self._wake.set()
                continue
            self._deferred_since_us.pop(job_id, None)
            draft = drafts.setdefault(job_id, Draft(job, self._limits))
            for index, number, outcome in job_outcomes:
                if not draft.record_outcome(index, number, outcome.kind):
                    # It does not fit this round's transaction: the next round records it.
                    self._outcomes.add(Outcomes(term, (outcome,)))
                    self._wake.set()
                    continue
                log.info(
                    "%s attempt %d on %s: %s", outcome.task, number, outcome.machine, outcome.kind
                )
                self._failures.record_outcome(job_id, outcome, self._clock.now_us())

    def _has_prod_work(self, job_ids: Iterable[str]) -> bool:
        """Whether one of these jobs is prod work, or prod tasks of this owner wait to be placed."""
        jobs = self._registry.jobs
        return any(jobs[job_id].rank == PROD_RANK for job_id in job_ids) or any(
            job.rank == PROD_RANK
            for team, unplaced in self._registry.unplaced.items()
            if self._leadership.owns(team)
            for job in unplaced.values()
        )

    def _place_team(
        self,
        team: Team,
        capacities: list[FreeCapacity],
        usage: dict[str, Usage],
        zones_by_machine: dict[str, str],
        drafts: dict[str, Draft],
        remaining_assignments: dict[str, list[Assignment]],
        term: int,
    ) -> int:
        """Place a team's tasks on offered capacity, in drafts; return how many were placed.

        The part of a gang that does not fit its first transaction goes to
        ``remaining_assignments``.
        """
        delayed_jobs = self._failures.delayed_jobs(self._clock.now_us())
        team_usage = usage.setdefault(team.name, Usage())
        jobs = [
            job
            for job in self._registry.unplaced.get(team.name, {}).values()
            if job.id not in drafts
            and self._is_settled(job)
            and not self._schedule_split_if_needed(job)
        ]
        queue = TeamQueue(
            team,
            jobs,
            team_usage,
            zones_by_machine,
            self._failures.avoided_machines,
            delayed_jobs,
            self._queue_order,
            self._clock.wall_us(),
        )
        placed = 0
        # While prod work waits, a round may change as many jobs again for placements as it does for
        # outcomes. Jobs are placed in order of urgency, so the most urgent ones are not delayed.
        max_jobs = 2 * self._max_outcome_jobs if self._has_prod_work(()) else _NO_JOB_LIMIT
        while len(drafts) < max_jobs and (placement := queue.place_next(capacities)) is not None:
            draft = drafts.get(placement.job.id)
            if draft is None:
                draft = drafts[placement.job.id] = Draft(placement.job, self._limits)
            assignments = [
                Assignment(i, capacity.machine, capacity.session)
                for i, capacity in placement.task_capacities()
            ]
            if placement.job.is_gang:
                remaining = draft.place_gang(assignments, term)
                if remaining:
                    remaining_assignments[placement.job.id] = remaining
                placed += len(assignments)
            elif draft.place(assignments[0], term) is not None:
                placed += 1
        # Attempts that end in this round still count; the next round's usage is without them.
        usage[team.name] = queue.usage
        return placed

    async def _commit(self, change: Change) -> int | None:
        """Commit a change and apply it to the mirror; return its revision, or None if it failed.

        After a conflict, returns once the watch has shown what the change conflicted with. That may
        be an earlier copy of the change itself, with attempts that count against the team's limit.
        """
        try:
            revision = await self._writer.commit(change)
        except ConflictError as conflict:
            log.info("placement commit failed at revision %d: %s", conflict.revision, conflict)
            await self._mirror.wait_for_revision(conflict.revision)
            return None
        except (RefusedError, UnknownOutcomeError) as error:
            log.info("placement commit abandoned: %s", error)
            return None
        self._mirror.apply_change(change, revision)
        return revision

    def _discard_closed_jobs(self) -> None:
        jobs = self._registry.jobs
        self._failures.retain_only(jobs)
        for job_id in [job_id for job_id in self._deferred_since_us if job_id not in jobs]:
            del self._deferred_since_us[job_id]


def _log_placements(draft: Draft) -> None:
    for attempt in draft.placed:
        log.info(
            "placed %s/%d attempt %d on %s",
            draft.job.id,
            attempt.task,
            attempt.number,
            attempt.machine,
        )
