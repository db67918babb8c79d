"""Live and finished streams of a node: their tokens so far, and their readers."""

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
    """An accepted generation; `deadline_at` is in wall-clock seconds."""

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
    """The answer of one request; it outlives attempts, servers and connections of callers.

    Only the current attempt may add tokens, and only in order: late, duplicate and out-of-order
    tokens change nothing. `adopted` is set if the record started with tokens from another node.
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
        """Return whether no more tokens will be added on this node."""
        return self.state in ENDED_STATES

    def begin_attempt(self, server: str) -> str:
        """Start a new attempt, the only one that may add tokens from now on, and return its id."""
        self.attempts += 1
        # Unique across nodes: around a handover a server may run attempts of both nodes.
        self.attempt = f"{self.request.id}.{uuid.uuid4().hex}"
        self.server = server
        self.dispatched = True
        self.to_run()  # type: ignore[attr-defined]
        return self.attempt

    def wait_for_server(self) -> None:
        """Clear the server and attempt; no attempt may add tokens until the next one starts."""
        self.server = None
        self.attempt = ""
        self.to_wait()  # type: ignore[attr-defined]

    def add(self, attempt: str, index: int, token: str, now: float) -> bool:
        """Add a token; return False if the attempt isn't the current one or skipped a token.

        A token that is known already is ignored, and counts as added.
        """
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
        """Finish the answer, if the attempt is the current one."""
        if attempt != self.attempt or self.ended:
            return
        self.reason = reason
        self._end("to_finish")

    def fail(self, problem: Problem) -> None:
        """End the answer with a problem."""
        if self.ended:
            return
        self.problem = problem
        self._end("to_fail")

    def hand_over(self, successor: str) -> None:
        """End the answer on this node; the caller resumes it at the address `successor`."""
        if self.ended:
            return
        self.successor = successor
        self._end("to_hand")

    async def follow(self, start: int) -> AsyncIterator[tuple[int, list[str]]]:
        """Yield the tokens from index `start` to the end in chunks, as `(first index, tokens)`."""
        wake = asyncio.Event()
        self._readers.add(wake)
        position = start
        try:
            while True:
                wake.clear()
                if position < len(self.tokens):
                    chunk = self.tokens[position:]
                    yield position, chunk
                    position += len(chunk)
                elif self.ended:
                    return
                else:
                    await wake.wait()
        finally:
            self._readers.discard(wake)

    async def wait_ended(self) -> None:
        """Wait until the answer has ended on this node."""
        async for _ in self.follow(len(self.tokens)):
            pass

    def mean_token_interval_s(self) -> float:
        """Return the mean time between tokens in seconds, 0.0 if there are fewer than two."""
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
    """All streams of a node; ended ones are kept for a while, so that callers can resume them."""

    def __init__(self, max_live: int, max_finished: int, finished_ttl_s: float) -> None:
        self._live: dict[str, StreamRecord] = {}
        self._finished: OrderedDict[str, tuple[float, StreamRecord]] = OrderedDict()
        self._max_live = max_live
        self._max_finished = max_finished
        self._finished_ttl_s = finished_ttl_s

    @property
    def full(self) -> bool:
        """Return whether the maximum number of live streams is reached."""
        return len(self._live) >= self._max_live

    def live(self) -> list[StreamRecord]:
        """Return the streams that haven't ended."""
        return list(self._live.values())

    def add(self, record: StreamRecord) -> None:
        """Add a live stream."""
        self._live[record.request.id] = record

    def get(self, request_id: str) -> StreamRecord | None:
        """Return a live or ended stream, or None if it is unknown or was dropped."""
        if request_id in self._live:
            return self._live[request_id]
        finished = self._finished.get(request_id)
        return finished[1] if finished is not None else None

    def move_to_finished(self, record: StreamRecord, now: float) -> None:
        """Move an ended stream from the live to the finished streams."""
        self._live.pop(record.request.id, None)
        self._finished[record.request.id] = (now, record)
        self.sweep(now)

    def sweep(self, now: float) -> None:
        """Drop the oldest finished streams while they exceed the maximum age or number."""
        while self._finished:
            at, _ = next(iter(self._finished.values()))
            if len(self._finished) <= self._max_finished and now - at <= self._finished_ttl_s:
                return
            self._finished.popitem(last=False)
