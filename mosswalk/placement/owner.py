"""The team owner: queues and places its teams' tasks, and writes what became of them.

One round at a time: it takes the outcomes and offers that have come in, turns each job's into
one change and waits until every change is decided. So a job never has two changes under way,
and quota, spread and one-zone are judged on what is committed or being committed here alone.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

from mosswalk.actors import SECOND_US, Clock
from mosswalk.config import Settings, Team
from mosswalk.jobs.layout import needs_split, split_records
from mosswalk.jobs.registry import JobRegistry
from mosswalk.jobs.state import Assignment, Draft, Job, Usage, parse_task_name, record_limits
from mosswalk.leadership.actor import Leadership
from mosswalk.placement.capacity import FreeCapacity, capacity_from_offer
from mosswalk.placement.failure_backoff import FailureBackoff
from mosswalk.placement.queues import QueueOrder, TeamQueue
from mosswalk.store import records
from mosswalk.store.client import ConflictError, RefusedError, UnknownOutcomeError
from mosswalk.store.mirror import Mirror
from mosswalk.store.writer import Change, GroupWriter
from mosswalk.wire.peers import Offer, OfferAnswer, Outcome, Outcomes

log = logging.getLogger(__name__)

# While writes are scarce, completed tasks of a job that goes on are gathered this long: each
# change to a job costs a write, however many of its tasks it is about.
_GATHER_US = 2 * SECOND_US
# How long the outcomes of a hurried round may take to be written.
_ROUND_S = 0.8
_LEAST_IN_ROUND = 8
# A gang's tasks are reported done within about this long of one another.
_GANG_GATHER_US = 700_000
# How often jobs are searched for records that are too large, and how many are split at once.
_SEARCH_US = SECOND_US
_MOST_SPLIT = 4


class Owner:
    """Places for the teams this controller owns in the current term."""

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
        self._max_outcome_jobs = _LEAST_IN_ROUND
        self._urgency = QueueOrder(settings.params.objectives, settings.params.teams)
        self._teams = {team.name: team for team in settings.params.teams}
        self._outcomes: dict[tuple[str, int], Outcome] = {}
        # Since when completed tasks of a job wait to be written.
        self._gathered: dict[str, int] = {}
        self._offers: list[tuple[Offer, asyncio.Future[OfferAnswer]]] = []
        self._wake = asyncio.Event()
        # Jobs whose records are to be split before anything else is written to them.
        self._too_coarse: set[str] = set()
        self._searched_us = 0
        self._failures = FailureBackoff()

    # What others tell it.

    def receive_outcomes(self, message: Outcomes) -> None:
        """Outcomes of attempts; repeated by the leader until the records show them."""
        for outcome in message.outcomes:
            self._outcomes[(outcome.task, outcome.attempt)] = outcome
        if message.outcomes:
            self._wake.set()

    async def receive_offer(self, message: Offer) -> OfferAnswer:
        """Room for tasks; answered once what was placed is committed."""
        future: asyncio.Future[OfferAnswer] = asyncio.get_running_loop().create_future()
        self._offers.append((message, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Rounds for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            offers, self._offers = self._offers, []
            try:
                await self._round(offers)
            except Exception:
                log.exception("a placing round failed")
                await asyncio.sleep(0.2)
            for _, future in offers:
                if not future.done():
                    future.set_result(OfferAnswer(self._mirror.revision, 0))
            self._forget()

    # One round.

    async def _round(self, offers: list[tuple[Offer, asyncio.Future[OfferAnswer]]]) -> None:
        term = self._leadership.term
        if term is None:
            self._outcomes.clear()
            return
        # Writes are counted over all controllers, so owners take equal parts of them.
        part = 1.0 / max(1, len(set(term.owners.values())))
        self._writer.set_rate_share(part)
        self._max_outcome_jobs = max(_LEAST_IN_ROUND, int(self._write_rps * part * _ROUND_S))
        await self._split_records()
        drafts: dict[str, Draft] = {}
        self._end_partly_placed_gangs(drafts)
        self._apply_outcomes(drafts)
        for job in self._registry.withdrawn.values():
            # One whose last attempt went while it was being withdrawn.
            if (
                job.record.live_count == 0
                and job.id not in drafts
                and self._leadership.owns(job.spec.team)
            ):
                drafts[job.id] = Draft(job, self._limits)
        unwritten: dict[str, list[Assignment]] = {}
        placed_for: list[tuple[asyncio.Future[OfferAnswer], int]] = []
        usage = self._registry.usage()
        zones: dict[str, str] = {}
        for offer, _ in offers:
            zones.update(offer.machine_zones)
        for offer, future in offers:
            placed = 0
            if offer.term == term.term:
                for slots in offer.teams:
                    for slot in slots.machines:
                        zones[slot.machine] = slot.zone
                for slots in offer.teams:
                    if self._leadership.owns(slots.team) and slots.team in self._teams:
                        rooms = [capacity_from_offer(slot) for slot in slots.machines]
                        placed += self._place_team(
                            self._teams[slots.team],
                            rooms,
                            usage,
                            zones,
                            drafts,
                            unwritten,
                            term.term,
                        )
            placed_for.append((future, placed))
        guards = {records.TERM_KEY: self._leadership.term_version}
        changes = [d.to_change(guards) for d in drafts.values() if d.has_changes()]
        revisions = await asyncio.gather(*(self._commit(c) for c in changes))
        revisions += await asyncio.gather(
            *(self._write_rest(job_id, left, term.term) for job_id, left in unwritten.items())
        )
        self._mirror.notify_batch_applied()
        highest = max((r for r in revisions if r is not None), default=self._mirror.revision)
        for future, placed in placed_for:
            if not future.done():
                future.set_result(OfferAnswer(highest, placed))
        for draft in drafts.values():
            for attempt in draft.placed:
                log.info(
                    "placed %s/%d attempt %d on %s",
                    draft.job.id,
                    attempt.task,
                    attempt.number,
                    attempt.machine,
                )

    async def _split_records(self) -> None:
        """Split what the state service would not take again; nothing else is written before."""
        if not self._leadership.gangs_allowed():
            # The other version could not read it. Limits are lowered after the upgrade only.
            return
        now_us = self._clock.now_us()
        if now_us - self._searched_us >= _SEARCH_US:
            self._searched_us = now_us
            self._too_coarse = {
                job.id for job in self._registry.jobs.values() if needs_split(job, self._limits)
            }
        jobs = [
            job
            for job_id in sorted(self._too_coarse)
            if (job := self._registry.jobs.get(job_id)) is not None
            and self._leadership.owns(job.spec.team)
            and needs_split(job, self._limits)
        ]
        await asyncio.gather(*(self._split(job) for job in jobs[:_MOST_SPLIT]))

    async def _split(self, job: Job) -> None:
        guards = {
            records.TERM_KEY: self._leadership.term_version,
            records.job_key(job.id): job.version,
        }
        found = split_records(job, self._limits)
        for change in found.changes(guards, self._limits.txn_ops):
            if await self._commit(change) is None:
                return
        log.info("%s split into records of %d tasks", job.id, found.header.chunk_size)

    def _is_too_coarse(self, job: Job) -> bool:
        """Whether a job's records must be split before they are written again."""
        if not self._leadership.gangs_allowed() or not needs_split(job, self._limits):
            return False
        self._too_coarse.add(job.id)
        self._wake.set()
        return True

    def _end_partly_placed_gangs(self, drafts: dict[str, Draft]) -> None:
        """End gangs' attempts of which only a part was written.

        A round waits for all its commits, so whoever was writing the rest has failed or is gone.
        """
        for job in self._registry.gangs.values():
            if job.record.gang_phase == "placing" and self._leadership.owns(job.spec.team):
                log.info(
                    "%s: attempt given up, only %d tasks placed", job.id, job.record.live_count
                )
                drafts[job.id] = Draft(job, self._limits)
                drafts[job.id].end_gang()

    async def _write_rest(self, job_id: str, left: list[Assignment], term: int) -> int | None:
        """Write what of a gang's attempt did not fit its first commit."""
        revision: int | None = None
        while left:
            job = self._registry.jobs.get(job_id)
            if job is None or job.record.gang_phase != "placing" or not job.open:
                break
            draft = Draft(job, self._limits)
            before = len(left)
            left = draft.place_gang(left, term)
            if len(left) == before:
                break
            revision = await self._commit(
                draft.to_change({records.TERM_KEY: self._leadership.term_version})
            )
            if revision is None:
                break
        return revision

    def _may_wait(self, job: Job, outcomes: list[tuple[int, int, Outcome]]) -> bool:
        """Whether a job's outcomes may be written later, together with others to come.

        Not when the job ends by them, or when a task has to be placed again.
        """
        if any(outcome.kind != "done" for _, _, outcome in outcomes):
            return False
        if job.is_gang and job.record.phase == "open":
            # Its tasks complete together, so the others' reports are on their way.
            if len(outcomes) >= job.record.live_count:
                return False
            now_us = self._clock.now_us()
            return now_us - self._gathered.setdefault(job.id, now_us) < _GANG_GATHER_US
        if not job.open:
            return False
        if job.record.done_count + len(outcomes) >= job.spec.tasks or self._writer.has_spare_rate():
            return False
        now_us = self._clock.now_us()
        return now_us - self._gathered.setdefault(job.id, now_us) < _GATHER_US

    def _apply_outcomes(self, drafts: dict[str, Draft]) -> None:
        outcomes, self._outcomes = self._outcomes, {}
        by_job: dict[str, list[tuple[int, int, Outcome]]] = {}
        for (task, number), outcome in outcomes.items():
            split = parse_task_name(task)
            job = self._registry.jobs.get(split[0]) if split is not None else None
            if split is None or job is None or not self._leadership.owns(job.spec.team):
                continue
            attempt = job.find_attempt(split[1], number)
            if attempt is None or attempt.machine != outcome.machine:
                continue
            by_job.setdefault(job.id, []).append((split[1], number, outcome))
        # A round waits for all its changes. While replicas are down it takes no more than can be
        # written in a moment: after a cut they waited 10 s for arrays' outcomes. At other times
        # it takes all there are: with a slow state service, short rounds get less done.
        hurried = self._hurried(by_job)
        # Prod first, the others as they came: by rank, idle jobs' ends were written last of all
        # for as long as a burst of standard work lasted.
        prod_first = sorted(by_job.items(), key=lambda item: self._registry.jobs[item[0]].rank > 0)
        for job_id, found in prod_first:
            job = self._registry.jobs[job_id]
            full = hurried and len(drafts) >= self._max_outcome_jobs
            if full or self._may_wait(job, found) or self._is_too_coarse(job):
                self._outcomes.update({(o.task, number): o for _, number, o in found})
                if full:
                    self._wake.set()
                continue
            self._gathered.pop(job_id, None)
            draft = drafts.setdefault(job_id, Draft(job, self._limits))
            for index, number, outcome in found:
                if not draft.record_outcome(index, number, outcome.kind):
                    # Too many chunks for one commit: the leader will tell us again.
                    continue
                log.info(
                    "%s attempt %d on %s: %s", outcome.task, number, outcome.machine, outcome.kind
                )
                self._failures.record_outcome(job_id, outcome, self._clock.now_us())

    def _hurried(self, ended: Iterable[str]) -> bool:
        """Whether replicas of ours have just ended or wait for a place."""
        jobs = self._registry.jobs
        return any(jobs[job_id].rank == 0 for job_id in ended) or any(
            job.rank == 0
            for team, unplaced in self._registry.unplaced.items()
            if self._leadership.owns(team)
            for job in unplaced.values()
        )

    def _place_team(
        self,
        team: Team,
        rooms: list[FreeCapacity],
        usage: dict[str, Usage],
        zones: dict[str, str],
        drafts: dict[str, Draft],
        unwritten: dict[str, list[Assignment]],
        term: int,
    ) -> int:
        held = self._failures.delayed_jobs(self._clock.now_us())
        own = usage.setdefault(team.name, Usage())
        jobs = [
            job
            for job in self._registry.unplaced.get(team.name, {}).values()
            if job.id not in drafts and not self._is_too_coarse(job)
        ]
        queue = TeamQueue(
            team,
            jobs,
            own,
            zones,
            self._failures.avoided_machines,
            held,
            self._urgency,
            self._clock.wall_us(),
        )
        placed = 0
        # What is placed may take a round as long again, with the most urgent coming first anyway.
        most = 2 * self._max_outcome_jobs if self._hurried(()) else 1 << 30
        while len(drafts) < most and (placing := queue.place_next(rooms)) is not None:
            draft = drafts.get(placing.job.id)
            if draft is None:
                draft = drafts[placing.job.id] = Draft(placing.job, self._limits)
            places = [
                Assignment(i, room.machine, room.session) for i, room in placing.task_capacities()
            ]
            if placing.job.is_gang:
                left = draft.place_gang(places, term)
                if left:
                    unwritten[placing.job.id] = left
                placed += len(places)
            elif draft.place(places[0], term) is not None:
                placed += 1
        # Attempts settled in this round still count: their room shows in the next one.
        usage[team.name] = queue.usage
        return placed

    async def _commit(self, change: Change) -> int | None:
        try:
            revision = await self._writer.commit(change)
        except ConflictError as conflict:
            log.info("placing commit: %s", conflict)
            keys = [k for k in conflict.failed if not k.startswith(records.FINAL_PREFIX)]
            try:
                await self._mirror.refresh(keys)
            except (RefusedError, UnknownOutcomeError):
                log.debug("refresh after a conflict failed; the watch will tell")
            return None
        except (RefusedError, UnknownOutcomeError) as error:
            log.info("placing commit given up: %s", error)
            return None
        self._mirror.apply_change(change, revision)
        return revision

    def _forget(self) -> None:
        jobs = self._registry.jobs
        self._failures.retain_only(jobs)
        for job_id in [job_id for job_id in self._gathered if job_id not in jobs]:
            del self._gathered[job_id]
