"""The budget for retries to a service, shared by all nodes."""

from collections import deque
from collections.abc import Iterable

import msgspec

USABLE_SHARE = 0.6
"""Share of the allowed retries that is used, since the retry counts of peers arrive late."""

SLICE_S = 0.5
"""Resolution of the sliding window: counts stay up to this much too long, never too short."""


class _Slice(msgspec.Struct):
    starts_at: float
    requests: int = 0
    retries: int = 0


class RetryBudget(msgspec.Struct):
    """Request and retry counts of one service over a sliding window of `window_s`.

    `ratio` is the number of retries allowed for each request, and `slack` the number allowed on
    top.
    """

    ratio: float
    slack: float
    window_s: float
    _slices: deque[_Slice] = msgspec.field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._slice(now).requests += 1

    def record_retry(self, now: float) -> None:
        """Count a send after a request's first one."""
        self._slice(now).retries += 1

    def counts(self, now: float) -> tuple[int, int]:
        """Return the requests and retries in the window."""
        self._slice(now)
        requests = sum(each.requests for each in self._slices)
        return requests, sum(each.retries for each in self._slices)

    def allows(self, now: float, peer_counts: Iterable[tuple[int, int]], nodes: int) -> bool:
        """Return whether one more retry fits, given the counts that peers reported.

        A node may use its own part of the budget whatever peers report. Beyond that, all nodes
        together must have used less than half of the usable budget.
        """
        requests, retries = self.counts(now)
        own_share = self.slack * USABLE_SHARE / max(1, nodes)
        if retries < self.ratio * USABLE_SHARE * requests + own_share:
            return True
        for peer_requests, peer_retries in peer_counts:
            requests += peer_requests
            retries += peer_retries
        return retries < (self.ratio * requests + self.slack) * USABLE_SHARE / 2

    def _slice(self, now: float) -> _Slice:
        while self._slices and self._slices[0].starts_at < now - self.window_s - SLICE_S:
            self._slices.popleft()
        if not self._slices or now - self._slices[-1].starts_at >= SLICE_S:
            self._slices.append(_Slice(now))
        return self._slices[-1]
