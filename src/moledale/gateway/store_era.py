"""Eras of the platform's store: it may come back from an older copy and lose what it acknowledged.

Versions then go back and are given out again, so a version is compared together with its era.
"""

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


class StoreEra:
    """The newest era that this node knows, from answers of the store or from its peers."""

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        self.number = UNKNOWN_ERA
        self._now = now

    def heard(self, era: int) -> None:
        """Note an era that an answer or a peer names."""
        if era <= self.number:
            return
        before, self.number = self.number, era
        if before != UNKNOWN_ERA:
            emit(Event.STORE_RESTORED, era=era, before=before)
