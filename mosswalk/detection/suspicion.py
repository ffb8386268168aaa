"""What one controller holds of another: heard or not, suspected or not. No I/O."""

from __future__ import annotations

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.config.detection import DetectionTuning
from mosswalk.detection.adaptive_timeout import AdaptiveTimeout
from mosswalk.wire.peers import LinkState

# A suspicion that comes within this many times ``settle_most_s`` of the last one is a recurrence.
_RECURS_WITHIN = 2


class StateChange(Struct, frozen=True):
    """A change of what is held of a controller."""

    node: str
    before: LinkState
    after: LinkState
    silence_us: int
    timeout_us: int


class PeerMonitor:
    """One other controller as this one hears it.

    ``state`` is what is heard now. ``suspected`` outlives it by the damping, so that a link that
    flaps does not have work given to and kept from its controller in turns.
    """

    def __init__(self, node: str, tuning: DetectionTuning, now_us: int) -> None:
        self.node = node
        self.run = ""
        self.timeout = AdaptiveTimeout(tuning)
        self.last_heard_at_us = now_us
        self.state: LinkState = "alive"
        self.state_since_us = now_us
        # Connections to it have been refused since it was last heard.
        self.refused = False
        # Since when it has been saying that it doesn't hear us.
        self.not_receiving_since_us: int | None = None
        # Our own requests to it: when one was last answered, and since when none was.
        self.last_answered_at_us = now_us
        self.unanswered_since_us: int | None = None
        # A third controller has reached it, or told that it hears it.
        self.heard_by_others_at_us: int | None = None
        # Third controllers have been asked in this silence, and have answered or not.
        self.probed = False
        # A quorum's verdict has been given in this silence.
        self.verdict_given = False
        self.suspected = False
        self.suspected_since_us = now_us
        self.suspicions = 0
        self.false_suspicions = 0
        self._settle_us = to_us(tuning.settle_s)
        self._settle_most_us = to_us(tuning.settle_most_s)
        self._recurrences = 0
        self._restored_us: int | None = None
        self._returned_us: int | None = None

    def silence_us(self, now_us: int, listening_us: int) -> int:
        """How long it has not been heard while this process listened."""
        return now_us - max(self.last_heard_at_us, listening_us)

    def suspicion_level(self, now_us: int, listening_us: int) -> float:
        """The silence in parts of the patience; suspicion begins at 1."""
        return self.silence_us(now_us, listening_us) / self.timeout.timeout_us()

    def record_contact(self, run: str, now_us: int, listening_us: int) -> None:
        """A sign of life has come."""
        if run != self.run:
            self._restarted(run, now_us)
        elif self.last_heard_at_us >= listening_us:
            # Else a part of the gap was our own.
            self.timeout.add_gap(now_us - self.last_heard_at_us)
        self.last_heard_at_us = now_us
        self.refused = self.probed = self.verdict_given = False

    def record_answer(self, now_us: int) -> None:
        """It has answered a request of ours."""
        self.last_answered_at_us = now_us
        self.unanswered_since_us = None

    def record_failed_request(self, asked_us: int, *, refused: bool) -> None:
        """It has not answered a request that was sent at ``asked_us``."""
        self.refused = refused
        if self.unanswered_since_us is None:
            self.unanswered_since_us = asked_us

    def _hears_us(self, now_us: int, listening_us: int) -> bool:
        """Whether what we send reaches it, by its own word and by its answers."""
        patience_us = self.timeout.timeout_us()
        return all(
            since_us is None or now_us - max(since_us, listening_us) <= patience_us
            for since_us in (self.not_receiving_since_us, self.unanswered_since_us)
        )

    def record_not_receiving(self, misses: bool, now_us: int) -> None:
        """It has said whether it misses us."""
        if not misses:
            self.not_receiving_since_us = None
        elif self.not_receiving_since_us is None:
            self.not_receiving_since_us = now_us

    def _restarted(self, run: str, now_us: int) -> None:
        """Another run: what was held of the one before says nothing of it."""
        self.run = run
        self.state = "alive"
        self.state_since_us = now_us
        self.suspected = False
        self.not_receiving_since_us = None
        self.unanswered_since_us = None
        self.heard_by_others_at_us = None
        self._returned_us = None

    def needs_probe(self, now_us: int, listening_us: int) -> bool:
        """Whether others are to be asked before anything is concluded from its silence."""
        return not self.probed and self.suspicion_level(now_us, listening_us) > 1

    def update_state(self, now_us: int, listening_us: int) -> StateChange | None:
        """Decide the state anew; what has changed."""
        before = self.state
        self.state = self._judge(now_us, listening_us)
        if self.state != before:
            self.state_since_us = now_us
        self._damp(now_us)
        if self.state == before:
            return None
        silence_us = self.silence_us(now_us, listening_us)
        return StateChange(self.node, before, self.state, silence_us, self.timeout.timeout_us())

    def _judge(self, now_us: int, listening_us: int) -> LinkState:
        patience_us = self.timeout.timeout_us()
        if self.silence_us(now_us, listening_us) > patience_us:
            if self.state in ("alive", "unhearing") and not self.probed:
                return self.state
            elsewhere_us = self.heard_by_others_at_us
            if elsewhere_us is not None and now_us - elsewhere_us <= patience_us:
                return "unheard"
            return "silent"
        if self.state in ("silent", "unheard") and self.last_heard_at_us < listening_us:
            # We stood still ourselves: it has been neither heard again nor missed for long enough.
            return self.state
        return "alive" if self._hears_us(now_us, listening_us) else "unhearing"

    def _damp(self, now_us: int) -> None:
        if self.state != "alive":
            self._returned_us = None
            if not self.suspected:
                self._begin_suspicion(now_us)
            return
        if not self.suspected:
            return
        if self._returned_us is None:
            self._returned_us = now_us
        if now_us - self._returned_us >= self.damping_us():
            self.suspected = False
            self.false_suspicions += 1
            self._restored_us = now_us

    def _begin_suspicion(self, now_us: int) -> None:
        self.suspected = True
        self.suspected_since_us = now_us
        self.suspicions += 1
        window_us = _RECURS_WITHIN * self._settle_most_us
        recurs = self._restored_us is not None and now_us - self._restored_us < window_us
        self._recurrences = self._recurrences + 1 if recurs else 0

    def damping_us(self) -> int:
        """How long it must be heard without a break before it is suspected no more."""
        return min(self._settle_most_us, self._settle_us << min(self._recurrences, 16))
