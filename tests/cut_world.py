"""Nodes of a cluster that lose their links to all backend servers."""

import asyncio
from enum import StrEnum

from moledale.clock import monotonic
from moledale.gateway.node import GatewayNode
from moledale.gateway.peers import Standing
from moledale.gateway.upstream import CONNECT_TIMEOUT_S, ConnectFailed, UpstreamConnection, connect
from tests.gateway_world import API_KEY, ScriptedServer, answer_ok, request_bytes
from tests.test_gateway_nodes import Cluster, ask, ready, wait_until

REQUEST_INTERVAL_S = 0.1
"""Interval between the requests that callers send to one node."""


class Cut(StrEnum):
    """How a node's links to the servers fail.

    `REFUSE`: new connections are refused, open ones are reset. `HANG`: new connections hang, what
    is sent on open ones gets no answer. `LIVE`: new ones are refused, open ones go on.
    """

    REFUSE = "refuse"
    HANG = "hang"
    LIVE = "live"


class ServerLinks:
    """The connections of one node to its servers, which can be cut."""

    def __init__(self, node: GatewayNode) -> None:
        self.cut: Cut | None = None
        self.opened = 0
        self._connections: list[UpstreamConnection] = []
        node.pool._connect = self._connect

    async def _connect(self, address: str) -> UpstreamConnection:
        self.opened += 1
        if self.cut is Cut.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectFailed(f"{address}: TimeoutError") from TimeoutError()
        if self.cut is not None:
            raise ConnectFailed(f"{address}: refused") from ConnectionRefusedError()
        connection = await connect(address)
        self._connections.append(connection)
        return connection

    def fail(self, cut: Cut) -> None:
        """Cut the links."""
        self.cut = cut
        for connection in self._connections:
            if cut is Cut.REFUSE:
                connection.abort()
            elif cut is Cut.HANG and connection.transport is not None and not connection.closed:
                connection.transport.pause_reading()

    def heal(self) -> None:
        """Let new connections through again."""
        self.cut = None


class FirstTries:
    """First tries of callers at one node, and how many were served."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.statuses: list[int] = []

    @property
    def failed(self) -> int:
        """Return how many were not served."""
        return self.sent - self.served


async def send_first_tries(cluster: Cluster, name: str, path: str, for_s: float) -> FirstTries:
    """Send requests to one node for some time, each once."""
    tries = FirstTries()
    address = cluster.nodes[name].settings.node.callers
    tasks = []

    async def send(number: int) -> None:
        headers = {"Authorization": f"Bearer {API_KEY}", "Deadline-Ms": "1500"}
        data = request_bytes(path, headers=headers, request_id=f"{name}{path}{number}")
        got = await ask(address, data)
        tries.sent += 1
        tries.served += got.status == 200 and got.whole
        tries.statuses.append(got.status)

    ends_at = monotonic() + for_s
    while monotonic() < ends_at:
        tasks.append(asyncio.create_task(send(len(tasks))))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    return tries


async def start_cluster(cluster: Cluster, nodes: int, servers: int = 3) -> dict[str, ServerLinks]:
    """Start nodes, each in a hall of its own, and more servers; return the nodes' links."""
    for number in range(2, servers + 1):
        server = ScriptedServer(f"s{number}", answer_ok)
        await server.start()
        cluster.servers.append(server)
        cluster.list_server(server, "ready")
    links = {}
    for number in range(1, nodes + 1):
        name = f"n{number}"
        links[name] = ServerLinks(await cluster.start(name, hall=f"hall-{number}"))
    for node in cluster.nodes.values():
        await wait_until(ready(node))
    await wait_until(
        lambda: all(knows_all(node, nodes, servers) for node in cluster.nodes.values())
    )
    return links


def knows_all(node: GatewayNode, nodes: int, servers: int) -> bool:
    """Return whether a node knows all servers, and all other nodes as ready ones."""
    alive = node.members.alive(monotonic())
    ready_peers = [each for each in alive if each.standing == Standing.READY]
    return len(node.balancer.views) == servers and len(ready_peers) == nodes - 1
