"""Backoff of failed calls: pauses grow with each failure, up to a maximum that grows with nodes."""

import asyncio
import random
import unittest

from result import Err

from moledale.gateway.backoff import JITTER, Backoff
from moledale.gateway.fleet_watch import (
    RESERVE_READ_JITTER_S,
    RETRY_INITIAL_S,
    RETRY_MAX_S,
    FleetWatch,
)
from moledale.gateway.outside import Failure
from moledale.gateway.plan_watch import PlanWatch
from moledale.gateway.store_era import EraVersion
from moledale.gateway.usage import TrueTime
from moledale.gateway.watch_turn import WATCHER_COUNT, Watchers
from moledale.platform.records import read_config
from tests.gateway_world import run_quietly
from tests.plan_world import config_bytes

LARGE_SCALE = 5.0  # backoff scale of a node that is one of many


class UnreachableStore:
    """A fake store that fails all calls and counts them."""

    def __init__(self) -> None:
        self.calls = 0

    async def plan(self, _: float) -> object:
        self.calls += 1
        return Err(Failure("away"))

    async def servers(self, _: float, _before: object = None) -> object:
        self.calls += 1
        return Err(Failure("away"))

    def decode_plan(self, raw: bytes) -> object:
        return read_config(raw)


def make_plan_watch(store: UnreachableStore, backoff_scale: float) -> PlanWatch:
    return PlanWatch(
        store,  # type: ignore[arg-type]
        TrueTime(),
        lambda: Watchers(0, 0, WATCHER_COUNT, 0),
        lambda plan: True,
        lambda from_store: None,
        lambda: backoff_scale,
        100.0,
    )


def make_fleet_watch(store: UnreachableStore, backoff_scale: float) -> FleetWatch:
    return FleetWatch(
        store,  # type: ignore[arg-type]
        TrueTime(),
        lambda: 4,
        lambda servers: None,
        lambda changes, read_here: None,
        lambda unchanged: None,
        lambda: backoff_scale,
    )


async def count_calls(
    watch: PlanWatch | FleetWatch, store: UnreachableStore, seconds: float
) -> int:
    task = asyncio.create_task(watch.watch())
    await asyncio.sleep(seconds)
    task.cancel()
    return store.calls


class FixedRandom(random.Random):
    """Always returns 0.5, for pauses without jitter."""

    def random(self) -> float:
        return 0.5


def count_failed_calls(duration_s: float, max_s: float, backoff_scale: float) -> int:
    """Return how many calls a node makes in a time if all of them fail."""
    backoff = Backoff(RETRY_INITIAL_S, max_s, lambda: backoff_scale)
    calls, at = 0, 0.0
    while at < duration_s:
        calls += 1
        at += backoff.next_s()
    return calls


class BackoffTest(unittest.TestCase):
    def test_pauses_double_up_to_the_maximum(self) -> None:
        backoff = Backoff(0.2, 1.0, lambda: 1.0)
        pauses = [backoff.next_s() for _ in range(8)]
        for pause, mean_s in zip(pauses, (0.2, 0.4, 0.8, 1.0, 1.0, 1.0, 1.0, 1.0), strict=True):
            self.assertGreaterEqual(pause, mean_s * (1 - JITTER))
            self.assertLessEqual(pause, mean_s * (1 + JITTER))
        backoff.reset()
        self.assertLessEqual(backoff.next_s(), 0.2 * (1 + JITTER))

    def test_scale_raises_only_the_maximum_pause(self) -> None:
        backoff = Backoff(0.2, 1.0, lambda: LARGE_SCALE)
        self.assertLessEqual(backoff.next_s(), 0.2 * (1 + JITTER))
        for _ in range(8):
            last = backoff.next_s()
        self.assertGreaterEqual(last, LARGE_SCALE * (1 - JITTER))

    def test_many_nodes_call_at_most_a_third_as_often_over_half_a_minute(self) -> None:
        """Any jitter: 7 to 11 calls at a large scale, where a single node makes 27 to 83."""
        for max_s in (RETRY_MAX_S, 0.4):
            for _ in range(200):
                few, many = (
                    count_failed_calls(30.0, max_s, backoff_scale) for backoff_scale in (1.0, 20.0)
                )
                self.assertLessEqual(3 * many, few + 3)

    def test_many_nodes_call_an_unreachable_store_less_often(self) -> None:
        """Pauses have no jitter here: with it, the few nodes may draw long and the many short ones,
        so that 3.4 in 100 pairs (of 20,000) have the opposite order within 3 s."""

        async def scenario() -> None:
            for make in (make_plan_watch, make_fleet_watch):
                few, many = UnreachableStore(), UnreachableStore()
                watches = make(few, 1.0), make(many, 20.0)
                for watch in watches:
                    watch._backoff._rng = FixedRandom()
                calls = await asyncio.gather(
                    count_calls(watches[0], few, 3.0), count_calls(watches[1], many, 3.0)
                )
                self.assertGreater(calls[0], 3, make)
                self.assertLess(calls[1], 7, make)
                self.assertLess(calls[1], calls[0], make)

        run_quietly(scenario())

    def test_plan_from_a_peer_ends_the_pause(self) -> None:
        async def scenario() -> None:
            store = UnreachableStore()
            watch = make_plan_watch(store, 100.0)
            task = asyncio.create_task(watch.watch())
            await asyncio.sleep(2.0)
            calls = store.calls
            watch._on_fetched(EraVersion(number=9), config_bytes(9, 5))
            await asyncio.sleep(0.1)
            self.assertGreater(store.calls, calls)
            task.cancel()

        run_quietly(scenario())

    def test_reserve_nodes_spread_their_reads_of_a_late_list(self) -> None:
        watches = [make_fleet_watch(UnreachableStore(), LARGE_SCALE) for _ in range(40)]
        due = []
        for watch in watches:
            watch._record_read(0.0, 0.0)
            due.append(watch._read_jitter_s)
        self.assertGreater(max(due) - min(due), RESERVE_READ_JITTER_S * (LARGE_SCALE - 1) / 2)
        self.assertLess(max(due), RESERVE_READ_JITTER_S * (LARGE_SCALE - 1))


if __name__ == "__main__":
    unittest.main()
