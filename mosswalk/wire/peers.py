"""Messages between controllers: MessagePack over their own HTTP port."""

from __future__ import annotations

from typing import Literal

from msgspec import UNSET, Struct, UnsetType, field

# How an attempt ended:
# done: the task exited successfully;
# error: it failed;
# stopped: it was stopped by a command, or because of other tasks of its gang;
# refused: the worker could not run it, or reported a cause of exit that is not known here;
# lost: its worker or its machine no longer has it.
OutcomeKind = Literal["done", "error", "stopped", "refused", "lost"]


class MachineOffer(Struct, frozen=True, array_like=True, gc=False):
    """Free capacity of one booted machine that a team may use; amounts in thousandths."""

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
    """All the free capacity that one offer gives to one team."""

    team: str
    machines: tuple[MachineOffer, ...]


class Offer(Struct, frozen=True):
    """Leader to team owner: free capacity to place the tasks in its queues on."""

    term: int
    teams: tuple[TeamOffer, ...]
    # The zone of each machine that runs attempts of these teams' jobs with a zone rule. Only the
    # leader knows it, and without it the owner could not place such a job's next task.
    machine_zones: dict[str, str] = field(name="zones", default_factory=dict)


class OfferAnswer(Struct, frozen=True):
    """Team owner to leader: how many tasks were placed on an offer.

    ``revision`` is the store revision at which all these placements are visible.
    """

    revision: int
    placed: int


class Outcome(Struct, frozen=True, array_like=True, gc=False):
    """How an attempt ended, as proven by a worker's report or by the cloud."""

    task: str
    attempt: int
    machine: str
    kind: OutcomeKind


class Outcomes(Struct, frozen=True):
    """Leader to team owner: outcomes to write into the job records."""

    term: int
    outcomes: tuple[Outcome, ...]


# The state of a controller's link to another one, the observed controller:
# alive: messages arrive in both directions;
# silent: messages of the observed controller reach neither this one nor those that it asked;
# unheard: they reach other controllers, but not this one;
# unhearing: they arrive, but this controller's messages don't reach the observed one.
LinkState = Literal["alive", "silent", "unheard", "unhearing"]


class LinkRow(Struct, frozen=True, array_like=True, gc=False):
    """One observer's view of its link to another controller: a row of the reachability matrix."""

    node: str
    run: str
    state: LinkState
    # How long ago the observer last received a message from it.
    heard_ms: int
    # Whether connections to it are refused, as happens when its process is dead.
    refused: bool


class Heartbeat(Struct, frozen=True):
    """A controller's heartbeat, with the state of its links to the other controllers.

    Ages are durations, so that clocks of different machines are never compared.
    """

    node: str
    run: str
    # The sender's own process stalled a moment ago, so silence that it observed proves nothing.
    stalled: bool
    rows: tuple[LinkRow, ...] = ()


class ProbeAnswer(Struct, frozen=True):
    """Whether the probed controller could be reached from the one that was asked to probe it."""

    reached: bool


class PeerStatus(Struct, frozen=True):
    """The sender's own status: whether the state service serves it, and which workers report to it.

    The heartbeat is present if the failure detector is on and the other controller sent its own.
    """

    state_is_fresh: bool = field(name="fresh")
    # The number of machines whose workers reported to it recently although it does not lead.
    stray_workers: int = field(name="visitors", default=0)
    heartbeat: Heartbeat | UnsetType = UNSET


class Withdrawal(Struct, frozen=True):
    """To all controllers: a job was withdrawn by the commit with this revision.

    ``record`` is what the watch will show: the job's record, or None if the withdrawal ended the
    job at once.
    """

    job: str
    record: bytes | None
    revision: int


class Withdrawals(Struct, frozen=True):
    """Withdrawals that another controller has confirmed to users."""

    withdrawals: tuple[Withdrawal, ...]


class PollAnswer(Struct, frozen=True):
    """The response to a user's poll of a job, from a controller that the state service serves."""

    status: int
    body: bytes
