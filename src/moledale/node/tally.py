"""Records the outcomes of requests for burn rates and metrics."""

from collections.abc import Callable

from moledale.bundle.schema import Bundle
from moledale.clock import Clock
from moledale.log import Event, emit
from moledale.node.burn import BurnCounter
from moledale.node.metrics import Metrics
from moledale.node.streams import GenerationRequest, StreamRecord


class Tally:
    """Classifies each finished request as good or bad by the bundle's targets, and counts it."""

    def __init__(
        self,
        burn: BurnCounter,
        metrics: Metrics,
        bundle: Callable[[], Bundle | None],
        clock: Clock,
    ) -> None:
        self._burn = burn
        self._metrics = metrics
        self._bundle = bundle
        self._clock = clock

    def record_refused(self, request: GenerationRequest) -> None:
        """Count a request that was refused on arrival as bad."""
        self._record(request, good=False)

    def record_ended(self, record: StreamRecord) -> None:
        """Count a request that finished or failed here; the adopting peer counts one handed over.

        Requests cancelled by their caller are not counted.
        """
        request = record.request
        if record.state == "failed":
            if record.problem is not None and record.problem.kind != "cancelled":
                emit(Event.REQUEST_FAILED, request=request.id, kind=record.problem.kind)
                self._record(request, good=False)
        elif record.state == "finished":
            first_s = self._first_token_s(record)
            self._burn.record_first_token(request.priority, first_s)
            self._metrics.timing(f"first_token.{request.priority.value}", first_s * 1000)
            self._record(request, good=self._met_target(record, first_s))

    def _first_token_s(self, record: StreamRecord) -> float:
        if record.first_token_at is None or record.adopted:
            return 0.0
        return record.first_token_at - record.accepted_at

    def _met_target(self, record: StreamRecord, first_s: float) -> bool:
        bundle = self._bundle()
        if bundle is None:
            return True
        target = bundle.target(record.request.priority)
        return (
            first_s * 1000 <= target.first_token_ms
            and record.mean_token_interval_s() * 1000 <= target.between_tokens_ms
            and self._clock.wall() <= record.request.deadline_at
        )

    def _record(self, request: GenerationRequest, good: bool) -> None:
        self._burn.record_request(request.account, request.priority, good, self._clock.wall())
        self._metrics.incr(f"requests.{'good' if good else 'bad'}")
