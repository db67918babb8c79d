"""Maps the priorities of accounts and routes to the priority that is sent to model engines.

An engine knows ten priorities, 0 to 9, and admits requests by them alone. A caller's priority (its
account's, or the route's if the account has none) stays the leading criterion. Among callers of the
same priority, the route's priority comes next, then the route's target: a short target first.

The mapping ranks the combinations that a plan allows for one service, so it uses as few of the ten
priorities as there are combinations. If there are more than ten, the targets are ignored first.
After that, neighbouring routes of the same caller priority share a priority; two caller priorities
never do. All nodes with the same plan send the same priorities.
"""

from bisect import bisect_right
from itertools import groupby

import msgspec

from moledale.gateway.plan import PlanIndex, Route

HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9
"""Range of the priorities that an engine knows; the lowest number is the most urgent."""

PRIORITY_COUNT = LOWEST_PRIORITY - HIGHEST_PRIORITY + 1


class UrgencyKey(msgspec.Struct, frozen=True, order=True):
    """Sort key of a request's urgency; lower keys are more urgent."""

    caller_priority: int
    route_priority: int
    target_s: float


class PriorityTable(msgspec.Struct, frozen=True):
    """Engine priorities of the urgency keys that a plan allows for one service, in order."""

    keys: list[UrgencyKey]
    levels: list[int]

    def level(self, key: UrgencyKey) -> int:
        """Return the engine priority of a key.

        A key that the plan does not have, as after a change of the plan, gets that of the next more
        urgent one.
        """
        return self.levels[max(0, bisect_right(self.keys, key) - 1)]


class EnginePriorities:
    """Engine priorities under the plan in force; the table of each service is built on first use.

    The tables of the previous plan are dropped when a request comes under a new one.
    """

    def __init__(self) -> None:
        self._index: PlanIndex | None = None
        self._tables: dict[str, PriorityTable] = {}

    def level(
        self, index: PlanIndex, service: str, caller_priority: int | None, route: Route
    ) -> int:
        """Return the engine priority of a caller's request for a route."""
        if index is not self._index:
            self._index = index
            self._tables = {}
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = priority_table(index, service)
        return table.level(urgency_key(caller_priority, route))


def urgency_key(caller_priority: int | None, route: Route) -> UrgencyKey:
    """Return the sort key of a request; without a caller priority, the route's applies."""
    leading = route.priority if caller_priority is None else caller_priority
    return UrgencyKey(clamped_priority(leading), clamped_priority(route.priority), route.target_s)


def priority_table(index: PlanIndex, service: str) -> PriorityTable:
    """Return the engine priorities of all keys that a plan allows for a service."""
    keys = sorted(_possible_keys(index, service))
    if not keys:
        return PriorityTable([UrgencyKey(HIGHEST_PRIORITY, HIGHEST_PRIORITY, 0.0)], [0])
    if len(keys) <= PRIORITY_COUNT:
        return PriorityTable(keys, list(range(len(keys))))
    ranks = sorted({_without_target(key) for key in keys})
    if len(ranks) <= PRIORITY_COUNT:
        levels = {rank: level for level, rank in enumerate(ranks)}
    else:
        levels = _merged_levels(ranks)
    return PriorityTable(keys, [levels[_without_target(key)] for key in keys])


def _possible_keys(index: PlanIndex, service: str) -> set[UrgencyKey]:
    accounts = index.accounts.values()
    priorities = {each.priority for each in accounts if each.priority is not None}
    routes = [
        route
        for route in index.plan.routes
        if any(share.service == service for share in route.split)
    ]
    own = {urgency_key(None, route) for route in routes}
    return own | {urgency_key(priority, route) for priority in priorities for route in routes}


def _without_target(key: UrgencyKey) -> tuple[int, int]:
    return key.caller_priority, key.route_priority


def _merged_levels(ranks: list[tuple[int, int]]) -> dict[tuple[int, int], int]:
    """Return levels where each caller priority has at least one, and the rest go round in turn."""
    groups = [list(group) for _, group in groupby(ranks, key=lambda rank: rank[0])]
    sizes = [1] * len(groups)
    while sum(sizes) < PRIORITY_COUNT:
        growing = min(
            (number for number, group in enumerate(groups) if sizes[number] < len(group)),
            key=lambda number: sizes[number],
        )
        sizes[growing] += 1
    levels = {}
    first = HIGHEST_PRIORITY
    for group, size in zip(groups, sizes, strict=True):
        for number, rank in enumerate(group):
            levels[rank] = first + number * size // len(group)
        first += size
    return levels


def clamped_priority(priority: int) -> int:
    """Return a priority within the range that an engine knows."""
    return min(LOWEST_PRIORITY, max(HIGHEST_PRIORITY, priority))
