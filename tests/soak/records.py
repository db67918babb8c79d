"""Records of what callers, backend servers and the operator observed, which the checks evaluate."""

import time
from dataclasses import dataclass, field

LOCAL_FAULT_KINDS = frozenset({"kill", "freeze", "server link"})
"""Faults of a node or a server after which the node may not know what the server stated, or may
have received it late."""

SOAK_STALL = "soak stalled"

KILL_ALL = "kill all"

GLOBAL_FAULT_KINDS = frozenset({KILL_ALL, SOAK_STALL})
"""Faults with the same effect on all nodes."""


VERSION_DRILL = "versions"
"""Kind of a fault that spans a drill of versions; what else happens in it is a fault of its own."""

PARTITION = "partition"
"""Kind of a fault that cuts the nodes that its detail names from the store, and no others."""


@dataclass(slots=True)
class Run:
    """A request that a backend server started to run."""

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
    """A request that a server rejected with a Retry-After."""

    request: str
    server: str
    at: float
    retry_after_s: float


@dataclass(slots=True)
class Attempt:
    """A request and its outcome as the caller saw them; times are monotonic seconds.

    `returns_from` is the refused request whose caller came back with this one, and `resumes` the
    one that began the stream which this one takes up again. `dropped` is set if the caller itself
    broke the answer off, and `garbled` if bytes came that are no part of an answer.
    """

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
    returns_from: str = ""
    resumes: str = ""
    dropped: bool = False
    garbled: bool = False

    @property
    def framed(self) -> bool:
        """Return whether the answer has a length or chunks."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers


@dataclass(slots=True)
class Fault:
    """An injected fault, or planned work of operators if `planned`."""

    kind: str
    detail: str
    planned: bool
    begins: float
    ends: float = float("inf")


@dataclass(slots=True)
class Version:
    """A configuration version that the store acknowledged, with the API keys it contains."""

    number: int
    acked_at: float
    keys: frozenset[str]


@dataclass(slots=True)
class Leaving:
    """A server that the server list reports as leaving from `acked_at` on."""

    server: str
    acked_at: float


@dataclass(slots=True)
class Joined:
    """A listed server that is the only one of its service from `at` on which does not leave."""

    server: str
    at: float


@dataclass(slots=True)
class Serving:
    """The span in which a server of a drill of versions is listed and serves."""

    server: str
    service: str
    version: str
    begins: float
    ends: float = float("inf")


@dataclass(slots=True)
class Limit:
    """A limit that a server states in its answers, in requests per second from all nodes."""

    server: str
    per_s: float
    begins: float
    ends: float = float("inf")


@dataclass(slots=True)
class Exit:
    """The exit of a process; `requested` is True if the soak sent a signal to end it.

    `took_s` is the time since the beginning of a planned stop, if there was one.
    """

    node: str
    at: float
    code: int
    requested: bool
    took_s: float | None = None


@dataclass(slots=True)
class Ledger:
    """Holds everything that was recorded in one soak.

    `continued` has an entry for each time that a run which was moved went on at a server.
    `server_versions` has the software version of each server.
    """

    began: float = field(default_factory=time.monotonic)
    runs: list[Run] = field(default_factory=list)
    continued: list[Run] = field(default_factory=list)
    declined: list[Declined] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    leaving: list[Leaving] = field(default_factory=list)
    joined: list[Joined] = field(default_factory=list)
    serving: list[Serving] = field(default_factory=list)
    limits: list[Limit] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    starts: list[tuple[str, float]] = field(default_factory=list)
    former_builds: set[tuple[str, float]] = field(default_factory=set)
    server_versions: dict[str, str] = field(default_factory=dict)
    healed_at: float = float("inf")

    def record_fault(
        self, kind: str, detail: str, planned: bool = False, duration_s: float = 0.0
    ) -> Fault:
        """Record a fault that begins now, and lasts until `ends` is set if it has no duration."""
        now = time.monotonic()
        fault = Fault(kind, detail, planned, now, now + duration_s if duration_s else float("inf"))
        self.faults.append(fault)
        return fault

    def end_limits(self, server: str) -> None:
        """Record that a server states no limit any more, as a restarted one doesn't."""
        now = time.monotonic()
        for limit in self.limits:
            if limit.server == server:
                limit.ends = min(limit.ends, now)

    def disturbed(self, node: str, server: str, begin: float, end: float) -> bool:
        """Return whether a fault hit a node, a server or the link between them within a span.

        A stall of the soak, a start of the node and a node that runs a former build also count: a
        former build may lack what is checked.
        """
        starts = [start for start in self.starts if start[0] == node and start[1] <= end]
        if starts and starts[-1] in self.former_builds:
            return True
        for fault in self.faults:
            local = fault.detail.partition(" ")[0] in (node, server)
            relevant = fault.kind in GLOBAL_FAULT_KINDS or (
                fault.kind in LOCAL_FAULT_KINDS and local
            )
            if relevant and fault.begins <= end and fault.ends >= begin:
                return True
        return any(name == node and begin <= at <= end for name, at in self.starts)

    def stalled_s(self, begin: float, end: float) -> float:
        """Return for how long the soak process was stalled within a span."""
        spans = [(each.begins, each.ends) for each in self.faults if each.kind == SOAK_STALL]
        return sum(max(0.0, min(ends, end) - max(begins, begin)) for begins, ends in spans)

    def in_touch(self, begin: float, end: float, running_s: float) -> bool:
        """Return whether all nodes ran for `running_s` before a span, and no fault overlaps it."""
        since = begin - running_s
        if any(since <= at <= end for _, at in self.starts):
            return False
        if any(since <= each.at <= end for each in self.exits):
            return False
        return not any(
            not fault.planned and fault.begins <= end and fault.ends >= begin
            for fault in self.faults
            if fault.kind != VERSION_DRILL
        )

    def killed_between(self, begin: float, end: float) -> bool:
        """Return whether all nodes were killed within a span."""
        return any(each.kind == KILL_ALL and begin <= each.begins <= end for each in self.faults)

    def serving_between(self, service: str, version: str, begin: float, end: float) -> int:
        """Return how many servers of a version serve over a whole span."""
        return sum(
            (each.service, each.version) == (service, version)
            and each.begins < begin
            and each.ends > end
            for each in self.serving
        )

    def unplanned_between(self, begin: float, end: float, node: str = "") -> bool:
        """Return whether any unplanned fault overlaps a span.

        With `node`, a partition of other nodes does not count.
        """
        return any(
            not fault.planned and fault.begins <= end and fault.ends >= begin
            for fault in self.faults
            if not (node and fault.kind == PARTITION and node not in fault.detail.split())
        )
