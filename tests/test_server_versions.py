"""Streams go on only at servers of the software version that began them."""

import asyncio
import unittest
from unittest import mock

from moledale.gateway.messages import Server
from standins.rows import StoreMode
from tests.gateway_world import GatewayWorld, ScriptedServer, make_plan, run_quietly
from tests.test_gateway_evacuation import TOKEN_HEADERS, EnginePair
from tests.test_gateway_nodes import Cluster, run_on_cluster, wait_until
from tests.versions_world import (
    BrokenStream,
    VersionCluster,
    VersionScript,
    goes_on,
    mixes,
    versions_in,
)

STREAMS = 12
TWO_VERSIONS = {"v1": 2, "v2": 2}


async def start_versions(world: GatewayWorld, *scripts: VersionScript) -> list[ScriptedServer]:
    """Start a model server for each script, s1 first; all versions get work."""
    servers = [
        await world.start_server(f"s{number}", "model", script, version=script.version)
        for number, script in enumerate(scripts, 1)
    ]
    accept_versions(world)
    return servers


def accept_versions(world: GatewayWorld) -> None:
    """Give all versions work at once, as when they are there for long without an order."""
    group = world.balancer.group("model")
    group._accepted_versions = frozenset(view.server.version for view in group.views.values())
    for view in group.views.values():
        group.update(view)


class WithinOneAnswerTest(unittest.TestCase):
    """Streams that a node takes up at another server by itself."""

    def test_broken_stream_goes_on_at_its_own_version(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                broken = VersionScript("v1", breaks_at=3)
                others = [VersionScript("v2"), VersionScript("v1"), VersionScript("v2")]
                servers = await start_versions(world, broken, *others)
                got = await world.send_request("/review/", request_id="r0")
                self.assertEqual((versions_in(got.body), got.whole), ({"v1"}, True))
                self.assertEqual(len(servers[2].arrivals), 1)
                for number in range(1, 6):
                    got = await world.send_request("/review/", request_id=f"r{number}")
                    self.assertEqual((len(versions_in(got.body)), got.whole), (1, True))

        run_quietly(work())

    def test_broken_stream_without_a_server_of_its_version_is_cut_visibly(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                broken = VersionScript("v1", breaks_at=3)
                servers = await start_versions(world, broken, VersionScript("v2"))
                got = await world.send_request("/review/")
                self.assertFalse(got.whole)
                self.assertEqual(versions_in(got.body), {"v1"})
                self.assertEqual(servers[1].arrivals, [])

        run_quietly(work())

    def test_stream_without_an_event_may_begin_at_any_version(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await start_versions(world, VersionScript("v1", breaks_at=1), VersionScript("v2"))
                got = await world.send_request("/review/")
                self.assertTrue(got.whole)
                self.assertEqual(versions_in(got.body), {"v2"})

        run_quietly(work())


class MovesTest(unittest.TestCase):
    """Streams that move off a leaving server of version v1 with their KV cache."""

    def _check(self, pair: EnginePair, targets: dict[str, str], moved_to: set[str]) -> None:
        """Check to which of the targets, given with their versions, the stream was moved."""

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "model", pair.script, version="v1")
                asking = asyncio.create_task(world.send_request("/draft/", headers=TOKEN_HEADERS))
                await asyncio.sleep(0.15)
                for name, version in targets.items():
                    await world.start_server(name, "model", pair.script, version=version)
                accept_versions(world)
                world.update_listed("s1", leaving=True)
                got = await asking
                by_address = {each.address: name for name, each in world.servers.items()}
                ordered = {by_address[str(each["targetVersion"])] for each in pair.move_orders}
                reached = {str(each.get("expect-instance")) for each in pair.continued}
                self.assertEqual((ordered | reached) - {"s1"}, moved_to)
                self.assertTrue(got.whole)

        run_quietly(work())

    def test_stream_moves_to_a_server_of_its_version_only(self) -> None:
        self._check(EnginePair(), {"s2": "v2", "s3": "v1", "s4": "v2"}, {"s3"})

    def test_stream_stays_if_no_server_of_its_version_is_left(self) -> None:
        self._check(EnginePair(), {"s2": "v2"}, set())

    def test_run_that_its_target_refuses_does_not_go_on_at_another_version(self) -> None:
        pair = EnginePair(refusing={"s2"})
        self._check(pair, {"s2": "v1", "s3": "v2"}, {"s2"})


class BackupsTest(unittest.TestCase):
    def test_backup_is_at_a_server_of_the_same_version(self) -> None:
        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                listed = [
                    Server("s1", "model", "h:1", "hall-a", 64, version="v1"),
                    Server("s2", "model", "h:2", "hall-a", 64, version="v2"),
                    Server("s3", "model", "h:3", "hall-a", 64, version="v1"),
                ]
                world.balancer.apply(listed)
                source = world.balancer.views["s1"]
                backups = world.forwarder.backups
                held = {each.server.id for each in backups._holders(source.server, 0.0)}
                self.assertEqual(held, {"s1", "s3"})

        run_quietly(work())


class ReturningCallersTest(unittest.TestCase):
    """Streams that callers take up again, at any node."""

    def test_streams_go_on_at_the_node_that_began_them(self) -> None:
        self._all_go_on(nodes=1)

    def test_streams_go_on_at_other_nodes(self) -> None:
        self._all_go_on(nodes=3)

    def _all_go_on(self, nodes: int) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(nodes, TWO_VERSIONS)
            for number in range(STREAMS):
                stream = await world.begin(f"n{number % nodes + 1}")
                got = await world.resume(stream, f"n{(number + 1) % nodes + 1}")
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_go_on_after_the_node_that_began_them_was_killed(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, TWO_VERSIONS)
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            cluster.kill("n1")
            for number, stream in enumerate(streams):
                got = await world.resume(stream, f"n{number % 2 + 2}")
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_go_on_at_a_node_that_was_started_again(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, TWO_VERSIONS)
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            cluster.kill("n1")
            await world.start_node("n1")
            await asyncio.sleep(0.5)
            for stream in streams:
                got = await world.resume(stream, "n1")
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_go_on_in_an_outage_of_the_store(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, TWO_VERSIONS)
            cluster.platform.mode = StoreMode.SILENT
            await asyncio.sleep(2.0)
            for number in range(STREAMS):
                stream = await world.begin(f"n{number % 3 + 1}")
                got = await world.resume(stream, f"n{(number + 1) % 3 + 1}")
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_that_began_before_a_second_version_came_go_on(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2})
            streams = [await world.begin(f"n{number % 3 + 1}") for number in range(STREAMS)]
            await world.add_server("v2")
            await asyncio.sleep(1.5)
            for number, stream in enumerate(streams):
                got = await world.resume(stream, f"n{(number + 1) % 3 + 1}")
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_whose_node_was_killed_after_a_second_version_came_go_on(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2})
            for server in world.servers["v1"]:
                server.script = VersionScript("v1", interval_s=0.4)
            opened = [await world.open("n1") for _ in range(4)]
            await world.add_server("v2")
            await asyncio.sleep(1.5)
            cluster.kill("n1")
            for server in world.servers["v1"]:
                server.script = VersionScript("v1")
            for number, stream in enumerate(opened):
                got = await world.resume(stream, f"n{number % 2 + 2}")
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_go_on_though_the_news_of_them_were_lost(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(2, TWO_VERSIONS)
            with mock.patch.object(cluster.nodes["n2"]._origins, "keep"):
                streams = [await world.begin("n1") for _ in range(STREAMS)]
                for stream in streams:
                    got = await world.resume(stream, "n2")
                    self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)

    def test_streams_of_a_version_that_is_gone_are_refused_at_once(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(2, TWO_VERSIONS)
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            world.drop_version("v1")
            await asyncio.sleep(1.5)
            for stream in streams:
                loop = asyncio.get_running_loop()
                asked_at = loop.time()
                got = await world.resume(stream, "n2")
                self.assertFalse(mixes(stream, got), (stream, got))
                if stream.version == "v1":
                    self.assertEqual(got.status, 503)
                    self.assertLess(loop.time() - asked_at, 0.5)

        run_on_cluster(work)

    def test_streams_of_a_service_without_servers_may_be_tried_again(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(1, {"v1": 2})
            stream = await world.begin("n1")
            world.drop_version("v1")
            await asyncio.sleep(1.5)
            got = await world.resume(stream, "n1")
            self.assertEqual(got.status, 503)
            self.assertIn("retry-after", got.headers)

        run_on_cluster(work)

    def test_node_that_can_not_know_the_version_does_not_mix(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(2, TWO_VERSIONS)
            node = cluster.nodes["n2"]
            assert node._gossip is not None
            node._gossip.close()
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            for stream in streams:
                got = await world.resume(stream, "n2")
                self.assertFalse(mixes(stream, got), (stream, got))
            unknown = BrokenStream("never-began", 2, "none")
            self.assertEqual((await world.resume(unknown, "n1")).status, 503)

        run_on_cluster(work)

    def test_all_nodes_that_were_started_again_do_not_mix(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(2, TWO_VERSIONS)
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            for name in ("n1", "n2"):
                cluster.kill(name)
            world.drop_version("v2")
            for name in ("n1", "n2"):
                await world.start_node(name)
            for stream in streams:
                got = await world.resume(stream, "n2")
                self.assertFalse(mixes(stream, got), (stream, got))

        run_on_cluster(work)

    def test_plan_with_shorter_time_limits_does_not_shorten_the_life_of_streams(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(1, TWO_VERSIONS)
            node = cluster.nodes["n1"]
            before_s = node._stream_lifetime_s()
            world.change_time_limit(500)
            index = node.forwarder.index
            await wait_until(lambda: node.forwarder.index is not index)
            self.assertEqual(node._stream_lifetime_s(), before_s)

        run_on_cluster(work)

    def test_streams_of_the_only_version_go_on_whoever_began_them(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(2, {"v1": 2})
            streams = [await world.begin("n1") for _ in range(STREAMS)]
            cluster.kill("n1")
            for stream in streams:
                got = await world.resume(stream, "n2")
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)


if __name__ == "__main__":
    unittest.main()
