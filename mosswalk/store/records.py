"""Keys and records in the state service.

Controllers mirror all keys under ``m/``: the term, the presence of each controller, machine types
and unfinished jobs. A job that has ended, done or withdrawn, moves to ``f/``, which is not
mirrored, so neither memory use nor start-up time grows with the number of ended jobs.

A job's tasks are packed: done tasks as a bit mask, live attempts as short rows. The header holds
the first ``chunk_size`` tasks; the others are in chunks of that size under ``m/c/``. Every change
to a chunk also rewrites the header, so that the header's version guards the whole job.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from mosswalk.wire import state as wire
from mosswalk.wire.cloud import MachineType
from mosswalk.wire.users import JobSpec, Phase

encode = msgspec.json.encode

# Versions of the controller: the first one supports neither gangs nor jobs with a changed layout.
# The second one takes the token that a worker reports for the number of a term.
FIRST_VERSION = 1
GANG_VERSION = 2
TOKEN_RANGE_VERSION = 3
CURRENT_VERSION = TOKEN_RANGE_VERSION

MIRROR_PREFIX = "m/"
TERM_KEY = "m/term"
LEADER_KEY = "m/lead"
MACHINE_TYPES_KEY = "m/types"
NODE_PREFIX = "m/n/"
JOB_PREFIX = "m/j/"
CHUNK_PREFIX = "m/c/"
FINAL_PREFIX = "f/"

# The maximum size of a live attempt's row while machine names are short.
TYPICAL_MAX_ROW_BYTES = 44
# The maximum size of a header without its tasks and the job spec.
_MAX_HEADER_OVERHEAD_BYTES = 320
_MAX_CHUNK_TASKS = 256
# The estimated size of a transaction is kept below this; the difference is a margin.
MAX_TRANSACTION_BYTES = wire.MAX_TRANSACTION_BYTES - 4 * 1024
# What a record adds to a transaction at most besides its own size: its key, put and guards, and the
# digits by which its mask of done tasks grows.
RECORD_OVERHEAD_BYTES = 256
# A job's header is written with every other record of the job, so at least these always fit.
MIN_RECORDS_PER_TRANSACTION = 2
# The maximum size of a row without the machine's name.
_MAX_ROW_OVERHEAD_BYTES = 34


def max_row_bytes(machine: str) -> int:
    """The maximum size of the row of an attempt on a machine, in bytes."""
    return _MAX_ROW_OVERHEAD_BYTES + len(machine.encode())


class RecordLimits(Struct, frozen=True):
    """The maximum size of a record, and the maximum number of writes in a transaction."""

    value_bytes: int
    txn_ops: int

    @classmethod
    def of_service(cls, value_bytes: int, txn_ops: int) -> RecordLimits:
        """The limits that follow from the state service's limits on a value and a transaction."""
        share = MAX_TRANSACTION_BYTES // MIN_RECORDS_PER_TRANSACTION - RECORD_OVERHEAD_BYTES
        return cls(min(value_bytes, share), txn_ops)


def max_header_bytes(spec: JobSpec) -> int:
    """The maximum size of a job's header without its tasks, in bytes."""
    return _MAX_HEADER_OVERHEAD_BYTES + len(encode(spec))


def chunk_size(limits: RecordLimits, spec: JobSpec) -> int:
    """How many tasks of a job fit into a record if all of them have live attempts."""
    available_bytes = limits.value_bytes - max_header_bytes(spec)
    return max(1, min(_MAX_CHUNK_TASKS, available_bytes // TYPICAL_MAX_ROW_BYTES))


def job_key(job_id: str) -> str:
    """The key of a job's header."""
    return JOB_PREFIX + job_id


def chunk_key(job_id: str, chunk: int, layout: int = 0) -> str:
    """The key of a chunk other than the one in the header."""
    suffix = f".{layout}" if layout else ""
    return f"{CHUNK_PREFIX}{job_id}/{chunk:06d}{suffix}"


class ChunkId(Struct, frozen=True):
    """The parts of a chunk's key."""

    job: str
    chunk: int
    layout: int


def parse_chunk_key(key: str) -> ChunkId:
    """Parse a chunk's key; ValueError if it is malformed."""
    job_id, _, text = key.removeprefix(CHUNK_PREFIX).partition("/")
    chunk, _, layout = text.partition(".")
    return ChunkId(job_id, int(chunk), int(layout or 0))


def final_key(job_id: str) -> str:
    """The key of the record of a job that has ended."""
    return FINAL_PREFIX + job_id


class Attempt(Struct, frozen=True, array_like=True, gc=False):
    """A live attempt: one that may still run, because it is not proven to be terminated."""

    task: int
    number: int
    machine: str
    session: int
    term: int


class TaskChunk(Struct, frozen=True, omit_defaults=True):
    """The tasks of one chunk: a bit mask of done tasks, and live attempts."""

    done: str = field(name="d", default="0")
    live: tuple[Attempt, ...] = field(name="a", default=())

    def done_mask(self) -> int:
        """The done tasks as bits; the lowest bit is the chunk's first task."""
        return int(self.done, 16)


# placing: not all rows are written, and no task may start. placed: all rows are written, and tasks
# may start. ending: a task was lost or the attempt is being stopped; no task starts until all rows
# are removed.
GangPhase = Literal["", "placing", "placed", "ending"]


class JobRecord(Struct, frozen=True, omit_defaults=True):
    """A job's header, which includes the job's first chunk of tasks."""

    spec: JobSpec = field(name="s")
    submitted_at_us: int = field(name="t")
    # The number of tasks in a chunk. A job that was split stores it under another name instead
    # (split_chunk_size): a controller of the first version would write the header back without its
    # layout, so it must not be able to decode the header.
    initial_chunk_size: int = field(name="c", default=0)
    phase: Literal["open", "withdrawn"] = field(name="p", default="open")
    next_attempt: int = field(name="n", default=1)
    done_count: int = field(name="k", default=0)
    live_count: int = field(name="r", default=0)
    # When the job was withdrawn, by the wall clock of the controller that withdrew it.
    withdrawn_at_us: int = field(name="w", default=0)
    tasks: TaskChunk = field(name="x", default=TaskChunk())
    # Identifies the chunks that belong to the job. When a job is split into smaller records, its
    # chunks get new keys, whose layout number is the version of the header they were made from, and
    # the new header then names that layout.
    layout: int = field(name="l", default=0)
    split_chunk_size: int = field(name="cs", default=0)
    # The phase of a gang's current attempt; empty for other jobs.
    gang_phase: GangPhase = field(name="g", default="")

    @property
    def chunk_size(self) -> int:
        """The number of tasks in a chunk."""
        return self.split_chunk_size or self.initial_chunk_size

    def completed(self) -> bool:
        """Whether all tasks are done, even if some attempts are not proven terminated yet."""
        return self.done_count >= self.spec.tasks


class FinalRecord(Struct, frozen=True, omit_defaults=True):
    """A job that has ended, done or withdrawn."""

    phase: Phase = field(name="p")
    done: int = field(name="d", default=0)


VerdictReason = Literal["lease", "quorum", "cut_off"]


class Verdict(Struct, frozen=True, omit_defaults=True):
    """Why a controller's teams, or the leadership, were given to others."""

    node: str
    run: str
    reason: VerdictReason
    # The controllers that agreed that it is silent.
    observers: tuple[str, ...] = ()


class TermRecord(Struct, frozen=True):
    """The leader, and the owner of each team. Workers also see the term's number."""

    term: int
    leader: str
    owners: dict[str, str]
    # The run of each controller that the term was made for.
    runs: dict[str, str] = {}
    # The version that every controller of this term supports; it never decreases.
    version: int = FIRST_VERSION
    # Whether failure detection is in force: set by the first term for which all controllers took
    # part in it, and kept in later terms unless their leader has detection off.
    detects: bool = False
    verdicts: tuple[Verdict, ...] = ()


class _StoredTerm(Struct, frozen=True, omit_defaults=True):
    """A term as it is stored.

    From ``GANG_VERSION`` (2) on, the leader is stored under another name. A controller of the first
    version can't decode a term without ``leader``, so it never leads and owns no team.
    """

    term: int
    owners: dict[str, str]
    leader: str | None = None
    leader_v2: str | None = field(name="lead", default=None)
    runs: dict[str, str] = {}
    version: int = FIRST_VERSION
    detects: bool = False
    verdicts: tuple[Verdict, ...] = ()


class Presence(Struct, frozen=True):
    """A running controller. The key expires with its lease; ``run`` identifies the process."""

    node: str
    run: str
    version: int = FIRST_VERSION
    # The lease that a verdict ends to fence the controller; set only if failure detection is on.
    lease: int | UnsetType = UNSET


decode_job_record = msgspec.json.Decoder(JobRecord).decode
decode_chunk = msgspec.json.Decoder(TaskChunk).decode
decode_final = msgspec.json.Decoder(FinalRecord).decode
_decode_stored_term = msgspec.json.Decoder(_StoredTerm).decode
decode_machine_types = msgspec.json.Decoder(tuple[MachineType, ...]).decode
decode_presence = msgspec.json.Decoder(Presence).decode


def encode_term(term: TermRecord) -> bytes:
    """Encode a term so that only controllers that may act in it can decode it."""
    uses_v2 = term.version >= GANG_VERSION
    return encode(
        _StoredTerm(
            term.term,
            term.owners,
            leader=None if uses_v2 else term.leader,
            leader_v2=term.leader if uses_v2 else None,
            runs=term.runs,
            version=term.version,
            detects=term.detects,
            verdicts=term.verdicts,
        )
    )


def decode_term(value: bytes) -> TermRecord:
    """Decode a term."""
    stored = _decode_stored_term(value)
    leader = stored.leader_v2 if stored.leader is None else stored.leader
    if leader is None:
        raise msgspec.ValidationError("the term record has no leader")
    return TermRecord(
        stored.term,
        leader,
        stored.owners,
        stored.runs,
        stored.version,
        stored.detects,
        stored.verdicts,
    )
