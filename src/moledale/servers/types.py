"""Messages and interfaces of backend servers: model engines and plain services."""

from collections.abc import AsyncGenerator
from typing import Annotated, Protocol

import msgspec
from result import Result

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000_000)]
"""Counts that servers report; sums over all servers fit 64 bits, as messages to peers require."""

Seconds = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]


class GenerateCall(msgspec.Struct, frozen=True):
    """One attempt at a generation; `resume` has the tokens that the caller already received."""

    attempt: str
    model: str
    prompt: str
    max_tokens: int
    priority: str
    session: str
    resume: list[str] = []


class LoadReport(msgspec.Struct, frozen=True):
    """A server's report of its load; it may be out of date, and `sequence` orders reports."""

    server: str
    sequence: Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
    running: Count
    waiting: Count
    pending_prefill_tokens: Count
    decode_tokens: Count
    models: list[str]
    leaving: bool = False
    seconds_left: Seconds | None = None


class Token(msgspec.Struct, frozen=True, tag="token", tag_field="k"):
    """One generated token `t` and its index `i` in the whole answer."""

    i: Count
    t: str


class Done(msgspec.Struct, frozen=True, tag="done", tag_field="k"):
    """End of a generation, with a piggybacked load report.

    Of the prompt and the resumed tokens, `cached_tokens` were in the cache and `computed_tokens`
    were prefilled.
    """

    reason: str
    cached_tokens: Count
    computed_tokens: Count
    load: LoadReport


class Refused(msgspec.Struct, frozen=True, tag="refused", tag_field="k"):
    """The server rejected the attempt without starting it."""

    detail: str


GenerateEvent = Token | Done | Refused


class ServerFailure(msgspec.Struct, frozen=True):
    """A failed call to a server; `may_have_run` is False only if it certainly did not run."""

    detail: str
    may_have_run: bool


class Order(msgspec.Struct, frozen=True):
    """An idempotent order to a server, fenced by the epoch of the sender's lease."""

    id: str
    lease: str
    epoch: int
    kind: str
    model: str = ""


class OrderReply(msgspec.Struct, frozen=True):
    """Whether an order was accepted; `epoch` is the highest one seen by a server that checks it."""

    taken: bool
    detail: str = ""
    epoch: int | None = None


class KvTicket(msgspec.Struct, frozen=True):
    """A KV cache that server `source` holds ready for another server to fetch."""

    ticket: str
    source: str
    tokens: int
    size_bytes: int


class CacheEvent(msgspec.Struct, frozen=True):
    """The cached prefix of a session was stored or evicted."""

    sequence: int
    kind: str
    session: str
    tokens: int


class CacheEventPage(msgspec.Struct, frozen=True):
    """Cache events after a sequence number; a jump in the numbers means that events were missed."""

    events: list[CacheEvent]


class ServiceCall(msgspec.Struct, frozen=True):
    """A call to a plain service; the body is passed through unchanged."""

    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A plain service's response; `retry_after_s` is the delay requested before the next call."""

    status: int
    content_type: str
    body: bytes
    retry_after_s: float | None = None


class ModelServers(Protocol):
    """Client interface of model engines; `address` is `host:port`."""

    def generate(self, address: str, call: GenerateCall) -> AsyncGenerator[GenerateEvent, None]:
        """Start an attempt and yield its events; raise `ServerError` if it fails."""
        ...

    async def cancel(self, address: str, attempt: str) -> Result[None, ServerFailure]:
        """Cancel an attempt."""
        ...

    async def load(self, address: str) -> Result[LoadReport, ServerFailure]:
        """Return the server's load report."""
        ...

    async def cache_events(
        self, address: str, after: int
    ) -> Result[list[CacheEvent], ServerFailure]:
        """Return the cache events after sequence number `after`."""
        ...

    async def order(self, address: str, order: Order) -> Result[OrderReply, ServerFailure]:
        """Send a fenced order."""
        ...

    async def export_kv(self, address: str, session: str) -> Result[KvTicket, ServerFailure]:
        """Prepare a session's KV cache, including its running generation, for another server."""
        ...

    async def import_kv(self, address: str, ticket: KvTicket) -> Result[None, ServerFailure]:
        """Make the server fetch an exported KV cache from the server that holds it."""
        ...


class PlainServices(Protocol):
    """Client interface of plain services; `base` is the base URL."""

    async def call(
        self, base: str, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceAnswer, ServerFailure]:
        """Send a call exactly once, without retries."""
        ...


class ServerError(Exception):
    """A generation failed; if `may_have_run` is False, the server certainly did not run it.

    `retry_after_s` is set if the server rejected the call and stated when to retry.
    """

    def __init__(
        self, detail: str, may_have_run: bool = True, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s
