"""Tests whole nodes whose store is restored from an older copy."""

import asyncio
import unittest

from moledale.clock import monotonic
from moledale.core.quarantine import Block
from standins.rows import StoreMode, StoreSnapshot
from tests.test_gateway_nodes import BOUNDS, Cluster, make_config, ready, run_on_cluster, wait_until

NODES = ("n1", "n2", "n3")
LOST_CHANGES = 200
"""Changes that the copy lacks; no test makes as many after the restore."""

STORE_OUTAGE_S = 0.3
MIN_REQUESTS = 6
MAX_STORE_CALLS_PER_S = 60
"""Three healthy nodes make about 20 calls per second, and a few more after an outage."""


async def start_and_copy(cluster: Cluster) -> StoreSnapshot:
    """Start the nodes, copy the store, and make changes that the returned copy lacks."""
    nodes = [await cluster.start(name) for name in NODES]
    for node in nodes:
        await wait_until(ready(node))
    await asyncio.sleep(0.3)
    copy = cluster.platform.snapshot()
    for _ in range(LOST_CHANGES):
        cluster.platform.put("other", "row", {})
    await asyncio.sleep(1.0)
    return copy


async def restore(cluster: Cluster, copy: StoreSnapshot) -> None:
    """Restore the store from a copy after an outage; the operator and the server write again."""
    cluster.platform.mode = StoreMode.RESET
    await asyncio.sleep(STORE_OUTAGE_S)
    cluster.platform.restore(copy)
    cluster.platform.mode = StoreMode.HEALTHY
    await asyncio.sleep(0.1)
    cluster.platform.put("op", "config", make_config(1))
    cluster.list_backend("ready")


class RestoredListTest(unittest.TestCase):
    def test_server_that_leaves_after_a_restore_gets_no_new_requests(self) -> None:
        async def work(cluster: Cluster) -> None:
            await restore(cluster, await start_and_copy(cluster))
            cluster.list_backend("draining")
            await asyncio.sleep(BOUNDS.leave_s)
            before = len(cluster.backend.arrivals)
            for name in NODES:
                await cluster.ask(name)
            self.assertEqual(len(cluster.backend.arrivals) - before, 0)

        run_on_cluster(work)

    def test_nodes_do_not_overload_the_store_after_a_restore(self) -> None:
        async def work(cluster: Cluster) -> None:
            await restore(cluster, await start_and_copy(cluster))
            calls_before, began_at = cluster.platform.calls, monotonic()
            request_count = 0
            while monotonic() - began_at < 1.0 or request_count < MIN_REQUESTS:
                await cluster.ask(NODES[0])
                request_count += 1
                await asyncio.sleep(0.02)
            self.assertLess(cluster.platform.calls - calls_before, MAX_STORE_CALLS_PER_S)

        run_on_cluster(work)


class RestoredRowsTest(unittest.TestCase):
    """Nodes write their own rows again if the copy lacks them."""

    def test_nodes_register_again_after_a_restore(self) -> None:
        async def work(cluster: Cluster) -> None:
            empty = cluster.platform.snapshot()
            await start_and_copy(cluster)
            await restore(cluster, empty)
            names = [("members", "", name) for name in NODES]
            await wait_until(lambda: all(name in cluster.platform.rows for name in names))

        run_on_cluster(work)

    def test_request_blocks_are_stored_again_after_a_restore(self) -> None:
        async def work(cluster: Cluster) -> None:
            copy = await start_and_copy(cluster)
            node = cluster.nodes[NODES[0]]
            name = ("blocks", "", b"guilty".hex())
            node.forwarder.guard.on_block(Block(b"guilty", monotonic() + 60.0, 1))
            await wait_until(lambda: name in cluster.platform.rows)
            await restore(cluster, copy)
            self.assertNotIn(name, copy.rows)
            await wait_until(lambda: name in cluster.platform.rows)

        run_on_cluster(work)


if __name__ == "__main__":
    unittest.main()
