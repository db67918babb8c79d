"""Permits for servers with a rate limit: the grantor, the nodes that ask it, and its failures."""

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import logbook

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.limit_sharing import LOG_INTERVAL_S, LimitSharing
from moledale.gateway.messages import Server
from moledale.gateway.peers import Membership, Standing
from moledale.gateway.permits import (
    PERMIT_TIMEOUT_S,
    SILENT_GRANTOR_PAUSE_S,
    GrantorSelector,
    PermitAnswer,
    PermitAsk,
)
from moledale.gateway.server_standing import ServerStanding
from moledale.gateway.server_view import ServerView
from moledale.gateway.stated_limit import REMOVAL_BROADCAST_S, LimitNews, StatedLimit
from tests.gateway_states import make_state
from tests.gateway_world import run_quietly

SERVERS = [Server(f"s{each}", "plain", f"h:{each}", "a", 4) for each in range(3)]


class Node:
    """One node's servers, membership and limit sharing, connected to a `World`."""

    def __init__(self, world: "World", name: str) -> None:
        self.name = name
        self.balancer = LoadBalancer("a")
        self.balancer.apply(SERVERS)
        self.members = Membership(name, 1)
        self.sharing = LimitSharing(
            name, "a", f"{name}:2", self.balancer, self.members, world.deliver, world.clock
        )
        self.sharing.permits._sleep = world.sleep

    def view(self, server: str = "s0") -> ServerView:
        """Return the node's view of a server."""
        return self.balancer.views[server]

    def receive_states(self, *names: str, now: float = 0.0, **more: object) -> None:
        """Let the node receive states of serving peers."""
        for name in names:
            peer_state = make_state(name, serving=True, **{"limits": {}, **more})
            self.members.merge(peer_state, now)
        self.sharing.refresh(serving=True)


class World:
    """Nodes whose messages arrive at once, unless the receiver is in `silent`.

    Members that were heard from before `reachable_since` are partitioned off: `pass_time` does not
    renew them.
    """

    def __init__(self, *names: str) -> None:
        self.now = 0.0
        self.reachable_since = 0.0
        self.silent: set[str] = set()
        self.sent: list[PermitAsk | PermitAnswer] = []
        self.nodes = {name: Node(self, name) for name in names}
        for name, node in self.nodes.items():
            node.receive_states(*(other for other in names if other != name))

    def pass_time(self, seconds: float) -> None:
        """Advance the clock; nodes that reach each other are heard from again."""
        self.now += seconds
        for node in self.nodes.values():
            for member in node.members.members.values():
                if member.last_seen_at >= self.reachable_since:
                    member.last_seen_at = self.now
            node.sharing.refresh(serving=True)

    def clock(self) -> float:
        """Return the simulated time."""
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Advance the clock instead of waiting."""
        self.now += seconds

    def deliver(self, message: PermitAsk | PermitAnswer, address: str) -> None:
        """Deliver a message to the node at an address."""
        self.sent.append(message)
        node = self.nodes[address.partition(":")[0]]
        if node.name not in self.silent:
            node.sharing.on_message(message)

    def set_limit(self, per_s: float, server: str = "s0") -> None:
        """Let all nodes receive a limit that another node observed."""
        for node in self.nodes.values():
            node.balancer.notices.merge_peer_limits({server: LimitNews(per_s, 0.0)}, "x", self.now)

    def grantor(self, server: str = "s0") -> Node:
        """Return the node that grants permits for a server."""
        addresses = {
            node.sharing._grantors.address(node.view(server)) for node in self.nodes.values()
        }
        return next(node for node in self.nodes.values() if f"{node.name}:2" in addresses)

    def asking_nodes(self, server: str = "s0") -> list[Node]:
        """Return the nodes that ask the grantor of a server."""
        grantor = self.grantor(server)
        return [node for node in self.nodes.values() if node is not grantor]


def run_async(work: Callable[[], Awaitable[None]]) -> None:
    """Run the coroutine of a test."""
    run_quietly(work())


class SumTest(unittest.TestCase):
    """The permits of all nodes together stay within the limit."""

    def test_permits_of_all_nodes_add_up_to_the_limit(self) -> None:
        async def work() -> None:
            for number, per_s in ((9, 1.0), (45, 0.4), (45, 50.0)):
                world = World(*(f"n{each}" for each in range(number)))
                world.set_limit(per_s)
                granted = 0
                for _ in range(400):
                    world.pass_time(0.025)
                    for node in world.nodes.values():
                        if not node.view().standing.is_held(world.now):
                            granted += await node.sharing.permits.take(node.view())
                self.assertLessEqual(granted, per_s * 10.0 + 1 + max(1, 0.25 * per_s))
                self.assertGreaterEqual(granted, per_s * 10.0 * 0.7)

        run_async(work)

    def test_high_limits_take_one_ask_for_many_requests(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(1_000.0)
            node = world.asking_nodes()[0]
            for _ in range(1_000):
                world.now += 0.001
                await node.sharing.permits.take(node.view())
            asks = [each for each in world.sent if isinstance(each, PermitAsk)]
            self.assertLess(len(asks), 120)

        run_async(work)

    def test_unused_permits_expire(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(1_000.0)
            node = world.asking_nodes()[0]
            self.assertFalse(await node.sharing.permits.take(node.view()))
            world.now += 0.5
            self.assertTrue(await node.sharing.permits.take(node.view()))
            sent_before = len(world.sent)
            world.now += 0.4
            self.assertTrue(await node.sharing.permits.take(node.view()))
            self.assertGreater(len(world.sent), sent_before)

        run_async(work)

    def test_waiting_request_reserves_a_single_permit(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(1_000.0)
            node = world.asking_nodes()[0]
            await node.sharing.permits.take(node.view())
            self.assertTrue(await node.sharing.permits.take(node.view(), max_wait_s=0.1))
            asks = [each for each in world.sent if isinstance(each, PermitAsk)]
            self.assertEqual([each.number for each in asks], [20, 1])
            self.assertFalse(node.sharing.permits._unused)

        run_async(work)

    def test_unused_permits_for_a_former_limit_are_discarded(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(1_000.0)
            node = world.asking_nodes()[0]
            await node.sharing.permits.take(node.view())
            world.now += 0.5
            self.assertTrue(await node.sharing.permits.take(node.view()))
            world.set_limit(1.0)
            granted = [await node.sharing.permits.take(node.view()) for _ in range(5)]
            self.assertEqual(granted, [False] * 5)

        run_async(work)

    def test_limit_holds_while_the_grantor_does_not_list_the_server(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(1.0)
            grantor, asking_node = world.grantor(), world.asking_nodes()[0]
            grantor.balancer.apply(SERVERS[1:])
            granted = 0
            for _ in range(100):
                world.pass_time(0.1)
                asking_node.view().hold_until(0.0)
                granted += await asking_node.sharing.permits.take(asking_node.view())
            self.assertIn(granted, range(8, 13))

        run_async(work)

    def test_grantor_adopts_the_limit_of_the_asking_node(self) -> None:
        """The asking node may know a limit before the grantor receives it."""

        async def work() -> None:
            world = World("n0", "n1", "n2")
            asking_node = world.asking_nodes()[0]
            asking_node.balancer.notices.merge_peer_limits(
                {"s0": LimitNews(1.0, 0.0)}, "x", world.now
            )
            world.now += 0.1
            self.assertFalse(await asking_node.sharing.permits.take(asking_node.view()))
            self.assertEqual(world.grantor().view().limit_per_s, 1.0)

        run_async(work)

    def test_permit_counts_are_logged_once_per_interval(self) -> None:
        async def work() -> None:
            world = World("n0")
            world.set_limit(1.0)
            node = world.nodes["n0"]
            for _ in range(3):
                await node.sharing.permits.take(node.view())
                world.now += 0.6
            world.now = LOG_INTERVAL_S
            with logbook.TestHandler().applicationbound() as handler:
                node.sharing.refresh(serving=True)
                node.sharing.refresh(serving=True)
            lines = [record.message for record in handler.records]
            self.assertEqual([line[:4] for line in lines], ["E426"])
            fields = json.loads(lines[0][lines[0].index("{") :])
            self.assertEqual((fields["server"], fields["asked"]), ("s0", 3))
            self.assertEqual((fields["granted"], fields["limit_per_s"]), (1, 1.0))

        run_async(work)

    def test_halves_of_a_partition_grant_a_share_each(self) -> None:
        async def work() -> None:
            world = World(*(f"n{each}" for each in range(8)))
            world.set_limit(8.0)
            world.now = 2.0
            halves = (["n0", "n1", "n2", "n3"], ["n4", "n5", "n6", "n7"])
            for half in halves:
                for name in half:
                    others = [each for each in half if each != name]
                    for other in others:
                        peer_state = make_state(other, sequence=9, serving=True, limits={})
                        world.nodes[name].members.merge(peer_state, 2.0)
                    world.nodes[name].sharing.refresh(serving=True)
            granted = 0
            world.reachable_since = 2.0
            for _ in range(400):
                world.pass_time(0.025)
                for node in world.nodes.values():
                    if not node.view().standing.is_held(world.now):
                        granted += await node.sharing.permits.take(node.view())
            self.assertLessEqual(granted, 8.0 * 10.0 + 2 * 2)
            self.assertGreaterEqual(granted, 8.0 * 10.0 * 0.7)

        run_async(work)


class SilenceTest(unittest.TestCase):
    """A silent grantor pauses its server for a moment and blocks no other server."""

    def test_silent_grantor_pauses_the_server_for_a_moment(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(10.0)
            world.now += 1.0
            world.silent.add(world.grantor().name)
            node = world.asking_nodes()[0]
            self.assertFalse(await node.sharing.permits.take(node.view()))
            self.assertTrue(node.view().standing.is_held(world.now + SILENT_GRANTOR_PAUSE_S - 0.01))
            self.assertFalse(
                node.view().standing.is_held(world.now + SILENT_GRANTOR_PAUSE_S + 0.01)
            )

        run_async(work)

    def test_answer_after_the_timeout_is_ignored(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(10.0)
            grantor, node = world.grantor(), world.asking_nodes()[0]
            world.silent.add(grantor.name)
            await node.sharing.permits.take(node.view(), timeout_s=PERMIT_TIMEOUT_S / 8)
            node.sharing.on_message(PermitAnswer(1, 1, 0.0))
            self.assertTrue(node.view().standing.is_held(world.now + 0.01))

        run_async(work)

    def test_another_grantor_is_selected_once_the_silent_one_is_gone(self) -> None:
        world = World("n0", "n1", "n2")
        before = world.grantor()
        world.now = 5.0
        for node in world.asking_nodes():
            for name in world.nodes:
                if name not in (before.name, node.name):
                    peer_state = make_state(name, sequence=9, serving=True, limits={})
                    node.members.merge(peer_state, 5.0)
            node.sharing.refresh(serving=True)
        view = before.view()
        left = [node for node in world.nodes.values() if node is not before]
        addresses = {node.sharing._grantors.address(view) for node in left}
        self.assertNotIn(f"{before.name}:2", addresses)
        self.assertEqual(len(addresses), 2, "one of the two grants itself, the other asks it")

    def test_only_one_ask_is_in_flight(self) -> None:
        async def work() -> None:
            world = World("n0", "n1")
            world.set_limit(10.0)
            world.now += 1.0
            world.silent.add(world.grantor().name)
            node = world.asking_nodes()[0]
            asking = asyncio.create_task(node.sharing.permits.take(node.view()))
            await asyncio.sleep(0)
            self.assertTrue(node.view().standing.is_held(world.now))
            self.assertEqual(
                node.balancer.group("plain").closed.first_permitted(frozenset()), node.view()
            )
            await asking

        run_async(work)


class GrantorsTest(unittest.TestCase):
    """The grantor is selected among the serving nodes whose build knows limits."""

    def test_builds_without_limits_and_nodes_in_reserve_do_not_grant(self) -> None:
        grantors = GrantorSelector("n0")
        grantors.refresh(
            "a",
            True,
            [
                make_state("n1", serving=True, limits=None),
                make_state("n2", serving=False, limits={}),
            ],
        )
        for server in SERVERS:
            self.assertIsNone(grantors.address(ServerView(server)))

    def test_node_that_does_not_serve_asks_one_that_does(self) -> None:
        grantors = GrantorSelector("n0")
        grantors.refresh("a", False, [make_state("n1", serving=True, limits={})])
        self.assertEqual(grantors.address(ServerView(SERVERS[0])), "n1:2")
        grantors.refresh("a", False, [])
        self.assertIsNone(grantors.address(ServerView(SERVERS[0])))

    def test_nodes_of_the_servers_hall_come_first(self) -> None:
        grantors = GrantorSelector("n0")
        near = [make_state(f"m{each}", serving=True, limits={}, hall="b") for each in range(3)]
        grantors.refresh("a", True, near)
        for each in range(20):
            server = Server(f"t{each}", "plain", "h:1", "b", 4)
            self.assertIn(grantors.address(ServerView(server)), {"m0:2", "m1:2", "m2:2"})

    def test_all_nodes_select_the_same_grantor(self) -> None:
        world = World(*(f"n{each}" for each in range(9)))
        for server in ("s0", "s1", "s2"):
            self.assertEqual(len(world.asking_nodes(server)), 8)

    def test_leaving_nodes_do_not_count_as_partitioned(self) -> None:
        members = Membership("n0", 1)
        members.merge(make_state("n1", serving=True), 0.0)
        members.merge(make_state("n2", serving=True, standing=int(Standing.LEAVING)), 0.0)
        self.assertEqual(members.reachable_share(0.5), 1.0)
        self.assertEqual(members.reachable_share(5.0), 0.5)

    def test_nodes_in_reserve_do_not_count_as_partitioned(self) -> None:
        """With many nodes, those in reserve in other halls send their states rarely."""
        members = Membership("n0", 1)
        for number in range(300):
            members.merge(make_state(f"r{number}"), 0.0)
        members.merge(make_state("n1", serving=True), 5.0)
        self.assertEqual(members.reachable_share(5.5), 1.0)

    def test_requests_of_builds_without_permits_use_up_the_limit(self) -> None:
        async def work() -> None:
            world = World("n0")
            node = world.nodes["n0"]
            world.set_limit(1.0)
            await node.sharing.permits.take(node.view())
            node.view().hold_until(0.0)
            world.now = 10.0
            for _ in range(3):
                node.sharing._issuer.record_unpermitted("s0", world.now)
            world.now = 10.1
            self.assertFalse(await node.sharing.permits.take(node.view()))

        run_async(work)


class StatedLimitTest(unittest.TestCase):
    """The last observation counts, and an answer that arrives out of order never raises a limit."""

    def test_lower_limit_applies_at_once_and_higher_from_later_requests_only(self) -> None:
        limit = StatedLimit()
        self.assertTrue(limit.update_from_answer(2.0, 9.0, 10.0))
        self.assertFalse(limit.update_from_answer(5.0, 9.5, 10.1))
        self.assertFalse(limit.update_from_answer(None, 9.5, 10.1))
        self.assertTrue(limit.update_from_answer(1.0, 9.5, 10.2))
        self.assertTrue(limit.update_from_answer(5.0, 10.3, 10.4))
        self.assertTrue(limit.update_from_answer(None, 10.5, 10.6))
        self.assertIsNone(limit.per_s)

    def test_newer_peer_update_applies_and_is_not_relayed(self) -> None:
        limit = StatedLimit()
        self.assertTrue(limit.update_from_peer(LimitNews(2.0, 0.1), 10.0))
        self.assertIsNone(limit.to_broadcast(10.0))
        self.assertFalse(limit.update_from_peer(LimitNews(7.0, 0.5), 10.0))
        self.assertTrue(limit.update_from_peer(LimitNews(None, 0.0), 10.1))
        self.assertFalse(limit.update_from_peer(LimitNews(2.0, 0.3), 10.2))
        self.assertIsNone(limit.per_s)

    def test_removal_of_a_limit_is_broadcast_for_a_while(self) -> None:
        limit = StatedLimit()
        limit.update_from_answer(2.0, 1.0, 1.0)
        limit.update_from_answer(None, 2.0, 2.0)
        self.assertEqual(limit.to_broadcast(2.5), LimitNews(None, 0.5))
        self.assertIsNone(limit.to_broadcast(2.1 + REMOVAL_BROADCAST_S))

    def test_limit_outlasts_a_lapsed_entry_but_not_a_new_incarnation(self) -> None:
        balancer = LoadBalancer("a")
        balancer.apply(SERVERS)
        balancer.views["s0"].standing.limit.update_from_answer(2.0, 1.0, 1.0)
        balancer.apply(SERVERS[1:])
        balancer.apply(SERVERS)
        self.assertEqual(balancer.views["s0"].limit_per_s, 2.0)
        self.assertEqual(balancer.group("plain").limited.names, {"s0"})
        balancer.apply(SERVERS[1:])
        self.assertEqual(balancer.group("plain").limited.names, set())
        balancer.apply([Server("s0#2", "plain", "h:0", "a", 4), *SERVERS[1:]])
        self.assertIsNone(balancer.views["s0#2"].limit_per_s)

    def test_choice_does_not_scan_all_servers_that_are_held(self) -> None:
        balancer = LoadBalancer("a")
        balancer.apply([Server(f"s{each}", "plain", f"h:{each}", "a", 4) for each in range(3_000)])
        limits = {name: LimitNews(1.0, 0.0) for name in balancer.views}
        balancer.notices.merge_peer_limits(limits, "n1", 10.0)
        for number, view in enumerate(balancer.views.values()):
            view.hold_until(11.0 + number)
        group = balancer.group("plain")
        with mock.patch.object(
            ServerStanding, "is_held", autospec=True, side_effect=ServerStanding.is_held
        ) as is_held:
            self.assertEqual(group.candidates(10.5, frozenset()), [])
            self.assertEqual(group.retry_in_s(10.5), 0.5)
            self.assertEqual(group.limited.total_per_s(), 3_000.0)
            self.assertEqual(len(group.candidates(11.1, frozenset())), 1)
        self.assertLess(is_held.call_count, 20)

    def test_removal_of_a_limit_releases_a_held_server(self) -> None:
        balancer = LoadBalancer("a")
        balancer.apply(SERVERS[:1])
        view = balancer.views["s0"]
        balancer.notices.merge_peer_limits({"s0": LimitNews(0.2, 0.0)}, "n1", 10.0)
        view.hold_until(15.0)
        group = balancer.group("plain")
        self.assertEqual(group.candidates(10.1, frozenset()), [])
        self.assertEqual(group.retry_in_s(10.1), 15.0 - 10.1)
        balancer.notices.merge_peer_limits({"s0": LimitNews(None, 0.0)}, "n1", 10.2)
        self.assertEqual(group.candidates(10.2, frozenset()), [view])


if __name__ == "__main__":
    unittest.main()
