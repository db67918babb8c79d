"""Request pacing by the generic cell rate algorithm (ITU-T I.371, virtual scheduling).

Slots are handed out at a rate, each due one interval after the previous one. After a time without
requests slots may be taken early, by at most `Pacer.burst_tolerance_s`, so that a short burst is
possible. A caller that waits may reserve a slot in advance. Times are seconds of one monotonic
clock.
"""

import msgspec

BURST_S = 0.25
"""A burst may use the slots of this much time at once, and two slots in any case: without a burst
allowance, a server of one request per second would be idle from each slot until the next caller
asks."""

MIN_RATE_PER_S = 0.1
"""Lower rates are raised to this one: a server that stated a rate of zero would get no request, so
its next rate would never be learned."""

STEEP_DROP_RATIO = 0.5
"""After a drop below this ratio of the previous rate, slots saved at that rate don't count."""

OVERBOOKING_FACTOR = 2.0
"""Rejected callers are given retry times at this many requests per slot, since some of them don't
return."""

MAX_EXTRA_WAIT_S = 2.0
"""Maximum time from the next free slot to the retry time of a rejected caller, as the rate may
rise before."""


class SlotReservation(msgspec.Struct, frozen=True):
    """A slot that starts in `wait_s`; or, if not `granted`, the time until the caller may retry."""

    granted: bool
    wait_s: float


class Pacer(msgspec.Struct):
    """Hands out slots at a rate of `per_s`.

    `next_at` is when the next slot is due, `last_retry_at` the latest retry time given to a caller.
    """

    per_s: float
    next_at: float
    last_retry_at: float = 0.0

    @classmethod
    def without_credit(cls, per_s: float, now: float) -> "Pacer":
        """Return a pacer without a free slot: another node may just have used the saved ones."""
        pacer = cls(max(MIN_RATE_PER_S, per_s), now)
        pacer.next_at = now + pacer.interval_s + pacer.burst_tolerance_s
        return pacer

    @property
    def interval_s(self) -> float:
        """Return the time between two slots."""
        return 1.0 / self.per_s

    @property
    def burst_tolerance_s(self) -> float:
        """Return how long before it is due a slot may be taken."""
        return max(self.interval_s, BURST_S - self.interval_s)

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate; the wait for the next slot is as many intervals as before.

        After a steep drop no slot is free at once, whatever was saved at the higher rate.
        """
        per_s = max(MIN_RATE_PER_S, per_s)
        if per_s == self.per_s:
            return
        ratio = per_s / self.per_s
        self.per_s = per_s
        self.last_retry_at = min(self.last_retry_at, now)
        latest = now + self.interval_s + self.burst_tolerance_s
        if ratio < STEEP_DROP_RATIO:
            self.next_at = latest
        elif self.next_at > now:
            # Small changes may be frequent: restarting the wait on each would never free a slot.
            self.next_at = min(latest, now + (self.next_at - now) / ratio)

    def take(self, now: float, max_wait_s: float = 0.0, count: int = 1) -> SlotReservation:
        """Reserve `count` slots, the first within `max_wait_s`; else return when to retry."""
        wait_s = max(0.0, self.next_at - self.burst_tolerance_s - now)
        if wait_s > max_wait_s:
            return SlotReservation(False, self._retry_after_s(wait_s, now))
        self.next_at = max(self.next_at, now) + count * self.interval_s
        return SlotReservation(True, wait_s)

    def record_external(self, now: float) -> None:
        """Count a request that was sent without a slot.

        However many there are, the next slot is due within an interval plus `MAX_EXTRA_WAIT_S`.
        """
        latest = now + MAX_EXTRA_WAIT_S + self.interval_s
        self.next_at = max(self.next_at, min(latest, max(self.next_at, now) + self.interval_s))

    def _retry_after_s(self, wait_s: float, now: float) -> float:
        """Return the seconds until a rejected caller may retry; callers get successive times."""
        first = now + wait_s
        self.last_retry_at = max(first, self.last_retry_at + self.interval_s / OVERBOOKING_FACTOR)
        return min(self.last_retry_at - now, wait_s + MAX_EXTRA_WAIT_S)
