"""HTTP calls to platform services and peers: each is sent once and never retried."""

import asyncio

import msgspec
from result import Err, Ok, Result

from moledale.clock import monotonic
from moledale.gateway.messages import Headers
from moledale.gateway.upstream import AnswerCut, ConnectFailed, Cut, UpstreamConnection, connect

MAX_IDLE_CONNECTIONS = 4
"""Idle connections kept to one address: seldom more calls to it overlap."""

MAX_IDLE_S = 20.0
"""Connections that are idle for longer are closed; callees close theirs after about as long."""

MAX_ANSWER_BYTES = 16_777_216
"""Longest body of an answer. The store's have 1 MB of rows, or an object of 8 MB, in base64."""


class CallAnswer(msgspec.Struct, frozen=True):
    """A whole response, and when the call was sent and answered (monotonic seconds)."""

    status: int
    body: bytes
    sent_at: float
    answered_at: float
    headers: Headers = []


class CallFailed(msgspec.Struct, frozen=True):
    """A call without a whole response; if it was `sent`, it may have taken effect."""

    detail: str
    sent: bool


class HttpCaller:
    """Calls one address over a few idle connections; one whose call failed is never reused."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._idle: list[UpstreamConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers | None = None,
        timeout_s: float = 1.0,
    ) -> Result[CallAnswer, CallFailed]:
        """Send one request and return its whole response."""
        connection: UpstreamConnection | None = None
        sent = False
        # Closed if the call fails: they are as old as its connection and as likely dead.
        idle = list(self._idle)
        try:
            async with asyncio.timeout(timeout_s):
                connection = self._take_idle() or await connect(self.address, timeout_s)
                sent_at = monotonic()
                connection.send(self._encode(method, path, body, headers or []))
                sent = True
                head = await connection.head()
                body_read = await _read_body(connection)
            if head.get(b"connection") == b"close":
                connection.usable = False
            now = monotonic()
            if connection.finish(now) and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
            connection = None
            return Ok(CallAnswer(head.status, body_read, sent_at, now, head.headers))
        except (ConnectFailed, AnswerCut, TimeoutError) as error:
            self._close_idle(idle)
            return Err(CallFailed(f"{type(error).__name__} {error}", sent))
        finally:
            if connection is not None:
                connection.abort()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _close_idle(self, connections: list[UpstreamConnection]) -> None:
        """Close those of the connections that are still idle."""
        for connection in connections:
            if connection in self._idle:
                self._idle.remove(connection)
                connection.close()

    def _take_idle(self) -> UpstreamConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and monotonic() - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.close()
        return None

    def _encode(self, method: str, path: str, body: bytes, headers: Headers) -> bytes:
        lines = [f"{method} {path} HTTP/1.1\r\nHost: {self.address}".encode()]
        lines.extend(name + b": " + value for name, value in headers)
        if body or method in ("POST", "PUT"):
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def _read_body(connection: UpstreamConnection) -> bytes:
    """Return the body of an answer; raise AnswerCut if it is too long."""
    parts: list[bytes] = []
    size = 0
    while (data := await connection.chunk()) is not None:
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            raise AnswerCut(Cut.GARBLED)
        parts.append(data)
    return b"".join(parts)
