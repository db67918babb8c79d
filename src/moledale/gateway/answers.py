"""Reading a server's response and relaying it to the caller, whole or event by event."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.dialect import Dialect
from moledale.gateway.events import EventTooLong
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.messages import AnswerFacts, AnswerHead, Framing, InboundRequest, Refusal
from moledale.gateway.plan import Kind
from moledale.gateway.reply import Reply
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.server_notices import MISDIRECTED_REQUEST
from moledale.gateway.server_view import Placement, ServerView, record_answer, record_silence
from moledale.gateway.sharing import Sharing
from moledale.gateway.upstream import AnswerCut, Cut, UpstreamConnection
from moledale.scheduling.expected_ends import max_events_of
from moledale.scheduling.stream_runs import StreamRun

MAX_BUFFERED_BYTES = 1_048_576
"""Responses up to this size, except streams, are read whole before any byte is relayed."""

MAX_UNUSED_BYTES = 65_536
"""Bytes of a body that is not used, as of a rejection, that are read to keep its connection."""

SLOW_TARGET_SHARE = 0.5
SLOW_ANSWER_FACTOR = 4.0
"""A safe request is retried elsewhere after half its target or four usual response times without a
response, whichever is longer.
"""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""

CRASH_CUTS = frozenset({Cut.CLOSED, Cut.RESET})
"""Ways in which a response breaks off when its server crashes or is terminated."""

SILENCE_POLL_INTERVAL_S = 0.2
"""Interval at which resumable streams check whether their server fell silent."""

Read = TypeVar("Read")
Refuse = Callable[[Reply, InboundRequest, Refusal], None]
"""Sends a refusal as this node's final response."""


class AnswerReader:
    """Reads responses of servers; `refuse` responds in place of one that must not be relayed.

    `on_leaving` is called with the id of a server whose response states that it is leaving, and
    `on_begun` with the request of a stream at its first event.
    """

    def __init__(
        self,
        dialect: Dialect,
        balancer: LoadBalancer,
        sharing: Sharing,
        refuse: Refuse,
        now: Callable[[], float],
        guard: RequestGuard,
        on_leaving: Callable[[str], None],
        on_begun: Callable[[Job], None],
    ) -> None:
        self._on_leaving = on_leaving
        self._on_begun = on_begun
        self._dialect = dialect
        self._guard = guard
        self._balancer = balancer
        self._sharing = sharing
        self._refuse = refuse
        self._now = now

    async def read(self, job: Job, connection: UpstreamConnection, run: StreamRun) -> Attempt:
        """Read the head of a response, decide what it means, and read or relay the rest."""
        placement = run.placement
        head = await self._read_head(job, connection, placement)
        placement.view.record_data(self._now())
        self._balancer.reachability.record_answer(job.service, self._now())
        facts = self._dialect.read_answer(head)
        if facts.closes:
            connection.usable = False
        connection.keep_alive_s = facts.keep_alive_s
        if facts.request_id is not None and facts.request_id != job.facts.id:
            connection.usable = False
            return self.handle_cut(job, placement, Cut.GARBLED)
        self._on_statement(placement, head.status, facts)
        attempt = await self._read_rest(job, connection, run, head, facts)
        attempt.statement = facts.statement
        return attempt

    def _on_statement(self, placement: Placement, status: int, facts: AnswerFacts) -> None:
        """Record what a response states about its server, for the placement of later requests."""
        if not (facts.stamped or facts.not_run):
            return
        view = placement.view
        stated = facts.statement
        self._balancer.notices.handle_answer(
            view, status, facts.not_run, stated, placement.sent_at, self._now()
        )
        if stated.leaving and status != MISDIRECTED_REQUEST:
            self._on_leaving(view.server.id)

    async def _read_rest(
        self,
        job: Job,
        connection: UpstreamConnection,
        run: StreamRun,
        head: AnswerHead,
        facts: AnswerFacts,
    ) -> Attempt:
        """Read or relay what follows the head of a response."""
        if facts.not_run:
            await self._read_to_end(connection)
            return Attempt(AttemptOutcome.NOT_RUN, why=str(head.status))
        if not facts.stamped:
            connection.usable = False
            return self.handle_cut(job, run.placement, Cut.GARBLED)
        if run.from_backup and head.status >= 300:
            # The answer is about the continuation only; the caller gets what ended the run before.
            await self._read_to_end(connection)
            return Attempt(AttemptOutcome.FAILED, why=str(head.status))
        if not job.may_follow(head):
            return await self._discard_answer(job, connection, run.placement, head)
        if job.route.kind is Kind.STREAM and head.status < 300 and head.may_be_events:
            return await self._relay_stream(job, connection, run, head)
        return await self._relay_answer(job, connection, run.placement, head)

    async def _read_head(
        self, job: Job, connection: UpstreamConnection, placement: Placement
    ) -> AnswerHead:
        """Wait for the head of a response; a safe request gives up on a slow server."""
        if job.route.kind is Kind.STREAM:
            return await self._read_unless_silent(job, placement.view, connection.head)
        may_retry = job.route.kind is Kind.SAFE and job.sends < job.route.max_servers
        if may_retry:
            usual_s = SLOW_ANSWER_FACTOR * placement.view.answer_s
            try:
                async with asyncio.timeout(max(SLOW_TARGET_SHARE * job.route.target_s, usual_s)):
                    return await connection.head()
            except TimeoutError:
                if self.may_try_elsewhere(job):
                    raise AnswerCut(Cut.SLOW) from None
        return await connection.head()

    async def _read_unless_silent(
        self, job: Job, view: ServerView, read: Callable[[], Awaitable[Read]]
    ) -> Read:
        """Wait for more of a stream; a resumable one is cut off if its server is silent for long.

        Two checks in a row have to find silence: after a stall of this node itself, data that
        arrived in the meantime is read first.
        """
        if not job.route.repeatable or job.sends >= job.route.max_servers:
            return await read()
        silent_polls = 0
        while True:
            try:
                async with asyncio.timeout(SILENCE_POLL_INTERVAL_S):
                    return await read()
            except TimeoutError:
                silent_polls = silent_polls + 1 if view.is_lost(self._now()) else 0
            if silent_polls > 1 and self.may_try_elsewhere(job):
                raise AnswerCut(Cut.SLOW)

    def may_try_elsewhere(self, job: Job) -> bool:
        """Return whether another server and the retry budget allow one more send."""
        now = self._now()
        excluded = job.tried | self._balancer.other_versions(job.service, job.version)
        other = self._balancer.has_alternative(job.service, now, excluded)
        return other and self._sharing.may_retry(job.service, now)

    async def _read_to_end(self, connection: UpstreamConnection) -> None:
        """Read a body that is not used; give the connection up if it is long."""
        size = 0
        while (data := await connection.chunk()) is not None:
            size += len(data)
            if size > MAX_UNUSED_BYTES:
                connection.abort()
                return

    async def _discard_answer(
        self, job: Job, connection: UpstreamConnection, placement: Placement, head: AnswerHead
    ) -> Attempt:
        """Read a response that can't follow what the caller has of its answer."""
        await self._read_to_end(connection)
        self._record_whole_answer(job, placement, head)
        return Attempt(AttemptOutcome.FAILED, why=f"{head.status} inside a stream")

    def _record_whole_answer(self, job: Job, placement: Placement, head: AnswerHead) -> bool:
        """Record a response that is no stream; return whether it reports a failure."""
        now = self._now()
        failed = head.status >= 500
        record_answer(placement.view, failed, now - placement.sent_at)
        self._balancer.record_outcome(placement, failed, now - placement.sent_at, now)
        job.may_have_run = True
        self._count_usage(job)
        return failed

    async def _relay_answer(
        self,
        job: Job,
        connection: UpstreamConnection,
        placement: Placement,
        head: AnswerHead,
    ) -> Attempt:
        body, whole = await self._read_up_to_limit(connection)
        failed = self._record_whole_answer(job, placement, head)
        if failed and whole and job.route.repeatable and job.sends < job.route.max_servers:
            return Attempt(AttemptOutcome.FAILED, head, body, why=str(head.status))
        if whole:
            await self.relay(job, head, body)
        else:
            await self._relay_long_body(job, connection, head, body)
        return Attempt(AttemptOutcome.ANSWERED)

    async def _read_up_to_limit(self, connection: UpstreamConnection) -> tuple[bytes, bool]:
        """Read up to `MAX_BUFFERED_BYTES`; return the data and whether that is the whole body."""
        parts: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_BYTES:
            data = await connection.chunk()
            if data is None:
                return b"".join(parts), True
            parts.append(data)
            size += len(data)
        return b"".join(parts), False

    async def _relay_long_body(
        self, job: Job, connection: UpstreamConnection, head: AnswerHead, first_part: bytes
    ) -> None:
        """Relay a long response as it arrives."""
        self._start_reply(job, head)
        job.reply.send(first_part)
        while (data := await connection.chunk()) is not None:
            job.reply.send(data)
            await job.reply.drain()
        await job.reply.finish()

    async def relay(self, job: Job, head: AnswerHead, body: bytes) -> None:
        """Relay a whole response, or a 502 if its status promises that the request did not run.

        This node cannot vouch for such a promise. It cannot vouch either for the length of a
        response that ended only with its connection.
        """
        if head.status in NOT_RUN_STATUSES:
            self._refuse(job.reply, job.request, Refusal(502, "the server's answer is unclear"))
            return
        if head.framing is not Framing.CLOSE:
            job.reply.send_whole(head.status, self._dialect.answer_headers(head), body)
            return
        self._start_reply(job, head)
        job.reply.send(body)
        await job.reply.finish()

    async def _relay_stream(
        self, job: Job, connection: UpstreamConnection, run: StreamRun, head: AnswerHead
    ) -> Attempt:
        """Relay events as they arrive, whole ones only."""
        placement = run.placement
        is_first = True
        has_survived = False
        view = placement.view
        while (data := await self._read_unless_silent(job, view, connection.chunk)) is not None:
            view.record_data(self._now())
            if is_first:
                is_first = False
                self._balancer.record_first_event(placement, self._now())
                job.may_have_run = True
                self._count_usage(job)
                record_answer(placement.view, False, self._now() - placement.sent_at)
            if not has_survived and self._guard.has_survived(placement):
                has_survived = True
                self._guard.record_survival(job)
            events_before = job.splitter.event_count
            try:
                whole = job.splitter.feed(data)
            except EventTooLong:
                raise AnswerCut(Cut.GARBLED) from None
            if whole:
                run.record_events(job.splitter.event_count - events_before, self._now())
                job.record_event(self._now())
                self._record_version(job, placement)
                self._start_reply(job, head)
                job.stream_head = job.stream_head or head
                job.reply.send(whole)
                await job.reply.drain()
        if job.splitter.partial_bytes or self._may_lack_events(job, run, head):
            raise AnswerCut(Cut.CLOSED)
        self._start_reply(job, head)
        await job.reply.finish()
        self._balancer.record_completion(placement, self._now())
        self._balancer.record_pace(placement, run.server_events, self._now())
        return Attempt(AttemptOutcome.ANSWERED)

    def _record_version(self, job: Job, placement: Placement) -> None:
        """Bind a stream to the version of the server that begins it."""
        if job.version is None:
            job.version = placement.view.server.version
            self._on_begun(job)

    def _may_lack_events(self, job: Job, run: StreamRun, head: AnswerHead) -> bool:
        """Return whether a stream that ended after a whole event may have broken off there.

        Without framing, the end of a connection says nothing if a move or this node closed it, or
        if no event came. Otherwise the caller gets the end as it came, unless the answer was begun
        in chunks: the last chunk would state that it is complete.
        """
        if head.framing is not Framing.CLOSE:
            return False
        if run.stopping or run.sent_elsewhere:
            return True
        if not job.splitter.event_count:
            return not job.facts.resumed_after
        return job.reply.framing is Framing.CHUNKED and not self._has_all_events(job, run)

    def _has_all_events(self, job: Job, run: StreamRun) -> bool:
        """Return whether an answer has as many events as its caller allows."""
        if job.facts.resumed_after or not job.facts.answer_tokens:
            return False
        max_events = max_events_of(job.facts.answer_tokens, run.event_tokens)
        return job.splitter.event_count >= max_events

    def _start_reply(self, job: Job, head: AnswerHead) -> None:
        """Start a response whose length is not known, framed as that of the server.

        If that had a length, the last chunk shows the caller that the response is complete.
        """
        if job.reply.started:
            return
        framing = Framing.CLOSE if head.framing is Framing.CLOSE else Framing.CHUNKED
        job.reply.start(head.status, self._dialect.answer_headers(head), framing)

    def handle_cut(self, job: Job, placement: Placement, cut: Cut) -> Attempt:
        """Record a response that was cut off; its request may have run."""
        job.may_have_run = True
        record_silence(placement.view, self._now())
        if cut in CRASH_CUTS:
            self._guard.record_broken_answer(job, placement)
        else:
            self._balancer.record_broken_answer(placement, self._now())
        if cut is Cut.SLOW:
            self._balancer.on_silent(placement.view.server.id)
        partial_bytes = job.splitter.partial_bytes
        job.splitter.discard_partial()
        return Attempt(AttemptOutcome.BROKEN, why=cut.value, partial_bytes=partial_bytes)

    def _count_usage(self, job: Job) -> None:
        if not job.usage_counted and job.caller.account is not None:
            job.usage_counted = True
            self._sharing.record_started(job.caller.account)
