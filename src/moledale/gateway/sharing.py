"""Counters and clocks that nodes share: this node's own ones and those received from peers."""

import time
from collections.abc import Callable
from math import inf

from moledale.clock import monotonic
from moledale.gateway.accounts import AccountLimits, Tolerance
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.gossip import PlacementNews
from moledale.gateway.peers import Membership, NodeState
from moledale.gateway.plan import Engine, PlanIndex
from moledale.gateway.retries import RetryBudget
from moledale.gateway.settings import Bounds
from moledale.gateway.usage import TrueTime, UsageCounts
from moledale.log import Event, emit
from moledale.scheduling.fair_shares import FairShares, Report, Shares

EngineOf = Callable[[str], Engine | None]
"""Returns the engine that a server runs, None for a plain server."""

SHARES_LOG_INTERVAL_S = 5.0
"""Interval between two log lines on fair shares while capacity is short."""

MAX_LOGGED_ACCOUNTS = 8
"""Accounts above their share in a log line, those furthest above it."""


def _no_service(_service: str) -> bool:
    """Count the work of no service."""
    return False


class Sharing:
    """Holds usage, retry budgets and true time of this node, and merges the states of its peers.

    `has_fair_shares` returns whether work at a service is divided fairly between client accounts.
    """

    def __init__(
        self,
        members: Membership,
        bounds: Bounds,
        now: Callable[[], float] = monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.members = members
        self.usage = UsageCounts(bounds.usage_window_s)
        self.true_time = TrueTime()
        self.shares = FairShares()
        self.has_fair_shares: Callable[[str], bool] = _no_service
        self._shares_index: PlanIndex | None = None
        self._shares_logged_at = -inf
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}
        self._now = now
        self._wall = wall

    @property
    def limit_window_s(self) -> float:
        """Return the length of the window over which account limits apply."""
        return self._bounds.limit_window_s

    @property
    def leave_s(self) -> float:
        """Return the minimum time for which a server still serves after it announced to leave."""
        return self._bounds.leave_s

    @property
    def limit_tolerance(self) -> Tolerance | None:
        """Return by how much limits may be exceeded in a window, None if no tolerance is set."""
        bounds = self._bounds
        if not bounds.limit_share and not bounds.limit_tokens:
            return None
        return Tolerance(bounds.limit_share, bounds.limit_tokens)

    def record_started(self, account: str) -> None:
        """Count a request of an account that began to run."""
        self.usage.count(account, self.time())

    def time(self) -> float:
        """Return the time that all nodes agree on (see `TrueTime`), in seconds since the epoch."""
        return self.true_time.now(self._wall(), self._now())

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._budget(service).record_request(now)

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry: a send of a request after its first one."""
        self._budget(service).record_retry(now)

    def may_retry(self, service: str, now: float) -> bool:
        """Return whether the retry budget shared by all nodes allows one more retry."""
        alive = self.members.alive(now)
        peers = [state.sends[service] for state in alive if service in state.sends]
        return self._budget(service).allows(now, peers, len(alive) + 1)

    def requests_per_s(self, service: str, now: float) -> float:
        """Return the rate of requests for a service at all nodes, over the retry window."""
        at_peers = [state.sends.get(service, (0, 0))[0] for state in self.members.alive(now)]
        return (self._budget(service).counts(now)[0] + sum(at_peers)) / self._bounds.retry_window_s

    def sends(self, now: float) -> dict[str, tuple[int, int]]:
        """Return requests and retries within the retry window, by service."""
        return {service: budget.counts(now) for service, budget in self._budgets.items()}

    def offset_s(self) -> float | None:
        """Return how far this machine's time of day is ahead of the store's clock."""
        return self.true_time.offset_s(self._wall(), self._now())

    def record_offered(self, service: str, account: str | None, tokens: int) -> None:
        """Count the tokens of an admitted request towards its account's work."""
        if self.has_fair_shares(service):
            self.shares.count_offered(account, tokens, self._now())

    def record_placed(self, service: str, account: str | None, tokens: int) -> None:
        """Count the tokens of a request that is sent to a server for the first time."""
        if self.has_fair_shares(service):
            self.shares.count_placed(account, tokens, self._now())

    def shares_report(self) -> Report:
        """Return the work of accounts at this node, to send to peers."""
        return self.shares.report(self._now())

    def update_shares(self, index: PlanIndex | None) -> None:
        """Take weights from a new plan, and log shares at intervals while capacity is short.

        Called once per gossip round.
        """
        if index is not None and index is not self._shares_index:
            self._shares_index = index
            self.shares.configure(index.plan.accounts)
        now = self._now()
        if now - self._shares_logged_at < SHARES_LOG_INTERVAL_S:
            return
        shares = self.shares.shares(now)
        if shares.is_short:
            self._shares_logged_at = now
            self._log_shares(shares, now)

    def _log_shares(self, shares: Shares, now: float) -> None:
        above = list(self.shares.above_share(now).items())[:MAX_LOGGED_ACCOUNTS]
        emit(
            Event.SHARES_SHORT,
            offered_per_s=round(sum(shares.offered.values())),
            placed_per_s=round(sum(shares.placed.values())),
            accounts=len(shares.offered),
            above={name: round(excess, 2) for name, excess in above},
        )

    def merge_state(self, state: NodeState, limits: AccountLimits) -> bool:
        """Merge a peer's state and its spending; return whether the state was new."""
        now = self._now()
        known = self.members.members.get(state.id)
        silent_s = now - known.received_at if known is not None else 0.0
        before = self.members.merge(state, now)
        if before is None:
            return False
        if state.shares is not None:
            self.shares.record_peer(state.id, state.shares, now)
        if before is state:
            # All that an incarnation younger than the window has spent belongs to the window.
            if state.age_s < self._bounds.limit_window_s:
                limits.record_peer_spending({}, state.spent, now)
        else:
            limits.record_peer_spending(before.spent, state.spent, now, silent_s)
        return True

    def apply_peers(self, balancer: LoadBalancer) -> None:
        """Apply clock offsets and server states of live peers; called once per gossip round."""
        alive = self.members.alive(self._now())
        self.true_time.set_peer_offsets(each.offset_s for each in alive)
        balancer.apply_peer_states(alive)
        balancer.refresh_server_speeds(alive, self._now())

    def apply_placements(
        self, message: PlacementNews, balancer: LoadBalancer, engine: EngineOf
    ) -> None:
        """Apply a peer's placements since its last full state."""
        state = self.members.state_of(message.id, message.life, message.sequence)
        if state is None:
            return
        for each in message.placed:
            balancer.apply_peer_placement(
                state.id, state.loads, each, engine(each.server), state.claims
            )

    def _budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created at its first use."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
            self._budgets[service] = budget
        return budget
