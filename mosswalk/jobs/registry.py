"""All unfinished jobs, updated by the mirror, with the indexes that scheduling needs."""

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
    """A chunk that belongs to no job, and the version of the job's header that shows this.

    The version is 0 if the job has no header any more.
    """

    job: str
    version: int
    key: str


class JobRegistry:
    """Unfinished jobs by id, and live attempts by machine."""

    def __init__(self, mirror: Mirror) -> None:
        self.jobs: dict[str, Job] = {}
        # The next three are updated with each change of a job, because they are read many times a
        # second while a job changes seldom.
        # Open jobs with tasks to be placed, by team and id.
        self.unplaced: dict[str, dict[str, Job]] = {}
        # Jobs that are not open any more, by id.
        self.withdrawn: dict[str, Job] = {}
        # The resources that each team uses.
        self._usage: dict[str, Usage] = {}
        self.attempts_by_machine: dict[str, dict[AttemptKey, Attempt]] = {}
        # By job, then by layout and number. Only chunks of the header's layout belong to the job.
        self._chunks: dict[str, dict[tuple[int, int], TaskChunk]] = {}
        # The attempts last seen in each chunk, by job and chunk number.
        self._indexed_attempts: dict[tuple[str, int], tuple[Attempt, ...]] = {}
        # Called with the machine's name, the job and the attempt when an attempt is added.
        self.on_attempt_added: list[Callable[[str, Job, Attempt], None]] = []
        # Gangs with attempts that may still run, by id.
        self.gangs: dict[str, Job] = {}
        # Called with a job that was open and is now withdrawn.
        self.on_withdrawn: list[Callable[[Job], None]] = []
        # Called with an open gang whose attempt has started to end.
        self.on_gang_ending: list[Callable[[Job], None]] = []
        # Called with a machine's name when the set of attempts on it has changed.
        self.on_machine_changed: list[Callable[[str], None]] = []
        mirror.listen(records.JOB_PREFIX, self._job_changed)
        mirror.listen(records.CHUNK_PREFIX, self._chunk_changed)

    def _index_chunk(self, job_id: str, chunk: int, live: tuple[Attempt, ...]) -> list[Attempt]:
        """Replace a chunk's attempts in the index by machine; return those that are new in it."""
        previous = self._indexed_attempts.get((job_id, chunk), ())
        if live:
            self._indexed_attempts[(job_id, chunk)] = live
        else:
            self._indexed_attempts.pop((job_id, chunk), None)
        current = set(live)
        changed: set[str] = set()
        for attempt in previous:
            if attempt not in current:
                changed.add(attempt.machine)
                machine_attempts = self.attempts_by_machine.get(attempt.machine)
                if machine_attempts is not None:
                    machine_attempts.pop((job_id, attempt.task, attempt.number), None)
                    if not machine_attempts:
                        del self.attempts_by_machine[attempt.machine]
        known_attempts = set(previous)
        added = [a for a in live if a not in known_attempts]
        for attempt in added:
            machine_attempts = self.attempts_by_machine.setdefault(attempt.machine, {})
            machine_attempts[(job_id, attempt.task, attempt.number)] = attempt
            changed.add(attempt.machine)
        for callback in self.on_machine_changed:
            for machine in changed:
                callback(machine)
        return added

    def _notify_added(self, job: Job, added: Iterable[Attempt]) -> None:
        for attempt in added:
            for callback in self.on_attempt_added:
                callback(attempt.machine, job, attempt)

    def _replace_job(self, job_id: str, job: Job | None) -> None:
        """Replace a job in the indexes; None removes it."""
        previous = self.jobs.pop(job_id, None)
        if previous is not None:
            self._usage[previous.spec.team].add(previous, -previous.record.live_count)
            self.unplaced[previous.spec.team].pop(job_id, None)
            self.withdrawn.pop(job_id, None)
            self.gangs.pop(job_id, None)
        if job is None:
            return
        self.jobs[job_id] = job
        # A team gets its entries even if it has nothing to place: they are looked up by its name.
        self._usage.setdefault(job.spec.team, Usage()).add(job, job.record.live_count)
        unplaced = self.unplaced.setdefault(job.spec.team, {})
        if not job.open:
            self.withdrawn[job_id] = job
        elif job.pending_count() > 0:
            unplaced[job_id] = job
        if job.is_gang and job.record.live_count > 0:
            self.gangs[job_id] = job

    def usage(self) -> dict[str, Usage]:
        """The resources that each team's live attempts use; a copy that the caller may modify."""
        return {team: Usage(used.cpus, used.gpus) for team, used in self._usage.items()}

    def _job_changed(self, key: str, value: bytes | None, version: int) -> None:
        """Apply a written or deleted job header, with those chunks that have its layout."""
        job_id = key.removeprefix(records.JOB_PREFIX)
        if value is None:
            self._replace_job(job_id, None)
            for indexed_id, chunk in [k for k in self._indexed_attempts if k[0] == job_id]:
                self._index_chunk(indexed_id, chunk, ())
            return
        try:
            record = records.decode_job_record(value)
        except msgspec.DecodeError as error:
            log.error("job record %s can't be read: %s", key, error)
            return
        job = Job(record, version)
        previous = self.jobs.get(job_id)
        for (layout, number), tasks in self._chunks.get(job_id, {}).items():
            if layout == record.layout:
                job.chunks[number] = tasks
        self._replace_job(job_id, job)
        added: list[Attempt] = []
        if previous is None:
            # When all keys are read again, a job's chunks arrive before its header. Were these not
            # indexed, a new leader would take their attempts for unknown tasks and kill them.
            for number, tasks in job.chunks.items():
                added += self._index_chunk(job_id, number, tasks.live)
        if previous is None or previous.record.layout == record.layout:
            self._notify_added(job, [*self._index_chunk(job_id, 0, record.tasks.live), *added])
        else:
            self._notify_added(job, self._reindex(job_id, job))
        self._notify_end(previous, job)

    def _reindex(self, job_id: str, job: Job) -> list[Attempt]:
        """Index a job whose tasks were moved to other chunks; return the attempts that are new."""
        known_attempts = {
            a for (j, _), live in self._indexed_attempts.items() if j == job_id for a in live
        }
        for indexed_id, chunk in [k for k in self._indexed_attempts if k[0] == job_id]:
            # Chunk 0 is part of the job's own record, which is indexed below.
            if chunk and chunk not in job.chunks:
                self._index_chunk(indexed_id, chunk, ())
        added = self._index_chunk(job_id, 0, job.record.tasks.live)
        for number, tasks in job.chunks.items():
            added += self._index_chunk(job_id, number, tasks.live)
        # An attempt that moved may be added with its new chunk first and then removed with its old
        # one. Add it again.
        for attempt in job.live_attempts():
            machine_attempts = self.attempts_by_machine.setdefault(attempt.machine, {})
            machine_attempts[(job_id, attempt.task, attempt.number)] = attempt
        return [attempt for attempt in added if attempt not in known_attempts]

    def _notify_end(self, previous: Job | None, job: Job) -> None:
        """Call the callbacks for a job that was withdrawn or a gang that started to end."""
        if previous is None:
            return
        if previous.record.phase == "open" and job.record.phase != "open":
            for callback in self.on_withdrawn:
                callback(job)
        elif job.gang_ending and not previous.gang_ending and job.open:
            for callback in self.on_gang_ending:
                callback(job)

    def _chunk_changed(self, key: str, value: bytes | None, _version: int) -> None:
        """Apply a written or deleted chunk of a job's tasks.

        While a job's records are being split, chunks of the old and the new layout exist. Only
        those of the layout that the job's header names belong to the job and are indexed. Without
        a header, nothing of the job stays indexed.
        """
        chunk_id = records.parse_chunk_key(key)
        job_id, number = chunk_id.job, chunk_id.chunk
        chunks = self._chunks.setdefault(job_id, {})
        job = self.jobs.get(job_id)
        in_current_layout = job is not None and job.record.layout == chunk_id.layout
        if value is None:
            chunks.pop((chunk_id.layout, number), None)
            if not chunks:
                del self._chunks[job_id]
            if job is not None and in_current_layout:
                job.chunks.pop(number, None)
            if in_current_layout or job is None:
                self._index_chunk(job_id, number, ())
            return
        tasks = records.decode_chunk(value)
        chunks[(chunk_id.layout, number)] = tasks
        if job is not None and in_current_layout:
            job.chunks[number] = tasks
            self._notify_added(job, self._index_chunk(job_id, number, tasks.live))

    def orphaned_chunks(self) -> list[OrphanedChunk]:
        """Chunks that belong to no job: of jobs that are over, or of a layout no longer used."""
        found: list[OrphanedChunk] = []
        for job_id, chunks in self._chunks.items():
            job = self.jobs.get(job_id)
            # If the job is being split, the header's version is the number of the new layout, whose
            # chunks are written before the header names it.
            valid_layouts = (job.record.layout, job.version) if job is not None else ()
            for layout, number in chunks:
                if layout not in valid_layouts:
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
