"""Messages between controllers: MessagePack over their own HTTP port."""

from __future__ import annotations

from typing import Literal

from msgspec import UNSET, Struct, UnsetType, field

OutcomeKind = Literal["done", "error", "stopped", "refused", "lost"]


class MachineOffer(Struct, frozen=True, array_like=True, gc=False):
    """Room on one booted machine that a team may use; amounts in thousandths."""

    machine: str
    type: str
    zone: str
    spot: bool
    session: int
    cpus: int
    gpus: int
    memory: int
    images: tuple[str, ...] = ()
    core_price: float = 0.0
    fetch_s_per_gb: float = 0.0


class TeamOffer(Struct, frozen=True, array_like=True):
    """All the room offered to one team in one go."""

    team: str
    machines: tuple[MachineOffer, ...]


class Offer(Struct, frozen=True):
    """Leader to owner: place your queues on this room."""

    term: int
    teams: tuple[TeamOffer, ...]
    # The zones of machines that attempts of these teams' zone-bound jobs are on: only the
    # leader knows them, and without them the owner could not place such a job's next task.
    machine_zones: dict[str, str] = field(name="zones", default_factory=dict)


class OfferAnswer(Struct, frozen=True):
    """Owner to leader: the store revision by which every placing made of it is visible."""

    revision: int
    placed: int


class Outcome(Struct, frozen=True, array_like=True, gc=False):
    """What became of an attempt, proven by a worker's report or by the cloud."""

    task: str
    attempt: int
    machine: str
    kind: OutcomeKind


class Outcomes(Struct, frozen=True):
    """Leader to owner: write these into the job records."""

    term: int
    outcomes: tuple[Outcome, ...]


LinkState = Literal["alive", "silent", "unheard", "unhearing"]


class LinkRow(Struct, frozen=True, array_like=True, gc=False):
    """What a controller knows of another one: an observer's row of who reaches whom."""

    node: str
    run: str
    state: LinkState
    # How long ago the observer heard it.
    heard_ms: int
    # Whether connections to it are refused, as a dead process does.
    refused: bool


class Heartbeat(Struct, frozen=True):
    """A sign of life, and whom its sender hears. Ages are durations: no two clocks are compared."""

    node: str
    run: str
    # The sender stood still a moment ago: what it does not hear tells nothing.
    stalled: bool
    rows: tuple[LinkRow, ...] = ()


class ProbeAnswer(Struct, frozen=True):
    """Whether a controller could be reached from a third one."""

    reached: bool


class PeerStatus(Struct, frozen=True):
    """What another controller sees: whether the state service serves it, and who turns to it."""

    state_is_fresh: bool = field(name="fresh")
    # Machines whose workers came to it of late although it does not lead.
    stray_workers: int = field(name="visitors", default=0)
    # Sent to those who sent theirs, if the failure detector is on.
    heartbeat: Heartbeat | UnsetType = UNSET


class Withdrawal(Struct, frozen=True):
    """To all: a job was withdrawn by the commit with this revision.

    It brings what the watch will show: the job's record, or None if the job was over with it.
    """

    job: str
    record: bytes | None
    revision: int


class Withdrawals(Struct, frozen=True):
    """Withdrawals that another controller has told users of."""

    withdrawals: tuple[Withdrawal, ...]


class PollAnswer(Struct, frozen=True):
    """What the state service told another controller about a job, as a user is answered."""

    status: int
    body: bytes
