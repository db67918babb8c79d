"""Counters, the distribution of length errors, and log lines of engine memory and preemption."""

from typing import TYPE_CHECKING

from moledale.log import Event, emit
from moledale.scheduling.engine_memory import Claim, Demand, Fit

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines on the placements of a service."""

MAX_LENGTH_PERCENT = 10_000
"""Largest ratio of an actual to an expected length that the histogram tells apart, in percent."""

HISTOGRAM_DIGITS = 2
PERCENTILES = (10, 50, 90)


class EngineMemoryMetrics:
    """Counts the placements of a node by what they do to other requests, and logs the harmful."""

    def __init__(self) -> None:
        self.displacing = 0
        self.memory_short = 0
        self.avoided = 0
        self._logged_at: dict[str, float] = {}
        self._lengths: HdrHistogram | None = None

    def record_harm(self, avoided: bool) -> None:
        """Count a choice that another request would be preempted by without this part."""
        self.avoided += avoided

    def record_placed(
        self, service: str, server: str, demand: Demand, how: Fit, now: float
    ) -> None:
        """Count a placement, and log it if another request is expected to be preempted."""
        if not how.harms:
            return
        self.displacing += how.displaces
        self.memory_short += how.short_tokens > 0
        if now - self._logged_at.get(service, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[service] = now
        emit(
            Event.ENGINE_FULL,
            service=service,
            server=server,
            route=demand.route,
            urgency=demand.urgency,
            displaces=how.displaces,
            short_tokens=how.short_tokens,
            displacing=self.displacing,
            memory_short=self.memory_short,
        )

    def record_length(self, claim: Claim) -> None:
        """Record the length of a completed output relative to its estimate."""
        estimate = claim.demand.estimate_tokens
        if claim.demand.resumed or estimate <= 0:
            return
        if self._lengths is None:
            # Imported on first use, since the import lengthens the start of nodes without need.
            from hdrh.histogram import HdrHistogram

            self._lengths = HdrHistogram(1, MAX_LENGTH_PERCENT, HISTOGRAM_DIGITS)
        percent = round(100 * claim.made_tokens / estimate)
        self._lengths.record_value(min(MAX_LENGTH_PERCENT, max(1, percent)))

    def metrics(self) -> dict[str, int]:
        """Return counters, and percentiles of lengths relative to their estimates."""
        found = {
            "engine_displacing_total": self.displacing,
            "engine_memory_short_total": self.memory_short,
            "engine_preemptions_avoided_total": self.avoided,
        }
        if self._lengths is not None:
            for percentile in PERCENTILES:
                value = self._lengths.get_value_at_percentile(percentile)
                found[f"output_length_percent_p{percentile}"] = int(value)
        return found
