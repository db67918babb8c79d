"""Where a stream continues after an attempt: at its backup, or at another server after a move."""

from collections.abc import Callable

from moledale.gateway.evacuation import Evacuation
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.server_view import Placement
from moledale.gateway.sharing import Sharing
from moledale.scheduling.backup_runs import Backups
from moledale.scheduling.stream_runs import BrokenRun, Continuation


class ContinuationFinder:
    """Finds the continuations of stopped and broken-off runs, and counts what becomes of them."""

    def __init__(
        self,
        plan: PlanLookup,
        evacuation: Evacuation,
        backups: Backups,
        guard: RequestGuard,
        sharing: Sharing,
        now: Callable[[], float],
    ) -> None:
        self._plan = plan
        self._evacuation = evacuation
        self._backups = backups
        self._guard = guard
        self._sharing = sharing
        self._now = now

    async def find(
        self, job: Job, attempt: Attempt, refused: Continuation | None
    ) -> Continuation | None:
        """Return where a stream that was stopped continues after an attempt, None if nowhere.

        If the server did not take a stopped run, the cache at its source is still unused.
        """
        if attempt.broken_run is not None:
            return await self._at_backup(job, attempt.broken_run)
        if attempt.continuation is not None or refused is None or refused.cut_at is not None:
            return attempt.continuation
        if attempt.outcome not in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
            return None
        engine = self._plan.engine(job.service)
        if engine is None:
            return None
        return await self._evacuation.continue_elsewhere(refused, job.facts, engine, job.tried)

    def record_backup_used(
        self, job: Job, attempt: Attempt, cut_at: float, placement: Placement
    ) -> None:
        """Count the result of a continuation from a backup, unless it was moved since."""
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._backups.record_continued(job.facts, placement, cut_at)
        elif attempt.outcome is not AttemptOutcome.MOVED:
            self._backups.record_failed(job.facts, placement.view.server.id, attempt.why)

    def release_unused(self, continuation: Continuation) -> None:
        """Stop counting a continuation that is not used; a backup can't be released."""
        if continuation.cut_at is None:
            self._evacuation.release_unused(continuation)
        else:
            continuation.placement.end()

    async def _at_backup(self, job: Job, broken: BrokenRun) -> Continuation | None:
        """Return the continuation of a run whose server has ended, None if it may not go on.

        The send is counted in the retry budget at once, so that the other runs of the server find
        the budget as it will be.
        """
        placement = broken.placement
        why = ""
        continuation = None
        if not await self._guard.await_server_end(placement, broken.cut_at):
            why = "the server has not ended"
        elif job.splitter.event_count and not job.splitter.last_id:
            why = "the events have no ids"
        elif not self._guard.may_retry(job):
            why = "the request is blocked"
        elif not self._sharing.may_retry(job.service, self._now()):
            why = "the retry budget is used up"
        else:
            continuation = self._backups.continuation(broken, job.facts)
            why = "the backup takes no work"
        if continuation is None:
            self._backups.record_failed(job.facts, broken.copy.backup.target, why)
            return None
        self._sharing.record_retry(job.service, self._now())
        job.retry_counted = True
        return continuation
