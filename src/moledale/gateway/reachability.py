"""Whether this node reaches the servers of each service, from the outcomes of its connections.

A server that takes no connection may have ended. If none of several servers takes one, the links of
this node are more likely lost than all of these servers, and other nodes may still reach them. This
module uses no clock and no socket.
"""

import msgspec

from moledale.log import Event, emit

MIN_SERVERS = 2
"""Different servers that have to fail, one after the other, before a service is suspected to be
unreachable; fewer if the service has fewer."""

REACHED_RECENTLY_S = 1.0
"""A service counts as reached recently for this long after an answer or a new connection."""

MAX_LOGGED_SERVERS = 8
"""Servers in the log line of an unreachable service."""

NEVER = -1e9
"""Monotonic time of something that did not happen."""


class ServiceReach(msgspec.Struct):
    """The connections of this node to the servers of one service; times are monotonic seconds.

    `failed` holds the servers that took no connection since the last one that did. `lost_at` is
    when the service became unreachable, None while it is reachable.
    """

    failed: set[str] = msgspec.field(default_factory=set)
    reached_at: float = NEVER
    lost_at: float | None = None


class Reachability:
    """Records the outcomes of connections by service."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceReach] = {}

    def service(self, name: str) -> ServiceReach:
        """Return what is known of a service."""
        return self._services.setdefault(name, ServiceReach())

    def record_answer(self, service: str, now: float) -> None:
        """Record that a server of the service sent an answer, maybe on an earlier connection."""
        self.service(service).reached_at = now

    def record_connected(self, service: str, now: float) -> None:
        """Record that a server of the service took a new connection."""
        reach = self.service(service)
        reach.reached_at = now
        reach.failed.clear()

    def record_failed(self, service: str, server: str) -> None:
        """Record that a server took no connection or fell silent."""
        self.service(service).failed.add(server)

    def is_suspect(self, service: str, listed: int) -> bool:
        """Return whether so many servers failed that the service may be unreachable."""
        reach = self.service(service)
        return reach.lost_at is None and 0 < min(MIN_SERVERS, listed) <= len(reach.failed)

    def record_lost(self, service: str, listed: int, now: float) -> None:
        """Record that the service is unreachable."""
        reach = self.service(service)
        if reach.lost_at is not None:
            return
        reach.lost_at = now
        emit(
            Event.SERVICE_UNREACHABLE,
            service=service,
            failed=sorted(reach.failed)[:MAX_LOGGED_SERVERS],
            listed=listed,
            reached_s=round(now - reach.reached_at, 3) if reach.reached_at > NEVER else None,
        )

    def record_restored(self, service: str, now: float) -> None:
        """Record that the service is reachable again."""
        reach = self.service(service)
        if reach.lost_at is not None:
            emit(Event.SERVICE_REACHED, service=service, after_s=round(now - reach.lost_at, 3))
            reach.lost_at = None

    def is_unreachable(self, service: str) -> bool:
        """Return whether this node reaches no server of the service."""
        return self.service(service).lost_at is not None

    def unreachable(self) -> list[str]:
        """Return the services of which this node reaches no server."""
        return self.unreachable_for(0.0, 0.0)

    def unreachable_for(self, at_least_s: float, now: float) -> list[str]:
        """Return the services that have been unreachable for some time."""
        return sorted(
            name
            for name, each in self._services.items()
            if each.lost_at is not None and now - each.lost_at >= at_least_s
        )

    def reached_recently(self, now: float) -> list[str]:
        """Return the services of which a server was reached recently."""
        return sorted(
            name
            for name, each in self._services.items()
            if now - each.reached_at < REACHED_RECENTLY_S
        )
