"""Nothing but more of a stream follows what its caller has of it, whatever other servers answer."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from unittest import mock

import msgspec

from moledale.clock import monotonic
from moledale.gateway.inbound import Listener, listen
from moledale.gateway.messages import Framing, InboundRequest
from moledale.gateway.plan import Limits, Plan
from moledale.gateway.reply import Reply, ReplyStarted
from tests.gateway_world import (
    LAST_CHUNK,
    STAMP_HEADER,
    Arrival,
    CallerAnswer,
    GatewayWorld,
    Script,
    chunk,
    event,
    make_plan,
    read_answer,
    request_bytes,
    run_quietly,
    send_and_reset,
    stream_head,
)
from tests.test_gateway_backups import FIRST_EVENTS as EVENTS_BEFORE_CRASH
from tests.test_gateway_backups import CrashingPair
from tests.test_gateway_backups import make_world as make_world_with_backups
from tests.test_gateway_backups import play as play_crash
from tests.test_gateway_evacuation import ALL_EVENTS as MOVED_EVENTS
from tests.test_gateway_evacuation import EnginePair, start_stream

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter

BUSY = b'{"error":"busy"}'
EVENTS = 5
ALL_EVENTS = b"".join(event(number) for number in range(1, EVENTS + 1))
EVENTS_OF_FIRST_SERVER = event(1) + event(2)
LONG_BODY_BYTES = 3_000_000


def head(arrival: Arrival, status: int, extra: bytes) -> bytes:
    """Return the status line and headers of a server's answer."""
    request_id = (arrival.get("request-id") or "").encode()
    return b"HTTP/1.1 %d X\r\nRequest-Id: %b\r\n%b%b\r\n" % (
        status,
        request_id,
        STAMP_HEADER,
        extra,
    )


def with_length(status: int, kind: bytes = b"application/json") -> Callable[[Arrival], bytes]:
    """Return the bytes of an answer with a length."""
    fields = b"Content-Type: %b\r\nContent-Length: %d\r\n" % (kind, len(BUSY))
    return lambda arrival: head(arrival, status, fields) + BUSY


def in_chunks(arrival: Arrival) -> bytes:
    """Return the bytes of a success in chunks that is no stream of events."""
    fields = b"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n"
    return head(arrival, 200, fields) + chunk(BUSY) + LAST_CHUNK


def unframed_json(arrival: Arrival) -> bytes:
    """Return the bytes of a success that only its connection ends."""
    return head(arrival, 200, b"Content-Type: application/json\r\n") + BUSY


def events_of_another_status(arrival: Arrival) -> bytes:
    """Return events under a status that the caller was not told."""
    fields = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    return head(arrival, 206, fields) + chunk(event(3)) + LAST_CHUNK


ODD_ANSWERS: dict[str, Callable[[Arrival], bytes]] = {
    **{str(status): with_length(status) for status in (302, 400, 401, 404, 408, 421, 429, 500)},
    "200 with a length": with_length(200),
    "200 in chunks": in_chunks,
    "200 without framing": unframed_json,
    "204": lambda arrival: head(arrival, 204, b""),
    "206 with events": events_of_another_status,
    "100 and 429": lambda arrival: b"HTTP/1.1 100 Continue\r\n\r\n" + with_length(429)(arrival),
}
"""Answers of a server that should continue a stream, none of which says that it did not run."""


ODD_ANSWERS_OF_OPEN_CONNECTIONS = [
    name for name in ODD_ANSWERS if name not in ("421", "200 without framing")
]
"""Those that neither close their connection nor tell that another server may take the request."""


def answer_oddly(answer: Callable[[Arrival], bytes]) -> Script:
    """Return a script that sends an answer; one without framing ends with its connection."""

    async def script(arrival: Arrival, _: Reader, writer: Writer) -> None:
        writer.write(answer(arrival))
        await writer.drain()
        if answer is unframed_json:
            writer.close()

    return script


begin_and_reset = send_and_reset(
    lambda arrival: stream_head(arrival) + chunk(EVENTS_OF_FIRST_SERVER)
)
"""Script that sends two events and breaks off."""


async def send_rest(arrival: Arrival, _: Reader, writer: Writer) -> None:
    """Send the events after the last event id."""
    after = int(arrival.get("last-event-id") or 0)
    rest = b"".join(event(number) for number in range(after + 1, EVENTS + 1))
    writer.write(stream_head(arrival) + chunk(rest) + LAST_CHUNK)


def plan_with_sends(max_servers: int) -> Plan:
    """Return a plan whose resumable route sends a request to so many servers."""
    plan = make_plan()
    routes = [
        msgspec.structs.replace(route, max_servers=max_servers) if route.resumable else route
        for route in plan.routes
    ]
    return make_plan(routes=tuple(routes))


async def read_all(world: GatewayWorld) -> bytes:
    """Send a request for a resumable stream, and return all bytes until its connection ends."""
    reader, writer = await world.connect()
    try:
        writer.write(request_bytes("/review/"))
        async with asyncio.timeout(2):
            return await read_until_end(reader)
    finally:
        writer.close()


async def read_until_end(reader: Reader) -> bytes:
    """Return all bytes until the connection ends, in order or by a reset."""
    got = b""
    try:
        while data := await reader.read(65_536):
            got += data
    except ConnectionError:
        pass
    return got


@dataclass
class OddMoves(EnginePair):
    """Servers that move runs, but answer oddly to the request that continues a moved one."""

    odd: Callable[[Arrival], bytes] = in_chunks

    async def _stream(self, arrival: Arrival, writer: Writer) -> None:
        if arrival.get("kv-from") is None:
            await super()._stream(arrival, writer)
            return
        self.continued.append(arrival)
        writer.write(self.odd(arrival))


@dataclass
class OddBackup(CrashingPair):
    """A server that crashes in the middle of a stream, and a backup that answers oddly."""

    odd: Callable[[Arrival], bytes] = in_chunks

    async def _continue(self, arrival: Arrival, _: Reader, writer: Writer) -> None:
        writer.write(self.odd(arrival))


class SecondAnswersTest(unittest.TestCase):
    def assert_broken_off(self, got: bytes) -> None:
        """Assert that a caller got the first server's events, and sees that more is missing."""
        body = got.partition(b"\r\n\r\n")[2]
        self.assertEqual(body, chunk(EVENTS_OF_FIRST_SERVER))

    def test_answer_that_is_no_stream_is_not_written_into_a_stream(self) -> None:
        for name, odd in ODD_ANSWERS.items():
            with self.subTest(answer=name):

                async def work(odd: Callable[[Arrival], bytes] = odd) -> None:
                    async with GatewayWorld(make_plan()) as world:
                        await world.start_server("s1", "model", begin_and_reset)
                        second = await world.start_server("s2", "model", answer_oddly(odd))
                        self.assert_broken_off(await read_all(world))
                        self.assertEqual(len(second.arrivals), 1)

                run_quietly(work())

    def test_stream_goes_on_at_a_third_server_after_an_answer_that_is_no_stream(self) -> None:
        for name, odd in ODD_ANSWERS.items():
            with self.subTest(answer=name):

                async def work(odd: Callable[[Arrival], bytes] = odd) -> None:
                    async with GatewayWorld(plan_with_sends(3)) as world:
                        await world.start_server("s1", "model", begin_and_reset)
                        await world.start_server("s2", "model", answer_oddly(odd))
                        world.balancer.has_connection = lambda server: server in ("s1", "s2")
                        third = await world.start_server("s3", "model", send_rest)
                        got = await world.send_request("/review/")
                        self.assertEqual((got.body, got.whole), (ALL_EVENTS, True))
                        self.assertEqual(third.arrivals[0].get("last-event-id"), "2")

                run_quietly(work())

    def assert_cut_between_events(self, got: CallerAnswer, events: bytes) -> None:
        """Assert that an answer has only whole events of a stream, and does not look complete."""
        self.assertFalse(got.garbled, got)
        self.assertFalse(got.whole)
        self.assertTrue(got.body and events.startswith(got.body), got.body)

    def test_answer_that_is_no_stream_is_not_written_into_a_moved_stream(self) -> None:
        for name in ODD_ANSWERS_OF_OPEN_CONNECTIONS:
            with self.subTest(answer=name):

                async def work(name: str = name) -> None:
                    pair = OddMoves(odd=ODD_ANSWERS[name])
                    async with GatewayWorld(make_plan()) as world:
                        _, reader, writer = await start_stream(world, pair)
                        world.update_listed("s1", leaving=True)
                        got = await asyncio.wait_for(read_answer(reader), 2.0)
                        writer.close()
                        self.assertEqual(len(pair.continued), 1)
                        self.assert_cut_between_events(got, MOVED_EVENTS)

                run_quietly(work())

    def test_answer_that_is_no_stream_is_not_written_into_one_that_goes_on_at_its_backup(
        self,
    ) -> None:
        for name in ODD_ANSWERS_OF_OPEN_CONNECTIONS:
            with self.subTest(answer=name):

                async def work(name: str = name) -> None:
                    pair = OddBackup(odd=ODD_ANSWERS[name])
                    async with make_world_with_backups() as world:
                        got, arrivals = await play_crash(world, pair)
                        self.assertEqual(len(arrivals), 1)
                        self.assert_cut_between_events(got, EVENTS_BEFORE_CRASH)

                run_quietly(work())

    def test_answer_of_another_type_that_breaks_off_is_not_continued_by_events(self) -> None:
        fields = b"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n"
        break_off = send_and_reset(
            lambda arrival: head(arrival, 200, fields) + chunk(b"x" * LONG_BODY_BYTES)
        )

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", break_off)
                second = await world.start_server("s2", "model", send_rest)
                got = await read_all(world)
                self.assertNotIn(b"data: piece", got)
                self.assertFalse(got.endswith(LAST_CHUNK))
                self.assertEqual(second.arrivals, [])

        run_quietly(work())

    def test_second_head_of_a_reply_is_refused(self) -> None:
        transport = mock.Mock()
        reply = Reply(transport, close_after=False)
        reply.send_whole(200, [], b"one")
        written = transport.write.call_count
        self.assertRaises(ReplyStarted, reply.send_whole, 502, [], b"two")
        self.assertEqual(transport.write.call_count, written)

    def test_connection_of_a_second_head_is_reset_in_the_middle_of_an_answer(self) -> None:
        async def handle(_: InboundRequest, reply: Reply) -> None:
            reply.start(200, [], Framing.CHUNKED)
            reply.send(b"one")
            reply.send_whole(502, [], b"two")

        async def work() -> None:
            server = await listen("127.0.0.1:0", Listener(handle, Limits, monotonic))
            host, port = server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request_bytes("/review/"))
            async with asyncio.timeout(2):
                got = await read_until_end(reader)
            self.assertEqual(got.count(b"HTTP/1.1 "), 1)
            self.assertFalse(got.endswith(LAST_CHUNK))
            writer.close()
            server.close()

        run_quietly(work())


if __name__ == "__main__":
    unittest.main()
