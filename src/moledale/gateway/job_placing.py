"""Places requests of callers: what each needs of a server, and the checks of its first send."""

from collections.abc import Callable

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import Choice
from moledale.gateway.job import Job
from moledale.gateway.job_charges import JobCharges
from moledale.gateway.permits import PERMIT_TIMEOUT_S
from moledale.gateway.placing import PlacementCheck, PlacementRequest, Placer
from moledale.gateway.plan_lookup import PlanLookup
from moledale.gateway.server_view import Placement
from moledale.gateway.stream_binding import StreamBinding
from moledale.gateway.turns import PERMIT_TIMEOUT_SHARE, max_queue_wait_s
from moledale.scheduling.engine_memory import Demand
from moledale.scheduling.engine_priority import clamped_priority
from moledale.scheduling.move_slot_gate import MoveSlotGate
from moledale.scheduling.overload_gate import FirstSend, OverloadGate
from moledale.scheduling.stream_runs import DEFAULT_PRIORITY
from moledale.scheduling.switches import Feature

TrialShare = Callable[[str, str, bool], float]
"""Called with a service, a route and whether this is a request's first send.

Returns the share of the load that servers of a version on trial bear if the request goes to one of
them, and 0 if it goes to the others.
"""


class JobPlacer:
    """Places requests by means of `placer`, and publishes their charges once they are accepted."""

    def __init__(
        self,
        placer: Placer,
        balancer: LoadBalancer,
        plan: PlanLookup,
        versions: StreamBinding,
        charges: JobCharges,
        overload: OverloadGate,
        move_slots: MoveSlotGate,
        trial_share: TrialShare,
        now: Callable[[], float],
    ) -> None:
        self._placer = placer
        self._balancer = balancer
        self._plan = plan
        self._versions = versions
        self._charges = charges
        self._overload = overload
        self._move_slots = move_slots
        self._trial_share = trial_share
        self._now = now

    async def place(self, job: Job) -> Placement | None:
        """Choose a server for the next send of a request; return None if none is available.

        Raise `PlacementRefused` if a check refuses the request.
        """
        share = self._trial_share(job.service, job.route.name, not job.tried)
        max_wait_s = max_queue_wait_s(job, self._now())
        permit_timeout_s = min(PERMIT_TIMEOUT_S, PERMIT_TIMEOUT_SHARE * job.route.target_s)
        engine = self._plan.engine(job.service)
        if self._balancer.group(job.service).limited.names:
            # The request may wait for a permit, and peers must know of its charge meanwhile.
            self._charges.publish(job)
        return await self._placer.place(
            PlacementRequest(
                job.service,
                job.facts,
                engine,
                job.tried | self._versions.closed_servers(job),
                share if job.version is None else 0.0,
                max_wait_s=max_wait_s,
                permit_timeout_s=permit_timeout_s,
                check=self._first_send_check(job),
                avoided=self._move_slots.full_servers(job.service, engine),
                demand=self._demand(job),
            )
        )

    def _first_send_check(self, job: Job) -> PlacementCheck | None:
        """Return the checks of a request's first send where scheduling features apply."""
        overload_check = self._overload_check(job)
        engine = self._plan.engine(job.service)
        if job.tried or job.facts.resumed_after or engine is None:
            return overload_check
        return self._move_slots.checked(job.service, engine, overload_check)

    def _overload_check(self, job: Job) -> PlacementCheck | None:
        """Return the check of a request's first send where overload control applies.

        A stream that its caller resumes was accepted before, so it is not checked.
        """
        first_send = not job.tried and not job.facts.resumed_after
        if not first_send or not self._plan.may_refuse(job.service):
            self._charges.publish(job)
            return None
        now = self._now()
        first = FirstSend(
            job.service,
            job.caller.account,
            job.route,
            self._plan.priority(job) or 0,
            now - job.request.arrived_at,
            job.left_s(now),
        )

        def check(choice: Choice, at: float) -> Callable[[float, float], None]:
            record_first_event = self._overload.check(first, choice, at)
            self._charges.publish(job)
            return record_first_event

        return check

    def _demand(self, job: Job) -> Demand | None:
        """Return what a request asks of an engine, where what requests take of engines counts."""
        if not self._plan.applies(Feature.ENGINE_MEMORY, job.service):
            return None
        facts = job.facts
        priority = self._plan.priority(job)
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
