"""Circuit breaker: stops calls to something that keeps failing, with spread-out returns."""

import random
from dataclasses import dataclass

from transitions import Machine

CLOSED = "closed"
OPEN = "open"
PROBING = "probing"


@dataclass(frozen=True, slots=True)
class BreakerLimits:
    """After `failures` in a row calls stop, for `first_s` and then longer up to `longest_s`."""

    failures: int = 3
    first_s: float = 0.5
    longest_s: float = 10.0


class Breaker:
    """A breaker whose waits double and are spread by full jitter over [half, whole]."""

    state: str

    def __init__(self, limits: BreakerLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._failures = 0
        self._wait = limits.first_s
        self._until = 0.0
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
        """Say whether a call may be made at `now`; one probe at a time once open."""
        if self.state == CLOSED:
            return True
        if self.state == OPEN and now >= self._until:
            self._probe()  # type: ignore[attr-defined]
            return True
        return False

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next call may be tried."""
        return 0.0 if self.state == CLOSED else max(0.0, self._until - now)

    def succeeded(self) -> bool:
        """Note an answer; return True if it ended an outage."""
        was_down = self.state != CLOSED
        self._failures = 0
        self._wait = self._limits.first_s
        if was_down:
            self._close()  # type: ignore[attr-defined]
        return was_down

    def failed(self, now: float) -> bool:
        """Note a failure; return True if it began an outage."""
        self._failures += 1
        if self.state == OPEN:
            return False
        began = self.state == CLOSED and self._failures >= self._limits.failures
        if began or self.state == PROBING:
            self._open(now)
        return began

    def abandoned(self, now: float) -> None:
        """Note a call that was cancelled before it brought an outcome."""
        if self.state == PROBING:
            self._open(now)

    def _open(self, now: float) -> None:
        self._until = now + self._wait * self._rng.uniform(0.5, 1.0)
        self._wait = min(self._wait * 2, self._limits.longest_s)
        self._trip()  # type: ignore[attr-defined]
