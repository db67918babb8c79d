"""The clock that decisions and tasks are given, so that tests can own time.

Machines may be suspended. A lease, a deadline or the age of a list runs on meanwhile, so durations
are measured by a clock that counts that time; the usual steady clock stands still.
"""

import asyncio
import time
from typing import Protocol

_BOOTTIME_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)
"""The clock that counts time in which the machine is suspended; other systems than Linux have
none, and use the usual steady clock."""


def monotonic() -> float:
    """Return seconds that never go back, and go on while the machine is suspended.

    It takes 0.1 microseconds longer than `time.monotonic`.
    """
    if _BOOTTIME_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_BOOTTIME_CLOCK)


class Clock(Protocol):
    """Monotonic seconds for durations, wall seconds for what people read."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait for `seconds`."""
        ...


class SystemClock:
    """The machine's own clock."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for `seconds`."""
        await asyncio.sleep(seconds)
