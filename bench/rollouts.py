"""How well new versions of servers are judged: `python -m bench.rollouts`.

Old and new servers answer on three routes, of which one always fails 14 in 100 by itself. Answers
take 60 ms with a standard deviation of half of that; the new servers are there from 4 s on, and the
version would rise after 0.55 of the order's 12 s. The product's own code shares out the requests
and judges.
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
MEAN_ANSWER_S = 0.06
ANSWER_SIGMA = 0.47
BASE_FAILURE_SHARES = (0.004, 0.14, 0.01)
LATE_ONSET_SHARE = 0.4
"""Versions that turn bad later do so after this part of the trial."""

PROCESSES = 4


@dataclass(frozen=True, slots=True)
class VersionKind:
    """How a version is bad."""

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
    """What became of a trial: whether it was stopped, when, and the bad answers until then."""

    stopped: bool
    ended_at_s: float
    bad_answers: int


class Trial:
    """One trial of one version."""

    def __init__(self, kind: VersionKind, requests_per_s: float, nodes: int, seed: int) -> None:
        self.kind = kind
        self.requests_per_s = requests_per_s
        self.rng = random.Random(seed)
        self.requests = [0] * nodes
        self.sent_to_new = [0] * nodes
        self.evidence = Evidence()
        self.bad_answers = 0

    def run(self) -> Outcome:
        """Play until the version is found bad or would rise."""
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
        took_s = MEAN_ANSWER_S * self.rng.lognormvariate(
            -ANSWER_SIGMA * ANSWER_SIGMA / 2, ANSWER_SIGMA
        )
        failed = self.rng.random() < BASE_FAILURE_SHARES[route]
        new = at_s > BOOT_S and self._assign_to_new()
        if new and self._is_faulty(at_s, route):
            failed_too = self.rng.random() < self.kind.failed_share
            slow = self.rng.random() < self.kind.slow_share
            self.bad_answers += failed_too or slow
            failed = failed or failed_too
            took_s *= 3.0 if slow else 1.0
        self.evidence.observe(Arm.NEW if new else Arm.OLD, f"route {route}", failed, took_s)

    def _assign_to_new(self) -> bool:
        """Say whether the node that got a request sends it to the new version."""
        node = self.rng.randrange(len(self.requests))
        self.requests[node] += 1
        part = Exposure().per_node(len(self.requests))
        if not part.allows(self.requests[node], self.sent_to_new[node]):
            return False
        self.sent_to_new[node] += 1
        return True

    def _is_faulty(self, at_s: float, route: int) -> bool:
        ends_s = ROLLOUT_DURATION_S * EARLIEST_RISE_SHARE
        from_s = BOOT_S + LATE_ONSET_SHARE * (ends_s - BOOT_S) if self.kind.late_onset else 0.0
        return at_s >= from_s and not (self.kind.one_route and route)


def run_trial(kind: VersionKind, requests_per_s: float, nodes: int, seed: int) -> Outcome:
    """Play one trial."""
    return Trial(kind, requests_per_s, nodes, seed).run()


def table_rows(seeds: int, nodes: int) -> Iterator[str]:
    """Yield the rows of the table."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        for kind in VERSION_KINDS:
            cells = []
            for requests_per_s in REQUEST_RATES_PER_S:
                work = partial(run_trial, kind, requests_per_s, nodes)
                outcomes = list(pool.map(work, range(seeds), chunksize=20))
                stopped = sum(each.stopped for each in outcomes) / seeds
                bad = median(each.bad_answers for each in outcomes)
                at_s = median(each.ended_at_s for each in outcomes)
                cells.append(f"{stopped:.3f}, {bad:.0f}, {at_s:.1f} s")
            yield f"| {kind.name} | " + " | ".join(cells) + " |"


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="python -m bench.rollouts", description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=8, help="nodes that serve")
    arguments = parser.parse_args()
    print("Share of trials stopped, bad answers in the middle, when in the middle.\n")
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
