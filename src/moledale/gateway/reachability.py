"""Whether this node reaches the servers of each service, from the outcomes of its connections.

A server that takes no connection may have ended. If none of several servers takes one, the links of
this node are more likely lost than all of these servers, and the other nodes may still reach them.
This module uses no clock and no socket.
"""

import msgspec

from moledale.log import Event, emit

UNREACHABLE_SERVERS = 2
"""Different servers that fail to take a connection, without one that does, before the service
counts as unreachable; fewer if the service has fewer."""

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

    def _service(self, name: str) -> ServiceReach:
        return self._services.setdefault(name, ServiceReach())

    def record_answer(self, service: str, now: float) -> None:
        """Record that a server of the service sent an answer."""
        self._service(service).reached_at = now

    def record_connected(self, service: str, now: float) -> None:
        """Record that a server of the service took a new connection."""
        reach = self._service(service)
        reach.reached_at = now
        reach.failed.clear()
        if reach.lost_at is not None:
            emit(Event.SERVICE_REACHED, service=service, after_s=round(now - reach.lost_at, 3))
            reach.lost_at = None

    def record_failed(self, service: str, server: str, listed: int, now: float) -> None:
        """Record that a server took no connection; `listed` is how many the service has."""
        reach = self._service(service)
        reach.failed.add(server)
        if reach.lost_at is None and len(reach.failed) >= min(UNREACHABLE_SERVERS, listed):
            reach.lost_at = now
            emit(
                Event.SERVICE_UNREACHABLE,
                service=service,
                failed=sorted(reach.failed)[:MAX_LOGGED_SERVERS],
                listed=listed,
                reached_s=round(now - reach.reached_at, 3) if reach.reached_at > NEVER else None,
            )

    def unreachable(self) -> list[str]:
        """Return the services of which this node reaches no server."""
        return sorted(name for name, each in self._services.items() if each.lost_at is not None)

    def reached_recently(self, now: float) -> list[str]:
        """Return the services of which a server was reached recently."""
        return sorted(
            name
            for name, each in self._services.items()
            if now - each.reached_at < REACHED_RECENTLY_S
        )
