"""Stand-ins for the scripts of the review: store, platform API, servers, links and clients.

They need the standard library only. All sockets are on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HOST = "desk.example"
REGION = "be-central"
HALLS = ("hal-zaventem", "hal-mechelen", "hal-leuven", "hal-wavre")
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.2
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "leaseMs": 3000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 58,
    "budgetWindowS": 10,
    "reportWindowS": 5,
    "usageLateS": 10,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 190000,
}


@dataclass(slots=True)
class Message:
    """One HTTP request or answer: its first line, headers with lower-case names, and body."""

    line: str
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split(" ")[1])


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since its creation."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message that is framed by a length, in chunks or by the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.rstrip("\r\n").split("\r\n")
    headers = {n.strip().lower(): v.strip() for n, v in (each.split(":", 1) for each in rest)}
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif line.startswith("HTTP/"):
        body = await reader.read()
    else:
        body = b""
    return Message(line, headers, body)


def answer_bytes(status: int, body: bytes, headers: str = "") -> bytes:
    """Return an answer with a length."""
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class HttpServer:
    """Listens on a free port and calls a handler for each request, one at a time a connection."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self.handle(await read_message(reader), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        raise NotImplementedError


class StoreStandIn(HttpServer):
    """The platform's store: rows with versions, transactions, reads and a feed.

    `watching` counts the calls that wait for changes of the operator's table, by client port.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.gone: dict[tuple[str, str, str], int] = {}
        self.watching: dict[int, float] = {}
        self._record = record
        self._began = time.monotonic()
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a server does."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self._commit([(table, "", key, raw)], [])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._commit([], [(table, "", key)])

    def _commit(
        self, put: list[tuple[str, str, str, str]], remove: list[tuple[str, str, str]]
    ) -> None:
        self.version += 1
        for table, part, key, value in put:
            self.rows[table, part, key] = (value, self.version)
            self.gone.pop((table, part, key), None)
        for each in remove:
            if self.rows.pop(each, None) is not None:
                self.gone[each] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call."""
        await asyncio.sleep(STORE_ANSWER_S)
        target = request.line.split(" ")[1]
        path, _, query = target.partition("?")
        fields = dict(each.partition("=")[::2] for each in query.split("&") if each)
        status, body = 200, {}
        if path == "/v1/rows-tx":
            status, body = self._transact(json.loads(request.body))
        elif path == "/v1/rows-get":
            body = {"rows": self._read(fields), "more": False}
        elif path == "/v1/rows-feed":
            body = {"rows": await self._feed(fields, writer)}
        else:
            status = 404
        now_ms = (time.monotonic() - self._began) * 1000 + 1_000_000
        raw = json.dumps({**body, "ver": self.version, "now_ms": now_ms}).encode()
        writer.write(answer_bytes(status, raw, "Content-Type: application/json\r\n"))

    def _row(self, key: tuple[str, str, str]) -> dict[str, object]:
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    def _transact(self, body: dict) -> tuple[int, dict]:
        def key_of(each: dict) -> tuple[str, str, str]:
            return each["table"], each.get("part", ""), each["key"]

        expected = body.get("expectedRev", [])
        if any(self.rows.get(key_of(each), ("", 0))[1] != each["ver"] for each in expected):
            keys = [key_of(each) for each in expected]
            return 412, {"rows": [self._row(key) for key in keys if key in self.rows]}
        put = [(*key_of(each), each["value"]) for each in body.get("put", [])]
        self._commit(put, [key_of(each) for each in body.get("remove", [])])
        return 200, {}

    def _read(self, fields: dict[str, str]) -> list[dict[str, object]]:
        table, part = fields["table"], fields.get("part", "")
        keys = sorted(key for key in self.rows if key[:2] == (table, part))
        return [self._row(key) for key in keys if key[2] >= fields.get("from", "")]

    async def _feed(
        self, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> list[dict[str, object]]:
        table, after = fields["table"], int(fields["startAfter"])
        ends_at = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
        port = writer.get_extra_info("peername")[1]
        while True:
            changes = [self._row(key) for key in self.rows if key[0] == table]
            changes = [row for row in changes if row["ver"] > after]
            changes += [
                {"table": key[0], "part": key[1], "key": key[2], "ver": version, "gone": True}
                for key, version in self.gone.items()
                if key[0] == table and version > after
            ]
            left_s = ends_at - time.monotonic()
            if changes or left_s <= 0:
                return sorted(changes, key=lambda row: row["ver"])
            if table == "op":
                self.watching[port] = time.monotonic()
            changed = self._changed
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
            self.watching.pop(port, None)


class CloudStandIn(HttpServer):
    """The platform's API: accepts all calls of the duties and records them."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Accept a call."""
        writer.write(answer_bytes(200, b"{}", "Content-Type: application/json\r\n"))


class PlainServer(HttpServer):
    """A server of a plain service; `runs` has the requests that it ran."""

    def __init__(self, name: str, service: str, zone: str, record: Record) -> None:
        super().__init__()
        self.id = name
        self.service = service
        self.zone = zone
        self.runs: list[tuple[float, str]] = []
        self._record = record
        self._task: asyncio.Task[None] | None = None

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request, or reject one that is meant for another server."""
        name = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, b"", f"Request-Id: {name}\r\nNot-Executed: 1\r\n"))
            return
        self.runs.append((time.monotonic(), name))
        self._record.write(f"server {self.id} runs {name} ({request.line})")
        await self.answer(request, name, writer)

    async def answer(self, request: Message, name: str, writer: asyncio.StreamWriter) -> None:
        """Answer a request that runs."""
        body = f"answer to {name} by {self.id}".encode()
        head = f"Request-Id: {name}\r\nServer-Stamp: {self.id}.1\r\n"
        writer.write(answer_bytes(200, body, head))

    async def register(self, store: StoreStandIn) -> None:
        """Keep the server's entry in the store."""
        sequence = 0
        while True:
            sequence += 1
            store.put(
                "servers",
                self.id,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 64,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "seq": sequence,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)


class Link:
    """A proxy on a loopback address that can fall silent, as a partition without a reset does.

    While it is silent, bytes are held back and new connections get no answer. Bytes that are held
    back are lost if their sender closes the connection meanwhile.
    """

    def __init__(self, target: Callable[[], str]) -> None:
        self.address = ""
        self.ports: set[int] = set()
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._resets = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Fall silent."""
        self._open.clear()

    def cut_with_resets(self) -> None:
        """Reset all connections, and all new ones until the link heals."""
        self._resets = True
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Pass bytes on again."""
        self._resets = False
        self._open.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._resets:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._open.wait()
        host, port = self._target().split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        own_port = far_writer.get_extra_info("sockname")[1]
        self.ports.add(own_port)
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        self.ports.discard(own_port)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                if not self._open.is_set():
                    await self._open.wait()
                    if reader.at_eof() or reader.exception() is not None:
                        break
                writer.write(data)
                await writer.drain()
            await self._open.wait()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@dataclass(slots=True)
class Gateway:
    """One gateway process, started with the command of the deploy file."""

    name: str
    zone: str
    ip: str
    base_port: int
    folder: Path
    store_link: Link
    cloud: str
    seeds: list[str] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    bounds: dict[str, float] = field(default_factory=lambda: dict(BOUNDS))

    def port(self, number: int) -> str:
        """Return an address of the gateway."""
        return f"{self.ip}:{self.base_port + number}"

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return self.port(0)

    def write_settings(self, first: bool) -> Path:
        """Write the settings file, filled in as in `deploy/settings.toml`."""
        template = (ROOT / "deploy" / "settings.toml").read_text("utf-8")
        scheduling = template[template.index("[scheduling]") :]
        bounds = self.bounds
        text = f"""[node]
id = "{self.name}"
hall = "{self.zone}"
region = "{REGION}"
callers = "{self.port(0)}"
control = "{self.port(1)}"
directory = "{self.port(2)}"
readiness = "{self.port(3)}"
peers = "{self.port(4)}"
first_start = {str(first).lower()}
cores = 0.537
link_mbps = 1000.0
halls = [{", ".join(f'"{hall}"' for hall in HALLS)}]
seeds = [{", ".join(f'"{seed}"' for seed in self.seeds)}]

[outside]
store = "{self.store_link.address}"
cloud = "{self.cloud}"

[bounds]
stop_s = {bounds["graceS"]}
leave_s = {bounds["drainMs"]}e-3
apply_s = {bounds["configApplyMs"]}e-3
lease_s = {bounds["leaseMs"]}e-3
retry_ratio = {bounds["retryBudgetRatio"]}
retry_slack = {bounds["budgetSlack"]}
retry_window_s = {bounds["budgetWindowS"]}
usage_window_s = {bounds["reportWindowS"]}
usage_late_s = {bounds["usageLateS"]}
address_ttl_s = 2
limit_window_s = {bounds["quotaWindowS"]}
limit_share = {bounds["quotaOverage"]}
limit_tokens = {bounds["quotaSlack"]}

{scheduling}"""
        path = self.folder / f"{self.name}.toml"
        path.write_text(text, "utf-8")
        return path

    async def start(self, first: bool = True) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MOLEDALE_NODE_FILE": str(self.write_settings(first)),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "deploy/launch.py", cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        try:
            answer = await call(self.port(3), "GET", "/v1/ready", {}, timeout_s=0.5)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message:
    """Send one request on a new connection and return its answer."""
    host, port = address.split(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": HOST, **headers}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            return await read_message(reader)
        finally:
            writer.close()


def free_base_port(ips: list[str], count: int) -> int:
    """Return a port from which on `count` ports are free at all addresses, for TCP and UDP."""
    for _ in range(200):
        base = random.randrange(20000, 30000, 16)
        if all(_is_free(ip, base + each) for ip in ips for each in range(count)):
            return base
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Lab:
    """The whole small deployment: a store, a platform API, servers and gateways."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = StoreStandIn(self.record)
        self.cloud = CloudStandIn(self.record)
        self.servers: list[PlainServer] = []
        self.gateways: list[Gateway] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def start_task(self, work: Awaitable[None]) -> None:
        """Run something until the lab is closed."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)

    async def add_server(self, server: PlainServer) -> None:
        """Start a server and list it."""
        await server.listen()
        self.servers.append(server)
        self.start_task(server.register(self.store))

    async def start_gateways(self, zones: list[str]) -> None:
        """Start one gateway for each entry of `zones`, and wait until all are ready."""
        network = f"127.{random.randint(20, 220)}.{random.randint(0, 254)}"
        ips = [f"{network}.{number + 1}" for number in range(len(zones))]
        base = free_base_port(ips, 5)
        seeds = [f"{ip}:{base + 1}" for ip in ips[:3]]
        numbers = dict.fromkeys(HALLS, 0)
        for ip, zone in zip(ips, zones, strict=True):
            numbers[zone] += 1
            link = Link(lambda: self.store.address)
            await link.listen()
            name = f"front-{zone}-{numbers[zone]}"
            gateway = Gateway(name, zone, ip, base, self.temporary, link, self.cloud.address, seeds)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.start()
        ends_at = time.monotonic() + 30
        while not all([await each.is_ready() for each in self.gateways]):
            if time.monotonic() > ends_at:
                raise TimeoutError("the gateways did not become ready")
            await asyncio.sleep(0.2)

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGKILL)
            if gateway.process is not None:
                await gateway.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(folder: Path, case: Callable[[Lab], Awaitable[bool]], limit_s: float = 110.0) -> int:
    """Run a case; return 1 if it says that the rule was broken, 0 if not, 2 if it can't run."""

    async def main() -> int:
        lab = Lab(folder)
        try:
            await lab.store.listen()
            await lab.cloud.listen()
            async with asyncio.timeout(limit_s):
                broken = await case(lab)
            lab.record.write("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except Exception as error:
            lab.record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await lab.close()

    return asyncio.run(main())


def exit_with(code: int) -> None:
    """End the script."""
    sys.exit(code)
