"""Prefill speed of each server relative to the standard server of its service.

A node observes the prefill rates of requests that did not queue. Nodes send each other the median
and the number of their own observations of a server, a few servers at a time (`speed_reports`), and
each takes the weighted median. A server
that is slow for a moment, or a queue of which a node did not know, so has little influence, even
though one node alone sees too few first events of a server. Observations of others are never passed
on, so nothing is counted twice. Observations are tokens per second and not relative to an estimate
that they influence, which would follow the servers that get most requests.

The reference is the rate of a server of speed 1: the median over all listed servers, each counted
once however many requests it gets, those that are not known at the reference before. A node that
joins others takes their reference. The samples for the service's `SpeedEstimator` are normalised by
the relative speeds, so that its estimate is that of a server of speed 1.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from math import exp, log
from statistics import median

import msgspec
import xxhash

from moledale.scheduling.speed_reports import (
    MAX_OWN_RATES,
    HeardRates,
    Rate,
    ReportBudget,
    encode_report,
    merge_rates,
)

MIN_RELATIVE_SPEED = 0.4
MAX_RELATIVE_SPEED = 2.5
"""Bounds of a relative speed. A server that is still slower gets few requests at 0.4 already, and
`Slowness` accounts for the rest; a wrong estimate does limited harm."""

MIN_REFERENCE_SHARE = 0.8
"""Share of a service's servers with an observation from which the reference is their median. Before
any speed is known, all servers get requests alike, so this takes two seconds at 5 first events per
server and second."""

MIN_WORK_TOKENS = 1_000
"""Minimum prefill work of an observation. Less takes no longer than a few steps of an engine (3 to
4 ms) and the network, which then decide the rate."""

MIN_TOOK_S = 0.001
"""Shorter observed times are raised to this, so that their logarithm is defined."""

PRIOR_WEIGHT = 2
"""Observations that the assumption of speed 1 counts as (shrinkage)."""

MIN_CERTAIN_WEIGHT = 8
"""Observations behind an estimate that is used: more than come within one slow period (0.6 s at 5
first events per second). A server that wrongly seems slow gets few requests that correct it."""

SETTLED_WEIGHT = 24
"""Observations after which a server that does not differ is no longer reported."""

MIN_DIFFERENCE_LOG = 0.15
"""Minimum distance from speed 1 of a server that differs, as a logarithm. A smaller difference
changes the first event of a long prompt (12,000 tokens) by less than 15 ms, and of a short one by
less than 3 ms, about the step by which costs are compared."""

CHANGE_STEP_LOG = 0.05
"""A speed in use changes only when its estimate is this far from it, so that noise does not change
the order of servers."""

REFRESH_INTERVAL_S = 1.0
"""Interval at which estimates are renewed: reports of other nodes come once a second."""

MIN_NEWS = 0.05
"""Least part that new observations add to what is known of a server for them to be told."""

REPEAT_INTERVAL_S = 60.0
"""Time after which a node tells again what it told, since datagrams get lost and nodes join."""


class ServerSpeed(msgspec.Struct):
    """What is known of one server.

    `own` are logarithms of the prefill rates that this node observed, `own_rate` their median, and
    `rate` that of all nodes. `log_in_use` is the logarithm of the relative speed in use. A
    `settled` server was found not to differ. `untold` is the number of observations since this node
    last told others of the server, at `told_at`; `updated` is set by each observation.
    """

    service: str
    address: str
    digest: int
    own: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_OWN_RATES))
    own_rate: Rate = Rate()
    rate: Rate = Rate()
    log_in_use: float = 0.0
    settled: bool = False
    untold: int = 0
    told_at: float = -1e9
    updated: bool = False

    def observe(self, log_per_s: float) -> None:
        """Add an observation of this node."""
        self.own.append(log_per_s)
        self.own_rate = Rate(len(self.own), median(self.own))
        self.untold += 1
        self.updated = True

    def set_rate(self, rate: Rate) -> None:
        """Replace the rate, unless that would lose what is certain: peers may not be heard."""
        if rate.weight >= MIN_CERTAIN_WEIGHT or not self.is_certain:
            self.rate = rate

    @property
    def shrinkage(self) -> float:
        """Return the share of the observations in the estimate; the rest is speed 1."""
        return self.rate.weight / (self.rate.weight + PRIOR_WEIGHT)

    @property
    def is_certain(self) -> bool:
        """Return whether there are enough observations to use the estimate."""
        return self.rate.weight >= MIN_CERTAIN_WEIGHT

    @property
    def differs(self) -> bool:
        """Return whether the speed in use differs from that of the standard server."""
        return abs(self.log_in_use) >= MIN_DIFFERENCE_LOG

    @property
    def relative(self) -> float:
        """Return the speed in use."""
        return exp(self.log_in_use)

    def news(self) -> float:
        """Return how much others would learn of the server, relative to what they know of it.

        It does not depend on what was observed: if nodes told of servers that look slow to them,
        the sum would be too slow.
        """
        return self.untold / (self.rate.weight + PRIOR_WEIGHT)

    def is_due(self, now: float) -> bool:
        """Return whether other nodes are to be told of the server."""
        if not self.own or self.settled:
            return False
        return self.news() >= MIN_NEWS or now - self.told_at >= REPEAT_INTERVAL_S

    def position(self, reference: float) -> float:
        """Return the rate that counts in the reference: the reference itself if unknown."""
        return self.rate.log_per_s if self.is_certain else reference

    def update(self, reference: float) -> bool:
        """Update the speed in use to the observations; return whether it changed."""
        if not self.is_certain:
            return False
        estimate = (self.rate.log_per_s - reference) * self.shrinkage
        estimate = max(log(MIN_RELATIVE_SPEED), min(log(MAX_RELATIVE_SPEED), estimate))
        self._update_settled(estimate)
        if self.settled:
            estimate = 0.0
        elif abs(estimate - self.log_in_use) < CHANGE_STEP_LOG:
            return False
        changed = estimate != self.log_in_use
        self.log_in_use = estimate
        return changed

    def _update_settled(self, estimate: float) -> None:
        """Settle a server that does not differ; its estimate at many observations reverts that."""
        if abs(estimate) >= MIN_DIFFERENCE_LOG:
            self.settled = False
        elif self.rate.weight >= SETTLED_WEIGHT:
            self.settled = True


class Change(msgspec.Struct, frozen=True):
    """A changed speed in use; `found` is set when a server is first found to differ."""

    server: str
    service: str
    relative: float
    weight: int
    found: bool


class Summary(msgspec.Struct, frozen=True):
    """Number of servers with an estimate, and the smallest and largest speed in use."""

    estimated: int = 0
    smallest: float = 1.0
    largest: float = 1.0


def server_digest(server: str, address: str) -> int:
    """Return what stands for a server in reports; a server at another address is another one."""
    return xxhash.xxh32_intdigest(f"{server}\x00{address}".encode())


def service_digest(service: str) -> int:
    """Return what stands for the reference of a service in reports."""
    return xxhash.xxh32_intdigest(f"{service}\x00".encode())


def initial_reference(servers: list[ServerSpeed]) -> float | None:
    """Return the first reference of a service, None while too few servers were observed."""
    observed = [server.rate.log_per_s for server in servers if server.rate.weight]
    if len(observed) < MIN_REFERENCE_SHARE * len(servers):
        return None
    return median(observed)


class ServerSpeeds:
    """The relative speeds of all servers as one node knows them.

    `applies` returns whether relative speeds are used for a service. Times are monotonic seconds.
    """

    def __init__(self, applies: Callable[[str], bool] = lambda _: False) -> None:
        self.applies = applies
        self._servers: dict[str, ServerSpeed] = {}
        self._ids: dict[int, str] = {}
        self._found: set[str] = set()
        self._references: dict[str, float] = {}
        self._reference_told_at: dict[str, float] = {}
        self._heard = HeardRates()
        self._budget = ReportBudget()
        self._refreshed_at = -1e9

    def set_listed(self, listed: Mapping[str, tuple[str, str]]) -> None:
        """Replace the listed servers, given with service and address; others are forgotten."""
        self._servers = {
            name: self._known(name, service, address) for name, (service, address) in listed.items()
        }
        self._ids = {server.digest: name for name, server in self._servers.items()}
        self._found &= self._servers.keys()
        services = {server.service for server in self._servers.values()}
        for service in self._references.keys() - services:
            del self._references[service]
        self._heard.retain({*self._ids, *map(service_digest, services)})

    def _known(self, name: str, service: str, address: str) -> ServerSpeed:
        known = self._servers.get(name)
        if known is not None and (known.service, known.address) == (service, address):
            return known
        return ServerSpeed(service, address, server_digest(name, address), updated=True)

    def relative(self, server: str) -> float:
        """Return the speed of a server relative to the standard server of its service."""
        known = self._servers.get(server)
        return 1.0 if known is None else known.relative

    def observe(self, server: str, work: float, took_s: float) -> None:
        """Record the time to the first event of a request that did not queue, and its work."""
        known = self._servers.get(server)
        if known is None or work < MIN_WORK_TOKENS or not self.applies(known.service):
            return
        known.observe(log(work / max(took_s, MIN_TOOK_S)))

    def refresh(self, reports: Iterable[tuple[str, bytes]], now: float) -> list[Change]:
        """Record the reports of all live peers, and renew the estimates each `REFRESH_INTERVAL_S`.

        Return the changes of speeds in use.
        """
        self._heard.record(reports)
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return []
        self._refreshed_at = now
        self._merge()
        by_service: dict[str, list[str]] = {}
        for name, server in self._servers.items():
            by_service.setdefault(server.service, []).append(name)
        changes = []
        for service, names in by_service.items():
            if self.applies(service):
                changes += self._update(service, names)
            else:
                changes += self._reset(service, names)
        return changes

    def _merge(self) -> None:
        for digest, name in self._ids.items():
            server = self._servers[name]
            if not server.updated and digest not in self._heard.changed:
                continue
            server.updated = False
            own = (server.own_rate.log_per_s, server.own_rate.weight)
            server.set_rate(merge_rates([*self._heard.rates(digest), own]))
        self._heard.changed.clear()
        for service in {server.service for server in self._servers.values()}:
            reference = merge_rates(self._heard.rates(service_digest(service)))
            if reference.weight and service not in self._references and self.applies(service):
                self._references[service] = reference.log_per_s

    def _update(self, service: str, names: list[str]) -> list[Change]:
        servers = [self._servers[name] for name in names]
        before = self._references.get(service)
        if before is None:
            before = initial_reference(servers)
        if before is None:
            return []
        reference = median(server.position(before) for server in servers)
        self._references[service] = reference
        changed = [name for name in names if self._servers[name].update(reference)]
        return [self._change(name) for name in changed]

    def _change(self, name: str) -> Change:
        server = self._servers[name]
        found = server.differs and name not in self._found
        if found:
            self._found.add(name)
        return Change(name, server.service, server.relative, server.rate.weight, found)

    def _reset(self, service: str, names: list[str]) -> list[Change]:
        """Forget what is known of the servers of a service that relative speeds don't apply to."""
        reset = [name for name in names if self._servers[name].log_in_use]
        for name in names:
            known = self._servers[name]
            self._heard.forget(known.digest)
            if known.rate.weight:
                self._servers[name] = ServerSpeed(known.service, known.address, known.digest)
        self._heard.forget(service_digest(service))
        self._found.difference_update(names)
        self._references.pop(service, None)
        return [self._change(name) for name in reset]

    def next_report(self, receivers: int, now: float) -> bytes:
        """Return what this node sends to so many peers now, at most once a second.

        The references come first where they are due, then servers that are not certain, then the
        others, each by what peers would learn.
        """
        services = [
            service
            for service in self._references
            if now - self._reference_told_at.get(service, -1e9) >= REPEAT_INTERVAL_S
        ]
        servers = [server for server in self._servers.values() if server.is_due(now)]
        servers.sort(key=lambda each: (each.is_certain, -each.news(), each.told_at, each.digest))
        number = self._budget.take_entries(len(services) + len(servers), receivers, now)
        entries = [self._tell_reference(service, now) for service in services[:number]]
        entries += [self._tell(server, now) for server in servers[: number - len(entries)]]
        return encode_report(entries)

    def _tell_reference(self, service: str, now: float) -> tuple[int, Rate]:
        self._reference_told_at[service] = now
        return service_digest(service), Rate(1, self._references[service])

    def _tell(self, server: ServerSpeed, now: float) -> tuple[int, Rate]:
        server.untold = 0
        server.told_at = now
        return server.digest, server.own_rate

    def mean(self, servers: Iterable[str]) -> float:
        """Return the mean relative speed of some servers, 1 if there are none."""
        speeds = [self.relative(name) for name in servers]
        return sum(speeds) / len(speeds) if speeds else 1.0

    def reference(self, service: str) -> float:
        """Return the logarithm of the rate of a server of speed 1, 0 if it is not known."""
        return self._references.get(service, 0.0)

    def summary(self) -> Summary:
        """Return what metrics show."""
        certain = [each.relative for each in self._servers.values() if each.is_certain]
        if not certain:
            return Summary()
        return Summary(len(certain), min(certain), max(certain))
