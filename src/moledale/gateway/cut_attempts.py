"""Attempts whose response breaks off: by the server, for a move, or cut off by this node."""

import asyncio
from collections.abc import Callable

from moledale.gateway.answers import CRASH_CUTS, AnswerReader
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.sharing import Sharing
from moledale.gateway.upstream import AnswerCut, UpstreamConnection
from moledale.scheduling.stream_runs import BrokenRun, StreamRun


class CutAttempts:
    """Cuts off queued requests of leaving servers, and tells how cut-off attempts go on."""

    def __init__(
        self,
        answers: AnswerReader,
        guard: RequestGuard,
        sharing: Sharing,
        now: Callable[[], float],
    ) -> None:
        self._answers = answers
        self._guard = guard
        self._sharing = sharing
        self._now = now

    def cut_off_queued(self, job: Job, run: StreamRun, connection: UpstreamConnection) -> bool:
        """End an attempt without an event, to send the request elsewhere, if it may be."""
        if job.splitter.event_count or not job.route.repeatable:
            return False
        if job.sends >= job.route.max_servers or not self._guard.may_retry(job):
            return False
        if not self._answers.may_try_elsewhere(job):
            return False
        # Counted before the send, so that the next queued request finds the budget as it will be.
        self._sharing.record_retry(job.service, self._now())
        job.retry_counted = True
        run.sent_elsewhere = True
        connection.abort()
        return True

    async def after_cut(self, job: Job, run: StreamRun, error: AnswerCut) -> Attempt:
        """Return the attempt of a stream that was cut off, maybe by this node itself."""
        if run.sent_elsewhere:
            job.may_have_run = True
            job.splitter.discard_partial()
            return Attempt(AttemptOutcome.BROKEN, why="queued at a server that leaves")
        cut_at = self._now()
        moved = await self._await_move(job, run)
        if moved is not None:
            return moved
        attempt = self._answers.handle_cut(job, run.placement, error.cut)
        if run.backup is not None and error.cut in CRASH_CUTS:
            attempt.broken_run = BrokenRun(run.backup, run.placement, cut_at)
        return attempt

    async def _await_move(self, job: Job, run: StreamRun) -> Attempt | None:
        """Return the attempt that continues a stream which was stopped to be moved, or None."""
        if not run.stopping:
            return None
        continuation = await run.continuation
        if continuation is None:
            return None
        run.continuation = asyncio.get_running_loop().create_future()
        job.splitter.discard_partial()
        job.may_have_run = True
        return Attempt(AttemptOutcome.MOVED, why="moved", continuation=continuation)
