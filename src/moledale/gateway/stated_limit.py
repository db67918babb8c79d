"""The limit that a server named, as one node believes it, by answers and by other nodes' word."""

import math

import msgspec

REMOVAL_BROADCAST_S = 3.0
"""Other nodes are told for so long that a limit is named no more: fifteen rounds of news."""


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """A limit as a node heard it itself, `age_s` ago; None if the server names none any more."""

    per_s: float | None
    age_s: float


class StatedLimit(msgspec.Struct):
    """Requests a second that a server takes from all nodes together, None if it names no limit.

    What was heard last counts, at `observed_at`; `limited_since` is when the first of the limits in a row was
    heard. Times are monotonic seconds.
    """

    per_s: float | None = None
    observed_at: float = -math.inf
    limited_since: float = 0.0
    first_hand: bool = False

    @property
    def is_known(self) -> bool:
        """Say whether any limit, or the end of one, was heard."""
        return self.observed_at > -math.inf

    def update_from_answer(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Take over what an answer named; say whether the limit changed.

        Answers overtake each other. One to a request from before the limit was heard last can
        lower it, but neither raise nor end it.
        """
        if self._loosens(per_s) and sent_at < self.observed_at:
            return False
        if per_s is None and self.per_s is None:
            return False
        return self._set(per_s, now, True)

    def update_from_peer(self, news: LimitNews, now: float) -> bool:
        """Take over what another node heard, if that is newer; say whether the limit changed."""
        observed_at = now - max(0.0, news.age_s)
        if observed_at <= self.observed_at:
            return False
        return self._set(news.per_s, observed_at, False)

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
        """Return what to tell other nodes, None if there is nothing that this one heard itself.

        What others told isn't told on: it would seem a little newer with each telling.
        """
        if not self.first_hand:
            return None
        age_s = now - self.observed_at
        if self.per_s is None and age_s > REMOVAL_BROADCAST_S:
            return None
        return LimitNews(self.per_s, round(age_s, 3))
