"""The ASGI application and the HTTP server of a node."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from moledale import problems
from moledale.edge.answers import json_response, problem_response
from moledale.edge.bounded_protocol import BoundedHttpProtocol
from moledale.edge.callers import CallerApi
from moledale.edge.operators import OperatorApi
from moledale.faults import record_fault
from moledale.node.node import Node

LISTEN_BACKLOG = 2048
SHUTDOWN_TIMEOUT_S = 5
"""Time that open connections get to complete when the HTTP server shuts down."""


class HeaderLimit:
    """Middleware that rejects requests whose path and headers together exceed a size limit."""

    def __init__(self, app: ASGIApp, max_bytes: int) -> None:
        self._app = app
        self._max_bytes = max_bytes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward a request to the application, or reject it with status 431."""
        if scope["type"] == "http":
            size = sum(len(name) + len(value) for name, value in scope["headers"])
            if size + len(scope["raw_path"]) > self._max_bytes:
                refusal = problems.Problem(
                    "headers-too-large",
                    431,
                    "The headers are too large",
                    f"over {self._max_bytes} bytes",
                    problems.Ran.NO,
                )
                await problem_response(refusal)(scope, receive, send)
                return
        await self._app(scope, receive, send)


def make_app(node: Node) -> ASGIApp:
    """Return the ASGI application of a node."""

    async def live(_: Request) -> Response:
        return json_response({"live": True})

    async def ready(_: Request) -> Response:
        refusal = node.refusal()
        if refusal is not None:
            return problem_response(refusal)
        return json_response({"ready": True, "bundle_version": node.bundles.version})

    routes = [
        Route("/health/live", live),
        Route("/health/ready", ready),
        *CallerApi(node).routes(),
        *OperatorApi(node).routes(),
    ]
    handlers: dict[type[Exception], Any] = {
        HTTPException: _http_problem,
        Exception: _internal_problem,
    }
    app = Starlette(routes=routes, exception_handlers=handlers)
    return HeaderLimit(app, node.settings.limits.header_bytes)


async def _http_problem(_: Request, error: Exception) -> Response:
    """Return routing errors as problem details, in the format of all other errors."""
    assert isinstance(error, HTTPException)
    kinds = {404: "not-found", 405: "method-not-allowed"}
    kind = kinds.get(error.status_code, "http")
    return problem_response(
        problems.Problem(kind, error.status_code, error.detail, error.detail, problems.Ran.NO)
    )


async def _internal_problem(_: Request, error: Exception) -> Response:
    """Record an unexpected error, and return it as a problem that leaves open what ran."""
    record_fault("request", error)
    detail = "internal error"
    return problem_response(
        problems.Problem("internal", 500, "Internal error", detail, problems.Ran.UNKNOWN)
    )


class CallerServer(uvicorn.Server):
    """A uvicorn server without signal handlers: the daemon handles signals and stops it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def bind_listener(listen: str) -> socket.socket:
    """Return a listening socket for callers; raises OSError if the address can't be bound."""
    host, port = listen.rsplit(":", 1)
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    # Listen before the port is announced, so that callers can connect at once.
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def make_server(app: ASGIApp) -> CallerServer:
    """Return the HTTP server; its `serve` takes the listening sockets."""
    config = uvicorn.Config(
        app,
        http=BoundedHttpProtocol,
        loop="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        backlog=LISTEN_BACKLOG,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    return CallerServer(config)
