"""Rows that another writer leaves in the store, which no node may end of."""

import asyncio
import json
import random
import time
from collections.abc import Callable

from tests.soak.checks import APPLY_S
from tests.soak.world import SoakWorld

NESTED_LISTS = 5_000
HUGE_NUMBER = 2**70
ODD_ADDRESSES = ("127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0\0.1:7000")

ODD_INTERVAL_S = 0.8
ODD_LIFE_S = (1.0, 4.0)
SWEEP_INTERVAL_S = 0.2
"""Mean time between two odd rows, for how long each stays, and how often expired ones are removed:
restores bring them back."""

ORIGIN_SLOTS = 320
"""Rows in which nodes keep which version began a stream."""

ODD_ROW = "odd row"
"""Kind of the event of an odd row. It counts as planned, so it excuses no finding."""

Place = tuple[str, str]
"""Table and key of a row."""


def nest_deeply(fields: dict[str, object]) -> bytes:
    """Return a JSON object with these fields, and one of nested lists that no reader knows."""
    head = json.dumps(fields)[:-1] + (", " if fields else "")
    return f'{head}"of_others": {"[" * NESTED_LISTS}{"]" * NESTED_LISTS}}}'.encode()


class OddRowWriter:
    """Leaves odd rows in series, and removes each after some seconds."""

    def __init__(self, world: SoakWorld, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._count = 0
        self._expiries: dict[str, float] = {}

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Write odd rows until `is_over`, then remove all."""
        next_at = time.monotonic()
        while not is_over():
            now = time.monotonic()
            if now >= next_at:
                self.write()
                next_at = now + ODD_INTERVAL_S * (0.3 + 1.4 * self._rng.random())
            self.sweep(now)
            await asyncio.sleep(SWEEP_INTERVAL_S)
        self.sweep(float("inf"))

    def write(self) -> None:
        """Write the next odd row."""
        self._count += 1
        what, (table, key), value = self._rng.choice(self._kinds())()
        if (table, key) == ("op", "config") and not self._is_config_settled():
            return
        text = self._world.put_bytes(table, key, value)
        self._expiries[text] = time.monotonic() + self._rng.uniform(*ODD_LIFE_S)
        self._world.ledger.record_fault(ODD_ROW, f"{table}/{key} {what}", planned=True)

    def sweep(self, now: float) -> None:
        """Remove expired odd rows; the plan's row gets the newest valid plan instead."""
        for (table, _, key), row in list(self._world.platform.rows.items()):
            expires_at = self._expiries.get(row.value)
            if row.gone or expires_at is None or expires_at > now:
                continue
            if (table, key) == ("op", "config"):
                self._world.rewrite_config()
            else:
                self._world.platform.drop(table, key)

    def _is_config_settled(self) -> bool:
        """Return whether all nodes had the time to read the newest plan."""
        return time.monotonic() - self._world.ledger.versions[-1].acked_at > APPLY_S

    def _kinds(self) -> list[Callable[[], tuple[str, Place, bytes]]]:
        entries = [self._nested_entry, self._huge_entry, self._misplaced_entry]
        return [*entries, *entries, self._plan, self._state_row, self._state_row]

    def _entry(self, **changes: object) -> dict[str, object]:
        service = self._rng.choice(("plain", "model"))
        return {
            "service": service, "address": "127.0.0.1:9", "zone": "hall-a", "slots": 8,
            "state": "ready", "version": "v1", "seq": self._count, "born": 1, **changes,
        }  # fmt: skip

    def _entry_place(self) -> Place:
        return "servers", f"odd-{self._count}"

    def _nested_entry(self) -> tuple[str, Place, bytes]:
        # A draining server gets no requests even where a reader skips what it does not know.
        return "nested", self._entry_place(), nest_deeply(self._entry(state="draining"))

    def _huge_entry(self) -> tuple[str, Place, bytes]:
        field = self._rng.choice(("slots", "seq", "born"))
        entry = self._entry(state="draining", **{field: HUGE_NUMBER})
        return f"{field} of 2^70", self._entry_place(), json.dumps(entry).encode()

    def _misplaced_entry(self) -> tuple[str, Place, bytes]:
        address = self._rng.choice(ODD_ADDRESSES)
        entry = self._entry(address=address)
        return f"address {address!r}", self._entry_place(), json.dumps(entry).encode()

    def _plan(self) -> tuple[str, Place, bytes]:
        """A plan without routes, whose requests would all fail if it came into force."""
        self._world.version += 1
        plan = {"version": self._world.version, "routes": []}
        return "plan nested", ("op", "config"), nest_deeply(plan)

    def _state_row(self) -> tuple[str, Place, bytes]:
        number = self._count
        places: list[tuple[Place, dict[str, object]]] = [
            (("leases", "duties"), {"holder": "odd", "epoch": 1, "operation": f"{number}"}),
            (("blocks", f"{number:032x}"), {"until_s": 1e9, "times": number}),
            (("members", f"odd-{number}"), {"number": number}),
            (("stream_versions", f"odd-{number}"), {"versions": {f"v{number}": None}}),
            (("stream_versions", "model"), {"versions": {f"v{number}": None}}),
            (
                ("stream_origins", str(self._rng.randrange(ORIGIN_SLOTS))),
                {"at_s": number, "streams": {}},
            ),
        ]
        place, fields = self._rng.choice(places)
        return "nested", place, nest_deeply(fields)
