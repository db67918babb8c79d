"""Drills of software versions: callers take streams up again after all nodes were killed, and at a
node that is out of step.

Each drill has a service of its own, whose streams are resumable, and callers that lose them.
"""

import asyncio
import random
import time
from collections.abc import Callable
from enum import StrEnum

from tests.soak.backend import Backend, last_event_of
from tests.soak.callers import NoConnection, SoakCaller
from tests.soak.checks import APPLY_S, IN_TOUCH_S, SIDE_PREFIX
from tests.soak.link import LinkMode
from tests.soak.process import NodeProcess
from tests.soak.records import KILL_ALL, VERSION_DRILL, Attempt
from tests.soak.world import ACCOUNTS, SoakWorld

DRILL_ACCOUNT = ACCOUNTS[0]
STEADY, PASSING = "v1", "v2"
"""The version of which two servers always serve, and the one whose servers come and go."""

STEADY_SERVERS = 3
CALLERS = 8
KEEPERS = 4
PAUSE_S = 0.1
MAX_WAIT_S = 6.0
WAIT_PROBABILITY = 0.4
"""How many callers take streams up again, and for how long some wait before. Keepers wait over both
kills, until nodes are in touch."""

TURNOVER_INTERVAL_S = 0.9
BEFORE_KILL_S = (1.0, 2.5)
BETWEEN_KILLS_S = (1.0, 4.0)
IN_TOUCH_TRAFFIC_S = 5.0

OUT_OF_STEP_S = (1.0, 4.0)
ORDER_S = 60.0
LEARN_S = 1.5
"""For how long a node is out of step, how long the roll-out of the new version may last, and the
time in which nodes learn of an order."""

MAX_JOIN_DELAY_S = 0.4
"""A node relies on its list for 1.2 s, so servers of the new version join soon after it is cut."""

TRIES_PER_STREAM = 2
NEXT_STREAM_S = 0.05


class OutOfStep(StrEnum):
    """How a node gets out of step."""

    STOPPED = "stopped"
    STORE = "cut from the store"
    NODES = "cut from the nodes"
    BOTH = "cut from both"


class VersionDrills:
    """Runs drills one after another; nothing else may disturb the nodes meanwhile."""

    def __init__(self, world: SoakWorld, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._drills = 0

    async def _begin(self, versions: dict[str, int]) -> str:
        """Publish a service with servers of these versions; return its name."""
        self._drills += 1
        service = f"{SIDE_PREFIX}{self._drills}"
        self._world.sides.append(service)
        self._world.publish_version()
        started = [
            each
            for version, number in versions.items()
            for each in await self._world.start_side_servers(service, version, number)
        ]
        self._world.list_side_servers(started)
        await asyncio.sleep(APPLY_S)
        return service

    def _end_servers(self, service: str) -> None:
        for each in self._servers(service):
            self._world.end_side_server(each)

    def _servers(self, service: str, version: str = "") -> list[Backend]:
        known = self._world.ledger.server_versions
        return [
            each
            for each in self._world.side_servers
            if each.service == service and version in ("", known[each.id])
        ]

    def _caller(self, name: str) -> SoakCaller:
        rng = random.Random(self._rng.random())
        nodes, ledger = self._world.nodes, self._world.ledger
        return SoakCaller(name, DRILL_ACCOUNT, nodes, ledger, rng, lambda: ())

    async def kill_all_twice(self) -> None:
        """Kill all nodes twice while servers of a version come and go."""
        service = await self._begin({STEADY: STEADY_SERVERS, PASSING: 2})
        fault = self._world.ledger.record_fault(VERSION_DRILL, f"{service} all nodes killed twice")
        over = asyncio.Event()
        work = [
            asyncio.create_task(self._lose_streams(f"{service}-{number}", service, over.is_set))
            for number in range(CALLERS)
        ]
        work.append(asyncio.create_task(self._turn_servers_over(service, over.is_set)))
        killed, in_touch = asyncio.Event(), asyncio.Event()
        work += [
            asyncio.create_task(
                self._keep_streams(f"{service}-kept{number}", service, killed.is_set, in_touch)
            )
            for number in range(KEEPERS)
        ]
        await asyncio.sleep(self._rng.uniform(*BEFORE_KILL_S))
        await self._kill_all()
        await asyncio.sleep(self._rng.uniform(*BETWEEN_KILLS_S))
        killed.set()
        await self._kill_all()
        await asyncio.sleep(IN_TOUCH_S)
        in_touch.set()
        await asyncio.sleep(IN_TOUCH_TRAFFIC_S)
        over.set()
        await asyncio.gather(*work)
        self._end_servers(service)
        fault.ends = time.monotonic()

    async def _kill_all(self) -> None:
        fault = self._world.ledger.record_fault(KILL_ALL, "")
        for node in self._world.nodes:
            node.kill()
        for node in self._world.nodes:
            await node.wait_for_exit(5.0)
        await asyncio.gather(*(node.start() for node in self._world.nodes))
        fault.ends = time.monotonic()

    async def _turn_servers_over(self, service: str, is_over: Callable[[], bool]) -> None:
        """Let servers of one version come and go, and replace one of the other now and then."""
        while not is_over():
            await asyncio.sleep(TURNOVER_INTERVAL_S * (0.3 + 1.4 * self._rng.random()))
            change = self._rng.choice(("come", "go", "all go", "replace"))
            passing = self._servers(service, PASSING)
            if change == "replace":
                old = self._servers(service, STEADY)[0]
                await self._list_more(service, STEADY, 1)
                self._world.end_side_server(old)
            elif change == "come" or not passing:
                await self._list_more(service, PASSING, 2)
            else:
                for each in passing[: 1 if change == "go" else None]:
                    self._world.end_side_server(each)
            detail = f"{service} {change}"
            self._world.ledger.record_fault("servers", detail, planned=True)

    async def _list_more(self, service: str, version: str, number: int) -> None:
        started = await self._world.start_side_servers(service, version, number)
        self._world.list_side_servers(started)

    async def _lose_streams(self, name: str, route: str, is_over: Callable[[], bool]) -> None:
        """Begin streams at any node, lose each after some events and take it up again."""
        caller = self._caller(name)
        while not is_over():
            await asyncio.sleep(PAUSE_S * (0.5 + self._rng.random()))
            first = await self._send(caller, self._rng.choice(self._world.nodes), route, drops=True)
            if first is None or first.whole or not last_event_of(first.answer):
                continue
            waits = self._rng.random() < WAIT_PROBABILITY
            await asyncio.sleep(MAX_WAIT_S * self._rng.random() if waits else 0.0)
            last = first
            for _ in range(TRIES_PER_STREAM):
                node = self._rng.choice(self._world.nodes)
                got = await self._send(caller, node, route, first, last)
                if got is None or got.whole:
                    break
                last = got if last_event_of(got.answer) else last

    async def _keep_streams(
        self, name: str, route: str, is_over: Callable[[], bool], in_touch: asyncio.Event
    ) -> None:
        """Lose streams before the last kill, and take them up again once nodes are in touch."""
        caller = self._caller(name)
        kept: list[Attempt] = []
        while not is_over():
            await asyncio.sleep(PAUSE_S * (0.5 + self._rng.random()))
            first = await self._send(caller, self._rng.choice(self._world.nodes), route, drops=True)
            if first is not None and not first.whole and last_event_of(first.answer):
                kept.append(first)
        await in_touch.wait()
        for each in kept:
            await asyncio.sleep(PAUSE_S * self._rng.random())
            await self._send(caller, self._rng.choice(self._world.nodes), route, each, each)

    async def _send(
        self,
        caller: SoakCaller,
        node: NodeProcess,
        route: str,
        first: Attempt | None = None,
        last: Attempt | None = None,
        drops: bool = False,
    ) -> Attempt | None:
        """Begin a stream at a node, or take one up again; return None without a connection."""
        try:
            await caller.connect_to(node)
        except NoConnection:
            return None
        if first is None or last is None:
            return await caller.send(route, drops=drops)
        return await caller.send(route, last_event_of(last.answer), resumes=first.request)

    async def join_out_of_step(self) -> None:
        """Let servers of a new version join while one node is out of step.

        Callers take the streams that begin there up again at that node, while it is out of step and
        the moment it is back.
        """
        service = await self._begin({STEADY: 2})
        late = self._rng.choice(self._world.nodes)
        how = self._rng.choice(list(OutOfStep))
        joining = await self._world.start_side_servers(service, PASSING, 2)
        order = {"service": service, "targetVersion": PASSING, "durationS": ORDER_S}
        self._world.platform.put("op", f"rollout/{service}", order)
        await asyncio.sleep(LEARN_S)
        lasts_s = self._rng.uniform(*OUT_OF_STEP_S)
        fault = self._world.ledger.record_fault("out of step", f"{late.name} {how.value} {service}")
        over = asyncio.Event()
        self._set_out_of_step(late, how)
        await asyncio.sleep(MAX_JOIN_DELAY_S * self._rng.random())
        self._world.list_side_servers(joining)
        others = [each for each in self._world.nodes if each is not late]
        work = [
            asyncio.create_task(
                self._move_streams(f"{service}-{number}", service, others, late, over.is_set)
            )
            for number in range(CALLERS)
        ]
        await asyncio.sleep(lasts_s)
        self._set_in_step(late, how)
        await asyncio.sleep(LEARN_S)
        over.set()
        await asyncio.gather(*work)
        self._end_servers(service)
        self._world.platform.drop("op", f"rollout/{service}")
        fault.ends = time.monotonic()

    def _set_out_of_step(self, node: NodeProcess, how: OutOfStep) -> None:
        if how is OutOfStep.STOPPED:
            node.pause()
        if how in (OutOfStep.STORE, OutOfStep.BOTH):
            node.store_link.set_mode(self._rng.choice((LinkMode.SILENT, LinkMode.RESET)))
        if how in (OutOfStep.NODES, OutOfStep.BOTH) and self._world.gossip is not None:
            self._world.gossip.cut.add(node.host)

    def _set_in_step(self, node: NodeProcess, how: OutOfStep) -> None:
        self._world.resumed_at.append(asyncio.get_running_loop().time())
        if how is OutOfStep.STOPPED:
            node.resume()
        node.store_link.set_mode(LinkMode.HEALTHY)
        if self._world.gossip is not None:
            self._world.gossip.cut.discard(node.host)

    async def _move_streams(
        self,
        name: str,
        route: str,
        others: list[NodeProcess],
        late: NodeProcess,
        is_over: Callable[[], bool],
    ) -> None:
        """Begin streams at nodes in step, and take those of the new version up at the late one."""
        caller = self._caller(name)
        while not is_over():
            await asyncio.sleep(NEXT_STREAM_S * self._rng.random())
            first = await self._send(caller, self._rng.choice(others), route, drops=True)
            if first is not None and self._is_of_new_version(first) and not first.whole:
                await self._send(caller, late, route, first, first)

    def _is_of_new_version(self, attempt: Attempt) -> bool:
        server = attempt.headers.get("server-stamp", "")
        known = self._world.ledger.server_versions
        return bool(last_event_of(attempt.answer)) and known.get(server) == PASSING
