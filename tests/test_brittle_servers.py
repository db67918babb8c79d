"""Servers that end when they must reject too many requests are spared by all nodes together."""

import asyncio
import unittest

import logbook

from moledale.clock import monotonic
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.brittle import (
    RETENTION_S,
    BrittleNews,
    BrittleServices,
    engine_room,
    own_rooms,
)
from moledale.gateway.messages import AnswerHead, Server
from moledale.platform.headers import PlatformHeaders
from tests.brittle_world import BrittleServer, make_brittle_server
from tests.cut_world import knows_all
from tests.gateway_world import request_bytes
from tests.test_gateway_nodes import Cluster, ask, run_on_cluster, wait_until

CONTACT_S = 3.0
"""Time after servers begin to state that they are brittle until they may fall over."""

MAX_FALLS = 2
"""Falls that are allowed in one brittle time, besides a tenth of the number of servers."""


class BrittleServersTest(unittest.TestCase):
    """Three nodes send three times what four servers of two slots take at once."""

    async def start(self, cluster: Cluster) -> list[BrittleServer]:
        """Start the nodes and brittle servers in place of the cluster's own one."""
        cluster.platform.drop("servers", cluster.backend.id)
        servers = [make_brittle_server(f"b{number}") for number in range(4)]
        for server in servers:
            await server.start()
            cluster.servers.append(server)
            cluster.list_server(server, "ready", slots=server.slots)
        nodes = [await cluster.start(f"n{number}", hall=f"hall-{number}") for number in range(1, 4)]
        await wait_until(lambda: all(knows_all(node, 3, len(servers)) for node in nodes))
        return servers

    async def send(self, cluster: Cluster, per_s: float, for_s: float) -> list[int]:
        """Send requests to the nodes in turn; return the statuses of their answers."""
        addresses = [node.settings.node.callers for node in cluster.nodes.values()]
        tasks = []
        ends_at = monotonic() + for_s
        while monotonic() < ends_at:
            data = request_bytes("/check/", request_id=f"r{len(tasks)}")
            tasks.append(asyncio.create_task(ask(addresses[len(tasks) % 3], data)))
            await asyncio.sleep(1 / per_s)
        return [(await task).status for task in tasks]

    def test_overload_of_brittle_servers_ends_few_of_them(self) -> None:
        async def work(cluster: Cluster) -> None:
            servers = await self.start(cluster)
            await self.send(cluster, 40.0, 0.5)
            for server in servers:
                server.max_rejections = 3
            await self.send(cluster, 240.0, CONTACT_S)
            for server in servers:
                server.falls.clear()
            statuses = await self.send(cluster, 240.0, 4.0)
            falls = sum(len(server.falls) for server in servers)
            self.assertLessEqual(falls, MAX_FALLS + len(servers) / 10)
            self.assertGreater(statuses.count(200), 100)

        run_on_cluster(work)


class RoomsTest(unittest.TestCase):
    def test_shares_of_serving_nodes_add_up_to_the_slots(self) -> None:
        slots = {"s1": 6, "s2": 2, "s3": 1}
        for count in (1, 2, 4, 9):
            nodes = [f"n{number}" for number in range(count)]
            rooms = [own_rooms(node, nodes, slots) for node in nodes]
            with_share = [each for each in rooms if sum(each.values()) > 1]
            for name, number in slots.items():
                total = sum(each[name] for each in rooms)
                self.assertGreaterEqual(total, number)
                if len(with_share) == count:
                    self.assertEqual(total, number)

    def test_node_without_a_share_may_use_one_slot_of_one_server(self) -> None:
        rooms = own_rooms("reserve", ["n1", "n2"], {"s1": 6, "s2": 6})
        self.assertEqual(sorted(rooms.values()), [0, 1])

    def test_engine_always_has_room_for_a_request(self) -> None:
        self.assertEqual([engine_room(slots) for slots in (1, 2, 8, 64)], [1, 1, 7, 56])


class StatementsTest(unittest.TestCase):
    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def test_statement_holds_for_some_time_after_the_last_answer_with_it(self) -> None:
        services = BrittleServices()
        self.assertTrue(services.record("plain", 3, 10.0))
        self.assertFalse(services.record("plain", 3, 12.0))
        services.expire(12.0 + RETENTION_S)
        self.assertTrue(services.is_brittle("plain"))
        services.expire(12.1 + RETENTION_S)
        self.assertFalse(services.is_brittle("plain"))

    def test_only_statements_of_own_answers_are_sent_to_peers(self) -> None:
        services = BrittleServices()
        services.merge({"plain": BrittleNews(3, 1.0)}, "n2", 10.0)
        self.assertTrue(services.is_brittle("plain"))
        self.assertEqual(services.to_broadcast(10.0), {})
        services.record("plain", 2, 10.5)
        self.assertEqual(services.to_broadcast(11.0), {"plain": BrittleNews(2, 0.5)})

    def test_more_rejections_allowed_shorten_the_pause_of_a_server(self) -> None:
        services = BrittleServices()
        services.nodes = 4
        for allowed, hold_s in ((0, 1.0), (2, 1.0), (4, 1.0), (8, 0.5), (40, 0.1)):
            services.record("plain", allowed, 10.0)
            self.assertAlmostEqual(services.hold_s("plain"), hold_s)

    def test_server_that_is_new_to_a_brittle_service_is_bounded_at_once(self) -> None:
        balancer = LoadBalancer("hall-a")
        servers = [Server(name, "plain", f"{name}:1", "hall-a", 6) for name in ("s1", "s2")]
        balancer.apply(servers[:1])
        balancer.notices.brittle.record("plain", 3, 10.0)
        balancer.refresh_rooms("n1", ["n1", "n2"], 10.0)
        balancer.apply(servers)
        self.assertEqual(balancer.views["s2"].own_room, 1)
        balancer.refresh_rooms("n1", ["n1", "n2"], 10.2)
        self.assertEqual(balancer.views["s2"].own_room, 3)
        balancer.refresh_rooms("n1", ["n1", "n2"], 20.0)
        self.assertIsNone(balancer.views["s2"].own_room)

    def test_old_news_do_not_make_a_service_brittle_again(self) -> None:
        services = BrittleServices()
        services.merge({"plain": BrittleNews(3, RETENTION_S)}, "n2", 10.0)
        self.assertFalse(services.is_brittle("plain"))


class HeaderTest(unittest.TestCase):
    def read(self, *values: bytes) -> int | None:
        """Return the rejections that an answer with these headers states."""
        headers = [(b"server-brittle", value) for value in values]
        return PlatformHeaders().read_answer(AnswerHead(200, headers)).statement.max_rejections

    def test_statement_is_read_from_any_answer(self) -> None:
        self.assertEqual(self.read(b"4"), 4)
        self.assertEqual(self.read(b"4", b"2"), 2)
        self.assertIsNone(self.read())

    def test_unreadable_statement_is_logged_and_ignored(self) -> None:
        with logbook.TestHandler() as handler:
            self.assertIsNone(self.read(b"many"))
        self.assertIn("E423", handler.records[0].message)


if __name__ == "__main__":
    unittest.main()
