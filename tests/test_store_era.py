"""Tests that a restore of the store is noticed, and that positions of earlier eras are not used."""

import unittest

import logbook

from moledale.log import Event
from moledale.platform.store import PlatformStore
from standins.rows import RowsPlatform
from tests.test_gateway_nodes import make_config
from tests.test_platform_store import make_entry, read_servers, run_on_store


def log_messages_of(handler: logbook.TestHandler, event: Event) -> list[str]:
    """Return the messages that were logged for an event."""
    return [each.message for each in handler.records if f"E{event.value.number} " in each.message]


class EraIsToldTest(unittest.TestCase):
    def test_each_restore_is_logged_once(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            await read_servers(store)
            copy = platform.snapshot()
            for _ in range(2):
                platform.restore(copy)
                await read_servers(store)
                await read_servers(store)

        with logbook.TestHandler().applicationbound() as handler:
            run_on_store(work)
        self.assertEqual(len(log_messages_of(handler, Event.STORE_RESTORED)), 2)

    def test_first_known_era_is_not_logged_as_a_restore(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.era = 7
            await read_servers(store)

        with logbook.TestHandler().applicationbound() as handler:
            run_on_store(work)
        self.assertEqual(log_messages_of(handler, Event.STORE_RESTORED), [])


class PositionTest(unittest.TestCase):
    """A position in the history of one era is not valid in another."""

    def test_list_is_not_updated_from_a_position_of_the_previous_era(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            copy = platform.snapshot()
            for _ in range(20):
                platform.put("other", "row", {})
            platform.put("servers", "s1", make_entry())
            before = await read_servers(store)
            platform.restore(copy)
            platform.put("servers", "s2", make_entry())
            for _ in range(40):
                platform.put("other", "row", {})
            platform.put("servers", "s3", make_entry())
            got = await read_servers(store, before)
            self.assertEqual({each.id for each in got.servers}, {"s2", "s3"})
            self.assertEqual((got.era, got.changed), (before.era + 1, True))

        run_on_store(work)

    def test_plan_with_a_version_that_was_assigned_before_the_restore_is_found(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            copy = platform.snapshot()
            for _ in range(20):
                platform.put("other", "row", {})
            position = (await store.plan(1.0)).unwrap().position
            platform.restore(copy)
            platform.put("op", "config", make_config(2))
            for _ in range(40):
                platform.put("other", "row", {})
            self.assertTrue((await store.watch_plan(position, 0.1)).unwrap_err().history_gone)
            update = (await store.plan(1.0)).unwrap()
            self.assertEqual(update.plan and update.plan.version, 2)

        run_on_store(work)


if __name__ == "__main__":
    unittest.main()
