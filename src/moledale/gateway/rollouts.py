"""What a node knows of roll-outs: orders, phases, and what it and others saw of the new versions.

Each node keeps within the bound of a trial by itself, and each may find that a version is bad, with
or without the store and the holder of the duties. A version of which nothing was heard yet gets
nothing: the servers that a node saw first are used until an order says otherwise.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from moledale.core.rollout_evidence import Arm, Evidence, Judge, merged
from moledale.core.rollouts import (
    FREE_SHARE,
    RISING_SHARE,
    Exposure,
    Phase,
    RolloutNews,
    RolloutOrder,
    rule_of,
)
from moledale.gateway.balance import ServerBook
from moledale.gateway.peers import Membership, TrialCounts
from moledale.gateway.server_view import Placement
from moledale.gateway.store_era import StoreEra
from moledale.log import Event, emit

MIN_TRIALS_PER_ROUTE = 3
"""Requests of a route that a node sends to a new version sooner than others: routes with few
requests would keep a good version waiting for evidence until the end of its time."""

REWRITE_WINDOW_S = 5.0
"""After a return of the store from an older copy, operators write again for so long what it lost.
An order that asks for the same is no new one then."""

RESERVED_SHARE = 0.5
"""Part of the free requests that is kept for such routes: the others would use them up before."""


class ServiceRollout:
    """A service's roll-out as one node follows it."""

    def __init__(self, update: RolloutNews) -> None:
        self.update = update
        self.own = TrialCounts(update.order.revision)
        self.judge = Judge()
        self.evidence = Evidence()
        self.tried = 0
        self._tried_here: Counter[str] = Counter()

    @property
    def order(self) -> RolloutOrder:
        """Return the order that is carried out."""
        return self.update.order

    @property
    def phase(self) -> Phase:
        """Return how far it is."""
        return self.update.phase

    def update_in_phase(self, phase: Phase) -> RolloutNews:
        """Return the news of it as they would be in a phase."""
        return msgspec.structs.replace(self.update, phase=phase)

    def record_trial(self, route: str) -> None:
        """Note that this node sends a route's request to the new version."""
        self.own.tried += 1
        self._tried_here[route] += 1

    def is_undertested(self, route: str) -> bool:
        """Say whether this node has hardly tried the new version on a route."""
        return self._tried_here[route] < MIN_TRIALS_PER_ROUTE

    def arm_of(self, version: str) -> Arm:
        """Return which side of the comparison a server's version is on."""
        return Arm.NEW if version == self.order.target else Arm.OLD


class Rollouts:
    """All roll-outs at one node.

    `changed` hears of each change that other nodes should know at once. `local` tells when the
    store's clock showed a time, `serving` how many nodes serve, 0 if this one does not.
    """

    def __init__(
        self,
        book: ServerBook,
        members: Membership,
        changed: Callable[[RolloutNews], None],
        local: Callable[[float], float | None],
        serving: Callable[[], int],
        began_at: float,
        exposure: Exposure,
        era: StoreEra | None = None,
    ) -> None:
        self.services: dict[str, ServiceRollout] = {}
        self._book = book
        self._members = members
        self._on_change = changed
        self._local_time = local
        self._serving = serving
        self._began_at = began_at
        self._exposure = exposure
        self._era = era or StoreEra()
        self._rng = random.Random()

    # What is heard

    def apply_order(self, order: RolloutOrder, phase: Phase = Phase.TRIAL) -> None:
        """Take over an order as the store has it, and how far it is as far as that is known."""
        known = self.services.get(order.service)
        if known is None:
            self._adopt(RolloutNews(order, phase))
        elif order.sequence == known.order.sequence:
            self._adopt(known.update.joined(RolloutNews(order, phase)))
        elif order.sequence > known.order.sequence:
            self._adopt(self._next_update(known.update, order, phase))

    def _next_update(self, known: RolloutNews, order: RolloutOrder, phase: Phase) -> RolloutNews:
        """Return the news of a later order, or of the known one that was written again."""
        lately = self._era.restored_within(REWRITE_WINDOW_S)
        if lately and order.asks_the_same(known.order):
            return known.written_again(order)
        return msgspec.structs.replace(known.followed_by(order), phase=phase)

    def merge(self, told: Iterable[RolloutNews]) -> None:
        """Take over what another node, or a former holder, knows."""
        for update in told:
            known = self.services.get(update.order.service)
            self._adopt(update if known is None else known.update.joined(update), from_peer=True)

    def advance(self, service: str, phase: Phase, why: str) -> None:
        """Bring a roll-out to a higher phase."""
        known = self.services[service]
        update = known.update.joined(msgspec.structs.replace(known.update, phase=phase))
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
        if known is None or not known.order.is_same(update.order):
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
        known.own.revision = update.order.revision
        self._book.group(service).set_rule(rule_of(update))
        self._on_change(update)

    def _log_fields(self, rollout: ServiceRollout) -> dict[str, object]:
        new = rollout.evidence.new.items()
        return {
            "target": rollout.order.target,
            "revision": rollout.order.revision,
            "answers": {series: tally.number for series, tally in new},
            "failed": {series: tally.failed for series, tally in new if tally.failed},
        }

    # What is told

    def updates(self) -> list[RolloutNews]:
        """Return what other nodes should know, finished roll-outs included."""
        return [rollout.update for rollout in self.services.values()]

    def trial_counts(self) -> dict[str, TrialCounts]:
        """Return what this node saw of versions that are not decided on."""
        return {
            service: rollout.own
            for service, rollout in self.services.items()
            if not rollout.phase.ended
        }

    # Requests

    def trial_share(self, service: str, route: str, first_send: bool) -> float:
        """Return the part of the load that a version on trial bears if a request is to go there.

        Repeats never do. While few new servers are there they get no more than as many old ones
        would: a burst on them looks like a slow version.
        """
        rollout = self.services.get(service)
        if rollout is None or rollout.phase not in (Phase.TRIAL, Phase.RISING):
            return 0.0
        group = self._book.group(service)
        if not first_send or not group.has_version(rollout.order.target):
            return 0.0
        rollout.own.requests += 1
        if rollout.phase is Phase.RISING:
            most = min(RISING_SHARE, group.new_share())
            return most if self._rng.random() < most else 0.0
        share = self._share_on_trial(rollout, route, min(FREE_SHARE, group.new_share()))
        if share:
            rollout.record_trial(route)
        return share

    def _share_on_trial(self, rollout: ServiceRollout, route: str, most: float) -> float:
        """Return the part of the load that new servers bear with this request, 0 if it goes to old
        ones; `most` is the part with which they have no more to do than these.

        Nodes without a part in the free requests, most of which get a request now and then, leave
        it to chance: 8 in 100 of one or two requests are none by any count.
        """
        own, part = rollout.own, self._exposure.part(self._sharers(rollout))
        usual = min(most, part.share)
        if not part.free:
            return usual if self._rng.random() < usual else 0.0
        scarce = rollout.is_undertested(route)
        if self._rng.random() >= (FREE_SHARE if scarce else most):
            return 0.0
        kept = 0.0 if scarce else RESERVED_SHARE * part.free
        if not part.allows(own.requests, own.tried + kept):
            return 0.0
        return usual if part.within_share(own.requests, own.tried) else most

    def _sharers(self, rollout: ServiceRollout) -> int:
        """Return how many nodes share the free requests, 0 if this one has no part in them.

        A life that began after the order has none: the one before it may have spent its part.
        """
        ordered_at = self._local_time(rollout.order.ordered_s)
        if ordered_at is None or ordered_at < self._began_at:
            return 0
        return self._serving()

    def record_answer(self, placement: Placement, series: str, failed: bool, took_s: float) -> None:
        """Note an answer, for the comparison."""
        server = placement.view.server
        rollout = self.services.get(server.service)
        if rollout is not None and not rollout.phase.ended:
            rollout.own.seen.note(rollout.arm_of(server.version), series, failed, took_s)

    # Judging

    def step(self) -> None:
        """Look at what all nodes saw until now; a version found bad gets nothing more."""
        for service, rollout in self.services.items():
            if rollout.phase.ended:
                continue
            told = self._peer_counts(service, rollout.order.revision)
            rollout.evidence = merged([rollout.own.seen, *(each.seen for each in told)])
            rollout.tried = sum(tally.number for tally in rollout.evidence.new.values())
            if rollout.judge.note(rollout.evidence, rollout.phase is not Phase.MOVING):
                self.advance(service, Phase.ROLLED_BACK, "the new version's answers are worse")

    def _peer_counts(self, service: str, revision: int) -> list[TrialCounts]:
        """Return what other nodes, and those that are gone, saw."""
        states = self._members.all_states()
        told = (state.trials.get(service) for state in states)
        return [each for each in told if each is not None and each.revision == revision]
