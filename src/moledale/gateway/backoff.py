"""Pauses between calls that fail, longer each time and the more nodes there are.

What the store's outage costs must not grow with the nodes: those that call for all others ask
often, the others seldom, since they hear from these once the store answers.
"""

import random
from collections.abc import Callable

import msgspec

JITTER = 0.5
"""A pause is shorter or longer by up to this part, by chance."""


class Backoff(msgspec.Struct):
    """Pauses from `initial_s` to `max_s`, times `backoff_scale`: 1.0 for a node that calls for others."""

    initial_s: float
    max_s: float
    backoff_scale: Callable[[], float]
    _pause_s: float = 0.0
    _rng: random.Random = msgspec.field(default_factory=random.Random)

    def next_s(self) -> float:
        """Return how long to wait after a call that failed."""
        longer = 2 * self._pause_s if self._pause_s else self.initial_s
        self._pause_s = min(longer, self.max_s * max(1.0, self.backoff_scale()))
        return self._pause_s * (1.0 - JITTER + 2 * JITTER * self._rng.random())

    def reset(self) -> None:
        """Begin anew after a call that did not fail."""
        self._pause_s = 0.0
