"""The answer to one caller's request: written once, framed exactly, never made to look whole."""

import asyncio
from http import HTTPStatus

from moledale.gateway.messages import Headers

CHUNKED = None
"""Length of an answer whose end is told by its last chunk."""


class CallerGone(Exception):
    """The caller closed the connection."""


class Reply:
    """Writes one answer to a transport; with `bodiless` only its first lines, as HEAD wants."""

    def __init__(self, transport: asyncio.Transport, close: bool, bodiless: bool = False) -> None:
        self._transport = transport
        self._bodiless = bodiless
        self.close = close
        self.status = 0
        self.complete = False
        self._chunked = False
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def started(self) -> bool:
        """Say whether the first lines were sent."""
        return self.status != 0

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the first lines; `length` is `CHUNKED` for a body of unknown length."""
        self.status = status
        lines = [f"HTTP/1.1 {status} {_phrase(status)}".encode()]
        lines.extend(name + b": " + value for name, value in headers)
        if self._bodiless:
            # The length that GET would have is not at hand; it may be left out.
            pass
        elif length is None:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if self.close:
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
        """Say that the body is whole."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self.complete = True

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer that is at hand."""
        self.start(status, headers, len(body))
        self.send(body)
        self.complete = True

    def abort(self) -> None:
        """End the connection so that what was sent can't be taken for a whole answer."""
        self.close = True
        self._transport.abort()

    async def drain(self) -> None:
        """Wait until a slow caller has read what was sent."""
        await self._writable.wait()

    def pause(self) -> None:
        """The transport's buffer is full."""
        self._writable.clear()

    def resume(self) -> None:
        """The transport's buffer has room again."""
        self._writable.set()


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
