"""A node's view of roll-outs: orders, phases, and the answers of new versions seen by all nodes.

Each node keeps within the exposure limit of a trial on its own, and each may find that a version is
bad, with or without the store and the lease holder. A version without a known order gets no
requests: the servers that a node saw first are used until an order names another version.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from moledale.core.rollout_evidence import Arm, Evidence, Judge, merged
from moledale.core.rollouts import (
    MAX_FREE_SHARE,
    RISING_SHARE,
    Exposure,
    Phase,
    RolloutNews,
    RolloutOrder,
    rule_of,
)
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.peers import Membership, TrialCounts
from moledale.gateway.server_view import Placement
from moledale.gateway.store_era import StoreEra
from moledale.log import Event, emit

MIN_TRIALS_PER_ROUTE = 3
"""Number of requests of each route that a node sends to a new version with priority. Otherwise
routes with few requests would keep a good version waiting for evidence until the end of its order's
time."""

REWRITE_WINDOW_S = 5.0
"""Time after a restore of the store from an older copy in which operators rewrite what it lost.
Within it, an order for the same version and duration is not a new one."""

RESERVED_SHARE = 0.5
"""Share of the free requests that is reserved for routes below `MIN_TRIALS_PER_ROUTE`; other routes
would use them up first."""


class ServiceRollout:
    """One node's state of a service's roll-out.

    `own_counts` is what this node sent and saw, `evidence` what all nodes are known to have seen,
    and `tried` the number of answers of the new version in that.
    """

    def __init__(self, update: RolloutNews) -> None:
        self.update = update
        self.own_counts = TrialCounts(update.order.revision)
        self.judge = Judge()
        self.evidence = Evidence()
        self.tried = 0
        self._tried_by_route: Counter[str] = Counter()

    @property
    def order(self) -> RolloutOrder:
        """Return the order that is being carried out."""
        return self.update.order

    @property
    def phase(self) -> Phase:
        """Return the current phase."""
        return self.update.phase

    def update_in_phase(self, phase: Phase) -> RolloutNews:
        """Return the update of this roll-out as it would be in `phase`."""
        return msgspec.structs.replace(self.update, phase=phase)

    def record_trial(self, route: str) -> None:
        """Record that this node sends a request of a route to the new version."""
        self.own_counts.tried += 1
        self._tried_by_route[route] += 1

    def is_undertested(self, route: str) -> bool:
        """Return whether this node has sent the new version too few requests of a route."""
        return self._tried_by_route[route] < MIN_TRIALS_PER_ROUTE

    def arm_of(self, version: str) -> Arm:
        """Return the arm of the comparison that a server's version belongs to."""
        return Arm.NEW if version == self.order.target else Arm.OLD


class Rollouts:
    """Holds all roll-outs of one node.

    `on_change` is called with each change that peers should learn of at once. `local_time` converts
    a time on the store's clock to this machine's monotonic clock. `serving` returns how many nodes
    serve, 0 if this one does not. `started_at` is when this process started (monotonic time).
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        members: Membership,
        on_change: Callable[[RolloutNews], None],
        local_time: Callable[[float], float | None],
        serving: Callable[[], int],
        started_at: float,
        exposure: Exposure,
        era: StoreEra | None = None,
    ) -> None:
        self.services: dict[str, ServiceRollout] = {}
        self._balancer = balancer
        self._members = members
        self._on_change = on_change
        self._local_time = local_time
        self._serving = serving
        self._started_at = started_at
        self._exposure = exposure
        self._era = era or StoreEra()
        self._rng = random.Random()

    def apply_order(self, order: RolloutOrder, phase: Phase = Phase.TRIAL) -> None:
        """Apply an order from the store, and its phase as far as that is known."""
        known = self.services.get(order.service)
        if known is None:
            self._adopt(RolloutNews(order, phase))
        elif order.sequence == known.order.sequence:
            self._adopt(known.update.merged_with(RolloutNews(order, phase)))
        elif order.sequence > known.order.sequence:
            self._adopt(self._next_update(known.update, order, phase))

    def _next_update(self, known: RolloutNews, order: RolloutOrder, phase: Phase) -> RolloutNews:
        """Return the update for a later order, or for the known one that was written again."""
        restored = self._era.restored_within(REWRITE_WINDOW_S)
        if restored and order.is_equivalent(known.order):
            return known.with_rewritten_order(order)
        return msgspec.structs.replace(known.superseded_by(order), phase=phase)

    def merge(self, updates: Iterable[RolloutNews]) -> None:
        """Merge what a peer or a former holder knows."""
        for update in updates:
            known = self.services.get(update.order.service)
            self._adopt(
                update if known is None else known.update.merged_with(update), from_peer=True
            )

    def advance(self, service: str, phase: Phase, why: str) -> None:
        """Advance a roll-out to a later phase."""
        known = self.services[service]
        update = known.update.merged_with(msgspec.structs.replace(known.update, phase=phase))
        emit(
            Event.ROLLOUT_DECIDED,
            service=service,
            phase=phase.name,
            why=why,
            **self._log_fields(known),
        )
        self._adopt(update)

    def _adopt(self, update: RolloutNews, from_peer: bool = False) -> None:
        service = update.order.service
        known = self.services.get(service)
        if known is not None and known.update == update:
            return
        if known is None or not known.order.is_same_order(update.order):
            known = self.services[service] = ServiceRollout(update)
            emit(
                Event.ROLLOUT_ORDERED,
                service=service,
                target=update.order.target,
                revision=update.order.revision,
                duration_s=update.order.duration_s,
                from_peer=from_peer,
            )
        known.update = update
        known.own_counts.revision = update.order.revision
        self._balancer.group(service).set_rule(rule_of(update))
        self._on_change(update)

    def _log_fields(self, rollout: ServiceRollout) -> dict[str, object]:
        new = rollout.evidence.new.items()
        return {
            "target": rollout.order.target,
            "revision": rollout.order.revision,
            "answers": {series: tally.count for series, tally in new},
            "failed": {series: tally.failed for series, tally in new if tally.failed},
        }

    def updates(self) -> list[RolloutNews]:
        """Return the updates to send to peers, those of finished roll-outs included."""
        return [rollout.update for rollout in self.services.values()]

    def trial_counts(self) -> dict[str, TrialCounts]:
        """Return what this node saw of versions that are not decided on yet."""
        return {
            service: rollout.own_counts
            for service, rollout in self.services.items()
            if not rollout.phase.ended
        }

    def trial_share(self, service: str, route: str, first_send: bool) -> float:
        """Return the load share of a version on trial if a request is to go to it, else 0.

        Retries never go to it. While there are few new servers, they get no more than as many old
        ones would: a burst on them looks like a slow version.
        """
        rollout = self.services.get(service)
        if rollout is None or rollout.phase not in (Phase.TRIAL, Phase.RISING):
            return 0.0
        group = self._balancer.group(service)
        if not first_send or not group.has_version(rollout.order.target):
            return 0.0
        rollout.own_counts.requests += 1
        if rollout.phase is Phase.RISING:
            max_share = min(RISING_SHARE, group.new_version_share())
            return max_share if self._rng.random() < max_share else 0.0
        share = self._share_on_trial(rollout, route, min(MAX_FREE_SHARE, group.new_version_share()))
        if share:
            rollout.record_trial(route)
        return share

    def _share_on_trial(self, rollout: ServiceRollout, route: str, max_share: float) -> float:
        """Return the load share of the new servers with this request, 0 if it goes to old ones.

        At a share of `max_share` the new servers have no more to do than the old ones.

        Nodes without a part in the free requests decide at random. Most of them get only a request
        now and then, and by count, a share of 8 in 100 of one or two requests would allow none.
        """
        own, limit = rollout.own_counts, self._exposure.per_node(self._count_sharing_nodes(rollout))
        usual_share = min(max_share, limit.share)
        if not limit.free:
            return usual_share if self._rng.random() < usual_share else 0.0
        undertested = rollout.is_undertested(route)
        if self._rng.random() >= (MAX_FREE_SHARE if undertested else max_share):
            return 0.0
        reserved = 0.0 if undertested else RESERVED_SHARE * limit.free
        if not limit.allows(own.requests, own.tried + reserved):
            return 0.0
        return usual_share if limit.within_share(own.requests, own.tried) else max_share

    def _count_sharing_nodes(self, rollout: ServiceRollout) -> int:
        """Return how many nodes share the free requests, 0 if this one has no part in them.

        A process that started after the order has none: the node's previous incarnation may have
        used up its part.
        """
        ordered_at = self._local_time(rollout.order.ordered_s)
        if ordered_at is None or ordered_at < self._started_at:
            return 0
        return self._serving()

    def record_answer(self, placement: Placement, series: str, failed: bool, took_s: float) -> None:
        """Record an answer for the comparison of versions."""
        server = placement.view.server
        rollout = self.services.get(server.service)
        if rollout is not None and not rollout.phase.ended:
            rollout.own_counts.seen.observe(rollout.arm_of(server.version), series, failed, took_s)

    def step(self) -> None:
        """Evaluate what all nodes saw so far; a version found bad gets no more requests."""
        for service, rollout in self.services.items():
            if rollout.phase.ended:
                continue
            peer_counts = self._peer_counts(service, rollout.order.revision)
            rollout.evidence = merged(
                [rollout.own_counts.seen, *(each.seen for each in peer_counts)]
            )
            rollout.tried = sum(tally.count for tally in rollout.evidence.new.values())
            if rollout.judge.observe(rollout.evidence, rollout.phase is not Phase.MOVING):
                self.advance(service, Phase.ROLLED_BACK, "the new version's answers are worse")

    def _peer_counts(self, service: str, revision: int) -> list[TrialCounts]:
        """Return what peers saw, those that are gone included."""
        states = self._members.all_states()
        counts = (state.trials.get(service) for state in states)
        return [each for each in counts if each is not None and each.revision == revision]
