"""Orders of events that streams of several versions meet while nodes and the store fail."""

import asyncio
import unittest

from standins.rows import StoreMode
from tests.test_gateway_nodes import Cluster, run_on_cluster, wait_until
from tests.test_streams_after_kills import NODES, STREAMS, restart_all
from tests.versions_world import VersionCluster, goes_on


class KilledTwiceTest(unittest.TestCase):
    def test_streams_that_began_between_two_kills_go_on_though_a_version_had_just_left(
        self,
    ) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2, "v2": 2})
            world.drop_version("v1")
            await restart_all(world)
            streams = [await world.begin(NODES[number % 3]) for number in range(STREAMS)]
            await asyncio.sleep(1.0)
            await restart_all(world)
            for number, stream in enumerate(streams):
                got = await world.resume(stream, NODES[number % 3])
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)


class RestartInOutageTest(unittest.TestCase):
    def test_node_that_starts_again_while_the_store_is_down_begins_streams(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2})
            cluster.platform.mode = StoreMode.BUSY
            cluster.kill("n3")
            await world.start_node("n3")
            await wait_until(lambda: cluster.nodes["n3"]._register.may_begin("plain", "v1"))
            stream = await world.begin("n3")
            self.assertEqual(stream.version, "v1")

        run_on_cluster(work)


if __name__ == "__main__":
    unittest.main()
