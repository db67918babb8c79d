"""Client accounts: lookup by API key, and rate limiting on this node."""

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from moledale import problems
from moledale.bundle.schema import Account, Bundle, key_digest
from moledale.clock import Clock
from moledale.core.limits import TokenBucket, node_rate
from moledale.problems import Problem

DEMAND_HALF_LIFE_S = 5.0
"""Half-life of the moving average of an account's request rate."""

PEER_DEMAND_TTL_S = 20.0
"""Age after which a peer's reported demand no longer counts."""


@dataclass(slots=True)
class _AccountState:
    """An account's token bucket on this node, and its mean requests per second at `updated_at`."""

    bucket: TokenBucket
    demand: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True)
class _PeerDemand:
    """The requests per second by account that a peer reported, and when the report arrived."""

    updated_at: float
    demand: dict[str, float] = field(default_factory=dict)


class Accounts:
    """Finds accounts by key and enforces this node's share of their rate limits."""

    def __init__(
        self, bundle: Callable[[], Bundle | None], node_count: Callable[[], int], clock: Clock
    ) -> None:
        self._bundle = bundle
        self._node_count = node_count
        self._clock = clock
        self._states: dict[str, _AccountState] = {}
        self._demand_by_peer: dict[str, _PeerDemand] = {}
        self._by_digest: dict[str, Account] = {}
        self._indexed_version = 0

    def find(self, key: str) -> Account | None:
        """Return the account that an API key belongs to, or None."""
        bundle = self._bundle()
        if bundle is None:
            return None
        if bundle.version != self._indexed_version:
            self._by_digest = {d: a for a in bundle.accounts for d in a.key_digests}
            self._indexed_version = bundle.version
            names = {account.name for account in bundle.accounts}
            self._states = {name: state for name, state in self._states.items() if name in names}
        return self._by_digest.get(key_digest(key))

    def admit(self, account: Account) -> Result[None, Problem]:
        """Charge one request to the account, or return a problem if it is over its limit."""
        now = self._clock.monotonic()
        state = self._states.get(account.name)
        if state is None:
            bucket = TokenBucket(account.requests_per_s, account.burst, account.burst, now)
            state = _AccountState(bucket, updated_at=now)
            self._states[account.name] = state
        state.demand = _decayed(state.demand, now - state.updated_at) + 1.0 / DEMAND_HALF_LIFE_S
        state.updated_at = now
        share = node_rate(
            account.requests_per_s,
            state.demand,
            self._peer_demands(account.name),
            self._node_count(),
        )
        state.bucket.set_rate(share, max(1.0, account.burst * share / account.requests_per_s), now)
        wait = state.bucket.take(now)
        if wait <= 0:
            return Ok(None)
        detail = f"account {account.name!r} is over {account.requests_per_s:g} requests a second"
        return Err(problems.limited(detail, max(1, round(wait))))

    def demand(self) -> dict[str, float]:
        """Return the recent requests per second of each account, for the gossip digest."""
        now = self._clock.monotonic()
        demand = {
            name: _decayed(state.demand, now - state.updated_at)
            for name, state in self._states.items()
        }
        return {name: round(value, 2) for name, value in demand.items() if value >= 0.01}

    def record_peer_demand(self, peer: str, demand: dict[str, float]) -> None:
        """Store the demand by account that a peer reported."""
        self._demand_by_peer[peer] = _PeerDemand(self._clock.monotonic(), demand)

    def _peer_demands(self, account: str) -> list[float]:
        oldest = self._clock.monotonic() - PEER_DEMAND_TTL_S
        self._demand_by_peer = {
            name: peer for name, peer in self._demand_by_peer.items() if peer.updated_at >= oldest
        }
        return [peer.demand.get(account, 0.0) for peer in self._demand_by_peer.values()]


def _decayed(value: float, seconds: float) -> float:
    return float(value * 0.5 ** (max(0.0, seconds) / DEMAND_HALF_LIFE_S))
