"""Keys and records in the state service.

``m/`` holds all that controllers mirror: the term, the presence of controllers, machine types
and unfinished jobs. A job that is over moves to ``f/``, which nobody mirrors, so neither memory
nor start-up grows with history.

A job's tasks are packed: done tasks as a bit mask, live attempts as short rows. The header
holds the first ``chunk`` tasks; the rest are in chunks of that size under ``m/c/``. Every change
to a chunk also rewrites the header, so that the header's version guards the whole job.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from mosswalk.wire.cloud import MachineType
from mosswalk.wire.users import JobSpec, Phase

encode = msgspec.json.encode

# What a controller can do: the first version knows no gangs and no other layout of tasks.
FIRST_VERSION = 1
GANG_VERSION = 2
CURRENT_VERSION = GANG_VERSION

MIRROR_PREFIX = "m/"
TERM_KEY = "m/term"
LEADER_KEY = "m/lead"
MACHINE_TYPES_KEY = "m/types"
NODE_PREFIX = "m/n/"
JOB_PREFIX = "m/j/"
CHUNK_PREFIX = "m/c/"
FINAL_PREFIX = "f/"

# A live attempt's row takes this many bytes where machines' names are short, and a header this
# many besides its tasks and the job as it was submitted.
TYPICAL_MAX_ROW_BYTES = 44
_HEADER_BYTES = 320
_MOST_IN_CHUNK = 256
# What a row takes besides the machine's name.
_ROW_FRAME_BYTES = 34


def max_row_bytes(machine: str) -> int:
    """The most that an attempt on a machine takes in a record."""
    return _ROW_FRAME_BYTES + len(machine.encode())


class RecordLimits(Struct, frozen=True):
    """How large a record may be, and how many a transaction may write."""

    value_bytes: int
    txn_ops: int


def max_header_bytes(spec: JobSpec) -> int:
    """The most that a job's header takes besides its tasks."""
    return _HEADER_BYTES + len(encode(spec))


def chunk_size(limits: RecordLimits, spec: JobSpec) -> int:
    """How many tasks of a job fit a record, all of them live."""
    room = limits.value_bytes - max_header_bytes(spec)
    return max(1, min(_MOST_IN_CHUNK, room // TYPICAL_MAX_ROW_BYTES))


def job_key(job_id: str) -> str:
    """The header's key."""
    return JOB_PREFIX + job_id


def chunk_key(job_id: str, chunk: int, layout: int = 0) -> str:
    """The key of a chunk beyond the header's own."""
    suffix = f".{layout}" if layout else ""
    return f"{CHUNK_PREFIX}{job_id}/{chunk:06d}{suffix}"


class ChunkId(Struct, frozen=True):
    """What a chunk's key says."""

    job: str
    chunk: int
    layout: int


def parse_chunk_key(key: str) -> ChunkId:
    """A chunk's key taken apart; ValueError if it is none."""
    job_id, _, text = key.removeprefix(CHUNK_PREFIX).partition("/")
    chunk, _, layout = text.partition(".")
    return ChunkId(job_id, int(chunk), int(layout or 0))


def final_key(job_id: str) -> str:
    """Where a job that is over is kept."""
    return FINAL_PREFIX + job_id


class Attempt(Struct, frozen=True, array_like=True, gc=False):
    """An attempt that may be running: it counts until it is proven gone."""

    task: int
    number: int
    machine: str
    session: int
    term: int


class TaskChunk(Struct, frozen=True, omit_defaults=True):
    """The tasks of one record."""

    done: str = field(name="d", default="0")
    live: tuple[Attempt, ...] = field(name="a", default=())

    def done_mask(self) -> int:
        """Done tasks as bits, the chunk's first task lowest."""
        return int(self.done, 16)


# placing: not all rows are written, nothing may start. placed: all are, and may start. ending: a
# task was lost or the attempt is being stopped; nothing starts until every row is gone.
GangPhase = Literal["", "placing", "placed", "ending"]


class JobRecord(Struct, frozen=True, omit_defaults=True):
    """A job's header with its first tasks."""

    spec: JobSpec = field(name="s")
    submitted_at_us: int = field(name="t")
    # How many tasks a record holds. A job that was split has its number under another name: a
    # controller of the first version would write the header back without its layout, so it must
    # not be able to read it.
    initial_chunk_size: int = field(name="c", default=0)
    phase: Literal["open", "withdrawn"] = field(name="p", default="open")
    next_attempt: int = field(name="n", default=1)
    done_count: int = field(name="k", default=0)
    live_count: int = field(name="r", default=0)
    # When it was withdrawn, by the time of day of the controller that did it.
    withdrawn_at_us: int = field(name="w", default=0)
    tasks: TaskChunk = field(name="x", default=TaskChunk())
    # Which chunks are the job's: a job that is split anew gets chunks under new keys, named by
    # the header's version they were made from, and the header then names them.
    layout: int = field(name="l", default=0)
    split_chunk_size: int = field(name="cs", default=0)
    # How far the current attempt of a gang has come; empty for other jobs.
    gang_phase: GangPhase = field(name="g", default="")

    @property
    def chunk_size(self) -> int:
        """How many tasks a record holds."""
        return self.split_chunk_size or self.initial_chunk_size

    def completed(self) -> bool:
        """Whether all its tasks are done, though some may not have been reported gone."""
        return self.done_count >= self.spec.tasks


class FinalRecord(Struct, frozen=True, omit_defaults=True):
    """A job that is over."""

    phase: Phase = field(name="p")
    done: int = field(name="d", default=0)


VerdictReason = Literal["lease", "quorum", "cut_off"]


class Verdict(Struct, frozen=True, omit_defaults=True):
    """Why a controller's teams, or the lead, were given to others."""

    node: str
    run: str
    reason: VerdictReason
    # Who agreed that it is silent.
    observers: tuple[str, ...] = ()


class TermRecord(Struct, frozen=True):
    """Who leads, and who places for which team. The term is the epoch workers see."""

    term: int
    leader: str
    owners: dict[str, str]
    # The run of each controller that the term was made for.
    runs: dict[str, str] = {}
    # What every controller of this term can do; never lowered.
    version: int = FIRST_VERSION
    # Whether all controllers took part in failure detection when a term first said so.
    detects: bool = False
    verdicts: tuple[Verdict, ...] = ()


class _StoredTerm(Struct, frozen=True, omit_defaults=True):
    """A term as it is stored.

    From ``GANG_VERSION`` on the leader is stored under another name. A controller of the first
    version can't decode a term without ``leader``: it never leads and owns no team.
    """

    term: int
    owners: dict[str, str]
    leader: str | None = None
    fenced_leader: str | None = field(name="lead", default=None)
    runs: dict[str, str] = {}
    version: int = FIRST_VERSION
    detects: bool = False
    verdicts: tuple[Verdict, ...] = ()


class Presence(Struct, frozen=True):
    """A controller that is up, kept by its lease; one run of it is told from the next."""

    node: str
    run: str
    version: int = FIRST_VERSION
    # Its lease, by which a verdict can fence it; told only if it takes part in detection.
    lease: int | UnsetType = UNSET


decode_job_record = msgspec.json.Decoder(JobRecord).decode
decode_chunk = msgspec.json.Decoder(TaskChunk).decode
decode_final = msgspec.json.Decoder(FinalRecord).decode
_decode_stored_term = msgspec.json.Decoder(_StoredTerm).decode
decode_machine_types = msgspec.json.Decoder(tuple[MachineType, ...]).decode
decode_presence = msgspec.json.Decoder(Presence).decode


def encode_term(term: TermRecord) -> bytes:
    """A term's bytes, readable by the controllers that may act in it only."""
    fenced = term.version >= GANG_VERSION
    return encode(
        _StoredTerm(
            term.term,
            term.owners,
            leader=None if fenced else term.leader,
            fenced_leader=term.leader if fenced else None,
            runs=term.runs,
            version=term.version,
            detects=term.detects,
            verdicts=term.verdicts,
        )
    )


def decode_term(value: bytes) -> TermRecord:
    """A term from its bytes."""
    stored = _decode_stored_term(value)
    leader = stored.fenced_leader if stored.leader is None else stored.leader
    if leader is None:
        raise msgspec.ValidationError("a term without a leader")
    return TermRecord(
        stored.term,
        leader,
        stored.owners,
        stored.runs,
        stored.version,
        stored.detects,
        stored.verdicts,
    )
