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
from msgspec import Struct, field

from mosswalk.wire.cloud import MachineType
from mosswalk.wire.users import JobSpec, Phase

MIRROR = "m/"
TERM_KEY = "m/term"
LEADER_KEY = "m/lead"
TYPES_KEY = "m/types"
NODE_PREFIX = "m/n/"
JOB_PREFIX = "m/j/"
CHUNK_PREFIX = "m/c/"
FINAL_PREFIX = "f/"

# A live attempt's row takes at most this many bytes, and a header this many besides its tasks.
_ROW_BYTES = 64
_HEADER_BYTES = 4096
_MOST_IN_CHUNK = 256


def chunk_size(value_kb: float) -> int:
    """How many tasks fit a record, all of them live."""
    room = int(value_kb * 1024) - _HEADER_BYTES
    return max(8, min(_MOST_IN_CHUNK, room // _ROW_BYTES))


def job_key(job_id: str) -> str:
    """The header's key."""
    return JOB_PREFIX + job_id


def chunk_key(job_id: str, chunk: int) -> str:
    """The key of a chunk beyond the header's own."""
    return f"{CHUNK_PREFIX}{job_id}/{chunk:06d}"


def final_key(job_id: str) -> str:
    """Where a job that is over is kept."""
    return FINAL_PREFIX + job_id


class Attempt(Struct, frozen=True, array_like=True):
    """An attempt that may be running: it counts until it is proven gone."""

    task: int
    number: int
    machine: str
    tenure: int
    term: int


class TaskChunk(Struct, frozen=True, omit_defaults=True):
    """The tasks of one record."""

    done: str = field(name="d", default="0")
    live: tuple[Attempt, ...] = field(name="a", default=())

    def done_mask(self) -> int:
        """Done tasks as bits, the chunk's first task lowest."""
        return int(self.done, 16)


class JobRecord(Struct, frozen=True, omit_defaults=True):
    """A job's header with its first tasks."""

    spec: JobSpec = field(name="s")
    submitted_us: int = field(name="t")
    chunk: int = field(name="c")
    phase: Literal["open", "withdrawn"] = field(name="p", default="open")
    next_attempt: int = field(name="n", default=1)
    done_count: int = field(name="k", default=0)
    live_count: int = field(name="r", default=0)
    # When it was withdrawn, by the time of day of the controller that did it.
    withdrawn_us: int = field(name="w", default=0)
    tasks: TaskChunk = field(name="x", default=TaskChunk())


class FinalRecord(Struct, frozen=True, omit_defaults=True):
    """A job that is over."""

    phase: Phase = field(name="p")
    done: int = field(name="d", default=0)


class TermRecord(Struct, frozen=True):
    """Who leads, and who places for which team. The term is the epoch workers see."""

    term: int
    leader: str
    owners: dict[str, str]
    # The run of each controller that the term was made for.
    runs: dict[str, str] = {}


class Presence(Struct, frozen=True):
    """A controller that is up, kept by its lease; one run of it is told from the next."""

    node: str
    run: str


encode = msgspec.json.encode
decode_job_record = msgspec.json.Decoder(JobRecord).decode
decode_chunk = msgspec.json.Decoder(TaskChunk).decode
decode_final = msgspec.json.Decoder(FinalRecord).decode
decode_term = msgspec.json.Decoder(TermRecord).decode
decode_types = msgspec.json.Decoder(tuple[MachineType, ...]).decode
decode_presence = msgspec.json.Decoder(Presence).decode
