"""The timeout of a link between two controllers, adapted to the gaps observed on it."""

from __future__ import annotations

from ddsketch import LogCollapsingLowestDenseDDSketch

from mosswalk.actors import to_s, to_us
from mosswalk.config.detection import DetectionTuning

_RELATIVE_ACCURACY = 0.02
# Bounds a sketch's memory. Beyond it the smallest gaps share a bin, which leaves high quantiles
# unaffected.
_MAX_BINS = 256
# A few minutes of heartbeats. Only the current and the previous sketch are evaluated, so that older
# gaps no longer count.
_MAX_GAPS_PER_SKETCH = 512
# With fewer gaps a high quantile is not meaningful, and the ceiling applies.
_MIN_GAPS = 16


class AdaptiveTimeout:
    """The timeout of one directed link, computed from the gaps between contacts.

    It is ``margin`` times the configured quantile of the gaps, but at least ``floor_s`` and at most
    ``ceiling_s``.
    """

    def __init__(self, tuning: DetectionTuning) -> None:
        self._quantile = tuning.quantile
        self._margin = tuning.margin
        self._floor_us = to_us(tuning.floor_s)
        self._ceiling_us = to_us(tuning.ceiling_s)
        self._current_gaps = self._new_sketch()
        self._previous_gaps = self._new_sketch()
        self._timeout_us = self._ceiling_us

    @staticmethod
    def _new_sketch() -> LogCollapsingLowestDenseDDSketch:
        return LogCollapsingLowestDenseDDSketch(_RELATIVE_ACCURACY, bin_limit=_MAX_BINS)

    def add_gap(self, gap_us: int) -> None:
        """Record the time between two consecutive contacts and recompute the timeout."""
        if self._current_gaps.count >= _MAX_GAPS_PER_SKETCH:
            self._previous_gaps, self._current_gaps = self._current_gaps, self._new_sketch()
        self._current_gaps.add(to_s(gap_us))
        self._timeout_us = self._compute_timeout_us()

    def _compute_timeout_us(self) -> int:
        if self._current_gaps.count + self._previous_gaps.count < _MIN_GAPS:
            return self._ceiling_us
        quantiles = (
            s.get_quantile_value(self._quantile) for s in (self._current_gaps, self._previous_gaps)
        )
        max_quantile_s = max((q for q in quantiles if q is not None), default=0.0)
        adaptive_us = to_us(self._margin * max_quantile_s)
        return min(self._ceiling_us, max(self._floor_us, adaptive_us))

    def timeout_us(self) -> int:
        """How long the link may be silent before its sender is suspected."""
        return self._timeout_us
