"""Decides for the loss of how many more halls servers are held after halls lost theirs.

Reclaims of halls often follow one another faster than servers start, so that servers ordered after
a loss come too late for the next but one. How often a loss was followed by another one within the
window of a series tells how many more are expected now.
"""

from collections import deque
from math import floor

import msgspec

SERIES_BOOTS = 2.0
"""Window after a loss in which another one belongs to its series, in boot times of a server. The
servers that are ordered after a loss need one, and are then held for another one."""

REMEMBERED_LOSSES = 8
"""Number of earlier losses that the expectation is learnt from."""

PRIOR_FOLLOWED = 1.5
PRIOR_LAST = 1.0
"""Losses that were followed by another one, and that were not, as assumed beside those observed.
After a first loss they hold servers for one and a half more halls: if two are lost, about a third
of the need remains, enough for the short prompts, and after one single loss they hold no more."""

USUAL_HALLS = 1.0
"""Halls whose loss is always provided for."""


class LossSeries(msgspec.Struct):
    """Losses of halls, and whether another hall was lost soon after each of them."""

    _seen_at: dict[str, float] = msgspec.field(default_factory=dict)
    _last_at: float = -1e9
    _open: bool = False
    _followed: deque[bool] = msgspec.field(default_factory=lambda: deque(maxlen=REMEMBERED_LOSSES))

    def record_loss(self, hall: str, boot_s: float, now: float) -> None:
        """Record that a hall loses its servers; repeated words of one loss count once."""
        self._close(boot_s, now)
        known = now - self._seen_at.get(hall, -1e9) < SERIES_BOOTS * boot_s
        self._seen_at[hall] = now
        if known:
            return
        if self._open:
            self._followed.append(True)
        self._open = True
        self._last_at = now

    def halls_to_hold(self, boot_s: float, now: float) -> float:
        """Return for the loss of how many more halls servers are to be held.

        During a series this is the number of losses expected to follow the last one, if each is
        followed by another one as often as those before.
        """
        self._close(boot_s, now)
        if not self._open:
            return USUAL_HALLS
        followed = PRIOR_FOLLOWED + sum(self._followed)
        last = PRIOR_LAST + len(self._followed) - sum(self._followed)
        return max(USUAL_HALLS, followed / last)

    def _close(self, boot_s: float, now: float) -> None:
        """End the series if its last loss was not followed by another one in time."""
        if self._open and now - self._last_at >= SERIES_BOOTS * boot_s:
            self._open = False
            self._followed.append(False)


def remaining_servers(by_hall: dict[str, int], halls: float) -> int:
    """Return how many servers remain after the loss of the `halls` largest halls.

    A fraction is that part of the next hall.
    """
    remaining = 0.0
    for number in sorted(by_hall.values(), reverse=True):
        lost = min(1.0, halls)
        remaining += number * (1.0 - lost)
        halls -= lost
    return floor(remaining)
