"""A request under way, and how each send of it ended."""

from enum import StrEnum

import msgspec

from moledale.gateway.evacuation import Continuation
from moledale.gateway.events import EventSplitter
from moledale.gateway.fingerprint import fingerprint
from moledale.gateway.messages import (
    AnswerHead,
    Caller,
    InboundRequest,
    RequestFacts,
    ServerStatement,
)
from moledale.gateway.plan import Route
from moledale.gateway.reply import Reply


class AttemptOutcome(StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    FAILED = "failed"
    BROKEN = "broken"
    MOVED = "moved"


class Attempt(msgspec.Struct):
    """Outcome of one send; the answer of a server, if there is one to pass on.

    `statement` is what the answer said of its server; `retry_after_s` is when its caller may come back,
    where that is known.
    """

    outcome: AttemptOutcome
    head: AnswerHead | None = None
    body: bytes = b""
    why: str = ""
    continuation: Continuation | None = None
    statement: ServerStatement = ServerStatement()
    retry_after_s: float | None = None


class Job(msgspec.Struct):
    """A request under way: who asks for what, until when, and what was tried."""

    request: InboundRequest
    facts: RequestFacts
    route: Route
    caller: Caller
    service: str
    deadline_at: float
    reply: Reply
    splitter: EventSplitter
    tried: frozenset[str] = frozenset()
    sends: int = 0
    may_have_run: bool = False
    usage_counted: bool = False
    was_sent: bool = False
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """Return the digest of what is asked for; made once, and only for those that want it."""
        if not self._fingerprint:
            self._fingerprint = fingerprint(self.request, self.caller.account)
        return self._fingerprint

    def record_event(self, now: float) -> None:
        """Note that events were passed on, for the longest pause between two."""
        if self.last_event_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now

    def left_s(self, now: float) -> float:
        """Return the time left."""
        return self.deadline_at - now
