"""Keeps the list of backend servers up to date: one node reads it and sends changes to the others.

There is no election. Each node waits a little longer than the one that ranks before it, so the
first one reads while it can, and the next one does when updates fail to arrive. A change is sent in
packets and relayed from node to node. A node whose digest shows that it missed something fetches
the list from a node that has it (`document_fetch`). Reading the store is the last resort, and in a
large cluster the reads are spread over time.

No request is sent to a server based on an outdated list: `ensure_current` reads the list first if
necessary.

Servers renew their entries in the same store. During an outage of the store entries may lapse
although their servers are alive, and they reappear soon after it. So a server that is missing from
the first lists after an outage is kept for that long. The same applies when the store is restored
from an older copy. That copy may also list servers that had already left or were gone; such
entries are ignored until those that are not renewed have lapsed.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from result import Err

from moledale.clock import monotonic
from moledale.gateway.backoff import Backoff
from moledale.gateway.cold_start import ColdStart
from moledale.gateway.document_archive import DocumentArchive
from moledale.gateway.document_fetch import SERVERS_PATH, DocumentFetch
from moledale.gateway.messages import Server
from moledale.gateway.outside import ServerList as StoredList
from moledale.gateway.outside import Store
from moledale.gateway.server_list import (
    NEVER_S,
    ListHead,
    ServerChange,
    ServerDelta,
    ServerList,
    split_into_packets,
)
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion
from moledale.gateway.store_health import StoreHealth
from moledale.gateway.usage import TrueTime
from moledale.log import Event, emit

READ_INTERVAL_S = 0.8
"""Interval between reads: 0.4 of the shortest time for which a leaving server may get work (2 s),
so that one read may fail."""

EARLY_CONFIRMATION_INTERVAL_S = 0.5
"""Minimum time between two confirmations after early reads: shorter than `READ_INTERVAL_S` by more
than a poll of the duties (0.2 s), so that no other node reads meanwhile."""

READ_DELAY_PER_RANK_S = 0.12
"""Each node waits this much longer than the one ranked before it, which is several round trips."""

MAX_READ_RANK = 4
"""Nodes of higher ranks wait as long as this one: 1.3 s at most in total."""

READ_TIMEOUT_S = 0.8
"""Timeout of a read; the next one would replace it in any case."""

RETRY_INITIAL_S = 0.2
"""First pause after a failed read, for a node that reads on behalf of all."""

RETRY_MAX_S = 1.0
"""Longest such pause: the end of an outage should be noticed within about a second."""

POLL_INTERVAL_S = 0.1
"""Interval at which a serving node checks whether a read is due: shorter than
`READ_DELAY_PER_RANK_S`."""

RESERVE_POLL_INTERVAL_S = 0.5
"""Interval at which a node in reserve checks whether a read is due. Its turn comes only after
seconds, and fewer wake-ups leave more of its instance to requests."""

RESERVE_READ_DELAY_S = 2.0
"""A node in reserve reads for itself after this time without learning of another read. Serving
nodes send their states to it once a second each; with a shorter delay all nodes in reserve would
read at times."""

RESERVE_READ_JITTER_S = 0.5
"""Nodes in reserve delay reads by a random time up to this, for each `neighbours.MAX_MESH_PEERS`
nodes."""

MIN_OUTAGE_S = 2.0
"""The store counts as having been down if reads failed and there was no list for this long."""

LAPSED_ENTRY_GRACE_S = 1.8
"""Servers that are missing after an outage are kept for this long: entries that lapsed meanwhile
reappear within about two seconds of its end."""

RESTORED_ENTRY_LAPSE_S = 4.5
"""Entries that are not renewed have lapsed this long after a restore of the store from an older
copy: three heartbeats of 1.2 s, and a read."""

MAX_LIST_AGE_SHARE = 0.6
"""Maximum age of the list that requests rely on, as a share of `bounds.leave_s`. A server may get
no new work once it has been leaving for `leave_s`; the rest is left for a slow connection."""

REFRESH_WAIT_S = 0.3
"""A request waits this long for a read in progress, about as long as for a connection that gets no
answer."""

FAILED_READ_COOLDOWN_S = 3.0
"""Requests start no read for this long after a failed one. It is longer than the pause and the
timeout of the node's regular reads, so that an outage delays no request."""

MAX_KEPT_LISTS = 8
"""Lists kept as bases of deltas: some seconds of changes on a day when instances are reclaimed."""

SendChanges = Callable[[list[ServerChange], bool], None]
"""Sends changes; the flag is set if this node read them itself and unset if it relays them."""


class FleetWatch:
    """Keeps the server list current from reads and peers, and publishes it.

    `rank` returns this node's place in the order of readers, `on_servers` gets the servers after
    each change, `send_changes` sends changes to peers, and `send_confirmation` informs the nodes
    that might read next that nothing changed. `backoff_scale` returns more than 1.0 on a node in
    reserve in a large cluster (see `Neighbours.backoff_scale`). `leave_s` is the time after which a
    leaving server may get no new work. `control` is this node's address for fetches by peers, whose
    rate is limited by `link_mbps`. `cold_start` decides when a starting node reads the store
    first; without it, it does at once.
    """

    def __init__(
        self,
        store: Store,
        true_time: TrueTime,
        rank: Callable[[], int],
        on_servers: Callable[[list[Server]], None],
        send_changes: SendChanges,
        send_confirmation: Callable[[ServerChange], None],
        backoff_scale: Callable[[], float],
        control: str = "",
        link_mbps: float = 1000.0,
        leave_s: float = 2.0,
        now: Callable[[], float] = monotonic,
        cold_start: ColdStart | None = None,
    ) -> None:
        self.list = ServerList()
        self.archive = DocumentArchive(link_mbps, now, MAX_KEPT_LISTS)
        self.fetch = DocumentFetch(
            SERVERS_PATH,
            self.archive,
            lambda: self.list.era_version,
            self._on_fetched,
            self._read_without_peers,
        )
        self._store = store
        self._health = StoreHealth("list of servers")
        self._true_time = true_time
        self._rank = rank
        self._on_servers = on_servers
        self._send_changes = send_changes
        self._send_confirmation = send_confirmation
        self._backoff_scale = backoff_scale
        self._control = control
        self._max_list_age_s = MAX_LIST_AGE_SHARE * leave_s
        self._now = now
        self._cold_start = cold_start
        self._newest_head: ListHead | None = None
        # `_fresh_at` and `_read_s` are when this node's list was last read from the store, here or
        # at a peer: on the monotonic clock and on the store's clock. The same holds for the end of
        # the store's last outage, `_outage_ended_at` and `_outage_ended_s`.
        self._fresh_at = -1e9
        self._read_s = NEVER_S
        self._outage_ended_s = NEVER_S
        self._outage_ended_at = -1e9
        self._failed_at = -1e9
        self._stale_read_at = -1e9
        self._restored_at = -1e9
        self._era = UNKNOWN_ERA
        self._published: list[Server] = []
        self._retains_lapsed = False
        self._read_task: asyncio.Task[bool] | None = None
        self._read_started_at = -1e9
        self._read_is_early = False
        self._confirmed_at = -1e9
        self._backoff = Backoff(RETRY_INITIAL_S, RETRY_MAX_S, backoff_scale)
        self._rng = random.Random()
        self._read_jitter_s = 0.0

    @property
    def known(self) -> bool:
        """Return whether there is a list."""
        return self.list.version >= 0

    def head(self) -> ListHead | None:
        """Return the identity and age of this node's list to send to peers, None without a list."""
        if not self.known:
            return None
        at = self.list.era_version
        return ListHead(at.number, self.list.digest, self._read_s, self._outage_ended_s, at.era)

    async def watch(self) -> None:
        """Read the list whenever it is due on this node, forever."""
        if self._cold_start is not None:
            await self._cold_start.wait(
                lambda: self.known, lambda: self.fetch.is_behind(self._now())
            )
        while True:
            left_s = self.due_at() - self._now()
            if left_s > 0:
                await asyncio.sleep(min(self._poll_interval_s(), left_s))
            elif await asyncio.shield(self._start_read()):
                self._backoff.reset()
            else:
                await asyncio.sleep(self._backoff.next_s())

    def _poll_interval_s(self) -> float:
        return RESERVE_POLL_INTERVAL_S if self._backoff_scale() > 1.0 else POLL_INTERVAL_S

    def due_at(self) -> float:
        """Return when this node reads the list unless it learns of another read before."""
        if self._backoff_scale() > 1.0:
            return self._fresh_at + RESERVE_READ_DELAY_S + self._read_jitter_s
        rank = min(self._rank(), MAX_READ_RANK)
        return self._fresh_at + READ_INTERVAL_S + rank * READ_DELAY_PER_RANK_S

    async def ensure_current(self) -> bool:
        """Read the list if it is too old for requests; return whether requests may rely on it.

        Return False if it is still too old and other nodes have a newer one, so that they can
        serve. If no node has a newer one because the store is down, the last list is used.
        """
        if self.is_fresh():
            return True
        if self._may_read_for_request():
            read_task = self._start_read()
            left_s = self._read_started_at + REFRESH_WAIT_S - self._now()
            await asyncio.wait([read_task], timeout=max(0.0, left_s))
        return self.is_fresh() or not self.fetch.is_behind(self._now())

    def read_now(self) -> None:
        """Start to read the list before it is due, unless a read just failed or is in progress."""
        if self._may_read_for_request():
            self._start_read()

    def read_early(self) -> None:
        """Start a read like `read_now`, of which others are not told each time if nothing changed.

        Otherwise reads several times a second would send as many confirmations to all.
        """
        if self._may_read_for_request() and (self._read_task is None or self._read_task.done()):
            self._start_read()
            self._read_is_early = True

    def _may_read_for_request(self) -> bool:
        """Return whether enough time has passed since a failed or stale read."""
        now = self._now()
        return (
            now - self._failed_at > FAILED_READ_COOLDOWN_S
            and now - self._stale_read_at > RETRY_MAX_S
        )

    def on_head(self, head: ListHead, control: str, power: float) -> None:
        """Handle the list head of a peer's state; fetch the list from the peer if it is newer."""
        if self.list.is_from_older_era(head):
            return
        self._record_outage_end(head)
        self._record_head(head)
        marks_before = self.list.marks
        if self.list.confirm_head(head):
            self._reset_on_restore()
            self._on_confirmed(head)
            self._publish_without_marks(marks_before)
        elif head.era_version > self.list.era_version:
            self.fetch.add_source(control, head.era_version, power, self._now())

    def on_change(self, change: ServerChange) -> None:
        """Apply a change received from a peer, and relay it the first time."""
        if self.list.is_from_older_era(change.head):
            return
        self._record_outage_end(change.head)
        self._record_head(change.head)
        marks_before = self.list.marks
        result = self.list.apply_change(change)
        self._reset_on_restore()
        if result.confirmed:
            self._on_confirmed(change.head)
            self._publish_without_marks(marks_before)
        if result.servers_differ:
            self._on_changed(from_store=False)
        if result.is_new:
            source = self._control if result.confirmed else change.source
            self._send_changes([msgspec.structs.replace(change, source=source)], False)
        if result.needs_fetch:
            self.fetch.add_source(change.source, change.head.era_version, 1.0, self._now())

    def _publish_without_marks(self, marks_before: int) -> None:
        """Publish the list if a confirmation dropped marks of servers that are listed again."""
        if self.list.marks < marks_before:
            self._publish()

    def drop_lapsed(self) -> None:
        """Drop servers still missing after an outage; accept remaining entries of a restored store.

        Called each gossip round, since lists are read less often.
        """
        lapsed = (
            self._retains_lapsed and self._now() - self._outage_ended_at >= LAPSED_ENTRY_GRACE_S
        )
        if self._now() - self._restored_at >= RESTORED_ENTRY_LAPSE_S:
            lapsed = self.list.trust_entries() or lapsed
        if lapsed:
            self._publish()

    def is_fresh(self) -> bool:
        """Return whether the list is recent enough for requests to rely on it."""
        return self._now() - self._fresh_at <= self._max_list_age_s

    def _start_read(self) -> asyncio.Task[bool]:
        """Return the read in progress, or start one."""
        if self._read_task is None or self._read_task.done():
            self._read_is_early = False
            self._read_task = asyncio.get_running_loop().create_task(self._read())
            self._read_started_at = self._now()
        return self._read_task

    async def _read(self) -> bool:
        """Read the list and send changes; return whether what was read is this node's list now."""
        sent_at = self._now()
        before, digest = self._current_list(), self.list.digest
        outcome = await self._store.servers(READ_TIMEOUT_S, before)
        if isinstance(outcome, Err):
            self._failed_at = self._now()
            self._health.record_failure(outcome.err_value.detail)
            return False
        self._health.record_success()
        listed = outcome.ok_value
        self._true_time.record_store_clock(listed.store_s, sent_at, self._now())
        if listed.at < self.list.era_version:
            self._on_stale_read(listed)
            return False
        if self._failed_at > self._fresh_at and sent_at - self._fresh_at > MIN_OUTAGE_S:
            self._outage_ended_at, self._outage_ended_s = sent_at, listed.store_s
        base = self.list.digest
        unchanged = before is not None and not listed.changed and base == digest
        delta = None if unchanged else self.list.update_from_store(listed.servers, listed.at)
        departure_marks_dropped = unchanged and self.list.confirm_version(listed.at)
        self._reset_on_restore()
        self._record_read(sent_at, listed.store_s)
        if departure_marks_dropped:
            self._publish()
        if delta is None:
            self.archive.update_version(self.list.era_version)
            self.drop_lapsed()
            self._send_unchanged()
        else:
            self._on_changed(from_store=True)
            self._send_delta(base, delta)
        return True

    def _on_stale_read(self, listed: StoredList) -> None:
        """Record a read that returned an older list, so that requests pause before the next one."""
        now = self._now()
        if self.is_fresh():
            return
        if now - self._stale_read_at > FAILED_READ_COOLDOWN_S:
            emit(Event.LIST_OLDER, read=listed.at, here=self.list.era_version)
        self._stale_read_at = now

    def _reset_on_restore(self) -> None:
        """Reset times of the store's clock if the list is of a newer era than before.

        Entries of servers that started after the copy was made are missing until they write again.
        """
        known, self._era = self._era, self.list.era_version.era
        if not self.list.era_version.is_restored_since(EraVersion(known)):
            return
        self._restored_at = self._outage_ended_at = self._now()
        self._read_s = self._outage_ended_s = NEVER_S
        if self._newest_head is not None and self.list.is_from_older_era(self._newest_head):
            self._newest_head = None
        self._publish()

    def _current_list(self) -> StoredList | None:
        """Return this node's list as the base of a read, None if there is none."""
        if not self.known:
            return None
        at, servers = self.list.era_version, tuple(self.list.servers.values())
        return StoredList(servers, at.number, self._read_s, era=at.era)

    async def _read_without_peers(self) -> bool:
        """Read the list from the store when no peer delivers it; return whether that succeeded."""
        return await asyncio.shield(self._start_read())

    def _send_unchanged(self) -> None:
        """Send a confirmation that a read found the list unchanged."""
        now = self._now()
        if self._read_is_early and now - self._confirmed_at < EARLY_CONFIRMATION_INTERVAL_S:
            return
        self._confirmed_at = now
        head = self.head()
        if head is not None:
            self._send_confirmation(ServerChange(head, head.digest, self._control))

    def _send_delta(self, base: int, delta: ServerDelta) -> None:
        head = self.head()
        if head is not None:
            self._send_changes(split_into_packets(head, base, self._control, delta), True)

    def _on_fetched(self, version: EraVersion, raw: bytes) -> None:
        """Adopt a complete list that was fetched from a peer."""
        try:
            differs = self.list.update_from_peer(raw, version)
        except ValueError as error:
            emit(Event.PEER_FETCH_FAILED, what="servers", version=version, why=str(error))
            return
        self._reset_on_restore()
        if differs:
            self._on_changed(from_store=False)
        if self._newest_head is not None and self.list.confirm_head(self._newest_head):
            self._on_confirmed(self._newest_head)

    def _record_head(self, head: ListHead) -> None:
        """Keep the head of the newest known list, which gives its age once it is fetched."""
        newest = self._newest_head
        if newest is None or (head.era, head.read_s) > (newest.era, newest.read_s):
            self._newest_head = head

    def _on_confirmed(self, head: ListHead) -> None:
        """Record that this node's list was current when `head` was read."""
        self.archive.update_version(self.list.era_version)
        read_at = self._true_time.to_local(head.read_s)
        if read_at is not None:
            self._record_read(min(read_at, self._now()), head.read_s)
        self.drop_lapsed()

    def _record_read(self, read_at: float, store_s: float) -> None:
        """Record when the list was read, on this node's clock and on the store's.

        A newer read draws a new jitter, so that nodes in reserve do not all read at once when the
        next read is late. A known read must not: each draw would be another chance to read early.
        """
        if read_at > self._fresh_at:
            self._read_jitter_s = (
                RESERVE_READ_JITTER_S * (self._backoff_scale() - 1.0) * self._rng.random()
            )
            self._fresh_at = read_at
        self._read_s = max(self._read_s, store_s)

    def _record_outage_end(self, head: ListHead) -> None:
        """Record the end of the store's outage as the reading node stated it.

        A node whose own list was not interrupted ignores it.
        """
        ended_at = self._true_time.to_local(head.returned_s)
        if head.era > self.list.era_version.era > UNKNOWN_ERA:
            return
        if ended_at is not None and head.read_s - self._read_s > MIN_OUTAGE_S:
            self._outage_ended_at = max(self._outage_ended_at, ended_at)
            self._outage_ended_s = max(self._outage_ended_s, head.returned_s)

    def _on_changed(self, from_store: bool) -> None:
        """Archive, publish and log a list that differs from the one before."""
        self.archive.add(self.list.era_version, self.list.raw)
        self._publish()
        emit(
            Event.SERVERS_CHANGED,
            era=self.list.era_version.era,
            version=self.list.version,
            from_store=from_store,
            there=len(self._published),
            spot=sum(1 for server in self._published if server.spot),
            leaving=[server.id for server in self._published if server.leaving],
        )

    def _publish(self) -> None:
        """Publish the list, with servers added that may only have lapsed during an outage."""
        servers = self.list.usable()
        retained = []
        if self._now() - self._outage_ended_at < LAPSED_ENTRY_GRACE_S:
            listed = {server.address for server in servers}
            missing = (server for server in self._published if server.address not in listed)
            retained = [server for server in missing if not server.leaving]
        self._retains_lapsed = bool(retained)
        self._published = [*servers, *retained]
        self._on_servers(self._published)
