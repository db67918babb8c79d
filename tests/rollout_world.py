"""Complete nodes with servers of two versions of a service, the newer of which may be bad.

The fake platform acts on the status of a roll-out: `completed` stops the old servers at once,
`rolled_back` drains the new ones.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from moledale.clock import monotonic
from moledale.gateway.node import GatewayNode
from moledale.gateway.settings import Bounds
from tests.gateway_world import API_KEY, Arrival, ScriptedServer, answer, read_answer, request_bytes
from tests.test_gateway_nodes import HOST, Cluster

SERVICE = "plain"
OLD, NEW = "v1", "v2"
TARGET_MS = 200
MEDIAN_ANSWER_S = 0.01
ROUTES = ("check", "order")
BOUNDS = Bounds(stop_s=3.0, lease_s=0.6, usage_window_s=1.0)


def make_config(version: int = 1) -> object:
    """Return a configuration with a safe and an unsafe route to one service."""
    kinds = {"check": "safe", "order": "unsafe"}
    routes = [
        {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kinds[name],
            "timeoutMs": 2000,
            "sloMs": TARGET_MS,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
        }
        for name in ROUTES
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 100}],
        "tenants": [{"name": "north", "apiKeys": [API_KEY]}],
    }


@dataclass
class Defect:
    """How answers of the new version are bad.

    A share of them fails, and all of them take `slow_factor` times as long. The defect affects one
    `route` only, if given, and starts `starts_after_s` after the order.
    """

    failure_rate: float = 0.0
    slow_factor: float = 1.0
    route: str = ""
    starts_after_s: float = 0.0


@dataclass
class Counts:
    """Counts of what servers and callers observed.

    `running` holds the requests in flight per server, and `running_at_stop` those that were in
    flight on old servers when these were stopped.
    """

    requests: int = 0
    served: int = 0
    new_version_requests: int = 0
    bad_answers: int = 0
    last_new_version_request_at: float = 0.0
    answers_by_status: dict[int, int] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)
    running_at_stop: int = 0


class RolloutWorld:
    """A cluster in which an operator orders the roll-out of a new version."""

    def __init__(self, defect: Defect | None = None, seed: int = 1) -> None:
        self.cluster = Cluster(BOUNDS)
        self.defect = defect or Defect()
        self.counts = Counts()
        self.servers: dict[str, tuple[ScriptedServer, str]] = {}
        self.ordered_at = 0.0
        self.ended_at = 0.0
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "RolloutWorld":
        await self.cluster.__aenter__()
        self.platform = self.cluster.platform
        self.platform.drop("servers", "s1")
        self.platform.put("op", "config", make_config())
        for number in range(4):
            await self.add_server(f"old{number}", OLD)
        self._spawn(self._apply_status())
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await self.cluster.__aexit__()
        for server, _version in self.servers.values():
            server.stop()

    def _spawn(self, work: object) -> None:
        self._tasks.add(asyncio.create_task(work))  # type: ignore[arg-type]

    async def start(self, *names: str) -> list[GatewayNode]:
        """Start nodes and wait until they are ready."""
        nodes: list[GatewayNode] = []
        for name in names:
            seeds = tuple(node.settings.node.control for node in nodes[:3])
            nodes.append(await self.cluster.start(name, seeds))
        deadline = monotonic() + 5.0
        while not all(len(node.balancer.views) >= 4 and node.forwarder.index for node in nodes):
            if monotonic() > deadline:
                raise AssertionError("the nodes are not ready")
            await asyncio.sleep(0.02)
        return nodes

    async def add_server(self, name: str, version: str) -> None:
        """Start a server and add it to the platform's server list."""

        async def script(
            arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._answer_request(name, version, arrival, writer)

        server = ScriptedServer(name, script)
        await server.start()
        self.servers[name] = (server, version)
        self._write_server_row(name)

    def _write_server_row(self, name: str, state: str = "ready") -> None:
        server, version = self.servers[name]
        entry = {
            "service": SERVICE,
            "address": server.address,
            "zone": "hall-a",
            "slots": 8,
            "state": state,
            "version": version,
            "seq": 1,
        }
        self.platform.put("servers", name, entry)

    async def order_rollout(self, duration_s: float, target: str = NEW, servers: int = 4) -> None:
        """Order a roll-out, and start its servers alongside the old ones."""
        order = {"service": SERVICE, "targetVersion": target, "durationS": duration_s}
        self.platform.put("op", f"rollout/{SERVICE}", order)
        self.ordered_at = monotonic()
        for number in range(servers):
            await self.add_server(f"{target}-{number}", target)

    @property
    def status(self) -> dict[str, str]:
        """Return the status of the roll-out in the store, {} if there is none."""
        body = self.platform.body("status", f"rollout/{SERVICE}")
        return body if isinstance(body, dict) else {}

    async def _apply_status(self) -> None:
        """Stop or drain servers once the status is a final one."""
        applied = ("", "")
        while True:
            await asyncio.sleep(0.01)
            status = self.status
            current = (status.get("state", ""), status.get("targetVersion", ""))
            if current == applied or current[0] not in ("completed", "rolled_back"):
                continue
            applied = current
            self.ended_at = monotonic()
            self._apply_outcome(current[0], current[1])

    def _apply_outcome(self, state: str, target: str) -> None:
        for name, (server, version) in self.servers.items():
            if state == "completed" and version != target:
                self.counts.running_at_stop += self.counts.running.get(name, 0)
                server.stop()
                self.platform.drop("servers", name)
            elif state == "rolled_back" and version == target:
                self._write_server_row(name, "draining")

    async def _answer_request(
        self, name: str, version: str, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        self.counts.running[name] = self.counts.running.get(name, 0) + 1
        status, took_s = self._draw_answer(version, arrival.line.split(" ")[1])
        await asyncio.sleep(took_s)
        self.counts.running[name] -= 1
        writer.write(answer(arrival, status=status))

    def _draw_answer(self, version: str, path: str) -> tuple[int, float]:
        """Return the status code and the duration of a random answer."""
        took_s = MEDIAN_ANSWER_S * self._rng.lognormvariate(0.0, 0.3)
        if version == OLD:
            return 200, took_s
        self.counts.new_version_requests += 1
        self.counts.last_new_version_request_at = monotonic()
        defect = self.defect
        active = monotonic() - self.ordered_at >= defect.starts_after_s
        if not active or (defect.route and not path.startswith(f"/{defect.route}/")):
            return 200, took_s
        failed = self._rng.random() < defect.failure_rate
        if failed or defect.slow_factor > 1.0:
            self.counts.bad_answers += 1
        return (500 if failed else 200), took_s * defect.slow_factor

    async def send_requests(self, duration_s: float, requests_per_s: float) -> None:
        """Send requests to all nodes in turn."""
        deadline = monotonic() + duration_s
        number = 0
        pending: set[asyncio.Task[None]] = set()
        while monotonic() < deadline:
            number += 1
            task = asyncio.create_task(self._send_request(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1.0 / requests_per_s)
        if pending:
            await asyncio.wait(pending, timeout=3.0)

    async def _send_request(self, number: int) -> None:
        names = list(self.cluster._tasks)
        if not names:
            return
        node = self.cluster.nodes[names[number % len(names)]]
        route = ROUTES[number % 3 == 0]
        self.counts.requests += 1
        head = {"Authorization": f"Bearer {API_KEY}", "Request-Id": f"r{number}"}
        data = request_bytes(f"/{route}/", headers=head)
        host, port = node.settings.node.callers.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            response = await read_answer(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return
        self.counts.answers_by_status[response.status] = (
            self.counts.answers_by_status.get(response.status, 0) + 1
        )
        self.counts.served += response.status == 200

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait until a condition holds; fail after a timeout."""
        deadline = monotonic() + timeout_s
        while not condition():
            if monotonic() > deadline:
                raise AssertionError(
                    f"condition not met in time; status {self.status}, counts {self.counts}"
                )
            await asyncio.sleep(0.02)
