"""The coordinator of a leaving server: collects the streams of all nodes there, and orders moves.

It only gives order and target. A stream is moved by its own node alone, so a second coordinator, a
lost message or an old order makes moves less orderly and does no other harm.
"""

from collections.abc import Iterable, Mapping

import msgspec
from cachetools import LRUCache

from moledale.core.hashing import first_ranked
from moledale.scheduling.evacuation import (
    Link,
    PlannedMove,
    Step,
    StreamOffer,
    Target,
    plan_moves,
    target_shares,
)
from moledale.scheduling.move_retries import retry_interval_s

COLLECT_S = 0.01
"""A plan is made this long after a report, since the reports of other nodes arrive at the same
time: a change of the server list reaches all nodes within a few milliseconds."""

FIXED_S = 0.05
"""Moves that start within this time are not planned anew: the order for another one could arrive
after its start, and the links would be idle until then."""

REPORT_DELAY_S = 0.02
"""A report may be this old when it is received, so a move that was ordered for a moment before may
have begun although the report does not say so."""

PLAN_MARGIN_S = 0.05
"""Planned copies end this long before the server does: calls between halls take 3 ms, and copies
may start some tens of milliseconds late."""

MIN_PLAN_INTERVAL_S = 0.05
"""Minimum interval between two plans for a server. With 740 targets a plan takes 9 ms, and a third
of the time-out of the nodes that wait for it is left for the calls."""

UNKNOWN_TOKENS = 2**31
"""Assumed room for tokens at a target that seems full but is tried all the same."""

FULL_TARGET_PAUSE_S = 0.3
"""A target that refused a stream gets no other one for this long, or less if the server ends soon:
more than a gossip round, after which its load is known better."""

UNHEARD_LOAD_S = 0.15
"""A move that began less than this ago may be missing in the known load of its target: nodes batch
placements for 20 ms, and halls are milliseconds apart."""

REPLAN_INTERVAL_S = 0.4
"""A plan that lacks room for streams is made again after this time, or sooner if the server ends
soon: room comes up with each request that ends at a target. It costs no message unless an order
changes."""

MIN_START_CHANGE_S = 0.01
"""An order is not sent again for a smaller change of a start time."""

MAX_LEAVING_SERVERS = 512
"""Maximum servers that one node coordinates at a time, half of those of a large deployment. It
bounds the memory, since anyone may send anything to the port."""

MAX_MOVES_PER_ORDER = 40
"""Maximum moves in one order: about 1.2 KB, which fits a datagram. The others follow later."""


class EvacuationReport(msgspec.Struct, array_like=True, tag="evac-report"):
    """The streams of a node that have to leave a server, for the coordinator of the server.

    `peer` is the gossip address of the node, `sequence` counts its reports. The server, of a
    service and in a hall, ends in `ends_ms`.
    """

    node: str
    peer: str
    sequence: int
    server: str
    service: str
    hall: str
    ends_ms: int
    streams: list[StreamOffer]


class EvacuationOrder(msgspec.Struct, array_like=True, tag="evac-order"):
    """When and where the streams of one node move, in answer to its report number `answers`.

    It replaces the earlier orders of the coordinator for the server. Streams that are not listed
    wait. `revision` counts the orders of the coordinator.
    """

    coordinator: str
    revision: int
    server: str
    answers: int
    moves: list[PlannedMove]


EvacuationMessage = EvacuationReport | EvacuationOrder


class ClusterView(msgspec.Struct):
    """What a coordinator knows of the servers of a service when it makes a plan.

    `targets` are those that take new work, with their free room. `leaving` are the servers of the
    service that leave at present, with their halls, and `nodes` the nodes that are heard.
    """

    targets: list[Target]
    leaving: dict[str, str]
    nodes: frozenset[str]
    link: Link


class PlanResult(msgspec.Struct):
    """Orders to send with their addresses, and the numbers of streams in the plan.

    With `again_in_s` the plan lacks room and should be made again, unless there is a newer one.
    """

    orders: list[tuple[str, EvacuationOrder]]
    streams: int = 0
    planned: int = 0
    uncounted: int = 0
    left_s: float = 0.0
    again_in_s: float | None = None


class _Scheduled(msgspec.Struct):
    """A move with its times on the clock of the coordinator, as it was last planned."""

    target: str
    start_at: float
    finish_at: float
    counted: bool = True


class _ReceivedReport(msgspec.Struct):
    """A report, and when its server ends by the clock of the coordinator."""

    report: EvacuationReport
    received_at: float
    ends_at: float
    answered: bool = False


Key = tuple[str, int]
"""A stream: its node, and its number there."""


class _LeavingServer(msgspec.Struct):
    """A leaving server with the streams that nodes reported and the moves that are planned."""

    ends_at: float
    reports: dict[str, _ReceivedReport] = {}
    moves: dict[Key, _Scheduled] = {}
    full_until: dict[str, float] = {}
    plan_at: float | None = None
    planned_at: float = -1e9

    def expect_earliest_end(self) -> None:
        """Expect the earliest end in the latest reports of the nodes, which may correct it."""
        if self.reports:
            self.ends_at = min(received.ends_at for received in self.reports.values())


def select_coordinator(server: str, nodes: Iterable[str]) -> str | None:
    """Return which of the nodes coordinates the evacuation of a server."""
    return first_ranked(server, nodes)


class Coordinator:
    """Makes the plans for the leaving servers that this node is asked to coordinate.

    State is soft: it is built from reports alone, and dropped once the servers have ended.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._leaving_servers: LRUCache[str, _LeavingServer] = LRUCache(MAX_LEAVING_SERVERS)
        self._revision = 0

    def on_report(self, report: EvacuationReport, now: float) -> float | None:
        """Record a report; return when to make the plan if that is not scheduled yet."""
        self._drop_ended(now)
        ends_at = now + report.ends_ms / 1000
        source = self._leaving_servers.setdefault(report.server, _LeavingServer(ends_at))
        known = source.reports.get(report.node)
        if known is not None and known.report.sequence >= report.sequence:
            return None
        source.reports[report.node] = _ReceivedReport(report, now, ends_at)
        source.expect_earliest_end()
        self._record_refusals(source, known, report, now)
        if source.plan_at is not None:
            return None
        source.plan_at = max(now + COLLECT_S, source.planned_at + MIN_PLAN_INTERVAL_S)
        return source.plan_at

    def _record_refusals(
        self,
        source: _LeavingServer,
        known: _ReceivedReport | None,
        report: EvacuationReport,
        now: float,
    ) -> None:
        before = {} if known is None else {each.serial: each for each in known.report.streams}
        for offer in report.streams:
            earlier = before.get(offer.serial)
            old = set() if earlier is None else set(earlier.refused_by)
            for target in set(offer.refused_by) - old:
                pause_s = retry_interval_s(FULL_TARGET_PAUSE_S, source.ends_at - now)
                source.full_until[target] = now + pause_s
                source.moves.pop((report.node, offer.serial), None)

    def _drop_ended(self, now: float) -> None:
        for name in [name for name, each in self._leaving_servers.items() if each.ends_at < now]:
            del self._leaving_servers[name]

    def plan(self, server: str, cluster: ClusterView, now: float) -> PlanResult:
        """Plan the moves off a server anew, and return the orders that changed."""
        source = self._leaving_servers.get(server)
        if source is None:
            return PlanResult([])
        source.plan_at, source.planned_at = None, now
        for node in [node for node in source.reports if node not in cluster.nodes]:
            del source.reports[node]
        source.expect_earliest_end()
        waiting = self._waiting(source, now)
        former = source.moves
        source.moves = self._started(source, waiting, now)
        full = any(self._is_full(source, target, now) for target in cluster.targets)
        own, spare = self._split_targets(server, source, cluster, now)
        source_free_s = self._occupy(source, [*own, *spare], now)
        keys = list(waiting)
        numbered = [
            msgspec.structs.replace(offer, serial=number)
            for number, offer in enumerate(waiting.values())
        ]
        steps = plan_moves(
            numbered,
            self._hall(source),
            own,
            spare,
            cluster.link,
            source.ends_at - now - PLAN_MARGIN_S,
            source_free_s,
        )
        planned = {keys[step.offer.serial]: self._schedule(step, now) for step in steps}
        not_started = {key: move for key, move in former.items() if key not in source.moves}
        orders = self._orders(server, source, not_started, planned, now)
        source.moves.update(planned)
        uncounted = sum(not step.counted for step in steps)
        left_s = source.ends_at - now
        again_in_s = None
        if full and len(steps) < len(waiting) and left_s > PLAN_MARGIN_S:
            again_in_s = max(MIN_PLAN_INTERVAL_S, retry_interval_s(REPLAN_INTERVAL_S, left_s))
        return PlanResult(orders, len(waiting), len(steps), uncounted, left_s, again_in_s)

    def planned_at(self, server: str) -> float | None:
        """Return when the latest plan for a server was made, None if its state was dropped."""
        source = self._leaving_servers.get(server)
        return None if source is None else source.planned_at

    def _is_full(self, source: _LeavingServer, target: Target, now: float) -> bool:
        return target.slots <= 0 or source.full_until.get(target.id, 0.0) > now

    def _waiting(self, source: _LeavingServer, now: float) -> dict[Key, StreamOffer]:
        """Return the streams whose moves have not begun, as far as is known."""
        waiting = {}
        for node, received in source.reports.items():
            for offer in received.report.streams:
                move = source.moves.get((node, offer.serial))
                began = (
                    move is not None
                    and received.received_at - REPORT_DELAY_S < move.start_at
                    and move.start_at <= now + FIXED_S
                )
                if not offer.moving and not began:
                    waiting[node, offer.serial] = offer
        return waiting

    def _started(
        self, source: _LeavingServer, waiting: Mapping[Key, StreamOffer], now: float
    ) -> dict[Key, _Scheduled]:
        """Return the moves that are in progress or start at once, which occupy links."""
        return {
            key: move
            for key, move in source.moves.items()
            if key not in waiting and move.start_at <= now + FIXED_S
        }

    def _split_targets(
        self, server: str, source: _LeavingServer, cluster: ClusterView, now: float
    ) -> tuple[list[Target], list[Target]]:
        """Return the targets whose room this plan may count on, and the others.

        Those that seem full are tried with one stream per plan, since what is known of their load
        is some tenths of a second old. Those of which a share holds no stream are spare as a whole,
        since no plan counts on such a share.
        """
        usable = [
            each
            for each in cluster.targets
            if each.id != server and source.full_until.get(each.id, 0.0) <= now
        ]
        free = {each.id: each for each in usable if each.slots > 0}
        full = [each for each in usable if each.slots <= 0]
        for target in full:
            target.slots, target.tokens = 1, UNKNOWN_TOKENS
        leaving = {**cluster.leaving, server: self._hall(source)}
        shares = target_shares(server, leaving, {name: each.hall for name, each in free.items()})
        own = []
        for name, share in shares.items():
            slots, tokens = int(free[name].slots * share), int(free[name].tokens * share)
            if slots <= 0 or tokens <= 0:
                continue
            target = free.pop(name)
            target.slots, target.tokens, target.share = slots, tokens, share
            own.append(target)
        return own, [*free.values(), *full]

    def _hall(self, source: _LeavingServer) -> str:
        return next((each.report.hall for each in source.reports.values()), "")

    def _occupy(self, source: _LeavingServer, targets: Iterable[Target], now: float) -> float:
        """Count the moves in progress at their targets; return until when the source is busy."""
        by_id = {target.id: target for target in targets}
        for move in source.moves.values():
            target = by_id.get(move.target)
            if target is None:
                continue
            target.free_at = max(target.free_at, move.finish_at - now)
            if now - move.start_at < UNHEARD_LOAD_S:
                target.slots -= 1
        return max([0.0, *(move.finish_at - now for move in source.moves.values())])

    def _schedule(self, step: Step, now: float) -> _Scheduled:
        return _Scheduled(step.target, now + step.start_s, now + step.finish_s, step.counted)

    def _orders(
        self,
        server: str,
        source: _LeavingServer,
        former: Mapping[Key, _Scheduled],
        planned: Mapping[Key, _Scheduled],
        now: float,
    ) -> list[tuple[str, EvacuationOrder]]:
        """Return orders for the nodes whose moves changed or that wait for an answer."""
        orders = []
        for node, received in source.reports.items():
            own = {key: move for key, move in planned.items() if key[0] == node}
            before = {key: move for key, move in former.items() if key[0] == node}
            if received.answered and not _differs(before, own):
                continue
            received.answered = True
            own.update(_about_to_start(source, node, now))
            first = sorted(own.items(), key=lambda item: item[1].start_at)[:MAX_MOVES_PER_ORDER]
            moves = [
                PlannedMove(key[1], round((move.start_at - now) * 1000), move.target, move.counted)
                for key, move in first
            ]
            self._revision += 1
            report = received.report
            order = EvacuationOrder(self._own_id, self._revision, server, report.sequence, moves)
            orders.append((report.peer, order))
        return orders


def _about_to_start(source: _LeavingServer, node: str, now: float) -> dict[Key, _Scheduled]:
    """Return the fixed moves of a node that may not have started there.

    An order replaces the one before, so it has to repeat them.
    """
    return {
        key: move
        for key, move in source.moves.items()
        if key[0] == node and move.start_at > now - FIXED_S
    }


def _differs(former: Mapping[Key, _Scheduled], planned: Mapping[Key, _Scheduled]) -> bool:
    """Return whether moves differ so much that their node should know."""
    if former.keys() != planned.keys():
        return True
    return any(
        former[key].target != move.target
        or abs(former[key].start_at - move.start_at) > MIN_START_CHANGE_S
        for key, move in planned.items()
    )
