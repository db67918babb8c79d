"""Where requests of a played day or a real one were lost, from the nodes' logs, by cause and time.

`python -m tools.where_lost LOG [--plot FILE] [--step SECONDS]` reads logs of any number of nodes in
one file, prints a table a route and one over time, and draws the latter. Times are those of the
lines, from the first one on. Servers in use are those that hold a request; paid are those that the
list has.
"""

import argparse
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

import msgspec

LINE_PATTERN = re.compile(r"(\d{9,}\.\d+) E(\d+) (\w+) (\{.*\})\s*$")
DEFAULT_STEP_S = 2.0


class Cause(StrEnum):
    """Why a request did not earn its full worth."""

    LIMITED = "limited"
    REFUSED = "refused"
    LATE = "late to the first piece"
    PAUSED = "paused too long"
    CUT = "cut"
    FAILED = "failed by its server"


class LogFields(msgspec.Struct):
    """The fields that are read of any event."""

    route: str = ""
    status: int = 0
    first_ms: float = 0.0
    target_ms: float = 0.0
    pause_ms: float = 0.0
    gap_ms: float = 0.0
    ms: float = 0.0
    server: str = ""
    there: int | None = None


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of a log; `at` in seconds since the epoch."""

    at: float
    event: str
    fields: LogFields


@dataclass(slots=True)
class TimeSlice:
    """What happened in one step of time."""

    served: int = 0
    lost: Counter[Cause] = field(default_factory=Counter)
    servers_in_use: set[str] = field(default_factory=set)
    servers_listed: int | None = None


@dataclass(slots=True)
class LossReport:
    """All slices of a day, and what each route lost."""

    step_s: float
    started_at: float = 0.0
    slices: defaultdict[int, TimeSlice] = field(default_factory=lambda: defaultdict(TimeSlice))
    routes: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def slice_at(self, at: float) -> TimeSlice:
        """Return the slice of a moment."""
        return self.slices[int((at - self.started_at) // self.step_s)]

    def record(self, line: LogLine) -> None:
        """Count an event."""
        here = self.slice_at(line.at)
        if line.event == "servers_changed" and line.fields.there is not None:
            here.servers_listed = line.fields.there
        if line.event == "served":
            self._record_served(line)
            return
        cause = {
            "limited": Cause.LIMITED,
            "refused": Cause.REFUSED,
            "stream_broken": Cause.CUT,
        }.get(line.event)
        if cause is not None:
            here.lost[cause] += 1
            self.routes["(own answers)"][cause] += 1

    def _record_served(self, line: LogLine) -> None:
        fields = line.fields
        started_at = line.at - fields.ms / 1000
        here = self.slice_at(max(self.started_at, started_at))
        moment = max(self.started_at, started_at)
        while moment <= line.at:
            self.slice_at(moment).servers_in_use.add(fields.server)
            moment += self.step_s
        cause = loss_cause(fields)
        if cause is None:
            here.served += 1
        else:
            here.lost[cause] += 1
        self.routes[fields.route][cause or "in time"] += 1


def loss_cause(fields: LogFields) -> Cause | None:
    """Return why an answer that a server gave was not in time, or None."""
    if fields.status >= 500:
        return Cause.FAILED
    if fields.target_ms and fields.first_ms > fields.target_ms:
        return Cause.LATE
    if fields.gap_ms and fields.pause_ms > fields.gap_ms:
        return Cause.PAUSED
    return None


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log; other lines are passed over."""
    for line in lines:
        found = LINE_PATTERN.search(line)
        if found is None:
            continue
        try:
            fields = msgspec.json.decode(found[4], type=LogFields)
        except (msgspec.DecodeError, msgspec.ValidationError):
            continue
        yield LogLine(float(found[1]), found[3], fields)


def summarize_losses(lines: Iterable[LogLine], step_s: float) -> LossReport:
    """Count all events, in the order of their times."""
    ordered = sorted(lines, key=lambda line: line.at)
    account = LossReport(step_s, ordered[0].at if ordered else 0.0)
    for line in ordered:
        account.record(line)
    return account


def tables(account: LossReport) -> str:
    """Return the tables as text."""
    names = [cause.value for cause in Cause]
    rows = [" | ".join(["route", "in time", *names])]
    for route, ends in sorted(account.routes.items()):
        rows.append(" | ".join([route, *(str(ends[each]) for each in ("in time", *Cause))]))
    rows += ["", " | ".join(["second", "in time", *names, "servers in use", "listed"])]
    servers_listed = 0
    for number in sorted(account.slices):
        here = account.slices[number]
        servers_listed = here.servers_listed if here.servers_listed is not None else servers_listed
        counts = [
            here.served,
            *(here.lost[cause] for cause in Cause),
            len(here.servers_in_use),
            servers_listed,
        ]
        rows.append(" | ".join([f"{number * account.step_s:g}", *map(str, counts)]))
    return "\n".join(rows)


def plot(account: LossReport, file: Path) -> None:
    """Draw what was lost by cause over time, and servers listed and in use."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    numbers = sorted(account.slices)
    times = [number * account.step_s for number in numbers]
    figure, (lost, servers) = pyplot.subplots(2, 1, sharex=True, figsize=(10, 6))
    lost.stackplot(
        times,
        *([account.slices[each].lost[cause] for each in numbers] for cause in Cause),
        labels=[cause.value for cause in Cause],
    )
    lost.set_ylabel(f"requests in {account.step_s:g} s")
    lost.legend(fontsize=7)
    servers_listed: list[int] = []
    for number in numbers:
        told = account.slices[number].servers_listed
        servers_listed.append(
            told if told is not None else (servers_listed[-1] if servers_listed else 0)
        )
    servers_in_use = [len(account.slices[number].servers_in_use) for number in numbers]
    servers.step(times, servers_listed, where="post", label="listed")
    servers.step(times, servers_in_use, where="post", label="in use")
    servers.set_ylabel("servers")
    servers.set_xlabel("seconds")
    servers.legend(fontsize=7)
    figure.savefig(file)


def main() -> int:
    """Run the tool."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("log", type=Path)
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--step", type=float, default=DEFAULT_STEP_S)
    options = parser.parse_args()
    with options.log.open(encoding="utf-8", errors="replace") as lines:
        account = summarize_losses(read_lines(lines), options.step)
    if not account.slices:
        print("no events of moledale in this file", file=sys.stderr)
        return 1
    print(tables(account))
    if options.plot is not None:
        plot(account, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
