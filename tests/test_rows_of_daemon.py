"""Tests that daemons keep serving when other writers corrupt rows of the table service."""

import unittest

from moledale.backing.types import Row
from moledale.bundle import store
from moledale.node.hall_duty import LEASE_TABLE
from moledale.node.hall_renting import DEMAND_TABLE
from moledale.node.jobs import JOB_TABLE
from moledale.node.node import Node
from tests.world import World, in_world

DEPTH = 5_000
VALUES = ("[" * DEPTH + "]" * DEPTH, '{"x":' * DEPTH + "1" + "}" * DEPTH, "word", "[]", "{}")
JOB_KEY = f"hall-a/{1:032x}"


def corrupt(world: World, table: str, key: str, value: str) -> None:
    """Replace the value of a row, or add one, as another writer would."""
    known = world.state.rows.get((table, key))
    version = 1 if known is None else known.version + 1
    world.state.rows[(table, key)] = Row(key, version, value)


def failures(node: Node) -> dict[str, int]:
    """Return the number of failures of each task of a node that failed."""
    return {each.name: len(each.failures) for each in node.supervisor._children if each.failures}


class RowsOfDaemonTest(unittest.TestCase):
    @in_world
    async def test_unreadable_rows_end_no_task(self, world: World) -> None:
        await world.start(nodes=1, engines=2)
        node = world.nodes["n0"]
        for value in VALUES:
            corrupt(world, LEASE_TABLE, "hall/hall-a", value)
            corrupt(world, DEMAND_TABLE, "hall-b", value)
            corrupt(world, JOB_TABLE, JOB_KEY, value)
            corrupt(world, store.HEAD_TABLE, store.HEAD_KEY, value)
            await world.clock.sleep(30.0)
            self.assertEqual(failures(node), {})
        record = node.dispatcher.submit(world.make_request("question")).unwrap()
        await record.wait_ended()
        self.assertEqual(record.state, "finished")

    @in_world
    async def test_unreadable_lease_is_acquired_after_its_ttl(self, world: World) -> None:
        await world.start(nodes=1, engines=2)
        corrupt(world, LEASE_TABLE, "hall/hall-a", VALUES[0])
        await world.clock.sleep(60.0)
        self.assertNotEqual(world.state.rows[(LEASE_TABLE, "hall/hall-a")].value, VALUES[0])

    @in_world
    async def test_unreadable_head_is_a_failure_and_not_absent(self, world: World) -> None:
        await world.start(nodes=1, engines=1)
        corrupt(world, store.HEAD_TABLE, store.HEAD_KEY, VALUES[0])
        outcome = await store.read_head(world.nodes["n0"].platform)
        self.assertTrue(outcome.is_err())


if __name__ == "__main__":
    unittest.main()
