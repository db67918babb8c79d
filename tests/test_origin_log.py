"""Which version began each stream, kept in the store for when all nodes end at once."""

import asyncio
import unittest
from unittest import mock

from moledale.clock import monotonic
from moledale.gateway.usage import TrueTime
from moledale.platform.store import PlatformStore
from moledale.streams import origin_log
from moledale.streams.origin_log import ORIGIN_TABLE, OriginLog, Streams, by_version
from moledale.streams.origins import digest_of
from standins.rows import RowsPlatform, StoreMode
from tests.gateway_world import run_quietly
from tests.test_gateway_nodes import wait_until

LIFETIME_S = 1.0


class OriginLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.kept: Streams = {}
        self.is_writer = True
        self.is_used = True

    def run_with(self, work) -> None:  # type: ignore[no-untyped-def]
        async def run() -> None:
            platform = RowsPlatform()
            await platform.start()
            true_time = TrueTime()
            true_time.record_store_clock(platform._now_ms() / 1000, monotonic(), monotonic())
            log = OriginLog(
                PlatformStore(platform.address),
                true_time,
                lambda: self.is_writer,
                lambda: self.is_used,
                self.kept.update,
                lambda: LIFETIME_S,
            )
            task = asyncio.create_task(log.run())
            try:
                await work(platform, log)
            finally:
                task.cancel()
                await platform.stop()

        run_quietly(run())

    def rows(self, platform: RowsPlatform) -> int:
        """Return the number of rows in the table."""
        return sum(table == ORIGIN_TABLE for table, _, _ in platform.rows)

    def test_streams_that_were_added_are_read(self) -> None:
        async def work(platform: RowsPlatform, log: OriginLog) -> None:
            log.add({digest_of("r1"): "v1", digest_of("r2"): "v2"})
            log.add({digest_of("r3"): "v1"})
            await wait_until(lambda: self.rows(platform) == 1)
            await log.read()
            self.assertEqual(
                self.kept, {"v1": digest_of("r1") + digest_of("r3"), "v2": digest_of("r2")}
            )

        self.run_with(work)

    def test_streams_that_live_no_more_are_not_kept(self) -> None:
        async def work(platform: RowsPlatform, log: OriginLog) -> None:
            log.add({digest_of("r1"): "v1"})
            await wait_until(lambda: self.rows(platform) == 1)
            await asyncio.sleep(LIFETIME_S)
            await log.read()
            self.assertEqual(self.kept, {})

        self.run_with(work)

    def test_streams_of_an_outage_of_the_store_are_written_after_it(self) -> None:
        async def work(platform: RowsPlatform, log: OriginLog) -> None:
            platform.mode = StoreMode.BUSY
            log.add({digest_of("r1"): "v1"})
            await asyncio.sleep(0.4)
            platform.mode = StoreMode.HEALTHY
            await wait_until(lambda: self.rows(platform) == 1)
            await log.read()
            self.assertEqual(self.kept, {"v1": digest_of("r1")})

        self.run_with(work)

    def test_node_that_becomes_the_writer_writes_what_it_heard_just_before(self) -> None:
        async def work(platform: RowsPlatform, log: OriginLog) -> None:
            self.is_writer = False
            log.add({digest_of("r1"): "v1"})
            await asyncio.sleep(0.5)
            self.assertEqual(self.rows(platform), 0)
            self.is_writer = True
            await wait_until(lambda: self.rows(platform) == 1)

        self.run_with(work)

    def test_node_that_does_not_write_keeps_streams_for_a_while_only(self) -> None:
        async def work(_: RowsPlatform, log: OriginLog) -> None:
            self.is_writer = False
            log.add({digest_of("r1"): "v1"})
            await wait_until(lambda: not log._unwritten)

        with mock.patch.object(origin_log, "MAX_KEPT_S", 0.3):
            self.run_with(work)

    def test_rows_are_used_again(self) -> None:
        async def work(platform: RowsPlatform, log: OriginLog) -> None:
            for number in range(5):
                log.add({digest_of(f"r{number}"): "v1"})
                await wait_until(lambda: not log._unwritten)
            self.assertLessEqual(self.rows(platform), 2)

        with mock.patch.object(origin_log, "SLOTS", 2):
            self.run_with(work)

    def test_nothing_is_read_where_nothing_is_written(self) -> None:
        async def work(platform: RowsPlatform, log: OriginLog) -> None:
            await log.read()
            calls = platform.calls
            self.is_used = False
            await log.read()
            self.assertEqual(platform.calls, calls)

        self.run_with(work)

    def test_unreadable_row_hides_no_other(self) -> None:
        async def work(platform: RowsPlatform, log: OriginLog) -> None:
            platform.put(ORIGIN_TABLE, "odd", {"at_s": 1e99, "streams": {"v1": 7}})
            log.add({digest_of("r1"): "v1"})
            await wait_until(lambda: self.rows(platform) == 2)
            await log.read()
            self.assertEqual(self.kept, {"v1": digest_of("r1")})

        self.run_with(work)

    def test_part_of_a_digest_is_dropped(self) -> None:
        packed = by_version({digest_of("r1"): "v1", digest_of("r2"): "v1"})["v1"]
        self.assertEqual(origin_log.digests_in(packed[:-1]), [digest_of("r1")])


if __name__ == "__main__":
    unittest.main()
