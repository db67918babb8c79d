"""Limits derived from the operators' settings scale with them when all are halved or doubled."""

import unittest

import msgspec

from moledale.core.rollouts import Exposure
from moledale.gateway.accounts import AccountLimits, Tolerance
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.fleet_watch import FleetWatch
from moledale.gateway.node import min_stop_s
from moledale.gateway.peers import Membership
from moledale.gateway.plan import TOKENS, Account, PlanIndex, Renting
from moledale.gateway.renting import Demand, Load, servers_for_load, shortest_target_s
from moledale.gateway.retries import RetryBudget
from moledale.gateway.server_model import Speed
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing
from moledale.gateway.usage import TrueTime, UsageCounts
from moledale.platform.engines import PlatformEngines
from tests.gateway_world import make_plan

FACTORS = (0.5, 1.0, 2.0)
NOT_SCALED = frozenset({"retry_ratio", "limit_share", "exposure_share"})
"""Ratios: the quantities that they apply to are scaled already."""


def scaled(bounds: Bounds, factor: float) -> Bounds:
    """Return bounds with all times and counts multiplied by a factor."""
    values = msgspec.structs.asdict(bounds)
    return Bounds(
        **{name: value if name in NOT_SCALED else factor * value for name, value in values.items()}
    )


class StatedBoundsTest(unittest.TestCase):
    bounds = Bounds(limit_window_s=8.0, limit_share=0.1, limit_tokens=1_000.0)
    account = Account("north", (), None, TOKENS, 200, 1_000.0, 20_000.0)

    def test_leave_and_stop_times_follow(self) -> None:
        for factor in FACTORS:
            bounds = scaled(self.bounds, factor)
            sharing = Sharing(Membership("n1", 1), bounds)
            evacuation = Evacuation(
                PlatformEngines(), LoadBalancer("a"), lambda: None, sharing.leave_s, lambda: 0.0
            )
            self.assertEqual(evacuation._default_notice_s, factor * self.bounds.leave_s)
            self.assertAlmostEqual(min_stop_s(bounds), factor * min_stop_s(self.bounds))

    def test_usable_age_of_a_server_list_follows(self) -> None:
        usable_s = []
        for factor in FACTORS:
            watch = FleetWatch(
                None,  # type: ignore[arg-type]
                TrueTime(),
                lambda: 0,
                lambda _: None,
                lambda _changes, _read: None,
                lambda _: None,
                lambda: 1.0,
                leave_s=scaled(self.bounds, factor).leave_s,
            )
            usable_s.append(watch._max_list_age_s / factor)
        self.assertEqual(len(set(usable_s)), 1)

    def test_account_limits_follow(self) -> None:
        levels = []
        for factor in FACTORS:
            bounds = scaled(self.bounds, factor)
            account = msgspec.structs.replace(
                self.account, rate_per_s=1_000.0, burst=factor * 20_000.0
            )
            tolerance = Tolerance(bounds.limit_share, bounds.limit_tokens)
            limits = AccountLimits(False, bounds.limit_window_s, tolerance, lambda: 4)
            limits.configure([account], 0.0)
            levels.append(limits.level(account, 0.0) / factor)
        self.assertEqual(len(set(levels)), 1)

    def test_retry_budget_follows(self) -> None:
        for factor in FACTORS:
            bounds = scaled(self.bounds, factor)
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
            for _ in range(int(100 * factor)):
                budget.record_request(0.0)
            allowed = 0
            while budget.allows(0.0, [], 1):
                budget.record_retry(0.0)
                allowed += 1
            self.assertEqual(allowed, 24 * factor)

    def test_usage_windows_follow(self) -> None:
        for factor in FACTORS:
            usage = UsageCounts(scaled(self.bounds, factor).usage_window_s)
            self.assertEqual(usage.window_of(1_000.0 * factor), 200)

    def test_free_trial_requests_follow(self) -> None:
        for factor in FACTORS:
            bounds = scaled(self.bounds, factor)
            exposure = Exposure(bounds.exposure_share, bounds.exposure_free).per_node(4)
            self.assertAlmostEqual(exposure.free, factor * 7.5)

    def test_shortest_target_for_renting_follows_the_targets(self) -> None:
        plan = make_plan()
        for factor in FACTORS:
            routes = tuple(
                msgspec.structs.replace(each, target_s=factor * each.target_s)
                for each in plan.routes
            )
            index = PlanIndex(msgspec.structs.replace(plan, routes=routes))
            self.assertAlmostEqual(shortest_target_s(index, "model"), factor * 0.5)

    def test_renting_follows_boot_times(self) -> None:
        plan = make_plan()
        speed = Speed(50_000.0, 0.02, 0.5, 4_000.0, 100)
        queued_tokens = 900_000.0
        needs = [
            servers_for_load(
                PlanIndex(plan), "model", 64, boot_s, Load(200_000.0, queued_tokens, 20), speed
            )
            for boot_s in (2.0, 4.0, 8.0)
        ]
        self.assertEqual(sorted(set(needs), reverse=True), needs)
        renting = Renting(1, 5, 4.0, 0.15, {"a": 1.0})
        for boot_s, on_demand in ((2.0, 2), (8.0, 6)):
            demand = Demand()
            for step in range(60):
                demand.record_total(step * 1_000.0, step * 0.5)
                demand.record_need(6 if step < 40 else 2, step * 0.5)
            slower = msgspec.structs.replace(renting, boot_s=boot_s)
            self.assertEqual(demand.need(2, slower.boot_s).on_demand, on_demand)


if __name__ == "__main__":
    unittest.main()
