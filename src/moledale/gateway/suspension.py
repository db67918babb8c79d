"""Detects that the machine was suspended: timers stopped while the node's data became outdated."""

import time
from collections.abc import Callable

from moledale.clock import monotonic

MIN_SUSPENSION_S = 0.1
"""Shorter suspensions are not reported: half a gossip round makes no difference."""


class SuspensionWatch:
    """Compares a clock that includes suspended time with one that does not."""

    def __init__(
        self,
        boot_clock: Callable[[], float] = monotonic,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._boot_clock = boot_clock
        self._monotonic_clock = monotonic_clock
        self._offset_s = boot_clock() - monotonic_clock()

    def slept_s(self) -> float:
        """Return how long the machine was suspended since the last report, 0.0 if it was not."""
        offset_s = self._boot_clock() - self._monotonic_clock()
        slept_s = offset_s - self._offset_s
        if slept_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        return slept_s
