"""One gateway node: its tasks, its standing, its stop."""

import asyncio
import os
import random
import time

import msgspec
import xxhash
from result import Err, Ok

from moledale.clock import SystemClock
from moledale.gateway.balance import ServerBook
from moledale.gateway.calls import HttpCaller
from moledale.gateway.dialect import Dialect
from moledale.gateway.directory import power_of
from moledale.gateway.duties import TICK_S, Duties
from moledale.gateway.entry import Asked, EntryDialect
from moledale.gateway.evacuation import Engines
from moledale.gateway.forwarder import Forwarder
from moledale.gateway.gossip import FleetNews, GossipSocket, Message, StateNews, open_gossip
from moledale.gateway.inbound import Listener, listen, sweep_forever
from moledale.gateway.lease_keeper import LeaseKeeper
from moledale.gateway.messages import InboundRequest, Refusal, Server
from moledale.gateway.neighbours import ROUND_S, Neighbours
from moledale.gateway.outside import Orders, PlanNews, Store
from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.gateway.plan import Limits, Plan
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.reply import Reply
from moledale.gateway.settings import GatewaySettings
from moledale.gateway.sharing import Sharing
from moledale.log import Event, emit
from moledale.node.supervisor import Supervisor

MEMBER_TABLE = "members"
PLAN_PATH = b"/peer/plan"
METRICS_PATH = b"/metrics"

READ_EVERY_S = 0.8
READ_RANK_S = 0.12
MOST_READ_RANK = 4
READ_TIMEOUT_S = 0.8
WATCH_S = 3.0
AGAIN_S = 0.2
AGAIN_MOST_S = 1.0
POOL_SWEEP_S = 0.5

LEAST_STOP_S = 3.2
"""A stop takes this long at least, since callers keep addresses that they were told."""

STOP_MARGIN_S = 0.9

TAKEN_SHARE = 0.35
"""Part of a stop's time in which new requests are taken; later ones could be cut at its end."""

ELSEWHERE_S = 0.05
QUIET_S = 0.3
EXIT_OK = 0


class GatewayNode:
    """Everything that one process runs."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        entry: EntryDialect,
        store: Store,
        orders: Orders,
        engines: Engines,
    ) -> None:
        node = settings.node
        self.settings = settings
        self.standing = Standing.STARTING
        self.life = int.from_bytes(os.urandom(6), "big")
        self.members = Membership(node.id, self.life)
        self.sharing = Sharing(self.members, settings.bounds)
        self.book = ServerBook(node.hall)
        self.pool = ConnectionPool(time.monotonic)
        self.forwarder = Forwarder(dialect, self.book, self.pool, self.sharing, engines)
        self._entry = entry
        self._store = store
        nonce = f"{node.id}/{self.life:x}"
        self.keeper = LeaseKeeper(node.id, store, settings.bounds, nonce)
        self.duties = Duties(
            node.id,
            self.keeper,
            store,
            orders,
            self.sharing,
            self.book,
            lambda: self.forwarder.index,
            node.first_start,
        )
        self.supervisor = Supervisor("gateway", SystemClock())
        self.neighbours = Neighbours(self.members, node.peers, time.monotonic())
        self._gossip: GossipSocket | None = None
        self._random = random.Random()
        self._sequence = 0
        self._raw_plan = b""
        self._plan_peer: str | None = None
        self._fleet_version = -1
        self._fleet_digest = 0
        self._fleet_fresh_at = -1e9
        self._fleet_told = 0
        self._leaving_since: float | None = None
        self._callers = Listener(self._handle, self._limits, time.monotonic)
        self._others = Listener(self._answer_question, self._limits, time.monotonic)
        self._servers: list[asyncio.Server] = []

    def _limits(self) -> Limits:
        index = self.forwarder.index
        return index.limits if index is not None else Limits()

    async def _handle(self, request: InboundRequest, reply: Reply) -> None:
        """Forward a request, or send it elsewhere where too little of a stop's time is left."""
        since = self._leaving_since
        if since is not None and time.monotonic() - since > self._last_taken_s:
            self.forwarder.refuse(reply, request, Refusal(503, "the node stops", ELSEWHERE_S))
            return
        await self.forwarder.handle(request, reply)

    @property
    def _last_taken_s(self) -> float:
        """Return how long after a stop began requests are still taken."""
        return self.settings.bounds.stop_s * TAKEN_SHARE

    async def run(self, stop: asyncio.Event) -> int:
        """Serve until told to stop; return the exit code."""
        node = self.settings.node
        self._gossip = await open_gossip(node.peers, self._heard)
        for address in {node.control, node.directory, node.readiness}:
            self._servers.append(await listen(address, self._others))
        self._servers.append(await listen(node.callers, self._callers))
        emit(Event.LISTENING, node=node.id, hall=node.hall)
        now = time.monotonic()
        port = node.peers.rpartition(":")[2]
        for seed in node.seeds:
            self.neighbours.addresses.add(f"{seed.rpartition(':')[0]}:{port}", now)
        start = self.supervisor.start
        start("gossip", self._gossip_forever)
        start("plan", self._watch_plan_forever)
        start("fleet", self._read_fleet_forever)
        start("members", self._register)
        start("duties", self._duties_forever)
        start("pool", self._sweep_pool_forever)
        start("callers", lambda: sweep_forever(self._callers))
        start("questions", lambda: sweep_forever(self._others))
        gave_up = asyncio.create_task(self.supervisor.gave_up.wait())
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait([gave_up, stopping], return_when=asyncio.FIRST_COMPLETED)
        await self._leave()
        return EXIT_OK if stop.is_set() else 1

    def reload(self, settings: GatewaySettings) -> None:
        """Take over changed settings; where a node listens and who it is stay as they are."""
        self.settings = msgspec.structs.replace(settings, node=self.settings.node)

    async def _leave(self) -> None:
        """Stop in order: no cut request, out of the directory at once, gone in time."""
        began = time.monotonic()
        self.standing = Standing.LEAVING
        self._leaving_since = began
        emit(Event.DRAINING, node=self.settings.node.id)
        self._callers.closing = True
        self._tell_state()
        giving_back = asyncio.create_task(self._give_lease_back())
        end = began + max(0.5, self.settings.bounds.stop_s - STOP_MARGIN_S)
        least = began + min(LEAST_STOP_S, self.settings.bounds.stop_s / 2)
        quiet_since = time.monotonic()
        while (now := time.monotonic()) < end:
            if self._callers.busy():
                quiet_since = now
            elif now >= least and now - quiet_since >= QUIET_S:
                break
            await asyncio.sleep(0.05)
        giving_back.cancel()
        for server in self._servers:
            server.close()
        self._callers.close_idle()
        await self.supervisor.stop()
        self._tell_state()
        emit(Event.STOPPED, node=self.settings.node.id)

    async def _give_lease_back(self) -> None:
        """Give the lease back once no call of a duty is under way."""
        async with self.duties.acting:
            await self.keeper.give_back()

    # News between nodes

    def _state(self) -> NodeState:
        now = time.monotonic()
        node = self.settings.node
        self._sequence += 1
        index = self.forwarder.index
        return NodeState(
            node.id,
            self.life,
            self._sequence,
            node.hall,
            node.callers,
            node.peers,
            node.control,
            int(self.standing),
            index.version if index is not None else -1,
            self.sharing.usage.started,
            self.forwarder.limits.spent,
            self.book.loads(),
            self.sharing.sends(now),
            self.book.work,
            self.neighbours.serving,
            power_of(node.cores, node.link_mbps),
            self.sharing.offset_s(),
            self.keeper.news(),
        )

    def _tell_state(self, everyone: bool = True) -> None:
        if self._gossip is None:
            return
        now = time.monotonic()
        own = self._state()
        if self._callers.busy():
            self.neighbours.note_busy(now)
        targets = self.neighbours.everyone(now) if everyone else self.neighbours.targets(own, now)
        self._gossip.tell(StateNews(own, self.neighbours.hints(now)), targets)

    async def _gossip_forever(self) -> None:
        while True:
            now = time.monotonic()
            changed = self.neighbours.decide(self._state(), now)
            self._tell_state(everyone=changed)
            self.sharing.take_over(self.book)
            self.members.forget_old(now)
            await asyncio.sleep(ROUND_S)

    def _heard(self, message: Message) -> None:
        now = time.monotonic()
        if isinstance(message, FleetNews):
            self._heard_fleet(message, now)
            return
        state = message.state
        stranger = state.id not in self.members.members
        if not self.sharing.heard(state, self.forwarder.limits):
            return
        if stranger and self._gossip is not None:
            self._gossip.tell(StateNews(self._state(), self.neighbours.hints(now)), [state.peer])
        self.neighbours.addresses.add(state.peer, now)
        for address in message.addresses:
            self.neighbours.addresses.hint(address, now)
        if state.lease is not None:
            self.keeper.heard(state.id, state.lease, now)
        else:
            self.keeper.gave_up(state.id, now)
        index = self.forwarder.index
        if state.plan_version > (index.version if index is not None else -1):
            self._plan_peer = state.control

    def serving_nodes(self) -> list[NodeState]:
        """Return the nodes that callers should use."""
        return self.neighbours.serving_nodes(self._state(), time.monotonic())

    async def _register(self) -> None:
        """Tell the store of this node, and learn of others that it was told of."""
        node = self.settings.node
        pause = AGAIN_S
        registered = read = False
        while not (registered and read):
            if not registered:
                value = node.peers.encode()
                registered = (
                    await self._store.put(MEMBER_TABLE, node.id, value, READ_TIMEOUT_S) is None
                )
            outcome = await self._store.read(MEMBER_TABLE, READ_TIMEOUT_S)
            if isinstance(outcome, Ok):
                read = True
                now = time.monotonic()
                for row in outcome.ok_value.rows:
                    self.neighbours.addresses.add(row.value.decode(), now)
            await asyncio.sleep(pause * (0.5 + self._random.random()))
            pause = min(2 * pause, AGAIN_MOST_S)

    # The plan

    async def _watch_plan_forever(self) -> None:
        position: int | None = None
        while True:
            sent_at = time.monotonic()
            if position is None:
                outcome = await self._store.plan(READ_TIMEOUT_S)
            else:
                outcome = await self._store.watch_plan(position, WATCH_S)
            if isinstance(outcome, Ok):
                news = outcome.ok_value
                if position is None:
                    now = time.monotonic()
                    self.sharing.true_time.store_read(news.store_s, sent_at, now)
                position = news.position
                self._adopt(news)
                continue
            position = None
            await asyncio.sleep(AGAIN_S * (0.5 + self._random.random()))

    def _adopt(self, news: PlanNews) -> None:
        if news.plan is not None:
            self._adopt_plan(news.plan, news.raw)

    def _adopt_plan(self, plan: Plan, raw: bytes) -> None:
        if not self.forwarder.adopt(plan):
            return
        self._raw_plan = raw
        emit(
            Event.BUNDLE_ADOPTED,
            version=plan.version,
            limits={each.name: (each.rate_per_s, each.burst) for each in plan.accounts},
        )
        self._become_ready()
        self._tell_state()

    def _become_ready(self) -> None:
        if self.standing is Standing.STARTING and self._fleet_version >= 0:
            self.standing = Standing.READY
            emit(Event.READY, node=self.settings.node.id)

    async def _fetch_plan(self) -> None:
        """Take a newer plan from a peer that told of it."""
        peer, self._plan_peer = self._plan_peer, None
        if peer is None:
            return
        caller = HttpCaller(peer)
        outcome = await caller.call("GET", PLAN_PATH.decode(), timeout_s=READ_TIMEOUT_S)
        caller.close()
        if isinstance(outcome, Err) or outcome.ok_value.status != 200:
            return
        try:
            plan = self._store.decode_plan(outcome.ok_value.body)
        except ValueError as error:
            emit(Event.BUNDLE_REFUSED, why=str(error))
            return
        self._adopt_plan(plan, outcome.ok_value.body)

    # The list of backend servers

    async def _read_fleet_forever(self) -> None:
        pause = AGAIN_S
        while True:
            now = time.monotonic()
            rank = min(self.neighbours.rank(self._state(), now, False), MOST_READ_RANK)
            due = self._fleet_fresh_at + READ_EVERY_S + rank * READ_RANK_S
            if self._plan_peer is not None:
                await self._fetch_plan()
            if now < due:
                await asyncio.sleep(min(0.1, due - now))
                continue
            outcome = await self._store.servers(READ_TIMEOUT_S)
            if isinstance(outcome, Err):
                await asyncio.sleep(pause * (0.5 + self._random.random()))
                pause = min(2 * pause, AGAIN_MOST_S)
                continue
            pause = AGAIN_S
            listed = outcome.ok_value
            self.sharing.true_time.store_read(listed.store_s, now, time.monotonic())
            self._take_fleet(list(listed.servers), listed.version, now)
            self._tell_fleet(now)

    def _take_fleet(self, servers: list[Server], version: int, read_at: float) -> None:
        self._fleet_fresh_at = max(self._fleet_fresh_at, read_at)
        if version < self._fleet_version:
            return
        self._fleet_version = version
        digest = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(_lasting(servers)))
        self._become_ready_with_fleet()
        gone = self.book.apply(servers)
        for server in gone:
            self.pool.forget(server.id)
        self.forwarder.evacuation.servers_changed(gone)
        if digest != self._fleet_digest:
            self._fleet_digest = digest
            emit(
                Event.SERVERS_CHANGED,
                version=version,
                there=len(servers),
                spot=sum(1 for server in servers if server.spot),
                leaving=[server.id for server in servers if server.leaving],
            )

    def _become_ready_with_fleet(self) -> None:
        if self.forwarder.index is not None:
            self._become_ready()

    def _tell_fleet(self, read_at: float) -> None:
        same = self._fleet_told == self._fleet_digest
        self._fleet_told = self._fleet_digest
        servers = None if same else [view.server for view in self.book.views.values()]
        age = time.monotonic() - read_at
        news = FleetNews(self._fleet_version, self._fleet_digest, age, servers)
        if self._gossip is not None:
            self._gossip.tell(news, self.neighbours.everyone(time.monotonic()))

    def _heard_fleet(self, news: FleetNews, now: float) -> None:
        read_at = now - news.age_s
        if news.servers is not None:
            self._take_fleet(news.servers, news.version, read_at)
        elif news.digest == self._fleet_digest:
            self._fleet_fresh_at = max(self._fleet_fresh_at, read_at)
            self._fleet_version = max(self._fleet_version, news.version)
        if news.digest == self._fleet_digest:
            self._fleet_told = self._fleet_digest

    # Duties and upkeep

    async def _duties_forever(self) -> None:
        while True:
            if self.standing is not Standing.LEAVING:
                now = time.monotonic()
                await self.keeper.step(self.neighbours.rank(self._state(), now, True))
                await self.duties.step()
            await asyncio.sleep(TICK_S)

    async def _sweep_pool_forever(self) -> None:
        while True:
            await asyncio.sleep(POOL_SWEEP_S)
            self.pool.sweep()

    # Questions

    async def _answer_question(self, request: InboundRequest, reply: Reply) -> None:
        if request.head.target == PLAN_PATH:
            status = 200 if self._raw_plan else 503
            reply.whole(status, [], self._raw_plan)
            return
        if request.head.target == METRICS_PATH:
            reply.whole(200, [(b"Content-Type", b"text/plain")], self._metrics().encode())
            return
        question = self._entry.read_question(request.head)
        if question is None:
            reply.whole(404, [], b"")
        elif question.about is Asked.READY:
            reply.whole(200 if self.standing is Standing.READY else 503, [], b"")
        else:
            self._answer_addresses(reply)

    def _answer_addresses(self, reply: Reply) -> None:
        now = time.monotonic()
        own = self._state()
        addresses = [each.address for each in self.neighbours.serving_nodes(own, now)]
        if not addresses or not self.neighbours.knows_enough(own, now):
            reply.whole(503, [], b"")
            return
        headers, body = self._entry.addresses(addresses, self.settings.bounds.address_ttl_s)
        reply.whole(200, headers, body)

    def _metrics(self) -> str:
        index = self.forwarder.index
        figures = {
            "plan_version": index.version if index is not None else -1,
            "standing": int(self.standing),
            "connections": len(self._callers.connections),
            "busy": self._callers.busy(),
            "upstream_opened_total": self.pool.opened,
            "servers": len(self.book.views),
            "peers": len(self.members.alive(time.monotonic())),
        }
        return "".join(f"moledale_{name} {value}\n" for name, value in figures.items())


def _lasting(servers: list[Server]) -> list[Server]:
    """Return servers without what changes with each heartbeat."""
    return [
        msgspec.structs.replace(server, leaves_s=None)
        for server in sorted(servers, key=lambda server: server.id)
    ]
