"""A server that states a rate limit gets no more requests than that from all nodes together."""

import asyncio
import random
import unittest
from statistics import median
from unittest import mock

import logbook

from moledale.clock import monotonic
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.events import EventSplitter
from moledale.gateway.job import Job
from moledale.gateway.messages import Caller, InboundRequest, RequestFacts, RequestHead, Server
from moledale.gateway.peers import Membership
from moledale.gateway.permits import PermitAnswer, PermitAsk, standalone_permit_client
from moledale.gateway.placing import PlacementRequest, Placer
from moledale.gateway.plan import Engine, Kind, Route, Share
from moledale.gateway.reply import Reply
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing
from moledale.gateway.stated_limit import LimitNews
from moledale.gateway.turns import max_queue_wait_s
from moledale.gateway.upstream import UpstreamConnection
from moledale.platform.headers import PlatformHeaders
from tests.gateway_states import make_state
from tests.gateway_world import HOST, GatewayWorld, answer_ok, make_plan, run_quietly
from tests.limit_world import (
    Callers,
    make_limited_server,
    max_expected_arrivals,
    set_long_timeouts,
    start_nodes,
)
from tests.test_gateway_nodes import Cluster, run_on_cluster
from tests.test_server_notices import make_rejection_head


def grant_for_server_only(server: str, ask: PermitAsk) -> PermitAnswer:
    """Grant permits for the given server only."""
    return PermitAnswer(ask.serial, int(ask.server == server), 0.0 if ask.server == server else 9.0)


class SumOfAllNodesTest(unittest.TestCase):
    """Guards against nodes that together exceed the limit of a server.

    A server stated a limit of 1 request a second for all nodes and got 13 in 4 s from four nodes
    that had all forwarded such answers within 0.3 s. The nodes ignored the limit and chose servers
    by load only, by which a server that gets few requests looks idle.
    """

    def test_requests_of_all_nodes_stay_within_a_limit(self) -> None:
        for limit_per_s in (1.0, 0.4):
            with self.subTest(limit_per_s=limit_per_s):
                run_on_cluster(
                    lambda cluster, limit=limit_per_s: self._check_total_limit(cluster, limit)
                )

    async def _check_total_limit(self, cluster: Cluster, limit_per_s: float) -> None:
        limited = make_limited_server("s1", limit_per_s)
        cluster.backend = limited
        await limited.start()
        cluster.list_backend("ready")
        free = make_limited_server("s2", None)
        await free.start()
        cluster.list_server(free, "ready")
        set_long_timeouts(cluster)
        await start_nodes(cluster, 9)
        callers = Callers(cluster, random.Random(1))
        await callers.send_requests(6.0, 40.0)
        free.stop()
        self.assertEqual(set(callers.statuses), {200})
        self.assertLessEqual(
            callers.max_arrivals_in_window(limited), max_expected_arrivals(limit_per_s)
        )

    def test_limited_servers_are_used_when_no_other_is_free(self) -> None:
        """At least half of each limit is used, and what can't be served is rejected at once."""
        run_on_cluster(self._check_limited_servers_are_used)

    async def _check_limited_servers_are_used(self, cluster: Cluster) -> None:
        servers = [make_limited_server("s1", 4.0), make_limited_server("s2", 2.0)]
        cluster.backend = servers[0]
        for server in servers:
            await server.start()
            cluster.list_server(server, "ready")
        set_long_timeouts(cluster)
        await start_nodes(cluster, 9)
        callers = Callers(cluster, random.Random(1))
        await callers.send_requests(2.0, 20.0)
        before = [len(server.arrivals) for server in servers]
        seconds = 5.0
        await callers.send_requests(seconds, 20.0)
        for server, number in zip(servers, before, strict=True):
            limit_per_s = server.limit_per_s or 0.0
            self.assertLessEqual(
                callers.max_arrivals_in_window(server), max_expected_arrivals(limit_per_s)
            )
            self.assertGreaterEqual(len(server.arrivals) - number, limit_per_s * seconds / 2)
        self.assertEqual(set(callers.statuses), {200, 503})
        # A request of this rank waits for a permit for at most a quarter of its target.
        self.assertLess(median(callers.rejection_latencies_s), 0.5)
        self.assertGreater(len(set(callers.retry_after_s)), len(callers.retry_after_s) / 2)
        servers[1].stop()


class TurnTest(unittest.TestCase):
    """Requests wait for a permit of the only server as long as their target allows."""

    def test_waiting_requests_are_served_one_after_the_other(self) -> None:
        run_quietly(self._check_queued_requests())

    async def _check_queued_requests(self) -> None:
        routes = (
            Route("now", HOST, "/now/", Kind.SAFE, (Share("plain"),), 1.0, 2.0, priority=0),
            Route("later", HOST, "/later/", Kind.SAFE, (Share("plain"),), 1.0, 2.0, priority=4),
        )
        async with GatewayWorld(make_plan(routes=routes)) as world:
            server = make_limited_server("s1", 5.0)
            await world.add_server(server, "plain")
            # The first answer states the limit, which applies from the second request on.
            for _ in range(2):
                await world.send_request("/now/")
            await asyncio.sleep(0.5)
            later = [asyncio.create_task(world.send_request("/later/")) for _ in range(8)]
            await asyncio.sleep(0.02)
            now = [asyncio.create_task(world.send_request("/now/")) for _ in range(3)]
            answers = [await each for each in now]
            self.assertEqual([each.status for each in answers], [200, 200, 200])
            later_answers = [await each for each in later]
            # The permits saved while idle, and one within their wait: a fifth of half the target.
            self.assertIn([each.status for each in later_answers].count(200), (2, 3))
            rejected = [each for each in later_answers if each.status == 503]
            retry_times = [float(each.headers["retry-after"]) for each in rejected]
            self.assertEqual(len(set(retry_times)), len(retry_times))
            self.assertIn(b"at their limits", rejected[0].body)

    def test_safe_request_is_not_retried_at_a_server_without_permits(self) -> None:
        """A retry there would end in a 502, though the slow server answers."""

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = make_limited_server("s1", None)
                first.answer_s = 0.5
                await world.add_server(first, "plain")
                await world.add_server(make_limited_server("s2", 0.1), "plain")
                limit = {"s2": LimitNews(0.1, 0.0)}
                world.balancer.notices.merge_peer_limits(limit, "n2", monotonic())
                self.assertEqual((await world.send_request("/check/")).status, 200)
                self.assertEqual(len(first.arrivals), 1)

        run_quietly(work())

    def test_limit_received_during_a_connect_counts(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "plain", answer_ok)
                await world.start_server("s2", "plain", answer_ok)
                acquire = world.pool.acquire

                async def acquire_slowly(server: str, address: str) -> UpstreamConnection:
                    connection = await acquire(server, address)
                    if server == "s1":
                        limit = {"s1": LimitNews(0.1, 0.0)}
                        world.balancer.notices.merge_peer_limits(limit, "n2", monotonic())
                    return connection

                world.pool.acquire = acquire_slowly  # type: ignore[method-assign]
                self.assertEqual((await world.send_request("/order/")).status, 200)
                self.assertEqual(first.arrivals, [])

        run_quietly(work())

    def test_queue_wait_depends_on_rank_and_target_and_restarts_with_each_event(self) -> None:
        route = Route("r", HOST, "/r/", Kind.STREAM, (Share("model"),), 9.0, 2.0)
        head = RequestHead(b"POST", b"/r/", [])
        request = InboundRequest(head, b"", 100.0)
        job = Job(
            request,
            RequestFacts(),
            route,
            Caller(None, 0),
            "model",
            109.0,
            Reply(None, close_after=False),  # type: ignore[arg-type]
            EventSplitter(""),
        )
        self.assertAlmostEqual(max_queue_wait_s(job, 100.2), 0.8)
        self.assertEqual(max_queue_wait_s(job, 101.5), 0.0)
        job.record_event(105.0)
        self.assertAlmostEqual(max_queue_wait_s(job, 105.1), 0.9)
        job.deadline_at = 105.5
        self.assertAlmostEqual(max_queue_wait_s(job, 105.1), 0.4)
        job.caller.priority = 4
        self.assertAlmostEqual(max_queue_wait_s(job, 105.1), 0.1)

    def test_permit_is_found_where_most_servers_have_none(self) -> None:
        """All six servers have limits; one has a free permit, and the node can't know which."""

        async def work() -> None:
            balancer = LoadBalancer("a")
            balancer.apply([Server(f"s{each}", "plain", f"h:{each}", "a", 4) for each in range(6)])
            limits = {name: LimitNews(1.0, 0.0) for name in balancer.views}
            balancer.notices.merge_peer_limits(limits, "n2", monotonic())
            permits = standalone_permit_client(balancer, monotonic)
            with mock.patch.object(
                permits, "grant", side_effect=lambda ask: grant_for_server_only("s3", ask)
            ) as grant:
                placer = Placer(balancer, permits, monotonic)
                placement = await placer.place(PlacementRequest("plain", RequestFacts(), None))
                assert placement is not None
                self.assertEqual(placement.view.server.id, "s3")
                self.assertLessEqual(grant.call_count, 6)

        run_quietly(work())

    def test_streams_are_not_moved_to_a_server_without_permits(self) -> None:
        async def work() -> None:
            balancer = LoadBalancer("a")
            balancer.apply([Server(f"s{each}", "model", f"h:{each}", "a", 64) for each in range(3)])
            balancer.notices.merge_peer_limits({"s1": LimitNews(0.1, 0.0)}, "n2", monotonic())
            placer = Placer(balancer, standalone_permit_client(balancer, monotonic), monotonic)
            engine = Engine(4, 100_000, 1, 1000.0, moves=True, event_tokens=3)
            for number in range(6):
                facts = RequestFacts(id=f"r{number}", prompt_tokens=50)
                request = PlacementRequest("model", facts, engine, frozenset({"s0"}), moved=True)
                placement = await placer.place(request)
                assert placement is not None
                self.assertEqual(placement.view.server.id, "s2")

        run_quietly(work())


class RentingTest(unittest.TestCase):
    """Servers with low limits for longer than a new server takes to boot are replaced."""

    def test_capacity_lost_to_limits_is_counted_as_lost_servers(self) -> None:
        balancer = LoadBalancer("a")
        balancer.apply([Server(f"s{each}", "model", f"h:{each}", "a", 64) for each in range(6)])
        group = balancer.group("model")
        for name, limit in (("s0", 0.5), ("s1", 1.0), ("s2", 50.0), ("s3", 0.0)):
            balancer.notices.merge_peer_limits({name: LimitNews(limit, 0.0)}, "n1", 10.0)
        usual_per_s, boot_s = 5.0, 4.0
        self.assertEqual(group.limited.lost_servers(13.0, usual_per_s, boot_s), 0)
        # The lost shares of s0 to s3 are 0.9, 0.8, 0 and 1.
        self.assertEqual(group.limited.lost_servers(15.0, usual_per_s, boot_s), 2)
        self.assertEqual(group.limited.lost_servers(15.0, 0.0, boot_s), 1)
        balancer.notices.record_leaving("s3")
        self.assertEqual(group.limited.lost_servers(15.0, usual_per_s, boot_s), 1)

    def test_request_rate_includes_all_nodes(self) -> None:
        members = Membership("n0", 1)
        sharing = Sharing(members, Bounds(), now=lambda: 1.0)
        for _ in range(20):
            sharing.record_request("model", 1.0)
        members.merge(make_state("n1", sends={"model": (30, 2)}), 1.0)
        self.assertEqual(sharing.requests_per_s("model", 1.0), 5.0)


class HeaderValuesTest(unittest.TestCase):
    """Valid and invalid values of the Server-Limit header field."""

    def test_whole_and_fractional_limits(self) -> None:
        for text, limit in (("1", 1.0), ("0.4", 0.4), (" 50 ", 50.0), ("0", 0.0), ("1e9", 1e9)):
            stated = (
                PlatformHeaders().read_answer(make_rejection_head(("Server-Limit", text))).statement
            )
            self.assertEqual(stated.limit_per_s, limit, text)
            self.assertFalse(stated.limit_unreadable, text)

    def test_invalid_limit_is_unreadable_and_logged(self) -> None:
        for text in ("-1", "nan", "inf", "few", ""):
            with logbook.TestHandler().applicationbound() as handler:
                stated = (
                    PlatformHeaders()
                    .read_answer(make_rejection_head(("Server-Limit", text)))
                    .statement
                )
            self.assertIsNone(stated.limit_per_s, text)
            self.assertTrue(stated.limit_unreadable, text)
            self.assertEqual([record.message[:4] for record in handler.records], ["E423"], text)

    def test_lower_of_two_limits_counts(self) -> None:
        for texts, limit in ((("3", "2"), 2.0), (("x", "2"), 2.0)):
            named = make_rejection_head(*(("Server-Limit", text) for text in texts))
            stated = PlatformHeaders().read_answer(named).statement
            self.assertEqual(stated.limit_per_s, limit)
            self.assertFalse(stated.limit_unreadable)

    def test_answer_without_the_header_states_no_limit(self) -> None:
        stated = PlatformHeaders().read_answer(make_rejection_head()).statement
        self.assertIsNone(stated.limit_per_s)
        self.assertFalse(stated.limit_unreadable)


if __name__ == "__main__":
    unittest.main()
