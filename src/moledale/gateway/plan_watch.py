"""Distribution of the newest plan: a few nodes watch the store, the others fetch it from them.

`WatchTurn` decides which nodes watch. A watching node announces a newer plan to all peers at once;
a node that fetched it announces it to a few, so that the number of sources grows.
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
from moledale.gateway.outside import PlanUpdate, Store, StoredRollout
from moledale.gateway.plan import Plan
from moledale.gateway.settings import Bounds
from moledale.gateway.store_era import EraVersion
from moledale.gateway.store_health import StoreHealth
from moledale.gateway.usage import TrueTime
from moledale.gateway.watch_turn import WATCH_WAIT_SHARE, Watchers, WatchTurn
from moledale.log import Event, emit

POLL_INTERVAL_S = 0.1
"""Interval at which a node that does not watch checks whether it should."""

RESERVE_POLL_INTERVAL_S = 0.5
"""The same for a node in reserve, whose turn comes late: fewer wake-ups leave more of its instance
to requests."""

RETRY_INITIAL_S = 0.2
RETRY_MAX_S = 0.4
"""First and longest pause after a failed call, for a node that watches for others: it notices that
the store is back within about this time."""

CALL_TIMEOUT_S = 0.8
"""Timeout for reading the plan while other nodes may watch as well."""

FALLBACK_TIMEOUT_S = 3.0
"""Timeout for reading the plan as a fallback: enough to transfer a plan of 1,500 routes, 0.5 MB in
the store's encoding, over 5 Mbit/s."""


def _no_rollout(_: StoredRollout) -> None:
    """Ignore a roll-out."""


def _ignore_check() -> None:
    """Ignore an answer to a watch."""


class PlanWatch:
    """Passes each newer plan to `adopt`, which returns whether it was put into force.

    `watchers` returns which other nodes watch the store. `on_adopted` is called after a plan was
    adopted, with whether it came from the store, so that it can be announced to peers.
    `on_checked` is called when the store answered a watch, and `on_rollout` with roll-outs, which
    operators order in the same place.
    `cold_start` decides when a starting node asks the store; without it the node asks at once.
    `backoff_scale` lengthens the pauses between retries (see `Backoff`), and `link_mbps` limits
    what peers may fetch from this node. A plan has to be in force within `apply_s`.
    `store_reached_at` is the monotonic time at which the store answered the last watch, far in the
    past after a failed one.
    """

    def __init__(
        self,
        store: Store,
        true_time: TrueTime,
        watchers: Callable[[], Watchers],
        adopt: Callable[[Plan], bool],
        on_adopted: Callable[[bool], None],
        backoff_scale: Callable[[], float],
        link_mbps: float,
        on_rollout: Callable[[StoredRollout], None] = _no_rollout,
        cold_start: ColdStart | None = None,
        on_checked: Callable[[], None] = _ignore_check,
        apply_s: float = Bounds().apply_s,
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
        self._watchers = watchers
        self._turn = WatchTurn(apply_s, backoff_scale, monotonic)
        self._wait_s = WATCH_WAIT_SHARE * apply_s
        self._backoff_scale = backoff_scale
        self._store = store
        self._health = StoreHealth("plan")
        self._true_time = true_time
        self._adopt = adopt
        self._on_adopted = on_adopted
        self._on_rollout = on_rollout
        self._on_checked = on_checked
        self._cold_start = cold_start
        self._backoff = Backoff(RETRY_INITIAL_S, RETRY_MAX_S, backoff_scale)
        self._plan_arrived = asyncio.Event()

    async def watch(self) -> None:
        """Watch the store whenever it is this node's turn, forever."""
        if self._cold_start is not None:
            await self._cold_start.wait(
                lambda: self._version >= 0, lambda: self.fetch.is_behind(monotonic())
            )
        position: EraVersion | None = None
        while True:
            if self._version < 0:
                self._turn.begin()
            elif not self._turn.is_due(self._watchers()):
                position = None
                await asyncio.sleep(self._poll_interval_s())
                continue
            sent_at = monotonic()
            if position is None:
                outcome = await self._store.plan(CALL_TIMEOUT_S)
            else:
                outcome = await self._store.watch_plan(position, self._wait_s)
            if isinstance(outcome, Err):
                position = None
                self.store_reached_at = -1e9
                self._health.record_failure(outcome.err_value.detail)
                await self._wait_before_retry()
                continue
            self._backoff.reset()
            self._health.record_success()
            # An answer that was held back on its way is older than its arrival.
            self.store_reached_at = min(monotonic(), sent_at + self._wait_s)
            self._on_checked()
            update = outcome.ok_value
            if position is None:
                self._true_time.record_store_clock(update.store_s, sent_at, monotonic())
            position = update.position
            self._apply_update(update)

    def _poll_interval_s(self) -> float:
        return RESERVE_POLL_INTERVAL_S if self._backoff_scale() > 1.0 else POLL_INTERVAL_S

    async def _wait_before_retry(self) -> None:
        """Wait after a failed call; a plan that arrives from a peer ends the wait."""
        self._plan_arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(self._backoff.next_s()):
                await self._plan_arrived.wait()

    async def _read_without_peers(self) -> bool:
        """Read the plan from the store when no peer delivers it; return whether that succeeded."""
        outcome = await self._store.plan(FALLBACK_TIMEOUT_S)
        if isinstance(outcome, Err):
            self._health.record_failure(outcome.err_value.detail)
            return False
        self._apply_update(outcome.ok_value)
        return True

    def _apply_update(self, update: PlanUpdate) -> None:
        """Pass on the roll-outs of a store's answer, and adopt its plan if there is one."""
        for rollout in update.rollouts:
            self._on_rollout(rollout)
        if update.plan is not None:
            self._adopt_plan(update.plan, update.raw, from_store=True)

    def _on_fetched(self, version: EraVersion, raw: bytes) -> None:
        """Decode and adopt a plan fetched from a peer; log one that can't be decoded."""
        try:
            plan = self._store.decode_plan(raw)
        except ValueError as error:
            emit(Event.BUNDLE_REFUSED, version=version.number, why=str(error))
            return
        self._adopt_plan(plan, raw, from_store=False)

    def _adopt_plan(self, plan: Plan, raw: bytes, from_store: bool) -> None:
        """Adopt a plan unless a newer one is in force; archive and announce an adopted one."""
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
