"""Where a starting node gets its first documents."""

import asyncio
import unittest
from collections.abc import Callable

from moledale.clock import monotonic
from moledale.gateway.cold_start import PEER_ANSWER_TIMEOUT_S, ColdStart
from moledale.gateway.neighbours import MAX_MESH_PEERS
from tests.gateway_world import quietly

STORE_S = 0.02
FETCH_S = 0.05


class StartTogether:
    """Nodes that start at the same moment; word of the first document ends the others' waiting."""

    def __init__(self, nodes: int, peers_have_it: bool = False) -> None:
        self.nodes = nodes
        self.asked = 0
        self.heard_at = monotonic() + 0.005 if peers_have_it else float("inf")

    async def run(self) -> float:
        """Return how long it took until the last one had the document."""
        began_at = monotonic()
        await asyncio.gather(*(self._start() for _ in range(self.nodes)))
        return monotonic() - began_at

    async def _start(self) -> None:
        start = ColdStart(lambda: max(1.0, (self.nodes - 1) / MAX_MESH_PEERS))
        await start.wait(self._passed(FETCH_S), self._passed(0.0))
        if not self._passed(FETCH_S)():
            self.asked += 1
            await asyncio.sleep(STORE_S)
            self.heard_at = min(self.heard_at, monotonic())

    def _passed(self, after_s: float) -> Callable[[], bool]:
        return lambda: monotonic() >= self.heard_at + after_s


class ColdStartTest(unittest.TestCase):
    def test_nodes_that_are_not_many_ask_the_store_at_once_where_nobody_answers(self) -> None:
        async def work() -> None:
            for nodes in (9, 81):
                world = StartTogether(nodes)
                self.assertLess(await world.run(), 3 * PEER_ANSWER_TIMEOUT_S)
                self.assertEqual(world.asked, nodes)

        quietly(work())

    def test_of_many_that_start_at_once_few_ask_the_store(self) -> None:
        async def work() -> None:
            for nodes in (195, 390):
                world = StartTogether(nodes)
                self.assertLess(await world.run(), PEER_ANSWER_TIMEOUT_S + 0.5)
                self.assertLess(world.asked, 30)
                self.assertGreater(world.asked, 0)

        quietly(work())

    def test_node_that_starts_among_others_does_not_ask(self) -> None:
        async def work() -> None:
            for nodes in (9, 81):
                world = StartTogether(nodes, peers_have_it=True)
                await world.run()
                self.assertEqual(world.asked, 0)

        quietly(work())

    def test_node_whose_peer_has_a_document_waits_for_it(self) -> None:
        async def work() -> None:
            known_at = monotonic() + 0.3
            await ColdStart(lambda: 1.0).wait(lambda: monotonic() >= known_at, lambda: True)
            self.assertGreaterEqual(monotonic(), known_at)

        quietly(work())


if __name__ == "__main__":
    unittest.main()
