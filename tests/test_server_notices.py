"""What servers state about themselves in answers affects the choice for later requests."""

import asyncio
import unittest

import logbook
import msgspec

from moledale.clock import monotonic
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.messages import AnswerHead, Server
from moledale.gateway.node import GatewayNode
from moledale.gateway.plan import Renting
from moledale.gateway.renting import RentingPlanner
from moledale.gateway.server_notices import MAX_BROADCAST_SERVERS, PEER_RETRY_DELAY_S
from moledale.gateway.server_view import ServerView, record_silence
from moledale.gateway.upstream import UpstreamConnection
from moledale.platform.headers import PlatformHeaders
from standins.rows import StoreMode
from tests.gateway_world import (
    STAMP_HEADER,
    Arrival,
    CallerAnswer,
    GatewayWorld,
    ScriptedServer,
    answer,
    answer_ok,
    make_plan,
    read_answer,
    request_bytes,
    run_quietly,
)
from tests.test_gateway_evacuation import EnginePair
from tests.test_gateway_nodes import Cluster, ask, ready, run_on_cluster, wait_until

LEAVES = b"Server-Leaving: 1\r\n"
RETRY_AFTER_S = 1.2
"""Retry time that a declining server states: several times the half second in which requests in
flight may still arrive."""

RETRY_LATER = b"Not-Executed: 1\r\nRetry-After: %.1f\r\n" % RETRY_AFTER_S


async def answer_leaving(
    arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer completely and state that the server is leaving."""
    writer.write(answer(arrival, extra_headers=STAMP_HEADER + LEAVES))


async def answer_slowly(
    arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer so late that the other server looks better."""
    await asyncio.sleep(0.05)
    writer.write(answer(arrival))


async def decline_with_retry_time(
    arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reject the request and state when to retry."""
    writer.write(answer(arrival, b"", 503, RETRY_LATER))


async def decline_without_retry_time(
    arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reject the request without a time to retry."""
    writer.write(answer(arrival, b"", 503, b"Not-Executed: 1\r\n"))


async def answer_misdirected(
    arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer as another server at the same address, which is leaving."""
    writer.write(answer(arrival, b"", 421, b"Not-Executed: 1\r\n" + LEAVES))


async def ask_node(node: GatewayNode) -> CallerAnswer:
    """Send one request to a node."""
    return await ask(node.settings.node.callers, request_bytes("/check/"))


async def start_two_nodes(cluster: Cluster) -> tuple[GatewayNode, GatewayNode]:
    """Start two nodes and wait until they know each other."""
    first = await cluster.start("n1")
    second = await cluster.start("n2", (first.settings.node.control,))
    for node in (first, second):
        await wait_until(ready(node))
        await wait_until(lambda node=node: bool(node.members.members))
    return first, second


class NextChoiceTest(unittest.TestCase):
    """Guards against choices that ignore what a server stated in an earlier answer.

    While the store was down, nodes kept sending requests to servers that had stated that they are
    leaving (one 6.8 s later). Servers that rejected requests with a retry time got five and more
    requests from the same node within that time, although others were free. The cause was that an
    answer only affected the request that it belongs to.
    """

    def test_later_requests_follow_what_an_answer_stated(self) -> None:
        for name, script in (
            ("leaves", answer_leaving),
            ("states when to retry", decline_with_retry_time),
        ):
            with self.subTest(name):
                run_quietly(self._ask_after(script))

    async def _ask_after(self, script: object) -> None:
        async with GatewayWorld(make_plan()) as world:
            first = await world.start_server("s1", "plain", script)  # type: ignore[arg-type]
            other = await world.start_server("s2", "plain", answer_slowly)
            await world.send_request("/check/")
            for number in range(4):
                got = await world.send_request("/order/", request_id=f"r{number}")
                self.assertEqual(got.status, 200)
            self.assertEqual(len(first.arrivals), 1)
            self.assertGreaterEqual(len(other.arrivals), 4)


def make_rejection_head(*values: tuple[str, str]) -> AnswerHead:
    """Return the head of an answer that rejects a request."""
    named = [(name.encode(), value.encode()) for name, value in values]
    return AnswerHead(503, [(b"Not-Executed", b"1"), *named])


class HeaderValuesTest(unittest.TestCase):
    """Valid and invalid values of the Retry-After and Server-Leaving header fields."""

    def seconds(self, *values: tuple[str, str]) -> float | None:
        return PlatformHeaders().read_answer(make_rejection_head(*values)).statement.retry_after_s

    def test_whole_and_fractional_seconds(self) -> None:
        for text, seconds in (("3", 3.0), ("0.25", 0.25), ("0", 0.0), ("86400", 86_400.0)):
            self.assertEqual(self.seconds(("Retry-After", text)), seconds)

    def test_invalid_time_counts_as_none_and_is_logged(self) -> None:
        for text in ("-1", "nan", "inf", "soon", "", "Wed, 21 Oct 2026 07:28:00 GMT"):
            with logbook.TestHandler().applicationbound() as handler:
                self.assertIsNone(self.seconds(("Retry-After", text)), text)
            lines = [record.message for record in handler.records]
            self.assertEqual([line[:4] for line in lines], ["E423"], text)

    def test_date_counts_from_the_answers_own_date(self) -> None:
        date = ("Date", "Wed, 21 Oct 2026 07:28:00 GMT")
        until = ("Retry-After", "Wed, 21 Oct 2026 07:28:07 GMT")
        self.assertEqual(self.seconds(date, until), 7.0)
        before = ("Retry-After", "Wed, 21 Oct 2026 07:27:00 GMT")
        self.assertEqual(self.seconds(date, before), 0.0)

    def test_longer_of_two_counts(self) -> None:
        self.assertEqual(self.seconds(("Retry-After", "2"), ("Retry-After", "5")), 5.0)
        self.assertEqual(self.seconds(("Retry-After", "2"), ("Retry-After", "x")), 2.0)

    def test_only_the_value_1_means_leaving(self) -> None:
        for text, leaving in (("1", True), (" 1 ", True), ("0", False), ("", False), ("11", False)):
            facts = PlatformHeaders().read_answer(make_rejection_head(("Server-Leaving", text)))
            self.assertEqual(facts.statement.leaving, leaving, text)
        both = make_rejection_head(("Server-Leaving", "0"), ("server-leaving", "1"))
        self.assertTrue(PlatformHeaders().read_answer(both).statement.leaving)


class LeavingTest(unittest.TestCase):
    """A server's statement that it is leaving holds until another incarnation of it is listed."""

    def test_list_does_not_override_a_leaving_statement(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "plain", answer_leaving)
                await world.start_server("s2", "plain", answer_slowly)
                await world.send_request("/order/")
                world.update_listed("s1", slots=5)
                self.assertEqual((await world.send_request("/order/")).status, 200)
                world.unlist("s1")
                world.update_listed("s2", slots=5)
                await self.relist_as_ready(world, first)
                self.assertEqual((await world.send_request("/order/")).status, 200)
                self.assertEqual(len(first.arrivals), 1)

        run_quietly(work())

    async def relist_as_ready(self, world: GatewayWorld, server: ScriptedServer) -> None:
        """List a server as ready again after its entry lapsed."""
        world._listed.append(Server(server.id, "plain", server.address, "hall-a", 4))
        world.balancer.apply(world._listed)

    def test_leaving_statement_counts_though_the_list_had_it_first(self) -> None:
        balancer = LoadBalancer("a")
        ready = Server("s1", "model", "h:1", "a", 64)
        balancer.apply([msgspec.structs.replace(ready, leaving=True)])
        self.assertIsNone(balancer.notices.record_leaving("s1"))
        balancer.apply([ready])
        self.assertTrue(balancer.views["s1"].server.leaving)

    def test_another_incarnation_gets_requests(self) -> None:
        for name, same_id in (("another address", True), ("another id", False)):
            with self.subTest(name):
                run_quietly(self._check_next_incarnation(same_id))

    async def _check_next_incarnation(self, same_id: bool) -> None:
        async with GatewayWorld(make_plan()) as world:
            first = await world.start_server("s1", "plain", answer_leaving)
            await world.send_request("/order/")
            self.assertEqual((await world.send_request("/order/")).status, 503)
            world.unlist("s1")
            if same_id:
                first.stop()
                await first.start()
                incarnation = Server("s1", "plain", first.address, "hall-a", 4)
            else:
                incarnation = Server("s1#2", "plain", first.address, "hall-a", 4)
            world.balancer.apply([incarnation])
            self.assertEqual((await world.send_request("/order/")).status, 200)

    def test_leaving_statement_of_another_server_at_the_address_is_ignored(self) -> None:
        """The server gets no requests for a while, but does not count as leaving."""

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "plain", answer_misdirected)
                await world.start_server("s2", "plain", answer_slowly)
                for _ in range(4):
                    self.assertEqual((await world.send_request("/order/")).status, 200)
                self.assertEqual(len(first.arrivals), 1)
                self.assertFalse(world.balancer.views["s1"].server.leaving)
                self.assertEqual(world.balancer.notices.leaving_ahead_of_list(), [])

        run_quietly(work())

    def test_leaving_statement_of_an_invalid_answer_is_ignored(self) -> None:
        async def unsigned(arrival: Arrival, _: object, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(arrival, extra_headers=LEAVES))

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", unsigned)
                self.assertEqual((await world.send_request("/order/")).status, 502)
                self.assertFalse(world.balancer.views["s1"].server.leaving)

        run_quietly(work())

    def test_leaving_statement_during_a_connect_counts(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "plain", answer_ok)
                await world.start_server("s2", "plain", answer_slowly)
                acquire = world.pool.acquire

                async def acquire_slowly(server: str, address: str) -> UpstreamConnection:
                    connection = await acquire(server, address)
                    if server == "s1":
                        world.forwarder.handle_leaving_server("s1")
                    return connection

                world.pool.acquire = acquire_slowly  # type: ignore[method-assign]
                self.assertEqual((await world.send_request("/order/")).status, 200)
                self.assertEqual(first.arrivals, [])

        run_quietly(work())

    def test_streams_of_a_leaving_server_are_moved(self) -> None:
        """An answer states it while a stream is in flight there; the stream continues elsewhere."""

        async def work() -> None:
            pair = EnginePair()
            may_answer = asyncio.Event()

            async def first(
                arrival: Arrival, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                if arrival.body == b"short":
                    await may_answer.wait()
                    writer.write(answer(arrival, b"", 400, STAMP_HEADER + LEAVES))
                else:
                    await pair.script(arrival, reader, writer)

            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "model", first)
                reader, writer = await world.connect()
                writer.write(request_bytes("/draft/", headers={"Token-Count": "100,600"}))
                await server.arrived.wait()
                short = asyncio.create_task(
                    world.send_request("/draft/", body=b"short", request_id="r2")
                )
                await asyncio.sleep(0.1)
                await world.start_server("s2", "model", pair.script)
                may_answer.set()
                self.assertEqual((await short).status, 400)
                got = await read_answer(reader)
                writer.close()
                self.assertTrue(got.whole)
                self.assertEqual(len(pair.continued), 1)

        run_quietly(work())


class RetryAfterTest(unittest.TestCase):
    """A stated retry time holds for all requests of a node; callers get it if no server is free."""

    def test_requests_are_rejected_at_once_while_all_servers_back_off(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "plain", decline_with_retry_time)
                await world.send_request("/open/")
                began = monotonic()
                got = await world.send_request("/check/")
                self.assertEqual(got.status, 503)
                self.assertLess(monotonic() - began, 0.1)
                retry_after_s = float(got.headers["retry-after"])
                self.assertGreater(retry_after_s, RETRY_AFTER_S - 0.2)
                self.assertLess(retry_after_s, RETRY_AFTER_S * 1.5 + 0.01)
                self.assertEqual(len(first.arrivals), 1)
                first.script = answer_ok
                await asyncio.sleep(RETRY_AFTER_S)
                self.assertEqual((await world.send_request("/check/")).status, 200)

        run_quietly(work())

    def test_retry_time_of_one_server_is_not_returned_while_others_are_free(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", decline_with_retry_time)
                await world.start_server("s2", "plain", answer_slowly)
                routes = tuple(
                    msgspec.structs.replace(each, max_servers=1) for each in make_plan().routes
                )
                world.forwarder.adopt(make_plan(2, routes=routes))
                got = await world.send_request("/order/")
                self.assertEqual(got.status, 503)
                self.assertLess(float(got.headers["retry-after"]), 0.5)
                self.assertEqual((await world.send_request("/order/")).status, 200)

        run_quietly(work())

    def test_zero_retry_time_is_no_backoff(self) -> None:
        async def decline_with_zero_retry_time(
            arrival: Arrival, _: object, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(answer(arrival, b"", 503, b"Not-Executed: 1\r\nRetry-After: 0\r\n"))

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "plain", decline_with_zero_retry_time)
                for _ in range(3):
                    await world.send_request("/order/")
                self.assertEqual(len(first.arrivals), 3)

        run_quietly(work())

    def test_declining_server_is_the_last_choice_but_stays_one(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "plain", decline_without_retry_time)
                other = await world.start_server("s2", "plain", answer_slowly)
                for _ in range(4):
                    self.assertEqual((await world.send_request("/order/")).status, 200)
                self.assertEqual(len(first.arrivals), 1)
                other.script = decline_without_retry_time
                got = await world.send_request("/order/")
                self.assertEqual((got.status, len(first.arrivals)), (503, 2))

        run_quietly(work())

    def test_decline_pauses_grow_and_end_with_an_accepted_request(self) -> None:
        view = ServerView(Server("s1", "plain", "h:1", "a", 4))
        for expected in (0.25, 0.5, 1.0, 2.0, 3.0, 3.0):
            now = view.standing.declined_until
            view.record_decline(now, None)
            self.assertAlmostEqual(view.standing.declined_until - now, expected)
        view.record_accepted(view.standing.declined_at - 0.1)
        self.assertTrue(view.is_deprioritized(view.standing.declined_at))
        view.record_accepted(view.standing.declined_at + 0.1)
        self.assertFalse(view.is_deprioritized(view.standing.declined_at))

    def test_stated_retry_time_outlasts_accepted_requests(self) -> None:
        view = ServerView(Server("s1", "plain", "h:1", "a", 4))
        view.record_decline(10.0, 3.0)
        view.record_decline(10.5, 1.0)
        view.record_accepted(9.0)
        view.record_accepted(11.0)
        self.assertFalse(view.is_open(12.9))
        self.assertTrue(view.is_open(13.0))

    def test_pauses_stay_bounded_after_thousands_of_failures(self) -> None:
        view = ServerView(Server("s1", "plain", "h:1", "a", 4))
        for each in range(5_000):
            view.record_decline(float(each), None)
            record_silence(view, float(each))
        self.assertEqual(view.standing.declined_until, 4_999.0 + 3.0)
        self.assertEqual(view.standing.paused_until, 4_999.0 + 3.0)

    def test_node_without_requests_counts_declines_of_peers(self) -> None:
        """A node in reserve may rent servers, and knows declines from peers only."""
        balancer = LoadBalancer("a")
        balancer.apply([Server("s1", "model", "h:1", "a", 64)])
        for step in range(20):
            balancer.notices.merge_peer_declines({"s1": 1.0}, 10.0 + 0.2 * step)
        self.assertEqual(balancer.group("model").unavailable_count(13.8, 4.0), 1)
        self.assertEqual(balancer.declined(13.8), {})
        balancer.notices.merge_peer_declines({"s1": 1.0}, 30.0)
        self.assertEqual(balancer.group("model").unavailable_count(30.0, 4.0), 0)

    def test_servers_that_decline_for_longer_than_a_boot_are_replaced(self) -> None:
        balancer = LoadBalancer("a")
        balancer.apply([Server(f"s{each}", "model", f"h:{each}", "a", 64) for each in range(4)])
        group = balancer.group("model")
        for name in ("s0", "s1"):
            balancer.views[name].record_decline(10.0, 3.0)
        balancer.views["s0"].record_decline(13.0, 3.0)
        self.assertEqual(group.unavailable_count(13.0, 4.0), 1)
        self.assertEqual(group.unavailable_count(16.5, 4.0), 0)
        renting = Renting(0, 8, 4.0, 0.25, {"a": 1.0, "b": 1.0})
        planner = RentingPlanner("model")
        usual = planner.need(renting)
        planner.unavailable = 1
        more = planner.need(renting)
        self.assertEqual((more.spot, more.on_demand), (usual.spot + 1, usual.on_demand + 1))


class ToldTest(unittest.TestCase):
    """Other nodes learn what servers stated, also while the store is down."""

    def test_other_nodes_send_nothing_to_a_server_that_leaves(self) -> None:
        async def work(cluster: Cluster) -> None:
            first, second = await start_two_nodes(cluster)
            cluster.backend.script = answer_leaving
            cluster.platform.mode = StoreMode.SILENT
            self.assertEqual((await ask_node(first)).status, 200)
            arrived = len(cluster.backend.arrivals)
            await wait_until(lambda: second.balancer.views["s1"].server.leaving)
            self.assertEqual((await ask_node(second)).status, 503)
            self.assertEqual(len(cluster.backend.arrivals), arrived)

        run_on_cluster(work)

    def test_other_nodes_retry_a_declining_server_later(self) -> None:
        async def work(cluster: Cluster) -> None:
            first, second = await start_two_nodes(cluster)
            cluster.backend.script = decline_with_retry_time
            self.assertEqual((await ask_node(first)).status, 503)
            now = monotonic()
            await wait_until(
                lambda: second.balancer.views["s1"].standing.peers_declined_until > now
            )
            view = second.balancer.views["s1"]
            self.assertGreater(view.standing.peers_declined_until, now + RETRY_AFTER_S)
            latest = monotonic() + RETRY_AFTER_S + PEER_RETRY_DELAY_S
            self.assertLessEqual(view.standing.peers_declined_until, latest)
            # It is the only server, and this node got no retry time from it.
            cluster.backend.script = answer_ok
            self.assertEqual((await ask_node(second)).status, 200)

        run_on_cluster(work)

    def test_a_state_holds_a_bounded_number_of_servers(self) -> None:
        balancer = LoadBalancer("a")
        names = [f"s{each}" for each in range(100)]
        balancer.apply([Server(name, "model", "h:1", "a", 64) for name in names])
        for name in names[:50]:
            balancer.views[name].record_decline(1.0, 5.0)
        for name in names[50:]:
            balancer.notices.record_leaving(name)
        self.assertEqual(len(balancer.declined(1.0)), MAX_BROADCAST_SERVERS)
        self.assertEqual(len(balancer.notices.leaving_ahead_of_list()), MAX_BROADCAST_SERVERS)

    def test_leaving_servers_in_the_list_are_not_broadcast(self) -> None:
        balancer = LoadBalancer("a")
        ready = Server("s1", "model", "h:1", "a", 64)
        balancer.apply([ready])
        balancer.notices.record_leaving("s1")
        self.assertEqual(balancer.notices.leaving_ahead_of_list(), ["s1"])
        balancer.apply([msgspec.structs.replace(ready, leaving=True)])
        self.assertEqual(balancer.notices.leaving_ahead_of_list(), [])
