"""The versions that may have begun streams, as the store keeps them for all nodes."""

import asyncio
import base64
import unittest
from unittest import mock

from moledale.clock import monotonic
from moledale.gateway.cold_start import ColdStart
from moledale.gateway.usage import TrueTime
from moledale.platform.store import PlatformStore
from moledale.streams import version_register
from moledale.streams.version_history import VersionHistory
from moledale.streams.version_register import (
    UNRECORDED,
    VERSION_TABLE,
    VersionNews,
    VersionRegister,
    VersionRow,
)
from standins.rows import RowsPlatform, StoreMode
from tests.gateway_world import run_quietly
from tests.test_gateway_nodes import wait_until

SERVICE = "model"
LIFETIME_S = 1.0


class Node:
    """The register of one node, with the list that it sees."""

    def __init__(self, platform: RowsPlatform, first_start: bool, rank: int = 0) -> None:
        self.history = VersionHistory(first_start, lambda: LIFETIME_S)
        self.store = PlatformStore(platform.address)
        self.sent: list[VersionNews] = []
        self.register = VersionRegister(
            self.store,
            self.history,
            TrueTime(),
            lambda _: True,
            self.sent.append,
            lambda: rank,
            lambda: 1.0,
            lambda: LIFETIME_S,
            ColdStart(lambda: 1.0),
        )
        self.task = asyncio.create_task(self.register.run())

    def see(self, *versions: str) -> None:
        """Let the node see servers of these versions listed."""
        self.history.observe([(SERVICE, version) for version in versions])
        self.register.on_list_changed()

    def begins(self, version: str) -> bool:
        """Return whether the node begins streams at a version."""
        return self.register.may_begin(SERVICE, version)

    async def recent(self) -> frozenset[str] | None:
        """Return the versions that may have begun a stream."""
        return await self.register.recent(SERVICE)


class VersionRegisterTest(unittest.TestCase):
    def run_with(self, work) -> None:  # type: ignore[no-untyped-def]
        async def run() -> None:
            platform = RowsPlatform()
            await platform.start()
            self.nodes: list[Node] = []
            try:
                await work(platform)
            finally:
                for node in self.nodes:
                    node.task.cancel()
                await platform.stop()

        run_quietly(run())

    def node(self, platform: RowsPlatform, first_start: bool = True, rank: int = 0) -> Node:
        self.nodes.append(Node(platform, first_start, rank))
        return self.nodes[-1]

    def test_streams_begin_at_a_version_only_once_the_store_names_it(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            platform.mode = StoreMode.BUSY
            node.see("v1", "v2")
            await asyncio.sleep(0.5)
            self.assertFalse(node.begins("v2"))
            platform.mode = StoreMode.HEALTHY
            await wait_until(lambda: node.begins("v2"))
            row = {"versions": {"v1": None, "v2": None}, "era": node.store.era.number}
            self.assertEqual(platform.body(VERSION_TABLE, SERVICE), row)

        self.run_with(work)

    def test_node_that_sees_one_version_learns_of_another_from_the_store(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            late, other = self.node(platform), self.node(platform)
            for node in (late, other):
                node.see("v1")
            await wait_until(lambda: late.begins("v1") and other.begins("v1"))
            self.assertEqual(await late.recent(), {"v1"})
            other.see("v1", "v2")
            await wait_until(lambda: other.begins("v2"))
            self.assertEqual(await late.recent(), {"v1", "v2"})

        self.run_with(work)

    def test_nodes_that_write_at_the_same_time_lose_no_version(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            one, two = self.node(platform), self.node(platform)
            one.see("v1")
            two.see("v1", "v2")
            await wait_until(lambda: one.begins("v1") and two.begins("v2"))
            self.assertEqual(await one.recent(), {"v1", "v2"})

        self.run_with(work)

    def test_other_nodes_learn_of_a_written_row_without_a_call(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            one, two = self.node(platform), self.node(platform, rank=4)
            for node in (one, two):
                node.see("v1")
            await wait_until(lambda: bool(one.sent))
            calls = platform.calls
            two.register.on_news(one.sent[-1])
            self.assertTrue(two.begins("v1"))
            await asyncio.sleep(1.0)
            self.assertEqual((platform.calls, two.sent), (calls, []))

        self.run_with(work)

    def test_version_that_left_counts_for_the_life_of_a_stream(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            before = self.node(platform)
            before.see("v1", "v2")
            await wait_until(lambda: before.begins("v2"))
            before.task.cancel()
            node = self.node(platform, first_start=False)
            node.see("v2")
            await wait_until(lambda: node.begins("v2"))
            self.assertEqual(await node.recent(), {"v1", "v2"})
            gone = VersionRow({"v1": 0.0, "v2": None}).current()
            await wait_until(lambda: node.register.known_rows()[0].row.current() == gone)
            self.assertEqual(await node.recent(), {"v1", "v2"})
            await asyncio.sleep(LIFETIME_S)
            self.assertEqual(await node.recent(), {"v2"})

        with (
            mock.patch.object(version_register, "GONE_DELAY_S", 0.3),
            mock.patch.object(version_register, "POLL_INTERVAL_S", 0.1),
        ):
            self.run_with(work)

    def test_first_row_of_a_system_that_ran_before_rules_no_version_out(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform, first_start=False)
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            self.assertIsNone(await node.recent())
            await asyncio.sleep(LIFETIME_S)
            self.assertEqual(await node.recent(), {"v1"})

        self.run_with(work)

    def test_row_that_another_writer_corrupted_rules_no_version_out(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            platform.put(VERSION_TABLE, SERVICE, ["odd"])
            self.assertIsNone(await node.recent())
            await wait_until(lambda: node.begins("v1"))
            self.assertIsNone(await node.recent())
            await asyncio.sleep(LIFETIME_S)
            self.assertEqual(await node.recent(), {"v1"})

        self.run_with(work)

    def test_versions_that_a_restored_store_lost_are_written_again(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            older = platform.snapshot()
            node.see("v1", "v2")
            await wait_until(lambda: node.begins("v2"))
            platform.restore(older)
            self.assertIsNone(await node.recent())

            def named() -> object:
                row = platform.body(VERSION_TABLE, SERVICE)
                return row["versions"] if isinstance(row, dict) else None

            await wait_until(lambda: named() == {"v1": None, "v2": None})

        self.run_with(work)

    def test_store_whose_versions_went_back_is_not_written_in_a_loop(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            platform.version = 50
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            row = platform.rows[(VERSION_TABLE, "", SERVICE)]
            row.ver = platform.version = 20
            calls = platform.calls
            node.see("v1", "v2")
            await wait_until(lambda: node.begins("v2"))
            await asyncio.sleep(0.5)
            self.assertLess(platform.calls - calls, 6)

        self.run_with(work)

    def test_row_that_was_removed_is_written_again(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            platform.drop(VERSION_TABLE, SERVICE)
            node.see("v1", "v2")
            await wait_until(lambda: node.begins("v2"))
            self.assertEqual(await node.recent(), {"v1", "v2"})

        self.run_with(work)

    def test_read_that_began_before_a_stream_was_lost_is_not_relied_on(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            platform.delay_s = 0.05
            first = asyncio.create_task(node.recent())
            await asyncio.sleep(0.02)
            second = asyncio.create_task(node.recent())
            third = asyncio.create_task(node.recent())
            reads = platform.reads[VERSION_TABLE]
            await asyncio.gather(first, second, third)
            self.assertEqual(platform.reads[VERSION_TABLE], reads + 2)

        self.run_with(work)

    def test_silent_store_delays_one_stream_and_not_those_after_it(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1")
            await wait_until(lambda: node.begins("v1"))
            platform.mode = StoreMode.SILENT
            self.assertIsNone(await node.recent())
            asked_at = monotonic()
            self.assertIsNone(await node.recent())
            self.assertLess(monotonic() - asked_at, 0.1)

        self.run_with(work)

    def test_service_without_a_row_rules_no_version_out(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            value = base64.b64encode(b"{}").decode()
            platform.put(VERSION_TABLE, "other", {"versions": {UNRECORDED: 1.0}})
            platform.rows[(VERSION_TABLE, "", "other")].value = value
            node = self.node(platform)
            self.assertIsNone(await node.recent())

        self.run_with(work)


if __name__ == "__main__":
    unittest.main()
