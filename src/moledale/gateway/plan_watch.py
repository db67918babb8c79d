"""Keeping the newest plan: a few nodes watch the store, the others hear of it from them.

A node watches unless enough nodes before it do that reach the store. What a watching node learns it
tells all others at once, and each fetches the plan from it.
"""

import asyncio
import random
import time
from collections.abc import Callable

from result import Err, Ok

from moledale.gateway.calls import HttpCaller
from moledale.gateway.outside import Store
from moledale.gateway.plan import Plan
from moledale.gateway.usage import TrueTime
from moledale.log import Event, emit

PLAN_PATH = b"/peer/plan"
WATCH_S = 3.0
"""Longest wait of one watch; a watch that the store forgot is noticed after this time."""

WATCHERS = 3
LOOK_S = 0.2
AGAIN_S = 0.2
CALL_TIMEOUT_S = 0.8
FETCH_EVERY_S = 0.1


class PlanWatch:
    """Brings each newer plan to `adopt`, which says whether it is in force now."""

    def __init__(
        self,
        store: Store,
        true_time: TrueTime,
        turn: Callable[[], int],
        adopt: Callable[[Plan], bool],
    ) -> None:
        self.raw = b""
        self.reached_at = -1e9
        self._turn = turn
        self._store = store
        self._true_time = true_time
        self._adopt = adopt
        self._peer: str | None = None
        self._random = random.Random()

    async def watch(self) -> None:
        """Watch the store while it is this node's turn, for ever."""
        position: int | None = None
        while True:
            if self.raw and self._turn() >= WATCHERS:
                position = None
                await asyncio.sleep(LOOK_S)
                continue
            sent_at = time.monotonic()
            if position is None:
                outcome = await self._store.plan(CALL_TIMEOUT_S)
            else:
                outcome = await self._store.watch_plan(position, WATCH_S)
            if isinstance(outcome, Err):
                position = None
                self.reached_at = -1e9
                await asyncio.sleep(AGAIN_S * (0.5 + self._random.random()))
                continue
            self.reached_at = time.monotonic()
            news = outcome.ok_value
            if position is None:
                self._true_time.store_read(news.store_s, sent_at, time.monotonic())
            position = news.position
            if news.plan is not None:
                self._take(news.plan, news.raw)

    def peer_has_newer(self, control: str) -> None:
        """Note a peer that told of a newer plan."""
        self._peer = control

    async def fetch(self) -> None:
        """Fetch newer plans from peers for ever."""
        while True:
            await asyncio.sleep(FETCH_EVERY_S)
            peer, self._peer = self._peer, None
            if peer is not None:
                await self._fetch_from(peer)

    async def _fetch_from(self, peer: str) -> None:
        caller = HttpCaller(peer)
        outcome = await caller.call("GET", PLAN_PATH.decode(), timeout_s=CALL_TIMEOUT_S)
        caller.close()
        if not isinstance(outcome, Ok) or outcome.ok_value.status != 200:
            return
        raw = outcome.ok_value.body
        try:
            plan = self._store.decode_plan(raw)
        except ValueError as error:
            emit(Event.BUNDLE_REFUSED, why=str(error))
            return
        self._take(plan, raw)

    def _take(self, plan: Plan, raw: bytes) -> None:
        if not self._adopt(plan):
            return
        self.raw = raw
        emit(
            Event.BUNDLE_ADOPTED,
            version=plan.version,
            limits={each.name: (each.rate_per_s, each.burst) for each in plan.accounts},
        )
