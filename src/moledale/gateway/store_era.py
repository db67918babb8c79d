"""Eras of the platform's store: it may come back from an older copy and lose what it acknowledged.

Versions then go back and are given out again, so a version is compared together with its era.
"""

import math
from collections.abc import Callable

import msgspec

from moledale.clock import monotonic
from moledale.log import Event, emit

UNKNOWN_ERA = 0
"""The era where nothing tells one: before the first answer, or in messages of earlier builds."""


class EraVersion(msgspec.Struct, frozen=True, order=True):
    """A version and the era that it was given out in; any version of a later era is newer."""

    era: int = UNKNOWN_ERA
    number: int = -1

    def is_restored_since(self, earlier: "EraVersion") -> bool:
        """Say whether the store came back from an older copy between two versions."""
        return self.era > earlier.era > UNKNOWN_ERA


class EraNews(msgspec.Struct, frozen=True, array_like=True):
    """The newest era that a node knows, and for how long at least it has lasted, in seconds."""

    number: int
    age_s: float


class StoreEra:
    """The newest era that this node knows, from answers of the store or from its peers.

    `since` is when this era had begun at the latest, and `restored_at` when the store came back
    last in this life of the process; both on the monotonic clock. `on_restored` are called then.
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self.number = UNKNOWN_ERA
        self.since = -math.inf
        self.restored_at = -math.inf
        self.on_restored: list[Callable[[], None]] = []
        self._now = now

    def observe(self, era: int, age_s: float = 0.0) -> None:
        """Note an era that an answer or a peer names, and its least age."""
        if era < self.number or era == UNKNOWN_ERA:
            return
        began_at = self._now() - age_s
        if era == self.number:
            self.since = min(self.since, began_at)
            return
        before, self.number, self.since = self.number, era, began_at
        if before != UNKNOWN_ERA:
            self.restored_at = began_at
            emit(Event.STORE_RESTORED, era=era, before=before)
            for hear in self.on_restored:
                hear()

    def restored_within(self, span_s: float) -> bool:
        """Say whether the store came back from an older copy so lately."""
        return self._now() - self.restored_at < span_s

    def to_broadcast(self) -> EraNews | None:
        """Return what this node tells its peers, None while it knows no era."""
        if self.number == UNKNOWN_ERA:
            return None
        return EraNews(self.number, self._now() - self.since)
