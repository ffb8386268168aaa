"""The structs by which the version before gangs reads and writes records and peer messages.

Copied from the commit that ``deploy/service.toml`` names, and not to be changed: what is stored
and sent while both versions serve must be readable, and safe to write again, by these.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct, field


class JobSpec(Struct, frozen=True, omit_defaults=True):
    id: str = field(name="ref")
    job_class: str = field(name="lane")
    team: str = field(name="owner")
    kind: Literal["array", "daemon"] = field(name="shape")
    priority: Literal["prod", "high", "standard", "idle"] = field(name="rank")
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
    checkpoint_s: float = field(name="savepoint_s")
    save_s: float = field(name="flush_s")
    types: tuple[str, ...] | None = field(name="builds", default=None)
    zone: str | None = field(name="yard", default=None)
    deadline_s: float | None = field(name="due_s", default=None)


class Attempt(Struct, frozen=True, array_like=True):
    task: int
    number: int
    machine: str
    tenure: int
    term: int


class TaskChunk(Struct, frozen=True, omit_defaults=True):
    done: str = field(name="d", default="0")
    live: tuple[Attempt, ...] = field(name="a", default=())


class JobRecord(Struct, frozen=True, omit_defaults=True):
    spec: JobSpec = field(name="s")
    submitted_us: int = field(name="t")
    chunk: int = field(name="c")
    phase: Literal["open", "withdrawn"] = field(name="p", default="open")
    next_attempt: int = field(name="n", default=1)
    done_count: int = field(name="k", default=0)
    live_count: int = field(name="r", default=0)
    withdrawn_us: int = field(name="w", default=0)
    tasks: TaskChunk = field(name="x", default=TaskChunk())


class FinalRecord(Struct, frozen=True, omit_defaults=True):
    phase: Literal["pending", "running", "done", "withdrawn"] = field(name="p")
    done: int = field(name="d", default=0)


class TermRecord(Struct, frozen=True):
    term: int
    leader: str
    owners: dict[str, str]
    runs: dict[str, str] = {}


class Presence(Struct, frozen=True):
    node: str
    run: str


class SlotOffer(Struct, frozen=True, array_like=True):
    machine: str
    type: str
    zone: str
    spot: bool
    tenure: int
    cpus: int
    gpus: int
    memory: int
    images: tuple[str, ...] = ()
    core_price: float = 0.0
    fetch_s_per_gb: float = 0.0


class TeamOffer(Struct, frozen=True, array_like=True):
    team: str
    slots: tuple[SlotOffer, ...]


class Offer(Struct, frozen=True):
    term: int
    teams: tuple[TeamOffer, ...]
    zones: dict[str, str] = {}


class OfferAnswer(Struct, frozen=True):
    revision: int
    placed: int


class Outcome(Struct, frozen=True, array_like=True):
    task: str
    attempt: int
    machine: str
    fate: Literal["done", "error", "stopped", "refused", "lost"]


class Outcomes(Struct, frozen=True):
    term: int
    outcomes: tuple[Outcome, ...]


class Sight(Struct, frozen=True):
    fresh: bool
    visitors: int = 0


class Withdrawal(Struct, frozen=True):
    job: str
    record: bytes | None
    revision: int


class Withdrawals(Struct, frozen=True):
    withdrawals: tuple[Withdrawal, ...]


class PollAnswer(Struct, frozen=True):
    status: int
    body: bytes


encode = msgspec.json.encode


def decode(kind: type, value: bytes) -> object:
    return msgspec.json.decode(value, type=kind)
