"""Sends a request over a connection to a server, and counts the send."""

from collections.abc import Callable

from moledale.gateway.dialect import Dialect
from moledale.gateway.job import Job
from moledale.gateway.job_charges import JobCharges
from moledale.gateway.messages import AttemptFacts
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.sharing import Sharing
from moledale.gateway.upstream import UpstreamConnection
from moledale.scheduling.stream_runs import Continuation, StreamRun

NO_EVENT_ID = "0"
"""Last event id that is sent for a stream without any event yet."""


class JobSender:
    """Sends requests in the form that `dialect` gives them; peers hear of sends by `sharing`."""

    def __init__(
        self,
        dialect: Dialect,
        sharing: Sharing,
        plan: PlanLookup,
        charges: JobCharges,
        now: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._sharing = sharing
        self._plan = plan
        self._charges = charges
        self._now = now

    def send(
        self,
        job: Job,
        connection: UpstreamConnection,
        run: StreamRun,
        continuation: Continuation | None,
    ) -> None:
        """Count a send, and send the request; a moved stream continues from `continuation`."""
        now = self._now()
        self._charges.publish(job)
        self._count(job, now)
        facts = self._facts(job, run, continuation, now)
        body = job.request.body
        head = job.request.head
        data = self._dialect.attempt_head(head, facts, len(body)) + body
        connection.send(data, bodiless=head.bodiless)

    def _count(self, job: Job, now: float) -> None:
        """Count a send, unless it is counted in the retry budget already."""
        if not job.sends:
            self._sharing.record_placed(job.service, job.caller.account, job.facts.tokens)
        elif not job.retry_counted:
            self._sharing.record_retry(job.service, now)
        job.retry_counted = False
        job.sends += 1
        job.was_sent = True

    def _facts(
        self, job: Job, run: StreamRun, continuation: Continuation | None, now: float
    ) -> AttemptFacts:
        """Return what the server is told beside the request itself."""
        placement = run.placement
        after_event = job.splitter.last_id if job.splitter.event_count else ""
        if continuation is not None:
            after_event = job.splitter.last_id or NO_EVENT_ID
        return AttemptFacts(
            placement.view.server.id,
            job.caller.account,
            job.left_s(now),
            self._plan.priority(job),
            after_event=after_event,
            continued_from=(
                f"{continuation.source}/{continuation.handle}" if continuation is not None else ""
            ),
            fetch_from=placement.fetch_from if continuation is None else "",
            backup_at=run.backup.address if run.backup is not None else "",
        )
