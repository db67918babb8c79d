"""Decides which streams get a backup of their KV cache, and at which server.

A stream that can't be repeated is lost with its server, unless its cache was replicated to another
server while it ran. A copy takes time on two links and memory at its target, which moves of streams
need too. So a stream gets one only if it is likely enough to lose its server, and all nodes
together stay within a share of links and memory. Functions here are pure; times are seconds.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import StrEnum
from math import exp

import msgspec

from moledale.core.hashing import weight
from moledale.gateway.messages import Server
from moledale.scheduling.evacuation import Link

MIN_LOSS_PROBABILITY = 0.002
"""A stream less likely to lose its server while it has a copy gets none: at most 500 copies are
made for one stream that is saved."""

LINK_SHARE = 0.2
"""Share of the time of all links that backups may use on average. A move then waits for a quarter
of a copy at most in the mean at its two links, which fits the pauses that callers allow."""

LINK_BURST_S = 3.0
"""Time for which unused link time is kept. A burst of all nodes then occupies the links for 0.6 s,
a fifth of a usual notice, and the few streams of a node need not come at regular intervals."""

MEMORY_SHARE = 0.1
"""Share of the memory of all servers that backups may take."""

FREE_MEMORY_SHARE = 0.25
"""Share of a target's memory that stays free beside a backup, for growing runs and for moves."""

OBSERVATION_WINDOW_S = 120.0
"""Time constant with which observed ends of servers are forgotten: a few series of reclaims."""

PRIOR_ENDS = 1.0
PRIOR_SERVER_S = 600.0
"""Before anything was observed, servers are expected to end unannounced as if this many had within
this many seconds of servers."""

PRIOR_HALL_S = 60.0
"""Seconds of halls without a reclaim that are assumed before any were observed, so that a first
reclaim soon after a start does not count as one each few seconds."""

RECLAIMED_SHARE = 0.5
"""A hall is reclaimed if at least this share of its servers is leaving at once."""

MIN_RECLAIMED_SERVERS = 2
"""A single leaving server is no reclaim of its hall."""

UNMOVED_SHARE = 0.1
"""Assumed share of the streams of a reclaimed hall that are cut off because they were not moved in
time."""

DURATION_WEIGHT = 0.1
"""Weight of a new stream in the moving average of durations: about the last ten count."""

ASSUMED_EVENT_S = 0.03
"""Assumed time of a stream per event that it may have at most, before any has ended."""


class Hazard(msgspec.Struct, frozen=True):
    """Rates per second at which a stream is lost to a crash, and to a reclaim of its hall."""

    crash_per_s: float
    reclaim_per_s: float

    def loss(self, exposed_s: float, other_hall: bool) -> float:
        """Return the probability of a loss that a backup in the same or another hall survives."""
        rate = self.crash_per_s + (self.reclaim_per_s if other_hall else 0.0)
        return 1.0 - exp(-rate * max(0.0, exposed_s))


class ServerHazards:
    """Estimates how often servers of one service end, from changes of the list of servers."""

    def __init__(self, now: float) -> None:
        self._at = now
        self._staying: Mapping[str, int] = {}
        self._reclaimed: frozenset[str] = frozenset()
        self._crashes = 0.0
        self._reclaims = 0.0
        self._server_s = 0.0
        self._hall_s = 0.0

    def update(self, listed: Sequence[Server], gone: Iterable[Server], now: float) -> None:
        """Record the servers that are listed from now on, and those that are not any more.

        A server that is gone without an announcement has crashed.
        """
        self._advance(now)
        self._crashes += sum(not server.leaving for server in gone)
        reclaimed = _reclaimed_halls(listed)
        self._reclaims += len(reclaimed - self._reclaimed)
        self._reclaimed = reclaimed
        self._staying = Counter(server.hall for server in listed if not server.leaving)

    def hazard(self, now: float) -> Hazard:
        """Return the rates at present."""
        self._advance(now)
        crashes = (self._crashes + PRIOR_ENDS) / (self._server_s + PRIOR_SERVER_S)
        reclaims = self._reclaims / (self._hall_s + PRIOR_HALL_S)
        return Hazard(crashes, UNMOVED_SHARE * reclaims)

    @property
    def reclaiming(self) -> bool:
        """Return whether a hall is being reclaimed."""
        return bool(self._reclaimed)

    def _advance(self, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        self._at = now
        kept = exp(-passed_s / OBSERVATION_WINDOW_S)
        observed_s = OBSERVATION_WINDOW_S * (1.0 - kept)
        self._crashes *= kept
        self._reclaims *= kept
        self._server_s = self._server_s * kept + sum(self._staying.values()) * observed_s
        self._hall_s = self._hall_s * kept + len(self._staying) * observed_s


def _reclaimed_halls(listed: Sequence[Server]) -> frozenset[str]:
    """Return the halls of which a large share of the servers is leaving."""
    total = Counter(server.hall for server in listed)
    leaving = Counter(server.hall for server in listed if server.leaving)
    return frozenset(
        hall
        for hall, number in leaving.items()
        if number >= max(MIN_RECLAIMED_SERVERS, RECLAIMED_SHARE * total[hall])
    )


class StreamDurations:
    """Expected durations of streams, from those of their route that have ended."""

    def __init__(self) -> None:
        self._event_s: dict[str, float] = {}

    def observe(self, route: str, max_events: int, took_s: float) -> None:
        """Record a stream that completed, and how many events it might have had at most."""
        event_s = took_s / max(1, max_events)
        known_s = self._event_s.setdefault(route, event_s)
        self._event_s[route] = known_s + DURATION_WEIGHT * (event_s - known_s)

    def expected_s(self, route: str, max_events: int) -> float:
        """Return the expected duration of a stream from its send to its end."""
        return max(1, max_events) * self._event_s.get(route, ASSUMED_EVENT_S)


class BackupStream(msgspec.Struct, frozen=True):
    """A stream to be sent to the server `source`, with the tokens that it may have at its end."""

    id: str
    source: str
    hall: str
    tokens: int
    expected_s: float


class BackupTarget(msgspec.Struct, frozen=True):
    """A server that may hold backups; `free_tokens` counts all that is known to be there."""

    id: str
    hall: str
    free_tokens: int
    free_slots: int


class Fleet(msgspec.Struct, frozen=True):
    """The servers that may hold backups, and the nodes that share their links and memory.

    `moving` is set while streams move off the servers of a reclaimed hall.
    """

    servers: int
    nodes: int
    cache_tokens: int
    link: Link
    moving: bool = False


class Backup(msgspec.Struct, frozen=True):
    """The decision for a backup at a server, with the link time and the memory that it takes."""

    target: str
    other_hall: bool
    link_s: float
    tokens: int
    loss: float


class BackupCopy(msgspec.Struct, frozen=True):
    """A backup of a stream in flight, at the server that had this address when it was chosen."""

    service: str
    backup: Backup
    address: str
    handle_s: float


class NoBackup(StrEnum):
    """Why a stream gets no backup."""

    UNLIKELY = "unlikely"
    MOVING = "moving"
    NO_ROOM = "no_room"
    LINKS = "links"
    MEMORY = "memory"


class BackupControl:
    """Decides on the backups of one service at one node, within the node's part of the limits."""

    def __init__(self, now: float) -> None:
        self._link_left_s = 0.0
        self._refilled_at = now - LINK_BURST_S
        self._held: Counter[str] = Counter()
        self._expiring: list[tuple[float, Backup]] = []

    def decide(
        self,
        stream: BackupStream,
        targets: Callable[[], Sequence[BackupTarget]],
        hazard: Hazard,
        fleet: Fleet,
        now: float,
    ) -> Backup | NoBackup:
        """Decide on a stream, and count its backup if it gets one.

        `targets` is called only if the stream is likely to need a backup and the limits allow one.
        """
        self._refill(fleet, now)
        self._drop_expired(now)
        if fleet.moving:
            return NoBackup.MOVING
        likely = _likely_backups(stream, hazard, fleet.link)
        if not likely:
            return NoBackup.UNLIKELY
        if self._link_left_s <= 0.0:
            return NoBackup.LINKS
        if self._held.total() + stream.tokens > self._max_held(fleet):
            return NoBackup.MEMORY
        servers = targets()
        for backup in likely:
            target = self._target(stream, servers, fleet, backup.other_hall)
            if target is not None:
                chosen = msgspec.structs.replace(backup, target=target)
                self._link_left_s -= chosen.link_s
                self._held[target] += chosen.tokens
                return chosen
        return NoBackup.NO_ROOM

    def release(self, backup: Backup, kept_until: float) -> None:
        """Record that a stream ended; its server keeps the copy until the given time."""
        self._expiring.append((kept_until, backup))

    def held_tokens(self, now: float) -> int:
        """Return the tokens of memory that this node's backups take."""
        self._drop_expired(now)
        return self._held.total()

    def _refill(self, fleet: Fleet, now: float) -> None:
        per_s = LINK_SHARE * fleet.servers / max(1, fleet.nodes)
        added_s = per_s * max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._link_left_s = min(self._link_left_s + added_s, per_s * LINK_BURST_S)

    def _drop_expired(self, now: float) -> None:
        kept = []
        for until, backup in self._expiring:
            if until > now:
                kept.append((until, backup))
            else:
                self._held[backup.target] -= backup.tokens
        self._expiring = kept
        self._held = +self._held

    def _max_held(self, fleet: Fleet) -> float:
        """Return the tokens that this node's backups may take at all servers."""
        return MEMORY_SHARE * fleet.servers * fleet.cache_tokens / max(1, fleet.nodes)

    def _target(
        self,
        stream: BackupStream,
        targets: Sequence[BackupTarget],
        fleet: Fleet,
        other_hall: bool,
    ) -> str | None:
        """Return the target with the fewest backups of this node; the hash spreads those of all."""
        needed = stream.tokens + FREE_MEMORY_SHARE * fleet.cache_tokens
        fitting = [
            target.id
            for target in targets
            if target.id != stream.source
            and (target.hall != stream.hall) == other_hall
            and target.free_slots > 0
            and target.free_tokens >= needed
        ]
        key = stream.id
        return min(fitting, key=lambda name: (self._held[name], -weight(key, name)), default=None)


def _likely_backups(stream: BackupStream, hazard: Hazard, link: Link) -> list[Backup]:
    """Return the kinds of backups that are likely enough to be needed, without a target.

    The one that saves most per link time comes first. While the copy of the prompt is under way,
    there is nothing to continue from.
    """
    found = []
    for other_hall in (False, True):
        copy_s = link.copy_s(stream.tokens, other_hall)
        loss = hazard.loss(stream.expected_s - copy_s, other_hall)
        if loss >= MIN_LOSS_PROBABILITY:
            # The copy occupies the links of both servers.
            found.append(Backup("", other_hall, 2.0 * copy_s, stream.tokens, loss))
    return sorted(found, key=lambda backup: -backup.loss / max(1e-9, backup.link_s))
