"""Runs generations: queues them, picks servers, and carries answers over failures."""

import asyncio
import math
import random
from collections.abc import Callable
from contextlib import aclosing

from result import Err, Ok, Result

from moledale import problems
from moledale.bundle.schema import Bundle
from moledale.clock import Clock
from moledale.core.limits import RetryBudget
from moledale.core.routing import LoadTracker, Reservation, ServerView, Standing, eligible
from moledale.log import Event, emit
from moledale.node.background import BackgroundTasks
from moledale.node.generation_guard import GenerationGuard
from moledale.node.leaving import Evacuator
from moledale.node.messages import ServerGone, ServerLeaving, ServerMessage, ServerReported
from moledale.node.needs import context_tokens, routing_need
from moledale.node.streams import GenerationRequest, StreamRecord, StreamTable
from moledale.node.tally import Tally
from moledale.node.waiting import ReservationQueue
from moledale.problems import Problem, Ran
from moledale.servers.types import Done, GenerateCall, ModelServers, Refused, ServerError, Token

BLOCKED_DETAIL = "servers ended under this request"
"""What callers are told of a generation that is blocked."""

RETRY_PAUSE_S = 0.05
DEFAULT_NOTICE_S = 30.0
POLL_INTERVAL_S = 0.1


class Dispatcher:
    """Owns the load book, the queue and the live streams of a node."""

    def __init__(
        self,
        hall: str,
        servers: ModelServers,
        streams: StreamTable,
        load_tracker: LoadTracker,
        tally: Tally,
        bundle: Callable[[], Bundle | None],
        max_waiting: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.load_tracker = load_tracker
        self.streams = streams
        self._hall = hall
        self._servers = servers
        self._tally = tally
        self._clock = clock
        self._rng = rng
        self._waiting = ReservationQueue(hall, load_tracker, bundle, max_waiting, clock)
        self._leaving_servers = Evacuator(
            hall, servers, load_tracker, self._waiting, bundle, self._redirect, clock
        )
        self._guard = GenerationGuard(servers, clock)
        self._retry_budget = RetryBudget()
        self._background = BackgroundTasks("dispatcher")
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._attempts: dict[str, asyncio.Task[str | None]] = {}
        self._redirects: dict[str, Reservation | None] = {}
        self._suspended: set[str] = set()

    @property
    def open_requests(self) -> int:
        """Return the number of requests that run or wait here."""
        return len(self._tasks)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a server."""
        return len(self._waiting)

    def submit(self, request: GenerationRequest) -> Result[StreamRecord, Problem]:
        """Accept a generation, or refuse it at once; refused means that it did not run."""
        if self.streams.full:
            return Err(problems.overloaded("this node holds as many streams as it may", 1))
        blocked_s = self._guard.blocked_for_s(request)
        if blocked_s > 0:
            self._tally.record_refused(request)
            return Err(problems.unavailable(BLOCKED_DETAIL, math.ceil(blocked_s)))
        refusal = self._waiting.refusal(request)
        if refusal is not None:
            self._tally.record_refused(request)
            return Err(refusal)
        return Ok(self.adopt(StreamRecord(request)))

    def adopt(self, record: StreamRecord) -> StreamRecord:
        """Run a record, which may have tokens already."""
        if not record.accepted_at:
            record.accepted_at = self._clock.monotonic()
        self.streams.add(record)
        self._retry_budget.record_request()
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

    async def suspend(self, record: StreamRecord) -> None:
        """Stop work on a request without ending it, so that its tokens stand still.

        A caller must never have more tokens than the peer that goes on with the stream.
        """
        self._suspended.add(record.request.id)
        task = self._tasks.get(record.request.id)
        if task is not None:
            task.cancel()
            await asyncio.wait([task])

    def finish_handover(self, record: StreamRecord, successor: str) -> None:
        """End a held request here since a peer has taken it."""
        self._suspended.discard(record.request.id)
        record.hand_over(successor)
        self.streams.move_to_finished(record, self._clock.monotonic())

    def resume(self, record: StreamRecord) -> None:
        """Go on with a held request here."""
        self._suspended.discard(record.request.id)
        self.adopt(record)

    def follow(self, view: ServerView) -> None:
        """Follow a server from now on."""
        self.load_tracker.follow(view)

    def handle(self, message: ServerMessage) -> None:
        """Take a message about a server; what it changes is in force when this returns."""
        if isinstance(message, ServerReported):
            self._on_report(message)
        elif isinstance(message, ServerLeaving):
            self._on_leaving(message)
        else:
            self._on_gone(message)
        self._waiting.assign_slots()

    async def run(self) -> None:
        """Refuse waiting requests whose deadline has passed, and drop old answers."""
        while True:
            await self._clock.sleep(POLL_INTERVAL_S)
            self._guard.update_blocks()
            self.load_tracker.end_backoffs(self._clock.monotonic())
            self._waiting.refuse_expired()
            self._waiting.assign_slots()
            self.streams.sweep(self._clock.monotonic())

    # Running

    async def _serve(self, record: StreamRecord) -> None:
        """Carry a request through as many attempts as it takes."""
        try:
            await self._serve_attempts(record)
        except asyncio.CancelledError:
            if not record.ended and record.request.id not in self._suspended:
                record.fail(problems.failed("the node stopped"))
        except Exception as error:
            emit(Event.TASK_FAILED, task=f"request/{record.request.id}", error=repr(error))
            record.fail(problems.failed(f"internal error: {error!r}"))
        finally:
            self._tasks.pop(record.request.id, None)
            self._redirects.pop(record.request.id, None)
            if record.ended:
                self._suspended.discard(record.request.id)
                self.streams.move_to_finished(record, self._clock.monotonic())
                self._record_outcome(record)
            self._waiting.assign_slots()

    async def _serve_attempts(self, record: StreamRecord) -> None:
        excluded: frozenset[str] = frozenset()
        while not record.ended:
            # Work that waits comes back on its own, whatever it did to servers before.
            if self._guard.blocked_for_s(record.request) > 0:
                record.fail(problems.failed(BLOCKED_DETAIL))
                return
            made = self._redirects.pop(record.request.id, None)
            record.wait_for_server()
            if made is None:
                slot = await self._waiting.wait_for_slot(record, excluded)
                if isinstance(slot, Problem):
                    record.fail(_with_unknown_outcome(slot, record))
                    return
                made = slot
            detail = await self._run_attempt(record, made)
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
            elif not self._retry_budget.try_spend():
                record.fail(problems.failed(f"server failed, retry budget used up: {detail}"))
            else:
                if len(excluded) > 1:
                    # One that broke off twice may be what ends servers: that is known first.
                    await self._guard.wait_checked(made.server)
                if not self._has_eligible_server(record, excluded):
                    excluded = frozenset()
                await self._clock.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))

    def _has_eligible_server(self, record: StreamRecord, excluded: frozenset[str]) -> bool:
        need = routing_need(record.request, [], self._hall, excluded)
        return bool(eligible(self.load_tracker.views.values(), need))

    async def _run_attempt(self, record: StreamRecord, made: Reservation) -> str | None:
        """Make one attempt; return what broke it, or None if it ended or was moved."""
        if made.server not in self.load_tracker.views:
            self.load_tracker.release(made, self._clock.monotonic())
            return "server is gone"
        attempt = record.begin_attempt(made.server)
        task = asyncio.create_task(self._stream_attempt(record, attempt, made))
        self._attempts[record.request.id] = task
        try:
            return await task
        except asyncio.CancelledError:
            if record.request.id in self._redirects and not record.ended:
                return None
            task.cancel()
            raise
        finally:
            self._attempts.pop(record.request.id, None)
            self.load_tracker.release(made, self._clock.monotonic())
            self._waiting.assign_slots()

    async def _stream_attempt(
        self, record: StreamRecord, attempt: str, made: Reservation
    ) -> str | None:
        request = record.request
        view = self.load_tracker.views[made.server]
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
                            made = self.load_tracker.record_first_token(made)
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
            if error.retry_after_s is not None:
                # It counts for all attempts of this node, not for this one alone.
                retry_at = self._clock.monotonic() + error.retry_after_s
                self.load_tracker.back_off(made.server, retry_at)
                emit(Event.SERVER_BACKOFF, server=made.server, retry_after_s=error.retry_after_s)
            if error.may_have_run:
                self._guard.record_broken(request, made.server, address)
            return str(error)
        finally:
            if not finished:
                self._cancel_attempt(address, attempt)

    def _finish(self, record: StreamRecord, attempt: str, done: Done) -> None:
        record.cached_tokens += done.cached_tokens
        record.computed_tokens += done.computed_tokens
        server = record.server
        self._guard.record_served(record.request)
        record.finish(attempt, done.reason)
        self.handle(ServerReported(done.load, 0.0))
        if server is not None:
            self.load_tracker.record_cache(record.request.session, server, context_tokens(record))

    def _cancel_attempt(self, address: str, attempt: str) -> None:
        """Tell a server to stop an attempt that nobody follows any more."""
        self._background.start(self._servers.cancel(address, attempt))

    # Servers that come and go

    def _on_report(self, message: ServerReported) -> None:
        view = self.load_tracker.views.get(message.report.server)
        if view is None:
            return
        now = self._clock.monotonic()
        if self.load_tracker.apply_report(message.report, now - message.max_age_s, now):
            view.note_answer()  # type: ignore[attr-defined]
        # Reports that ride along with answers keep the watch from polling a busy server, so
        # they must tell of its leaving too.
        if message.report.leaving:
            left = message.report.seconds_left
            self._on_leaving(ServerLeaving(message.report.server, left, "server"))

    def _on_leaving(self, message: ServerLeaving) -> None:
        view = self.load_tracker.views.get(message.server)
        if view is None or view.standing is Standing.LEAVING:
            return
        view.note_leaving()  # type: ignore[attr-defined]
        emit(Event.SERVER_LEAVING, server=message.server, source=message.source)
        notice = DEFAULT_NOTICE_S if message.seconds_left is None else message.seconds_left
        records = [record for record in self.streams.live() if record.server == view.id]
        self._leaving_servers.evacuate(view, records, notice)

    def _on_gone(self, message: ServerGone) -> None:
        view = self.load_tracker.views.get(message.server)
        if view is None:
            return
        if message.detail == "does not answer":
            view.note_silent()  # type: ignore[attr-defined]
            return
        self.load_tracker.unfollow(message.server)

    def _redirect(
        self, record: StreamRecord, attempt: str, source: str, target: Reservation | None
    ) -> bool:
        """End an attempt so that the stream goes on at `target`, or wherever there is room."""
        task = self._attempts.get(record.request.id)
        if record.ended or record.attempt != attempt or task is None or task.done():
            return False
        self._redirects[record.request.id] = target
        task.cancel()
        moved_to = target.server if target is not None else "any"
        emit(Event.STREAM_MOVED, request=record.request.id, source=source, target=moved_to)
        return True

    def _record_outcome(self, record: StreamRecord) -> None:
        if record.state == "finished":
            self._waiting.record_service_time(self._clock.monotonic() - record.accepted_at)
        self._tally.record_ended(record)


def _with_unknown_outcome(problem: Problem, record: StreamRecord) -> Problem:
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
