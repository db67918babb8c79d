"""One model of when a request gets its first event and when its stream ends.

The time to the first event follows from the estimated speed of servers and the load of one
(`first_event_s`). The time from there to the end is the number of further events times their
interval. `StreamEnds` learns both for a service: by route, how many events streams have relative to
the most that their callers allow, and how the interval grows with the requests beside a stream.
Streams in flight are estimated by their own events (`remaining_s`). Times are in seconds.
"""

from collections import deque
from math import sqrt
from statistics import median

import msgspec

from moledale.gateway.server_model import Speed
from moledale.gateway.server_view import ServerView

ASSUMED_FIRST_TOKEN_S = 0.3
"""Assumed time to the first event of a stream that has none yet."""

ASSUMED_EVENT_INTERVAL_S = 0.03
"""Assumed time between two events of a stream that has fewer than two so far."""

RECENT_EVENT_WEIGHT = 0.2
"""Weight of a new event in the estimated interval between events: about the last five count, which
tell what the server does now."""

MAX_ENDS = 32
"""Ended streams kept for an estimate: at a few streams per second, those of some seconds."""

MIN_ENDS = 5
"""With fewer ended streams, a median may be that of two unusual ones, and nothing is expected."""

INTERVAL_TTL_S = 10.0
"""Intervals of older streams don't count: the load they had is gone. Without newer ones nothing is
expected, so that a wrong estimate can't refuse every stream for longer than this."""


def slot_wait_s(running: int, slots: int, hold_s: float) -> float:
    """Return the expected wait for a slot, which grows gradually as the batch fills."""
    each_s = hold_s / slots
    if running >= slots:
        return each_s * (running + 1 - slots)
    return each_s * float((running / slots) ** (sqrt(2.0 * (slots + 1)) - 1.0))


def load_delay_s(view: ServerView, speed: Speed, now: float) -> float:
    """Return the delay of an uncached prompt of usual size, compared with an idle server.

    An idle and healthy server has a delay of zero, whatever the estimated speed. So a change of the
    estimate keeps the order of such servers, and only those with work need a new estimate. Servers
    of another relative speed are compared with an idle server of speed 1.
    """
    concurrent = view.total_running
    work = speed.remaining_work(view.total_prefill) + speed.residual_work
    took_s = speed.prefill_s(work, concurrent) * view.slowness.factor(now) / view.relative_speed
    alone_s = speed.prefill_s(speed.residual_work)
    return took_s - alone_s + slot_wait_s(concurrent, view.server.slots, speed.hold_s)


def first_event_s(
    view: ServerView, speed: Speed, own_prefill_s: float, slots: int, now: float
) -> float:
    """Return the expected time to the first event at a server, given the prompt's own prefill."""
    concurrent = view.total_running
    queued = speed.remaining_work(view.total_prefill)
    took_s = speed.prefill_s(queued, concurrent) / view.relative_speed + own_prefill_s
    slots_s = slot_wait_s(concurrent, slots, speed.hold_s)
    return took_s * view.slowness.factor(now) + slots_s


def remaining_s(
    max_events: int, events: int, server_events: int, interval_s: float, waited_s: float
) -> float:
    """Return the expected time until a stream in flight ends.

    `events` are those of the stream so far, and `server_events` those of its current server, which
    came at intervals of `interval_s`. Waiting for an event longer than usual (`waited_s` since the
    last one) counts as a longer interval, and not as progress.
    """
    if server_events < 2:
        return ASSUMED_FIRST_TOKEN_S + max_events * ASSUMED_EVENT_INTERVAL_S
    excess_s = max(0.0, waited_s - interval_s)
    slowed_s = interval_s + RECENT_EVENT_WEIGHT * excess_s
    return max(0, max_events - events) * slowed_s - min(waited_s, slowed_s)


def max_events_of(answer_tokens: int, event_tokens: int) -> int:
    """Return the most events that an answer of `answer_tokens` has."""
    return max(1, answer_tokens // event_tokens)


class EndedStream(msgspec.Struct, frozen=True):
    """A stream that ended by itself: all events, by one server.

    `max_events` is the most that its caller allowed, `interval_s` the mean time between two, and
    `concurrent` the number of requests beside it when it was placed.
    """

    route: str
    max_events: int
    events: int
    interval_s: float
    concurrent: int


class _Interval(msgspec.Struct, frozen=True):
    """The interval of events of one stream, and when that ended."""

    at: float
    concurrent: int
    seconds: float


class StreamEnds:
    """Learns how long the streams of one service take from their first event to their end."""

    def __init__(self) -> None:
        self._lengths: dict[str, deque[float]] = {}
        self._intervals: deque[_Interval] = deque(maxlen=MAX_ENDS)

    def record(self, stream: EndedStream, now: float) -> None:
        """Record a stream that ended; one with a single event tells nothing of the interval."""
        lengths = self._lengths.setdefault(stream.route, deque(maxlen=MAX_ENDS))
        lengths.append(stream.events / max(1, stream.max_events))
        if stream.events > 1:
            self._intervals.append(_Interval(now, stream.concurrent, stream.interval_s))

    def stream_s(self, route: str, max_events: int, concurrent: int, now: float) -> float:
        """Return the expected time from the first event to the end; 0.0 if too little is known."""
        lengths = self._lengths.get(route, ())
        while self._intervals and now - self._intervals[0].at > INTERVAL_TTL_S:
            self._intervals.popleft()
        if len(lengths) < MIN_ENDS or len(self._intervals) < MIN_ENDS:
            return 0.0
        events = max_events * median(lengths)
        return max(0.0, events - 1.0) * self._interval_s(concurrent)

    def _interval_s(self, concurrent: int) -> float:
        """Return the expected interval of events beside `concurrent` requests.

        It grows linearly with them, by the median slope between streams with few and with many
        beside them. It is not extrapolated beyond what was observed, where the slope is uncertain.
        """
        ordered = sorted(self._intervals, key=lambda each: each.concurrent)
        half = (len(ordered) + 1) // 2
        slopes = [
            (many.seconds - few.seconds) / (many.concurrent - few.concurrent)
            for few, many in zip(ordered, ordered[half:], strict=False)
            if many.concurrent > few.concurrent
        ]
        slope = max(0.0, median(slopes)) if slopes else 0.0
        base_s = median(each.seconds - slope * each.concurrent for each in ordered)
        beside = min(max(concurrent, ordered[0].concurrent), ordered[-1].concurrent)
        return max(0.0, base_s + slope * beside)
