"""`moledale explain`: the events of one request, from the logs of several nodes."""

import argparse
import re
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from moledale.decoding import decode_json
from moledale.log import Event
from moledale.ui.output import Exit, print_json

LINE_PATTERN = re.compile(
    r"(?P<time>\d+\.\d+) E(?P<number>\d+) (?P<name>\w+) (?P<fields>\{.*\})\s*$"
)
NODE_PREFIX_PATTERN = re.compile(r"^\s*-?\d+\.\d+ (?P<node>\S+) \d+\.\d+ E\d+ ")
MEANINGS = {event.value.number: event.value.meaning for event in Event}

CONTEXT_BEFORE_S = 1.0
"""Events that a node logged up to this long before a request are shown as its context."""

CONTEXT_EVENT_NUMBERS = frozenset(
    event.value.number
    for event in (
        Event.STARTING,
        Event.READY,
        Event.DRAINING,
        Event.STOPPED,
        Event.BUNDLE_ADOPTED,
        Event.LEASE_WON,
        Event.LEASE_LOST,
        Event.EVACUATION,
        Event.TASK_FAILED,
        Event.UNEXPECTED_ERROR,
    )
)
"""Events about a node's own state, shown as context if logged during the request."""


class LogLine(msgspec.Struct, frozen=True):
    """One event as a node logged it; `time` is the node's time of day in seconds."""

    time: float
    node: str
    number: int
    name: str
    fields: dict[str, object]

    def is_about(self, request: str) -> bool:
        """Return whether the event is about a request."""
        return self.fields.get("request") == request


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse events; other lines are skipped.

    A line may start with a time and a node name, before the event's own time. Without them, the
    node is the one of the last `starting` event, or `source` if there is none.
    """
    node = source
    for line in lines:
        match = LINE_PATTERN.search(line)
        if match is None:
            continue
        named = NODE_PREFIX_PATTERN.match(line)
        try:
            fields = decode_json(match["fields"], dict[str, object])
        except msgspec.DecodeError:
            continue
        if match["name"] == "starting" and isinstance(fields.get("node"), str):
            node = str(fields["node"])
        yield LogLine(
            float(match["time"]),
            named["node"] if named is not None else node,
            int(match["number"]),
            match["name"],
            fields,
        )


def select_events(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the events of a request, and context events of its nodes and servers, by time."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.is_about(request)]
    if not own:
        return []
    duration_s = max(_logged_duration_s(line) for line in own)
    context_start = own[0].time - duration_s - CONTEXT_BEFORE_S
    nodes = {line.node for line in own}
    servers = {str(line.fields["server"]) for line in own if "server" in line.fields}
    until_end = [line for line in ordered if line.time <= own[-1].time]
    return [
        line
        for line in until_end
        if line.is_about(request)
        or (line.node in nodes and line.time >= context_start and _is_context(line, servers))
        or line is _last_server_list(until_end, nodes, own[0].time)
    ]


def _is_context(line: LogLine, servers: set[str]) -> bool:
    """Return whether an event of no request is about the node itself or one of the servers."""
    if line.fields.get("request") is not None:
        return False
    return line.number in CONTEXT_EVENT_NUMBERS or str(line.fields.get("server")) in servers


def _last_server_list(lines: list[LogLine], nodes: set[str], time: float) -> LogLine | None:
    """Return the last change of the server list that the nodes logged up to `time`."""
    number = Event.SERVERS_CHANGED.value.number
    known = [
        line for line in lines if line.number == number and line.node in nodes and line.time <= time
    ]
    return known[-1] if known else None


def _logged_duration_s(line: LogLine) -> float:
    """Return the duration that an event states, in seconds, or 0."""
    for name in ("ms", "held_ms"):
        value = line.fields.get(name)
        if isinstance(value, int | float):
            return float(value) / 1000
    return 0.0


def explain(options: argparse.Namespace) -> Exit:
    """Print the events of a request; exit code 1 if no file has any."""
    lines: list[LogLine] = []
    for name in options.files:
        try:
            text = sys.stdin.read() if name == "-" else Path(name).read_text("utf-8", "replace")
        except OSError as error:
            print(f"{name}: can't be read: {type(error).__name__}", file=sys.stderr)
            return Exit.FAILED
        lines.extend(read_lines(Path(name).stem, text.splitlines()))
    events = select_events(lines, options.request)
    if not events:
        print(f"no event of request {options.request}", file=sys.stderr)
        return Exit.FAILED
    if options.json:
        print_json(msgspec.to_builtins(events))
        return Exit.OK
    last = events[-1].time
    for line in events:
        mark = "*" if line.is_about(options.request) else " "
        fields = " ".join(
            f"{name}={value}" for name, value in line.fields.items() if name != "request"
        )
        print(f"{line.time - last:9.3f} s {mark} {line.node} E{line.number}: {line.name} {fields}")
        print(f"{'':16}{MEANINGS.get(line.number, '')}")
    return Exit.OK
