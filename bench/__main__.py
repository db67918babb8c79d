"""Compares routing policies in all scenarios: `make bench`.

Writes tables and plots to `out/`, which is not committed.
"""

import argparse
import statistics
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from bench.measures import Measures, measure
from bench.policies import all_policies
from bench.replay import Replay
from bench.scenarios import ENGINE_COUNTS, Case, all_cases, quote_desk
from bench.weights import RECOMPUTE_WEIGHTS, format_tradeoffs, measure_tradeoff
from bench.workload import make_turns

OUTPUT_DIR = Path("out")
SEEDS = (1, 2, 3)
PROCESSES = 6
SWEEP_POLICIES = ("round robin", "fewest requests", "affinity alone", "paper: atomic", "ours")


@dataclass(frozen=True)
class Job:
    """One run of a policy with a seed.

    The scenario is given by its index in `all_cases()`. In the sweep `engines` is set instead, and
    the run uses the Quote Desk scenario with this number of engines.
    """

    case_index: int
    engines: int | None
    policy: str
    seed: int


def run(job: Job) -> Measures:
    """Replay a job and return its measures."""
    case = quote_desk(job.engines) if job.engines is not None else all_cases()[job.case_index]
    policy = next(p for p in all_policies() if p.name == job.policy)
    turns = make_turns(case.session_kinds, job.seed, case.scenario.duration_s, case.requests_per_s)
    outcome = Replay(case.scenario, policy, turns, job.seed).run()
    return measure(case.scenario, outcome)


def main() -> int:
    """Run the scenarios and the sweep, then print the tables and save them with the plots."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", help="run only scenarios whose name contains this text")
    parser.add_argument("--policies", help="run only policies whose name contains this text")
    parser.add_argument("--no-sweep", action="store_true")
    options = parser.parse_args()
    started_at = time.monotonic()
    cases = all_cases()
    names = [p.name for p in all_policies() if (options.policies or "") in p.name]
    jobs = [
        Job(index, None, name, seed)
        for index, case in enumerate(cases)
        if (options.only or "") in case.scenario.name
        for name in names
        for seed in SEEDS
    ]
    if not options.no_sweep:
        jobs += [
            Job(0, engines, name, seed)
            for engines in ENGINE_COUNTS
            for name in SWEEP_POLICIES
            for seed in SEEDS
        ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = dict(zip(jobs, pool.map(run, jobs), strict=True))
        pairs = [(recompute, seed) for recompute in RECOMPUTE_WEIGHTS for seed in SEEDS]
        tradeoffs = (
            [] if options.no_sweep else list(pool.map(measure_tradeoff, *zip(*pairs, strict=True)))
        )
    OUTPUT_DIR.mkdir(exist_ok=True)
    text = report(cases, results) + (format_tradeoffs(tradeoffs) + "\n" if tradeoffs else "")
    (OUTPUT_DIR / "bench.txt").write_text(text)
    print(text)
    _save_plots(cases, results)
    print(f"{len(jobs)} runs in {time.monotonic() - started_at:.0f} s")
    return 0


def report(cases: list[Case], results: dict[Job, Measures]) -> str:
    """Return the tables of all scenarios and of the sweep.

    A row is a policy's median over the seeds, for some columns with the range.
    """
    lines: list[str] = []
    for index, case in enumerate(cases):
        rows = _by_policy(results, index, None)
        if not rows:
            continue
        lines.append(f"\n{case.scenario.name}: {case.scenario.engines} engines, {len(SEEDS)} seeds")
        lines.append(_SUMMARY_HEADER)
        lines.extend(_summary_row(name, measures) for name, measures in rows.items())
        lines.append(_LATENCY_HEADER)
        lines.extend(_latency_row(name, measures) for name, measures in rows.items())
    lines.append(_sweep_table(results))
    return "\n".join(lines) + "\n"


_SUMMARY_HEADER = (
    f"{'policy':26}{'imm. in time':>20}{'imm. first p95 s':>20}{'norm. first p95':>17}"
    f"{'recomputed k':>18}{'cost/h':>8}{'late':>6}{'refused':>9}{'late ref.':>10}{'lost':>6}"
    f"{'engines':>9}{'nodes':>7}{'waves':>7}"
)
_LATENCY_HEADER = f"{'first token / between tokens, s':34}" + "".join(
    f"{name + ' p50 p95 p99':>44}" for name in ("immediate", "normal", "can-wait")
)


def _summary_row(name: str, runs: list[Measures]) -> str:
    return (
        f"{name:26}{_median_with_range(runs, lambda m: m.in_time_share['immediate'] * 100, 1):>20}"
        f"{_median_with_range(runs, lambda m: m.ttft_p95_s['immediate'], 3):>20}"
        f"{_median(runs, lambda m: m.ttft_p95_s['normal']):>17.3f}"
        f"{_median_with_range(runs, lambda m: m.recomputed_tokens / 1000, 0):>18}"
        f"{_median(runs, lambda m: m.cost_per_hour):>8.2f}"
        f"{_median(runs, lambda m: m.late_first_tokens):>6.0f}"
        f"{_median(runs, lambda m: m.refused):>9.0f}"
        f"{_median(runs, lambda m: m.late_refusals):>10.0f}"
        f"{max(m.lost for m in runs):>6}"
        f"{_median(runs, lambda m: m.engine_max_over_mean):>9.2f}"
        f"{_median(runs, lambda m: m.node_max_over_mean):>7.2f}"
        f"{max(m.unfinished_drains for m in runs):>7}"
    )


def _latency_row(name: str, runs: list[Measures]) -> str:
    cells = []
    for priority in ("immediate", "normal", "can-wait"):
        ttfts = [_median(runs, lambda m, f=f, p=priority: getattr(m, f)[p]) for f in _TTFT_FIELDS]  # type: ignore[misc]
        gaps = [_median(runs, lambda m, f=f, p=priority: getattr(m, f)[p]) for f in _GAP_FIELDS]  # type: ignore[misc]
        text = " ".join(f"{v:.3f}" for v in ttfts) + " / " + " ".join(f"{v:.3f}" for v in gaps)
        cells.append(f"{text:>44}")
    return f"{name:34}" + "".join(cells)


_TTFT_FIELDS = ("ttft_p50_s", "ttft_p95_s", "ttft_p99_s")
_GAP_FIELDS = ("inter_token_p50_s", "inter_token_p95_s", "inter_token_p99_s")


def _sweep_table(results: dict[Job, Measures]) -> str:
    """Return the lowest cost at which each policy meets the target with every seed.

    The text is empty if the sweep was not run.
    """
    lines = ["\ncost at the latency target, Quote Desk hours (fewest engines, all seeds)"]
    for name in SWEEP_POLICIES:
        shares = []
        min_cost: float | None = None
        for engines in ENGINE_COUNTS:
            runs = _by_policy(results, 0, engines).get(name)
            if not runs:
                return ""
            shares.append(f"{engines}: {min(m.in_time_share['immediate'] for m in runs) * 100:.1f}")
            if min_cost is None and all(m.meets_target for m in runs):
                min_cost = statistics.median(m.cost_per_hour for m in runs)
        cost = f"{min_cost:.2f} an hour" if min_cost is not None else "not met"
        lines.append(f"{name:26}{cost:>16}   in time by engines: {', '.join(shares)}")
    return "\n".join(lines)


def _by_policy(
    results: dict[Job, Measures], case_index: int, engines: int | None
) -> dict[str, list[Measures]]:
    """Return the measures of all seeds for each policy."""
    rows: dict[str, list[Measures]] = {}
    for job, measures in results.items():
        if (job.case_index, job.engines) == (case_index, engines):
            rows.setdefault(job.policy, []).append(measures)
    return rows


def _median(runs: list[Measures], value: Callable[[Measures], float]) -> float:
    return statistics.median(value(measures) for measures in runs)


def _median_with_range(
    runs: list[Measures], value: Callable[[Measures], float], digits: int
) -> str:
    values = [value(measures) for measures in runs]
    low, high = min(values), max(values)
    return f"{statistics.median(values):.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"


def _save_plots(cases: list[Case], results: dict[Job, Measures]) -> None:
    """Plot time to first token against recomputed tokens, in one file per scenario."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for index, case in enumerate(cases):
        rows = _by_policy(results, index, None)
        if not rows:
            continue
        figure, axes = pyplot.subplots(figsize=(9, 5), layout="constrained")
        for name, runs in rows.items():
            thousands_recomputed = [m.recomputed_tokens / 1000 for m in runs]
            ttft_p95_s = [m.ttft_p95_s["immediate"] for m in runs]
            marker = "o" if name.startswith("ours") else "x"
            axes.scatter(thousands_recomputed, ttft_p95_s, label=name, marker=marker)
        axes.set_xlabel("recomputed tokens, thousands")
        axes.set_ylabel("immediate, first token p95, s")
        axes.set_title(case.scenario.name)
        axes.legend(fontsize="x-small")
        slug = case.scenario.name.replace(" ", "-").replace(",", "").replace("%", "")
        figure.savefig(OUTPUT_DIR / f"bench-{slug}.svg")
        pyplot.close(figure)


if __name__ == "__main__":
    sys.exit(main())
