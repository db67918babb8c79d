"""Metrics of the moves of streams off leaving servers."""

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    pass

MAX_STOPPED_MS = 60_000
"""Longest stop of a run that the histogram tells apart: a few times the longest deadline."""

HISTOGRAM_DIGITS = 2
"""Significant digits of the histogram: allowed pauses are 300 ms and more, so 1 % suffices."""

STOPPED_PERCENTILES = (50, 99)


class StoppedTimes:
    """Distribution of the times for which runs were stopped to be moved."""

    def __init__(self) -> None:
        # Imported on first use, since the import lengthens the start of nodes that don't need it.
        from hdrh.histogram import HdrHistogram

        self._histogram = HdrHistogram(1, MAX_STOPPED_MS, HISTOGRAM_DIGITS)

    def record(self, stopped_s: float) -> None:
        """Record the time of one move."""
        self._histogram.record_value(min(MAX_STOPPED_MS, max(1, round(stopped_s * 1000))))

    def metrics(self) -> dict[str, int]:
        """Return the percentiles by metric name."""
        return {
            f"evacuation_stopped_ms_p{each}": int(self._histogram.get_value_at_percentile(each))
            for each in STOPPED_PERCENTILES
        }


class EvacuationCounts(msgspec.Struct):
    """Counters and times of a node's moves, for the metrics; `moves` counts tries by outcome."""

    moves: Counter[str] = msgspec.field(default_factory=Counter)
    resent: int = 0
    alone: int = 0
    orders: int = 0
    stopped: StoppedTimes | None = None

    def record_moved(self, stopped_s: float) -> None:
        """Count a move, for which the run was stopped for `stopped_s`."""
        self.moves["moved"] += 1
        self.stopped = self.stopped or StoppedTimes()
        self.stopped.record(stopped_s)

    def metrics(self) -> dict[str, int]:
        """Return the metrics by name."""
        counted = {
            f"evacuation_{outcome}_total": self.moves[outcome] for outcome in ("moved", "refused")
        }
        return {
            **counted,
            "evacuation_resent_total": self.resent,
            "evacuation_alone_total": self.alone,
            "evacuation_orders_total": self.orders,
            **(self.stopped.metrics() if self.stopped is not None else {}),
        }
