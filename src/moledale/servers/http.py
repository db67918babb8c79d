"""HTTP clients of backend servers."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import TypeVar

import aiosonic
import msgspec
from aiosonic.exceptions import ConnectTimeout
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from moledale.decoding import decode_json, decode_with
from moledale.http_client import AnswerTooLong, make_client, read_content
from moledale.http_failures import CALL_FAILURES, check_framing
from moledale.http_fields import RETRY_AFTER, retry_after_s
from moledale.servers.types import (
    CacheEvent,
    CacheEventPage,
    GenerateCall,
    GenerateEvent,
    KvTicket,
    LoadReport,
    Order,
    OrderReply,
    ServerError,
    ServerFailure,
    ServiceAnswer,
    ServiceCall,
)

T = TypeVar("T")
_JSON = {"Content-Type": "application/json"}
_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
STREAM_IDLE_TIMEOUT_S = 20.0  # longest pause between two reads from a stream
MAX_EVENT_BYTES = 1_048_576
"""Longest event of a stream; engines' events have some hundred bytes."""
SERVICE_UNAVAILABLE = 503
"""Status of a server that rejects a call."""

_event_decoder = msgspec.json.Decoder(GenerateEvent)
_HOP_BY_HOP = {"connection", "transfer-encoding", "keep-alive", "content-length", "host"}


class HttpModelServers:
    """Model engines over HTTP; streams are server-sent events."""

    def __init__(self, client: aiosonic.HTTPClient) -> None:
        self._client = client
        self._stream_timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=STREAM_IDLE_TIMEOUT_S, request_timeout=None
        )
        self._call_timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=CALL_TIMEOUT_S, request_timeout=CALL_TIMEOUT_S
        )

    async def generate(
        self, address: str, call: GenerateCall
    ) -> AsyncGenerator[GenerateEvent, None]:
        """Start an attempt and yield its events; raise `ServerError` if it fails."""
        try:
            response = await self._client.request(
                f"http://{address}/v1/generate",
                method="POST",
                headers=_JSON,
                data=msgspec.json.encode(call),
                timeouts=self._stream_timeouts,
                stream=True,
            )
            if response.status_code != 200:
                detail = f"answered {response.status_code}"
                retry_after = _retry_after_s(response)
                raise ServerError(
                    detail, may_have_run=retry_after is None, retry_after_s=retry_after
                )
            pending = b""
            async with aclosing(response.read_chunks()) as chunks:
                async for chunk in chunks:
                    *events, pending = (pending + chunk).split(_EVENT_END)
                    if len(pending) > MAX_EVENT_BYTES:
                        raise AnswerTooLong
                    for event in events:
                        yield decode_with(_event_decoder, event.removeprefix(_DATA_PREFIX))
        except (ConnectionRefusedError, ConnectTimeout) as error:
            raise ServerError(type(error).__name__, may_have_run=False) from error
        except CALL_FAILURES as error:
            raise ServerError(type(error).__name__) from error

    async def cancel(self, address: str, attempt: str) -> Result[None, ServerFailure]:
        """Cancel an attempt."""
        outcome = await self._call(address, "POST", "/v1/cancel", {"attempt": attempt})
        return outcome.map(lambda _: None)

    async def load(self, address: str) -> Result[LoadReport, ServerFailure]:
        """Return the server's load report."""
        return await self._call_json(address, "GET", "/v1/load", None, LoadReport)

    async def cache_events(
        self, address: str, after: int
    ) -> Result[list[CacheEvent], ServerFailure]:
        """Return the cache events after sequence number `after`."""
        path = f"/v1/cache-events?after={after}"
        page = await self._call_json(address, "GET", path, None, CacheEventPage)
        return page.map(lambda decoded: decoded.events)

    async def order(self, address: str, order: Order) -> Result[OrderReply, ServerFailure]:
        """Send a fenced order."""
        return await self._call_json(address, "POST", "/v1/orders", order, OrderReply)

    async def export_kv(self, address: str, session: str) -> Result[KvTicket, ServerFailure]:
        """Prepare a session's KV cache, including its running generation, for another server."""
        body = {"session": session}
        return await self._call_json(address, "POST", "/v1/kv/export", body, KvTicket)

    async def import_kv(self, address: str, ticket: KvTicket) -> Result[None, ServerFailure]:
        """Make the server fetch an exported KV cache from the server that holds it."""
        outcome = await self._call(address, "POST", "/v1/kv/import", ticket)
        return outcome.map(lambda _: None)

    async def _call(
        self, address: str, method: str, path: str, body: object
    ) -> Result[bytes, ServerFailure]:
        try:
            response = await self._client.request(
                f"http://{address}{path}",
                method=method,
                headers=_JSON,
                data=None if body is None else msgspec.json.encode(body),
                timeouts=self._call_timeouts,
            )
            content = await read_content(response)
        except CALL_FAILURES as error:
            return Err(ServerFailure(type(error).__name__, may_have_run=True))
        if response.status_code >= 300:
            return Err(ServerFailure(f"answered {response.status_code}", may_have_run=False))
        return Ok(content)

    async def _call_json(
        self, address: str, method: str, path: str, body: object, response_type: type[T]
    ) -> Result[T, ServerFailure]:
        outcome = await self._call(address, method, path, body)
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(decode_json(outcome.ok_value, response_type))
        except msgspec.DecodeError as error:
            return Err(ServerFailure(f"undecodable response: {error}", may_have_run=True))


class HttpPlainServices:
    """Plain services over HTTP, with a new connection per call.

    On a new connection, a call that was never sent (connection refused) can be distinguished from
    one that may have run. It also rules out retries by the client library, which resends
    idempotent methods only if a kept-alive connection drops.
    """

    async def call(
        self, base: str, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceAnswer, ServerFailure]:
        """Send a call exactly once, without retries."""
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=timeout_s, request_timeout=timeout_s
        )
        headers = {name: value for name, value in call.headers if name not in _HOP_BY_HOP}
        headers["Connection"] = "close"
        headers["Content-Length"] = str(len(call.body))
        async with make_client(connections=1) as client:
            try:
                response = await client.request(
                    base + call.path,
                    method=call.method,
                    headers=headers,
                    data=call.body or None,
                    timeouts=timeouts,
                    follow=False,
                )
                check_framing(response)
                body = await read_content(response)
            except (ConnectionRefusedError, ConnectTimeout) as error:
                return Err(ServerFailure(type(error).__name__, may_have_run=False))
            except CALL_FAILURES as error:
                return Err(ServerFailure(type(error).__name__, may_have_run=True))
        content_type = response.headers.get("content-type", "application/octet-stream")
        return Ok(ServiceAnswer(response.status_code, content_type, body, _retry_after_s(response)))


def _retry_after_s(response: aiosonic.HttpResponse) -> float | None:
    """Return the Retry-After delay of a 503 response, or None."""
    if response.status_code != SERVICE_UNAVAILABLE:
        return None
    fields = [(name.lower(), value) for name, value in response.raw_headers]
    values = [value for name, value in fields if name == RETRY_AFTER]
    return retry_after_s(values, next((value for name, value in fields if name == "date"), None))
