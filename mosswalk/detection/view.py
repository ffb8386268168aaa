"""The views that ``mosswalk peers`` shows, sent as JSON, and the counts for the metrics."""

from __future__ import annotations

from msgspec import Struct, field

from mosswalk.store.records import Verdict
from mosswalk.wire.peers import LinkState


class PeerView(Struct, frozen=True):
    """One other controller, from the point of view of the controller that was queried."""

    node: str
    run: str
    # A ``LinkState``, or "dead" once the current term excludes it and it has not come back.
    state: str
    suspected: bool
    # Time since the last change of state.
    state_age_s: float = field(name="since_s")
    # The state of the link in words.
    reason: str = field(name="why")
    last_heard_age_s: float = field(name="heard_s")
    timeout_s: float = field(name="patience_s")
    suspicion_level: float = field(name="level")
    suspicions: int
    false_suspicions: int


class MatrixCell(Struct, frozen=True):
    """The state of one link, as the observer's latest heartbeat reports it."""

    observer: str
    node: str
    state: LinkState
    last_heard_age_s: float = field(name="heard_s")
    # Age of the observer's heartbeat.
    report_age_s: float = field(name="told_s")


class DetectionView(Struct, frozen=True):
    """Everything that ``mosswalk peers`` shows."""

    node: str
    leader: str | None
    term: int
    # Whether verdicts may be given: all controllers of the current term take part.
    active: bool = field(name="in_force")
    stalls: int
    freezes: int
    peers: tuple[PeerView, ...]
    matrix: tuple[MatrixCell, ...]
    verdicts: tuple[Verdict, ...]


class DetectionMetrics(Struct, frozen=True):
    """Values for the metrics; the counts start from 0 with this process."""

    suspicions: int
    false_suspicions: int
    verdicts: int
    # Time from the last contact with a controller to the verdict on it, for the latest verdict that
    # this controller has given.
    time_to_verdict_s: float
    stalls: int
    freezes: int
    # Lease renewals by the renewer thread.
    background_renewals: int = field(name="renewals_beside")
    suspicion_levels: dict[str, float] = field(name="levels")
