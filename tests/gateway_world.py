"""Runs a gateway's forwarder on loopback sockets, with scripted backend servers and callers."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import logbook

from moledale.clock import monotonic
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.forwarder import Forwarder
from moledale.gateway.inbound import Listener, listen, sweep_forever
from moledale.gateway.messages import Server
from moledale.gateway.peers import Membership
from moledale.gateway.plan import (
    TOKENS,
    Account,
    Engine,
    Kind,
    Limits,
    Plan,
    Route,
    Service,
    Share,
)
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.settings import Bounds, Scheduling
from moledale.gateway.sharing import Sharing
from moledale.platform.engines import PlatformEngines
from moledale.platform.headers import PlatformHeaders
from moledale.scheduling.switches import Switches

HOST = "quotes.example"
API_KEY = "key-of-north"
PREFERRED_SERVER_ID = "s1"
STAMP_HEADER = b"Server-Stamp: s1\r\n"

Script = Callable[["Arrival", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class Arrival:
    """A request as a server received it, and when."""

    line: str
    headers: list[tuple[str, str]]
    body: bytes
    connection: int
    at: float

    def get(self, name: str) -> str | None:
        """Return the value of the first header with this lower-case name, None without one."""
        return next((value for key, value in self.headers if key.lower() == name), None)


@dataclass(slots=True)
class ScriptedServer:
    """A backend server that runs its script for each request.

    `connections` and `closed` count the connections that were opened and closed.
    """

    id: str
    script: Script
    arrivals: list[Arrival] = field(default_factory=list)
    connections: int = 0
    closed: int = 0
    address: str = ""
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
                headers = [(n.strip(), v.strip()) for n, v in (each.split(":", 1) for each in rest)]
                length = next((int(v) for n, v in headers if n.lower() == "content-length"), 0)
                body = await reader.readexactly(length)
                arrival = Arrival(line, headers, body, number, monotonic())
                self.arrivals.append(arrival)
                self.arrived.set()
                await self.script(arrival, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.closed += 1
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset; one that is closed already stays as it is."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def answer(
    arrival: Arrival, body: bytes = b"fine", status: int = 200, extra_headers: bytes = STAMP_HEADER
) -> bytes:
    """Return a complete answer with a Content-Length."""
    request_id = (arrival.get("request-id") or "").encode()
    return (
        b"HTTP/1.1 %d X\r\nRequest-Id: %b\r\nContent-Type: text/plain\r\n%b"
        b"Content-Length: %d\r\n\r\n%b" % (status, request_id, extra_headers, len(body), body)
    )


def stream_head(arrival: Arrival, stamp: bytes = STAMP_HEADER) -> bytes:
    """Return the status line and headers of a chunked stream of events."""
    request_id = (arrival.get("request-id") or "").encode()
    return (
        b"HTTP/1.1 200 X\r\nRequest-Id: %b\r\nContent-Type: text/event-stream\r\n%b"
        b"Transfer-Encoding: chunked\r\n\r\n" % (request_id, stamp)
    )


def unframed_head(arrival: Arrival, status: int = 200, stamp: bytes = STAMP_HEADER) -> bytes:
    """Return the status line and headers of an answer that only its connection ends."""
    request_id = (arrival.get("request-id") or "").encode()
    return b"HTTP/1.1 %d X\r\nRequest-Id: %b\r\n%b\r\n" % (status, request_id, stamp)


def event(number: int) -> bytes:
    """Return a server-sent event with this id."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Return data in chunked encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


async def answer_ok(
    arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that sends a complete answer."""
    writer.write(answer(arrival))


def send_and_reset(data: Callable[[Arrival], bytes]) -> Script:
    """Return a script that sends a part of an answer and resets the connection."""

    async def script(
        arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(data(arrival))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    return script


def make_plan(version: int = 1, **changes: object) -> Plan:
    """Return a plan with a route of each kind, with some fields changed."""
    routes = (
        Route("check", HOST, "/check/", Kind.SAFE, (Share("plain"),), 1.0, 0.2, max_servers=2),
        Route("order", HOST, "/order/", Kind.ONCE, (Share("plain"),), 1.0, 0.2, max_servers=2),
        Route("draft", HOST, "/draft/", Kind.STREAM, (Share("model"),), 3.0, 0.5, max_servers=2),
        Route(
            "review",
            HOST,
            "/review/",
            Kind.STREAM,
            (Share("model"),),
            3.0,
            0.5,
            max_servers=2,
            resumable=True,
        ),
        Route("open", HOST, "/open/", Kind.SAFE, (Share("plain"),), 1.0, 0.2, public=True),
    )
    services = (
        Service("plain"),
        Service("model", engine=Engine(4, 100_000, 1, 1000.0, moves=True, event_tokens=3)),
    )
    accounts = (Account("north", (API_KEY,), None, TOKENS, 200, 100_000.0, 100_000.0),)
    plan = Plan(version, routes, services, accounts, Limits())
    values = {name: getattr(plan, name) for name in Plan.__struct_fields__}
    return Plan(**{**values, **changes})  # type: ignore[arg-type]


@dataclass(slots=True)
class CallerAnswer:
    """An answer as a caller read it; `whole` is set if nothing shows that it broke off.

    `garbled` is set if bytes came where the size of a chunk is due. An answer is `framed` if a
    length or its last chunk shows where it ends. The connection of any other one has to end in
    order.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    garbled: bool = False

    @property
    def framed(self) -> bool:
        """Return whether the answer has a length or chunks."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers


class GatewayWorld:
    """A forwarder behind a real listener, and the backend servers in its list.

    `list_current` is the result of the forwarder's check whether its list is up to date.
    """

    def __init__(
        self,
        plan: Plan | None = None,
        bounds: Bounds | None = None,
        scheduling: Scheduling | None = None,
    ) -> None:
        self.members = Membership("n1", 1)
        self.bounds = bounds or Bounds()
        self.sharing = Sharing(self.members, self.bounds)
        self.balancer = LoadBalancer("hall-a")
        # The choice between nearly equal servers is random unless one has an idle connection.
        self.balancer.has_connection = lambda server: server == PREFERRED_SERVER_ID
        self.pool = ConnectionPool(monotonic)
        self.list_current = True
        self.forwarder = Forwarder(
            PlatformHeaders(),
            self.balancer,
            self.pool,
            self.sharing,
            PlatformEngines(),
            list_is_current=self._list_is_current,
            switches=Switches(scheduling or Scheduling()),
        )
        if plan is not None:
            self.forwarder.adopt(plan)
        self.servers: dict[str, ScriptedServer] = {}
        self._listed: list[Server] = []
        self.listener = Listener(self.forwarder.handle, self._limits, monotonic)
        self.address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._sweeping: asyncio.Task[None] | None = None

    async def _list_is_current(self) -> bool:
        return self.list_current

    def _limits(self) -> Limits:
        index = self.forwarder.index
        return index.limits if index is not None else Limits()

    async def __aenter__(self) -> "GatewayWorld":
        self._server = await listen("127.0.0.1:0", self.listener)
        self.address = self._server.sockets[0].getsockname()
        self._sweeping = asyncio.create_task(sweep_forever(self.listener))
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None and self._sweeping is not None
        self._sweeping.cancel()
        self._server.close()
        for server in self.servers.values():
            server.stop()

    async def start_server(
        self, name: str, service: str, script: Script, slots: int = 4, version: str = ""
    ) -> ScriptedServer:
        """Start a server with a script, and add it to the list."""
        server = ScriptedServer(name, script)
        await self.add_server(server, service, slots, version)
        return server

    async def add_server(
        self, server: ScriptedServer, service: str, slots: int = 4, version: str = ""
    ) -> None:
        """Start an existing server object, and add it to the list."""
        await server.start()
        self.servers[server.id] = server
        self._listed.append(
            Server(server.id, service, server.address, "hall-a", slots, version=version)
        )
        self.balancer.apply(self._listed)

    def update_listed(self, name: str, **changes: object) -> None:
        """Change the list entry of a server."""
        self._listed = [
            Server(**{**{f: getattr(s, f) for f in Server.__struct_fields__}, **changes})  # type: ignore[arg-type]
            if s.id == name
            else s
            for s in self._listed
        ]
        self.forwarder.evacuation.servers_changed(self.balancer.apply(self._listed))

    def unlist(self, name: str) -> None:
        """Remove a server from the list; it serves on."""
        self._listed = [server for server in self._listed if server.id != name]
        self.forwarder.evacuation.servers_changed(self.balancer.apply(self._listed))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection."""
        return await asyncio.open_connection(*self.address[:2])

    async def send_request(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        request_id: str = "r1",
    ) -> CallerAnswer:
        """Send one request on a new connection and read its answer."""
        reader, writer = await self.connect()
        try:
            writer.write(request_bytes(path, method, body, headers, request_id))
            return await read_answer(reader)
        finally:
            writer.close()


async def run_ticks(world: GatewayWorld) -> None:
    """Call the balancer's periodic update as a node does."""
    while True:
        await asyncio.sleep(0.1)
        world.balancer.tick(monotonic())


def request_bytes(
    path: str,
    method: str = "POST",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    request_id: str = "r1",
) -> bytes:
    """Return a caller's request; headers with an empty value are left out."""
    lines = {
        "Host": HOST,
        "Request-Id": request_id,
        "Authorization": f"Bearer {API_KEY}",
        "Deadline-Ms": "3000",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value)
    return f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body


async def read_chunk_size(reader: asyncio.StreamReader, result: CallerAnswer) -> int:
    """Read the size of the next chunk; raise ValueError if there is none."""
    line = (await reader.readline()).strip()
    try:
        return int(line, 16)
    except ValueError:
        result.garbled = bool(line)
        raise


async def read_answer(
    reader: asyncio.StreamReader, result: CallerAnswer | None = None
) -> CallerAnswer:
    """Read one answer, or as much of it as arrives, into `result` if that is given."""
    result = result or CallerAnswer()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip("\r\n")
        first, *rest = head.split("\r\n")
        result.status = int(first.split(" ")[1])
        result.headers = {
            name.strip().lower(): value.strip()
            for name, value in (line.split(":", 1) for line in rest)
        }
        if result.headers.get("transfer-encoding") == "chunked":
            while True:
                size = await read_chunk_size(reader, result)
                data = await reader.readexactly(size + 2)
                result.body += data[:-2]
                if size == 0:
                    break
        elif result.framed:
            result.body = await reader.readexactly(int(result.headers["content-length"]))
        else:
            while data := await reader.read(65_536):
                result.body += data
        result.whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return result


def run_quietly(work: Awaitable[None]) -> None:
    """Run a coroutine with its log output discarded and a timeout of 20 s."""

    async def bounded() -> None:
        async with asyncio.timeout(20):
            await work

    with logbook.NullHandler().applicationbound():
        asyncio.run(bounded())
