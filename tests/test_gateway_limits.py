"""Limits of accounts and the budget of repeats, over all nodes."""

import unittest

from moledale.gateway.accounts import AccountLimits
from moledale.gateway.plan import (
    TOKENS,
    Account,
)
from moledale.gateway.retries import RetryBudget


class AccountLimitsTest(unittest.TestCase):
    account = Account("north", (), None, TOKENS, 200, 1_000.0, 2_000.0)

    def test_new_node_does_not_start_with_a_full_bucket(self) -> None:
        limits = AccountLimits()
        taken = sum(1 for _ in range(50) if limits.take(self.account, 100, 0.0) == 0.0)
        self.assertLess(taken, 20)
        self.assertGreater(taken, 4)

    def test_first_start_of_all_begins_with_a_full_bucket(self) -> None:
        limits = AccountLimits(1.0)
        taken = sum(1 for _ in range(50) if limits.take(self.account, 100, 0.0) == 0.0)
        self.assertEqual(taken, 20)

    def test_what_others_spent_before_a_nodes_first_request_counts(self) -> None:
        limits = AccountLimits(1.0)
        limits.configure([self.account], 0.0)
        limits.spent_elsewhere({}, {"north": 1_900.0}, 0.1)
        self.assertGreater(limits.take(self.account, 500, 0.1), 0.0)

    def test_nodes_together_keep_the_limit(self) -> None:
        nodes = [AccountLimits() for _ in range(4)]
        admitted = 0.0
        for step in range(400):
            now = step * 0.02
            before = [dict(node.spent) for node in nodes]
            for node in nodes:
                if node.take(self.account, 100, now) == 0.0:
                    admitted += 100
            for node in nodes:
                for other, spent in zip(nodes, before, strict=True):
                    if other is not node:
                        node.spent_elsewhere(spent, other.spent, now)
        self.assertLessEqual(admitted, 8 * 1_000 + 2_000 + 4 * 100)
        self.assertGreater(admitted, 0.8 * 8 * 1_000)

    def test_one_node_may_use_the_whole_limit(self) -> None:
        limits = AccountLimits()
        admitted = sum(
            100 for step in range(1_000) if limits.take(self.account, 100, step * 0.01) == 0.0
        )
        self.assertGreater(admitted, 9_000)

    def admitted_in(self, limits: AccountLimits, times: list[float]) -> list[float]:
        return [now for now in times if limits.take(self.account, 100, now) == 0.0]

    def test_each_window_has_the_burst_anew(self) -> None:
        window_s = 8.0
        times = [step * 0.01 for step in range(4_000)]
        admitted = self.admitted_in(AccountLimits(1.0, window_s), times)
        for begin in range(32):
            inside = 100 * sum(1 for now in admitted if begin <= now < begin + window_s)
            self.assertLessEqual(inside, 8 * 1_000 + 2_000)
        self.assertGreater(100 * len(admitted), 0.95 * 5 * (8 * 1_000 + 2_000))

    def test_window_counts_what_others_admitted(self) -> None:
        limits = AccountLimits(1.0, 8.0)
        limits.configure([self.account], 0.0)
        limits.spent_elsewhere({}, {"north": 10_000.0}, 0.1)
        self.assertEqual(self.admitted_in(limits, [0.1 + step * 0.1 for step in range(79)]), [])
        self.assertEqual(limits.take(self.account, 100, 8.5), 0.0)

    def test_wait_for_the_window_is_long_enough(self) -> None:
        limits = AccountLimits(1.0, 8.0)
        now = 0.0
        while (wait := limits.take(self.account, 500, now)) == 0.0:
            now += 0.35
        self.assertEqual(limits.take(self.account, 500, now + wait + 0.001), 0.0)

    def test_wait_is_the_time_until_the_amount_is_there(self) -> None:
        limits = AccountLimits()
        while (wait := limits.take(self.account, 500, 0.0)) == 0.0:
            pass
        self.assertGreater(limits.take(self.account, 500, wait / 2), 0.0)
        self.assertEqual(limits.take(self.account, 500, wait + 0.001), 0.0)

    def test_lower_limit_counts_at_once(self) -> None:
        limits = AccountLimits()
        limits.take(self.account, 1, 0.0)
        lower = Account("north", (), None, TOKENS, 200, 10.0, 100.0)
        self.assertGreater(limits.take(lower, 101, 1.0) + limits.take(lower, 100, 1.0), 0.0)

    def test_requests_without_tokens_cost_what_the_account_says(self) -> None:
        self.assertEqual(self.account.price(0), 200)
        self.assertEqual(self.account.price(70), 70)
        self.assertEqual(Account("x", rate_per_s=1.0).price(70), 1.0)


class RetryBudgetTest(unittest.TestCase):
    def test_all_nodes_together_stay_inside(self) -> None:
        budgets = [RetryBudget(0.2, 20.0, 10.0) for _ in range(9)]
        requests = repeats = 0
        for step in range(200):
            now = step * 0.05
            counts = [budget.counts(now) for budget in budgets]
            for number, budget in enumerate(budgets):
                budget.request(now)
                requests += 1
                others = [each for other, each in enumerate(counts) if other != number]
                if budget.allows(now, others, 9):
                    budget.repeat(now)
                    repeats += 1
        self.assertLessEqual(repeats, 0.2 * requests + 20)
        self.assertGreater(repeats, 0.05 * requests)

    def test_old_requests_give_no_room(self) -> None:
        budget = RetryBudget(0.2, 0.0, 10.0)
        for _ in range(100):
            budget.request(0.0)
        self.assertTrue(budget.allows(1.0, [], 1))
        self.assertFalse(budget.allows(12.0, [], 1))


if __name__ == "__main__":
    unittest.main()
