"""Streams stay at the version that began them where a node does not know of another one yet."""

import asyncio
import unittest
from unittest import mock

from moledale.clock import monotonic
from moledale.gateway import server_group
from moledale.gateway.node import GatewayNode
from tests.test_gateway_nodes import Cluster, run_on_cluster, wait_until
from tests.versions_world import BrokenStream, VersionCluster, mixes


def cut_from_nodes(node: GatewayNode) -> None:
    """Cut a node off from all others."""
    assert node._gossip is not None
    node._gossip.close()


def cut_from_store(node: GatewayNode) -> None:
    """Let nothing listen any more where a node calls the store."""
    calls = node._store._calls
    calls.close()
    calls.address = f"{node.settings.node.peers.partition(':')[0]}:9"


async def add_version(world: VersionCluster, reader: str) -> None:
    """List a server of v2 beside those of v1, and have one node read the list at once."""
    await world.add_server("v2")
    node = world.cluster.nodes[reader]
    node.fleet.read_now()
    await wait_until(lambda: node.balancer.group("plain").allows("v2"))


JUST_READ_S = 0.15
"""A list of this age is relied on for one more second."""


class OutOfStepTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(server_group, "UNORDERED_VERSION_DELAY_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    async def start(self, cluster: Cluster, nodes: int = 3) -> VersionCluster:
        world = VersionCluster(cluster)
        await world.start(nodes, {"v1": 2})
        return world

    async def begin_at_new_version(self, world: VersionCluster, node: str) -> BrokenStream:
        """Begin a stream at v2 as soon as a node sends streams there."""
        async with asyncio.timeout(3):
            while True:
                try:
                    stream = await world.begin(node)
                except (asyncio.IncompleteReadError, ConnectionError):
                    await asyncio.sleep(0.01)
                    continue
                if stream.version == "v2":
                    return stream

    def test_node_cut_off_for_less_than_the_age_of_a_list_does_not_mix(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = await self.start(cluster)
            late = cluster.nodes["n3"]
            await wait_until(lambda: monotonic() - late.fleet._fresh_at < JUST_READ_S)
            cut_from_nodes(late)
            cut_from_store(late)
            await add_version(world, "n1")
            stream = await self.begin_at_new_version(world, "n1")
            got = await world.resume(stream, "n3")
            self.assertFalse(mixes(stream, got), (stream, got))

        run_on_cluster(work)

    def test_node_cut_off_from_the_others_alone_does_not_mix(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = await self.start(cluster)
            late = cluster.nodes["n3"]
            await wait_until(lambda: monotonic() - late.fleet._fresh_at < JUST_READ_S)
            cut_from_nodes(late)
            await add_version(world, "n1")
            stream = await self.begin_at_new_version(world, "n1")
            got = await world.resume(stream, "n3")
            self.assertFalse(mixes(stream, got), (stream, got))

        run_on_cluster(work)

    def test_node_cut_off_from_the_store_and_one_node_does_not_mix(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = await self.start(cluster)
            cut_from_nodes(cluster.nodes["n1"])
            for name in ("n2", "n3"):
                cut_from_store(cluster.nodes[name])
            await asyncio.sleep(1.5)
            await add_version(world, "n1")
            stream = await self.begin_at_new_version(world, "n1")
            got = await world.resume(stream, "n3")
            self.assertFalse(mixes(stream, got), (stream, got))

        run_on_cluster(work)
