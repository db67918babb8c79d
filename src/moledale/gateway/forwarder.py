"""Forwarding of one request: placement, retries on other servers, and the final response."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from moledale.clock import monotonic
from moledale.faults import record_fault
from moledale.gateway.accounts import AccountLimits
from moledale.gateway.admission import BLOCKED_REASON, Admission
from moledale.gateway.answers import CRASH_CUTS, AnswerReader
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import Choice, PlacementRefused
from moledale.gateway.dialect import Dialect
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.messages import AttemptFacts, Framing, InboundRequest, Refusal
from moledale.gateway.permits import PERMIT_TIMEOUT_S, PermitClient, standalone_permit_client
from moledale.gateway.placing import PlacementCheck, PlacementRequest, Placer
from moledale.gateway.plan import Engine, Kind, Plan, PlanIndex
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.reach_probe import ReachProber
from moledale.gateway.refusals import NO_CONNECTION, NO_SERVER, NOT_RUN_RETRY_S, Refusals
from moledale.gateway.relay import Relay, RelayOutcome
from moledale.gateway.reply import Reply, ReplyStarted
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.server_notices import SERVICE_UNAVAILABLE
from moledale.gateway.server_view import Placement, record_silence
from moledale.gateway.settings import Scheduling
from moledale.gateway.sharing import Sharing
from moledale.gateway.turns import PERMIT_TIMEOUT_SHARE, RetryScheduler, max_queue_wait_s
from moledale.gateway.upstream import AnswerCut, ConnectFailed, NoResources, UpstreamConnection
from moledale.log import Event, emit
from moledale.scheduling.backup_runs import Backups
from moledale.scheduling.backups import BackupCopy
from moledale.scheduling.engine_memory import Demand
from moledale.scheduling.engine_priority import EnginePriorities, clamped_priority
from moledale.scheduling.expected_ends import EndedStream, max_events_of
from moledale.scheduling.move_slot_gate import MoveSlotGate
from moledale.scheduling.overload_gate import FirstSend, OverloadGate
from moledale.scheduling.stream_runs import (
    DEFAULT_PRIORITY,
    BrokenRun,
    Continuation,
    Engines,
    StreamRun,
)
from moledale.scheduling.switches import Feature, Switches
from moledale.streams.origins import StreamOrigins, standalone_origins
from moledale.streams.version_register import any_version

MAX_UNREACHABLE_SERVERS = 6
"""Servers that may fail to accept a connection before a request is given up. Nothing was sent to
them, so they do not count as sends.
"""

OTHER_NODE_RETRY_S = 0.05
"""Retry delay when other nodes are known to be able to serve; it only spreads callers a little."""

INTERNAL_ERROR = "internal error"
NOT_RUN_AFTER_FAULT = Refusal(503, INTERNAL_ERROR, NOT_RUN_RETRY_S)
"""Answer to a request that met an unexpected error before it was sent to any server."""

UNKNOWN_ORIGIN = "it is not known which version began the stream"
VERSION_GONE = "no server runs the version that began the stream"

UNKNOWN_ORIGIN_RETRY_S = 0.2
"""Retry delay while a node that may know the version did not answer."""

NO_EVENT_ID = "0"
"""Last event id that is sent for a stream without any event yet."""


def _stale_list_attempt() -> Attempt:
    """Return the attempt of a request that another node can serve at once."""
    why = "the list of servers is out of date"
    return Attempt(AttemptOutcome.NOT_RUN, retry_after_s=OTHER_NODE_RETRY_S, why=why)


async def _list_always_current() -> bool:
    """Treat the list of servers as current."""
    return True


def _no_trial(_service: str, _route: str, _first_send: bool) -> float:
    """Send no request to a version on trial."""
    return 0.0


class Forwarder:
    """Forwards requests to backend servers; state from peers arrives through `sharing`.

    `trial_share` is called with a service, a route and whether this is a request's first send. It
    returns the share of the load that servers of a version on trial bear if the request goes to one
    of them, and 0 if it goes to the others. `starting_nodes` returns how many nodes may be starting
    to serve at the same time. `newer_plan` returns whether a newer plan is known to exist, and
    `list_is_current` whether requests may rely on the list of servers. `first_start` is set when
    the whole system starts for the first time. `switches` tells which scheduling features apply;
    none do without it. `may_begin` returns whether streams of a service may begin at a version.
    `handled` counts the requests of callers.
    """

    def __init__(
        self,
        dialect: Dialect,
        balancer: LoadBalancer,
        pool: ConnectionPool,
        sharing: Sharing,
        engines: Engines,
        now: Callable[[], float] = monotonic,
        newer_plan: Callable[[], bool] = lambda: False,
        list_is_current: Callable[[], Awaitable[bool]] = _list_always_current,
        first_start: bool = False,
        trial_share: Callable[[str, str, bool], float] = _no_trial,
        starting_nodes: Callable[[], int] = lambda: 1,
        permits: PermitClient | None = None,
        switches: Switches | None = None,
        origins: StreamOrigins | None = None,
        may_begin: Callable[[str, str], bool] = any_version,
    ) -> None:
        limits = AccountLimits(
            first_start, sharing.limit_window_s, sharing.limit_tolerance, starting_nodes
        )
        self.prober = ReachProber(balancer, pool, now, self._peers_reach)
        self.guard = RequestGuard(
            pool,
            now,
            lambda cut: balancer.record_broken_answer(cut, now()),
            self.prober.links_lost,
        )
        self.admission = Admission(
            dialect, now, newer_plan, limits, self.guard.wait_s, self._may_refuse
        )
        self._dialect = dialect
        self._balancer = balancer
        pool.on_connect = self.prober.record_connect
        balancer.on_silent = self._on_silent
        self.relay = Relay(dialect, lambda: sharing.members.alive(now()), now)
        self._pool = pool
        self._sharing = sharing
        self._permits = permits or standalone_permit_client(balancer, now)
        self._placer = Placer(balancer, self._permits, now)
        self.evacuation = Evacuation(
            engines, balancer, lambda: self.index, sharing.leave_s, now, self._placer
        )
        self.backups = Backups(
            balancer,
            starting_nodes,
            self.evacuation.mean_final_tokens,
            now,
        )
        self.handled = 0
        self._now = now
        self._list_is_current = list_is_current
        self._trial_share = trial_share
        self._switches = switches or Switches(Scheduling())
        self._origins = origins or standalone_origins(balancer.versions, sharing.members, now)
        self._may_begin = may_begin
        self._engine_priorities = EnginePriorities()
        self.overload = OverloadGate()
        self.move_slots = MoveSlotGate(
            balancer, self.evacuation, self._switches, lambda: self.index, now
        )
        self._refusals = Refusals(dialect, balancer, RetryScheduler(starting_nodes, now), now)
        self.refuse = self._refusals.refuse
        self.refusal_metrics = self._refusals.counts.metrics
        self._answers = AnswerReader(
            dialect,
            balancer,
            sharing,
            self.refuse,
            now,
            self.guard,
            self.handle_leaving_server,
            self._on_stream_begun,
        )

    @property
    def index(self) -> PlanIndex | None:
        """Return the plan in force, None before the first one."""
        return self.admission.index

    @property
    def limits(self) -> AccountLimits:
        """Return the limits of client accounts."""
        return self.admission.limits

    def reset_limits(self) -> None:
        """Reset account limits after a period without updates on the spending of peers."""
        if self.index is not None:
            self.limits.reset(self.index.plan.accounts, self._now())

    def has_streams(self, service: str) -> bool:
        """Return whether a route of streams leads to a service."""
        return self.index is not None and service in self.index.stream_services

    def adopt(self, plan: Plan) -> bool:
        """Put a plan in force if it is newer than the current one; return whether it was."""
        return self.admission.adopt(plan)

    def handle_leaving_server(self, name: str, source: str = "answer") -> None:
        """Place no more requests on a server that is leaving, and move its streams in time."""
        server = self._balancer.notices.record_leaving(name)
        if server is not None:
            emit(Event.SERVER_LEAVING, server=name, source=source)
            self.evacuation.servers_changed()

    async def handle(self, request: InboundRequest, reply: Reply) -> None:
        """Handle one request, and write its final response to `reply`."""
        self.handled += 1
        job = self._admit(request, reply)
        if isinstance(job, Refusal):
            self.refuse(reply, request, job, job.request)
            return
        try:
            async with asyncio.timeout(max(0.0, job.left_s(self._now()))):
                await self._forward(job)
        except TimeoutError:
            self._give_up(job, Refusal(504, "the time limit was reached"))
        except asyncio.CancelledError:
            emit(
                Event.CALLER_GONE,
                request=job.facts.id,
                account=job.caller.account,
                sends=job.sends,
            )
            if not job.was_sent:
                self._refund(job)
            raise
        except ReplyStarted:
            raise
        except Exception as error:
            record_fault("request", error)
            # A 503 promises that the request did not run.
            refusal = Refusal(502, INTERNAL_ERROR) if job.was_sent else NOT_RUN_AFTER_FAULT
            self._give_up(job, refusal)

    def _admit(self, request: InboundRequest, reply: Reply) -> Job | Refusal:
        """Return the job of a request, or why it is refused."""
        try:
            return self.admission.admit(request, reply)
        except Exception as error:
            record_fault("admission", error)
            return NOT_RUN_AFTER_FAULT

    def _peers_reach(self, service: str) -> bool:
        """Return whether a peer states that it reached a service recently."""
        alive = self._sharing.members.alive(self._now())
        return any(service in each.reached for each in alive)

    def _on_silent(self, server: str) -> None:
        """Use no open connection of a server that should have sent something."""
        self._pool.discard(server)
        self.prober.record_silence(server)

    def _may_refuse(self, service: str) -> bool:
        """Return whether overload control decides on requests for a service."""
        return self._switches.applies(Feature.OVERLOAD, self.index, service)

    def _publish_charge(self, job: Job) -> None:
        """Tell peers of a request's charge, since the request was accepted."""
        if job.charge is not None:
            self.limits.publish(job.charge, self._now())

    def _refund(self, job: Job) -> None:
        """Take back the charge of a request that did not run and never will."""
        if job.charge is not None:
            self.limits.refund(job.charge, self._now())

    def _log_served(self, job: Job, placement: Placement, attempt: Attempt) -> None:
        now = self._now()
        first_at = placement.first_at or now
        emit(
            Event.SERVED,
            request=job.facts.id,
            route=job.route.name,
            account=job.caller.account,
            server=placement.view.server.id,
            version=placement.view.server.version,
            resumes=job.facts.resumes,
            parts=job.facts.logged_parts,
            sends=job.sends,
            status=job.reply.status,
            tokens=job.facts.prompt_tokens,
            uncached=placement.uncached,
            fetched=placement.fetched,
            ahead=placement.queued_ahead,
            beside=placement.concurrent,
            first_ms=round((first_at - job.request.arrived_at) * 1000),
            target_ms=round(job.route.target_s * 1000),
            pause_ms=round(job.longest_pause_s * 1000),
            gap_ms=round(job.route.gap_s * 1000),
            ms=round((now - job.request.arrived_at) * 1000),
            framing=attempt.framing,
            leaving=attempt.statement.leaving,
            server_limit=attempt.statement.limit_per_s,
        )

    async def _forward(self, job: Job) -> None:
        """Try servers until one responds or no further attempt is allowed.

        A request is relayed if no server of its service is reached: at once, or when its own
        attempts show that.
        """
        if await self._relayed(job):
            return
        if not await self._bind_resumed(job):
            return
        self._sharing.record_request(job.service, self._now())
        self._sharing.record_offered(job.service, job.caller.account, job.facts.tokens)
        last = Attempt(AttemptOutcome.NOT_SENT, why=NO_SERVER)
        continuation: Continuation | None = None
        while True:
            if continuation is None and not await self._list_is_current():
                if not job.sends:
                    last = _stale_list_attempt()
                break
            if blocked_s := self.guard.job_wait_s(job):
                if continuation is not None:
                    self._release_unused(continuation)
                await self._end_blocked(job, last, blocked_s)
                return
            # Timers do not advance while the machine is suspended, so the timeout may fire late.
            if job.left_s(self._now()) <= 0:
                if continuation is not None:
                    self._release_unused(continuation)
                raise TimeoutError
            try:
                placement = (
                    await self._place(job) if continuation is None else continuation.placement
                )
            except PlacementRefused as refused:
                self._give_up(job, Refusal(503, refused.reason, refused.retry_after_s))
                return
            if placement is None:
                if last.why == NO_SERVER:
                    last = self._refusals.no_server_attempt(job)
                break
            placement.route = job.route.name
            attempt = await self._attempt(job, placement, continuation)
            former = continuation
            continuation = await self._next_continuation(job, attempt, former)
            if former is not None and former.cut_at is not None:
                self._record_backup_used(job, attempt, former.cut_at, placement)
            if attempt.outcome is AttemptOutcome.ANSWERED:
                if attempt.framing is Framing.CLOSE:
                    self.guard.record_unframed_end(job, placement)
                else:
                    self.guard.record_served(job)
                if former is None:
                    self._observe_duration(job, placement)
                self._log_served(job, placement, attempt)
                self._record_stream_end(job, placement)
                return
            if continuation is not None:
                continue
            last = attempt
            if await self._relayed(job):
                return
            if not self._may_retry(job, attempt):
                break
        await self._end_without_answer(job, last)

    async def _bind_resumed(self, job: Job) -> bool:
        """Bind a stream that its caller resumes to the version that began it.

        Return False if the request is refused, since that is not known or only other versions have
        servers. A service without any server may get some of that version again.
        """
        if job.route.kind is not Kind.STREAM or not job.facts.resumed:
            return True
        origin = await self._origins.find(job.facts.resumes, job.service)
        job.version = origin.version
        if origin.version is None:
            retry_s = UNKNOWN_ORIGIN_RETRY_S if origin.retry else None
            self._give_up(job, Refusal(503, UNKNOWN_ORIGIN, retry_s))
            return False
        if self._balancer.group(job.service).has_only_other_versions(origin.version):
            self._give_up(job, Refusal(503, VERSION_GONE))
            return False
        return True

    def _on_stream_begun(self, job: Job) -> None:
        """Record the version that began a stream."""
        if job.version is not None:
            self._origins.record(job.facts.id, job.service, job.version)

    def _may_relay(self, job: Job) -> bool:
        """Return whether a request may be relayed: it was sent to no server, and none is reached.

        If only some servers take no connection, the others are tried from here.
        """
        if job.was_sent or job.relay_tried or job.request.relayed:
            return False
        unreachable = self._balancer.reachability.is_unreachable(job.service)
        return unreachable and self.relay.is_possible(job.service)

    async def _relayed(self, job: Job) -> bool:
        """Relay a request if it may be; return whether its caller has a final response."""
        if not self._may_relay(job):
            return False
        job.relay_tried = True
        self._publish_charge(job)
        outcome = await self.relay.relay(job)
        if job.reply.status == SERVICE_UNAVAILABLE:
            self._refund(job)
        if outcome is RelayOutcome.BROKEN:
            job.may_have_run = True
            broken = Attempt(AttemptOutcome.BROKEN, why="the peer broke off")
            await self._end_without_answer(job, broken)
        return outcome is not RelayOutcome.NOT_RUN

    def _record_stream_end(self, job: Job, placement: Placement) -> None:
        """Tell overload control how long a stream took that had all its events from one server."""
        engine = self._engine(job.service)
        events = job.splitter.event_count
        whole = job.sends == 1 and not job.facts.resumed_after
        if engine is None or job.last_event_at is None or not events or not whole:
            return
        stream = EndedStream(
            job.route.name,
            max_events_of(job.facts.answer_tokens, engine.event_tokens),
            events,
            (job.last_event_at - placement.first_at) / max(1, events - 1),
            placement.concurrent,
        )
        self.overload.record_end(job.service, stream, self._now())

    async def _next_continuation(
        self, job: Job, attempt: Attempt, refused: Continuation | None
    ) -> Continuation | None:
        """Return where a stream that was stopped continues after an attempt, None if nowhere.

        If the server did not take a stopped run, the cache at its source is still unused.
        """
        if attempt.broken_run is not None:
            return await self._continue_at_backup(job, attempt.broken_run)
        if attempt.continuation is not None or refused is None or refused.cut_at is not None:
            return attempt.continuation
        if attempt.outcome not in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
            return None
        engine = self._engine(job.service)
        if engine is None:
            return None
        return await self.evacuation.continue_elsewhere(refused, job.facts, engine, job.tried)

    async def _continue_at_backup(self, job: Job, broken: BrokenRun) -> Continuation | None:
        """Return the continuation of a run whose server has ended, None if it may not go on.

        The send is counted in the retry budget at once, so that the other runs of the server find
        the budget as it will be.
        """
        placement = broken.placement
        why = ""
        continuation = None
        if not await self.guard.await_server_end(placement, broken.cut_at):
            why = "the server has not ended"
        elif job.splitter.event_count and not job.splitter.last_id:
            why = "the events have no ids"
        elif not self.guard.may_retry(job):
            why = "the request is blocked"
        elif not self._sharing.may_retry(job.service, self._now()):
            why = "the retry budget is used up"
        else:
            continuation = self.backups.continuation(broken, job.facts)
            why = "the backup takes no work"
        if continuation is None:
            self.backups.record_failed(job.facts, broken.copy.backup.target, why)
            return None
        self._sharing.record_retry(job.service, self._now())
        job.retry_counted = True
        return continuation

    def _record_backup_used(
        self, job: Job, attempt: Attempt, cut_at: float, placement: Placement
    ) -> None:
        """Count the result of a continuation from a backup, unless it was moved since."""
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self.backups.record_continued(job.facts, placement, cut_at)
        elif attempt.outcome is not AttemptOutcome.MOVED:
            self.backups.record_failed(job.facts, placement.view.server.id, attempt.why)

    def _release_unused(self, continuation: Continuation) -> None:
        """Stop counting a continuation that is not used; a backup can't be released."""
        if continuation.cut_at is None:
            self.evacuation.release_unused(continuation)
        else:
            continuation.placement.end()

    def _backup_engine(self, job: Job) -> Engine | None:
        """Return the engine of a stream that may get a backup, None if it may not."""
        if job.route.kind is not Kind.STREAM or job.route.repeatable:
            return None
        if not self._switches.applies(Feature.BACKUPS, self.index, job.service):
            return None
        engine = self._engine(job.service)
        return engine if engine is not None and engine.backups else None

    def _choose_backup(self, job: Job, placement: Placement) -> BackupCopy | None:
        """Choose the backup of a stream that is about to be sent, where backups apply."""
        engine = self._backup_engine(job)
        if engine is None:
            return None
        return self.backups.choose(job.facts, job.route, engine, placement.view)

    def _observe_duration(self, job: Job, placement: Placement) -> None:
        """Record the duration of a stream that was completed by its first server."""
        engine = self._backup_engine(job)
        if engine is not None:
            took_s = self._now() - placement.sent_at
            self.backups.observe(job.facts, job.route, engine, took_s)

    async def _place(self, job: Job) -> Placement | None:
        share = self._trial_share(job.service, job.route.name, not job.tried)
        max_wait_s = max_queue_wait_s(job, self._now())
        permit_timeout_s = min(PERMIT_TIMEOUT_S, PERMIT_TIMEOUT_SHARE * job.route.target_s)
        engine = self._engine(job.service)
        if self._balancer.group(job.service).limited.names:
            # The request may wait for a permit, and peers must know of its charge meanwhile.
            self._publish_charge(job)
        return await self._placer.place(
            PlacementRequest(
                job.service,
                job.facts,
                engine,
                job.tried | self._closed_versions(job),
                share if job.version is None else 0.0,
                max_wait_s=max_wait_s,
                permit_timeout_s=permit_timeout_s,
                check=self._first_send_check(job),
                avoided=self.move_slots.full_servers(job.service, engine),
                demand=self._demand(job),
            )
        )

    def _closed_versions(self, job: Job) -> frozenset[str]:
        """Return the servers that a request may not go to because of their version."""
        if job.version is not None:
            return self._balancer.other_versions(job.service, job.version)
        if job.route.kind is not Kind.STREAM:
            return frozenset()
        return self._balancer.servers_of_versions(
            job.service,
            {
                version
                for version in self._balancer.versions.listed(job.service)
                if not self._may_begin(job.service, version)
            },
        )

    def _first_send_check(self, job: Job) -> PlacementCheck | None:
        """Return the checks of a request's first send where scheduling features apply."""
        overload_check = self._overload_check(job)
        engine = self._engine(job.service)
        if job.tried or job.facts.resumed_after or engine is None:
            return overload_check
        return self.move_slots.checked(job.service, engine, overload_check)

    def _overload_check(self, job: Job) -> PlacementCheck | None:
        """Return the check of a request's first send where overload control applies.

        A stream that its caller resumes was accepted before, so it is not checked.
        """
        first_send = not job.tried and not job.facts.resumed_after
        if not first_send or not self._may_refuse(job.service):
            self._publish_charge(job)
            return None
        now = self._now()
        first = FirstSend(
            job.service,
            job.caller.account,
            job.route,
            self._priority(job) or 0,
            now - job.request.arrived_at,
            job.left_s(now),
        )

        def check(choice: Choice, at: float) -> Callable[[float, float], None]:
            record_first_event = self.overload.check(first, choice, at)
            self._publish_charge(job)
            return record_first_event

        return check

    def _demand(self, job: Job) -> Demand | None:
        """Return what a request asks of an engine, where what requests take of engines counts."""
        if not self._switches.applies(Feature.ENGINE_MEMORY, self.index, job.service):
            return None
        facts = job.facts
        priority = self._priority(job)
        spent_s = self._now() - job.request.arrived_at
        return Demand(
            job.route.name,
            DEFAULT_PRIORITY if priority is None else clamped_priority(priority),
            max(0.0, job.route.target_s - spent_s),
            facts.prompt_tokens,
            facts.answer_tokens,
            facts.hint_tokens,
            bool(facts.resumed_after),
        )

    def _engine(self, name: str) -> Engine | None:
        index = self.index
        assert index is not None
        service = index.services.get(name)
        return service.engine if service is not None else None

    def _priority(self, job: Job) -> int | None:
        """Return the priority that is sent to the servers with a request."""
        index = self.index
        if index is None or not self._switches.applies(Feature.OVERLOAD, index, job.service):
            return job.caller.priority
        return self._engine_priorities.level(index, job.service, job.caller.priority, job.route)

    def _may_retry(self, job: Job, attempt: Attempt) -> bool:
        """Return whether the request may be sent to another server."""
        server_left = job.sends < job.route.max_servers
        if job.may_have_run and not (server_left and job.route.repeatable):
            return False
        if not job.may_go_on:
            return False
        if attempt.outcome is AttemptOutcome.NOT_SENT:
            return len(job.tried) - job.sends < MAX_UNREACHABLE_SERVERS
        if not server_left:
            return False
        if not self.guard.may_retry(job):
            return False
        return job.retry_counted or self._sharing.may_retry(job.service, self._now())

    async def _attempt(
        self, job: Job, placement: Placement, continuation: Continuation | None
    ) -> Attempt:
        """Send the request to one server and relay its response.

        A stream that was moved there continues from `continuation`.
        """
        engine = self._engine(job.service)
        event_tokens = engine.event_tokens if engine is not None else 1
        run = StreamRun(
            job.facts,
            job.service,
            placement,
            event_tokens,
            events=job.splitter.event_count,
            gap_s=job.route.gap_s,
            resumable=job.route.repeatable,
            deadline_at=job.deadline_at,
        )
        priority = self._priority(job)
        if priority is not None:
            run.priority = priority
        run.from_backup = continuation is not None and continuation.cut_at is not None
        attempt: Attempt | None = None
        try:
            attempt = await self._send_and_read(job, run, continuation)
            return attempt
        finally:
            self.evacuation.forget(run)
            if run.backup is not None:
                self._release_backup(run.backup, attempt)

    def _release_backup(self, copy: BackupCopy, attempt: Attempt | None) -> None:
        """Stop counting a backup; only a run that completed or never began leaves no copy."""
        outcome = attempt.outcome if attempt is not None else None
        freed = outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN)
        self.backups.release(copy, freed)

    async def _send_and_read(
        self, job: Job, run: StreamRun, continuation: Continuation | None
    ) -> Attempt:
        placement = run.placement
        view = placement.view
        server = view.server
        job.tried |= {server.id}
        connection: UpstreamConnection | None = None
        try:
            try:
                connection = await self._pool.acquire(server.id, server.address)
            except ConnectFailed as error:
                if not isinstance(error, NoResources):
                    record_silence(view, self._now())
                emit(Event.CONNECT_FAILED, request=job.facts.id, server=server.id, why=str(error))
                return Attempt(AttemptOutcome.NOT_SENT, why=NO_CONNECTION)
            if continuation is None and not view.is_open(self._now()):
                # The server announced this while the connection was being made.
                self._pool.release_unused(server.id, connection)
                connection = None
                return Attempt(
                    AttemptOutcome.NOT_SENT, why="the server leaves or asked for a later retry"
                )
            if continuation is None and not await self._still_permitted(placement):
                self._pool.release_unused(server.id, connection)
                connection = None
                return Attempt(AttemptOutcome.NOT_SENT, why="the server named a limit")
            if continuation is None:
                run.backup = self._choose_backup(job, placement)
            if not self.guard.take_send(job):
                self._pool.release_unused(server.id, connection)
                connection = None
                return Attempt(AttemptOutcome.NOT_SENT, why=BLOCKED_REASON)
            self._send(job, connection, run, continuation)
            if job.route.kind is Kind.STREAM:
                run.resend = partial(self._cut_off_queued, job, run, connection)
                self.evacuation.track(run)
            try:
                attempt = await self._answers.read(job, connection, run)
            except AnswerCut as error:
                attempt = await self._after_cut(job, run, error)
            attempt.framing = connection.framing
            if attempt.outcome is not AttemptOutcome.ANSWERED:
                self._log_unanswered(job, placement, attempt)
            self._pool.release(server.id, connection)
            connection = None
            return attempt
        finally:
            if connection is not None:
                connection.abort()
            self._record_unanswered(job, placement)
            placement.end()

    async def _still_permitted(self, placement: Placement) -> bool:
        """Return whether a server may still get a request that was placed on it.

        Many requests may be waiting for a connection at the moment when the server states a limit.
        """
        if placement.permitted or placement.view.limit_per_s is None:
            return True
        return await self._permits.take(placement.view)

    def _log_unanswered(self, job: Job, placement: Placement, attempt: Attempt) -> None:
        """Log a send without a usable response.

        If the response broke off, the line includes the request's fingerprint. The parts of the
        prompt tell what broken-off requests have in common.
        """
        broken = attempt.outcome is AttemptOutcome.BROKEN
        emit(
            Event.ATTEMPT_ENDED,
            request=job.facts.id,
            fingerprint=job.fingerprint.hex() if broken else "",
            route=job.route.name,
            account=job.caller.account,
            server=placement.view.server.id,
            version=placement.view.server.version,
            resumes=job.facts.resumes,
            parts=job.facts.logged_parts,
            sends=job.sends,
            ending=attempt.outcome.value,
            why=attempt.why,
            ms=round((self._now() - placement.sent_at) * 1000),
            framing=attempt.framing,
            partial_bytes=attempt.partial_bytes,
            leaving=attempt.statement.leaving,
            server_again_s=attempt.statement.retry_after_s,
            server_limit=attempt.statement.limit_per_s,
        )

    def _record_unanswered(self, job: Job, placement: Placement) -> None:
        """Count a failure of the server's version if the target passed without an outcome.

        An outcome that was recorded already is not counted again.
        """
        waited_s = self._now() - placement.sent_at
        if job.was_sent and waited_s >= job.route.target_s:
            self._balancer.record_outcome(placement, True, waited_s, self._now())

    def _cut_off_queued(self, job: Job, run: StreamRun, connection: UpstreamConnection) -> bool:
        """End an attempt without an event, to send the request elsewhere, if it may be."""
        if job.splitter.event_count or not job.route.repeatable:
            return False
        if job.sends >= job.route.max_servers or not self.guard.may_retry(job):
            return False
        if not self._answers.may_try_elsewhere(job):
            return False
        # Counted before the send, so that the next queued request finds the budget as it will be.
        self._sharing.record_retry(job.service, self._now())
        job.retry_counted = True
        run.sent_elsewhere = True
        connection.abort()
        return True

    async def _after_cut(self, job: Job, run: StreamRun, error: AnswerCut) -> Attempt:
        """Return the attempt of a stream that was cut off, maybe by this node itself."""
        if run.sent_elsewhere:
            job.may_have_run = True
            job.splitter.discard_partial()
            return Attempt(AttemptOutcome.BROKEN, why="queued at a server that leaves")
        cut_at = self._now()
        moved = await self._await_move(job, run)
        if moved is not None:
            return moved
        attempt = self._answers.handle_cut(job, run.placement, error.cut)
        if run.backup is not None and error.cut in CRASH_CUTS:
            attempt.broken_run = BrokenRun(run.backup, run.placement, cut_at)
        return attempt

    async def _await_move(self, job: Job, run: StreamRun) -> Attempt | None:
        """Return the attempt that continues a stream which was stopped to be moved, or None."""
        if not run.stopping:
            return None
        continuation = await run.continuation
        if continuation is None:
            return None
        run.continuation = asyncio.get_running_loop().create_future()
        job.splitter.discard_partial()
        job.may_have_run = True
        return Attempt(AttemptOutcome.MOVED, why="moved", continuation=continuation)

    def _send(
        self,
        job: Job,
        connection: UpstreamConnection,
        run: StreamRun,
        continuation: Continuation | None,
    ) -> None:
        now = self._now()
        self._publish_charge(job)
        placement = run.placement
        if not job.sends:
            self._sharing.record_placed(job.service, job.caller.account, job.facts.tokens)
        elif not job.retry_counted:
            self._sharing.record_retry(job.service, now)
        job.retry_counted = False
        job.sends += 1
        job.was_sent = True
        after_event = job.splitter.last_id if job.splitter.event_count else ""
        if continuation is not None:
            after_event = job.splitter.last_id or NO_EVENT_ID
        facts = AttemptFacts(
            placement.view.server.id,
            job.caller.account,
            job.left_s(now),
            self._priority(job),
            after_event=after_event,
            continued_from=(
                f"{continuation.source}/{continuation.handle}" if continuation is not None else ""
            ),
            fetch_from=placement.fetch_from if continuation is None else "",
            backup_at=run.backup.address if run.backup is not None else "",
        )
        body = job.request.body
        head = job.request.head
        data = self._dialect.attempt_head(head, facts, len(body)) + body
        connection.send(data, bodiless=head.bodiless)

    async def _end_blocked(self, job: Job, last: Attempt, blocked_s: float) -> None:
        """Reject a request that was blocked after it was accepted."""
        if job.may_have_run or job.reply.started:
            await self._end_without_answer(job, last)
        else:
            self._give_up(job, Refusal(503, BLOCKED_REASON, blocked_s))

    async def _end_without_answer(self, job: Job, last: Attempt) -> None:
        """Send the final response at once: a server's failure, or a refusal of this node."""
        if job.reply.started:
            job.reply.abort()
            emit(
                Event.STREAM_BROKEN,
                request=job.facts.id,
                account=job.caller.account,
                events=job.splitter.event_count,
                why=last.why,
            )
        elif last.head is not None:
            await self._answers.relay(job, last.head, last.body)
        elif job.may_have_run:
            self._give_up(job, Refusal(502, "the server broke off"))
        else:
            self._give_up(job, self._refusals.not_run_refusal(job, last))

    def _give_up(self, job: Job, refusal: Refusal) -> None:
        if job.reply.started:
            if not job.reply.complete:
                job.reply.abort()
                emit(
                    Event.STREAM_BROKEN,
                    request=job.facts.id,
                    account=job.caller.account,
                    why=refusal.reason,
                )
            return
        if not job.was_sent and refusal.status == 504:
            refusal = Refusal(503, refusal.reason, NOT_RUN_RETRY_S)
        if refusal.status == 503:
            self._refund(job)
        self.refuse(job.reply, job.request, refusal, job.facts.id, job.caller.account)
