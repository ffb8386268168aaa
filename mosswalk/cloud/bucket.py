"""A token bucket in whole microseconds."""

from __future__ import annotations

from mosswalk.actors import SECOND_US


class TokenBucket:
    """Tokens arrive at ``rate`` a second, up to ``burst`` of them."""

    def __init__(self, rate: float, burst: float, now_us: int) -> None:
        self._gap_us = SECOND_US / rate
        self._burst_us = burst * self._gap_us
        # The instant at which the bucket was, or will be, empty.
        self._empty_us = now_us - self._burst_us

    def change_rate(self, rate: float, now_us: int) -> None:
        """Let tokens arrive at another rate from now on."""
        held = (now_us - self._empty_us) / self._gap_us
        burst = self._burst_us / self._gap_us
        self._gap_us = SECOND_US / rate
        self._burst_us = burst * self._gap_us
        self._empty_us = now_us - held * self._gap_us

    def _settle(self, now_us: int) -> None:
        self._empty_us = max(self._empty_us, now_us - self._burst_us)

    def available(self, now_us: int) -> float:
        """How many tokens could be taken now."""
        self._settle(now_us)
        return max(0.0, (now_us - self._empty_us) / self._gap_us)

    def take(self, now_us: int, tokens: float = 1.0) -> bool:
        """Take tokens if they are there."""
        if self.available(now_us) < tokens - 1e-9:
            return False
        self._empty_us += tokens * self._gap_us
        return True

    def reserve_us(self, now_us: int, tokens: float = 1.0) -> int:
        """Take tokens now or in advance; how long to wait before using them."""
        self._settle(now_us)
        self._empty_us += tokens * self._gap_us
        return max(0, round(self._empty_us - now_us))
