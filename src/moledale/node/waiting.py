"""Queues requests for servers: reserves slots in order of rank and rejects expired requests."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import ceil

from moledale import problems
from moledale.bundle.schema import Bundle, Priority
from moledale.clock import Clock
from moledale.core.queueing import WaitingQueue, estimated_wait_s
from moledale.core.routing import LoadTracker, Need, Reservation, eligible
from moledale.node.needs import routing_need, routing_params
from moledale.node.streams import GenerationRequest, StreamRecord
from moledale.problems import Problem, Ran

AFFINITY_WAIT_S = 2.0
"""Time that a request waits for the server with its session's cache before it may use another."""

MAX_WAITERS_PER_PASS = 64
"""Waiting requests, in order of rank, for which each pass looks for a free slot."""

DEFAULT_SERVICE_TIME_S = 5.0
"""Assumed service time of a request before any has been measured."""

SERVICE_TIME_EWMA_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of the service time."""


@dataclass(slots=True)
class _Waiter:
    """A stream that waits for a server; the result of `slot` is a reservation or a rejection."""

    record: StreamRecord
    need: Need
    slot: "asyncio.Future[Reservation | Problem]"
    waiting_since: float


class ReservationQueue:
    """Reserves servers for requests, at once if there is a free slot, else in order of rank."""

    def __init__(
        self,
        hall: str,
        load_tracker: LoadTracker,
        bundle: Callable[[], Bundle | None],
        max_waiting: int,
        clock: Clock,
    ) -> None:
        self._hall = hall
        self._load_tracker = load_tracker
        self._bundle = bundle
        self._queue: WaitingQueue[_Waiter] = WaitingQueue(max_waiting)
        self._clock = clock
        self._service_time_s = DEFAULT_SERVICE_TIME_S

    def __len__(self) -> int:
        return len(self._queue)

    def record_service_time(self, seconds: float) -> None:
        """Add the total time of a finished request to the moving average."""
        self._service_time_s += SERVICE_TIME_EWMA_WEIGHT * (seconds - self._service_time_s)

    def refusal(self, request: GenerationRequest) -> Problem | None:
        """Return why a request is rejected now, or None.

        A request is rejected if no server is available for its model or if it would probably wait
        past its deadline.
        """
        need = routing_need(request, [], self._hall)
        ready = eligible(self._load_tracker.views.values(), need)
        retry_in_s = self._load_tracker.retry_in_s(need.model, self._clock.monotonic())
        if not ready and retry_in_s is not None:
            return problems.unavailable(
                "all servers asked for a later retry", max(1, ceil(retry_in_s))
            )
        if not ready:
            return problems.unavailable(f"no server holds model {request.model!r} now", 5)
        slots = sum(view.speeds.slots for view in ready)
        free = sum(max(0, view.speeds.slots - view.running) for view in ready)
        queued_ahead = self._queue.count_ahead(request.priority, self._clock.wall())
        wait = estimated_wait_s(queued_ahead, free, slots, self._service_time_s)
        if self._clock.wall() + wait <= request.deadline_at:
            return None
        detail = f"would wait {wait:.1f} s, past its deadline"
        return problems.overloaded(detail, max(1, round(wait)))

    def reserve(self, need: Need) -> Reservation | None:
        """Choose and reserve a server in one step; return None if none has a slot for the need."""
        params = routing_params(self._bundle())
        found = self._load_tracker.pick_and_reserve(need, params, self._clock.monotonic())
        return found[1] if found is not None else None

    async def wait_for_slot(
        self, record: StreamRecord, excluded: frozenset[str]
    ) -> Reservation | Problem:
        """Reserve a server, waiting for one until the deadline; return why if that failed."""
        request = record.request
        need = routing_need(request, record.tokens, self._hall, excluded)
        if not len(self._queue):
            reservation = self.reserve(need)
            if reservation is not None:
                return reservation
        slot = asyncio.get_running_loop().create_future()
        waiter = _Waiter(record, need, slot, self._clock.monotonic())
        now = self._clock.wall()
        offered = self._queue.offer(waiter, request.priority, now, request.deadline_at)
        if not offered.accepted:
            return problems.overloaded("the queue is full", 1)
        if offered.evicted is not None:
            refusal = problems.overloaded("more urgent work took its place", 2)
            self._resolve(offered.evicted, refusal)
        self.assign_slots()
        try:
            return await waiter.slot
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise

    def assign_slots(self) -> None:
        """Reserve free slots for waiting requests in order of rank."""
        if not len(self._queue):
            return
        # Once no slot was found for a model and priority, later requests with both are skipped,
        # unless a server has their session's cache.
        full: set[tuple[str, Priority]] = set()
        now = self._clock.monotonic()
        for waiter in self._queue.in_order()[:MAX_WAITERS_PER_PASS]:
            need = waiter.need
            kind = (need.model, need.priority)
            has_cache = self._load_tracker.server_of(need.session) is not None
            if kind in full and not has_cache:
                continue
            if now - waiter.waiting_since >= AFFINITY_WAIT_S:
                need = replace(need, wait_for_cache=False)
            reservation = self.reserve(need)
            if reservation is not None:
                self._resolve(waiter, reservation)
            elif not need.excluded and not has_cache:
                full.add(kind)

    def refuse_expired(self) -> None:
        """Reject waiting requests whose deadline has passed."""
        for waiter in self._queue.pop_expired(self._clock.wall()):
            self._resolve(waiter, problems.deadline_passed("it passed while waiting", Ran.NO))

    def _resolve(self, waiter: _Waiter, outcome: Reservation | Problem) -> None:
        """Set a waiter's outcome; release a reservation if the waiter already has an outcome."""
        self._queue.remove(waiter)
        if not waiter.slot.done():
            waiter.slot.set_result(outcome)
        elif isinstance(outcome, Reservation):
            self._load_tracker.release(outcome, self._clock.monotonic())

    def _withdraw(self, waiter: _Waiter) -> None:
        """Remove a cancelled waiter, and release its reservation if it got one meanwhile."""
        self._queue.remove(waiter)
        if waiter.slot.done() and not waiter.slot.cancelled():
            outcome = waiter.slot.result()
            if isinstance(outcome, Reservation):
                self._load_tracker.release(outcome, self._clock.monotonic())
