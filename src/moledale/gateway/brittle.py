"""Servers that end when they must reject too many requests in a second.

The servers of a service state for some time, in all their answers, how many rejections a second end
them. Rejected requests of all nodes count, and they come at once when a server is full, so no node
can react to them alone. Instead a server gets no more requests than it has slots, none of which
would be queued there: an engine by the load that all nodes report within milliseconds, a plain
server by a fixed share of its slots for each serving node, since its requests end before other
nodes hear of them. This module uses no clock and no socket.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from moledale.core.hashing import ranked
from moledale.log import Event, emit

RETENTION_S = 5.0
"""A service counts as brittle for this long after the last statement: a node may get few answers of
it."""

ENGINE_ROOM_SHARE = 0.875
"""Share of an engine's slots that are used while it is brittle. The rest covers requests that other
nodes placed in the last milliseconds."""

MAX_HOLD_S = 1.0
"""Longest time for which a brittle server that rejected a request gets none: that over which it
counts rejections."""


class BrittleNews(msgspec.Struct, frozen=True, array_like=True):
    """A statement that a node received `age_s` ago: how many rejections a second end a server."""

    max_rejections: int
    age_s: float


class Statement(msgspec.Struct):
    """The last statement about a service; `at` is in monotonic seconds, `own_at` if made here."""

    max_rejections: int
    at: float
    own_at: float = -math.inf


class BrittleServices:
    """The services whose servers stated recently that they are brittle.

    `nodes` is how many nodes send requests.
    """

    def __init__(self) -> None:
        self.nodes = 1
        self._statements: dict[str, Statement] = {}

    def hold_s(self, service: str) -> float:
        """Return for how long a server that rejected a request gets none.

        All nodes together send it fewer rejected requests a second than end it.
        """
        allowed = self._statements[service].max_rejections
        return MAX_HOLD_S if allowed <= self.nodes else MAX_HOLD_S * self.nodes / allowed

    def record(self, service: str, max_rejections: int, now: float) -> bool:
        """Record a statement in an answer; return whether the service was not brittle before."""
        is_new = self._merge(service, max_rejections, now, "answer")
        self._statements[service].own_at = now
        return is_new

    def merge(self, news: dict[str, BrittleNews], source: str, now: float) -> None:
        """Merge the statements that another node received."""
        for service, each in news.items():
            at = now - max(0.0, each.age_s)
            if now - at < RETENTION_S:
                self._merge(service, each.max_rejections, at, source)

    def _merge(self, service: str, max_rejections: int, at: float, source: str) -> bool:
        known = self._statements.get(service)
        if known is not None and at >= known.at:
            known.at, known.max_rejections = at, max_rejections
        elif known is None:
            self._statements[service] = Statement(max_rejections, at)
            emit(
                Event.SERVICE_BRITTLE,
                service=service,
                max_rejections=max_rejections,
                source=source,
            )
        return known is None

    def expire(self, now: float) -> None:
        """Forget the services that no statement was received of for some time."""
        for service in [name for name, each in self._statements.items() if _is_old(each.at, now)]:
            del self._statements[service]
            emit(Event.SERVICE_BRITTLE, service=service, max_rejections=None, source="time")

    def is_brittle(self, service: str) -> bool:
        """Return whether the service's servers are brittle."""
        return service in self._statements

    def count(self) -> int:
        """Return how many services are brittle."""
        return len(self._statements)

    def to_broadcast(self, now: float) -> dict[str, BrittleNews]:
        """Return the statements that this node received itself, for other nodes."""
        return {
            service: BrittleNews(each.max_rejections, round(now - each.own_at, 3))
            for service, each in self._statements.items()
            if not _is_old(each.own_at, now)
        }


def _is_old(at: float, now: float) -> bool:
    return now - at > RETENTION_S


def engine_room(slots: int) -> int:
    """Return how many requests of all nodes a brittle engine may get at a time."""
    return max(1, int(slots * ENGINE_ROOM_SHARE))


def own_rooms(own: str, serving: Sequence[str], slots: dict[str, int]) -> dict[str, int]:
    """Return how many requests of a node each brittle plain server may get at a time.

    `slots` are those of a service's servers by id. The shares of the serving nodes add up to them.
    A node without any share, or in reserve, may use one slot of one server.
    """
    rooms = {name: _own_share(own, serving, name, count) for name, count in slots.items()}
    if slots and not any(rooms.values()):
        rooms[ranked(own, slots)[0]] = 1
    return rooms


class OwnRooms:
    """Keeps the result of `own_rooms` by service until the nodes or the servers change."""

    def __init__(self) -> None:
        self._kept: dict[str, tuple[tuple[str, ...], dict[str, int], dict[str, int]]] = {}

    def of(
        self, service: str, own: str, serving: Sequence[str], slots: dict[str, int]
    ) -> dict[str, int]:
        """Return how many requests of a node each server of a service may get at a time."""
        nodes = tuple(serving)
        kept = self._kept.get(service)
        if kept is None or kept[:2] != (nodes, slots):
            kept = self._kept[service] = (nodes, slots, own_rooms(own, nodes, slots))
        return kept[2]


def _own_share(own: str, serving: Iterable[str], server: str, slots: int) -> int:
    order = ranked(server, serving)
    if own not in order:
        return 0
    whole, rest = divmod(slots, len(order))
    return whole + (order.index(own) < rest)
