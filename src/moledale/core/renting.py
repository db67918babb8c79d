"""Plans which instances to rent and return, from demand, prices and refusals."""

import math
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from moledale.bundle.schema import Bundle, InstanceClass, Market, Price

HYSTERESIS_SHARE = 0.15
"""Capacity that exceeds the required one by less than this share is kept, to avoid oscillation."""

MAX_ON_DEMAND_SHARE = 0.6
"""On-demand share of the required capacity if only recomputed tokens count, and cost doesn't."""


@dataclass(frozen=True, slots=True)
class HeldInstance:
    """An instance that is rented now; `idle` means that it has no requests."""

    id: str
    hall: str
    instance_class: str
    market: Market
    idle: bool = False


@dataclass(frozen=True, slots=True)
class RentRefusal:
    """A hall, class and market that refused a rent recently, and isn't asked for now."""

    hall: str
    instance_class: str
    market: Market


@dataclass(frozen=True, slots=True)
class RentView:
    """Demand in generated tokens per second, the rented instances, and recent refusals."""

    demand_tokens_per_s: float
    held: Sequence[HeldInstance]
    refusals: frozenset[RentRefusal] = frozenset()


@dataclass(frozen=True, slots=True)
class Rent:
    """Rent one instance."""

    hall: str
    instance_class: str
    market: Market


@dataclass(frozen=True, slots=True)
class Return:
    """Return one instance, once it has no requests."""

    instance_id: str
    hall: str


@dataclass(slots=True)
class _Fleet:
    """Capacity of the fleet while a plan is made; the planned changes are included."""

    bundle: Bundle
    capacity: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    on_demand: float = 0.0
    count: Counter[str] = field(default_factory=Counter)

    def add(self, hall: str, instance_class: InstanceClass, market: Market, sign: int = 1) -> None:
        """Add an instance to the totals, or subtract it with a `sign` of -1."""
        self.capacity[hall] += sign * instance_class.decode_tokens_per_s
        self.count[hall] += sign
        if market is Market.ON_DEMAND:
            self.on_demand += sign * instance_class.decode_tokens_per_s

    def surviving_capacity(self) -> float:
        """Return the capacity left after the loss of as many halls as must be survived."""
        capacities = sorted(self.capacity.values(), reverse=True)
        return sum(capacities[self.bundle.renting.survive_halls :])


def required_capacity(bundle: Bundle, demand_tokens_per_s: float) -> float:
    """Return the capacity that must be left after a loss of halls, in tokens per second.

    It exceeds the demand so that the instances are used up to `utilization` only.
    """
    wanted = max(demand_tokens_per_s, bundle.renting.least_tokens_per_s)
    return wanted / bundle.renting.utilization


def on_demand_share(bundle: Bundle) -> float:
    """Return the share of the required capacity to rent on demand, where it can't be reclaimed.

    On-demand instances cost more and lose no caches. So their share follows the weight of
    recomputed tokens against that of cost, up to `MAX_ON_DEMAND_SHARE`, unless the bundle sets
    it.
    """
    stated = bundle.renting.on_demand_share
    if stated is not None:
        return stated
    weights = bundle.weights
    return MAX_ON_DEMAND_SHARE * weights.recompute / (weights.cost + weights.recompute)


def plan(bundle: Bundle, view: RentView) -> list[Rent | Return]:
    """Return the changes to make now, at most `most_changes`: either rents or returns."""
    fleet = _Fleet(bundle)
    for held in view.held:
        instance_class = bundle.instance_class(held.instance_class)
        if instance_class is not None:
            fleet.add(held.hall, instance_class, held.market)
    target = required_capacity(bundle, view.demand_tokens_per_s)
    changes: list[Rent | Return] = []
    while fleet.surviving_capacity() < target and len(changes) < bundle.renting.most_changes:
        chosen = _cheapest_rent(bundle, fleet, view.refusals, target)
        if chosen is None:
            break
        changes.append(chosen)
        instance_class = bundle.instance_class(chosen.instance_class)
        assert instance_class is not None
        fleet.add(chosen.hall, instance_class, chosen.market)
    if not changes:
        changes.extend(_plan_returns(bundle, fleet, view.held, target))
    return changes


def _cheapest_rent(
    bundle: Bundle, fleet: _Fleet, refusals: frozenset[RentRefusal], target: float
) -> Rent | None:
    """Return the rent with the lowest price for the surviving capacity that it adds."""
    market = _preferred_market(bundle, fleet, target)
    other = Market.ON_DEMAND if market is Market.RECLAIMABLE else Market.RECLAIMABLE
    for wanted in (market, other):
        options = [
            price
            for price in bundle.prices
            if RentRefusal(price.hall, price.instance_class, wanted) not in refusals
            and _hall_has_room(bundle, fleet, price.hall)
        ]
        if options:
            best = min(options, key=lambda price: _rank(bundle, fleet, price, wanted))
            return Rent(best.hall, best.instance_class, wanted)
    return None


def _preferred_market(bundle: Bundle, fleet: _Fleet, target: float) -> Market:
    wanted = on_demand_share(bundle) * target
    return Market.ON_DEMAND if fleet.on_demand < wanted else Market.RECLAIMABLE


def _hall_has_room(bundle: Bundle, fleet: _Fleet, hall: str) -> bool:
    max_instances = next((each.most_instances for each in bundle.halls if each.name == hall), 0)
    return fleet.count[hall] < max_instances


def _rank(bundle: Bundle, fleet: _Fleet, price: Price, market: Market) -> tuple[float, str, str]:
    """Return a sort key: the price per token per second of surviving capacity that is added."""
    instance_class = bundle.instance_class(price.instance_class)
    assert instance_class is not None
    price_asked = price.reclaimable if market is Market.RECLAIMABLE else price.on_demand
    before = fleet.surviving_capacity()
    fleet.add(price.hall, instance_class, market)
    gained = fleet.surviving_capacity() - before
    fleet.add(price.hall, instance_class, market, -1)
    # A rent in the largest hall adds no surviving capacity; the small term prefers other halls.
    added = gained + 1e-3 * instance_class.decode_tokens_per_s / (1.0 + fleet.capacity[price.hall])
    return (price_asked / added if added > 0 else math.inf, price.hall, price.instance_class)


def _plan_returns(
    bundle: Bundle, fleet: _Fleet, held: Sequence[HeldInstance], target: float
) -> list[Rent | Return]:
    """Return the idle instances that `target` doesn't require, most expensive first."""
    returns: list[Rent | Return] = []
    prices = {(price.hall, price.instance_class): price for price in bundle.prices}

    def price_of(item: HeldInstance) -> float:
        price = prices.get((item.hall, item.instance_class))
        if price is None:
            return math.inf
        return price.on_demand if item.market is Market.ON_DEMAND else price.reclaimable

    for item in sorted(held, key=lambda one: (-price_of(one), one.id)):
        instance_class = bundle.instance_class(item.instance_class)
        if not item.idle or len(returns) >= bundle.renting.most_changes:
            continue
        if instance_class is None:
            returns.append(Return(item.id, item.hall))
            continue
        fleet.add(item.hall, instance_class, item.market, -1)
        keeps_share = item.market is Market.RECLAIMABLE or (
            fleet.on_demand >= on_demand_share(bundle) * target
        )
        if fleet.surviving_capacity() >= target * (1 + HYSTERESIS_SHARE) and keeps_share:
            returns.append(Return(item.id, item.hall))
        else:
            fleet.add(item.hall, instance_class, item.market)
    return returns
