"""A gateway is stopped as planned while clients on slow lines still read their answers.

All answers would be read before `graceS` has passed, so the stop must not cut any of them.
"""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import (  # noqa: E402
    BOUNDS,
    HALLS,
    HOST,
    Lab,
    Message,
    PlainServer,
    answer_bytes,
    exit_with,
    run_case,
)

CLIENTS = 6
ANSWER_BYTES = 1000 * 1024
LINE_BYTES_PER_S = 150 * 1024
"""Speed of a client's line: its answer takes 6.7 s, `graceS` is 8 s, the deadline 15 s."""
READ_INTERVAL_S = 0.02
SEGMENT_BYTES = 1400
"""Largest segment of the clients' lines, as on any Ethernet path; loopback has 64 KB."""
RECEIVE_BUFFER_BYTES = 8192
"""The pages give links small windows (DEPLOY.md, Network)."""
STOP_AFTER_S = 0.5
KEY = "key-of-north"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "order-submit",
            "host": HOST,
            "pathPrefix": "/order/",
            "service": "orderdesk-app",
            "kind": "unsafe",
            "maxAttempts": 1,
            "timeoutMs": 15000,
            "sloMs": 400,
            "priority": 2,
        }
    ],
    "services": [{"name": "orderdesk-app", "maxConns": 110}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "north", "apiKeys": [KEY]}],
}


class OrderServer(PlainServer):
    """Answers each order at once with a long confirmation."""

    async def answer(self, request: Message, name: str, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        head = f"Request-Id: {name}\r\nServer-Stamp: {self.id}.1\r\n"
        writer.write(answer_bytes(200, body_of(name), head))


def body_of(name: str) -> bytes:
    """Return the whole body of a request's answer."""
    line = f"confirmation of {name}\n".encode()
    return (line * (ANSWER_BYTES // len(line) + 1))[:ANSWER_BYTES]


async def order(lab: Lab, address: str, name: str) -> bool:
    """Send one order and read its answer slowly; return whether it is whole."""
    loop = asyncio.get_running_loop()
    host, port = address.split(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    began = time.monotonic()
    data = b""
    ending = "by its length"
    try:
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(
            sock,
            f"POST /order/{name} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
            f"Authorization: Bearer {KEY}\r\nDeadline-Ms: 15000\r\n"
            "Content-Length: 5\r\n\r\norder".encode(),
        )
        lab.record.write(f"{name} sent to {address}")
        while len(data.partition(b"\r\n\r\n")[2]) < ANSWER_BYTES:
            allowed = int(LINE_BYTES_PER_S * (time.monotonic() - began)) - len(data)
            if allowed > 0:
                part = await asyncio.wait_for(loop.sock_recv(sock, allowed), 10.0)
                if not part:
                    ending = "by the end of the connection"
                    break
                data += part
            await asyncio.sleep(READ_INTERVAL_S)
    except (OSError, TimeoutError) as error:
        ending = repr(error)
    finally:
        sock.close()
    body = data.partition(b"\r\n\r\n")[2]
    whole = body == body_of(name)
    lab.record.write(
        f"{name}: {len(body)} of {ANSWER_BYTES} bytes of the body after "
        f"{time.monotonic() - began:.1f} s, ended {ending}{'' if whole else ': CUT'}"
    )
    return whole


async def case(lab: Lab) -> bool:
    """Return whether an answer was cut by the planned stop of its gateway."""
    lab.store.put("op", "config", CONFIG)
    for number in range(4):
        await lab.add_server(
            OrderServer(f"i-{number}c9d", "orderdesk-app", HALLS[number], lab.record)
        )
    await lab.start_gateways([HALLS[0], HALLS[1], HALLS[2]])
    await asyncio.sleep(BOUNDS["contactMs"] / 1000)
    gateway = lab.gateways[0]
    orders = [asyncio.create_task(order(lab, gateway.front, f"o{n}")) for n in range(CLIENTS)]
    await asyncio.sleep(STOP_AFTER_S)
    if lab.trouble and gateway.process is not None:
        stopped_at = time.monotonic()
        gateway.send(signal.SIGTERM)
        lab.record.write(f"SIGTERM to {gateway.name}")
        async with asyncio.timeout(BOUNDS["graceS"] + 1):
            code = await gateway.process.wait()
        lab.record.write(
            f"{gateway.name} ended by itself with {code}, {time.monotonic() - stopped_at:.1f} s "
            f"after SIGTERM; graceS is {BOUNDS['graceS']} s"
        )
    whole = await asyncio.gather(*orders)
    ran = sum(len(server.runs) for server in lab.servers)
    lab.record.write(f"orders run: {ran}; whole answers: {sum(whole)} of {CLIENTS}")
    return not all(whole)


if __name__ == "__main__":
    exit_with(run_case(FOLDER, case))
