"""What nodes tell each other of placements, and what the choice makes of it."""

import unittest

from moledale.gateway.balance import ServerBook, prefill_work
from moledale.gateway.gossip import PlacementNews
from moledale.gateway.messages import PromptPart, RequestFacts, Server
from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.gateway.plan import Engine
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing

ENGINE = Engine(64, 500_000, 1, 1000.0)
SERVERS = [Server(f"s{number}", "model", f"h:{number}", "hall-a", 64) for number in range(4)]


def prompt(subject: str, own: str, tokens: int = 10_000) -> RequestFacts:
    parts = (PromptPart(subject, tokens), PromptPart(own, 100))
    return RequestFacts(prompt_tokens=tokens + 100, answer_tokens=10, parts=parts)


class Node:
    """A node's book and news, without sockets."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.members = Membership(name, 1)
        self.sharing = Sharing(self.members, Bounds(), now=lambda: 1.0)
        self.book = ServerBook("hall-a")
        self.book.apply(SERVERS)
        self.sequence = 0

    def state(self) -> NodeState:
        self.sequence += 1
        loads = self.book.loads()
        return NodeState(
            self.name, 1, self.sequence, "hall-a", "", "", "", int(Standing.READY), 1, {}, {},
            loads, {}, {},
        )  # fmt: skip

    def news(self) -> PlacementNews:
        return PlacementNews(self.name, 1, self.sequence, self.book.take_placed())

    def hear(self, news: PlacementNews) -> None:
        self.sharing.heard_placed(news, self.book, lambda _: ENGINE)


class PlacementNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.one = Node("n1")
        self.two = Node("n2")
        self.two.members.heard(self.one.state(), 1.0)

    def test_other_node_counts_a_placement_before_the_next_state(self) -> None:
        placed = self.one.book.place("model", prompt("a", "x"), ENGINE, 1.0)
        assert placed is not None
        self.two.hear(self.one.news())
        view = self.two.book.views[placed.view.server.id]
        self.assertEqual(view.all_running, 1)
        self.assertEqual(view.all_prefill, placed.prefill)

    def test_next_state_counts_nothing_twice(self) -> None:
        placed = self.one.book.place("model", prompt("a", "x"), ENGINE, 1.0)
        assert placed is not None
        self.two.hear(self.one.news())
        self.two.members.heard(self.one.state(), 1.0)
        self.two.sharing.take_over(self.two.book)
        self.assertEqual(self.two.book.views[placed.view.server.id].all_running, 1)

    def test_prompt_follows_its_shared_part_to_where_another_node_placed_it(self) -> None:
        home = self.one.book.place("model", prompt("a", "x"), ENGINE, 1.0)
        assert home is not None
        away = frozenset({home.view.server.id})
        elsewhere = self.one.book.place("model", prompt("a", "y"), ENGINE, 1.0, away)
        assert elsewhere is not None
        self.two.hear(self.one.news())
        home.first_token()
        elsewhere.first_token()
        self.two.members.heard(self.one.state(), 1.0)
        self.two.sharing.take_over(self.two.book)
        found = self.two.book.place("model", prompt("a", "z"), ENGINE, 1.0)
        assert found is not None
        self.assertLess(found.uncached, 1_000)

    def test_news_of_a_former_life_or_older_than_the_state_change_nothing(self) -> None:
        placed = self.one.book.place("model", prompt("a", "x"), ENGINE, 1.0)
        assert placed is not None
        news = self.one.news()
        self.two.members.heard(self.one.state(), 1.0)
        self.two.hear(news)
        self.two.hear(PlacementNews("n1", 2, 99, news.placed))
        self.two.hear(PlacementNews("n9", 1, 99, news.placed))
        self.assertEqual(self.two.book.views[placed.view.server.id].all_running, 0)

    def test_placements_are_told_once(self) -> None:
        self.one.book.place("model", prompt("a", "x"), ENGINE, 1.0)
        self.assertEqual(len(self.one.news().placed), 1)
        self.assertEqual(self.one.news().placed, [])


class PrefillWorkTest(unittest.TestCase):
    def test_cached_front_costs_nothing(self) -> None:
        self.assertEqual(prefill_work(10_000, 10_000), 0)
        self.assertEqual(prefill_work(10_000, 12_000), 0)

    def test_long_prompt_costs_more_than_its_length(self) -> None:
        self.assertGreater(prefill_work(40_000, 0), 1.2 * 40_000)
        self.assertLess(prefill_work(1_000, 0), 1.02 * 1_000)


class PartsWithoutTokensTest(unittest.TestCase):
    def test_they_are_not_remembered_and_hide_nothing_behind_them(self) -> None:
        view = ServerBook("hall-a")
        view.apply(SERVERS[:1])
        server = view.views["s0"]
        for number in range(1_000):
            server.remember((PromptPart(f"empty-{number}", 0),), 1_000)
            server.remember((PromptPart(f"less-{number}", -5),), 1_000)
        self.assertEqual(len(server.cached), 0)
        parts = (PromptPart("empty", 0), PromptPart("a", 70))
        server.remember(parts, 1_000)
        self.assertEqual(server.covers(parts), 70)


if __name__ == "__main__":
    unittest.main()
