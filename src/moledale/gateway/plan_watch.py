"""Keeping the newest plan: a few nodes watch the store, the others fetch it from them.

A node watches unless enough nodes before it do that reach the store. A watching node tells all
others of a newer plan at once; a node that fetched it tells a few, so that the sources spread.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from result import Err

from moledale.clock import monotonic
from moledale.gateway.backoff import Backoff
from moledale.gateway.cold_start import ColdStart
from moledale.gateway.document_archive import DocumentArchive
from moledale.gateway.document_fetch import PLAN_PATH, DocumentFetch
from moledale.gateway.outside import PlanNews, Store, StoredRollout
from moledale.gateway.plan import Plan
from moledale.gateway.store_era import EraVersion
from moledale.gateway.store_health import StoreHealth
from moledale.gateway.usage import TrueTime
from moledale.log import Event, emit

WATCH_TIMEOUT_S = 3.0
"""Longest wait of one watch; a watch that the store forgot is noticed after this time."""

WATCHER_COUNT = 3
"""Nodes that watch the store at once: two may be dark or cut off before a plan comes late."""

POLL_INTERVAL_S = 0.2
"""A node looks this often whether it is to watch."""

RETRY_INITIAL_S = 0.2
RETRY_MAX_S = 0.4
"""Nodes that watch for others notice the store's return within about this time."""

CALL_TIMEOUT_S = 0.8
"""A reading of the plan has this long while others may watch as well."""

FALLBACK_TIMEOUT_S = 3.0
"""Time in which a plan of 1,500 routes, 0.5 MB as the store spells it, comes over 5 Mbit/s."""


def _no_rollout(_: StoredRollout) -> None:
    """Carry out no roll-out."""


class PlanWatch:
    """Brings each newer plan to `adopt`, which says whether it is in force now.

    `adopted` is then told whether the plan came from the store, for others to be told of it.
    `ordered` hears of roll-outs, which operators order at the same place. `start` tells when a
    starting node is to ask the store, at once if it is None.
    """

    def __init__(
        self,
        store: Store,
        true_time: TrueTime,
        turn: Callable[[], int],
        adopt: Callable[[Plan], bool],
        adopted: Callable[[bool], None],
        crowd: Callable[[], float],
        link_mbps: float,
        ordered: Callable[[StoredRollout], None] = _no_rollout,
        start: ColdStart | None = None,
    ) -> None:
        self.archive = DocumentArchive(link_mbps, monotonic)
        self.fetch = DocumentFetch(
            PLAN_PATH,
            self.archive,
            lambda: EraVersion(number=self._version),
            self._on_fetched,
            self._read_without_peers,
        )
        self.store_reached_at = -1e9
        self._version = -1
        self._watch_rank = turn
        self._store = store
        self._health = StoreHealth("plan")
        self._true_time = true_time
        self._adopt = adopt
        self._on_adopted = adopted
        self._on_rollout = ordered
        self._cold_start = start
        self._backoff = Backoff(RETRY_INITIAL_S, RETRY_MAX_S, crowd)
        self._plan_arrived = asyncio.Event()

    async def watch(self) -> None:
        """Watch the store while it is this node's turn, for ever."""
        if self._cold_start is not None:
            await self._cold_start.wait(
                lambda: self._version >= 0, lambda: self.fetch.is_behind(monotonic())
            )
        position: EraVersion | None = None
        while True:
            if self._version >= 0 and self._watch_rank() >= WATCHER_COUNT:
                position = None
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            sent_at = monotonic()
            if position is None:
                outcome = await self._store.plan(CALL_TIMEOUT_S)
            else:
                outcome = await self._store.watch_plan(position, WATCH_TIMEOUT_S)
            if isinstance(outcome, Err):
                position = None
                self.store_reached_at = -1e9
                self._health.record_failure(outcome.err_value.detail)
                await self._wait_before_retry()
                continue
            self._backoff.answered()
            self._health.record_success()
            self.store_reached_at = monotonic()
            news = outcome.ok_value
            if position is None:
                self._true_time.record_store_clock(news.store_s, sent_at, monotonic())
            position = news.position
            self._apply_update(news)

    async def _wait_before_retry(self) -> None:
        """Wait after a call that failed; a plan that others brought ends the wait."""
        self._plan_arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(self._backoff.next_s()):
                await self._plan_arrived.wait()

    async def _read_without_peers(self) -> bool:
        """Read the plan from the store, since no peer delivers it; say whether it answered."""
        outcome = await self._store.plan(FALLBACK_TIMEOUT_S)
        if isinstance(outcome, Err):
            self._health.record_failure(outcome.err_value.detail)
            return False
        self._apply_update(outcome.ok_value)
        return True

    def _apply_update(self, news: PlanNews) -> None:
        for rollout in news.rollouts:
            self._on_rollout(rollout)
        if news.plan is not None:
            self._adopt_plan(news.plan, news.raw, from_store=True)

    def _on_fetched(self, version: EraVersion, raw: bytes) -> None:
        """Take over a plan that a peer passed on."""
        try:
            plan = self._store.decode_plan(raw)
        except ValueError as error:
            emit(Event.BUNDLE_REFUSED, version=version.number, why=str(error))
            return
        self._adopt_plan(plan, raw, from_store=False)

    def _adopt_plan(self, plan: Plan, raw: bytes, from_store: bool) -> None:
        if not self._adopt(plan):
            return
        self._version = plan.version
        self._plan_arrived.set()
        self.archive.add(EraVersion(number=plan.version), raw)
        self._on_adopted(from_store)
        emit(
            Event.BUNDLE_ADOPTED,
            version=plan.version,
            routes=len(plan.routes),
            bytes=len(raw),
            from_store=from_store,
            limits={each.name: (each.rate_per_s, each.burst) for each in plan.accounts},
        )
