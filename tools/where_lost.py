"""Reports from nodes' logs, of played or real days, where requests were lost, by cause and time.

`python -m tools.where_lost LOG [--plot FILE] [--step SECONDS]` reads logs of any number of nodes in
one file, prints tables by route, by client account and by time, and plots the latter. Times are
those of the log lines, relative to the first one. Servers in use are those that hold a request;
servers listed are those in the nodes' list. A request that is refused and comes back counts each
time.
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
NO_ACCOUNT = "(no account)"
UNKNOWN_ACCOUNT = "(unknown)"
LIMIT_STATUS = 429


class Cause(StrEnum):
    """Why a request was lost or not answered in time."""

    LIMITED = "limited"
    REFUSED = "refused"
    LATE = "late to the first piece"
    PAUSED = "paused too long"
    CUT = "cut"
    FAILED = "failed by its server"
    LEFT = "left by its caller"


class LogFields(msgspec.Struct):
    """Fields of log lines that the report needs; an event has only some of them."""

    request: str = ""
    account: str | None = ""
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
    """One logged event; `at` is in seconds since the epoch."""

    at: float
    event: str
    fields: LogFields


@dataclass(slots=True)
class TimeSlice:
    """Requests and servers of one time step."""

    served: int = 0
    lost: Counter[Cause] = field(default_factory=Counter)
    servers_in_use: set[str] = field(default_factory=set)
    servers_listed: int | None = None


@dataclass(slots=True)
class LossReport:
    """Counts per time step, per route and per account."""

    step_s: float
    started_at: float = 0.0
    slices: defaultdict[int, TimeSlice] = field(default_factory=lambda: defaultdict(TimeSlice))
    routes: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    accounts: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    _limited: set[str] = field(default_factory=set)
    _account_of: dict[str, str] = field(default_factory=dict)

    def slice_at(self, at: float) -> TimeSlice:
        """Return the slice that contains a time."""
        return self.slices[int((at - self.started_at) // self.step_s)]

    def record(self, line: LogLine) -> None:
        """Count an event in its time step and route."""
        current = self.slice_at(line.at)
        if line.event == "servers_changed" and line.fields.there is not None:
            current.servers_listed = line.fields.there
        account = self._account(line.fields)
        if line.event == "served":
            self._record_served(line, account)
            return
        cause = self._own_cause(line)
        if cause is not None:
            current.lost[cause] += 1
            self.routes["(own answers)"][cause] += 1
            self.accounts[account][cause] += 1

    def _account(self, fields: LogFields) -> str:
        """Return the account of a line; lines without one have that of others of the request."""
        if fields.account is None:
            return NO_ACCOUNT
        if not fields.account:
            return self._account_of.get(fields.request, UNKNOWN_ACCOUNT)
        if fields.request:
            self._account_of[fields.request] = fields.account
        return fields.account

    def _own_cause(self, line: LogLine) -> Cause | None:
        """Return why the node itself ended a request, None if the line does not tell that."""
        fields = line.fields
        if line.event == "limited":
            self._limited.add(fields.request)
        # A refusal by an account's limit is logged a second time when it is sent.
        if line.event == "refused" and fields.status == LIMIT_STATUS:
            return None if fields.request in self._limited else Cause.REFUSED
        return {
            "limited": Cause.LIMITED,
            "refused": Cause.REFUSED,
            "stream_broken": Cause.CUT,
            "caller_gone": Cause.LEFT,
        }.get(line.event)

    def _record_served(self, line: LogLine, account: str) -> None:
        fields = line.fields
        started_at = line.at - fields.ms / 1000
        first = self.slice_at(max(self.started_at, started_at))
        moment = max(self.started_at, started_at)
        while moment <= line.at:
            self.slice_at(moment).servers_in_use.add(fields.server)
            moment += self.step_s
        cause = loss_cause(fields)
        if cause is None:
            first.served += 1
        else:
            first.lost[cause] += 1
        self.routes[fields.route][cause or "in time"] += 1
        self.accounts[account][cause or "in time"] += 1


def loss_cause(fields: LogFields) -> Cause | None:
    """Return why a server's answer failed or was not in time, None if it was."""
    if fields.status >= 500:
        return Cause.FAILED
    if fields.target_ms and fields.first_ms > fields.target_ms:
        return Cause.LATE
    if fields.gap_ms and fields.pause_ms > fields.gap_ms:
        return Cause.PAUSED
    return None


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log; other lines are skipped."""
    for line in lines:
        match = LINE_PATTERN.search(line)
        if match is None:
            continue
        try:
            fields = msgspec.json.decode(match[4], type=LogFields)
        except (msgspec.DecodeError, msgspec.ValidationError):
            continue
        yield LogLine(float(match[1]), match[3], fields)


def summarize_losses(lines: Iterable[LogLine], step_s: float) -> LossReport:
    """Return the report of all events, which are counted in the order of their times."""
    ordered = sorted(lines, key=lambda line: line.at)
    report = LossReport(step_s, ordered[0].at if ordered else 0.0)
    for line in ordered:
        report.record(line)
    return report


def tables(report: LossReport) -> str:
    """Return the tables by route, by account and by time as text."""
    names = [cause.value for cause in Cause]
    rows = _end_rows("route", report.routes)
    rows += ["", *_end_rows("account", report.accounts)]
    rows += ["", " | ".join(["second", "in time", *names, "servers in use", "listed"])]
    listed = 0
    for number in sorted(report.slices):
        current = report.slices[number]
        listed = current.servers_listed if current.servers_listed is not None else listed
        counts = [
            current.served,
            *(current.lost[cause] for cause in Cause),
            len(current.servers_in_use),
            listed,
        ]
        rows.append(" | ".join([f"{number * report.step_s:g}", *map(str, counts)]))
    return "\n".join(rows)


def _end_rows(title: str, table: dict[str, Counter[str]]) -> list[str]:
    """Return the rows of a table of requests in time and lost by cause, with a heading."""
    rows = [" | ".join([title, "in time", *(cause.value for cause in Cause)])]
    for name, ends in sorted(table.items()):
        rows.append(" | ".join([name, *(str(ends[each]) for each in ("in time", *Cause))]))
    return rows


def plot(report: LossReport, file: Path) -> None:
    """Plot losses by cause over time, and servers listed and in use."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    numbers = sorted(report.slices)
    times = [number * report.step_s for number in numbers]
    figure, (lost, servers) = pyplot.subplots(2, 1, sharex=True, figsize=(10, 6))
    lost.stackplot(
        times,
        *([report.slices[each].lost[cause] for each in numbers] for cause in Cause),
        labels=[cause.value for cause in Cause],
    )
    lost.set_ylabel(f"requests in {report.step_s:g} s")
    lost.legend(fontsize=7)
    listed: list[int] = []
    for number in numbers:
        known = report.slices[number].servers_listed
        listed.append(known if known is not None else (listed[-1] if listed else 0))
    in_use = [len(report.slices[number].servers_in_use) for number in numbers]
    servers.step(times, listed, where="post", label="listed")
    servers.step(times, in_use, where="post", label="in use")
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
        report = summarize_losses(read_lines(lines), options.step)
    if not report.slices:
        print("no moledale events in this file", file=sys.stderr)
        return 1
    print(tables(report))
    if options.plot is not None:
        plot(report, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
