"""Messages and interface of backend servers: model engines and plain services."""

from collections.abc import AsyncGenerator
from typing import Protocol

import msgspec
from result import Result


class GenerateCall(msgspec.Struct, frozen=True):
    """One attempt at a generation; `resume` holds the tokens that the caller already has."""

    attempt: str
    model: str
    prompt: str
    max_tokens: int
    priority: str
    session: str
    resume: list[str] = []


class LoadReport(msgspec.Struct, frozen=True):
    """A server's own view of its load; it lags, and `sequence` orders reports."""

    server: str
    sequence: int
    running: int
    waiting: int
    pending_prefill_tokens: int
    decode_tokens: int
    models: list[str]
    leaving: bool = False
    seconds_left: float | None = None


class Token(msgspec.Struct, frozen=True, tag="token", tag_field="k"):
    """One generated token and its index in the whole answer."""

    i: int
    t: str


class Done(msgspec.Struct, frozen=True, tag="done", tag_field="k"):
    """End of a generation, with the load report that rides along.

    `cached_tokens` is how much of the prompt (and of the resumed part) was in the cache,
    `computed_tokens` how much was prefilled.
    """

    reason: str
    cached_tokens: int
    computed_tokens: int
    load: LoadReport


class Refused(msgspec.Struct, frozen=True, tag="refused", tag_field="k"):
    """The server did not start the attempt."""

    detail: str


GenerateEvent = Token | Done | Refused


class ServerFailure(msgspec.Struct, frozen=True):
    """A call to a server that failed; `ran` is False only if nothing can have run."""

    detail: str
    may_have_run: bool


class Order(msgspec.Struct, frozen=True):
    """A fenced order; carrying it out twice is the same as once."""

    id: str
    lease: str
    epoch: int
    kind: str
    model: str = ""


class OrderReply(msgspec.Struct, frozen=True):
    """Whether the order was taken; `epoch` is the highest the server has seen, if it checks."""

    taken: bool
    detail: str = ""
    epoch: int | None = None


class KvTicket(msgspec.Struct, frozen=True):
    """A KV cache that a server holds ready for another one to fetch."""

    ticket: str
    source: str
    tokens: int
    size_bytes: int


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix was stored or evicted for a session."""

    sequence: int
    kind: str
    session: str
    tokens: int


class CacheEventPage(msgspec.Struct, frozen=True):
    """Events after a sequence number; a jump in the numbers is a gap."""

    events: list[CacheEvent]


class ServiceCall(msgspec.Struct, frozen=True):
    """A call to a plain service; the body is passed through unread."""

    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A plain service's answer; with `retry_after_s` it asked for no other call before."""

    status: int
    content_type: str
    body: bytes
    retry_after_s: float | None = None


class ModelServers(Protocol):
    """What the system asks of model engines; `address` is `host:port`."""

    def generate(self, address: str, call: GenerateCall) -> AsyncGenerator[GenerateEvent, None]:
        """Start an attempt and yield its events; raises `ServerError` on a broken answer."""
        ...

    async def cancel(self, address: str, attempt: str) -> Result[None, ServerFailure]:
        """Stop an attempt."""
        ...

    async def load(self, address: str) -> Result[LoadReport, ServerFailure]:
        """Ask for a load report."""
        ...

    async def cache_events(
        self, address: str, after: int
    ) -> Result[list[CacheEvent], ServerFailure]:
        """Return cache events after a sequence number."""
        ...

    async def order(self, address: str, order: Order) -> Result[OrderReply, ServerFailure]:
        """Give a fenced order."""
        ...

    async def export_kv(self, address: str, session: str) -> Result[KvTicket, ServerFailure]:
        """Make a session's KV cache, with what runs of it, ready for another server."""
        ...

    async def import_kv(self, address: str, ticket: KvTicket) -> Result[None, ServerFailure]:
        """Have a server fetch a KV cache from another one."""
        ...


class PlainServices(Protocol):
    """What the system asks of plain services."""

    async def call(
        self, base: str, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceAnswer, ServerFailure]:
        """Send a call once, never again."""
        ...


class ServerError(Exception):
    """A generation broke off; with `may_have_run` false it never reached the server.

    With `retry_after_s` the server turned it away and asked for no other before.
    """

    def __init__(
        self, detail: str, may_have_run: bool = True, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s
