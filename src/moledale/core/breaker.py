"""Circuit breaker: stops calls to a failing dependency, with jittered exponential backoff."""

import random
from dataclasses import dataclass

from transitions import Machine

CLOSED = "closed"
OPEN = "open"
PROBING = "probing"


@dataclass(frozen=True, slots=True)
class BreakerLimits:
    """When a breaker opens and for how long.

    It opens after `failure_threshold` failures in a row, for `initial_wait_s` at first and for up
    to `max_wait_s` if the failures go on.
    """

    failure_threshold: int = 3
    initial_wait_s: float = 0.5
    max_wait_s: float = 10.0


class Breaker:
    """A circuit breaker that admits one probe after a wait, which doubles with each failed probe.

    Each wait is shortened by jitter to between half and all of its length.
    """

    state: str

    def __init__(self, limits: BreakerLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._failures = 0
        self._next_wait_s = limits.initial_wait_s
        self._open_until = 0.0
        Machine(
            model=self,
            states=[CLOSED, OPEN, PROBING],
            initial=CLOSED,
            auto_transitions=False,
            transitions=[
                {"trigger": "_trip", "source": [CLOSED, PROBING], "dest": OPEN},
                {"trigger": "_probe", "source": OPEN, "dest": PROBING},
                {"trigger": "_close", "source": "*", "dest": CLOSED},
            ],
        )

    def allows(self, now: float) -> bool:
        """Return whether to make a call at `now`; after the wait, the first one is the probe."""
        if self.state == CLOSED:
            return True
        if self.state == OPEN and now >= self._open_until:
            self._probe()  # type: ignore[attr-defined]
            return True
        return False

    def wait_s(self, now: float) -> float:
        """Return the seconds left of the wait until a probe; 0.0 if closed or the wait is over."""
        return 0.0 if self.state == CLOSED else max(0.0, self._open_until - now)

    def record_success(self) -> bool:
        """Record a successful call; return True if it ended an outage."""
        was_down = self.state != CLOSED
        self._failures = 0
        self._next_wait_s = self._limits.initial_wait_s
        if was_down:
            self._close()  # type: ignore[attr-defined]
        return was_down

    def record_failure(self, now: float) -> bool:
        """Record a failed call; return True if it started an outage."""
        self._failures += 1
        if self.state == OPEN:
            return False
        opened = self.state == CLOSED and self._failures >= self._limits.failure_threshold
        if opened or self.state == PROBING:
            self._open(now)
        return opened

    def record_cancelled(self, now: float) -> None:
        """Record a call that ended without a known outcome; such a probe counts as failed."""
        if self.state == PROBING:
            self._open(now)

    def _open(self, now: float) -> None:
        self._open_until = now + self._next_wait_s * self._rng.uniform(0.5, 1.0)
        self._next_wait_s = min(self._next_wait_s * 2, self._limits.max_wait_s)
        self._trip()  # type: ignore[attr-defined]
