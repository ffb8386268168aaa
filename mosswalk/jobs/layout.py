"""Splits a job's records anew, so that each fits the state service's lowered limits.

A record that is larger than the service takes stays readable but can't be written again. Its tasks
are written to smaller chunks under new keys first, which nobody reads yet, and then the header
names them. Those keys contain the header's version, so they are a function of what they were made
from: a split that was interrupted, or one whose writes arrive late, changes nothing.
"""

from __future__ import annotations

from msgspec import Raw, Struct, structs

from mosswalk.jobs.state import Job
from mosswalk.store import records
from mosswalk.store.records import Attempt, JobRecord, RecordLimits, TaskChunk
from mosswalk.store.writer import Change


def needs_split(job: Job, limits: RecordLimits) -> bool:
    """Whether a job's records may outgrow what the service takes."""
    size = records.chunk_size(limits, job.spec)
    return job.record.chunk_size > size and job.spec.tasks > size


class SplitRecords(Struct):
    """A job in smaller records."""

    header: JobRecord
    chunks: dict[str, TaskChunk]

    def changes(self, guards: dict[str, int], most_writes: int) -> list[Change]:
        """The commits that bring it about, each to be made once the one before is."""
        key = records.job_key(self.header.spec.id)
        header = {key: Raw(records.encode(self.header))}
        chunks = [(k, Raw(records.encode(tasks))) for k, tasks in self.chunks.items()]
        if len(chunks) < most_writes:
            return [Change(guards, {**dict(chunks), **header})]
        steps = [chunks[i : i + most_writes] for i in range(0, len(chunks), most_writes)]
        return [*(Change(guards, dict(step)) for step in steps), Change(guards, header)]


def split_records(job: Job, limits: RecordLimits) -> SplitRecords:
    """A job's tasks in chunks that fit the limits."""
    size = records.chunk_size(limits, job.spec)
    done = 0
    for number in job.chunk_numbers():
        done |= job.tasks_of(number).done_mask() << (number * job.record.chunk_size)
    live: dict[int, list[Attempt]] = {}
    for attempt in job.live_attempts():
        live.setdefault(attempt.task // size, []).append(attempt)
    parts: dict[int, TaskChunk] = {}
    for number in range(-(-job.spec.tasks // size)):
        mask = done >> (number * size) & ((1 << size) - 1)
        tasks = TaskChunk(f"{mask:x}", tuple(live.get(number, ())))
        if number == 0 or tasks != TaskChunk():
            parts[number] = tasks
    layout = job.version
    return SplitRecords(
        structs.replace(
            job.record,
            initial_chunk_size=0,
            split_chunk_size=size,
            layout=layout,
            tasks=parts.pop(0),
        ),
        {records.chunk_key(job.id, n, layout): tasks for n, tasks in parts.items()},
    )
