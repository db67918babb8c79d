"""How well requests that end servers are told from others: `python -m bench.quarantine`.

Servers take requests of 1.2 s on average, some of which are repeated once when their server ends.
In some scenes a guilty request comes again and again, each time to a server that ends 0.1 s later
and is back after 4 s; in others servers end for reasons of their own. The product's own code
decides; word of an end is around after 0.05 s.
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
"""Part of the other requests that are repeated once."""

FIRST_FAULT_S = 2.0
"""The first guilty request, or the first end, comes after this time."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens in 40 s.

    `guilty` requests come every `repeat_interval_s` by chance, in `copies` at once, or all `synchronized`. Of all
    servers, a part of `crash_share` ends together every `crash_interval_s`, or single ones if it is 0.
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
"""Ways to decide: ends of servers that a request must explain before it is blocked."""


@dataclass(slots=True)
class RunResult:
    """What came of a scene."""

    guilty_crashes: int = 0
    innocent_broken: int = 0
    innocent_refused: int = 0
    blocked_fingerprints: set[bytes] = field(default_factory=set)


class Simulation:
    """Servers and requests on a virtual clock."""

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
        """Play the scene."""
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
        name = b"innocent %d" % next(self._run_ids)
        self._send(name, self.rng.random() < RETRIED_SHARE)
        self._schedule(
            self._now + self.rng.expovariate(self.scenario.requests_per_s), self._on_arrival
        )

    def _send_guilty(self, numbers: list[int]) -> None:
        for number in numbers:
            for _ in range(self.scenario.copies):
                self._send(b"guilty %d" % number, False)
        again_s = self.rng.uniform(*self.scenario.repeat_interval_s)
        self._schedule(self._now + again_s, partial(self._send_guilty, numbers))

    def _send(self, name: bytes, repeats: bool) -> None:
        if self.quarantine.wait_s(name, self._now):
            self.result.innocent_refused += not name.startswith(b"guilty")
            return
        server = self._choose_server()
        if server is None:
            return
        run = next(self._run_ids)
        self._running[server][run] = (name, repeats)
        if name.startswith(b"guilty"):
            self._schedule(self._now + CRASH_DELAY_S, partial(self._crash_if_running, server, run))
        else:
            took_s = self.rng.expovariate(1 / MEAN_SERVICE_S)
            self._schedule(self._now + took_s, partial(self._finish, server, run))

    def _choose_server(self) -> str | None:
        """Return the less loaded one of two servers by chance."""
        up = [each for each in self._running if self._available_at[each] <= self._now]
        some = self.rng.sample(up, min(2, len(up)))
        return min(some, key=lambda each: len(self._running[each]), default=None)

    def _finish(self, server: str, run: int) -> None:
        held = self._running[server].pop(run, None)
        if held is not None:
            self.quarantine.record_served(held[0])

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
        held = list(self._running[server].values())
        self._running[server].clear()
        self._available_at[server] = self._now + RESTART_S
        at = self._now
        names = [name for name, _ in held]
        self._schedule(
            at + REPORT_DELAY_S, partial(self.quarantine.record_crash, server, names, at)
        )
        for name, repeats in held:
            guilty = name.startswith(b"guilty")
            self.result.innocent_broken += not guilty
            if repeats:
                self._schedule(at + 0.005, partial(self._send, name, False))


def main() -> int:
    """Print a table: what each way does in each scene."""
    parser = argparse.ArgumentParser(prog="python -m bench.quarantine", description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    seeds = range(parser.parse_args().seeds)
    print("means of a run of 40 s: servers that guilty requests ended, others broken off,")
    print("others blocked, and runs in which any guilty one was not blocked\n")
    for scenario in SCENARIOS:
        print(scenario.name)
        for way, min_strikes in MIN_STRIKES_BY_METHOD.items():
            tallies = [Simulation(scenario, min_strikes, seed).run() for seed in seeds]
            guilty = {b"guilty %d" % number for number in range(scenario.guilty_requests)}
            print(
                f"  {way:32}"
                f"{mean(each.guilty_crashes for each in tallies):8.2f}"
                f"{mean(each.innocent_broken for each in tallies):9.1f}"
                f"{mean(len(each.blocked_fingerprints - guilty) for each in tallies):8.3f}"
                f"{sum(not guilty <= each.blocked_fingerprints for each in tallies):5d}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
