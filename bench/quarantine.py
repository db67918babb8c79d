"""Simulates how well requests that crash servers are told from others.

Run with `python -m bench.quarantine`. Innocent requests take 1.2 s on average, and some of them are
retried once if their server crashes. In some scenarios a guilty request is sent again and again and
crashes each server 0.1 s after it started there; in others servers crash for unrelated reasons. A
crashed server is back after 4 s. The daemon's own quarantine decides; crashes are reported to it
after 0.05 s.
"""

import argparse
import heapq
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from statistics import mean

from moledale.core.quarantine import Quarantine

MEAN_SERVICE_S = 1.2
CRASH_DELAY_S = 0.1
RESTART_S = 4.0
REPORT_DELAY_S = 0.05
RETRIED_SHARE = 0.3
"""Share of the innocent requests that are retried once after a crash."""

FIRST_FAULT_S = 2.0
"""Time of the first unrelated crash. Guilty requests start at a random time between this and twice
this."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """Traffic and faults of a run of 40 s.

    Innocent requests arrive at random, `requests_per_s` on average. Each guilty request is sent
    again after a random time in the range `repeat_interval_s`, as `copies` at once; `synchronized`
    ones are all sent together. Every `crash_interval_s`, `crash_share` of the servers crash
    together, or one if it is 0; there are no such crashes if the interval is 0.
    """

    name: str
    servers: int = 12
    requests_per_s: float = 40.0
    guilty_requests: int = 0
    repeat_interval_s: tuple[float, float] = (0.2, 3.6)
    copies: int = 1
    synchronized: bool = False
    crash_share: float = 0.0
    crash_interval_s: float = 0.0


SCENARIOS = (
    Scenario("one guilty request", guilty_requests=1),
    Scenario("one, four servers", servers=4, requests_per_s=13.0, guilty_requests=1),
    Scenario("one, busy", requests_per_s=160.0, guilty_requests=1),
    Scenario("three at the same time", guilty_requests=3),
    Scenario("three in step", guilty_requests=3, synchronized=True),
    Scenario("three copies at once", guilty_requests=1, copies=3),
    Scenario("one, at once again", guilty_requests=1, repeat_interval_s=(0.02, 0.1)),
    Scenario("servers end, one a second", crash_interval_s=1.0),
    Scenario("a third ends every 5 s", crash_share=0.33, crash_interval_s=5.0),
    Scenario("half end every 2 s", crash_share=0.5, crash_interval_s=2.0),
    Scenario(
        "one, and a third ends every 5 s", guilty_requests=1, crash_share=0.33, crash_interval_s=5.0
    ),
)
RUN_DURATION_S = 40.0


MIN_STRIKES_BY_METHOD = {"three ends": 2.99, "two ends": 1.99}
"""Compared thresholds: crashes that a request must explain before it is blocked."""


@dataclass(slots=True)
class RunResult:
    """Result of one run.

    It has the number of crashes by guilty requests, of innocent requests that were broken off by a
    crash or refused by the quarantine, and the fingerprints that were blocked.
    """

    guilty_crashes: int = 0
    innocent_broken: int = 0
    innocent_refused: int = 0
    blocked_fingerprints: set[bytes] = field(default_factory=set)


class Simulation:
    """One run of a scenario on a virtual clock, with the daemon's quarantine."""

    def __init__(self, scenario: Scenario, min_strikes: float, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.quarantine = Quarantine(min_strikes)
        self.result = RunResult()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_ids = count()
        self._now = 0.0
        self._running: dict[str, dict[int, tuple[bytes, bool]]] = {
            f"s{number}": {} for number in range(scenario.servers)
        }
        self._available_at = dict.fromkeys(self._running, 0.0)
        self._run_ids = count()

    def run(self) -> RunResult:
        """Run the scenario to its end and return the result."""
        self._schedule(0.0, self._on_arrival)
        guilty = list(range(self.scenario.guilty_requests))
        for numbers in [guilty] if self.scenario.synchronized else [[each] for each in guilty]:
            self._schedule(
                FIRST_FAULT_S * (1 + self.rng.random()), partial(self._send_guilty, numbers)
            )
        if self.scenario.crash_interval_s:
            self._schedule(FIRST_FAULT_S, self._crash_some)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            if self._now > RUN_DURATION_S:
                break
            self.result.blocked_fingerprints.update(
                b.fingerprint for b in self.quarantine.block_guilty(self._now)
            )
            action()
        return self.result

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._event_ids), action))

    def _on_arrival(self) -> None:
        fingerprint = b"innocent %d" % next(self._run_ids)
        self._send(fingerprint, self.rng.random() < RETRIED_SHARE)
        self._schedule(
            self._now + self.rng.expovariate(self.scenario.requests_per_s), self._on_arrival
        )

    def _send_guilty(self, numbers: list[int]) -> None:
        for number in numbers:
            for _ in range(self.scenario.copies):
                self._send(b"guilty %d" % number, False)
        wait_s = self.rng.uniform(*self.scenario.repeat_interval_s)
        self._schedule(self._now + wait_s, partial(self._send_guilty, numbers))

    def _send(self, fingerprint: bytes, retried: bool) -> None:
        if self.quarantine.wait_s(fingerprint, self._now):
            self.result.innocent_refused += not fingerprint.startswith(b"guilty")
            return
        server = self._choose_server()
        if server is None:
            return
        run = next(self._run_ids)
        self._running[server][run] = (fingerprint, retried)
        if fingerprint.startswith(b"guilty"):
            self._schedule(self._now + CRASH_DELAY_S, partial(self._crash_if_running, server, run))
        else:
            service_s = self.rng.expovariate(1 / MEAN_SERVICE_S)
            self._schedule(self._now + service_s, partial(self._finish, server, run))

    def _choose_server(self) -> str | None:
        """Return the less loaded of two random servers that are up, or None if none is."""
        up = [each for each in self._running if self._available_at[each] <= self._now]
        candidates = self.rng.sample(up, min(2, len(up)))
        return min(candidates, key=lambda each: len(self._running[each]), default=None)

    def _finish(self, server: str, run: int) -> None:
        entry = self._running[server].pop(run, None)
        if entry is not None:
            self.quarantine.record_served(entry[0])

    def _crash_if_running(self, server: str, run: int) -> None:
        if run in self._running[server]:
            self.result.guilty_crashes += 1
            self._crash(server)

    def _crash_some(self) -> None:
        names = list(self._running)
        number = max(1, round(self.scenario.crash_share * len(names)))
        for server in self.rng.sample(names, number):
            if self._available_at[server] <= self._now:
                self._crash(server)
        self._schedule(self._now + self.scenario.crash_interval_s, self._crash_some)

    def _crash(self, server: str) -> None:
        running = list(self._running[server].values())
        self._running[server].clear()
        self._available_at[server] = self._now + RESTART_S
        crashed_at = self._now
        fingerprints = [fingerprint for fingerprint, _ in running]
        self._schedule(
            crashed_at + REPORT_DELAY_S,
            partial(self.quarantine.record_crash, server, fingerprints, crashed_at),
        )
        for fingerprint, retried in running:
            guilty = fingerprint.startswith(b"guilty")
            self.result.innocent_broken += not guilty
            if retried:
                self._schedule(crashed_at + 0.005, partial(self._send, fingerprint, False))


def main() -> int:
    """Print a table of all scenarios and thresholds."""
    parser = argparse.ArgumentParser(prog="python -m bench.quarantine", description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    seeds = range(parser.parse_args().seeds)
    print(
        "means per run of 40 s: servers crashed by guilty requests, innocent requests broken off,"
    )
    print(
        "innocent requests blocked; and number of runs in which a guilty request wasn't blocked\n"
    )
    for scenario in SCENARIOS:
        print(scenario.name)
        for method, min_strikes in MIN_STRIKES_BY_METHOD.items():
            results = [Simulation(scenario, min_strikes, seed).run() for seed in seeds]
            guilty = {b"guilty %d" % number for number in range(scenario.guilty_requests)}
            print(
                f"  {method:32}"
                f"{mean(each.guilty_crashes for each in results):8.2f}"
                f"{mean(each.innocent_broken for each in results):9.1f}"
                f"{mean(len(each.blocked_fingerprints - guilty) for each in results):8.3f}"
                f"{sum(not guilty <= each.blocked_fingerprints for each in results):5d}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
