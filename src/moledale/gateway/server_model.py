"""What the servers of a service can do, learnt from what they do.

Nothing states how fast a server reads prompts. A node sees how long first events took after prompts
of different lengths, and how long requests kept their places; from these it estimates a rate of
reading, how much each request that runs beside slows it, the time that even an empty prompt takes,
and the time that a request holds its slot. Nodes tell each other their estimates, so that one that
starts does not begin blind. Until there are observations a prior counts.

The slope between prompt and time is the Theil-Sen estimator (the median of slopes between pairs of
observations; Sen, JASA 63, 1968): up to 29 in 100 observations may be spoilt, by a queue that this
node did not know of or a server that turned slow, without changing it much. What waits ahead of a
prompt counts as read before it. When all servers turn slower or faster, the observations before
that say nothing any more: a change of their mean is found by a sum of deviations (CUSUM; Page,
Biometrika 41, 1954), and what was learnt before is scaled by it and weighs little from then on.
"""

import random
from collections import deque
from collections.abc import Iterable
from math import exp, log
from statistics import median

import msgspec

PRIOR_PREFILL_TOKENS_PER_S = 40_000.0
"""Prompt tokens a second that a server is taken to read before any was seen to."""

PRIOR_START_S = 0.03
"""Time to a first event that does not depend on the prompt, likewise."""

PRIOR_HOLD_S = 1.0
"""Time that a request holds its slot, likewise."""

PRIOR_RESIDUAL_WORK_TOKENS = 5_000.0
"""Half the mean square of prompts over their mean, likewise."""

PRIOR_PAIRS = 6
"""Pairs of observations that weigh as much as the prior."""

MAX_SAMPLES = 160
"""Observations that are kept: a fit of them takes 1 to 2 ms."""

SAMPLE_TTL_S = 30.0
"""Observations older than this are forgotten, since servers are replaced and turn slow."""

MAX_PAIRS = 400
"""Pairs that are drawn for a slope: its median hardly changes with more, and a fit takes 1 to 2
ms."""

QUEUED_SAMPLE_WEIGHT = 4
"""An observation out of a queue weighs as much as so many pairs of others, of which each has a part
in about five when there are many."""

MIN_WORK_GAP_RATIO = 0.25
"""Prompts of a pair differ by this part of the median prompt at least, else noise decides its
slope."""

MIN_WORK_GAP_TOKENS = 1.0
"""Prompts of a pair differ by this at least, since their difference divides."""

MAX_CLEAN_QUEUE_RATIO = 0.3
"""Observations with at most this part of the prompt waiting ahead tell the rate best, as what waits
is told late."""

MIN_CLEAN_SAMPLES = 20
"""With fewer of these all observations count, since under load there are no others."""

FIT_PASSES = 2
"""The rate and the slowing by requests beside are estimated in turn; a third pass changes
hardly anything."""

MAX_CROWDING = 0.5
"""A request beside slows reading by this part at most; more is a queue that was not known of."""

CUSUM_DRIFT = 0.4
"""Mean deviation, as a logarithm, that counts as noise: 1.5 times as slow or as fast."""

MAX_DEVIATION = 1.5
"""One observation counts as this deviation at most (4.5 times), so that no single one tells of a
change."""

CUSUM_THRESHOLD = 3.0
"""Sum of deviations that means a change: five observations at three times as slow."""

MIN_SAMPLES_FOR_CHANGE = 10
"""Observations behind an estimate before a change against it is looked for."""

HOLD_WEIGHT_AFTER_CHANGE = 5
"""Requests that the scaled holding time weighs as much as."""

REFIT_INTERVAL_S = 0.5
"""An estimate takes 1 to 2 ms of processor time with 160 observations (timed beside other load), so
it is not made for each request."""

HOLD_SMOOTHING = 0.03
WORK_SMOOTHING = 0.01
"""Weights of a new observation: about the last 30 and the last 100 requests count."""

LOCAL_WEIGHT = 2.0
"""What a node saw itself counts this many times as much as what others tell, which is older."""

MIN_FIRST_EVENT_GAP_S = 0.03
"""First events closer to each other came out of the same few steps of the server (6 ms each at the
users' engines), so the time between them tells no rate."""

MIN_DURATION_S = 0.001
"""Times below this are taken for this long, so that a ratio of them means something."""

SLOWDOWN_SMOOTHING = 0.2
"""Weight of a new observation of a server's slowness: about the last five count."""

MAX_SLOWDOWN_FACTOR = 8.0
"""A first event may be late for other reasons; it counts as this many times as slow at most."""

SLOWDOWN_DECAY_S = 4.0
"""A server's own deviation loses two thirds of its weight in this time without an observation."""


class Speed(msgspec.Struct, frozen=True, array_like=True):
    """What the servers of a service can do, with the number of observations behind it.

    `read_per_s`: prompt tokens a second at a server with nothing else. `start_s`: time to the first
    event of an empty prompt. `hold_s`: time that a request holds its slot. `residual_work`: tokens
    that are still to be read of a prompt that a request finds being read, on average. `crowding`:
    part of that time by which each request that runs beside makes reading longer.
    """

    read_per_s: float = PRIOR_PREFILL_TOKENS_PER_S
    start_s: float = PRIOR_START_S
    hold_s: float = PRIOR_HOLD_S
    residual_work: float = PRIOR_RESIDUAL_WORK_TOKENS
    samples: int = 0
    crowding: float = 0.0

    def prefill_s(self, work: float, concurrent: float = 0.0) -> float:
        """Return the time that reading takes; `work` in tokens of a short prompt."""
        return work * (1.0 + self.crowding * concurrent) / self.read_per_s

    def remaining_work(self, queued_ahead: float) -> float:
        """Return what is left of the prompts ahead, one of which has been read in part."""
        return max(queued_ahead / 2, queued_ahead - self.residual_work)


PRIOR = Speed()


class PrefillSample(msgspec.Struct, frozen=True):
    """An observation: a prompt of some work, what waited ahead of it, how many requests ran beside
    it, and when its first event came.

    For one that was `queued`, `took_s` is the time since the first event before it, and `work` all
    that was placed on the server between the two; so it tells the rate however long the queue is.
    """

    work: float
    queued_ahead: float
    took_s: float
    at: float
    concurrent: int = 0
    queued: bool = False

    @property
    def is_clean(self) -> bool:
        """Say whether little depends on what other nodes told of what waits ahead."""
        return self.queued or self.queued_ahead <= MAX_CLEAN_QUEUE_RATIO * self.work


class PrefillTracker(msgspec.Struct):
    """When a server's first events came, against the work placed there before them.

    Servers read prompts in the order in which they come, so between two first events they read what
    was placed between these two prompts, unless they rested meanwhile.
    """

    placed: float = 0.0
    _last_at: float = -1e9
    _last_through: float = 0.0

    def place(self, work: float) -> float:
        """Note work that any node placed; return all that was placed up to and with it."""
        self.placed += work
        return self.placed

    def first_event(
        self, sent_at: float, cumulative_work: float, unqueued: PrefillSample
    ) -> PrefillSample | None:
        """Return the observation that a first event makes, None if it came too soon after another.

        `cumulative_work` is what `place` returned for its prompt; `unqueued` is the observation if nothing of
        this node's was queued there.
        """
        queued = sent_at < self._last_at
        if not queued:
            self._last_at, self._last_through = unqueued.at, cumulative_work
            return unqueued
        took_s = unqueued.at - self._last_at
        if took_s < MIN_FIRST_EVENT_GAP_S:
            return None
        work = cumulative_work - self._last_through
        self._last_at, self._last_through = unqueued.at, cumulative_work
        if work <= 0:
            return None
        return PrefillSample(work, 0.0, took_s, unqueued.at, unqueued.concurrent, queued=True)


class ChangeDetector(msgspec.Struct):
    """Finds that observations lie above or below what is expected of them for good."""

    _slower: float = 0.0
    _faster: float = 0.0
    _slower_samples: int = 0
    _faster_samples: int = 0

    def note(self, deviation: float) -> int:
        """Note a deviation (logarithm); return how many observations a change began ago, or 0."""
        deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
        self._slower = max(0.0, self._slower + deviation - CUSUM_DRIFT)
        self._faster = max(0.0, self._faster - deviation - CUSUM_DRIFT)
        self._slower_samples = self._slower_samples + 1 if self._slower else 0
        self._faster_samples = self._faster_samples + 1 if self._faster else 0
        if self._slower > CUSUM_THRESHOLD:
            return self._slower_samples
        return self._faster_samples if self._faster > CUSUM_THRESHOLD else 0

    def reset(self) -> None:
        """Begin anew."""
        self._slower = self._faster = 0.0
        self._slower_samples = self._faster_samples = 0


class SpeedEstimator(msgspec.Struct):
    """Estimates of one service at one node."""

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

    def placed(self, work: float) -> None:
        """Note the work of a prompt that was placed."""
        self._placed_count += 1
        step = max(WORK_SMOOTHING, 1.0 / self._placed_count)
        self._mean_work += step * (work - self._mean_work)
        self._mean_square_work += step * (work * work - self._mean_square_work)

    def first_event(self, sample: PrefillSample) -> None:
        """Note that a prompt's first event came."""
        self._samples.append(sample)
        if self._local_speed.samples < MIN_SAMPLES_FOR_CHANGE or not sample.is_clean:
            return
        samples_since = self._detector.note(log(_ratio_to_expected(sample, self._local_speed)))
        if samples_since:
            self._forget_before_change(samples_since)

    def _forget_before_change(self, observations: int) -> None:
        """Forget what was before a change; scale what was learnt from it."""
        while len(self._samples) > observations:
            self._samples.popleft()
        times = median(_ratio_to_expected(sample, self._local_speed) for sample in self._samples)
        self._fit_prior = Speed(
            self._local_speed.read_per_s / times,
            self._local_speed.start_s * times,
            crowding=self._local_speed.crowding,
        )
        self._hold_s *= times
        self._hold_count = min(self._hold_count, HOLD_WEIGHT_AFTER_CHANGE)
        self._detector.reset()
        self.changes += 1
        self._fitted_at = -1e9

    def ended(self, held_s: float) -> None:
        """Note how long a request held its slot."""
        self._hold_count += 1
        step = max(HOLD_SMOOTHING, 1.0 / (1 + self._hold_count))
        self._hold_s += step * (held_s - self._hold_s)

    def others(self, speeds: Iterable[Speed]) -> None:
        """Take over what other nodes have learnt."""
        self._peer_speeds = [speed for speed in speeds if speed.samples > 0]

    def own(self, now: float) -> Speed:
        """Return what this node has learnt by itself, to tell others."""
        self._refit(now)
        return self._local_speed

    def speed(self, now: float) -> Speed:
        """Return the best estimate there is."""
        self._refit(now)
        return self._speed

    @property
    def last(self) -> Speed:
        """Return the best estimate as of when it was last asked for."""
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
        known = msgspec.structs.replace(
            self._fit_prior, hold_s=self._hold_s, residual_work=residual, samples=len(self._samples)
        )
        self._local_speed = self._fit(known)
        self._speed = combine_speeds(self._local_speed, self._peer_speeds)

    def _fit(self, known: Speed) -> Speed:
        """Return what the observations tell, with the rate of `known` as a prior."""
        if len(self._samples) < 2:
            return known
        used = [sample for sample in self._samples if sample.is_clean]
        if len(used) < MIN_CLEAN_SAMPLES:
            used = list(self._samples)
        tokens = [sample.work + known.remaining_work(sample.queued_ahead) for sample in used]
        crowding = known.crowding
        for _ in range(FIT_PASSES):
            works = [
                each * (1.0 + crowding * sample.concurrent)
                for each, sample in zip(tokens, used, strict=True)
            ]
            read_per_s, start_s = self._fit_rate(used, works, known)
            crowding = self._fit_crowding(used, tokens, read_per_s, start_s, known)
        return msgspec.structs.replace(
            known, read_per_s=read_per_s, start_s=start_s, crowding=crowding
        )

    def _fit_crowding(
        self,
        used: list[PrefillSample],
        tokens: list[float],
        read_per_s: float,
        start_s: float,
        known: Speed,
    ) -> float:
        """Return by how much of the time of an empty server each request beside slows reading."""
        alone_s = [each / read_per_s for each in tokens]
        times = [
            (sample.took_s - (0.0 if sample.queued else start_s)) / each if each > 0 else 1.0
            for each, sample in zip(alone_s, used, strict=True)
        ]
        slopes = [known.crowding] * PRIOR_PAIRS
        places = range(len(times))
        for _ in range(_pair_count(len(times))):
            first, second = self._rng.choice(places), self._rng.choice(places)
            apart = used[first].concurrent - used[second].concurrent
            if apart:
                slopes.append((times[first] - times[second]) / apart)
        return min(MAX_CROWDING, max(0.0, median(slopes)))

    def _fit_rate(
        self, used: list[PrefillSample], works: list[float], known: Speed
    ) -> tuple[float, float]:
        """Return tokens a second and the time of an empty prompt.

        Queued observations tell the rate by themselves; the others in pairs.
        """
        slopes = [1.0 / known.read_per_s] * PRIOR_PAIRS
        unqueued: list[tuple[float, float]] = []
        for sample, work in zip(used, works, strict=True):
            if sample.queued:
                slopes += [sample.took_s / work] * QUEUED_SAMPLE_WEIGHT
            else:
                unqueued.append((work, sample.took_s))
        slopes += self._pairwise_slopes(unqueued)
        slope = median(slopes)
        if slope <= 0:
            return known.read_per_s, known.start_s
        rests = [took_s - slope * work for work, took_s in unqueued]
        return 1.0 / slope, max(0.0, median(rests)) if rests else known.start_s

    def _pairwise_slopes(self, unqueued: list[tuple[float, float]]) -> list[float]:
        if len(unqueued) < 2:
            return []
        apart = max(MIN_WORK_GAP_TOKENS, MIN_WORK_GAP_RATIO * median(work for work, _ in unqueued))
        slopes = []
        for _ in range(_pair_count(len(unqueued))):
            first, second = self._rng.choice(unqueued), self._rng.choice(unqueued)
            if abs(first[0] - second[0]) > apart:
                slopes.append((first[1] - second[1]) / (first[0] - second[0]))
        return slopes


def _ratio_to_expected(sample: PrefillSample, speed: Speed) -> float:
    """Return how many times as long as expected a first event took."""
    tokens = sample.work + speed.remaining_work(sample.queued_ahead)
    start_s = 0.0 if sample.queued else speed.start_s
    expected_s = start_s + speed.prefill_s(tokens, sample.concurrent)
    return max(sample.took_s, MIN_DURATION_S) / max(expected_s, MIN_DURATION_S)


def _pair_count(number: int) -> int:
    """Return how many pairs of so many observations are drawn, no more than there are."""
    return min(MAX_PAIRS, number * (number - 1) // 2)


def combine_speeds(own: Speed, others: Iterable[Speed]) -> Speed:
    """Return the middle of what nodes have learnt, by observations; the prior where none have."""
    learnt = [(speed, float(speed.samples)) for speed in others]
    if own.samples:
        learnt.append((own, LOCAL_WEIGHT * own.samples))
    if not learnt:
        return own
    return Speed(
        _weighted_median([(speed.read_per_s, weight) for speed, weight in learnt]),
        _weighted_median([(speed.start_s, weight) for speed, weight in learnt]),
        _weighted_median([(speed.hold_s, weight) for speed, weight in learnt]),
        _weighted_median([(speed.residual_work, weight) for speed, weight in learnt]),
        int(sum(speed.samples for speed, _ in learnt)),
        _weighted_median([(speed.crowding, weight) for speed, weight in learnt]),
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
    """How much slower than the others of its service a server is; 1.0 is as fast.

    What was observed fades, so that a server that was slow is tried again.
    """

    _times: float = 1.0
    _at: float = 0.0

    def note(self, took_s: float, expected_s: float, now: float) -> None:
        """Note a first event against when it was expected."""
        ratio = min(MAX_SLOWDOWN_FACTOR, max(1.0, took_s / max(expected_s, PRIOR_START_S)))
        known = self.times(now)
        self._times = known + SLOWDOWN_SMOOTHING * (ratio - known)
        self._at = now

    def times(self, now: float) -> float:
        """Return the factor as of now."""
        return 1.0 + (self._times - 1.0) * exp(-(now - self._at) / SLOWDOWN_DECAY_S)
