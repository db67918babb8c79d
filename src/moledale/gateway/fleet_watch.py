"""Keeping the list of backend servers: one node reads it and tells the others what changed.

There is no election: each node waits a little longer than the one before it, so the first reads
while it can, and another does as soon as its news stay away. A change is told in packets and passed
on from node to node; a node that sees by the digest that it misses something fetches it from a node
that has it (`document_fetch`). The store is the last way, and where nodes are many they don't come
to it together.

Nothing is sent to a server by a list that is too old: `current` reads the list first if need be.

Servers renew their entries in the same store. While it is away entries may lapse though their
servers live, and these are back soon after it is; so a server that is missing from the first lists
after an outage is kept for that long. The same goes for a store that comes back from an older copy.
Servers that had left or were gone before are listed again then; such entries are not believed until
those that nobody renews have lapsed.
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
"""The list is read this often: 0.4 of the shortest time that a leaving server may get work (2 s),
so that one reading may fail."""

READ_DELAY_PER_RANK_S = 0.12
"""Each next node waits this much longer for the reader before it, several round trips."""

MAX_READ_RANK = 4
"""Nodes of later turns wait as long as this one: 1.3 s at most in all."""

READ_TIMEOUT_S = 0.8
"""A reading has this long; a later one would take its place in any case."""

RETRY_INITIAL_S = 0.2
"""First pause after a reading that failed, for a node that reads for all."""

RETRY_MAX_S = 1.0
"""Longest such pause: the store's return is to be seen within about a second."""

POLL_INTERVAL_S = 0.1
"""A node that serves looks this often whether it is to read: less than the time between two
turns."""

RESERVE_POLL_INTERVAL_S = 0.5
"""A node in reserve looks this often whether it is to read; its turn comes after seconds only, and
a node that wakes up less leaves more of its instance to requests."""


RESERVE_READ_DELAY_S = 2.0
"""A node in reserve reads for itself when it heard of no reading for this long. Those that serve
tell it once a second each, so less would have all of them read now and then."""

RESERVE_READ_JITTER_S = 0.5
"""Nodes in reserve read up to this much later, by chance, for each `neighbours.MAX_MESH_PEERS` nodes."""

MIN_OUTAGE_S = 2.0
"""Without a list for this long, and with readings that failed, the store was away."""

LAPSED_ENTRY_GRACE_S = 1.8
"""Entries that lapsed meanwhile are back within about two seconds of the store's return."""

RESTORED_ENTRY_LAPSE_S = 4.5
"""Entries that nobody renews have lapsed so long after the store came back from an older copy:
three heartbeats of 1.2 s, and a reading."""

MAX_LIST_AGE_SHARE = 0.6
"""Requests are sent by a list that is at most this part of `bounds.leave_s` old. A server may get
no new work once it has been leaving for that long; the rest is for a slow connection."""

REFRESH_WAIT_S = 0.3
"""A request waits this long for a list that is being read, about the time of a connection that
gets no answer."""

FAILED_READ_COOLDOWN_S = 3.0
"""After a reading that failed, requests do not ask for another one for this long: longer than the
pause and the time of one that this node makes anyway, so that an outage holds up no request."""

MAX_KEPT_LISTS = 8
"""Lists that are kept as bases of differences: some seconds of changes on a day with reclaims."""

SendChanges = Callable[[list[ServerChange], bool], None]
"""Sends changes; the flag tells that this node read them itself rather than passing them on."""


class FleetWatch:
    """Reads or hears the list and hands it on.

    `rank` is this node's turn, `on_servers` gets the servers after each change, `send_changes` sends changes, and
    `send_confirmation` tells the nodes that may read next that nothing changed. `leave_s` is the time after
    which a leaving server may get no new work. `cold_start` tells when a starting node is to ask the
    store, at once if it is None.
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
            self._fetched,
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
        self._fresh_at = -1e9
        self._read_s = NEVER_S
        self._returned_s = NEVER_S
        self._returned_at = -1e9
        self._failed_at = -1e9
        self._stale_read_at = -1e9
        self._restored_at = -1e9
        self._era = UNKNOWN_ERA
        self._published: list[Server] = []
        self._retains_lapsed = False
        self._read_task: asyncio.Task[bool] | None = None
        self._read_started_at = -1e9
        self._backoff = Backoff(RETRY_INITIAL_S, RETRY_MAX_S, backoff_scale)
        self._rng = random.Random()
        self._read_jitter_s = 0.0

    @property
    def known(self) -> bool:
        """Say whether there is a list."""
        return self.list.version >= 0

    def head(self) -> ListHead | None:
        """Return which list this node has, for others."""
        if not self.known:
            return None
        at = self.list.era_version
        return ListHead(at.number, self.list.digest, self._read_s, self._returned_s, at.era)

    async def watch(self) -> None:
        """Read the list whenever it is this node's turn, for ever."""
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
        """Return when this node reads the list unless it hears of another reading before."""
        if self._backoff_scale() > 1.0:
            return self._fresh_at + RESERVE_READ_DELAY_S + self._read_jitter_s
        turn = min(self._rank(), MAX_READ_RANK)
        return self._fresh_at + READ_INTERVAL_S + turn * READ_DELAY_PER_RANK_S

    async def ensure_current(self) -> bool:
        """Make sure that requests may be sent by the list that is here.

        Return False if it is too old and other nodes have a newer one, so that these can serve.
        Where nobody has one, as the store is away, the last list counts.
        """
        if self._is_fresh():
            return True
        if self._may_read_for_request():
            reading = self._start_read()
            left_s = self._read_started_at + REFRESH_WAIT_S - self._now()
            await asyncio.wait([reading], timeout=max(0.0, left_s))
        return self._is_fresh() or not self.fetch.is_behind(self._now())

    def _may_read_for_request(self) -> bool:
        now = self._now()
        return (
            now - self._failed_at > FAILED_READ_COOLDOWN_S
            and now - self._stale_read_at > RETRY_MAX_S
        )

    def on_head(self, head: ListHead, control: str, power: float) -> None:
        """Take over which list another node has; a newer one is fetched from there."""
        if self.list.is_from_older_era(head):
            return
        self._record_return(head)
        self._record_head(head)
        if self.list.confirm_head(head):
            self._reset_on_restore()
            self._on_confirmed(head)
        elif head.era_version > self.list.era_version:
            self.fetch.add_source(control, head.era_version, power, self._now())

    def on_change(self, change: ServerChange) -> None:
        """Take over a change that another node told, and pass it on the first time."""
        if self.list.is_from_older_era(change.head):
            return
        self._record_return(change.head)
        self._record_head(change.head)
        heard = self.list.apply_change(change)
        self._reset_on_restore()
        if heard.confirmed:
            self._on_confirmed(change.head)
        if heard.servers_differ:
            self._on_changed(from_store=False)
        if heard.is_new:
            source = self._control if heard.confirmed else change.source
            self._send_changes([msgspec.structs.replace(change, source=source)], False)
        if heard.needs_fetch:
            self.fetch.add_source(change.source, change.head.era_version, 1.0, self._now())

    def drop_lapsed(self) -> None:
        """Take servers that are still missing as gone; called often, as lists come seldom."""
        lapsed = self._retains_lapsed and self._now() - self._returned_at >= LAPSED_ENTRY_GRACE_S
        if self._now() - self._restored_at >= RESTORED_ENTRY_LAPSE_S:
            lapsed = self.list.trust_entries() or lapsed
        if lapsed:
            self._publish()

    def _is_fresh(self) -> bool:
        return self._now() - self._fresh_at <= self._max_list_age_s

    def _start_read(self) -> asyncio.Task[bool]:
        """Return the reading that is under way, or a new one."""
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.get_running_loop().create_task(self._read())
            self._read_started_at = self._now()
        return self._read_task

    async def _read(self) -> bool:
        """Read the list and tell the others; say whether it is this node's list now."""
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
            self._returned_at, self._returned_s = sent_at, listed.store_s
        base = self.list.digest
        unchanged = before is not None and not listed.changed and base == digest
        difference = None if unchanged else self.list.update_from_store(listed.servers, listed.at)
        marks_fell = unchanged and self.list.confirm_version(listed.at)
        self._reset_on_restore()
        self._record_read(sent_at, listed.store_s)
        if marks_fell:
            self._publish()
        if difference is None:
            self.archive.update_version(self.list.era_version)
            self.drop_lapsed()
            self._send_unchanged()
        else:
            self._on_changed(from_store=True)
            self._send_difference(base, difference)
        return True

    def _on_stale_read(self, listed: StoredList) -> None:
        """Note a reading of an older list; a node without a current one pauses before the next."""
        now = self._now()
        if self._is_fresh():
            return
        if now - self._stale_read_at > FAILED_READ_COOLDOWN_S:
            emit(Event.LIST_OLDER, read=listed.at, here=self.list.era_version)
        self._stale_read_at = now

    def _reset_on_restore(self) -> None:
        """Begin anew with times of the store's clock where the list is of another era than before.

        Entries of servers that started since the copy are missing until these write again.
        """
        known, self._era = self._era, self.list.era_version.era
        if not self.list.era_version.is_restored_since(EraVersion(known)):
            return
        self._restored_at = self._returned_at = self._now()
        self._read_s = self._returned_s = NEVER_S
        if self._newest_head is not None and self.list.is_from_older_era(self._newest_head):
            self._newest_head = None
        self._publish()

    def _current_list(self) -> StoredList | None:
        """Return the list that is here, to be told only what changed since."""
        if not self.known:
            return None
        at, servers = self.list.era_version, tuple(self.list.servers.values())
        return StoredList(servers, at.number, self._read_s, era=at.era)

    async def _read_without_peers(self) -> bool:
        return await asyncio.shield(self._start_read())

    def _send_unchanged(self) -> None:
        head = self.head()
        if head is not None:
            self._send_confirmation(ServerChange(head, head.digest, self._control))

    def _send_difference(self, base: int, difference: ServerDelta) -> None:
        head = self.head()
        if head is not None:
            self._send_changes(split_into_packets(head, base, self._control, difference), True)

    def _fetched(self, version: EraVersion, raw: bytes) -> None:
        """Take over a list that another node passed on whole."""
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
        """Remember the newest list that was heard of: it tells how old it is once it is here."""
        newest = self._newest_head
        if newest is None or (head.era, head.read_s) > (newest.era, newest.read_s):
            self._newest_head = head

    def _on_confirmed(self, head: ListHead) -> None:
        self.archive.update_version(self.list.era_version)
        read_at = self._true_time.to_local(head.read_s)
        if read_at is not None:
            self._record_read(min(read_at, self._now()), head.read_s)
        self.drop_lapsed()

    def _record_read(self, read_at: float, store_s: float) -> None:
        """Note that the list is that of a reading, on this node's clock and on the store's.

        Nodes in reserve that find the next reading late must not read all at once. Word of a known
        reading changes nothing: each new draw would be another chance to read early.
        """
        if read_at > self._fresh_at:
            self._read_jitter_s = (
                RESERVE_READ_JITTER_S * (self._backoff_scale() - 1.0) * self._rng.random()
            )
            self._fresh_at = read_at
        self._read_s = max(self._read_s, store_s)

    def _record_return(self, head: ListHead) -> None:
        """Note when the store was back, as the node that reads it knows it.

        A node that had a list all the time knows better.
        """
        returned_at = self._true_time.to_local(head.returned_s)
        if head.era > self.list.era_version.era > UNKNOWN_ERA:
            return
        if returned_at is not None and head.read_s - self._read_s > MIN_OUTAGE_S:
            self._returned_at = max(self._returned_at, returned_at)
            self._returned_s = max(self._returned_s, head.returned_s)

    def _on_changed(self, from_store: bool) -> None:
        """Hand on a list that differs from the one before."""
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
        """Hand the list on, with the servers that only lapsed while the store was away."""
        servers = self.list.usable()
        kept = []
        if self._now() - self._returned_at < LAPSED_ENTRY_GRACE_S:
            listed = {server.address for server in servers}
            before = (server for server in self._published if server.address not in listed)
            kept = [server for server in before if not server.leaving]
        self._retains_lapsed = bool(kept)
        self._published = [*servers, *kept]
        self._on_servers(self._published)
