"""One soak: a store, backend servers, callers and node processes, with faults drawn from a seed."""

import asyncio
import os
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.rows import Mood as StoreMood
from standins.rows import RowsPlatform
from tests.gateway_world import HOST
from tests.soak.backend import Backend, Mood
from tests.soak.callers import Account, SoakCaller, probe
from tests.soak.checks import CHECKS, RECOVERY_S, duties_by_one, limits_hold
from tests.soak.link import Link, Weather
from tests.soak.process import NodeProcess
from tests.soak.records import Leaving, Ledger, Version

HALLS = ("hall-a", "hall-b")
ACCOUNTS = (Account("north", "key-n"), Account("south", "key-s"), Account("small", "key-t"))
LIMITS = {"small": (60.0, 120.0)}
LIMIT_SLACK = 200.0
"""What one round of news between five nodes may hide, in tokens."""

ROUTES = ("check", "check", "order", "order", "draft", "review")
CALLERS_PER_ACCOUNT = 4
START_S = 2.5
SERVED_ON_S = 3.2
"""A leaving server serves on for this long after the list said so."""

LAPSE_S = 2.0
AWAY_S = 3.8
THAW_S = 0.6
PROBE_EVERY_S = 0.25
STEADY_S = 4.0
PLAIN_SERVERS = 3
MODEL_SERVERS = 3


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """How long a soak goes on, with how many nodes; times in seconds."""

    seed: int
    nodes: int = 5
    planned_s: float = 8.0
    chaos_s: float = 12.0
    rounds: int = 2


@dataclass(slots=True)
class SoakResult:
    """What the checks found, and how much was seen."""

    findings: list[str]
    attempts: int
    served: int
    runs: int
    faults: list[str]
    folder: Path


@dataclass(slots=True)
class Soak:
    """The world of one soak."""

    plan: SoakPlan
    folder: Path
    ledger: Ledger = field(default_factory=Ledger)
    platform: RowsPlatform = field(default_factory=RowsPlatform)
    nodes: list[NodeProcess] = field(default_factory=list)
    backends: list[Backend] = field(default_factory=list)
    thawed: list[float] = field(default_factory=list)
    chance: random.Random = field(init=False)
    _number: int = 0
    _version: int = 0
    _probes: int = 0
    _over: bool = False
    _jobs: set[asyncio.Task[None]] = field(default_factory=set)
    _busy: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.plan.seed)

    async def run(self) -> SoakResult:
        """Play the soak and check what was seen."""
        await self.platform.start()
        self.roll_version()
        for _ in range(PLAIN_SERVERS):
            await self.add_backend("plain")
        for _ in range(MODEL_SERVERS):
            await self.add_backend("model")
        await self._start_nodes()
        try:
            await self._play()
        finally:
            await self._end()
        findings = [
            f"{check.__name__}: {finding}" for check in CHECKS for finding in check(self.ledger)
        ]
        findings += limits_hold(self.ledger, LIMITS, LIMIT_SLACK)
        findings += duties_by_one(self.platform.duty_calls, self.thawed, THAW_S)
        attempts = [attempt for attempt in self.ledger.attempts if not attempt.probe]
        served = sum(1 for attempt in attempts if attempt.whole and attempt.status == 200)
        faults = [
            f"{fault.begins - self.ledger.began:6.2f} {fault.kind} {fault.what}"
            for fault in self.ledger.faults
        ]
        return SoakResult(
            findings, len(attempts), served, len(self.ledger.runs), faults, self.folder
        )

    async def _start_nodes(self) -> None:
        network = f"127.{os.getpid() % 200 + 20}.{random.SystemRandom().randint(0, 254)}"
        store = self.platform.address
        for number in range(self.plan.nodes):
            hall = HALLS[number % len(HALLS)]
            host = f"{network}.{number + 1}"
            self.nodes.append(
                NodeProcess(f"n{number}", host, hall, self.folder, store, self.ledger)
            )
        seeds = [node.seed for node in self.nodes[:3]]
        for node in self.nodes:
            await node.prepare(seeds, first=True)
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.sleep(START_S)

    async def _play(self) -> None:
        callers = [
            SoakCaller(
                f"{account.name}{number}",
                account,
                self.nodes,
                self.ledger,
                random.Random(self.chance.random()),
                lambda: ROUTES,
            )
            for account in ACCOUNTS
            for number in range(CALLERS_PER_ACCOUNT)
        ]
        over = self._is_over
        work = [asyncio.create_task(caller.run(over)) for caller in callers]
        work.append(asyncio.create_task(self._probe_forever()))
        for _ in range(self.plan.rounds):
            await self._phase(self.plan.planned_s, self._planned_work(), 0.5)
            await self._settle()
            await self._phase(self.plan.chaos_s, self._troubles(), 0.45)
            await self._settle()
            await self._heal()
        self.ledger.healed_at = time.monotonic()
        await asyncio.sleep(RECOVERY_S + STEADY_S)
        self._over = True
        await asyncio.gather(*work, return_exceptions=True)

    def _is_over(self) -> bool:
        return self._over

    async def _phase(self, length_s: float, choices: list["Trouble"], gap_s: float) -> None:
        ends = time.monotonic() + length_s
        while time.monotonic() < ends:
            trouble = self.chance.choice(choices)
            job = asyncio.create_task(trouble.play())
            self._jobs.add(job)
            job.add_done_callback(self._jobs.discard)
            await asyncio.sleep(gap_s * (0.3 + 1.4 * self.chance.random()))

    async def _settle(self) -> None:
        """Wait until every trouble under way is over."""
        while self._jobs:
            done, _ = await asyncio.wait(set(self._jobs))
            for job in done:
                job.result()

    async def _heal(self) -> None:
        """Make sure that all is well again."""
        self.platform.mood = StoreMood.GOOD
        self.platform.delay_s = 0.0
        for node in self.nodes:
            if not node.running:
                await node.start()
        for service, number in (("plain", PLAIN_SERVERS), ("model", MODEL_SERVERS)):
            there = sum(1 for each in self.backends if each.service == service)
            for _ in range(number - there):
                await self.add_backend(service)

    async def _end(self) -> None:
        for node in self.nodes:
            node.wake()
            node.kill()
        for node in self.nodes:
            await node.gone(5.0)
            node.callers.close()
            node.store.close()
        for backend in self.backends:
            backend.crash()
            backend.link.close()
        await self.platform.stop()

    # Servers and versions

    async def add_backend(self, service: str, link: Link | None = None) -> Backend:
        """Start a server and list it."""
        self._number += 1
        backend = Backend(f"s{self._number}", service, self.ledger, self.chance)
        await backend.start(link)
        self.backends.append(backend)
        self.list_backend(backend, "ready")
        return backend

    def list_backend(self, backend: Backend, state: str) -> None:
        """Write a server's entry as the server does."""
        entry = {
            "service": backend.service,
            "address": backend.link.address,
            "zone": HALLS[self._number % len(HALLS)],
            "slots": 32 if backend.service == "model" else 8,
            "state": state,
            "seq": 1,
        }
        self.platform.put("servers", backend.id, entry)

    def roll_version(self) -> None:
        """Let the operator write the next configuration; one route is in this version only."""
        self._version += 1 + self.chance.randint(0, 3)
        routes = [
            _route("check", "safe", "plain", 1_000),
            _route("order", "unsafe", "plain", 1_000),
            _route("draft", "streaming", "model", 3_000),
            {**_route("review", "streaming", "model", 3_000), "resumable": True},
            _route(f"only-{self._version}", "safe", "plain", 1_000),
        ]
        engine = {"slots": 32, "kvCapacity": 100_000, "kvTokenBytes": 1, "linkMbps": 1_000}
        config = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": "plain", "healthPath": "/health", "maxConns": 200},
                {"name": "model", "healthPath": "/health", "maxConns": 200, "engine": engine},
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 100_000,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": [_tenant(account) for account in ACCOUNTS],
        }
        self.platform.put("op", "config", config)
        keys = frozenset(account.key for account in ACCOUNTS)
        self.ledger.versions.append(Version(self._version, time.monotonic(), keys))

    async def _probe_forever(self) -> None:
        """Ask nodes about the newest version and about one before it, past the directory."""
        while not self._over:
            await asyncio.sleep(PROBE_EVERY_S)
            node = self.chance.choice(self.nodes)
            recent = self.ledger.versions[-2:]
            number = self.chance.choice(recent).number
            self._probes += 1
            job = asyncio.create_task(
                probe(node, f"only-{number}", ACCOUNTS[0], f"probe-{self._probes}", self.ledger)
            )
            self._jobs.add(job)
            job.add_done_callback(self._jobs.discard)

    # What operators do

    def _planned_work(self) -> list["Trouble"]:
        return [
            Trouble(self._roll_node),
            Trouble(self._roll_node),
            Trouble(self._reload_node),
            Trouble(self._change_config),
            Trouble(self._release_server),
        ]

    def _a_node(self) -> NodeProcess | None:
        free = [node for node in self.nodes if node.name not in self._busy and node.running]
        return self.chance.choice(free) if free else None

    async def _roll_node(self) -> None:
        node = self._a_node()
        if node is None or len(self._busy) >= 2:
            return
        self._busy.add(node.name)
        self.ledger.fault("stop", node.name, planned=True)
        await node.stop()
        if not await node.gone(10.0):
            node.kill()
        await asyncio.sleep(0.2)
        await node.start()
        await asyncio.sleep(1.0)
        self._busy.discard(node.name)

    async def _reload_node(self) -> None:
        node = self._a_node()
        if node is not None:
            self.ledger.fault("reload", node.name, planned=True)
            await node.reload()

    async def _change_config(self) -> None:
        self.roll_version()
        self.ledger.fault("config", str(self._version), planned=True)

    async def _release_server(self) -> None:
        if "release" in self._busy:
            return
        self._busy.add("release")
        old = self.chance.choice(self.backends)
        await self.add_backend(old.service)
        await asyncio.sleep(1.0)
        self.backends.remove(old)
        self.ledger.fault("drain", old.id, planned=True)
        self.list_backend(old, "draining")
        self.ledger.leaving.append(Leaving(old.id, time.monotonic()))
        await asyncio.sleep(SERVED_ON_S)
        self.platform.drop("servers", old.id)
        await asyncio.sleep(0.5)
        old.crash()
        old.link.close()
        self._busy.discard("release")

    # What nobody planned

    def _troubles(self) -> list["Trouble"]:
        return [
            Trouble(self._kill_node),
            Trouble(self._kill_node),
            Trouble(self._kill_all),
            Trouble(self._freeze_node),
            Trouble(self._step_clock),
            Trouble(self._cut_store),
            Trouble(self._cut_callers),
            Trouble(self._store_mood),
            Trouble(self._forget_history),
            Trouble(self._lapse_entries),
            Trouble(self._server_link),
            Trouble(self._server_mood),
            Trouble(self._server_mood),
            Trouble(self._crash_server),
            Trouble(self._change_config),
            Trouble(self._roll_node),
            Trouble(self._reload_node),
        ]

    def _for_s(self) -> float:
        return 0.3 + 3.0 * self.chance.random()

    async def _kill_node(self) -> None:
        node = self._a_node()
        if node is None:
            return
        self._busy.add(node.name)
        fault = self.ledger.fault("kill", node.name)
        node.kill()
        await node.gone(5.0)
        await asyncio.sleep(0.1 + self.chance.random())
        await node.start()
        await asyncio.sleep(1.0)
        fault.ends = time.monotonic()
        self._busy.discard(node.name)

    async def _kill_all(self) -> None:
        if self._busy & {"all"}:
            return
        self._busy.add("all")
        fault = self.ledger.fault("kill all", "")
        victims = [node for node in self.nodes if node.name not in self._busy]
        self._busy.update(node.name for node in victims)
        for node in victims:
            node.kill()
        for node in victims:
            await node.gone(5.0)
            await node.start()
        await asyncio.sleep(1.0)
        fault.ends = time.monotonic()
        self._busy.difference_update(node.name for node in victims)
        self._busy.discard("all")

    async def _freeze_node(self) -> None:
        node = self._a_node()
        if node is None:
            return
        self._busy.add(node.name)
        fault = self.ledger.fault("freeze", node.name)
        node.pause()
        await asyncio.sleep(self._for_s())
        self.thawed.append(asyncio.get_running_loop().time())
        node.wake()
        fault.ends = time.monotonic()
        self._busy.discard(node.name)

    async def _step_clock(self) -> None:
        node = self._a_node()
        if node is None:
            return
        fault = self.ledger.fault("clock", node.name)
        await node.step_clock(self.chance.choice((-4.0, 4.0, 30.0)))
        await asyncio.sleep(self._for_s())
        await node.step_clock(0.0)
        fault.ends = time.monotonic()

    async def _turn(self, kind: str, name: str, link: Link) -> None:
        weather = self.chance.choice((Weather.SLOW, Weather.SILENT, Weather.ONE_WAY, Weather.RESET))
        fault = self.ledger.fault(kind, f"{name} {weather.value}")
        link.turn(weather)
        await asyncio.sleep(self._for_s())
        link.turn(Weather.GOOD)
        self.thawed.append(asyncio.get_running_loop().time())
        fault.ends = time.monotonic()

    async def _cut_store(self) -> None:
        node = self.chance.choice(self.nodes)
        await self._turn("store link", node.name, node.store)

    async def _cut_callers(self) -> None:
        node = self.chance.choice(self.nodes)
        await self._turn("callers' link", node.name, node.callers)

    async def _server_link(self) -> None:
        backend = self.chance.choice(self.backends)
        await self._turn("server link", backend.id, backend.link)

    async def _store_mood(self) -> None:
        if "store" in self._busy:
            return
        self._busy.add("store")
        mood = self.chance.choice(
            (StoreMood.BUSY, StoreMood.SILENT, StoreMood.RESET, StoreMood.LOSES, None)
        )
        fault = self.ledger.fault("store", mood.value if mood else "slow")
        self.platform.delay_s = 0.0 if mood else 0.3
        self.platform.mood = mood or StoreMood.GOOD
        await asyncio.sleep(self._for_s())
        self.platform.mood = StoreMood.GOOD
        self.platform.delay_s = 0.0
        self.thawed.append(asyncio.get_running_loop().time())
        fault.ends = time.monotonic()
        self._busy.discard("store")

    async def _lapse_entries(self) -> None:
        """The store is away so long that entries lapse; they are back a second after it is."""
        if "store" in self._busy:
            return
        self._busy.add("store")
        fault = self.ledger.fault("store", "silent, entries lapse")
        self.platform.mood = StoreMood.SILENT
        await asyncio.sleep(AWAY_S)
        lapsed = list(self.backends)
        for backend in lapsed:
            self.platform.drop("servers", backend.id)
        self.platform.mood = StoreMood.GOOD
        await asyncio.sleep(1.0)
        for backend in lapsed:
            if backend in self.backends:
                self.list_backend(backend, "ready")
        self.thawed.append(asyncio.get_running_loop().time())
        fault.ends = time.monotonic()
        self._busy.discard("store")

    async def _forget_history(self) -> None:
        self.ledger.fault("history gone", "", for_s=1.0)
        self.platform.history_from = self.platform.version

    async def _server_mood(self) -> None:
        backend = self.chance.choice(self.backends)
        mood = self.chance.choice([mood for mood in Mood if mood is not Mood.GOOD])
        fault = self.ledger.fault("server", f"{backend.id} {mood.value}")
        backend.mood = mood
        await asyncio.sleep(self._for_s())
        backend.mood = Mood.GOOD
        fault.ends = time.monotonic()

    async def _crash_server(self) -> None:
        """A server is lost; its address may go to one of another service."""
        same = [each for each in self.backends if each.service == "plain"]
        if "crash" in self._busy or len(same) < 2:
            return
        self._busy.add("crash")
        old = self.chance.choice(same)
        self.backends.remove(old)
        fault = self.ledger.fault("crash", old.id)
        old.crash()
        await asyncio.sleep(LAPSE_S)
        self.platform.drop("servers", old.id)
        await asyncio.sleep(0.5)
        service = self.chance.choice(("plain", "model"))
        reuse = old.link if self.chance.random() < 0.5 else None
        await self.add_backend(service, reuse)
        if reuse is None:
            old.link.close()
        if service == "model":
            await self.add_backend("plain")
        fault.ends = time.monotonic()
        self._busy.discard("crash")


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that happens."""

    play: Callable[[], Awaitable[None]]


def _route(name: str, kind: str, service: str, limit_ms: int) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": limit_ms,
        "sloMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


def _tenant(account: Account) -> dict[str, object]:
    rate, burst = LIMITS.get(account.name, (0.0, 0.0))
    return {
        "name": account.name,
        "apiKeys": [account.key],
        "unit": "tokens",
        "plainTokens": 10,
        "ratePerS": rate,
        "burst": burst,
    }


def play(plan: SoakPlan) -> SoakResult:
    """Play one soak in a folder of its own."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    return asyncio.run(Soak(plan, folder).run())
