"""The adapter of the platform's store against a stand-in: lists from what changed."""

import asyncio
import base64
import unittest
from collections.abc import Awaitable, Callable

import logbook
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from moledale.core.rollouts import Phase, RolloutNews, RolloutOrder
from moledale.gateway.messages import AttemptFacts, RequestHead
from moledale.gateway.outside import ServerList
from moledale.platform.entries import EntryReader, platform_id
from moledale.platform.headers import PlatformHeaders
from moledale.platform.records import RowRecord
from moledale.platform.store import PlatformStore
from standins.rows import RowsPlatform


def entry(state: str = "ready", **more: object) -> dict[str, object]:
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


def on_store(work: Callable[[RowsPlatform, PlatformStore], Awaitable[None]]) -> None:
    """Run a test against a store on loopback."""

    async def run() -> None:
        platform = RowsPlatform()
        await platform.start()
        try:
            await work(platform, PlatformStore(platform.address))
        finally:
            await platform.stop()

    asyncio.run(run())


async def read(store: PlatformStore, before: ServerList | None = None) -> ServerList:
    """Read the list; an error fails the test."""
    return (await store.servers(1.0, before)).unwrap()


class EntriesOfOthersTest(unittest.TestCase):
    """An entry that can't be read names no server, and the others hold."""

    BAD: tuple[object, ...] = (
        {},
        [],
        "text",
        7,
        None,
        entry(slots="64"),
        entry(slots=0),
        entry(slots=1.5),
        entry(address="nowhere"),
        entry(address="h:port"),
        entry(address=["h:1"]),
        entry("resting"),
        entry(service=""),
        entry(service=None),
        entry(zone=3),
        entry(seq="one"),
        entry(spot="yes"),
        entry(leaves_ms="soon"),
        entry(born="yesterday"),
        entry(born=1.5),
        entry(born=True),
        entry(born=-1),
        *({k: v for k, v in entry().items() if k != left_out} for left_out in entry()),
    )

    def test_good_entries_hold_beside_bad_ones(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "a", entry())
            for number, bad in enumerate(self.BAD):
                platform.put("servers", f"bad{number}", bad)
            platform.put("servers", "z", entry())
            platform.put("servers", "bytes", entry())
            platform.rows[("servers", "", "bytes")].value = "not base64 /// \u20ac"
            platform.put("servers", "text", entry())
            text = base64.b64encode(b"\xff\xfe{").decode()
            platform.rows[("servers", "", "text")].value = text
            got = await read(store)
            self.assertEqual([server.id for server in got.servers], ["a", "z"])

        on_store(work)

    def test_server_whose_entry_is_spoilt_is_gone_until_it_is_good_again(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "a", entry())
            platform.put("servers", "b", entry())
            seen = [await read(store)]
            for put in (entry(slots="many"), entry(slots=8)):
                platform.put("servers", "b", put)
                seen.append(await read(store, seen[-1]))
            names = [[server.id for server in each.servers] for each in seen]
            self.assertEqual(names, [["a", "b"], ["a"], ["a", "b"]])
            self.assertEqual(len({each.version for each in seen}), 3)

        on_store(work)

    def test_each_is_logged_once_for_each_change(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            for _ in range(2):
                platform.put("servers", "b", entry(slots="many"))
                for _ in range(3):
                    await read(store)

        with logbook.TestHandler().applicationbound() as handler:
            on_store(work)
        lines = [each.message for each in handler.records if each.message.startswith("E303")]
        self.assertEqual(len(lines), 2)
        self.assertIn("$.slots", lines[0])

    @given(st.binary(max_size=60))
    def test_any_bytes_name_a_server_or_none(self, raw: bytes) -> None:
        row = RowRecord("servers", "a", base64.b64encode(raw).decode(), 1)
        with logbook.NullHandler().applicationbound():
            self.assertIsNone(EntryReader().read(row))


class OrdersOfOthersTest(unittest.TestCase):
    """An order or a status that can't be read hides neither the plan nor other orders."""

    def test_plan_and_good_order_hold_beside_bad_rows(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("op", "config", {"version": 3})
            order = {"service": "model", "targetVersion": "v2", "durationS": 12}
            platform.put("op", "rollout/model", order)
            platform.put("op", "rollout/plain", {"service": 7})
            platform.put("op", "rollout/other", [])
            platform.put("status", "rollout/model", {"state": 1})
            news = (await store.plan(1.0)).unwrap()
            assert news.plan is not None
            self.assertEqual(news.plan.version, 3)
            self.assertEqual([each.order.service for each in news.rollouts], ["model"])

        with logbook.TestHandler().applicationbound() as handler:
            on_store(work)
        told = [each.message for each in handler.records if each.message.startswith("E303")]
        self.assertEqual(len(told), 3)


class KeptRolloutsOfOthersTest(unittest.TestCase):
    def test_good_row_holds_beside_bad_ones(self) -> None:
        news = RolloutNews(RolloutOrder("model", 3, "v2", 12.0, 1.0), Phase.TRIAL)

        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("rollouts", "model", msgspec.to_builtins(news))
            platform.put("rollouts", "plain", ["no roll-out"])
            platform.put("rollouts", "spoilt", {})
            platform.rows[("rollouts", "", "spoilt")].value = "a"
            self.assertEqual((await store.load_rollouts(1.0)).unwrap(), (news,))

        with logbook.NullHandler().applicationbound():
            on_store(work)


class StartedAgainTest(unittest.TestCase):
    """A server that starts again under its id is another server."""

    def test_new_start_takes_the_place_of_the_old_one(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "a", entry(born=1_000))
            before = await read(store)
            platform.put("servers", "a", entry(born=2_000, seq=0))
            after = await read(store, before)
            self.assertEqual(len(after.servers), 1)
            self.assertNotEqual(before.servers[0].id, after.servers[0].id)
            self.assertEqual(platform_id(after.servers[0].id), "a")
            self.assertTrue(after.changed)
            again = await read(store)
            self.assertEqual(again.servers, after.servers)
            platform.drop("servers", "a")
            self.assertEqual((await read(store, after)).servers, ())

        on_store(work)

    def test_servers_are_asked_by_the_id_that_they_know(self) -> None:
        head = RequestHead(b"GET", b"/", [])
        facts = AttemptFacts("a#1000", None, 1.0, None)
        data = PlatformHeaders().attempt_head(head, facts, 0)
        self.assertIn(b"Expect-Instance: a\r\n", data)


class ServersTest(unittest.TestCase):
    def test_list_is_made_of_what_changed(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            for number in range(4):
                platform.put("servers", f"s{number}", entry(version="v1"))
            before = await read(store)
            self.assertEqual({server.version for server in before.servers}, {"v1"})
            platform.put("servers", "s1", entry("draining"))
            platform.put("servers", "s9", entry())
            platform.drop("servers", "s2")
            after = await read(store, before)
            self.assertEqual(platform.reads["servers"], 1)
            self.assertTrue(after.changed)
            leaving = {server.id: server.leaving for server in after.servers}
            self.assertEqual(leaving, {"s0": False, "s1": True, "s3": False, "s9": False})
            again = await read(store, after)
            self.assertFalse(again.changed)
            self.assertEqual(again.servers, after.servers)
            self.assertGreaterEqual(again.version, after.version)

        on_store(work)

    def test_list_is_read_whole_once_history_is_gone(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.put("servers", "s1", entry())
            before = await read(store)
            platform.drop("servers", "s1")
            platform.put("servers", "s2", entry())
            platform.history_from = platform.version
            after = await read(store, before)
            self.assertEqual([server.id for server in after.servers], ["s2"])
            self.assertEqual(platform.reads["servers"], 2)

        on_store(work)

    def test_list_of_many_pages_is_news_to_a_node_that_has_none(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            for number in range(700):
                platform.put("servers", f"s{number:04}", entry())
            got = await read(store)
            self.assertTrue(got.changed)
            self.assertEqual(len(got.servers), 700)

        on_store(work)

    def test_list_of_many_pages_is_of_one_moment(self) -> None:
        class Changing(RowsPlatform):
            """A store in which a server of the first page leaves while the next is read."""

            def _get(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
                if query.get("from"):
                    self.put("servers", "s0000", entry("draining"))
                return super()._get(query)

        async def run() -> None:
            platform = Changing()
            await platform.start()
            for number in range(700):
                platform.put("servers", f"s{number:04}", entry())
            got = await read(PlatformStore(platform.address))
            await platform.stop()
            self.assertEqual(len(got.servers), 700)
            self.assertTrue(next(each for each in got.servers if each.id == "s0000").leaving)

        asyncio.run(run())
