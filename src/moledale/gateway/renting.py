"""Plans how many servers each hall should have, from demand, running servers and refused orders.

The planner does no I/O. Spot servers are cheap, but all those of a hall may be reclaimed at once,
so they are spread evenly over the halls, with enough of them that any one hall may be lost. While
spot servers are unavailable, on-demand servers fill the gap in the cheapest halls; they are
released once spot servers run again.
"""

from collections import deque
from collections.abc import Iterable
from math import ceil

import msgspec

from moledale.gateway.messages import Server
from moledale.gateway.plan import PlanIndex, Renting
from moledale.gateway.server_model import Speed
from moledale.gateway.server_need import servers_needed

REFUSED_RETRY_S = 2.5
"""Time after which servers that were refused are ordered again."""

BOOT_GRACE_S = 3.0
"""Time beyond a server's boot after which an order counts as lost."""

MEAN_WAIT_SHARE = 1 / 9
"""Share of the shortest target that requests may wait on average. Waits are about exponentially
distributed, so three times the mean is exceeded once in twenty; that leaves two thirds of the
target for prefill and the network."""

BACKLOG_DRAIN_BOOTS = 1.0
"""Overdue work is to be done within this many boot times of a server after its start, so that the
wait for the server is made up for within the same time again."""

MIN_MEAN_WAIT_S = 0.01
"""Minimum allowed mean wait, whatever the target: without it the need has no bound."""

MIN_SERVERS = 2
"""Minimum number of servers wanted: one may crash."""

MIN_START_SERVERS = 4
"""Minimum number of servers wanted before demand was observed, for when `START_SHARE` of the
allowed number is less."""

START_SHARE = 0.3
"""Share of the maximum allowed number of servers that is wanted until demand was observed for a
while."""

DEMAND_WINDOW_S = 5.0
"""Window over which demand is measured: about a server's boot time, so that an order follows the
demand that it is for."""

MIN_DEMAND_WINDOW_S = 1.0
"""Minimum observation time; demand observed for less is not meaningful."""

ON_DEMAND_RELEASE_DELAY_S = 4.0
"""On-demand servers are released when there were too many of them for this long."""

PEAK_RETENTION_S = 20.0
"""Time over which spot servers follow the peak of the need."""

ON_DEMAND_PEAK_BOOTS = 2.0
"""The same time for on-demand servers, in boot times of a server. It is shorter since they cost
four to seven times as much, and a backlog looks like need until it is worked off."""

SPOT_FACTOR = 1.5
"""Spot servers wanted per server needed; they are cheap and often reclaimed."""

RESERVE_SHARE = 0.75
"""Share of the need that must still be covered after the loss of any one hall."""


Running = dict[str, dict[bool, int]]
"""Number of running servers by hall, and by whether they are spot servers."""


class Order(msgspec.Struct, frozen=True):
    """A target number of servers of one kind in one hall."""

    service: str
    hall: str
    spot: bool
    number: int


class Need(msgspec.Struct, frozen=True):
    """Servers wanted: `spot` spot ones, and on-demand ones for what is missing to `on_demand`."""

    spot: int
    on_demand: int


class Demand:
    """Derives the need for servers from a counter of the prefill work placed by all nodes."""

    def __init__(self) -> None:
        self._totals: deque[tuple[float, float]] = deque()
        self._needs: deque[tuple[float, int]] = deque()
        self._first_record_at: float | None = None
        self._first_work_at: float | None = None
        self._last_record_at = 0.0

    def restarted(self) -> "Demand":
        """Return a demand for another counter; the need and when work was first seen are kept."""
        other = Demand()
        other._needs = self._needs.copy()
        other._first_work_at = self._first_work_at
        return other

    def record_total(self, total: float, now: float) -> None:
        """Record the counter; one that falls, since a node was forgotten, restarts the window."""
        if self._totals and total < self._totals[-1][1]:
            self._totals.clear()
        self._totals.append((now, total))
        if self._first_record_at is None:
            self._first_record_at = now
        self._last_record_at = now
        while now - self._totals[0][0] > DEMAND_WINDOW_S:
            self._totals.popleft()
        if self._first_work_at is None and total > 0:
            self._first_work_at = now

    def record_need(self, number: int, now: float) -> None:
        """Record how many servers the recent work needs, once it was observed for long enough."""
        if now - self._totals[0][0] >= MIN_DEMAND_WINDOW_S and self.work_per_s > 0:
            self._needs.append((now, max(MIN_SERVERS, number)))
        while self._needs and now - self._needs[0][0] > PEAK_RETENTION_S:
            self._needs.popleft()

    @property
    def work_per_s(self) -> float:
        """Return the recent work, in tokens per second."""
        if len(self._totals) < 2:
            return 0.0
        (begin, first_total), (end, last_total) = self._totals[0], self._totals[-1]
        return (last_total - first_total) / (end - begin)

    @property
    def active_s(self) -> float:
        """Return the time from the first placed work to the last record."""
        return 0.0 if self._first_work_at is None else self._last_record_at - self._first_work_at

    @property
    def observed_s(self) -> float:
        """Return the time from the first to the last record, whether the counter rose or not."""
        return (
            0.0 if self._first_record_at is None else self._last_record_at - self._first_record_at
        )

    @property
    def idle(self) -> bool:
        """Return whether no node has placed any work yet."""
        return self._first_work_at is None

    def rate_over(self, window_s: float) -> float:
        """Return the work per second over the last `window_s`, or over what was observed of it."""
        end, last_total = self._totals[-1] if self._totals else (0.0, 0.0)
        recent = [each for each in self._totals if end - each[0] <= window_s]
        if len(recent) < 2:
            return 0.0
        begin, first_total = recent[0]
        return (last_total - first_total) / (end - begin)

    def minimum(self, initial: int) -> int:
        """Return the least number of servers wanted: `initial` until demand was observed."""
        return MIN_SERVERS if self.active_s > PEAK_RETENTION_S else initial

    def need(self, initial: int, boot_s: float) -> Need:
        """Return the servers wanted, which follow the recent peaks.

        Until demand was observed for `PEAK_RETENTION_S`, they are at least `initial`.
        """
        minimum = self.minimum(initial)
        retention_s = ON_DEMAND_PEAK_BOOTS * boot_s
        recent = [need for at, need in self._needs if self._last_record_at - at <= retention_s]
        spot = max([minimum, *(need for _, need in self._needs)])
        return Need(spot, max([minimum, *recent]))


class Load(msgspec.Struct, frozen=True):
    """Load of a service.

    `work_per_s` is the work placed per second and `queued_tokens` the queued work, both in tokens;
    `running` is the number of requests that hold or wait for a slot.
    """

    work_per_s: float
    queued_tokens: float
    running: int


def servers_for_load(
    index: PlanIndex, service: str, slots: int, boot_s: float, load: Load, speed: Speed
) -> int:
    """Return how many servers of `slots` slots a service needs, if one boots in `boot_s`.

    The maximum wait follows from the shortest target of the service's routes. Queued work beyond
    what arrives within that target (Little's law) is overdue already, and has to be worked off in
    addition.
    """
    target_s = shortest_target_s(index, service)
    max_wait_s = max(MIN_MEAN_WAIT_S, MEAN_WAIT_SHARE * target_s)
    overdue = max(0.0, load.queued_tokens - load.work_per_s * target_s)
    work_per_s = load.work_per_s + overdue / (BACKLOG_DRAIN_BOOTS * boot_s)
    return servers_needed(work_per_s, load.running, slots, max_wait_s, speed)


def shortest_target_s(index: PlanIndex, service: str) -> float:
    """Return the shortest target of a service's routes, 1 s if none has a target."""
    targets = [
        route.target_s
        for route in index.plan.routes
        if route.target_s > 0 and any(share.service == service for share in route.split)
    ]
    return min(targets, default=1.0)


class OrderState(msgspec.Struct):
    """The last accepted order for a hall and kind, and when a refused one may be retried."""

    number: int | None = None
    ordered_at: float = -1e9
    refused_until: float = -1e9


class RentingPlanner(msgspec.Struct):
    """Plans the orders for one service, and remembers what this holder ordered.

    `unavailable` is the number of servers that run and are paid for, but reject most or all
    requests for longer than a new server takes to start; as many more are needed.
    """

    service: str
    first_start: bool = False
    demand: Demand = msgspec.field(default_factory=Demand)
    states: dict[tuple[str, bool], OrderState] = msgspec.field(default_factory=dict)
    unavailable: int = 0
    _recent_maxima: deque[tuple[float, int]] = msgspec.field(default_factory=deque)

    def orders(self, renting: Renting, servers: Iterable[Server], now: float) -> list[Order]:
        """Return the orders that are due."""
        running = self._count_running(renting, servers)
        spot = self._spot_orders(renting, running, running, now)
        return spot + self._on_demand_orders(renting, running, now)

    def _count_running(self, renting: Renting, servers: Iterable[Server]) -> Running:
        """Return how many servers each hall has of each kind, without those that are leaving."""
        staying = [each for each in servers if each.service == self.service and not each.leaving]
        running = {hall: {True: 0, False: 0} for hall in renting.hall_prices}
        for server in staying:
            if server.hall in running:
                running[server.hall][server.spot] += 1
        return running

    def _may_lower(self) -> bool:
        """Return whether servers may be released: demand is known, or there was none yet."""
        never_used = self.first_start and self.demand.idle
        return never_used or self.demand.observed_s >= DEMAND_WINDOW_S

    def _spot_orders(
        self, renting: Renting, running: Running, halls: Iterable[str], now: float
    ) -> list[Order]:
        """Return the orders for spot servers that are due in `halls`."""
        due = []
        for hall in halls:
            count = running[hall][True]
            wanted = self._wanted_spot(renting, running, hall)
            number = wanted if self._may_lower() else max(wanted, count)
            due.extend(self._due_orders(renting, hall, True, number, count, now))
        return due

    def _wanted_spot(self, renting: Renting, running: Running, hall: str) -> int:
        """Return how many spot servers a hall should have; all halls should have as many."""
        need = self.need(renting)
        per_hall = ceil(need.spot * SPOT_FACTOR / max(1, len(running) - 1))
        return max(renting.min_per_hall, min(per_hall, renting.max_per_hall))

    def _on_demand_orders(self, renting: Renting, running: Running, now: float) -> list[Order]:
        """Return the orders for on-demand servers that are due."""
        need = self.need(renting).on_demand
        due = []
        for hall, wanted in self._on_demand_targets(renting, running, need, now).items():
            count = running[hall][False]
            number = wanted if self._may_lower() else max(wanted, count)
            due.extend(self._due_orders(renting, hall, False, number, count, now))
        return due

    def need(self, renting: Renting) -> Need:
        """Return the servers wanted.

        Before demand is known they follow from the maximum that operators allow.
        """
        need = self.demand.need(self._initial(renting), renting.boot_s)
        return Need(need.spot + self.unavailable, need.on_demand + self.unavailable)

    def _initial(self, renting: Renting) -> int:
        """Return the servers wanted before demand is known."""
        allowed = renting.max_per_hall * len(renting.hall_prices)
        return max(MIN_START_SERVERS, ceil(START_SHARE * allowed))

    def _on_demand_targets(
        self, renting: Renting, running: Running, need: int, now: float
    ) -> dict[str, int]:
        """Return how many on-demand servers each hall should have."""
        spot = {hall: counts[True] for hall, counts in running.items()}
        expected = {
            hall: max(spot[hall], self._expected_spot(renting, hall, now)) for hall in running
        }
        minimum = self._minimum_on_demand(renting, expected, need, now)
        maximum = minimum
        if not (self.first_start and self.demand.idle):
            maximum = self._recent_maximum(self._shortfall(spot, need), now)
        ordered = {hall: self._ordered_on_demand(hall, running[hall][False]) for hall in running}
        wanted = max(minimum, min(sum(ordered.values()), maximum))
        reserved = self._reserved_places(renting, running, expected, now)
        return self._place_on_demand(renting, wanted, reserved, ordered)

    def _minimum_on_demand(
        self, _renting: Renting, expected: dict[str, int], need: int, _now: float
    ) -> int:
        """Return how many on-demand servers there must be beside the expected spot servers."""
        return self._shortfall(expected, need)

    def _reserved_places(
        self, _renting: Renting, running: Running, _expected: dict[str, int], _now: float
    ) -> dict[str, int]:
        """Return the places of each hall that are not free for on-demand servers."""
        return {hall: counts[True] for hall, counts in running.items()}

    def _recent_maximum(self, maximum: int, now: float) -> int:
        """Return the largest maximum within `ON_DEMAND_RELEASE_DELAY_S`, including this one."""
        self._recent_maxima.append((now, maximum))
        while now - self._recent_maxima[0][0] > ON_DEMAND_RELEASE_DELAY_S:
            self._recent_maxima.popleft()
        return max(number for _, number in self._recent_maxima)

    def _shortfall(self, spot: dict[str, int], need: int) -> int:
        """Return how many servers are missing now, or for the reserve after the loss of a hall."""
        running = sum(spot.values())
        remaining = running - max(spot.values())
        return max(0, need - running, ceil(need * RESERVE_SHARE) - remaining)

    def _place_on_demand(
        self, renting: Renting, wanted: int, spot: dict[str, int], ordered: dict[str, int]
    ) -> dict[str, int]:
        """Place on-demand servers in the cheapest halls; ordered ones stay while wanted."""
        result = dict.fromkeys(ordered, 0)
        prices = renting.hall_prices
        for keep_ordered in (True, False):
            for hall in sorted(prices, key=lambda hall: prices[hall]):
                room = renting.max_per_hall - max(spot[hall], 0)
                limit = min(room, ordered[hall]) if keep_ordered else room
                added = max(0, min(wanted - sum(result.values()), limit - result[hall]))
                result[hall] += added
        return result

    def _expected_spot(self, renting: Renting, hall: str, now: float) -> int:
        """Return how many spot servers an accepted order is still expected to bring."""
        state = self.states.get((hall, True))
        if state is None or state.number is None or now < state.refused_until:
            return 0
        return state.number if now - state.ordered_at < renting.boot_s + BOOT_GRACE_S else 0

    def _ordered_on_demand(self, hall: str, running: int) -> int:
        state = self.states.get((hall, False))
        return running if state is None or state.number is None else state.number

    def _due_orders(
        self, renting: Renting, hall: str, spot: bool, wanted: int, running: int, now: float
    ) -> list[Order]:
        """Return the order for `wanted` servers of a kind in a hall, or none if it is not due."""
        state = self.states.setdefault((hall, spot), OrderState())
        if now < state.refused_until:
            return []
        if state.number is None and running == wanted:
            state.number = wanted
            return []
        starting = now - state.ordered_at < renting.boot_s + BOOT_GRACE_S
        if state.number == wanted and (running == wanted or starting):
            return []
        return [Order(self.service, hall, spot, wanted)]

    def record_outcome(self, order: Order, accepted: bool, now: float) -> None:
        """Record whether the cloud accepted an order."""
        state = self.states.setdefault((order.hall, order.spot), OrderState())
        if accepted:
            state.number = order.number
            state.ordered_at = now
        else:
            state.refused_until = now + REFUSED_RETRY_S
