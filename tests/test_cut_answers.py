"""Answers that break off do not look complete to their callers, however they are framed."""

import asyncio
import unittest

from result import Err

from moledale.platform.engines import PlatformEngines
from moledale.platform.store import PlatformStore
from moledale.scheduling.stream_runs import Moved
from tests.cut_world import Cut, start_cluster
from tests.gateway_world import (
    LAST_CHUNK,
    Arrival,
    GatewayWorld,
    Script,
    ScriptedServer,
    answer_ok,
    chunk,
    event,
    make_plan,
    request_bytes,
    run_quietly,
    send_and_reset,
    stream_head,
    unframed_head,
)
from tests.test_gateway_nodes import Cluster, ask, make_config, run_on_cluster, wait_until

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter

LONG_BODY_BYTES = 3_000_000
ALL_EVENTS = b"".join(event(number) for number in range(1, 6))
TOKENS_OF_FIVE_EVENTS = {"Token-Count": "100,15"}
"""The plan states three tokens per event, so the stream has five events at most."""


def unframed(body: bytes, status: int = 200) -> Script:
    """Return a script that answers without a length or chunks, and closes the connection."""

    async def script(arrival: Arrival, _: Reader, writer: Writer) -> None:
        writer.write(unframed_head(arrival, status) + body)
        await writer.drain()
        writer.close()

    return script


def unframed_then_reset(body: bytes) -> Script:
    """Return a script that answers without a length or chunks, and resets the connection."""

    return send_and_reset(lambda arrival: unframed_head(arrival) + body)


def chunked(body: bytes) -> Script:
    """Return a script that frames a body as complete, in chunks."""

    async def script(arrival: Arrival, _: Reader, writer: Writer) -> None:
        writer.write(stream_head(arrival) + chunk(body) + LAST_CHUNK)

    return script


async def chunked_rest(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Send the events after the last event id, up to five, in chunks."""
    after = int(arrival.get("last-event-id") or 0)
    rest = b"".join(event(number) for number in range(after + 1, 6))
    writer.write(stream_head(arrival) + chunk(rest) + LAST_CHUNK)


async def unframed_rest(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Send the events after the last event id, up to five, without a length or chunks."""
    after = int(arrival.get("last-event-id") or 0)
    rest = b"".join(event(number) for number in range(after + 1, 6))
    await unframed(rest)(arrival, _, writer)


async def one_unframed_event(arrival: Arrival, reader: Reader, writer: Writer) -> None:
    """Send one event without a length or chunks, and keep the connection open."""
    writer.write(unframed_head(arrival) + event(1))
    await reader.read()


TWO_EVENTS_AND_A_HALF = event(1) + event(2) + event(3)[:7]


class CutStreamsTest(unittest.TestCase):
    """Streams whose connection ends in order although they are not complete."""

    def test_stream_without_framing_that_ends_inside_an_event_does_not_look_complete(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", unframed(TWO_EVENTS_AND_A_HALF))
                got = await world.send_request("/draft/")
                self.assertEqual(got.status, 200)
                self.assertFalse(got.whole)

        run_quietly(work())

    def test_framed_stream_that_ends_inside_an_event_does_not_look_complete(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", chunked(TWO_EVENTS_AND_A_HALF))
                got = await world.send_request("/draft/")
                self.assertFalse(got.whole)

        run_quietly(work())

    def test_stream_that_ends_inside_its_first_event_is_not_answered_with_success(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", unframed(event(1)[:7]))
                got = await world.send_request("/draft/")
                self.assertEqual((got.status, got.whole), (502, True))

        run_quietly(work())

    def test_resumable_stream_that_ends_inside_an_event_goes_on_at_another_server(self) -> None:
        for body in (TWO_EVENTS_AND_A_HALF, event(1)[:7]):
            for framing in (unframed, chunked):
                with self.subTest(body=body, framing=framing.__name__):
                    run_quietly(self._continues(framing(body), chunked_rest))

    def test_whole_answer_of_another_type_is_not_taken_for_a_cut_event(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", answer_ok)
                for path in ("/draft/", "/review/"):
                    got = await world.send_request(path)
                    self.assertEqual((got.status, got.body, got.whole), (200, b"fine", True))

        run_quietly(work())

    def test_rest_of_a_stream_may_come_without_framing(self) -> None:
        for first in (unframed(TWO_EVENTS_AND_A_HALF), chunked(TWO_EVENTS_AND_A_HALF)):
            run_quietly(self._continues(first, unframed_rest, TOKENS_OF_FIVE_EVENTS))

    async def _continues(
        self, first: Script, second: Script, headers: dict[str, str] | None = None
    ) -> None:
        async with GatewayWorld(make_plan()) as world:
            await world.start_server("s1", "model", first)
            await world.start_server("s2", "model", second)
            got = await world.send_request("/review/", headers=headers)
            self.assertEqual((got.status, got.body, got.whole), (200, ALL_EVENTS, True))

    def test_chunked_answer_does_not_end_with_a_rest_that_may_have_broken_off(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", chunked(TWO_EVENTS_AND_A_HALF))
                await world.start_server("s2", "model", unframed(event(3) + event(4)))
                headers = {"Token-Count": "100,150"}
                got = await world.send_request("/review/", headers=headers)
                self.assertTrue(got.framed)
                self.assertFalse(got.whole)

        run_quietly(work())

    def test_whole_stream_without_framing_reaches_its_caller_and_closes(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", unframed(ALL_EVENTS))
                for path in ("/draft/", "/review/"):
                    got = await world.send_request(path)
                    self.assertEqual((got.status, got.body, got.whole), (200, ALL_EVENTS, True))
                    self.assertFalse(got.framed)
                    self.assertEqual(got.headers["connection"], "close")

        run_quietly(work())

    def test_stream_without_framing_that_ends_between_events_is_not_framed(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                body = event(1) + event(2)
                await world.start_server("s1", "model", unframed(body))
                got = await world.send_request("/draft/")
                self.assertEqual((got.status, got.body, got.framed), (200, body, False))

        run_quietly(work())

    def test_stream_without_framing_that_ends_before_its_first_event_is_no_success(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", unframed(b""))
                self.assertEqual((await world.send_request("/draft/")).status, 502)
                await world.start_server("s2", "model", chunked_rest)
                got = await world.send_request("/review/")
                self.assertEqual((got.status, got.body, got.whole), (200, ALL_EVENTS, True))

        run_quietly(work())

    def test_caller_that_has_all_events_gets_the_empty_rest_of_its_stream(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", unframed(b""))
                got = await world.send_request("/review/", headers={"Last-Event-Id": "5"})
                self.assertEqual((got.status, got.body, got.whole), (200, b"", True))

        run_quietly(work())

    def test_caller_of_an_unframed_stream_that_is_reset_sees_a_reset(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", unframed_then_reset(event(1)))
                got = await world.send_request("/draft/")
                self.assertEqual((got.status, got.whole), (200, False))

        run_quietly(work())

    def test_node_that_is_killed_resets_the_unframed_streams_of_its_callers(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", one_unframed_event)
                reader, writer = await world.connect()
                writer.write(request_bytes("/draft/"))
                await reader.readuntil(event(1))
                (connection,) = world.listener.connections
                assert connection._transport is not None
                # The kernel closes the sockets of a process that was killed in the same way.
                connection._transport.abort()
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
                writer.close()

        run_quietly(work())

    def test_caller_of_an_unframed_stream_sees_a_reset_at_its_time_limit(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", one_unframed_event)
                got = await world.send_request("/draft/", headers={"Deadline-Ms": "300"})
                self.assertEqual((got.status, got.whole), (200, False))

        run_quietly(work())


class CutPlainAnswersTest(unittest.TestCase):
    """Answers other than streams, whose end only the end of their connection shows."""

    def test_answer_without_framing_gets_none_from_the_node(self) -> None:
        for body in (b"all of it", b"x" * LONG_BODY_BYTES, b""):
            for path in ("/order/", "/check/"):
                with self.subTest(size=len(body), path=path):
                    run_quietly(self._is_not_framed(path, body, 200))

    def test_failure_without_framing_gets_none_from_the_node(self) -> None:
        run_quietly(self._is_not_framed("/order/", b"failed", 500))
        run_quietly(self._is_not_framed("/check/", b"failed", 500))
        run_quietly(self._is_not_framed("/draft/", b"failed", 404))

    async def _is_not_framed(self, path: str, body: bytes, status: int) -> None:
        async with GatewayWorld(make_plan()) as world:
            for service in ("plain", "model"):
                await world.start_server(f"{service}-1", service, unframed(body, status))
            got = await world.send_request(path)
            self.assertEqual((got.status, got.body, got.whole), (status, body, True))
            self.assertFalse(got.framed)
            self.assertEqual(got.headers["connection"], "close")

    def test_long_answer_without_framing_that_is_reset_does_not_look_complete(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                script = unframed_then_reset(b"x" * LONG_BODY_BYTES)
                await world.start_server("s1", "plain", script)
                got = await world.send_request("/order/")
                self.assertFalse(got.whole)

        run_quietly(work())

    def test_long_safe_answer_that_breaks_off_gets_no_second_answer_inside(self) -> None:
        break_off = send_and_reset(
            lambda arrival: stream_head(arrival) + chunk(b"x" * LONG_BODY_BYTES)
        )

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", break_off)
                second = await world.start_server("s2", "plain", answer_ok)
                reader, writer = await world.connect()
                writer.write(request_bytes("/check/"))
                async with asyncio.timeout(5):
                    got = await reader.read(-1)
                self.assertEqual(got.count(b"HTTP/1.1 "), 1)
                self.assertFalse(got.endswith(LAST_CHUNK))
                self.assertEqual(second.arrivals, [])
                writer.close()

        run_quietly(work())

    def test_next_request_of_the_connection_is_not_started(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", unframed(b"all"))
                reader, writer = await world.connect()
                first = request_bytes("/order/", request_id="r1")
                writer.write(first + request_bytes("/order/", request_id="r2"))
                async with asyncio.timeout(2):
                    got = await reader.read()
                self.assertTrue(got.endswith(b"\r\n\r\nall"), got)
                self.assertEqual([each.get("request-id") for each in server.arrivals], ["r1"])
                writer.close()

        run_quietly(work())


class CutOrdersTest(unittest.TestCase):
    """Answers of engines and of the store whose connection ends in order inside them."""

    WHOLE_MOVE = b'{"handle":"h1","made":3}'
    WHOLE_ROWS = b'{"rows":[],"more":false,"ver":5,"now_ms":1000}'

    async def _serve(self, body: bytes) -> tuple[ScriptedServer, str]:
        server = ScriptedServer("s1", unframed(body))
        await server.start()
        return server, server.address

    def test_move_whose_answer_breaks_off_has_no_copy_to_go_on_from(self) -> None:
        async def work() -> None:
            for size in range(len(self.WHOLE_MOVE)):
                server, address = await self._serve(self.WHOLE_MOVE[:size])
                outcome = await PlatformEngines().move(address, "r1", "t:1", True, 1.0)
                self.assertIsInstance(outcome, Err)
                self.assertTrue(outcome.unwrap_err().sent)
                server.stop()
            server, address = await self._serve(self.WHOLE_MOVE)
            outcome = await PlatformEngines().move(address, "r1", "t:1", True, 1.0)
            self.assertEqual(outcome.unwrap(), Moved("h1", 3))
            server.stop()

        run_quietly(work())

    def test_answer_of_the_store_that_breaks_off_is_a_failed_call(self) -> None:
        async def work() -> None:
            for size in range(len(self.WHOLE_ROWS)):
                server, address = await self._serve(self.WHOLE_ROWS[:size])
                store = PlatformStore(address)
                read = await store.read("t", 1.0)
                written = await store.write("t", "k", b"v", 0, 1.0)
                failures = [read.unwrap_err(), written.unwrap_err()]
                self.assertEqual([each.uncertain for each in failures], [True, True])
                server.stop()
            server, address = await self._serve(self.WHOLE_ROWS)
            self.assertEqual((await PlatformStore(address).read("t", 1.0)).unwrap().version, 5)
            server.stop()

        run_quietly(work())


class RelayedCutAnswersTest(unittest.TestCase):
    """Answers that reach a node through a peer."""

    def test_relayed_answer_without_framing_gets_none_from_the_node(self) -> None:
        async def work(cluster: Cluster) -> None:
            await self._cut_first_node(cluster, "unsafe")
            cluster.backend.script = unframed(b"all of it")
            got = await cluster.ask("n1")
            self.assertEqual((got.status, got.body, got.whole), (200, b"all of it", True))
            self.assertFalse(got.framed)

        run_on_cluster(work)

    def test_relayed_stream_that_ends_inside_an_event_does_not_look_complete(self) -> None:
        async def work(cluster: Cluster) -> None:
            await self._cut_first_node(cluster, "streaming")
            for script in (unframed(TWO_EVENTS_AND_A_HALF), chunked(TWO_EVENTS_AND_A_HALF)):
                cluster.backend.script = script
                got = await cluster.ask("n1")
                self.assertFalse(got.whole)

        run_on_cluster(work)

    def test_stream_that_a_peer_frames_as_complete_inside_an_event_is_broken_off(self) -> None:
        async def work(cluster: Cluster) -> None:
            await self._cut_first_node(cluster, "streaming")
            peer = await asyncio.start_server(_peer_of_a_former_build, "127.0.0.1", 0)
            node = cluster.nodes["n1"]
            address = f"127.0.0.1:{peer.sockets[0].getsockname()[1]}"
            (alive,) = node.forwarder.relay._alive()
            node.forwarder.relay._alive = lambda: [
                type(alive)(**{**_fields(alive), "peer": address})
            ]
            got = await ask(node.settings.node.callers, request_bytes("/check/"))
            self.assertEqual((got.status, got.whole), (200, False))
            peer.close()

        run_on_cluster(work)

    async def _cut_first_node(self, cluster: Cluster, kind: str) -> None:
        """Start two nodes, and cut the first one from the only server."""
        config = make_config(2)
        assert isinstance(config, dict)
        config["routes"][0].update({"kind": kind})
        cluster.platform.put("op", "config", config)
        links = await start_cluster(cluster, 2, 1)
        links["n1"].fail(Cut.REFUSE)
        cluster.backend.script = answer_ok
        await cluster.ask("n1")
        reachability = cluster.nodes["n1"].balancer.reachability
        await wait_until(lambda: reachability.is_unreachable("plain"))


def _fields(state: object) -> dict[str, object]:
    return {name: getattr(state, name) for name in type(state).__struct_fields__}  # type: ignore[attr-defined]


async def _peer_of_a_former_build(reader: Reader, writer: Writer) -> None:
    """Frame a stream that broke off as complete, as peers of former builds do."""
    await reader.readuntil(b"\r\n\r\n")
    arrival = Arrival("", [("Request-Id", "r1")], b"", 1, 0.0)
    writer.write(stream_head(arrival) + chunk(TWO_EVENTS_AND_A_HALF) + LAST_CHUNK)
    writer.close()


if __name__ == "__main__":
    unittest.main()
