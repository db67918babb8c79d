"""Connections to backend servers: one request at a time, exact framing, no hidden resends.

No HTTP client library is used: those available resend idempotent requests on their own and do not
expose bytes that belong to no request. `httptools` parses.
"""

import asyncio
import errno
from collections import deque
from enum import StrEnum

import httptools

from moledale.faults import record_fault
from moledale.gateway.messages import AnswerHead, Framing
from moledale.gateway.tcp_keep_alive import enable_keep_alive
from moledale.host_port import split_address
from moledale.http_overhead import OverheadMeter

CONNECT_TIMEOUT_S = 0.3
"""Backend servers are in the same region; an unreachable one must not delay a request for long."""

MAX_UNREAD_BYTES = 262_144
"""Bytes of a response buffered for the caller before reading pauses, to bound the memory of slow
readers.
"""


class Cut(StrEnum):
    """Why a response ended before it was complete.

    `GARBLED` ones are not valid or belong to another request; `SLOW` ones this node gave up on.
    """

    RESET = "reset"
    CLOSED = "closed"
    GARBLED = "garbled"
    SLOW = "slow"


OWN_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Errors of a new connection that are due to this process or machine."""


class ConnectFailed(Exception):
    """No connection was established, so nothing was sent."""


class NoResources(ConnectFailed):
    """This process or machine has no descriptor or memory left, which tells nothing of a server."""


class AnswerCut(Exception):
    """A response ended before it was complete; `cut` is the cause."""

    def __init__(self, cut: Cut) -> None:
        super().__init__(cut.value)
        self.cut = cut


class UpstreamConnection(asyncio.Protocol):
    """One connection to one server; `usable` while it may carry another request.

    `timed_out` is set if the kernel closed it since the server's machine did not react any more.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.usable = True
        self.closed = False
        self.timed_out = False
        self.requests_sent = 0
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._reset_exchange()

    def _reset_exchange(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: AnswerHead | None = None
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._overhead = OverheadMeter()
        self._body_bytes = 0
        self._complete = False
        self._cut: Cut | None = None
        self._request_sent = False
        self._interim = False
        self._bodiless = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and have the kernel watch the connection."""
        self.transport = transport  # type: ignore[assignment]
        enable_keep_alive(transport.get_extra_info("socket"))

    def send(self, data: bytes, bodiless: bool = False) -> None:
        """Send one whole request; its response is read with `head` and `chunk`.

        With `bodiless` the response ends with its head, whatever length that states (HEAD).
        """
        assert self.transport is not None
        if self.requests_sent:
            self._reset_exchange()
        self._bodiless = bodiless
        self.requests_sent += 1
        self._request_sent = True
        self.transport.write(data)

    async def head(self) -> AnswerHead:
        """Return the head of the response."""
        while self._head is None:
            if self._cut is not None:
                raise AnswerCut(self._cut)
            await self._wait()
        return self._head

    async def chunk(self) -> bytes | None:
        """Return the next bytes of the body, or None once it is complete."""
        while not self._chunks:
            if self._complete:
                return None
            if self._cut is not None:
                raise AnswerCut(self._cut)
            await self._wait()
        data = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        self._chunks.clear()
        self._resume_reading()
        return data

    @property
    def framing(self) -> Framing | None:
        """Return how the response is framed, None before its head arrived."""
        return self._head.framing if self._head is not None else None

    @property
    def _ends_on_close(self) -> bool:
        """Return whether only the end of the connection marks the end of the response."""
        return self.framing is Framing.CLOSE

    def finish(self, now: float) -> bool:
        """End an exchange; return whether the connection may carry another request."""
        whole = self._complete and self.usable and not self.closed
        unsent = self.transport is not None and self.transport.get_write_buffer_size() > 0
        if not whole or unsent or self._ends_on_close:
            self.abort()
            return False
        self._request_sent = False
        self.idle_since = now
        return True

    def close(self) -> None:
        """Close the connection once buffered data is sent."""
        self.usable = False
        if self.transport is not None and not self.closed:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, so that the server stops its work; a response in progress is cut off."""
        self.usable = False
        if not self._complete and self._cut is None:
            self._cut = Cut.CLOSED
        if self.transport is not None and not self.closed:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse data of the server, or abort the connection if it belongs to no request."""
        if not self._request_sent or self._complete:
            self.abort()
            return
        body_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            record_fault("server's connection", error.__context__ or error)
            self._end_garbled()
        except httptools.HttpParserError:
            self._end_garbled()
        self._overhead.record(len(data), self._body_bytes - body_before)
        if not self._complete and self._overhead.is_exceeded:
            self._end_garbled()
        self._wake()

    def _end_garbled(self) -> None:
        """Cut off a response that is not valid, or that never ends; close its connection."""
        if not self._complete:
            self._cut = self._cut or Cut.GARBLED
        self.abort()

    def eof_received(self) -> bool | None:
        """End a response that has no length; other responses are cut off."""
        self.usable = False
        self._end_of_data()
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Record how the connection ended."""
        self.closed = True
        self.usable = False
        self.timed_out = isinstance(exc, TimeoutError)
        if exc is not None and not self._complete:
            self._cut = self._cut or Cut.RESET
        self._end_of_data()

    def _end_of_data(self) -> None:
        if not self._complete and self._cut is None:
            if self._ends_on_close:
                self._complete = True
            else:
                self._cut = Cut.CLOSED
        self._wake()

    def on_message_begin(self) -> None:
        """Mark the connection unusable if a second response to one request begins."""
        if self._complete:
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Publish the head, and determine how the body is framed."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers = []
            self._interim = True
            return
        self._interim = False
        names = {name.lower() for name, _ in self._headers}
        self._complete = self._bodiless
        self._head = AnswerHead(status, self._headers, self._read_framing(names, status))

    def _read_framing(self, names: set[bytes], status: int) -> Framing:
        """Return how the body is framed, given the lower-case names of the headers."""
        if b"transfer-encoding" in names:
            return Framing.CHUNKED
        if b"content-length" in names or self._bodiless or status in (204, 304):
            return Framing.LENGTH
        return Framing.CLOSE

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body for the reader."""
        self._body_bytes += len(body)
        if self._complete:
            return
        self._chunks.append(body)
        self._unread_bytes += len(body)
        if self._unread_bytes > MAX_UNREAD_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Record that the response is complete; one without a length ends with its connection."""
        if not self._interim and not self._ends_on_close:
            self._complete = True

    def _resume_reading(self) -> None:
        if self._unread_bytes > MAX_UNREAD_BYTES and self.transport is not None and not self.closed:
            self.transport.resume_reading()
        self._unread_bytes = 0

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> UpstreamConnection:
    """Open a connection to `host:port`, or raise ConnectFailed."""
    loop = asyncio.get_running_loop()
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(UpstreamConnection, host, port)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        if isinstance(error, OSError) and error.errno in OWN_ERRORS:
            record_fault("connect", error)
            raise NoResources(f"{address}: {type(error).__name__}") from error
        raise ConnectFailed(f"{address}: {type(error).__name__}") from error
    return connection
