"""One request from its caller to a server and back: attempts, whole answers, final answers."""

import asyncio
import random
import time
from collections.abc import Callable

from moledale.gateway.accounts import AccountLimits
from moledale.gateway.admission import Admission, spread
from moledale.gateway.balance import Placement, ServerBook, note_answer, note_silence
from moledale.gateway.dialect import Dialect
from moledale.gateway.evacuation import Continuation, Engines, Evacuation, StreamRun
from moledale.gateway.job import Attempt, Ending, Job
from moledale.gateway.messages import (
    AnswerFacts,
    AnswerHead,
    AttemptFacts,
    InboundRequest,
    Refusal,
)
from moledale.gateway.plan import Engine, Kind, Plan, PlanIndex
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.reply import CHUNKED, Reply
from moledale.gateway.sharing import Sharing
from moledale.gateway.upstream import AnswerCut, ConnectFailed, Cut, UpstreamConnection
from moledale.log import Event, emit

MOST_BUFFERED_BYTES = 1_048_576
"""Plain answers up to this size are read whole before the caller gets a byte of them."""

SLOW_SHARE = 0.5
SLOW_X = 4.0
"""A safe request is tried elsewhere after half its target or four usual answers without one."""

MOST_UNREACHED = 6
"""Servers that may take no connection before a request is given up; nothing was sent to them."""

NO_SERVER_AGAIN_S = 0.6
NOT_RUN_AGAIN_S = 0.3

NO_EVENT = "0"
"""Id before a stream's first event."""

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""


class Forwarder:
    """Carries requests to servers; all nodes' news come in through `sharing`."""

    def __init__(
        self,
        dialect: Dialect,
        book: ServerBook,
        pool: ConnectionPool,
        sharing: Sharing,
        engines: Engines,
        now: Callable[[], float] = time.monotonic,
        newer_plan: Callable[[], bool] = lambda: False,
        first_start: bool = False,
    ) -> None:
        self.admission = Admission(dialect, now, newer_plan, first_start, sharing.limit_window_s)
        self._dialect = dialect
        self._book = book
        self._pool = pool
        self._sharing = sharing
        self.evacuation = Evacuation(engines, book, lambda: self.index, now)
        self.handled = 0
        self._now = now
        self._random = random.Random()

    @property
    def index(self) -> PlanIndex | None:
        """Return the plan in force."""
        return self.admission.index

    @property
    def limits(self) -> AccountLimits:
        """Return the limits of accounts."""
        return self.admission.limits

    def adopt(self, plan: Plan) -> bool:
        """Put a plan in force unless a newer one is; say whether it is in force now."""
        return self.admission.adopt(plan)

    async def handle(self, request: InboundRequest, reply: Reply) -> None:
        """Answer one request."""
        self.handled += 1
        job = self.admission.admit(request, reply)
        if isinstance(job, Refusal):
            self.refuse(reply, request, job, job.request)
            return
        try:
            async with asyncio.timeout(max(0.0, job.left_s(self._now()))):
                await self._carry(job)
        except TimeoutError:
            self._give_up(job, Refusal(504, "the time limit was reached"))
        except asyncio.CancelledError:
            emit(Event.CALLER_GONE, request=job.facts.id, sends=job.sends)
            raise

    def _tell_served(self, job: Job, placement: Placement) -> None:
        now = self._now()
        first = placement.first_at or now
        emit(
            Event.SERVED,
            request=job.facts.id,
            route=job.route.name,
            account=job.caller.account,
            server=placement.view.server.id,
            sends=job.sends,
            status=job.reply.status,
            tokens=job.facts.prompt_tokens,
            uncached=placement.uncached,
            fetched=placement.fetched,
            ahead=placement.ahead,
            beside=placement.beside,
            first_ms=round((first - job.request.arrived_at) * 1000),
            target_ms=round(job.route.target_s * 1000),
            pause_ms=round(job.longest_pause_s * 1000),
            gap_ms=round(job.route.gap_s * 1000),
            ms=round((now - job.request.arrived_at) * 1000),
        )

    async def _carry(self, job: Job) -> None:
        """Try servers until one answers or no more may be tried."""
        self._sharing.request(job.service, self._now())
        last = Attempt(Ending.NOT_SENT, why="no server is there")
        moved: Continuation | None = None
        while True:
            placement = self._place(job) if moved is None else moved.placement
            if placement is None:
                break
            attempt = await self._attempt(job, placement, moved)
            moved = attempt.next
            if attempt.ending is Ending.ANSWERED:
                self._tell_served(job, placement)
                return
            if attempt.ending is Ending.MOVED:
                continue
            last = attempt
            if not self._may_repeat(job, attempt):
                break
        self._end_without_answer(job, last)

    def _place(self, job: Job) -> Placement | None:
        engine = self._engine(job.service)
        return self._book.place(job.service, job.facts, engine, self._now(), job.tried)

    def _engine(self, name: str) -> Engine | None:
        index = self.index
        assert index is not None
        service = index.services.get(name)
        return service.engine if service is not None else None

    def _may_repeat(self, job: Job, attempt: Attempt) -> bool:
        """Say whether another server may be tried."""
        server_left = job.sends < job.route.max_servers
        if attempt.ending is Ending.NOT_SENT:
            return len(job.tried) - job.sends < MOST_UNREACHED
        if not server_left or (job.may_have_run and not job.route.repeatable):
            return False
        return self._sharing.may_repeat(job.service, self._now())

    async def _attempt(self, job: Job, placement: Placement, moved: Continuation | None) -> Attempt:
        """Send the request to one server and pass its answer on."""
        engine = self._engine(job.service)
        event_tokens = engine.event_tokens if engine is not None else 1
        run = StreamRun(job.facts, job.service, placement, event_tokens, events=job.cutter.passed)
        try:
            return await self._send_and_read(job, run, moved)
        finally:
            self.evacuation.end(run)

    async def _send_and_read(self, job: Job, run: StreamRun, moved: Continuation | None) -> Attempt:
        placement = run.placement
        view = placement.view
        server = view.server
        job.tried |= {server.id}
        connection: UpstreamConnection | None = None
        try:
            try:
                connection = await self._pool.take(server.id, server.address)
            except ConnectFailed as error:
                note_silence(view, self._now())
                emit(Event.CONNECT_FAILED, request=job.facts.id, server=server.id, why=str(error))
                return Attempt(Ending.NOT_SENT, why="no connection")
            self._send(job, connection, placement, moved)
            if job.route.kind is Kind.STREAM:
                self.evacuation.runs.add(run)
            try:
                attempt = await self._read(job, connection, run)
            except AnswerCut as error:
                attempt = await self._moved(job, run) or self._cut(job, placement, error.cut)
            if attempt.ending is not Ending.ANSWERED:
                emit(
                    Event.ATTEMPT_ENDED,
                    request=job.facts.id,
                    server=server.id,
                    ending=attempt.ending.value,
                    why=attempt.why,
                    ms=round((self._now() - placement.sent_at) * 1000),
                )
            self._pool.give_back(server.id, connection)
            connection = None
            return attempt
        finally:
            if connection is not None:
                connection.abort()
            placement.end()

    async def _moved(self, job: Job, run: StreamRun) -> Attempt | None:
        """Return where a stream goes on that was stopped to be moved, or None."""
        if not run.stopping:
            return None
        found = await run.next
        if found is None:
            return None
        run.next = asyncio.get_running_loop().create_future()
        job.cutter.start_again()
        job.may_have_run = True
        return Attempt(Ending.MOVED, why="moved", next=found)

    def _send(
        self,
        job: Job,
        connection: UpstreamConnection,
        placement: Placement,
        moved: Continuation | None,
    ) -> None:
        now = self._now()
        if job.sends:
            self._sharing.repeat(job.service, now)
        job.sends += 1
        job.offered = True
        after = job.cutter.last_id if job.cutter.passed else ""
        if moved is not None:
            after = job.cutter.last_id or NO_EVENT
        facts = AttemptFacts(
            placement.view.server.id,
            job.caller.account,
            job.left_s(now),
            job.caller.priority,
            after_event=after,
            continued_from=f"{moved.source}/{moved.handle}" if moved is not None else "",
            fetch_from=placement.fetch_from if moved is None else "",
        )
        body = job.request.body
        head = job.request.head
        data = self._dialect.attempt_head(head, facts, len(body)) + body
        connection.send(data, bodiless=head.bodiless)

    async def _read(self, job: Job, connection: UpstreamConnection, run: StreamRun) -> Attempt:
        """Read an answer's head, decide what it means, and read or pass on the rest."""
        placement = run.placement
        head = await self._head(job, connection, placement)
        placement.view.heard_at = self._now()
        facts = self._dialect.read_answer(head)
        if facts.closes:
            connection.usable = False
        connection.keep_alive_s = facts.keep_alive_s
        if facts.request_id is not None and facts.request_id != job.facts.id:
            connection.usable = False
            return self._cut(job, placement, Cut.GARBLED)
        if facts.not_run:
            await self._read_whole(connection)
            return Attempt(Ending.NOT_RUN, retry_after_s=facts.retry_after_s, why=str(head.status))
        if not facts.signed:
            connection.usable = False
            return self._cut(job, placement, Cut.GARBLED)
        if job.route.kind is Kind.STREAM and head.status < 300:
            return await self._pass_stream(job, connection, run, head)
        return await self._pass_whole(job, connection, placement, head, facts)

    async def _head(
        self, job: Job, connection: UpstreamConnection, placement: Placement
    ) -> AnswerHead:
        """Wait for an answer; a safe request is tried elsewhere if none comes for long."""
        again = job.route.kind is Kind.SAFE and job.sends < job.route.max_servers
        if again:
            usual = SLOW_X * placement.view.answer_s
            try:
                async with asyncio.timeout(max(SLOW_SHARE * job.route.target_s, usual)):
                    return await connection.head()
            except TimeoutError:
                now = self._now()
                other = self._book.has_other(job.service, now, job.tried)
                if other and self._sharing.may_repeat(job.service, now):
                    raise AnswerCut(Cut.SLOW) from None
        return await connection.head()

    async def _read_whole(self, connection: UpstreamConnection) -> bytes:
        parts = []
        while (data := await connection.chunk()) is not None:
            parts.append(data)
        return b"".join(parts)

    async def _pass_whole(
        self,
        job: Job,
        connection: UpstreamConnection,
        placement: Placement,
        head: AnswerHead,
        facts: AnswerFacts,
    ) -> Attempt:
        body, whole = await self._read_some(connection)
        now = self._now()
        failed = head.status >= 500
        note_answer(placement.view, failed, now - placement.sent_at)
        job.may_have_run = True
        self._count(job)
        if failed and job.reply.begun:
            return Attempt(Ending.FAILED, head, body, why=str(head.status))
        if failed and whole and job.route.repeatable and job.sends < job.route.max_servers:
            return Attempt(Ending.FAILED, head, body, why=str(head.status))
        if whole:
            self._pass(job, head, body)
        else:
            await self._pass_long(job, connection, head, body)
        return Attempt(Ending.ANSWERED)

    async def _read_some(self, connection: UpstreamConnection) -> tuple[bytes, bool]:
        """Read a body up to the bound; say whether that is all of it."""
        parts: list[bytes] = []
        size = 0
        while size <= MOST_BUFFERED_BYTES:
            data = await connection.chunk()
            if data is None:
                return b"".join(parts), True
            parts.append(data)
            size += len(data)
        return b"".join(parts), False

    async def _pass_long(
        self, job: Job, connection: UpstreamConnection, head: AnswerHead, begin: bytes
    ) -> None:
        """Pass a long answer on while it comes; what is cut then can't look whole."""
        job.reply.start(head.status, self._dialect.answer_headers(head), CHUNKED)
        job.reply.send(begin)
        while (data := await connection.chunk()) is not None:
            job.reply.send(data)
            await job.reply.drained()
        job.reply.finish()

    def _pass(self, job: Job, head: AnswerHead, body: bytes) -> None:
        """Pass a server's whole answer on; its promises are not ours to repeat."""
        if head.status in PROMISES:
            self.refuse(job.reply, job.request, Refusal(502, "the server's answer is unclear"))
            return
        job.reply.whole(head.status, self._dialect.answer_headers(head), body)

    async def _pass_stream(
        self, job: Job, connection: UpstreamConnection, run: StreamRun, head: AnswerHead
    ) -> Attempt:
        """Pass events on as they come, whole ones only."""
        placement = run.placement
        first = True
        while (data := await connection.chunk()) is not None:
            placement.view.heard_at = self._now()
            if first:
                first = False
                self._book.note_first(placement, self._now())
                job.may_have_run = True
                self._count(job)
                note_answer(placement.view, False, self._now() - placement.sent_at)
            passed = job.cutter.passed
            whole = job.cutter.feed(data)
            if whole:
                run.note_events(job.cutter.passed - passed, self._now())
                job.note_event(self._now())
                self._begin_stream(job, head)
                job.reply.send(whole)
                await job.reply.drained()
        if run.stopping and connection.ends_by_closing:
            raise AnswerCut(Cut.CLOSED)
        self._begin_stream(job, head)
        job.reply.send(job.cutter.rest())
        job.reply.finish()
        self._book.note_end(placement, self._now())
        return Attempt(Ending.ANSWERED)

    def _begin_stream(self, job: Job, head: AnswerHead) -> None:
        if not job.reply.begun:
            job.reply.start(head.status, self._dialect.answer_headers(head), CHUNKED)

    def _cut(self, job: Job, placement: Placement, cut: Cut) -> Attempt:
        """An answer ended early: the request may have run."""
        job.may_have_run = True
        note_silence(placement.view, self._now())
        job.cutter.start_again()
        return Attempt(Ending.BROKEN, why=cut.value)

    def _count(self, job: Job) -> None:
        if not job.counted and job.caller.account is not None:
            job.counted = True
            self._sharing.started(job.caller.account)

    def _end_without_answer(self, job: Job, last: Attempt) -> None:
        """Give the final answer at once: a server's failure, or one of our own."""
        if job.reply.begun:
            job.reply.break_off()
            emit(Event.STREAM_BROKEN, request=job.facts.id, events=job.cutter.passed, why=last.why)
        elif last.head is not None:
            self._pass(job, last.head, last.body)
        elif job.may_have_run:
            self._give_up(job, Refusal(502, "the server broke off"))
        else:
            again = last.retry_after_s if last.retry_after_s is not None else NOT_RUN_AGAIN_S
            if last.ending is Ending.NOT_SENT:
                again = NO_SERVER_AGAIN_S
            self._give_up(job, Refusal(503, last.why, spread(self._random, again)))

    def _give_up(self, job: Job, refusal: Refusal) -> None:
        if job.reply.begun:
            if not job.reply.complete:
                job.reply.break_off()
                emit(Event.STREAM_BROKEN, request=job.facts.id, why=refusal.reason)
            return
        if not job.offered and refusal.status == 504:
            refusal = Refusal(503, refusal.reason, NOT_RUN_AGAIN_S)
        self.refuse(job.reply, job.request, refusal, job.facts.id)

    def refuse(
        self, reply: Reply, request: InboundRequest, refusal: Refusal, name: str = ""
    ) -> None:
        """Give a final answer of the node's own."""
        emit(
            Event.REFUSED,
            request=name,
            status=refusal.status,
            why=refusal.reason,
            again_s=refusal.retry_after_s,
            held_ms=round((self._now() - request.arrived_at) * 1000),
        )
        body = b'{"error":"%s"}' % refusal.reason.encode()
        headers = self._dialect.refusal_headers(name, refusal.retry_after_s)
        reply.whole(refusal.status, headers, body)
