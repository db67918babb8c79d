"""Simulates how well the roll-out judge tells bad versions of servers from good ones.

Run with `python -m bench.rollouts`. Old and new servers answer on three routes, one of which fails
14 in 100 requests with either version. Answers take 60 ms on average, with a standard deviation of
half of that. The new servers are up after 4 s, and a version that isn't stopped would rise after
0.55 of the order's 12 s. The daemon's own code assigns requests to the new version and judges it.
"""

import argparse
import random
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from statistics import median

from moledale.core.rollout_evidence import Arm, Evidence, Judge
from moledale.core.rollouts import EARLIEST_RISE_SHARE, Exposure

ROLLOUT_DURATION_S = 12.0
BOOT_S = 4.0
GOSSIP_INTERVAL_S = 0.2
"""Time between two judgements of the evidence, which nodes exchange at this interval."""

MEAN_ANSWER_S = 0.06
ANSWER_SIGMA = 0.47
"""Sigma of the lognormal answer times: gives a standard deviation of about half the mean."""

BASE_FAILURE_SHARES = (0.004, 0.14, 0.01)
"""Share of the answers on each route that fail with any version."""

LATE_ONSET_SHARE = 0.4
"""Share of the trial, from the boot on, after which versions with a late onset turn bad."""

PROCESSES = 4


@dataclass(frozen=True, slots=True)
class VersionKind:
    """A kind of version and its faults.

    `failed_share` of its answers fail, and `slow_share` take three times as long. With
    `late_onset` it is good at first, and with `one_route` only answers on the first route are bad.
    """

    name: str
    failed_share: float = 0.0
    slow_share: float = 0.0
    late_onset: bool = False
    one_route: bool = False


VERSION_KINDS = (
    VersionKind("good"),
    VersionKind("half fail", failed_share=0.5),
    VersionKind("three in ten fail", failed_share=0.3),
    VersionKind("three times as slow", slow_share=1.0),
    VersionKind("half three times as slow", slow_share=0.5),
    VersionKind("half fail, later", failed_share=0.5, late_onset=True),
    VersionKind("three times as slow, later", slow_share=1.0, late_onset=True),
    VersionKind("half fail, on one route", failed_share=0.5, one_route=True),
    VersionKind("three times as slow, on one route", slow_share=1.0, one_route=True),
)
REQUEST_RATES_PER_S = (2, 10, 40, 150, 600)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a trial: whether it was stopped, when it ended, and bad answers until then."""

    stopped: bool
    ended_at_s: float
    bad_answers: int


class Trial:
    """One trial of a version on a number of nodes.

    `requests` and `sent_to_new` are the nodes' counts of all requests and of those that they sent
    to the new version.
    """

    def __init__(self, kind: VersionKind, requests_per_s: float, nodes: int, seed: int) -> None:
        self.kind = kind
        self.requests_per_s = requests_per_s
        self.rng = random.Random(seed)
        self.requests = [0] * nodes
        self.sent_to_new = [0] * nodes
        self.evidence = Evidence()
        self.bad_answers = 0

    def run(self) -> Outcome:
        """Run until the version is found bad or would rise."""
        judge = Judge()
        ends_s = ROLLOUT_DURATION_S * EARLIEST_RISE_SHARE
        at_s = 0.0
        while at_s < ends_s:
            at_s += GOSSIP_INTERVAL_S
            for _ in range(self._arrivals()):
                self._observe_answer(at_s)
            if judge.observe(self.evidence):
                return Outcome(True, at_s, self.bad_answers)
        return Outcome(False, at_s, self.bad_answers)

    def _arrivals(self) -> int:
        mean = self.requests_per_s * GOSSIP_INTERVAL_S
        return int(mean) + (self.rng.random() < mean - int(mean))

    def _observe_answer(self, at_s: float) -> None:
        route = self.rng.randrange(len(BASE_FAILURE_SHARES))
        duration_s = MEAN_ANSWER_S * self.rng.lognormvariate(
            -ANSWER_SIGMA * ANSWER_SIGMA / 2, ANSWER_SIGMA
        )
        failed = self.rng.random() < BASE_FAILURE_SHARES[route]
        new = at_s > BOOT_S and self._assign_to_new()
        if new and self._is_faulty(at_s, route):
            fault = self.rng.random() < self.kind.failed_share
            slow = self.rng.random() < self.kind.slow_share
            self.bad_answers += fault or slow
            failed = failed or fault
            duration_s *= 3.0 if slow else 1.0
        self.evidence.observe(Arm.NEW if new else Arm.OLD, f"route {route}", failed, duration_s)

    def _assign_to_new(self) -> bool:
        """Return whether the node that gets a request sends it to the new version; count both."""
        node = self.rng.randrange(len(self.requests))
        self.requests[node] += 1
        exposure = Exposure().per_node(len(self.requests))
        if not exposure.allows(self.requests[node], self.sent_to_new[node]):
            return False
        self.sent_to_new[node] += 1
        return True

    def _is_faulty(self, at_s: float, route: int) -> bool:
        ends_s = ROLLOUT_DURATION_S * EARLIEST_RISE_SHARE
        onset_s = BOOT_S + LATE_ONSET_SHARE * (ends_s - BOOT_S) if self.kind.late_onset else 0.0
        return at_s >= onset_s and not (self.kind.one_route and route)


def run_trial(kind: VersionKind, requests_per_s: float, nodes: int, seed: int) -> Outcome:
    """Run one trial and return its result."""
    return Trial(kind, requests_per_s, nodes, seed).run()


def table_rows(seeds: int, nodes: int) -> Iterator[str]:
    """Yield the rows of the table, one per kind of version, with a cell per request rate."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        for kind in VERSION_KINDS:
            cells = []
            for requests_per_s in REQUEST_RATES_PER_S:
                trial = partial(run_trial, kind, requests_per_s, nodes)
                outcomes = list(pool.map(trial, range(seeds), chunksize=20))
                stopped = sum(each.stopped for each in outcomes) / seeds
                bad = median(each.bad_answers for each in outcomes)
                at_s = median(each.ended_at_s for each in outcomes)
                cells.append(f"{stopped:.3f}, {bad:.0f}, {at_s:.1f} s")
            yield f"| {kind.name} | " + " | ".join(cells) + " |"


def main() -> int:
    """Print the table of all kinds of versions and request rates."""
    parser = argparse.ArgumentParser(prog="python -m bench.rollouts", description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=8, help="number of serving nodes")
    arguments = parser.parse_args()
    print("Share of trials stopped, median bad answers, median end of the trial.\n")
    print(
        "| version | "
        + " | ".join(f"{requests_per_s} a second" for requests_per_s in REQUEST_RATES_PER_S)
        + " |"
    )
    print("|---" * (len(REQUEST_RATES_PER_S) + 1) + "|")
    for row in table_rows(arguments.seeds, arguments.nodes):
        print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
