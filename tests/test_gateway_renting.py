"""Number of servers to rent, and the demand that it follows."""

import unittest
from unittest import mock

from moledale.gateway.messages import Server
from moledale.gateway.plan import PlanIndex, Renting
from moledale.gateway.renting import (
    BACKLOG_DRAIN_BOOTS,
    Demand,
    Load,
    Need,
    Order,
    RentingPlanner,
    servers_for_load,
    shortest_target_s,
)
from moledale.gateway.server_model import Speed
from moledale.gateway.work import OWN_INCARNATION, WorkMeter
from tests.gateway_states import HALLS, make_state
from tests.gateway_world import make_plan

NEED_THREE = Need(3, 3)
BOOT_S = 4.0
NEED_FOUR = Need(4, 4)


class WorkMeterTest(unittest.TestCase):
    def test_work_before_the_first_state_of_a_node_is_not_counted(self) -> None:
        meter = WorkMeter()
        meter.record(OWN_INCARNATION, {})
        meter.merge_peers([make_state("n1", work={"model": 3_000_000})])
        meter.record(OWN_INCARNATION, {"model": 700})
        meter.merge_peers([make_state("n1", sequence=2, work={"model": 3_000_500})])
        self.assertEqual(meter.total, {"model": 1_200})

    def test_each_incarnation_is_counted_separately(self) -> None:
        meter = WorkMeter()
        meter.merge_peers([make_state("n1", life=1, work={"model": 100})])
        meter.merge_peers([make_state("n1", life=1, work={"model": 150}), make_state("n1", life=2)])
        meter.merge_peers(
            [
                make_state("n1", life=1, work={"model": 160}),
                make_state("n1", life=2, work={"model": 40}),
            ]
        )
        self.assertEqual(meter.total, {"model": 100})

    def test_incarnation_that_was_dropped_starts_from_a_new_baseline(self) -> None:
        meter = WorkMeter()
        meter.merge_peers([make_state("n1", work={"model": 100})])
        meter.merge_peers([])
        meter.merge_peers([make_state("n1", work={"model": 900})])
        self.assertEqual(meter.total, {})

    def test_demand_of_a_new_holder_excludes_past_work(self) -> None:
        meter = WorkMeter()
        demand = Demand()
        for step in range(12):
            work = 5_000_000 + step * 50_000 if step >= 2 else 0
            states = [make_state("n1", sequence=step + 1, work={"model": work})] if work else []
            meter.merge_peers(states)
            demand.record_total(meter.total.get("model", 0), step * 0.5)
        self.assertLess(demand.work_per_s, 1.1 * 100_000)


class LateWorkTest(unittest.TestCase):
    """Work that is queued for longer than the target raises the need at once."""

    speed = Speed(50_000.0, 0.02, 0.5, 4_000.0, 100)

    def servers_needed(self, work_per_s: float, queued_tokens: float) -> int:
        load = Load(work_per_s, queued_tokens, 20)
        return servers_for_load(PlanIndex(make_plan()), "model", 64, BOOT_S, load, self.speed)

    def test_queue_within_the_target_does_not_raise_the_need(self) -> None:
        target_s = shortest_target_s(PlanIndex(make_plan()), "model")
        self.assertEqual(
            self.servers_needed(200_000.0, 200_000.0 * target_s),
            self.servers_needed(200_000.0, 0.0),
        )

    def test_overdue_work_raises_the_need(self) -> None:
        overdue = 400_000.0 * BACKLOG_DRAIN_BOOTS * BOOT_S
        target_s = shortest_target_s(PlanIndex(make_plan()), "model")
        queued_tokens = 200_000.0 * target_s + overdue
        self.assertEqual(
            self.servers_needed(200_000.0, queued_tokens), self.servers_needed(600_000.0, 0.0)
        )


class RentingTest(unittest.TestCase):
    renting = Renting(1, 5, BOOT_S, 0.15, {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9})

    def setUp(self) -> None:
        """Set an initial need of 4 of the 20 allowed servers, independent of the default share."""
        share = mock.patch("moledale.gateway.renting.START_SHARE", 4 / 20)
        share.start()
        self.addCleanup(share.stop)

    def make_planner(self, need: int, first_start: bool = False) -> RentingPlanner:
        planner = RentingPlanner("model", first_start)
        if need:
            for step in range(12):
                planner.demand.record_total(step * 50_000.0, step / 2 - 6.0)
                planner.demand.record_need(need, step / 2 - 6.0)
        return planner

    def make_servers(
        self, spot: dict[str, int], on_demand: dict[str, int] | None = None
    ) -> list[Server]:
        kinds = ((spot, True), (on_demand or {}, False))
        return [
            Server(f"{hall}{number}{is_spot}", "model", "x:1", hall, 64, spot=is_spot)
            for counts, is_spot in kinds
            for hall, count in counts.items()
            for number in range(count)
        ]

    def accept_orders(
        self, planner: RentingPlanner, servers: list[Server], now: float
    ) -> list[Order]:
        orders = planner.orders(self.renting, servers, now)
        for order in orders:
            planner.record_outcome(order, True, now)
        return orders

    def test_spot_servers_are_spread_and_ordered_once(self) -> None:
        planner = self.make_planner(4)
        on_demand = {"a": 2, "b": 3, "c": 2, "d": 2}
        orders = self.accept_orders(planner, self.make_servers({}, on_demand), 0.0)
        spot = {order.hall: order.number for order in orders if order.spot}
        self.assertEqual(spot, dict.fromkeys(HALLS, 2))
        self.assertEqual(
            [
                o
                for o in self.accept_orders(planner, self.make_servers({}, on_demand), 1.0)
                if o.spot
            ],
            [],
        )

    def test_on_demand_servers_stay_until_spot_servers_run(self) -> None:
        planner = self.make_planner(4)
        on_demand = {"a": 2, "b": 3, "c": 2, "d": 2}
        self.accept_orders(planner, self.make_servers({}, on_demand), 0.0)
        kept = sum(planner.states[hall, False].number or 0 for hall in HALLS)
        self.assertGreaterEqual(kept, 3)
        self.accept_orders(planner, self.make_servers(dict.fromkeys(HALLS, 2), {"b": 3}), 5.0)
        self.accept_orders(planner, self.make_servers(dict.fromkeys(HALLS, 2), {"b": 3}), 10.0)
        self.assertEqual(sum(planner.states[hall, False].number or 0 for hall in HALLS), 0)

    def test_reclaimed_servers_are_replaced_where_it_costs_least(self) -> None:
        planner = self.make_planner(4)
        full = self.make_servers(dict.fromkeys(HALLS, 2))
        self.accept_orders(planner, full, 0.0)
        remaining = self.make_servers({"a": 2, "b": 0, "c": 2, "d": 0})
        for hall in ("b", "d"):
            planner.record_outcome(Order("model", hall, True, 2), False, 10.0)
        on_demand = [o for o in self.accept_orders(planner, remaining, 10.0) if not o.spot]
        self.assertEqual([(order.hall, order.number) for order in on_demand], [("b", 1)])

    def test_refused_order_is_retried_later(self) -> None:
        planner = self.make_planner(4)
        servers = self.make_servers({"a": 2, "b": 2, "c": 2})
        first = [o for o in planner.orders(self.renting, servers, 0.0) if o.hall == "d"]
        self.assertEqual(len(first), 1)
        planner.record_outcome(first[0], False, 0.0)
        self.assertEqual([o for o in planner.orders(self.renting, servers, 1.0) if o.spot], [])
        again = [o for o in planner.orders(self.renting, servers, 3.0) if o.spot]
        self.assertEqual([order.hall for order in again], ["d"])

    def test_on_demand_servers_are_released_before_any_demand(self) -> None:
        planner = self.make_planner(0, first_start=True)
        on_demand = {"a": 2, "b": 3, "c": 2, "d": 2}
        self.accept_orders(planner, self.make_servers({}, on_demand), 0.0)
        self.accept_orders(planner, self.make_servers({}, on_demand), 0.5)
        self.assertEqual(sum(planner.states[hall, False].number or 0 for hall in HALLS), 0)

    def test_servers_that_are_listed_late_are_released(self) -> None:
        planner = self.make_planner(0, first_start=True)
        self.accept_orders(planner, [], 0.0)
        self.accept_orders(planner, [], 0.5)
        late_listed = self.make_servers(dict.fromkeys(HALLS, 2), {"a": 2, "c": 1})
        orders = self.accept_orders(planner, late_listed, 12.0)
        on_demand = {order.hall: order.number for order in orders if not order.spot}
        self.assertEqual(on_demand, {"a": 0, "c": 0})

    def test_need_follows_its_peak(self) -> None:
        demand = Demand()
        for second in range(10):
            demand.record_total(second * 100_000.0, float(second))
            demand.record_need(4 if second == 5 else 3, float(second))
        self.assertEqual(demand.need(2, BOOT_S), NEED_FOUR)
        for second in range(10, 40):
            demand.record_total(1_000_000.0 + second, float(second))
            demand.record_need(3, float(second))
        self.assertEqual(demand.need(2, BOOT_S), NEED_THREE)

    def test_no_server_is_released_in_the_first_moments_of_demand(self) -> None:
        demand = Demand()
        for step in range(10):
            demand.record_total(step * 1_000.0, step * 0.5)
            demand.record_need(1, step * 0.5)
            self.assertEqual(demand.need(4, BOOT_S), NEED_FOUR)

    def test_shortest_target_of_the_service_counts(self) -> None:
        index = PlanIndex(make_plan())
        self.assertEqual(shortest_target_s(index, "model"), 0.5)
        self.assertEqual(shortest_target_s(index, "plain"), 0.2)

    def test_on_demand_servers_follow_a_peak_for_a_shorter_time(self) -> None:
        demand = Demand()
        for second in range(30):
            demand.record_total(second * 100_000.0, float(second))
            demand.record_need(9 if second == 12 else 3, float(second))
        self.assertEqual(demand.need(2, BOOT_S), Need(spot=9, on_demand=3))

    def test_missing_spot_servers_are_replaced_whatever_the_reserve(self) -> None:
        planner = self.make_planner(4)
        self.accept_orders(planner, self.make_servers(dict.fromkeys(HALLS, 2)), 0.0)
        for hall in HALLS:
            planner.record_outcome(Order("model", hall, True, 2), False, 10.0)
        with mock.patch("moledale.gateway.renting.RESERVE_SHARE", 0.0):
            orders = self.accept_orders(planner, self.make_servers({"a": 2}), 10.0)
        self.assertEqual(sum(order.number for order in orders if not order.spot), 2)

    def test_new_holder_releases_nothing_before_it_observed_demand(self) -> None:
        planner = RentingPlanner("model", first_start=True)
        listed = self.make_servers(dict.fromkeys(HALLS, 5), {"b": 3})
        for step in range(9):
            planner.demand.record_total(5e6 + step * 50_000.0, step * 0.5)
            self.assertEqual(planner.orders(self.renting, listed, step * 0.5), [])

    def test_restarted_holder_releases_nothing_while_it_sees_no_demand(self) -> None:
        planner = RentingPlanner("model")
        listed = self.make_servers(dict.fromkeys(HALLS, 5), {"b": 3})
        for step in range(9):
            planner.demand.record_total(0.0, step * 0.5)
            self.assertEqual(planner.orders(self.renting, listed, step * 0.5), [])

    def test_initial_need_follows_the_allowed_maximum(self) -> None:
        planner = RentingPlanner("model", first_start=True)
        self.assertEqual(planner.need(self.renting), NEED_FOUR)
        large = Renting(1, 15, 4.0, 0.15, self.renting.hall_prices)
        self.assertEqual(planner.need(large), Need(12, 12))


if __name__ == "__main__":
    unittest.main()
