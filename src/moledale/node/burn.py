"""Error budget burn rates, from good and bad requests per account, priority and minute."""

from collections import deque

import msgspec
from hdrh.histogram import HdrHistogram

from moledale.bundle.schema import Bundle, Priority

MINUTE_S = 60
RETENTION_MINUTES = 60 * 24
WINDOWS_S = {"5m": 300, "1h": 3_600, "6h": 21_600, "24h": 86_400}
_MAX_FIRST_TOKEN_MS = 600_000
"""Maximum of the histograms; longer times to first token are recorded as this."""


class BurnCount(msgspec.Struct):
    """Requests of one account and priority in one minute; `minute` counts from the Unix epoch."""

    minute: int
    account: str
    priority: Priority
    good: int = 0
    bad: int = 0


class BurnPage(msgspec.Struct, frozen=True):
    """A node's counts, and its time to first token by priority (p50, p95, p99 in ms)."""

    node: str
    counts: list[BurnCount]
    first_token_ms: dict[str, list[float]]


class BurnRow(msgspec.Struct, frozen=True):
    """Requests and burn rate of one account and priority, by window.

    A burn rate of 1.0 uses up the error budget exactly at the rate that the objective allows.
    """

    account: str
    priority: Priority
    objective: float
    requests: dict[str, int]
    burn: dict[str, float]


class BurnCounter:
    """Counts good and bad requests and records times to first token on one node."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._counts: deque[BurnCount] = deque()
        self._current: dict[tuple[str, Priority], BurnCount] = {}
        self._minute = 0
        self._first_token_ms = {
            priority: HdrHistogram(1, _MAX_FIRST_TOKEN_MS, 2) for priority in Priority
        }

    def record_request(self, account: str, priority: Priority, good: bool, wall: float) -> None:
        """Count one finished request, at a wall-clock time in seconds."""
        minute = int(wall // MINUTE_S)
        if minute != self._minute:
            self._minute = minute
            self._current = {}
            self._drop_old(minute)
        count = self._current.get((account, priority))
        if count is None:
            count = BurnCount(minute, account, priority)
            self._current[(account, priority)] = count
            self._counts.append(count)
        if good:
            count.good += 1
        else:
            count.bad += 1

    def record_first_token(self, priority: Priority, seconds: float) -> None:
        """Record a time to first token."""
        self._first_token_ms[priority].record_value(
            min(_MAX_FIRST_TOKEN_MS, max(1, round(seconds * 1000)))
        )

    def page(self) -> BurnPage:
        """Return the counts of the retention period and the percentiles of time to first token."""
        percentiles = {
            priority.value: [histogram.get_value_at_percentile(p) for p in (50, 95, 99)]
            for priority, histogram in self._first_token_ms.items()
            if histogram.get_total_count()
        }
        return BurnPage(self._node, list(self._counts), percentiles)

    def _drop_old(self, minute: int) -> None:
        while self._counts and self._counts[0].minute <= minute - RETENTION_MINUTES:
            self._counts.popleft()


def burn_rows(bundle: Bundle, counts: list[BurnCount], wall: float) -> list[BurnRow]:
    """Return a row per account and priority, from the counts of any number of nodes."""
    groups = sorted({(count.account, count.priority) for count in counts})
    rows = []
    for account, priority in groups:
        objective = bundle.target(priority).objective
        requests: dict[str, int] = {}
        burn: dict[str, float] = {}
        for name, seconds in WINDOWS_S.items():
            since = (wall - seconds) / MINUTE_S
            inside = [
                c
                for c in counts
                if (c.account, c.priority) == (account, priority) and c.minute + 1 > since
            ]
            bad = sum(c.bad for c in inside)
            total = bad + sum(c.good for c in inside)
            requests[name] = total
            burn[name] = round(bad / total / (1 - objective), 2) if total else 0.0
        rows.append(BurnRow(account, priority, objective, requests, burn))
    return rows
