"""Limits of client accounts, kept over all nodes.

Each node keeps the bucket of the whole system: it takes what it admits itself at once, and what
others admitted when they tell of it. So a limit is exceeded by what is admitted within one round
of news at most, unused share needs no moving, and a node that starts anew does not begin with a
full bucket.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from moledale.gateway.plan import Account

START_SHARE = 0.4
"""Part of the burst that a bucket holds when its node starts and can't know what was spent.

When the whole system starts for the first time nothing was, so buckets are full.
"""

MOST_DEBT_S = 4.0
"""What others spent beyond the limit holds requests back for at most this long."""


@dataclass(slots=True)
class Bucket:
    """A bucket that others may draw below zero."""

    rate: float
    burst: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Add what has come since the last time."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def draw(self, amount: float) -> None:
        """Take what was spent elsewhere."""
        self.level = max(self.level - amount, -MOST_DEBT_S * self.rate)


class AccountLimits:
    """Buckets of all accounts, and how much this life of the node has spent of each."""

    def __init__(self, start_share: float = START_SHARE) -> None:
        self._start_share = start_share
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
        bucket = self._bucket(account, now)
        bucket.refill(now)
        wanted = min(amount, account.burst or amount)
        if bucket.level < wanted:
            return (wanted - bucket.level) / account.rate_per_s
        bucket.level -= amount
        self.spent[account.name] = self.spent.get(account.name, 0.0) + amount
        return 0.0

    def level(self, account: Account, now: float) -> float:
        """Return what is left of an account's limit."""
        bucket = self._bucket(account, now)
        bucket.refill(now)
        return bucket.level

    def spent_elsewhere(self, before: dict[str, float], after: dict[str, float]) -> None:
        """Take what another node has spent between two of its states."""
        for name, amount in after.items():
            more = amount - before.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None and more > 0:
                bucket.draw(more)

    def _bucket(self, account: Account, now: float) -> Bucket:
        burst = account.burst or account.rate_per_s
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = Bucket(account.rate_per_s, burst, burst * self._start_share, now)
            self._buckets[account.name] = bucket
        elif bucket.rate != account.rate_per_s or bucket.burst != burst:
            bucket.refill(now)
            bucket.rate, bucket.burst = account.rate_per_s, burst
            bucket.level = min(bucket.level, burst)
        return bucket
