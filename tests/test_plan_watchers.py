"""Tests that plans are in force in time although nodes that watch the store lose it silently."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import logbook
from result import Err, Result

from moledale.clock import monotonic
from moledale.gateway.neighbours import Neighbours
from moledale.gateway.node import GatewayNode
from moledale.gateway.outside import Failure
from moledale.gateway.peers import Membership
from moledale.gateway.watch_turn import (
    MAX_CHECK_AGE_SHARE,
    MAX_DELAY_RANK,
    RANK_DELAY_SHARE,
    WATCHER_COUNT,
    Watchers,
    WatchTurn,
)
from moledale.platform.store import Answer, PlatformStore
from tests.gateway_states import HALLS, make_state
from tests.gateway_world import run_quietly
from tests.test_gateway_nodes import (
    BOUNDS,
    Cluster,
    is_watching,
    make_config,
    plan_version_of,
    ready,
    run_on_cluster,
    wait_until,
)

APPLY_S = BOUNDS.apply_s
MAX_AGE_S = MAX_CHECK_AGE_SHARE * APPLY_S
RANK_DELAY_S = RANK_DELAY_SHARE * APPLY_S


class SilencedStore(PlatformStore):
    """The store of one node, which may be partitioned from it without a reset."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.reached = asyncio.Event()
        self.reached.set()

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        expected_statuses: tuple[int, ...] = (200,),
    ) -> Result[Answer, Failure]:
        """Hold requests and answers back while the store is not reached."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.reached.wait()
                outcome = await super()._call(method, path, timeout_s, body, expected_statuses)
                await self.reached.wait()
                return outcome
        except TimeoutError:
            return Err(Failure("silent"))


def store_of(node: GatewayNode) -> SilencedStore:
    """Return the store as a node reaches it."""
    store = node._store
    assert isinstance(store, SilencedStore)
    return store


async def start_nodes(cluster: Cluster, count: int) -> list[GatewayNode]:
    """Start nodes, and wait until the regular number of them watches."""
    nodes = [await cluster.start(f"n{number}") for number in range(count)]
    for node in nodes:
        await wait_until(ready(node))
    await asyncio.sleep(2 * APPLY_S)
    return nodes


def silence(nodes: list[GatewayNode]) -> None:
    """Cut nodes from the store."""
    for node in nodes:
        store_of(node).reached.clear()


def heal(nodes: list[GatewayNode]) -> None:
    """Let nodes reach the store again."""
    for node in nodes:
        store_of(node).reached.set()


async def seconds_until_in_force(nodes: list[GatewayNode], version: int) -> float:
    """Return after how many seconds all nodes have a version."""
    began = monotonic()
    await wait_until(lambda: all(plan_version_of(node) >= version for node in nodes))
    return monotonic() - began


class SilentWatchersTest(unittest.TestCase):
    def run_nodes(
        self, work: Callable[[Cluster, list[GatewayNode]], Awaitable[None]], count: int = 9
    ) -> None:
        async def run() -> None:
            async with Cluster(BOUNDS, SilencedStore) as cluster:
                await work(cluster, await start_nodes(cluster, count))

        run_quietly(run())

    def test_plan_is_in_force_in_time_although_its_watchers_fall_silent(self) -> None:
        for before_s in (0.0, 0.4, 1.0):
            with self.subTest(before_s=before_s):

                async def work(
                    cluster: Cluster, nodes: list[GatewayNode], before_s: float = before_s
                ) -> None:
                    cluster.platform.put("op", "config", make_config(4))
                    await seconds_until_in_force(nodes, 4)
                    silence(nodes[:4])
                    await asyncio.sleep(before_s)
                    cluster.platform.put("op", "config", make_config(5))
                    self.assertLess(await seconds_until_in_force(nodes[4:], 5), APPLY_S)

                self.run_nodes(work)

    def test_plan_is_in_force_in_time_although_one_node_is_left_that_reaches_the_store(
        self,
    ) -> None:
        async def work(cluster: Cluster, nodes: list[GatewayNode]) -> None:
            silence(nodes[:-1])
            cluster.platform.put("op", "config", make_config(5))
            self.assertLess(await seconds_until_in_force(nodes, 5), APPLY_S)

        self.run_nodes(work, 6)

    def test_plan_is_in_force_in_time_although_its_watchers_fall_silent_twice(self) -> None:
        async def work(cluster: Cluster, nodes: list[GatewayNode]) -> None:
            silence(nodes[:4])
            await asyncio.sleep(1.2)
            heal(nodes[:4])
            await asyncio.sleep(0.6)
            silence(nodes[:4])
            cluster.platform.put("op", "config", make_config(5))
            self.assertLess(await seconds_until_in_force(nodes[4:], 5), APPLY_S)

        self.run_nodes(work)

    def test_few_nodes_watch_again_after_a_partition(self) -> None:
        async def work(_: Cluster, nodes: list[GatewayNode]) -> None:
            silence(nodes[:4])
            await asyncio.sleep(2 * APPLY_S)
            self.assertEqual(sum(is_watching(node) for node in nodes[4:]), WATCHER_COUNT)
            heal(nodes[:4])
            await asyncio.sleep(2 * APPLY_S)
            self.assertEqual(sum(is_watching(node) for node in nodes), WATCHER_COUNT)

        self.run_nodes(work)


class LostHistoryTest(unittest.TestCase):
    def test_store_that_lost_its_history_is_not_called_without_a_pause(self) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            cluster.platform.history_from = cluster.platform.version + 1_000
            store = node.plans._store
            with mock.patch.object(store, "plan", wraps=store.plan) as read_plan:
                await asyncio.sleep(APPLY_S)
            self.assertLess(read_plan.call_count, 20)

        run_on_cluster(work)


def make_watchers(recent: int, before: int, rank: int) -> Watchers:
    """Return what a node of a small cluster sees of the watching nodes."""
    return Watchers(recent, before, WATCHER_COUNT, rank)


class WatchTurnTest(unittest.TestCase):
    def setUp(self) -> None:
        quiet = logbook.NullHandler().applicationbound()
        quiet.__enter__()
        self.addCleanup(quiet.__exit__, None, None, None)
        self.now = 100.0
        self.turn = WatchTurn(APPLY_S, lambda: 1.0, lambda: self.now)

    def begins_after(self, watchers: Watchers) -> float:
        """Return after how many seconds the turn comes."""
        began = self.now
        while not self.turn.is_due(watchers):
            self.now += 0.01
        return self.now - began

    def test_nodes_begin_one_after_another_and_all_in_time(self) -> None:
        delays = []
        for rank in range(MAX_DELAY_RANK + 3):
            self.setUp()
            delays.append(self.begins_after(make_watchers(1, 1, rank)))
        for rank, delay_s in enumerate(delays):
            self.assertAlmostEqual(delay_s, min(rank, MAX_DELAY_RANK) * RANK_DELAY_S, delta=0.02)
        self.assertLess(MAX_AGE_S + max(delays), 0.8 * APPLY_S)

    def test_node_does_not_begin_if_others_did_meanwhile(self) -> None:
        missing = make_watchers(1, 1, MAX_DELAY_RANK)
        self.assertFalse(self.turn.is_due(missing))
        self.now += 2 * RANK_DELAY_S
        self.assertFalse(self.turn.is_due(make_watchers(2, 0, MAX_DELAY_RANK)))
        self.now += 3 * RANK_DELAY_S
        self.assertFalse(self.turn.is_due(missing))

    def test_node_that_watches_goes_on_until_enough_nodes_before_it_do(self) -> None:
        self.assertTrue(self.turn.is_due(make_watchers(0, 0, 0)))
        self.assertTrue(self.turn.is_due(make_watchers(5, 1, 3)))
        self.assertFalse(self.turn.is_due(make_watchers(5, 2, 3)))


class WatchersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = Membership("n5", 1)
        self.neighbours = Neighbours(self.members, "n5:2", 0.0)
        self.neighbours.serving = True

    def test_last_answer_of_a_node_ages_between_its_states(self) -> None:
        self.members.merge(make_state("n1", serving=True, store_age_s=0.3), 10.0)
        self.assertEqual(self.neighbours.watchers(MAX_AGE_S, 10.5).recent, 1)
        self.assertEqual(self.neighbours.watchers(MAX_AGE_S, 10.8).recent, 0)

    def test_nodes_are_counted_by_rank(self) -> None:
        for name, age_s in (("n1", 0.1), ("n2", 50.0), ("n8", 0.1)):
            self.members.merge(make_state(name, serving=True, store_age_s=age_s), 10.0)
        watchers = self.neighbours.watchers(MAX_AGE_S, 10.0)
        self.assertEqual((watchers.recent, watchers.before, watchers.rank), (2, 1, 2))

    def test_answer_told_between_states_counts_for_the_same_process_only(self) -> None:
        self.members.merge(make_state("n1", life=7, serving=True, store_age_s=1.5), 10.0)
        self.members.record_store_check("n1", 6, 10.0)
        self.assertEqual(self.neighbours.watchers(MAX_AGE_S, 10.0).recent, 0)
        self.members.record_store_check("n1", 7, 10.0)
        self.assertEqual(self.neighbours.watchers(MAX_AGE_S, 10.0).recent, 1)

    def test_serving_nodes_of_other_halls_are_told_if_many_serve(self) -> None:
        for number in range(10, 22):
            state = make_state(f"n{number}", serving=True, hall=HALLS[number % 4])
            self.members.merge(state, 10.0)
        self.assertEqual(self.neighbours.check_targets("a", 10.0), [])
        for number in range(22, 34):
            state = make_state(f"n{number}", serving=True, hall=HALLS[number % 4])
            self.members.merge(state, 10.0)
        targets = self.neighbours.check_targets("a", 10.0)
        self.assertEqual(len(targets), 18)


if __name__ == "__main__":
    unittest.main()
