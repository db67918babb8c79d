"""What a node learns of a request that a server answered, for the handling of later ones."""

from collections.abc import Callable

from moledale.gateway.attempt_log import log_served
from moledale.gateway.job import Attempt, Job
from moledale.gateway.messages import Framing
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.server_view import Placement
from moledale.gateway.stream_backups import StreamBackups
from moledale.scheduling.expected_ends import EndedStream, max_events_of
from moledale.scheduling.overload_gate import OverloadGate


class ServedRequests:
    """Records the end of requests whose callers got the response of a server."""

    def __init__(
        self,
        plan: PlanLookup,
        guard: RequestGuard,
        backups: StreamBackups,
        overload: OverloadGate,
        now: Callable[[], float],
    ) -> None:
        self._plan = plan
        self._guard = guard
        self._backups = backups
        self._overload = overload
        self._now = now

    def record(self, job: Job, placement: Placement, attempt: Attempt, was_continued: bool) -> None:
        """Record and log a served request; `was_continued` if its last send continued a run."""
        if attempt.framing is Framing.CLOSE:
            self._guard.record_unframed_end(job, placement)
        else:
            self._guard.record_served(job)
        if not was_continued:
            self._backups.observe(job, placement)
        log_served(job, placement, attempt, self._now())
        self._record_stream_end(job, placement)

    def _record_stream_end(self, job: Job, placement: Placement) -> None:
        """Tell overload control how long a stream took that had all its events from one server."""
        engine = self._plan.engine(job.service)
        events = job.splitter.event_count
        whole = job.sends == 1 and not job.facts.resumed_after
        if engine is None or job.last_event_at is None or not events or not whole:
            return
        stream = EndedStream(
            job.route.name,
            max_events_of(job.facts.answer_tokens, engine.event_tokens),
            events,
            (job.last_event_at - placement.first_at) / max(1, events - 1),
            placement.concurrent,
        )
        self._overload.record_end(job.service, stream, self._now())
