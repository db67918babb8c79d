"""Tests the adapter for the platform's store against a stand-in for the store."""

import asyncio
import base64
import unittest
from collections.abc import Awaitable, Callable

import logbook
import msgspec
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from moledale.core.rollouts import Phase, RolloutNews, RolloutOrder
from moledale.gateway.calls import CallAnswer, CallFailed
from moledale.gateway.messages import AttemptFacts, RequestHead
from moledale.gateway.outside import PAGES_ENDLESS, ServerList
from moledale.platform.entries import EntryReader, platform_id
from moledale.platform.headers import PlatformHeaders
from moledale.platform.records import RowRecord
from moledale.platform.store import FULL_FEED_ROWS, PlatformStore
from standins.rows import RowsPlatform


def make_entry(state: str = "ready", **more: object) -> dict[str, object]:
    return {
        "service": "model",
        "address": "h:1",
        "zone": "a",
        "version": "v1",
        "slots": 64,
        "state": state,
        "seq": 1,
        **more,
    }


def run_on_store(work: Callable[[RowsPlatform, PlatformStore], Awaitable[None]]) -> None:
    """Run a test with a stand-in for the store on loopback and an adapter for it."""

    async def run() -> None:
        platform = RowsPlatform()
        await platform.start()
        try:
            await work(platform, PlatformStore(platform.address))
        finally:
            await platform.stop()

    asyncio.run(run())


async def read_servers(store: PlatformStore, before: ServerList | None = None) -> ServerList:
    """Read the list of servers; an error fails the test."""
    return (await store.servers(1.0, before)).unwrap()


class EntriesOfOthersTest(unittest.TestCase):
    """An unreadable entry of another writer is skipped, and the others still count."""

    BAD: tuple[object, ...] = (
        {},
        [],
        "text",
        7,
        None,
        make_entry(slots="64"),
        make_entry(slots=0),
        make_entry(slots=1.5),
        make_entry(address="nowhere"),
        make_entry(address="h:port"),
        make_entry(address=["h:1"]),
        make_entry("resting"),
        make_entry(service=""),
        make_entry(service=None),
        make_entry(zone=3),
        make_entry(seq="one"),
        make_entry(spot="yes"),
        make_entry(leaves_ms="soon"),
        make_entry(born="yesterday"),
        make_entry(born=1.5),
        make_entry(born=True),
        make_entry(born=-1),
        *({k: v for k, v in make_entry().items() if k != left_out} for left_out in make_entry()),
    )

    def test_unreadable_entries_hide_no_valid_ones(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "a", make_entry())
            for number, bad in enumerate(self.BAD):
                platform.put("servers", f"bad{number}", bad)
            platform.put("servers", "z", make_entry())
            platform.put("servers", "bytes", make_entry())
            platform.rows[("servers", "", "bytes")].value = "not base64 /// \u20ac"
            platform.put("servers", "text", make_entry())
            text = base64.b64encode(b"\xff\xfe{").decode()
            platform.rows[("servers", "", "text")].value = text
            got = await read_servers(store)
            self.assertEqual([server.id for server in got.servers], ["a", "z"])

        run_on_store(work)

    def test_server_whose_entry_is_unreadable_is_missing_until_it_is_valid_again(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "a", make_entry())
            platform.put("servers", "b", make_entry())
            seen = [await read_servers(store)]
            for put in (make_entry(slots="many"), make_entry(slots=8)):
                platform.put("servers", "b", put)
                seen.append(await read_servers(store, seen[-1]))
            names = [[server.id for server in each.servers] for each in seen]
            self.assertEqual(names, [["a", "b"], ["a"], ["a", "b"]])
            self.assertEqual(len({each.version for each in seen}), 3)

        run_on_store(work)

    def test_unreadable_entry_is_logged_once_per_version(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            for _ in range(2):
                platform.put("servers", "b", make_entry(slots="many"))
                for _ in range(3):
                    await read_servers(store)

        with logbook.TestHandler().applicationbound() as handler:
            run_on_store(work)
        lines = [each.message for each in handler.records if each.message.startswith("E303")]
        self.assertEqual(len(lines), 2)
        self.assertIn("$.slots", lines[0])

    @given(st.binary(max_size=60))
    def test_random_bytes_are_not_read_as_an_entry(self, raw: bytes) -> None:
        row = RowRecord("servers", "a", base64.b64encode(raw).decode(), 1)
        with logbook.NullHandler().applicationbound():
            self.assertIsNone(EntryReader().read(row))


class OrdersOfOthersTest(unittest.TestCase):
    """An unreadable order or status hides neither the plan nor other orders."""

    def test_unreadable_rows_hide_neither_the_plan_nor_a_valid_order(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("op", "config", {"version": 3})
            order = {"service": "model", "targetVersion": "v2", "durationS": 12}
            platform.put("op", "rollout/model", order)
            platform.put("op", "rollout/plain", {"service": 7})
            platform.put("op", "rollout/other", [])
            platform.put("status", "rollout/model", {"state": 1})
            update = (await store.plan(1.0)).unwrap()
            assert update.plan is not None
            self.assertEqual(update.plan.version, 3)
            self.assertEqual([each.order.service for each in update.rollouts], ["model"])

        with logbook.TestHandler().applicationbound() as handler:
            run_on_store(work)
        logged = [each.message for each in handler.records if each.message.startswith("E303")]
        self.assertEqual(len(logged), 3)


class KeptRolloutsOfOthersTest(unittest.TestCase):
    def test_unreadable_rows_hide_no_valid_one(self) -> None:
        rollout = RolloutNews(RolloutOrder("model", 3, "v2", 12.0, 1.0), Phase.TRIAL)

        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("rollouts", "model", msgspec.to_builtins(rollout))
            platform.put("rollouts", "plain", ["no roll-out"])
            platform.put("rollouts", "spoilt", {})
            platform.rows[("rollouts", "", "spoilt")].value = "a"
            self.assertEqual((await store.load_rollouts(1.0)).unwrap(), (rollout,))

        with logbook.NullHandler().applicationbound():
            run_on_store(work)


class StartedAgainTest(unittest.TestCase):
    """A server that restarts under the same id counts as a different server."""

    def test_new_incarnation_replaces_the_previous_one(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "a", make_entry(born=1_000))
            before = await read_servers(store)
            platform.put("servers", "a", make_entry(born=2_000, seq=0))
            after = await read_servers(store, before)
            self.assertEqual(len(after.servers), 1)
            self.assertNotEqual(before.servers[0].id, after.servers[0].id)
            self.assertEqual(platform_id(after.servers[0].id), "a")
            self.assertTrue(after.changed)
            again = await read_servers(store)
            self.assertEqual(again.servers, after.servers)
            platform.drop("servers", "a")
            self.assertEqual((await read_servers(store, after)).servers, ())

        run_on_store(work)

    def test_request_names_the_server_without_its_incarnation(self) -> None:
        head = RequestHead(b"GET", b"/", [])
        facts = AttemptFacts("a#1000", None, 1.0, None)
        data = PlatformHeaders().attempt_head(head, facts, 0)
        self.assertIn(b"Expect-Instance: a\r\n", data)


class ServersTest(unittest.TestCase):
    def test_list_is_updated_from_the_changes(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            for number in range(4):
                platform.put("servers", f"s{number}", make_entry(version="v1"))
            before = await read_servers(store)
            self.assertEqual({server.version for server in before.servers}, {"v1"})
            platform.put("servers", "s1", make_entry("draining"))
            platform.put("servers", "s9", make_entry())
            platform.drop("servers", "s2")
            after = await read_servers(store, before)
            self.assertEqual(platform.reads["servers"], 1)
            self.assertTrue(after.changed)
            leaving = {server.id: server.leaving for server in after.servers}
            self.assertEqual(leaving, {"s0": False, "s1": True, "s3": False, "s9": False})
            again = await read_servers(store, after)
            self.assertFalse(again.changed)
            self.assertEqual(again.servers, after.servers)
            self.assertGreaterEqual(again.version, after.version)

        run_on_store(work)

    def test_list_is_read_in_full_once_the_history_is_gone(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "s1", make_entry())
            before = await read_servers(store)
            platform.drop("servers", "s1")
            platform.put("servers", "s2", make_entry())
            platform.history_from = platform.version
            after = await read_servers(store, before)
            self.assertEqual([server.id for server in after.servers], ["s2"])
            self.assertEqual(platform.reads["servers"], 2)

        run_on_store(work)

    def test_first_list_of_many_pages_counts_as_changed(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            for number in range(700):
                platform.put("servers", f"s{number:04}", make_entry())
            got = await read_servers(store)
            self.assertTrue(got.changed)
            self.assertEqual(len(got.servers), 700)

        run_on_store(work)

    def test_list_of_many_pages_is_a_consistent_snapshot(self) -> None:
        class ChangingPlatform(RowsPlatform):
            """A store in which a server of the first page starts to leave during the next read."""

            def _get(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
                if query.get("from"):
                    self.put("servers", "s0000", make_entry("draining"))
                return super()._get(query)

        async def run() -> None:
            platform = ChangingPlatform()
            await platform.start()
            for number in range(700):
                platform.put("servers", f"s{number:04}", make_entry())
            got = await read_servers(PlatformStore(platform.address))
            await platform.stop()
            self.assertEqual(len(got.servers), 700)
            self.assertTrue(next(each for each in got.servers if each.id == "s0000").leaving)

        asyncio.run(run())


class ScriptedCaller:
    """Answers each call with what `answer` returns for its path, at once."""

    def __init__(self, answer: Callable[[str], object]) -> None:
        self._answer = answer

    async def call(self, _method: str, path: str, *_: object) -> Result[CallAnswer, CallFailed]:
        await asyncio.sleep(0)
        return Ok(CallAnswer(200, msgspec.json.encode(self._answer(path)), 0.0, 0.0))


class EndlessAnswersTest(unittest.TestCase):
    """A store whose pages never end would be read forever, with ever more memory."""

    def read(self, answer: Callable[[str], object], before: ServerList | None = None) -> object:
        store = PlatformStore("127.0.0.1:1")
        store._calls = ScriptedCaller(answer)  # type: ignore[assignment]

        async def bounded() -> object:
            async with asyncio.timeout(20):
                return await store.servers(1.0, before)

        with logbook.NullHandler().applicationbound():
            return asyncio.run(bounded())

    def test_page_that_repeats_itself(self) -> None:
        rows = [{"table": "servers", "key": "s1", "value": "", "ver": 1}]
        outcome = self.read(lambda _: {"rows": rows, "more": True, "ver": 1})
        self.assertEqual(outcome, Err(PAGES_ENDLESS))

    def test_pages_without_end(self) -> None:
        def answer(path: str) -> object:
            key = path.partition("from=")[2].removesuffix("%00") + "a"
            rows = [{"table": "servers", "key": key, "value": "", "ver": 1}]
            return {"rows": rows, "more": True, "ver": 1}

        self.assertEqual(self.read(answer), Err(PAGES_ENDLESS))

    def test_feed_without_end(self) -> None:
        rows = [{"table": "servers", "key": "s1", "value": "", "ver": 1}] * FULL_FEED_ROWS

        def answer(path: str) -> object:
            if "rows-get" in path:
                return {"rows": [], "ver": 7}
            position = int(path.partition("startAfter=")[2].partition("&")[0])
            return {"rows": rows, "ver": position + 1}

        listed = self.read(answer, ServerList((), 1, 0.0))
        assert isinstance(listed, Ok)
        self.assertEqual(listed.ok_value.version, 7)

    def test_answers_that_cannot_be_read(self) -> None:
        for page in (
            {"ver": 2**70},
            {"now_ms": 1e300},
            {"ver": -1},
            {"rows": [{"table": "servers", "key": "s1", "ver": 2**64}]},
            {"rows": None},
            [],
        ):
            with self.subTest(page):
                self.assertIsInstance(self.read(lambda _, page=page: page), Err)
