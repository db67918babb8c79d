"""Limits of client accounts, kept over all nodes.

Each node keeps the bucket of the whole system: it takes what it admits itself at once, and what
others admitted when they tell of it. So a limit is exceeded by what is admitted within one round
of news at most, unused share needs no moving, and a node that starts anew does not begin with a
full bucket.

An account may have rate times window plus burst in each window. A bucket that fills at the bare
rate would grant the burst once only, however long it goes on; so it fills faster, by the burst in
each window, and what was admitted within the window is held against the limit as well.
"""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from moledale.gateway.plan import TOKENS, Account

START_BURST_SHARE = 0.4
"""Part of the burst that a bucket holds when its node starts and can't know what was spent.

When the whole system starts for the first time nothing was, so buckets are full.
"""

WINDOW_START_BURST_SHARE = 0.1
"""The same where limits hold for a window and no tolerance of them is stated.

There an account may have spent its whole limit just before, so what all nodes that start hold
together must stay below what the limit's tolerance allows.
"""

START_TOLERANCE_SHARE = 0.5
"""Part of a limit's tolerance that all nodes which start hold together; the rest is for what they
admit before they hear of each other."""

SLICE_S = 0.25
"""Grain of what is remembered of a window; it is kept this much too long rather than too short."""

MAX_DEBT_S = 4.0
"""What others spent beyond the limit holds requests back for at most this long."""


class Tolerance(msgspec.Struct, frozen=True):
    """By how much limits may be exceeded in a window: a share of each, and tokens beyond it."""

    share: float = 0.0
    tokens: float = 0.0

    def allowance_for(self, account: Account, window_s: float) -> float:
        """Return the tolerance of an account's limit, in the limit's unit."""
        limit = account.rate_per_s * window_s + burst_of(account)
        beyond = self.tokens if account.unit == TOKENS else 0.0
        return self.share * limit + beyond


def burst_of(account: Account) -> float:
    """Return what an account may have beyond its rate, one second's worth if nothing is stated."""
    return account.burst or account.rate_per_s


class RecentSpending(msgspec.Struct):
    """What all nodes admitted within the window, as far as it is known here, in slices of time."""

    window_s: float
    total: float = 0.0
    _slices: deque[tuple[float, float]] = msgspec.field(default_factory=deque)

    def add(self, amount: float, now: float) -> None:
        """Note what was admitted."""
        self._expire(now)
        if self._slices and now - self._slices[-1][0] < SLICE_S:
            begins, before = self._slices.pop()
            self._slices.append((begins, before + amount))
        else:
            self._slices.append((now, amount))
        self.total += amount

    def wait_s(self, wanted: float, limit: float, now: float) -> float:
        """Return the seconds until `wanted` more stays below the limit; 0.0 if it does now."""
        self._expire(now)
        over = self.total + min(wanted, limit) - limit
        for begins, amount in self._slices:
            if over <= 0:
                break
            over -= amount
            if over <= 0:
                return max(0.0, begins + SLICE_S + self.window_s - now)
        return 0.0

    def _expire(self, now: float) -> None:
        while self._slices and self._slices[0][0] + SLICE_S + self.window_s <= now:
            self.total -= self._slices.popleft()[1]


class Bucket(msgspec.Struct):
    """A bucket that others may draw below zero; `window_s` is 0.0 where no window counts.

    Until `unknown_until` it is not known what was spent within the window, and it fills at the bare
    rate.
    """

    rate: float
    burst: float
    level: float
    updated_at: float
    recent: RecentSpending
    unknown_until: float = 0.0

    @property
    def fill_per_s(self) -> float:
        """Return what comes in each second once all that was spent is known."""
        window_s = self.recent.window_s
        return self.rate + self.burst / window_s if window_s > 0 else self.rate

    def refill(self, now: float) -> None:
        """Add what has come since the last time."""
        blind_s = max(0.0, min(now, self.unknown_until) - self.updated_at)
        came = blind_s * self.rate + (now - self.updated_at - blind_s) * self.fill_per_s
        self.level = min(self.burst, self.level + came)
        self.updated_at = now

    def reset(self, most: float, now: float) -> None:
        """Hold no more than `most`, since others' spending of late is not known."""
        self.refill(now)
        self.level = min(self.level, most)
        self.unknown_until = now + self.recent.window_s

    def debit(self, amount: float) -> None:
        """Take what was spent elsewhere."""
        self.level = max(self.level - amount, -MAX_DEBT_S * self.rate)
        self.recent.add(amount, self.updated_at)

    def take(self, amount: float, now: float) -> float:
        """Take an amount; return 0.0, or the seconds until it is free."""
        self.refill(now)
        missing = min(amount, self.burst) - self.level
        fill_per_s = self.rate if now < self.unknown_until else self.fill_per_s
        wait_s = max(0.0, missing) / fill_per_s
        window_s = self.recent.window_s
        if window_s > 0:
            limit = self.rate * window_s + self.burst
            wait_s = max(wait_s, self.recent.wait_s(amount, limit, now))
        if wait_s > 0:
            return wait_s
        self.level -= amount
        self.recent.add(amount, now)
        return 0.0


class AccountLimits:
    """Buckets of all accounts, and how much this life of the node has spent of each.

    `window_s` is the span in which an account may have its burst anew; 0.0 leaves it at the rate.
    `tolerance` is what may be exceeded in it, `starting_nodes` tells how many nodes may start to serve at
    the same time.
    """

    def __init__(
        self,
        first_start: bool = False,
        window_s: float = 0.0,
        tolerance: Tolerance | None = None,
        starting_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        self._first_start = first_start
        self._window_s = window_s
        self._tolerance = tolerance
        self._starting_nodes = starting_nodes
        self.spent: dict[str, float] = {}
        self._buckets: dict[str, Bucket] = {}

    def configure(self, accounts: Iterable[Account], now: float) -> None:
        """Have a bucket for each account, so that what others spend counts from now on."""
        for account in accounts:
            if account.rate_per_s > 0:
                self._bucket(account, now)

    def take(self, account: Account, amount: float, now: float) -> float:
        """Take an amount; return 0.0, or the seconds until it is free."""
        if account.rate_per_s <= 0:
            return 0.0
        wait_s = self._bucket(account, now).take(amount, now)
        if wait_s == 0.0:
            self.spent[account.name] = self.spent.get(account.name, 0.0) + amount
        return wait_s

    def reset(self, accounts: Iterable[Account], now: float) -> None:
        """Begin to serve after a time in which others' spending was not heard."""
        for account in accounts:
            bucket = self._buckets.get(account.name)
            if bucket is not None:
                bucket.reset(self._start_level(account), now)

    def _start_level(self, account: Account) -> float:
        """Return what a bucket holds when its node starts and can't know what was spent.

        For accounts whose limit is small against its tolerance that is the whole burst: a single
        prompt may take that much, and was refused for a second or more after a start.
        """
        burst = burst_of(account)
        if self._window_s <= 0:
            return START_BURST_SHARE * burst
        if self._tolerance is None:
            return WINDOW_START_BURST_SHARE * burst
        together = START_TOLERANCE_SHARE * self._tolerance.allowance_for(account, self._window_s)
        return min(burst, together / max(1, self._starting_nodes()))

    def level(self, account: Account, now: float) -> float:
        """Return what is left of an account's limit."""
        bucket = self._bucket(account, now)
        bucket.refill(now)
        return bucket.level

    def record_peer_spending(
        self, before: dict[str, float], after: dict[str, float], now: float
    ) -> None:
        """Take what another node has spent between two of its states."""
        for name, amount in after.items():
            more = amount - before.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None and more > 0:
                bucket.refill(now)
                bucket.debit(more)

    def _bucket(self, account: Account, now: float) -> Bucket:
        burst = burst_of(account)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            recent = RecentSpending(self._window_s)
            bucket = Bucket(account.rate_per_s, burst, burst, now, recent)
            if not self._first_start:
                bucket.reset(self._start_level(account), now)
            self._buckets[account.name] = bucket
        elif bucket.rate != account.rate_per_s or bucket.burst != burst:
            bucket.refill(now)
            bucket.rate, bucket.burst = account.rate_per_s, burst
            bucket.level = min(bucket.level, burst)
        return bucket
