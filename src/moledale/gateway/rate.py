"""The rate of a counter of late."""

import msgspec

TIME_CONSTANT_S = 3.0
"""Time after which what was counted weighs a third of what is counted now."""


class Rate(msgspec.Struct):
    """Follows a counter that only grows; `per_s` is its rate, smoothed."""

    per_s: float = 0.0
    _count: int = 0
    _at: float | None = None

    def observe(self, count: int, now: float) -> None:
        """Note the counter, at most as often as its rate is wanted to follow."""
        if self._at is not None and now > self._at:
            step_s = now - self._at
            rate = (count - self._count) / step_s
            self.per_s += (rate - self.per_s) * min(1.0, step_s / TIME_CONSTANT_S)
        self._count = count
        self._at = now
