"""Exponential backoff with jitter, scaled by the size of the cluster.

The load of retries on a store during an outage must not grow with the number of nodes. Nodes that
call on behalf of all others retry often. The others retry seldom, since they learn from those
nodes when the store answers again.
"""

import random
from collections.abc import Callable

import msgspec

JITTER = 0.5
"""A pause is randomly shorter or longer by up to this share."""


class Backoff(msgspec.Struct):
    """Computes pauses from `initial_s`, doubled after each failure up to `max_s * backoff_scale()`.

    The scale is 1.0 for a node that calls on behalf of others.
    """

    initial_s: float
    max_s: float
    backoff_scale: Callable[[], float]
    _pause_s: float = 0.0
    _rng: random.Random = msgspec.field(default_factory=random.Random)

    def next_s(self) -> float:
        """Return how long to wait after a failed call."""
        longer = 2 * self._pause_s if self._pause_s else self.initial_s
        self._pause_s = min(longer, self.max_s * max(1.0, self.backoff_scale()))
        return self._pause_s * (1.0 - JITTER + 2 * JITTER * self._rng.random())

    def reset(self) -> None:
        """Start again from the initial pause, after a successful call."""
        self._pause_s = 0.0
