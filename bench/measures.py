"""Computes the measures of a run: latency, cost, recomputed tokens, refusals and balance."""

import statistics
from dataclasses import dataclass

import numpy

from bench.replay import Outcome, Request, Scenario
from moledale.bundle.schema import Priority

TTFT_TARGET_S = {Priority.IMMEDIATE: 0.38, Priority.NORMAL: 1.5, Priority.CAN_WAIT: 60.0}
INTER_TOKEN_TARGET_S = {Priority.IMMEDIATE: 0.071, Priority.NORMAL: 0.1, Priority.CAN_WAIT: 0.5}
"""Maximum times to the first token, and mean times between tokens, of requests that are in time."""

PRICE_PER_ENGINE_HOUR = 0.40
MIN_IN_TIME_SHARE = 0.95
"""Share of the immediate requests that must be in time to meet the target."""

LATE_REFUSAL_S = 0.1
"""A refusal is late if it comes more than this after the request's arrival."""


@dataclass(frozen=True)
class Measures:
    """Measures of one run.

    Dictionaries are keyed by priority. `late_first_tokens` counts requests whose first token came
    after their deadline. `lost` counts requests that were neither finished nor refused by the end
    of the run. `engine_max_over_mean` compares generated tokens per engine, `node_max_over_mean`
    requests per node. `unfinished_drains` counts engines that still had requests when they were
    reclaimed, under policies that plan reclaims.
    """

    ttft_p50_s: dict[str, float]
    ttft_p95_s: dict[str, float]
    ttft_p99_s: dict[str, float]
    inter_token_p50_s: dict[str, float]
    inter_token_p95_s: dict[str, float]
    inter_token_p99_s: dict[str, float]
    in_time_share: dict[str, float]
    cost_per_hour: float
    recomputed_tokens: int
    computed_tokens: int
    late_first_tokens: int
    refused: int
    late_refusals: int
    lost: int
    engine_max_over_mean: float
    node_max_over_mean: float
    unfinished_drains: int

    @property
    def meets_target(self) -> bool:
        """Whether enough immediate requests are in time and no request is lost or refused."""
        return (
            self.in_time_share["immediate"] >= MIN_IN_TIME_SHARE
            and not self.lost
            and not self.refused
        )


def measure(scenario: Scenario, outcome: Outcome) -> Measures:
    """Compute the measures of a run."""
    groups = {
        priority.value: [r for r in outcome.requests if r.turn.priority is priority]
        for priority in Priority
    }
    ttfts = {
        name: [_ttft_s(r) for r in group if r.first_token_at] for name, group in groups.items()
    }
    gaps = {
        name: [g for r in group if (g := _mean_inter_token_s(r)) > 0]
        for name, group in groups.items()
    }
    refused = [r for r in outcome.requests if r.refused_at is not None]
    return Measures(
        {name: _percentile(values, 50) for name, values in ttfts.items()},
        {name: _percentile(values, 95) for name, values in ttfts.items()},
        {name: _percentile(values, 99) for name, values in ttfts.items()},
        {name: _percentile(values, 50) for name, values in gaps.items()},
        {name: _percentile(values, 95) for name, values in gaps.items()},
        {name: _percentile(values, 99) for name, values in gaps.items()},
        {name: _in_time_share(group) for name, group in groups.items()},
        outcome.engine_hours * PRICE_PER_ENGINE_HOUR / (scenario.duration_s / 3600),
        outcome.recomputed_tokens,
        outcome.computed_tokens,
        sum(1 for r in outcome.requests if r.first_token_at and _ttft_s(r) > r.turn.deadline_s),
        len(refused),
        sum(1 for r in refused if (r.refused_at or 0) - r.turn.at > LATE_REFUSAL_S),
        sum(1 for r in outcome.requests if r.lost),
        _max_over_mean(list(outcome.tokens_by_engine.values())),
        _max_over_mean(list(outcome.requests_by_node.values())),
        outcome.unfinished_drains,
    )


def _ttft_s(request: Request) -> float:
    return (request.first_token_at or 0.0) - request.turn.at


def _mean_inter_token_s(request: Request) -> float:
    """Return the mean time between tokens, 0.0 with fewer than two tokens."""
    if request.first_token_at is None or request.last_token_at is None or request.produced < 2:
        return 0.0
    return (request.last_token_at - request.first_token_at) / (request.produced - 1)


def _is_in_time(request: Request) -> bool:
    priority = request.turn.priority
    if not request.done or request.first_token_at is None:
        return False
    ttft_in_time = _ttft_s(request) <= TTFT_TARGET_S[priority]
    return ttft_in_time and _mean_inter_token_s(request) <= INTER_TOKEN_TARGET_S[priority]


def _in_time_share(group: list[Request]) -> float:
    """Return the share of requests in time; refused and lost requests are not in time."""
    return sum(map(_is_in_time, group)) / len(group) if group else 1.0


def _percentile(values: list[float], percent: float) -> float:
    return float(numpy.percentile(values, percent)) if values else 0.0


def _max_over_mean(values: list[int]) -> float:
    return max(values) / statistics.mean(values) if values else 0.0
