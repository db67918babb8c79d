"""A server goes dark under its streams, and those that resume them fail a part of their requests.

The gateway resumes each stream at another server within the same answer. Where that server answers
with a failure below 500, the gateway must break the answer off; its own bytes have no place there.
"""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import HALLS, HOST, Lab, Message, PlainServer, answer_bytes, exit_with, run_case  # noqa: E402

SERVERS = 8
STREAMS = 64
EVENTS = 57
EVENT_INTERVAL_S = 0.08
DARK_S = 4.0
"""One server of eight is dark; the pages have a share of up to 0.17 for 4.5 s (`srv_crash`)."""
FAILING_SHARE = 0.45
"""Share of the requests that fail; the pages have 0.45 at all servers for 4 s (`srv_grey`)."""
CLIENT_TIMEOUT_S = 15.0
KEY = "key-of-north"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "mandate-draft",
            "host": HOST,
            "pathPrefix": "/draft/",
            "service": "moledale-pool",
            "kind": "streaming",
            "maxAttempts": 2,
            "timeoutMs": 15000,
            "sloMs": 1000,
            "priority": 0,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 500,
        }
    ],
    "services": [
        {
            "name": "moledale-pool",
            "maxConns": 370,
            "engine": {
                "slots": 64,
                "kvCapacity": 542663,
                "kvTokenBytes": 327680.0,
                "linkMbps": 270000.0,
                "moves": True,
                "backups": True,
                "handleS": 5.0,
                "stride": 3,
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "north", "apiKeys": [KEY]}],
}


class ModelServer(PlainServer):
    """A model server: streams events, continues after `Last-Event-Id`, goes dark and fails.

    While `light` is not set it sends nothing. While it is `failing`, it rejects a share of the
    requests as busy without saying that they did not run.
    """

    def __init__(self, name: str, zone: str, lab: Lab) -> None:
        super().__init__(name, "moledale-pool", zone, lab.record)
        self.failing = False
        self.light = asyncio.Event()
        self.light.set()

    async def answer(self, request: Message, name: str, writer: asyncio.StreamWriter) -> None:
        """Answer a request with a stream."""
        await self.light.wait()
        head = f"Request-Id: {name}\r\nServer-Stamp: {self.id}.1\r\n"
        if self.failing and random.random() < FAILING_SHARE:
            self._record.write(f"server {self.id} fails {name} with 429")
            body = b'{"error":"busy"}'
            writer.write(answer_bytes(429, body, head + "Content-Type: application/json\r\n"))
            return
        writer.write(
            f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            await self.light.wait()
            event = event_of(name, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def event_of(name: str, number: int) -> bytes:
    """Return an event of a request's stream."""
    return f"id: {number}\ndata: {name} piece {number}\n\n".encode()


async def stream(lab: Lab, address: str, name: str) -> str:
    """Ask for one stream; return how its answer ended."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = b"draft"
    writer.write(
        f"POST /draft/{name} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
        f"Authorization: Bearer {KEY}\r\nModel: m\r\nToken-Count: 400,{3 * EVENTS}\r\n"
        f"Prompt-Prefix: {name}:400\r\nDeadline-Ms: 15000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    lab.record.write(f"{name} sent to {address}")
    data = b""
    try:
        async with asyncio.timeout(CLIENT_TIMEOUT_S):
            ending, data = await read_stream(reader, name)
    except TimeoutError:
        ending = "no end of the answer"
    except (asyncio.IncompleteReadError, OSError):
        ending = "broken off"
    finally:
        writer.close()
    detail = f": {data!r}" if data else ""
    lab.record.write(f"{name} ended: {ending}{detail}")
    return ending


async def read_stream(reader: asyncio.StreamReader, name: str) -> tuple[str, bytes]:
    """Read an answer in chunks; return how it ended, with the bytes that are no answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return f"status {head.split(b' ')[1].decode()}", b""
    body = b""
    while True:
        line = await reader.readline()
        if not line:
            return "broken off", b""
        try:
            size = int(line.strip(), 16)
        except ValueError:
            await asyncio.sleep(0.2)
            rest = await reader.read(2000)
            return "bytes that are no answer, inside the answer", line + rest
        if not size:
            break
        body += (await reader.readexactly(size + 2))[:-2]
    whole = b"".join(event_of(name, number) for number in range(1, EVENTS + 1))
    return ("whole", b"") if body == whole else ("complete, but other events", body)


async def case(lab: Lab) -> bool:
    """Return whether a client got bytes that are no answer, or a wrong stream as complete."""
    random.seed(1)
    lab.store.put("op", "config", CONFIG)
    servers = []
    for number in range(SERVERS):
        server = ModelServer(f"i-{number}b3e", HALLS[number % 4], lab)
        servers.append(server)
        await lab.add_server(server)
    await lab.start_gateways([HALLS[0], HALLS[1], HALLS[2]])
    await asyncio.sleep(2.0)
    streams = [
        asyncio.create_task(stream(lab, lab.gateways[number % 3].front, f"q{number:03d}"))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    if lab.trouble:
        lab.record.write(f"server {servers[0].id} goes dark; the others fail part of the requests")
        servers[0].light.clear()
        for server in servers[1:]:
            server.failing = True
        await asyncio.sleep(DARK_S)
        servers[0].light.set()
        for server in servers:
            server.failing = False
        lab.record.write("all servers are sound again")
    endings = Counter(await asyncio.gather(*streams))
    lab.record.write(f"how the answers ended: {dict(endings)}")
    wrong = ("bytes that are no answer, inside the answer", "complete, but other events")
    return any(endings[each] for each in wrong)


if __name__ == "__main__":
    exit_with(run_case(FOLDER, case))
