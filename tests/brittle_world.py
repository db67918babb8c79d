"""Servers that fall over when they have to reject too many requests within a second."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from moledale.clock import monotonic
from tests.gateway_world import STAMP_HEADER, Arrival, ScriptedServer, answer

REJECTION_WINDOW_S = 1.0
"""A server counts its rejections over this time."""


@dataclass(slots=True)
class BrittleServer(ScriptedServer):
    """A server with a few slots and no queue, which states how many rejections a second end it.

    `max_rejections` is None while it is not brittle. `falls` are the times at which it would have
    fallen over; it serves on.
    """

    slots: int = 2
    answer_s: float = 0.1
    max_rejections: int | None = None
    running: int = 0
    rejected: int = 0
    falls: list[float] = field(default_factory=list)
    _recent: deque[float] = field(default_factory=deque)

    async def serve_one(
        self, arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, or reject it if all slots are taken."""
        if self.running >= self.slots:
            self._reject(arrival, writer)
            return
        self.running += 1
        try:
            await asyncio.sleep(self.answer_s)
            writer.write(answer(arrival, extra_headers=self._headers()))
        finally:
            self.running -= 1

    def _reject(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        now = monotonic()
        self.rejected += 1
        self._recent.append(now)
        while self._recent[0] < now - REJECTION_WINDOW_S:
            self._recent.popleft()
        if self.max_rejections is not None and len(self._recent) > self.max_rejections:
            self.falls.append(now)
            self._recent.clear()
        headers = b"Not-Executed: 1\r\n" + self._headers()
        writer.write(answer(arrival, b"full", 503, headers))

    def _headers(self) -> bytes:
        if self.max_rejections is None:
            return STAMP_HEADER
        return STAMP_HEADER + b"Server-Brittle: %d\r\n" % self.max_rejections


def make_brittle_server(name: str, slots: int = 2) -> BrittleServer:
    """Return a server that is neither started nor brittle yet."""

    async def unset(_: Arrival, __: asyncio.StreamReader, ___: asyncio.StreamWriter) -> None:
        """Stand in for the script, which is a method of the server itself."""

    server = BrittleServer(name, unset, slots=slots)
    server.script = server.serve_one
    return server
