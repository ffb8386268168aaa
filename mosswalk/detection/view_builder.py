"""Puts what a controller holds of the others into the form that operators are shown."""

from __future__ import annotations

from collections.abc import Mapping

from mosswalk.actors import to_s
from mosswalk.detection.quorum import ReceivedHeartbeat
from mosswalk.detection.suspicion import PeerMonitor
from mosswalk.detection.view import MatrixCell, PeerView
from mosswalk.wire.peers import LinkState

_MS_IN_S = 1000

STATE_DESCRIPTIONS: dict[LinkState, str] = {
    "alive": "heard",
    "silent": "not heard here, nor by those who were asked",
    "unheard": "not heard here, but by others",
    "unhearing": "heard, but does not hear us",
}


def build_peer_view(peer: PeerMonitor, now_us: int, listening_us: int, *, dead: bool) -> PeerView:
    """One other controller."""
    return PeerView(
        peer.node,
        peer.run,
        "dead" if dead else peer.state,
        peer.suspected,
        to_s(now_us - peer.state_since_us),
        STATE_DESCRIPTIONS[peer.state],
        to_s(now_us - peer.last_heard_at_us),
        to_s(peer.timeout.timeout_us()),
        peer.suspicion_level(now_us, listening_us),
        peer.suspicions,
        peer.false_suspicions,
    )


def build_matrix(received: Mapping[str, ReceivedHeartbeat], now_us: int) -> tuple[MatrixCell, ...]:
    """Who hears whom, by each observer's last word."""
    return tuple(
        MatrixCell(
            observer,
            row.node,
            row.state,
            row.heard_ms / _MS_IN_S,
            to_s(now_us - last.received_at_us),
        )
        for observer, last in sorted(received.items())
        for row in last.heartbeat.rows
    )
