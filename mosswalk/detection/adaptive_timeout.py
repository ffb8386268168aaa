"""How long a link may be silent: learnt from the gaps that it has shown."""

from __future__ import annotations

from ddsketch import LogCollapsingLowestDenseDDSketch

from mosswalk.actors import to_s, to_us
from mosswalk.config.detection import DetectionTuning

_RELATIVE_ACCURACY = 0.02
# Bounds a sketch's memory: the smallest gaps share a bin, and they do not matter.
_MOST_BINS = 256
# A generation of gaps, a few minutes of heartbeats. The one before it counts as well.
_GENERATION = 512
# With fewer gaps a high quantile says nothing yet.
_FEWEST = 16


class AdaptiveTimeout:
    """The gaps between signs of life on one directed link."""

    def __init__(self, tuning: DetectionTuning) -> None:
        self._quantile = tuning.quantile
        self._margin = tuning.margin
        self._floor_us = to_us(tuning.floor_s)
        self._ceiling_us = to_us(tuning.ceiling_s)
        self._gaps = self._sketch()
        self._gaps_before = self._sketch()
        self._patience_us = self._ceiling_us

    @staticmethod
    def _sketch() -> LogCollapsingLowestDenseDDSketch:
        return LogCollapsingLowestDenseDDSketch(_RELATIVE_ACCURACY, bin_limit=_MOST_BINS)

    def add_gap(self, gap_us: int) -> None:
        """Learn from a gap that has ended."""
        if self._gaps.count >= _GENERATION:
            self._gaps_before, self._gaps = self._gaps, self._sketch()
        self._gaps.add(to_s(gap_us))
        self._patience_us = self._learnt_us()

    def _learnt_us(self) -> int:
        if self._gaps.count + self._gaps_before.count < _FEWEST:
            return self._ceiling_us
        quantiles = (s.get_quantile_value(self._quantile) for s in (self._gaps, self._gaps_before))
        longest_s = max((q for q in quantiles if q is not None), default=0.0)
        learnt_us = to_us(self._margin * longest_s)
        return min(self._ceiling_us, max(self._floor_us, learnt_us))

    def timeout_us(self) -> int:
        """How long the link may be silent before its sender is suspected."""
        return self._patience_us
