"""What is observed of a new version of a service's servers, and whether it is bad.

Each answer counts under a series (a route, or a route's pace of events) and an arm: the old servers
or the new ones. Times are kept as a histogram with buckets of equal ratio, so that what many nodes
saw adds up to one. The old servers are the control: at the same moment and under the same load, so
that neither a slow hour nor answers that always fail in part speak against the new version.

An answer is bad if it failed, or came much later than the middle of the old ones. Whether there are
more bad ones than among the old is judged by a sum of log-likelihood ratios that never falls below
zero (CUSUM; Page, Biometrika 41, 1954): a version that turns bad after a good while is found as
soon as one that is bad at once. docs/design/rollouts.md has what else was tried.
"""

from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from math import floor, log, log2

import msgspec

BUCKETS_PER_DOUBLING = 4
MAX_BUCKET = 60
"""Buckets of time: a ratio of 1.19 each, 33,000 times as long at most (and as short)."""

SLOW_BUCKETS = 5
"""An answer this many buckets above the middle of the old ones is slow: 2.4 times as long. Versions
that are slow take several times as long; few answers of a sound one are that slow by chance."""

MIN_SLOW_S = 0.02
"""An answer that came sooner is never slow. Servers that a node has no connection to yet answer a
few ms later, which is twice as long and more on a route whose answers take 2 ms."""

MIN_CONTROL_ANSWERS = 8
"""Answers of the old servers before the middle of their times is trusted."""

RECENT_CONTROL_ANSWERS = 30
"""The middle is that of about so many answers of late. Were it that of all, a good version would be
taken for bad once all servers turn slower."""

PRIOR_BAD_SHARE = 0.05
PRIOR_ANSWERS = 4.0
"""Share of answers of the old servers that is taken to be bad, with the weight of so many."""

MIN_EXPECTED_BAD_SHARE = 0.03
"""Share of bad answers that any version is expected to have. Where the old servers had none at all,
a single answer lost to a crash would speak against a version as loudly as thirty good ones for it;
with this two of two are needed, or about three of ten."""

BAD_SHARE_OFFSET = 0.15
BAD_SHARE_FACTOR = 1.6
"""What a bad version is taken for: this share of bad answers more than this many times those of the
old one. A version with less can't be told within the exposure that is allowed."""

MAX_BAD_SHARE = 0.95
BASE_THRESHOLD = 3.0
LOG_THRESHOLD_FACTOR = 0.65
"""Sum that means a bad version, and what is added with the natural logarithm of the number of
answers seen, since chance has more goes at a long series. What it costs in good versions that are
stopped and bad ones that are missed is told in docs/design/rollouts.md."""


class Arm(IntEnum):
    """The servers that an answer came from."""

    OLD = 0
    NEW = 1


def bucket_of(took_s: float) -> int:
    """Return the bucket of a time in seconds."""
    place = floor(log2(max(took_s, 1e-9)) * BUCKETS_PER_DOUBLING)
    return max(-MAX_BUCKET, min(MAX_BUCKET, place))


class Tally(msgspec.Struct, array_like=True):
    """Answers counted: how many failed, and the others by bucket of their time."""

    failed: int = 0
    times: dict[int, int] = {}

    @property
    def count(self) -> int:
        """Return the answers counted."""
        return self.failed + sum(self.times.values())

    def observe(self, failed: bool, took_s: float) -> None:
        """Count an answer."""
        if failed:
            self.failed += 1
            return
        bucket = bucket_of(took_s)
        self.times[bucket] = self.times.get(bucket, 0) + 1

    def add(self, other: "Tally") -> None:
        """Count the answers of another tally."""
        self.failed += other.failed
        for bucket, number in other.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + number

    def copy(self) -> "Tally":
        """Return the counts as they are, to compare later ones with."""
        return Tally(self.failed, dict(self.times))

    def since(self, before: "Tally") -> "Tally":
        """Return what was counted since; nothing of what a forgotten node had counted."""
        times = {
            bucket: number - before.times.get(bucket, 0)
            for bucket, number in self.times.items()
            if number > before.times.get(bucket, 0)
        }
        return Tally(max(0, self.failed - before.failed), times)

    def median_bucket(self) -> int | None:
        """Return the bucket of the median time, None if too few answers were seen."""
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
        """Return the answers that failed, or lie in a bucket from `slow_bucket` up."""
        if slow_bucket is None:
            return self.failed
        slow = sum(number for bucket, number in self.times.items() if bucket >= slow_bucket)
        return self.failed + slow


class Evidence(msgspec.Struct, array_like=True):
    """Answers by series, of the old servers and of the new ones."""

    old: dict[str, Tally] = {}
    new: dict[str, Tally] = {}

    def observe(self, arm: Arm, series: str, failed: bool, took_s: float) -> None:
        """Count an answer."""
        self.tally(arm, series).observe(failed, took_s)

    def tally(self, arm: Arm, series: str) -> Tally:
        """Return what is counted of a series, to count on."""
        tallies = self.new if arm is Arm.NEW else self.old
        return tallies.setdefault(series, Tally())

    def add(self, other: "Evidence") -> None:
        """Count what another node saw."""
        for arm, tallies in ((Arm.OLD, other.old), (Arm.NEW, other.new)):
            for series, tally in tallies.items():
                self.tally(arm, series).add(tally)


def merged(parts: Iterable[Evidence]) -> Evidence:
    """Return what several nodes saw together."""
    whole = Evidence()
    for part in parts:
        whole.add(part)
    return whole


class Control(msgspec.Struct):
    """The old servers' answers of a series: the middle of those of late, the bad ones of all.

    The middle follows within some answers when all servers turn slow; a share of bad ones needs
    many answers to be known.
    """

    count: int = 0
    bad: int = 0
    slow_bucket: int | None = None
    recent_bad_share: float = 0.0
    _snapshots: deque[Tally] = msgspec.field(default_factory=lambda: deque([Tally()]))

    def observe(self, now: Tally) -> None:
        """Take over the counts as they are now."""
        fresh = now.since(self._snapshots[-1])
        if fresh.count <= 0:
            self.recent_bad_share = 0.0
            return
        self._snapshots.append(now.copy())
        while (
            len(self._snapshots) > 2
            and now.since(self._snapshots[1]).count >= RECENT_CONTROL_ANSWERS
        ):
            self._snapshots.popleft()
        middle = now.since(self._snapshots[0]).median_bucket()
        if middle is not None:
            self.slow_bucket = max(middle + SLOW_BUCKETS, bucket_of(MIN_SLOW_S))
        self.count += fresh.count
        bad = fresh.count_bad(self.slow_bucket)
        self.bad += bad
        known = self.bad_share * PRIOR_ANSWERS
        self.recent_bad_share = (bad + known) / (fresh.count + PRIOR_ANSWERS)

    @property
    def bad_share(self) -> float:
        """Return the share of bad answers over all that were seen."""
        return (self.bad + PRIOR_BAD_SHARE * PRIOR_ANSWERS) / (self.count + PRIOR_ANSWERS)

    @property
    def expected_bad_share(self) -> float:
        """Return the share of bad answers that a good version has now.

        A moment in which everything stood still makes answers of both versions late together.
        """
        return max(MIN_EXPECTED_BAD_SHARE, self.bad_share, self.recent_bad_share)


class SeriesJudge(msgspec.Struct):
    """Follows one series of the new servers against the old ones."""

    control: Control = msgspec.field(default_factory=Control)
    count: int = 0
    cusum: float = 0.0
    _seen: Tally = msgspec.field(default_factory=Tally)

    def observe(self, old: Tally, new: Tally, with_times: bool) -> bool:
        """Take over the counts as they are now; say whether the version is bad."""
        self.control.observe(old)
        fresh = new.since(self._seen)
        if fresh.count <= 0:
            return self.exceeds_threshold
        self._seen = new.copy()
        self.count += fresh.count
        bad = fresh.count_bad(self.control.slow_bucket if with_times else None)
        expected = self.control.expected_bad_share
        feared = min(MAX_BAD_SHARE, BAD_SHARE_OFFSET + BAD_SHARE_FACTOR * expected)
        expected = min(expected, feared / BAD_SHARE_FACTOR)
        step = bad * log(feared / expected)
        step += (fresh.count - bad) * log((1.0 - feared) / (1.0 - expected))
        self.cusum = max(0.0, self.cusum + step)
        return self.exceeds_threshold

    @property
    def exceeds_threshold(self) -> bool:
        """Say whether chance alone would hardly bring as many bad answers."""
        return self.cusum > BASE_THRESHOLD + LOG_THRESHOLD_FACTOR * log(1 + self.count)


class Judge(msgspec.Struct):
    """Follows a whole version; what it once found bad stays bad."""

    series: dict[str, SeriesJudge] = msgspec.field(default_factory=dict)
    bad: bool = False

    def observe(self, evidence: Evidence, with_times: bool = True) -> bool:
        """Take over what all nodes saw until now; say whether the version is bad.

        Once the old servers bear less load than the new ones they are no control for times, and
        only failures count.
        """
        for name, new in evidence.new.items():
            judge = self.series.setdefault(name, SeriesJudge())
            if judge.observe(evidence.old.get(name, Tally()), new, with_times):
                self.bad = True
        return self.bad
