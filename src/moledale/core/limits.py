"""Account rates shared between nodes, and a budget that limits retries."""

from collections.abc import Iterable
from dataclasses import dataclass

FLOOR_SHARE = 0.25
"""Part of an equal share that a node keeps even without demand."""

MIN_TOTAL_DEMAND = 1e-6
"""Total demand below which shares by demand would be rounding errors."""


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: `rate` tokens per second, at most `burst` at once."""

    rate: float
    burst: float
    level: float
    updated_at: float

    def take(self, now: float) -> float:
        """Take one token; return 0.0, or the seconds until one is available."""
        self.level = min(self.burst, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.rate if self.rate > 0 else float("inf")

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; the tokens in the bucket stay, up to the new burst."""
        self.level = min(burst, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now
        self.rate = rate
        self.burst = burst


def node_rate(rate: float, own_demand: float, peer_demands: Iterable[float], nodes: int) -> float:
    """Return this node's part of an account's rate, in requests per second.

    Each node keeps a minimum; the rest is divided by demand, so that what one node doesn't use is
    available to others. Peers without a recent report count as nodes without demand.
    """
    nodes = max(1, nodes)
    floor = rate * FLOOR_SHARE / nodes
    total = own_demand + sum(peer_demands)
    if total < MIN_TOTAL_DEMAND:
        return rate / nodes
    return floor + (rate - floor * nodes) * own_demand / total


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a share of requests: each request adds `share`, each retry costs one."""

    share: float = 0.2
    max_level: float = 20.0
    level: float = 20.0

    def record_request(self) -> None:
        """Add `share` to the budget for a request, up to `max_level`."""
        self.level = min(self.max_level, self.level + self.share)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
