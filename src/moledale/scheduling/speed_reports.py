"""Reports of server speeds between nodes: their encoding, a bound on their bytes, and what is kept.

A report names a few servers, those of which most is not told yet, so a node keeps what each other
node said last of a server. The number of entries follows from the bytes per second that a node may
send to all others together, however many nodes there are.
"""

import struct
from collections.abc import Iterable
from math import floor

import msgspec

REPORT_BYTES_PER_S = 1_200.0
"""Bytes per second of reports that a node sends to all others together: three fifths of what all
control traffic of a node may use in a large cluster."""

REPORT_OVERHEAD_BYTES = 32
"""Bytes that a report takes in compressed states besides its entries, with the differences that
follow until the next snapshot."""

BURST_S = 10.0
"""Time for which unused bytes accrue. They are for many servers that are new at once, as after a
start of all nodes, when one report of the maximum size each second is useful."""

MIN_REPORTED = 3
"""Entries for which a report waits, if as many are due: with fewer, most of it is overhead."""

MAX_OWN_RATES = 15
"""Last observations of one node that count for a server. The median of 15 changes only if 8 of them
are disturbed."""

MAX_REPORTED = 12
"""Maximum entries of a report."""

MAX_KEPT_RATES = 17_600
"""Observations of other nodes that are kept of all servers together, which bounds memory and the
time to merge. Each server has the same part, of those nodes that told it last."""

MIN_NODES_PER_SERVER = 16
"""Nodes of which observations of a server are kept in any case: twice the observations that make an
estimate certain."""

ENTRY = struct.Struct(">IBh")
"""Entry of a report: digest of the server, weight, and logarithm of the rate in hundredths."""

MAX_REPORT_BYTES = MAX_REPORTED * ENTRY.size
"""Maximum size of a report: 84 bytes."""

LOG_SCALE = 100
"""Unit of an encoded logarithm: 0.01, a change of 1 %."""


class Rate(msgspec.Struct, frozen=True):
    """Median logarithm of observed prefill rates (prompt tokens per second), and their number."""

    weight: int = 0
    log_per_s: float = 0.0


WeightedLog = tuple[float, int]
"""Logarithm of a rate, and the number of observations behind it: a tuple, since up to 17,600 of
them are kept at 1,100 servers, and tuples are sorted without a key."""


def merge_rates(rates: list[WeightedLog]) -> Rate:
    """Return the weighted median of the rates that several nodes observed."""
    rates.sort()
    weight = sum(count for _, count in rates)
    passed = 0
    for log_per_s, count in rates:
        passed += count
        if 2 * passed >= weight:
            return Rate(weight, log_per_s)
    return Rate()


def encode_report(rates: Iterable[tuple[int, Rate]]) -> bytes:
    """Return the report of this node's observations by the digest of the server."""
    return b"".join(
        ENTRY.pack(digest, rate.weight, round(rate.log_per_s * LOG_SCALE)) for digest, rate in rates
    )


def decode_report(report: bytes) -> list[tuple[int, WeightedLog]]:
    """Return the observations in a report by digest, none if it is malformed or too long."""
    if len(report) % ENTRY.size or len(report) > MAX_REPORT_BYTES:
        return []
    return [
        (digest, (encoded / LOG_SCALE, min(weight, MAX_OWN_RATES)))
        for digest, weight, encoded in ENTRY.iter_unpack(report)
    ]


def report_bytes(entries: int) -> int:
    """Return how many bytes a report of so many entries adds to the states for one receiver."""
    return REPORT_OVERHEAD_BYTES + entries * ENTRY.size


class ReportBudget(msgspec.Struct):
    """Bytes that reports may use: `REPORT_BYTES_PER_S`, and what accrued unused.

    No more accrues than within `BURST_S`, or than a report of `MIN_REPORTED` entries takes, and
    within the second from one report to the next.
    """

    _bytes: float = 0.0
    _at: float | None = None

    def take_entries(self, wanted: int, receivers: int, now: float) -> int:
        """Return how many of the wanted entries a report to so many receivers may have now."""
        receivers = max(1, receivers)
        self._accrue(receivers * report_bytes(MIN_REPORTED), now)
        affordable = (self._bytes / receivers - REPORT_OVERHEAD_BYTES) / ENTRY.size
        number = min(wanted, MAX_REPORTED, floor(affordable))
        if number < min(wanted, MIN_REPORTED) or number == 0:
            return 0
        self._bytes -= receivers * report_bytes(number)
        return number

    def _accrue(self, smallest_report: int, now: float) -> None:
        elapsed_s = BURST_S if self._at is None else now - self._at
        self._at = now
        most = REPORT_BYTES_PER_S + max(BURST_S * REPORT_BYTES_PER_S, smallest_report)
        self._bytes = min(most, self._bytes + elapsed_s * REPORT_BYTES_PER_S)


class HeardRates(msgspec.Struct):
    """The last observations that other nodes told of each server, by its digest.

    `changed` are the digests of which something was told since it was emptied, and `max_nodes` the
    number of nodes kept of each server.
    """

    max_nodes: int = MIN_NODES_PER_SERVER
    changed: set[int] = msgspec.field(default_factory=set)
    _by_server: dict[int, dict[str, WeightedLog]] = msgspec.field(default_factory=dict)
    _last_reports: dict[str, bytes] = msgspec.field(default_factory=dict)

    def record(self, reports: Iterable[tuple[str, bytes]]) -> None:
        """Record the last reports of all live peers; one that was recorded before is skipped."""
        before = self._last_reports
        self._last_reports = dict(reports)
        for node, report in self._last_reports.items():
            if report is before.get(node):
                continue
            for digest, rate in decode_report(report):
                self._record_rate(node, digest, rate)

    def _record_rate(self, node: str, digest: int, rate: WeightedLog) -> None:
        by_node = self._by_server.setdefault(digest, {})
        by_node.pop(node, None)
        by_node[node] = rate
        if len(by_node) > self.max_nodes:
            del by_node[next(iter(by_node))]
        self.changed.add(digest)

    def rates(self, digest: int) -> list[WeightedLog]:
        """Return what other nodes observed of a server."""
        return list(self._by_server.get(digest, {}).values())

    def retain(self, digests: set[int]) -> None:
        """Keep what was told of these servers only, each in its part of what is kept in all."""
        self.max_nodes = max(MIN_NODES_PER_SERVER, MAX_KEPT_RATES // max(1, len(digests)))
        for digest in self._by_server.keys() - digests:
            self.forget(digest)

    def forget(self, digest: int) -> None:
        """Forget what was told of a server."""
        self._by_server.pop(digest, None)
        self.changed.discard(digest)
