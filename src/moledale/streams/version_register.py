"""The software versions that may have begun streams, as the store keeps them for all nodes.

A stream may go on only at the version that began it, wherever its caller resumes it. A list of
servers can't rule out that another version began it: the list may be older than the stream, and a
node that was started again does not know who left before. So a node begins streams at a version
only once the row of the service in the store names it, and a node that does not know which version
began a stream reads the row anew. The row keeps a version for as long as its streams may live.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec
from result import Err

from moledale.clock import monotonic
from moledale.gateway.backoff import Backoff
from moledale.gateway.cold_start import ColdStart
from moledale.gateway.outside import ABSENT_VERSION, StateRow, Store, TableSnapshot
from moledale.gateway.state_rows import decode_row
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion
from moledale.gateway.store_health import StoreHealth
from moledale.gateway.usage import TrueTime
from moledale.log import Event, emit
from moledale.streams.version_history import VersionHistory

VERSION_TABLE = "stream_versions"

UNRECORDED = "\0"
"""Stands in a row for versions that no row named: other builds, or before a row was lost. No server
has such a version; an empty one may occur."""

CALL_TIMEOUT_S = 0.8
"""Timeout of a store call; 200 times its usual duration."""

READ_TIMEOUT_S = 0.1
"""Timeout of a read that a resumed stream waits for, or the question of another node: shorter than
that node waits for the answer."""

FAILED_READ_COOLDOWN_S = 1.0
"""Resumed streams wait for no read for this long after a failed one."""

RETRY_INITIAL_S = 0.1
RETRY_MAX_S = 1.0
"""First and longest pause after a failed call. A new version gets no streams meanwhile."""

WRITE_DELAY_PER_RANK_S = 0.15
"""Each node waits this much longer than the one ranked before it for the news that a row is
written: several round trips, and a write of the store."""

MAX_WRITE_RANK = 4
"""Nodes of higher ranks wait as long as this one."""

GONE_DELAY_S = 5.0
"""A version is written as gone after this time: its servers may only have lapsed for a moment, and
streams begin there again only once it is written anew."""

POLL_INTERVAL_S = 5.0
"""Interval at which a node checks whether a version is to be written as gone."""


class VersionRow(msgspec.Struct, frozen=True):
    """The versions of a service that may have begun streams.

    The value is when a version was last listed, in seconds of the store's clock, None while it is.
    `era` is the era of the store in which the row was written: if the store was restored since, it
    may have lost what the row named later.
    """

    versions: dict[str, float | None] = {}
    era: int = UNKNOWN_ERA

    def is_of_era_before(self, era: int) -> bool:
        """Return whether the row was written before the store was restored to a later era."""
        return UNKNOWN_ERA < self.era < era

    def current(self) -> frozenset[str]:
        """Return the versions that streams may begin at."""
        return frozenset(name for name, gone_s in self.versions.items() if gone_s is None)

    def recent(self, store_s: float, lifetime_s: float) -> frozenset[str]:
        """Return the versions whose streams may still be resumed, given the store's clock."""
        return frozenset(
            name
            for name, gone_s in self.versions.items()
            if gone_s is None or store_s - gone_s < lifetime_s
        )


class VersionNews(msgspec.Struct, array_like=True, tag="versions"):
    """The row of a service, as a node wrote or read it: its version with its era, and its value."""

    service: str
    at: EraVersion
    row: VersionRow


class _KnownRow(msgspec.Struct, frozen=True):
    at: EraVersion
    row: VersionRow


class VersionRegister:
    """Keeps the rows of this node's services, and knows what they said when it last heard of them.

    `history` has the versions that are listed, and `needs_row` returns whether streams may begin at
    a service. `send` sends news of a written row to all nodes. `rank` is this node's place among
    those that may write, and `lifetime_s` for how long after its first event a stream may be
    resumed. `cold_start` decides when a starting node reads the rows.
    """

    def __init__(
        self,
        store: Store,
        history: VersionHistory,
        true_time: TrueTime,
        needs_row: Callable[[str], bool],
        send: Callable[[VersionNews], None],
        rank: Callable[[], int],
        backoff_scale: Callable[[], float],
        lifetime_s: Callable[[], float],
        cold_start: ColdStart,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._store = store
        self._cold_start = cold_start
        self._history = history
        self._true_time = true_time
        self._needs_row = needs_row
        self._send = send
        self._rank = rank
        self._backoff_scale = backoff_scale
        self._lifetime_s = lifetime_s
        self._now = now
        self._rng = random.Random()
        self._rows: dict[str, _KnownRow] = {}
        # Versions that a row named before the store lost it, until it names them again.
        self._lost: dict[str, frozenset[str]] = {}
        # Services whose row may have been written by a call without an answer, or may be yet.
        self._uncertain: set[str] = set()
        self._changed = asyncio.Event()
        self._health = StoreHealth("versions of streams")
        self._backoff = Backoff(RETRY_INITIAL_S, RETRY_MAX_S, backoff_scale)
        self._read_task: asyncio.Task[bool] | None = None
        self._failed_at = -FAILED_READ_COOLDOWN_S
        store.era.on_restored.append(self._on_restored)

    def may_begin(self, service: str, version: str) -> bool:
        """Return whether streams of a service may begin at a version."""
        known = self._rows.get(service)
        return known is not None and known.row.versions.get(version, 0.0) is None

    def is_mixed(self, service: str) -> bool:
        """Return whether resumed streams may have begun at several versions, as far as is known.

        The row also names versions that left before this node got its first list.
        """
        versions = self._history.recent(service)
        known = self._rows.get(service)
        store_s = self._true_time.to_store(self._now())
        if known is not None and store_s is not None:
            versions |= known.row.recent(store_s, self._lifetime_s())
        return len(versions) > 1

    def on_list_changed(self) -> None:
        """Bring the rows up to date with the listed versions soon."""
        self._changed.set()

    def on_news(self, news: VersionNews) -> None:
        """Take over a row that another node wrote or read."""
        self._learn(news.service, _KnownRow(news.at, news.row))

    def known_rows(self) -> list[VersionNews]:
        """Return the rows, for a node that has none yet."""
        return [VersionNews(service, each.at, each.row) for service, each in self._rows.items()]

    async def recent(self, service: str) -> frozenset[str] | None:
        """Return the versions that may have begun a stream which was lost before this call.

        None means that it is not known: the store does not answer, or has lost what it knew.
        """
        if self._now() - self._failed_at < FAILED_READ_COOLDOWN_S:
            return None
        if not await self._read_after_now() or self._store.era.restored_within(self._lifetime_s()):
            return None
        known = self._rows.get(service)
        store_s = self._true_time.to_store(self._now())
        if known is None or store_s is None:
            return None
        versions = known.row.recent(store_s, self._lifetime_s())
        return None if UNRECORDED in versions else versions

    async def run(self) -> None:
        """Read the rows once, and then write what the list of servers adds to them, forever."""
        await self._cold_start.wait(lambda: bool(self._rows), lambda: False)
        is_done = await self._read(CALL_TIMEOUT_S)
        while True:
            if is_done:
                self._backoff.reset()
            else:
                await asyncio.sleep(self._backoff.next_s())
            await self._wait_for_work()
            for service in self._outdated():
                await self._write(service)
            is_done = not self._outdated()

    async def _wait_for_work(self) -> None:
        """Wait until a row is out of date, and then for the news that another node wrote it."""
        while not self._outdated():
            self._changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._changed.wait()
        rank = min(self._rank(), MAX_WRITE_RANK)
        jitter = (self._backoff_scale() - 1.0) * self._rng.random()
        await asyncio.sleep(WRITE_DELAY_PER_RANK_S * (rank + jitter))

    def _outdated(self) -> list[str]:
        """Return the services whose row has to be written."""
        return [
            service
            for service in self._history.services()
            if self._needs_row(service) and self._is_outdated(service)
        ]

    def _is_outdated(self, service: str) -> bool:
        known = self._rows.get(service)
        if service in self._lost or service in self._uncertain:
            return True
        if known is None:
            return bool(self._history.recent(service))
        if known.row.is_of_era_before(self._store.era.number):
            return True
        current, listed = known.row.current(), self._history.listed(service)
        gone = (not self._lapsed(service, version) for version in current - listed)
        return bool(listed - current) or any(gone)

    async def _write(self, service: str) -> None:
        """Write a service's row on top of the one known here.

        After a conflict the row of the other writer is known.
        """
        known = self._rows.get(service)
        store_s = self._true_time.to_store(self._now())
        if store_s is None:
            return
        row = self._next_row(service, known, store_s)
        expected = ABSENT_VERSION
        if known is not None and known.at.era == self._store.era.number:
            expected = known.at.number
        value = msgspec.json.encode(row)
        outcome = await self._store.write(VERSION_TABLE, service, value, expected, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            if outcome.err_value.uncertain:
                self._uncertain.add(service)
            self._health.record_failure(outcome.err_value.detail)
            return
        self._health.record_success()
        # Whichever version the row has now, a call before can't take effect any more.
        self._uncertain.discard(service)
        result = outcome.ok_value
        if result.committed:
            self._lost.pop(service, None)
            at = EraVersion(result.era, result.version)
            self._learn(service, _KnownRow(at, row))
            self._send(VersionNews(service, at, row))
            return
        stored = result.conflicting_row
        if known is not None and (stored is None or stored.version < known.at.number):
            self._forget(service, known)
        if stored is not None:
            self._learn_stored(stored, result.era, result.store_s)

    def _next_row(self, service: str, known: _KnownRow | None, store_s: float) -> VersionRow:
        """Return a row with the listed versions, and those that are gone but may be resumed."""
        versions: dict[str, float | None] = {}
        if known is None and not self._history.covers_lifetime():
            versions[UNRECORDED] = store_s
        elif known is not None:
            versions.update(known.row.versions)
        listed = self._history.listed(service)
        for version in self._history.recent(service) | self._lost.get(service, frozenset()):
            versions.setdefault(version, store_s)
        dated = {name: store_s if at is None else at for name, at in versions.items()}
        kept_s = self._lifetime_s()
        kept = {name: at for name, at in dated.items() if store_s - at < kept_s}
        lapsed = {
            name for name, at in versions.items() if at is None and self._lapsed(service, name)
        }
        return VersionRow(kept | dict.fromkeys(listed | lapsed), self._store.era.number)

    def _lapsed(self, service: str, version: str) -> bool:
        """Return whether a version may be listed again soon, as its servers left just before."""
        return self._history.gone_s(service, version) < GONE_DELAY_S

    def _forget(self, service: str, known: _KnownRow) -> None:
        """Drop a row that the store has no more, but not what it named."""
        del self._rows[service]
        named = frozenset(known.row.versions)
        self._lost[service] = self._lost.get(service, frozenset()) | named

    def _learn(self, service: str, row: _KnownRow) -> None:
        """Keep a row that is newer than the known one."""
        known = self._rows.get(service)
        if known is not None and row.at <= known.at:
            return
        self._rows[service] = row
        emit(Event.VERSIONS_REGISTERED, service=service, at=row.at, versions=row.row.versions)
        self._changed.set()

    def _learn_stored(self, stored: StateRow, era: int, store_s: float) -> None:
        """Keep a row as the store has it.

        An unreadable one may have named any version, and so may one that names none, which no node
        writes, or one that a restored store lost unless it is known here what that named.
        """
        row = decode_row(VERSION_TABLE, stored, VersionRow)
        if row is None or not row.versions:
            row = VersionRow({UNRECORDED: store_s})
        elif row.is_of_era_before(era) and stored.key not in self._lost:
            row = VersionRow(row.versions | {UNRECORDED: store_s}, row.era)
        self._learn(stored.key, _KnownRow(EraVersion(era, stored.version), row))

    async def _read_after_now(self) -> bool:
        """Read the rows, together with others that ask now; return whether the store answered."""
        if self._read_task is not None and not self._read_task.done():
            # It may have been answered before the stream was lost.
            await asyncio.wait([self._read_task])
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._read(READ_TIMEOUT_S))
        return await asyncio.shield(self._read_task)

    async def _read(self, timeout_s: float) -> bool:
        sent_at = self._now()
        outcome = await self._store.read(VERSION_TABLE, timeout_s)
        if isinstance(outcome, Err):
            self._failed_at = self._now()
            self._health.record_failure(outcome.err_value.detail)
            return False
        self._health.record_success()
        self._failed_at = -FAILED_READ_COOLDOWN_S
        snapshot = outcome.ok_value
        self._true_time.record_store_clock(snapshot.store_s, sent_at, self._now())
        self._learn_all(snapshot)
        return True

    def _learn_all(self, snapshot: TableSnapshot) -> None:
        for row in snapshot.rows:
            self._learn_stored(row, snapshot.era, snapshot.store_s)

    def _on_restored(self) -> None:
        """Write all rows again, since the store may have lost what they named."""
        for service, known in self._rows.items():
            named = frozenset(known.row.versions)
            self._lost[service] = self._lost.get(service, frozenset()) | named
        self._changed.set()


def any_version(_service: str, _version: str) -> bool:
    """Let streams begin at any version, in a forwarder that runs without a store."""
    return True
