"""Decides which slots new requests leave free while streams have to move off leaving servers.

All nodes decide alike from loads that they know anyway: the requests on leaving servers, and the
free slots of those that stay. No message is needed. Rules:

- While streams wait to move, a new request is sent only if as many slots stay free as there are
  such streams; otherwise it is refused at once.
- A request that is sent goes to a server with more free slots than its part of these, if there is
  one.
- Nothing is refused while many slots are free.

Functions here are pure; times are in seconds.
"""

from collections.abc import Iterable, Sequence

import msgspec

MAX_ROOM_SLOT_SHARE = 2 / 3
"""With under this share of the known slots taken, nothing is refused. Requests that ended at other
nodes are known some tenths of a second later, and no refusal is allowed with under half of the
slots taken."""

PRIOR_WEIGHT = 2.0
"""Weight of the expected share of streams that have to move, in streams of this node. It decides at
nodes with few streams on leaving servers."""

MIN_ROOM_IN_S = 0.1
"""Shortest time after which a refused caller comes back: several round trips."""

RETURN_SHARE = 0.5
"""Share of the slots which become free that is counted on for waiting streams and callers who come
back; the others are for new requests."""

MIN_RETURNS_PER_S = 0.5
"""Minimum rate at which refused callers are asked to come back to a node."""

REASON = "slots are kept for streams that must move"


class LeavingLoad(msgspec.Struct, frozen=True):
    """Requests on a leaving server, which streams have to leave within `left_s`.

    `own` are those of this node, of which `late` would not end in time, `others` those of other
    nodes. A move is tried for `moving` of the late ones at present. The server has ended for
    certain in `gone_in_s`.
    """

    own: int
    late: int
    others: int
    left_s: float
    gone_in_s: float
    moving: int = 0


class Room(msgspec.Struct, frozen=True):
    """A server that takes new work, with its slots and the requests there, of this node alone too.

    Requests beyond its slots wait in its queue. Own streams that a move there is tried for are not
    among them, since they are among those that wait.
    """

    id: str
    slots: int
    running: int
    own_running: int = 0

    @property
    def free(self) -> int:
        """Return the slots that no request takes."""
        return max(0, self.slots - self.running)


def waiting_moves(loads: Iterable[LeavingLoad], hold_s: float) -> int:
    """Return how many streams of all nodes have to move off leaving servers.

    A node knows its own. Of those of other nodes, the same share is taken to be late; without own
    ones that follows from `hold_s`, the mean time that a request holds its slot. Where a move is
    tried, the request is counted at the target already, which other nodes can't tell apart.
    """
    waiting = 0.0
    for load in loads:
        ends_in_time = min(1.0, load.left_s / max(hold_s, 1e-3))
        expected_late = load.late - load.moving + PRIOR_WEIGHT * (1.0 - ends_in_time)
        waiting += load.late + load.others * expected_late / (load.own + PRIOR_WEIGHT)
    return round(waiting)


class Reservation(msgspec.Struct):
    """The slots kept for `waiting` streams, and those that requests take at the present servers.

    `full` are the servers whose free slots are all kept. `freed_per_s` is the rate at which slots
    become free, `own_freed_per_s` that by requests of this node, `hold_s` the mean time that a
    request holds its slot, and `gone_in_s` the time after which no stream waits any more.
    """

    waiting: int
    free: int
    taken: int
    slots: int
    full: frozenset[str]
    freed_per_s: float
    own_freed_per_s: float
    hold_s: float
    gone_in_s: float

    def record_sent(self) -> None:
        """Count a request that takes a slot."""
        self.free = max(0, self.free - 1)
        self.taken += 1

    @property
    def refuses(self) -> bool:
        """Return whether a new request would take a slot that a stream waits for."""
        return self.free <= self.waiting and self.taken >= MAX_ROOM_SLOT_SHARE * self.slots

    @property
    def room_in_s(self) -> float:
        """Return the time after which a new request is expected to find a slot."""
        missing = self.waiting - self.free + 1
        freed_in_s = missing / max(RETURN_SHARE * self.freed_per_s, 1e-3)
        return max(MIN_ROOM_IN_S, min(freed_in_s, self.gone_in_s))

    @property
    def latest_return_s(self) -> float:
        """Return the time by which each slot became free once after the moves."""
        return self.gone_in_s + self.hold_s

    @property
    def returns_per_s(self) -> float:
        """Return the rate at which this node may ask refused callers to come back."""
        return max(MIN_RETURNS_PER_S, RETURN_SHARE * self.own_freed_per_s)


def reserve(
    loads: Sequence[LeavingLoad], rooms: Sequence[Room], hold_s: float
) -> Reservation | None:
    """Return the slots to keep at servers that take new work, None if no stream waits to move."""
    waiting = waiting_moves(loads, hold_s)
    if not waiting or not rooms:
        return None
    free = sum(room.free for room in rooms)
    kept_share = min(1.0, waiting / free) if free else 1.0
    return Reservation(
        waiting,
        free,
        sum(min(room.running, room.slots) for room in rooms),
        sum(room.slots for room in rooms),
        frozenset(room.id for room in rooms if room.free - 1 < room.free * kept_share),
        sum(min(room.running, room.slots) for room in rooms) / max(hold_s, 1e-3),
        sum(room.own_running for room in rooms) / max(hold_s, 1e-3),
        hold_s,
        max(load.gone_in_s for load in loads),
    )
