"""Runs generations: queues them, picks servers, and carries answers over failures."""

import asyncio
import random
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from moledale import problems
from moledale.bundle.schema import Bundle, Priority
from moledale.clock import Clock
from moledale.core import reclaim
from moledale.core.limits import RetryBudget
from moledale.core.queueing import WaitingQueue, estimated_wait_s
from moledale.core.routing import (
    LoadBook,
    Need,
    Reservation,
    RoutingParams,
    ServerView,
    Standing,
    eligible,
    pick,
)
from moledale.log import Event, emit
from moledale.node.burn import BurnBook
from moledale.node.messages import ServerGone, ServerLeaving, ServerMessage, ServerReported
from moledale.node.metrics import Metrics
from moledale.node.streams import GenerationRequest, StreamRecord, StreamTable
from moledale.problems import Problem, Ran
from moledale.servers.types import Done, GenerateCall, ModelServers, Refused, ServerError, Token

DEFAULT_SERVICE_S = 5.0
"""Expected time of a request before any has been measured."""

RETRY_PAUSE_S = 0.05
DEFAULT_NOTICE_S = 30.0
LINK_BYTES_PER_S = 3.0e9
"""Assumed bandwidth out of a leaving server, shared by the nodes with streams on it."""

TICK_S = 0.1
HOME_WAIT_S = 2.0
"""Seconds that work waits for a slot at the server with its cache before it goes elsewhere."""

MOST_TRIED = 64
"""Waiting requests that are tried each time something changes; the first in rank."""


@dataclass(slots=True)
class _Waiter:
    """A record that waits for a server."""

    record: StreamRecord
    need: Need
    slot: "asyncio.Future[Reservation | Problem]"
    since: float


class Dispatcher:
    """Owns the load book, the queue and the live streams of a node."""

    def __init__(
        self,
        hall: str,
        servers: ModelServers,
        streams: StreamTable,
        book: LoadBook,
        burn: BurnBook,
        metrics: Metrics,
        bundle: Callable[[], Bundle | None],
        most_waiting: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.book = book
        self.streams = streams
        self._hall = hall
        self._servers = servers
        self._burn = burn
        self._metrics = metrics
        self._bundle = bundle
        self._queue: WaitingQueue[_Waiter] = WaitingQueue(most_waiting)
        self._clock = clock
        self._rng = rng
        self._budget = RetryBudget()
        self._service_s = DEFAULT_SERVICE_S
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._attempts: dict[str, asyncio.Task[str | None]] = {}
        self._moves: dict[str, Reservation | None] = {}
        self._held: set[str] = set()

    @property
    def open_requests(self) -> int:
        """Return the number of requests that run or wait here."""
        return len(self._tasks)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a server."""
        return len(self._queue)

    def submit(self, request: GenerationRequest) -> Result[StreamRecord, Problem]:
        """Accept a generation, or refuse it at once; refused means that it did not run."""
        if self.streams.full:
            return Err(problems.overloaded("this node holds as many streams as it may", 1))
        refusal = self._cannot_make_it(request)
        if refusal is not None:
            self._note_ended(request, good=False)
            return Err(refusal)
        return Ok(self.adopt(StreamRecord(request)))

    def adopt(self, record: StreamRecord) -> StreamRecord:
        """Run a record, which may have tokens already."""
        if not record.accepted_at:
            record.accepted_at = self._clock.monotonic()
        self.streams.add(record)
        self._budget.earn()
        task = asyncio.create_task(self._serve(record), name=f"request/{record.request.id}")
        self._tasks[record.request.id] = task
        return record

    def cancel(self, request_id: str) -> bool:
        """Stop a request for its caller; return False if it isn't here."""
        record = self.streams.get(request_id)
        task = self._tasks.get(request_id)
        if record is None or task is None or record.ended:
            return False
        record.fail(Problem("cancelled", 409, "Cancelled", "by its caller", Ran.UNKNOWN))
        task.cancel()
        return True

    async def hold(self, record: StreamRecord) -> None:
        """Stop work on a request without ending it, so that its tokens stand still.

        A caller must never have more tokens than the peer that goes on with the stream.
        """
        self._held.add(record.request.id)
        task = self._tasks.get(record.request.id)
        if task is not None:
            task.cancel()
            await asyncio.wait([task])

    def handed(self, record: StreamRecord, successor: str) -> None:
        """End a held request here since a peer has taken it."""
        self._held.discard(record.request.id)
        record.hand_over(successor)
        self.streams.ended(record, self._clock.monotonic())

    def go_on(self, record: StreamRecord) -> None:
        """Go on with a held request here."""
        self._held.discard(record.request.id)
        self.adopt(record)

    def follow(self, view: ServerView) -> None:
        """Follow a server from now on."""
        self.book.follow(view)

    def handle(self, message: ServerMessage) -> None:
        """Take a message about a server; what it changes is in force when this returns."""
        if isinstance(message, ServerReported):
            self._reported(message)
        elif isinstance(message, ServerLeaving):
            self._leaving(message)
        else:
            self._gone(message)
        self._pump()

    async def run(self) -> None:
        """Refuse waiting requests whose deadline has passed, and drop old answers."""
        while True:
            await self._clock.sleep(TICK_S)
            for waiter in self._queue.expired(self._clock.wall()):
                self._resolve(waiter, problems.deadline_passed("it passed while waiting", Ran.NO))
            self._pump()
            self.streams.sweep(self._clock.monotonic())

    # Waiting for a server

    def _cannot_make_it(self, request: GenerationRequest) -> Problem | None:
        """Refuse what would wait longer than its deadline allows."""
        need = self._need(request, [])
        ready = eligible(self.book.views.values(), need)
        if not ready:
            return problems.unavailable(f"no server holds model {request.model!r} now", 5)
        slots = sum(view.speeds.slots for view in ready)
        free = sum(max(0, view.speeds.slots - view.running) for view in ready)
        ahead = self._queue.ahead_of(request.priority, self._clock.wall())
        wait = estimated_wait_s(ahead, free, slots, self._service_s)
        if self._clock.wall() + wait <= request.deadline_at:
            return None
        detail = f"would wait {wait:.1f} s, past its deadline"
        return problems.overloaded(detail, max(1, round(wait)))

    async def _slot(self, record: StreamRecord, excluded: frozenset[str]) -> Reservation | Problem:
        """Pick and reserve a server, or wait for one until the deadline."""
        need = self._need(record.request, record.tokens, excluded)
        now = self._clock.wall()
        if not len(self._queue):
            made = self._reserve(need)
            if made is not None:
                return made
        slot = asyncio.get_running_loop().create_future()
        waiter = _Waiter(record, need, slot, self._clock.monotonic())
        offered = self._queue.offer(
            waiter, record.request.priority, now, record.request.deadline_at
        )
        if not offered.accepted:
            return problems.overloaded("the queue is full", 1)
        if offered.pushed_out is not None:
            refusal = problems.overloaded("more urgent work took its place", 2)
            self._resolve(offered.pushed_out, refusal)
        self._pump()
        try:
            return await waiter.slot
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise

    def _pump(self) -> None:
        """Give free slots to waiting requests, in order of rank."""
        if not len(self._queue):
            return
        # What finds no slot for its model and priority finds none for the next one like it,
        # unless that has a server of its own that it waits for.
        full: set[tuple[str, Priority]] = set()
        now = self._clock.monotonic()
        for waiter in self._queue.in_order()[:MOST_TRIED]:
            need = waiter.need
            kind = (need.model, need.priority)
            has_home = self.book.server_of(need.session) is not None
            if kind in full and not has_home:
                continue
            if now - waiter.since >= HOME_WAIT_S:
                need = replace(need, patient=False)
            made = self._reserve(need)
            if made is not None:
                self._resolve(waiter, made)
            elif not need.excluded and not has_home:
                full.add(kind)

    def _reserve(self, need: Need) -> Reservation | None:
        found = self.book.pick_and_reserve(need, self._params(), self._clock.monotonic())
        return found[1] if found is not None else None

    def _resolve(self, waiter: _Waiter, outcome: Reservation | Problem) -> None:
        self._queue.remove(waiter)
        if not waiter.slot.done():
            waiter.slot.set_result(outcome)
        elif isinstance(outcome, Reservation):
            self.book.release(outcome, self._clock.monotonic())

    def _give_back(self, waiter: _Waiter) -> None:
        self._queue.remove(waiter)
        if waiter.slot.done() and not waiter.slot.cancelled():
            outcome = waiter.slot.result()
            if isinstance(outcome, Reservation):
                self.book.release(outcome, self._clock.monotonic())

    # Running

    async def _serve(self, record: StreamRecord) -> None:
        """Carry a request through as many attempts as it takes."""
        try:
            await self._serve_attempts(record)
        except asyncio.CancelledError:
            if not record.ended and record.request.id not in self._held:
                record.fail(problems.failed("the node stopped"))
        except Exception as error:
            emit(Event.TASK_FAILED, task=f"request/{record.request.id}", error=repr(error))
            record.fail(problems.failed(f"internal error: {error!r}"))
        finally:
            self._tasks.pop(record.request.id, None)
            self._moves.pop(record.request.id, None)
            if record.ended:
                self._held.discard(record.request.id)
                self.streams.ended(record, self._clock.monotonic())
                self._account_for(record)
            self._pump()

    async def _serve_attempts(self, record: StreamRecord) -> None:
        excluded: frozenset[str] = frozenset()
        while not record.ended:
            made = self._moves.pop(record.request.id, None)
            record.wait_for_server()
            if made is None:
                slot = await self._slot(record, excluded)
                if isinstance(slot, Problem):
                    record.fail(_after_dispatch(slot, record))
                    return
                made = slot
            detail = await self._attempt(record, made)
            if detail is None:
                continue
            excluded = excluded | {made.server}
            emit(
                Event.ATTEMPT_FAILED,
                request=record.request.id,
                server=made.server,
                detail=detail,
            )
            if not record.request.repeatable:
                record.fail(problems.outcome_unknown(f"server failed: {detail}"))
            elif not self._budget.spend():
                record.fail(problems.failed(f"server failed, retry budget used up: {detail}"))
            else:
                if not eligible(self.book.views.values(), self._need(record.request, [], excluded)):
                    excluded = frozenset()
                await self._clock.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _attempt(self, record: StreamRecord, made: Reservation) -> str | None:
        """Make one attempt; return what broke it, or None if it ended or was moved."""
        if made.server not in self.book.views:
            self.book.release(made, self._clock.monotonic())
            return "server is gone"
        attempt = record.begin_attempt(made.server)
        task = asyncio.create_task(self._stream(record, attempt, made))
        self._attempts[record.request.id] = task
        try:
            return await task
        except asyncio.CancelledError:
            if record.request.id in self._moves and not record.ended:
                return None
            task.cancel()
            raise
        finally:
            self._attempts.pop(record.request.id, None)
            self.book.release(made, self._clock.monotonic())
            self._pump()

    async def _stream(self, record: StreamRecord, attempt: str, made: Reservation) -> str | None:
        request = record.request
        view = self.book.views[made.server]
        address = view.address
        call = GenerateCall(
            attempt,
            request.model,
            request.prompt,
            request.max_tokens,
            request.priority.value,
            request.session,
            list(record.tokens),
        )
        finished = False
        try:
            async with aclosing(self._servers.generate(address, call)) as events:
                async for event in events:
                    if isinstance(event, Token):
                        if record.first_token_at is None or made.prefill_tokens:
                            made = self.book.first_token(made)
                        if not record.add(attempt, event.i, event.t, self._clock.monotonic()):
                            return f"token {event.i} out of order"
                    elif isinstance(event, Done):
                        finished = True
                        self._finish(record, attempt, event)
                        return None
                    elif isinstance(event, Refused):
                        finished = True
                        return f"refused: {event.detail}"
            return "the answer ended early"
        except ServerError as error:
            return str(error)
        finally:
            if not finished:
                self._cancel_later(address, attempt)

    def _finish(self, record: StreamRecord, attempt: str, done: Done) -> None:
        record.cached_tokens += done.cached_tokens
        record.computed_tokens += done.computed_tokens
        server = record.server
        record.finish(attempt, done.reason)
        self.handle(ServerReported(done.load, 0.0))
        if server is not None:
            length = count_tokens(record.request.prompt) + len(record.tokens)
            self.book.cached(record.request.session, server, length)

    def _cancel_later(self, address: str, attempt: str) -> None:
        """Tell a server to stop an attempt that nobody follows any more."""
        asyncio.create_task(self._servers.cancel(address, attempt))

    # Servers that come and go

    def _reported(self, message: ServerReported) -> None:
        view = self.book.views.get(message.report.server)
        if view is None:
            return
        now = self._clock.monotonic()
        if self.book.report(message.report, now - message.made_ago_s, now):
            view.note_answer()  # type: ignore[attr-defined]
        # Reports that ride along with answers keep the watch from polling a busy server, so
        # they must tell of its leaving too.
        if message.report.leaving:
            left = message.report.seconds_left
            self._leaving(ServerLeaving(message.report.server, left, "server"))

    def _leaving(self, message: ServerLeaving) -> None:
        view = self.book.views.get(message.server)
        if view is None or view.standing is Standing.LEAVING:
            return
        view.note_leaving()  # type: ignore[attr-defined]
        emit(Event.SERVER_LEAVING, server=message.server, source=message.source)
        notice = DEFAULT_NOTICE_S if message.seconds_left is None else message.seconds_left
        records = {r.request.id: r for r in self.streams.live() if r.server == view.id}
        for held, course in self._plan_leaving(view, records, notice):
            if held.idle and course is reclaim.Course.MOVE:
                asyncio.create_task(self._move_cache(held.id, held.context_tokens, view))
            elif not held.idle and course is not reclaim.Course.FINISH:
                asyncio.create_task(self._move(records[held.id], view, course))

    def _gone(self, message: ServerGone) -> None:
        view = self.book.views.get(message.server)
        if view is None:
            return
        if message.detail == "does not answer":
            view.note_silent()  # type: ignore[attr-defined]
            return
        self.book.unfollow(message.server)

    def _plan_leaving(
        self, view: ServerView, records: dict[str, StreamRecord], notice_s: float
    ) -> list[tuple[reclaim.Held, reclaim.Course]]:
        bundle = self._bundle()
        if bundle is None:
            return []
        held = [self._held_stream(bundle, view, record) for record in records.values()]
        busy = {record.request.session for record in records.values()}
        held += [
            self._held_cache(bundle, session, tokens)
            for session, tokens in view.cached.items()
            if session not in busy
        ]
        situation = reclaim.ReclaimView(
            notice_s,
            LINK_BYTES_PER_S * max(1, len(records)) / max(1, view.running, len(records)),
            view.speeds.prefill_tokens_per_s,
        )
        courses = reclaim.plan(held, situation)
        return [(one, courses[one.id]) for one in held]

    def _held_stream(self, bundle: Bundle, view: ServerView, record: StreamRecord) -> reclaim.Held:
        request = record.request
        context = count_tokens(request.prompt) + len(record.tokens)
        return reclaim.Held(
            request.id,
            context,
            context * _kv_bytes_per_token(bundle, request.model),
            (request.max_tokens - len(record.tokens)) * self._token_s(view),
            request.priority is Priority.IMMEDIATE,
        )

    def _held_cache(self, bundle: Bundle, session: str, tokens: int) -> reclaim.Held:
        each = max(model.kv_bytes_per_token for model in bundle.models)
        return reclaim.Held(session, tokens, tokens * each, 0.0, immediate=False, idle=True)

    async def _move(self, record: StreamRecord, source: ServerView, course: reclaim.Course) -> None:
        """Take a stream off a leaving server; a failed transfer falls back to prefill."""
        request_id = record.request.id
        task = self._attempts.get(request_id)
        attempt = record.attempt
        if task is None or record.ended:
            return
        target: Reservation | None = None
        if course is reclaim.Course.MOVE:
            target = await self._transfer(record, source, attempt)
        if record.ended or record.attempt != attempt or task.done():
            if target is not None:
                self.book.release(target, self._clock.monotonic())
            return
        self._moves[request_id] = target
        task.cancel()
        moved_to = target.server if target is not None else "any"
        emit(Event.STREAM_MOVED, request=request_id, source=source.id, target=moved_to)

    async def _transfer(
        self, record: StreamRecord, source: ServerView, attempt: str
    ) -> Reservation | None:
        """Copy the stream's KV cache to a server reserved for it."""
        need = self._need(record.request, record.tokens, frozenset({source.id}))
        target = self._reserve(need)
        if target is None:
            return None
        address = self.book.views[target.server].address
        if await self._copy_cache(record.request.session or attempt, source.address, address):
            return target
        self.book.release(target, self._clock.monotonic())
        return None

    async def _move_cache(self, session: str, tokens: int, source: ServerView) -> None:
        """Copy an idle session's KV cache to where its next turn should go."""
        models = sorted(source.models)
        need = Need(models[0] if models else "", tokens, 0, session, self._hall)
        chosen = pick(list(self.book.views.values()), need, self._params())
        if chosen is None:
            return
        address = self.book.views[chosen.server].address
        if not await self._copy_cache(session, source.address, address):
            return
        # A turn that came meanwhile knows better where the session is.
        if self.book.server_of(session) in (None, source.id):
            self.book.cached(session, chosen.server, tokens)

    async def _copy_cache(self, session: str, source: str, target: str) -> bool:
        exported = await self._servers.export_kv(source, session)
        if isinstance(exported, Err):
            return False
        return isinstance(await self._servers.import_kv(target, exported.ok_value), Ok)

    # Small things

    def _need(
        self,
        request: GenerationRequest,
        tokens: list[str],
        excluded: frozenset[str] = frozenset(),
    ) -> Need:
        length = count_tokens(request.prompt) + len(tokens)
        return Need(
            request.model,
            length,
            request.max_tokens - len(tokens),
            request.session,
            self._hall,
            request.priority,
            excluded,
        )

    def _params(self) -> RoutingParams:
        bundle = self._bundle()
        if bundle is None:
            return RoutingParams()
        return RoutingParams(set_aside=bundle.routing.set_aside)

    def _token_s(self, view: ServerView) -> float:
        return view.speeds.slots / view.speeds.decode_tokens_per_s

    def _account_for(self, record: StreamRecord) -> None:
        """Count a request that ended here towards burn, metrics and the expected time."""
        if record.state == "handed":
            return
        request = record.request
        if record.state == "failed":
            if record.problem is not None and record.problem.kind != "cancelled":
                emit(Event.REQUEST_FAILED, request=request.id, kind=record.problem.kind)
                self._note_ended(request, good=False)
            return
        first_s = 0.0
        if record.first_token_at is not None and not record.taken_over:
            first_s = record.first_token_at - record.accepted_at
        self._service_s += 0.1 * (self._clock.monotonic() - record.accepted_at - self._service_s)
        self._burn.note_first_token(request.priority, first_s)
        self._metrics.timing(f"first_token.{request.priority.value}", first_s * 1000)
        self._note_ended(request, good=self._in_target(record, first_s))

    def _in_target(self, record: StreamRecord, first_s: float) -> bool:
        bundle = self._bundle()
        if bundle is None:
            return True
        target = bundle.target(record.request.priority)
        return (
            first_s * 1000 <= target.first_token_ms
            and record.between_tokens_s() * 1000 <= target.between_tokens_ms
            and self._clock.wall() <= record.request.deadline_at
        )

    def _note_ended(self, request: GenerationRequest, good: bool) -> None:
        self._burn.note(request.account, request.priority, good, self._clock.wall())
        self._metrics.incr(f"requests.{'good' if good else 'bad'}")


def count_tokens(text: str) -> int:
    """Estimate the tokens of a prompt: words, as the engines count them in the stand-in."""
    return max(1, len(text.split()))


def _kv_bytes_per_token(bundle: Bundle, name: str) -> int:
    model = bundle.model(name)
    return model.kv_bytes_per_token if model is not None else 0


def _after_dispatch(problem: Problem, record: StreamRecord) -> Problem:
    """A refusal after an attempt was sent can't promise that nothing ran."""
    if not record.dispatched:
        return problem
    return Problem(
        problem.kind,
        problem.status,
        problem.title,
        problem.detail,
        Ran.UNKNOWN,
        problem.retry_after,
    )
