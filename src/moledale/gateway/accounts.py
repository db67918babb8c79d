"""Rate limits of client accounts, enforced across all nodes.

Each node keeps the token bucket of the whole system: it subtracts what it admits itself at once,
and what peers admitted when their updates arrive. So a limit is exceeded by at most what is
admitted within one round of updates, unused shares need not be moved, and a node that restarts does
not begin with a full bucket.

An account may use rate times window plus burst in each window. A bucket that refills at the bare
rate would grant the burst only once, however long the window recurs; so it refills faster, by one
burst per window, and what was admitted within the window counts against the limit as well.

Under overload control an admitted request may still be refused. Its charge counts at its own node
at once and is told to peers when the request is accepted, so a charge that is taken back before
that is never counted elsewhere. One taken back later stays counted by peers: they can't know
whether it still was in their window, and an error of theirs would let an account exceed its limit.
"""

from collections import deque
from collections.abc import Callable, Iterable
from math import inf

import msgspec
from result import Err, Ok, Result

from moledale.gateway.plan import TOKENS, Account

START_BURST_SHARE = 0.4
"""Share of the burst that a bucket holds when its node starts and cannot know what was spent.

When the whole system starts for the first time nothing was spent, so buckets are full.
"""

WINDOW_START_BURST_SHARE = 0.1
"""The same share where limits hold for a window and no tolerance is configured.

An account may have spent its whole limit just before, so the levels of all starting nodes together
must stay below the limit's tolerance.
"""

START_TOLERANCE_SHARE = 0.5
"""Share of a limit's tolerance that all starting nodes hold together; the rest is for what they
admit before they receive each other's updates.
"""

SLICE_S = 0.25
"""Resolution of the spending window: amounts count up to this much too long, never too short."""

LATE_S = 2.0
"""A peer that was not heard for longer than this may have spent what overflowed here meanwhile.
States come once a second at least, so this needs two lost ones."""

MAX_LATE_S = 40.0
"""Overflow of a bucket is remembered for this long, as the last states of silent peers are."""

MAX_DEBT_S = 4.0
"""Spending of peers beyond the limit delays requests for at most this long."""


class Tolerance(msgspec.Struct, frozen=True):
    """How far limits may be exceeded in a window: a share of each, plus a number of tokens."""

    share: float = 0.0
    tokens: float = 0.0

    def allowance_for(self, account: Account, window_s: float) -> float:
        """Return the tolerance of an account's limit, in the limit's unit."""
        limit = account.rate_per_s * window_s + burst_of(account)
        beyond = self.tokens if account.unit == TOKENS else 0.0
        return self.share * limit + beyond


def burst_of(account: Account) -> float:
    """Return an account's burst, by default one second's worth of its rate."""
    return account.burst or account.rate_per_s


class RecentSpending(msgspec.Struct):
    """What all nodes are known to have admitted within the window, in slices of time."""

    window_s: float
    total: float = 0.0
    _slices: deque[tuple[float, float]] = msgspec.field(default_factory=deque)

    def add(self, amount: float, now: float) -> None:
        """Record an admitted amount."""
        self._expire(now)
        if self._slices and now - self._slices[-1][0] < SLICE_S:
            starts_at, earlier = self._slices.pop()
            self._slices.append((starts_at, earlier + amount))
        else:
            self._slices.append((now, amount))
        self.total += amount

    def take_since(self, wanted: float, since: float, now: float) -> float:
        """Remove up to `wanted` of what was added since a time; return how much was removed."""
        self._expire(now)
        kept: deque[tuple[float, float]] = deque()
        taken = 0.0
        while self._slices and self._slices[-1][0] >= since and taken < wanted:
            at, amount = self._slices.pop()
            part = min(amount, wanted - taken)
            taken += part
            if part < amount:
                kept.appendleft((at, amount - part))
        self._slices.extend(kept)
        self.total -= taken
        return taken

    def remove(self, amount: float, at: float, now: float) -> None:
        """Remove what was added at a time, unless it has left the window."""
        self._expire(now)
        for index in range(len(self._slices) - 1, -1, -1):
            starts_at, total = self._slices[index]
            if starts_at <= at:
                part = min(amount, total)
                self._slices[index] = (starts_at, total - part)
                self.total -= part
                return

    def wait_s(self, wanted: float, limit: float, now: float) -> float:
        """Return the seconds until `wanted` more fits the limit; 0.0 if it does now."""
        self._expire(now)
        excess = self.total + min(wanted, limit) - limit
        for starts_at, amount in self._slices:
            if excess <= 0:
                break
            excess -= amount
            if excess <= 0:
                return max(0.0, starts_at + SLICE_S + self.window_s - now)
        return 0.0

    def _expire(self, now: float) -> None:
        while self._slices and self._slices[0][0] + SLICE_S + self.window_s <= now:
            self.total -= self._slices.popleft()[1]


class Bucket(msgspec.Struct):
    """A token bucket that spending of peers may take below zero.

    `level` is what may be spent now, as of `updated_at`. The window of `recent` is 0.0 if limits
    have none. Until `unknown_until`, the spending within the window is not known, and the bucket
    refills at the bare rate. `overflow` is what could not be added because the bucket was full. It
    would have been room for what peers spent meanwhile, had that been known in time. `reset_at` is
    when the level was last reset.
    """

    rate_per_s: float
    burst: float
    level: float
    updated_at: float
    recent: RecentSpending
    unknown_until: float = 0.0
    overflow: RecentSpending = msgspec.field(default_factory=lambda: RecentSpending(MAX_LATE_S))
    reset_at: float = -inf

    @property
    def fill_per_s(self) -> float:
        """Return the refill per second once all spending within the window is known."""
        window_s = self.recent.window_s
        return self.rate_per_s + self.burst / window_s if window_s > 0 else self.rate_per_s

    def refill(self, now: float) -> None:
        """Add what accrued since the last update."""
        unknown_s = max(0.0, min(now, self.unknown_until) - self.updated_at)
        gained = unknown_s * self.rate_per_s + (now - self.updated_at - unknown_s) * self.fill_per_s
        level = self.level + gained
        if level > self.burst:
            self.overflow.add(level - self.burst, now)
        self.level = min(self.burst, level)
        self.updated_at = now

    def reset(self, max_level: float, now: float) -> None:
        """Cap the level at `max_level`, since the recent spending of peers is not known."""
        self.refill(now)
        self.level = min(self.level, max_level)
        self.unknown_until = now + self.recent.window_s
        self.reset_at = now

    def debit(self, amount: float, over_s: float = 0.0) -> None:
        """Subtract what was spent at a peer within the last `over_s` seconds."""
        now = self.updated_at
        room = 0.0
        if over_s > LATE_S:
            room = self.overflow.take_since(
                min(amount, over_s * self.fill_per_s), now - over_s, now
            )
        self.level = max(self.level - (amount - room), -MAX_DEBT_S * self.rate_per_s)
        # The peer may have spent it just now, so that it counts for the whole window to come.
        self.recent.add(amount, now)

    def refund(self, amount: float, at: float, now: float) -> None:
        """Add what was taken at a time. A level that was reset since then was not lowered by it."""
        self.refill(now)
        if at >= self.reset_at:
            self.level = min(self.burst, self.level + amount)
        self.recent.remove(amount, at, now)

    def take(self, amount: float, now: float) -> float:
        """Take an amount; return 0.0, or the seconds until it is available."""
        self.refill(now)
        missing = min(amount, self.burst) - self.level
        fill_per_s = self.rate_per_s if now < self.unknown_until else self.fill_per_s
        wait_s = max(0.0, missing) / fill_per_s
        window_s = self.recent.window_s
        if window_s > 0:
            limit = self.rate_per_s * window_s + self.burst
            wait_s = max(wait_s, self.recent.wait_s(amount, limit, now))
        if wait_s > 0:
            return wait_s
        self.level -= amount
        self.recent.add(amount, now)
        return 0.0


class Charge(msgspec.Struct):
    """An amount charged to an account's limit at this node, at a time.

    `published` is set once it counts in what peers are told, and `refunded` once it was taken back.
    """

    account: str
    amount: float
    at: float
    published: bool = False
    refunded: bool = False


class AccountLimits:
    """Token buckets of all accounts, and what this incarnation of the node has spent of each.

    `window_s` is the period in which an account may use its burst once more; with 0.0 only the rate
    counts. `tolerance` is how far limits may be exceeded in it, and `starting_nodes` returns how
    many nodes may be starting to serve at the same time. `first_start` is set when the whole system
    starts for the first time. `refunds` counts the charges that were taken back.
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
        self.refunds = 0
        self._buckets: dict[str, Bucket] = {}

    def configure(self, accounts: Iterable[Account], now: float) -> None:
        """Create a bucket for each account, so that spending of peers counts from now on."""
        for account in accounts:
            if account.rate_per_s > 0:
                self._bucket(account, now)

    def take(self, account: Account, amount: float, now: float) -> float:
        """Take an amount; return 0.0, or the seconds until it is available."""
        charged = self.charge(account, amount, now)
        if isinstance(charged, Err):
            return charged.err_value
        self.publish(charged.ok_value, now)
        return 0.0

    def charge(self, account: Account, amount: float, now: float) -> Result[Charge, float]:
        """Charge an amount at this node only; the error is the seconds until it is available.

        The charge must be published or refunded soon, since peers don't know of it.
        """
        if account.rate_per_s <= 0:
            return Ok(Charge(account.name, 0.0, now, published=True))
        wait_s = self._bucket(account, now).take(amount, now)
        return Err(wait_s) if wait_s > 0 else Ok(Charge(account.name, amount, now))

    def publish(self, charge: Charge, now: float) -> None:
        """Tell peers of a charge from now on; its window begins now."""
        if charge.published or charge.refunded:
            return
        charge.published = True
        self.spent[charge.account] = self.spent.get(charge.account, 0.0) + charge.amount
        bucket = self._buckets.get(charge.account)
        if bucket is not None and now > charge.at:
            bucket.recent.remove(charge.amount, charge.at, now)
            bucket.recent.add(charge.amount, now)
            charge.at = now

    def refund(self, charge: Charge, now: float) -> None:
        """Take back the charge of a request that did not run and never will."""
        bucket = self._buckets.get(charge.account)
        if bucket is None or charge.refunded or not charge.amount:
            return
        charge.refunded = True
        self.refunds += 1
        bucket.refund(charge.amount, charge.at, now)

    def reset(self, accounts: Iterable[Account], now: float) -> None:
        """Reset all buckets after a period without updates on the spending of peers."""
        for account in accounts:
            bucket = self._buckets.get(account.name)
            if bucket is not None:
                bucket.reset(self._start_level(account), now)

    def _start_level(self, account: Account) -> float:
        """Return the level of a bucket when its node starts and cannot know what was spent.

        If the limit is small against its tolerance this is the whole burst: a single prompt may
        take that much, and a lower level would have it refused for a second or more after a start.
        """
        burst = burst_of(account)
        if self._window_s <= 0:
            return START_BURST_SHARE * burst
        if self._tolerance is None:
            return WINDOW_START_BURST_SHARE * burst
        total = START_TOLERANCE_SHARE * self._tolerance.allowance_for(account, self._window_s)
        return min(burst, total / max(1, self._starting_nodes()))

    def level(self, account: Account, now: float) -> float:
        """Return what is left of an account's limit."""
        bucket = self._bucket(account, now)
        bucket.refill(now)
        return bucket.level

    def record_peer_spending(
        self, before: dict[str, float], after: dict[str, float], now: float, over_s: float = 0.0
    ) -> None:
        """Subtract what a peer has spent between two of its states, received `over_s` apart."""
        for name, amount in after.items():
            spent = amount - before.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None and spent > 0:
                bucket.refill(now)
                bucket.debit(spent, over_s)

    def _bucket(self, account: Account, now: float) -> Bucket:
        burst = burst_of(account)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            recent = RecentSpending(self._window_s)
            bucket = Bucket(account.rate_per_s, burst, burst, now, recent)
            if not self._first_start:
                bucket.reset(self._start_level(account), now)
            self._buckets[account.name] = bucket
        elif bucket.rate_per_s != account.rate_per_s or bucket.burst != burst:
            bucket.refill(now)
            bucket.rate_per_s, bucket.burst = account.rate_per_s, burst
            bucket.level = min(bucket.level, burst)
        return bucket
