"""A node's side of one server's evacuation: when to report its streams, and which plan it follows.

A node follows the orders of the coordinator while that answers, and its own plan otherwise.
"""

from collections.abc import Container, Sequence
from enum import Enum

import msgspec

from moledale.scheduling.evacuation import StreamOffer
from moledale.scheduling.evacuation_coordinator import EvacuationOrder

PLAN_TIMEOUT_S = 0.15
"""A node follows its own plan if the coordinator does not answer a report for this long. That is
the time for collecting reports (10 ms) and a round trip between halls (3 ms) several times over,
and a twentieth of a notice of 3 s."""

MIN_REPORT_INTERVAL_S = 0.05
"""Minimum interval between two reports on a server, which bounds the bytes sent."""

REFRESH_INTERVAL_S = 0.4
"""Streams that got no place in a plan, or a coordinator that does not answer, are reported again
after this time: two gossip rounds, in which the known loads of targets change."""

MAX_STREAMS_PER_REPORT = 40
"""Maximum streams in one report: about 1.2 KB, which fits a datagram. The others follow once some
of these have moved."""


StreamNews = tuple[int, tuple[str, ...]]
"""The number of a stream, and the targets that refused it."""


class Mode(Enum):
    """Which plan a node follows: none yet, the coordinator's, or its own."""

    WAITING = "waiting"
    ORDERED = "ordered"
    ALONE = "alone"


class OrderedMove(msgspec.Struct, frozen=True):
    """A move that is ordered to start at `start_at` on the node's clock."""

    serial: int
    start_at: float
    target: str
    counted: bool


class FollowedPlan(msgspec.Struct):
    """The reports that a node sent on one server, and the orders that it received.

    A stream whose move was tried and that waits again is reported, since its order is used up.
    """

    sequence: int = 0
    _reported_at: float = -1e9
    _reported_end: float = 0.0
    _unanswered_since: float | None = None
    _heard_at: float = -1e9
    _heard: bool = False
    _reported: set[StreamNews] = msgspec.field(default_factory=set)
    _moves: dict[int, OrderedMove] = msgspec.field(default_factory=dict)
    _tried: set[int] = msgspec.field(default_factory=set)
    _revisions: dict[str, int] = msgspec.field(default_factory=dict)

    def report_due(self, offers: Sequence[StreamOffer], ends_at: float, now: float) -> bool:
        """Return whether the streams, or another end of their server, should be reported now."""
        if now - self._reported_at < MIN_REPORT_INTERVAL_S:
            return False
        if self.sequence and ends_at != self._reported_end:
            return True
        waiting = _signature(offers)
        if waiting - self._reported or self._tried & {serial for serial, _ in waiting}:
            return True
        if self._moves.keys() - {offer.serial for offer in offers}:
            return True
        unplanned = {serial for serial, _ in waiting} - self._moves.keys()
        return bool(unplanned) and now - self._reported_at >= REFRESH_INTERVAL_S

    def record_report(self, offers: Sequence[StreamOffer], ends_at: float, now: float) -> int:
        """Record that the streams are reported now; return the number of the report."""
        self.sequence += 1
        self._reported_at = now
        self._reported_end = ends_at
        self._reported = _signature(offers)
        self._tried &= {offer.serial for offer in offers if offer.moving}
        serials = {offer.serial for offer in offers}
        self._moves = {name: move for name, move in self._moves.items() if name in serials}
        if self._unanswered_since is None:
            self._unanswered_since = now
        return self.sequence

    def on_order(self, order: EvacuationOrder, now: float) -> bool:
        """Follow an order unless a newer one of its sender is known; return whether it counts."""
        if self._revisions.get(order.coordinator, -1) >= order.revision:
            return False
        self._revisions[order.coordinator] = order.revision
        self._heard = True
        self._heard_at = now
        if order.answers >= self.sequence:
            self._unanswered_since = None
        self._moves = {
            move.serial: OrderedMove(
                move.serial, now + move.start_ms / 1000, move.target, move.counted
            )
            for move in order.moves
        }
        return True

    def mode(self, now: float) -> Mode:
        """Return which plan to follow."""
        since = self._unanswered_since
        if since is not None and now >= max(since, self._heard_at) + PLAN_TIMEOUT_S:
            return Mode.ALONE
        return Mode.ORDERED if self._heard else Mode.WAITING

    def take_due(self, now: float, movable: Container[int]) -> list[OrderedMove]:
        """Remove and return the moves of `movable` streams that start now, the earliest first.

        A stream that can't be moved yet, as it was refused a moment ago, keeps its order.
        """
        due = [
            move for move in self._moves.values() if move.start_at <= now and move.serial in movable
        ]
        for move in due:
            del self._moves[move.serial]
            self._tried.add(move.serial)
        return sorted(due, key=lambda move: move.start_at)

    def wait_s(self, now: float, max_wait_s: float) -> float:
        """Return the time until something may have to be done here, `max_wait_s` at most."""
        times = [move.start_at for move in self._moves.values()]
        if self._unanswered_since is not None:
            times.append(max(self._unanswered_since, self._heard_at) + PLAN_TIMEOUT_S)
        if self._tried:
            times.append(self._reported_at + MIN_REPORT_INTERVAL_S)
        ahead = [at - now for at in times if at > now]
        return min([max_wait_s, *ahead])


def _signature(offers: Sequence[StreamOffer]) -> set[StreamNews]:
    """Return what the coordinator has to know of the streams that wait for a move."""
    return {(offer.serial, offer.refused_by) for offer in offers if not offer.moving}
