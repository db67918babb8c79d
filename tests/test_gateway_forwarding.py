"""Forwarding under failure, as callers and servers see it on the wire."""

import asyncio
import unittest
from unittest import mock

from moledale.clock import monotonic
from moledale.gateway.events import END_OF_EVENT
from moledale.gateway.messages import Server
from moledale.gateway.plan import Limits
from tests.gateway_world import (
    API_KEY,
    LAST_CHUNK,
    STAMP_HEADER,
    Arrival,
    GatewayWorld,
    answer,
    answer_ok,
    chunk,
    event,
    make_plan,
    read_answer,
    request_bytes,
    reset,
    run_quietly,
    run_ticks,
    stream_head,
)

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


async def cut_answer(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Send half an answer, then reset the connection."""
    writer.write(answer(arrival, b"x" * 1000)[:-500])
    await writer.drain()
    reset(writer)


async def reset_at_once(_: Arrival, __: Reader, writer: Writer) -> None:
    """Reset the connection without an answer."""
    reset(writer)


async def answer_500(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Answer with a failure of the server."""
    writer.write(answer(arrival, b"bad", 500))


async def answer_not_executed(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Reject the request with the statement that it did not run."""
    writer.write(answer(arrival, b"", 503, b"Not-Executed: 1\r\n"))


async def answer_503(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Answer 503 without a statement that the request did not run."""
    writer.write(answer(arrival, b"busy", 503))


async def never_answer(_: Arrival, reader: Reader, __: Writer) -> None:
    """Send nothing until the gateway closes the connection."""
    await reader.read()


async def stream_events(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Send the events after the last event id, up to five, and complete the stream."""
    after = int(arrival.get("last-event-id") or 0)
    writer.write(stream_head(arrival))
    for number in range(after + 1, 6):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(LAST_CHUNK)


async def stream_and_reset(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Send two events and a part of the third, then reset the connection."""
    writer.write(stream_head(arrival))
    writer.write(chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:7]))
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


ALL_EVENTS = b"".join(event(number) for number in range(1, 6))


class WholeAnswersTest(unittest.TestCase):
    """Each caller gets its own complete answer, or one that does not look complete."""

    def test_request_and_answer_pass_unchanged(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_ok)
                body = bytes(range(256)) * 10
                got = await world.send_request(
                    "/check/a%2Fb?x=1&y=%20", body=body, headers={"X-Own": "v", "Tenant": "fake"}
                )
                arrival = server.arrivals[0]
                self.assertEqual((got.status, got.body, got.whole), (200, b"fine", True))
                self.assertEqual(got.headers["server-stamp"], "s1")
                self.assertEqual(arrival.line, "POST /check/a%2Fb?x=1&y=%20 HTTP/1.1")
                self.assertEqual(arrival.body, body)
                self.assertEqual(arrival.get("x-own"), "v")
                self.assertEqual(arrival.get("expect-instance"), "s1")
                self.assertEqual([v for k, v in arrival.headers if k == "Tenant"], ["north"])
                self.assertNotIn(API_KEY, str(arrival.headers))

        run_quietly(work())

    def test_answers_to_head_requests_have_no_body(self) -> None:
        async def answer_without_body(arrival: Arrival, _: Reader, writer: Writer) -> None:
            writer.write(answer(arrival, b"x" * 70)[:-70])

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_without_body)
                reader, writer = await world.connect()
                for number, key in ((1, API_KEY), (2, "unknown"), (3, API_KEY)):
                    headers = {"Authorization": f"Bearer {key}", "Content-Length": ""}
                    writer.write(request_bytes("/check/", "HEAD", b"", headers, f"r{number}"))
                    async with asyncio.timeout(0.5):
                        head = await reader.readuntil(b"\r\n\r\n")
                    expected = b"HTTP/1.1 200 " if key == API_KEY else b"HTTP/1.1 401 "
                    self.assertTrue(head.startswith(expected), head)
                writer.close()
                self.assertEqual([each.connection for each in server.arrivals], [1, 1])

        run_quietly(work())

    def test_chunked_body_reaches_the_server_whole(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_ok)
                reader, writer = await world.connect()
                head = request_bytes(
                    "/order/", headers={"Content-Length": "", "Transfer-Encoding": "chunked"}
                )
                writer.write(head + chunk(b"one ") + chunk(b"two") + LAST_CHUNK)
                got = await read_answer(reader)
                writer.close()
                self.assertEqual(got.status, 200)
                self.assertEqual(server.arrivals[0].body, b"one two")

        run_quietly(work())

    def test_truncated_answer_becomes_a_502(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", cut_answer)
                got = await world.send_request("/order/")
                self.assertEqual(got.status, 502)
                self.assertNotIn("server-stamp", got.headers)

        run_quietly(work())

    def test_answer_without_length_ends_with_its_connection(self) -> None:
        async def answer_until_close(arrival: Arrival, _: Reader, writer: Writer) -> None:
            request_id = (arrival.get("request-id") or "").encode()
            writer.write(
                b"HTTP/1.1 200 X\r\nRequest-Id: %b\r\n%b\r\nall" % (request_id, STAMP_HEADER)
            )
            await writer.drain()
            writer.close()

        async def answer_and_reset(arrival: Arrival, _: Reader, writer: Writer) -> None:
            request_id = (arrival.get("request-id") or "").encode()
            writer.write(
                b"HTTP/1.1 200 X\r\nRequest-Id: %b\r\n%b\r\nhalf" % (request_id, STAMP_HEADER)
            )
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_until_close)
                got = await world.send_request("/order/")
                self.assertEqual((got.status, got.body, got.whole), (200, b"all", True))
                server.script = answer_and_reset
                got = await world.send_request("/order/", request_id="r2")
                self.assertEqual(got.status, 502)

        run_quietly(work())

    def test_long_answer_is_relayed_while_it_arrives(self) -> None:
        body = bytes(3_000_000)

        async def answer_long(arrival: Arrival, _: Reader, writer: Writer) -> None:
            writer.write(answer(arrival, body))

        async def answer_long_and_close(arrival: Arrival, _: Reader, writer: Writer) -> None:
            writer.write(answer(arrival, body)[:2_500_000])
            await writer.drain()
            writer.close()

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_long)
                got = await world.send_request("/order/")
                self.assertEqual((got.status, got.whole, len(got.body)), (200, True, len(body)))
                server.script = answer_long_and_close
                got = await world.send_request("/order/", request_id="r2")
                self.assertEqual((got.status, got.whole), (200, False))

        run_quietly(work())

    def test_connection_with_surplus_bytes_is_not_reused(self) -> None:
        async def answer_twice(arrival: Arrival, _: Reader, writer: Writer) -> None:
            writer.write(answer(arrival) + answer(arrival, b"not yours"))

        async def send_surplus_late(arrival: Arrival, _: Reader, writer: Writer) -> None:
            writer.write(answer(arrival))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(answer(arrival, b"not yours"))

        async def work() -> None:
            for script in (answer_twice, send_surplus_late):
                async with GatewayWorld(make_plan()) as world:
                    server = await world.start_server("s1", "plain", script)
                    for number in range(4):
                        got = await world.send_request("/order/", request_id=f"r{number}")
                        self.assertEqual((got.status, got.body), (200, b"fine"))
                        await asyncio.sleep(0.1)
                    self.assertEqual(server.connections, 4)

        run_quietly(work())

    def test_answer_with_another_request_id_is_not_relayed(self) -> None:
        async def answer_with_another_id(arrival: Arrival, _: Reader, writer: Writer) -> None:
            arrival.headers = [("Request-Id", "someone-else")]
            writer.write(answer(arrival, b"not yours"))

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_with_another_id)
                got = await world.send_request("/order/")
                self.assertEqual(got.status, 502)
                self.assertNotIn(b"not yours", got.body)
                server.script = answer_ok
                self.assertEqual((await world.send_request("/order/", request_id="r2")).status, 200)
                self.assertEqual(server.connections, 2)

        run_quietly(work())

    def test_invalid_answer_becomes_a_502(self) -> None:
        async def send_garbage(_: Arrival, __: Reader, writer: Writer) -> None:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", send_garbage)
                self.assertEqual((await world.send_request("/order/")).status, 502)

        run_quietly(work())

    def test_early_answer_is_relayed(self) -> None:
        async def answer_early(arrival: Arrival, _: Reader, writer: Writer) -> None:
            writer.write(answer(arrival, b"too long", 413))

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_early)
                got = await world.send_request("/order/", body=b"x" * 100)
                self.assertEqual((got.status, got.body), (413, b"too long"))
                self.assertEqual(server.arrivals[0].body, b"x" * 100)

        run_quietly(work())


class RunsTest(unittest.TestCase):
    """A non-repeatable request runs at most once, and no answer is wrong about whether it ran."""

    def test_non_repeatable_request_is_not_retried_after_it_may_have_run(self) -> None:
        async def work() -> None:
            for script in (reset_at_once, cut_answer, answer_500):
                async with GatewayWorld(make_plan()) as world:
                    first = await world.start_server("s1", "plain", script)
                    second = await world.start_server("s2", "plain", script)
                    got = await world.send_request("/order/")
                    self.assertIn(got.status, (500, 502))
                    self.assertEqual(len(first.arrivals) + len(second.arrivals), 1)

        run_quietly(work())

    def test_non_repeatable_request_is_retried_if_it_did_not_run(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                servers = [
                    await world.start_server(f"s{n}", "plain", answer_not_executed) for n in (1, 2)
                ]
                got = await world.send_request("/order/")
                self.assertEqual(got.status, 503)
                self.assertGreater(float(got.headers["retry-after"]), 0)
                self.assertEqual([len(server.arrivals) for server in servers], [1, 1])
                servers[0].script = servers[1].script = answer_ok
                self.assertEqual((await world.send_request("/order/", request_id="r2")).status, 200)

        run_quietly(work())

    def test_reset_of_a_pooled_connection_causes_no_retry(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_ok)
                self.assertEqual((await world.send_request("/order/")).status, 200)
                server.script = reset_at_once
                self.assertEqual((await world.send_request("/order/", request_id="r2")).status, 502)
                self.assertEqual(len(server.arrivals), 2)

        run_quietly(work())

    def test_503_that_may_have_run_is_relayed_as_502(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_503)
                got = await world.send_request("/order/")
                self.assertEqual(got.status, 502)
                self.assertNotIn("server-stamp", got.headers)

        run_quietly(work())

    def test_safe_request_is_tried_at_a_second_server_and_no_third(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                servers = [
                    await world.start_server(f"s{n}", "plain", answer_500) for n in (1, 2, 3)
                ]
                got = await world.send_request("/check/")
                self.assertEqual((got.status, got.body), (500, b"bad"))
                self.assertEqual(sum(len(server.arrivals) for server in servers), 2)

        run_quietly(work())

    def test_retry_budget_limits_retries(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                servers = [await world.start_server(f"s{n}", "plain", answer_500) for n in (1, 2)]
                for number in range(100):
                    await world.send_request("/check/", request_id=f"r{number}")
                arrivals = sum(len(server.arrivals) for server in servers)
                self.assertGreater(arrivals, 100)
                allowed = 100 * world.bounds.retry_ratio + world.bounds.retry_slack
                self.assertLessEqual(arrivals - 100, allowed)

        run_quietly(work())

    def test_failed_connection_does_not_count_as_a_send(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                gone = await world.start_server("s1", "plain", answer_ok)
                gone.stop()
                await world.start_server("s2", "plain", answer_ok)
                for number in range(6):
                    got = await world.send_request("/order/", request_id=f"r{number}")
                    self.assertEqual(got.status, 200)

        run_quietly(work())

    def test_request_survives_several_unreachable_servers(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                for number in range(5):
                    (await world.start_server(f"a{number}", "plain", answer_ok)).stop()
                await world.start_server("b", "plain", answer_ok)
                self.assertEqual((await world.send_request("/order/")).status, 200)

        run_quietly(work())

    def test_leaving_server_gets_no_new_work(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                leaving = await world.start_server("s1", "plain", answer_ok)
                await world.start_server("s2", "plain", answer_ok)
                world.update_listed("s1", leaving=True)
                for number in range(6):
                    await world.send_request("/check/", request_id=f"r{number}")
                self.assertEqual(leaving.arrivals, [])

        run_quietly(work())

    def test_request_names_the_instance_it_expects_at_an_address(self) -> None:
        async def answer_misdirected(arrival: Arrival, _: Reader, writer: Writer) -> None:
            self.assertEqual(arrival.get("expect-instance"), "s1")
            writer.write(answer(arrival, b"", 421, b"Instance-Id: other\r\n"))

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_misdirected)
                got = await world.send_request("/order/")
                self.assertEqual(got.status, 503)

        run_quietly(work())


class TimeTest(unittest.TestCase):
    """A request has one deadline for all attempts, and is cancelled when its caller disconnects."""

    def test_retry_gets_the_remaining_deadline(self) -> None:
        async def decline_slowly(arrival: Arrival, _: Reader, writer: Writer) -> None:
            await asyncio.sleep(0.3)
            await answer_not_executed(arrival, _, writer)

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                servers = [
                    await world.start_server(f"s{n}", "plain", decline_slowly) for n in (1, 2)
                ]
                await world.send_request("/order/", headers={"Deadline-Ms": "900"})
                left = sorted(int(s.arrivals[0].get("deadline-ms") or 0) for s in servers)
                self.assertLessEqual(left[1], 900)
                self.assertLessEqual(left[0], 600)

        run_quietly(work())

    def test_safe_request_goes_elsewhere_when_its_server_is_silent(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                silent = await world.start_server("s1", "plain", never_answer)
                await world.start_server("s2", "plain", answer_ok)
                for number in range(4):
                    began = monotonic()
                    got = await world.send_request("/check/", request_id=f"r{number}")
                    self.assertEqual(got.status, 200)
                    self.assertLess(monotonic() - began, 0.25)
                self.assertGreater(len(silent.arrivals), 0)
                await asyncio.sleep(0.1)
                self.assertEqual(silent.closed, len(silent.arrivals))

        run_quietly(work())

    def test_safe_request_stays_where_it_is_if_there_is_no_other_server(self) -> None:
        async def answer_slowly(arrival: Arrival, reader: Reader, writer: Writer) -> None:
            await asyncio.sleep(0.4)
            await answer_ok(arrival, reader, writer)

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_slowly)
                self.assertEqual((await world.send_request("/check/")).status, 200)
                self.assertEqual(len(server.arrivals), 1)

        run_quietly(work())

    def test_route_timeout_returns_504_and_closes_the_upstream_connection(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", never_answer)
                began = monotonic()
                got = await world.send_request("/order/")
                took = monotonic() - began
                self.assertEqual(got.status, 504)
                self.assertTrue(0.9 < took < 1.3, took)
                await asyncio.sleep(0.05)
                self.assertEqual(server.closed, 1)

        run_quietly(work())

    def test_request_without_a_server_is_refused_at_once(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                began = monotonic()
                got = await world.send_request("/order/")
                self.assertLess(monotonic() - began, 0.2)
                self.assertEqual(got.status, 503)
                self.assertGreater(float(got.headers["retry-after"]), 0)

        run_quietly(work())

    def test_disconnect_before_the_answer_cancels_the_request(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", never_answer)
                _, writer = await world.connect()
                writer.write(request_bytes("/order/"))
                await asyncio.sleep(0.1)
                self.assertEqual((len(server.arrivals), server.closed), (1, 0))
                writer.close()
                await asyncio.sleep(0.1)
                self.assertEqual(server.closed, 1)
                self.assertEqual(world.balancer.views["s1"].running, 0)

        run_quietly(work())

    def test_disconnect_during_a_stream_cancels_the_request(self) -> None:
        async def stream_endlessly(arrival: Arrival, _: Reader, writer: Writer) -> None:
            writer.write(stream_head(arrival))
            for number in range(10_000):
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(0.01)

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "model", stream_endlessly)
                reader, writer = await world.connect()
                writer.write(request_bytes("/draft/"))
                await reader.readuntil(b"piece 3")
                writer.close()
                await asyncio.sleep(0.2)
                self.assertEqual(server.closed, 1)

        run_quietly(work())


async def stream_one_event_then_hang(arrival: Arrival, reader: Reader, writer: Writer) -> None:
    """Send one event, then nothing until the gateway closes the connection."""
    writer.write(stream_head(arrival) + chunk(event(1)))
    await writer.drain()
    await reader.read()


async def stream_after_last_event(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Send the events after the last event id all at once, and complete the stream."""
    events = ALL_EVENTS.split(END_OF_EVENT)[int(arrival.get("last-event-id") or 0) : -1]
    writer.write(stream_head(arrival))
    for each in events:
        writer.write(chunk(each + END_OF_EVENT))
    writer.write(LAST_CHUNK)


class StreamTest(unittest.TestCase):
    """Callers get whole events in order, also if a stream continues at another server."""

    def test_events_are_relayed_unchanged(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", stream_events)
                got = await world.send_request("/draft/")
                self.assertEqual((got.body, got.whole), (ALL_EVENTS, True))

        run_quietly(work())

    def test_resumable_stream_continues_at_another_server_within_one_answer(self) -> None:
        async def continue_after_event_2(arrival: Arrival, reader: Reader, writer: Writer) -> None:
            self.assertEqual(arrival.get("last-event-id"), "2")
            await stream_events(arrival, reader, writer)

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "model", stream_and_reset)
                world.update_listed("s1")
                task = asyncio.create_task(world.send_request("/review/"))
                await first.arrived.wait()
                await world.start_server("s2", "model", continue_after_event_2)
                got = await task
                self.assertEqual((got.body, got.whole), (ALL_EVENTS, True))

        run_quietly(work())

    def test_resumable_streams_leave_a_silent_server(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                silent = await world.start_server(
                    "s1", "model", stream_one_event_then_hang, slots=16
                )
                began = monotonic()
                tasks = [
                    asyncio.create_task(world.send_request("/review/", request_id=r)) for r in "ab"
                ]
                await silent.arrived.wait()
                await asyncio.sleep(0.1)
                self.assertEqual(len(silent.arrivals), 2)
                await world.start_server("s2", "model", stream_after_last_event, slots=16)
                for task in tasks:
                    got = await task
                    self.assertEqual((got.body, got.whole), (ALL_EVENTS, True))
                self.assertLess(monotonic() - began, 2.0)
                await asyncio.sleep(0.05)
                self.assertEqual(silent.closed, 2)

        run_quietly(work())

    def test_resumable_streams_stay_at_a_server_that_is_silent_for_a_second(self) -> None:
        async def pause_after_first_event(
            arrival: Arrival, _reader: Reader, writer: Writer
        ) -> None:
            writer.write(stream_head(arrival) + chunk(event(1)))
            await asyncio.sleep(1.2)
            writer.write(b"".join(chunk(event(n)) for n in range(2, 6)) + LAST_CHUNK)

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                paused = await world.start_server("s1", "model", pause_after_first_event, slots=16)
                ticking = asyncio.create_task(run_ticks(world))
                tasks = [
                    asyncio.create_task(world.send_request("/review/", request_id=r)) for r in "ab"
                ]
                await paused.arrived.wait()
                await asyncio.sleep(0.1)
                other = await world.start_server("s2", "model", stream_after_last_event, slots=16)
                for task in tasks:
                    got = await task
                    self.assertEqual((got.body, got.whole), (ALL_EVENTS, True))
                self.assertEqual(other.arrivals, [])
                ticking.cancel()

        run_quietly(work())

    def test_non_resumable_stream_stays_at_a_silent_server(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                silent = await world.start_server(
                    "s1", "model", stream_one_event_then_hang, slots=16
                )
                tasks = [
                    asyncio.create_task(world.send_request("/draft/", request_id=r)) for r in "ab"
                ]
                await silent.arrived.wait()
                await asyncio.sleep(0.1)
                self.assertEqual(len(silent.arrivals), 2)
                other = await world.start_server("s2", "model", stream_after_last_event, slots=16)
                for task in tasks:
                    got = await task
                    self.assertEqual((got.body, got.whole), (event(1), False))
                self.assertEqual(other.arrivals, [])

        run_quietly(work())

    def test_stalled_node_reads_pending_data_before_it_reports_silence(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", stream_events, slots=16)
                await world.start_server("s2", "model", stream_events, slots=16)
                view = world.balancer.views["s1"]
                view.running, view.last_data_at, view.busy_since = 2, -100.0, -100.0
                route = next(each for each in make_plan().routes if each.name == "review")
                waits = 0

                async def wait() -> bytes:
                    nonlocal waits
                    waits += 1
                    if waits == 1:
                        await asyncio.sleep(60)
                    return b"came"

                job = mock.Mock(route=route, sends=1, tried=frozenset({"s1"}), service="model")
                reader = world.forwarder._answers
                self.assertEqual(await reader._read_unless_silent(job, view, wait), b"came")

        run_quietly(work())

    def test_non_resumable_stream_is_cut_visibly(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                first = await world.start_server("s1", "model", stream_and_reset)
                second = await world.start_server("s2", "model", stream_and_reset)
                got = await world.send_request("/draft/")
                self.assertEqual((got.status, got.whole), (200, False))
                self.assertEqual(got.body, event(1) + event(2))
                self.assertEqual(len(first.arrivals) + len(second.arrivals), 1)

        run_quietly(work())


class AdmissionTest(unittest.TestCase):
    """Invalid requests are rejected at once and never reach a server."""

    def test_requests_without_a_plan_route_or_key_are_rejected(self) -> None:
        async def work() -> None:
            async with GatewayWorld() as world:
                self.assertEqual((await world.send_request("/check/")).status, 503)
                world.forwarder.adopt(make_plan())
                server = await world.start_server("s1", "plain", answer_ok)
                self.assertEqual((await world.send_request("/nothing/")).status, 404)
                self.assertEqual((await world.send_request("/checks")).status, 404)
                bad = {"Authorization": "Bearer wrong"}
                self.assertEqual((await world.send_request("/check/", headers=bad)).status, 401)
                none = {"Authorization": ""}
                self.assertEqual((await world.send_request("/check/", headers=none)).status, 401)
                self.assertEqual(server.arrivals, [])
                self.assertEqual((await world.send_request("/open/", headers=none)).status, 200)
                self.assertIsNone(server.arrivals[0].get("tenant"))

        run_quietly(work())

    def test_revoked_key_is_rejected_on_open_connections(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_ok)
                reader, writer = await world.connect()
                writer.write(request_bytes("/check/"))
                self.assertEqual((await read_answer(reader)).status, 200)
                plan = make_plan()
                account = plan.accounts[0]
                world.forwarder.adopt(
                    make_plan(2, accounts=(type(account)(account.name, ("other",)),))
                )
                writer.write(request_bytes("/check/", request_id="r2"))
                self.assertEqual((await read_answer(reader)).status, 401)
                writer.close()

        run_quietly(work())

    def test_older_plan_is_never_adopted(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan(5)) as world:
                self.assertFalse(world.forwarder.adopt(make_plan(4)))
                self.assertFalse(world.forwarder.adopt(make_plan(5)))
                assert world.forwarder.index is not None
                self.assertEqual(world.forwarder.index.version, 5)

        run_quietly(work())

    def test_limits_on_heads_and_bodies(self) -> None:
        async def work() -> None:
            limits = Limits(header_bytes=2_000, body_bytes=3_000, header_timeout_s=0.4)
            async with GatewayWorld(make_plan(limits=limits)) as world:
                server = await world.start_server("s1", "plain", answer_ok)
                long_head = {"X-Long": "y" * 3_000}
                self.assertEqual(
                    (await world.send_request("/check/", headers=long_head)).status, 431
                )
                self.assertEqual(
                    (await world.send_request("/check/", body=b"z" * 4_000)).status, 413
                )
                reader, writer = await world.connect()
                writer.write(b"GET /check/ HTTP/1.1\r\nHost: quo")
                self.assertEqual((await read_answer(reader)).status, 408)
                writer.close()
                reader, writer = await world.connect()
                writer.write(b"this is not HTTP\r\n\r\n")
                self.assertEqual((await read_answer(reader)).status, 400)
                writer.close()
                self.assertEqual(server.arrivals, [])

        run_quietly(work())

    def test_smuggled_requests_are_refused(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_ok)
                both = {"Content-Length": "4", "Transfer-Encoding": "chunked"}
                reader, writer = await world.connect()
                writer.write(request_bytes("/order/", headers=both) + b"0\r\n\r\nGET /x HTTP/1.1")
                self.assertEqual((await read_answer(reader)).status, 400)
                writer.close()
                self.assertEqual(server.arrivals, [])

        run_quietly(work())

    def test_account_over_its_limit_gets_a_retry_time(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_ok)
                tokens = {"Token-Count": "20000,10000"}
                answers = [
                    await world.send_request("/check/", headers=tokens, request_id=f"r{n}")
                    for n in range(6)
                ]
                statuses = [got.status for got in answers]
                self.assertEqual(statuses[0], 200)
                self.assertEqual(statuses[-1], 429)
                self.assertEqual(answers[-1].headers["request-id"], "r5")
                self.assertGreater(float(answers[-1].headers["retry-after"]), 0)
                self.assertEqual(len(server.arrivals), statuses.count(200))

        run_quietly(work())

    def test_new_idle_timeout_applies_to_open_connections(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_ok)
                reader, writer = await world.connect()
                writer.write(request_bytes("/check/"))
                await read_answer(reader)
                world.forwarder.adopt(make_plan(2, limits=Limits(idle_timeout_s=0.3)))
                async with asyncio.timeout(1.5):
                    self.assertEqual(await reader.read(), b"")
                writer.close()

        run_quietly(work())


class ListTest(unittest.TestCase):
    def test_node_with_an_outdated_list_refuses_with_a_short_retry_time(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                server = await world.start_server("s1", "plain", answer_ok)
                world.list_current = False
                got = await world.send_request("/check/")
                self.assertEqual((got.status, server.arrivals), (503, []))
                self.assertLess(float(got.headers["retry-after"]), 0.1)
                world.list_current = True
                self.assertEqual((await world.send_request("/check/")).status, 200)

        run_quietly(work())

    def test_removed_server_gets_no_requests(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_ok)
                gone = world.balancer.apply([Server("s9", "other", "127.0.0.1:1", "hall-a", 1)])
                self.assertEqual([server.id for server in gone], ["s1"])
                self.assertEqual((await world.send_request("/check/")).status, 503)

        run_quietly(work())


if __name__ == "__main__":
    unittest.main()
