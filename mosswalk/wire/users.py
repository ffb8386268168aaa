"""Messages between users and controllers, and the checks of a submitted job."""

from __future__ import annotations

import math
import re
from typing import Literal

import msgspec
from msgspec import Struct, field

MAX_BODY_BYTES = 64 * 1024
MAX_TASKS = 100_000
MAX_AMOUNT = 1e9
MAX_NAME_LEN = 200
MAX_TYPES = 64

# Job ids become part of URL paths and of store keys, so no other form may reach either.
JOB_ID = re.compile(r"j-[0-9]{1,20}\Z")

Kind = Literal["array", "daemon", "group"]
ARRAY: Kind = "array"
SERVICE: Kind = "daemon"
# All tasks of a gang run at the same time, or none does.
GANG: Kind = "group"
Priority = Literal["prod", "high", "standard", "idle"]
Phase = Literal["pending", "running", "done", "withdrawn"]


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """A job as a user submits it."""

    id: str = field(name="ref")
    job_class: str = field(name="lane")
    team: str = field(name="owner")
    kind: Kind = field(name="shape")
    priority: Priority = field(name="rank")
    tasks: int = field(name="pieces")
    cpus: float = field(name="cores")
    gpus: float = field(name="cards")
    memory_gb: float = field(name="ram_gb")
    image: str = field(name="bundle")
    image_gb: float
    one_zone: bool = field(name="same_place")
    spread: bool
    spot: bool = field(name="reclaimable")
    estimate_s: float = field(name="expect_s")
    checkpoint_interval_s: float = field(name="savepoint_s")
    checkpoint_duration_s: float = field(name="flush_s")
    types: tuple[str, ...] | None = field(name="builds", default=None)
    zone: str | None = field(name="yard", default=None)
    deadline_s: float | None = field(name="due_s", default=None)


class JobState(Struct, frozen=True, omit_defaults=True):
    """A job's state as shown to users."""

    id: str = field(name="ref")
    phase: Phase
    done: int | None = None
    running: int | None = None


class ErrorBody(Struct, frozen=True):
    """The JSON body of an error response."""

    error: str


class InvalidJobError(ValueError):
    """The submission is malformed; the message names the field and the reason."""


_decoder = msgspec.json.Decoder(JobSpec)


def _check(condition: bool, message: str) -> None:
    if not condition:
        raise InvalidJobError(message)


def check_job(spec: JobSpec) -> None:
    """Raise InvalidJobError if a field's value is out of range or malformed."""
    _check(JOB_ID.match(spec.id) is not None, "ref: must look like j-000412")
    for name, text in (("lane", spec.job_class), ("owner", spec.team), ("bundle", spec.image)):
        _check(0 < len(text) <= MAX_NAME_LEN, f"{name}: must have 1 to {MAX_NAME_LEN} characters")
    _check(1 <= spec.tasks <= MAX_TASKS, f"pieces: must be 1 to {MAX_TASKS}")
    amounts = (
        ("cores", spec.cpus),
        ("cards", spec.gpus),
        ("ram_gb", spec.memory_gb),
        ("image_gb", spec.image_gb),
        ("expect_s", spec.estimate_s),
        ("savepoint_s", spec.checkpoint_interval_s),
        ("flush_s", spec.checkpoint_duration_s),
        ("due_s", spec.deadline_s or 0.0),
    )
    for name, amount in amounts:
        _check(math.isfinite(amount) and 0 <= amount <= MAX_AMOUNT, f"{name}: out of range")
    _check(spec.cpus > 0, "cores: must be above 0")
    _check(spec.deadline_s is None or spec.deadline_s > 0, "due_s: must be above 0")
    _check(spec.zone is None or 0 < len(spec.zone) <= MAX_NAME_LEN, "yard: bad name")
    if spec.types is not None:
        _check(len(spec.types) <= MAX_TYPES, f"builds: at most {MAX_TYPES}")
        _check(all(0 < len(t) <= MAX_NAME_LEN for t in spec.types), "builds: bad name")


def decode_job(body: bytes) -> JobSpec:
    """Decode and check a submission; raises InvalidJobError."""
    try:
        spec = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidJobError(str(error)) from None
    check_job(spec)
    return spec


class _OnlyId(Struct):
    id: str = field(name="ref")


_id_decoder = msgspec.json.Decoder(_OnlyId)


def peek_id(body: bytes) -> str | None:
    """Extract the job id from a body that is otherwise invalid.

    If that job was accepted before, the answer is its state instead of an error.
    """
    try:
        job_id = _id_decoder.decode(body).id
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return job_id if JOB_ID.match(job_id) else None
