"""How the bundle's weights trade cost against recomputed tokens when all reclaimable goes."""

import statistics
from dataclasses import dataclass
from pathlib import Path

from bench.measures import measure
from bench.policies import all_policies
from bench.replay import ReclaimWave, Replay, Scenario
from bench.scenarios import DURATION_S, WAVE_AT_S
from bench.workload import ORDERVOET, make
from moledale.bundle.schema import Bundle, Market, Weights, parse
from moledale.core.renting import HeldInstance, Rent, RentView, plan

DEMAND = 5_000.0
REQUESTS_PER_S = 5.0
SHORT_NOTICE_S = 2.0
EXAMPLE = Path(__file__).parent.parent / "examples" / "bundle.toml"
WEIGHTS = (0.0, 0.3, 0.5, 0.7, 1.0)


@dataclass(frozen=True)
class Trade:
    """What one weighting costs an hour and what a reclaim makes it compute again."""

    recompute: float
    engines: int
    on_demand: int
    taken: int
    cost_per_hour: float
    recomputed_tokens: int


def trade(recompute: float, seed: int) -> Trade:
    """Rent by the plan, then take back all reclaimable instances at once, on short notice."""
    bundle = _bundle(recompute)
    held = _rented(bundle)
    names = {one.id: f"e{index}" for index, one in enumerate(held)}
    reclaimable = [one for one in held if one.market is Market.RECLAIMABLE]
    taken = tuple(names[one.id] for one in reclaimable)
    scenario = Scenario(
        "weights",
        len(held),
        duration_s=DURATION_S,
        waves=(ReclaimWave(WAVE_AT_S, taken, SHORT_NOTICE_S),) if taken else (),
    )
    policy = next(p for p in all_policies() if p.name == "ours")
    turns = make(ORDERVOET, seed, DURATION_S, REQUESTS_PER_S)
    measures = measure(scenario, Replay(scenario, policy, turns, seed).run())
    on_demand = len(held) - len(reclaimable)
    prices = {price.hall: price for price in bundle.prices}
    cost = sum(
        prices[one.hall].on_demand
        if one.market is Market.ON_DEMAND
        else prices[one.hall].reclaimable
        for one in held
    )
    return Trade(recompute, len(held), on_demand, len(taken), cost, measures.recomputed_tokens)


def table(found: list[Trade]) -> str:
    """Return the trade as lines, the median over the seeds."""
    lines = ["\nweights of the bundle: cost against recomputed tokens, all reclaimable gone"]
    lines.append(
        f"{'weight of recompute':>20}{'engines':>9}{'on demand':>11}{'taken':>7}"
        f"{'cost/h':>8}{'recomputed k':>20}"
    )
    for recompute in WEIGHTS:
        runs = [one for one in found if one.recompute == recompute]
        values = sorted(one.recomputed_tokens / 1000 for one in runs)
        spread = f"{statistics.median(values):.0f} ({values[0]:.0f}-{values[-1]:.0f})"
        one = runs[0]
        lines.append(
            f"{recompute:>20}{one.engines:>9}{one.on_demand:>11}{one.taken:>7}"
            f"{one.cost_per_hour:>8.2f}{spread:>20}"
        )
    return "\n".join(lines)


def _bundle(recompute: float) -> Bundle:
    bundle = parse("example", EXAMPLE.read_bytes()).unwrap()
    weights = Weights(cost=1 - recompute, recompute=recompute)
    return bundle.model_copy(update={"weights": weights})


def _rented(bundle: Bundle) -> list[HeldInstance]:
    held: list[HeldInstance] = []
    while True:
        changes = [c for c in plan(bundle, RentView(DEMAND, held)) if isinstance(c, Rent)]
        if not changes:
            return held
        for change in changes:
            name = f"i{len(held)}"
            held.append(HeldInstance(name, change.hall, change.instance_class, change.market))
