"""What nodes count and agree on: limits, budgets, true time, usage, membership, renting."""

import time
import unittest
from math import ceil
from unittest import mock

import msgspec

from moledale.gateway.accounts import AccountLimits
from moledale.gateway.balance import ServerBook, note_silence
from moledale.gateway.directory import (
    LOAD_SHARE,
    REQUEST_CORE_S,
    power_of,
    rank_of,
    serving_nodes,
    should_serve,
    wanted_nodes,
)
from moledale.gateway.events import EventCutter
from moledale.gateway.fleet_watch import FleetWatch
from moledale.gateway.gossip import FleetNews
from moledale.gateway.messages import PromptPart, RequestFacts, Server
from moledale.gateway.neighbours import ROUND_S, Neighbours
from moledale.gateway.peers import ALIVE_S, LeaseNews, Membership, NodeState, Standing
from moledale.gateway.plan import (
    TOKENS,
    Account,
    Engine,
    Kind,
    Plan,
    PlanIndex,
    Renting,
    Route,
    Share,
    chosen_service,
)
from moledale.gateway.plan_watch import WATCHERS
from moledale.gateway.rate import Rate
from moledale.gateway.renting import SERVER_TOKENS_PER_S, Demand, Order, RentingPlanner
from moledale.gateway.retries import RetryBudget
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing
from moledale.gateway.usage import TrueTime, UsageCounts, total_of
from moledale.gateway.work import OWN_LIFE, WorkMeter

HALLS = ("a", "b", "c", "d")


def state(name: str, life: int = 1, sequence: int = 1, **changes: object) -> NodeState:
    """Return what a node tells."""
    values: dict[str, object] = {
        "id": name,
        "life": life,
        "sequence": sequence,
        "hall": "a",
        "address": f"{name}:1",
        "peer": f"{name}:2",
        "control": f"{name}:3",
        "standing": int(Standing.READY),
        "plan_version": 1,
        "started": {},
        "spent": {},
        "loads": {},
        "sends": {},
        "work": {},
    }
    return NodeState(**{**values, **changes})  # type: ignore[arg-type]


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


class TrueTimeTest(unittest.TestCase):
    def test_jumps_on_fewer_than_half_of_the_machines_change_nothing(self) -> None:
        clock = TrueTime()
        clock.store_read(100.0, 10.0, 10.0)
        clock.others([1_000.0, 1_000.01, 1_000.02, 1_000.0])
        self.assertAlmostEqual(clock.now(1_100.0, 10.0), 1_100.0, delta=0.05)
        self.assertAlmostEqual(clock.now(1_160.0, 10.0), 1_100.0, delta=0.05)
        clock.others([1_000.0, 1_000.01, 940.0, 1_000.0])
        self.assertAlmostEqual(clock.now(1_160.0, 10.0), 1_100.0, delta=0.05)

    def test_slow_call_does_not_move_the_clock(self) -> None:
        clock = TrueTime()
        clock.store_read(100.0, 10.0, 10.0)
        clock.store_read(105.0, 14.0, 15.6)
        self.assertAlmostEqual(clock.offset_s(0.0, 10.0) or 0.0, -100.0)


class UsageTest(unittest.TestCase):
    def test_counts_outlive_the_node_that_made_them(self) -> None:
        usage = UsageCounts(5.0)
        usage.count("north", 12.0)
        members = Membership("n1", 1)
        members.heard(state("n2", started={2: {"north": 4}}), 0.0)
        members.heard(state("n2", life=2, started={2: {"north": 1}}), 1.0)
        members.heard(state("n1", life=9, started={2: {"north": 7}}), 1.0)
        self.assertEqual(total_of(2, usage, members.all_states()), {"north": 13})

    def test_doubled_and_late_news_count_once(self) -> None:
        members = Membership("n1", 1)
        new = state("n2", sequence=5, started={2: {"north": 4}})
        members.heard(new, 0.0)
        self.assertIsNone(members.heard(new, 0.1))
        self.assertIsNone(members.heard(state("n2", sequence=4), 0.1))
        members.heard(state("n2", life=2), 0.2)
        self.assertIsNone(members.heard(state("n2", life=1, sequence=9), 0.3))
        self.assertEqual(total_of(2, UsageCounts(5.0), members.all_states()), {"north": 4})


class MembershipTest(unittest.TestCase):
    def test_silent_node_is_left_out_and_its_counts_are_kept(self) -> None:
        members = Membership("n1", 1)
        members.heard(state("n2"), 0.0)
        self.assertEqual([each.id for each in members.alive(0.9)], ["n2"])
        self.assertEqual(members.alive(ALIVE_S + 0.1), [])
        members.forget_old(ALIVE_S + 0.1)
        self.assertEqual(len(members.all_states()), 1)
        members.forget_old(100.0)
        self.assertEqual(members.all_states(), [])


class DirectoryTest(unittest.TestCase):
    def settle(self, nodes: list[NodeState]) -> list[NodeState]:
        """Let each node decide from what all others say, round by round."""
        for _ in range(4):
            nodes = [
                msgspec.structs.replace(
                    node, serving=should_serve(node, [each for each in nodes if each is not node])
                )
                for node in nodes
            ]
        return nodes

    def test_one_node_in_each_hall_serves_and_the_holder_last(self) -> None:
        nodes = self.settle([state(f"n{n}", hall=HALLS[n % 3]) for n in range(9)])
        chosen = serving_nodes(nodes)
        self.assertEqual(sorted(node.hall for node in chosen), ["a", "b", "c"])
        lease = LeaseNews(1, 1, 0.0)
        nodes = [
            msgspec.structs.replace(node, lease=lease if node.id == chosen[0].id else None)
            for node in nodes
        ]
        without = serving_nodes(self.settle(nodes))
        self.assertEqual(len(without), 3)
        self.assertNotIn(chosen[0].id, [node.id for node in without])

    def test_holder_serves_where_it_is_alone(self) -> None:
        alone = self.settle([state("n1", lease=LeaseNews(1, 1, 0.0))])
        self.assertTrue(alone[0].serving)

    def test_strong_nodes_serve_first(self) -> None:
        nodes = [state(f"n{n}", power=power_of(1.0, 5.0 if n else 100.0)) for n in range(6)]
        self.assertEqual([node.id for node in serving_nodes(self.settle(nodes))], ["n0"])

    def test_nodes_that_leave_or_start_are_not_told(self) -> None:
        nodes = [
            state("n1", standing=int(Standing.LEAVING), serving=True),
            state("n2", standing=int(Standing.STARTING), serving=True),
        ]
        self.assertEqual(serving_nodes(nodes), [])
        self.assertFalse(should_serve(nodes[0], []))

    def test_place_of_a_silent_node_is_taken(self) -> None:
        members = Membership("n1", 1)
        neighbours = Neighbours(members, "n1:2", 0.0)
        own = state("n1")
        better = next(name for name in map(str, range(99)) if rank_of(state(name)) < rank_of(own))
        members.heard(state(better, serving=True), 1.0)
        self.assertFalse(neighbours.decide(own, 1.0))
        self.assertFalse(neighbours.serving)
        self.assertTrue(neighbours.decide(own, 1.0 + ALIVE_S + 0.1))
        self.assertTrue(neighbours.serving)


class ServingByDemandTest(unittest.TestCase):
    def serving(self, number: int, per_s: float, power: float = 10.0) -> list[NodeState]:
        """Return a hall's serving nodes that have `per_s` requests a second together."""
        return [
            state(f"s{n}", serving=True, power=power, requests_per_s=per_s / number)
            for n in range(number)
        ]

    def test_played_days_need_one_node_a_hall(self) -> None:
        own = state("n1", power=5.0)
        self.assertEqual(wanted_nodes(own, self.serving(1, 40.0, power=5.0)), 1)
        self.assertEqual(wanted_nodes(own, []), 1)

    def test_target_has_as_many_serve_as_its_requests_need(self) -> None:
        own = state("n1", power=10.0)
        wanted = wanted_nodes(own, self.serving(1, 7_400 / 7))
        self.assertGreaterEqual(wanted * LOAD_SHARE / REQUEST_CORE_S, 7_400 / 7)
        self.assertLessEqual(wanted, 7)

    def test_other_halls_and_nodes_in_reserve_do_not_count(self) -> None:
        own = state("n1", power=10.0)
        others = [
            state("x", hall="b", serving=True, power=10.0, requests_per_s=5_000.0),
            state("y", serving=False, power=10.0, requests_per_s=5_000.0),
        ]
        self.assertEqual(wanted_nodes(own, [*others, *self.serving(1, 10.0)]), 1)

    def test_small_changes_of_load_change_nothing(self) -> None:
        own = state("n1", power=10.0)
        most_of_two = 2 * LOAD_SHARE / REQUEST_CORE_S
        for share in (1.0, 0.9, 0.8, 0.7):
            self.assertEqual(wanted_nodes(own, self.serving(2, share * most_of_two)), 2)
        self.assertEqual(wanted_nodes(own, self.serving(2, 0.2 * most_of_two)), 1)

    def test_hall_settles_on_the_number_that_its_requests_need(self) -> None:
        total = 700.0
        nodes = [state(f"n{n}", power=10.0) for n in range(12)]
        settled: list[int] = []
        for _ in range(40):
            number = max(1, sum(node.serving for node in nodes))
            nodes = [
                msgspec.structs.replace(
                    node, requests_per_s=total / number if node.serving else 0.0
                )
                for node in nodes
            ]
            for index, node in enumerate(nodes):
                heard = nodes[:index] + nodes[index + 1 :]
                serves = should_serve(node, heard, wanted_nodes(node, heard))
                nodes[index] = msgspec.structs.replace(node, serving=serves)
                settled.append(sum(node.serving for node in nodes))
        needed = ceil(total * REQUEST_CORE_S / LOAD_SHARE)
        self.assertGreaterEqual(settled[-1], needed)
        self.assertLessEqual(settled[-1], needed + 1)
        self.assertEqual(len(set(settled[-10 * len(nodes) :])), 1, "they take turns")

    def test_rate_follows_a_counter(self) -> None:
        rate = Rate()
        for step in range(100):
            rate.note(step * 20, step * 0.2)
        self.assertAlmostEqual(rate.per_s, 100.0, delta=1.0)


class NeighboursTest(unittest.TestCase):
    def crowd(self, serving: bool) -> tuple[Neighbours, NodeState]:
        members = Membership("n0", 1)
        neighbours = Neighbours(members, "n0:2", 0.0)
        for number in range(1, 390):
            other = state(f"n{number}", hall=HALLS[number % 4], serving=number <= 8)
            members.heard(other, 10.0)
            neighbours.addresses.add(other.peer, 10.0)
        neighbours.serving = serving
        return neighbours, state("n0")

    def test_few_nodes_all_tell_all(self) -> None:
        neighbours = Neighbours(Membership("n0", 1), "n0:2", 0.0)
        for number in range(8):
            neighbours.addresses.add(f"n{number}:2", 0.0)
        self.assertEqual(len(neighbours.targets(state("n0"), 1.0)), 7)

    def test_node_in_reserve_tells_few_and_seldom(self) -> None:
        neighbours, own = self.crowd(serving=False)
        told = [len(neighbours.targets(own, 10.0 + n * ROUND_S)) for n in range(50)]
        self.assertLessEqual(sum(told) / (50 * ROUND_S), 5.0)

    def test_serving_nodes_tell_each_other_each_round(self) -> None:
        neighbours, own = self.crowd(serving=True)
        brief = 0
        for number in range(5):
            targets = neighbours.targets(own, 10.0 + number * ROUND_S)
            self.assertEqual({f"n{number}:2" for number in range(1, 9)}, set(targets))
            brief += len(neighbours.reserves(targets, 10.0))
        self.assertEqual(brief, 389 - 8)

    def test_placements_go_to_all_that_serve_or_to_the_halls_own_of_many(self) -> None:
        members = Membership("n0", 1)
        neighbours = Neighbours(members, "n0:2", 0.0)
        for number in range(1, 41):
            members.heard(state(f"n{number}", hall=HALLS[number % 4], serving=number <= 8), 10.0)
        self.assertEqual(len(neighbours.sharers("a", 10.0)), 8)
        for number in range(1, 41):
            members.heard(
                state(f"n{number}", sequence=2, hall=HALLS[number % 4], serving=True), 10.0
            )
        self.assertEqual(len(neighbours.sharers("a", 10.0)), 10)

    def test_one_serving_node_that_reaches_the_store_is_enough_for_those_in_reserve(self) -> None:
        members = Membership("n0", 1)
        neighbours = Neighbours(members, "n0:2", 0.0)
        for number in range(1, 40):
            neighbours.addresses.add(f"n{number}:2", 10.0)
        own = state("n0")
        self.assertEqual(neighbours.watch_turn(own, 10.0), 0)
        members.heard(state("n1", serving=True, store_age_s=0.2), 10.0)
        self.assertGreaterEqual(neighbours.watch_turn(own, 10.0), WATCHERS)
        members.heard(state("n1", serving=True, sequence=2, store_age_s=60.0), 10.0)
        self.assertEqual(neighbours.watch_turn(own, 10.0), 0)

    def test_shortened_state_changes_no_counts(self) -> None:
        members = Membership("n1", 1)
        full = state("n2", sequence=1, started={2: {"north": 4}}, spent={"north": 900.0})
        short = msgspec.structs.replace(full, sequence=2).shortened()
        more = msgspec.structs.replace(full, sequence=3, spent={"north": 950.0})
        sharing = Sharing(members, Bounds())
        limits = AccountLimits(1.0)
        account = Account("north", (), None, TOKENS, 200, 0.001, 2_000.0)
        limits.configure([account], time.monotonic())
        for news in (full, short, more):
            self.assertTrue(sharing.heard(news, limits))
        self.assertEqual(members.all_states()[0].started, {2: {"north": 4}})
        self.assertAlmostEqual(limits.level(account, time.monotonic()), 1_950.0, delta=1.0)

    def test_shortened_state_first_draws_nothing(self) -> None:
        sharing = Sharing(Membership("n1", 1), Bounds())
        limits = AccountLimits(1.0)
        account = Account("north", (), None, TOKENS, 200, 0.001, 2_000.0)
        limits.configure([account], time.monotonic())
        full = state("n2", sequence=2, spent={"north": 900.0})
        sharing.heard(msgspec.structs.replace(full, sequence=1).shortened(), limits)
        sharing.heard(full, limits)
        sharing.heard(msgspec.structs.replace(full, sequence=3, spent={"north": 950.0}), limits)
        self.assertAlmostEqual(limits.level(account, time.monotonic()), 1_950.0, delta=1.0)


class RoutesTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        def route(name: str, host: str, prefix: str) -> Route:
            return Route(name, host, prefix, Kind.SAFE, (Share(name),), 1.0, 1.0)

        routes = (
            route("short", "x", "/a/"),
            route("long", "x", "/a/b/"),
            route("other", "y", "/"),
        )
        index = PlanIndex(Plan(1, routes, ()))
        names = {
            ("x", "/a/c"): "short",
            ("X:80", "/a/b/c/d?e=/a/b/z/"): "long",
            ("x", "/a/b"): "short",
            ("x", "/a"): None,
            ("x", "/a?/a/b/"): None,
            ("y", "/a/b/"): "other",
            ("z", "/a/"): None,
        }
        for (host, path), name in names.items():
            found = index.route(host, path)
            self.assertEqual(found.name if found else None, name, (host, path))

    def test_split_by_weight(self) -> None:
        shares = (Share("one", 90), Share("two", 10))
        route = Route("r", "x", "/", Kind.SAFE, shares, 1.0, 1.0)
        picks = [chosen_service(route, number / 1000) for number in range(1000)]
        self.assertEqual(picks.count("two"), 100)


class BalanceTest(unittest.TestCase):
    engine = Engine(4, 50_000, 1, 1000.0)

    def book(self, number: int = 4) -> ServerBook:
        book = ServerBook("a")
        book.apply(Server(f"s{n}", "model", f"s{n}:1", "a", 4) for n in range(number))
        return book

    def facts(self, subject: str, own: str) -> RequestFacts:
        parts = (PromptPart(subject, 8_000), PromptPart(own, 1_000))
        return RequestFacts(prompt_tokens=9_000, parts=parts)

    def test_requests_of_one_subject_meet_on_one_server_on_all_nodes(self) -> None:
        places = set()
        for node in range(3):
            book = self.book()
            placement = book.place("model", self.facts("subject", f"own{node}"), self.engine, 0.0)
            assert placement is not None
            places.add(placement.view.server.id)
        self.assertEqual(len(places), 1)

    def test_crowded_server_gives_way(self) -> None:
        book = self.book()
        for number in range(12):
            book.place("model", self.facts("subject", f"own{number}"), self.engine, 0.0)
        running = sorted(view.running for view in book.views.values())
        self.assertLess(running[-1], 6)

    def test_load_of_peers_counts_and_ends_with_them(self) -> None:
        book = self.book(2)
        home = book.place("model", self.facts("subject", "x"), self.engine, 0.0)
        assert home is not None
        home.end()
        name = home.view.server.id
        book.others([state("n2", loads={name: (4, 90_000)})])
        other = book.place("model", self.facts("subject", "y"), self.engine, 0.0)
        assert other is not None
        self.assertNotEqual(other.view.server.id, name)
        other.end()
        book.others([])
        again = book.place("model", self.facts("subject", "z"), self.engine, 0.0)
        assert again is not None
        self.assertEqual(again.view.server.id, name)

    def test_silent_server_is_paused_unless_it_is_the_only_one(self) -> None:
        book = self.book(2)
        note_silence(book.views["s0"], 0.0)
        ready = book.ready("model", 0.1, frozenset())
        self.assertEqual([view.server.id for view in ready], ["s1"])
        note_silence(book.views["s1"], 0.0)
        self.assertEqual(len(book.ready("model", 0.1, frozenset())), 2)

    def test_server_that_says_nothing_gets_no_more(self) -> None:
        book = ServerBook("a")
        book.apply(Server(f"s{n}", "plain", f"s{n}:1", "a", 4) for n in range(2))
        first = book.place("plain", RequestFacts(), None, 10.0)
        assert first is not None
        book.pause_silent(10.1)
        self.assertEqual(len(book.ready("plain", 10.1, frozenset())), 2)
        book.pause_silent(10.5)
        left = [view.server.id for view in book.ready("plain", 10.5, frozenset())]
        self.assertEqual(len(left), 1)
        self.assertNotIn(first.view.server.id, left)
        first.view.heard_at = 10.6
        self.assertEqual(first.view.silent_s(10.6), 0.0)

    def test_ended_placement_ends_once(self) -> None:
        book = self.book(1)
        placement = book.place("model", self.facts("s", "o"), self.engine, 0.0)
        assert placement is not None
        placement.first_token()
        placement.end()
        placement.end()
        view = book.views["s0"]
        self.assertEqual((view.running, view.prefill_tokens), (0, 0))


class EventCutterTest(unittest.TestCase):
    def test_whole_events_at_every_cut(self) -> None:
        text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\nid: 30\ndata: c\n\n"
        for first in range(len(text)):
            cutter = EventCutter()
            out = cutter.feed(text[:first]) + cutter.feed(text[first:])
            self.assertEqual((out + cutter.rest(), cutter.last_id), (text, "30"))

    def test_torn_part_is_dropped_before_going_on(self) -> None:
        cutter = EventCutter()
        self.assertEqual(cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n")
        cutter.start_again()
        self.assertEqual(cutter.feed(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n")
        self.assertEqual((cutter.last_id, cutter.passed), ("2", 2))


class LapsedServersTest(unittest.TestCase):
    """Entries that lapse while the store is away belong to servers that may well live."""

    def setUp(self) -> None:
        self.taken: list[set[str]] = []
        self.watch = FleetWatch(
            None,  # type: ignore[arg-type]
            TrueTime(),
            lambda: 0,
            lambda servers: self.taken.append({server.id for server in servers}),
            lambda _: None,
        )
        self.version = 0
        self.now = 1_000.0
        clock = mock.patch("moledale.gateway.fleet_watch.time.monotonic", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)

    def list_at(self, now: float, *names: str, leaving: str = "") -> set[str]:
        """Hear a list and return the servers that are believed then."""
        self.now = now
        self.version += 1
        servers = [
            Server(name, "model", f"{name}:1", "a", 64, leaving=name == leaving) for name in names
        ]
        self.watch.heard(FleetNews(self.version, self.version, 0.0, servers))
        return self.taken[-1]

    def test_server_missing_in_calm_times_is_gone_at_once(self) -> None:
        self.list_at(1_000.0, "s1", "s2")
        self.assertEqual(self.list_at(1_000.8, "s1"), {"s1"})

    def test_servers_that_lapsed_during_an_outage_are_kept_until_they_are_back(self) -> None:
        self.list_at(1_000.0, "s1", "s2", "s3")
        self.assertEqual(self.list_at(1_006.0, "s1"), {"s1", "s2", "s3"})
        self.assertEqual(self.list_at(1_006.8, "s1", "s2"), {"s1", "s2", "s3"})
        self.assertEqual(self.list_at(1_008.0, "s1", "s2"), {"s1", "s2"})

    def test_server_still_missing_is_dropped_though_the_list_does_not_change(self) -> None:
        self.list_at(1_000.0, "s1", "s2")
        self.list_at(1_006.0, "s1")
        self.now = 1_008.0
        digest = self.watch._digest
        self.watch.heard(FleetNews(self.version, digest, 0.0, None))
        self.assertEqual(self.taken[-1], {"s1"})

    def test_server_that_was_leaving_is_not_kept(self) -> None:
        self.list_at(1_000.0, "s1", "s2", leaving="s2")
        self.assertEqual(self.list_at(1_006.0, "s1"), {"s1"})


class WorkMeterTest(unittest.TestCase):
    def test_past_of_a_node_first_heard_now_is_no_demand(self) -> None:
        meter = WorkMeter()
        meter.note(OWN_LIFE, {})
        meter.note_all([state("n1", work={"model": 3_000_000})])
        meter.note(OWN_LIFE, {"model": 700})
        meter.note_all([state("n1", sequence=2, work={"model": 3_000_500})])
        self.assertEqual(meter.total, {"model": 1_200})

    def test_each_life_counts_for_itself(self) -> None:
        meter = WorkMeter()
        meter.note_all([state("n1", life=1, work={"model": 100})])
        meter.note_all([state("n1", life=1, work={"model": 150}), state("n1", life=2)])
        meter.note_all(
            [state("n1", life=1, work={"model": 160}), state("n1", life=2, work={"model": 40})]
        )
        self.assertEqual(meter.total, {"model": 100})

    def test_life_that_was_forgotten_begins_anew(self) -> None:
        meter = WorkMeter()
        meter.note_all([state("n1", work={"model": 100})])
        meter.note_all([])
        meter.note_all([state("n1", work={"model": 900})])
        self.assertEqual(meter.total, {})

    def test_demand_of_a_holder_that_just_started_is_that_of_the_moment(self) -> None:
        meter = WorkMeter()
        demand = Demand()
        for step in range(12):
            placed = 5_000_000 + step * 50_000 if step >= 2 else 0
            states = [state("n1", sequence=step + 1, work={"model": placed})] if placed else []
            meter.note_all(states)
            demand.note(meter.total.get("model", 0), step * 0.5)
        self.assertLess(demand.rate, 1.1 * 100_000)


class RentingTest(unittest.TestCase):
    renting = Renting(1, 5, 4.0, 0.15, {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9})

    def setUp(self) -> None:
        """Begin with four of the twenty servers allowed, whatever the share is tuned to."""
        share = mock.patch("moledale.gateway.renting.START_SHARE", 4 / 20)
        share.start()
        self.addCleanup(share.stop)

    def planner(self, need: int, first_start: bool = False) -> RentingPlanner:
        planner = RentingPlanner("model", first_start)
        if need:
            for step in range(12):
                planner.demand.note(step * need * SERVER_TOKENS_PER_S * 0.99 / 2, step / 2 - 6.0)
        return planner

    def servers(self, spot: dict[str, int], firm: dict[str, int] | None = None) -> list[Server]:
        kinds = ((spot, True), (firm or {}, False))
        return [
            Server(f"{hall}{number}{is_spot}", "model", "x:1", hall, 64, spot=is_spot)
            for counts, is_spot in kinds
            for hall, count in counts.items()
            for number in range(count)
        ]

    def carry_out(self, planner: RentingPlanner, servers: list[Server], now: float) -> list[Order]:
        orders = planner.orders(self.renting, servers, now)
        for order in orders:
            planner.ordered(order, True, now)
        return orders

    def test_spot_is_spread_and_ordered_once(self) -> None:
        planner = self.planner(4)
        firm = {"a": 2, "b": 3, "c": 2, "d": 2}
        orders = self.carry_out(planner, self.servers({}, firm), 0.0)
        spot = {order.hall: order.number for order in orders if order.spot}
        self.assertEqual(spot, dict.fromkeys(HALLS, 2))
        self.assertEqual(
            [o for o in self.carry_out(planner, self.servers({}, firm), 1.0) if o.spot], []
        )

    def test_servers_on_demand_stay_until_spot_runs(self) -> None:
        planner = self.planner(4)
        firm = {"a": 2, "b": 3, "c": 2, "d": 2}
        self.carry_out(planner, self.servers({}, firm), 0.0)
        kept = sum(planner.states[hall, False].number or 0 for hall in HALLS)
        self.assertGreaterEqual(kept, 3)
        self.carry_out(planner, self.servers(dict.fromkeys(HALLS, 2), {"b": 3}), 5.0)
        self.carry_out(planner, self.servers(dict.fromkeys(HALLS, 2), {"b": 3}), 10.0)
        self.assertEqual(sum(planner.states[hall, False].number or 0 for hall in HALLS), 0)

    def test_reclaimed_halls_are_made_up_where_it_costs_least(self) -> None:
        planner = self.planner(4)
        full = self.servers(dict.fromkeys(HALLS, 2))
        self.carry_out(planner, full, 0.0)
        two_left = self.servers({"a": 2, "b": 0, "c": 2, "d": 0})
        for hall in ("b", "d"):
            planner.ordered(Order("model", hall, True, 2), False, 10.0)
        firm = [o for o in self.carry_out(planner, two_left, 10.0) if not o.spot]
        self.assertEqual([(order.hall, order.number) for order in firm], [("b", 1)])

    def test_refused_hall_is_asked_again_later(self) -> None:
        planner = self.planner(4)
        servers = self.servers({"a": 2, "b": 2, "c": 2})
        first = [o for o in planner.orders(self.renting, servers, 0.0) if o.hall == "d"]
        self.assertEqual(len(first), 1)
        planner.ordered(first[0], False, 0.0)
        self.assertEqual([o for o in planner.orders(self.renting, servers, 1.0) if o.spot], [])
        again = [o for o in planner.orders(self.renting, servers, 3.0) if o.spot]
        self.assertEqual([order.hall for order in again], ["d"])

    def test_nothing_served_yet_gives_servers_back_before_spot_runs(self) -> None:
        planner = self.planner(0, first_start=True)
        firm = {"a": 2, "b": 3, "c": 2, "d": 2}
        self.carry_out(planner, self.servers({}, firm), 0.0)
        self.carry_out(planner, self.servers({}, firm), 0.5)
        self.assertEqual(sum(planner.states[hall, False].number or 0 for hall in HALLS), 0)

    def test_servers_that_the_list_tells_late_are_given_back(self) -> None:
        planner = self.planner(0, first_start=True)
        self.carry_out(planner, [], 0.0)
        self.carry_out(planner, [], 0.5)
        late = self.servers(dict.fromkeys(HALLS, 2), {"a": 2, "c": 1})
        orders = self.carry_out(planner, late, 12.0)
        firm = {order.hall: order.number for order in orders if not order.spot}
        self.assertEqual(firm, {"a": 0, "c": 0})

    def test_demand_follows_its_peak(self) -> None:
        demand = Demand()
        for second in range(10):
            demand.note(second * 100_000.0, float(second))
        self.assertEqual(demand.need(2), 4)
        for second in range(10, 40):
            demand.note(1_000_000.0 + second, float(second))
        self.assertLess(demand.need(2), 4)

    def test_first_moments_of_demand_give_no_server_back(self) -> None:
        demand = Demand()
        for step in range(10):
            demand.note(step * 1_000.0, step * 0.5)
            self.assertEqual(demand.need(4), 4)

    def test_new_holder_gives_nothing_back_before_it_has_watched_demand(self) -> None:
        planner = RentingPlanner("model", first_start=True)
        many = self.servers(dict.fromkeys(HALLS, 5), {"b": 3})
        for step in range(9):
            planner.demand.note(5e6 + step * 50_000.0, step * 0.5)
            self.assertEqual(planner.orders(self.renting, many, step * 0.5), [])

    def test_restarted_holder_that_sees_no_demand_yet_gives_nothing_back(self) -> None:
        planner = RentingPlanner("model")
        many = self.servers(dict.fromkeys(HALLS, 5), {"b": 3})
        for step in range(9):
            planner.demand.note(0.0, step * 0.5)
            self.assertEqual(planner.orders(self.renting, many, step * 0.5), [])

    def test_what_is_allowed_tells_what_to_begin_with(self) -> None:
        planner = RentingPlanner("model", first_start=True)
        self.assertEqual(planner.need(self.renting), 4)
        large = Renting(1, 15, 4.0, 0.15, self.renting.hall_prices)
        self.assertEqual(planner.need(large), 12)


if __name__ == "__main__":
    unittest.main()
