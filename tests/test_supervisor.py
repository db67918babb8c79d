"""Supervisors, mailboxes, and how the HTTP clients report malformed answers."""

import asyncio
import unittest

import logbook

from moledale.backing.http import HttpObjects, HttpTable
from moledale.backing.types import Part, Transaction
from moledale.http_client import make_client
from moledale.node.mailbox import Mailbox
from moledale.node.supervisor import MAX_RESTART_DELAY_S, STABLE_RUN_S, Supervisor
from moledale.servers.http import HttpModelServers, HttpPlainServices
from moledale.servers.types import GenerateCall, ServerError, ServiceCall
from tests.world import ManualClock


class SupervisorTest(unittest.TestCase):
    def run_on_clock(self, work: "asyncio.Future[None] | object") -> None:
        with logbook.NullHandler().applicationbound():
            asyncio.run(self.clock.run(work))  # type: ignore[arg-type]

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.events: list[str] = []

    async def child(self, name: str, failures: int = 0) -> None:
        self.events.append(f"start {name}")
        if self.events.count(f"start {name}") <= failures:
            raise RuntimeError(name)
        try:
            await asyncio.Event().wait()
        finally:
            self.events.append(f"end {name}")

    def test_failed_children_restart_and_all_stop_in_reverse_order(self) -> None:
        async def work() -> None:
            tree = Supervisor("tree", self.clock)
            tree.start("a", lambda: self.child("a"))
            tree.start("b", lambda: self.child("b", failures=2))
            await self.clock.sleep(2.0)
            self.assertEqual((tree.failures, tree.failing()), (2, ["b"]))
            await self.clock.sleep(STABLE_RUN_S)
            self.assertEqual(tree.failing(), [])
            await tree.stop()

        self.run_on_clock(work())
        self.assertEqual(self.events.count("start b"), 3)
        self.assertEqual(self.events[-2:], ["end b", "end a"])

    def test_task_that_keeps_failing_is_restarted_more_slowly_and_ends_no_other(self) -> None:
        async def work() -> None:
            root = Supervisor("root", self.clock)
            subtree = Supervisor("below", self.clock)
            root.start("a", lambda: self.child("a"))
            root.start_supervisor(subtree)
            subtree.start("b", lambda: self.child("b"))
            subtree.start("c", lambda: self.child("c", failures=99))
            await self.clock.sleep(1.5)
            self.assertEqual(self.events.count("start c"), 4)
            await self.clock.sleep(18.5)
            self.assertEqual(self.events.count("start c"), 13)
            self.assertEqual(subtree.failing(), ["c"])
            self.assertEqual((self.events.count("start a"), self.events.count("start b")), (1, 1))
            self.assertEqual([each for each in self.events if each.startswith("end")], [])
            await root.stop()

        self.run_on_clock(work())
        self.assertEqual(self.events[-2:], ["end b", "end a"])

    def test_task_runs_again_soon_after_the_cause_of_its_failures_is_gone(self) -> None:
        broken = True
        ran_at: list[float] = []

        async def task() -> None:
            if broken:
                raise ValueError
            ran_at.append(self.clock.monotonic())
            await asyncio.Event().wait()

        async def work() -> None:
            nonlocal broken
            tree = Supervisor("tree", self.clock)
            tree.start("task", task)
            await self.clock.sleep(70.0)
            broken = False
            mended_at = self.clock.monotonic()
            await self.clock.sleep(10.0)
            self.assertLessEqual(ran_at[0] - mended_at, MAX_RESTART_DELAY_S)
            await tree.stop()

        self.run_on_clock(work())

    def test_task_survives_that_something_it_waits_for_is_cancelled(self) -> None:
        started = 0

        async def task() -> None:
            nonlocal started
            started += 1
            waiting = asyncio.get_running_loop().create_future()
            if started == 1:
                waiting.cancel()
            await waiting

        async def work() -> None:
            tree = Supervisor("tree", self.clock)
            tree.start("task", task)
            await self.clock.sleep(1.0)
            self.assertEqual((started, tree.failures), (2, 1))
            await tree.stop()

        self.run_on_clock(work())

    def test_stop_ends_although_the_cleanup_of_a_task_fails(self) -> None:
        started = 0

        async def task() -> None:
            nonlocal started
            started += 1
            try:
                await asyncio.Event().wait()
            finally:
                raise OSError("cleanup")

        async def work() -> None:
            tree = Supervisor("tree", self.clock)
            tree.start("task", task)
            await self.clock.sleep(1.0)
            async with asyncio.timeout(2.0):
                await tree.stop()
            self.assertEqual((started, tree.failures), (1, 1))

        self.run_on_clock(work())

    def test_errors_without_a_place_or_a_text_do_not_end_their_task_for_good(self) -> None:
        class Textless(Exception):
            def __repr__(self) -> str:
                raise RuntimeError("no text")

        started = 0

        async def task() -> None:
            nonlocal started
            started += 1
            if started == 1:
                raise Textless
            if started == 2:
                raise ValueError("\ud800" * 10_000)
            await asyncio.Event().wait()

        async def work() -> None:
            tree = Supervisor("tree", self.clock)
            tree.start("task", task)
            await self.clock.sleep(5.0)
            self.assertEqual(started, 3)
            await tree.stop()

        self.run_on_clock(work())

    def test_full_mailbox_rejects_messages(self) -> None:
        async def work() -> None:
            box: Mailbox[int] = Mailbox("box", 2)
            self.assertEqual([box.put(n) for n in range(3)], [True, True, False])
            self.assertEqual((await box.get(), box.get_nowait(), box.get_nowait()), (0, 1, None))
            self.assertIsNone(await box.get_within(1.0, self.clock))

        self.run_on_clock(work())


class BrokenAnswersTest(unittest.TestCase):
    """Servers that send a malformed, a truncated or no answer."""

    CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def outcome_of(self, answer: bytes) -> tuple[str, bool]:
        """Return the error that a generation raised, and whether a table write is uncertain."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with make_client() as client:
            raised = ""
            call = GenerateCall("a", "m", "p", 1, "normal", "")
            try:
                async for _ in HttpModelServers(client).generate(address, call):
                    pass
            except ServerError as error:
                raised = type(error).__name__
            table = HttpTable(client, Part.TABLE, f"http://{address}", 5.0)
            failure = (await table.transact(Transaction("o", [], []))).unwrap_err()
        server.close()
        return raised, failure.uncertain

    def test_each_malformed_answer_raises_the_expected_error(self) -> None:
        cases = [
            ("nothing", b""),
            ("no HTTP", b"\x00\xff\r\n\r\n"),
            ("half a head", b"HTTP/1.1 200"),
            ("a chunk cut off", self.CHUNKED + b"40\r\ndata: {"),
            ("an end cut off", self.CHUNKED + b"2\r\n{}\r\n"),
            ("odd JSON", self.CHUNKED + b"a\r\ndata: {]\n\n\r\n0\r\n\r\n"),
            ("an error", b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
        ]
        for name, answer in cases:
            with self.subTest(name):
                outcome = asyncio.run(self.outcome_of(answer))
                self.assertEqual(outcome, ("ServerError", True))

    def test_answer_without_framing_is_not_taken_for_an_empty_one(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of it")
            await writer.drain()
            writer.close()

        async def work() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            base = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
            call = ServiceCall("plain", "POST", "/x", [], b"")
            answer = (await HttpPlainServices().call(base, call, 1.0)).unwrap_err()
            self.assertEqual((answer.detail, answer.may_have_run), ("UnframedAnswer", True))
            async with make_client() as client:
                objects = HttpObjects(client, Part.OBJECTS, base, 1.0)
                self.assertEqual((await objects.get("o")).unwrap_err().detail, "UnframedAnswer")
            server.close()

        asyncio.run(work())


if __name__ == "__main__":
    unittest.main()
