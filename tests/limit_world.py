"""Callers of several nodes, and the number of requests that reach a rate-limited server."""

import asyncio
import random
from dataclasses import dataclass, field

from moledale.clock import monotonic
from moledale.gateway.node import GatewayNode
from tests.gateway_world import STAMP_HEADER, Arrival, ScriptedServer, answer, request_bytes
from tests.test_gateway_nodes import Cluster, ask, make_config, ready, wait_until

WINDOW_S = 4.0
"""Length of the sliding window in which arrivals at a server are counted."""

LIMIT_EFFECTIVE_AFTER_S = 0.5
"""Requests count from this long after a node first forwarded an answer that stated the limit."""


def max_expected_arrivals(limit_per_s: float) -> float:
    """Return the maximum number of requests that a server may get in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


@dataclass(slots=True)
class LimitedServer(ScriptedServer):
    """A server that states a limit in its answers while it has one."""

    limit_per_s: float | None = None
    answer_s: float = 0.01

    async def serve_one(
        self, arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, with the limit if there is one."""
        limit = self.limit_per_s
        await asyncio.sleep(self.answer_s)
        limit_header = b"" if limit is None else b"Server-Limit: %.3f\r\n" % limit
        writer.write(answer(arrival, extra_headers=STAMP_HEADER + limit_header))


def make_limited_server(name: str, limit_per_s: float | None) -> LimitedServer:
    """Return a limited server that is not started yet."""

    async def unset(_: Arrival, __: asyncio.StreamReader, ___: asyncio.StreamWriter) -> None:
        """Stand in for the script, which is a method of the server itself."""

    server = LimitedServer(name, unset, limit_per_s=limit_per_s)
    server.script = server.serve_one
    return server


@dataclass(slots=True)
class Callers:
    """Sends requests to random nodes and records the answers.

    `limit_forwarded_at` is when each node first forwarded an answer that stated a limit.
    """

    cluster: Cluster
    rng: random.Random
    request_count: int = 0
    limit_forwarded_at: dict[str, float] = field(default_factory=dict)
    statuses: list[int] = field(default_factory=list)
    retry_after_s: list[float] = field(default_factory=list)
    rejection_latencies_s: list[float] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def send_requests(self, seconds: float, per_s: float) -> None:
        """Send requests at a steady rate, then wait for all answers."""
        ends = monotonic() + seconds
        while monotonic() < ends:
            self._tasks.append(asyncio.create_task(self._send_request()))
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    async def _send_request(self) -> None:
        name = self.rng.choice(sorted(self.cluster.nodes))
        self.request_count += 1
        data = request_bytes("/check/", request_id=f"r{self.request_count}")
        began = monotonic()
        got = await ask(self.cluster.nodes[name].settings.node.callers, data)
        self.statuses.append(got.status)
        if "server-limit" in got.headers:
            self.limit_forwarded_at.setdefault(name, monotonic())
        if "retry-after" in got.headers:
            self.retry_after_s.append(float(got.headers["retry-after"]))
            self.rejection_latencies_s.append(monotonic() - began)

    def max_arrivals_in_window(self, server: ScriptedServer) -> int:
        """Return the maximum number of requests in a window once the limit was in effect.

        Requests of all nodes count, also of those that know the limit from other nodes only.
        """
        counted_from = min(self.limit_forwarded_at.values()) + LIMIT_EFFECTIVE_AFTER_S
        counted = [each.at for each in server.arrivals if each.at >= counted_from]
        return max(
            (sum(at <= each < at + WINDOW_S for each in counted) for at in counted), default=0
        )


def set_long_timeouts(cluster: Cluster) -> None:
    """Set timeouts so long that a stall of the test machine does not end requests."""
    plan = make_config(2)
    plan["routes"][0].update(timeoutMs=10_000, sloMs=2_000)  # type: ignore[index]
    cluster.platform.put("op", "config", plan)


async def start_nodes(cluster: Cluster, number: int) -> list[GatewayNode]:
    """Start nodes and wait until all of them know each other."""
    nodes = [await cluster.start("n0")]
    seed = (nodes[0].settings.node.control,)
    nodes += [await cluster.start(f"n{each}", seed) for each in range(1, number)]
    for node in nodes:
        await wait_until(ready(node))
        await wait_until(lambda node=node: len(node.members.members) == number - 1)  # type: ignore[misc]
    return nodes
