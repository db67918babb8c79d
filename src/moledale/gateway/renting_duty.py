"""Orders and releases servers while the lease is held."""

from collections.abc import Callable

from result import Ok

from moledale.clock import monotonic
from moledale.core.leases import Grant
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.lease_keeper import LeaseKeeper
from moledale.gateway.outside import CloudOrders
from moledale.gateway.plan import Engine, PlanIndex, Renting, Service
from moledale.gateway.renting import Demand, Load, Order, RentingPlanner, servers_for_load
from moledale.gateway.sharing import Sharing
from moledale.gateway.work import OWN_INCARNATION, WorkMeter, node_reports
from moledale.log import Event, emit
from moledale.scheduling.announcements import needs_list
from moledale.scheduling.loss_series import USUAL_HALLS
from moledale.scheduling.unheard import UnheardWork
from moledale.scheduling.unheard_renting import (
    RECENT_DEMAND_S,
    LossAwarePlanner,
    capacity_per_s,
    load_at_boot,
)

PLAN_INTERVAL_S = 0.5
"""Interval at which servers are planned: several times within the boot of a server."""


def _read_nothing() -> None:
    """Read no list."""


def _never(_service: str) -> bool:
    """Return False: the feature applies to no service."""
    return False


class RentingDuty:
    """Records the demand of all services, and places the orders of the holder's planners.

    `index` returns the plan in force, None before the first one. `first_start` is set when the
    whole system starts for the first time. `uses_unheard_load` tells whether a service's orders
    follow announced losses at once and demand that is not heard (`Feature.UNHEARD_LOAD`), and
    `uses_loss_series` whether servers are then also held for losses that may follow
    (`Feature.LOSS_SERIES`). `read_list` starts to read the list of servers,
    and `watch_list` does so for this node alone.
    """

    def __init__(
        self,
        node: str,
        keeper: LeaseKeeper,
        orders: CloudOrders,
        sharing: Sharing,
        balancer: LoadBalancer,
        index: Callable[[], PlanIndex | None],
        first_start: bool,
        now: Callable[[], float] = monotonic,
        uses_unheard_load: Callable[[str], bool] = _never,
        uses_loss_series: Callable[[str], bool] = _never,
        read_list: Callable[[], None] = _read_nothing,
        watch_list: Callable[[], None] = _read_nothing,
    ) -> None:
        self._node = node
        self._keeper = keeper
        self._orders = orders
        self._sharing = sharing
        self._balancer = balancer
        self._index = index
        self._first_start = first_start
        self._now = now
        self._uses_unheard_load = uses_unheard_load
        self._uses_loss_series = uses_loss_series
        self._read_list = read_list
        self._watch_list = watch_list
        self._watched: list[str] = []
        self._leaving: set[str] = set()
        self._losses: dict[str, tuple[list[str], float]] = {}
        self._needs_at_boot: dict[str, int] = {}
        self._planners: dict[str, RentingPlanner] = {}
        self._demands: dict[str, Demand] = {}
        self._work = WorkMeter()
        self._work.record(OWN_INCARNATION, {})
        self._unheard = UnheardWork()
        self._unheard_nodes = 0
        self._used_unheard_load: dict[str, bool] = {}
        self._planned_at = -1e9
        self._demand_recorded_at = -1e9

    def reset(self) -> None:
        """Discard the planners of an earlier term as holder: others may have ordered since.

        Demand is measured anew, so that none is released before it is known: a node in reserve was
        not sent the counters that it derives from.
        """
        self._planners.clear()
        for service, demand in self._demands.items():
            if self._uses_unheard_load(service):
                self._demands[service] = demand.restarted()

    async def step(self) -> None:
        """Order and release servers where it is due."""
        now = self._now()
        index = self._index()
        if index is None:
            return
        lost = self._servers_lost(index)
        self._watch_list_if_needed(index, now)
        due = now - self._planned_at >= PLAN_INTERVAL_S
        if due:
            self._planned_at = now
        for service in index.services.values():
            if service.renting is None or service.name not in self._demands:
                continue
            if due or (lost and self._uses_unheard_load(service.name)):
                await self._rent(service.name, service.renting)

    def _watch_list_if_needed(self, index: PlanIndex, now: float) -> None:
        """Read the list at this poll if only that tells of reclaimed servers in time."""
        watched = [
            service.name for service in index.services.values() if self._may_hear_late(service, now)
        ]
        if watched != self._watched:
            emit(Event.LIST_WATCHED, services=watched)
        self._watched = watched
        if watched:
            self._watch_list()

    def _may_hear_late(self, service: Service, now: float) -> bool:
        """Return whether only the list may tell in time that servers are reclaimed."""
        if service.renting is None or not self._uses_unheard_load(service.name):
            return False
        requests_per_s = self._sharing.requests_per_s(service.name, now)
        return needs_list(requests_per_s, len(service.renting.hall_prices))

    def _servers_lost(self, index: PlanIndex) -> bool:
        """Return whether servers have begun to leave since the last call, where that counts.

        If some stated it themselves, the list is read at once: it may name more of their hall.
        """
        before = self._leaving
        self._leaving = {
            name
            for service in index.services
            if self._uses_unheard_load(service)
            for name, view in self._balancer.group(service).views.items()
            if view.server.leaving
        }
        new = self._leaving - before
        if not new.isdisjoint(self._balancer.notices.leaving_ahead_of_list()):
            self._read_list()
        return bool(new)

    async def _rent(self, service: str, renting: Renting) -> None:
        now = self._now()
        # Excludes servers of a version on trial, which run in addition to the ordered ones.
        group = self._balancer.group(service)
        servers = [view.server for view in group.allowed_servers()]
        planner = self._planner(service)
        usual_per_s = self._sharing.requests_per_s(service, now) / max(1, len(servers))
        planner.unavailable = group.unavailable_count(now, renting.boot_s)
        planner.unavailable += group.limited.lost_servers(now, usual_per_s, renting.boot_s)
        if isinstance(planner, LossAwarePlanner):
            planner.need_at_boot = self._needs_at_boot.get(service)
            planner.expects_series = self._uses_loss_series(service)
            first = planner.first_orders(renting, servers, now)
            held = planner.halls_to_hold(renting, now)
            self._log_losses(service, planner.lost_halls(renting, now), held)
            await self._send_all(first, planner, renting)
        await self._send_all(planner.orders(renting, servers, self._now()), planner, renting)

    def _log_losses(self, service: str, halls: list[str], held: float) -> None:
        """Log in which halls no spot servers are counted on, and for how many more, on changes."""
        losses = (halls, round(held, 2))
        if losses != self._losses.get(service, ([], USUAL_HALLS)):
            emit(Event.SPOT_LOST, service=service, halls=halls, held_for=losses[1])
        self._losses[service] = losses

    async def _send_all(
        self, orders: list[Order], planner: RentingPlanner, renting: Renting
    ) -> None:
        """Place orders one after the other as long as the lease is held."""
        for order in orders:
            grant = self._keeper.grant()
            if grant is None:
                return
            await self._send(order, grant, planner, renting)

    async def _send(
        self, order: Order, grant: Grant, planner: RentingPlanner, renting: Renting
    ) -> None:
        outcome = await self._orders.order_servers(
            self._node, grant.epoch, order.service, order.hall, order.number, order.spot
        )
        accepted = isinstance(outcome, Ok) and outcome.ok_value
        planner.record_outcome(order, accepted, self._now())
        emit(
            Event.SERVERS_ORDERED,
            hall=order.hall,
            spot=order.spot,
            number=order.number,
            accepted=accepted,
            need=planner.need(renting),
            work_per_s=round(planner.demand.work_per_s),
            running=self._balancer.running(order.service),
            waiting=self._balancer.queued_tokens(order.service),
            learnt=self._balancer.estimator(order.service).speed(self._now()),
        )

    def _planner(self, service: str) -> RentingPlanner:
        planner = self._planners.get(service)
        kind = LossAwarePlanner if self._uses_unheard_load(service) else RentingPlanner
        if type(planner) is not kind:
            planner = kind(service, self._first_start, self._demands[service])
            self._planners[service] = planner
        return planner

    def record_demand(self) -> None:
        """Record the demand; all nodes do, so that any of them can become the holder."""
        now = self._now()
        index = self._index()
        if index is None or now - self._demand_recorded_at < PLAN_INTERVAL_S:
            return
        self._demand_recorded_at = now
        self._work.record(OWN_INCARNATION, self._balancer.placed_work)
        self._work.merge_peers(self._sharing.members.all_states())
        if any(self._uses_unheard_load(service) for service in index.services):
            self._record_unheard(now)
        for service in index.services.values():
            if service.renting is None:
                continue
            self._demand(service.name).record_total(self._total(service.name), now)
            if service.engine is not None:
                self._record_need(index, service.name, service.engine, service.renting, now)

    def _demand(self, service: str) -> Demand:
        """Return the demand for a service, which starts anew when its counter is another one."""
        used = self._uses_unheard_load(service)
        if self._used_unheard_load.get(service) is not used:
            self._used_unheard_load[service] = used
            earlier = self._demands.get(service)
            self._demands[service] = Demand() if earlier is None else earlier.restarted()
            self._planners.pop(service, None)
        return self._demands[service]

    def _total(self, service: str) -> float:
        """Return the counter of the work that all nodes placed, as far as it is known."""
        if self._uses_unheard_load(service):
            return self._unheard.total.get(service, 0.0)
        return self._work.total.get(service, 0)

    def _record_unheard(self, now: float) -> None:
        """Record the demand of nodes that are heard and of those that are not."""
        placed = self._balancer.placed_work
        reports = node_reports(self._sharing.members, placed, bool(placed), now)
        self._unheard.update(reports, now)
        silent = self._unheard.unheard_nodes
        if bool(silent) is not bool(self._unheard_nodes):
            shares = {name: round(each, 3) for name, each in self.unheard_shares().items()}
            emit(Event.UNHEARD_DEMAND, nodes=silent, shares=shares)
        self._unheard_nodes = silent

    def unheard_shares(self) -> dict[str, float]:
        """Return the inferred share of the demand for each service that it is inferred for."""
        return {
            service: self._unheard.unheard_share(service)
            for service, used in self._used_unheard_load.items()
            if used
        }

    def _record_need(
        self, index: PlanIndex, service: str, engine: Engine, renting: Renting, now: float
    ) -> None:
        """Record how many servers the demand for a service needs."""
        demand = self._demands[service]
        load = Load(
            demand.work_per_s,
            self._balancer.queued_tokens(service),
            self._balancer.running(service),
        )
        speed = self._balancer.mean_server_speed(service, now)
        boot_s = renting.boot_s
        if self._uses_unheard_load(service):
            load = self._with_unheard(service, load)
            capacity = capacity_per_s(self._staying_count(service), load.running, speed)
            recent_per_s = demand.rate_over(RECENT_DEMAND_S)
            later = load_at_boot(load, recent_per_s, capacity, boot_s)
            self._needs_at_boot[service] = servers_for_load(
                index, service, engine.slots, boot_s, later, speed
            )
            load = Load(max(load.work_per_s, recent_per_s), later.queued_tokens, load.running)
        demand.record_need(servers_for_load(index, service, engine.slots, boot_s, load, speed), now)

    def _with_unheard(self, service: str, load: Load) -> Load:
        """Return the load of all nodes, of which `load` has the queues that are heard."""
        scale = self._unheard.scale(service)
        return Load(load.work_per_s, scale * load.queued_tokens, round(scale * load.running))

    def _staying_count(self, service: str) -> int:
        """Return how many servers process requests and are not leaving."""
        views = self._balancer.group(service).allowed_servers()
        return sum(1 for view in views if not view.server.leaving)
