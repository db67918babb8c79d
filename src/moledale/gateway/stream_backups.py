"""Backups of the streams of callers: chosen before a send, and counted until the run has ended."""

from collections.abc import Callable

from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.plan import Engine, Kind
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.server_view import Placement
from moledale.scheduling.backup_runs import Backups
from moledale.scheduling.backups import BackupCopy
from moledale.scheduling.switches import Feature


class StreamBackups:
    """Applies `backups` to the requests that may get one."""

    def __init__(self, backups: Backups, plan: PlanLookup, now: Callable[[], float]) -> None:
        self._backups = backups
        self._plan = plan
        self._now = now

    def choose(self, job: Job, placement: Placement) -> BackupCopy | None:
        """Choose the backup of a stream that is about to be sent, where backups apply."""
        engine = self._engine(job)
        if engine is None:
            return None
        return self._backups.choose(job.facts, job.route, engine, placement.view)

    def observe(self, job: Job, placement: Placement) -> None:
        """Record the duration of a stream that was completed by its first server."""
        engine = self._engine(job)
        if engine is not None:
            took_s = self._now() - placement.sent_at
            self._backups.observe(job.facts, job.route, engine, took_s)

    def release(self, copy: BackupCopy, attempt: Attempt | None) -> None:
        """Stop counting a backup; only a run that completed or never began leaves no copy."""
        outcome = attempt.outcome if attempt is not None else None
        freed = outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
        self._backups.release(copy, freed)

    def _engine(self, job: Job) -> Engine | None:
        """Return the engine of a stream that may get a backup, None if it may not."""
        if job.route.kind is not Kind.STREAM or job.route.repeatable:
            return None
        if not self._plan.applies(Feature.BACKUPS, job.service):
            return None
        engine = self._plan.engine(job.service)
        return engine if engine is not None and engine.backups else None
