"""The state machine of a job and its tasks, over the records of the state service.

``Job`` is the mirrored state; ``Draft`` gathers changes to it and turns them into one commit.
An attempt stays in the record, and counts against every rule, until an outcome removes it.
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
IDLE_RANK = PRIORITIES.index("idle")


# A deployment has few different amounts, and they are asked for with each task and machine.
@lru_cache(maxsize=1024)
def milli_ceil(amount: float) -> int:
    """An amount in whole thousandths, rounded up so that sums never hide a part of it."""
    scaled = amount * 1000
    nearest = round(scaled)
    return nearest if abs(scaled - nearest) < 1e-6 else int(scaled) + 1


@lru_cache(maxsize=1024)
def milli_floor(amount: float) -> int:
    """Room in whole thousandths, rounded down."""
    scaled = amount * 1000
    nearest = round(scaled)
    return nearest if abs(scaled - nearest) < 1e-6 else int(scaled)


def task_name(job_id: str, index: int) -> str:
    """How the wire names a task."""
    return f"{job_id}/{index}"


# Asked for each task of each report, and what runs stays the same for many of them. Beyond these,
# names are taken apart again, for a microsecond each: more would cost 250 bytes of memory a name.
@lru_cache(maxsize=32_768)
def parse_task_name(name: str) -> tuple[str, int] | None:
    """A task's job and index, or None if the name isn't one."""
    job_id, slash, index = name.partition("/")
    if not slash or not index.isascii() or not index.isdigit() or len(index) > 9:
        return None
    return job_id, int(index)


class Job:
    """A job that is not over, as the mirror shows it."""

    def __init__(self, record: JobRecord, version: int) -> None:
        self.record = record
        self.version = version
        self.chunks: dict[int, TaskChunk] = {}
        # What the user asked for.
        self.spec: JobSpec = record.spec
        self.id: str = record.spec.id
        spec = record.spec
        self.cpus = milli_ceil(spec.cpus)
        self.gpus = milli_ceil(spec.gpus)
        self.memory = milli_ceil(spec.memory_gb)
        self.rank = PRIORITIES.index(spec.priority)
        self.is_gang = spec.kind == GANG
        # How many of its tasks have to be placed in one go.
        self.gang_size = spec.tasks if self.is_gang else 1
        # Its place in its team's queue, with by whose aims and for which moment it was worked out.
        self.cached_queue_key: tuple[object, int, tuple[int, bool, int, int, str]] | None = None

    @property
    def open(self) -> bool:
        """Whether its tasks may start, or go on."""
        return self.record.phase == "open" and not self.record.completed()

    @property
    def startable(self) -> bool:
        """Whether its attempts may be started: those of a gang only once all are recorded."""
        return self.open and (not self.is_gang or self.record.gang_phase == "placed")

    @property
    def gang_ending(self) -> bool:
        """Whether it is a gang whose attempt has lost a task, or was never placed whole."""
        return self.record.gang_phase == "ending"

    def deadline_at_us(self) -> int:
        """The wall time by which it should be done; the far future if it has no deadline."""
        deadline_s = self.spec.deadline_s
        if deadline_s is None:
            return 1 << 62
        return self.record.submitted_at_us + round(deadline_s * 1e6)

    def pending_count(self) -> int:
        """Tasks to be placed: neither done nor live, and of a gang all or none."""
        if self.is_gang and (self.record.live_count or self.record.completed()):
            return 0
        return max(0, self.spec.tasks - self.record.done_count - self.record.live_count)

    def chunk_of(self, index: int) -> int:
        """Which record holds a task."""
        return index // self.record.chunk_size

    def tasks_of(self, chunk: int) -> TaskChunk:
        """A record's tasks; one never written has all of them pending."""
        if chunk == 0:
            return self.record.tasks
        return self.chunks.get(chunk, TaskChunk())

    def chunk_numbers(self) -> range:
        """All chunks of the job."""
        return range(-(-self.spec.tasks // self.record.chunk_size))

    def live_attempts(self) -> Iterator[Attempt]:
        """Every attempt that may be running."""
        yield from self.record.tasks.live
        for chunk in self.chunks.values():
            yield from chunk.live

    def pending_tasks(self) -> Iterator[int]:
        """Tasks to be placed, in order."""
        left = self.pending_count()
        size = self.record.chunk_size
        for number in self.chunk_numbers():
            if left <= 0:
                return
            tasks = self.tasks_of(number)
            busy = {a.task for a in tasks.live}
            mask = tasks.done_mask()
            for index in range(number * size, min((number + 1) * size, self.spec.tasks)):
                if not mask >> (index - number * size) & 1 and index not in busy:
                    left -= 1
                    yield index

    def find_attempt(self, index: int, number: int) -> Attempt | None:
        """A live attempt."""
        for attempt in self.tasks_of(self.chunk_of(index)).live:
            if attempt.task == index and attempt.number == number:
                return attempt
        return None


class Usage(Struct):
    """What a team's live attempts take, in thousandths."""

    cpus: int = 0
    gpus: int = 0

    def add(self, job: Job, count: int = 1) -> None:
        """Count attempts."""
        self.cpus += job.cpus * count
        self.gpus += job.gpus * count


class Assignment(Struct, frozen=True):
    """Where a task is to run."""

    index: int
    machine: str
    session: int


class Draft:
    """Changes to one job that become one commit."""

    def __init__(self, job: Job, limits: records.RecordLimits) -> None:
        self.job = job
        self.record = job.record
        # The header is written too.
        self._most_chunks = limits.txn_ops - 1
        self._value_bytes = limits.value_bytes
        self._chunks: dict[int, TaskChunk] = {}
        self.placed: list[Attempt] = []
        self.ended: list[Attempt] = []

    def _tasks(self, chunk: int) -> TaskChunk:
        found = self._chunks.get(chunk)
        return self.job.tasks_of(chunk) if found is None else found

    def _may_touch(self, chunk: int) -> bool:
        if chunk == 0 or chunk in self._chunks:
            return True
        return sum(1 for c in self._chunks if c) < self._most_chunks

    def _has_room(self, chunk: int, tasks: TaskChunk, machine: str) -> bool:
        """Whether a record with one more attempt is not larger than the service takes.

        Where machines' names are short, it always is: tasks are few enough in a record.
        """
        if len(tasks.live) * records.TYPICAL_MAX_ROW_BYTES < self._value_bytes // 4:
            return True
        rows = sum(records.max_row_bytes(a.machine) for a in tasks.live) + records.max_row_bytes(
            machine
        )
        header = records.max_header_bytes(self.record.spec) if chunk == 0 else 0
        return rows + len(tasks.done) + header <= self._value_bytes

    def record_outcome(self, index: int, number: int, kind: OutcomeKind) -> bool:
        """Take an attempt out; whether it was there and could be."""
        chunk = self.job.chunk_of(index)
        tasks = self._tasks(chunk)
        gone = next((a for a in tasks.live if a.task == index and a.number == number), None)
        if gone is None or not self._may_touch(chunk):
            return False
        done = tasks.done
        if self.job.is_gang:
            self._settle_gang(kind)
        # A completed replica of a service has no business ending: it is started again.
        elif kind == "done" and self.record.spec.kind == ARRAY:
            mask = tasks.done_mask()
            bit = 1 << (index - chunk * self.record.chunk_size)
            if not mask & bit:
                done = f"{mask | bit:x}"
                self.record = structs.replace(self.record, done_count=self.record.done_count + 1)
        live = tuple(a for a in tasks.live if a is not gone)
        self._chunks[chunk] = TaskChunk(done, live)
        self.record = structs.replace(self.record, live_count=self.record.live_count - 1)
        self.ended.append(gone)
        return True

    def _settle_gang(self, kind: OutcomeKind) -> None:
        """One task of a gang is gone: either all are done, or the attempt is over for all."""
        if self.record.completed():
            return
        if kind == "done":
            self.record = structs.replace(self.record, done_count=self.record.spec.tasks)
        self.record = structs.replace(self.record, gang_phase="ending")

    def end_gang(self) -> None:
        """Give up a gang's attempt: its tasks are stopped, and all are placed anew."""
        self.record = structs.replace(self.record, gang_phase="ending")

    def place_gang(self, places: list[Assignment], term: int) -> list[Assignment]:
        """Add a gang's attempts, all with one number; those that don't fit one commit are left.

        Nothing may start until the last one is recorded.
        """
        if self.record.live_count == 0:
            number = self.record.next_attempt
            self.record = structs.replace(self.record, next_attempt=number + 1)
        else:
            number = self.record.next_attempt - 1
        left = [place for place in places if self._add(place, number, term) is None]
        phase: GangPhase = "placed" if self.record.live_count == self.job.spec.tasks else "placing"
        self.record = structs.replace(self.record, gang_phase=phase)
        return left

    def place(self, place: Assignment, term: int) -> Attempt | None:
        """Add an attempt for a pending task; None if it is not pending or does not fit here."""
        attempt = self._add(place, self.record.next_attempt, term)
        if attempt is not None:
            number = self.record.next_attempt + 1
            self.record = structs.replace(self.record, next_attempt=number)
        return attempt

    def _add(self, place: Assignment, number: int, term: int) -> Attempt | None:
        index = place.index
        if self.record.phase != "open" or not 0 <= index < self.record.spec.tasks:
            return None
        chunk = self.job.chunk_of(index)
        tasks = self._tasks(chunk)
        if tasks.done_mask() >> (index - chunk * self.record.chunk_size) & 1:
            return None
        # The rule ran_twice: a task with an attempt that may be running gets no other.
        if any(a.task == index for a in tasks.live) or not self._may_touch(chunk):
            return None
        if not self._has_room(chunk, tasks, place.machine):
            return None
        attempt = Attempt(index, number, place.machine, place.session, term)
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
        """What is kept of the job if these changes end it."""
        record = self.record
        if record.live_count > 0:
            # A gang is done with its first task that is; the others must have gone all the same.
            return None
        if record.completed():
            return FinalRecord("done", record.done_count)
        if record.phase == "withdrawn":
            return FinalRecord("withdrawn", record.done_count)
        return None

    def to_change(self, guards: dict[str, int]) -> Change:
        """The commit, guarded by the job's version and by what the caller adds."""
        job_id = self.job.id
        key = records.job_key(job_id)
        all_guards = {**guards, key: self.job.version}
        final = self.final_record()
        if final is not None:
            if self.record.phase == "withdrawn":
                # A job once called cancelled stays so, even if its last task completed.
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
    """What the state service's limits mean for records."""
    return records.RecordLimits(int(state.value_kb * 1024), state.txn_ops)


def new_record(spec: JobSpec, submitted_us: int, chunk: int) -> JobRecord:
    """The record of a job just submitted."""
    return JobRecord(spec, submitted_us, chunk)


def withdraw_change(job: Job, now_us: int) -> Change:
    """The commit by which a job is cancelled, at this time of day."""
    record = structs.replace(job.record, phase="withdrawn", withdrawn_at_us=now_us)
    key = records.job_key(job.id)
    if record.live_count == 0:
        final_key = records.final_key(job.id)
        final = FinalRecord("withdrawn", record.done_count)
        return Change(
            {key: job.version, final_key: 0}, {final_key: Raw(records.encode(final))}, (key,)
        )
    return Change({key: job.version}, {key: Raw(records.encode(record))})
