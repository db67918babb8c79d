"""Orders of events that streams of several versions meet while nodes and the store fail."""

import asyncio
import unittest

from tests.test_gateway_nodes import Cluster, run_on_cluster
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


if __name__ == "__main__":
    unittest.main()
