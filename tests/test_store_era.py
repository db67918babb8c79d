"""The store comes back from an older copy: what nodes and the platform see of it."""

import unittest

import logbook

from moledale.log import Event
from moledale.platform.store import PlatformStore
from standins.rows import RowsPlatform
from tests.test_platform_store import on_store, read


def lines_of(handler: logbook.TestHandler, event: Event) -> list[str]:
    """Return the log lines of an event."""
    return [each.message for each in handler.records if f"E{event.value.number} " in each.message]


class EraIsToldTest(unittest.TestCase):
    def test_return_from_an_older_copy_is_logged_once(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            await read(store)
            copy = platform.copy()
            for _ in range(2):
                platform.restore(copy)
                await read(store)
                await read(store)

        with logbook.TestHandler().applicationbound() as handler:
            on_store(work)
        self.assertEqual(len(lines_of(handler, Event.STORE_RESTORED)), 2)

    def test_first_era_that_a_node_hears_of_is_no_return(self) -> None:
        async def work(platform: RowsPlatform, store: PlatformStore) -> None:
            platform.era = 7
            await read(store)

        with logbook.TestHandler().applicationbound() as handler:
            on_store(work)
        self.assertEqual(lines_of(handler, Event.STORE_RESTORED), [])


if __name__ == "__main__":
    unittest.main()
