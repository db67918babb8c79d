"""The environment of a soak: the store, backend servers, node processes and configurations."""

import asyncio
import base64
import os
import random
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from standins.rows import RowsPlatform, StoreMode, StoreSnapshot
from tests.gateway_world import HOST
from tests.soak.backend import Backend
from tests.soak.callers import Account
from tests.soak.engine import MAX_PAUSE_MS, SLOTS, EngineGroup, SoakEngine
from tests.soak.gossip_link import GossipLinks
from tests.soak.link import Link
from tests.soak.process import ROOT, NodeProcess
from tests.soak.records import Ledger, Serving, Version

HALLS = ("hall-a", "hall-b")
ACCOUNTS = (Account("north", "key-n"), Account("south", "key-s"), Account("small", "key-t"))
TOKEN_LIMITS = {"small": (60.0, 120.0)}
"""Rate (tokens per second) and burst (tokens) of the accounts that have a limit."""

STARTUP_S = 2.5
SERVERS_PER_SERVICE = {"plain": 3, "model": 3}
SERVERS_WITH_SCHEDULING = {"plain": 3, "model": 6}

SNAPSHOT_RETENTION_S = 8.0
"""Snapshots of the store are kept for this long."""

STREAM_TARGET_MS = 500
"""Target of the first event with scheduling: a few events, so that a short queue is in time."""

MAX_RESTART_DELAY_S = 2.5
"""A server that a request crashed, or one in its place, is started within this time."""


@dataclass(slots=True)
class SoakWorld:
    """Holds the components of a soak; `busy` has the names of what disruptions currently use."""

    folder: Path
    rng: random.Random
    ledger: Ledger = field(default_factory=Ledger)
    platform: RowsPlatform = field(default_factory=RowsPlatform)
    nodes: list[NodeProcess] = field(default_factory=list)
    backends: list[Backend] = field(default_factory=list)
    resumed_at: list[float] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)
    version: int = 0
    builds: Sequence[Path] = (ROOT,)
    scheduling: bool = False
    gossip: GossipLinks | None = None
    sides: list[str] = field(default_factory=list)
    followed: list[str] = field(default_factory=list)
    side_servers: list[Backend] = field(default_factory=list)
    engines: EngineGroup = field(default_factory=EngineGroup)
    restarts: set[asyncio.Task[None]] = field(default_factory=set)
    listed: dict[str, dict[str, object]] = field(default_factory=dict)
    snapshots: deque[tuple[float, StoreSnapshot]] = field(default_factory=deque)
    _config: dict[str, object] = field(default_factory=dict)
    _servers_started: int = 0

    @property
    def servers_per_service(self) -> dict[str, int]:
        """Return how many servers each service has."""
        return SERVERS_WITH_SCHEDULING if self.scheduling else SERVERS_PER_SERVICE

    async def start(self, nodes: int) -> None:
        """Start the store, the servers and the nodes."""
        await self.platform.start()
        self.publish_version()
        for service, number in self.servers_per_service.items():
            for _ in range(number):
                await self.add_backend(service)
        await self._start_nodes(nodes)

    async def _start_nodes(self, nodes: int) -> None:
        network = f"127.{os.getpid() % 200 + 20}.{random.SystemRandom().randint(0, 254)}"
        store = self.platform.address
        for number in range(nodes):
            hall = HALLS[number % len(HALLS)]
            host = f"{network}.{number + 1}"
            self.nodes.append(
                NodeProcess(
                    f"n{number}",
                    host,
                    hall,
                    self.folder,
                    store,
                    self.ledger,
                    self.builds,
                    self.rng,
                    self.scheduling,
                )
            )
            if self.gossip is not None:
                self.nodes[-1].gossip_port = await self.gossip.add(host)
        seeds = [node.seed_address for node in self.nodes[:3]]
        for node in self.nodes:
            await node.prepare(seeds, first=True)
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.sleep(STARTUP_S)

    async def wait_for_restarts(self) -> None:
        """Wait until the servers that requests crashed are restarted or replaced."""
        while self.restarts:
            await asyncio.wait(set(self.restarts))

    async def heal(self) -> None:
        """Remove all faults, and start missing nodes and servers."""
        await self.wait_for_restarts()
        self.platform.mode = StoreMode.HEALTHY
        self.platform.delay_s = 0.0
        for node in self.nodes:
            if not node.running:
                await node.start()
        for service, number in self.servers_per_service.items():
            present = sum(1 for each in self.backends if each.service == service)
            for _ in range(number - present):
                await self.add_backend(service)

    async def stop(self) -> None:
        """Stop everything that was started."""
        for node in self.nodes:
            node.resume()
            node.kill()
        for node in self.nodes:
            await node.wait_for_exit(5.0)
            node.caller_link.close()
            node.store_link.close()
        if self.gossip is not None:
            self.gossip.close()
        for backend in [*self.backends, *self.side_servers]:
            backend.crash()
            backend.link.close()
        await self.platform.stop()

    def pick_idle_node(self) -> NodeProcess | None:
        """Return a random running node that no disruption uses, or None."""
        free = [node for node in self.nodes if node.name not in self.busy and node.running]
        return self.rng.choice(free) if free else None

    async def add_backend(self, service: str, link: Link | None = None, name: str = "") -> Backend:
        """Start a server and list it; `name` is the id of a server that is restarted."""
        self._servers_started += 1
        backend = Backend(name or f"s{self._servers_started}", service, self.ledger, self.rng)
        self.ledger.server_versions.setdefault(backend.id, self._next_version(service))
        backend.on_guilty_crash = self._on_guilty_crash
        if len(self.builds) > 1:
            # Former builds frame unframed answers that break off as complete.
            backend.unframed_probability = 0.0
        await backend.start(link)
        if self.scheduling:
            backend.hall = HALLS[self._servers_started % len(HALLS)]
            if service == "model":
                backend.engine = SoakEngine(backend.id, self.engines)
                self.engines.by_address[backend.link.address] = backend.engine
        self.backends.append(backend)
        self.list_backend(backend, "ready")
        return backend

    async def start_side_servers(self, service: str, version: str, number: int) -> list[Backend]:
        """Start servers of a version of a side service, which are not listed yet."""
        started = []
        for _ in range(number):
            self._servers_started += 1
            name = f"s{self._servers_started}"
            backend = Backend(name, service, self.ledger, random.Random(name))
            backend.streams, backend.unframed_probability = service in self.sides, 0.0
            self.ledger.server_versions[backend.id] = version
            await backend.start()
            self.side_servers.append(backend)
            started.append(backend)
        return started

    def list_side_servers(self, servers: Sequence[Backend]) -> None:
        """List servers of a side service all at once, so that nodes see their versions together."""
        for each in servers:
            self.list_backend(each, "ready")
            version = self.ledger.server_versions[each.id]
            self.ledger.serving.append(Serving(each.id, each.service, version, time.monotonic()))

    def end_side_server(self, server: Backend) -> None:
        """End a server of a side service at once, and remove its entry."""
        now = time.monotonic()
        for each in self.ledger.serving:
            if each.server == server.id:
                each.ends = min(each.ends, now)
        self.unlist(server.id)
        self.side_servers.remove(server)
        server.crash()
        server.link.close()

    def _next_version(self, service: str) -> str:
        """Return the software version of a new server: every second model server has another one.

        Former builds mix versions. With scheduling, the servers of one hall could not take the
        streams of the other one.
        """
        mixed = service == "model" and not self.scheduling and len(self.builds) == 1
        return f"v{1 + self._servers_started % 2}" if mixed else "v1"

    def _on_guilty_crash(self, old: Backend) -> None:
        if old not in self.backends:
            return
        self.backends.remove(old)
        self.stop_heartbeats(old.id)
        task = asyncio.create_task(self._restart_server(old))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def _restart_server(self, old: Backend) -> None:
        """Restart a server that a request crashed under its id, or start a new one in its place."""
        if self.rng.random() < 0.5:
            await asyncio.sleep(MAX_RESTART_DELAY_S * self.rng.random())
            await self.add_backend(old.service, name=old.id)
            return
        await asyncio.sleep(MAX_RESTART_DELAY_S)
        self.unlist(old.id)
        await self.add_backend(old.service)

    def list_backend(self, backend: Backend, state: str) -> None:
        """Write a server's entry to the store, as the server does."""
        entry: dict[str, object] = {
            "service": backend.service,
            "address": backend.link.address,
            "zone": backend.hall or HALLS[self._servers_started % len(HALLS)],
            "slots": 32 if backend.service == "model" else 8,
            "state": state,
            "version": self.ledger.server_versions[backend.id],
            "seq": 1,
            "born": backend.started_ms,
        }
        if backend.engine is not None:
            entry["slots"] = SLOTS
        if backend.ends_at is not None:
            entry["leaves_ms"] = max(0.0, backend.ends_at - time.monotonic()) * 1000
        self.listed[backend.id] = entry
        self.platform.put("servers", backend.id, entry)

    def unlist(self, name: str) -> None:
        """Remove a server's entry, as the store does once it has lapsed."""
        self.listed.pop(name, None)
        self.platform.drop("servers", name)

    def stop_heartbeats(self, name: str) -> None:
        """Stop renewing a server's entry, which stays in the store until it lapses."""
        self.listed.pop(name, None)

    def send_heartbeats(self) -> None:
        """Renew the entries of all servers, as their heartbeats do."""
        if self.platform.mode is not StoreMode.HEALTHY:
            return
        for name, entry in self.listed.items():
            entry["seq"] = int(str(entry["seq"])) + 1
            self.platform.put("servers", name, entry)

    def put_bytes(self, table: str, key: str, value: bytes) -> str:
        """Write a row with any bytes as another writer may; return its encoded value."""
        self.platform.put(table, key, {})
        row = self.platform.rows[(table, "", key)]
        row.value = base64.b64encode(value).decode()
        return row.value

    def rewrite_config(self) -> None:
        """Write the newest valid configuration again."""
        self.platform.put("op", "config", self._config)

    def take_snapshot(self) -> None:
        """Keep a snapshot that the store may be restored from, and drop expired ones."""
        now = time.monotonic()
        self.snapshots.append((now, self.platform.snapshot()))
        while now - self.snapshots[0][0] > SNAPSHOT_RETENTION_S:
            self.snapshots.popleft()

    def restore_store(self, age_s: float) -> None:
        """Restore the newest snapshot of at least this age, or else the oldest one."""
        wanted = time.monotonic() - age_s
        older = [snapshot for at, snapshot in self.snapshots if at <= wanted]
        self.platform.restore(older[-1] if older else self.snapshots[0][1])
        self.snapshots.clear()
        self.take_snapshot()

    def rewrite_entries(self) -> None:
        """Rewrite the configuration and entries, as the operator and servers do after a restore."""
        self.rewrite_config()
        for name, entry in self.listed.items():
            self.platform.put("servers", name, entry)

    def drop_stale_entries(self) -> None:
        """Remove the entries that no server renews."""
        names = [key for table, _, key in self.platform.rows if table == "servers"]
        for name in names:
            if name not in self.listed:
                self.platform.drop("servers", name)

    def publish_version(self) -> None:
        """Write the next configuration; its route `only-N` exists in version N only."""
        self.version += 1 + self.rng.randint(0, 3)
        routes = [
            _route("check", "safe", "plain", 1_000),
            _route("order", "unsafe", "plain", 1_000),
            _route("draft", "streaming", "model", 3_000),
            {**_route("review", "streaming", "model", 3_000), "resumable": True},
            _route(f"only-{self.version}", "safe", "plain", 1_000),
            *({**_route(each, "streaming", each, 3_000), "resumable": True} for each in self.sides),
            *(_route(each, "safe", each, 1_000) for each in self.followed),
        ]
        engine = {"slots": 32, "kvCapacity": 100_000, "kvTokenBytes": 1, "linkMbps": 1_000}
        if self.scheduling:
            # A run of 72 tokens is copied in 58 ms, about the `COPY_S` of the servers.
            engine |= {"slots": SLOTS, "moves": True, "kvTokenBytes": 10_000, "linkMbps": 100}
            for route in routes[2:4]:
                route |= {"gapTargetMs": MAX_PAUSE_MS, "sloMs": STREAM_TARGET_MS}
        config = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "plain", "healthPath": "/health", "maxConns": 200},
                {"name": "model", "healthPath": "/health", "maxConns": 200, "engine": engine},
                *(
                    {"name": each, "healthPath": "/health", "maxConns": 200}
                    for each in [*self.sides, *self.followed]
                ),
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 100_000,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": [_tenant(account) for account in ACCOUNTS],
        }
        self._config = config
        self.platform.put("op", "config", config)
        keys = frozenset(account.key for account in ACCOUNTS)
        self.ledger.versions.append(Version(self.version, time.monotonic(), keys))


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
    rate, burst = TOKEN_LIMITS.get(account.name, (0.0, 0.0))
    return {
        "name": account.name,
        "apiKeys": [account.key],
        "unit": "tokens",
        "plainTokens": 10,
        "ratePerS": rate,
        "burst": burst,
    }
