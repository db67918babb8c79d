"""Backend servers that fail as told: plain ones, and model servers that answer in events."""

import asyncio
import random
import time
from collections.abc import Callable
from enum import StrEnum

from tests.gateway_world import LAST_CHUNK, Arrival, chunk, reset
from tests.soak.link import Link
from tests.soak.records import Declined, Ledger, Run

EVENTS_PER_STREAM = 12
EVENT_INTERVAL_S = 0.03
PLAIN_ANSWER_S = 0.01
SLOW_FACTOR = 6.0

RETRY_AFTER_S = 1.8
"""A server that states a time to retry wants no requests before."""

GUILTY_PREFIX = b"the request that ends servers"
"""Beginning of the bodies that no server survives."""

GUILTY_CRASH_DELAY_S = 0.05
"""A server ends so long after it began to run one of these."""


class ServerMode(StrEnum):
    """What a server does wrong with part of its requests."""

    HEALTHY = "good"
    GRAY_FAILURE = "failures while healthy"
    REJECTS = "rejects"
    REJECTS_WITH_RETRY_AFTER = "rejects and states when to retry"
    RESETS_AFTER_RUN = "runs and resets"
    TRUNCATES = "breaks off answers"
    ANSWERS_TWICE = "second answers"
    SLOW = "slow"
    HANGS = "takes requests and says nothing"


def plain_body(request: str, server: str) -> bytes:
    """Return the only whole body that a server gives for a request."""
    return f"answer to {request} by {server}".encode()


def event_of(request: str, server: str, number: int) -> bytes:
    """Return an event of a request's stream."""
    return f"id: {number}\ndata: {request} {server} piece {number}\n\n".encode()


class Backend:
    """One incarnation of a server."""

    def __init__(self, name: str, service: str, ledger: Ledger, rng: random.Random) -> None:
        self.id = name
        self.service = service
        self.mode = ServerMode.HEALTHY
        self.failure_probability = 0.4
        self.down = False
        self.leaving = False
        self.limit_per_s: float | None = None
        self.started_ms = int(time.time() * 1000)
        self.on_guilty_crash: Callable[[Backend], None] = lambda _: None
        self.link = Link("")
        self._ledger = ledger
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, link: Link | None = None) -> None:
        """Listen, behind a new link or at an address that another server had."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        if link is None:
            self.link.target = self.address
            await self.link.start()
        else:
            self.link = link
            link.target = self.address

    def crash(self) -> None:
        """End at once, with all connections."""
        self.down = True
        self._ledger.end_limits(self.id)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _crash_if_guilty(self, arrival: Arrival) -> None:
        """End under a request that no server survives; anything else goes on."""
        if not arrival.body.startswith(GUILTY_PREFIX):
            return
        await asyncio.sleep(GUILTY_CRASH_DELAY_S)
        if not self.down:
            self.crash()
            self.link.close()
            self.on_guilty_crash(self)
        raise ConnectionResetError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.down:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
                headers = [(n.strip(), v.strip()) for n, v in (each.split(":", 1) for each in rest)]
                length = next((int(v) for n, v in headers if n.lower() == "content-length"), 0)
                body = await reader.readexactly(length)
                arrival = Arrival(line, headers, body, 0, time.monotonic())
                await self._answer(arrival, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        expected = arrival.get("expect-instance")
        strikes = self._rng.random() < self.failure_probability
        if expected is not None and expected != self.id:
            self._reject(arrival, writer, 421)
        elif self.mode is ServerMode.REJECTS and strikes:
            self._reject(arrival, writer, 503)
        elif self.mode is ServerMode.REJECTS_WITH_RETRY_AFTER and strikes:
            name = arrival.get("request-id") or ""
            self._ledger.declined.append(Declined(name, self.id, time.monotonic(), RETRY_AFTER_S))
            self._reject(arrival, writer, 503, f"Retry-After: {RETRY_AFTER_S}\r\n")
        elif self.service == "model":
            await self._answer_stream(arrival, writer, strikes)
        else:
            await self._answer_plain(arrival, writer, strikes)

    def _record_run(self, arrival: Arrival) -> None:
        tokens = arrival.get("token-count") or "5,5"
        self._ledger.runs.append(
            Run(
                arrival.get("request-id") or "",
                self.id,
                self.service,
                time.monotonic(),
                arrival.line,
                arrival.body,
                arrival.get("tenant"),
                arrival.get("authorization") is not None,
                int(arrival.get("last-event-id") or 0),
                sum(int(each) for each in tokens.split(",")),
            )
        )

    def _head(self, arrival: Arrival, status: int, more: str) -> bytes:
        if self.leaving:
            more = f"Server-Leaving: 1\r\n{more}"
        if self.limit_per_s is not None:
            more = f"Server-Limit: {self.limit_per_s}\r\n{more}"
        return (
            f"HTTP/1.1 {status} X\r\nRequest-Id: {arrival.get('request-id')}\r\n{more}\r\n"
        ).encode()

    def _reject(
        self, arrival: Arrival, writer: asyncio.StreamWriter, status: int, more: str = ""
    ) -> None:
        more += "Not-Executed: 1\r\nContent-Length: 0\r\n"
        writer.write(self._head(arrival, status, more))

    async def _answer_plain(
        self, arrival: Arrival, writer: asyncio.StreamWriter, strikes: bool
    ) -> None:
        self._record_run(arrival)
        await self._crash_if_guilty(arrival)
        slow = self.mode is ServerMode.SLOW
        await asyncio.sleep(PLAIN_ANSWER_S * (SLOW_FACTOR if slow else 1.0))
        if self.mode is ServerMode.HANGS:
            await asyncio.sleep(3_600)
        if self.mode is ServerMode.RESETS_AFTER_RUN and strikes:
            reset(writer)
            raise ConnectionResetError
        failed = self.mode is ServerMode.GRAY_FAILURE and strikes
        request = arrival.get("request-id") or ""
        body = b"failed" if failed else plain_body(request, self.id)
        more = f"Server-Stamp: {self.id}\r\nContent-Length: {len(body)}\r\n"
        data = self._head(arrival, 500 if failed else 200, more) + body
        if self.mode is ServerMode.TRUNCATES and strikes:
            writer.write(data[: -len(body) // 2])
            await writer.drain()
            writer.close()
            raise ConnectionResetError
        writer.write(data)
        if self.mode is ServerMode.ANSWERS_TWICE and strikes:
            writer.write(self._head(arrival, 200, more) + body)

    async def _answer_stream(
        self, arrival: Arrival, writer: asyncio.StreamWriter, strikes: bool
    ) -> None:
        self._record_run(arrival)
        await self._crash_if_guilty(arrival)
        if self.mode is ServerMode.HANGS:
            await asyncio.sleep(3_600)
        if self.mode is ServerMode.RESETS_AFTER_RUN and strikes:
            reset(writer)
            raise ConnectionResetError
        request = arrival.get("request-id") or ""
        more = (
            f"Server-Stamp: {self.id}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n"
        )
        writer.write(self._head(arrival, 200, more))
        breaks_at = (
            EVENTS_PER_STREAM // 2
            if self.mode in (ServerMode.TRUNCATES, ServerMode.GRAY_FAILURE) and strikes
            else None
        )
        for number in range(int(arrival.get("last-event-id") or 0) + 1, EVENTS_PER_STREAM + 1):
            await asyncio.sleep(
                EVENT_INTERVAL_S * (SLOW_FACTOR if self.mode is ServerMode.SLOW else 1.0)
            )
            data = event_of(request, self.id, number)
            if number == breaks_at:
                writer.write(chunk(data)[:-9])
                await writer.drain()
                reset(writer)
                raise ConnectionResetError
            writer.write(chunk(data))
            await writer.drain()
        writer.write(LAST_CHUNK)
        if self.mode is ServerMode.ANSWERS_TWICE and strikes:
            writer.write(self._head(arrival, 200, "Content-Length: 0\r\n"))
