"""Applies overload control to the first sends of a node, and counts and logs its decisions."""

from collections import Counter
from collections.abc import Callable

import msgspec

from moledale.gateway.choice import Choice, PlacementRefused
from moledale.gateway.engine_costs import prefill_work
from moledale.gateway.plan import Kind, Route
from moledale.log import Event, emit
from moledale.scheduling.expected_ends import EndedStream, StreamEnds, max_events_of
from moledale.scheduling.overload import (
    Arrival,
    ExpectedTimePolicy,
    OverloadControl,
    Reason,
    Refuse,
)

MAX_FIRST_EVENT_MS = 60_000
"""Longest first event that a histogram tells apart: a few times the longest deadline."""

HISTOGRAM_DIGITS = 2
PERCENTILES = (50, 90, 99)

AccountExcess = Callable[[str | None, float], float]
"""Returns an account's recent work relative to its fair share, at a time."""


class FirstSend(msgspec.Struct, frozen=True):
    """What a decision needs to know of a request besides the choice of its server.

    `urgency` is its engine priority; `spent_s` is the time since it arrived, and `deadline_in_s`
    the time left to answer it.
    """

    service: str
    account: str | None
    route: Route
    urgency: int
    spent_s: float
    deadline_in_s: float


def make_arrival(
    first: FirstSend, choice: Choice, account_excess: float, ends: StreamEnds, now: float
) -> Arrival:
    """Return what overload control needs to know of a request and the server chosen for it."""
    view, facts = choice.view, choice.facts
    cached = view.cached_prefix_tokens(facts.parts)
    return Arrival(
        first.route.name,
        first.urgency,
        first.route.target_s,
        first.spent_s,
        first.deadline_in_s,
        choice.first_event_s,
        prefill_work(facts.prompt_tokens, cached),
        view.total_prefill,
        view.total_running / max(1, view.server.slots),
        account_excess,
        _stream_s(first.route, choice, ends, now),
    )


def _stream_s(route: Route, choice: Choice, ends: StreamEnds, now: float) -> float:
    """Return the expected time from the first event to the end of a request's stream."""
    if route.kind is not Kind.STREAM or choice.engine_choice is None:
        return 0.0
    event_tokens = choice.engine_choice.engine.event_tokens
    max_events = max_events_of(choice.facts.answer_tokens, event_tokens)
    return ends.stream_s(route.name, max_events, choice.view.total_running, now)


class FirstEventTimes:
    """Distributions of the expected and the observed times to first events."""

    def __init__(self) -> None:
        # Imported on first use, since the import lengthens the start of nodes that don't need it.
        from hdrh.histogram import HdrHistogram

        self._histograms: dict[str, HdrHistogram] = {
            name: HdrHistogram(1, MAX_FIRST_EVENT_MS, HISTOGRAM_DIGITS)
            for name in ("expected", "observed")
        }

    def record(self, expected_s: float, observed_s: float) -> None:
        """Record the times of one request."""
        for name, seconds in (("expected", expected_s), ("observed", observed_s)):
            value_ms = min(MAX_FIRST_EVENT_MS, max(1, round(seconds * 1000)))
            self._histograms[name].record_value(value_ms)

    def metrics(self) -> dict[str, int]:
        """Return the counts and percentiles by metric name."""
        metrics = {}
        for name, histogram in self._histograms.items():
            metrics[f"first_event_{name}_count"] = histogram.get_total_count()
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                metrics[f"first_event_{name}_ms_p{percentile}"] = int(value)
        return metrics


class OverloadGate:
    """Decides on first sends to services under overload control.

    `account_excess` may be replaced; without fair shares, all accounts are at their share.
    """

    def __init__(self) -> None:
        self.account_excess: AccountExcess = lambda _account, _now: 1.0
        self._controls: dict[str, OverloadControl] = {}
        self._ends: dict[str, StreamEnds] = {}
        self._refused: Counter[Reason] = Counter()
        self._refused_by_service: Counter[str] = Counter()
        self._sent = 0
        self._times: FirstEventTimes | None = None

    def check(self, first: FirstSend, choice: Choice, now: float) -> Callable[[float, float], None]:
        """Decide on a request; raise `PlacementRefused`, or return what records its first event.

        That is called with the time that the first event took, and the time now.
        """
        control = self._controls.setdefault(first.service, OverloadControl(ExpectedTimePolicy()))
        ends = self._ends.setdefault(first.service, StreamEnds())
        excess = self.account_excess(first.account, now)
        arrival = make_arrival(first, choice, excess, ends, now)
        was_overloaded = control.overloaded
        decision = control.decide(arrival, now)
        if control.overloaded != was_overloaded:
            self._log_change(first, arrival, control.overloaded)
        if isinstance(decision, Refuse):
            self._refused[decision.reason] += 1
            self._refused_by_service[first.service] += 1
            raise PlacementRefused(decision.reason, decision.retry_after_s)
        self._sent += 1
        expected_s = decision.expected_s

        def record_first_event(took_s: float, at: float) -> None:
            if self._times is None:
                self._times = FirstEventTimes()
            self._times.record(expected_s, took_s)
            control.observe(arrival, took_s, at)

        return record_first_event

    def record_end(self, service: str, stream: EndedStream, now: float) -> None:
        """Record a stream that ended by itself, if first sends to its service are decided."""
        ends = self._ends.get(service)
        if ends is not None:
            ends.record(stream, now)

    def metrics(self) -> dict[str, int]:
        """Return counters by reason, and percentiles of expected and observed first events."""
        metrics = {
            "overload_sent_total": self._sent,
            "overload_services": sum(each.overloaded for each in self._controls.values()),
        }
        for reason in Reason:
            metrics[f"overload_refused_{reason.name.lower()}_total"] = self._refused[reason]
        return metrics | (self._times.metrics() if self._times is not None else {})

    def _log_change(self, first: FirstSend, arrival: Arrival, overloaded: bool) -> None:
        emit(
            Event.OVERLOAD,
            service=first.service,
            overloaded=overloaded,
            route=first.route.name,
            expected_ms=round(arrival.expected_s * 1000),
            target_ms=round(arrival.target_s * 1000),
            slots_taken=round(arrival.slots_taken, 2),
            refused=self._refused_by_service[first.service],
        )
