"""HTTP clients whose answers are bounded: the other side may send bytes without end.

The client library reads heads, trailers and chunk sizes line by line without a bound on all of
them, and a body of any stated length at once.
"""

import asyncio

import aiosonic
from aiosonic import HttpResponse
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig

from moledale.http_overhead import OverheadMeter

MAX_CONNECTIONS = 4_000
"""Room for every stream of a node."""

MAX_BODY_BYTES = 16_777_216
"""Longest body that is read whole."""


class AnswerTooLong(ValueError):
    """An answer has more bytes than any sound one, and may never end."""


class BoundedConnection(Connection):  # type: ignore[misc]  # The library has no types.
    """A connection that is closed once an answer has too many bytes that are no body."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._overhead = OverheadMeter()

    def write(self, data: bytes) -> None:
        """Write a part of a request, whose answer comes after it."""
        self._overhead = OverheadMeter()
        super().write(data)

    async def readline(self) -> bytes:
        """Return a line of a head, a chunk size or a trailer."""
        try:
            line: bytes = await super().readline()
        except ValueError as error:
            raise self._too_long() from error
        return self._record_overhead(line)

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Return the status line."""
        try:
            line: bytes = await super().readuntil(separator)
        except asyncio.LimitOverrunError as error:
            raise self._too_long() from error
        return self._record_overhead(line)

    async def readexactly(self, size: int) -> bytes:
        """Return a chunk or a whole body."""
        if size > MAX_BODY_BYTES:
            raise self._too_long()
        data: bytes = await super().readexactly(size)
        self._overhead.record(size, size)
        return data

    def _record_overhead(self, line: bytes) -> bytes:
        self._overhead.record(len(line), 0)
        if self._overhead.is_exceeded:
            raise self._too_long()
        return line

    def _too_long(self) -> AnswerTooLong:
        self.keep = False
        self.close()
        return AnswerTooLong()


def make_client(connections: int = MAX_CONNECTIONS) -> aiosonic.HTTPClient:
    """Return an HTTP client with room for a number of connections."""
    pools = {":default": PoolConfig(size=connections)}
    return aiosonic.HTTPClient(TCPConnector(pools, connection_cls=BoundedConnection))


async def read_content(response: HttpResponse) -> bytes:
    """Return the whole body of an answer; raise `AnswerTooLong`."""
    if not response.chunked:
        whole: bytes = await response.content()
        return whole
    parts: list[bytes] = []
    size = 0
    async for chunk in response.read_chunks():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise AnswerTooLong
        parts.append(chunk)
    return b"".join(parts)
