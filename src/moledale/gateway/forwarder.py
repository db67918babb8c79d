"""Forwarding of one request: placement, retries on other servers, and the final response."""

import asyncio
from collections.abc import Awaitable, Callable

from moledale.clock import monotonic
from moledale.faults import record_fault
from moledale.gateway.accounts import AccountLimits
from moledale.gateway.admission import Admission
from moledale.gateway.answers import AnswerReader
from moledale.gateway.attempts import AttemptRunner
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import PlacementRefused
from moledale.gateway.continuation_finder import ContinuationFinder
from moledale.gateway.cut_attempts import CutAttempts
from moledale.gateway.dialect import Dialect
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.final_responses import FinalResponses
from moledale.gateway.job import Attempt, AttemptOutcome, Job
from moledale.gateway.job_charges import JobCharges
from moledale.gateway.job_placing import JobPlacer, TrialShare
from moledale.gateway.job_sender import JobSender
from moledale.gateway.messages import InboundRequest, Refusal
from moledale.gateway.permits import PermitClient, standalone_permit_client
from moledale.gateway.placing import Placer
from moledale.gateway.plan import Plan, PlanIndex
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.reach_probe import ReachProber
from moledale.gateway.refusals import NO_SERVER, NOT_RUN_RETRY_S, Refusals
from moledale.gateway.relay import Relay, RelayOutcome
from moledale.gateway.reply import Reply, ReplyStarted
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.served_requests import ServedRequests
from moledale.gateway.server_notices import SERVICE_UNAVAILABLE
from moledale.gateway.settings import Scheduling
from moledale.gateway.sharing import Sharing
from moledale.gateway.stream_backups import StreamBackups
from moledale.gateway.stream_binding import StreamBinding
from moledale.gateway.turns import RetryScheduler
from moledale.log import Event, emit
from moledale.scheduling.backup_runs import Backups
from moledale.scheduling.move_slot_gate import MoveSlotGate
from moledale.scheduling.overload_gate import OverloadGate
from moledale.scheduling.stream_runs import Continuation, Engines
from moledale.scheduling.switches import Switches
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

    It decides whether a request is relayed, sent to another server or given up. What each of these
    takes is done by the parts that it is made of.

    `starting_nodes` returns how many nodes may be starting to serve at the same time. `newer_plan`
    returns whether a newer plan is known to exist, and `list_is_current` whether requests may rely
    on the list of servers. `first_start` is set when the whole system starts for the first time.
    `switches` tells which scheduling features apply; none do without it. `may_begin` returns
    whether streams of a service may begin at a version. `handled` counts the requests of callers.
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
        self._balancer = balancer
        pool.on_connect = self.prober.record_connect
        balancer.on_silent = self._on_silent
        self.relay = Relay(dialect, lambda: sharing.members.alive(now()), now)
        self._pool = pool
        self._sharing = sharing
        permits = permits or standalone_permit_client(balancer, now)
        placer = Placer(balancer, permits, now)
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
        self._attempts = AttemptRunner(
            balancer,
            pool,
            permits,
            self._plan,
            self.guard,
            self.evacuation,
            self._stream_backups,
            JobSender(dialect, sharing, self._plan, self._charges, now),
            self._answers,
            CutAttempts(self._answers, self.guard, sharing, now),
            lambda: self._now(),
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
        job = self._admit(request, reply)
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
        except ReplyStarted:
            raise
        except Exception as error:
            record_fault("request", error)
            # A 503 promises that the request did not run.
            refusal = Refusal(502, INTERNAL_ERROR) if job.was_sent else NOT_RUN_AFTER_FAULT
            self._final.give_up(job, refusal)

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
            if await self._ended_before_send(job, last, continuation):
                return
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
            attempt = await self._attempts.run(job, placement, continuation)
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

    async def _ended_before_send(
        self, job: Job, last: Attempt, continuation: Continuation | None
    ) -> bool:
        """End a request that was blocked; return whether it was.

        Raise `TimeoutError` if the deadline passed: timers do not advance while the machine is
        suspended, so the timeout may fire late.
        """
        blocked_s = self.guard.job_wait_s(job)
        if not blocked_s and job.left_s(self._now()) > 0:
            return False
        if continuation is not None:
            self._continuations.release_unused(continuation)
        if not blocked_s:
            raise TimeoutError
        await self._final.end_blocked(job, last, blocked_s)
        return True

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
