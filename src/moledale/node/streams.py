"""Live and finished streams of a node: the tokens sent so far, and who reads them."""

import asyncio
import uuid
from collections import OrderedDict
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from transitions import Machine

from moledale.bundle.schema import Priority
from moledale.problems import Problem


class GenerationRequest(msgspec.Struct, frozen=True):
    """An accepted generation; `deadline_at` is wall-clock seconds."""

    id: str
    account: str
    model: str
    prompt: str
    max_tokens: int
    priority: Priority
    session: str
    deadline_at: float
    created_at: int
    chat: bool = False
    repeatable: bool = True


_STATE_MACHINE: Any = Machine(
    model=None,
    states=["accepted", "waiting", "running", "finished", "failed", "handed"],
    initial="accepted",
    auto_transitions=False,
    transitions=[
        {"trigger": "to_wait", "source": ["accepted", "running", "waiting"], "dest": "waiting"},
        {"trigger": "to_run", "source": ["accepted", "waiting"], "dest": "running"},
        {"trigger": "to_finish", "source": ["running", "waiting"], "dest": "finished"},
        {"trigger": "to_fail", "source": ["accepted", "waiting", "running"], "dest": "failed"},
        {"trigger": "to_hand", "source": ["accepted", "waiting", "running"], "dest": "handed"},
    ],
)
ENDED_STATES = ("finished", "failed", "handed")


class StreamRecord:
    """One request's answer while it is made; it outlives servers and connections.

    Only the current attempt may add tokens, and only the next one in order: late, crossed and
    repeated answers change nothing.
    """

    state: str

    def __init__(self, request: GenerationRequest, tokens: list[str] | None = None) -> None:
        self.request = request
        self.tokens: list[str] = tokens or []
        self.adopted = bool(tokens)
        self.reason: str | None = None
        self.problem: Problem | None = None
        self.successor: str | None = None
        self.attempt = ""
        self.attempts = 0
        self.dispatched = False
        self.server: str | None = None
        self.cached_tokens = 0
        self.computed_tokens = 0
        self.accepted_at = 0.0
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None
        self._readers: set[asyncio.Event] = set()
        _STATE_MACHINE.add_model(self)

    @property
    def ended(self) -> bool:
        """Whether nothing more will be added here."""
        return self.state in ENDED_STATES

    def begin_attempt(self, server: str) -> str:
        """Make a new attempt the only one that may add tokens."""
        self.attempts += 1
        # Unique over nodes too: a server may see attempts of the node before and after a
        # hand-over side by side.
        self.attempt = f"{self.request.id}.{uuid.uuid4().hex}"
        self.server = server
        self.dispatched = True
        self.to_run()  # type: ignore[attr-defined]
        return self.attempt

    def wait_for_server(self) -> None:
        """Note that the request has no server now."""
        self.server = None
        self.attempt = ""
        self.to_wait()  # type: ignore[attr-defined]

    def add(self, attempt: str, index: int, token: str, now: float) -> bool:
        """Add a token; return False if this attempt may not, or has skipped one."""
        if attempt != self.attempt or self.ended:
            return False
        if index < len(self.tokens):
            return True
        if index > len(self.tokens):
            return False
        self.tokens.append(token)
        self._record_token_time(now)
        self._wake_readers()
        return True

    def finish(self, attempt: str, reason: str) -> None:
        """End the answer, if this attempt still may."""
        if attempt != self.attempt or self.ended:
            return
        self.reason = reason
        self._end("to_finish")

    def fail(self, problem: Problem) -> None:
        """End the answer with an explicit error."""
        if self.ended:
            return
        self.problem = problem
        self._end("to_fail")

    def hand_over(self, successor: str) -> None:
        """End the answer here; the caller goes on at `successor`."""
        if self.ended:
            return
        self.successor = successor
        self._end("to_hand")

    async def follow(self, start: int) -> AsyncIterator[tuple[int, list[str]]]:
        """Yield runs of tokens from index `start` until the answer ends."""
        wake = asyncio.Event()
        self._readers.add(wake)
        position = start
        try:
            while True:
                wake.clear()
                if position < len(self.tokens):
                    run = self.tokens[position:]
                    yield position, run
                    position += len(run)
                elif self.ended:
                    return
                else:
                    await wake.wait()
        finally:
            self._readers.discard(wake)

    async def wait_ended(self) -> None:
        """Wait until the answer has ended."""
        async for _ in self.follow(len(self.tokens)):
            pass

    def mean_token_interval_s(self) -> float:
        """Return the mean seconds between tokens."""
        if self.first_token_at is None or self.last_token_at is None or len(self.tokens) < 2:
            return 0.0
        return (self.last_token_at - self.first_token_at) / (len(self.tokens) - 1)

    def _record_token_time(self, now: float) -> None:
        if self.first_token_at is None:
            self.first_token_at = now
        self.last_token_at = now

    def _end(self, trigger: str) -> None:
        getattr(self, trigger)()
        _STATE_MACHINE.remove_model(self)
        self._wake_readers()

    def _wake_readers(self) -> None:
        for reader in self._readers:
            reader.set()


class StreamTable:
    """All streams of a node; finished ones stay a while, so that a caller can resume."""

    def __init__(self, max_live: int, max_finished: int, finished_ttl_s: float) -> None:
        self._live: dict[str, StreamRecord] = {}
        self._finished: OrderedDict[str, tuple[float, StreamRecord]] = OrderedDict()
        self._max_live = max_live
        self._max_finished = max_finished
        self._finished_ttl_s = finished_ttl_s

    @property
    def full(self) -> bool:
        """Whether no further stream may begin."""
        return len(self._live) >= self._max_live

    def live(self) -> list[StreamRecord]:
        """Return the streams that haven't ended."""
        return list(self._live.values())

    def add(self, record: StreamRecord) -> None:
        """Keep a live stream."""
        self._live[record.request.id] = record

    def get(self, request_id: str) -> StreamRecord | None:
        """Return a live or finished stream."""
        if request_id in self._live:
            return self._live[request_id]
        kept = self._finished.get(request_id)
        return kept[1] if kept is not None else None

    def ended(self, record: StreamRecord, now: float) -> None:
        """Move a stream to the finished ones."""
        self._live.pop(record.request.id, None)
        self._finished[record.request.id] = (now, record)
        self.sweep(now)

    def sweep(self, now: float) -> None:
        """Drop finished streams that are too old or too many."""
        while self._finished:
            at, _ = next(iter(self._finished.values()))
            if len(self._finished) <= self._max_finished and now - at <= self._finished_ttl_s:
                return
            self._finished.popitem(last=False)
