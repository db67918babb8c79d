"""What callers, backend servers and the operator saw; the checks read nothing else."""

import time
from dataclasses import dataclass, field

LOCAL_FAULT_KINDS = frozenset({"kill", "freeze", "server link"})
"""Disruptions after which a node need not know what a server told it, or heard it late."""

SOAK_STALL = "the soak stood still"

GLOBAL_FAULT_KINDS = frozenset({"kill all", SOAK_STALL})
"""The same of all nodes at once."""


@dataclass(slots=True)
class Run:
    """A request that a backend server began to work on."""

    request: str
    server: str
    service: str
    at: float
    line: str
    body: bytes
    account: str | None
    key_seen: bool
    after_event: int
    tokens: int


@dataclass(slots=True)
class Declined:
    """A request that a server turned away, stating when to retry."""

    request: str
    server: str
    at: float
    retry_after_s: float


@dataclass(slots=True)
class Attempt:
    """A request as its caller saw it; times are monotonic seconds."""

    request: str
    route: str
    line: str
    body: bytes
    account: str
    node: str
    sent_at: float
    tokens: int
    after_event: int = 0
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    answer: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    probe: bool = False


@dataclass(slots=True)
class Fault:
    """A disruption; planned work is what operators do on purpose."""

    kind: str
    detail: str
    planned: bool
    begins: float
    ends: float = float("inf")


@dataclass(slots=True)
class Version:
    """A configuration that the store acknowledged."""

    number: int
    acked_at: float
    keys: frozenset[str]


@dataclass(slots=True)
class Leaving:
    """A server that the list told as leaving or dropped in order."""

    server: str
    acked_at: float


@dataclass(slots=True)
class Limit:
    """A limit that a server named in its answers, of requests a second from all nodes."""

    server: str
    per_s: float
    begins: float
    ends: float = float("inf")


@dataclass(slots=True)
class Exit:
    """The end of a process; `asked` tells whether the soak's signal ended it."""

    node: str
    at: float
    code: int
    requested: bool
    took_s: float | None = None


@dataclass(slots=True)
class Ledger:
    """Everything that was seen in one soak."""

    began: float = field(default_factory=time.monotonic)
    runs: list[Run] = field(default_factory=list)
    declined: list[Declined] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    leaving: list[Leaving] = field(default_factory=list)
    limits: list[Limit] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    starts: list[tuple[str, float]] = field(default_factory=list)
    former_builds: set[tuple[str, float]] = field(default_factory=set)
    healed_at: float = float("inf")

    def record_fault(
        self, kind: str, detail: str, planned: bool = False, duration_s: float = 0.0
    ) -> Fault:
        """Note a disruption that begins now."""
        now = time.monotonic()
        fault = Fault(kind, detail, planned, now, now + duration_s if duration_s else float("inf"))
        self.faults.append(fault)
        return fault

    def end_limits(self, server: str) -> None:
        """Note that a server names no limit any more, as its next life doesn't."""
        now = time.monotonic()
        for limit in self.limits:
            if limit.server == server:
                limit.ends = min(limit.ends, now)

    def disturbed(self, node: str, server: str, begin: float, end: float) -> bool:
        """Say whether a node, its way to a server or the soak itself stood still within a span.

        A life of a former build counts as that: it does not know what was built since.
        """
        lives = [start for start in self.starts if start[0] == node and start[1] <= end]
        if lives and lives[-1] in self.former_builds:
            return True
        for fault in self.faults:
            its_own = fault.detail.partition(" ")[0] in (node, server)
            concerned = fault.kind in GLOBAL_FAULT_KINDS or (
                fault.kind in LOCAL_FAULT_KINDS and its_own
            )
            if concerned and fault.begins <= end and fault.ends >= begin:
                return True
        return any(name == node and begin <= at <= end for name, at in self.starts)

    def stalled_s(self, begin: float, end: float) -> float:
        """Return for how long the soak itself stood still within a span."""
        spans = [(each.begins, each.ends) for each in self.faults if each.kind == SOAK_STALL]
        return sum(max(0.0, min(ends, end) - max(begins, begin)) for begins, ends in spans)

    def unplanned_between(self, begin: float, end: float) -> bool:
        """Say whether anything unplanned went on within a span."""
        return any(
            not fault.planned and fault.begins <= end and fault.ends >= begin
            for fault in self.faults
        )
