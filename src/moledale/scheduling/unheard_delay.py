"""Delay of first events due to load that is not heard, by hall of the server.

A node estimates the time to a first event from the queues that it hears of. Where other nodes place
requests that it does not hear of, first events come later than that. The median of the difference
is the delay to expect of the next request in that hall.
"""

from collections import deque
from math import log
from statistics import fmean, median

import msgspec

from moledale.gateway.server_model import CUSUM_DRIFT, MAX_DEVIATION

DELAY_WINDOW_S = 1.0
"""Window of the samples: queues at engines last for some hundred milliseconds, and a hall whose
delay is over must get requests again before the targets (0.35 s and longer) have passed often."""

MIN_DELAY_SAMPLES = 3
"""With fewer samples in the window the delay is not known, and counts as none. A serving node gets
about 10 streams per second in a burst, 3 per hall; of three, one may be an outlier."""

MIN_RATIO = 1e-3
"""Smaller ratios are raised to this before their log is taken."""

MAX_SAMPLES = 64
"""Samples kept by hall, the newest ones. A median of more changes little, and takes longer."""

AVERAGE_TTL_S = 0.05
"""An average is used again for this long, as a node chooses servers hundreds of times a second."""

SLOWED_DEVIATION = CUSUM_DRIFT / 2
"""A hall counts as slowed if the mean log ratio of the observed to the expected times exceeds this
(1.2 times as long). The speed estimate signals a change when that mean stays above `CUSUM_DRIFT`,
so the pause begins before that."""

CHANGE_SAMPLES = 20
MIN_CHANGE_SAMPLES = 10
CHANGE_WINDOW_S = 4.0
"""Slower servers are told from load that is not heard by the newest `CHANGE_SAMPLES` of all halls
within the window, which a node with 3 streams per second fills by the minimum."""

LOW_QUANTILE = 0.2
HIGH_QUANTILE = 0.8
CHANGE_RATIO = 1.25
MAX_CHANGE_SPREAD = 2.0
"""Servers count as slower if the ratio of the observed to the expected time exceeds `CHANGE_RATIO`
at the low quantile and is at most `MAX_CHANGE_SPREAD` times as large at the high one. A queue
delays some requests and not those that find a server idle, and short prompts by a larger factor
than long ones. A slower server delays all by the same factor."""

MAX_PAUSE_S = 10.0
"""First events of a slowed hall teach the speed again after this time, as long as the load of a
silent node counts (`unheard.FORGET_S`): the speeds of servers may differ too much to tell."""


class _Sample(msgspec.Struct, frozen=True):
    """An observed first event: when it came, its delay, and its time relative to the expected."""

    at: float
    delay_s: float
    ratio: float


class _HallSamples(msgspec.Struct):
    """The recent samples of one hall, and their averages as of `refreshed_at`.

    `delay_s` is the median delay and `deviation` the mean log ratio of the observed to the expected
    time. `usual_at` is when the latter was last small.
    """

    samples: deque[_Sample] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    refreshed_at: float = -1e9
    delay_s: float = 0.0
    deviation: float = 0.0
    usual_at: float | None = None

    def recent(self, now: float) -> deque[_Sample]:
        """Drop samples older than the window, and return the others."""
        while self.samples and now - self.samples[0].at > DELAY_WINDOW_S:
            self.samples.popleft()
        return self.samples

    def refresh(self, now: float) -> None:
        """Update the averages unless they are recent enough."""
        if now - self.refreshed_at < AVERAGE_TTL_S:
            return
        self.refreshed_at = now
        recent = self.recent(now)
        if len(recent) < MIN_DELAY_SAMPLES:
            self.delay_s, self.deviation = 0.0, 0.0
        else:
            self.delay_s = max(0.0, median(each.delay_s for each in recent))
            self.deviation = fmean(_log_deviation(each.ratio) for each in recent)
        if self.deviation <= SLOWED_DEVIATION or self.usual_at is None:
            self.usual_at = now

    def is_slowed(self, now: float) -> bool:
        """Return whether first events are late, and were as expected until not long ago."""
        self.refresh(now)
        slowed_s = 0.0 if self.usual_at is None else now - self.usual_at
        return self.deviation > SLOWED_DEVIATION and slowed_s < MAX_PAUSE_S


def _log_deviation(ratio: float) -> float:
    """Return the log of a ratio, limited as by the speed estimate."""
    return max(-MAX_DEVIATION, min(MAX_DEVIATION, log(max(ratio, MIN_RATIO))))


class UnheardDelays:
    """Tracks by how much first events of a service come later than expected, by hall."""

    def __init__(self) -> None:
        self._halls: dict[str, _HallSamples] = {}
        self._newest: deque[_Sample] = deque(maxlen=CHANGE_SAMPLES)
        self._untaught = 0

    def observe(self, hall: str, observed_s: float, expected_s: float, now: float) -> None:
        """Record the time to a first event at a server of a hall, and the time expected for it."""
        delay_s = observed_s - expected_s
        sample = _Sample(now, delay_s, observed_s / expected_s)
        self._halls.setdefault(hall, _HallSamples()).samples.append(sample)
        self._newest.append(sample)

    def delay_s(self, hall: str, now: float) -> float:
        """Return the delay of first events at a hall's servers due to load that is not heard."""
        samples = self._halls.get(hall)
        if samples is None:
            return 0.0
        samples.refresh(now)
        return samples.delay_s

    def teaches_speed(self, hall: str, now: float) -> bool:
        """Return whether first events in a hall say how fast its servers are, and count if not.

        They do not while load that is not heard delays them, unless servers of all halls are
        slower.
        """
        samples = self._halls.get(hall)
        if samples is None or not samples.is_slowed(now) or self._servers_are_slower(now):
            return True
        self._untaught += 1
        return False

    def _servers_are_slower(self, now: float) -> bool:
        ratios = sorted(each.ratio for each in self._newest if now - each.at <= CHANGE_WINDOW_S)
        if len(ratios) < MIN_CHANGE_SAMPLES:
            return False
        low = ratios[int(LOW_QUANTILE * len(ratios))]
        high = ratios[int(HIGH_QUANTILE * len(ratios))]
        return low > CHANGE_RATIO and high <= MAX_CHANGE_SPREAD * low

    def metrics(self, service: str, now: float) -> dict[str, int]:
        """Return the delay of each hall, and the number of first events that taught no speed."""
        figures = {f'speed_samples_unused_total{{service="{service}"}}': self._untaught}
        for hall in self._halls:
            name = f'unheard_delay_ms{{service="{service}",hall="{hall}"}}'
            figures[name] = round(1000 * self.delay_s(hall, now))
        return figures
