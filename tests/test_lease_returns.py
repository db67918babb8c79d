"""Tests that a former holder of the lease does not act again soon after the next holder."""

import asyncio
import random
import unittest
from collections import deque
from unittest import mock

import msgspec
from result import Err, Result

from moledale.clock import monotonic
from moledale.core.leases import LeaseRow
from moledale.gateway import lease_keeper
from moledale.gateway.lease_keeper import LEASE_KEY, NO_HOLDER, LeaseKeeper
from moledale.gateway.outside import Failure, StateRow, TableSnapshot, WriteResult
from moledale.gateway.peers import LeaseNews
from tests.gateway_world import run_quietly
from tests.test_gateway_lease import BOUNDS, TTL_S, SingleRowStore

STEP_INTERVAL_S = 0.01
RUN_S = 8.0
SEEDS = (1, 2, 3)
NODES = ("one", "two", "three")
COPIES = 3
"""Copies of the row that a restore of the store may go back to; one is taken at each fault."""


def make_keeper(
    store: SingleRowStore, name: str, incarnation: int = 1, first_start: bool = False
) -> LeaseKeeper:
    """Return the lease keeper of one incarnation of a node."""
    nonce = f"{name}/{incarnation}"
    return LeaseKeeper(name, store, BOUNDS, nonce, first_start)  # type: ignore[arg-type]


async def acquire(keeper: LeaseKeeper, rank: int = 0) -> float:
    """Step a keeper until it holds the lease; return when it first did."""
    while keeper.grant() is None:
        await keeper.step(rank)
        await asyncio.sleep(STEP_INTERVAL_S)
    return monotonic()


def tell(holder: LeaseKeeper, other: LeaseKeeper, name: str) -> None:
    """Pass the holder's renewal on to another keeper."""
    update = holder.lease_update()
    assert update is not None
    other.on_renewal(name, update, monotonic())


class LeaseReturnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = SingleRowStore()
        self.one = make_keeper(self.store, "one", first_start=True)
        self.two = make_keeper(self.store, "two", first_start=True)

    async def hand_over(self) -> float:
        """Let `one` hold the lease, then `two` after its expiry; return the end of the first."""
        await acquire(self.one)
        await self.two.step(1)
        held = self.one.grant()
        assert held is not None
        await acquire(self.two)
        return held.until

    def assert_row_lists(self, *names: str) -> None:
        former = self.store.stored_lease().former
        assert former is not None
        self.assertEqual(set(former), set(names))

    def test_former_holder_does_not_take_a_released_lease_back_within_the_ttl(self) -> None:
        async def work() -> None:
            ended_at = await self.hand_over()
            self.assert_row_lists("one")
            await self.two.release()
            self.assert_row_lists("one", "two")
            self.assertGreaterEqual(await acquire(self.one) - ended_at, TTL_S)

        run_quietly(work())

    def test_former_holder_does_not_return_although_it_was_started_again(self) -> None:
        async def work() -> None:
            ended_at = await self.hand_over()
            await self.two.release()
            again = make_keeper(self.store, "one", incarnation=2)
            self.assertGreaterEqual(await acquire(again) - ended_at, TTL_S)

        run_quietly(work())

    def test_holders_that_are_stopped_and_started_in_turn_do_not_return_early(self) -> None:
        async def work() -> None:
            await acquire(self.one)
            ended_at = monotonic()
            await self.one.release()
            await acquire(self.two)
            await self.two.release()
            again = make_keeper(self.store, "one", incarnation=2)
            self.assertGreaterEqual(await acquire(again) - ended_at, TTL_S)

        run_quietly(work())

    def test_former_holder_that_learnt_of_the_next_one_from_it_does_not_return_early(self) -> None:
        async def work() -> None:
            ended_at = await self.hand_over()
            tell(self.two, self.one, "two")
            await self.two.release()
            self.one.on_lease_lost("two", monotonic())
            self.assertGreaterEqual(await acquire(self.one) - ended_at, TTL_S)

        run_quietly(work())

    def test_late_messages_of_the_next_holder_do_not_prolong_the_wait(self) -> None:
        async def work() -> None:
            ended_at = await self.hand_over()
            update = self.two.lease_update()
            assert update is not None
            self.one.on_renewal("two", update, monotonic() + 5 * TTL_S)
            self.assertAlmostEqual(self.one._history.may_acquire_at(), ended_at + TTL_S, delta=0.01)

        run_quietly(work())

    def test_holder_that_learnt_of_the_lease_from_others_lists_the_former_one(self) -> None:
        async def work() -> None:
            await acquire(self.one)
            tell(self.one, self.two, "one")
            relayed = self.two.lease_to_relay(monotonic())
            assert relayed is not None
            three = make_keeper(self.store, "three")
            three.on_renewal(relayed.holder, relayed.news, monotonic(), relayed=True)
            await acquire(three)
            update = three.lease_update()
            assert update is not None and update.former is not None
            self.assertEqual(set(update.former), {"one"})
            await three.release()
            self.assert_row_lists("one", "three")

        run_quietly(work())

    def test_lease_released_by_an_earlier_build_is_not_taken_back_early(self) -> None:
        async def work() -> None:
            held_until = await self.hand_over()
            row = LeaseRow(NO_HOLDER, self.store.stored_lease().epoch, "two/1/end")
            self.store.version += 1
            self.store.row = StateRow(LEASE_KEY, msgspec.json.encode(row), self.store.version)
            await self.two.release()
            started_at = monotonic()
            again = make_keeper(self.store, "two", incarnation=2)
            taken_at = await acquire(again)
            self.assertGreaterEqual(taken_at - held_until, TTL_S)
            self.assertGreaterEqual(taken_at - started_at, TTL_S)

        run_quietly(work())

    def test_renewal_of_an_earlier_build_does_not_let_a_former_holder_return_early(self) -> None:
        async def work() -> None:
            await acquire(self.one)
            held = self.one.grant()
            assert held is not None
            await asyncio.sleep(held.until - monotonic())
            update = LeaseNews(held.epoch + 1, self.store.version + 1, 0.0)
            self.one.on_renewal("two", update, monotonic())
            row = LeaseRow(NO_HOLDER, held.epoch + 1, "two/1/end")
            self.store.version += 2
            self.store.row = StateRow(LEASE_KEY, msgspec.json.encode(row), self.store.version)
            self.one.on_lease_lost("two", monotonic())
            self.assertGreaterEqual(await acquire(self.one) - held.until, TTL_S)

        run_quietly(work())

    def test_other_node_takes_a_released_lease_at_once(self) -> None:
        async def work() -> None:
            await self.hand_over()
            await self.two.release()
            released_at = monotonic()
            three = make_keeper(self.store, "three")
            self.assertLess(await acquire(three) - released_at, TTL_S / 4)

        run_quietly(work())

    def test_last_holder_takes_its_released_lease_back_at_once(self) -> None:
        async def work() -> None:
            await self.hand_over()
            await self.two.release()
            released_at = monotonic()
            again = make_keeper(self.store, "two", incarnation=2)
            self.assertLess(await acquire(again) - released_at, TTL_S / 4)

        run_quietly(work())


class Cluster:
    """Nodes that hold the lease in turn: cut from the store, stopped, killed and started again."""

    def __init__(self, seed: int, names: tuple[str, ...], restores: bool = False) -> None:
        self.rng = random.Random(seed)
        self.store = SingleRowStore()
        self._faults = ["cut", "stop", "stop", "kill"] + ["restore"] * (2 * restores)
        self._copies: deque[tuple[StateRow | None, int]] = deque(maxlen=COPIES)
        if restores:
            self.store.era.observe(1)
        self.links = {name: CutOffStore(self.store) for name in names}
        self.keepers = {name: self._start(name, True) for name in names}
        self.tenures: list[tuple[str, float, float]] = []
        self._starts_at = dict.fromkeys(names, 0.0)

    def _start(self, name: str, first_start: bool = False) -> LeaseKeeper:
        nonce = f"{name}/{self.rng.random()}"
        return LeaseKeeper(name, self.links[name], BOUNDS, nonce, first_start)  # type: ignore[arg-type]

    def record_holder(self) -> None:
        """Extend the tenure of the node that holds the lease now, or begin one."""
        now = monotonic()
        for name, keeper in self.keepers.items():
            if keeper.grant() is None:
                continue
            if self.tenures and self.tenures[-1][0] == name:
                self.tenures[-1] = (name, self.tenures[-1][1], now)
            else:
                self.tenures.append((name, now, now))

    def early_returns(self) -> list[tuple[str, float]]:
        """Return each holder that acted again within the lease, and after how many seconds."""
        ended_at: dict[str, float] = {}
        early = []
        for name, began, ended in self.tenures:
            pause_s = began - ended_at.get(name, -1e9)
            if pause_s < BOUNDS.lease_s:
                early.append((name, pause_s))
            ended_at[name] = ended
        return early

    async def run(self, name: str) -> None:
        """Step a node and broadcast its state; most messages arrive."""
        while True:
            await asyncio.sleep(max(STEP_INTERVAL_S, self._starts_at[name] - monotonic()))
            await self.keepers[name].step(self.rng.randrange(2))
            self._broadcast(name)

    def _broadcast(self, name: str) -> None:
        """Send a node's state, which has the lease if it holds it, to the others."""
        update = self.keepers[name].lease_update()
        others = [keeper for other, keeper in self.keepers.items() if other != name]
        for keeper in others:
            if self.rng.random() < 0.2:
                continue
            if update is not None:
                keeper.on_renewal(name, update, monotonic())
            else:
                keeper.on_lease_lost(name, monotonic())

    async def inject_faults(self) -> None:
        """Disturb the holder or the store, again and again."""
        while True:
            await asyncio.sleep(0.1 + 0.4 * self.rng.random())
            if not self.tenures:
                continue
            holder = self.tenures[-1][0]
            kind = self.rng.choice(self._faults)
            self._copies.append((self.store.row, self.store.version))
            if kind == "restore":
                self.store.restore(*self._copies[0])
                continue
            if kind == "cut":
                self.links[holder].cut_until = monotonic() + 2 * TTL_S * self.rng.random()
                continue
            if kind == "stop":
                await self.keepers[holder].release()
                self._broadcast(holder)
            self.keepers[holder] = self._start(holder)
            self._starts_at[holder] = monotonic() + 0.3 * self.rng.random()


class CutOffStore:
    """The store as one node reaches it, or does not."""

    def __init__(self, store: SingleRowStore) -> None:
        self.era = store.era
        self.cut_until = 0.0
        self._store = store

    async def read(self, table: str, timeout_s: float) -> Result[TableSnapshot, Failure]:
        """Return the row, if there is one."""
        if monotonic() < self.cut_until:
            return Err(Failure("unreachable"))
        return await self._store.read(table, timeout_s)

    async def write(
        self, table: str, key: str, value: bytes, expected: int, timeout_s: float
    ) -> Result[WriteResult, Failure]:
        """Put the row if its version is `expected`."""
        if monotonic() < self.cut_until:
            return Err(Failure("unreachable", uncertain=False))
        return await self._store.write(table, key, value, expected, timeout_s)


class HoldersInTurnTest(unittest.TestCase):
    def test_no_holder_returns_within_the_lease_whatever_stops_the_others(self) -> None:
        self.check(restores=False)

    @mock.patch.object(lease_keeper, "RESTORE_GRACE_S", 0.02)
    def test_no_holder_returns_within_the_lease_though_the_store_loses_its_row(self) -> None:
        self.check(restores=True)

    def check(self, restores: bool) -> None:
        clusters = [Cluster(seed, NODES[: 2 + seed % 2], restores) for seed in SEEDS]

        async def run_clusters() -> None:
            await asyncio.gather(*(self.run_cluster(cluster) for cluster in clusters))

        run_quietly(run_clusters())
        for seed, cluster in zip(SEEDS, clusters, strict=True):
            with self.subTest(seed=seed):
                self.assertEqual(cluster.early_returns(), [])
                self.assertGreater(len(cluster.tenures), 5)

    async def run_cluster(self, cluster: Cluster) -> None:
        tasks = [asyncio.create_task(cluster.run(name)) for name in cluster.keepers]
        tasks.append(asyncio.create_task(cluster.inject_faults()))
        ends_at = monotonic() + RUN_S
        while monotonic() < ends_at:
            cluster.record_holder()
            await asyncio.sleep(0.001)
        self.assertEqual([task for task in tasks if task.done()], [])
        for task in tasks:
            task.cancel()


if __name__ == "__main__":
    unittest.main()
