"""Which scheduling features apply to a service, by the settings and the plan in force."""

from enum import StrEnum

from moledale.gateway.plan import Kind, PlanIndex
from moledale.gateway.settings import Scheduling


class Feature(StrEnum):
    """A scheduling feature; the value is the name of its setting."""

    EVACUATION = "evacuation"
    OVERLOAD = "overload"
    FAIR_SHARES = "fair_shares"
    PERFORMANCE = "performance"
    UNHEARD_LOAD = "unheard_load"
    MOVE_SLOTS = "move_slots"
    LOSS_SERIES = "loss_series"
    BACKUPS = "backups"
    ENGINE_MEMORY = "engine_memory"


class Switches:
    """Decides which features apply; `settings` may be replaced by a reload."""

    def __init__(self, settings: Scheduling) -> None:
        self.settings = settings
        self._index: PlanIndex | None = None
        self._max_pause_s = -1.0
        self._services: frozenset[str] = frozenset()

    def applies(self, feature: Feature, index: PlanIndex | None, service: str) -> bool:
        """Return whether a feature applies to a service under the plan `index`."""
        if index is None or not getattr(self.settings, feature.value):
            return False
        max_pause_s = self.settings.max_pause_s
        if index is not self._index or max_pause_s != self._max_pause_s:
            self._index = index
            self._max_pause_s = max_pause_s
            self._services = latency_sensitive_services(index, max_pause_s)
        return service in self._services


def latency_sensitive_services(index: PlanIndex, max_pause_s: float) -> frozenset[str]:
    """Return the engine services with a stream route that allows pauses of at most `max_pause_s`.

    A route that states no pause does not count.
    """
    return frozenset(
        share.service
        for route in index.plan.routes
        if route.kind is Kind.STREAM and 0 < route.gap_s <= max_pause_s
        for share in route.split
        if _has_engine(index, share.service)
    )


def _has_engine(index: PlanIndex, name: str) -> bool:
    service = index.services.get(name)
    return service is not None and service.engine is not None
