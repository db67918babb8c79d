"""Stand-in for a model engine; it speaks the protocol of the real backend servers."""

import argparse
import asyncio
import contextlib
import time
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiosonic
import msgspec
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from moledale.servers.types import (
    CacheEvent,
    CacheEventPage,
    Done,
    GenerateCall,
    KvTicket,
    LoadReport,
    Order,
    OrderReply,
    Refused,
    Token,
)
from standins.engine_model import BLOCK_TOKENS, EngineModel, EngineSpec, Load, Sequence
from standins.serve import run

SNAPSHOT_INTERVAL_S = 0.05
MAX_CACHE_EVENTS = 200
UNPUBLISHED_EVENTS = 2  # the newest cache events are published late
KV_BYTES_PER_TOKEN = 100_000
VOCABULARY = ("a", "cover", "note", "for", "the", "claim", "order", "file", "price", "desk")


class EngineControl(msgspec.Struct):
    """Faults and states that a test sets; a field that is None changes nothing.

    `leaving_s` announces that the engine leaves in that time, `stay` withdraws the announcement.
    """

    leaving_s: float | None = None
    stay: bool = False
    refuse: bool | None = None
    break_after_tokens: int | None = None
    repeat_tokens: bool | None = None
    refuse_kv: bool | None = None


class EngineCounts(msgspec.Struct):
    """Counters of the engine's work, for tests."""

    attempts: int = 0
    started_while_leaving: int = 0
    latest_start_after_leaving_s: float = 0.0
    cancelled: int = 0
    cached_tokens: int = 0
    computed_tokens: int = 0
    orders_taken: int = 0
    orders_refused: int = 0
    imports: int = 0


@dataclass(slots=True)
class _Listener:
    """The call of an attempt and the queue of its encoded events; None ends the stream."""

    call: GenerateCall
    queue: "asyncio.Queue[bytes | None]" = field(default_factory=asyncio.Queue)


def hash_blocks(text: str) -> tuple[tuple[int, ...], int]:
    """Return the chained hashes of a text's whole blocks, and its length in tokens, at least 1."""
    words = text.split()
    chained = 0
    blocks = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(words[start : start + BLOCK_TOKENS])
        chained = xxhash.xxh3_64_intdigest(f"{chained} {block}".encode())
        blocks.append(chained)
    return tuple(blocks), max(1, len(words))


def token_text(prompt: str, index: int) -> str:
    """Return token `index` of the answer to a prompt; it is the same on every engine."""
    word = VOCABULARY[xxhash.xxh3_64_intdigest(f"{index} {prompt}".encode()) % len(VOCABULARY)]
    return f"{word}{index} "


class Engine:
    """Runs an `EngineModel` in real time and streams its tokens, with the faults that are set."""

    def __init__(
        self, name: str, spec: EngineSpec, models: list[str], checks_fence: bool, load_lag_s: float
    ) -> None:
        self.name = name
        self.model = EngineModel(spec)
        self.models = list(models)
        self.checks_fence = checks_fence
        self.counts = EngineCounts()
        self.control = EngineControl(refuse=False, repeat_tokens=False, refuse_kv=False)
        self._load_lag_s = load_lag_s
        self._snapshots: deque[tuple[float, int, Load]] = deque()
        self._sequence = 0
        self._listeners: dict[str, _Listener] = {}
        self._epochs: dict[str, int] = {}
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._event_number = 0
        self._tickets: dict[str, tuple[tuple[int, ...], str]] = {}
        self._leaving_since: float | None = None
        self._leaves_at: float | None = None
        self._work_available = asyncio.Event()

    async def run_steps(self) -> None:
        """Run the model in real time and send its tokens to the streams, until cancelled."""
        while True:
            if not self.model.busy:
                self._work_available.clear()
                self._snapshot()
                await self._work_available.wait()
            step = self.model.step()
            await asyncio.sleep(step.duration_s)
            for attempt, index in step.tokens:
                self._emit_token(attempt, index)
            for sequence in step.finished:
                self._emit_done(sequence)
            self._record_cache_events()
            self._snapshot()

    def generate(self, call: GenerateCall) -> AsyncIterator[bytes]:
        """Start an attempt and return its encoded events."""
        listener = _Listener(call)
        self._listeners[call.attempt] = listener
        if self.control.refuse or call.model not in self.models:
            self._send(listener, Refused(f"{call.model} is not served here"))
            listener.queue.put_nowait(None)
            return self._stream_events(listener)
        self.counts.attempts += 1
        if self._leaving_since is not None:
            self.counts.started_while_leaving += 1
            late = time.monotonic() - self._leaving_since
            self.counts.latest_start_after_leaving_s = late
        text = f"{call.prompt} {''.join(call.resume)}"
        blocks, length = hash_blocks(text)
        self.model.submit(
            Sequence(
                call.attempt,
                call.session,
                blocks,
                length,
                len(call.resume),
                call.max_tokens,
                call.priority,
            )
        )
        self._work_available.set()
        return self._stream_events(listener)

    def cancel(self, attempt: str) -> None:
        """Cancel an attempt and end its stream."""
        if attempt in self.model.sequences:
            self.counts.cancelled += 1
        self.model.cancel(attempt)
        listener = self._listeners.pop(attempt, None)
        if listener is not None:
            listener.queue.put_nowait(None)

    def load(self) -> LoadReport:
        """Return the load as it was about `load_lag_s` ago, to simulate late reports."""
        self._snapshot()
        as_of = time.monotonic() - self._load_lag_s
        _, sequence, load = self._snapshots[0]
        for at, number, snapshot in self._snapshots:
            if at > as_of:
                break
            sequence, load = number, snapshot
        left = None if self._leaves_at is None else max(0.0, self._leaves_at - time.monotonic())
        return LoadReport(
            self.name,
            sequence,
            load.running,
            load.waiting,
            load.pending_prefill_tokens,
            load.decode_tokens,
            list(self.models),
            self._leaving_since is not None,
            left,
        )

    def order(self, order: Order) -> OrderReply:
        """Accept a fenced order, or reject it if its epoch is older than the lease's latest."""
        if self.checks_fence:
            seen = self._epochs.get(order.lease, 0)
            if order.epoch < seen:
                self.counts.orders_refused += 1
                return OrderReply(False, f"epoch {order.epoch} is older than {seen}", seen)
            self._epochs[order.lease] = order.epoch
        self.counts.orders_taken += 1
        if order.kind in ("load_model", "load_adapter") and order.model not in self.models:
            self.models.append(order.model)
            self._sequence += 1
        return OrderReply(True, epoch=self._epochs.get(order.lease))

    def export_kv(self, session: str) -> KvTicket | None:
        """Return a ticket by which another engine imports a session's KV cache, or None.

        A running attempt of the session counts with the tokens that it has produced.
        """
        if self.control.refuse_kv:
            return None
        blocks = self._running_blocks(session) or self.model.cache.contexts.get(session)
        if blocks is None:
            return None
        ticket = f"{len(self._tickets)}"
        self._tickets[ticket] = (blocks, session)
        length = len(blocks) * BLOCK_TOKENS
        return KvTicket(ticket, self.name, length, length * KV_BYTES_PER_TOKEN)

    def _running_blocks(self, session: str) -> tuple[int, ...] | None:
        """Return the block hashes of a session's running attempt and its tokens so far, or None."""
        for attempt, sequence in self.model.sequences.items():
            listener = self._listeners.get(attempt)
            if listener is not None and session in (sequence.session, attempt):
                call = listener.call
                produced = (token_text(call.prompt, i) for i in range(sequence.produced_tokens))
                return hash_blocks(f"{call.prompt} {''.join(produced)}")[0]
        return None

    def exported_context(self, name: str) -> tuple[tuple[int, ...], str] | None:
        """Return the block hashes and the session of a ticket, or None."""
        return self._tickets.get(name)

    def import_kv(self, blocks: tuple[int, ...], session: str) -> None:
        """Store a context that another engine exported in the cache."""
        self.counts.imports += 1
        self.model.import_context(blocks, session)

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the cache events after a number, except the newest, which are published late."""
        published = list(self._events)[: max(0, len(self._events) - UNPUBLISHED_EVENTS)]
        return [event for event in published if event.sequence > number]

    def apply_control(self, control: EngineControl) -> None:
        """Set or clear faults and states."""
        for name in ("refuse", "break_after_tokens", "repeat_tokens", "refuse_kv"):
            value = getattr(control, name)
            if value is not None:
                setattr(self.control, name, value)
        if control.leaving_s is not None:
            self._leaving_since = time.monotonic()
            self._leaves_at = self._leaving_since + control.leaving_s
        if control.stay:
            self._leaving_since = self._leaves_at = None

    async def _stream_events(self, listener: _Listener) -> AsyncIterator[bytes]:
        try:
            while True:
                data = await listener.queue.get()
                if data is None:
                    return
                yield data
        finally:
            self.cancel(listener.call.attempt)

    def _emit_token(self, attempt: str, index: int) -> None:
        listener = self._listeners.get(attempt)
        if listener is None:
            return
        stop_after = self.control.break_after_tokens
        if stop_after is not None and index >= stop_after:
            self.cancel(attempt)
            return
        token = Token(index, token_text(listener.call.prompt, index))
        self._send(listener, token)
        if self.control.repeat_tokens:
            self._send(listener, token)

    def _emit_done(self, sequence: Sequence) -> None:
        self.counts.cached_tokens += sequence.cached_tokens
        self.counts.computed_tokens += sequence.computed_tokens
        listener = self._listeners.pop(sequence.attempt, None)
        if listener is None:
            return
        done = Done("length", sequence.cached_tokens, sequence.computed_tokens, self.load())
        self._send(listener, done)
        listener.queue.put_nowait(None)

    def _send(self, listener: _Listener, event: Token | Done | Refused) -> None:
        listener.queue.put_nowait(b"data: %s\n\n" % msgspec.json.encode(event))

    def _record_cache_events(self) -> None:
        for change in self.model.cache.changes:
            self._event_number += 1
            event = CacheEvent(self._event_number, change.kind, change.session, change.tokens)
            self._events.append(event)
        self.model.cache.changes.clear()

    def _snapshot(self) -> None:
        now = time.monotonic()
        if self._snapshots and now - self._snapshots[-1][0] < SNAPSHOT_INTERVAL_S:
            return
        self._sequence += 1
        self._snapshots.append((now, self._sequence, self.model.load()))
        while len(self._snapshots) > 2 and self._snapshots[1][0] < now - self._load_lag_s:
            self._snapshots.popleft()


def _json_response(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")


def make_app(engine: Engine) -> Starlette:
    """Return the ASGI application of an engine."""

    async def generate(request: Request) -> Response:
        call = msgspec.json.decode(await request.body(), type=GenerateCall)
        return StreamingResponse(engine.generate(call), media_type="text/event-stream")

    async def cancel(request: Request) -> Response:
        engine.cancel(msgspec.json.decode(await request.body())["attempt"])
        return _json_response({})

    async def load(_: Request) -> Response:
        return _json_response(engine.load())

    async def events(request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        return _json_response(CacheEventPage(engine.events_after(after)))

    async def order(request: Request) -> Response:
        return _json_response(engine.order(msgspec.json.decode(await request.body(), type=Order)))

    async def export_kv(request: Request) -> Response:
        ticket = engine.export_kv(msgspec.json.decode(await request.body())["session"])
        if ticket is None:
            return _json_response({"error": "nothing to export"}, 409)
        host = request.headers["host"]
        return _json_response(msgspec.structs.replace(ticket, source=host))

    async def ticket(request: Request) -> Response:
        context = engine.exported_context(str(request.path_params["ticket"]))
        return _json_response(context) if context is not None else _json_response({}, 404)

    async def import_kv(request: Request) -> Response:
        kv_ticket = msgspec.json.decode(await request.body(), type=KvTicket)
        async with aiosonic.HTTPClient() as client:
            answer = await client.get(f"http://{kv_ticket.source}/v1/kv/tickets/{kv_ticket.ticket}")
            body = await answer.content()
        if answer.status_code != 200:
            return _json_response({"error": "no such ticket"}, 409)
        blocks, session = msgspec.json.decode(body, type=tuple[tuple[int, ...], str])
        engine.import_kv(blocks, session)
        return _json_response({})

    async def control(request: Request) -> Response:
        engine.apply_control(msgspec.json.decode(await request.body(), type=EngineControl))
        return _json_response({})

    async def counts(_: Request) -> Response:
        return _json_response(engine.counts)

    @contextlib.asynccontextmanager
    async def lifespan(_: Starlette) -> AsyncIterator[None]:
        stepping = asyncio.create_task(engine.run_steps())
        yield
        stepping.cancel()

    return Starlette(
        routes=[
            Route("/v1/generate", generate, methods=["POST"]),
            Route("/v1/cancel", cancel, methods=["POST"]),
            Route("/v1/load", load),
            Route("/v1/cache-events", events),
            Route("/v1/orders", order, methods=["POST"]),
            Route("/v1/kv/export", export_kv, methods=["POST"]),
            Route("/v1/kv/tickets/{ticket:path}", ticket),
            Route("/v1/kv/import", import_kv, methods=["POST"]),
            Route("/control", control, methods=["POST"]),
            Route("/control/counts", counts),
        ],
        lifespan=lifespan,
    )


def main() -> None:
    """Serve an engine until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--models", default="")
    parser.add_argument("--checks-fence", action="store_true")
    parser.add_argument("--load-lag-s", type=float, default=0.2)
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--decode-tokens-per-s", type=float, default=1_500.0)
    options = parser.parse_args()
    spec = EngineSpec(slots=options.slots, decode_tokens_per_s=options.decode_tokens_per_s)
    models = [name for name in options.models.split(",") if name]
    engine = Engine(options.name, spec, models, options.checks_fence, options.load_lag_s)
    run(make_app(engine))


if __name__ == "__main__":
    main()
