"""All jobs that are not over, kept by the mirror, with the indexes the deciders need."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from mosswalk.jobs.state import Job, Usage
from mosswalk.store import records
from mosswalk.store.mirror import Mirror
from mosswalk.store.records import Attempt, TaskChunk

log = logging.getLogger(__name__)

AttemptKey = tuple[str, int, int]


class OrphanedChunk(NamedTuple):
    """A chunk that is no job's, and the version of the job's header by which that is known."""

    job: str
    version: int
    key: str


class JobRegistry:
    """Jobs by id, and live attempts by machine."""

    def __init__(self, mirror: Mirror) -> None:
        self.jobs: dict[str, Job] = {}
        # Kept with each change: whoever plans asks many times a second, and a job changes seldom.
        # Open jobs by team that have tasks to be placed; withdrawn ones; what each team takes.
        self.unplaced: dict[str, dict[str, Job]] = {}
        self.withdrawn: dict[str, Job] = {}
        self._usage: dict[str, Usage] = {}
        self.attempts_by_machine: dict[str, dict[AttemptKey, Attempt]] = {}
        # By job, layout and number; only those of the layout that the header names are the job's.
        self._chunks: dict[str, dict[tuple[int, int], TaskChunk]] = {}
        self._indexed: dict[tuple[str, int], tuple[Attempt, ...]] = {}
        # Called with (machine, job, attempt) when an attempt appears.
        self.on_attempt_added: list[Callable[[str, Job, Attempt], None]] = []
        # Gangs of which attempts may be running.
        self.gangs: dict[str, Job] = {}
        # Called with a job that was open and is withdrawn now.
        self.on_withdrawn: list[Callable[[Job], None]] = []
        # Called with a gang whose attempt has just ended before it was done.
        self.on_gang_ending: list[Callable[[Job], None]] = []
        # Called with a machine's name when what is placed on it has changed.
        self.on_machine_changed: list[Callable[[str], None]] = []
        mirror.listen(records.JOB_PREFIX, self._job_changed)
        mirror.listen(records.CHUNK_PREFIX, self._chunk_changed)

    def _index(self, job_id: str, chunk: int, live: tuple[Attempt, ...]) -> list[Attempt]:
        old = self._indexed.get((job_id, chunk), ())
        if live:
            self._indexed[(job_id, chunk)] = live
        else:
            self._indexed.pop((job_id, chunk), None)
        kept = set(live)
        changed: set[str] = set()
        for attempt in old:
            if attempt not in kept:
                changed.add(attempt.machine)
                there = self.attempts_by_machine.get(attempt.machine)
                if there is not None:
                    there.pop((job_id, attempt.task, attempt.number), None)
                    if not there:
                        del self.attempts_by_machine[attempt.machine]
        known = set(old)
        fresh = [a for a in live if a not in known]
        for attempt in fresh:
            there = self.attempts_by_machine.setdefault(attempt.machine, {})
            there[(job_id, attempt.task, attempt.number)] = attempt
            changed.add(attempt.machine)
        for action in self.on_machine_changed:
            for machine in changed:
                action(machine)
        return fresh

    def _announce(self, job: Job, fresh: Iterable[Attempt]) -> None:
        for attempt in fresh:
            for action in self.on_attempt_added:
                action(attempt.machine, job, attempt)

    def _replace(self, job_id: str, job: Job | None) -> None:
        """Put a job in the place of what was known of it."""
        old = self.jobs.pop(job_id, None)
        if old is not None:
            self._usage[old.spec.team].add(old, -old.record.live_count)
            self.unplaced[old.spec.team].pop(job_id, None)
            self.withdrawn.pop(job_id, None)
            self.gangs.pop(job_id, None)
        if job is None:
            return
        self.jobs[job_id] = job
        # A team's share is looked up by its name though it has nothing to place at the moment.
        self._usage.setdefault(job.spec.team, Usage()).add(job, job.record.live_count)
        unplaced = self.unplaced.setdefault(job.spec.team, {})
        if not job.open:
            self.withdrawn[job_id] = job
        elif job.pending_count() > 0:
            unplaced[job_id] = job
        if job.is_gang and job.record.live_count > 0:
            self.gangs[job_id] = job

    def usage(self) -> dict[str, Usage]:
        """What each team takes, by every attempt that may be running; the caller's to change."""
        return {team: Usage(used.cpus, used.gpus) for team, used in self._usage.items()}

    def _job_changed(self, key: str, value: bytes | None, version: int) -> None:
        job_id = key.removeprefix(records.JOB_PREFIX)
        if value is None:
            self._replace(job_id, None)
            for owner, chunk in [k for k in self._indexed if k[0] == job_id]:
                self._index(owner, chunk, ())
            return
        try:
            record = records.decode_job_record(value)
        except msgspec.DecodeError as error:
            log.error("job record %s can't be read: %s", key, error)
            return
        job = Job(record, version)
        before = self.jobs.get(job_id)
        for (layout, number), tasks in self._chunks.get(job_id, {}).items():
            if layout == record.layout:
                job.chunks[number] = tasks
        self._replace(job_id, job)
        fresh: list[Attempt] = []
        if before is None:
            # When all keys are read anew, chunks come before their job's header. Unindexed, a
            # leader just started would take their attempts for strays and kill them.
            for number, tasks in job.chunks.items():
                fresh += self._index(job_id, number, tasks.live)
        if before is None or before.record.layout == record.layout:
            self._announce(job, [*self._index(job_id, 0, record.tasks.live), *fresh])
        else:
            self._announce(job, self._index_anew(job_id, job))
        self._tell_of_end(before, job)

    def _index_anew(self, job_id: str, job: Job) -> list[Attempt]:
        """Index a job whose layout has changed; the attempts that were not there before."""
        known = {a for (j, _), live in self._indexed.items() if j == job_id for a in live}
        for other, chunk in [k for k in self._indexed if k[0] == job_id]:
            if chunk and chunk not in job.chunks:
                self._index(other, chunk, ())
        fresh = self._index(job_id, 0, job.record.tasks.live)
        for number, tasks in job.chunks.items():
            fresh += self._index(job_id, number, tasks.live)
        # An attempt that moves to another chunk leaves the one it was in after it has come.
        for attempt in job.live_attempts():
            there = self.attempts_by_machine.setdefault(attempt.machine, {})
            there[(job_id, attempt.task, attempt.number)] = attempt
        return [attempt for attempt in fresh if attempt not in known]

    def _tell_of_end(self, before: Job | None, job: Job) -> None:
        if before is None:
            return
        if before.record.phase == "open" and job.record.phase != "open":
            for action in self.on_withdrawn:
                action(job)
        elif job.gang_ending and not before.gang_ending and job.open:
            for action in self.on_gang_ending:
                action(job)

    def _chunk_changed(self, key: str, value: bytes | None, _version: int) -> None:
        chunk = records.parse_chunk_key(key)
        job_id, number = chunk.job, chunk.chunk
        chunks = self._chunks.setdefault(job_id, {})
        job = self.jobs.get(job_id)
        current = job is not None and job.record.layout == chunk.layout
        if value is None:
            chunks.pop((chunk.layout, number), None)
            if not chunks:
                del self._chunks[job_id]
            if job is not None and current:
                job.chunks.pop(number, None)
            if current or job is None:
                self._index(job_id, number, ())
            return
        tasks = records.decode_chunk(value)
        chunks[(chunk.layout, number)] = tasks
        if job is not None and current:
            job.chunks[number] = tasks
            self._announce(job, self._index(job_id, number, tasks.live))

    def orphaned_chunks(self) -> list[OrphanedChunk]:
        """Chunks that are no job's: of jobs that are over, or of a layout given up."""
        found: list[OrphanedChunk] = []
        for job_id, chunks in self._chunks.items():
            job = self.jobs.get(job_id)
            # Chunks named by the header's version are being written for its next layout.
            kept = (job.record.layout, job.version) if job is not None else ()
            for layout, number in chunks:
                if layout not in kept:
                    key = records.chunk_key(job_id, number, layout)
                    found.append(OrphanedChunk(job_id, job.version if job is not None else 0, key))
        return found

    def attempts_on(self, machine: str) -> dict[AttemptKey, Attempt]:
        """The live attempts on a machine."""
        return self.attempts_by_machine.get(machine, {})

    def is_live(self, key: AttemptKey) -> bool:
        """Whether an attempt is in its job's record."""
        job = self.jobs.get(key[0])
        return job is not None and job.find_attempt(key[1], key[2]) is not None
