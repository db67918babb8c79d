"""Moments in which a sound server sends nothing and then goes on.

All requests that it runs are late together, so for judging its version they are one observation. A
server that is silent for longer is not excused. This module uses no clock.
"""

import math

import msgspec

MIN_STALL_S = 0.5
MAX_STALL_S = 1.5
"""Shortest and longest silence of a server with running requests that counts as a stall."""


class ServerStalls(msgspec.Struct):
    """The last stall of a server, and the one that an outcome was counted for; monotonic times."""

    began_at: float = -math.inf
    ended_at: float = -math.inf
    counted_at: float = -math.inf

    def record_data(self, silent_s: float, now: float) -> None:
        """Record that the server sent data after a silence."""
        if MIN_STALL_S <= silent_s <= MAX_STALL_S:
            self.began_at, self.ended_at = now - silent_s, now

    def is_counted(self, sent_at: float, silent_s: float, now: float) -> bool:
        """Return whether an outcome was counted already for what delayed a request.

        The request was sent at `sent_at`, and the server has been silent for `silent_s`.
        """
        if MIN_STALL_S <= silent_s <= MAX_STALL_S:
            began_at = now - silent_s
        elif sent_at < self.ended_at:
            began_at = self.began_at
        else:
            return False
        counted = abs(began_at - self.counted_at) < MIN_STALL_S
        self.counted_at = began_at
        return counted
