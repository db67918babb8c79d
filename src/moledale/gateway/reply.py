"""The response to one caller's request: written once, framed exactly, never falsely complete."""

import asyncio
from http import HTTPStatus

from moledale.gateway.messages import Headers

CHUNKED = None
"""Length of a response whose end is marked by its last chunk."""


class CallerGone(Exception):
    """The caller closed the connection."""


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
        self._chunked = False
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def started(self) -> bool:
        """Return whether the head of the response was sent."""
        return self.status != 0

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of the response; `length` is `CHUNKED` for a body of unknown length."""
        self.status = status
        lines = [f"HTTP/1.1 {status} {_phrase(status)}".encode()]
        lines.extend(name + b": " + value for name, value in headers)
        if self._bodiless:
            # The length that GET would return is not known here; HEAD may omit it.
            pass
        elif length is None:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if self.close_after:
            lines.append(b"Connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if not data or self._bodiless:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)

    def finish(self) -> None:
        """Mark the response as complete."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self.complete = True

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response whose body is complete."""
        self.start(status, headers, len(body))
        self.send(body)
        self.complete = True

    def abort(self) -> None:
        """Close the connection so that what was sent cannot be taken for a complete response."""
        self.close_after = True
        self._transport.abort()

    async def drain(self) -> None:
        """Wait until the transport's buffer has room, if the caller reads slowly."""
        await self._writable.wait()

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
