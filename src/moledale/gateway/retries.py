"""The budget of repeated sends to a service, shared by all nodes."""

from collections import deque
from collections.abc import Iterable

import msgspec

USABLE_SHARE = 0.6
"""Part of the allowed repeats that is used, since news of the others' repeats comes late."""

SLICE_S = 0.5
"""Grain of what is remembered of a window; it is kept this much too long rather than too short."""


class _Slice(msgspec.Struct):
    starts_at: float
    requests: int = 0
    retries: int = 0


class RetryBudget(msgspec.Struct):
    """Counts of one service over a sliding window of `window_s`."""

    ratio: float
    slack: float
    window_s: float
    _slices: deque[_Slice] = msgspec.field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Note a request of a caller."""
        self._slice(now).requests += 1

    def record_retry(self, now: float) -> None:
        """Note a send after the first one."""
        self._slice(now).retries += 1

    def counts(self, now: float) -> tuple[int, int]:
        """Return requests and repeats of the window."""
        self._slice(now)
        requests = sum(each.requests for each in self._slices)
        return requests, sum(each.retries for each in self._slices)

    def allows(self, now: float, others: Iterable[tuple[int, int]], nodes: int) -> bool:
        """Say whether one more repeat fits, with the counts that other nodes told."""
        requests, retries = self.counts(now)
        own_share = self.slack * USABLE_SHARE / max(1, nodes)
        if retries < self.ratio * USABLE_SHARE * requests + own_share:
            return True
        for other_requests, other_repeats in others:
            requests += other_requests
            retries += other_repeats
        return retries < (self.ratio * requests + self.slack) * USABLE_SHARE / 2

    def _slice(self, now: float) -> _Slice:
        while self._slices and self._slices[0].starts_at < now - self.window_s - SLICE_S:
            self._slices.popleft()
        if not self._slices or now - self._slices[-1].starts_at >= SLICE_S:
            self._slices.append(_Slice(now))
        return self._slices[-1]
