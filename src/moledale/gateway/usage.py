"""Counts of started requests by window of true time, and the agreement on that time."""

from collections.abc import Iterable
from statistics import median

from moledale.gateway.peers import NodeState

RETAINED_WINDOWS = 6
"""Number of past windows that a node keeps counts of; older ones are reported or lost."""


class TrueTime:
    """True time from several clocks: the store's steady clock plus the median of all offsets.

    A node's time of day may jump. Each node broadcasts how far its time of day is ahead of the
    store's clock, and all use the median, so that jumps on fewer than half of the machines change
    nothing. In the methods `wall` is this machine's time of day, and `now` its monotonic clock.
    """

    def __init__(self) -> None:
        self._store_minus_local_s: float | None = None
        self._peer_offsets: list[float] = []

    def record_store_clock(self, store_s: float, sent_at: float, answered_at: float) -> None:
        """Record the store's clock as read in a call.

        The known difference of the clocks is replaced only if it is off by more than the duration
        of the call, as short calls are the most precise.
        """
        difference_s = store_s - (sent_at + answered_at) / 2
        if self._store_minus_local_s is None or abs(difference_s - self._store_minus_local_s) > (
            answered_at - sent_at
        ):
            self._store_minus_local_s = difference_s

    def to_local(self, store_s: float) -> float | None:
        """Convert a time of the store's clock to the monotonic clock; None if not known yet."""
        return None if self._store_minus_local_s is None else store_s - self._store_minus_local_s

    def to_store(self, now: float) -> float | None:
        """Convert a time of the monotonic clock to the store's clock; None if not known yet."""
        return None if self._store_minus_local_s is None else now + self._store_minus_local_s

    def offset_s(self, wall: float, now: float) -> float | None:
        """Return how far this machine's time of day is ahead of the store's clock, if known."""
        return (
            None if self._store_minus_local_s is None else wall - (now + self._store_minus_local_s)
        )

    def set_peer_offsets(self, offsets: Iterable[float | None]) -> None:
        """Replace the offsets received from peers."""
        self._peer_offsets = [offset for offset in offsets if offset is not None]

    def now(self, wall: float, now: float) -> float:
        """Return true time in seconds since the epoch, as precisely as it is known."""
        own = self.offset_s(wall, now)
        if own is None or self._store_minus_local_s is None:
            return wall
        return now + self._store_minus_local_s + median([own, *self._peer_offsets])


class UsageCounts:
    """Number of requests of each account that began to run on this node, by window number."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.started: dict[int, dict[str, int]] = {}

    def window_of(self, true_time: float) -> int:
        """Return the number of the window that contains a time."""
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


def total_counts(window: int, own: UsageCounts, peers: Iterable[NodeState]) -> dict[str, int]:
    """Return a window's counts over all nodes and all their remembered incarnations."""
    total = dict(own.started.get(window, {}))
    for state in peers:
        for account, number in state.started.get(window, {}).items():
            total[account] = total.get(account, 0) + number
    return total
