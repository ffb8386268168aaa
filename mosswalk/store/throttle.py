"""How much of the configured rate to use, learnt from the state service's 429s."""

from __future__ import annotations

from mosswalk.actors import SECOND_US

_DECREASE = 0.7
_LEAST = 0.2
# Refusals within this time of one another tell of the same excess.
_SETTLE_US = SECOND_US
_RECOVERY_A_SECOND = 0.04


class Throttle:
    """Multiplicative decrease on refusals, additive increase afterwards."""

    def __init__(self) -> None:
        self._factor = 1.0
        self._refused_us = 0
        self._used_us = 0

    def note_refusal(self, now_us: int) -> None:
        """The service has answered 429."""
        if self._factor < 1.0 and now_us - self._refused_us < _SETTLE_US:
            return
        self._factor = max(_LEAST, self.factor(now_us) * _DECREASE)
        self._refused_us = now_us

    def factor(self, now_us: int) -> float:
        """The part of the rate to use now."""
        recovered = (now_us - self._refused_us) / SECOND_US * _RECOVERY_A_SECOND
        return min(1.0, self._factor + recovered)

    def poll_increase(self, now_us: int) -> bool:
        """Whether the part has grown since it was last asked, a second ago at least."""
        if self._factor >= 1.0 or now_us - self._used_us < SECOND_US:
            return False
        self._used_us = now_us
        if self.factor(now_us) >= 1.0:
            self._factor = 1.0
        return True
