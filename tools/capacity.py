"""Measures the slopes that docs/CAPACITY.md works from: `make bench-capacity`.

Everything runs on loopback, bounded in count and time. Figures of processor time come from the
kernel's accounting of the node's own process, bytes from the loopback interface's counters.
"""

import argparse
import asyncio
import json
import os
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from datetime import datetime
from functools import partial
from pathlib import Path

import aiosonic
import msgspec
from aiosonic.timeout import Timeouts

from moledale.backing.types import Instance, InstanceKind, InstanceState
from moledale.bundle.schema import Market, parse
from moledale.core.addresses import NodeView, addresses_for
from moledale.core.renting import Held, RentView, plan
from moledale.core.routing import LoadBook, Need, RoutingParams, ServerView, Speeds
from moledale.core.subset import Followable, followed
from moledale.servers.http import make_client
from standins.local_fleet import LocalFleet, Proc, http
from standins.platform import Stats

OUT = Path("out")
SETTLE_S = 8.0
WATCH_S = 20.0
STREAMS = 64
TOKENS = 300
RELAY_ROUNDS = 3
MANY_STREAMS = 380
"""Streams that are open at once at the target (docs/CAPACITY.md)."""

SLOW_S = 0.1
"""Pace of their tokens, so that this machine can carry them."""

LEAST_TOKENS = 1_000
"""Tokens of a measurement at the least, so that the kernel's ticks don't matter."""

LIVE = InstanceState.LIVE
EXAMPLE = Path(__file__).parent.parent / "examples" / "bundle.toml"
TICK_S = 1 / os.sysconf("SC_CLK_TCK")
HALLS = ("hall-a", "hall-b")


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value with its unit and what it was measured at."""

    what: str
    at: str
    value: float
    unit: str


def main() -> int:
    """Measure what is asked for, or everything, and write the figures."""
    parser = argparse.ArgumentParser()
    parts: dict[str, Callable[[], list[Figure]]] = {
        "decisions": measure_decisions,
        "relay": measure_relay,
        "streams": measure_streams,
        "control": measure_control,
    }
    parser.add_argument("parts", nargs="*", default=[], metavar="PART")
    chosen = parser.parse_args().parts or list(parts)
    figures = [figure for name in chosen for figure in parts[name]()]
    OUT.mkdir(exist_ok=True)
    name = "-".join(chosen)
    (OUT / f"capacity-{name}.json").write_text(json.dumps([asdict(f) for f in figures], indent=1))
    for figure in figures:
        print(f"{figure.what:42} {figure.at:28} {figure.value:12.3f} {figure.unit}")
    return 0


# Decisions


def measure_decisions() -> list[Figure]:
    """Time and memory of a decision against servers and sessions."""
    figures = []
    for servers in (10, 32, 100, 300, 1_100):
        book = _book(servers, 1_000)
        figures.append(Figure("pick and reserve", f"{servers} servers", _pick_us(book), "us"))
    for sessions in (1_000, 10_000, 100_000):
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        book = _book(32, sessions)
        grown = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        at = f"32 servers, {sessions} sessions"
        figures.append(Figure("memory of the load book", at, grown / 1e6, "MB"))
        figures.append(Figure("pick and reserve", at, _pick_us(book), "us"))
    for servers in (100, 1_100):
        known = [Followable(f"s{i}", f"h{i % 7}") for i in range(servers)]
        spent = _time_us(partial(followed, "n1", "h1", known, 32), 50)
        figures.append(Figure("choice of followed servers", f"{servers} servers", spent, "us"))
    for nodes in (9, 390):
        views = [NodeView(f"n{i}", f"h{i % 7}", f"10.0.0.{i}:80") for i in range(nodes)]
        spent = _time_us(partial(addresses_for, "session", views), 50)
        figures.append(Figure("addresses of a session", f"{nodes} nodes", spent, "us"))
    bundle = parse("example", EXAMPLE.read_bytes()).unwrap()
    for held in (10, 1_100):
        view = RentView(held * 1_000.0, [_held(index) for index in range(held)])
        spent = _time_us(partial(plan, bundle, view), 3)
        figures.append(Figure("plan of renting", f"{held} instances", spent / 1000, "ms"))
    figures.append(Figure("memory of the list", "1490 instances", _list_mb(1_490), "MB"))
    return figures


def _held(index: int) -> Held:
    return Held(f"i{index}", HALLS[index % 2], "small", Market.RECLAIMABLE, idle=index % 2 == 0)


def _list_mb(instances: int) -> float:
    """Return the memory of the node's copy of the lagging list."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    entries = [
        Instance(f"i-{n:08d}", InstanceKind.SERVER, f"h{n % 7}", "r", f"10.0.{n}:80", LIVE, "", "c")
        for n in range(instances)
    ]
    known = {entry.id: entry for entry in entries}
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown / 1e6 if known else 0.0


def _book(servers: int, sessions: int) -> LoadBook:
    book = LoadBook(sessions)
    speeds = Speeds(8_000, 1_500, 1_000_000)
    for index in range(servers):
        book.follow(ServerView(f"s{index}", f"h{index % 7}", "x", speeds, frozenset({"m"})))
    for index in range(sessions):
        book.cached(f"session-{index}", f"s{index % servers}", 1_000)
    return book


def _pick_us(book: LoadBook) -> float:
    params = RoutingParams()
    number = 0

    def once() -> None:
        nonlocal number
        number += 1
        need = Need("m", 500, 100, f"session-{number}", "h1")
        found = book.pick_and_reserve(need, params, 1.0)
        assert found is not None, "there is always room"
        book.release(found[1], 1.0)

    return _time_us(once, 1_000)


def _time_us(work: Callable[[], object], rounds: int) -> float:
    """Return the median over five runs of the mean microseconds a call takes."""
    means = []
    for _ in range(5):
        began = time.process_time()
        for _ in range(rounds):
            work()
        means.append((time.process_time() - began) / rounds * 1e6)
    return statistics.median(means)


# The relay


def measure_relay() -> list[Figure]:
    """Processor time of a node for each token, beside a bare relay in the same run."""
    fleet = LocalFleet()
    try:
        hoses = [_start_hose(fleet, f"hose-{index}") for index in range(3)]
        relay = fleet.start_standin("relay", "tools.bare_relay", "--target", hoses[0].address)
        node = fleet.start_node("entry-1", HALLS[0])
        fleet.roll(_wide_bundle(fleet), "entry-1")
        fleet.wait_ready(["entry-1"], servers=3)
        call = {
            "attempt": "a",
            "model": "cover-7b",
            "prompt": "p",
            "max_tokens": TOKENS,
            "priority": "normal",
            "session": "",
        }
        asked = {"model": "cover-7b", "prompt": "p", "max_tokens": TOKENS, "stream": True}
        bare, ours = [], []
        for _ in range(RELAY_ROUNDS):
            bare.append(_us_a_token(relay, "/v1/generate", call))
            ours.append(_us_a_token(node, "/v1/completions", asked))
        short = {**asked, "max_tokens": 1}
        request = [_us_a_token(node, "/v1/completions", short) for _ in range(RELAY_ROUNDS)]
        at = f"{STREAMS} streams x {TOKENS}, {RELAY_ROUNDS} runs"
        ratios = [one / other for one, other in zip(ours, bare, strict=True)]
        return [
            Figure("bare relay, processor a token", at, statistics.median(bare), "us"),
            Figure("node, processor a token", at, statistics.median(ours), "us"),
            Figure("node over bare relay, median", at, statistics.median(ratios), "times"),
            Figure("node over bare relay, least", at, min(ratios), "times"),
            Figure("node over bare relay, most", at, max(ratios), "times"),
            Figure("node, a request of one token", at, statistics.median(request), "us"),
            Figure("memory of the node, resident", at, _resident_mb(node), "MB"),
        ]
    finally:
        fleet.close()


def measure_streams() -> list[Figure]:
    """Memory of a node while many streams are open side by side."""
    fleet = LocalFleet()
    try:
        for index in range(3):
            _start_hose(fleet, f"hose-{index}", SLOW_S)
        node = fleet.start_node("entry-1", HALLS[0])
        fleet.roll(_wide_bundle(fleet), "entry-1")
        fleet.wait_ready(["entry-1"], servers=3)
        idle = _resident_mb(node)
        asked = {"model": "cover-7b", "prompt": "p", "max_tokens": TOKENS, "stream": True}
        url = f"http://{node.address}/v1/completions"
        peak = asyncio.run(_peak_mb(node, url, json.dumps(asked).encode()))
        at = f"{MANY_STREAMS} open streams x {TOKENS}"
        return [
            Figure("memory of the node, before", at, idle, "MB"),
            Figure("memory of the node, at the end", at, peak, "MB"),
            Figure("memory for each stream", at, (peak - idle) * 1000 / MANY_STREAMS, "KB"),
        ]
    finally:
        fleet.close()


def _wide_bundle(fleet: LocalFleet) -> Path:
    """Write the example bundle with limits that a measurement doesn't reach."""
    path = fleet.write_bundle()
    text = path.read_text("utf-8").replace("slots = 32", "slots = 1000")
    for old, new in (("per_s = 200", "per_s = 20000"), ("burst = 400", "burst = 20000")):
        text = text.replace(old, new)
    path.write_text(text, "utf-8")
    return path


async def _peak_mb(node: Proc, url: str, body: bytes) -> float:
    drinking = asyncio.create_task(_drink(url, body, TOKENS, MANY_STREAMS))
    peak = 0.0
    while not drinking.done():
        await asyncio.sleep(0.5)
        peak = max(peak, _resident_mb(node))
    await drinking
    return peak


def _start_hose(fleet: LocalFleet, name: str, pause_s: float = 0.01) -> Proc:
    pace = ("--pause-s", str(pause_s))
    proc = fleet.start_standin(name, "standins.firehose", "--name", name, *pace)
    instance = Instance(
        name,
        InstanceKind.SERVER,
        HALLS[0],
        "north",
        proc.address,
        InstanceState.LIVE,
        instance_class="small",
    )
    fleet.control("instances", instance)
    return proc


def _us_a_token(proc: Proc, path: str, body: dict[str, object]) -> float:
    tokens = int(str(body["max_tokens"]))
    rounds = max(1, LEAST_TOKENS // (STREAMS * tokens))
    before = _cpu_s(proc)
    for _ in range(rounds):
        url = f"http://{proc.address}{path}"
        asyncio.run(_drink(url, json.dumps(body).encode(), tokens))
    return (_cpu_s(proc) - before) / (STREAMS * tokens * rounds) * 1e6


async def _drink(url: str, body: bytes, tokens: int, streams: int = STREAMS) -> None:
    """Read streams side by side to their ends."""
    headers = {"Authorization": "Bearer brokers-key", "Content-Type": "application/json"}

    async def one(client: aiosonic.HTTPClient) -> None:
        answer = await client.post(
            url, headers=headers, data=body, timeouts=Timeouts(request_timeout=60)
        )
        text = await answer.content()
        assert text.count(b"token ") == tokens, text[-300:]

    async with make_client() as client:
        await asyncio.gather(*(one(client) for _ in range(streams)))


# Control


def measure_control() -> list[Figure]:
    """What idle nodes cost: processor, bytes, table calls, time until a bundle is in force."""
    figures = []
    for nodes, servers in ((3, 4), (9, 4), (20, 4), (40, 4), (60, 4), (9, 32)):
        figures.extend(_control_at(nodes, servers))
    return figures


def _control_at(nodes: int, servers: int) -> list[Figure]:
    fleet = LocalFleet()
    try:
        for index in range(servers):
            fleet.start_engine(f"engine-{index}", HALLS[index % 2], "--checks-fence")
        names = [f"entry-{index}" for index in range(nodes)]
        launched = [fleet.launch_node(n, HALLS[i % 2]) for i, n in enumerate(names)]
        for index, proc in enumerate(launched):
            fleet.finish_node(proc, HALLS[index % 2])
        fleet.roll(fleet.write_bundle(1), names[0])
        fleet.wait_ready(names, servers=4)
        time.sleep(SETTLE_S)
        at = f"{nodes} nodes, {servers} servers"
        figures = _watch(fleet, launched, at)
        figures.append(Figure("time to in force, last node", at, _in_force_s(fleet, names), "s"))
        resident = [_resident_mb(proc) for proc in launched]
        figures.append(Figure("memory of a node, resident", at, statistics.median(resident), "MB"))
        return figures
    finally:
        fleet.close()


def _watch(fleet: LocalFleet, nodes: list[Proc], at: str) -> list[Figure]:
    """Watch idle nodes for a while."""
    stats, cpu, wire = _stats(fleet), [_cpu_s(proc) for proc in nodes], _loopback_bytes()
    began = time.monotonic()
    time.sleep(WATCH_S)
    seconds = time.monotonic() - began
    wired = _loopback_bytes() - wire
    spent = [_cpu_s(proc) - before for proc, before in zip(nodes, cpu, strict=True)]
    after = _stats(fleet)
    count = len(nodes)
    return [
        Figure("control, processor of a node, median", at, _share(spent, seconds), "% of a core"),
        Figure("control, processor of a node, most", at, max(spent) / seconds * 100, "% of a core"),
        Figure("control, bytes on the wire a node", at, wired / seconds / count / 1000, "KB/s"),
        Figure("table reads", at, (after.reads - stats.reads) / seconds, "1/s"),
        Figure("table writes", at, (after.writes - stats.writes) / seconds, "1/s"),
        Figure("list polls", at, (after.list_polls - stats.list_polls) / seconds, "1/s"),
        Figure("cloud calls", at, (after.cloud_calls - stats.cloud_calls) / seconds, "1/s"),
    ]


def _share(spent: list[float], seconds: float) -> float:
    return statistics.median(spent) / seconds * 100


def _in_force_s(fleet: LocalFleet, names: list[str]) -> float:
    """Roll version 2 and return the seconds until the last node logged that it is in force."""
    fleet.roll(fleet.write_bundle(2), names[0])
    fleet.wait_ready(names, version=2)
    rolled = _logged_at(fleet.procs[names[0]], "E202", '"version":2')
    return max(_logged_at(fleet.procs[n], "E200", '"version":2') for n in names) - rolled


def _logged_at(proc: Proc, event: str, words: str) -> float:
    until = time.monotonic() + 10
    while time.monotonic() < until:
        for line in proc.lines:
            if event in line and words in line:
                return datetime.fromisoformat(line.split()[0]).timestamp()
        time.sleep(0.05)
    raise RuntimeError(f"{proc.name} did not log {event}")


def _stats(fleet: LocalFleet) -> Stats:
    body = http("GET", f"http://{fleet.platform.address}/control/stats")
    return msgspec.json.decode(body, type=Stats)


def _cpu_s(proc: Proc) -> float:
    fields = Path(f"/proc/{proc.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def _resident_mb(proc: Proc) -> float:
    for line in Path(f"/proc/{proc.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


def _loopback_bytes() -> int:
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


if __name__ == "__main__":
    sys.exit(main())
