"""The adapter of the platform's store against a stand-in: lists from what changed."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from moledale.gateway.outside import ServerList
from moledale.platform.store import PlatformStore
from standins.rows import RowsPlatform


def entry(state: str = "ready", **more: object) -> dict[str, object]:
    return {"service": "model", "address": "h:1", "zone": "a", "slots": 64, "state": state, **more}


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
