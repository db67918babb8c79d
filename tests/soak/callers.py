"""Simulated callers that reuse connections and record every attempt in the ledger."""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from tests.gateway_world import HOST, CallerAnswer, read_answer
from tests.soak.backend import last_event_of
from tests.soak.process import NodeProcess
from tests.soak.records import Attempt, Ledger

DEADLINE_S = 3.0
ANSWER_TOKENS = 5
LATE_ANSWER_WAIT_S = 0.6
"""Callers wait this much longer than the deadline, so that late answers are recorded."""

DIRECTORY_POLL_INTERVAL_S = 2.0
THINK_TIME_S = 0.12
CONNECT_TIMEOUT_S = 1.0
DROP_PROBABILITY = 0.25
DROP_AFTER_EVENTS = 3
DROP_POLL_INTERVAL_S = 0.01
"""Share of resumable streams that a caller itself loses after some events, to resume them at any
node while no other fault is injected."""

MAX_RESUMPTIONS = 2
"""A caller takes a stream that broke off up again this many times."""


@dataclass(frozen=True, slots=True)
class Account:
    """Name and API key of a client account."""

    name: str
    key: str


SOUND_PARTS = "aa:3,bb:2"
"""Parts of the prompts of sound requests."""


def make_request(
    request: str,
    route: str,
    account: Account,
    tokens: int,
    after_event: int,
    body: bytes | None = None,
    answer_tokens: int = ANSWER_TOKENS,
    resumes: str = "",
    parts: str = SOUND_PARTS,
) -> tuple[str, bytes, bytes]:
    """Return a request's first line, its body, and the encoded request."""
    method = "GET" if route.startswith(("check", "only")) else "POST"
    line = f"{method} /{route}/x HTTP/1.1"
    if body is None:
        body = b"" if method == "GET" else f"body of {request}".encode()
    headers = [
        f"Host: {HOST}",
        f"Request-Id: {request}",
        f"Authorization: Bearer {account.key}",
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
        f"Token-Count: {tokens},{answer_tokens}",
        f"Prompt-Prefix: {parts}",
    ]
    if after_event:
        headers.append(f"Last-Event-Id: {after_event}")
    if resumes:
        headers.append(f"Resumes: {resumes}")
    if method == "POST":
        headers.append(f"Content-Length: {len(body)}")
    return line, body, ("\r\n".join([line, *headers]) + "\r\n\r\n").encode() + body


async def resolve_addresses(node: NodeProcess) -> list[str]:
    """Return the addresses in a node's directory answer; an empty list if it gives none."""
    host, _, port = node.directory_address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"GET /v1/resolve?name=x&region=north&zone=hall-a HTTP/1.1\r\nHost: d\r\n\r\n"
            )
            got = await read_answer(reader)
            writer.close()
    except (OSError, TimeoutError):
        return []
    if got.status != 200:
        return []
    found: list[str] = json.loads(got.body)["addresses"]
    return found


RESUMABLE_ROUTE = "review"


class NoConnection(Exception):
    """The caller knows no address or could not connect to it."""


class SoakCaller:
    """Sends the requests of one caller; each attempt has a new request id."""

    def __init__(
        self,
        name: str,
        account: Account,
        nodes: list[NodeProcess],
        ledger: Ledger,
        rng: random.Random,
        routes: Callable[[], tuple[str, ...]],
        answer_tokens: int = ANSWER_TOKENS,
    ) -> None:
        self._name = name
        self._account = account
        self._nodes = nodes
        self._ledger = ledger
        self._rng = rng
        self._routes = routes
        self._answer_tokens = answer_tokens
        # A separate generator, so that drops don't change what else a seed draws.
        self._drop_rng = random.Random(f"{name} drops")
        self._request_count = 0
        self._addresses: list[str] = []
        self._resolved_at = -1e9
        self._node: NodeProcess | None = None
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, is_expired: Callable[[], bool]) -> None:
        """Send one request after another until `is_expired`."""
        while not is_expired():
            await asyncio.sleep(THINK_TIME_S * (0.5 + self._rng.random()))
            try:
                await self._connect()
            except NoConnection:
                await asyncio.sleep(0.1)
                continue
            route = self._rng.choice(self._routes())
            if route != RESUMABLE_ROUTE:
                await self.send(route)
                continue
            drops = self._drop_rng.random() < DROP_PROBABILITY
            await self._resume(await self.send(route, drops=drops))
        self._drop()

    async def _resume(self, first: Attempt) -> None:
        """Take a stream up again that broke off after an event, at any node."""
        attempt = first
        for _ in range(MAX_RESUMPTIONS):
            last_event = last_event_of(attempt.answer) or attempt.after_event
            if attempt.whole or not last_event:
                return
            try:
                await self._connect()
            except NoConnection:
                return
            attempt = await self.send(RESUMABLE_ROUTE, last_event, resumes=first.request)

    async def _connect(self) -> None:
        """Refresh the addresses when due, and open a connection if none is open.

        An open connection is kept even if its node is no longer in the directory.
        """
        now = time.monotonic()
        if now - self._resolved_at > DIRECTORY_POLL_INTERVAL_S:
            found = await resolve_addresses(self._rng.choice(self._nodes))
            if found:
                self._addresses, self._resolved_at = found, now
        if self._connection is not None:
            return
        by_address = {node.advertised_address: node for node in self._nodes}
        known = [by_address[each] for each in self._addresses if each in by_address]
        if not known:
            raise NoConnection
        await self.connect_to(self._rng.choice(known))

    async def connect_to(self, node: NodeProcess) -> None:
        """Close the open connection, if any, and open one to a node."""
        self._drop()
        self._node = node
        host, _, port = node.caller_link.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._connection = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as error:
            raise NoConnection from error

    async def send(
        self,
        route: str,
        after_event: int = 0,
        returns_from: str = "",
        resumes: str = "",
        drops: bool = False,
    ) -> Attempt:
        """Send a request on the open connection; record and return its outcome.

        If the caller `drops` a stream, it closes the connection after a few events.
        """
        assert self._connection is not None and self._node is not None
        reader, writer = self._connection
        self._request_count += 1
        request = f"{self._name}-{self._request_count}"
        tokens = self._rng.choice((5, 5, 20, 60))
        line, body, data = make_request(
            request, route, self._account, tokens, after_event,
            answer_tokens=self._answer_tokens, resumes=resumes,
        )  # fmt: skip
        attempt = Attempt(
            request, route, line, body, self._account.name, self._node.name, time.monotonic(),
            tokens + self._answer_tokens, after_event, returns_from=returns_from, resumes=resumes,
        )  # fmt: skip
        self._ledger.attempts.append(attempt)
        answer = CallerAnswer()
        with contextlib.suppress(OSError, TimeoutError):
            writer.write(data)
            async with asyncio.timeout(DEADLINE_S + LATE_ANSWER_WAIT_S):
                await self._read(reader, answer, drops)
            attempt.dropped = drops and not answer.whole
        attempt.status, attempt.whole = answer.status, answer.whole
        attempt.answer, attempt.headers = answer.body, answer.headers
        attempt.garbled = answer.garbled
        attempt.ended_at = time.monotonic()
        closed = not attempt.whole or "close" in attempt.headers.get("connection", "")
        if closed:
            self._drop()
        return attempt

    async def _read(self, reader: asyncio.StreamReader, answer: CallerAnswer, drops: bool) -> None:
        """Read an answer, or only the first events of it."""
        if not drops:
            await read_answer(reader, answer)
            return
        reading = asyncio.create_task(read_answer(reader, answer))
        try:
            while not reading.done() and last_event_of(answer.body) < DROP_AFTER_EVENTS:
                await asyncio.wait({reading}, timeout=DROP_POLL_INTERVAL_S)
        finally:
            reading.cancel()

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None


async def probe(
    node: NodeProcess,
    route: str,
    account: Account,
    request: str,
    ledger: Ledger,
    guilty_body: bytes | None = None,
    parts: str = SOUND_PARTS,
) -> None:
    """Send one request directly to a node, on a new connection, and record the attempt.

    With `guilty_body` it is a request that crashes servers, by this body or by one of its parts,
    instead of a probe.
    """
    line, body, data = make_request(request, route, account, 5, 0, guilty_body, parts=parts)
    attempt = Attempt(
        request,
        route,
        line,
        body,
        account.name,
        node.name,
        time.monotonic(),
        10,
        probe=guilty_body is None,
    )
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            host, _, port = node.advertised_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            ledger.attempts.append(attempt)
            writer.write(data)
            answer = await read_answer(reader)
            writer.close()
        attempt.status, attempt.whole = answer.status, answer.whole
        attempt.answer, attempt.headers = answer.body, answer.headers
    except (OSError, TimeoutError):
        pass
    attempt.ended_at = time.monotonic()
