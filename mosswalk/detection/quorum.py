"""Decides when a silent controller is declared dead, or cut off from the leader. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.config.detection import DetectionTuning
from mosswalk.detection.suspicion import PeerMonitor
from mosswalk.wire.peers import Heartbeat, LinkRow


class ReceivedHeartbeat(Struct, frozen=True):
    """The latest heartbeat of a controller, the observer, and when it arrived."""

    heartbeat: Heartbeat
    received_at_us: int

    def row_for(self, node: str) -> LinkRow | None:
        """What the observer reports about its link to a controller, or None."""
        return next((row for row in self.heartbeat.rows if row.node == node), None)


class Vote(Struct, frozen=True):
    """An observer's report that a controller is silent, and whether it refuses connections."""

    observer: str
    refused: bool


def quorum_size(controllers: int) -> int:
    """A majority of all controllers, whether they are up or not."""
    return controllers // 2 + 1


def collect_votes(
    peer: PeerMonitor,
    own_node: str,
    received: Mapping[str, ReceivedHeartbeat],
    now_us: int,
    max_age_us: int,
) -> tuple[Vote, ...]:
    """The observers that report this run of a controller as silent, this one included.

    Heartbeats older than ``max_age_us`` and those of observers that stalled recently don't count.
    """
    if peer.state != "silent":
        return ()
    votes = [Vote(own_node, peer.refused)]
    for observer, latest in sorted(received.items()):
        row = latest.row_for(peer.node)
        if (
            observer not in (own_node, peer.node)
            and row is not None
            and row.run == peer.run
            and row.state == "silent"
            and not latest.heartbeat.stalled
            and now_us - latest.received_at_us <= max_age_us
        ):
            votes.append(Vote(observer, row.refused))
    return tuple(votes)


def is_dead(
    peer: PeerMonitor,
    votes: tuple[Vote, ...],
    controllers: int,
    now_us: int,
    listening_since_us: int,
    tuning: DetectionTuning,
) -> bool:
    """Whether to declare a controller dead: a quorum agrees, and it has been silent long enough.

    At most one verdict is given per silence: a run that was fenced and took a new lease is alive,
    although this controller receives nothing from it.
    """
    if peer.verdict_given or len(votes) < quorum_size(controllers):
        return False
    window_s = tuning.refused_s if all(vote.refused for vote in votes) else tuning.silent_s
    return now_us - max(peer.state_since_us, listening_since_us) >= to_us(window_s)


def is_cut_off(
    peer: PeerMonitor,
    was_cut_off: bool,
    now_us: int,
    listening_since_us: int,
    tuning: DetectionTuning,
) -> bool:
    """Whether the leader can't use a controller, alive or not; holds until the suspicion ends.

    A controller in the state ``silent`` is given ``ceiling_s`` more, so that a quorum can declare
    it dead and fence it first.
    """
    if not peer.suspected:
        return False
    since_us = max(peer.suspected_since_us, peer.state_since_us, listening_since_us)
    window_s = tuning.silent_s + (tuning.ceiling_s if peer.state == "silent" else 0.0)
    persists = peer.state != "alive" and now_us - since_us >= to_us(window_s)
    return was_cut_off or persists
