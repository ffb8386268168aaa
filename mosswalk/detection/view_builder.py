"""Builds the views of controllers and links that operators are shown."""

from __future__ import annotations

from collections.abc import Mapping

from mosswalk.actors import to_s
from mosswalk.detection.quorum import ReceivedHeartbeat
from mosswalk.detection.suspicion import PeerMonitor
from mosswalk.detection.view import MatrixCell, PeerView
from mosswalk.wire.peers import LinkState

_MS_PER_S = 1000

# Sent to ``mosswalk peers`` as ``why``, and logged at each change of state.
STATE_DESCRIPTIONS: dict[LinkState, str] = {
    "alive": "heard",
    "silent": "not heard here, nor by those who were asked",
    "unheard": "not heard here, but by others",
    "unhearing": "heard, but does not hear us",
}


def build_peer_view(
    peer: PeerMonitor, now_us: int, listening_since_us: int, *, dead: bool
) -> PeerView:
    """The view of one other controller; ``dead`` replaces the state of its link."""
    return PeerView(
        peer.node,
        peer.run,
        "dead" if dead else peer.state,
        peer.suspected,
        to_s(now_us - peer.state_since_us),
        STATE_DESCRIPTIONS[peer.state],
        to_s(now_us - peer.last_heard_at_us),
        to_s(peer.timeout.timeout_us()),
        peer.suspicion_level(now_us, listening_since_us),
        peer.suspicions,
        peer.false_suspicions,
    )


def build_matrix(received: Mapping[str, ReceivedHeartbeat], now_us: int) -> tuple[MatrixCell, ...]:
    """One cell for each observer and controller, from each observer's latest heartbeat."""
    return tuple(
        MatrixCell(
            observer,
            row.node,
            row.state,
            row.heard_ms / _MS_PER_S,
            to_s(now_us - latest.received_at_us),
        )
        for observer, latest in sorted(received.items())
        for row in latest.heartbeat.rows
    )
