"""What the servers of a service can do, learnt from what they do.

Nothing states how fast a server reads prompts. A node sees how long first events took after prompts
of different lengths, and how long requests kept their places; from these it estimates a rate of
reading, the time that even an empty prompt takes, and the time that a request holds its slot. Nodes
tell each other their estimates, so that one that starts does not begin blind. Until there are
observations a prior counts.

The slope between prompt and time is the Theil-Sen estimator (the median of slopes between pairs of
observations; Sen, JASA 63, 1968): up to 29 in 100 observations may be spoilt, by a queue that this
node did not know of or a server that turned slow, without changing it much.
"""

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, exp, sqrt
from statistics import median

import msgspec

PRIOR_READ_PER_S = 40_000.0
"""Prompt tokens a second that a server is taken to read before any was seen to; measured at the
first customers' engines (docs/DECISIONS.md)."""

PRIOR_START_S = 0.03
"""Time to a first event that does not depend on the prompt, likewise."""

PRIOR_HOLD_S = 1.0
"""Time that a request holds its slot, likewise."""

PRIOR_RESIDUAL_WORK = 5_000.0
"""Half the mean square of prompts over their mean, likewise."""

PRIOR_PAIRS = 6
"""Pairs of observations that weigh as much as the prior."""

KEPT_SAMPLES = 160
KEPT_S = 30.0
"""Observations older than this are forgotten, since servers are replaced and turn slow."""

MOST_PAIRS = 400
LEAST_APART = 0.25
"""Prompts of a pair differ by this part of the median prompt at least, else noise decides its
slope."""

LEAST_APART_TOKENS = 1.0
MOST_AHEAD = 0.3
"""Observations with more than this part of the prompt waiting ahead tell of the queue, not of
reading."""

REFIT_S = 0.5
"""An estimate takes some 0.3 ms of processor time, so it is not made for each request."""

HOLD_SMOOTHING = 0.03
WORK_SMOOTHING = 0.01
"""Weights of a new observation: about the last 30 and the last 100 requests count."""

OWN_WEIGHT = 2.0
"""What a node saw itself counts this many times as much as what others tell, which is older."""

ENDLESS_S = 1e9
SLOW_SMOOTHING = 0.2
MOST_SLOW = 8.0
"""A first event may be late for other reasons; it counts as this many times as slow at most."""

SLOW_MEMORY_S = 4.0
"""A server's own deviation loses two thirds of its weight in this time without an observation."""


class Speed(msgspec.Struct, frozen=True, array_like=True):
    """What the servers of a service can do, with the number of observations behind it.

    `read_per_s`: prompt tokens a second beside what decodes. `start_s`: time to the first event of
    an empty prompt. `hold_s`: time that a request holds its slot. `residual_work`: tokens that are
    still to be read of a prompt that a request finds being read, on average.
    """

    read_per_s: float = PRIOR_READ_PER_S
    start_s: float = PRIOR_START_S
    hold_s: float = PRIOR_HOLD_S
    residual_work: float = PRIOR_RESIDUAL_WORK
    samples: int = 0

    def reading_s(self, work: float) -> float:
        """Return the time that reading takes; `work` in tokens of a short prompt."""
        return work / self.read_per_s


PRIOR = Speed()


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """An observation: a prompt of some work, what waited ahead of it, and when its first event
    came."""

    work: float
    ahead: float
    took_s: float
    at: float


@dataclass(slots=True)
class SpeedLearner:
    """Estimates of one service at one node."""

    _seen: deque[FirstEvent] = field(default_factory=lambda: deque(maxlen=KEPT_SAMPLES))
    _hold_s: float = PRIOR_HOLD_S
    _held: int = 0
    _placed: int = 0
    _work: float = 0.0
    _work_squared: float = 0.0
    _others: list[Speed] = field(default_factory=list)
    _speed: Speed = PRIOR
    _own: Speed = PRIOR
    _fitted_at: float = -1e9
    _chance: random.Random = field(default_factory=lambda: random.Random(0))

    def placed(self, work: float) -> None:
        """Note the work of a prompt that was placed."""
        self._placed += 1
        step = max(WORK_SMOOTHING, 1.0 / self._placed)
        self._work += step * (work - self._work)
        self._work_squared += step * (work * work - self._work_squared)

    def first_event(self, seen: FirstEvent) -> None:
        """Note that a prompt's first event came."""
        if seen.ahead <= MOST_AHEAD * seen.work:
            self._seen.append(seen)

    def ended(self, held_s: float) -> None:
        """Note how long a request held its slot."""
        self._held += 1
        step = max(HOLD_SMOOTHING, 1.0 / (1 + self._held))
        self._hold_s += step * (held_s - self._hold_s)

    def others(self, speeds: Iterable[Speed]) -> None:
        """Take over what other nodes have learnt."""
        self._others = [speed for speed in speeds if speed.samples > 0]

    def own(self, now: float) -> Speed:
        """Return what this node has learnt by itself, to tell others."""
        self._refit(now)
        return self._own

    def speed(self, now: float) -> Speed:
        """Return the best estimate there is."""
        self._refit(now)
        return self._speed

    def _refit(self, now: float) -> None:
        if now - self._fitted_at < REFIT_S:
            return
        self._fitted_at = now
        while self._seen and now - self._seen[0].at > KEPT_S:
            self._seen.popleft()
        read_per_s, start_s = self._fit()
        residual = PRIOR_RESIDUAL_WORK
        if self._work > 0:
            residual = self._work_squared / (2 * self._work)
        self._own = Speed(read_per_s, start_s, self._hold_s, residual, len(self._seen))
        self._speed = combined(self._own, self._others)

    def _fit(self) -> tuple[float, float]:
        """Return tokens a second and the time of an empty prompt."""
        if len(self._seen) < 2:
            return PRIOR_READ_PER_S, PRIOR_START_S
        works = [seen.work + seen.ahead / 2 for seen in self._seen]
        apart = max(LEAST_APART_TOKENS, LEAST_APART * median(works))
        slopes = [1.0 / PRIOR_READ_PER_S] * PRIOR_PAIRS
        places = range(len(works))
        for _ in range(MOST_PAIRS):
            first, second = self._chance.choice(places), self._chance.choice(places)
            if abs(works[first] - works[second]) <= apart:
                continue
            took = self._seen[first].took_s - self._seen[second].took_s
            slopes.append(took / (works[first] - works[second]))
        slope = median(slopes)
        if slope <= 0:
            return PRIOR_READ_PER_S, PRIOR_START_S
        rests = [seen.took_s - slope * work for seen, work in zip(self._seen, works, strict=True)]
        return 1.0 / slope, max(0.0, median(rests))


def combined(own: Speed, others: Iterable[Speed]) -> Speed:
    """Return the middle of what nodes have learnt, by observations; the prior where none have."""
    learnt = [(speed, float(speed.samples)) for speed in others]
    if own.samples:
        learnt.append((own, OWN_WEIGHT * own.samples))
    if not learnt:
        return own
    return Speed(
        _weighted_median([(speed.read_per_s, weight) for speed, weight in learnt]),
        _weighted_median([(speed.start_s, weight) for speed, weight in learnt]),
        _weighted_median([(speed.hold_s, weight) for speed, weight in learnt]),
        _weighted_median([(speed.residual_work, weight) for speed, weight in learnt]),
        int(sum(speed.samples for speed, _ in learnt)),
    )


def _weighted_median(values: list[tuple[float, float]]) -> float:
    values.sort()
    half = sum(weight for _, weight in values) / 2
    for value, weight in values:
        half -= weight
        if half <= 0:
            return value
    return values[-1][0]


@dataclass(slots=True)
class Slowness:
    """How much slower than the others of its service a server is; 1.0 is as fast.

    What was observed fades, so that a server that was slow is tried again.
    """

    _times: float = 1.0
    _at: float = 0.0

    def note(self, took_s: float, expected_s: float, now: float) -> None:
        """Note a first event against when it was expected."""
        ratio = min(MOST_SLOW, max(1.0, took_s / max(expected_s, PRIOR_START_S)))
        known = self.times(now)
        self._times = known + SLOW_SMOOTHING * (ratio - known)
        self._at = now

    def times(self, now: float) -> float:
        """Return the factor as of now."""
        return 1.0 + (self._times - 1.0) * exp(-(now - self._at) / SLOW_MEMORY_S)


def wait_s(load: float, places: int, residual_s: float) -> float:
    """Return the mean wait for one of `places` that are offered the work of `load` of them.

    `residual_s` is what is left on average of the service that a place is busy with. This is
    Sakasegawa's approximation (Ann. Inst. Stat. Math. 29, 1977); it is exact for one place.
    """
    used = load / places
    if used >= 1.0:
        return ENDLESS_S
    return residual_s * float(used ** (sqrt(2.0 * (places + 1)) - 1.0)) / (places * (1.0 - used))


def servers_needed(
    work_per_s: float, running: float, slots: int, most_s: float, speed: Speed
) -> int:
    """Return the fewest servers at which requests wait `most_s` on average, for reading or a slot.

    For reading, all servers are taken for one queue, since requests go to the one that is free. A
    slot has to be free at the server that was chosen, so each has its own queue for these.
    """
    reading = work_per_s / speed.read_per_s
    residual_s = speed.reading_s(speed.residual_work)
    number = max(1, ceil(reading))
    while wait_s(reading, number, residual_s) > most_s:
        number += 1
    while wait_s(running / number, slots, speed.hold_s) > most_s:
        number += 1
    return number
