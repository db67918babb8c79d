"""Tests whether a starting node gets its first documents from peers or from the store."""

import asyncio
import unittest
from collections.abc import Callable

from moledale.clock import monotonic
from moledale.gateway.cold_start import PEER_ANSWER_TIMEOUT_S, ColdStart
from moledale.gateway.neighbours import MAX_MESH_PEERS
from tests.gateway_world import run_quietly

STORE_READ_S = 0.02
PEER_FETCH_S = 0.05


class SimultaneousStart:
    """Starts nodes at the same time; once one has the document, the others fetch it from peers."""

    def __init__(self, nodes: int, peers_have_it: bool = False) -> None:
        self.nodes = nodes
        self.store_reads = 0
        self.announced_at = monotonic() + 0.005 if peers_have_it else float("inf")

    async def run(self) -> float:
        """Start the nodes; return the seconds until the last one had the document."""
        began_at = monotonic()
        await asyncio.gather(*(self._start() for _ in range(self.nodes)))
        return monotonic() - began_at

    async def _start(self) -> None:
        cold_start = ColdStart(lambda: max(1.0, (self.nodes - 1) / MAX_MESH_PEERS))
        await cold_start.wait(self._announced_for(PEER_FETCH_S), self._announced_for(0.0))
        if not self._announced_for(PEER_FETCH_S)():
            self.store_reads += 1
            await asyncio.sleep(STORE_READ_S)
            self.announced_at = min(self.announced_at, monotonic())

    def _announced_for(self, after_s: float) -> Callable[[], bool]:
        return lambda: monotonic() >= self.announced_at + after_s


class ColdStartTest(unittest.TestCase):
    def test_nodes_of_a_small_cluster_read_the_store_soon_if_no_peer_answers(self) -> None:
        async def work() -> None:
            for nodes in (9, 81):
                world = SimultaneousStart(nodes)
                self.assertLess(await world.run(), 3 * PEER_ANSWER_TIMEOUT_S)
                self.assertEqual(world.store_reads, nodes)

        run_quietly(work())

    def test_few_of_many_nodes_that_start_together_read_the_store(self) -> None:
        async def work() -> None:
            for nodes in (195, 390):
                world = SimultaneousStart(nodes)
                self.assertLess(await world.run(), PEER_ANSWER_TIMEOUT_S + 0.5)
                self.assertLess(world.store_reads, 30)
                self.assertGreater(world.store_reads, 0)

        run_quietly(work())

    def test_starting_node_does_not_read_the_store_if_peers_have_the_document(self) -> None:
        async def work() -> None:
            for nodes in (9, 81):
                world = SimultaneousStart(nodes, peers_have_it=True)
                await world.run()
                self.assertEqual(world.store_reads, 0)

        run_quietly(work())

    def test_node_whose_peer_has_a_document_waits_for_it(self) -> None:
        async def work() -> None:
            known_at = monotonic() + 0.3
            await ColdStart(lambda: 1.0).wait(lambda: monotonic() >= known_at, lambda: True)
            self.assertGreaterEqual(monotonic(), known_at)

        run_quietly(work())


if __name__ == "__main__":
    unittest.main()
