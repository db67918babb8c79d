"""Advances roll-outs while the lease is held, and reports their status to the operator."""

from collections.abc import Callable, Iterable

from result import Err

from moledale.core.rollouts import MIN_ANSWERS_PER_ROUTE, Phase, Progress, next_phase
from moledale.gateway.balance import PACE_SUFFIX, LoadBalancer
from moledale.gateway.outside import ABSENT_VERSION, Store
from moledale.gateway.rollouts import Rollouts, ServiceRollout
from moledale.log import Event, emit

CALL_TIMEOUT_S = 1.0
"""Timeout of a call: a third of the lease."""

MAX_WRITE_ATTEMPTS = 3
"""Maximum writes of a status in one step: the first may conflict with an existing status, and the
second with one that another holder wrote meanwhile."""

EVIDENCE_SHARE = 0.04
"""Share of a route's requests that the new servers must have answered: half of what a trial sends
them on average. A higher share would keep a good version waiting on routes with few requests."""


class RolloutDuty:
    """Advances roll-outs on behalf of all nodes.

    `local_time` converts a time on the store's clock to this machine's monotonic clock.
    """

    def __init__(
        self,
        store: Store,
        rollouts: Rollouts,
        balancer: LoadBalancer,
        local_time: Callable[[float], float | None],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._rollouts = rollouts
        self._balancer = balancer
        self._local_time = local_time
        self._now = now
        self._era = store.era.number
        self._recovered = False
        self._row_versions: dict[str, int] = {}
        self._written: dict[str, tuple[int, Phase]] = {}
        self._phase_since: dict[str, tuple[int, Phase, float]] = {}

    def reset(self) -> None:
        """Discard the state of an earlier term as holder: another node may have written since."""
        self._reset_rows()
        self._phase_since.clear()

    def _reset_rows(self) -> None:
        """Discard what is known of the store's rows, so that they are read and written again."""
        self._era = self._store.era.number
        self._recovered = False
        self._row_versions.clear()
        self._written.clear()

    async def step(self, holds_lease: Callable[[], bool]) -> None:
        """Advance all roll-outs; `holds_lease` returns whether the lease is still held."""
        if not self._rollouts.services:
            return
        if self._era != self._store.era.number:
            self._reset_rows()
        if not self._recovered and not await self._recover():
            return
        for service, rollout in list(self._rollouts.services.items()):
            await self._advance_service(service, rollout, holds_lease)

    async def _recover(self) -> bool:
        """Merge what former holders stored; return whether the store answered."""
        outcome = await self._store.load_rollouts(CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            emit(Event.ROLLOUT_FAILED, what="kept", why=outcome.err_value.detail)
            return False
        self._rollouts.merge(outcome.ok_value)
        self._recovered = True
        return True

    async def _advance_service(
        self, service: str, rollout: ServiceRollout, holds_lease: Callable[[], bool]
    ) -> None:
        if not rollout.phase.ended:
            phase = next_phase(self._progress(service, rollout))
            if phase is Phase.COMPLETED:
                await self._complete(service, rollout, holds_lease)
                return
            if phase > rollout.phase:
                self._advance(service, phase)
                # The phase's duration counts from here, not from the next step.
                self._in_phase_s(service, rollout)
        await self._write(rollout, rollout.phase, holds_lease)

    def _advance(self, service: str, phase: Phase) -> None:
        why = "not enough evidence for it in time" if phase.ended else "no evidence against it"
        self._rollouts.advance(service, phase, why)

    async def _complete(
        self, service: str, rollout: ServiceRollout, holds_lease: Callable[[], bool]
    ) -> None:
        """Complete a roll-out, which ends the old servers.

        The phase advances, and peers learn of it, once the store has the final status.
        """
        if await self._write(rollout, Phase.COMPLETED, holds_lease):
            self._rollouts.advance(service, Phase.COMPLETED, "no requests run at old servers")

    def _progress(self, service: str, rollout: ServiceRollout) -> Progress:
        """Return the current progress of a roll-out."""
        now = self._now()
        ordered_at = self._local_time(rollout.order.ordered_s)
        elapsed_s = 0.0 if ordered_at is None else now - ordered_at
        in_phase_s = self._in_phase_s(service, rollout)
        views = list(self._balancer.group(service).views.values())
        new = [view for view in views if view.server.version == rollout.order.target]
        old = [view for view in views if view.server.version != rollout.order.target]
        duration_s = max(1.0, rollout.order.duration_s)
        return Progress(
            phase=rollout.phase,
            duration_s=duration_s,
            elapsed=elapsed_s / duration_s,
            rising_elapsed=in_phase_s / duration_s,
            moving_s=in_phase_s,
            new_ready=sum(1 for view in new if not view.server.leaving),
            old_running=sum(view.total_running for view in old),
            new_answers=rollout.tried,
            untested_routes=_count_untested_routes(rollout),
        )

    def _in_phase_s(self, service: str, rollout: ServiceRollout) -> float:
        """Return for how long this holder has seen a roll-out in its current phase."""
        current = (rollout.order.revision, rollout.phase)
        known = self._phase_since.get(service)
        if known is None or known[:2] != current:
            known = self._phase_since[service] = (*current, self._now())
        return self._now() - known[2]

    async def _write(
        self, rollout: ServiceRollout, phase: Phase, holds_lease: Callable[[], bool]
    ) -> bool:
        """Write the operator's status for a phase unless done; return whether the store has it."""
        order = rollout.order
        status = _status_phase(phase)
        if self._written.get(order.service) == (order.revision, status):
            return True
        update = rollout.update_in_phase(phase)
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not holds_lease():
                return False
            expected = self._row_versions.get(order.service, ABSENT_VERSION)
            outcome = await self._store.write_rollout(update, expected, CALL_TIMEOUT_S)
            if isinstance(outcome, Err):
                emit(Event.ROLLOUT_FAILED, service=order.service, why=outcome.err_value.detail)
                return False
            written = outcome.ok_value
            if written.superseded:
                return False
            self._row_versions[order.service] = written.version
            if written.committed:
                self._written[order.service] = (order.revision, status)
                return True
            if written.phase is not None and written.phase.ended:
                if written.phase > rollout.phase:
                    self._rollouts.advance(
                        order.service, written.phase, "the store already has this phase"
                    )
                self._written[order.service] = (order.revision, written.phase)
                return written.phase is phase
        return False


def _status_phase(phase: Phase) -> Phase:
    """Return the phase that represents `phase` in the operator's status."""
    return phase if phase.ended else Phase.TRIAL


def _count_untested_routes(rollout: ServiceRollout) -> int:
    """Return the number of routes with traffic on which the new servers gave too few answers."""
    return sum(
        1 for route in _routes(rollout.evidence.old) if not _has_enough_answers(rollout, route)
    )


def _routes(series: Iterable[str]) -> list[str]:
    """Return the series that stand for routes, which leaves out those of the pace of streams."""
    return [name for name in series if not name.endswith(PACE_SUFFIX)]


def _has_enough_answers(rollout: ServiceRollout, route: str) -> bool:
    old = rollout.evidence.old[route].count
    new = rollout.evidence.new.get(route)
    required = min(MIN_ANSWERS_PER_ROUTE, max(1, int(EVIDENCE_SHARE * old)))
    return new is not None and new.count >= required
