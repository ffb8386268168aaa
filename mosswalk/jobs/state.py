"""The state machine of a job and its tasks, stored in the records of the state service.

``Job`` is the mirrored state; ``Draft`` collects changes to it and turns them into one commit.
An attempt stays in the record, and counts against every limit, until an outcome removes it.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache

from msgspec import Raw, Struct, structs

from mosswalk.config import StateLimits
from mosswalk.store import records
from mosswalk.store.records import Attempt, FinalRecord, GangPhase, JobRecord, TaskChunk
from mosswalk.store.writer import Change
from mosswalk.wire.peers import OutcomeKind
from mosswalk.wire.users import ARRAY, GANG, JobSpec

PRIORITIES = ("prod", "high", "standard", "idle")
PROD_RANK = PRIORITIES.index("prod")
HIGH_RANK = PRIORITIES.index("high")
STANDARD_RANK = PRIORITIES.index("standard")
IDLE_RANK = PRIORITIES.index("idle")

# Differences below this, in thousandths, are floating-point errors and don't count as an amount.
_ROUNDING_ERROR = 1e-6
_MAX_INDEX_DIGITS = 9
# The deadline of a job without one: later than any wall time.
_NO_DEADLINE_US = 1 << 62


# Cached: a deployment has few distinct amounts, and they are converted for each task and machine.
@lru_cache(maxsize=1024)
def milli_ceil(amount: float) -> int:
    """Convert a requested amount to whole thousandths, rounded up.

    A sum of requests is then never smaller than what was requested.
    """
    scaled = amount * 1000
    nearest = round(scaled)
    return nearest if abs(scaled - nearest) < _ROUNDING_ERROR else int(scaled) + 1


@lru_cache(maxsize=1024)
def milli_floor(amount: float) -> int:
    """Convert a capacity or a limit to whole thousandths, rounded down.

    A value that is below a whole thousandth only by a floating-point error is not lowered.
    """
    scaled = amount * 1000
    nearest = round(scaled)
    return nearest if abs(scaled - nearest) < _ROUNDING_ERROR else int(scaled)


def task_name(job_id: str, index: int) -> str:
    """The name of a task in messages."""
    return f"{job_id}/{index}"


# Cached because every report lists every running task, and these change seldom. An entry takes 250
# bytes of memory; a name that is not cached takes a microsecond to parse.
@lru_cache(maxsize=32_768)
def parse_task_name(name: str) -> tuple[str, int] | None:
    """The job and index in a task's name, or None if it isn't a valid one."""
    job_id, slash, index = name.partition("/")
    if not slash or not index.isascii() or not index.isdigit() or len(index) > _MAX_INDEX_DIGITS:
        return None
    return job_id, int(index)


class Job:
    """A job that is not over, as mirrored from the state service."""

    def __init__(self, record: JobRecord, version: int) -> None:
        self.record = record
        self.version = version
        self.chunks: dict[int, TaskChunk] = {}
        self.spec: JobSpec = record.spec
        self.id: str = record.spec.id
        spec = record.spec
        self.cpus = milli_ceil(spec.cpus)
        self.gpus = milli_ceil(spec.gpus)
        self.memory = milli_ceil(spec.memory_gb)
        self.rank = PRIORITIES.index(spec.priority)
        self.is_gang = spec.kind == GANG
        # How many of its tasks must be placed together: 1 unless it is a gang.
        self.gang_size = spec.tasks if self.is_gang else 1
        # Cached by QueueOrder: the order that computed it, the interval in which it is valid, and
        # the sort key in the team's queue.
        self.cached_queue_key: tuple[object, int, tuple[int, bool, int, int, str]] | None = None

    @property
    def open(self) -> bool:
        """Whether its tasks may start or continue to run."""
        return self.record.phase == "open" and not self.record.completed()

    @property
    def startable(self) -> bool:
        """Whether its attempts may start; a gang's may once all of them are recorded."""
        return self.open and (not self.is_gang or self.record.gang_phase == "placed")

    @property
    def gang_ending(self) -> bool:
        """Whether it is a gang whose attempt is ending: its remaining tasks are being stopped.

        An attempt ends when one of its tasks has ended, or if not all of them could be placed.
        """
        return self.record.gang_phase == "ending"

    def deadline_at_us(self) -> int:
        """The wall time by which it should be done; a time beyond any if it has no deadline."""
        deadline_s = self.spec.deadline_s
        if deadline_s is None:
            return _NO_DEADLINE_US
        return self.record.submitted_at_us + round(deadline_s * 1e6)

    def pending_count(self) -> int:
        """The number of tasks to be placed: neither done nor live; for a gang, all or none."""
        if self.is_gang and (self.record.live_count or self.record.completed()):
            return 0
        return max(0, self.spec.tasks - self.record.done_count - self.record.live_count)

    def chunk_of(self, index: int) -> int:
        """The number of the chunk that holds a task."""
        return index // self.record.chunk_size

    def tasks_of(self, chunk: int) -> TaskChunk:
        """The tasks of a chunk; if the chunk was never written, all of them are pending."""
        if chunk == 0:
            return self.record.tasks
        return self.chunks.get(chunk, TaskChunk())

    def chunk_numbers(self) -> range:
        """The numbers of all chunks of the job."""
        return range(-(-self.spec.tasks // self.record.chunk_size))

    def live_attempts(self) -> Iterator[Attempt]:
        """Iterate over the attempts that may still run."""
        yield from self.record.tasks.live
        for chunk in self.chunks.values():
            yield from chunk.live

    def pending_tasks(self) -> Iterator[int]:
        """Iterate over the indexes of the tasks to be placed, in ascending order."""
        remaining = self.pending_count()
        size = self.record.chunk_size
        for number in self.chunk_numbers():
            if remaining <= 0:
                return
            tasks = self.tasks_of(number)
            live = {a.task for a in tasks.live}
            mask = tasks.done_mask()
            for index in range(number * size, min((number + 1) * size, self.spec.tasks)):
                if not mask >> (index - number * size) & 1 and index not in live:
                    remaining -= 1
                    yield index

    def find_attempt(self, index: int, number: int) -> Attempt | None:
        """The live attempt with this task index and attempt number, or None."""
        for attempt in self.tasks_of(self.chunk_of(index)).live:
            if attempt.task == index and attempt.number == number:
                return attempt
        return None


class Usage(Struct):
    """The resources that a team's live attempts use, in thousandths."""

    cpus: int = 0
    gpus: int = 0

    def add(self, job: Job, count: int = 1) -> None:
        """Add attempts of a job; a negative count subtracts them."""
        self.cpus += job.cpus * count
        self.gpus += job.gpus * count


class Assignment(Struct, frozen=True):
    """The machine, and the session of its worker, that a task is assigned to."""

    index: int
    machine: str
    session: int


class Draft:
    """Changes to one job, to be committed in one transaction."""

    def __init__(self, job: Job, limits: records.RecordLimits) -> None:
        self.job = job
        self.record = job.record
        self._max_records = limits.txn_ops
        self._value_bytes = limits.value_bytes
        self._chunks: dict[int, TaskChunk] = {}
        # By chunk: the maximum size of its record if it is written now, in bytes.
        self._record_bytes: dict[int, int] = {}
        self.placed: list[Attempt] = []
        self.ended: list[Attempt] = []

    def _tasks(self, chunk: int) -> TaskChunk:
        found = self._chunks.get(chunk)
        return self.job.tasks_of(chunk) if found is None else found

    def _fits_record(self, chunk: int, tasks: TaskChunk, machine: str) -> bool:
        """Whether the record stays within the service's size limit with one more attempt.

        The size is computed only for a record with many attempts: the number of tasks in a record
        is chosen so that with short machine names it always fits.
        """
        if len(tasks.live) * records.TYPICAL_MAX_ROW_BYTES < self._value_bytes // 4:
            return True
        rows = sum(records.max_row_bytes(a.machine) for a in tasks.live) + records.max_row_bytes(
            machine
        )
        header = records.max_header_bytes(self.record.spec) if chunk == 0 else 0
        return rows + len(tasks.done) + header <= self._value_bytes

    def _max_record_bytes(self, chunk: int) -> int:
        """The maximum size of a chunk's record in a transaction with the changes so far, in bytes.

        An attempt that is removed does not count less: at most a digit of the mask of done tasks
        takes its place.
        """
        size = self._record_bytes.get(chunk)
        if size is None:
            size = len(records.encode(self._tasks(chunk))) + records.RECORD_OVERHEAD_BYTES
            if chunk == 0:
                size += records.max_header_bytes(self.record.spec)
            self._record_bytes[chunk] = size
        return size

    def _fits_transaction(self, chunk: int, added_bytes: int = 0) -> bool:
        """Whether a chunk can be written with the others, given by how much its record grows."""
        written = {0, chunk, *self._chunks}
        if len(written) > self._max_records:
            return False
        if len(written) <= records.MIN_RECORDS_PER_TRANSACTION:
            return True
        size = added_bytes + sum(self._max_record_bytes(number) for number in written)
        return size <= records.MAX_TRANSACTION_BYTES

    def record_outcome(self, index: int, number: int, kind: OutcomeKind) -> bool:
        """Remove an attempt that has ended, and mark an array's task as done if it succeeded.

        Return False if it is not recorded or its chunk doesn't fit this transaction. The chunks of
        the first two records of a draft always fit.
        """
        chunk = self.job.chunk_of(index)
        tasks = self._tasks(chunk)
        removed = next((a for a in tasks.live if a.task == index and a.number == number), None)
        if removed is None or not self._fits_transaction(chunk):
            return False
        done = tasks.done
        if self.job.is_gang:
            self._record_gang_outcome(kind)
        # A service's replica that exits successfully is not done: it is started again.
        elif kind == "done" and self.record.spec.kind == ARRAY:
            # ``done`` is a hexadecimal mask with a bit for each task of the chunk.
            mask = tasks.done_mask()
            bit = 1 << (index - chunk * self.record.chunk_size)
            if not mask & bit:
                done = f"{mask | bit:x}"
                self.record = structs.replace(self.record, done_count=self.record.done_count + 1)
        live = tuple(a for a in tasks.live if a is not removed)
        self._chunks[chunk] = TaskChunk(done, live)
        self.record = structs.replace(self.record, live_count=self.record.live_count - 1)
        self.ended.append(removed)
        return True

    def _record_gang_outcome(self, kind: OutcomeKind) -> None:
        """End a gang's attempt with its first task that ends; if that is done, all are."""
        if self.record.completed():
            return
        if kind == "done":
            self.record = structs.replace(self.record, done_count=self.record.spec.tasks)
        self.record = structs.replace(self.record, gang_phase="ending")

    def end_gang(self) -> None:
        """End a gang's attempt: its tasks are stopped, then all are placed again."""
        self.record = structs.replace(self.record, gang_phase="ending")

    def place_gang(self, assignments: list[Assignment], term: int) -> list[Assignment]:
        """Add a gang's attempts, all with one number; return those that don't fit the commit.

        No task may start until the last attempt is recorded.
        """
        if self.record.live_count == 0:
            number = self.record.next_attempt
            self.record = structs.replace(self.record, next_attempt=number + 1)
        else:
            number = self.record.next_attempt - 1
        remaining = [
            assignment
            for assignment in assignments
            if self._add_attempt(assignment, number, term) is None
        ]
        phase: GangPhase = "placed" if self.record.live_count == self.job.spec.tasks else "placing"
        self.record = structs.replace(self.record, gang_phase=phase)
        return remaining

    def place(self, assignment: Assignment, term: int) -> Attempt | None:
        """Add an attempt for a pending task; None if it isn't pending or doesn't fit."""
        attempt = self._add_attempt(assignment, self.record.next_attempt, term)
        if attempt is not None:
            number = self.record.next_attempt + 1
            self.record = structs.replace(self.record, next_attempt=number)
        return attempt

    def _add_attempt(self, assignment: Assignment, number: int, term: int) -> Attempt | None:
        index = assignment.index
        if self.record.phase != "open" or not 0 <= index < self.record.spec.tasks:
            return None
        chunk = self.job.chunk_of(index)
        tasks = self._tasks(chunk)
        if tasks.done_mask() >> (index - chunk * self.record.chunk_size) & 1:
            return None
        # A task must never run twice: no second attempt while the first one may still run.
        if any(a.task == index for a in tasks.live):
            return None
        row_bytes = records.max_row_bytes(assignment.machine)
        if not self._fits_record(chunk, tasks, assignment.machine) or not self._fits_transaction(
            chunk, row_bytes
        ):
            return None
        self._record_bytes[chunk] = self._max_record_bytes(chunk) + row_bytes
        attempt = Attempt(index, number, assignment.machine, assignment.session, term)
        self._chunks[chunk] = TaskChunk(tasks.done, (*tasks.live, attempt))
        self.record = structs.replace(self.record, live_count=self.record.live_count + 1)
        self.placed.append(attempt)
        return attempt

    def has_changes(self) -> bool:
        """Whether there is anything to commit."""
        return (
            self.record is not self.job.record
            or bool(self._chunks)
            or self.final_record() is not None
        )

    def final_record(self) -> FinalRecord | None:
        """The record that replaces the job's if these changes close it, else None."""
        record = self.record
        if record.live_count > 0:
            # A gang counts as done with its first done task, but its other attempts may still run.
            return None
        if record.completed():
            return FinalRecord("done", record.done_count)
        if record.phase == "withdrawn":
            return FinalRecord("withdrawn", record.done_count)
        return None

    def to_change(self, guards: dict[str, int]) -> Change:
        """Build the transaction, guarded by the job's version and the caller's guards."""
        job_id = self.job.id
        key = records.job_key(job_id)
        all_guards = {**guards, key: self.job.version}
        final = self.final_record()
        if final is not None:
            if self.record.phase == "withdrawn":
                # A withdrawn job remains withdrawn, even if its last task completed.
                final = FinalRecord("withdrawn", final.done)
            final_key = records.final_key(job_id)
            puts = {final_key: Raw(records.encode(final))}
            return Change({**all_guards, final_key: 0}, puts, (key,))
        record = structs.replace(self.record, tasks=self._tasks(0))
        puts = {key: Raw(records.encode(record))}
        for chunk, tasks in self._chunks.items():
            if chunk:
                puts[records.chunk_key(job_id, chunk, record.layout)] = Raw(records.encode(tasks))
        return Change(all_guards, puts)


def record_limits(state: StateLimits) -> records.RecordLimits:
    """The limits for records that follow from the state service's limits."""
    return records.RecordLimits.of_service(int(state.value_kb * 1024), state.txn_ops)


def new_record(spec: JobSpec, submitted_at_us: int, chunk_size: int) -> JobRecord:
    """The record of a newly submitted job."""
    return JobRecord(spec, submitted_at_us, chunk_size)


def withdraw_change(job: Job, now_us: int) -> Change:
    """Build the transaction that withdraws a job at the given wall time."""
    record = structs.replace(job.record, phase="withdrawn", withdrawn_at_us=now_us)
    key = records.job_key(job.id)
    if record.live_count == 0:
        final_key = records.final_key(job.id)
        final = FinalRecord("withdrawn", record.done_count)
        return Change(
            {key: job.version, final_key: 0}, {final_key: Raw(records.encode(final))}, (key,)
        )
    return Change({key: job.version}, {key: Raw(records.encode(record))})
