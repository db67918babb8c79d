"""The response to one caller's request: written once, framed exactly, never falsely complete."""

import asyncio
import socket
import struct
from http import HTTPStatus

from moledale.gateway.messages import Framing, Headers

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SEND_ON_CLOSE = struct.pack("ii", 0, 0)
"""Values of `SO_LINGER`: whether closing a socket resets the connection or sends what is left."""


class CallerGone(Exception):
    """The caller closed the connection."""


class ReplyStarted(Exception):
    """A second response was begun inside one whose head was sent already."""


class Reply:
    """Writes one response to a transport; with `bodiless` only its head, as for HEAD.

    With `close_after` the connection is to be closed after the response.
    """

    def __init__(
        self, transport: asyncio.Transport, close_after: bool, bodiless: bool = False
    ) -> None:
        self._transport = transport
        self._bodiless = bodiless
        self.close_after = close_after
        self.status = 0
        self.complete = False
        self._framing = Framing.LENGTH
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def started(self) -> bool:
        """Return whether the head of the response was sent."""
        return self.status != 0

    @property
    def framing(self) -> Framing:
        """Return how the body is framed, once the response has started."""
        return self._framing

    def start(self, status: int, headers: Headers, framing: Framing, length: int = 0) -> None:
        """Send the head of the response; `length` is that of a body framed by it.

        With `Framing.CLOSE`, the connection is reset if it ends before `finish`, even if this
        process is killed. An orderly end would make the response look complete.

        Raise `ReplyStarted` if the head of a response was sent already; the caller can't tell the
        two apart, so the connection has to be aborted.
        """
        if self.started:
            raise ReplyStarted(f"status {status} after {self.status}")
        self.status = status
        self._framing = framing
        lines = [f"HTTP/1.1 {status} {_phrase(status)}".encode()]
        lines.extend(name + b": " + value for name, value in headers)
        if self._bodiless:
            # The length that GET would return is not known here; HEAD may omit it.
            pass
        elif framing is Framing.CHUNKED:
            lines.append(b"Transfer-Encoding: chunked")
        elif framing is Framing.LENGTH:
            lines.append(b"Content-Length: %d" % length)
        else:
            self.close_after = True
            self._set_linger(RESET_ON_CLOSE)
        if self.close_after:
            lines.append(b"Connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if not data or self._bodiless:
            return
        if self._framing is Framing.CHUNKED:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)

    async def finish(self) -> None:
        """Mark the response as complete."""
        if self._framing is Framing.CHUNKED and not self._bodiless:
            self._transport.write(b"0\r\n\r\n")
        elif self._framing is Framing.CLOSE:
            self._transport.set_write_buffer_limits(high=0)
            await self.drain()
            self._set_linger(SEND_ON_CLOSE)
        self.complete = True

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response whose body is complete."""
        self.start(status, headers, Framing.LENGTH, len(body))
        self.send(body)
        self.complete = True

    def abort(self) -> None:
        """Close the connection so that what was sent cannot be taken for a complete response."""
        self.close_after = True
        self._transport.abort()

    async def drain(self) -> None:
        """Wait until the transport's buffer has room, if the caller reads slowly."""
        await self._writable.wait()

    def _set_linger(self, value: bytes) -> None:
        connection = self._transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def pause(self) -> None:
        """Record that the transport's buffer is full."""
        self._writable.clear()

    def resume(self) -> None:
        """Record that the transport's buffer has room again."""
        self._writable.set()


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
