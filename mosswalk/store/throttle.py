"""Adapts the share of the configured write rate to the state service's 429 answers."""

from __future__ import annotations

from mosswalk.actors import SECOND_US

_DECREASE_FACTOR = 0.7
_MIN_FACTOR = 0.2
# Refusals within this time of the last decrease are attributed to the same excess.
_REFUSAL_WINDOW_US = SECOND_US
_RECOVERY_PER_S = 0.04


class Throttle:
    """Decreases the rate by a factor on refusals and raises it linearly afterwards."""

    def __init__(self) -> None:
        self._factor = 1.0
        self._decreased_at_us = 0
        self._increase_reported_at_us = 0

    def note_refusal(self, now_us: int) -> None:
        """Decrease the rate because the service has answered 429."""
        if self._factor < 1.0 and now_us - self._decreased_at_us < _REFUSAL_WINDOW_US:
            return
        self._factor = max(_MIN_FACTOR, self.factor(now_us) * _DECREASE_FACTOR)
        self._decreased_at_us = now_us

    def factor(self, now_us: int) -> float:
        """The share of the rate to use now."""
        recovered = (now_us - self._decreased_at_us) / SECOND_US * _RECOVERY_PER_S
        return min(1.0, self._factor + recovered)

    def poll_increase(self, now_us: int) -> bool:
        """Whether the share has grown since the last poll that returned true, at least 1 s ago."""
        if self._factor >= 1.0 or now_us - self._increase_reported_at_us < SECOND_US:
            return False
        self._increase_reported_at_us = now_us
        if self.factor(now_us) >= 1.0:
            self._factor = 1.0
        return True
