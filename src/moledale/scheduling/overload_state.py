"""Running estimates from which overload control decides. Times are monotonic seconds."""

from bisect import bisect_left
from collections import deque
from math import exp
from statistics import median

import msgspec

CORRECTION_WINDOW_S = 2.0
"""Period of the first events that count for a correction. A node gets a few long prompts a second,
and their first events take up to two seconds."""

MAX_SAMPLES = 32
MIN_SAMPLES = 3
"""Samples kept and needed for a correction: with fewer than three, a single slow server would
decide."""

MIN_EXPECTED_S = 0.01
"""Shortest expected time to a first event: a few steps of an engine."""

RATE_WINDOW_S = 2.0
"""Time constant of the smoothed rate of sends."""

STRAIN_SMOOTHING_S = 0.3
"""Time constant of the smoothed strain: a few arrivals of a node, and short against the second
that a burst may last."""

BURST_S = 1.0
"""A burst of this duration causes no refusals."""

ONSET_S = BURST_S + 0.3
"""Strain that lasts this long is overload: a burst of `BURST_S` and the drain of its queue."""

STALE_S = 3.0
"""Strain that was not updated for this long is dropped: its callers send nothing any more."""

STRAIN_ON = 1.0
"""At this ratio of the expected first event to what is left of the target, answers are late."""

STRAIN_OFF = 0.7
RELIEF_S = 0.5
"""Overload ends when the strain stays below `STRAIN_OFF` for `RELIEF_S`, so that a few refusals do
not end it at once."""

SIZE_SAMPLES = 64
"""Recent prompts of a kind among which a size is ranked."""

MIN_SIZE_SAMPLES = 10
"""Below this number, all sizes count as usual: a tenth of them would be less than one."""

LARGE_RANK = 0.9
MEDIUM_RANK = 0.7
"""Ranks from which a prompt belongs to the largest tenth of its kind, and to the fifth below it."""

MINIMUM_SHARE = 0.1
"""Share of the requests of each kind and size that is sent whatever the load: enough to keep
observing first events, and a tenth of the capacity at most."""

MAX_CREDIT = 2.0
"""Sends that a kind and size may be ahead of its minimum share, or behind it."""


class Correction(msgspec.Struct):
    """Corrects expected times to first events by those observed recently.

    The expectation takes all work at a server to be done in order of arrival, and knows only the
    load of the nodes that are heard. An engine admits urgent requests first, so these come earlier
    than expected by a ratio; load that is not heard delays a request by a time.
    """

    _samples: deque[tuple[float, float, float]] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )

    def add(self, first_event_s: float, expected_s: float, now: float) -> None:
        """Add the observed and the expected time to a first event."""
        self._samples.append((now, first_event_s, max(expected_s, MIN_EXPECTED_S)))

    def is_known(self, now: float) -> bool:
        """Return whether there are enough recent observations."""
        while self._samples and now - self._samples[0][0] > CORRECTION_WINDOW_S:
            self._samples.popleft()
        return len(self._samples) >= MIN_SAMPLES

    def corrected_s(self, expected_s: float, now: float) -> float:
        """Return the corrected expected time; unchanged if there are too few observations."""
        if not self.is_known(now):
            return expected_s
        ratio = median(observed_s / before_s for _, observed_s, before_s in self._samples)
        if ratio <= 1.0:
            return expected_s * ratio
        return expected_s + median(
            observed_s - before_s for _, observed_s, before_s in self._samples
        )


class Pressure(msgspec.Struct):
    """Whether requests of one urgency are under overload, with hysteresis.

    `strain` is the smoothed ratio of the expected first event to what is left of the target.
    """

    strain: float = 0.0
    overloaded: bool = False
    _updated_at: float = -1e9
    _crossed_at: float | None = None

    def is_stale(self, now: float) -> bool:
        """Return whether there was no request for so long that the strain says nothing."""
        return now - self._updated_at > STALE_S

    def update(self, strain: float, now: float) -> None:
        """Add the strain of one request."""
        if now - self._updated_at > BURST_S:
            # Strain before a silence does not show that it lasted.
            self._crossed_at = None
        weight = 1.0 - exp(-max(0.0, now - self._updated_at) / STRAIN_SMOOTHING_S)
        self._updated_at = now
        self.strain += weight * (strain - self.strain)
        crossed = self.strain < STRAIN_OFF if self.overloaded else self.strain > STRAIN_ON
        if not crossed:
            self._crossed_at = None
            return
        if self._crossed_at is None:
            self._crossed_at = now
        if now - self._crossed_at >= (RELIEF_S if self.overloaded else ONSET_S):
            self.overloaded = not self.overloaded
            self._crossed_at = None


class SizeRanks(msgspec.Struct):
    """Ranks a prompt's work among the recent ones of its kind."""

    _recent: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=SIZE_SAMPLES))

    def size_class(self, work: float) -> int:
        """Return 2 for the largest tenth, 1 for the fifth below it and 0 for others; record it."""
        ordered = sorted(self._recent)
        self._recent.append(work)
        if len(ordered) < MIN_SIZE_SAMPLES:
            return 0
        rank = bisect_left(ordered, work) / len(ordered)
        return int(rank >= MEDIUM_RANK) + int(rank >= LARGE_RANK)


class MinimumShares:
    """Grants each kind and size of requests a minimum share of sends."""

    def __init__(self) -> None:
        self._credits: dict[tuple[str, int], float] = {}

    def record_arrival(self, group: tuple[str, int]) -> None:
        """Add the minimum share of one request to the credit of its group."""
        credit = self._credits.get(group, 0.0) + MINIMUM_SHARE
        self._credits[group] = min(MAX_CREDIT, credit)

    def is_due(self, group: tuple[str, int]) -> bool:
        """Return whether a group got less than its minimum share."""
        return self._credits.get(group, 0.0) >= 1.0

    def record_sent(self, group: tuple[str, int]) -> None:
        """Take one send from the credit of a group."""
        self._credits[group] = max(-MAX_CREDIT, self._credits.get(group, 0.0) - 1.0)


class SendRate(msgspec.Struct):
    """Smoothed number of sends per second."""

    _per_s: float = 0.0
    _updated_at: float = -1e9

    def record(self, now: float) -> None:
        """Count a send."""
        self._per_s = self.value_per_s(now) + 1.0 / RATE_WINDOW_S
        self._updated_at = now

    def value_per_s(self, now: float) -> float:
        """Return the rate as of `now`."""
        return self._per_s * exp(-max(0.0, now - self._updated_at) / RATE_WINDOW_S)
