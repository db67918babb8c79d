"""Replays a workload against modelled engines on a virtual clock.

Nodes decide with the daemon's own code: the load tracker, the waiting queue and the reclaim plan.
Only time is modelled here: the duration of engine steps, the lag of reports, and reclaim notices.
An engine is a model server.
"""

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from bench.policies import Policy
from bench.workload import Turn, block_hashes
from moledale.bundle.schema import Priority
from moledale.core import reclaim
from moledale.core.hashing import first_ranked
from moledale.core.queueing import WaitingQueue, estimated_wait_s
from moledale.core.routing import (
    LoadTracker,
    Need,
    Reservation,
    ServerView,
    Speeds,
    Standing,
    eligible,
)
from moledale.node.waiting import AFFINITY_WAIT_S, MAX_WAITERS_PER_PASS
from moledale.servers.types import LoadReport
from standins.engine_model import EngineModel, EngineSpec, Sequence

MODEL = "m"
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.3
"""Time from a load report until nodes apply it."""

EVICTION_LAG_S = 0.5
"""Time from a cache eviction until nodes know of it."""

MAX_WAITING = 2_000
NOTICE_LAG_S = 1.5
"""Time from a reclaim notice until nodes know of it."""

KV_BYTES_PER_TOKEN = 100_000
LINK_BYTES_PER_S = 3.0e9
RESUME_DELAY_S = 0.1
"""Time from a broken stream until its request is queued again."""

DRAIN_S = 120.0
"""Time after the last arrivals in which open requests may still finish; the rest counts as lost."""


@dataclass(frozen=True)
class ReclaimWave:
    """A reclaim of several engines at once.

    The named engines get their notice at `at` and are gone `notice_s` later. Replacements start
    `replaced_after_s` after the notice, or never if it is None.
    """

    at: float
    engines: tuple[str, ...]
    notice_s: float = 10.0
    replaced_after_s: float | None = 25.0


@dataclass(frozen=True)
class Scenario:
    """The simulated deployment and its faults.

    Engines are spread evenly over the halls. Requests arrive for `duration_s`. No load reports are
    made between the two times of `report_outage_s`, except when a request finishes.
    """

    name: str
    engines: int
    halls: int = 4
    nodes: int = 9
    duration_s: float = 90.0
    spec: EngineSpec = field(default_factory=EngineSpec)
    waves: tuple[ReclaimWave, ...] = ()
    report_outage_s: tuple[float, float] = (0.0, 0.0)


@dataclass
class Request:
    """State of a request; `produced` is the number of tokens generated so far."""

    turn: Turn
    node: int
    produced: int = 0
    attempts: int = 0
    engine: str = ""
    reservation: Reservation | None = None
    queued_at: float = 0.0
    first_token_at: float | None = None
    last_token_at: float | None = None
    refused_at: float | None = None
    lost: bool = False
    done: bool = False

    @property
    def context_tokens(self) -> int:
        """Return the tokens that a server must have in its cache to generate the next one."""
        return self.turn.prompt_tokens + self.produced


@dataclass
class Outcome:
    """Raw results of a run.

    `recomputed_tokens` are those of the `computed_tokens` that an engine had already computed for
    the same session. `unfinished_drains` counts engines that still had requests when they were
    gone, under policies that plan reclaims.
    """

    requests: list[Request] = field(default_factory=list)
    recomputed_tokens: int = 0
    computed_tokens: int = 0
    tokens_by_engine: Counter[str] = field(default_factory=Counter)
    requests_by_node: Counter[int] = field(default_factory=Counter)
    engine_hours: float = 0.0
    unfinished_drains: int = 0


@dataclass
class _Engine:
    """A model server; `sequence` numbers its load reports, `requests` is keyed by attempt."""

    name: str
    hall: str
    model: EngineModel
    stepping: bool = False
    alive: bool = True
    started_at: float = 0.0
    sequence: int = 0
    requests: dict[str, Request] = field(default_factory=dict)


@dataclass
class _Node:
    """A node's view of the engines, its queue, and a moving average of the service time."""

    load_tracker: LoadTracker
    queue: WaitingQueue[Request]
    mean_service_s: float = 2.0


class Replay:
    """Discrete-event simulation of one policy under one workload."""

    def __init__(
        self,
        scenario: Scenario,
        policy: Policy,
        turns: list[Turn],
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        self._turns = turns
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_id = 0
        self._computed_context: defaultdict[str, int] = defaultdict(int)
        self._engines: dict[str, _Engine] = {}
        self._nodes = [
            _Node(LoadTracker(20_000), WaitingQueue(MAX_WAITING)) for _ in range(scenario.nodes)
        ]
        self._outcome = Outcome()

    def run(self) -> Outcome:
        """Run the simulation and return its results."""
        for index in range(self._scenario.engines):
            self._add_engine(f"e{index}", f"h{index % self._scenario.halls}")
        for turn in self._turns:
            self._schedule_at(turn.at, lambda turn=turn: self._on_arrival(turn))  # type: ignore[misc]
        for wave in self._scenario.waves:
            self._schedule_at(wave.at, lambda wave=wave: self._on_notice(wave))  # type: ignore[misc]
        end = self._scenario.duration_s + DRAIN_S
        self._schedule_at(0.0, self._report_all)
        self._schedule_at(0.1, self._tick)
        while self._events and self._events[0][0] <= end:
            self._now, _, action = heapq.heappop(self._events)
            action()
            if self._now > self._scenario.duration_s and self._all_done():
                break
        return self._finish()

    # Event loop

    def _schedule_at(self, when: float, action: Callable[[], None]) -> None:
        self._event_id += 1
        heapq.heappush(self._events, (when, self._event_id, action))

    def _schedule_after(self, seconds: float, action: Callable[[], None]) -> None:
        self._schedule_at(self._now + seconds, action)

    # Engines

    def _add_engine(self, name: str, hall: str) -> None:
        engine = _Engine(name, hall, EngineModel(self._scenario.spec), started_at=self._now)
        self._engines[name] = engine
        spec = self._scenario.spec
        speeds = Speeds(spec.prefill_tokens_per_s, spec.decode_tokens_per_s, spec.slots)
        for node in self._nodes:
            view = ServerView(name, hall, name, speeds, frozenset({MODEL}))
            node.load_tracker.follow(view)
        for index in range(len(self._nodes)):
            self._dispatch_waiting(index)

    def _submit(self, request: Request, engine: _Engine) -> None:
        request.attempts += 1
        attempt = f"{id(request)}.{request.attempts}"
        engine.requests[attempt] = request
        engine.model.submit(
            Sequence(
                attempt,
                request.turn.session,
                block_hashes(request.turn.session, request.context_tokens),
                request.context_tokens,
                request.produced,
                request.turn.output_tokens,
                request.turn.priority.value,
            )
        )
        self._step_soon(engine)

    def _step_soon(self, engine: _Engine) -> None:
        if engine.stepping or not engine.alive or not engine.model.busy:
            return
        engine.stepping = True
        step = engine.model.step()

        def finish_step() -> None:
            engine.stepping = False
            if not engine.alive:
                return
            for attempt, _ in step.tokens:
                self._on_token(engine, attempt)
            for sequence in step.finished:
                self._on_finished(engine, sequence)
            self._report_evictions(engine)
            self._step_soon(engine)

        self._schedule_after(step.duration_s, finish_step)

    def _on_token(self, engine: _Engine, attempt: str) -> None:
        request = engine.requests.get(attempt)
        if request is None or request.done:
            return
        request.produced += 1
        self._outcome.tokens_by_engine[engine.name] += 1
        if request.first_token_at is None:
            request.first_token_at = self._now
        request.last_token_at = self._now
        node = self._nodes[request.node]
        if request.reservation is not None and request.reservation.prefill_tokens:
            request.reservation = node.load_tracker.record_first_token(request.reservation)

    def _on_finished(self, engine: _Engine, sequence: Sequence) -> None:
        request = engine.requests.pop(sequence.attempt, None)
        if request is None:
            return
        request.done = True
        self._count_computed(request, sequence)
        node = self._nodes[request.node]
        self._release(request)
        node.load_tracker.record_cache(request.turn.session, engine.name, sequence.context_tokens)
        node.mean_service_s += 0.1 * (self._now - request.turn.at - node.mean_service_s)
        self._report(engine, [request.node])
        self._dispatch_waiting(request.node)

    def _count_computed(self, request: Request, sequence: Sequence) -> None:
        """Count an attempt's computed tokens, and those computed before for its session."""
        session = request.turn.session
        new = max(0, sequence.context_tokens - self._computed_context[session])
        self._outcome.computed_tokens += sequence.computed_tokens
        self._outcome.recomputed_tokens += max(0, sequence.computed_tokens - new)
        self._computed_context[session] = max(
            self._computed_context[session], sequence.context_tokens
        )

    def _report_evictions(self, engine: _Engine) -> None:
        notes, engine.model.cache.changes = engine.model.cache.changes, []
        evicted = [note.session for note in notes if note.kind == "evicted"]
        if not evicted:
            return

        def forget_evicted() -> None:
            for node in self._nodes:
                for session in evicted:
                    if node.load_tracker.server_of(session) == engine.name:
                        node.load_tracker.forget_session(session)

        self._schedule_after(EVICTION_LAG_S, forget_evicted)

    # Load reports

    def _report_all(self) -> None:
        begin, end = self._scenario.report_outage_s
        if not begin <= self._now < end:
            for engine in self._engines.values():
                if engine.alive:
                    self._report(engine, list(range(len(self._nodes))))
        self._schedule_after(REPORT_INTERVAL_S, self._report_all)

    def _report(self, engine: _Engine, nodes: list[int]) -> None:
        """Report an engine's current load to some nodes, which apply it after `REPORT_LAG_S`."""
        engine.sequence += 1
        load, measured_at = engine.model.load(), self._now
        report = LoadReport(
            engine.name,
            engine.sequence,
            load.running,
            load.waiting,
            load.pending_prefill_tokens,
            load.decode_tokens,
            [MODEL],
        )

        def deliver() -> None:
            for index in nodes:
                self._nodes[index].load_tracker.apply_report(report, measured_at, self._now)
                self._dispatch_waiting(index)

        self._schedule_after(REPORT_LAG_S, deliver)

    # Requests

    def _on_arrival(self, turn: Turn) -> None:
        name = first_ranked(turn.session, [str(index) for index in range(len(self._nodes))])
        request = Request(turn, int(name or 0))
        self._outcome.requests.append(request)
        self._outcome.requests_by_node[request.node] += 1
        if self._policy.rejects_early and self._would_miss_deadline(request):
            request.refused_at = self._now
            return
        self._enqueue(request)

    def _would_miss_deadline(self, request: Request) -> bool:
        node = self._nodes[request.node]
        ready = eligible(node.load_tracker.views.values(), self._need(request))
        slots = sum(view.speeds.slots for view in ready)
        free = sum(max(0, view.speeds.slots - view.running) for view in ready)
        queued_ahead = node.queue.count_ahead(request.turn.priority, self._now)
        # Other nodes use the same slots, so each node counts only on its share of them.
        share = 1 / len(self._nodes)
        wait_s = estimated_wait_s(
            queued_ahead, free, max(1, round(slots * share)), node.mean_service_s
        )
        return wait_s > request.turn.deadline_s

    def _enqueue(self, request: Request) -> None:
        node = self._nodes[request.node]
        deadline = request.turn.at + request.turn.deadline_s
        request.queued_at = self._now
        offered = node.queue.offer(request, request.turn.priority, self._now, deadline)
        if not offered.accepted:
            request.refused_at = self._now
        if offered.evicted is not None:
            offered.evicted.refused_at = self._now
        self._dispatch_waiting(request.node)

    def _tick(self) -> None:
        """Refuse expired requests and dispatch waiting ones every 0.1 s."""
        if self._policy.rejects_early:
            for node in self._nodes:
                for request in node.queue.pop_expired(self._now):
                    request.refused_at = self._now
        for index in range(len(self._nodes)):
            self._dispatch_waiting(index)
        self._schedule_after(0.1, self._tick)

    def _dispatch_waiting(self, index: int) -> None:
        """Dispatch a node's waiting requests in order of rank, as the daemon does."""
        node = self._nodes[index]
        if not len(node.queue):
            return
        full: set[Priority] = set()
        for request in node.queue.in_order()[:MAX_WAITERS_PER_PASS]:
            has_cache = node.load_tracker.server_of(request.turn.session) is not None
            if request.turn.priority in full and not has_cache:
                continue
            need = self._need(request)
            if self._now - request.queued_at >= AFFINITY_WAIT_S:
                need = replace(need, wait_for_cache=False)
            chosen = self._policy.choose(list(node.load_tracker.views.values()), need)
            if chosen is None:
                if not has_cache:
                    full.add(request.turn.priority)
                continue
            node.queue.remove(request)
            self._dispatch(node, request, chosen.server, need)

    def _dispatch(self, node: _Node, request: Request, server: str, need: Need) -> None:
        request.engine = server

        def reserve() -> None:
            if server in node.load_tracker.views and not request.done and request.engine == server:
                request.reservation = node.load_tracker.reserve(server, need, self._now)

        if self._policy.reserve_delay_s:
            self._schedule_after(self._policy.reserve_delay_s, reserve)
        else:
            reserve()
        engine = self._engines[server]
        if engine.alive:
            self._submit(request, engine)
        else:
            self._resume(request)

    def _need(self, request: Request) -> Need:
        turn = request.turn
        left = turn.output_tokens - request.produced
        return Need(MODEL, request.context_tokens, left, turn.session, "", turn.priority)

    def _release(self, request: Request) -> None:
        if request.reservation is not None:
            self._nodes[request.node].load_tracker.release(request.reservation, self._now)
            request.reservation = None

    def _resume(self, request: Request) -> None:
        """Queue a request again after its server has gone."""
        self._release(request)
        request.engine = ""
        self._schedule_after(RESUME_DELAY_S, lambda: self._enqueue(request))

    # Reclaims

    def _on_notice(self, wave: ReclaimWave) -> None:
        def handle_notice() -> None:
            for index, node in enumerate(self._nodes):
                for name in wave.engines:
                    view = node.load_tracker.views.get(name)
                    if view is not None and view.standing is Standing.LIVE:
                        view.note_leaving()  # type: ignore[attr-defined]
                if self._policy.plans_reclaims:
                    self._plan_reclaim(index, wave)

        def remove_engines() -> None:
            for name in wave.engines:
                self._remove_engine(self._engines[name])

        self._schedule_after(NOTICE_LAG_S, handle_notice)
        self._schedule_after(wave.notice_s, remove_engines)
        if wave.replaced_after_s is not None:
            for name in wave.engines:
                hall = self._engines[name].hall
                self._schedule_after(
                    wave.replaced_after_s,
                    lambda name=name, hall=hall: self._add_engine(f"{name}r", hall),  # type: ignore[misc]
                )

    def _plan_reclaim(self, index: int, wave: ReclaimWave) -> None:
        """Plan a node's streams and idle caches on the leaving engines, and schedule the moves."""
        spec = self._scenario.spec
        for name in wave.engines:
            engine = self._engines[name]
            own_requests = {a: r for a, r in engine.requests.items() if r.node == index}
            held = self._held_sessions(self._nodes[index], engine, own_requests)
            share = max(1, len(own_requests)) / max(1, len(engine.requests))
            view = reclaim.ReclaimView(
                wave.notice_s - NOTICE_LAG_S,
                LINK_BYTES_PER_S * share,
                spec.prefill_tokens_per_s,
            )
            by_id = {session.id: session for session in held}
            link_used_s = 0.0
            for held_id, action in reclaim.plan(held, view).items():
                if action is reclaim.ReclaimAction.MOVE:
                    link_used_s += by_id[held_id].kv_bytes / view.bandwidth_bytes_per_s
                    move = (
                        self._finish_idle_transfer if by_id[held_id].idle else self._finish_transfer
                    )
                    self._schedule_after(link_used_s, partial(move, index, engine, held_id))
                elif action is reclaim.ReclaimAction.PREFILL and not by_id[held_id].idle:
                    self._stop_and_resume(engine, held_id)

    def _held_sessions(
        self, node: _Node, engine: _Engine, own_requests: dict[str, Request]
    ) -> list[reclaim.HeldSession]:
        """Return a node's streams on an engine and, if the policy moves them, its idle caches."""
        spec = self._scenario.spec
        token_s = spec.slots / spec.decode_tokens_per_s
        held = [
            reclaim.HeldSession(
                attempt,
                request.context_tokens,
                request.context_tokens * KV_BYTES_PER_TOKEN,
                (request.turn.output_tokens - request.produced) * token_s,
                request.turn.priority is Priority.IMMEDIATE,
            )
            for attempt, request in own_requests.items()
        ]
        view = node.load_tracker.views.get(engine.name)
        if not self._policy.moves_idle_caches or view is None:
            return held
        busy = {request.turn.session for request in own_requests.values()}
        return held + [
            reclaim.HeldSession(session, tokens, tokens * KV_BYTES_PER_TOKEN, 0.0, False, idle=True)
            for session, tokens in view.cached.items()
            if session not in busy
        ]

    def _finish_idle_transfer(self, index: int, source: _Engine, session: str) -> None:
        """Store an idle session's cache at the server that the policy chooses."""
        node = self._nodes[index]
        if not source.alive or node.load_tracker.server_of(session) != source.name:
            return
        tokens = node.load_tracker.views[source.name].cached[session]
        need = Need(MODEL, tokens, 0, session)
        chosen = self._policy.choose(list(node.load_tracker.views.values()), need)
        if chosen is not None:
            blocks = block_hashes(session, tokens)
            self._engines[chosen.server].model.import_context(blocks, session)
            node.load_tracker.record_cache(session, chosen.server, tokens)

    def _finish_transfer(self, index: int, source: _Engine, attempt: str) -> None:
        """Store a stream's cache at the server that the policy chooses and resume it there."""
        request = source.requests.get(attempt)
        if request is None or request.done or not source.alive:
            return
        node = self._nodes[index]
        need = self._need(request)
        chosen = self._policy.choose(list(node.load_tracker.views.values()), need)
        if chosen is None:
            return
        target = self._engines[chosen.server]
        blocks = block_hashes(request.turn.session, request.context_tokens)
        target.model.import_context(blocks, request.turn.session)
        self._stop_attempt(source, attempt)
        self._release(request)
        self._dispatch(node, request, chosen.server, need)

    def _stop_and_resume(self, engine: _Engine, attempt: str) -> None:
        request = self._stop_attempt(engine, attempt)
        if request is not None:
            self._resume(request)

    def _stop_attempt(self, engine: _Engine, attempt: str) -> Request | None:
        sequence = engine.model.sequences.get(attempt)
        request = engine.requests.pop(attempt, None)
        if sequence is not None and request is not None:
            self._count_computed(request, sequence)
        engine.model.cancel(attempt)
        return request

    def _remove_engine(self, engine: _Engine) -> None:
        engine.alive = False
        self._outcome.engine_hours += (self._now - engine.started_at) / 3600
        if self._policy.plans_reclaims and engine.requests:
            self._outcome.unfinished_drains += 1
        for attempt in list(engine.requests):
            self._stop_and_resume(engine, attempt)
        for index, node in enumerate(self._nodes):
            node.load_tracker.unfollow(engine.name)
            self._dispatch_waiting(index)

    # Results

    def _all_done(self) -> bool:
        return all(r.done or r.refused_at is not None for r in self._outcome.requests)

    def _finish(self) -> Outcome:
        for request in self._outcome.requests:
            request.lost = not request.done and request.refused_at is None
        for engine in self._engines.values():
            if engine.alive:
                until = max(engine.started_at, self._scenario.duration_s)
                self._outcome.engine_hours += (until - engine.started_at) / 3600
        return self._outcome
