"""Plans servers so that an announced loss of a hall is answered at once and peaks leave no surplus.

All spot servers of a hall may be reclaimed together, with a notice shorter than the boot of their
replacements. The planner here therefore does not expect spot servers in a hall that just lost some
or where the cloud refused them, and covers the gap with on-demand servers. Those cost several times
as much, so they follow what is needed when they will have started rather than the recent peak.
"""

from collections.abc import Iterable
from math import ceil

import msgspec

from moledale.gateway.messages import Server
from moledale.gateway.plan import Renting
from moledale.gateway.renting import (
    BOOT_GRACE_S,
    RESERVE_SHARE,
    Load,
    Need,
    Order,
    OrderState,
    RentingPlanner,
    Running,
)
from moledale.gateway.server_model import Speed
from moledale.scheduling.loss_series import USUAL_HALLS, LossSeries, remaining_servers

RECENT_DEMAND_S = 2.0
"""Window that shows the end of a peak: half of a boot. With 50 requests per second it holds 100, so
its noise is 10 %."""

REORDER_INTERVAL_S = 1.0
"""Minimum time between two orders of the same number of spot servers for a hall. Servers announce
that they leave one by one over several hundred milliseconds."""


def load_at_boot(load: Load, recent_per_s: float, capacity_per_s: float, boot_s: float) -> Load:
    """Return the load that is expected once a server that is ordered now has started.

    `recent_per_s` is the work of the last moments and `capacity_per_s` what the running servers
    process. A peak that has ended is left out, and so is queued work that they finish meanwhile.
    """
    work_per_s = min(load.work_per_s, recent_per_s)
    worked_off = max(0.0, boot_s * (capacity_per_s - work_per_s))
    queued_tokens = max(0.0, load.queued_tokens - worked_off)
    return Load(work_per_s, queued_tokens, load.running)


def capacity_per_s(servers: float, running: float, speed: Speed) -> float:
    """Return the work per second that `servers` servers process while `running` requests run."""
    concurrent = running / max(1.0, servers)
    return servers * speed.read_per_s / (1.0 + speed.crowding * concurrent)


class SpotLosses(msgspec.Struct):
    """Halls that lost spot servers, or where the cloud refused them, and when."""

    _lost_at: dict[str, float] = msgspec.field(default_factory=dict)
    _leaving: dict[str, set[str]] = msgspec.field(default_factory=dict)

    def record(self, hall: str, now: float) -> None:
        """Record that the cloud reclaimed or refused spot servers of a hall."""
        self._lost_at[hall] = now

    def newly_leaving(self, hall: str, leaving: set[str]) -> bool:
        """Replace the leaving spot servers of a hall; return whether there are new ones."""
        before = self._leaving.get(hall, set())
        self._leaving[hall] = leaving
        return not leaving <= before

    def is_recent(self, hall: str, boot_s: float, now: float) -> bool:
        """Return whether the loss is more recent than the start of ordered servers takes."""
        return now - self._lost_at.get(hall, -1e9) < boot_s + BOOT_GRACE_S


class LossAwarePlanner(RentingPlanner):
    """Plans the orders for one service without spot servers in halls that just lost theirs.

    `need_at_boot` is the number of servers needed once a server ordered now has started, None
    while it is unknown. `expects_series` tells whether on-demand servers are held for the halls
    that may follow a lost one.
    """

    need_at_boot: int | None = None
    expects_series: bool = False
    losses: SpotLosses = msgspec.field(default_factory=SpotLosses)
    series: LossSeries = msgspec.field(default_factory=LossSeries)
    _on_demand_wanted: dict[str, int] = msgspec.field(default_factory=dict)
    _planned_at: float = 0.0

    def first_orders(self, renting: Renting, servers: Iterable[Server], now: float) -> list[Order]:
        """Return the spot orders that are due in halls without a recent loss.

        They are placed before `orders` is called, so that no on-demand servers are ordered in
        place of spot servers that the cloud grants.
        """
        listed = list(servers)
        running = self._count_running(renting, listed)
        self._record_losses(renting, running, listed, now)
        return self._spot_orders(renting, running, self._kept_halls(renting, now), now)

    def orders(self, renting: Renting, servers: Iterable[Server], now: float) -> list[Order]:
        """Return the orders that are due, on-demand ones before spot ones in halls with a loss."""
        listed = list(servers)
        running = self._count_running(renting, listed)
        self._record_losses(renting, running, listed, now)
        orders = self._spot_orders(renting, running, self._kept_halls(renting, now), now)
        orders += self._on_demand_orders(renting, running, now)
        return orders + self._spot_orders(renting, running, self.lost_halls(renting, now), now)

    def need(self, renting: Renting) -> Need:
        """Return the servers wanted; on-demand servers do not follow a peak that has ended."""
        need = super().need(renting)
        if self.need_at_boot is None:
            return need
        minimum = self.demand.minimum(self._initial(renting))
        on_demand = max(minimum, self.need_at_boot) + self.unavailable
        return Need(need.spot, min(need.on_demand, on_demand))

    def record_outcome(self, order: Order, accepted: bool, now: float) -> None:
        """Record whether the cloud accepted an order."""
        super().record_outcome(order, accepted, now)
        if order.spot and not accepted:
            self.losses.record(order.hall, now)

    def lost_halls(self, renting: Renting, now: float) -> list[str]:
        """Return the halls with a recent loss, in which no spot servers are counted on."""
        kept = self._kept_halls(renting, now)
        return [hall for hall in renting.hall_prices if hall not in kept]

    def halls_to_hold(self, renting: Renting, now: float) -> float:
        """Return for the loss of how many more halls servers are held."""
        if not self.expects_series:
            return USUAL_HALLS
        return self.series.halls_to_hold(renting.boot_s, now)

    def _kept_halls(self, renting: Renting, now: float) -> list[str]:
        return [
            hall
            for hall in renting.hall_prices
            if not self.losses.is_recent(hall, renting.boot_s, now)
        ]

    def _record_losses(
        self, renting: Renting, running: Running, servers: list[Server], now: float
    ) -> None:
        """Record the halls whose spot servers leave although they were not released.

        A hall counts for the series once most of its spot servers leave.
        """
        self._planned_at = now
        for hall, counts in running.items():
            leaving = {
                each.id
                for each in servers
                if each.service == self.service and each.hall == hall and each.spot and each.leaving
            }
            state = self.states.setdefault((hall, True), OrderState())
            released = state.number is not None and counts[True] >= state.number
            if not self.losses.newly_leaving(hall, leaving) or released:
                continue
            self.losses.record(hall, now)
            if len(leaving) > counts[True]:
                self.series.record_loss(hall, renting.boot_s, now)
            if now - state.ordered_at > REORDER_INTERVAL_S:
                state.ordered_at = -1e9

    def _expected_spot(self, renting: Renting, hall: str, now: float) -> int:
        """Return how many spot servers an order may bring, none in a hall with a recent loss."""
        if self.losses.is_recent(hall, renting.boot_s, now):
            return 0
        return super()._expected_spot(renting, hall, now)

    def _wanted_spot(self, renting: Renting, running: Running, hall: str) -> int:
        """Return how many spot servers a hall should have beside its on-demand servers.

        Those that the cloud granted and that still boot are kept, though they are not counted on.
        """
        wanted = super()._wanted_spot(renting, running, hall)
        room = renting.max_per_hall - self._on_demand_wanted.get(hall, 0)
        granted = super()._expected_spot(renting, hall, self._planned_at)
        return min(wanted, max(running[hall][True], granted, room))

    def _on_demand_targets(
        self, renting: Renting, running: Running, need: int, now: float
    ) -> dict[str, int]:
        """Return how many on-demand servers each hall should have."""
        targets = super()._on_demand_targets(renting, running, need, now)
        self._on_demand_wanted = {
            hall: number
            for hall, number in targets.items()
            if self.losses.is_recent(hall, renting.boot_s, now)
        }
        return targets

    def _minimum_on_demand(
        self, renting: Renting, expected: dict[str, int], need: int, now: float
    ) -> int:
        """Return how many on-demand servers there must be, with those held during a series.

        The latter are not part of the recent maximum, so they are released as soon as it ends.
        """
        remaining = remaining_servers(expected, self.halls_to_hold(renting, now))
        reserve = ceil(need * RESERVE_SHARE) - remaining
        return max(super()._minimum_on_demand(renting, expected, need, now), reserve)

    def _reserved_places(
        self, renting: Renting, running: Running, expected: dict[str, int], now: float
    ) -> dict[str, int]:
        """Return the places that are not free for on-demand servers.

        They include the spot servers to come, as far as those take no place of an ordered
        on-demand server. A hall whose on-demand order was refused gets no more of them until it
        may be retried, so that other halls take its share.
        """
        reserved = super()._reserved_places(renting, running, expected, now)
        for hall in reserved:
            free = renting.max_per_hall - self._ordered_on_demand(hall, running[hall][False])
            state = self.states.setdefault((hall, False), OrderState())
            refused = now < state.refused_until
            reserved[hall] = max(reserved[hall], free if refused else min(expected[hall], free))
        return reserved
