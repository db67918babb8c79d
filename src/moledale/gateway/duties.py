"""Duties that the lease holder performs for all nodes: usage reports, servers and roll-outs."""

import asyncio
from collections.abc import Callable

import msgspec
from result import Err

from moledale.clock import monotonic
from moledale.faults import await_step
from moledale.gateway.lease_keeper import LeaseKeeper
from moledale.gateway.outside import ABSENT_VERSION, CloudOrders, Store
from moledale.gateway.renting_duty import RentingDuty
from moledale.gateway.rollout_duty import RolloutDuty
from moledale.gateway.settings import Bounds
from moledale.gateway.sharing import Sharing
from moledale.gateway.state_rows import decode_row
from moledale.gateway.usage import total_counts
from moledale.log import Event, emit

USAGE_TABLE = "usage"
USAGE_ROWS = 16
"""Number of rows for reported windows; a window overwrites the row of one long past."""

DUTY_POLL_INTERVAL_S = 0.2
"""Interval at which duties check what is due, the same as that at which nodes exchange their
states."""

CALL_TIMEOUT_S = 1.0
"""Timeout of a duty's call: a third of the lease, so that a call that hangs does not lose the
lease."""

SETTLE_S = 1.5
"""Delay after the end of a window until its counts are complete."""

NEW_HOLDER_DELAY_S = 1.5
"""Delay between acquiring the lease and a new holder's first report. Nodes send their counts to the
holder only: they learn of a new one within a round or a second, and send within a round, so an
earlier report would freeze incomplete counts. Counts of nodes in reserve may arrive a little later
still."""

MAX_COUNTS_WAIT_SHARE = 0.4
"""Share of `bounds.usage_late_s` after the end of a window for which the counts of nodes are
awaited. The rest is for calls, and for another holder if this one ends."""

BACKFILL_WINDOWS = 2
"""Number of windows before the current one that a new holder reports: 10 s, as late as reports may
be."""

STORE_RESTORED_REASON = "the store came back from an older copy"
ROW_UNREADABLE_REASON = "the row in its place can't be read"
"""Logged reasons why the counts of a window can't be stored."""


class WindowRow(msgspec.Struct, frozen=True):
    """The counts of a window as they are, or were, reported; they never change afterwards."""

    window: int
    counts: dict[str, int]


class Duties:
    """Reports usage and runs the other duties while the lease is held.

    `step_lock` is held while the duties run.
    """

    def __init__(
        self,
        node: str,
        keeper: LeaseKeeper,
        store: Store,
        orders: CloudOrders,
        sharing: Sharing,
        renting: RentingDuty,
        rollouts: RolloutDuty,
        now: Callable[[], float] = monotonic,
        usage_late_s: float = Bounds().usage_late_s,
    ) -> None:
        self.step_lock = asyncio.Lock()
        self._node = node
        self._keeper = keeper
        self._store = store
        self._orders = orders
        self._sharing = sharing
        self._renting = renting
        self._rollouts = rollouts
        self._now = now
        self._max_wait_s = MAX_COUNTS_WAIT_SHARE * usage_late_s
        self._finished_windows: set[int] = set()
        self._frozen: dict[int, WindowRow] = {}
        self._first_window: int | None = None
        self._epoch = 0
        self._held_since = -1e9

    async def step(self) -> None:
        """Run the duties that are due.

        All nodes record demand, so that any of them can become the holder.
        """
        self._renting.record_demand()
        grant = self._keeper.grant()
        if grant is None:
            return
        if grant.epoch != self._epoch:
            self._epoch = grant.epoch
            self._held_since = self._now()
            self._renting.reset()
            self._rollouts.reset()
        async with self.step_lock:
            await asyncio.gather(
                await_step("usage", self._report_usage()),
                await_step("renting", self._renting.step()),
                await_step(
                    "roll-outs", self._rollouts.step(lambda: self._keeper.grant() is not None)
                ),
            )

    async def _report_usage(self) -> None:
        if self._now() - self._held_since < NEW_HOLDER_DELAY_S:
            return
        usage = self._sharing.usage
        current = usage.window_of(self._sharing.time() - SETTLE_S)
        if self._first_window is None:
            self._first_window = current
        earliest = max(self._first_window - BACKFILL_WINDOWS, current - BACKFILL_WINDOWS - 1)
        for window in range(earliest, current):
            if window not in self._finished_windows and self._is_complete(window):
                await self._report_window(window)
        self._finished_windows = {window for window in self._finished_windows if window >= earliest}
        self._frozen = {window: row for window, row in self._frozen.items() if window >= earliest}

    def _is_complete(self, window: int) -> bool:
        """Return whether all nodes told their counts since a window ended, or no time is left.

        A new holder may have old counts of many nodes, since those are sent to the holder only.
        """
        ended_at = self._ended_at(window)
        now = self._now()
        if window in self._frozen or now - ended_at >= self._max_wait_s:
            return True
        return self._sharing.members.all_counted_since(ended_at, now)

    def _ended_at(self, window: int) -> float:
        """Return when a window ended, on the monotonic clock."""
        return self._now() - (self._sharing.time() - self._sharing.usage.end_of(window))

    async def _report_window(self, window: int) -> None:
        counts = total_counts(window, self._sharing.usage, self._sharing.members.all_states())
        if not counts:
            return
        if window in self._frozen or self._may_freeze(window):
            frozen = await self._freeze(self._frozen.get(window, WindowRow(window, counts)))
        else:
            frozen = await self._read_stored(window)
        if frozen is None:
            return
        if not frozen.counts:
            self._finished_windows.add(window)
            return
        self._frozen[window] = frozen
        grant = self._keeper.grant()
        if grant is None:
            return
        failure = await self._orders.report_usage(self._node, grant.epoch, window, frozen.counts)
        if failure is None:
            self._finished_windows.add(window)
            emit(
                Event.USAGE_REPORTED,
                window=window,
                total=sum(frozen.counts.values()),
                counted=sum(counts.values()),
            )
        else:
            emit(Event.USAGE_FAILED, window=window, why=failure.detail)

    def _may_freeze(self, window: int) -> bool:
        """Return whether no counts that another holder stored for a window can have been lost.

        If the window ended in this era, the store still has any counts that another holder stored.
        For an earlier window, only this node can have stored counts if it has held the lease since
        the window's end.
        """
        return self._ended_at(window) >= min(self._store.era.since, self._held_since)

    async def _read_stored(self, window: int) -> WindowRow | None:
        """Return a window's stored counts; if the store lost them, the window is not reported."""
        outcome = await self._store.read(USAGE_TABLE, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            return None
        for row in outcome.ok_value.rows:
            stored = decode_row(USAGE_TABLE, row, WindowRow)
            if stored is not None and stored.window == window:
                return stored
        self._finished_windows.add(window)
        emit(
            Event.USAGE_FAILED,
            window=window,
            why="the store may have lost what was reported",
        )
        return None

    async def _freeze(self, row: WindowRow) -> WindowRow | None:
        """Store a window's counts before they are sent, or return the counts stored earlier."""
        key = str(row.window % USAGE_ROWS)
        expected = ABSENT_VERSION
        era = self._store.era.number
        for _ in range(2):
            outcome = await self._store.write(
                USAGE_TABLE, key, msgspec.json.encode(row), expected, CALL_TIMEOUT_S
            )
            if isinstance(outcome, Err):
                return None
            written = outcome.ok_value
            if written.committed and written.era == era:
                return row
            if written.committed:
                await self._void(row.window, written.version, STORE_RESTORED_REASON)
                return None
            if written.conflicting_row is None:
                return None
            expected = written.conflicting_row.version
            stored = decode_row(USAGE_TABLE, written.conflicting_row, WindowRow)
            if stored is None:
                if row.window not in self._frozen:
                    await self._void(row.window, expected, ROW_UNREADABLE_REASON)
                    return None
            elif stored.window >= row.window:
                return stored if stored.window == row.window else None
        return None

    async def _void(self, window: int, version: int, why: str) -> None:
        """Store that a window is not reported, as other counts of it may have been sent."""
        self._finished_windows.add(window)
        value = msgspec.json.encode(WindowRow(window, {}))
        key = str(window % USAGE_ROWS)
        await self._store.write(USAGE_TABLE, key, value, version, CALL_TIMEOUT_S)
        emit(Event.USAGE_FAILED, window=window, why=why)
