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

DURATION_S = 12.0
BOOT_S = 4.0
GOSSIP_INTERVAL_S = 0.2
ANSWER_S = 0.06
SPREAD = 0.47
USUAL_FAILING = (0.004, 0.14, 0.01)
LATER = 0.4
"""Versions that turn bad later do so after this part of the trial."""

PROCESSES = 4


@dataclass(frozen=True, slots=True)
class Kind:
    """How a version is bad."""

    name: str
    failing: float = 0.0
    slow: float = 0.0
    later: bool = False
    one_route: bool = False


KINDS = (
    Kind("good"),
    Kind("half fail", failing=0.5),
    Kind("three in ten fail", failing=0.3),
    Kind("three times as slow", slow=1.0),
    Kind("half three times as slow", slow=0.5),
    Kind("half fail, later", failing=0.5, later=True),
    Kind("three times as slow, later", slow=1.0, later=True),
    Kind("half fail, on one route", failing=0.5, one_route=True),
    Kind("three times as slow, on one route", slow=1.0, one_route=True),
)
RATES = (2, 10, 40, 150, 600)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a trial: whether it was stopped, when, and the bad answers until then."""

    stopped: bool
    at_s: float
    bad: int


class Play:
    """One trial of one version."""

    def __init__(self, kind: Kind, rate: float, nodes: int, seed: int) -> None:
        self.kind = kind
        self.rate = rate
        self.random = random.Random(seed)
        self.requests = [0] * nodes
        self.tried = [0] * nodes
        self.evidence = Evidence()
        self.bad = 0

    def run(self) -> Outcome:
        """Play until the version is found bad or would rise."""
        judge = Judge()
        ends_s = DURATION_S * EARLIEST_RISE_SHARE
        at_s = 0.0
        while at_s < ends_s:
            at_s += GOSSIP_INTERVAL_S
            for _ in range(self._arrivals()):
                self._answer(at_s)
            if judge.observe(self.evidence):
                return Outcome(True, at_s, self.bad)
        return Outcome(False, at_s, self.bad)

    def _arrivals(self) -> int:
        mean = self.rate * GOSSIP_INTERVAL_S
        return int(mean) + (self.random.random() < mean - int(mean))

    def _answer(self, at_s: float) -> None:
        route = self.random.randrange(len(USUAL_FAILING))
        took_s = ANSWER_S * self.random.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        failed = self.random.random() < USUAL_FAILING[route]
        new = at_s > BOOT_S and self._tries()
        if new and self._is_bad(at_s, route):
            failed_too = self.random.random() < self.kind.failing
            slow = self.random.random() < self.kind.slow
            self.bad += failed_too or slow
            failed = failed or failed_too
            took_s *= 3.0 if slow else 1.0
        self.evidence.observe(Arm.NEW if new else Arm.OLD, f"route {route}", failed, took_s)

    def _tries(self) -> bool:
        """Say whether the node that got a request sends it to the new version."""
        node = self.random.randrange(len(self.requests))
        self.requests[node] += 1
        part = Exposure().per_node(len(self.requests))
        if not part.allows(self.requests[node], self.tried[node]):
            return False
        self.tried[node] += 1
        return True

    def _is_bad(self, at_s: float, route: int) -> bool:
        ends_s = DURATION_S * EARLIEST_RISE_SHARE
        from_s = BOOT_S + LATER * (ends_s - BOOT_S) if self.kind.later else 0.0
        return at_s >= from_s and not (self.kind.one_route and route)


def play(kind: Kind, rate: float, nodes: int, seed: int) -> Outcome:
    """Play one trial."""
    return Play(kind, rate, nodes, seed).run()


def rows(seeds: int, nodes: int) -> Iterator[str]:
    """Yield the rows of the table."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        for kind in KINDS:
            cells = []
            for rate in RATES:
                work = partial(play, kind, rate, nodes)
                outcomes = list(pool.map(work, range(seeds), chunksize=20))
                stopped = sum(each.stopped for each in outcomes) / seeds
                bad = median(each.bad for each in outcomes)
                at_s = median(each.at_s for each in outcomes)
                cells.append(f"{stopped:.3f}, {bad:.0f}, {at_s:.1f} s")
            yield f"| {kind.name} | " + " | ".join(cells) + " |"


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="python -m bench.rollouts", description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=8, help="nodes that serve")
    arguments = parser.parse_args()
    print("Share of trials stopped, bad answers in the middle, when in the middle.\n")
    print("| version | " + " | ".join(f"{rate} a second" for rate in RATES) + " |")
    print("|---" * (len(RATES) + 1) + "|")
    for row in rows(arguments.seeds, arguments.nodes):
        print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
