"""Runs real nodes on a manual clock against fakes of everything outside of them, with faults.

The fakes stand in for the platform, the servers, plain services and the links between nodes.
A fault is planned for a named step of a request or duty: the fakes call `World.reach_step` there,
and the fault's action runs the first time, or the first few times, that the step is reached.
"""

import asyncio
import heapq
import random
from collections import Counter, defaultdict
from collections.abc import AsyncGenerator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from moledale import problems
from moledale.backing.types import (
    Instance,
    InstanceKind,
    InstancePage,
    InstanceState,
    Part,
    Platform,
    PlatformFailure,
    ReclaimNotice,
    RentOrder,
    RentResult,
    Row,
    Transaction,
    TransactionOutcome,
    WeightGrant,
)
from moledale.bundle import schema, signing
from moledale.bundle.schema import Priority
from moledale.bundle.store import SignedBundle
from moledale.node.node import Node, OnceWork
from moledale.node.once import OnceCall, fingerprint
from moledale.node.streams import GenerationRequest, StreamRecord
from moledale.peers.link import PeerHandler
from moledale.peers.pb import peers_pb2
from moledale.problems import Problem
from moledale.servers.types import (
    CacheEvent,
    Done,
    GenerateCall,
    GenerateEvent,
    KvTicket,
    LoadReport,
    Order,
    OrderReply,
    Refused,
    ServerError,
    ServerFailure,
    ServiceAnswer,
    ServiceCall,
    Token,
)
from moledale.settings import Secrets, Settings, parse
from standins.engine import token_text
from standins.platform import PlatformState
from standins.settings_text import settings_text

T = TypeVar("T")
TIMEOUT_S = 0.5
TOKEN_INTERVAL_S = 0.02
WALL_OFFSET_S = 1_800_000_000.0
BUNDLE_TEXT = (Path(__file__).parent.parent / "examples" / "bundle.toml").read_text("utf-8")
SERVICE_URL = "http://127.0.0.1:1"


class ManualClock:
    """A clock that advances to the next sleeper's wakeup only when no task can run."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._serial = 0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return WALL_OFFSET_S + self.now

    async def sleep(self, seconds: float) -> None:
        self._serial += 1
        waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self.now + max(0.0, seconds), self._serial, waiting))
        await waiting

    async def run(self, work: Coroutine[Any, Any, T], limit_s: float = 120.0) -> T:
        """Run a coroutine to its end, advancing the clock; fail if that takes over `limit_s`."""
        task = asyncio.create_task(work)
        until = self.now + limit_s
        while True:
            await _wait_until_idle()
            if task.done():
                return task.result()
            if not self._sleepers or self._sleepers[0][0] > until:
                task.cancel()
                raise AssertionError(f"not done within {limit_s} s of the manual clock")
            self.now, _, waiting = heapq.heappop(self._sleepers)
            if not waiting.done():
                waiting.set_result(None)


async def _wait_until_idle() -> None:
    """Return once every task waits for the clock to advance."""
    ready = asyncio.get_running_loop()._ready  # type: ignore[attr-defined]
    await asyncio.sleep(0)
    while ready:  # noqa: ASYNC110 -- there is no event for "nothing is ready"
        await asyncio.sleep(0)


@dataclass
class FakeHost:
    """The host of one node: whether it is paused or dead, and what it is cut off from."""

    name: str
    dead: bool = False
    cut_platform: bool = False
    cut_peers: bool = False
    running: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.running.set()

    async def wait_until_running(self) -> None:
        """Wait while the host is paused, and forever if it is dead."""
        await self.running.wait()
        if self.dead:
            await asyncio.Event().wait()


class NodeClock:
    """The clock of one node, whose sleeps end late while its host is paused."""

    def __init__(self, clock: ManualClock, host: FakeHost) -> None:
        self._clock = clock
        self._host = host

    def monotonic(self) -> float:
        return self._clock.monotonic()

    def wall(self) -> float:
        return self._clock.wall()

    async def sleep(self, seconds: float) -> None:
        await self._clock.sleep(seconds)
        await self._host.wait_until_running()


@dataclass
class PartFaults:
    """Faults of one part of the platform, for all nodes.

    `lose_answers` is the number of writes that are applied and then time out; `late_writes` is the
    number that are applied only after they have timed out.
    """

    down: bool = False
    hang: bool = False
    lose_answers: int = 0
    late_writes: int = 0


class FakePlatform:
    """One node's client of every part of the platform."""

    def __init__(self, world: "World", host: FakeHost) -> None:
        self._world = world
        self._host = host

    async def _call(
        self, part: Part, writes: bool, effect: Callable[[], T]
    ) -> Result[T, PlatformFailure]:
        clock, faults = self._world.clock, self._world.faults[part]
        await self._host.wait_until_running()
        if faults.down:
            return Err(PlatformFailure(part, "down", False))
        if faults.hang or self._host.cut_platform:
            await clock.sleep(TIMEOUT_S)
            await self._host.wait_until_running()
            return Err(PlatformFailure(part, "timeout", writes))
        if writes and faults.late_writes > 0:
            faults.late_writes -= 1
            self._world.call_later(2 * TIMEOUT_S, effect)
            await clock.sleep(TIMEOUT_S)
            return Err(PlatformFailure(part, "timeout", True))
        outcome = effect()
        if writes and faults.lose_answers > 0:
            faults.lose_answers -= 1
            await clock.sleep(TIMEOUT_S)
            await self._host.wait_until_running()
            return Err(PlatformFailure(part, "answer lost", True))
        await asyncio.sleep(0)
        await self._host.wait_until_running()
        return Ok(outcome)

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, PlatformFailure]:
        await self._host.wait_until_running()
        for step in _transaction_steps(transaction):
            await self._world.reach_step(step, self._host.name)
        state = self._world.state
        return await self._call(Part.TABLE, True, lambda: state.transact(transaction))

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformFailure]:
        return await self._call(Part.TABLE, False, lambda: self._world.state.read(table, key))

    async def scan(self, table: str, prefix: str, limit: int) -> Result[list[Row], PlatformFailure]:
        state = self._world.state
        return await self._call(Part.TABLE, False, lambda: state.scan(table, prefix, limit))

    async def put(self, key: str, body: bytes) -> Result[None, PlatformFailure]:
        return await self._call(
            Part.OBJECTS, True, lambda: self._world.state.objects.__setitem__(key, body)
        )

    async def get(self, key: str) -> Result[bytes | None, PlatformFailure]:
        if key.startswith("bundles/"):
            await self._world.reach_step("adopt version", self._host.name)
        return await self._call(Part.OBJECTS, False, lambda: self._world.state.objects.get(key))

    async def changes(self, since: int) -> Result[InstancePage, PlatformFailure]:
        state = self._world.state
        return await self._call(Part.INSTANCES, False, lambda: state.changes(since))

    async def rent(self, order: RentOrder) -> Result[RentResult, PlatformFailure]:
        return await self._call(Part.CLOUD, True, lambda: self._world.rent(order))

    async def release(self, instance_id: str) -> Result[None, PlatformFailure]:
        return await self._call(Part.CLOUD, True, lambda: self._world.state.release(instance_id))

    async def notices(self, hall: str) -> Result[list[ReclaimNotice], PlatformFailure]:
        found = self._world.state.notices
        return await self._call(
            Part.CLOUD, False, lambda: [n for n in found.values() if n.hall == hall]
        )

    async def request_grant(self, server: str, model: str) -> Result[WeightGrant, PlatformFailure]:
        return await self._call(Part.WEIGHTS, False, lambda: WeightGrant(True))


def _transaction_steps(transaction: Transaction) -> list[str]:
    """Return the fault matrix steps that a transaction reaches, one per write."""
    steps = []
    for write in transaction.writes:
        if write.table == "lease":
            steps.append("lease")
        elif write.table == "bundle":
            steps.append("roll")
        elif write.table in ("job", "claim") and write.value is not None:
            adopted = '"adoptions":0' not in write.value and write.table == "job"
            steps.append("adopt" if adopted else "commit")
    return steps


@dataclass
class FakeEngine:
    """A model engine that generates a deterministic token every `TOKEN_INTERVAL_S`.

    `starts` holds the time and attempt of each generation, `epochs` the latest epoch per lease.
    """

    name: str
    hall: str
    checks_fence: bool = True
    alive: bool = True
    models: list[str] = field(default_factory=lambda: ["cover-7b", "claims"])
    leaving_since: float | None = None
    leaves_at: float = 0.0
    starts: list[tuple[float, str]] = field(default_factory=list)
    running: dict[str, GenerateCall] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    cached: set[str] = field(default_factory=set)
    repeat_tokens: bool = False
    retry_after_s: float | None = None
    recomputed_tokens: int = 0
    report_sequence: int = 0


class FakeServers:
    """One node's client of the engines."""

    def __init__(self, world: "World", host: FakeHost) -> None:
        self._world = world
        self._host = host

    def _engine(self, address: str) -> FakeEngine | None:
        engine = self._world.engines.get(address)
        return engine if engine is not None and engine.alive else None

    async def generate(
        self, address: str, call: GenerateCall
    ) -> AsyncGenerator[GenerateEvent, None]:
        world, clock = self._world, self._world.clock
        await self._host.wait_until_running()
        await world.reach_step("pick", self._host.name, address)
        engine = self._engine(address)
        if engine is None:
            await clock.sleep(TOKEN_INTERVAL_S)
            raise ServerError("refused", may_have_run=False)
        if any(call.attempt == name for _, name in engine.starts):
            raise ServerError("this attempt was already started here")
        engine.starts.append((clock.now, call.attempt))
        if engine.retry_after_s is not None:
            raise ServerError(
                "answered 503", may_have_run=False, retry_after_s=engine.retry_after_s
            )
        if call.model not in engine.models:
            yield Refused("no such model")
            return
        engine.running[call.attempt] = call
        if call.prompt == self._world.crash_prompt:
            await clock.sleep(TOKEN_INTERVAL_S)
            engine.alive = False
        await world.reach_step("dispatch", self._host.name, address)
        cached = call.session in engine.cached
        length = len(call.prompt.split()) + len(call.resume)
        engine.recomputed_tokens += 0 if cached else len(call.resume)
        try:
            for index in range(len(call.resume), call.max_tokens):
                await clock.sleep(TOKEN_INTERVAL_S)
                if index in (0, call.max_tokens // 2):
                    name = "first token" if index == 0 else "mid-stream"
                    await world.reach_step(name, self._host.name, address)
                await self._host.wait_until_running()
                if not engine.alive:
                    raise ServerError("cut off")
                for _ in range(2 if engine.repeat_tokens else 1):
                    yield Token(index, token_text(call.prompt, index))
            await world.reach_step("finish", self._host.name, address)
            if not engine.alive:
                raise ServerError("cut off")
            engine.cached.add(call.session)
            done = 0 if cached else length
            yield Done("length", length - done, done, self._report(engine))
        finally:
            engine.running.pop(call.attempt, None)

    async def cancel(self, address: str, attempt: str) -> Result[None, ServerFailure]:
        return Ok(None)

    async def load(self, address: str) -> Result[LoadReport, ServerFailure]:
        await self._host.wait_until_running()
        engine = self._engine(address)
        if engine is None:
            await self._world.clock.sleep(TIMEOUT_S)
            return Err(ServerFailure("timeout", True))
        return Ok(self._report(engine))

    def _report(self, engine: FakeEngine) -> LoadReport:
        engine.report_sequence += 1
        leaving = engine.leaving_since is not None
        left = engine.leaves_at - self._world.clock.now if leaving else None
        return LoadReport(
            engine.name,
            engine.report_sequence,
            len(engine.running),
            0,
            0,
            0,
            list(engine.models),
            leaving,
            left,
        )

    async def cache_events(
        self, address: str, after: int
    ) -> Result[list[CacheEvent], ServerFailure]:
        return Ok([])

    async def order(self, address: str, order: Order) -> Result[OrderReply, ServerFailure]:
        await self._host.wait_until_running()
        await self._world.reach_step("order", self._host.name, address)
        await self._host.wait_until_running()
        engine = self._engine(address)
        if engine is None:
            return Err(ServerFailure("refused", False))
        if engine.checks_fence and order.epoch < engine.epochs.get(order.lease, 0):
            return Ok(OrderReply(False, "old epoch"))
        engine.epochs[order.lease] = order.epoch
        engine.orders.append(order)
        if order.model not in engine.models:
            engine.models.append(order.model)
        return Ok(OrderReply(True))

    async def export_kv(self, address: str, session: str) -> Result[KvTicket, ServerFailure]:
        engine = self._engine(address)
        if engine is None:
            return Err(ServerFailure("refused", False))
        running = {call.session for call in engine.running.values()}
        if session not in engine.cached | running:
            return Err(ServerFailure("nothing to export", False))
        return Ok(KvTicket(session, address, 1, 1))

    async def import_kv(self, address: str, ticket: KvTicket) -> Result[None, ServerFailure]:
        await self._world.clock.sleep(TOKEN_INTERVAL_S)
        engine, source = self._engine(address), self._engine(ticket.source)
        if engine is None or source is None:
            return Err(ServerFailure("refused", False))
        engine.cached.add(ticket.ticket)
        return Ok(None)


class FakeServices:
    """One node's client of plain services; `World.service_runs` counts the calls run, by body."""

    def __init__(self, world: "World", host: FakeHost) -> None:
        self._world = world
        self._host = host

    async def call(
        self, base: str, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceAnswer, ServerFailure]:
        world = self._world
        await self._host.wait_until_running()
        await world.reach_step("pick", self._host.name)
        if world.service_down:
            return Err(ServerFailure("refused", may_have_run=False))
        world.service_runs[call.body.decode()] += 1
        await world.reach_step("dispatch", self._host.name)
        for name in ("first token", "mid-stream", "finish"):
            await world.clock.sleep(TOKEN_INTERVAL_S)
            await world.reach_step(name, self._host.name)
            await self._host.wait_until_running()
        if world.service_cut_offs > 0:
            world.service_cut_offs -= 1
            return Err(ServerFailure("cut off", may_have_run=True))
        return Ok(ServiceAnswer(200, "text/plain", b"ran " + call.body))


class FakeLink:
    """One node's link to its peers; a peer's address is its name."""

    def __init__(self, world: "World", host: FakeHost) -> None:
        self._world = world
        self._host = host

    async def serve(self, handler: PeerHandler) -> int:
        self._world.handlers[self._host.name] = handler
        return 1

    async def _reachable_handler(self, address: str) -> PeerHandler | None:
        await self._host.wait_until_running()
        peer = self._world.hosts.get(address)
        if peer is None or peer.dead or not peer.running.is_set():
            await self._world.clock.sleep(TIMEOUT_S)
            return None
        if self._host.cut_peers or peer.cut_peers:
            await self._world.clock.sleep(TIMEOUT_S)
            return None
        return self._world.handlers.get(address)

    async def digest(
        self, address: str, message: peers_pb2.DigestMessage
    ) -> Result[peers_pb2.DigestMessage, str]:
        self._world.digests_sent += 1
        handler = await self._reachable_handler(address)
        return Err("unreachable") if handler is None else Ok(handler.exchange_digest(message))

    async def hand_over(self, address: str, record: StreamRecord) -> Result[None, str]:
        copy = StreamRecord(record.request, list(record.tokens))
        await self._world.reach_step("hand-over", self._host.name)
        await self._world.clock.sleep(TOKEN_INTERVAL_S)
        handler = await self._reachable_handler(address)
        if handler is None:
            return Err("unreachable")
        reason = handler.adopt_stream(copy)
        await asyncio.sleep(0)
        await self._host.wait_until_running()
        return Ok(None) if reason is None else Err(reason)

    async def run_once(self, address: str, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        handler = await self._reachable_handler(address)
        if handler is None:
            return Err(problems.outcome_unknown("unreachable"))
        return await handler.run_once_locally(call)

    async def close(self) -> None:
        self._world.handlers.pop(self._host.name, None)


Action = Callable[["World", str, str], Awaitable[None]]


class World:
    """Real nodes with a fake platform, engines and services, and at most one planned fault.

    Rented engines boot for `boot_s`; if it is None, only the platform's spare instances can be
    rented. An engine crashes when it starts to generate from `crash_prompt`.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.state = PlatformState()
        self.faults: dict[Part, PartFaults] = {part: PartFaults() for part in Part}
        self.engines: dict[str, FakeEngine] = {}
        self.nodes: dict[str, Node] = {}
        self.hosts: dict[str, FakeHost] = {}
        self.handlers: dict[str, PeerHandler] = {}
        self.service_runs: Counter[str] = Counter()
        self.service_down = False
        self.service_cut_offs = 0
        self.crash_prompt = ""
        self.digests_sent = 0
        self.boot_s: float | None = None
        self.refused_markets: set[tuple[str, str]] = set()
        self.steps_reached: Counter[str] = Counter()
        self.versions: defaultdict[str, list[int]] = defaultdict(list)
        self._fault: tuple[str, int, Action] | None = None
        self._keys = {name: signing.generate_private_key() for name in ("anna", "bram")}
        self._tasks: set[asyncio.Task[Any]] = set()

    # Nodes, engines and platform

    def add_engine(self, name: str, hall: str, **fields: Any) -> FakeEngine:
        engine = FakeEngine(name, hall, **fields)
        self.engines[name] = engine
        self.list_instance(name, InstanceKind.SERVER, hall)
        return engine

    def list_instance(
        self,
        name: str,
        kind: InstanceKind,
        hall: str,
        state: InstanceState = InstanceState.LIVE,
    ) -> None:
        """Put an instance into the instance list; its address is its name."""
        self.state.put_instance(
            Instance(name, kind, hall, "north", name, state, name, "small", "reclaimable")
        )

    def rent(self, order: RentOrder) -> RentResult:
        """Rent an engine that boots for `boot_s`; if that is None, rent one of the spares."""
        if self.boot_s is None:
            return self.state.rent(order)
        if (order.hall, order.market) in self.refused_markets:
            return RentResult(None, "no capacity")
        if order.token not in self.state.rented:
            name = f"r{len(self.state.rented)}"
            self.state.rented[order.token] = name
            self.call_later(self.boot_s, lambda: self.add_engine(name, order.hall))
        return RentResult(self.state.rented[order.token])

    async def start_node(self, name: str, hall: str) -> Node:
        host = FakeHost(name)
        self.hosts[name] = host
        platform = FakePlatform(self, host)
        parts = Platform(platform, platform, platform, platform, platform)
        node = Node(
            self.make_settings(name, hall),
            Secrets(peer="p" * 32, operator="o" * 32),
            parts,
            FakeServers(self, host),
            FakeServices(self, host),
            FakeLink(self, host),
            NodeClock(self.clock, host),
            random.Random(name),
        )
        self.nodes[name] = node
        self.list_instance(name, InstanceKind.NODE, hall)
        await node.start()
        return node

    def make_settings(self, name: str, hall: str) -> Settings:
        keys = {
            n: signing.encode_public_key(_load_private_key(pem)) for n, pem in self._keys.items()
        }
        extra = "[times]\ndrain_s = 0.3\n"
        text = settings_text(name, hall, "http://127.0.0.1:1", keys, extra)
        return parse(name, text).unwrap()

    def make_signed_bundle(
        self, version: int, operator: str = "anna", mark: str = ""
    ) -> SignedBundle:
        """Return the example bundle signed as `version`; another `mark` gives it another digest."""
        body = BUNDLE_TEXT.replace("version = 1", f"version = {version}", 1) + f"# {mark}\n"
        # High enough that no idle engine is returned during a test.
        body = body.replace("least_tokens_per_s = 500", "least_tokens_per_s = 5000")
        key = _load_private_key(self._keys[operator])
        return SignedBundle(body, [signing.sign(body.encode(), operator, key)])

    async def start(self, nodes: int = 3, engines: int = 3) -> None:
        """Start nodes and engines in two halls, roll version 1 and wait until all nodes serve."""
        for index in range(engines):
            self.add_engine(f"e{index}", "hall-a" if index % 2 == 0 else "hall-b")
        for index in range(nodes):
            await self.start_node(f"n{index}", "hall-a" if index % 2 == 0 else "hall-b")
        (await self.nodes["n0"].roll(self.make_signed_bundle(1))).unwrap()
        await self.wait_until(
            lambda: all(
                node.refusal() is None
                and len(node.load_tracker.views) == engines
                and all(view.models for view in node.load_tracker.views.values())
                for node in self.nodes.values()
            )
        )

    async def wait_until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> float:
        """Poll until a condition holds; return the seconds on the clock that it took."""
        began = self.clock.now
        while not condition():
            if self.clock.now - began > limit_s:
                raise AssertionError(f"condition not met within {limit_s} s")
            await self.clock.sleep(0.05)
        return self.clock.now - began

    async def stop(self) -> None:
        """Mark every host dead and cancel all other tasks."""
        for host in self.hosts.values():
            host.dead = True
        current = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not current]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    # Faults

    def plan_fault(self, step: str, action: Action, times: int = 1) -> None:
        """Run an action the first `times` times that a step is reached."""
        self._fault = (step, times, action)

    async def reach_step(
        self, name: str, node: str, server: str = "", outside: bool = False
    ) -> None:
        """Record that a node reaches a step, and run the fault that was planned for it.

        With `outside`, the step runs at the caller, which continues when the node dies or pauses.
        """
        self.steps_reached[name] += 1
        if self._fault is None or self._fault[0] != name or self._fault[1] <= 0:
            return
        self._fault = (name, self._fault[1] - 1, self._fault[2])
        await self._fault[2](self, node, server)
        if not outside:
            await self.hosts[node].wait_until_running()

    def call_later(self, seconds: float, effect: Callable[[], object]) -> None:
        """Call `effect` after `seconds`."""

        async def wait() -> None:
            await self.clock.sleep(seconds)
            effect()

        self.keep_task(asyncio.create_task(wait()))

    def keep_task(self, task: asyncio.Task[Any]) -> None:
        """Hold a reference to a task, so that it is not garbage collected."""
        self._tasks.add(task)

    def kill(self, name: str) -> None:
        """Crash a node; the instance list shows it as gone 2 s later."""
        self.hosts[name].dead = True
        node = self.nodes.pop(name)
        for record in node.streams.live():
            record.wait_for_server()
        hall = node.settings.node.hall
        self.call_later(
            2.0, lambda: self.list_instance(name, InstanceKind.NODE, hall, InstanceState.GONE)
        )

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a node for `seconds`."""
        host = self.hosts[name]
        host.running.clear()
        self.call_later(seconds, host.running.set)

    def reclaim(self, name: str, notice_s: float) -> None:
        """Give a reclaim notice to an engine, and terminate it when the notice ends."""
        engine = self.engines[name]
        if engine.leaving_since is not None:
            return
        engine.leaving_since = self.clock.now
        engine.leaves_at = self.clock.now + notice_s
        self.state.notices[name] = ReclaimNotice(name, engine.hall, notice_s)

        def gone() -> None:
            engine.alive = False
            self.list_instance(name, InstanceKind.SERVER, engine.hall, InstanceState.GONE)

        self.call_later(notice_s, gone)

    # Callers

    def make_request(
        self, prompt: str = "is hail covered", tokens: int = 40, **fields: Any
    ) -> GenerationRequest:
        self._serial = getattr(self, "_serial", 0) + 1
        values: dict[str, Any] = {
            "id": f"req_t_{self._serial}",
            "account": "brokers",
            "model": "cover-7b",
            "prompt": prompt,
            "max_tokens": tokens,
            "priority": Priority.NORMAL,
            "session": f"s{self._serial}",
            "deadline_at": self.clock.wall() + 60.0,
            "created_at": 0,
        }
        return GenerationRequest(**{**values, **fields})

    async def read(self, node: str, record: StreamRecord) -> list[str]:
        """Read a stream to its end as a caller does, following it to successors."""
        tokens: list[str] = []
        while True:
            async for _, run in record.follow(len(tokens)):
                tokens.extend(run)
            if record.successor is None:
                return tokens
            found = self.nodes[record.successor].streams.get(record.request.id)
            assert found is not None, "the successor does not know the stream"
            # A token that the successor generates again could differ from the caller's, so it must
            # already have all of those.
            assert len(found.tokens) >= len(tokens), (
                "the successor lacks tokens that the caller has"
            )
            record = found

    def make_once_call(self, body: str, key: str) -> OnceCall:
        call = ServiceCall("eligibility", "POST", "/check", [], body.encode())
        work = msgspec.json.encode(OnceWork(service=call))
        return OnceCall("brokers", key, fingerprint(work), work)


def expected_tokens(request: GenerationRequest) -> list[str]:
    """Return the tokens of the only right answer to a request."""
    return [token_text(request.prompt, index) for index in range(request.max_tokens)]


def _load_private_key(pem: bytes) -> Any:
    return signing.load_private_key(pem)


def in_world(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test method with a new `World` on its own manual clock."""

    def run(self: Any, *arguments: Any) -> None:
        async def body() -> None:
            world = World()
            try:
                await world.clock.run(test(self, world, *arguments), 600.0)  # type: ignore[arg-type]
            finally:
                await world.stop()

        asyncio.run(body())

    run.__name__ = test.__name__
    return run


__all__ = ["BUNDLE_TEXT", "World", "expected_tokens", "in_world", "schema"]
