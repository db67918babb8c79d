"""A request in progress, and the outcome of each attempt to send it."""

from enum import StrEnum

import msgspec

from moledale.gateway.accounts import Charge
from moledale.gateway.events import EventSplitter
from moledale.gateway.fingerprint import fingerprint, part_digests
from moledale.gateway.messages import (
    AnswerHead,
    Caller,
    Framing,
    InboundRequest,
    RequestFacts,
    ServerStatement,
)
from moledale.gateway.plan import Route
from moledale.gateway.reply import Reply
from moledale.scheduling.stream_runs import BrokenRun, Continuation


class AttemptOutcome(StrEnum):
    """How an attempt ended.

    `ANSWERED`: the response was relayed to the caller. `NOT_SENT`: no server got the request.
    `NOT_RUN`: the server states that it did not run the request. `FAILED`: the response reports a
    failure of the server, and was not relayed. `BROKEN`: the response was cut off or is not valid.
    `MOVED`: the stream continues on another server.
    """

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    FAILED = "failed"
    BROKEN = "broken"
    MOVED = "moved"


class Attempt(msgspec.Struct):
    """Outcome of one attempt, with the server's response if there is one to relay.

    `statement` is what the response states about its server, `retry_after_s` the delay after which
    the caller may retry, if known, and `continuation` where a moved stream continues. `broken_run`
    is set if the response broke off and its run has a backup. `framing` is that of the response,
    None without one, and `partial_bytes` is the size of the event that was incomplete at its end.
    """

    outcome: AttemptOutcome
    head: AnswerHead | None = None
    body: bytes = b""
    why: str = ""
    continuation: Continuation | None = None
    broken_run: BrokenRun | None = None
    statement: ServerStatement = ServerStatement()
    retry_after_s: float | None = None
    framing: Framing | None = None
    partial_bytes: int = 0


class Job(msgspec.Struct):
    """A request in progress: its caller, route and deadline, and the servers tried so far.

    `sends` is how often it was sent, and `may_have_run` is set once a server may have run it.
    `usage_counted` is set once it counts towards the usage of its account, `was_sent` once it was
    sent to any server. `retry_counted` is set while its next send is counted in the retry budget
    already. `longest_pause_s` is the longest time between two relayed events. `charge` is what it
    was charged to its account's limit, if that is taken back when the request is refused.
    `relay_tried` is set once peers were asked to take the request. `version` is the software
    version of the server that began the stream, the only one at which it may go on. It is None
    until the first event. `stream_head` is the head of the response that began the relayed stream,
    None unless events were relayed.
    """

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
    retry_counted: bool = False
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    charge: Charge | None = None
    relay_tried: bool = False
    version: str | None = None
    stream_head: AnswerHead | None = None
    _fingerprint: bytes = b""
    _part_digests: tuple[bytes, ...] | None = None

    @property
    def fingerprint(self) -> bytes:
        """Return the digest of the request's content, computed on first use only."""
        if not self._fingerprint:
            self._fingerprint = fingerprint(self.request, self.caller.account)
        return self._fingerprint

    @property
    def part_digests(self) -> tuple[bytes, ...]:
        """Return the digests of the shared parts of the prompt, computed on first use only."""
        if self._part_digests is None:
            self._part_digests = part_digests(self.facts.shared_parts)
        return self._part_digests

    @property
    def may_go_on(self) -> bool:
        """Return whether the response of another server may follow what was relayed."""
        return not self.reply.started or self.stream_head is not None

    def may_follow(self, head: AnswerHead) -> bool:
        """Return whether a response may follow what was relayed.

        Anything may follow nothing. Events are followed only by more events, under the head that
        the caller has. A server that continues a stream need not state their type again.
        """
        if not self.reply.started:
            return True
        begun = self.stream_head
        return begun is not None and begun.status == head.status and head.may_be_events

    def record_event(self, now: float) -> None:
        """Record that events were relayed, to track the longest pause between two."""
        if self.last_event_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now

    def left_s(self, now: float) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_at - now
