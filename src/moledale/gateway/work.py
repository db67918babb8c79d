"""Sums up the work that all nodes have placed, from the counters in their states."""

from collections.abc import Iterable

import msgspec

from moledale.gateway.peers import NodeState


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
