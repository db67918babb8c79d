"""Sums up the work that all nodes have placed, from the counters in their states."""

from collections.abc import Iterable

import msgspec

from moledale.gateway.peers import Membership, NodeState, serves
from moledale.scheduling.unheard import NodeReport


class WorkMeter(msgspec.Struct):
    """Sums up, by service, the work that each incarnation of a node placed since it is known here.

    Work counted before the first state of an incarnation is left out: a starting node receives all
    past counts at once, and they are not current demand.
    """

    total: dict[str, int] = msgspec.field(default_factory=dict)
    _counted: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)

    def record(self, incarnation: int, work: dict[str, int]) -> None:
        """Add the increase of an incarnation's counters since its last ones."""
        before = self._counted.get(incarnation)
        self._counted[incarnation] = dict(work)
        if before is None:
            return
        for service, amount in work.items():
            increase = max(0, amount - before.get(service, 0))
            self.total[service] = self.total.get(service, 0) + increase

    def merge_peers(self, states: Iterable[NodeState]) -> None:
        """Record the counters of other nodes, and drop incarnations that are no longer known."""
        incarnations = set()
        for state in states:
            incarnations.add(state.life)
            self.record(state.life, state.work)
        for incarnation in set(self._counted) - incarnations - {OWN_INCARNATION}:
            del self._counted[incarnation]


OWN_INCARNATION = -1
"""Key of this process, whose counters are recorded from the beginning and never dropped."""


def node_reports(
    members: Membership, own_work: dict[str, int], serving: bool, now: float
) -> list[NodeReport]:
    """Return the last reports of all known incarnations of nodes, this one included.

    Only the latest incarnation of a node may still be reached by callers.
    """
    reports = [NodeReport(OWN_INCARNATION, now, dict(own_work), serving, now)]
    for current, known in ((True, members.members.values()), (False, members.former)):
        for each in known:
            state = each.state
            work = None if state.brief else state.work
            reachable = current and serves(state)
            reports.append(
                NodeReport(state.life, each.last_seen_at, work, reachable, each.counted_at)
            )
    return reports
