"""Connections of callers: input limits, pipelining, and cancellation when the caller disconnects.

A connection is a state machine over `httptools`; a web framework on top would hide when a caller
disconnects, how long a head takes and whether a refused request was read.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

import httptools
import msgspec

from moledale.faults import record_fault, run_step
from moledale.gateway.messages import Headers, InboundRequest, RequestHead, first_header
from moledale.gateway.plan import Limits
from moledale.gateway.reply import Reply, ReplyStarted
from moledale.http_overhead import OverheadMeter
from moledale.log import Event, emit

SWEEP_INTERVAL_S = 0.25
"""Interval of the check for callers that are too slow; the limits in force are of seconds."""

MAX_PIPELINED_REQUESTS = 4
"""Requests of a connection that are queued behind the current one before reading pauses."""

MAX_UNSENT_BYTES = 262_144
"""Bytes buffered for a caller before reading from its server pauses, to bound the memory of slow
readers.
"""

INTERNAL_ERROR = b"internal error"
"""Reason in the answer to a request that met an unexpected error."""

JSON_TYPE = (b"Content-Type", b"application/json")

Handler = Callable[[InboundRequest, Reply], Awaitable[None]]


class Listener(msgspec.Struct):
    """State shared by all connections of one listening address.

    With `closing` set, each request that starts has its connection closed after the response.
    """

    handle: Handler
    limits: Callable[[], Limits]
    now: Callable[[], float]
    closing: bool = False
    connections: set["InboundConnection"] = msgspec.field(default_factory=set)

    def busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.busy)

    def has_unsent(self) -> bool:
        """Return whether a caller still has to read a part of its response."""
        return any(connection.has_unsent for connection in self.connections)

    def sweep(self) -> None:
        """Close connections that have been idle, or sending a head, for too long."""
        limits = self.limits()
        now = self.now()
        for connection in list(self.connections):
            run_step("timeouts", partial(connection.enforce_timeouts, now, limits))

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in list(self.connections):
            if not connection.busy:
                connection.close()


class InboundConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[InboundRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._reply: Reply | None = None
        self._refused = False
        self._idle_since = listener.now()
        self._head_started_at: float | None = None
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._overhead = OverheadMeter(self._listener.limits().header_bytes)
        self._in_body = False

    @property
    def busy(self) -> bool:
        """Return whether a request is in progress or being read."""
        return self._task is not None or self._head_started_at is not None

    @property
    def has_unsent(self) -> bool:
        """Return whether the process, and not the kernel yet, holds a part of a response."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = transport  # type: ignore[assignment]
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)  # type: ignore[attr-defined]
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that disconnected."""
        self._listener.connections.discard(self)
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool | None:
        """Let the transport close: a caller that closes its sending side has disconnected."""
        return None

    def pause_writing(self) -> None:
        """Pause the response to a slow reader."""
        if self._reply is not None:
            self._reply.pause()

    def resume_writing(self) -> None:
        """Resume the response."""
        if self._reply is not None:
            self._reply.resume()

    def data_received(self, data: bytes) -> None:
        """Parse data of the caller, and refuse a head that is too long."""
        if self._refused:
            return
        if self._head_started_at is None:
            self._head_started_at = self._listener.now()
        was_in_body, overhead, body_before = self._in_body, self._overhead, self._body_bytes
        if not was_in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, b"upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            record_fault("caller's connection", error.__context__ or error)
            self._refuse(500, INTERNAL_ERROR)
        except httptools.HttpParserError:
            self._refuse(400, b"not a valid HTTP/1.1 request")
        if not self._in_body and self._head_bytes > self._listener.limits().header_bytes:
            self._refuse(431, b"the head is too long")
        if was_in_body and self._overhead is overhead:
            overhead.record(len(data), self._body_bytes - body_before)
            if overhead.is_exceeded:
                self._refuse(400, b"the framing of the body is too long")

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the head and the stated body, and answer `Expect: 100-continue`."""
        self._in_body = True
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > self._listener.limits().header_bytes:
            self._refuse(431, b"the head is too long")
            return
        length = first_header(self._headers, b"content-length")
        if length is not None and int(length) > self._listener.limits().body_bytes:
            self._refuse(413, b"the body is too long")
            return
        expects = first_header(self._headers, b"expect")
        if expects is not None and expects.lower() == b"100-continue" and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._refused:
            return
        if self._body_bytes > self._listener.limits().body_bytes:
            self._refuse(413, b"the body is too long")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request, and start it if none is in progress."""
        if self._refused:
            return
        head = RequestHead(self._parser.get_method(), self._target, self._headers)
        request = InboundRequest(
            head,
            b"".join(self._body),
            self._listener.now(),
            closing=not self._parser.should_keep_alive(),
        )
        self._reset_message()
        self._head_started_at = None
        self._waiting.append(request)
        if self._task is None:
            self._start_next()
        elif len(self._waiting) >= MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._transport.pause_reading()

    def _start_next(self) -> None:
        request = self._waiting.popleft()
        if self._transport is None:
            return
        close_after = request.closing or self._listener.closing
        self._reply = Reply(self._transport, close_after, request.head.bodiless)
        self._task = asyncio.get_running_loop().create_task(self._run(request, self._reply))

    async def _run(self, request: InboundRequest, reply: Reply) -> None:
        try:
            await self._listener.handle(request, reply)
        except ReplyStarted as error:
            emit(Event.SECOND_REPLY, why=str(error))
        except Exception as error:
            record_fault("request", error)
            if not reply.started:
                reply.send_whole(500, [JSON_TYPE], b'{"error":"%s"}' % INTERNAL_ERROR)
        finally:
            self._finish_request(reply)

    def _finish_request(self, reply: Reply) -> None:
        self._task = None
        self._idle_since = self._listener.now()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not reply.complete:
            transport.abort()
        elif reply.close_after or self._refused:
            transport.close()
        else:
            transport.resume_reading()
            if self._waiting:
                self._start_next()

    def enforce_timeouts(self, now: float, limits: Limits) -> None:
        """Refuse a head that takes too long, and close a connection that is idle for too long."""
        if self._task is not None or self._refused:
            return
        if self._head_started_at is not None:
            if not self._in_body and now - self._head_started_at > limits.header_timeout_s:
                self._refuse(408, b"the head took too long")
        elif now - self._idle_since > limits.idle_timeout_s:
            self.close()

    def close(self) -> None:
        """Close the connection once buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def _refuse(self, status: int, reason: bytes) -> None:
        """Refuse a request that was not read whole, and ignore all further data.

        No refusal is sent while another request of the connection is in progress.
        """
        if self._refused or self._transport is None:
            return
        self._refused = True
        self._head_started_at = None
        if self._task is not None:
            self._waiting.clear()
            return
        reply = Reply(self._transport, close_after=True)
        reply.send_whole(status, [JSON_TYPE], b'{"error":"%s"}' % reason)
        self._transport.close()


async def listen(address: str, listener: Listener) -> asyncio.Server:
    """Accept callers at `host:port`."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: InboundConnection(listener), host, int(port), backlog=1024, reuse_address=True
    )


async def sweep_forever(listener: Listener) -> None:
    """Enforce the timeouts of a listener's connections."""
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        listener.sweep()
