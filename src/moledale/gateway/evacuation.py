"""Moves live streams off servers that are leaving.

A stream that should end before its server does is left alone. Any other is moved with its KV cache:
first a copy while it runs, then, with the run stopped, the rest, so that the caller sees only a
short pause. The same run then goes on at the other server within one answer.

Each node plans for its own streams, or follows the orders of a coordinator where the feature
`EVACUATION` applies (see `moledale.scheduling.evacuation`). Only the node that has a stream moves
it.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable

from cachetools import LRUCache
from result import Err

from moledale.clock import monotonic
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import Choice
from moledale.gateway.messages import RequestFacts, Server
from moledale.gateway.permits import standalone_permit_client
from moledale.gateway.placing import PlacementRequest, Placer
from moledale.gateway.plan import Engine, PlanIndex
from moledale.gateway.server_notices import SERVICE_UNAVAILABLE
from moledale.gateway.server_view import Placement
from moledale.log import Event, emit
from moledale.scheduling.evacuation import (
    StreamOffer,
    move_order,
    needs_first_copy,
)
from moledale.scheduling.evacuation_coordinator import (
    EvacuationOrder,
)
from moledale.scheduling.evacuation_metrics import EvacuationCounts
from moledale.scheduling.evacuation_orders import (
    MAX_STREAMS_PER_REPORT,
    Mode,
    OrderedMove,
)
from moledale.scheduling.expected_ends import slot_wait_s
from moledale.scheduling.move_retries import may_queue, retry_interval_s
from moledale.scheduling.move_slots import LeavingLoad
from moledale.scheduling.stream_runs import (
    END_UNCERTAINTY_S,
    LIST_AGE_S,
    Continuation,
    Coordination,
    Engines,
    Leaving,
    MoveRefused,
    StreamRun,
    link_of,
)

LAST_RESORT_S = 0.6
"""If there may be no room for a stream, its run is stopped this long before the server is expected
to end. It then waits in the queue of another server, which has to fetch the memory in time."""

END_MARGIN_S = 0.3
"""Streams should have left a server this long before it ends: a few events of 30 ms and the
latency."""

PRECOPY_MIN_TIME_FACTOR = 3.0
"""A first copy is made while the run goes on if at least this many times the copy's time is
left."""

MAX_CONCURRENT_MOVES = 3
"""Maximum concurrent moves from one server: they queue at its link, so more would not be faster."""

MOVE_TIMEOUT_MARGIN_S = 1.0
"""Time added to a copy's own for the timeout of a move, since other moves queue at the links."""

RECHECK_INTERVAL_S = 0.1
"""Interval at which the streams on a leaving server are checked again: a few events, so that one
that turns out late is noticed while there is time to move it."""

MOVE_RETRY_PAUSE_S = 0.2
"""Pause of a stream's moves after no target took it: room at servers comes up with each stream that
ends there. It is shorter if the server ends soon and the evacuation is coordinated."""

NOT_STOPPED_STATUSES = frozenset({404, 409, 503})
"""Statuses of a refused last copy without a handle which tell that the run was not stopped: no such
run, another copy in progress, no room. Any other status tells no more than a missing answer."""

MAX_STOPPED_RUNS = 256
"""Maximum stopped runs whose refusals are kept until they continue: more than a node moves at a
time. Those whose callers leave first never continue."""

MAX_CONTINUATION_REFUSALS = 2
"""Refusals after which a stopped run is given up: another server and the source did not take it
either, and the caller has waited for several calls."""


class Evacuation:
    """Moves this node's streams off servers that are leaving.

    `default_notice_s` is the time that a server has left if the list doesn't state it.
    """

    def __init__(
        self,
        engines: Engines,
        balancer: LoadBalancer,
        index: Callable[[], PlanIndex | None],
        default_notice_s: float,
        now: Callable[[], float] = monotonic,
        placer: Placer | None = None,
    ) -> None:
        self._placer = placer or Placer(balancer, standalone_permit_client(balancer, now), now)
        self.runs: set[StreamRun] = set()
        self._engines = engines
        self._balancer = balancer
        self._index = index
        self._default_notice_s = default_notice_s
        self._now = now
        self._leaving: dict[str, Leaving] = {}
        self._serial = 0
        self._tried_at: Counter[str] = Counter()
        self._refused_by: LRUCache[str, frozenset[str]] = LRUCache(MAX_STOPPED_RUNS)
        self._tasks: set[asyncio.Task[None]] = set()
        self.coordination: Coordination | None = None
        self.counts = EvacuationCounts()

    def servers_changed(self, gone: Iterable[Server] = ()) -> None:
        """Start to evacuate servers that are leaving or `gone`.

        A server that is gone from the list may serve on for a while. Crashed servers are among
        those too; moves from them fail at once.
        """
        now = self._now()
        leaving = {
            view.server.id: view.server
            for view in self._balancer.views.values()
            if view.server.leaving
        }
        self._leaving = {
            name: each
            for name, each in self._leaving.items()
            if name in leaving or each.may_serve(now)
        }
        leaving.update({server.id: server for server in gone})
        for server in leaving.values():
            self._server_leaves(server, now)

    def _server_leaves(self, server: Server, now: float) -> None:
        engine = self._engine(server.service)
        if engine is None or not engine.moves:
            return
        leaves_s = server.leaves_s
        left_s = self._default_notice_s if leaves_s is None else max(0.0, leaves_s - LIST_AGE_S)
        known = self._leaving.get(server.id)
        if known is None:
            self._start(Leaving(server, engine, now + left_s, stated=leaves_s is not None))
        elif leaves_s is not None and not known.stated:
            # The server announced its end itself before the list stated the time.
            known.stated = True
            known.ends_at = now + left_s
            self._start(known)

    def track(self, run: StreamRun) -> None:
        """Track a stream that was sent to a server, which may be leaving already."""
        self._serial += 1
        run.serial = self._serial
        self.runs.add(run)
        if run.facts.id in self._refused_by:
            run.refusals = dict.fromkeys(self._refused_by.pop(run.facts.id), self._now())
            run.move_at = self._now() + self._retry_pause_s(run)
        leaving = self._leaving.get(run.placement.view.server.id)
        if leaving is not None:
            self._start(leaving)

    def running_versions(self, service: str) -> dict[str, str]:
        """Return the streams of a service that run here, with the versions of their servers.

        Each is named by the request that began it.
        """
        return {
            run.facts.resumes or run.facts.id: run.placement.view.server.version
            for run in self.runs
            if run.service == service and (run.events or run.facts.resumed)
        }

    def _start(self, leaving: Leaving) -> None:
        self._leaving[leaving.server.id] = leaving
        if not leaving.active and self._runs_on(leaving.server):
            leaving.active = True
            self._start_task(self._evacuate(leaving))

    def leaving_halls(self, service: str) -> dict[str, str]:
        """Return the servers of a service that leave at present, with their halls."""
        now = self._now()
        return {
            name: each.server.hall
            for name, each in self._leaving.items()
            if each.server.service == service and each.may_serve(now)
        }

    def version_of(self, name: str) -> str | None:
        """Return the software version of a leaving server, None if it is not known to leave."""
        leaving = self._leaving.get(name)
        return None if leaving is None else leaving.server.version

    def leaving_loads(self, service: str) -> list[LeavingLoad]:
        """Return the requests of all nodes on the servers of a service that leave at present."""
        now = self._now()
        loads = []
        for name, each in self._leaving.items():
            view = self._balancer.views.get(name)
            if each.server.service != service or view is None or not each.may_serve(now):
                continue
            late = [run for run in self._late(each.server) if not run.stopping]
            moving = sum(run.moving for run in late)
            others = max(0, view.total_running - view.running)
            left_s = max(0.0, each.ends_at - END_MARGIN_S - now)
            gone_in_s = each.ends_at + END_UNCERTAINTY_S - now
            loads.append(LeavingLoad(view.running, len(late), others, left_s, gone_in_s, moving))
        return loads

    def tried_at(self, name: str) -> int:
        """Return the own streams that are counted at a target while a move there is tried."""
        return self._tried_at[name]

    def mean_final_tokens(self, service: str) -> int:
        """Return the mean tokens that this node's streams of a service have at their end."""
        tokens = [run.facts.tokens for run in self.runs if run.service == service]
        return sum(tokens) // max(1, len(tokens))

    def on_order(self, order: EvacuationOrder) -> None:
        """Follow an order of a coordinator."""
        leaving = self._leaving.get(order.server)
        if leaving is None or not leaving.followed.on_order(order, self._now()):
            return
        self.counts.orders += 1
        leaving.alone = False
        leaving.notify()

    def forget(self, run: StreamRun) -> None:
        """Stop tracking a stream that ended at this node, and release a copy it did not use."""
        run.done = True
        self.runs.discard(run)
        if run.continuation.done() and not run.continuation.cancelled():
            unused = run.continuation.result()
            if unused is not None and not unused.placement.ended:
                self.release_unused(unused)

    def release_unused(self, unused: Continuation) -> None:
        """Release a copy that is not used, and the room counted for it at its target."""
        unused.placement.end()
        self._start_task(self._engines.release(unused.source, unused.handle))

    def _release(self, source: Server, handle: str) -> None:
        """Release a first copy that is not used."""
        self._start_task(self._engines.release(source.address, handle))

    def _start_task(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _evacuate(self, leaving: Leaving) -> None:
        """Move the streams that would not end in time until the server ends.

        They are checked again and again, since a stream may turn out late, or get its first event.
        """
        server = leaving.server
        self._log_evacuation(server)
        moves: set[asyncio.Task[None]] = set()
        try:
            while leaving.may_serve(self._now()) and (moves or self._runs_on(server)):
                for run, order in self._due_moves(leaving, len(moves)):
                    run.moving = True
                    moves.add(self._start_task(self._move(run, leaving, order)))
                moves = await self._wait(leaving, moves)
        finally:
            leaving.active = False

    async def _wait(
        self, leaving: Leaving, moves: set[asyncio.Task[None]]
    ) -> set[asyncio.Task[None]]:
        """Wait until something may be due; return the moves that are still in flight."""
        leaving.wake = asyncio.get_running_loop().create_future()
        now = self._now()
        timeout_s = leaving.followed.wait_s(now, RECHECK_INTERVAL_S)
        if self._is_coordinated(leaving.server.service):
            retries = (run.move_at - now for run in self._runs_on(leaving.server))
            timeout_s = min([timeout_s, *(each for each in retries if each > 0)])
        await asyncio.wait(
            {*moves, leaving.wake}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        return {move for move in moves if not move.done()}

    def _due_moves(
        self, leaving: Leaving, in_flight: int
    ) -> list[tuple[StreamRun, OrderedMove | None]]:
        """Return the streams to move now, with the order that this node follows if there is one."""
        server = leaving.server
        coordination = self.coordination
        if coordination is None or not coordination.applies(server.service):
            own = self._movable(server, StreamRun.tokens)
            return [(run, None) for run in own[: max(0, MAX_CONCURRENT_MOVES - in_flight)]]
        self._send_queued_elsewhere(server)
        due = self._coordinated_moves(leaving, in_flight)
        for run, _ in due:
            run.moving = True
        # Reported after the choice, since the coordinator would plan a move anew that begins now.
        self._report(leaving, coordination)
        return due

    def _coordinated_moves(
        self, leaving: Leaving, in_flight: int
    ) -> list[tuple[StreamRun, OrderedMove | None]]:
        """Return the moves that are ordered for now, or own ones while no coordinator answers."""
        now = self._now()
        server = leaving.server
        mode = leaving.followed.mode(now)
        if mode is Mode.WAITING:
            return []
        if mode is Mode.ALONE:
            self._log_alone(leaving)
            own = self._movable(server, lambda run: (run.resumable, run.tokens()))
            return [(run, None) for run in own[: max(0, MAX_CONCURRENT_MOVES - in_flight)]]
        movable = {run.serial: run for run in self._movable(server, StreamRun.tokens)}
        due = leaving.followed.take_due(now, movable)
        return [(movable[move.serial], move) for move in due]

    def _report(self, leaving: Leaving, coordination: Coordination) -> None:
        """Report the streams to the coordinator if it has to know something new."""
        now = self._now()
        offers = self._offers(leaving, now)
        if leaving.followed.report_due(offers, leaving.ends_at, now):
            sequence = leaving.followed.record_report(offers, leaving.ends_at, now)
            coordination.report(leaving, sequence, offers)

    def _offers(self, leaving: Leaving, now: float) -> list[StreamOffer]:
        """Return the late streams with an event, the most useful moves first."""
        link = link_of(leaving.engine)
        left_s = self._left_s(leaving.server)
        late = [run.offer(now, left_s) for run in self._late(leaving.server) if run.server_events]
        return move_order(late, link)[:MAX_STREAMS_PER_REPORT]

    def _log_alone(self, leaving: Leaving) -> None:
        if leaving.alone:
            return
        leaving.alone = True
        self.counts.alone += 1
        emit(
            Event.EVACUATION_ALONE,
            server=leaving.server.id,
            streams=len(self._late(leaving.server)),
            left_s=round(self._left_s(leaving.server), 2),
        )

    def _send_queued_elsewhere(self, server: Server) -> None:
        """Send late requests that still wait for their first event to other servers."""
        now = self._now()
        for run in self._late(server):
            queued = not (run.events or run.moving or run.sent_elsewhere)
            if not queued or not run.resend():
                continue
            self.counts.resent += 1
            emit(
                Event.QUEUED_SENT_ELSEWHERE,
                request=run.facts.id,
                source=server.id,
                waited_s=round(now - run.placement.sent_at, 3),
                left_s=round(self._left_s(server), 2),
            )

    def _log_evacuation(self, server: Server) -> None:
        emit(
            Event.EVACUATION,
            server=server.id,
            streams=len(self._runs_on(server)),
            to_move=len(self._late(server)),
            left_s=round(self._left_s(server), 2),
        )

    def _runs_on(self, server: Server) -> list[StreamRun]:
        here = [run for run in self.runs if run.placement.view.server.id == server.id]
        return sorted(here, key=lambda run: run.serial)

    def _late(self, server: Server) -> list[StreamRun]:
        """Return the streams that would not end in time."""
        now = self._now()
        left_s = self._left_s(server) - END_MARGIN_S
        return [run for run in self._runs_on(server) if run.remaining_s(now) > left_s]

    def _movable(
        self, server: Server, key: Callable[[StreamRun], int | tuple[bool, int]]
    ) -> list[StreamRun]:
        """Return the late streams that may be moved now, ordered by `key`.

        Without an event yet, a request waits in the server's queue, and there is no run to move.
        """
        now = self._now()
        late = self._late(server)
        ready = [run for run in late if run.server_events and run.move_at <= now]
        return sorted((run for run in ready if not run.moving and not run.stopping), key=key)

    async def _move(self, run: StreamRun, leaving: Leaving, order: OrderedMove | None) -> None:
        try:
            if order is None:
                run.move_at = self._now() + self._retry_pause_s(run)
                await self._move_to_any(run, leaving.server, leaving.engine)
            else:
                await self._move_as_ordered(run, leaving, order)
        finally:
            run.moving = False

    async def _move_as_ordered(self, run: StreamRun, leaving: Leaving, order: OrderedMove) -> None:
        """Move a stream to the ordered target; if that refuses, the coordinator orders another."""
        server, engine = leaving.server, leaving.engine
        target = self._place_at(run, engine, order.target)
        if target is None:
            run.record_refusal(order.target, self._now())
            return
        copy_s = _copy_s(run, engine, target.view.server.hall != server.hall)
        last_resort = self._left_s(server) < LAST_RESORT_S and self._may_queue(run, server, engine)
        first_copy = needs_first_copy(copy_s, run.gap_s) if order.counted else not last_resort
        refusal = await self._copy(run, server, engine, target, first_copy)
        if refusal is None:
            return
        target.end()
        if refusal.handle:
            # The run was stopped, whatever the status is.
            run.record_refusal(order.target, self._now())
            refused_by = run.refused_by
            await self._continue_stopped(
                run, server, engine, refusal.handle, refused_by, elsewhere=last_resort
            )
        elif refusal.target_full:
            run.record_refusal(order.target, self._now())
        else:
            run.move_at = self._now() + self._retry_pause_s(run)

    def _may_queue(self, run: StreamRun, server: Server, engine: Engine) -> bool:
        """Return whether a run that is stopped now would get a slot before its caller leaves."""
        now = self._now()
        excluded = self._excluded(run.service, server)
        choice = self._balancer.choose(run.service, run.facts, engine, now, excluded)
        if choice is None:
            return False
        hold_s = self._balancer.estimator(run.service).speed(now).hold_s
        queue_s = slot_wait_s(choice.view.total_running, engine.slots, hold_s)
        return may_queue(queue_s, run.deadline_at - now)

    def _excluded(self, service: str, server: Server) -> frozenset[str]:
        """Return where a run of a server may not go on: there, and at other versions."""
        return self._balancer.other_versions(service, server.version) | {server.id}

    def _is_coordinated(self, service: str) -> bool:
        return self.coordination is not None and self.coordination.applies(service)

    def _retry_pause_s(self, run: StreamRun) -> float:
        """Return the pause until a stream may be moved again after a refusal."""
        server = run.placement.view.server
        if server.id not in self._leaving or not self._is_coordinated(run.service):
            return MOVE_RETRY_PAUSE_S
        return retry_interval_s(MOVE_RETRY_PAUSE_S, self._left_s(server))

    def _place_at(self, run: StreamRun, engine: Engine, name: str) -> Placement | None:
        """Count a stream on the ordered target, unless that takes no new work any more.

        Servers with a stated limit are left out, since a permit would have to be awaited.
        """
        now = self._now()
        view = self._balancer.views.get(name)
        if view is None or view.limit_per_s is not None or view.is_closed(now):
            return None
        if view.server.version != run.placement.view.server.version:
            return None
        choice = self._balancer.choose(
            run.service, run.facts, engine, now, only=view, demand=run.placement.demand
        )
        return None if choice is None else self._balancer.reserve(choice, now, moved=True)

    async def _move_to_any(self, run: StreamRun, server: Server, engine: Engine) -> None:
        """Try one target after the other until the stream moved, ended or no target is left."""
        refused_by = run.refused_by
        run.refusals = {}
        while not run.done and self._may_serve(server):
            excluded = refused_by | self._excluded(run.service, server)
            target = await self._place(run, engine, excluded)
            if target is None:
                return
            copy_s = _copy_s(run, engine, target.view.server.hall != server.hall)
            queued_s = copy_s * self._queued_copies(run)
            first_copy = self._left_s(server) > PRECOPY_MIN_TIME_FACTOR * queued_s
            refusal = await self._copy(run, server, engine, target, first_copy)
            if refusal is None:
                return
            target.end()
            refused_by |= {target.view.server.id}
            if refusal.handle:
                # The run was stopped, whatever the status is.
                await self._continue_stopped(run, server, engine, refusal.handle, refused_by)
                return
            if not refusal.target_full:
                return

    def _queued_copies(self, run: StreamRun) -> int:
        """Return how many copies may queue at the link of a run's server, this one included.

        Nodes without a coordinator all copy at once. If the first copies alone take the time that
        is left, the last copies behind them come too late, and all these streams are lost.
        """
        coordination = self.coordination
        if coordination is None or not coordination.applies(run.service):
            return 1
        return max(1, run.placement.view.total_running)

    async def _place(
        self, run: StreamRun, engine: Engine, excluded: frozenset[str]
    ) -> Placement | None:
        return await self._placer.place(
            PlacementRequest(
                run.service, run.facts, engine, excluded, moved=True, demand=run.placement.demand
            )
        )

    async def _copy(
        self, run: StreamRun, server: Server, engine: Engine, target: Placement, first_copy: bool
    ) -> MoveRefused | None:
        """Copy while the run goes on if there is a first copy, then stop it and copy the rest.

        Return why the stream was not moved, None if it was moved or has ended.
        """
        name = target.view.server.id
        self._tried_at[name] += 1
        try:
            return await self._copy_counted(run, server, engine, target, first_copy)
        finally:
            self._tried_at[name] -= 1
            if not self._tried_at[name]:
                del self._tried_at[name]

    async def _copy_counted(
        self, run: StreamRun, server: Server, engine: Engine, target: Placement, first_copy: bool
    ) -> MoveRefused | None:
        address = target.view.server.address
        copy_s = _copy_s(run, engine, target.view.server.hall != server.hall)
        timeout_s = max(self._left_s(server), copy_s) + MOVE_TIMEOUT_MARGIN_S
        copy = ""
        if first_copy:
            precopy = await self._engines.move(
                server.address, run.facts.id, address, False, timeout_s
            )
            if isinstance(precopy, Err):
                self.counts.moves["refused"] += 1
                self._log_move(run, server, target, f"no first copy: {precopy.err_value.detail}")
                return precopy.err_value
            copy = precopy.ok_value.handle
            if run.done:
                self._release(server, copy)
                return MoveRefused("the stream has ended")
            if target.view.server.leaving:
                self._release(server, copy)
                refusal = MoveRefused("the target leaves", status=SERVICE_UNAVAILABLE)
                self.counts.moves["refused"] += 1
                self._log_move(run, server, target, refusal.detail)
                return refusal
        run.stopping = True
        stopped_at = self._now()
        outcome = await self._engines.move(server.address, run.facts.id, address, True, timeout_s)
        if isinstance(outcome, Err):
            self._on_last_copy_refused(run, server, target, outcome.err_value, copy)
            return outcome.err_value
        moved = Continuation(target, server.address, outcome.ok_value.handle, run.placement.view)
        stopped_s = self._now() - stopped_at
        self.counts.record_moved(stopped_s)
        self._log_move(run, server, target, "moved", stopped_s)
        self._continue(run, moved)
        return None

    def _on_last_copy_refused(
        self, run: StreamRun, server: Server, target: Placement, refusal: MoveRefused, copy: str
    ) -> None:
        self.counts.moves["refused"] += 1
        self._log_move(run, server, target, refusal.detail)
        if refusal.handle:
            return
        self._resolve(run, None)
        if refusal.sent and refusal.status not in NOT_STOPPED_STATUSES:
            # The run may have been stopped, and the end of its stream may be missing although the
            # connection closes in order.
            return
        # The run was not stopped, so its stream goes on and may be moved later.
        run.continuation = asyncio.get_running_loop().create_future()
        run.stopping = False
        if copy:
            self._release(server, copy)

    async def _continue_stopped(
        self,
        run: StreamRun,
        server: Server,
        engine: Engine,
        handle: str,
        refused_by: frozenset[str],
        elsewhere: bool = False,
    ) -> None:
        """Continue a run that was stopped for a move that its target then refused.

        It continues at its source if there is time to move it from there again, since that pauses
        the stream least. Otherwise, or with `elsewhere`, it continues at another server, from the
        cache at the source. With `elsewhere` that may be one which refused a copy, since the run
        may wait in its queue.
        """
        placement = None
        again_s = PRECOPY_MIN_TIME_FACTOR * _copy_s(run, engine, other_hall=True)
        if elsewhere or self._left_s(server) < again_s:
            excluded = self._excluded(run.service, server)
            placement = await self._place(
                run, engine, excluded if elsewhere else excluded | refused_by
            )
        if placement is None:
            stay = Choice(run.placement.view, run.facts, demand=run.placement.demand)
            placement = self._balancer.reserve(stay, self._now())
        self._log_move(run, server, placement, "continued after a refused last copy")
        self._refused_by[run.facts.id] = refused_by
        self._continue(run, Continuation(placement, server.address, handle, run.placement.view))

    async def continue_elsewhere(
        self, refused: Continuation, facts: RequestFacts, engine: Engine, tried: frozenset[str]
    ) -> Continuation | None:
        """Return where a stopped run continues that its target did not take, None if nowhere.

        That is another server, and the source of the run if there is none or it refuses too.
        """
        source = refused.source_view
        if refused.refusals >= MAX_CONTINUATION_REFUSALS:
            return None
        placement = None
        if not refused.refusals:
            service, demand = source.server.service, refused.placement.demand
            excluded = tried | self._excluded(service, source.server)
            request = PlacementRequest(service, facts, engine, excluded, moved=True, demand=demand)
            placement = await self._placer.place(request)
        if placement is None:
            stay = Choice(source, facts, demand=refused.placement.demand)
            placement = self._balancer.reserve(stay, self._now())
        self._refused_by[facts.id] = tried
        emit(
            Event.STREAM_SENT_ON,
            request=facts.id,
            source=source.server.id,
            target=placement.view.server.id,
            outcome="continues, since the target did not take the run",
        )
        return Continuation(placement, refused.source, refused.handle, source, refused.refusals + 1)

    def _continue(self, run: StreamRun, continuation: Continuation) -> None:
        if run.done or run.continuation.done():
            # Nobody waits for it: the stream ended, or its reader was cancelled or told otherwise.
            self.release_unused(continuation)
        else:
            self._resolve(run, continuation)

    def _may_serve(self, server: Server) -> bool:
        leaving = self._leaving.get(server.id)
        return leaving is not None and leaving.may_serve(self._now())

    def _left_s(self, server: Server) -> float:
        """Return the time until a server is expected to end."""
        leaving = self._leaving.get(server.id)
        return max(0.0, leaving.ends_at - self._now()) if leaving is not None else 0.0

    def _resolve(self, run: StreamRun, result: Continuation | None) -> None:
        if not run.continuation.done():
            run.continuation.set_result(result)

    def _log_move(
        self,
        run: StreamRun,
        server: Server,
        target: Placement,
        outcome: str,
        stopped_s: float = 0.0,
    ) -> None:
        emit(
            Event.STREAM_SENT_ON,
            request=run.facts.id,
            source=server.id,
            target=target.view.server.id,
            source_version=server.version,
            target_version=target.view.server.version,
            tokens=run.tokens(),
            events=run.events,
            outcome=outcome,
            stopped_ms=round(stopped_s * 1000),
        )

    def _engine(self, service: str) -> Engine | None:
        index = self._index()
        found = index.services.get(service) if index is not None else None
        return found.engine if found is not None else None


def _copy_s(run: StreamRun, engine: Engine, other_hall: bool) -> float:
    """Return the time that a copy of a run takes on links without other copies."""
    return link_of(engine).copy_s(run.tokens(), other_hall)
