"""A token bucket for rate limits; its clock counts whole microseconds."""

from __future__ import annotations

from mosswalk.actors import SECOND_US

# Absorbs rounding errors of the token count.
_TOLERANCE_TOKENS = 1e-9


class TokenBucket:
    """A bucket that gains ``rate`` tokens per second and holds at most ``burst``."""

    def __init__(self, rate: float, burst: float, now_us: int) -> None:
        self._interval_us = SECOND_US / rate
        self._burst_us = burst * self._interval_us
        # Since when tokens have accumulated; in the future if some were taken in advance.
        self._empty_at_us = now_us - self._burst_us

    def change_rate(self, rate: float, now_us: int) -> None:
        """Change the rate; the tokens now in the bucket and its size in tokens stay the same."""
        tokens = (now_us - self._empty_at_us) / self._interval_us
        burst = self._burst_us / self._interval_us
        self._interval_us = SECOND_US / rate
        self._burst_us = burst * self._interval_us
        self._empty_at_us = now_us - tokens * self._interval_us

    def _cap_at_burst(self, now_us: int) -> None:
        self._empty_at_us = max(self._empty_at_us, now_us - self._burst_us)

    def available(self, now_us: int) -> float:
        """The number of tokens that could be taken now."""
        self._cap_at_burst(now_us)
        return max(0.0, (now_us - self._empty_at_us) / self._interval_us)

    def take(self, now_us: int, tokens: float = 1.0) -> bool:
        """Take tokens if that many are available; return whether they were."""
        if self.available(now_us) < tokens - _TOLERANCE_TOKENS:
            return False
        self._empty_at_us += tokens * self._interval_us
        return True

    def reserve_us(self, now_us: int, tokens: float = 1.0) -> int:
        """Take tokens, in advance if necessary; return how long to wait before using them."""
        self._cap_at_burst(now_us)
        self._empty_at_us += tokens * self._interval_us
        return max(0, round(self._empty_at_us - now_us))
