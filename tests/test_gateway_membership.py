"""Tests which nodes count as alive, which serve callers, and the targets of their gossip."""

import unittest
from collections import Counter
from math import ceil

import msgspec

from moledale.clock import monotonic
from moledale.gateway.accounts import AccountLimits
from moledale.gateway.directory import (
    CORE_S_PER_REQUEST,
    MAX_LOAD_SHARE,
    power_of,
    rank_of,
    serving_nodes,
    should_serve,
    wanted_nodes,
)
from moledale.gateway.neighbours import GOSSIP_INTERVAL_S, RING_SUCCESSORS, Neighbours
from moledale.gateway.peers import ALIVE_TIMEOUT_S, LeaseNews, Membership, NodeState, Standing
from moledale.gateway.plan import (
    TOKENS,
    Account,
)
from moledale.gateway.rate import Rate
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing
from tests.gateway_states import HALLS, make_state


class MembershipTest(unittest.TestCase):
    def test_silent_node_is_left_out_but_its_counts_are_kept(self) -> None:
        members = Membership("n1", 1)
        members.merge(make_state("n2"), 0.0)
        self.assertEqual([each.id for each in members.alive(0.9)], ["n2"])
        self.assertEqual(members.alive(ALIVE_TIMEOUT_S + 0.1), [])
        members.forget_old(ALIVE_TIMEOUT_S + 0.1)
        self.assertEqual(len(members.all_states()), 1)
        members.forget_old(100.0)
        self.assertEqual(members.all_states(), [])


class DirectoryTest(unittest.TestCase):
    def settle(self, nodes: list[NodeState]) -> list[NodeState]:
        """Let each node decide from the states of all others whether it serves, for four rounds."""
        for _ in range(4):
            nodes = [
                msgspec.structs.replace(
                    node, serving=should_serve(node, [each for each in nodes if each is not node])
                )
                for node in nodes
            ]
        return nodes

    def test_one_node_in_each_hall_serves_and_the_lease_holder_comes_last(self) -> None:
        nodes = self.settle([make_state(f"n{n}", hall=HALLS[n % 3]) for n in range(9)])
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

    def test_lease_holder_serves_if_it_is_alone(self) -> None:
        alone = self.settle([make_state("n1", lease=LeaseNews(1, 1, 0.0))])
        self.assertTrue(alone[0].serving)

    def test_nodes_with_more_capacity_serve_first(self) -> None:
        nodes = [make_state(f"n{n}", power=power_of(1.0, 5.0 if n else 100.0)) for n in range(6)]
        self.assertEqual([node.id for node in serving_nodes(self.settle(nodes))], ["n0"])

    def test_leaving_and_starting_nodes_are_not_in_the_directory(self) -> None:
        nodes = [
            make_state("n1", standing=int(Standing.LEAVING), serving=True),
            make_state("n2", standing=int(Standing.STARTING), serving=True),
        ]
        self.assertEqual(serving_nodes(nodes), [])
        self.assertFalse(should_serve(nodes[0], []))

    def test_silent_serving_node_is_replaced(self) -> None:
        members = Membership("n1", 1)
        neighbours = Neighbours(members, "n1:2", 0.0)
        own = make_state("n1")
        better = next(
            name for name in map(str, range(99)) if rank_of(make_state(name)) < rank_of(own)
        )
        members.merge(make_state(better, serving=True), 1.0)
        self.assertFalse(neighbours.update_serving(own, 1.0))
        self.assertFalse(neighbours.serving)
        self.assertTrue(neighbours.update_serving(own, 1.0 + ALIVE_TIMEOUT_S + 0.1))
        self.assertTrue(neighbours.serving)


class ServingByDemandTest(unittest.TestCase):
    def make_serving_nodes(self, number: int, per_s: float, power: float = 10.0) -> list[NodeState]:
        """Return serving nodes of a hall that together get `per_s` requests per second."""
        return [
            make_state(f"s{n}", serving=True, power=power, requests_per_s=per_s / number)
            for n in range(number)
        ]

    def test_light_load_needs_one_node_per_hall(self) -> None:
        own = make_state("n1", power=5.0)
        self.assertEqual(wanted_nodes(own, self.make_serving_nodes(1, 40.0, power=5.0)), 1)
        self.assertEqual(wanted_nodes(own, []), 1)

    def test_heavy_load_has_as_many_nodes_serve_as_it_needs(self) -> None:
        own = make_state("n1", power=10.0)
        wanted = wanted_nodes(own, self.make_serving_nodes(1, 7_400 / 7))
        self.assertGreaterEqual(wanted * MAX_LOAD_SHARE / CORE_S_PER_REQUEST, 7_400 / 7)
        self.assertLessEqual(wanted, 7)

    def test_other_halls_and_nodes_in_reserve_do_not_count(self) -> None:
        own = make_state("n1", power=10.0)
        peers = [
            make_state("x", hall="b", serving=True, power=10.0, requests_per_s=5_000.0),
            make_state("y", serving=False, power=10.0, requests_per_s=5_000.0),
        ]
        self.assertEqual(wanted_nodes(own, [*peers, *self.make_serving_nodes(1, 10.0)]), 1)

    def test_small_changes_of_load_do_not_change_the_number_of_serving_nodes(self) -> None:
        own = make_state("n1", power=10.0)
        max_load_of_two = 2 * MAX_LOAD_SHARE / CORE_S_PER_REQUEST
        for share in (1.0, 0.9, 0.8, 0.7):
            self.assertEqual(
                wanted_nodes(own, self.make_serving_nodes(2, share * max_load_of_two)), 2
            )
        self.assertEqual(wanted_nodes(own, self.make_serving_nodes(2, 0.2 * max_load_of_two)), 1)

    def test_hall_settles_on_the_number_that_its_requests_need(self) -> None:
        total = 700.0
        nodes = [make_state(f"n{n}", power=10.0) for n in range(12)]
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
                peers = nodes[:index] + nodes[index + 1 :]
                serves = should_serve(node, peers, wanted_nodes(node, peers))
                nodes[index] = msgspec.structs.replace(node, serving=serves)
                settled.append(sum(node.serving for node in nodes))
        needed = ceil(total * CORE_S_PER_REQUEST / MAX_LOAD_SHARE)
        self.assertGreaterEqual(settled[-1], needed)
        self.assertLessEqual(settled[-1], needed + 1)
        self.assertEqual(len(set(settled[-10 * len(nodes) :])), 1, "serving nodes flap")

    def test_rate_follows_a_counter(self) -> None:
        rate = Rate()
        for step in range(100):
            rate.observe(step * 20, step * 0.2)
        self.assertAlmostEqual(rate.per_s, 100.0, delta=1.0)


class NeighboursTest(unittest.TestCase):
    def make_large_cluster(self, serving: bool) -> tuple[Neighbours, NodeState]:
        members = Membership("n0", 1)
        neighbours = Neighbours(members, "n0:2", 0.0)
        for number in range(1, 390):
            other = make_state(f"n{number}", hall=HALLS[number % 4], serving=number <= 8)
            members.merge(other, 10.0)
            neighbours.addresses.add(other.peer, 10.0)
        neighbours.serving = serving
        return neighbours, make_state("n0")

    def test_small_cluster_gossips_in_full_mesh(self) -> None:
        neighbours = Neighbours(Membership("n0", 1), "n0:2", 0.0)
        for number in range(8):
            neighbours.addresses.add(f"n{number}:2", 0.0)
        self.assertEqual(len(neighbours.state_targets(make_state("n0"), 1.0)), 7)

    def test_node_in_reserve_sends_few_states(self) -> None:
        neighbours, own = self.make_large_cluster(serving=False)
        sent = [len(neighbours.state_targets(own, 10.0 + n * GOSSIP_INTERVAL_S)) for n in range(50)]
        self.assertLessEqual(sum(sent) / (50 * GOSSIP_INTERVAL_S), 5.0)

    def test_full_states_reach_a_lease_holder_that_only_others_hear(self) -> None:
        """Guards against usage that lacks the counts of nodes which do not hear the holder."""
        for serving in (False, True):
            neighbours, own = self.make_large_cluster(serving)
            neighbours.members.merge(make_state("n300", sequence=2), 0.0)
            rounds = [
                neighbours.state_targets(own, 10.0 + n * GOSSIP_INTERVAL_S, "n300")
                for n in range(5)
            ]
            told = sum("n300:2" in targets for targets in rounds)
            self.assertEqual(told, 5 if serving else 1)

    def test_serving_nodes_send_full_states_to_each_other_each_round(self) -> None:
        neighbours, own = self.make_large_cluster(serving=True)
        brief_count = 0
        for number in range(5):
            targets = neighbours.state_targets(own, 10.0 + number * GOSSIP_INTERVAL_S)
            self.assertEqual({f"n{number}:2" for number in range(1, 9)}, set(targets))
            brief_count += len(neighbours.brief_targets(own, targets, 10.0))
        self.assertEqual(brief_count, 389 - 8)

    def test_relayed_change_reaches_each_node_from_several_others(self) -> None:
        names = [f"n{number}:2" for number in range(390)]
        received: Counter[str] = Counter()
        for name in names:
            neighbours = Neighbours(Membership(name, 1), name, 0.0)
            for other in names:
                neighbours.addresses.add(other, 10.0)
            received.update(neighbours.relay_targets(make_state(name), 10.0))
        self.assertEqual([name for name in names if received[name] < RING_SUCCESSORS], [])

    def test_placements_go_to_all_serving_nodes_or_if_many_serve_to_those_of_the_hall(self) -> None:
        members = Membership("n0", 1)
        neighbours = Neighbours(members, "n0:2", 0.0)
        for number in range(1, 41):
            members.merge(
                make_state(f"n{number}", hall=HALLS[number % 4], serving=number <= 8), 10.0
            )
        self.assertEqual(len(neighbours.placement_targets("a", 10.0)), 8)
        for number in range(1, 41):
            members.merge(
                make_state(f"n{number}", sequence=2, hall=HALLS[number % 4], serving=True), 10.0
            )
        self.assertEqual(len(neighbours.placement_targets("a", 10.0)), 10)

    def test_nodes_in_reserve_do_not_watch_while_a_serving_node_reaches_the_store(self) -> None:
        members = Membership("n0", 1)
        neighbours = Neighbours(members, "n0:2", 0.0)
        for number in range(1, 40):
            neighbours.addresses.add(f"n{number}:2", 10.0)
        self.assertEqual(neighbours.watchers(1.0, 10.0).recent, 0)
        members.merge(make_state("n1", serving=True, store_age_s=0.2), 10.0)
        watchers = neighbours.watchers(1.0, 10.0)
        self.assertGreaterEqual(watchers.recent, watchers.wanted)
        self.assertGreaterEqual(watchers.before, watchers.wanted)
        members.merge(make_state("n1", serving=True, sequence=2, store_age_s=60.0), 10.0)
        self.assertEqual(neighbours.watchers(1.0, 10.0).recent, 0)

    def test_brief_state_changes_no_counts(self) -> None:
        members = Membership("n1", 1)
        full = make_state("n2", sequence=1, started={2: {"north": 4}}, spent={"north": 900.0})
        brief = msgspec.structs.replace(full, sequence=2).without_counts()
        later = msgspec.structs.replace(full, sequence=3, spent={"north": 950.0})
        sharing = Sharing(members, Bounds())
        limits = AccountLimits(True)
        account = Account("north", (), None, TOKENS, 200, 0.001, 2_000.0)
        limits.configure([account], monotonic())
        for update in (full, brief, later):
            self.assertTrue(sharing.merge_state(update, limits))
        self.assertEqual(members.all_states()[0].started, {2: {"north": 4}})
        self.assertAlmostEqual(limits.level(account, monotonic()), 1_950.0, delta=1.0)

    def test_node_that_gets_only_brief_states_counts_the_spending_of_peers(self) -> None:
        sharing = Sharing(Membership("n1", 1), Bounds())
        limits = AccountLimits(True)
        account = Account("north", (), None, TOKENS, 200, 0.001, 2_000.0)
        limits.configure([account], monotonic())
        for sequence, spent in enumerate((0.0, 400.0, 900.0), start=1):
            brief = make_state("n2", sequence=sequence, spent={"north": spent}).without_counts()
            sharing.merge_state(brief, limits)
        self.assertAlmostEqual(limits.level(account, monotonic()), 1_100.0, delta=1.0)

    def test_spending_of_a_new_incarnation_before_its_first_state_counts(self) -> None:
        account = Account("north", (), None, TOKENS, 200, 0.001, 2_000.0)
        for age_s, level in ((0.5, 1_100.0), (60.0, 2_000.0)):
            sharing = Sharing(Membership("n1", 1), Bounds(limit_window_s=8.0))
            limits = AccountLimits(True)
            limits.configure([account], monotonic())
            sharing.merge_state(make_state("n2", spent={"north": 900.0}, age_s=age_s), limits)
            self.assertAlmostEqual(limits.level(account, monotonic()), level, delta=1.0)

    def test_spending_before_a_first_brief_state_is_not_counted(self) -> None:
        sharing = Sharing(Membership("n1", 1), Bounds())
        limits = AccountLimits(True)
        account = Account("north", (), None, TOKENS, 200, 0.001, 2_000.0)
        limits.configure([account], monotonic())
        full = make_state("n2", sequence=2, spent={"north": 900.0})
        sharing.merge_state(msgspec.structs.replace(full, sequence=1).without_counts(), limits)
        sharing.merge_state(full, limits)
        sharing.merge_state(
            msgspec.structs.replace(full, sequence=3, spent={"north": 950.0}), limits
        )
        self.assertAlmostEqual(limits.level(account, monotonic()), 1_950.0, delta=1.0)


if __name__ == "__main__":
    unittest.main()
