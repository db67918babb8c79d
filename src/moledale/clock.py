"""The clock that decisions and tasks are given, so that tests can own time."""

import asyncio
import time
from typing import Protocol


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
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for `seconds`."""
        await asyncio.sleep(seconds)
