"""State of a gateway node: usage, true time, routes, choice of servers, events, server list."""

import unittest
from collections.abc import Callable

from result import Err, Ok

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.events import EventSplitter
from moledale.gateway.fleet_watch import MIN_OUTAGE_S, FleetWatch
from moledale.gateway.messages import PromptPart, RequestFacts, Server
from moledale.gateway.outside import Failure, ServerList
from moledale.gateway.peers import Membership
from moledale.gateway.plan import (
    Engine,
    Kind,
    Plan,
    PlanIndex,
    Route,
    Share,
    choose_service,
)
from moledale.gateway.server_list import ServerChange
from moledale.gateway.server_view import record_silence
from moledale.gateway.usage import TrueTime, UsageCounts, total_counts
from tests.gateway_states import make_state
from tests.list_world import run_to_completion


class TrueTimeTest(unittest.TestCase):
    def test_clock_jumps_on_a_minority_of_machines_are_ignored(self) -> None:
        clock = TrueTime()
        clock.record_store_clock(100.0, 10.0, 10.0)
        clock.set_peer_offsets([1_000.0, 1_000.01, 1_000.02, 1_000.0])
        self.assertAlmostEqual(clock.now(1_100.0, 10.0), 1_100.0, delta=0.05)
        self.assertAlmostEqual(clock.now(1_160.0, 10.0), 1_100.0, delta=0.05)
        clock.set_peer_offsets([1_000.0, 1_000.01, 940.0, 1_000.0])
        self.assertAlmostEqual(clock.now(1_160.0, 10.0), 1_100.0, delta=0.05)

    def test_slow_call_does_not_move_the_clock(self) -> None:
        clock = TrueTime()
        clock.record_store_clock(100.0, 10.0, 10.0)
        clock.record_store_clock(105.0, 14.0, 15.6)
        self.assertAlmostEqual(clock.offset_s(0.0, 10.0) or 0.0, -100.0)


class UsageTest(unittest.TestCase):
    def test_counts_outlive_the_node_that_made_them(self) -> None:
        usage = UsageCounts(5.0)
        usage.count("north", 12.0)
        members = Membership("n1", 1)
        members.merge(make_state("n2", started={2: {"north": 4}}), 0.0)
        members.merge(make_state("n2", life=2, started={2: {"north": 1}}), 1.0)
        members.merge(make_state("n1", life=9, started={2: {"north": 7}}), 1.0)
        self.assertEqual(total_counts(2, usage, members.all_states()), {"north": 13})

    def test_duplicate_and_late_states_are_ignored(self) -> None:
        members = Membership("n1", 1)
        latest = make_state("n2", sequence=5, started={2: {"north": 4}})
        members.merge(latest, 0.0)
        self.assertIsNone(members.merge(latest, 0.1))
        self.assertIsNone(members.merge(make_state("n2", sequence=4), 0.1))
        members.merge(make_state("n2", life=2), 0.2)
        self.assertIsNone(members.merge(make_state("n2", life=1, sequence=9), 0.3))
        self.assertEqual(total_counts(2, UsageCounts(5.0), members.all_states()), {"north": 4})


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
        chosen = [choose_service(route, number / 1000) for number in range(1000)]
        self.assertEqual(chosen.count("two"), 100)


class BalanceTest(unittest.TestCase):
    engine = Engine(4, 50_000, 1, 1000.0)

    def make_balancer(self, number: int = 4) -> LoadBalancer:
        balancer = LoadBalancer("a")
        balancer.apply(Server(f"s{n}", "model", f"s{n}:1", "a", 4) for n in range(number))
        return balancer

    def make_facts(self, shared: str, own: str) -> RequestFacts:
        parts = (PromptPart(shared, 8_000), PromptPart(own, 1_000))
        return RequestFacts(prompt_tokens=9_000, parts=parts)

    def test_all_nodes_place_a_shared_prefix_on_the_same_server(self) -> None:
        chosen = set()
        for node in range(3):
            balancer = self.make_balancer()
            placement = balancer.place(
                "model", self.make_facts("subject", f"own{node}"), self.engine, 0.0
            )
            assert placement is not None
            chosen.add(placement.view.server.id)
        self.assertEqual(len(chosen), 1)

    def test_shared_prefix_spreads_when_its_server_is_crowded(self) -> None:
        balancer = self.make_balancer()
        for number in range(12):
            balancer.place("model", self.make_facts("subject", f"own{number}"), self.engine, 0.0)
        running = sorted(view.running for view in balancer.views.values())
        self.assertLess(running[-1], 6)

    def test_load_of_peers_counts_until_they_are_gone(self) -> None:
        balancer = self.make_balancer(2)
        first = balancer.place("model", self.make_facts("subject", "x"), self.engine, 0.0)
        assert first is not None
        first.end()
        name = first.view.server.id
        balancer.apply_peer_states([make_state("n2", loads={name: (4, 90_000)})])
        other = balancer.place("model", self.make_facts("subject", "y"), self.engine, 0.0)
        assert other is not None
        self.assertNotEqual(other.view.server.id, name)
        other.end()
        balancer.apply_peer_states([])
        again = balancer.place("model", self.make_facts("subject", "z"), self.engine, 0.0)
        assert again is not None
        self.assertEqual(again.view.server.id, name)

    def test_silent_server_is_paused_unless_it_is_the_only_one(self) -> None:
        balancer = self.make_balancer(2)
        record_silence(balancer.views["s0"], 0.0)
        ready = balancer.group("model").candidates(0.1, frozenset())
        self.assertEqual([view.server.id for view in ready], ["s1"])
        record_silence(balancer.views["s1"], 0.0)
        self.assertEqual(len(balancer.group("model").candidates(0.1, frozenset())), 2)

    def test_server_that_sends_no_data_gets_no_more_requests(self) -> None:
        balancer = LoadBalancer("a")
        balancer.apply(Server(f"s{n}", "plain", f"s{n}:1", "a", 4) for n in range(2))
        first = balancer.place("plain", RequestFacts(), None, 10.0)
        assert first is not None
        balancer.tick(10.1)
        self.assertEqual(len(balancer.group("plain").candidates(10.1, frozenset())), 2)
        balancer.tick(10.5)
        ready = [view.server.id for view in balancer.group("plain").candidates(10.5, frozenset())]
        self.assertEqual(len(ready), 1)
        self.assertNotIn(first.view.server.id, ready)
        first.view.last_data_at = 10.6
        self.assertEqual(first.view.silent_s(10.6), 0.0)

    def test_second_end_of_a_placement_changes_nothing(self) -> None:
        balancer = self.make_balancer(1)
        placement = balancer.place("model", self.make_facts("s", "o"), self.engine, 0.0)
        assert placement is not None
        placement.on_first_token()
        placement.end()
        placement.end()
        view = balancer.views["s0"]
        self.assertEqual((view.running, view.prefill_tokens), (0, 0))


class EventSplitterTest(unittest.TestCase):
    def test_events_are_whole_wherever_the_input_is_split(self) -> None:
        text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\nid: 30\ndata: c\n\n"
        for first in range(len(text)):
            splitter = EventSplitter()
            out = splitter.feed(text[:first]) + splitter.feed(text[first:])
            self.assertEqual((out, splitter.last_id, splitter.partial_bytes), (text, "30", 0))

    def test_partial_event_is_discarded_before_a_stream_continues(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n")
        splitter.discard_partial()
        self.assertEqual(splitter.feed(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n")
        self.assertEqual((splitter.last_id, splitter.event_count), ("2", 2))


class FakeStore:
    """A store that returns the servers set by a test, or fails while it is down."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.listed: list[Server] = []
        self.is_down = False
        self.version = 0

    async def servers(self, _: float, _before: object = None) -> object:
        self.version += 1
        if self.is_down:
            return Err(Failure("down"))
        return Ok(ServerList(tuple(self.listed), self.version, self.now()))


class LapsedServersTest(unittest.TestCase):
    """Servers whose entries lapse during an outage of the store may be alive, and are kept."""

    def setUp(self) -> None:
        self.now = 1_000.0
        self.store = FakeStore(lambda: self.now)
        self.published: list[set[str]] = []
        self.peer_published: list[set[str]] = []
        self.peer = self.make_watch(self.peer_published, lambda *_: None)
        self.watch = self.make_watch(self.published, self.send_changes)

    def make_watch(
        self, published: list[set[str]], send_changes: Callable[[list[ServerChange], bool], None]
    ) -> FleetWatch:
        true_time = TrueTime()
        true_time.record_store_clock(self.now, self.now, self.now)
        return FleetWatch(
            self.store,  # type: ignore[arg-type]
            true_time,
            lambda: 0,
            lambda servers: published.append({server.id for server in servers}),
            send_changes,
            lambda change: self.peer.on_change(change),
            lambda: 1.0,
            now=lambda: self.now,
        )

    def send_changes(self, changes: list[ServerChange], _: bool) -> None:
        for change in changes:
            self.peer.on_change(change)

    def read_list_at(self, now: float, *names: str, leaving: str = "") -> set[str]:
        """Let one node read a list; return the servers that it and its peer publish then.

        If the last read was long ago, a read fails in between, as in an outage.
        """
        if now - self.now > MIN_OUTAGE_S:
            self.now = (self.now + now) / 2
            self.store.is_down = True
            run_to_completion(self.watch._read())
            self.store.is_down = False
        self.now = now
        self.store.listed = [
            Server(name, "model", f"{name}:1", "a", 64, leaving=name == leaving) for name in names
        ]
        run_to_completion(self.watch._read())
        self.assertEqual(self.published[-1], self.peer_published[-1])
        return self.published[-1]

    def test_missing_server_is_gone_at_once_without_an_outage(self) -> None:
        self.read_list_at(1_000.0, "s1", "s2")
        self.assertEqual(self.read_list_at(1_000.8, "s1"), {"s1"})

    def test_servers_that_lapsed_during_an_outage_are_kept_until_they_are_back(self) -> None:
        self.read_list_at(1_000.0, "s1", "s2", "s3")
        self.assertEqual(self.read_list_at(1_006.0, "s1"), {"s1", "s2", "s3"})
        self.assertEqual(self.read_list_at(1_006.8, "s1", "s2"), {"s1", "s2", "s3"})
        self.assertEqual(self.read_list_at(1_008.0, "s1", "s2"), {"s1", "s2"})

    def test_missing_server_is_dropped_in_time_without_another_read(self) -> None:
        self.read_list_at(1_000.0, "s1", "s2")
        self.read_list_at(1_006.0, "s1")
        self.now = 1_007.7
        self.watch.drop_lapsed()
        self.assertEqual(self.published[-1], {"s1", "s2"})
        self.now = 1_007.81
        self.watch.drop_lapsed()
        self.assertEqual(self.published[-1], {"s1"})
        before = len(self.published)
        self.watch.drop_lapsed()
        self.assertEqual(len(self.published), before)
        self.peer.drop_lapsed()
        self.assertEqual(self.peer_published[-1], {"s1"})

    def test_missing_servers_are_gone_after_a_pause_without_failed_reads(self) -> None:
        self.read_list_at(1_000.0, "s1", "s2")
        self.now = 1_006.0
        self.store.listed.pop()
        run_to_completion(self.watch._read())
        self.assertEqual((self.published[-1], self.peer_published[-1]), ({"s1"}, {"s1"}))

    def test_server_that_was_leaving_is_not_kept(self) -> None:
        self.read_list_at(1_000.0, "s1", "s2", leaving="s2")
        self.assertEqual(self.read_list_at(1_006.0, "s1"), {"s1"})


if __name__ == "__main__":
    unittest.main()
