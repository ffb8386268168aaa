"""What operators are shown of who reaches whom."""

from __future__ import annotations

from msgspec import Struct

from mosswalk.store.records import Verdict
from mosswalk.wire.peers import LinkState


class PeerView(Struct, frozen=True):
    """One other controller, as the one that was asked has it."""

    node: str
    run: str
    # "dead" once a verdict has been recorded and it has not come back.
    state: str
    suspected: bool
    since_s: float
    why: str
    heard_s: float
    patience_s: float
    level: float
    suspicions: int
    false_suspicions: int


class MatrixCell(Struct, frozen=True):
    """Whether an observer hears a controller, by the observer's last word."""

    observer: str
    node: str
    state: LinkState
    heard_s: float
    told_s: float


class DetectionView(Struct, frozen=True):
    """All that ``mosswalk peers`` shows."""

    node: str
    leader: str | None
    term: int
    # Whether the term says that detection is in force.
    in_force: bool
    stalls: int
    freezes: int
    peers: tuple[PeerView, ...]
    matrix: tuple[MatrixCell, ...]
    verdicts: tuple[Verdict, ...]


class DetectionFigures(Struct, frozen=True):
    """Counts for the metrics, since this process began."""

    suspicions: int
    false_suspicions: int
    verdicts: int
    # From the last sign of life to the last verdict given here.
    time_to_verdict_s: float
    stalls: int
    freezes: int
    renewals_beside: int
    levels: dict[str, float]
