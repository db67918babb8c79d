"""The smoothed rate of a counter."""

import msgspec

TIME_CONSTANT_S = 3.0
"""After this time an observation weighs a third of what a current one does."""


class Rate(msgspec.Struct):
    """Estimates the rate of a counter that only grows; `per_s` is its EWMA."""

    per_s: float = 0.0
    _count: int = 0
    _at: float | None = None

    def observe(self, count: int, now: float) -> None:
        """Record the counter's value, and update the rate from its increase."""
        if self._at is not None and now > self._at:
            step_s = now - self._at
            rate = (count - self._count) / step_s
            self.per_s += (rate - self.per_s) * min(1.0, step_s / TIME_CONSTANT_S)
        self._count = count
        self._at = now
