"""What operators are shown of who reaches whom."""

from __future__ import annotations

from msgspec import Struct, field

from mosswalk.store.records import Verdict
from mosswalk.wire.peers import LinkState


class PeerView(Struct, frozen=True):
    """One other controller, as the one that was asked has it."""

    node: str
    run: str
    # "dead" once a verdict has been recorded and it has not come back.
    state: str
    suspected: bool
    state_age_s: float = field(name="since_s")
    reason: str = field(name="why")
    last_heard_age_s: float = field(name="heard_s")
    timeout_s: float = field(name="patience_s")
    suspicion_level: float = field(name="level")
    suspicions: int
    false_suspicions: int


class MatrixCell(Struct, frozen=True):
    """Whether an observer hears a controller, by the observer's last word."""

    observer: str
    node: str
    state: LinkState
    last_heard_age_s: float = field(name="heard_s")
    report_age_s: float = field(name="told_s")


class DetectionView(Struct, frozen=True):
    """All that ``mosswalk peers`` shows."""

    node: str
    leader: str | None
    term: int
    # Whether the term says that detection is in force.
    active: bool = field(name="in_force")
    stalls: int
    freezes: int
    peers: tuple[PeerView, ...]
    matrix: tuple[MatrixCell, ...]
    verdicts: tuple[Verdict, ...]


class DetectionMetrics(Struct, frozen=True):
    """Counts for the metrics, since this process began."""

    suspicions: int
    false_suspicions: int
    verdicts: int
    # From the last sign of life to the last verdict given here.
    time_to_verdict_s: float
    stalls: int
    freezes: int
    background_renewals: int
    suspicion_levels: dict[str, float]
