"""How nodes keep together the limits that servers name: who grants, and what nodes tell of them."""

from collections.abc import Callable

from moledale.clock import monotonic
from moledale.gateway.balance import ServerBook
from moledale.gateway.gossip import PlacementNews
from moledale.gateway.peers import Membership, NodeState
from moledale.gateway.permits import Grantors, PermitAnswer, PermitAsk, PermitDesk, Permits
from moledale.gateway.stated_limit import LimitNews


class LimitSharing:
    """A node's part in limits that hold for all nodes; `tell` sends a message to an address."""

    def __init__(
        self,
        own_id: str,
        own_hall: str,
        own_peer: str,
        book: ServerBook,
        members: Membership,
        tell: Callable[[PermitAsk | PermitAnswer, str], None],
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._own_hall = own_hall
        self._book = book
        self._members = members
        self._tell = tell
        self._now = now
        self._grantors = Grantors(own_id)
        self._desk = PermitDesk(self._limit_of, lambda: members.heard_share(now()))
        self.permits = Permits(self._desk, self._grantors, own_peer, tell, now)

    def _limit_of(self, server: str) -> float | None:
        view = self._book.views.get(server)
        return view.limit_per_s if view is not None else None

    def renew(self, serving: bool) -> None:
        """Take over which nodes serve; once a round is enough."""
        self._grantors.renew(self._own_hall, serving, self._members.alive(self._now()))

    def heard(self, message: PermitAsk | PermitAnswer) -> None:
        """Answer a question of another node, or take over an answer to one of this node."""
        if isinstance(message, PermitAnswer):
            self.permits.answered(message)
            return
        # The node that asks may have heard the limit a moment before its state tells it.
        asked_by = LimitNews(message.per_s, message.age_s)
        self._book.notices.peer_limits({message.server: asked_by}, message.peer, self._now())
        self._tell(self.permits.grant(message), message.peer)

    def heard_state(self, state: NodeState) -> None:
        """Take over the limits that a node heard itself."""
        if state.limits:
            self._book.notices.peer_limits(state.limits, state.id, self._now())

    def heard_placed(self, news: PlacementNews) -> None:
        """Count what a build that knows no limits sent to servers that this node grants for."""
        state = self._members.life_of(news.id, news.life, news.sequence)
        if state is None or state.limits is not None:
            return
        for each in news.placed:
            self._desk.spent_elsewhere(each.server, self._now())
