"""Serves an ASGI application on a free port and announces its address."""

import asyncio
import json
import signal
import socket
import sys

import uvicorn
import uvloop
from starlette.applications import Starlette

LISTENING_PREFIX = "listening "


def bind_free_port() -> socket.socket:
    """Return a socket bound to a free loopback port."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


def make_server(app: Starlette) -> uvicorn.Server:
    """Return a server that logs nothing and does not wait for open connections at shutdown."""
    config = uvicorn.Config(
        app,
        http="httptools",
        lifespan="on",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=0,
    )
    return uvicorn.Server(config)


def announce(**fields: object) -> None:
    """Print where this process listens, for the process that started it."""
    print(LISTENING_PREFIX + json.dumps(fields), flush=True)


def run(app: Starlette) -> None:
    """Serve until SIGTERM."""

    async def main() -> None:
        bound = bind_free_port()
        announce(address=f"127.0.0.1:{bound.getsockname()[1]}")
        server = make_server(app)
        await server.serve(sockets=[bound])

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    uvloop.run(main())


async def serve_in_process(app: Starlette) -> tuple[str, uvicorn.Server, "asyncio.Task[None]"]:
    """Serve within this process; return the address, the server and its task."""
    bound = bind_free_port()
    server = make_server(app)
    server.install_signal_handlers = lambda: None  # type: ignore[attr-defined]
    task = asyncio.create_task(server.serve(sockets=[bound]))
    return f"127.0.0.1:{bound.getsockname()[1]}", server, task
