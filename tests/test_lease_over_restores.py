"""Tests the lease of the duties while the store is restored from older copies repeatedly."""

import asyncio
import random
import unittest
from unittest import mock

from result import Err, Result

from moledale.clock import monotonic
from moledale.gateway import lease_keeper
from moledale.gateway.lease_keeper import LeaseKeeper
from moledale.gateway.outside import Failure, StateRow, TableSnapshot, WriteResult
from moledale.gateway.settings import Bounds
from moledale.gateway.store_era import StoreEra
from tests.gateway_world import run_quietly
from tests.test_gateway_lease import SingleRowStore

BOUNDS = Bounds(lease_s=0.15)
KEEPERS = 4
RUN_S = 6.0
STEP_INTERVAL_S = 0.02
SEEDS = (1, 2, 3)


class RestoringStore(SingleRowStore):
    """A fake store that may be restored to its state at any time within the last second."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self._copies: list[tuple[float, StateRow | None, int]] = []

    def take_copy(self) -> None:
        """Take a copy; drop those older than a second."""
        now = monotonic()
        self._copies.append((now, self.row, self.version))
        self._copies = [each for each in self._copies if now - each[0] < 1.0]

    def restore_random_copy(self) -> None:
        """Restore a random copy, and assign some versions to rows of other writers."""
        _, row, version = self._rng.choice(self._copies)
        self.restore(row, version)
        self.version += self._rng.choice((0, 0, 1, 2))
        self._copies.clear()
        self.take_copy()


class UnreliableStore:
    """The store as one node reaches it: with delays, lost connections and lost answers."""

    def __init__(self, store: RestoringStore, rng: random.Random) -> None:
        self.era = StoreEra()
        self.unreachable_until = 0.0
        self._store = store
        self._rng = rng

    async def read(self, table: str, timeout_s: float) -> Result[TableSnapshot, Failure]:
        """Return the row, if there is one."""
        await asyncio.sleep(0.005 * self._rng.random())
        if monotonic() < self.unreachable_until:
            return Err(Failure("unreachable"))
        answer = await self._store.read(table, timeout_s)
        self.era.observe(self._store.era.number)
        return answer

    async def write(
        self, table: str, key: str, value: bytes, expected: int, timeout_s: float
    ) -> Result[WriteResult, Failure]:
        """Put the row; sometimes much later, or with a lost answer."""
        max_delay_s = 0.2 if self._rng.random() < 0.05 else 0.005
        await asyncio.sleep(max_delay_s * self._rng.random())
        if monotonic() < self.unreachable_until:
            return Err(Failure("unreachable"))
        answer = await self._store.write(table, key, value, expected, timeout_s)
        if self._rng.random() < 0.05:
            return Err(Failure("lost"))
        self.era.observe(self._store.era.number)
        return answer


class LeaseOverRestoresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random()
        # Number of the holder and its fence, at each change.
        self.grants_seen: list[tuple[int, int]] = []
        self.violations: list[str] = []

    def check_grants(self, keepers: list[LeaseKeeper]) -> None:
        """Record who holds the lease now and its fence; two holders are a violation."""
        grants = [(number, keeper.grant()) for number, keeper in enumerate(keepers)]
        acting = [(number, grant.epoch) for number, grant in grants if grant is not None]
        if len(acting) > 1:
            self.violations.append(f"several holders: {acting}")
        for each in acting:
            if not self.grants_seen or self.grants_seen[-1] != each:
                self.grants_seen.append(each)

    async def run_keeper(self, number: int, keepers: list[LeaseKeeper]) -> None:
        keeper = keepers[number]
        while True:
            await keeper.step(number)
            update = keeper.lease_update()
            for other in keepers:
                if update is not None and other is not keeper and self.rng.random() < 0.8:
                    other.on_renewal(str(number), update, monotonic())
            await asyncio.sleep(STEP_INTERVAL_S)

    async def inject_faults(self, store: RestoringStore, nodes: list[UnreliableStore]) -> None:
        """Cut nodes off from the store, mostly the holder, and restore it at random times."""
        while True:
            await asyncio.sleep(0.05)
            store.take_copy()
            if self.rng.random() < 0.05:
                store.restore_random_copy()
            if self.rng.random() < 0.15:
                cut = nodes[self.grants_seen[-1][0]] if self.grants_seen else self.rng.choice(nodes)
                cut.unreachable_until = monotonic() + 0.4 * self.rng.random()

    @mock.patch.object(lease_keeper, "RESTORE_GRACE_S", 0.02)
    async def run_keepers(self, seed: int) -> None:
        self.rng.seed(seed)
        store = RestoringStore(self.rng)
        store.era.observe(1)
        store.take_copy()
        nodes = [UnreliableStore(store, self.rng) for _ in range(KEEPERS)]
        keepers = [
            LeaseKeeper(str(number), node, BOUNDS, f"{number}/1")  # type: ignore[arg-type]
            for number, node in enumerate(nodes)
        ]
        tasks = [asyncio.create_task(self.run_keeper(n, keepers)) for n in range(KEEPERS)]
        tasks.append(asyncio.create_task(self.inject_faults(store, nodes)))
        ends_at = monotonic() + RUN_S
        while monotonic() < ends_at:
            self.check_grants(keepers)
            await asyncio.sleep(0.001)
        for task in tasks:
            task.cancel()
        self.assertEqual([task for task in tasks if task.done() and not task.cancelled()], [])

    def test_fences_increase_and_name_one_holder_whatever_the_store_loses(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.setUp()
                run_quietly(self.run_keepers(seed))
                self.assertEqual(self.violations, [])
                fences = [fence for _, fence in self.grants_seen]
                self.assertEqual(fences, sorted(set(fences)), self.grants_seen)
                self.assertGreater(len(fences), 1)


if __name__ == "__main__":
    unittest.main()
