"""Observations of a new version of a service's servers, and the test whether it is bad.

Each answer counts under a series (a route, or the pace of a route's events) and an arm: the old
servers or the new ones. Times are kept as a histogram with buckets of equal ratio, so that the
counts of many nodes can be added up. The old servers are the control group: they are observed at
the same moment and under the same load, so neither a slow hour nor answers that always fail in part
count against the new version.

An answer is bad if it failed, or took much longer than the median of the old servers. Whether the
new servers have more bad answers than the old ones is tested by a sum of log-likelihood ratios that
never falls below zero (CUSUM; Page, Biometrika 41, 1954): a version that turns bad after a long
time is found as soon as one that is bad at once. docs/design/rollouts.md compares it with other
methods.
"""

from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from math import floor, log, log2

import msgspec

BUCKETS_PER_DOUBLING = 4
MAX_BUCKET = 60
"""Times are counted in buckets with a ratio of 1.19, up to 33,000 s and down to 1/33,000 s."""

SLOW_BUCKETS = 5
"""An answer this many buckets above the control's median is slow: 2.4 times as long. Slow versions
take several times as long, and few answers of a good one are that slow by chance."""

MIN_SLOW_S = 0.02
"""An answer that took less is never slow. Servers to which a node has no connection yet answer a
few ms later, which is twice as long or more on a route whose answers take 2 ms."""

MIN_CONTROL_ANSWERS = 8
"""Answers of the old servers that are needed before their median time is used."""

RECENT_CONTROL_ANSWERS = 30
"""The median is that of about this many recent answers. With a median of all answers, a good
version would look bad once all servers become slower."""

PRIOR_BAD_SHARE = 0.05
PRIOR_ANSWERS = 4.0
"""Prior share of bad answers of the old servers, and its weight as a number of answers."""

MIN_EXPECTED_BAD_SHARE = 0.03
"""Share of bad answers that is expected of any version. Where the old servers had none at all, a
single answer lost to a crash would otherwise count as much against a version as thirty good ones
count for it; with this minimum two of two are needed, or about three of ten."""

BAD_SHARE_OFFSET = 0.15
BAD_SHARE_FACTOR = 1.6
"""The alternative hypothesis: the share of bad answers of a bad version is `BAD_SHARE_OFFSET` plus
`BAD_SHARE_FACTOR` times that of the old one. A smaller difference can't be detected within the
exposure that is allowed."""

MAX_BAD_SHARE = 0.95
BASE_THRESHOLD = 3.0
LOG_THRESHOLD_FACTOR = 0.65
"""The maximum share that is assumed for a bad version; the CUSUM that marks a version as bad; and
its increase per natural logarithm of the number of answers, since a long series has more chances to
exceed it. docs/design/rollouts.md lists the resulting rates of good versions stopped and bad ones
missed."""


class Arm(IntEnum):
    """The group of servers that an answer came from."""

    OLD = 0
    NEW = 1


def bucket_of(took_s: float) -> int:
    """Return the histogram bucket of a time in seconds."""
    bucket = floor(log2(max(took_s, 1e-9)) * BUCKETS_PER_DOUBLING)
    return max(-MAX_BUCKET, min(MAX_BUCKET, bucket))


class Tally(msgspec.Struct, array_like=True):
    """Counted answers: how many failed, and the others by bucket of their time."""

    failed: int = 0
    times: dict[int, int] = {}

    @property
    def count(self) -> int:
        """Return the number of answers counted."""
        return self.failed + sum(self.times.values())

    def observe(self, failed: bool, took_s: float) -> None:
        """Count an answer."""
        if failed:
            self.failed += 1
            return
        bucket = bucket_of(took_s)
        self.times[bucket] = self.times.get(bucket, 0) + 1

    def add(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.failed += other.failed
        for bucket, number in other.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + number

    def copy(self) -> "Tally":
        """Return a copy of the counts, to compare later ones with."""
        return Tally(self.failed, dict(self.times))

    def since(self, before: "Tally") -> "Tally":
        """Return what was counted since `before`.

        A count that fell, because a node's counts were dropped, yields zero.
        """
        times = {
            bucket: number - before.times.get(bucket, 0)
            for bucket, number in self.times.items()
            if number > before.times.get(bucket, 0)
        }
        return Tally(max(0, self.failed - before.failed), times)

    def median_bucket(self) -> int | None:
        """Return the bucket of the median time, or None if there are too few answers."""
        number = sum(self.times.values())
        if number < MIN_CONTROL_ANSWERS:
            return None
        left = number / 2
        for bucket in sorted(self.times):
            left -= self.times[bucket]
            if left <= 0:
                return bucket
        return None

    def count_bad(self, slow_bucket: int | None) -> int:
        """Return the number of answers that failed or are in bucket `slow_bucket` or above."""
        if slow_bucket is None:
            return self.failed
        slow = sum(number for bucket, number in self.times.items() if bucket >= slow_bucket)
        return self.failed + slow


class Evidence(msgspec.Struct, array_like=True):
    """Answers by series, for the old servers and for the new ones."""

    old: dict[str, Tally] = {}
    new: dict[str, Tally] = {}

    def observe(self, arm: Arm, series: str, failed: bool, took_s: float) -> None:
        """Count an answer."""
        self.tally(arm, series).observe(failed, took_s)

    def tally(self, arm: Arm, series: str) -> Tally:
        """Return the tally of a series, creating it if needed."""
        tallies = self.new if arm is Arm.NEW else self.old
        return tallies.setdefault(series, Tally())

    def add(self, other: "Evidence") -> None:
        """Add the counts of another node."""
        for arm, tallies in ((Arm.OLD, other.old), (Arm.NEW, other.new)):
            for series, tally in tallies.items():
                self.tally(arm, series).add(tally)


def merged(parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of what several nodes counted."""
    total = Evidence()
    for part in parts:
        total.add(part)
    return total


class Control(msgspec.Struct):
    """The control group of a series: the median time of recent answers, and the bad ones of all.

    The median follows within a few answers when all servers become slow, while estimating the
    share of bad answers takes many. Answers in `slow_bucket` or above are slow.
    """

    count: int = 0
    bad: int = 0
    slow_bucket: int | None = None
    recent_bad_share: float = 0.0
    _snapshots: deque[Tally] = msgspec.field(default_factory=lambda: deque([Tally()]))

    def observe(self, counts: Tally) -> None:
        """Update from the current counts of the old servers."""
        fresh = counts.since(self._snapshots[-1])
        if fresh.count <= 0:
            self.recent_bad_share = 0.0
            return
        self._snapshots.append(counts.copy())
        while (
            len(self._snapshots) > 2
            and counts.since(self._snapshots[1]).count >= RECENT_CONTROL_ANSWERS
        ):
            self._snapshots.popleft()
        median = counts.since(self._snapshots[0]).median_bucket()
        if median is not None:
            self.slow_bucket = max(median + SLOW_BUCKETS, bucket_of(MIN_SLOW_S))
        self.count += fresh.count
        bad = fresh.count_bad(self.slow_bucket)
        self.bad += bad
        prior_bad = self.bad_share * PRIOR_ANSWERS
        self.recent_bad_share = (bad + prior_bad) / (fresh.count + PRIOR_ANSWERS)

    @property
    def bad_share(self) -> float:
        """Return the share of bad answers among all that were seen, including the prior."""
        return (self.bad + PRIOR_BAD_SHARE * PRIOR_ANSWERS) / (self.count + PRIOR_ANSWERS)

    @property
    def expected_bad_share(self) -> float:
        """Return the share of bad answers expected of a good version now.

        A pause of the whole system makes answers of both versions late together, so the latest
        share of the old servers counts as well.
        """
        return max(MIN_EXPECTED_BAD_SHARE, self.bad_share, self.recent_bad_share)


class SeriesJudge(msgspec.Struct):
    """Tests one series of the new servers against the old ones."""

    control: Control = msgspec.field(default_factory=Control)
    count: int = 0
    cusum: float = 0.0
    _previous: Tally = msgspec.field(default_factory=Tally)

    def observe(self, old: Tally, new: Tally, with_times: bool) -> bool:
        """Update from the current counts of both arms; return whether the version is bad.

        `with_times` counts slow answers as bad, otherwise only failed ones are.
        """
        self.control.observe(old)
        fresh = new.since(self._previous)
        if fresh.count <= 0:
            return self.exceeds_threshold
        self._previous = new.copy()
        self.count += fresh.count
        bad = fresh.count_bad(self.control.slow_bucket if with_times else None)
        expected = self.control.expected_bad_share
        assumed_bad = min(MAX_BAD_SHARE, BAD_SHARE_OFFSET + BAD_SHARE_FACTOR * expected)
        expected = min(expected, assumed_bad / BAD_SHARE_FACTOR)
        step = bad * log(assumed_bad / expected)
        step += (fresh.count - bad) * log((1.0 - assumed_bad) / (1.0 - expected))
        self.cusum = max(0.0, self.cusum + step)
        return self.exceeds_threshold

    @property
    def exceeds_threshold(self) -> bool:
        """Return whether there are too many bad answers to be explained by chance alone."""
        return self.cusum > BASE_THRESHOLD + LOG_THRESHOLD_FACTOR * log(1 + self.count)


class Judge(msgspec.Struct):
    """Tests a whole version over all its series; a version once found bad stays bad."""

    series: dict[str, SeriesJudge] = msgspec.field(default_factory=dict)
    bad: bool = False

    def observe(self, evidence: Evidence, with_times: bool = True) -> bool:
        """Update from what all nodes counted until now; return whether the version is bad.

        Once the old servers bear less load than the new ones, their times are no valid control.
        Then `with_times` must be False, and only failures count.
        """
        for name, new in evidence.new.items():
            judge = self.series.setdefault(name, SeriesJudge())
            if judge.observe(evidence.old.get(name, Tally()), new, with_times):
                self.bad = True
        return self.bad
