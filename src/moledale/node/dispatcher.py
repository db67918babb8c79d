"""Runs generations: queues requests, chooses servers, and resumes answers after failures."""

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
from moledale.faults import describe, record_fault
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
"""Problem detail for generations that are blocked because servers crashed while running them."""

RETRY_PAUSE_S = 0.05
"""Mean pause before a retry; jitter makes it half to one and a half times as long."""

DEFAULT_NOTICE_S = 30.0
"""Assumed time until a leaving server stops, if its notice doesn't state one."""

POLL_INTERVAL_S = 0.1
"""Interval of checks for expired deadlines, backoffs and stored answers."""


class Dispatcher:
    """Runs the generations of a node: owns its load tracker, request queue and live streams."""

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
        self._evacuator = Evacuator(
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
        """Return the number of running and waiting requests on this node."""
        return len(self._tasks)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a server."""
        return len(self._waiting)

    def submit(self, request: GenerationRequest) -> Result[StreamRecord, Problem]:
        """Accept a generation, or reject it at once; a rejected one did not run."""
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
        """Start work on a stream, which may already have tokens."""
        if not record.accepted_at:
            record.accepted_at = self._clock.monotonic()
        self.streams.add(record)
        self._retry_budget.record_request()
        task = asyncio.create_task(self._serve(record), name=f"request/{record.request.id}")
        self._tasks[record.request.id] = task
        return record

    def cancel(self, request_id: str) -> bool:
        """Cancel a request for its caller; return False if it is not open on this node."""
        record = self.streams.get(request_id)
        task = self._tasks.get(request_id)
        if record is None or task is None or record.ended:
            return False
        record.fail(Problem("cancelled", 409, "Cancelled", "by its caller", Ran.UNKNOWN))
        task.cancel()
        return True

    async def suspend(self, record: StreamRecord) -> None:
        """Stop work on a request without ending its stream, so that no more tokens are added.

        During a handover a caller must never have more tokens than the peer that adopts the stream.
        """
        self._suspended.add(record.request.id)
        task = self._tasks.get(record.request.id)
        if task is not None:
            task.cancel()
            await asyncio.wait([task])

    def finish_handover(self, record: StreamRecord, successor: str) -> None:
        """End a suspended request here, after its stream was adopted at the address `successor`."""
        self._suspended.discard(record.request.id)
        record.hand_over(successor)
        self.streams.move_to_finished(record, self._clock.monotonic())

    def resume(self, record: StreamRecord) -> None:
        """Continue a suspended request on this node."""
        self._suspended.discard(record.request.id)
        self.adopt(record)

    def follow(self, view: ServerView) -> None:
        """Track a server, so that requests can be dispatched to it."""
        self.load_tracker.follow(view)

    def handle(self, message: ServerMessage) -> None:
        """Apply a message about a server; its changes are in effect when this returns."""
        if isinstance(message, ServerReported):
            self._on_report(message)
        elif isinstance(message, ServerLeaving):
            self._on_leaving(message)
        else:
            self._on_gone(message)
        self._waiting.assign_slots()

    async def run(self) -> None:
        """Reject expired waiting requests, end backoffs and drop old answers, in a loop."""
        while True:
            await self._clock.sleep(POLL_INTERVAL_S)
            self._guard.update_blocks()
            self.load_tracker.end_backoffs(self._clock.monotonic())
            self._waiting.refuse_expired()
            self._waiting.assign_slots()
            self.streams.sweep(self._clock.monotonic())

    # Running

    async def _serve(self, record: StreamRecord) -> None:
        """Run a request to its end, over as many attempts as it takes."""
        try:
            await self._serve_attempts(record)
        except asyncio.CancelledError:
            if not record.ended and record.request.id not in self._suspended:
                record.fail(problems.failed("the node stopped"))
        except Exception as error:
            record_fault("request", error)
            record.fail(problems.failed(f"internal error: {describe(error)}"))
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
            # `submit` checks the guard, but jobs are retried through `adopt`, which doesn't.
            if self._guard.blocked_for_s(record.request) > 0:
                record.fail(problems.failed(BLOCKED_DETAIL))
                return
            reservation = self._redirects.pop(record.request.id, None)
            record.wait_for_server()
            if reservation is None:
                slot = await self._waiting.wait_for_slot(record, excluded)
                if isinstance(slot, Problem):
                    record.fail(_with_unknown_outcome(slot, record))
                    return
                reservation = slot
            detail = await self._run_attempt(record, reservation)
            if detail is None:
                continue
            excluded = excluded | {reservation.server}
            emit(
                Event.ATTEMPT_FAILED,
                request=record.request.id,
                server=reservation.server,
                detail=detail,
            )
            if not record.request.repeatable:
                record.fail(problems.outcome_unknown(f"server failed: {detail}"))
            elif not self._retry_budget.try_spend():
                record.fail(problems.failed(f"server failed, retry budget used up: {detail}"))
            else:
                if len(excluded) > 1:
                    # After failures on two servers, wait for the check whether this one crashed.
                    await self._guard.wait_checked(reservation.server)
                if not self._has_eligible_server(record, excluded):
                    excluded = frozenset()
                await self._clock.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))

    def _has_eligible_server(self, record: StreamRecord, excluded: frozenset[str]) -> bool:
        need = routing_need(record.request, [], self._hall, excluded)
        return bool(eligible(self.load_tracker.views.values(), need))

    async def _run_attempt(self, record: StreamRecord, reservation: Reservation) -> str | None:
        """Run one attempt; return why it failed, or None if it ended or was redirected."""
        if reservation.server not in self.load_tracker.views:
            self.load_tracker.release(reservation, self._clock.monotonic())
            return "server is gone"
        attempt = record.begin_attempt(reservation.server)
        task = asyncio.create_task(self._stream_attempt(record, attempt, reservation))
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
            self.load_tracker.release(reservation, self._clock.monotonic())
            self._waiting.assign_slots()

    async def _stream_attempt(
        self, record: StreamRecord, attempt: str, reservation: Reservation
    ) -> str | None:
        """Receive an attempt's tokens; return why it failed, or None if it finished."""
        request = record.request
        view = self.load_tracker.views[reservation.server]
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
                        if record.first_token_at is None or reservation.prefill_tokens:
                            reservation = self.load_tracker.record_first_token(reservation)
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
                # The backoff applies to all attempts of this node, not to this one alone.
                retry_at = self._clock.monotonic() + error.retry_after_s
                self.load_tracker.back_off(reservation.server, retry_at)
                emit(
                    Event.SERVER_BACKOFF,
                    server=reservation.server,
                    retry_after_s=error.retry_after_s,
                )
            if error.may_have_run:
                self._guard.record_broken(request, reservation.server, address)
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
        """Cancel an abandoned attempt at its server, in the background."""
        self._background.start(self._servers.cancel(address, attempt))

    # Changes of servers

    def _on_report(self, message: ServerReported) -> None:
        view = self.load_tracker.views.get(message.report.server)
        if view is None:
            return
        now = self._clock.monotonic()
        if self.load_tracker.apply_report(message.report, now - message.max_age_s, now):
            view.note_answer()  # type: ignore[attr-defined]
        # A server whose answers carry reports isn't polled, so their leaving flag counts too.
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
        self._evacuator.evacuate(view, records, notice)

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
        """End an attempt so that the stream resumes at `target`, or at any server if that is None.

        Return False if the attempt is no longer the current one or has ended.
        """
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
    """Return the problem with `ran` unknown if an attempt of the request was dispatched.

    A rejection after a dispatch can't promise that nothing ran.
    """
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
