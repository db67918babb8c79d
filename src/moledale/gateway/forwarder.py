"""Forwarding of one request: placement, retries on other servers, and the final response."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from moledale.clock import monotonic
from moledale.gateway.accounts import AccountLimits
from moledale.gateway.admission import BLOCKED_REASON, Admission
from moledale.gateway.answers import CRASH_CUTS, AnswerReader
from moledale.gateway.attempt_log import log_unanswered
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import PlacementRefused
from moledale.gateway.continuation_finder import ContinuationFinder
from moledale.gateway.dialect import Dialect
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.final_responses import FinalResponses
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.job_charges import JobCharges
from moledale.gateway.job_placing import JobPlacer, TrialShare
from moledale.gateway.messages import AttemptFacts, InboundRequest, Refusal
from moledale.gateway.permits import PermitClient, standalone_permit_client
from moledale.gateway.placing import Placer
from moledale.gateway.plan import Kind, Plan, PlanIndex
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.reach_probe import ReachProber
from moledale.gateway.refusals import NO_CONNECTION, NO_SERVER, Refusals
from moledale.gateway.relay import Relay, RelayOutcome
from moledale.gateway.reply import Reply
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.served_requests import ServedRequests
from moledale.gateway.server_notices import SERVICE_UNAVAILABLE
from moledale.gateway.server_view import Placement, record_silence
from moledale.gateway.settings import Scheduling
from moledale.gateway.sharing import Sharing
from moledale.gateway.stream_backups import StreamBackups
from moledale.gateway.stream_binding import StreamBinding
from moledale.gateway.turns import RetryScheduler
from moledale.gateway.upstream import AnswerCut, ConnectFailed, UpstreamConnection
from moledale.log import Event, emit
from moledale.scheduling.backup_runs import Backups
from moledale.scheduling.move_slot_gate import MoveSlotGate
from moledale.scheduling.overload_gate import OverloadGate
from moledale.scheduling.stream_runs import (
    BrokenRun,
    Continuation,
    Engines,
    StreamRun,
)
from moledale.scheduling.switches import Switches
from moledale.streams.origins import StreamOrigins, standalone_origins
from moledale.streams.version_register import any_version

MAX_UNREACHABLE_SERVERS = 6
"""Servers that may fail to accept a connection before a request is given up. Nothing was sent to
them, so they do not count as sends.
"""

OTHER_NODE_RETRY_S = 0.05
"""Retry delay when other nodes are known to be able to serve; it only spreads callers a little."""

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
        trial_share: TrialShare = _no_trial,
        starting_nodes: Callable[[], int] = lambda: 1,
        permits: PermitClient | None = None,
        switches: Switches | None = None,
        origins: StreamOrigins | None = None,
        may_begin: Callable[[str, str], bool] = any_version,
    ) -> None:
        self._switches = switches or Switches(Scheduling())
        self._plan = PlanLookup(lambda: self.index, self._switches)
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
            dialect, now, newer_plan, limits, self.guard.wait_s, self._plan.may_refuse
        )
        self._charges = JobCharges(limits, now)
        self._dialect = dialect
        self._balancer = balancer
        pool.on_connect = self.prober.record_connect
        balancer.on_silent = self._on_silent
        self.relay = Relay(dialect, lambda: sharing.members.alive(now()), now)
        self._pool = pool
        self._sharing = sharing
        self._permits = permits or standalone_permit_client(balancer, now)
        placer = Placer(balancer, self._permits, now)
        self.evacuation = Evacuation(
            engines, balancer, lambda: self.index, sharing.leave_s, now, placer
        )
        self.backups = Backups(
            balancer,
            starting_nodes,
            self.evacuation.mean_final_tokens,
            now,
        )
        self._stream_backups = StreamBackups(self.backups, self._plan, now)
        self._continuations = ContinuationFinder(
            self._plan, self.evacuation, self.backups, self.guard, sharing, now
        )
        self.handled = 0
        self._now = now
        self._list_is_current = list_is_current
        self._versions = StreamBinding(
            origins or standalone_origins(balancer.versions, sharing.members, now),
            balancer,
            may_begin,
        )
        self.overload = OverloadGate()
        self.move_slots = MoveSlotGate(
            balancer, self.evacuation, self._switches, lambda: self.index, now
        )
        self._job_placer = JobPlacer(
            placer,
            balancer,
            self._plan,
            self._versions,
            self._charges,
            self.overload,
            self.move_slots,
            trial_share,
            now,
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
            self._versions.record_begun,
        )
        self._served = ServedRequests(
            self._plan, self.guard, self._stream_backups, self.overload, now
        )
        self._final = FinalResponses(self._refusals, self._answers, self._charges)

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
        job = self.admission.admit(request, reply)
        if isinstance(job, Refusal):
            self.refuse(reply, request, job, job.request)
            return
        try:
            async with asyncio.timeout(max(0.0, job.left_s(self._now()))):
                await self._forward(job)
        except TimeoutError:
            self._final.give_up(job, Refusal(504, "the time limit was reached"))
        except asyncio.CancelledError:
            emit(
                Event.CALLER_GONE,
                request=job.facts.id,
                account=job.caller.account,
                sends=job.sends,
            )
            if not job.was_sent:
                self._charges.refund(job)
            raise

    def _peers_reach(self, service: str) -> bool:
        """Return whether a peer states that it reached a service recently."""
        alive = self._sharing.members.alive(self._now())
        return any(service in each.reached for each in alive)

    def _on_silent(self, server: str) -> None:
        """Use no open connection of a server that should have sent something."""
        self._pool.discard(server)
        self.prober.record_silence(server)

    async def _forward(self, job: Job) -> None:
        """Try servers until one responds or no further attempt is allowed.

        A request is relayed if no server of its service is reached: at once, or when its own
        attempts show that.
        """
        if await self._relayed(job):
            return
        if (refusal := await self._versions.bind_resumed(job)) is not None:
            self._final.give_up(job, refusal)
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
                    self._continuations.release_unused(continuation)
                await self._final.end_blocked(job, last, blocked_s)
                return
            # Timers do not advance while the machine is suspended, so the timeout may fire late.
            if job.left_s(self._now()) <= 0:
                if continuation is not None:
                    self._continuations.release_unused(continuation)
                raise TimeoutError
            try:
                placement = (
                    await self._job_placer.place(job)
                    if continuation is None
                    else continuation.placement
                )
            except PlacementRefused as refused:
                self._final.give_up(job, Refusal(503, refused.reason, refused.retry_after_s))
                return
            if placement is None:
                if last.why == NO_SERVER:
                    last = self._refusals.no_server_attempt(job)
                break
            placement.route = job.route.name
            attempt = await self._attempt(job, placement, continuation)
            former = continuation
            continuation = await self._continuations.find(job, attempt, former)
            if former is not None and former.cut_at is not None:
                self._continuations.record_backup_used(job, attempt, former.cut_at, placement)
            if attempt.outcome is AttemptOutcome.ANSWERED:
                self._served.record(job, placement, attempt, former is not None)
                return
            if continuation is not None:
                continue
            last = attempt
            if await self._relayed(job):
                return
            if not self._may_retry(job, attempt):
                break
        await self._final.end_without_answer(job, last)

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
        self._charges.publish(job)
        outcome = await self.relay.relay(job)
        if job.reply.status == SERVICE_UNAVAILABLE:
            self._charges.refund(job)
        if outcome is RelayOutcome.BROKEN:
            job.may_have_run = True
            broken = Attempt(AttemptOutcome.BROKEN, why="the peer broke off")
            await self._final.end_without_answer(job, broken)
        return outcome is not RelayOutcome.NOT_RUN

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
        engine = self._plan.engine(job.service)
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
        priority = self._plan.priority(job)
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
                self._stream_backups.release(run.backup, attempt)

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
                run.backup = self._stream_backups.choose(job, placement)
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
                log_unanswered(job, placement, attempt, self._now())
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
        self._charges.publish(job)
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
            self._plan.priority(job),
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
