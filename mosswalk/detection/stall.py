"""Notices that this process itself stood still, so that it blames nobody else for that time."""

from __future__ import annotations


class StallMonitor:
    """Compares ticks that should come at a steady pace with the clocks.

    A tick that is late tells of a loop that was busy or a process that was stopped. A time of day
    that has moved differently from the steady clock tells of a machine that was suspended while
    its steady clock stood.
    """

    def __init__(self, now_us: int, wall_us: int, limit_us: int) -> None:
        self._limit_us = limit_us
        self._ticked_us = now_us
        self._offset_us = wall_us - now_us
        # Since when this process has been listening without a break.
        self.listening_since_us = now_us
        self.stalls = 0

    def record_tick(self, now_us: int, wall_us: int) -> None:
        """The loop has come round."""
        self._ticked_us = now_us
        self._offset_us = wall_us - now_us

    def check(self, now_us: int, wall_us: int, expected_us: int) -> int:
        """How long this process stood still, if it did; ticks are ``expected_us`` apart."""
        late_us = now_us - self._ticked_us - expected_us
        jump_us = abs(wall_us - now_us - self._offset_us)
        stall_us = max(late_us, jump_us)
        if stall_us <= self._limit_us:
            return 0
        self.record_tick(now_us, wall_us)
        self.stalls += 1
        self.listening_since_us = now_us
        return stall_us
