"""How much work all nodes have placed, from counters that each of them tells."""

from collections.abc import Iterable

import msgspec

from moledale.gateway.peers import NodeState


class WorkMeter(msgspec.Struct):
    """Adds up, by service, what each life of each node placed while it was heard here.

    What a life had counted before it was first heard is left out: a node that starts hears of all
    the past at once, which is no demand of the moment.
    """

    total: dict[str, int] = msgspec.field(default_factory=dict)
    _counted: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)

    def record(self, life: int, work: dict[str, int]) -> None:
        """Take over the counters of a node's life."""
        before = self._counted.get(life)
        self._counted[life] = dict(work)
        if before is None:
            return
        for service, amount in work.items():
            more = max(0, amount - before.get(service, 0))
            self.total[service] = self.total.get(service, 0) + more

    def merge_peers(self, states: Iterable[NodeState]) -> None:
        """Take over what other nodes told, and forget lives that are remembered no more."""
        lives = set()
        for state in states:
            lives.add(state.life)
            self.record(state.life, state.work)
        for life in set(self._counted) - lives - {OWN_INCARNATION}:
            del self._counted[life]


OWN_INCARNATION = -1
"""Stands for this process; its counters are known from their beginning."""
