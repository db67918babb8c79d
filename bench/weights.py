"""Measures how the bundle's weights trade cost against recomputed tokens.

In each run all reclaimable instances are reclaimed at once.
"""

import statistics
from dataclasses import dataclass
from pathlib import Path

from bench.measures import measure
from bench.policies import all_policies
from bench.replay import ReclaimWave, Replay, Scenario
from bench.scenarios import DURATION_S, WAVE_AT_S
from bench.workload import ORDERVOET, make_turns
from moledale.bundle.schema import Bundle, Market, Weights, parse
from moledale.core.renting import HeldInstance, Rent, RentView, plan

DEMAND_TOKENS_PER_S = 5_000.0
REQUESTS_PER_S = 5.0
SHORT_NOTICE_S = 2.0
EXAMPLE_BUNDLE = Path(__file__).parent.parent / "examples" / "bundle.toml"
RECOMPUTE_WEIGHTS = (0.0, 0.3, 0.5, 0.7, 1.0)


@dataclass(frozen=True)
class Tradeoff:
    """Cost per hour and recomputed tokens of one run.

    `recompute` is the bundle's weight of recomputed tokens; `on_demand` and `reclaimed` are numbers
    of engines.
    """

    recompute: float
    engines: int
    on_demand: int
    reclaimed: int
    cost_per_hour: float
    recomputed_tokens: int


def measure_tradeoff(recompute: float, seed: int) -> Tradeoff:
    """Rent by the daemon's plan, then reclaim all reclaimable instances on short notice."""
    bundle = _example_bundle(recompute)
    held = _rent_for_demand(bundle)
    names = {instance.id: f"e{index}" for index, instance in enumerate(held)}
    reclaimable = [instance for instance in held if instance.market is Market.RECLAIMABLE]
    reclaimed = tuple(names[instance.id] for instance in reclaimable)
    scenario = Scenario(
        "weights",
        len(held),
        duration_s=DURATION_S,
        waves=(ReclaimWave(WAVE_AT_S, reclaimed, SHORT_NOTICE_S),) if reclaimed else (),
    )
    policy = next(p for p in all_policies() if p.name == "ours")
    turns = make_turns(ORDERVOET, seed, DURATION_S, REQUESTS_PER_S)
    measures = measure(scenario, Replay(scenario, policy, turns, seed).run())
    on_demand = len(held) - len(reclaimable)
    prices = {price.hall: price for price in bundle.prices}
    cost = sum(
        prices[instance.hall].on_demand
        if instance.market is Market.ON_DEMAND
        else prices[instance.hall].reclaimable
        for instance in held
    )
    return Tradeoff(
        recompute, len(held), on_demand, len(reclaimed), cost, measures.recomputed_tokens
    )


def format_tradeoffs(results: list[Tradeoff]) -> str:
    """Return a table with a row per weight: the median over the seeds, and the range."""
    lines = [
        "\nweights of the bundle: cost against recomputed tokens, all reclaimable instances gone"
    ]
    lines.append(
        f"{'weight of recompute':>20}{'engines':>9}{'on demand':>11}{'taken':>7}"
        f"{'cost/h':>8}{'recomputed k':>20}"
    )
    for recompute in RECOMPUTE_WEIGHTS:
        runs = [one for one in results if one.recompute == recompute]
        values = sorted(one.recomputed_tokens / 1000 for one in runs)
        spread = f"{statistics.median(values):.0f} ({values[0]:.0f}-{values[-1]:.0f})"
        one = runs[0]
        lines.append(
            f"{recompute:>20}{one.engines:>9}{one.on_demand:>11}{one.reclaimed:>7}"
            f"{one.cost_per_hour:>8.2f}{spread:>20}"
        )
    return "\n".join(lines)


def _example_bundle(recompute: float) -> Bundle:
    """Return the example bundle with other weights."""
    bundle = parse("example", EXAMPLE_BUNDLE.read_bytes()).unwrap()
    weights = Weights(cost=1 - recompute, recompute=recompute)
    return bundle.model_copy(update={"weights": weights})


def _rent_for_demand(bundle: Bundle) -> list[HeldInstance]:
    """Follow the renting plan until it rents no more, and return the instances."""
    held: list[HeldInstance] = []
    while True:
        changes = [
            c for c in plan(bundle, RentView(DEMAND_TOKENS_PER_S, held)) if isinstance(c, Rent)
        ]
        if not changes:
            return held
        for change in changes:
            name = f"i{len(held)}"
            held.append(HeldInstance(name, change.hall, change.instance_class, change.market))
