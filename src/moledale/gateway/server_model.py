"""Online estimates of how fast the servers of a service process requests.

Servers do not state how fast they run prefill. A node observes the time to the first event for
prompts of different lengths, and how long requests hold their slots. From these it estimates the
prefill rate, how much each concurrent request slows prefill, the latency of an empty prompt, and
the time that a request holds its slot. Nodes exchange their estimates, so that a node that starts
has some from the beginning. A prior applies until there are observations.

The slope between work and time is the Theil-Sen estimator (the median of the slopes between pairs
of observations; Sen, JASA 63, 1968): up to 29 in 100 observations may be outliers, due to a queue
that this node did not know of or a server that became slow, without changing it much. Work queued
ahead of a prompt is assumed to be processed before it. When all servers become slower or faster,
earlier observations no longer apply: a sum of deviations (CUSUM; Page, Biometrika 41, 1954) detects
the change of their mean. The earlier estimate is scaled by that change and has little weight from
then on.
"""

import random
from collections import deque
from collections.abc import Iterable
from math import exp, log
from statistics import median

import msgspec

PRIOR_PREFILL_TOKENS_PER_S = 40_000.0
"""Prefill rate that a server is assumed to have before any observation."""

PRIOR_START_S = 0.03
"""Time to the first event that does not depend on the prompt, before any observation."""

PRIOR_HOLD_S = 1.0
"""Time that a request holds its slot, before any observation."""

PRIOR_RESIDUAL_WORK_TOKENS = 5_000.0
"""Residual work of the prompt in prefill, before any observation: half the mean square of the
prompts' work divided by their mean."""

PRIOR_PAIRS = 6
"""Number of observation pairs that the prior counts as."""

MAX_SAMPLES = 160
"""Samples kept for a service: a fit with this many takes 1 to 2 ms."""

SAMPLE_TTL_S = 30.0
"""Older samples are dropped, since servers are replaced or become slow."""

MAX_PAIRS = 400
"""Pairs drawn for a slope. The median hardly changes with more, and a fit takes 1 to 2 ms."""

QUEUED_SAMPLE_WEIGHT = 4
"""Slopes that a queued sample counts as. It gives the rate by itself, whereas each other sample
takes part in about five pairs when there are many."""

MIN_WORK_GAP_RATIO = 0.25
"""Minimum difference in work between the prompts of a pair, as a share of the median work. With a
smaller difference, noise decides the slope."""

MIN_WORK_GAP_TOKENS = 1.0
"""Minimum difference in work between the prompts of a pair, in tokens: the slope divides by it."""

MAX_CLEAN_QUEUE_RATIO = 0.3
"""Maximum work queued ahead of a clean sample, as a share of the prompt's own work. Clean samples
give the most accurate rate, since nodes learn of queued work late."""

MIN_CLEAN_SAMPLES = 20
"""With fewer clean samples than this all samples are used, since under load there are no others."""

FIT_PASSES = 2
"""The prefill rate and the crowding are estimated in turn; a third pass hardly changes the
result."""

MAX_CROWDING = 0.5
"""Maximum slowdown of prefill per concurrent request. A larger value comes from a queue that this
node did not know of."""

CUSUM_DRIFT = 0.4
"""Mean log deviation that is treated as noise: 1.5 times as slow or as fast."""

MAX_DEVIATION = 1.5
"""Maximum log deviation of one sample (4.5 times as slow or as fast), so that a single one does not
signal a change."""

CUSUM_THRESHOLD = 3.0
"""Sum of log deviations that signals a change: five samples at three times as slow."""

MIN_SAMPLES_FOR_CHANGE = 10
"""Samples behind an estimate before a change from it is looked for."""

HOLD_WEIGHT_AFTER_CHANGE = 5
"""Number of requests that the scaled hold time counts as after a change."""

REFIT_INTERVAL_S = 0.5
"""Minimum time between fits. A fit with 160 samples takes 1 to 2 ms of processor time, which is too
much for each request."""

HOLD_SMOOTHING = 0.03
WORK_SMOOTHING = 0.01
"""EWMA weights of a new observation: about the last 30 and the last 100 requests count."""

LOCAL_WEIGHT = 2.0
"""Weight of a node's own samples relative to those received from peers, which are older."""

MIN_FIRST_EVENT_GAP_S = 0.03
"""Minimum time between first events for a queued sample. Closer ones came out of the same few steps
of the server (6 ms each on the users' engines), so the time between them gives no rate."""

MIN_DURATION_S = 0.001
"""Shorter durations are raised to this, so that the ratio of two durations is meaningful."""

SLOWDOWN_SMOOTHING = 0.2
"""EWMA weight of a new observation of a server's slowdown: about the last five count."""

MAX_SLOWDOWN_FACTOR = 8.0
"""Maximum slowdown taken from one first event, since it may be late for other reasons."""

SLOWDOWN_DECAY_S = 4.0
"""Without observations, a server's slowdown loses two thirds of its weight in this time."""


class Speed(msgspec.Struct, frozen=True, array_like=True):
    """Estimated speed of the servers of a service, with the number of samples behind it.

    `read_per_s`: prefill rate of an otherwise idle server, in prompt tokens per second. `start_s`:
    time to the first event of an empty prompt. `hold_s`: time that a request holds its slot.
    `residual_work`: mean remaining work, in tokens, of the prompt that is in prefill when a request
    arrives. `crowding`: increase of the prefill time per concurrent request, as a share of that
    time.
    """

    read_per_s: float = PRIOR_PREFILL_TOKENS_PER_S
    start_s: float = PRIOR_START_S
    hold_s: float = PRIOR_HOLD_S
    residual_work: float = PRIOR_RESIDUAL_WORK_TOKENS
    samples: int = 0
    crowding: float = 0.0

    def prefill_s(self, work: float, concurrent: float = 0.0) -> float:
        """Return the prefill time of `work`, given in the unit of `engine_costs.prefill_work`."""
        return work * (1.0 + self.crowding * concurrent) / self.read_per_s

    def scaled(self, relative: float) -> "Speed":
        """Return the speed of a server that runs prefill `relative` times as fast."""
        if relative == 1.0:
            return self
        return msgspec.structs.replace(self, read_per_s=self.read_per_s * relative)

    def remaining_work(self, queued_ahead: float) -> float:
        """Return the remaining work of queued prompts, the first of which is partly processed."""
        return max(queued_ahead / 2, queued_ahead - self.residual_work)


PRIOR = Speed()


class PrefillSample(msgspec.Struct, frozen=True):
    """An observed prefill time.

    `work` is the prefill work of the prompt, `queued_ahead` the work that was queued before it,
    `took_s` the time to its first event, `at` when that came, and `concurrent` the number of
    requests that ran on the server at the same time.

    For a `queued` sample, `took_s` is the time since the previous first event of the server, and
    `work` is all that was placed on the server between the two prompts. It gives the rate whatever
    the length of the queue.
    """

    work: float
    queued_ahead: float
    took_s: float
    at: float
    concurrent: int = 0
    queued: bool = False

    def normalised(self, relative: float) -> "PrefillSample":
        """Return the sample that a server of speed 1 would have given, from one of `relative`."""
        if relative == 1.0:
            return self
        return msgspec.structs.replace(
            self, work=self.work / relative, queued_ahead=self.queued_ahead / relative
        )

    @property
    def is_clean(self) -> bool:
        """Return whether the sample depends little on what peers reported as queued."""
        return self.queued or self.queued_ahead <= MAX_CLEAN_QUEUE_RATIO * self.work


class PrefillTracker(msgspec.Struct):
    """Derives prefill samples from the first events of one server.

    A server runs prefill in order of arrival, so between two first events it processes the work
    placed between the two prompts, unless it was idle in between.
    """

    placed_work: float = 0.0
    _last_at: float = -1e9
    _last_cumulative_work: float = 0.0

    def record_placed(self, work: float) -> float:
        """Record work that any node placed; return the cumulative work, including it."""
        self.placed_work += work
        return self.placed_work

    def on_first_event(
        self, sent_at: float, cumulative_work: float, unqueued: PrefillSample
    ) -> PrefillSample | None:
        """Return the sample of a first event, or None if the event gives none.

        `cumulative_work` is what `record_placed` returned for the prompt. `unqueued` is the sample
        to return if the prompt was sent after the previous first event. There is no sample if the
        event came too soon after the previous one.
        """
        queued = sent_at < self._last_at
        if not queued:
            self._last_at, self._last_cumulative_work = unqueued.at, cumulative_work
            return unqueued
        took_s = unqueued.at - self._last_at
        if took_s < MIN_FIRST_EVENT_GAP_S:
            return None
        work = cumulative_work - self._last_cumulative_work
        self._last_at, self._last_cumulative_work = unqueued.at, cumulative_work
        if work <= 0:
            return None
        return PrefillSample(work, 0.0, took_s, unqueued.at, unqueued.concurrent, queued=True)


class ChangeDetector(msgspec.Struct):
    """CUSUM detector of a lasting shift above or below the expected value."""

    _slower: float = 0.0
    _faster: float = 0.0
    _slower_samples: int = 0
    _faster_samples: int = 0

    def update(self, deviation: float) -> int:
        """Add a log deviation; return how many samples ago a change began, or 0 if none did."""
        deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
        self._slower = max(0.0, self._slower + deviation - CUSUM_DRIFT)
        self._faster = max(0.0, self._faster - deviation - CUSUM_DRIFT)
        self._slower_samples = self._slower_samples + 1 if self._slower else 0
        self._faster_samples = self._faster_samples + 1 if self._faster else 0
        if self._slower > CUSUM_THRESHOLD:
            return self._slower_samples
        return self._faster_samples if self._faster > CUSUM_THRESHOLD else 0

    def reset(self) -> None:
        """Clear the accumulated deviations."""
        self._slower = self._faster = 0.0
        self._slower_samples = self._faster_samples = 0


class SpeedEstimator(msgspec.Struct):
    """Estimates the speed of the servers of one service at one node.

    `changes` counts the detected changes of speed.
    """

    _samples: deque[PrefillSample] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    _hold_s: float = PRIOR_HOLD_S
    _hold_count: int = 0
    _placed_count: int = 0
    _mean_work: float = 0.0
    _mean_square_work: float = 0.0
    _peer_speeds: list[Speed] = msgspec.field(default_factory=list)
    _speed: Speed = PRIOR
    _local_speed: Speed = PRIOR
    _fitted_at: float = -1e9
    _fit_prior: Speed = PRIOR
    changes: int = 0
    _detector: ChangeDetector = msgspec.field(default_factory=ChangeDetector)
    _rng: random.Random = msgspec.field(default_factory=lambda: random.Random(0))

    def record_placed(self, work: float) -> None:
        """Record the prefill work of a placed prompt."""
        self._placed_count += 1
        step = max(WORK_SMOOTHING, 1.0 / self._placed_count)
        self._mean_work += step * (work - self._mean_work)
        self._mean_square_work += step * (work * work - self._mean_square_work)

    def add_sample(self, sample: PrefillSample) -> None:
        """Add a prefill sample and check it for a change of speed."""
        self._samples.append(sample)
        if self._local_speed.samples < MIN_SAMPLES_FOR_CHANGE or not sample.is_clean:
            return
        samples_since = self._detector.update(log(_ratio_to_expected(sample, self._local_speed)))
        if samples_since:
            self._forget_before_change(samples_since)

    def _forget_before_change(self, samples: int) -> None:
        """Drop the samples from before a change, and scale the estimates made from them."""
        while len(self._samples) > samples:
            self._samples.popleft()
        slowdown = median(_ratio_to_expected(sample, self._local_speed) for sample in self._samples)
        self._fit_prior = Speed(
            self._local_speed.read_per_s / slowdown,
            self._local_speed.start_s * slowdown,
            crowding=self._local_speed.crowding,
        )
        self._hold_s *= slowdown
        self._hold_count = min(self._hold_count, HOLD_WEIGHT_AFTER_CHANGE)
        self._detector.reset()
        self.changes += 1
        self._fitted_at = -1e9

    def record_hold(self, held_s: float) -> None:
        """Record how long a request held its slot."""
        self._hold_count += 1
        step = max(HOLD_SMOOTHING, 1.0 / (1 + self._hold_count))
        self._hold_s += step * (held_s - self._hold_s)

    def set_peer_speeds(self, speeds: Iterable[Speed]) -> None:
        """Replace the estimates received from peers; those without samples are ignored."""
        self._peer_speeds = [speed for speed in speeds if speed.samples > 0]

    def local_speed(self, now: float) -> Speed:
        """Return the estimate from this node's own samples, which is sent to peers."""
        self._refit(now)
        return self._local_speed

    def speed(self, now: float) -> Speed:
        """Return the estimate from the samples of this node and its peers."""
        self._refit(now)
        return self._speed

    @property
    def last_speed(self) -> Speed:
        """Return the combined estimate of the last fit, without a refit."""
        return self._speed

    def _refit(self, now: float) -> None:
        if now - self._fitted_at < REFIT_INTERVAL_S:
            return
        self._fitted_at = now
        while self._samples and now - self._samples[0].at > SAMPLE_TTL_S:
            self._samples.popleft()
        if not self._samples:
            self._fit_prior = PRIOR
        residual = PRIOR_RESIDUAL_WORK_TOKENS
        if self._mean_work > 0:
            residual = self._mean_square_work / (2 * self._mean_work)
        prior = msgspec.structs.replace(
            self._fit_prior, hold_s=self._hold_s, residual_work=residual, samples=len(self._samples)
        )
        self._local_speed = self._fit(prior)
        self._speed = combine_speeds(self._local_speed, self._peer_speeds)

    def _fit(self, prior: Speed) -> Speed:
        """Return the estimate; `prior` is weighed in for rate and crowding, and kept otherwise."""
        if len(self._samples) < 2:
            return prior
        used = [sample for sample in self._samples if sample.is_clean]
        if len(used) < MIN_CLEAN_SAMPLES:
            used = list(self._samples)
        tokens = [sample.work + prior.remaining_work(sample.queued_ahead) for sample in used]
        crowding = prior.crowding
        for _ in range(FIT_PASSES):
            works = [
                each * (1.0 + crowding * sample.concurrent)
                for each, sample in zip(tokens, used, strict=True)
            ]
            read_per_s, start_s = self._fit_rate(used, works, prior)
            crowding = self._fit_crowding(used, tokens, read_per_s, start_s, prior)
        return msgspec.structs.replace(
            prior, read_per_s=read_per_s, start_s=start_s, crowding=crowding
        )

    def _fit_crowding(
        self,
        used: list[PrefillSample],
        tokens: list[float],
        read_per_s: float,
        start_s: float,
        prior: Speed,
    ) -> float:
        """Return the slowdown per concurrent request, as a share of the prefill time when alone."""
        alone_s = [each / read_per_s for each in tokens]
        relative_times = [
            (sample.took_s - (0.0 if sample.queued else start_s)) / each if each > 0 else 1.0
            for each, sample in zip(alone_s, used, strict=True)
        ]
        slopes = [prior.crowding] * PRIOR_PAIRS
        indexes = range(len(relative_times))
        for _ in range(_pair_count(len(relative_times))):
            first, second = self._rng.choice(indexes), self._rng.choice(indexes)
            difference = used[first].concurrent - used[second].concurrent
            if difference:
                slopes.append((relative_times[first] - relative_times[second]) / difference)
        return min(MAX_CROWDING, max(0.0, median(slopes)))

    def _fit_rate(
        self, used: list[PrefillSample], works: list[float], prior: Speed
    ) -> tuple[float, float]:
        """Return the prefill rate in tokens per second and the latency of an empty prompt.

        Queued samples give the rate by themselves, the others in pairs.
        """
        slopes = [1.0 / prior.read_per_s] * PRIOR_PAIRS
        unqueued: list[tuple[float, float]] = []
        for sample, work in zip(used, works, strict=True):
            if sample.queued:
                slopes += [sample.took_s / work] * QUEUED_SAMPLE_WEIGHT
            else:
                unqueued.append((work, sample.took_s))
        slopes += self._pairwise_slopes(unqueued)
        slope = median(slopes)
        if slope <= 0:
            return prior.read_per_s, prior.start_s
        latencies = [took_s - slope * work for work, took_s in unqueued]
        return 1.0 / slope, max(0.0, median(latencies)) if latencies else prior.start_s

    def _pairwise_slopes(self, unqueued: list[tuple[float, float]]) -> list[float]:
        if len(unqueued) < 2:
            return []
        min_gap = max(
            MIN_WORK_GAP_TOKENS, MIN_WORK_GAP_RATIO * median(work for work, _ in unqueued)
        )
        slopes = []
        for _ in range(_pair_count(len(unqueued))):
            first, second = self._rng.choice(unqueued), self._rng.choice(unqueued)
            if abs(first[0] - second[0]) > min_gap:
                slopes.append((first[1] - second[1]) / (first[0] - second[0]))
        return slopes


def _ratio_to_expected(sample: PrefillSample, speed: Speed) -> float:
    """Return the ratio of the observed to the expected time of a sample."""
    tokens = sample.work + speed.remaining_work(sample.queued_ahead)
    start_s = 0.0 if sample.queued else speed.start_s
    expected_s = start_s + speed.prefill_s(tokens, sample.concurrent)
    return max(sample.took_s, MIN_DURATION_S) / max(expected_s, MIN_DURATION_S)


def _pair_count(number: int) -> int:
    """Return how many pairs to draw from `number` samples, at most as many as exist."""
    return min(MAX_PAIRS, number * (number - 1) // 2)


def combine_speeds(local: Speed, peers: Iterable[Speed]) -> Speed:
    """Return the sample-weighted medians of the estimates, or `local` if none has samples."""
    weighted = [(speed, float(speed.samples)) for speed in peers]
    if local.samples:
        weighted.append((local, LOCAL_WEIGHT * local.samples))
    if not weighted:
        return local
    return Speed(
        _weighted_median([(speed.read_per_s, weight) for speed, weight in weighted]),
        _weighted_median([(speed.start_s, weight) for speed, weight in weighted]),
        _weighted_median([(speed.hold_s, weight) for speed, weight in weighted]),
        _weighted_median([(speed.residual_work, weight) for speed, weight in weighted]),
        int(sum(speed.samples for speed, _ in weighted)),
        _weighted_median([(speed.crowding, weight) for speed, weight in weighted]),
    )


def _weighted_median(values: list[tuple[float, float]]) -> float:
    values.sort()
    half = sum(weight for _, weight in values) / 2
    for value, weight in values:
        half -= weight
        if half <= 0:
            return value
    return values[-1][0]


class Slowness(msgspec.Struct):
    """Slowdown of a server relative to the others of its service; 1.0 means equally fast.

    The slowdown decays over time, so that a server that was slow is tried again.
    """

    _factor: float = 1.0
    _observed_at: float = 0.0

    def observe(self, took_s: float, expected_s: float, now: float) -> None:
        """Record the time to a first event against the time that was expected."""
        slowdown = min(MAX_SLOWDOWN_FACTOR, max(1.0, took_s / max(expected_s, PRIOR_START_S)))
        current = self.factor(now)
        self._factor = current + SLOWDOWN_SMOOTHING * (slowdown - current)
        self._observed_at = now

    def factor(self, now: float) -> float:
        """Return the slowdown factor as of `now`."""
        return 1.0 + (self._factor - 1.0) * exp(-(now - self._observed_at) / SLOWDOWN_DECAY_S)
