"""When a suspicion becomes a verdict. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.config.detection import DetectionTuning
from mosswalk.detection.suspicion import PeerMonitor
from mosswalk.wire.peers import Heartbeat, LinkRow


class ReceivedHeartbeat(Struct, frozen=True):
    """The last heartbeat of an observer, and when it came."""

    heartbeat: Heartbeat
    received_at_us: int

    def row_for(self, node: str) -> LinkRow | None:
        """What the observer holds of a controller."""
        return next((row for row in self.heartbeat.rows if row.node == node), None)


class Vote(Struct, frozen=True):
    """An observer's word that a controller is silent."""

    observer: str
    refused: bool


def quorum_size(controllers: int) -> int:
    """More than half of all controllers, whether they are up or not."""
    return controllers // 2 + 1


def collect_votes(
    peer: PeerMonitor,
    me: str,
    received: Mapping[str, ReceivedHeartbeat],
    now_us: int,
    oldest_us: int,
) -> tuple[Vote, ...]:
    """Who holds a run of a controller to be silent; a stalled observer's or an old word is none."""
    if peer.state != "silent":
        return ()
    found = [Vote(me, peer.refused)]
    for observer, last in sorted(received.items()):
        row = last.row_for(peer.node)
        if (
            observer not in (me, peer.node)
            and row is not None
            and row.run == peer.run
            and row.state == "silent"
            and not last.heartbeat.stalled
            and now_us - last.received_at_us <= oldest_us
        ):
            found.append(Vote(observer, row.refused))
    return tuple(found)


def is_dead(
    peer: PeerMonitor,
    agreed: tuple[Vote, ...],
    controllers: int,
    now_us: int,
    listening_us: int,
    tuning: DetectionTuning,
) -> bool:
    """Whether a quorum's verdict is due: silent to enough observers for long enough.

    Once per silence: a run that was fenced and took a new lease is alive, only not heard here.
    """
    if peer.verdict_given or len(agreed) < quorum_size(controllers):
        return False
    window_s = tuning.refused_s if all(vote.refused for vote in agreed) else tuning.silent_s
    return now_us - max(peer.state_since_us, listening_us) >= to_us(window_s)


def is_cut_off(
    peer: PeerMonitor, was_cut_off: bool, now_us: int, listening_us: int, tuning: DetectionTuning
) -> bool:
    """Whether the leader can't use a controller, be it alive or not; ends with the suspicion.

    One that is silent to all is left to the quorum first, which fences it.
    """
    if not peer.suspected:
        return False
    since_us = max(peer.suspected_since_us, peer.state_since_us, listening_us)
    window_s = tuning.silent_s + (tuning.ceiling_s if peer.state == "silent" else 0.0)
    lasts = peer.state != "alive" and now_us - since_us >= to_us(window_s)
    return was_cut_off or lasts
