"""A node's part in keeping the limits that servers state for all nodes together."""

from collections.abc import Callable

from moledale.clock import monotonic
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.gossip import PlacementNews
from moledale.gateway.peers import Membership, NodeState
from moledale.gateway.permits import (
    GrantorSelector,
    PermitAnswer,
    PermitAsk,
    PermitClient,
    PermitIssuer,
    limit_lookup,
)
from moledale.gateway.stated_limit import LimitNews
from moledale.log import Event, emit

LOG_INTERVAL_S = 5.0
"""Interval between two log lines on the permits of a server."""

MAX_LOGGED_SERVERS = 32
"""Maximum servers whose permits are logged at a time, those with the most requests for permits."""


class LimitSharing:
    """Issues and requests permits, and exchanges limits with other nodes.

    `send` sends a message to an address.
    """

    def __init__(
        self,
        own_id: str,
        own_hall: str,
        own_peer_address: str,
        balancer: LoadBalancer,
        members: Membership,
        send: Callable[[PermitAsk | PermitAnswer, str], None],
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._own_hall = own_hall
        self._balancer = balancer
        self._members = members
        self._send = send
        self._now = now
        self._logged_at = now()
        self._grantors = GrantorSelector(own_id)
        self._issuer = PermitIssuer(limit_lookup(balancer))
        self.permits = PermitClient(self._issuer, self._grantors, own_peer_address, send, now)

    def refresh(self, serving: bool) -> None:
        """Update which nodes may grant permits; called once per gossip round."""
        now = self._now()
        self._grantors.refresh(self._own_hall, serving, self._members.alive(now))
        self._issuer.reachable_share = self._members.reachable_share(now)
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._log_counts(now - self._logged_at)
            self._logged_at = now

    def _log_counts(self, seconds: float) -> None:
        """Log how many permits were requested from this node and granted in the last `seconds`."""
        counts = self._issuer.take_counts()
        busiest = sorted(counts, key=lambda server: -counts[server].asked)[:MAX_LOGGED_SERVERS]
        for server in busiest:
            view = self._balancer.views.get(server)
            emit(
                Event.PERMITS,
                server=server,
                limit_per_s=view.limit_per_s if view is not None else None,
                asked=counts[server].asked,
                granted=counts[server].granted,
                seconds=round(seconds, 1),
            )

    def on_message(self, message: PermitAsk | PermitAnswer) -> None:
        """Answer another node's request for permits, or handle the answer to one of this node."""
        if isinstance(message, PermitAnswer):
            self.permits.on_answer(message)
            return
        # The asking node may have observed the limit a moment before its state is broadcast.
        reported = LimitNews(message.per_s, message.age_s)
        self._balancer.notices.merge_peer_limits(
            {message.server: reported}, message.peer, self._now()
        )
        self._send(self.permits.grant(message), message.peer)

    def on_state(self, state: NodeState) -> None:
        """Merge the limits in a peer's state, which that peer observed itself."""
        if state.limits:
            self._balancer.notices.merge_peer_limits(state.limits, state.id, self._now())

    def on_placed(self, placements: PlacementNews) -> None:
        """Count requests that a peer sent without permits, since its build has no limits.

        Only servers that this node issues permits for are affected.
        """
        state = self._members.state_of(placements.id, placements.life, placements.sequence)
        if state is None or state.limits is not None:
            return
        for each in placements.placed:
            self._issuer.record_unpermitted(each.server, self._now())
