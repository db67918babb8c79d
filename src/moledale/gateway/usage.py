"""Counting which requests began to run, by window of true time, and agreeing on that time."""

from collections.abc import Iterable
from statistics import median

from moledale.gateway.peers import NodeState

RETAINED_WINDOWS = 6
"""Windows that a node's counts go back; older ones are reported or lost."""


class TrueTime:
    """True time from several clocks: the store's steady clock plus the middle of all offsets.

    A node's time of day may jump. Each node tells how far its time of day is ahead of the store's
    clock, and all use the median, so that jumps on fewer than half of the machines change nothing.
    """

    def __init__(self) -> None:
        self._store_minus_local_s: float | None = None
        self._peer_offsets: list[float] = []

    def record_store_clock(self, store_s: float, sent_at: float, answered_at: float) -> None:
        """Note the store's clock as of a call; the shortest call tells best."""
        ahead = store_s - (sent_at + answered_at) / 2
        if self._store_minus_local_s is None or abs(ahead - self._store_minus_local_s) > (
            answered_at - sent_at
        ):
            self._store_minus_local_s = ahead

    def to_local(self, store_s: float) -> float | None:
        """Return when the store's clock showed a time, on this machine's monotonic clock."""
        return None if self._store_minus_local_s is None else store_s - self._store_minus_local_s

    def to_store(self, now: float) -> float | None:
        """Return what the store's clock shows at a time of this machine's monotonic clock."""
        return None if self._store_minus_local_s is None else now + self._store_minus_local_s

    def offset_s(self, wall: float, now: float) -> float | None:
        """Return how far this machine's time of day is ahead of the store's clock."""
        return (
            None if self._store_minus_local_s is None else wall - (now + self._store_minus_local_s)
        )

    def set_peer_offsets(self, offsets: Iterable[float | None]) -> None:
        """Note the offsets that other nodes told."""
        self._peer_offsets = [offset for offset in offsets if offset is not None]

    def now(self, wall: float, now: float) -> float:
        """Return true time in seconds since the epoch, as well as it is known."""
        own = self.offset_s(wall, now)
        if own is None or self._store_minus_local_s is None:
            return wall
        return now + self._store_minus_local_s + median([own, *self._peer_offsets])


class UsageCounts:
    """Requests of each account that began to run here, by window number."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.started: dict[int, dict[str, int]] = {}

    def window_of(self, true_time: float) -> int:
        """Return the number of the window that a moment lies in."""
        return int(true_time // self.window_s)

    def end_of(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_s

    def count(self, account: str, true_time: float) -> None:
        """Count a request that began to run."""
        window = self.window_of(true_time)
        counts = self.started.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        for old in [number for number in self.started if number < window - RETAINED_WINDOWS]:
            del self.started[old]


def total_counts(window: int, own: UsageCounts, others: Iterable[NodeState]) -> dict[str, int]:
    """Return the counts of a window over all nodes and all lives that are remembered."""
    total = dict(own.started.get(window, {}))
    for state in others:
        for account, number in state.started.get(window, {}).items():
            total[account] = total.get(account, 0) + number
    return total
