"""Permits to send to a server that names a limit of requests from all nodes together.

One node grants for each such server, drawn by a hash that is the same at all nodes, so the sum is
kept wherever requests come in. A node asks it before each send; one that is turned away gives the
server no work until the time it was told. Nobody grants for a node that can't be reached: the
server gets nothing from it for a moment, and another node is drawn once the silent one is missed.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import msgspec
from cachetools import LRUCache

from moledale.clock import monotonic
from moledale.core.hashing import first_ranked
from moledale.core.pacing import Pacer, SlotReservation
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.peers import NodeState
from moledale.gateway.server_view import ServerView

PERMIT_TIMEOUT_S = 0.08
"""Wait for a node that grants: the way to another region and back, and a few turns of its loop."""

SILENT_GRANTOR_PAUSE_S = 0.3
"""A server whose granting node is silent gets nothing for so long: a round of news and more."""

BATCH_S = 0.02
"""Permits of so much time are asked for at once, so that high limits don't cost a question each."""

PERMIT_TTL_S = 0.2
"""Permits that were not used for so long are void: the server was idle for them."""

MAX_PACED_SERVERS = 2_048
"""Servers that one node grants for, about twice as many as a large deployment has."""


LimitLookup = Callable[[str, float], float | None]
"""Returns a server's limit, None if it names none any more; the number is for one not listed."""


class PermitAsk(msgspec.Struct, array_like=True, tag="ask-permit"):
    """A node asks for permits; `per_s` is the limit as it knows it, heard `age_s` ago.

    The answer goes to `peer` with the same `serial`. The first permit may come `most_wait_s` later.
    """

    peer: str
    serial: int
    server: str
    per_s: float
    age_s: float
    number: int = 1
    most_wait_s: float = 0.0


class PermitAnswer(msgspec.Struct, array_like=True, tag="permit"):
    """How many permits are granted from `wait_s` on; if none, when to ask again."""

    serial: int
    number: int
    wait_s: float


class UnusedPermits(msgspec.Struct):
    """Permits that were asked for together and not used yet, for a limit of `per_s`."""

    number: int
    expires_at: float
    per_s: float


class PermitCounts(msgspec.Struct):
    """Permits of a server that were asked for and granted since this was told last."""

    asked: int = 0
    granted: int = 0


class PermitIssuer:
    """Grants permits for servers that this node is drawn for.

    `limit_of` returns a server's limit as it is known here, of one that isn't known what is asked
    for. `share` is the part of the nodes that serve which this one hears: those that it doesn't may
    be cut off and have a node that grants among them.
    """

    def __init__(self, limit_of: LimitLookup) -> None:
        self.reachable_share = 1.0
        self._limit_of = limit_of
        self._pacers: LRUCache[str, Pacer] = LRUCache(MAX_PACED_SERVERS)
        self._counts: dict[str, PermitCounts] = {}

    def reserve(
        self, server: str, reported_per_s: float, number: int, max_wait_s: float, now: float
    ) -> SlotReservation:
        """Grant permits, or say when to ask again; all are granted where the limit has ended.

        `reported_per_s` is the limit as the node that asks knows it.
        """
        limit_per_s = self._limit_of(server, reported_per_s)
        if limit_per_s is None:
            self._pacers.pop(server, None)
            return SlotReservation(True, 0.0)
        rate = limit_per_s * self.reachable_share
        pacer = self._pacers.get(server)
        if pacer is None:
            pacer = self._pacers[server] = Pacer.without_credit(rate, now)
        pacer.set_rate(rate, now)
        reservation = pacer.take(now, max_wait_s, number)
        counts = self._counts.setdefault(server, PermitCounts())
        counts.asked += number
        counts.granted += number if reservation.granted else 0
        return reservation

    def take_counts(self) -> dict[str, PermitCounts]:
        """Return what was counted since the last call, by server."""
        counts, self._counts = self._counts, {}
        return counts

    def record_unpermitted(self, server: str, now: float) -> None:
        """Count a request that a node sent without asking, as builds do that know no limits."""
        pacer = self._pacers.get(server)
        if pacer is not None:
            pacer.record_external(now)


class GrantorSelector:
    """Draws the node that grants for a server, among those that serve, its hall's first.

    Nodes whose state says nothing of limits don't grant.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._peers: dict[str, str] = {}
        self._halls: dict[str, str] = {}
        self._selected: dict[str, str] = {}

    def refresh(self, own_hall: str, serving: bool, alive: Iterable[NodeState]) -> None:
        """Take over which nodes serve."""
        may = [each for each in alive if each.serving and each.limits is not None]
        peers = {each.id: each.peer for each in may}
        halls = {each.id: each.hall for each in may}
        if serving or not halls:
            halls[self._own_id] = own_hall
        if peers != self._peers or halls != self._halls:
            self._peers, self._halls, self._selected = peers, halls, {}

    def address(self, view: ServerView) -> str | None:
        """Return where to ask for a server, None if this node grants."""
        name = self._selected.get(view.server.id)
        if name is None:
            name = self._select(view)
            self._selected[view.server.id] = name
        return self._peers.get(name)

    def _select(self, view: ServerView) -> str:
        near = [name for name, hall in self._halls.items() if hall == view.server.hall]
        return first_ranked(view.server.id, near or self._halls) or self._own_id


class PermitClient:
    """Asks for permits, for all requests of a node; `send` sends a question to an address."""

    def __init__(
        self,
        issuer: PermitIssuer,
        grantors: GrantorSelector,
        own_peer: str = "",
        send: Callable[[PermitAsk, str], None] = lambda _ask, _address: None,
        now: Callable[[], float] = monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._issuer = issuer
        self._grantors = grantors
        self._own_peer = own_peer
        self._send = send
        self._now = now
        self._sleep = sleep
        self._serial = 0
        self._pending: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._unused: LRUCache[str, UnusedPermits] = LRUCache(MAX_PACED_SERVERS)

    async def take(
        self, view: ServerView, max_wait_s: float = 0.0, timeout_s: float = PERMIT_TIMEOUT_S
    ) -> bool:
        """Return whether a request may be sent to a server now, after a wait of its turn at most.

        While a question is under way, no other request of this node chooses the server.
        """
        limit = view.limit_per_s
        if limit is None or self._take_unused(view.server.id, limit):
            return True
        # What is granted for a later moment would be used before it by those that don't wait.
        number = 1 if max_wait_s else max(1, int(limit * BATCH_S))
        asked_at = self._now()
        view.hold_until(asked_at + timeout_s)
        answer = await self._ask(view, limit, number, max_wait_s, timeout_s)
        now = self._now()
        if answer is None:
            view.hold_until(now + SILENT_GRANTOR_PAUSE_S)
            return False
        if not answer.number:
            view.hold_until(now + answer.wait_s)
            return False
        if answer.number > 1:
            self._unused[view.server.id] = UnusedPermits(
                answer.number - 1, now + PERMIT_TTL_S, limit
            )
        view.hold_until(0.0)
        if answer.wait_s > 0:
            await self._sleep(answer.wait_s)
        return True

    def on_answer(self, answer: PermitAnswer) -> None:
        """Take over an answer; one that comes too late is void."""
        future = self._pending.get(answer.serial)
        if future is not None and not future.done():
            future.set_result(answer)

    def grant(self, ask: PermitAsk) -> PermitAnswer:
        """Answer another node's question."""
        reservation = self._issuer.reserve(
            ask.server, ask.per_s, ask.number, ask.most_wait_s, self._now()
        )
        number = ask.number if reservation.granted else 0
        return PermitAnswer(ask.serial, number, reservation.wait_s)

    def _take_unused(self, server: str, limit_per_s: float) -> bool:
        left = self._unused.get(server)
        if left is None:
            return False
        left.number -= 1
        if left.number <= 0 or left.expires_at < self._now() or left.per_s != limit_per_s:
            del self._unused[server]
        return left.expires_at >= self._now() and left.per_s == limit_per_s

    async def _ask(
        self, view: ServerView, limit: float, number: int, max_wait_s: float, timeout_s: float
    ) -> PermitAnswer | None:
        now = self._now()
        self._serial += 1
        age_s = now - view.standing.limit.observed_at
        ask = PermitAsk(
            self._own_peer, self._serial, view.server.id, limit, age_s, number, max_wait_s
        )
        address = self._grantors.address(view)
        if address is None:
            return self.grant(ask)
        future: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._pending[ask.serial] = future
        self._send(ask, address)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending[ask.serial]


def standalone_permit_client(balancer: LoadBalancer, now: Callable[[], float]) -> PermitClient:
    """Return permits of a node that knows of no other one."""
    return PermitClient(PermitIssuer(limit_lookup(balancer)), GrantorSelector(""), now=now)


def limit_lookup(balancer: LoadBalancer) -> LimitLookup:
    """Return what tells limits as a node's book has them."""

    def limit_of(server: str, reported_per_s: float) -> float | None:
        view = balancer.views.get(server)
        return view.limit_per_s if view is not None else reported_per_s

    return limit_of
