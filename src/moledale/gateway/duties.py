"""What one node at a time does for all: holding the lease, reporting usage, ordering servers."""

import asyncio
import time
from collections.abc import Callable

import msgspec
from result import Err, Ok

from moledale.core.leases import Grant, Lease, LeaseAction, LeaseRow
from moledale.gateway.balance import ServerBook
from moledale.gateway.outside import ABSENT, Orders, Store
from moledale.gateway.peers import LeaseNews
from moledale.gateway.plan import PlanIndex
from moledale.gateway.renting import RentingPlanner
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing
from moledale.gateway.usage import total_of
from moledale.log import Event, emit

LEASE_TABLE = "leases"
LEASE_KEY = "duties"
USAGE_TABLE = "usage"
USAGE_ROWS = 16
"""Rows of reported windows that are kept; a window takes the row of one long past."""

TICK_S = 0.2
CALL_TIMEOUT_S = 1.0
LEASE_TTL_X = 1.6
"""Time to live of the lease, as a multiple of the least time between two holders."""

SETTLE_S = 1.5
"""Counts of a window are complete this long after it ended."""

PLAN_S = 0.5
RANK_DELAY_S = 0.6
SILENT_S = 2.0
"""Silence of a holder after which candidates begin to read the lease."""

READ_AGAIN_S = 1.0
BACK_WINDOWS = 2


class WindowRow(msgspec.Struct, frozen=True):
    """The counts of a window as they are, or were, reported; they never change again."""

    window: int
    counts: dict[str, int]


class LeaseKeeper:
    """Takes and renews the lease of the duties; news of peers save reads of the store."""

    def __init__(self, node: str, store: Store, bounds: Bounds, nonce: str) -> None:
        self.lease = Lease(LEASE_KEY, node, bounds.lease_s * LEASE_TTL_X)
        self.holder = ""
        self._node = node
        self._store = store
        self._nonce = nonce
        self._writes = 0
        self._renewed_at = 0.0
        self._news_at = -1e9
        self._read_at = -1e9
        self._was_held = False
        self._pending = ""
        self._pending_at = 0.0

    def grant(self) -> Grant | None:
        """Return proof of the lease if it is held now."""
        return self.lease.grant(time.monotonic())

    def news(self) -> LeaseNews | None:
        """Return what this node tells of the lease if it holds it."""
        grant = self.grant()
        if grant is None:
            return None
        age = time.monotonic() - self._renewed_at
        return LeaseNews(grant.epoch, self.lease.version, age)

    def heard(self, holder: str, news: LeaseNews, now: float) -> None:
        """Take over a holder's word that its lease is fresh."""
        if self.grant() is not None:
            return
        self.holder = holder
        self._news_at = max(self._news_at, now - news.age_s)

    async def step(self, rank: int) -> None:
        """Do what is due; `rank` orders the candidates, so that they don't all read."""
        now = time.monotonic()
        action = self.lease.decide(now)
        self._tell_change(now)
        if action is LeaseAction.WAIT:
            return
        if action is LeaseAction.RENEW:
            await self._write(now)
            return
        silent = now - self._news_at
        if silent < SILENT_S + rank * RANK_DELAY_S:
            return
        if action is LeaseAction.TAKE and self.lease.row is not None:
            await self._write(now)
        elif now - self._read_at > READ_AGAIN_S:
            self._read_at = now
            await self._read()

    async def _read(self) -> None:
        outcome = await self._store.read(LEASE_TABLE, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            return
        now = time.monotonic()
        for row in outcome.ok_value.rows:
            if row.key == LEASE_KEY:
                standing = msgspec.json.decode(row.value, type=LeaseRow)
                self.holder = standing.holder
                self._saw(standing, row.version, now)
                return
        self.lease.saw(None, ABSENT, now)
        await self._write(now)

    def _saw(self, row: LeaseRow, version: int, now: float) -> None:
        """Note a row; one that this life wrote, though the answer was lost, is its own."""
        if row.operation.startswith(self._nonce) and row.operation == self._pending:
            self.lease.wrote(row, version, self._pending_at)
            return
        self.lease.saw(row, version, now)

    async def _write(self, now: float) -> None:
        self._writes += 1
        self._pending = f"{self._nonce}/{self._writes}"
        self._pending_at = now
        row = self.lease.next_row(self._pending)
        outcome = await self._store.write(
            LEASE_TABLE, LEASE_KEY, msgspec.json.encode(row), self.lease.version, CALL_TIMEOUT_S
        )
        if isinstance(outcome, Err):
            if outcome.err_value.uncertain:
                await self._read()
            return
        written = outcome.ok_value
        if written.committed:
            self.lease.wrote(row, written.version, now)
            self._renewed_at = now
            self.holder = self._node
        elif written.standing is not None:
            standing = msgspec.json.decode(written.standing.value, type=LeaseRow)
            self.holder = standing.holder
            self._saw(standing, written.standing.version, time.monotonic())
        self._tell_change(time.monotonic())

    def _tell_change(self, now: float) -> None:
        grant = self.lease.grant(now)
        if (grant is not None) == self._was_held:
            return
        self._was_held = grant is not None
        if grant is not None:
            emit(Event.LEASE_WON, lease=LEASE_KEY, fence=grant.epoch)
        else:
            emit(Event.LEASE_LOST, lease=LEASE_KEY)


class Duties:
    """Reports usage and orders servers while the lease is held."""

    def __init__(
        self,
        node: str,
        keeper: LeaseKeeper,
        store: Store,
        orders: Orders,
        sharing: Sharing,
        book: ServerBook,
        index: Callable[[], PlanIndex | None],
        first_start: bool,
    ) -> None:
        self._first_start = first_start
        self._node = node
        self._keeper = keeper
        self._store = store
        self._orders = orders
        self._sharing = sharing
        self._book = book
        self._index = index
        self._done: set[int] = set()
        self._first_window: int | None = None
        self._planners: dict[str, RentingPlanner] = {}
        self._planned_at = -1e9
        self._epoch = 0

    async def step(self) -> None:
        """Do what is due."""
        grant = self._keeper.grant()
        if grant is None:
            return
        if grant.epoch != self._epoch:
            self._epoch = grant.epoch
            self._planners.clear()
        await asyncio.gather(self._report_usage(), self._rent())

    async def _report_usage(self) -> None:
        usage = self._sharing.usage
        current = usage.window_of(self._sharing.time() - SETTLE_S)
        if self._first_window is None:
            self._first_window = current
        first = max(self._first_window - BACK_WINDOWS, current - BACK_WINDOWS - 1)
        for window in range(first, current):
            if window not in self._done:
                await self._report_window(window)
        self._done = {window for window in self._done if window >= first}

    async def _report_window(self, window: int) -> None:
        counts = total_of(window, self._sharing.usage, self._sharing.members.all_states())
        if not counts:
            return
        frozen = await self._freeze(WindowRow(window, counts))
        if frozen is None:
            return
        grant = self._keeper.grant()
        if grant is None:
            return
        trouble = await self._orders.report_usage(self._node, grant.epoch, window, frozen.counts)
        if trouble is None:
            self._done.add(window)
            emit(Event.USAGE_REPORTED, window=window, total=sum(frozen.counts.values()))
        else:
            emit(Event.USAGE_FAILED, window=window, why=trouble.detail)

    async def _freeze(self, row: WindowRow) -> WindowRow | None:
        """Keep a window's counts before they are sent, or return what was kept before."""
        key = str(row.window % USAGE_ROWS)
        expected = ABSENT
        for _ in range(2):
            outcome = await self._store.write(
                USAGE_TABLE, key, msgspec.json.encode(row), expected, CALL_TIMEOUT_S
            )
            if isinstance(outcome, Err):
                return None
            written = outcome.ok_value
            if written.committed:
                return row
            if written.standing is None:
                return None
            standing = msgspec.json.decode(written.standing.value, type=WindowRow)
            if standing.window >= row.window:
                return standing if standing.window == row.window else None
            expected = written.standing.version
        return None

    async def _rent(self) -> None:
        now = time.monotonic()
        index = self._index()
        if index is None or now - self._planned_at < PLAN_S:
            return
        self._planned_at = now
        servers = [view.server for view in self._book.views.values()]
        for service in index.services.values():
            if service.renting is None:
                continue
            planner = self._planner(service.name)
            planner.demand.note(self._work(service.name), now)
            for order in planner.orders(service.renting, servers, now):
                grant = self._keeper.grant()
                if grant is None:
                    return
                outcome = await self._orders.order_servers(
                    self._node, grant.epoch, order.service, order.hall, order.number, order.spot
                )
                accepted = isinstance(outcome, Ok) and outcome.ok_value
                planner.ordered(order, accepted, time.monotonic())
                emit(
                    Event.SERVERS_ORDERED,
                    hall=order.hall,
                    spot=order.spot,
                    number=order.number,
                    accepted=accepted,
                    need=planner.need,
                    tokens_per_s=round(planner.demand.rate),
                )

    def _planner(self, service: str) -> RentingPlanner:
        planner = self._planners.get(service)
        if planner is None:
            planner = RentingPlanner(service, self._first_start)
            self._planners[service] = planner
        return planner

    def _work(self, service: str) -> float:
        """Return the prompt tokens that all nodes have placed so far."""
        states = self._sharing.members.all_states()
        return self._book.work.get(service, 0) + sum(each.work.get(service, 0) for each in states)
