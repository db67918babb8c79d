"""Requests spaced so that a rate is kept in each span of time: the generic cell rate algorithm.

Times are seconds of one steady clock (ITU-T I.371, virtual scheduling). The next request is due one
interval after the one before. It may come ahead of that by what was saved while none came, one
interval or a little time's worth, and it may be taken ahead of time by one that waits for it.
"""

import msgspec

BURST_S = 0.25
"""Requests of so much time may come at once, and two in any case: with none saved, a server of one
a second stands idle from each place until somebody asks for the next."""

MIN_RATE_PER_S = 0.1
"""A rate of nothing is kept as this one: a server that named it would never be heard again."""

STEEP_DROP_RATIO = 0.5
"""A rate that falls below this part of what it was is taken for another one."""

OVERBOOKING_FACTOR = 2.0
"""Those that are turned away are told times for so many requests per place, since some of them
don't come back."""

MAX_EXTRA_WAIT_S = 2.0
"""Nobody is told to come back later than this after the next place is free: a rate may rise."""


class SlotReservation(msgspec.Struct, frozen=True):
    """A place that was taken, `wait_s` from now; or, if not `granted`, when to ask again."""

    granted: bool
    wait_s: float


class Pacer(msgspec.Struct):
    """Places at a rate of `per_s`; `next_at` is when the next one is due."""

    per_s: float
    next_at: float
    last_retry_at: float = 0.0

    @classmethod
    def without_credit(cls, per_s: float, now: float) -> "Pacer":
        """Return one that has no place to give yet: who gave them before may just have done so."""
        pacer = cls(max(MIN_RATE_PER_S, per_s), now)
        pacer.next_at = now + pacer.interval_s + pacer.burst_tolerance_s
        return pacer

    @property
    def interval_s(self) -> float:
        """Return the time between two places."""
        return 1.0 / self.per_s

    @property
    def burst_tolerance_s(self) -> float:
        """Return how long before it is due a place may be taken."""
        return max(self.interval_s, BURST_S - self.interval_s)

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate; the wait for the next place is as many intervals as before.

        After a steep fall there is no place at once, whatever was saved at the higher rate.
        """
        per_s = max(MIN_RATE_PER_S, per_s)
        if per_s == self.per_s:
            return
        change = per_s / self.per_s
        self.per_s = per_s
        self.last_retry_at = min(self.last_retry_at, now)
        most = now + self.interval_s + self.burst_tolerance_s
        if change < STEEP_DROP_RATIO:
            self.next_at = most
        elif self.next_at > now:
            # Small changes may come each moment: were each a new beginning, no place would come.
            self.next_at = min(most, now + (self.next_at - now) / change)

    def take(self, now: float, max_wait_s: float = 0.0, number: int = 1) -> SlotReservation:
        """Take some places at once, the first within a wait; or be told when to ask again."""
        wait_s = max(0.0, self.next_at - self.burst_tolerance_s - now)
        if wait_s > max_wait_s:
            return SlotReservation(False, self._retry_after_s(wait_s, now))
        self.next_at = max(self.next_at, now) + number * self.interval_s
        return SlotReservation(True, wait_s)

    def record_external(self, now: float) -> None:
        """Count a request that took no place here; many hold the next one back a little only."""
        most = now + MAX_EXTRA_WAIT_S + self.interval_s
        self.next_at = max(self.next_at, min(most, max(self.next_at, now) + self.interval_s))

    def _retry_after_s(self, wait_s: float, now: float) -> float:
        """Return a time to ask again, one after the other for those that ask."""
        first = now + wait_s
        self.last_retry_at = max(first, self.last_retry_at + self.interval_s / OVERBOOKING_FACTOR)
        return min(self.last_retry_at - now, wait_s + MAX_EXTRA_WAIT_S)
