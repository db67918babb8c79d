"""The rate limit that a server states, as one node knows it from answers and from other nodes."""

import math

import msgspec

REMOVAL_BROADCAST_S = 3.0
"""The removal of a limit is sent to other nodes for this long: fifteen gossip rounds."""


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """A limit that a node observed itself `age_s` ago; `per_s` is None if it was removed."""

    per_s: float | None
    age_s: float


class StatedLimit(msgspec.Struct):
    """Requests per second that a server accepts from all nodes, None if it states no limit.

    The last observation, at `observed_at`, counts; `first_hand` is set if this node made it.
    `limited_since` is when the current series of limits without a break began. Times are monotonic
    seconds.
    """

    per_s: float | None = None
    observed_at: float = -math.inf
    limited_since: float = 0.0
    first_hand: bool = False

    @property
    def is_known(self) -> bool:
        """Return whether any limit, or the removal of one, was observed."""
        return self.observed_at > -math.inf

    def update_from_answer(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Apply what an answer stated; return whether the limit changed.

        Answers may arrive out of order. The answer to a request that was sent before the last
        observation can lower the limit, but neither raise nor remove it.
        """
        if self._loosens(per_s) and sent_at < self.observed_at:
            return False
        if per_s is None and self.per_s is None:
            return False
        return self._set(per_s, now, True)

    def update_from_peer(self, update: LimitNews, now: float) -> bool:
        """Apply what another node observed, if that is newer; return whether the limit changed."""
        observed_at = now - max(0.0, update.age_s)
        if observed_at <= self.observed_at:
            return False
        return self._set(update.per_s, observed_at, False)

    def _loosens(self, per_s: float | None) -> bool:
        return self.per_s is not None and (per_s is None or per_s > self.per_s)

    def _set(self, per_s: float | None, observed_at: float, first_hand: bool) -> bool:
        changed = per_s != self.per_s
        if self.per_s is None:
            self.limited_since = observed_at
        self.per_s = per_s
        self.observed_at = observed_at
        self.first_hand = first_hand
        return changed

    def to_broadcast(self, now: float) -> LimitNews | None:
        """Return the update for other nodes, None if this node observed nothing itself.

        Updates from other nodes are not relayed, since each relay would make them seem a little
        newer.
        """
        if not self.first_hand:
            return None
        age_s = now - self.observed_at
        if self.per_s is None and age_s > REMOVAL_BROADCAST_S:
            return None
        return LimitNews(self.per_s, round(age_s, 3))
