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

RUN_S = 1.2
ENDS_AFTER_S = 0.1
BACK_AFTER_S = 4.0
WORD_S = 0.05
REPEATED = 0.3
"""Part of the other requests that are repeated once."""

FIRST_S = 2.0
"""The first guilty request, or the first end, comes after this time."""


@dataclass(frozen=True, slots=True)
class Scene:
    """What happens in 40 s.

    `guilty` requests come every `every_s` by chance, in `copies` at once, or all `in_step`. Of all
    servers, a part of `halls_end` ends together every `end_every_s`, or single ones if it is 0.
    """

    name: str
    servers: int = 12
    rate: float = 40.0
    guilty: int = 0
    every_s: tuple[float, float] = (0.2, 3.6)
    copies: int = 1
    in_step: bool = False
    halls_end: float = 0.0
    end_every_s: float = 0.0


SCENES = (
    Scene("one guilty request", guilty=1),
    Scene("one, four servers", servers=4, rate=13.0, guilty=1),
    Scene("one, busy", rate=160.0, guilty=1),
    Scene("three at the same time", guilty=3),
    Scene("three in step", guilty=3, in_step=True),
    Scene("three copies at once", guilty=1, copies=3),
    Scene("one, at once again", guilty=1, every_s=(0.02, 0.1)),
    Scene("servers end, one a second", end_every_s=1.0),
    Scene("a third ends every 5 s", halls_end=0.33, end_every_s=5.0),
    Scene("half end every 2 s", halls_end=0.5, end_every_s=2.0),
    Scene("one, and a third ends every 5 s", guilty=1, halls_end=0.33, end_every_s=5.0),
)
LENGTH_S = 40.0


WAYS = {"three ends": 2.99, "two ends": 1.99}
"""Ways to decide: ends of servers that a request must explain before it is blocked."""


@dataclass(slots=True)
class Tally:
    """What came of a scene."""

    ended_by_guilty: int = 0
    broken: int = 0
    refused: int = 0
    blocked: set[bytes] = field(default_factory=set)


class World:
    """Servers and requests on a virtual clock."""

    def __init__(self, scene: Scene, least_strikes: float, seed: int) -> None:
        self.scene = scene
        self.chance = random.Random(seed)
        self.quarantine = Quarantine(least_strikes)
        self.tally = Tally()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now = 0.0
        self._running: dict[str, dict[int, tuple[bytes, bool]]] = {
            f"s{number}": {} for number in range(scene.servers)
        }
        self._back_at = dict.fromkeys(self._running, 0.0)
        self._runs = count()

    def run(self) -> Tally:
        """Play the scene."""
        self._at(0.0, self._arrive)
        guilty = list(range(self.scene.guilty))
        for numbers in [guilty] if self.scene.in_step else [[each] for each in guilty]:
            self._at(FIRST_S * (1 + self.chance.random()), partial(self._guilty, numbers))
        if self.scene.end_every_s:
            self._at(FIRST_S, self._end_some)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            if self._now > LENGTH_S:
                break
            self.tally.blocked.update(
                b.fingerprint for b in self.quarantine.block_guilty(self._now)
            )
            action()
        return self.tally

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _arrive(self) -> None:
        name = b"innocent %d" % next(self._runs)
        self._send(name, self.chance.random() < REPEATED)
        self._at(self._now + self.chance.expovariate(self.scene.rate), self._arrive)

    def _guilty(self, numbers: list[int]) -> None:
        for number in numbers:
            for _ in range(self.scene.copies):
                self._send(b"guilty %d" % number, False)
        again_s = self.chance.uniform(*self.scene.every_s)
        self._at(self._now + again_s, partial(self._guilty, numbers))

    def _send(self, name: bytes, repeats: bool) -> None:
        if self.quarantine.wait_s(name, self._now):
            self.tally.refused += not name.startswith(b"guilty")
            return
        server = self._choose()
        if server is None:
            return
        run = next(self._runs)
        self._running[server][run] = (name, repeats)
        if name.startswith(b"guilty"):
            self._at(self._now + ENDS_AFTER_S, partial(self._end_if_running, server, run))
        else:
            took_s = self.chance.expovariate(1 / RUN_S)
            self._at(self._now + took_s, partial(self._finish, server, run))

    def _choose(self) -> str | None:
        """Return the less loaded one of two servers by chance."""
        up = [each for each in self._running if self._back_at[each] <= self._now]
        some = self.chance.sample(up, min(2, len(up)))
        return min(some, key=lambda each: len(self._running[each]), default=None)

    def _finish(self, server: str, run: int) -> None:
        held = self._running[server].pop(run, None)
        if held is not None:
            self.quarantine.record_served(held[0])

    def _end_if_running(self, server: str, run: int) -> None:
        if run in self._running[server]:
            self.tally.ended_by_guilty += 1
            self._end(server)

    def _end_some(self) -> None:
        names = list(self._running)
        number = max(1, round(self.scene.halls_end * len(names)))
        for server in self.chance.sample(names, number):
            if self._back_at[server] <= self._now:
                self._end(server)
        self._at(self._now + self.scene.end_every_s, self._end_some)

    def _end(self, server: str) -> None:
        held = list(self._running[server].values())
        self._running[server].clear()
        self._back_at[server] = self._now + BACK_AFTER_S
        at = self._now
        names = [name for name, _ in held]
        self._at(at + WORD_S, partial(self.quarantine.record_crash, server, names, at))
        for name, repeats in held:
            guilty = name.startswith(b"guilty")
            self.tally.broken += not guilty
            if repeats:
                self._at(at + 0.005, partial(self._send, name, False))


def main() -> int:
    """Print a table: what each way does in each scene."""
    parser = argparse.ArgumentParser(prog="python -m bench.quarantine", description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    seeds = range(parser.parse_args().seeds)
    print("means of a run of 40 s: servers that guilty requests ended, others broken off,")
    print("others blocked, and runs in which any guilty one was not blocked\n")
    for scene in SCENES:
        print(scene.name)
        for way, least_strikes in WAYS.items():
            tallies = [World(scene, least_strikes, seed).run() for seed in seeds]
            guilty = {b"guilty %d" % number for number in range(scene.guilty)}
            print(
                f"  {way:32}"
                f"{mean(each.ended_by_guilty for each in tallies):8.2f}"
                f"{mean(each.broken for each in tallies):9.1f}"
                f"{mean(len(each.blocked - guilty) for each in tallies):8.3f}"
                f"{sum(not guilty <= each.blocked for each in tallies):5d}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
