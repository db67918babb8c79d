"""What the plan in force and the scheduling features state about services and their requests."""

from collections.abc import Callable

from moledale.gateway.job import Job
from moledale.gateway.plan import Engine, PlanIndex
from moledale.scheduling.engine_priority import EnginePriorities
from moledale.scheduling.switches import Feature, Switches


class PlanLookup:
    """Looks services up; `index` returns the plan in force, None before the first one."""

    def __init__(self, index: Callable[[], PlanIndex | None], switches: Switches) -> None:
        self._index = index
        self._switches = switches
        self._engine_priorities = EnginePriorities()

    def applies(self, feature: Feature, service: str) -> bool:
        """Return whether a scheduling feature applies to a service."""
        return self._switches.applies(feature, self._index(), service)

    def may_refuse(self, service: str) -> bool:
        """Return whether overload control decides on requests for a service."""
        return self.applies(Feature.OVERLOAD, service)

    def engine(self, name: str) -> Engine | None:
        """Return the engine of a service, None if its servers run none."""
        index = self._index()
        assert index is not None
        service = index.services.get(name)
        return service.engine if service is not None else None

    def priority(self, job: Job) -> int | None:
        """Return the priority that is sent to the servers with a request."""
        index = self._index()
        if index is None or not self._switches.applies(Feature.OVERLOAD, index, job.service):
            return job.caller.priority
        return self._engine_priorities.level(index, job.service, job.caller.priority, job.route)
