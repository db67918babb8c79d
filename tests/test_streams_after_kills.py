"""Streams that are taken up again after all nodes were killed at once."""

import asyncio
import unittest

from tests.test_gateway_nodes import Cluster, run_on_cluster
from tests.versions_world import VersionCluster, goes_on, mixes

STREAMS = 6
NODES = ("n1", "n2", "n3")


async def restart_all(world: VersionCluster) -> None:
    """Kill all nodes at once and start them again."""
    for name in NODES:
        world.cluster.kill(name)
    for name in NODES:
        await world.start_node(name)


class KilledNodesTest(unittest.TestCase):
    def test_streams_of_the_only_version_go_on_after_all_nodes_were_killed(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2})
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            for _ in range(2):
                await restart_all(world)
                for number, stream in enumerate(streams):
                    got = await world.resume(stream, NODES[number % 3])
                    self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_of_several_versions_go_on_after_all_nodes_were_killed(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2, "v2": 2})
            streams = [await world.begin(NODES[number % 3]) for number in range(STREAMS)]
            await asyncio.sleep(1.0)
            for _ in range(2):
                await restart_all(world)
                for number, stream in enumerate(streams):
                    got = await world.resume(stream, NODES[number % 3])
                    self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_of_a_version_that_left_just_before_are_not_mixed(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2, "v2": 2})
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            await asyncio.sleep(1.0)
            world.drop_version("v1")
            for _ in range(2):
                await restart_all(world)
                for number, stream in enumerate(streams):
                    got = await world.resume(stream, NODES[number % 3])
                    self.assertFalse(mixes(stream, got), (stream, got))

        run_on_cluster(work)
