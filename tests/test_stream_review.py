"""Orders of events that streams of several versions meet while nodes and the store fail."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from unittest import mock

from moledale.clock import monotonic
from moledale.gateway import peers, server_group
from moledale.gateway.usage import TrueTime
from moledale.platform.store import PlatformStore
from moledale.streams import origin_log, version_register
from moledale.streams.origin_log import OriginLog, Streams, digests_in
from moledale.streams.origins import digest_of
from moledale.streams.version_register import VERSION_TABLE
from standins.rows import RowsPlatform, StoreMode
from tests.gateway_world import run_quietly
from tests.test_gateway_nodes import (
    Cluster,
    make_config,
    plan_version_of,
    run_on_cluster,
    wait_until,
)
from tests.test_streams_after_kills import NODES, STREAMS, restart_all
from tests.test_streams_out_of_step import add_version, cut_from_nodes, cut_from_store
from tests.test_version_register import LIFETIME_S, SERVICE, Node
from tests.versions_world import BrokenStream, VersionCluster, goes_on, mixes


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


class VersionJoinsTest(unittest.TestCase):
    def test_streams_of_the_only_version_go_on_though_another_joins_while_all_nodes_are_down(
        self,
    ) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2})
            streams = [await world.begin(NODES[number % 3]) for number in range(STREAMS)]
            await asyncio.sleep(1.0)
            for _ in range(2):
                await world.add_server("v2")
            await restart_all(world)
            for number, stream in enumerate(streams):
                got = await world.resume(stream, NODES[number % 3])
                self.assertTrue(goes_on(stream, got), (stream, got))

        run_on_cluster(work)


def route_streams_to(cluster: Cluster, version: int, services: tuple[str, ...]) -> None:
    """Put a plan in force whose route of streams leads to some services, in equal parts."""
    config = make_config(version)
    assert isinstance(config, dict)
    (route,) = config["routes"]
    del route["service"]
    split = [{"service": name, "weight": 1.0} for name in services]
    route.update({"kind": "streaming", "resumable": True, "timeoutMs": 3000, "split": split})
    config["services"].append({**config["services"][0], "name": "other"})
    cluster.platform.put("op", "config", config)


class SharedRouteTest(unittest.TestCase):
    async def start(self, cluster: Cluster) -> VersionCluster:
        """Start two nodes, with servers of v1 at a service and one of v2 at another one."""
        world = VersionCluster(cluster)
        await world.start(2, {"v1": 2})
        (server,) = [await world.add_server("v2")]
        cluster.list_server(server, "ready", version="v2", service="other")
        return world

    async def adopt(self, cluster: Cluster, version: int) -> None:
        """Wait until all nodes have a plan in force, and begin streams at both services."""
        nodes = cluster.nodes.values()
        await wait_until(lambda: all(plan_version_of(node) == version for node in nodes))
        await wait_until(lambda: all(node._register.may_begin("other", "v2") for node in nodes))

    def test_stream_of_a_split_route_stays_at_the_service_that_began_it(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = await self.start(cluster)
            route_streams_to(cluster, 3, ("plain", "other"))
            await self.adopt(cluster, 3)
            for _ in range(10):
                stream = await world.begin("n1")
                got = await world.resume(stream, "n2")
                self.assertFalse(mixes(stream, got), (stream, got))

        run_on_cluster(work)

    def test_stream_whose_route_moves_to_another_service_is_not_mixed(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = await self.start(cluster)
            stream = await world.begin("n1")
            route_streams_to(cluster, 3, ("other",))
            await self.adopt(cluster, 3)
            got = await world.resume(stream, "n2")
            self.assertFalse(mixes(stream, got), (stream, got))

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


class BecomingWriterTest(unittest.TestCase):
    def test_node_that_becomes_the_writer_writes_all_that_it_heard_lately(self) -> None:
        is_writer = False

        async def work() -> None:
            nonlocal is_writer
            platform = RowsPlatform()
            await platform.start()
            true_time = TrueTime()
            true_time.record_store_clock(platform._now_ms() / 1000, monotonic(), monotonic())
            kept: Streams = {}
            log = OriginLog(
                PlatformStore(platform.address),
                true_time,
                lambda: is_writer,
                lambda: True,
                kept.update,
                lambda: 30.0,
            )
            task = asyncio.create_task(log.run())
            added: dict[bytes, float] = {}
            started_at = monotonic()
            while monotonic() - started_at < 1.3:
                stream = digest_of(f"r{len(added)}")
                log.add({stream: "v1"})
                added[stream] = monotonic()
                await asyncio.sleep(0.01)
            is_writer = True
            lately = {stream for stream, at in added.items() if monotonic() - at < 0.4}
            await wait_until(lambda: not log._unwritten)
            await log.read()
            task.cancel()
            await platform.stop()
            self.assertLessEqual(lately, set(digests_in(kept.get("v1", b""))))

        with mock.patch.object(origin_log, "MAX_KEPT_S", 1.0):
            run_quietly(work())


class TwoWritersTest(unittest.TestCase):
    def test_two_writers_on_two_sides_of_a_partition_lose_no_stream(self) -> None:
        async def work() -> None:
            platform = RowsPlatform()
            await platform.start()
            true_time = TrueTime()
            true_time.record_store_clock(platform._now_ms() / 1000, monotonic(), monotonic())
            kept: set[bytes] = set()
            logs = [
                OriginLog(
                    PlatformStore(platform.address),
                    true_time,
                    lambda: True,
                    lambda: True,
                    lambda streams: kept.update(digests_in(streams.get("v1", b""))),
                    lambda: 30.0,
                )
                for _ in range(2)
            ]
            tasks = [asyncio.create_task(log.run()) for log in logs]
            added = [digest_of(f"r{number}") for number in range(40)]
            for number, stream in enumerate(added):
                logs[number % 2].add({stream: "v1"})
                await asyncio.sleep(0.02)
            await wait_until(lambda: not any(log._unwritten for log in logs))
            await logs[0].read()
            for task in tasks:
                task.cancel()
            await platform.stop()
            self.assertEqual(set(added) - kept, set())

        run_quietly(work())


BOTH = {"versions": {"v1": None, "v2": None}, "era": 2}
"""The row of a service with two listed versions; the first era of a store is known as 2."""


class RegisterTest(unittest.TestCase):
    def run_with(self, work: Callable[[RowsPlatform], Awaitable[None]]) -> None:
        """Run `work` with a store, and end the nodes that it started."""
        self.nodes: list[Node] = []

        async def run() -> None:
            platform = RowsPlatform()
            await platform.start()
            try:
                await work(platform)
            finally:
                for node in self.nodes:
                    node.task.cancel()
                await platform.stop()

        with (
            mock.patch.object(version_register, "GONE_DELAY_S", 0.5),
            mock.patch.object(version_register, "POLL_INTERVAL_S", 0.1),
        ):
            run_quietly(run())

    def node(self, platform: RowsPlatform, first_start: bool = True) -> Node:
        """Start a node."""
        self.nodes.append(Node(platform, first_start))
        return self.nodes[-1]

    def test_version_that_lapsed_is_not_written_as_gone_with_another_version(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1", "v2")
            await wait_until(lambda: node.begins("v2"))
            node.see("v1", "v3")
            await wait_until(lambda: node.begins("v3"))
            self.assertTrue(node.begins("v2"))
            await wait_until(lambda: not node.begins("v2"))

        self.run_with(work)

    def test_server_that_names_no_version_hides_no_other(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1", "")
            await wait_until(lambda: node.begins("v1") and node.begins(""))
            self.assertEqual(await node.recent(), {"v1", ""})

        self.run_with(work)

    def test_row_that_lost_its_versions_rules_none_out(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1", "v2")
            await wait_until(lambda: node.begins("v2"))
            platform.put(VERSION_TABLE, SERVICE, {})
            late = self.node(platform, False)
            late.see("v1")
            self.assertIsNone(await late.recent())
            await wait_until(lambda: late.begins("v1"))
            self.assertIsNone(await late.recent())

        self.run_with(work)

    def test_write_that_took_effect_without_an_answer_hides_no_listed_version(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            node = self.node(platform)
            node.see("v1", "v2")
            await wait_until(lambda: node.begins("v2"))
            node.see("v1")
            platform.mode = StoreMode.LOSES_WRITE_ANSWERS
            await wait_until(lambda: platform.body(VERSION_TABLE, SERVICE) != BOTH)
            node.see("v1", "v2")
            await asyncio.sleep(version_register.CALL_TIMEOUT_S)
            platform.mode = StoreMode.HEALTHY
            await wait_until(lambda: platform.body(VERSION_TABLE, SERVICE) == BOTH)

        self.run_with(work)

    def test_node_that_starts_after_the_store_was_restored_rules_no_version_out(self) -> None:
        async def work(platform: RowsPlatform) -> None:
            before = self.node(platform)
            before.see("v1")
            await wait_until(lambda: before.begins("v1"))
            older = platform.snapshot()
            before.see("v1", "v2")
            await wait_until(lambda: before.begins("v2"))
            before.task.cancel()
            platform.restore(older)
            one, two = self.node(platform, False), self.node(platform, False)
            for node in (one, two):
                node.see("v1")
                await wait_until(partial(node.begins, "v1"))
                self.assertIsNone(await node.recent())
            await asyncio.sleep(LIFETIME_S)
            self.assertEqual(await one.recent(), {"v1"})

        self.run_with(work)


SHORT_LIFE_S = 1.5
"""The life of streams in a test that waits until it has passed."""


class IsolatedNodeTest(unittest.TestCase):
    def test_node_that_has_forgotten_the_others_in_isolation_does_not_mix(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2})
            late = cluster.nodes["n3"]
            cut_from_nodes(late)
            cut_from_store(late)
            await wait_until(lambda: not late.members.members)
            await add_version(world, "n1")
            stream = await begin_at(world, "n1", "v2")
            got = await world.resume(stream, "n3")
            self.assertFalse(mixes(stream, got), (stream, got))

        with (
            mock.patch.object(peers, "MEMBER_RETENTION_S", 1.5),
            mock.patch.object(server_group, "UNORDERED_VERSION_DELAY_S", 0.0),
        ):
            run_on_cluster(work)

    def test_isolated_node_begins_no_streams_at_a_version_that_was_gone_for_their_life(
        self,
    ) -> None:
        async def work(cluster: Cluster) -> None:
            world = VersionCluster(cluster)
            await world.start(3, {"v1": 2})
            late, others = cluster.nodes["n3"], [cluster.nodes[name] for name in ("n1", "n2")]
            for node in cluster.nodes.values():
                node._register._lifetime_s = lambda: SHORT_LIFE_S
                node.balancer.versions._lifetime_s = lambda: SHORT_LIFE_S
            cut_from_nodes(late)
            cut_from_store(late)
            for server in world.servers["v1"]:
                cluster.platform.drop("servers", server.id)
            await add_version(world, "n1")
            await wait_until(
                lambda: not any(each._register.may_begin("plain", "v1") for each in others)
            )
            await asyncio.sleep(SHORT_LIFE_S + 0.5)
            try:
                stream = await world.begin("n3")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            got = await world.resume(stream, "n1")
            self.assertFalse(mixes(stream, got), (stream, got))

        with (
            mock.patch.object(version_register, "GONE_DELAY_S", 0.5),
            mock.patch.object(version_register, "POLL_INTERVAL_S", 0.1),
            mock.patch.object(server_group, "UNORDERED_VERSION_DELAY_S", 0.0),
        ):
            run_on_cluster(work)


async def begin_at(world: VersionCluster, node: str, version: str) -> BrokenStream:
    """Begin a stream at a version as soon as a node sends streams there."""
    async with asyncio.timeout(3):
        while True:
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                stream = await world.begin(node)
                if stream.version == version:
                    return stream
            await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
