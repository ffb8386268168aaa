"""Derives the state and the suspicion of a controller from contacts and silence. No I/O."""

from __future__ import annotations

from msgspec import Struct

from mosswalk.actors import to_us
from mosswalk.config.detection import DetectionTuning
from mosswalk.detection.adaptive_timeout import AdaptiveTimeout
from mosswalk.wire.peers import LinkState

# A suspicion that begins less than this many times ``settle_most_s``, the longest damping period,
# after the end of the previous one is a recurrence. Each recurrence in a row doubles the damping
# period, up to the longest: the link must stay ``alive`` for it before the suspicion ends.
_RECURRENCE_WINDOW_FACTOR = 2
# Bounds the shift that computes the damping period.
_MAX_DOUBLINGS = 16


class StateChange(Struct, frozen=True):
    """A change of the state of the link to a controller."""

    node: str
    before: LinkState
    after: LinkState
    silence_us: int
    timeout_us: int


class PeerMonitor:
    """Monitors one other controller through the contacts received from it.

    ``state`` describes the link now. ``suspected`` is reset only once the state has been ``alive``
    for the damping period, so that a controller whose link flaps is not alternately given work and
    denied it.
    """

    def __init__(self, node: str, tuning: DetectionTuning, now_us: int) -> None:
        self.node = node
        self.run = ""
        self.timeout = AdaptiveTimeout(tuning)
        self.last_heard_at_us = now_us
        self.state: LinkState = "alive"
        self.state_since_us = now_us
        # Whether the latest request to the peer failed because the connection was refused; False
        # after the next contact.
        self.refused = False
        # Since when the peer has been reporting that it receives nothing from this controller.
        self.not_receiving_since_us: int | None = None
        # When the peer last answered a request of this controller.
        self.last_answered_at_us = now_us
        # Send time of the first request that failed since that answer; None if none has failed.
        self.unanswered_since_us: int | None = None
        # When a third controller last reached the peer, or reports a contact with it.
        self.heard_by_others_at_us: int | None = None
        # Whether probes by third controllers have ended during this silence, with any result.
        self.probed = False
        # Whether a quorum's verdict has been given during this silence.
        self.verdict_given = False
        self.suspected = False
        self.suspected_since_us = now_us
        self.suspicions = 0
        self.false_suspicions = 0
        self._min_damping_us = to_us(tuning.settle_s)
        self._max_damping_us = to_us(tuning.settle_most_s)
        self._recurrences = 0
        self._last_suspicion_ended_at_us: int | None = None
        self._alive_since_us: int | None = None

    def silence_us(self, now_us: int, listening_since_us: int) -> int:
        """Time since the last contact, or since this process's last stall if that was later."""
        return now_us - max(self.last_heard_at_us, listening_since_us)

    def suspicion_level(self, now_us: int, listening_since_us: int) -> float:
        """The ratio of the silence to the timeout; above 1 the peer is probed, then suspected."""
        return self.silence_us(now_us, listening_since_us) / self.timeout.timeout_us()

    def record_contact(self, run: str, now_us: int, listening_since_us: int) -> None:
        """Record a contact: a heartbeat, an answer or a new presence record.

        ``run`` identifies the peer's process: a restarted controller has another one.
        """
        if run != self.run:
            self._reset_for_run(run, now_us)
        elif self.last_heard_at_us >= listening_since_us:
            # The gap counts only if this process has not stalled during it: a stall lengthens it.
            self.timeout.add_gap(now_us - self.last_heard_at_us)
        self.last_heard_at_us = now_us
        self.refused = self.probed = self.verdict_given = False

    def record_answer(self, now_us: int) -> None:
        """Record that the peer answered a request of this controller."""
        self.last_answered_at_us = now_us
        self.unanswered_since_us = None

    def record_failed_request(self, sent_at_us: int, *, refused: bool) -> None:
        """Record that the peer did not answer a request that was sent at ``sent_at_us``."""
        self.refused = refused
        if self.unanswered_since_us is None:
            self.unanswered_since_us = sent_at_us

    def _is_receiving(self, now_us: int, listening_since_us: int) -> bool:
        """Whether this controller's requests reach the peer, by its reports and its answers."""
        timeout_us = self.timeout.timeout_us()
        return all(
            since_us is None or now_us - max(since_us, listening_since_us) <= timeout_us
            for since_us in (self.not_receiving_since_us, self.unanswered_since_us)
        )

    def record_not_receiving(self, not_receiving: bool, now_us: int) -> None:
        """Record whether the peer reports that it receives nothing from this controller."""
        if not not_receiving:
            self.not_receiving_since_us = None
        elif self.not_receiving_since_us is None:
            self.not_receiving_since_us = now_us

    def _reset_for_run(self, run: str, now_us: int) -> None:
        """Reset the state for a new run, to which knowledge of the previous one does not apply."""
        self.run = run
        self.state = "alive"
        self.state_since_us = now_us
        self.suspected = False
        self.not_receiving_since_us = None
        self.unanswered_since_us = None
        self.heard_by_others_at_us = None
        self._alive_since_us = None

    def needs_probe(self, now_us: int, listening_since_us: int) -> bool:
        """Whether third controllers have to probe the peer before its silence is evaluated."""
        return not self.probed and self.suspicion_level(now_us, listening_since_us) > 1

    def update_state(self, now_us: int, listening_since_us: int) -> StateChange | None:
        """Re-evaluate the state and the suspicion; returns the change of state, if any."""
        before = self.state
        self.state = self._evaluate_state(now_us, listening_since_us)
        if self.state != before:
            self.state_since_us = now_us
        self._update_suspicion(now_us)
        if self.state == before:
            return None
        silence_us = self.silence_us(now_us, listening_since_us)
        return StateChange(self.node, before, self.state, silence_us, self.timeout.timeout_us())

    def _evaluate_state(self, now_us: int, listening_since_us: int) -> LinkState:
        timeout_us = self.timeout.timeout_us()
        if self.silence_us(now_us, listening_since_us) > timeout_us:
            if self.state in ("alive", "unhearing") and not self.probed:
                return self.state
            heard_at_us = self.heard_by_others_at_us
            if heard_at_us is not None and now_us - heard_at_us <= timeout_us:
                return "unheard"
            return "silent"
        if self.state in ("silent", "unheard") and self.last_heard_at_us < listening_since_us:
            # This process stalled: since then the peer has neither been heard nor been silent for
            # longer than the timeout.
            return self.state
        return "alive" if self._is_receiving(now_us, listening_since_us) else "unhearing"

    def _update_suspicion(self, now_us: int) -> None:
        if self.state != "alive":
            self._alive_since_us = None
            if not self.suspected:
                self._begin_suspicion(now_us)
            return
        if not self.suspected:
            return
        if self._alive_since_us is None:
            self._alive_since_us = now_us
        if now_us - self._alive_since_us >= self.damping_us():
            self.suspected = False
            self.false_suspicions += 1
            self._last_suspicion_ended_at_us = now_us

    def _begin_suspicion(self, now_us: int) -> None:
        self.suspected = True
        self.suspected_since_us = now_us
        self.suspicions += 1
        window_us = _RECURRENCE_WINDOW_FACTOR * self._max_damping_us
        is_recurrence = (
            self._last_suspicion_ended_at_us is not None
            and now_us - self._last_suspicion_ended_at_us < window_us
        )
        self._recurrences = self._recurrences + 1 if is_recurrence else 0

    def damping_us(self) -> int:
        """How long the state must stay ``alive`` before a suspicion ends.

        The time doubles with each recurrence, up to a limit.
        """
        return min(
            self._max_damping_us, self._min_damping_us << min(self._recurrences, _MAX_DOUBLINGS)
        )
