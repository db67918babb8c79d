"""How many servers each hall shall have: a pure plan from demand, what runs and what is refused.

Spot servers cost little and go a hall at once, so they are spread evenly, with enough of them that
any one hall may go. While spot servers are not to be had, servers on demand fill the gap in the
halls where they cost least; they are given back once spot servers run again.
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
"""Time after which servers that were refused are asked for again."""

BOOT_GRACE_S = 3.0
"""Time beyond a server's boot after which an order is taken for lost."""

MEAN_WAIT_SHARE = 1 / 9
"""Part of the shortest target that requests may wait on average. A wait is about exponential, so
three times its mean is exceeded once in twenty; that leaves two thirds for reading and the way."""

BACKLOG_DRAIN_BOOTS = 1.0
"""Work that is late is to be gone within this many boots of a server after its start, so that the
wait for it is made up for within as long again."""

MIN_MEAN_WAIT_S = 0.01
"""Requests are allowed to wait this long whatever their target, else the need has no bound."""

MIN_SERVERS = 2
"""Fewer servers are never wanted: one may crash."""

MIN_START_SERVERS = 4
"""Servers wanted before demand was watched, where a share of what is allowed is less."""

START_SHARE = 0.3
"""Until demand was watched for a while, this part of what is allowed at most is wanted."""

DEMAND_WINDOW_S = 5.0
"""Demand is that of this time: about a server's boot, so that an order follows what it is for."""

MIN_DEMAND_WINDOW_S = 1.0
"""Demand that was watched for less says nothing."""

ON_DEMAND_RELEASE_DELAY_S = 4.0
"""Servers on demand are given back when they were too many for this long."""

PEAK_RETENTION_S = 20.0
"""Spot servers follow the peak of need in this time."""

ON_DEMAND_PEAK_BOOTS = 2.0
"""Servers on demand do so in the time of this many boots, since they cost four to seven times as
much, and a backlog looks like need until it is worked off."""

SPOT_FACTOR = 1.5
"""Spot servers wanted for each server needed; they cost little and go often."""

RESERVE_SHARE = 0.75
"""Part of the need that must be there with any one hall gone."""


class Order(msgspec.Struct, frozen=True):
    """A number of servers for one hall, of one kind."""

    service: str
    hall: str
    spot: bool
    number: int


class Need(msgspec.Struct, frozen=True):
    """Servers wanted: as many spot ones, and on demand what is missing of the lesser number."""

    spot: int
    on_demand: int


class Demand:
    """Need of servers, from a counter of reading work that all nodes have placed."""

    def __init__(self) -> None:
        self._totals: deque[tuple[float, float]] = deque()
        self._needs: deque[tuple[float, int]] = deque()
        self._first_record_at: float | None = None
        self._first_work_at: float | None = None
        self._last_record_at = 0.0

    def record_total(self, total: float, now: float) -> None:
        """Note the counter; one that falls, since a node was forgotten, starts anew."""
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
        """Note how many servers the work of late needs, once it was watched for a moment."""
        if now - self._totals[0][0] >= MIN_DEMAND_WINDOW_S and self.work_per_s > 0:
            self._needs.append((now, max(MIN_SERVERS, number)))
        while self._needs and now - self._needs[0][0] > PEAK_RETENTION_S:
            self._needs.popleft()

    @property
    def work_per_s(self) -> float:
        """Return the work of late, in tokens a second."""
        if len(self._totals) < 2:
            return 0.0
        (begin, first), (end, last) = self._totals[0], self._totals[-1]
        return (last - first) / (end - begin)

    @property
    def active_s(self) -> float:
        """Return for how long demand was watched."""
        return 0.0 if self._first_work_at is None else self._last_record_at - self._first_work_at

    @property
    def observed_s(self) -> float:
        """Return for how long the counter was noted, whether it rose or not."""
        return (
            0.0 if self._first_record_at is None else self._last_record_at - self._first_record_at
        )

    @property
    def idle(self) -> bool:
        """Say whether no node has placed anything yet."""
        return self._first_work_at is None

    def need(self, start: int, boot_s: float) -> Need:
        """Return the servers wanted: the peaks of late, and the start's number at first."""
        least = MIN_SERVERS if self.active_s > PEAK_RETENTION_S else start
        kept_s = ON_DEMAND_PEAK_BOOTS * boot_s
        lately = [need for at, need in self._needs if self._last_record_at - at <= kept_s]
        spot = max([least, *(need for _, need in self._needs)])
        return Need(spot, max([least, *lately]))


class Load(msgspec.Struct, frozen=True):
    """What a service's servers have to do: work placed a second and work that waits, in tokens, and
    the requests that hold or wait for a slot."""

    work_per_s: float
    queued_tokens: float
    running: int


def servers_for_load(
    index: PlanIndex, service: str, slots: int, boot_s: float, load: Load, speed: Speed
) -> int:
    """Return the servers of `slots` each that a service needs, which take `boot_s` to start.

    The longest wait follows from the shortest target of its routes. More work that waits than
    arrives in that time (Little's law) is late already, and has to be worked off besides.
    """
    target_s = shortest_target_s(index, service)
    most_s = max(MIN_MEAN_WAIT_S, MEAN_WAIT_SHARE * target_s)
    late = max(0.0, load.queued_tokens - load.work_per_s * target_s)
    work_per_s = load.work_per_s + late / (BACKLOG_DRAIN_BOOTS * boot_s)
    return servers_needed(work_per_s, load.running, slots, most_s, speed)


def shortest_target_s(index: PlanIndex, service: str) -> float:
    """Return the shortest target of a service's routes, 1 s where none has one."""
    targets = [
        route.target_s
        for route in index.plan.routes
        if route.target_s > 0 and any(share.service == service for share in route.split)
    ]
    return min(targets, default=1.0)


class OrderState(msgspec.Struct):
    """What was ordered last for a hall and kind, and when it may be ordered again."""

    number: int | None = None
    ordered_at: float = -1e9
    refused_until: float = -1e9


class RentingPlanner(msgspec.Struct):
    """Plans orders for one service; remembers what this holder ordered.

    `unavailable` servers are there and paid, but turn requests away, or take few, for longer than a
    new one takes to start, so as many more are needed.
    """

    service: str
    first_start: bool = False
    demand: Demand = msgspec.field(default_factory=Demand)
    states: dict[tuple[str, bool], OrderState] = msgspec.field(default_factory=dict)
    unavailable: int = 0
    _recent_maxima: deque[tuple[float, int]] = msgspec.field(default_factory=deque)

    def orders(self, renting: Renting, servers: Iterable[Server], now: float) -> list[Order]:
        """Return the orders that are due."""
        staying = [each for each in servers if each.service == self.service and not each.leaving]
        there = {hall: {True: 0, False: 0} for hall in renting.hall_prices}
        for server in staying:
            if server.hall in there:
                there[server.hall][server.spot] += 1
        need = self.need(renting)
        each_hall = ceil(need.spot * SPOT_FACTOR / max(1, len(there) - 1))
        wanted_spot = max(renting.least, min(each_hall, renting.most))
        unused = self.first_start and self.demand.idle
        may_lower = unused or self.demand.observed_s >= DEMAND_WINDOW_S
        due = []
        for hall, counts in there.items():
            number = wanted_spot if may_lower else max(wanted_spot, counts[True])
            due.extend(self._due_orders(renting, hall, True, number, counts[True], now))
        for hall, number in self._on_demand_targets(renting, there, need.on_demand, now).items():
            number = number if may_lower else max(number, there[hall][False])
            due.extend(self._due_orders(renting, hall, False, number, there[hall][False], now))
        return due

    def need(self, renting: Renting) -> Need:
        """Return the servers wanted; what operators allow at most tells the size before demand."""
        allowed = renting.most * len(renting.hall_prices)
        start = max(MIN_START_SERVERS, ceil(START_SHARE * allowed))
        need = self.demand.need(start, renting.boot_s)
        return Need(need.spot + self.unavailable, need.on_demand + self.unavailable)

    def _on_demand_targets(
        self, renting: Renting, there: dict[str, dict[bool, int]], need: int, now: float
    ) -> dict[str, int]:
        """Return how many servers on demand each hall shall have."""
        runs = {hall: counts[True] for hall, counts in there.items()}
        coming = {hall: max(runs[hall], self._expected_spot(renting, hall, now)) for hall in there}
        least = self._shortfall(coming, need)
        most = least
        if not (self.first_start and self.demand.idle):
            most = self._recent_maximum(self._shortfall(runs, need), now)
        ordered = {hall: self._ordered_on_demand(hall, there[hall][False]) for hall in there}
        wanted = max(least, min(sum(ordered.values()), most))
        return self._place_on_demand(renting, wanted, runs, ordered)

    def _recent_maximum(self, most: int, now: float) -> int:
        self._recent_maxima.append((now, most))
        while now - self._recent_maxima[0][0] > ON_DEMAND_RELEASE_DELAY_S:
            self._recent_maxima.popleft()
        return max(number for _, number in self._recent_maxima)

    def _shortfall(self, spot: dict[str, int], need: int) -> int:
        """Return the servers that are missing now, or for the reserve once a hall goes."""
        there = sum(spot.values())
        left = there - max(spot.values())
        return max(0, need - there, ceil(need * RESERVE_SHARE) - left)

    def _place_on_demand(
        self, renting: Renting, wanted: int, spot: dict[str, int], ordered: dict[str, int]
    ) -> dict[str, int]:
        """Put servers on demand where they cost least; what is ordered stays while it is wanted."""
        result = dict.fromkeys(ordered, 0)
        prices = renting.hall_prices
        for kept in (True, False):
            for hall in sorted(prices, key=lambda hall: prices[hall]):
                room = renting.most - max(spot[hall], 0)
                limit = min(room, ordered[hall]) if kept else room
                take = max(0, min(wanted - sum(result.values()), limit - result[hall]))
                result[hall] += take
        return result

    def _expected_spot(self, renting: Renting, hall: str, now: float) -> int:
        """Return the spot servers that an accepted order should bring."""
        state = self.states.get((hall, True))
        if state is None or state.number is None or now < state.refused_until:
            return 0
        return state.number if now - state.ordered_at < renting.boot_s + BOOT_GRACE_S else 0

    def _ordered_on_demand(self, hall: str, there: int) -> int:
        state = self.states.get((hall, False))
        return there if state is None or state.number is None else state.number

    def _due_orders(
        self, renting: Renting, hall: str, spot: bool, wanted: int, there: int, now: float
    ) -> list[Order]:
        """Return an order if it would change something."""
        state = self.states.setdefault((hall, spot), OrderState())
        if now < state.refused_until:
            return []
        if state.number is None and there == wanted:
            state.number = wanted
            return []
        starting = now - state.ordered_at < renting.boot_s + BOOT_GRACE_S
        if state.number == wanted and (there == wanted or starting):
            return []
        return [Order(self.service, hall, spot, wanted)]

    def record_outcome(self, order: Order, accepted: bool, now: float) -> None:
        """Note what the cloud said of an order."""
        state = self.states.setdefault((order.hall, order.spot), OrderState())
        if accepted:
            state.number = order.number
            state.ordered_at = now
        else:
            state.refused_until = now + REFUSED_RETRY_S
