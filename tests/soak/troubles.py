"""Disruptions that a soak injects: planned work of operators, and unplanned faults."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable, Coroutine

from standins.rows import StoreMode
from tests.soak.backend import (
    GUILTY_PART_PREFIX,
    GUILTY_PREFIX,
    PART_BODY,
    Backend,
    ServerMode,
)
from tests.soak.callers import probe
from tests.soak.checks import SETTLE_TIME_S
from tests.soak.link import Link, LinkMode
from tests.soak.records import KILL_ALL, PARTITION, Leaving, Limit
from tests.soak.world import ACCOUNTS, SoakWorld

DRAIN_S = 3.2
"""A leaving server keeps serving for this long after the server list reported it as leaving."""

NOTICE_S = 1.2
"""Notice of servers that are reclaimed. Nodes assume 0.5 s less, as the list may be that old, so
streams in their first half have to move."""

RECLAIM_DELAY_S = 0.4
"""The hall that each round reclaims leaves this long after its begin. The first streams take 1.6 s,
and nodes learn of it within 0.8 s (they read the list that often), so streams have to move."""

HALL_PROBABILITY = 0.5
"""How likely all model servers of a hall are reclaimed at once, instead of one."""

CRASHED_ENTRY_LAPSE_S = 2.0
"""The entry of a crashed server lapses after this time."""

ENTRIES_LAPSE_S = 3.0
"""After a restore, entries that no server renews lapse this long after the others are rewritten."""

MAX_LOST_WRITES = 120
"""Maximum number of writes of other users that a restore loses. Their versions are reused."""

STORE_OUTAGE_S = 3.8
"""Minimum duration of an outage in which entries lapse or a server leaves."""

GUILTY_SENDS = 16
GUILTY_PART_SENDS = 24
GUILTY_INTERVAL_S = 0.5
"""A request that crashes servers is sent this many times at this mean interval: for 8 s, longer
than all servers of a service need to crash and restart."""

PARTITION_SHARE = 0.8
PARTITION_DELAY_S = 1.0
PARTITION_S = 4.5
"""Share of the nodes that a partition cuts from the store, how long after its begin at most the
configuration changes, and its duration."""

LIMITS_PER_S = (0.4, 1.0, 4.0)
LIMIT_DURATION_S = 9.0
ALL_LIMITED_PROBABILITY = 0.3
"""Limits that servers state, for how long, and how likely all servers of a service do."""

Disruption = Callable[[], Coroutine[None, None, None]]


class FaultInjector:
    """Injects disruptions: each method causes one and returns when it is over."""

    def __init__(self, world: SoakWorld) -> None:
        self._world = world
        self._guilty_requests = 0
        self._store_lock = asyncio.Lock()

    def planned(self) -> list[Disruption]:
        """Return the planned work of operators, none of which may cut a request."""
        return [
            self._restart_node,
            self._restart_node,
            self._reload_node,
            self._change_config,
            self._replace_server,
            *self._scheduling_work(),
        ]

    def _scheduling_work(self) -> list[Disruption]:
        """Return the planned work that calls for the scheduling features, if they are on."""
        return [self._reclaim_servers] * 3 if self._world.scheduling else []

    async def _reclaim_servers(self) -> None:
        """Reclaim a model server, or all of a hall."""
        if "release" in self._world.busy:
            return
        self._world.busy.add("release")
        await self._reclaim(self._world.rng.random() < HALL_PROBABILITY)
        self._world.busy.discard("release")

    async def reclaim_hall(self) -> None:
        """Reclaim all model servers of a hall while streams run on them."""
        self._world.busy.add("release")
        await asyncio.sleep(RECLAIM_DELAY_S)
        await self._reclaim(whole_hall=True)
        self._world.busy.discard("release")

    async def _reclaim(self, whole_hall: bool) -> None:
        """End servers after a notice; those of the other hall keep serving meanwhile."""
        models = [each for each in self._world.backends if each.service == "model"]
        if not models:
            return
        first = self._world.rng.choice(models)
        leaving = [each for each in models if each.hall == first.hall] if whole_hall else [first]
        if len(leaving) == len(models):
            return
        names = " ".join(each.id for each in leaving)
        self._world.ledger.record_fault("reclaim", names, planned=True)
        ends_at = time.monotonic() + NOTICE_S
        for each in leaving:
            self._world.backends.remove(each)
            each.ends_at = ends_at
            self._list_as_leaving(each)
        await asyncio.sleep(NOTICE_S)
        for each in leaving:
            self._world.unlist(each.id)
            each.crash()
            each.link.close()
        for _ in leaving:
            await self._world.add_backend("model")
        await asyncio.sleep(1.0)

    async def _restart_node(self) -> None:
        node = self._world.pick_idle_node()
        if node is None or len(self._world.busy) >= 2:
            return
        self._world.busy.add(node.name)
        self._world.ledger.record_fault("stop", node.name, planned=True)
        await node.stop()
        if not await node.wait_for_exit(10.0):
            node.kill()
        await asyncio.sleep(0.2)
        await node.start()
        await asyncio.sleep(1.0)
        self._world.busy.discard(node.name)

    async def _reload_node(self) -> None:
        node = self._world.pick_idle_node()
        if node is not None:
            self._world.ledger.record_fault("reload", node.name, planned=True)
            await node.reload()

    async def _change_config(self) -> None:
        self._world.publish_version()
        self._world.ledger.record_fault("config", str(self._world.version), planned=True)

    async def _replace_server(self) -> None:
        if "release" in self._world.busy:
            return
        self._world.busy.add("release")
        old = self._world.rng.choice(self._world.backends)
        await self._world.add_backend(old.service)
        await asyncio.sleep(1.0)
        self._world.backends.remove(old)
        self._world.ledger.record_fault("drain", old.id, planned=True)
        self._list_as_leaving(old)
        await self._retire_server(old)
        self._world.busy.discard("release")

    def _list_as_leaving(self, old: Backend) -> None:
        self._world.list_backend(old, "draining")
        self._world.ledger.leaving.append(Leaving(old.id, time.monotonic()))

    async def _retire_server(self, old: Backend) -> None:
        """Stop a leaving server after its drain time, once its entry was removed."""
        await asyncio.sleep(DRAIN_S)
        self._world.unlist(old.id)
        await asyncio.sleep(0.5)
        old.crash()
        old.link.close()

    async def partition_store(self, rng: random.Random) -> None:
        """Cut nodes from the store without a reset while the configuration changes, and heal them.

        All values are drawn before waiting until nothing else disturbs the nodes.
        """
        nodes = rng.sample(
            self._world.nodes, max(1, round(PARTITION_SHARE * len(self._world.nodes)))
        )
        delay_s = PARTITION_DELAY_S * rng.random()
        await asyncio.sleep(SETTLE_TIME_S)
        names = " ".join(node.name for node in nodes)
        fault = self._world.ledger.record_fault(PARTITION, names)
        for node in nodes:
            node.store_link.set_mode(LinkMode.SILENT)
        await asyncio.sleep(delay_s)
        await self._change_config()
        await asyncio.sleep(PARTITION_S - delay_s)
        for node in nodes:
            node.store_link.set_mode(LinkMode.HEALTHY)
        self._world.resumed_at.append(asyncio.get_running_loop().time())
        fault.ends = time.monotonic()

    def unplanned(self) -> list[Disruption]:
        """Return unplanned faults, mixed with some planned work."""
        return [
            self._kill_node,
            self._kill_node,
            self._kill_all,
            self._freeze_node,
            self._step_clock,
            self._disturb_store_link,
            self._disturb_caller_link,
            self._disturb_store,
            self._discard_history,
            self._lapse_entries,
            self._leave_during_outage,
            self._disturb_server_link,
            self._disturb_server,
            self._disturb_server,
            self._crash_server,
            self._send_guilty_request,
            *self._guilty_part(),
            self._state_limits,
            self._change_config,
            self._restart_node,
            self._reload_node,
            *self._scheduling_work(),
        ]

    def _guilty_part(self) -> list[Disruption]:
        """Return the disruption by a part of prompts, which former builds do not recognise."""
        return [self._send_guilty_part] if len(self._world.builds) == 1 else []

    def _draw_duration_s(self) -> float:
        return 0.3 + 3.0 * self._world.rng.random()

    async def _kill_node(self) -> None:
        node = self._world.pick_idle_node()
        if node is None:
            return
        self._world.busy.add(node.name)
        fault = self._world.ledger.record_fault("kill", node.name)
        node.kill()
        await node.wait_for_exit(5.0)
        await asyncio.sleep(0.1 + self._world.rng.random())
        await node.start()
        await asyncio.sleep(1.0)
        fault.ends = time.monotonic()
        self._world.busy.discard(node.name)

    async def _kill_all(self) -> None:
        if self._world.busy & {"all"}:
            return
        self._world.busy.add("all")
        fault = self._world.ledger.record_fault(KILL_ALL, "")
        victims = [node for node in self._world.nodes if node.name not in self._world.busy]
        self._world.busy.update(node.name for node in victims)
        for node in victims:
            node.kill()
        for node in victims:
            await node.wait_for_exit(5.0)
            await node.start()
        await asyncio.sleep(1.0)
        fault.ends = time.monotonic()
        self._world.busy.difference_update(node.name for node in victims)
        self._world.busy.discard("all")

    async def _freeze_node(self) -> None:
        node = self._world.pick_idle_node()
        if node is None:
            return
        self._world.busy.add(node.name)
        fault = self._world.ledger.record_fault("freeze", node.name)
        node.pause()
        await asyncio.sleep(self._draw_duration_s())
        self._world.resumed_at.append(asyncio.get_running_loop().time())
        node.resume()
        fault.ends = time.monotonic()
        self._world.busy.discard(node.name)

    async def _step_clock(self) -> None:
        node = self._world.pick_idle_node()
        if node is None:
            return
        fault = self._world.ledger.record_fault("clock", node.name)
        await node.step_clock(self._world.rng.choice((-4.0, 4.0, 30.0)))
        await asyncio.sleep(self._draw_duration_s())
        await node.step_clock(0.0)
        fault.ends = time.monotonic()

    async def _disturb_link(self, kind: str, name: str, link: Link) -> None:
        mode = self._world.rng.choice(
            (LinkMode.SLOW, LinkMode.SILENT, LinkMode.ONE_WAY, LinkMode.RESET)
        )
        fault = self._world.ledger.record_fault(kind, f"{name} {mode.value}")
        link.set_mode(mode)
        await asyncio.sleep(self._draw_duration_s())
        link.set_mode(LinkMode.HEALTHY)
        self._world.resumed_at.append(asyncio.get_running_loop().time())
        fault.ends = time.monotonic()

    async def _disturb_store_link(self) -> None:
        node = self._world.rng.choice(self._world.nodes)
        await self._disturb_link("store link", node.name, node.store_link)

    async def _disturb_caller_link(self) -> None:
        node = self._world.rng.choice(self._world.nodes)
        await self._disturb_link("callers' link", node.name, node.caller_link)

    async def _disturb_server_link(self) -> None:
        backend = self._world.rng.choice(self._world.backends)
        await self._disturb_link("server link", backend.id, backend.link)

    @contextlib.asynccontextmanager
    async def _store_fault(self, what: str) -> AsyncIterator[None]:
        """Record a store fault for the duration of the block; concurrent ones wait for its end."""
        async with self._store_lock:
            self._world.busy.add("store")
            fault = self._world.ledger.record_fault("store", what)
            yield
            self._world.resumed_at.append(asyncio.get_running_loop().time())
            fault.ends = time.monotonic()
            self._world.busy.discard("store")

    async def _disturb_store(self) -> None:
        if "store" in self._world.busy:
            return
        mode = self._world.rng.choice(
            (StoreMode.BUSY, StoreMode.SILENT, StoreMode.RESET, StoreMode.LOSES_WRITE_ANSWERS, None)
        )
        async with self._store_fault(mode.value if mode else "slow"):
            self._world.platform.delay_s = 0.0 if mode else 0.3
            self._world.platform.mode = mode or StoreMode.HEALTHY
            await asyncio.sleep(self._draw_duration_s())
            self._world.platform.mode = StoreMode.HEALTHY
            self._world.platform.delay_s = 0.0

    async def _lapse_entries(self) -> None:
        """Make the store silent until entries lapse; servers rewrite them a second afterwards."""
        if "store" in self._world.busy:
            return
        async with self._store_fault("silent, entries lapse"):
            self._world.platform.mode = StoreMode.SILENT
            await asyncio.sleep(STORE_OUTAGE_S)
            lapsed = list(self._world.backends)
            for backend in lapsed:
                self._world.unlist(backend.id)
            self._world.platform.mode = StoreMode.HEALTHY
            await asyncio.sleep(1.0)
            for backend in lapsed:
                if backend in self._world.backends:
                    self._world.list_backend(backend, "ready")

    async def restore_store(self, rng: random.Random) -> None:
        """Make the store reset connections for a moment, then restore it from an older snapshot.

        All values are drawn before waiting for a concurrent store fault.
        """
        lost = rng.randint(0, MAX_LOST_WRITES)
        outage, age, pause = rng.random(), rng.random(), rng.random()
        async with self._store_fault("back from an older copy"):
            for _ in range(lost):
                self._world.platform.put("others", "row", {})
            self._world.platform.mode = StoreMode.RESET
            await asyncio.sleep(0.2 + 1.3 * outage)
            self._world.restore_store(2.0 + 4.0 * age)
            self._world.platform.mode = StoreMode.HEALTHY
        await asyncio.sleep(0.1 + 0.9 * pause)
        self._world.rewrite_entries()
        await asyncio.sleep(ENTRIES_LAPSE_S)
        self._world.drop_stale_entries()

    async def _leave_during_outage(self) -> None:
        """Let a server leave while the store is silent, so that only its own answers report it."""
        if self._world.busy & {"store", "release"}:
            return
        self._world.busy.add("release")
        old = self._world.rng.choice(self._world.backends)
        await self._world.add_backend(old.service)
        await asyncio.sleep(1.0)
        async with self._store_fault(f"silent, {old.id} leaves"):
            self._world.platform.mode = StoreMode.SILENT
            if old in self._world.backends:
                self._world.backends.remove(old)
            old.leaving = True
            await asyncio.sleep(STORE_OUTAGE_S + self._draw_duration_s())
            self._world.platform.mode = StoreMode.HEALTHY
            self._list_as_leaving(old)
        await self._retire_server(old)
        self._world.busy.discard("release")

    async def _discard_history(self) -> None:
        self._world.ledger.record_fault("history gone", "", duration_s=1.0)
        self._world.platform.history_from = self._world.platform.version

    async def _send_guilty_request(self) -> None:
        """Send a request that crashes each server that runs it to random nodes, again and again."""
        if "guilty" in self._world.busy:
            return
        self._world.busy.add("guilty")
        route = self._world.rng.choice(("order", "draft", "review"))
        self._guilty_requests += 1
        body = GUILTY_PREFIX + f" {self._guilty_requests}".encode()
        fault = self._world.ledger.record_fault("guilty request", route)
        for number in range(GUILTY_SENDS):
            node = self._world.rng.choice(self._world.nodes)
            name = f"guilty-{self._guilty_requests}-{number}"
            await probe(node, route, ACCOUNTS[0], name, self._world.ledger, body)
            await asyncio.sleep(GUILTY_INTERVAL_S * (0.3 + 1.4 * self._world.rng.random()))
        await self._world.wait_for_restarts()
        fault.ends = time.monotonic()
        self._world.busy.discard("guilty")

    async def _send_guilty_part(self) -> None:
        """Send requests to random nodes that share a part under which each server crashes.

        No two of them are alike; their first part is that of sound requests.
        """
        if "guilty" in self._world.busy:
            return
        self._world.busy.add("guilty")
        self._guilty_requests += 1
        part = f"{GUILTY_PART_PREFIX}{self._guilty_requests:04x}"
        fault = self._world.ledger.record_fault("guilty part", part)
        for number in range(GUILTY_PART_SENDS):
            node = self._world.rng.choice(self._world.nodes)
            route = self._world.rng.choice(("draft", "review"))
            name = f"part-{self._guilty_requests}-{number}"
            body = PART_BODY + f"{part} {number}".encode()
            parts = f"aa:3,{part}:2,c{number}:2"
            await probe(node, route, ACCOUNTS[0], name, self._world.ledger, body, parts)
            await asyncio.sleep(GUILTY_INTERVAL_S * (0.3 + 1.4 * self._world.rng.random()))
        await self._world.wait_for_restarts()
        fault.ends = time.monotonic()
        self._world.busy.discard("guilty")

    async def _disturb_server(self) -> None:
        backend = self._world.rng.choice(self._world.backends)
        mode = self._world.rng.choice(
            [mode for mode in ServerMode if mode is not ServerMode.HEALTHY]
        )
        fault = self._world.ledger.record_fault("server", f"{backend.id} {mode.value}")
        backend.mode = mode
        await asyncio.sleep(self._draw_duration_s())
        backend.mode = ServerMode.HEALTHY
        fault.ends = time.monotonic()

    async def _state_limits(self) -> None:
        """Have one server, or all of a service, state a limit of requests from all nodes."""
        if "limits" in self._world.busy:
            return
        self._world.busy.add("limits")
        first = self._world.rng.choice(self._world.backends)
        per_s = self._world.rng.choice(LIMITS_PER_S)
        limited = [first]
        if self._world.rng.random() < ALL_LIMITED_PROBABILITY:
            limited = [each for each in self._world.backends if each.service == first.service]
        fault = self._world.ledger.record_fault("limit", " ".join(each.id for each in limited))
        now = time.monotonic()
        limits = [Limit(each.id, per_s, now) for each in limited]
        self._world.ledger.limits.extend(limits)
        for each in limited:
            each.limit_per_s = per_s
        await asyncio.sleep(LIMIT_DURATION_S)
        for each in limited:
            each.limit_per_s = None
        fault.ends = time.monotonic()
        for each in limited:
            self._world.ledger.end_limits(each.id)
        self._world.busy.discard("limits")

    async def _crash_server(self) -> None:
        """Crash a server; its address may be reused by a server of another service."""
        same = [each for each in self._world.backends if each.service == "plain"]
        if "crash" in self._world.busy or len(same) < 2:
            return
        self._world.busy.add("crash")
        old = self._world.rng.choice(same)
        self._world.backends.remove(old)
        fault = self._world.ledger.record_fault("crash", old.id)
        self._world.stop_heartbeats(old.id)
        old.crash()
        await asyncio.sleep(CRASHED_ENTRY_LAPSE_S)
        self._world.unlist(old.id)
        await asyncio.sleep(0.5)
        service = self._world.rng.choice(("plain", "model"))
        reuse = old.link if self._world.rng.random() < 0.5 else None
        await self._world.add_backend(service, reuse)
        if reuse is None:
            old.link.close()
        if service == "model":
            await self._world.add_backend("plain")
        fault.ends = time.monotonic()
        self._world.busy.discard("crash")
