"""Noticing that the machine was suspended: timers stood still, while all that is known grew old."""

import time
from collections.abc import Callable

from moledale.clock import monotonic

MIN_SUSPENSION_S = 0.1
"""Shorter suspensions are not told: half a round of news, which makes no difference."""


class SuspensionWatch:
    """Compares the clock that counts suspended time with the one that does not."""

    def __init__(
        self,
        boot_clock: Callable[[], float] = monotonic,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._boot_clock = boot_clock
        self._monotonic_clock = monotonic_clock
        self._offset_s = boot_clock() - monotonic_clock()

    def slept_s(self) -> float:
        """Return for how long the machine was suspended since the last call, 0.0 if it wasn't."""
        ahead_s = self._boot_clock() - self._monotonic_clock()
        slept_s = ahead_s - self._offset_s
        if slept_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = ahead_s
        return slept_s
