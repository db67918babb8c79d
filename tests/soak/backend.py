"""Simulated backend servers with injected failures: plain HTTP servers, and model servers that
stream server-sent events."""

import asyncio
import random
import re
import time
from collections.abc import Callable
from enum import StrEnum

from tests.gateway_world import LAST_CHUNK, Arrival, chunk, reset
from tests.soak.engine import FIRST_EVENT_S, STREAM_INTERVAL_S, EngineRun, SoakEngine
from tests.soak.link import Link
from tests.soak.records import Declined, Ledger, Run

EVENTS_PER_STREAM = 12
EVENT_INTERVAL_S = 0.03
PLAIN_ANSWER_S = 0.01
SLOW_FACTOR = 6.0

RETRY_AFTER_S = 1.8
"""Retry-After of a rejecting server, which should get no requests before it has passed."""

UNFRAMED_PROBABILITY = 0.15
"""Share of answers with neither a length nor chunks, which end with their connection. A stream that
breaks off then ends in order inside an event, any other answer is reset."""

GUILTY_PREFIX = b"the request that ends servers"
"""Prefix of the request bodies that crash every server."""

GUILTY_PART_PREFIX = "9d"
"""Prefix of the ids of prompt parts that crash every server, unless they stand last."""

PART_BODY = b"a request with the part "
"""Prefix of the bodies of such requests, of which no two are alike; the id of the part follows."""

GUILTY_CRASH_DELAY_S = 0.05
"""A server crashes this long after it started to run a request that crashes servers."""


NO_CONTENT = 204
ODD_STATUSES = (200, NO_CONTENT, 302, 404, 429)
ODD_ANSWER_PROBABILITY = 0.7
"""Answers of a rejecting server to requests that continue a stream, and how likely they are."""


class ServerMode(StrEnum):
    """How a server responds to its requests; most failures affect only a share of them."""

    HEALTHY = "good"
    GRAY_FAILURE = "failures while healthy"
    REJECTS = "rejects"
    REJECTS_WITH_RETRY_AFTER = "rejects and states when to retry"
    RESETS_AFTER_RUN = "runs and resets"
    TRUNCATES = "breaks off answers"
    ANSWERS_TWICE = "second answers"
    SLOW = "slow"
    HANGS = "accepts requests and never answers"


def _has_guilty_part(arrival: Arrival) -> bool:
    shared = (arrival.get("prompt-prefix") or "").split(",")[:-1]
    return any(each.startswith(GUILTY_PART_PREFIX) for each in shared)


def plain_body(request: str, server: str) -> bytes:
    """Return the complete body with which a server answers a request."""
    return f"answer to {request} by {server}".encode()


def event_of(request: str, server: str, number: int) -> bytes:
    """Return one server-sent event of a request's stream."""
    return f"id: {number}\ndata: {request} {server} piece {number}\n\n".encode()


EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) piece (\d+)\n\n")
"""A whole event: its number, the request, the server, and the number again."""


SENDER_PATTERN = re.compile(rb"id: \d+\ndata: \S+ (\S+) ")
"""The server of an event, also of one that broke off."""


def last_event_of(answer: bytes) -> int:
    """Return the number of the last whole event of an answer, 0 without one."""
    events = EVENT_PATTERN.findall(answer)
    return int(events[-1][0]) if events else 0


class Backend:
    """One incarnation of a server, which callers reach through a `Link`."""

    def __init__(self, name: str, service: str, ledger: Ledger, rng: random.Random) -> None:
        self.id = name
        self.service = service
        self.mode = ServerMode.HEALTHY
        self.failure_probability = 0.4
        self.down = False
        self.leaving = False
        self.limit_per_s: float | None = None
        self.started_ms = int(time.time() * 1000)
        self.streams = service == "model"
        self.on_guilty_crash: Callable[[Backend], None] = lambda _: None
        self.hall = ""
        self.ends_at: float | None = None
        self.engine: SoakEngine | None = None
        self.link = Link("")
        self._ledger = ledger
        self._rng = rng
        # A separate generator, so that framing doesn't change what else a seed draws.
        self.unframed_probability = UNFRAMED_PROBABILITY
        self._framing_rng = random.Random(f"{name} framing")
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, link: Link | None = None) -> None:
        """Listen behind a new link, or behind `link`, which had another server as its target."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        if link is None:
            self.link.target = self.address
            await self.link.start()
        else:
            self.link = link
            link.target = self.address

    def crash(self) -> None:
        """Stop listening and abort all connections."""
        self.down = True
        if self.engine is not None:
            self.engine.down = True
        self._ledger.end_limits(self.id)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _crash_if_guilty(self, arrival: Arrival) -> None:
        """Crash if the request is one that crashes servers; otherwise do nothing."""
        if not arrival.body.startswith(GUILTY_PREFIX) and not _has_guilty_part(arrival):
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
        if self.engine is not None and "/v1/kv-" in arrival.line:
            if self.mode is ServerMode.HANGS:
                await asyncio.sleep(3_600)
            writer.write(await self.engine.answer_order(arrival))
            return
        expected = arrival.get("expect-instance")
        faulty = self._rng.random() < self.failure_probability
        if expected is not None and expected != self.id:
            self._reject(arrival, writer, 421)
        elif self.mode is ServerMode.REJECTS and faulty:
            if arrival.get("last-event-id") is not None and self._answers_oddly():
                writer.write(self._odd_answer(arrival))
            else:
                self._reject(arrival, writer, 503)
        elif self.mode is ServerMode.REJECTS_WITH_RETRY_AFTER and faulty:
            name = arrival.get("request-id") or ""
            self._ledger.declined.append(Declined(name, self.id, time.monotonic(), RETRY_AFTER_S))
            self._reject(arrival, writer, 503, f"Retry-After: {RETRY_AFTER_S}\r\n")
        elif self.streams:
            await self._answer_model(arrival, writer, faulty)
        else:
            await self._answer_plain(arrival, writer, faulty)

    def _answers_oddly(self) -> bool:
        """Return whether the next request that continues a stream gets no stream of events."""
        return self._framing_rng.random() < ODD_ANSWER_PROBABILITY

    def _odd_answer(self, arrival: Arrival) -> bytes:
        """Return an answer that is no stream, and does not say that the request did not run."""
        status = self._framing_rng.choice(ODD_STATUSES)
        fields = f"Server-Stamp: {self.id}\r\nContent-Type: application/json\r\n"
        if status == NO_CONTENT:
            return self._head(arrival, status, fields)
        return self._head(arrival, status, f"{fields}Content-Length: 2\r\n") + b"{}"

    def _is_unframed(self) -> bool:
        """Return whether the next answer has neither a length nor chunks."""
        return self._framing_rng.random() < self.unframed_probability

    async def _end_unframed(self, writer: asyncio.StreamWriter) -> None:
        """End an answer without framing, or break a stream off, by closing its connection."""
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    def _record_run(self, arrival: Arrival, continued: bool = False) -> None:
        tokens = arrival.get("token-count") or "5,5"
        (self._ledger.continued if continued else self._ledger.runs).append(
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

    def _head(self, arrival: Arrival, status: int, fields: str) -> bytes:
        if self.leaving:
            fields = f"Server-Leaving: 1\r\n{fields}"
        if self.limit_per_s is not None:
            fields = f"Server-Limit: {self.limit_per_s}\r\n{fields}"
        return (
            f"HTTP/1.1 {status} X\r\nRequest-Id: {arrival.get('request-id')}\r\n{fields}\r\n"
        ).encode()

    def _reject(
        self, arrival: Arrival, writer: asyncio.StreamWriter, status: int, fields: str = ""
    ) -> None:
        fields += "Not-Executed: 1\r\nContent-Length: 0\r\n"
        writer.write(self._head(arrival, status, fields))

    async def _answer_plain(
        self, arrival: Arrival, writer: asyncio.StreamWriter, faulty: bool
    ) -> None:
        self._record_run(arrival)
        await self._crash_if_guilty(arrival)
        slow = self.mode is ServerMode.SLOW
        await asyncio.sleep(PLAIN_ANSWER_S * (SLOW_FACTOR if slow else 1.0))
        if self.mode is ServerMode.HANGS:
            await asyncio.sleep(3_600)
        if self.mode is ServerMode.RESETS_AFTER_RUN and faulty:
            reset(writer)
            raise ConnectionResetError
        failed = self.mode is ServerMode.GRAY_FAILURE and faulty
        request = arrival.get("request-id") or ""
        body = b"failed" if failed else plain_body(request, self.id)
        unframed = self._is_unframed()
        fields = f"Server-Stamp: {self.id}\r\n"
        if not unframed:
            fields += f"Content-Length: {len(body)}\r\n"
        data = self._head(arrival, 500 if failed else 200, fields) + body
        if self.mode is ServerMode.TRUNCATES and faulty:
            writer.write(data[: -len(body) // 2])
            if unframed:
                reset(writer)
            await self._end_unframed(writer)
        writer.write(data)
        if unframed:
            await self._end_unframed(writer)
        if self.mode is ServerMode.ANSWERS_TWICE and faulty:
            writer.write(self._head(arrival, 200, fields) + body)

    async def _answer_model(
        self, arrival: Arrival, writer: asyncio.StreamWriter, faulty: bool
    ) -> None:
        if self.engine is None:
            self._record_run(arrival)
            await self._answer_stream(arrival, writer, faulty)
            return
        run = self.engine.accept(arrival)
        if run is None:
            self._reject(arrival, writer, 503)
            return
        self._record_run(arrival, run.continued)
        try:
            await self.engine.wait_for_slot(run)
            await self._answer_stream(arrival, writer, faulty, run)
        finally:
            self.engine.end(run)

    async def _wait_for_event(self, run: EngineRun | None, first: bool) -> bool:
        """Wait until the next event is due; return whether the run was stopped before it."""
        factor = SLOW_FACTOR if self.mode is ServerMode.SLOW else 1.0
        if run is None:
            await asyncio.sleep(EVENT_INTERVAL_S * factor)
            return False
        return await run.wait_until_stopped(
            factor * (FIRST_EVENT_S if first else STREAM_INTERVAL_S)
        )

    async def _answer_stream(
        self,
        arrival: Arrival,
        writer: asyncio.StreamWriter,
        faulty: bool,
        run: EngineRun | None = None,
    ) -> None:
        await self._crash_if_guilty(arrival)
        if self.mode is ServerMode.HANGS:
            await asyncio.sleep(3_600)
        if self.mode is ServerMode.RESETS_AFTER_RUN and faulty:
            reset(writer)
            raise ConnectionResetError
        request = arrival.get("request-id") or ""
        unframed = self._is_unframed()
        fields = f"Server-Stamp: {self.id}\r\nContent-Type: text/event-stream\r\n"
        if not unframed:
            fields += "Transfer-Encoding: chunked\r\n"
        writer.write(self._head(arrival, 200, fields))
        breaks_at = (
            EVENTS_PER_STREAM // 2
            if self.mode in (ServerMode.TRUNCATES, ServerMode.GRAY_FAILURE) and faulty
            else None
        )
        first = int(arrival.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS_PER_STREAM + 1):
            if await self._wait_for_event(run, number == first):
                writer.close()
                raise ConnectionResetError
            if run is not None:
                run.made = number
            data = event_of(request, self.id if run is None else run.origin, number)
            if number == breaks_at and unframed:
                writer.write(data[:-9])
                await self._end_unframed(writer)
            if number == breaks_at:
                writer.write(chunk(data)[:-9])
                await writer.drain()
                reset(writer)
                raise ConnectionResetError
            writer.write(data if unframed else chunk(data))
            await writer.drain()
        if unframed:
            await self._end_unframed(writer)
        writer.write(LAST_CHUNK)
        if self.mode is ServerMode.ANSWERS_TWICE and faulty:
            writer.write(self._head(arrival, 200, "Content-Length: 0\r\n"))
