"""Noticing that the machine was suspended: timers stood still, while all that is known grew old."""

import time
from collections.abc import Callable

from moledale.clock import monotonic

LEAST_S = 0.1
"""Shorter suspensions are not told: half a round of news, which makes no difference."""


class SuspensionWatch:
    """Compares the clock that counts suspended time with the one that does not."""

    def __init__(
        self,
        counting: Callable[[], float] = monotonic,
        standing_still: Callable[[], float] = time.monotonic,
    ) -> None:
        self._counting = counting
        self._standing_still = standing_still
        self._ahead_s = counting() - standing_still()

    def slept_s(self) -> float:
        """Return for how long the machine was suspended since the last call, 0.0 if it wasn't."""
        ahead_s = self._counting() - self._standing_still()
        slept_s = ahead_s - self._ahead_s
        if slept_s < LEAST_S:
            return 0.0
        self._ahead_s = ahead_s
        return slept_s
