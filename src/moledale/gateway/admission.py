"""Admission of requests: the plan in force, routes, API keys and account limits."""

import random
from collections.abc import Callable

import msgspec
from result import Err

from moledale.gateway.accounts import AccountLimits, Charge
from moledale.gateway.dialect import Dialect
from moledale.gateway.events import EventSplitter
from moledale.gateway.job import Job
from moledale.gateway.messages import Caller, InboundRequest, Refusal, RequestFacts
from moledale.gateway.plan import Account, Plan, PlanIndex, Route, choose_service
from moledale.gateway.reply import Reply
from moledale.log import Event, emit

DEADLINE_MARGIN_S = 0.03
"""A final response is sent this long before the caller's deadline, so that it arrives in time."""

NO_PLAN_RETRY_S = 0.5
"""A starting node gets a plan within about this time."""

NEWER_PLAN_RETRY_S = 0.15
"""A newer plan that is known to exist arrives within about this time."""

MIN_RETRY_S = 0.05
"""Shortest retry delay given to callers: a few round trips, to prevent a busy loop."""

RETRY_JITTER_RATIO = 0.5
"""Retry delays are extended by up to this ratio, so that callers do not retry all at once."""

BLOCKED_REASON = "servers ended under this request"
"""Reason sent to callers for a request that is blocked because servers crashed while running it."""


def add_jitter(rng: random.Random, seconds: float) -> float:
    """Return `seconds` extended by random jitter, but at least `MIN_RETRY_S`."""
    return max(MIN_RETRY_S, seconds * (1.0 + RETRY_JITTER_RATIO * rng.random()))


BlockedS = Callable[[InboundRequest, RequestFacts, str | None], float]
"""Returns for how many seconds an account's request is blocked from all servers."""


def _never_blocked(_: InboundRequest, __: RequestFacts, ___: str | None) -> float:
    """Block no request."""
    return 0.0


def _never_deferred(_service: str) -> bool:
    """Publish all charges at once."""
    return False


class Admission:
    """Checks each request against the newest plan that this node has.

    Callers treat 401 and 404 as final. If `newer_plan` returns that a newer plan is known to exist,
    which may allow the request, they are told to retry instead. `blocked_s` returns for how many
    seconds an account's request is blocked from all servers. `defers_charges` returns whether
    requests for a service may still be refused, so that their charges are published later.
    """

    def __init__(
        self,
        dialect: Dialect,
        now: Callable[[], float],
        newer_plan: Callable[[], bool] = lambda: False,
        limits: AccountLimits | None = None,
        blocked_s: BlockedS = _never_blocked,
        defers_charges: Callable[[str], bool] = _never_deferred,
    ) -> None:
        self.index: PlanIndex | None = None
        self.limits = limits or AccountLimits()
        self._dialect = dialect
        self._now = now
        self._newer_plan = newer_plan
        self._blocked_s = blocked_s
        self._defers_charges = defers_charges
        self._rng = random.Random()

    def adopt(self, plan: Plan) -> bool:
        """Put a plan in force if it is newer than the current one; return whether it was."""
        if self.index is not None and plan.version <= self.index.version:
            return False
        self.index = PlanIndex(plan)
        self.limits.configure(plan.accounts, self._now())
        return True

    def admit(self, request: InboundRequest, reply: Reply) -> Job | Refusal:
        """Find a request's route and account, and charge it to the account's limit.

        The charge of a job is to be published or refunded.
        """
        try:
            facts = self._dialect.read_request(request.head)
        except ValueError as error:
            return Refusal(400, str(error))
        checked = self._check(request, reply, facts)
        if isinstance(checked, Refusal):
            return msgspec.structs.replace(checked, request=facts.id)
        return checked

    def _check(self, request: InboundRequest, reply: Reply, facts: RequestFacts) -> Job | Refusal:
        index = self.index
        if index is None:
            return Refusal(503, "no plan is known yet", NO_PLAN_RETRY_S)
        host = request.head.get(b"host")
        if host is None:
            return Refusal(400, "the Host header is missing")
        route = index.route(host.decode("latin-1"), request.head.target.decode("latin-1"))
        if route is None:
            return self._reject_or_retry(Refusal(404, "there is no such route"))
        admitted = self._admit_caller(index, route, facts, request)
        if isinstance(admitted, Refusal):
            return admitted
        caller, charge = admitted
        service = choose_service(route, self._rng.random())
        deferred = self._defer(charge, service)
        limit_s = route.time_limit_s
        if facts.deadline_s is not None:
            limit_s = min(limit_s, facts.deadline_s - DEADLINE_MARGIN_S)
        if limit_s <= 0:
            if deferred is not None:
                self.limits.refund(deferred, self._now())
            return Refusal(503, "no time is left", MIN_RETRY_S)
        return Job(
            request,
            facts,
            route,
            caller,
            service,
            request.arrived_at + limit_s,
            reply,
            EventSplitter(facts.resumed_after),
            charge=deferred,
        )

    def _defer(self, charge: Charge | None, service: str) -> Charge | None:
        """Return a charge that is to be published later; publish any other one."""
        if charge is None or self._defers_charges(service):
            return charge
        self.limits.publish(charge, self._now())
        return None

    def _admit_caller(
        self, index: PlanIndex, route: Route, facts: RequestFacts, request: InboundRequest
    ) -> tuple[Caller, Charge | None] | Refusal:
        account = index.account(facts.key) if facts.key else None
        if account is None and index.has_accounts and not route.public:
            return self._reject_or_retry(Refusal(401, "the key is not known"))
        # A blocked request does not run, so it is not charged to the account's limit.
        name = account.name if account is not None else None
        blocked_s = self._blocked_s(request, facts, name)
        if blocked_s > 0:
            return Refusal(503, BLOCKED_REASON, add_jitter(self._rng, blocked_s))
        if account is None:
            return Caller(None, route.priority), None
        priority = route.priority if account.priority is None else account.priority
        if request.relayed:
            return Caller(account.name, priority), None
        charged = self.limits.charge(account, account.price(facts.tokens), self._now())
        if isinstance(charged, Err):
            wait_s = charged.err_value
            self._log_limited(account, facts, wait_s)
            return Refusal(429, "the account's limit is reached", add_jitter(self._rng, wait_s))
        return Caller(account.name, priority), charged.ok_value

    def _reject_or_retry(self, refusal: Refusal) -> Refusal:
        if not self._newer_plan():
            return refusal
        retry_s = add_jitter(self._rng, NEWER_PLAN_RETRY_S)
        return Refusal(503, f"{refusal.reason} yet, a newer plan is on its way", retry_s)

    def _log_limited(self, account: Account, facts: RequestFacts, wait_s: float) -> None:
        emit(
            Event.LIMITED,
            request=facts.id,
            account=account.name,
            price=account.price(facts.tokens),
            level=round(self.limits.level(account, self._now())),
            rate_per_s=account.rate_per_s,
            wait_s=round(wait_s, 3),
        )
