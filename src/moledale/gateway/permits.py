"""Permits to send requests to servers that state a rate limit shared by all nodes.

For each such server one node, the grantor, issues the permits. It is selected by a hash that is the
same on all nodes, so the limit is kept whichever nodes receive the requests. A node asks the
grantor before each send; if that refuses, the node sends the server nothing until the stated time.
If the grantor can't be reached, no other node replaces it at once: the asking node pauses the
server briefly, and another grantor is selected once the silent one is no longer considered alive.
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
"""Timeout for the grantor's answer: a round trip to another region and a few iterations of its
event loop."""

SILENT_GRANTOR_PAUSE_S = 0.3
"""Time that a server is on hold if its grantor did not answer: more than one gossip round."""

BATCH_S = 0.02
"""Permits for this much time are requested at once, so that high limits don't cost a call per
request."""

PERMIT_TTL_S = 0.2
"""Unused permits expire after this time, since the server was idle meanwhile."""

MAX_PACED_SERVERS = 2_048
"""Maximum servers that one node issues permits for, about twice as many as a large deployment
has."""


LimitLookup = Callable[[str, float], float | None]
"""Returns the limit of the server with this id, or None if it states none any more. For a server
that is not listed, the second argument is returned."""


class PermitAsk(msgspec.Struct, array_like=True, tag="ask-permit"):
    """A request for permits; `per_s` is the limit as the sender observed it `age_s` ago.

    The answer goes to the address `peer` with the same `serial`. The first permit may become valid
    up to `most_wait_s` from now.
    """

    peer: str
    serial: int
    server: str
    per_s: float
    age_s: float
    number: int = 1
    most_wait_s: float = 0.0


class PermitAnswer(msgspec.Struct, array_like=True, tag="permit"):
    """How many permits are granted, valid after `wait_s`; if none, `wait_s` is when to ask
    again."""

    serial: int
    number: int
    wait_s: float


class UnusedPermits(msgspec.Struct):
    """Unused permits of one answer, which were granted under a limit of `per_s`."""

    number: int
    expires_at: float
    per_s: float


class PermitCounts(msgspec.Struct):
    """Permits for a server that were requested and granted since the counts were last taken."""

    asked: int = 0
    granted: int = 0


class PermitIssuer:
    """Issues permits for the servers that this node is the grantor of.

    `limit_of` returns a server's limit as known here, and for an unknown server the limit that the
    asking node reported. `reachable_share` is the share of serving nodes that are reachable from
    this one. The others may be cut off by a partition and have a grantor of their own, so only this
    share of a limit is granted.
    """

    def __init__(self, limit_of: LimitLookup) -> None:
        self.reachable_share = 1.0
        self._limit_of = limit_of
        self._pacers: LRUCache[str, Pacer] = LRUCache(MAX_PACED_SERVERS)
        self._counts: dict[str, PermitCounts] = {}

    def reserve(
        self, server: str, reported_per_s: float, number: int, max_wait_s: float, now: float
    ) -> SlotReservation:
        """Reserve permits, or return when to ask again.

        All are granted if the server has no limit any more. `reported_per_s` is the limit as the
        asking node knows it.
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
        """Return the counts by server since the last call."""
        counts, self._counts = self._counts, {}
        return counts

    def record_unpermitted(self, server: str, now: float) -> None:
        """Count a request that a node sent without a permit, as builds without limits do."""
        pacer = self._pacers.get(server)
        if pacer is not None:
            pacer.record_external(now)


class GrantorSelector:
    """Selects a server's grantor among the serving nodes, those of its hall first.

    Nodes whose state carries no limits run a build that can't grant permits.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._addresses: dict[str, str] = {}
        self._halls: dict[str, str] = {}
        self._selected: dict[str, str] = {}

    def refresh(self, own_hall: str, serving: bool, alive: Iterable[NodeState]) -> None:
        """Update which nodes may be selected; `serving` states whether this node serves."""
        eligible = [each for each in alive if each.serving and each.limits is not None]
        addresses = {each.id: each.peer for each in eligible}
        halls = {each.id: each.hall for each in eligible}
        if serving or not halls:
            halls[self._own_id] = own_hall
        if addresses != self._addresses or halls != self._halls:
            self._addresses, self._halls, self._selected = addresses, halls, {}

    def address(self, view: ServerView) -> str | None:
        """Return the address of a server's grantor, or None if this node is the grantor."""
        node = self._selected.get(view.server.id)
        if node is None:
            node = self._select(view)
            self._selected[view.server.id] = node
        return self._addresses.get(node)

    def _select(self, view: ServerView) -> str:
        same_hall = [name for name, hall in self._halls.items() if hall == view.server.hall]
        return first_ranked(view.server.id, same_hall or self._halls) or self._own_id


class PermitClient:
    """Requests permits for all requests of a node; `send` sends a message to an address."""

    def __init__(
        self,
        issuer: PermitIssuer,
        grantors: GrantorSelector,
        own_peer_address: str = "",
        send: Callable[[PermitAsk, str], None] = lambda _ask, _address: None,
        now: Callable[[], float] = monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._issuer = issuer
        self._grantors = grantors
        self._own_peer_address = own_peer_address
        self._send = send
        self._now = now
        self._sleep = sleep
        self._serial = 0
        self._pending: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._unused: LRUCache[str, UnusedPermits] = LRUCache(MAX_PACED_SERVERS)

    async def take(
        self, view: ServerView, max_wait_s: float = 0.0, timeout_s: float = PERMIT_TIMEOUT_S
    ) -> bool:
        """Get a permit for a request to a server; return whether it was granted and is valid now.

        `max_wait_s` is how long to wait until a permit becomes valid, and `timeout_s` how long for
        the grantor's answer. A server without a limit needs no permit.

        While the call is in flight, no other request of this node selects the server.
        """
        limit_per_s = view.limit_per_s
        if limit_per_s is None or self._take_unused(view.server.id, limit_per_s):
            return True
        # Requests that don't wait would use the rest of a batch before it becomes valid.
        number = 1 if max_wait_s else max(1, int(limit_per_s * BATCH_S))
        asked_at = self._now()
        view.hold_until(asked_at + timeout_s)
        answer = await self._ask(view, limit_per_s, number, max_wait_s, timeout_s)
        now = self._now()
        if answer is None:
            view.hold_until(now + SILENT_GRANTOR_PAUSE_S)
            return False
        if not answer.number:
            view.hold_until(now + answer.wait_s)
            return False
        if answer.number > 1:
            self._unused[view.server.id] = UnusedPermits(
                answer.number - 1, now + PERMIT_TTL_S, limit_per_s
            )
        view.hold_until(0.0)
        if answer.wait_s > 0:
            await self._sleep(answer.wait_s)
        return True

    def on_answer(self, answer: PermitAnswer) -> None:
        """Complete the call that an answer belongs to; an answer after the timeout is ignored."""
        future = self._pending.get(answer.serial)
        if future is not None and not future.done():
            future.set_result(answer)

    def grant(self, ask: PermitAsk) -> PermitAnswer:
        """Answer a request for permits as the grantor."""
        reservation = self._issuer.reserve(
            ask.server, ask.per_s, ask.number, ask.most_wait_s, self._now()
        )
        number = ask.number if reservation.granted else 0
        return PermitAnswer(ask.serial, number, reservation.wait_s)

    def _take_unused(self, server: str, limit_per_s: float) -> bool:
        unused = self._unused.get(server)
        if unused is None:
            return False
        unused.number -= 1
        if unused.number <= 0 or unused.expires_at < self._now() or unused.per_s != limit_per_s:
            del self._unused[server]
        return unused.expires_at >= self._now() and unused.per_s == limit_per_s

    async def _ask(
        self, view: ServerView, limit_per_s: float, number: int, max_wait_s: float, timeout_s: float
    ) -> PermitAnswer | None:
        now = self._now()
        self._serial += 1
        age_s = now - view.standing.limit.observed_at
        ask = PermitAsk(
            self._own_peer_address,
            self._serial,
            view.server.id,
            limit_per_s,
            age_s,
            number,
            max_wait_s,
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
    """Return a permit client for a node without peers."""
    return PermitClient(PermitIssuer(limit_lookup(balancer)), GrantorSelector(""), now=now)


def limit_lookup(balancer: LoadBalancer) -> LimitLookup:
    """Return a lookup of the limits of the servers that a balancer tracks."""

    def limit_of(server: str, reported_per_s: float) -> float | None:
        view = balancer.views.get(server)
        return view.limit_per_s if view is not None else reported_per_s

    return limit_of
