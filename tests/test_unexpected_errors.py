"""An unexpected error costs one request, message or callback, and is logged with its place."""

import asyncio
import errno
import gc
import os
import signal
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable
from typing import Any

import logbook

from moledale.faults import faults, watch_loop
from moledale.gateway.gossip import PlanCheck, open_gossip
from moledale.gateway.messages import InboundRequest
from moledale.gateway.reply import Reply
from moledale.gateway.upstream import UpstreamConnection
from tests.gateway_world import (
    CallerAnswer,
    GatewayWorld,
    Script,
    answer_ok,
    chunk,
    event,
    make_plan,
    read_answer,
    request_bytes,
    stream_head,
)

ERRORS = (ValueError("odd"), MemoryError(), RecursionError("deep"))


def failing(error: Exception) -> Callable[..., Any]:
    """Return a function that raises an error."""

    def fail(*_: object, **__: object) -> None:
        raise error

    return fail


class FaultsCase(unittest.TestCase):
    def setUp(self) -> None:
        faults.__init__()  # type: ignore[misc]
        self.handler = logbook.TestHandler()

    def run_bounded(self, work: Awaitable[None]) -> None:
        async def bounded() -> None:
            watch_loop(asyncio.get_running_loop())
            async with asyncio.timeout(20):
                await work

        with self.handler.applicationbound():
            asyncio.run(bounded())

    def lines(self) -> list[str]:
        """Return the lines of unexpected errors."""
        texts = [record.message for record in self.handler.records]
        return [text for text in texts if text.startswith("E113")]


class RequestTest(FaultsCase):
    def answer_after(
        self,
        break_it: Callable[[GatewayWorld, Exception], None],
        error: Exception,
        path: str = "/check/",
        script: Script = answer_ok,
    ) -> CallerAnswer:
        """Return the answer to a request that meets an error; the next request is served."""
        got = CallerAnswer()

        async def work() -> None:
            nonlocal got
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_ok)
                await world.start_server("s2", "model", script)
                break_it(world, error)
                got = await world.send_request(path)
                await asyncio.sleep(0.05)
                self.assertEqual(world.listener.busy(), 0)
                break_nothing = GatewayWorld(make_plan())
                world.listener.handle = break_nothing.forwarder.handle
                self.assertEqual((await world.send_request("/none/")).status, 404)

        self.run_bounded(work())
        self.assertEqual((len(self.lines()), faults.total), (1, 1), self.lines())
        return got

    def test_error_before_a_send_is_answered_with_503_that_may_be_retried(self) -> None:
        def break_admission(world: GatewayWorld, error: Exception) -> None:
            world.forwarder.admission.admit = failing(error)  # type: ignore[method-assign]

        def break_placing(world: GatewayWorld, error: Exception) -> None:
            world.forwarder._job_placer.place = failing(error)  # type: ignore[method-assign]

        for error in ERRORS:
            for break_it in (break_admission, break_placing):
                with self.subTest(error=error, broken=break_it.__name__):
                    self.setUp()
                    got = self.answer_after(break_it, error)
                    self.assertEqual((got.status, got.whole), (503, True))
                    self.assertIn("retry-after", got.headers)

    def test_error_after_a_send_is_answered_with_502(self) -> None:
        def break_reading(world: GatewayWorld, error: Exception) -> None:
            world.forwarder._answers.read = failing(error)  # type: ignore[method-assign]

        for error in ERRORS:
            with self.subTest(error=error):
                self.setUp()
                got = self.answer_after(break_reading, error)
                self.assertEqual((got.status, got.whole), (502, True))

    def test_error_within_a_stream_breaks_it_off_and_ends_it_as_no_whole_answer(self) -> None:
        async def script(
            arrival: Any, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(stream_head(arrival) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(chunk(event(2)))

        def break_second_event(world: GatewayWorld, error: Exception) -> None:
            send, sent = Reply.send, 0

            def fail_second(reply: Reply, data: bytes) -> None:
                nonlocal sent
                sent += 1
                if sent == 2:
                    raise error
                send(reply, data)

            self.enterContext(unittest.mock.patch.object(Reply, "send", fail_second))

        got = self.answer_after(break_second_event, MemoryError(), "/draft/", script)
        self.assertEqual((got.status, got.whole), (200, False))

    def test_error_that_reaches_the_connection_is_answered_with_500_and_serving_goes_on(
        self,
    ) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_ok)
                handle = world.listener.handle
                world.listener.handle = failing(ValueError())
                reader, writer = await world.connect()
                headers = {"Authorization": "Bearer key-of-north"}
                writer.write(request_bytes("/check/", "POST", b"", headers))
                self.assertEqual((await read_answer(reader)).status, 500)
                world.listener.handle = handle
                writer.write(request_bytes("/check/", "POST", b"", headers))
                self.assertEqual((await read_answer(reader)).status, 200)
                writer.close()

        self.run_bounded(work())
        self.assertEqual(len(self.lines()), 1)

    def test_error_while_a_request_is_parsed_is_answered_with_500(self) -> None:
        async def handle(_: InboundRequest, __: Reply) -> None:
            pass

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                limits = world.listener.limits
                reader, writer = await world.connect()
                await asyncio.sleep(0.05)
                world.listener.limits = failing(MemoryError())
                writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
                await asyncio.sleep(0.05)
                world.listener.limits = limits
                self.assertEqual((await read_answer(reader)).status, 500)
                self.assertEqual((await world.send_request("/none/")).status, 404)
                writer.close()

        self.run_bounded(work())
        self.assertEqual(len(self.lines()), 1)

    def test_error_while_an_answer_is_parsed_cuts_it_and_is_logged(self) -> None:
        def break_parsing(world: GatewayWorld, error: Exception) -> None:
            patch = unittest.mock.patch.object(UpstreamConnection, "on_body", failing(error))
            self.enterContext(patch)

        got = self.answer_after(break_parsing, MemoryError(), "/order/")
        self.assertIn(got.status, (0, 502))


class ResourceTest(FaultsCase):
    def test_connection_whose_later_data_was_refused_is_closed_after_the_response(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_ok)
                reader, writer = await world.connect()
                headers = {"Authorization": "Bearer key-of-north"}
                writer.write(request_bytes("/check/", "POST", b"", headers) + b"\x00\x01 odd\r\n")
                self.assertEqual((await read_answer(reader)).status, 200)
                async with asyncio.timeout(2.0):
                    self.assertEqual(await reader.read(), b"")
                writer.close()

        self.run_bounded(work())

    def after_failed_connect(self, error: Exception) -> tuple[int, bool, list[bool], int]:
        """Return status, whether the server counts as failed, its connects, and the next status."""
        found: list[tuple[int, bool, list[bool], int]] = []

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", answer_ok)
                connects: list[bool] = []
                world.pool.on_connect = lambda _, took: connects.append(took)
                loop = asyncio.get_running_loop()
                reader, writer = await world.connect()
                headers = {"Authorization": "Bearer key-of-north"}
                with unittest.mock.patch.object(loop, "create_connection", failing(error)):
                    writer.write(request_bytes("/check/", "POST", b"", headers))
                    status = (await read_answer(reader)).status
                failed = world.balancer.views["s1"].failed_share > 0
                recorded = list(connects)
                writer.write(request_bytes("/check/", "POST", b"", headers))
                found.append((status, failed, recorded, (await read_answer(reader)).status))
                writer.close()

        self.run_bounded(work())
        return found[0]

    def test_own_lack_of_descriptors_is_not_taken_for_a_server_that_is_down(self) -> None:
        got = self.after_failed_connect(OSError(errno.EMFILE, "Too many open files"))
        self.assertEqual(got, (503, False, [], 200))
        self.assertEqual(len(self.lines()), 1)

    def test_server_with_an_address_that_is_none_counts_as_not_reached(self) -> None:
        for error in (ValueError("embedded null byte"), OverflowError("port")):
            with self.subTest(error=error):
                status, failed, connects, _ = self.after_failed_connect(error)
                self.assertEqual((status, failed, connects), (503, True, [False]))


class MessageTest(FaultsCase):
    def test_message_whose_handling_fails_stops_no_later_message(self) -> None:
        async def work() -> None:
            got: list[object] = []

            def on_message(message: object) -> None:
                got.append(message)
                if len(got) == 1:
                    raise ValueError("odd")

            receiver = await open_gossip("127.0.0.1:0", on_message)
            sender = await open_gossip("127.0.0.1:0", got.append)
            host, port = receiver._transport.get_extra_info("sockname")  # type: ignore[union-attr]
            for _ in range(3):
                sender.send(PlanCheck("n1", 1, 0.0), [f"{host}:{port}"])
            await asyncio.sleep(0.1)
            self.assertEqual(len(got), 3)
            receiver.close()
            sender.close()

        self.run_bounded(work())
        self.assertEqual(len(self.lines()), 1)
        self.assertIn("PlanCheck", self.lines()[0])

    def test_address_that_is_none_keeps_no_message_from_the_others_and_the_socket_open(
        self,
    ) -> None:
        async def work() -> None:
            got: list[object] = []
            receiver = await open_gossip("127.0.0.1:0", got.append)
            sender = await open_gossip("127.0.0.1:0", got.append)
            host, port = receiver._transport.get_extra_info("sockname")  # type: ignore[union-attr]
            odd = ["127.0.0.1:99999", "no.such.host:1", "a\0b:1", "127.0.0.1:x", ":", "", "::1:7"]
            for _ in range(2):
                sender.send(PlanCheck("n1", 1, 0.0), [*odd, f"{host}:{port}"])
                await asyncio.sleep(0.1)
            self.assertEqual(len(got), 2)
            receiver.close()
            sender.close()

        self.run_bounded(work())
        texts = [record.message for record in self.handler.records]
        self.assertEqual(sum("message_unsent" in text for text in texts), 7)


class LoopTest(FaultsCase):
    def test_errors_that_only_the_event_loop_sees_are_logged_and_end_nothing(self) -> None:
        async def fail() -> None:
            raise KeyError("task")

        async def work() -> None:
            loop = asyncio.get_running_loop()
            loop.call_later(0, failing(ValueError("timer")))
            loop.add_signal_handler(signal.SIGUSR1, failing(OSError("signal")))
            os.kill(os.getpid(), signal.SIGUSR1)
            task = loop.create_task(fail())
            await asyncio.sleep(0.05)
            del task
            gc.collect()
            loop.remove_signal_handler(signal.SIGUSR1)

        self.run_bounded(work())
        text = "\n".join(self.lines())
        for part in ("timer", "signal", "LoopTest", "test_unexpected_errors."):
            self.assertIn(part, text)
        self.assertEqual(faults.total, 3)


if __name__ == "__main__":
    unittest.main()
