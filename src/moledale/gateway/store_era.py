"""Eras of the platform's store, which may be restored from an older copy.

A restore loses acknowledged writes, and the store then assigns the same versions again, so versions
are compared together with their era. Each restore starts a new era.
"""

import math
from collections.abc import Callable

import msgspec

from moledale.clock import monotonic
from moledale.log import Event, emit

UNKNOWN_ERA = 0
"""No era is known: before the first answer of the store, or in messages of earlier builds."""


MAX_ERA = 2**41
"""Highest era that is accepted: epochs of leases have room for 2^20 holders in each era."""


class EraVersion(msgspec.Struct, frozen=True, order=True):
    """A version and the era in which it was assigned; any version of a later era is newer.

    The default is older than any version of the store.
    """

    era: int = UNKNOWN_ERA
    number: int = -1

    def is_restored_since(self, earlier: "EraVersion") -> bool:
        """Return whether the store was restored between the earlier version and this one."""
        return self.era > earlier.era > UNKNOWN_ERA


class EraNews(msgspec.Struct, frozen=True, array_like=True):
    """The newest era that the sender knows, and its minimum age in seconds."""

    number: int
    age_s: float


class StoreEra:
    """Tracks the newest era that this node knows, from answers of the store or from its peers.

    `since` is the latest time at which this era can have begun, and `restored_at` the time of the
    last restore during this process; both on the monotonic clock. The `on_restored` callbacks are
    called after each restore.
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self.number = UNKNOWN_ERA
        self.since = -math.inf
        self.restored_at = -math.inf
        self.on_restored: list[Callable[[], None]] = []
        self._now = now

    def observe(self, era: int, age_s: float = 0.0) -> None:
        """Record an era named by the store or a peer, and its minimum age.

        Older eras are ignored, and numbers that can be none.
        """
        if not max(self.number, UNKNOWN_ERA + 1) <= era <= MAX_ERA:
            return
        began_at = self._now() - age_s
        if era == self.number:
            self.since = min(self.since, began_at)
            return
        before, self.number, self.since = self.number, era, began_at
        if before != UNKNOWN_ERA:
            self.restored_at = began_at
            emit(Event.STORE_RESTORED, era=era, before=before)
            for callback in self.on_restored:
                callback()

    def restored_within(self, span_s: float) -> bool:
        """Return whether the store was restored within the last `span_s` seconds."""
        return self._now() - self.restored_at < span_s

    def to_broadcast(self) -> EraNews | None:
        """Return the era for this node's gossiped state; None while no era is known."""
        if self.number == UNKNOWN_ERA:
            return None
        return EraNews(self.number, self._now() - self.since)
