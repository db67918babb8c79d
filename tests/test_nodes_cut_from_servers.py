"""Nodes that reach no backend server while callers, the store and the other nodes reach them."""

import asyncio
import unittest

from moledale.clock import monotonic
from tests.cut_world import Cut, FirstTries, ServerLinks, send_first_tries, start_cluster
from tests.gateway_world import Arrival
from tests.test_gateway_nodes import Cluster, make_config, run_on_cluster, wait_until

CONTACT_S = 3.0
"""Time from the begin of a cut until requests at a node must be served again."""

SERVED_SHARE = 2 / 3
"""Share of the first tries at other nodes that a cut node must serve at least, relative to them."""


def config_of_all_kinds() -> object:
    """Return a configuration with a safe and an unsafe route."""
    config = make_config(1)
    assert isinstance(config, dict)
    safe = config["routes"][0]
    unsafe = {**safe, "name": "r2", "pathPrefix": "/order/", "kind": "unsafe"}
    return {**config, "routes": [safe, unsafe]}


class CutNodesTest(unittest.TestCase):
    """The cluster has three nodes in three halls, and three servers."""

    async def run_cut(
        self, cluster: Cluster, cut: Cut, cut_nodes: tuple[str, ...]
    ) -> dict[str, FirstTries]:
        """Cut nodes, and send them requests during the cut; return those after `CONTACT_S`."""
        cluster.platform.put("op", "config", config_of_all_kinds())
        links = await start_cluster(cluster, 3)
        paths = ("/check/", "/order/")
        await self._send(cluster, paths, 0.5)
        for name in cut_nodes:
            links[name].fail(cut)
        await self._send(cluster, paths, CONTACT_S)
        return await self._send(cluster, paths, 2.0)

    async def _send(
        self, cluster: Cluster, paths: tuple[str, ...], for_s: float
    ) -> dict[str, FirstTries]:
        sends = {
            (name, path): asyncio.create_task(send_first_tries(cluster, name, path, for_s))
            for name in cluster.nodes
            for path in paths
        }
        total = {name: FirstTries() for name in cluster.nodes}
        for (name, _), task in sends.items():
            tries = await task
            total[name].sent += tries.sent
            total[name].served += tries.served
            total[name].statuses += tries.statuses
        return total

    def assert_served_alike(self, tries: dict[str, FirstTries], cut_nodes: tuple[str, ...]) -> None:
        """Check the share that each cut node serves against that of the other nodes."""
        others = [each for name, each in tries.items() if name not in cut_nodes]
        other_share = sum(each.served for each in others) / sum(each.sent for each in others)
        self.assertGreater(other_share, 0.95)
        for name in cut_nodes:
            share = tries[name].served / tries[name].sent
            self.assertGreaterEqual(share, SERVED_SHARE * other_share, tries[name].statuses)

    def check_cut(self, cut: Cut, cut_nodes: tuple[str, ...]) -> None:
        async def work(cluster: Cluster) -> None:
            tries = await self.run_cut(cluster, cut, cut_nodes)
            self.assert_served_alike(tries, cut_nodes)

        run_on_cluster(work)

    def test_node_whose_connections_to_all_servers_are_refused_serves_as_others_do(self) -> None:
        self.check_cut(Cut.REFUSE, ("n1",))

    def test_node_whose_connections_to_all_servers_hang_serves_as_others_do(self) -> None:
        self.check_cut(Cut.HANG, ("n1",))

    def test_node_that_gets_no_new_connections_serves_as_others_do(self) -> None:
        self.check_cut(Cut.LIVE, ("n1",))

    def test_most_nodes_without_any_server_serve_as_the_last_one_does(self) -> None:
        self.check_cut(Cut.HANG, ("n1", "n2"))


class DirectoryTest(unittest.TestCase):
    def test_callers_are_not_directed_to_a_node_that_reaches_no_server(self) -> None:
        async def work(cluster: Cluster) -> None:
            links = await start_cluster(cluster, 3)
            cut = cluster.nodes["n1"].settings.node.callers
            links["n1"].fail(Cut.REFUSE)
            await self._send_during_cut(cluster)
            for name in cluster.nodes:
                self.assertNotIn(cut, await cluster.addresses(name), name)
                self.assertEqual(len(await cluster.addresses(name)), 2, name)
            await self._heal(cluster, links, cut)

        run_on_cluster(work)

    async def _send_during_cut(self, cluster: Cluster) -> None:
        await asyncio.gather(
            *(send_first_tries(cluster, name, "/check/", CONTACT_S) for name in cluster.nodes)
        )

    async def _heal(self, cluster: Cluster, links: dict[str, ServerLinks], cut: str) -> None:
        """Heal the node's links, and check that callers are directed to it again."""
        links["n1"].heal()
        ends_at = monotonic() + 5.0
        while cut not in await cluster.addresses("n2"):
            self.assertLess(monotonic(), ends_at, "the node is not directed to again")
            await asyncio.sleep(0.1)


class SuspicionTest(unittest.TestCase):
    def test_lost_links_of_a_node_are_not_taken_for_servers_that_ended(self) -> None:
        async def hang(
            _arrival: Arrival, reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(1)
            raise ConnectionError

        async def work(cluster: Cluster) -> None:
            links = await start_cluster(cluster, 3)
            for name in ("n2", "n3"):
                self.assertEqual((await cluster.ask(name)).status, 200)
            members = cluster.nodes["n1"].members
            await wait_until(lambda: any(each.reached for each in members.alive(monotonic())))
            for server in cluster.servers:
                server.script = hang
            before = sum(len(server.arrivals) for server in cluster.servers)
            asked = asyncio.create_task(cluster.ask("n1"))
            await wait_until(
                lambda: sum(len(server.arrivals) for server in cluster.servers) > before
            )
            links["n1"].fail(Cut.REFUSE)
            await asked
            await asyncio.sleep(0.5)
            for node in cluster.nodes.values():
                self.assertFalse(node.forwarder.guard.quarantine.has_suspects)

        run_on_cluster(work)


if __name__ == "__main__":
    unittest.main()
