"""One attempt of a request: connecting to a server, sending, and reading the response."""

from collections.abc import Callable
from functools import partial

from moledale.gateway.admission import BLOCKED_REASON
from moledale.gateway.answers import AnswerReader
from moledale.gateway.attempt_log import log_unanswered
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.cut_attempts import CutAttempts
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.job_sender import JobSender
from moledale.gateway.permits import PermitClient
from moledale.gateway.plan import Kind
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.refusals import NO_CONNECTION
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.server_view import Placement, ServerView, record_silence
from moledale.gateway.stream_backups import StreamBackups
from moledale.gateway.upstream import AnswerCut, ConnectFailed, NoResources, UpstreamConnection
from moledale.log import Event, emit
from moledale.scheduling.stream_runs import Continuation, StreamRun

CLOSED_MEANWHILE = "the server leaves or asked for a later retry"
LIMITED_MEANWHILE = "the server named a limit"
"""Reasons why a request is not sent to a server that changed while the connection was made."""


class AttemptRunner:
    """Runs attempts; `evacuation` and `backups` hear of each stream that runs."""

    def __init__(
        self,
        balancer: LoadBalancer,
        pool: ConnectionPool,
        permits: PermitClient,
        plan: PlanLookup,
        guard: RequestGuard,
        evacuation: Evacuation,
        backups: StreamBackups,
        sender: JobSender,
        answers: AnswerReader,
        cut_attempts: CutAttempts,
        now: Callable[[], float],
    ) -> None:
        self._balancer = balancer
        self._pool = pool
        self._permits = permits
        self._plan = plan
        self._guard = guard
        self._evacuation = evacuation
        self._backups = backups
        self._sender = sender
        self._answers = answers
        self._cut_attempts = cut_attempts
        self._now = now

    async def run(
        self, job: Job, placement: Placement, continuation: Continuation | None
    ) -> Attempt:
        """Send the request to one server and relay its response.

        A stream that was moved there continues from `continuation`.
        """
        run = self._new_run(job, placement, continuation)
        attempt: Attempt | None = None
        try:
            attempt = await self._connect_and_send(job, run, continuation)
            return attempt
        finally:
            self._evacuation.forget(run)
            if run.backup is not None:
                self._backups.release(run.backup, attempt)

    def _new_run(
        self, job: Job, placement: Placement, continuation: Continuation | None
    ) -> StreamRun:
        engine = self._plan.engine(job.service)
        event_tokens = engine.event_tokens if engine is not None else 1
        run = StreamRun(
            job.facts,
            job.service,
            placement,
            event_tokens,
            events=job.splitter.event_count,
            gap_s=job.route.gap_s,
            resumable=job.route.repeatable,
            deadline_at=job.deadline_at,
        )
        priority = self._plan.priority(job)
        if priority is not None:
            run.priority = priority
        run.from_backup = continuation is not None and continuation.cut_at is not None
        return run

    async def _connect_and_send(
        self, job: Job, run: StreamRun, continuation: Continuation | None
    ) -> Attempt:
        """Run an attempt on a connection of its own; end its placement in any case."""
        placement = run.placement
        server = placement.view.server
        job.tried |= {server.id}
        connection: UpstreamConnection | None = None
        try:
            connection = await self._connect(job, placement.view)
            if connection is None:
                return Attempt(AttemptOutcome.NOT_SENT, why=NO_CONNECTION)
            if why := await self._why_not_sent(job, run, continuation):
                self._pool.release_unused(server.id, connection)
                connection = None
                return Attempt(AttemptOutcome.NOT_SENT, why=why)
            attempt = await self._send_and_read(job, run, connection, continuation)
            self._pool.release(server.id, connection)
            connection = None
            return attempt
        finally:
            if connection is not None:
                connection.abort()
            self._record_unanswered(job, placement)
            placement.end()

    async def _connect(self, job: Job, view: ServerView) -> UpstreamConnection | None:
        """Return a connection to a server, None if it accepts none."""
        server = view.server
        try:
            return await self._pool.acquire(server.id, server.address)
        except ConnectFailed as error:
            if not isinstance(error, NoResources):
                record_silence(view, self._now())
            emit(Event.CONNECT_FAILED, request=job.facts.id, server=server.id, why=str(error))
            return None

    async def _why_not_sent(
        self, job: Job, run: StreamRun, continuation: Continuation | None
    ) -> str:
        """Return why a request is not sent after all, "" if it is; choose its backup."""
        placement = run.placement
        if continuation is None:
            if not placement.view.is_open(self._now()):
                return CLOSED_MEANWHILE
            if not await self._still_permitted(placement):
                return LIMITED_MEANWHILE
            run.backup = self._backups.choose(job, placement)
        return "" if self._guard.take_send(job) else BLOCKED_REASON

    async def _send_and_read(
        self,
        job: Job,
        run: StreamRun,
        connection: UpstreamConnection,
        continuation: Continuation | None,
    ) -> Attempt:
        self._sender.send(job, connection, run, continuation)
        if job.route.kind is Kind.STREAM:
            run.resend = partial(self._cut_attempts.cut_off_queued, job, run, connection)
            self._evacuation.track(run)
        try:
            attempt = await self._answers.read(job, connection, run)
        except AnswerCut as error:
            attempt = await self._cut_attempts.after_cut(job, run, error)
        attempt.framing = connection.framing
        if attempt.outcome is not AttemptOutcome.ANSWERED:
            log_unanswered(job, run.placement, attempt, self._now())
        return attempt

    async def _still_permitted(self, placement: Placement) -> bool:
        """Return whether a server may still get a request that was placed on it.

        Many requests may be waiting for a connection at the moment when the server states a limit.
        """
        if placement.permitted or placement.view.limit_per_s is None:
            return True
        return await self._permits.take(placement.view)

    def _record_unanswered(self, job: Job, placement: Placement) -> None:
        """Count a failure of the server's version if the target passed without an outcome.

        An outcome that was recorded already is not counted again.
        """
        waited_s = self._now() - placement.sent_at
        if job.was_sent and waited_s >= job.route.target_s:
            self._balancer.record_outcome(placement, True, waited_s, self._now())
