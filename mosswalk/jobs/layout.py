"""Splits a job's records into smaller ones when the state service's limits are lowered.

A record larger than the service accepts stays readable but can't be written again. Its tasks are
first written to smaller chunks under new keys, which no controller reads yet. Then the header is
written with the new layout, which names those keys. The layout is the version of the header that
was split, so a split that is interrupted, or whose writes arrive late, has no effect.
"""

from __future__ import annotations

from msgspec import Raw, Struct, structs

from mosswalk.jobs.state import Job
from mosswalk.store import records
from mosswalk.store.records import Attempt, JobRecord, RecordLimits, TaskChunk
from mosswalk.store.writer import Change


def needs_split(job: Job, limits: RecordLimits) -> bool:
    """Whether a job's records may grow larger than the service accepts."""
    size = records.chunk_size(limits, job.spec)
    return job.record.chunk_size > size and job.spec.tasks > size


class SplitRecords(Struct):
    """A job's header and chunks after a split into smaller records."""

    header: JobRecord
    chunks: dict[str, TaskChunk]

    def changes(self, guards: dict[str, int], max_writes: int) -> list[Change]:
        """The transactions that write the split, to be committed one after the other."""
        # The header comes last: until it is written, no controller reads the new chunks.
        puts = [(key, records.encode(tasks)) for key, tasks in self.chunks.items()]
        puts.append((records.job_key(self.header.spec.id), records.encode(self.header)))
        steps: list[Change] = []
        for key, value in puts:
            put = {key: Raw(value)}
            if not steps or not steps[-1].has_room_for(put, max_writes):
                steps.append(Change(guards, {}))
            steps[-1].puts.update(put)
        return steps


def split_records(job: Job, limits: RecordLimits) -> SplitRecords:
    """Split a job's tasks into chunks that fit the limits."""
    size = records.chunk_size(limits, job.spec)
    done_mask = 0
    for number in job.chunk_numbers():
        done_mask |= job.tasks_of(number).done_mask() << (number * job.record.chunk_size)
    live: dict[int, list[Attempt]] = {}
    for attempt in job.live_attempts():
        live.setdefault(attempt.task // size, []).append(attempt)
    chunks: dict[int, TaskChunk] = {}
    for number in range(-(-job.spec.tasks // size)):
        mask = done_mask >> (number * size) & ((1 << size) - 1)
        tasks = TaskChunk(f"{mask:x}", tuple(live.get(number, ())))
        if number == 0 or tasks != TaskChunk():
            chunks[number] = tasks
    layout = job.version
    return SplitRecords(
        structs.replace(
            job.record,
            initial_chunk_size=0,
            split_chunk_size=size,
            layout=layout,
            tasks=chunks.pop(0),
        ),
        {records.chunk_key(job.id, n, layout): tasks for n, tasks in chunks.items()},
    )
