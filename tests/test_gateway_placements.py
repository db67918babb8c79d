"""Placements that nodes send to each other, and their effect on the choice of servers."""

import unittest

import msgspec

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.engine_costs import prefill_work
from moledale.gateway.gossip import PlacementNews
from moledale.gateway.messages import (
    AttemptFacts,
    PromptPart,
    RequestFacts,
    RequestHead,
    Server,
)
from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.gateway.plan import Engine
from moledale.gateway.server_model import PRIOR
from moledale.gateway.server_view import Placement, record_answer, record_silence
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing
from moledale.platform.headers import PlatformHeaders

ENGINE = Engine(64, 500_000, 1, 1000.0)
SERVERS = [Server(f"s{number}", "model", f"h:{number}", "hall-a", 64) for number in range(4)]


def make_facts(shared: str, own: str, tokens: int = 10_000) -> RequestFacts:
    parts = (PromptPart(shared, tokens), PromptPart(own, 100))
    return RequestFacts(prompt_tokens=tokens + 100, answer_tokens=10, parts=parts)


class Node:
    """A node's balancer and the placements that it sends and receives, without sockets."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.members = Membership(name, 1)
        self.sharing = Sharing(self.members, Bounds(), now=lambda: 1.0)
        self.balancer = LoadBalancer("hall-a")
        self.balancer.apply(SERVERS)
        self.sequence = 0

    def state(self) -> NodeState:
        self.sequence += 1
        loads = self.balancer.loads()
        return NodeState(
            self.name, 1, self.sequence, "hall-a", "", "", "", int(Standing.READY), 1, {}, {},
            loads, {}, {},
        )  # fmt: skip

    def placement_update(self) -> PlacementNews:
        return PlacementNews(self.name, 1, self.sequence, self.balancer.drain_placements())

    def receive(self, update: PlacementNews) -> None:
        self.sharing.apply_placements(update, self.balancer, lambda _: ENGINE)


class PlacementNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.one = Node("n1")
        self.two = Node("n2")
        self.two.members.merge(self.one.state(), 1.0)

    def test_other_node_counts_a_placement_before_the_next_state(self) -> None:
        placed = self.one.balancer.place("model", make_facts("a", "x"), ENGINE, 1.0)
        assert placed is not None
        self.two.receive(self.one.placement_update())
        view = self.two.balancer.views[placed.view.server.id]
        self.assertEqual(view.total_running, 1)
        self.assertEqual(view.total_prefill, placed.prefill)

    def test_next_state_counts_nothing_twice(self) -> None:
        placed = self.one.balancer.place("model", make_facts("a", "x"), ENGINE, 1.0)
        assert placed is not None
        self.two.receive(self.one.placement_update())
        self.two.members.merge(self.one.state(), 1.0)
        self.two.sharing.apply_peers(self.two.balancer)
        self.assertEqual(self.two.balancer.views[placed.view.server.id].total_running, 1)

    def test_prompt_is_placed_where_a_peer_placed_its_prefix(self) -> None:
        home = self.one.balancer.place("model", make_facts("a", "x"), ENGINE, 1.0)
        assert home is not None
        excluded = frozenset({home.view.server.id})
        elsewhere = self.one.balancer.place("model", make_facts("a", "y"), ENGINE, 1.0, excluded)
        assert elsewhere is not None
        self.two.receive(self.one.placement_update())
        home.on_first_token()
        elsewhere.on_first_token()
        self.two.members.merge(self.one.state(), 1.0)
        self.two.sharing.apply_peers(self.two.balancer)
        found = self.two.balancer.place("model", make_facts("a", "z"), ENGINE, 1.0)
        assert found is not None
        self.assertLess(found.uncached, 1_000)

    def test_reordered_updates_never_give_a_negative_load(self) -> None:
        view = self.one.balancer.views["s0"]
        view.peers_running, view.peers_prefill = -3, -9_000
        self.assertEqual((view.total_running, view.total_prefill), (0, 0))

    def test_updates_of_another_incarnation_or_older_than_the_state_are_ignored(self) -> None:
        placed = self.one.balancer.place("model", make_facts("a", "x"), ENGINE, 1.0)
        assert placed is not None
        update = self.one.placement_update()
        self.two.members.merge(self.one.state(), 1.0)
        self.two.receive(update)
        self.two.receive(PlacementNews("n1", 2, 99, update.placed))
        self.two.receive(PlacementNews("n9", 1, 99, update.placed))
        self.assertEqual(self.two.balancer.views[placed.view.server.id].total_running, 0)

    def test_placements_are_sent_once(self) -> None:
        self.one.balancer.place("model", make_facts("a", "x"), ENGINE, 1.0)
        self.assertEqual(len(self.one.placement_update().placed), 1)
        self.assertEqual(self.one.placement_update().placed, [])


FAST_LINKS = Engine(64, 500_000, 1_000, 100_000.0, moves=True)
SLOW_LINKS = Engine(64, 500_000, 1_000, 100.0, moves=True)


class NearlyEqualTest(unittest.TestCase):
    """Choice between servers with about the same cost."""

    def first_choices(self, nodes: int, facts: list[RequestFacts]) -> list[str]:
        """Return the servers that nodes choose for their first request, without any load data."""
        chosen = []
        for number in range(nodes):
            balancer = LoadBalancer("hall-a")
            balancer.apply(SERVERS)
            placed = balancer.place("model", facts[number % len(facts)], ENGINE, 1.0)
            assert placed is not None
            chosen.append(placed.view.server.id)
        return chosen

    def test_nodes_without_load_data_do_not_choose_the_same_server(self) -> None:
        alone = [RequestFacts(id=f"r{n}", prompt_tokens=900) for n in range(20)]
        subjects = [make_facts(f"subject{n}", f"own{n}", 300) for n in range(20)]
        for facts in (alone, subjects):
            self.assertEqual(len(set(self.first_choices(20, facts))), len(SERVERS))

    def test_prompts_with_a_shared_prefix_use_one_server(self) -> None:
        facts = [make_facts("subject", f"own{n}", 300) for n in range(20)]
        self.assertEqual(len(set(self.first_choices(20, facts))), 1)

    def test_plain_requests_of_many_nodes_spread(self) -> None:
        chosen = set()
        for _ in range(40):
            balancer = LoadBalancer("hall-a")
            balancer.apply(SERVERS)
            placed = balancer.place("model", RequestFacts(), None, 1.0)
            assert placed is not None
            chosen.add(placed.view.server.id)
        self.assertEqual(len(chosen), len(SERVERS))

    def test_server_with_an_idle_connection_comes_first(self) -> None:
        for engine in (None, ENGINE):
            for connected in SERVERS:
                balancer = LoadBalancer("hall-a")
                balancer.apply(SERVERS)
                balancer.has_connection = lambda server, connected=connected: server == connected.id  # type: ignore[misc]
                placed = balancer.place(
                    "model", RequestFacts(id="r1", prompt_tokens=50), engine, 1.0
                )
                assert placed is not None
                self.assertEqual(placed.view.server.id, connected.id)


class QueuedReadingTest(unittest.TestCase):
    """The time between two first events covers all work placed by any node between the prompts."""

    def test_work_of_other_nodes_between_two_prompts_counts(self) -> None:
        one, other = Node("n1"), Node("n2")
        for node in (one, other):
            node.balancer.apply(SERVERS[:1])
        one.members.merge(other.state(), 1.0)
        other.members.merge(one.state(), 1.0)
        first = one.balancer.place("model", make_facts("a", "1"), ENGINE, 1.0)
        other.receive(one.placement_update())
        between = other.balancer.place("model", make_facts("b", "2"), ENGINE, 1.01)
        one.receive(other.placement_update())
        second = one.balancer.place("model", make_facts("c", "3"), ENGINE, 1.02)
        assert first is not None and between is not None and second is not None
        one.balancer.record_first_event(first, 1.2)
        one.balancer.record_first_event(second, 1.8)
        sample = one.balancer.estimator("model")._samples[-1]
        self.assertTrue(sample.queued)
        self.assertAlmostEqual(sample.took_s, 0.6)
        self.assertEqual(sample.work, between.work + second.work)

    def test_prompt_sent_after_the_previous_first_event_is_timed_from_its_sending(self) -> None:
        balancer = LoadBalancer("hall-a")
        balancer.apply(SERVERS[:1])
        for number, sent_at in enumerate((1.0, 2.0)):
            placed = balancer.place("model", make_facts("a", str(number)), ENGINE, sent_at)
            assert placed is not None
            balancer.record_first_event(placed, sent_at + 0.3)
        sample = balancer.estimator("model")._samples[-1]
        self.assertFalse(sample.queued)
        self.assertAlmostEqual(sample.took_s, 0.3)


class FetchTest(unittest.TestCase):
    """A cached prefix is fetched from another server where that is faster than prefill."""

    def place_home_and_other(self, engine: Engine) -> tuple[Placement, Placement]:
        """Place a prompt, then one with the same prefix that may not use the same server."""
        balancer = LoadBalancer("hall-a")
        balancer.apply(SERVERS)
        home = balancer.place("model", make_facts("a", "x"), engine, 1.0)
        assert home is not None
        excluded = frozenset({home.view.server.id})
        other = balancer.place("model", make_facts("a", "y"), engine, 1.0, excluded)
        assert other is not None
        return home, other

    def test_prefix_is_fetched_over_a_fast_link(self) -> None:
        home, other = self.place_home_and_other(FAST_LINKS)
        self.assertEqual(other.fetch_from, home.view.server.address)
        self.assertEqual(other.fetched, 10_000)
        self.assertEqual(other.uncached, 100)

    def test_prefix_is_not_fetched_from_a_server_of_another_version(self) -> None:
        """Guards against KV caches that two versions of the software don't share."""
        balancer = LoadBalancer("hall-a")
        versions = [
            msgspec.structs.replace(server, version=f"v{number}")
            for number, server in enumerate(SERVERS)
        ]
        balancer.apply(versions)
        home = balancer.place("model", make_facts("a", "x"), FAST_LINKS, 1.0)
        assert home is not None
        excluded = frozenset({home.view.server.id})
        other = balancer.place("model", make_facts("a", "y"), FAST_LINKS, 1.0, excluded)
        assert other is not None
        self.assertEqual((other.fetch_from, other.uncached), ("", 10_100))

    def test_prefix_is_computed_where_links_are_slow_or_servers_cannot_move_it(self) -> None:
        for engine in (SLOW_LINKS, ENGINE):
            with self.subTest(engine=engine):
                _, other = self.place_home_and_other(engine)
                self.assertEqual((other.fetch_from, other.uncached), ("", 10_100))

    def test_prefix_cached_at_the_server_is_not_fetched(self) -> None:
        balancer = LoadBalancer("hall-a")
        balancer.apply(SERVERS)
        first = balancer.place("model", make_facts("a", "x"), FAST_LINKS, 1.0)
        assert first is not None
        first.on_first_token()
        again = balancer.place("model", make_facts("a", "y"), FAST_LINKS, 1.0)
        assert again is not None
        self.assertEqual((again.view, again.fetch_from), (first.view, ""))

    def test_nothing_is_fetched_from_a_server_that_is_silent_or_gone(self) -> None:
        balancer = LoadBalancer("hall-a")
        balancer.apply(SERVERS)
        home = balancer.place("model", make_facts("a", "x"), FAST_LINKS, 1.0)
        assert home is not None
        excluded = frozenset({home.view.server.id})
        record_silence(home.view, 1.0)
        silent = balancer.place("model", make_facts("a", "y"), FAST_LINKS, 1.0, excluded)
        assert silent is not None
        self.assertEqual(silent.fetch_from, "")
        record_answer(home.view, False, 0.1)
        balancer.apply([server for server in SERVERS if server.id not in excluded])
        balancer.views[silent.view.server.id].cached.clear()
        gone = balancer.place("model", make_facts("a", "z"), FAST_LINKS, 9.0)
        assert gone is not None
        self.assertEqual(gone.fetch_from, "")

    def test_prefix_is_fetched_from_a_leaving_server(self) -> None:
        balancer = LoadBalancer("hall-a")
        balancer.apply(SERVERS)
        home = balancer.place("model", make_facts("a", "x"), FAST_LINKS, 1.0)
        assert home is not None
        name = home.view.server.id
        balancer.apply(
            msgspec.structs.replace(server, leaving=server.id == name) for server in SERVERS
        )
        other = balancer.place("model", make_facts("a", "y"), FAST_LINKS, 1.0)
        assert other is not None
        self.assertEqual(other.fetch_from, home.view.server.address)

    def test_moved_stream_needs_no_prefill_and_gives_no_sample(self) -> None:
        balancer = LoadBalancer("hall-a")
        balancer.apply(SERVERS)
        target = balancer.place("model", make_facts("a", "x"), FAST_LINKS, 1.0, moved=True)
        assert target is not None
        self.assertEqual((target.prefill, target.work, target.fetch_from), (0, 0, ""))
        balancer.record_first_event(target, 9.0)
        balancer.record_completion(target, 9.0)
        self.assertEqual(balancer.placed_work, {})
        self.assertEqual(balancer.estimator("model").speed(10.0), PRIOR)
        self.assertEqual(target.view.slowness.factor(9.0), 1.0)
        again = balancer.place("model", make_facts("a", "y"), FAST_LINKS, 10.0)
        assert again is not None
        self.assertIs(again.view, target.view)

    def test_fetch_source_is_sent_to_the_server(self) -> None:
        facts = AttemptFacts("s1", None, 1.0, None, fetch_from="h:2")
        head = RequestHead(b"POST", b"/x", [(b"Kv-Fetch", b"from-the-caller:1")])
        sent = PlatformHeaders().attempt_head(head, facts, 0)
        self.assertIn(b"Kv-Fetch: h:2\r\n", sent)
        self.assertNotIn(b"from-the-caller", sent)


class PrefillWorkTest(unittest.TestCase):
    def test_cached_prefix_costs_nothing(self) -> None:
        self.assertEqual(prefill_work(10_000, 10_000), 0)
        self.assertEqual(prefill_work(10_000, 12_000), 0)

    def test_long_prompt_costs_more_than_its_length(self) -> None:
        self.assertGreater(prefill_work(40_000, 0), 1.2 * 40_000)
        self.assertLess(prefill_work(1_000, 0), 1.02 * 1_000)


class PartsWithoutTokensTest(unittest.TestCase):
    def test_parts_without_tokens_are_not_recorded_and_do_not_end_the_prefix(self) -> None:
        balancer = LoadBalancer("hall-a")
        balancer.apply(SERVERS[:1])
        server = balancer.views["s0"]
        for number in range(1_000):
            server.record_cached((PromptPart(f"empty-{number}", 0),), 1_000)
            server.record_cached((PromptPart(f"less-{number}", -5),), 1_000)
        self.assertEqual(len(server.cached), 0)
        parts = (PromptPart("empty", 0), PromptPart("a", 70))
        server.record_cached(parts, 1_000)
        self.assertEqual(server.cached_prefix_tokens(parts), 70)


if __name__ == "__main__":
    unittest.main()
