"""Servers of several software versions, and callers that take their streams up again."""

import asyncio
import itertools
import re
from dataclasses import dataclass, field

from tests.gateway_world import (
    LAST_CHUNK,
    Arrival,
    CallerAnswer,
    ScriptedServer,
    chunk,
    request_bytes,
    reset,
    stream_head,
)
from tests.test_gateway_nodes import Cluster, ask, make_config, ready, wait_until

EVENTS = 8
EVENT_INTERVAL_S = 0.02
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


def versioned_event(number: int, version: str) -> bytes:
    """Return an event that names the version of the server that wrote it."""
    return b"id: %d\ndata: %b\n\n" % (number, version.encode())


def versions_in(body: bytes) -> set[str]:
    """Return the versions that wrote the events of a stream."""
    return {version.decode() for _, version in EVENT_PATTERN.findall(body)}


@dataclass(slots=True)
class VersionScript:
    """The script of a server of one version: it streams the events after the last event id.

    A stream that does not go on from an event is reset inside the event `breaks_at`, if that is
    set.
    """

    version: str
    breaks_at: int | None = None
    interval_s: float = EVENT_INTERVAL_S

    async def __call__(
        self, arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Stream the events of one request."""
        after = int(arrival.get("last-event-id") or 0)
        writer.write(stream_head(arrival))
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(self.interval_s)
            if number == self.breaks_at and not after:
                writer.write(chunk(versioned_event(number, self.version)[:9]))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
                reset(writer)
                raise ConnectionResetError
            writer.write(chunk(versioned_event(number, self.version)))
            await writer.drain()
        writer.write(LAST_CHUNK)


@dataclass(frozen=True, slots=True)
class BrokenStream:
    """A stream that its caller lost: the request that began it, and the events that came."""

    request: str
    last_event: int
    version: str


@dataclass(slots=True)
class VersionCluster:
    """Nodes with a resumable route to servers of several versions."""

    cluster: Cluster
    servers: dict[str, list[ScriptedServer]] = field(default_factory=dict)
    _open: list[asyncio.StreamWriter] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    async def start(self, nodes: int, versions: dict[str, int]) -> None:
        """Start nodes, and servers of each version in the place of the cluster's own one."""
        self._put_plan(2, 3000)
        self.cluster.platform.drop("servers", self.cluster.backend.id)
        for version, number in versions.items():
            for _ in range(number):
                await self.add_server(version)
        for number in range(1, nodes + 1):
            await self.start_node(f"n{number}")
        await wait_until(lambda: all(self._knows_others(name) for name in self.cluster.nodes))

    def _put_plan(self, version: int, limit_ms: int) -> None:
        config = make_config(version)
        assert isinstance(config, dict)
        config["routes"][0].update({"kind": "streaming", "resumable": True, "timeoutMs": limit_ms})
        self.cluster.platform.put("op", "config", config)

    def change_time_limit(self, limit_ms: int) -> None:
        """Put a plan in force whose route of streams has another time limit."""
        self._put_plan(3, limit_ms)

    async def start_node(self, name: str) -> None:
        """Start a node and wait until it is ready."""
        seeds = tuple(node.settings.node.control for node in self.cluster.nodes.values())
        node = await self.cluster.start(name, seeds)
        await wait_until(ready(node))

    def _knows_others(self, name: str) -> bool:
        members = self.cluster.nodes[name].members
        return len(members.members) == len(self.cluster.nodes) - 1

    async def add_server(self, version: str) -> ScriptedServer:
        """Start a server and list it."""
        name = f"{version}-{len(self.servers.get(version, ()))}"
        server = ScriptedServer(name, VersionScript(version))
        await server.start()
        self.servers.setdefault(version, []).append(server)
        self.cluster.servers.append(server)
        self.cluster.list_server(server, "ready", version=version)
        return server

    def drop_version(self, version: str) -> None:
        """End all servers of a version, and remove their entries."""
        for server in self.servers.pop(version):
            server.stop()
            self.cluster.platform.drop("servers", server.id)

    async def begin(self, node: str, events: int = 2) -> BrokenStream:
        """Begin a stream at a node, and lose the connection after some events."""
        request = f"{node}-{next(self._numbers)}"
        host, port = self.cluster.nodes[node].settings.node.callers.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes("/check/", request_id=request))
        async with asyncio.timeout(3):
            data = await reader.readuntil(b"id: %d\n" % (events + 1))
        reset(writer)
        (version,) = versions_in(data)
        return BrokenStream(request, events, version)

    async def open(self, node: str) -> BrokenStream:
        """Begin a stream that stays open after its first event, for as long as its node lives."""
        request = f"{node}-{next(self._numbers)}"
        host, port = self.cluster.nodes[node].settings.node.callers.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes("/check/", request_id=request))
        async with asyncio.timeout(3):
            data = await reader.readuntil(b"id: 1\n") + await reader.readuntil(b"\n\n")
        self._open.append(writer)
        (version,) = versions_in(data)
        return BrokenStream(request, 1, version)

    async def resume(self, stream: BrokenStream, node: str) -> CallerAnswer:
        """Take a stream up again at a node."""
        headers = {"Last-Event-Id": str(stream.last_event), "Resumes": stream.request}
        request = f"{node}-{next(self._numbers)}"
        address = self.cluster.nodes[node].settings.node.callers
        return await ask(address, request_bytes("/check/", headers=headers, request_id=request))


def goes_on(stream: BrokenStream, got: CallerAnswer) -> bool:
    """Return whether an answer has the rest of a stream, all from the version that began it."""
    numbers = [int(number) for number, _ in EVENT_PATTERN.findall(got.body)]
    expected = list(range(stream.last_event + 1, EVENTS + 1))
    return got.whole and numbers == expected and versions_in(got.body) == {stream.version}


def mixes(stream: BrokenStream, got: CallerAnswer) -> bool:
    """Return whether an answer has events of another version than the one that began a stream."""
    return bool(versions_in(got.body) - {stream.version})
