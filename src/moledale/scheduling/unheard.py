"""Infers the load of nodes that are not heard, from what they reported before.

Callers still reach a node that is cut off from its peers, so its demand counts on for a while. It
decays, since a node that stays silent has more likely ended, and its callers have moved to others.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

SILENT_S = 1.2
"""A node counts as silent after this time: in a large cluster some nodes send once a second."""

HOLD_S = 5.0
"""The rate of a silent node counts in full for this long: the order and the boot of a server. An
order for its demand would otherwise be withdrawn before the server starts."""

FORGET_S = 10.0
"""After this time the rate of a silent node counts no more. Callers of a node that ended have found
others within twice the time for which they cache addresses (2 s)."""

RATE_WINDOW_S = 3.0
"""Window of a node's last known rate. A node with 2 requests per second places 6 in it; a longer
window would follow a burst too late."""

MIN_RATE_WINDOW_S = 1.0
"""Minimum time between the first and the last report of a node for its rate to be known."""

MAX_UNHEARD_SHARE = 0.9
"""Maximum share of the demand that is taken as not heard when the load that is heard is scaled up:
a node that hears almost no others must not multiply its own load without a bound."""


class NodeReport(msgspec.Struct, frozen=True):
    """The last state of one incarnation of a node.

    `work` is its counter of placed prefill work by service, None if it is unknown. `serves` is set
    if callers may still reach the node: it serves, and is neither leaving nor replaced.
    `counted_at` is the time of the counter, which may be older than the state: nodes in reserve get
    states without counters.
    """

    incarnation: int
    seen_at: float
    work: dict[str, int] | None
    serves: bool
    counted_at: float


class _Node(msgspec.Struct):
    """Reports of one incarnation, and the work that was inferred since the last one."""

    reports: deque[tuple[float, dict[str, int]]] = msgspec.field(default_factory=deque)
    inferred: dict[str, float] = msgspec.field(default_factory=dict)

    def rates(self) -> dict[str, float] | None:
        """Return the work per second by service over the last reports, None if unknown."""
        if not self.reports:
            return None
        (begin, first), (end, last) = self.reports[0], self.reports[-1]
        if end - begin < MIN_RATE_WINDOW_S:
            return None
        return {
            service: max(0.0, (amount - first.get(service, 0)) / (end - begin))
            for service, amount in last.items()
        }

    def add_report(self, counted_at: float, work: dict[str, int]) -> None:
        """Add a report and drop those before the window."""
        self.reports.append((counted_at, work))
        while counted_at - self.reports[0][0] > RATE_WINDOW_S:
            self.reports.popleft()
        self.inferred.clear()


class UnheardWork(msgspec.Struct):
    """Sums up the work that all nodes place, with that of silent nodes inferred.

    `total` is the work by service since this object was made, `heard_per_s` and `unheard_per_s` are
    the rates of nodes that are heard and the inferred ones, and `unheard_nodes` is the number of
    nodes with an inferred rate. Work before the first report of an incarnation is left out.
    """

    total: dict[str, float] = msgspec.field(default_factory=dict)
    heard_per_s: dict[str, float] = msgspec.field(default_factory=dict)
    unheard_per_s: dict[str, float] = msgspec.field(default_factory=dict)
    unheard_nodes: int = 0
    _nodes: dict[int, _Node] = msgspec.field(default_factory=dict)
    _updated_at: float | None = None

    def update(self, reports: Iterable[NodeReport], now: float) -> None:
        """Add what was placed since the last update; `reports` are of all known incarnations."""
        known = list(reports)
        step_s = 0.0 if self._updated_at is None else now - self._updated_at
        for report in known:
            self._record(report, step_s)
        for incarnation in self._nodes.keys() - {each.incarnation for each in known}:
            del self._nodes[incarnation]
        self._infer(known, step_s, now)
        self._updated_at = now

    def unheard_share(self, service: str) -> float:
        """Return the share of a service's demand that is inferred."""
        unheard = self.unheard_per_s.get(service, 0.0)
        total = unheard + self.heard_per_s.get(service, 0.0)
        return unheard / total if total > 0 else 0.0

    def scale(self, service: str) -> float:
        """Return the factor from the load that is heard to that of all nodes."""
        return 1.0 / (1.0 - min(MAX_UNHEARD_SHARE, self.unheard_share(service)))

    def _record(self, report: NodeReport, step_s: float) -> None:
        node = self._nodes.setdefault(report.incarnation, _Node())
        if report.work is None:
            return
        if node.reports:
            counted_at, before = node.reports[-1]
            if report.counted_at <= counted_at:
                return
            self._count(node, before, report.work, report.counted_at - counted_at, step_s)
        node.add_report(report.counted_at, report.work)

    def _count(
        self,
        node: _Node,
        before: dict[str, int],
        work: dict[str, int],
        gap_s: float,
        step_s: float,
    ) -> None:
        """Add the increase of a node's counters over `gap_s`, without what was inferred of it.

        Of a longer gap only the last `step_s` counts: the rest was placed too long ago to be
        current demand.
        """
        for service, amount in work.items():
            increase = max(0, amount - before.get(service, 0))
            added = max(0.0, increase - node.inferred.get(service, 0.0))
            if gap_s > SILENT_S:
                added = min(added, increase * step_s / gap_s)
            self.total[service] = self.total.get(service, 0.0) + added

    def _infer(self, reports: list[NodeReport], step_s: float, now: float) -> None:
        """Add the work that silent nodes placed within `step_s`, and set the rates."""
        heard = [each for each in reports if now - each.seen_at <= SILENT_S]
        self.heard_per_s, mean_rates = self._heard_rates(heard)
        self.unheard_per_s = {}
        self.unheard_nodes = 0
        for report in reports:
            weight = _weight(now - report.seen_at)
            if not report.serves or weight == 0.0:
                continue
            node = self._nodes[report.incarnation]
            rates = node.rates()
            self.unheard_nodes += 1
            for service, per_s in (mean_rates if rates is None else rates).items():
                self.unheard_per_s[service] = self.unheard_per_s.get(service, 0.0) + weight * per_s
                placed = weight * per_s * step_s
                node.inferred[service] = node.inferred.get(service, 0.0) + placed
                self.total[service] = self.total.get(service, 0.0) + placed

    def _heard_rates(self, heard: list[NodeReport]) -> tuple[dict[str, float], dict[str, float]]:
        """Return the rates of nodes that are heard: their sum, and the mean of those that serve."""
        total: dict[str, float] = {}
        serving: dict[str, float] = {}
        known = 0
        for report in heard:
            rates = self._nodes[report.incarnation].rates()
            if rates is None:
                continue
            known += report.serves
            for service, per_s in rates.items():
                total[service] = total.get(service, 0.0) + per_s
                if report.serves:
                    serving[service] = serving.get(service, 0.0) + per_s
        return total, {service: per_s / known for service, per_s in serving.items()}


def _weight(silent_s: float) -> float:
    """Return the share of its last rate that counts for a node that was silent for so long."""
    if silent_s <= SILENT_S:
        return 0.0
    return max(0.0, min(1.0, (FORGET_S - silent_s) / (FORGET_S - HOLD_S)))
