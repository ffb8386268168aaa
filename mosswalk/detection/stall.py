"""Detects stalls of this process, so that no other controller is suspected because of them."""

from __future__ import annotations


class StallMonitor:
    """Compares periodic ticks with the monotonic clock and the wall clock.

    A late tick means that the event loop was busy or that the process was stopped. A wall clock
    that has advanced differently from the monotonic clock means that the machine was suspended
    while its monotonic clock did not advance.
    """

    def __init__(self, now_us: int, wall_us: int, limit_us: int) -> None:
        self._limit_us = limit_us
        self._last_tick_at_us = now_us
        # Wall clock minus monotonic clock at the last tick; a jump shows a suspended machine.
        self._wall_offset_us = wall_us - now_us
        # Since when this process has been receiving without a stall.
        self.listening_since_us = now_us
        self.stalls = 0

    def record_tick(self, now_us: int, wall_us: int) -> None:
        """Record that the loop has run."""
        self._last_tick_at_us = now_us
        self._wall_offset_us = wall_us - now_us

    def check(self, now_us: int, wall_us: int, interval_us: int) -> int:
        """How long this process stalled, or 0; ticks are expected ``interval_us`` apart."""
        late_us = now_us - self._last_tick_at_us - interval_us
        jump_us = abs(wall_us - now_us - self._wall_offset_us)
        stall_us = max(late_us, jump_us)
        if stall_us <= self._limit_us:
            return 0
        self.record_tick(now_us, wall_us)
        self.stalls += 1
        self.listening_since_us = now_us
        return stall_us
