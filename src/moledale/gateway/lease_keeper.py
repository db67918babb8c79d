"""Taking, renewing and giving back the lease of the duties.

Holders tell their peers of each renewal, so candidates need not read the row while all is well. A
candidate counts from the renewal that it was told, or that the row states on the store's clock, so
it takes over as soon as the time to live has passed. Its write holds only if the row still stands
at the version that it counted from.

The store may come back from an older copy. Later renewals, holders and fences are then gone from
the row while a grant still runs, and versions are given out again. So a row counts as seen only
now unless it was written in the era in which it is read, a write is no grant if its condition was
read in another era, and fences are numbered by era.
"""

import random

import msgspec
from result import Err

from moledale.clock import monotonic
from moledale.core.leases import Grant, Lease, LeaseAction, LeaseRow
from moledale.gateway.outside import ABSENT, StateRow, Store
from moledale.gateway.peers import HeldLease, LeaseNews
from moledale.gateway.settings import Bounds
from moledale.gateway.state_rows import read_row
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion
from moledale.log import Event, emit

LEASE_TABLE = "leases"
LEASE_KEY = "duties"
CALL_TIMEOUT_S = 1.0
"""A renewal has this long, a third of the lease."""

TTL_FACTOR = 1.05
"""Time to live, as a multiple of the least time between two holders that act in turn."""

RANK_DELAY_S = 0.25
"""Candidates try so long after each other: a write and its news take less."""

READ_INTERVAL_S = 1.0
"""A candidate that does not know the row reads it this often."""

RESTORE_GRACE_S = 0.5
"""After a return of the store, candidates leave the holder this long to renew before they read the
row: several rounds of news."""

FENCES_PER_ERA = 1 << 20
"""Fences begin anew with each era, above all of the eras before, whatever the store has lost."""

NO_HOLDER = ""

UNREADABLE_ROW = LeaseRow("unreadable", 0, "")
"""Stands for a row that another writer spoilt: whoever held the lease may hold it still."""


class StoreClock:
    """The latest that the store's clock may show, from its answers to this node."""

    def __init__(self) -> None:
        self._store_s: float | None = None
        self._sent_at = 0.0

    def record_answer(self, store_s: float, sent_at: float) -> None:
        """Note what the store's clock showed some time after a call was sent."""
        self._store_s = store_s
        self._sent_at = sent_at

    def upper_bound(self, now: float) -> float | None:
        """Return a bound that the store's clock has not passed, or None if it was never told."""
        return None if self._store_s is None else self._store_s + (now - self._sent_at)


class LeaseKeeper:
    """One node's part in the lease."""

    def __init__(
        self, node: str, store: Store, bounds: Bounds, nonce: str, first_start: bool = True
    ) -> None:
        self.holder = NO_HOLDER
        self._ttl_s = bounds.lease_s * TTL_FACTOR
        self.lease = Lease(LEASE_KEY, node, self._ttl_s)
        self._node = node
        self._store = store
        self._nonce = nonce
        self._first_start = first_start
        self._era = UNKNOWN_ERA
        self._version_era = UNKNOWN_ERA
        self._restored = False
        self._highest_fence = 0
        self._clock = StoreClock()
        self._write_count = 0
        self._pending_operation = ""
        self._pending_sent_at = 0.0
        self._renewed_at = 0.0
        self._started_at = monotonic()
        self._last_renewal_at = -1e9
        self._direct_renewal_at = -1e9
        self._next_read_at = -1e9
        self._rng = random.Random()
        self._was_held = False
        self._renew_at_once = False
        self._interval_factor = 1.0

    def grant(self) -> Grant | None:
        """Return proof of the lease if it is held now."""
        return self.lease.grant(monotonic())

    def lease_update(self) -> LeaseNews | None:
        """Return what this node tells of the lease if it holds it."""
        grant = self.grant()
        if grant is None:
            return None
        age = monotonic() - self._renewed_at
        return LeaseNews(grant.epoch, self.lease.version, age, self._version_era)

    def lease_to_relay(self, now: float) -> HeldLease | None:
        """Return the lease that its holder told this node, to pass on.

        What others passed on is left out: it would be told back and forth, a little younger each
        time, and the lease of a holder that is gone would never end.
        """
        row = self.lease.row
        age_s = now - self._direct_renewal_at
        if (
            row is None
            or self.holder == NO_HOLDER
            or age_s >= self._ttl_s
            or self.grant() is not None
        ):
            return None
        news = LeaseNews(row.epoch, self.lease.version, age_s, self._version_era)
        return HeldLease(self.holder, news)

    def on_renewal(self, holder: str, news: LeaseNews, now: float, relayed: bool = False) -> None:
        """Take over a holder's word of its renewal, told by itself or passed on."""
        self._highest_fence = max(self._highest_fence, news.fence)
        self._enter_era(news.era, now)
        told_at = EraVersion(news.era or self._era, news.version)
        if self.grant() is not None or told_at < self._known_version():
            return
        self.holder = holder
        self._version_era = told_at.era
        self._last_renewal_at = max(self._last_renewal_at, now - news.age_s)
        if not relayed:
            self._direct_renewal_at = now - news.age_s
        self.lease.saw(LeaseRow(holder, news.fence, ""), news.version, now - news.age_s)

    def _known_version(self) -> EraVersion:
        """Return the version of the row as it is known here, with its era."""
        return EraVersion(self._version_era, self.lease.version)

    def on_lease_lost(self, node: str, now: float) -> None:
        """Note that a node no longer says that it holds the lease."""
        if node != self.holder or self.grant() is not None:
            return
        self.holder = NO_HOLDER
        self._last_renewal_at = now - self._ttl_s
        self._direct_renewal_at = -1e9
        self._next_read_at = -1e9

    async def step(self, rank: int, crowd: float = 1.0) -> None:
        """Do what is due; `rank` orders the candidates, so that they don't all try at once.

        A candidate that finds the row unreadable asks again `crowd` times as seldom as one alone.
        One in a crowd that just started takes the lease for held until it should have heard of it.
        """
        now = monotonic()
        self._interval_factor = crowd
        self._enter_era(self._store.era.number, now)
        action = self.lease.decide(now)
        self._log_change(now)
        if action is LeaseAction.RENEW or (self._renew_at_once and self.grant() is not None):
            await self._write(now)
            return
        if action is LeaseAction.WAIT:
            return
        heard_at = (
            max(self._last_renewal_at, self._started_at) if crowd > 1.0 else self._last_renewal_at
        )
        if now - heard_at < self._ttl_s + rank * RANK_DELAY_S:
            return
        if action is LeaseAction.TAKE and self.lease.row is not None:
            await self._write(now)
        elif now >= self._next_read_at:
            self._next_read_at = now + READ_INTERVAL_S * crowd * (0.5 + self._rng.random())
            await self._read()

    async def release(self) -> None:
        """Let others take the lease at once, at a planned stop."""
        if self.grant() is None or self.lease.row is None:
            return
        row = LeaseRow(NO_HOLDER, self.lease.row.epoch, f"{self._nonce}/end", era=self._era)
        version = self.lease.version
        self.lease.saw(row, version + 1, monotonic())
        self._log_change(monotonic())
        value = msgspec.json.encode(row)
        await self._store.write(LEASE_TABLE, LEASE_KEY, value, version, CALL_TIMEOUT_S)

    async def _read(self) -> None:
        sent_at = monotonic()
        outcome = await self._store.read(LEASE_TABLE, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            return
        now = monotonic()
        reading = outcome.ok_value
        self._clock.record_answer(reading.store_s, sent_at)
        self._enter_era(reading.era, now)
        for row in reading.rows:
            if row.key == LEASE_KEY:
                self._observe_row(row, reading.store_s, now)
                return
        self.lease.saw(None, ABSENT, now)
        if self._may_acquire_without_row(now):
            await self._write(now)

    def _may_acquire_without_row(self, now: float) -> bool:
        """Say whether a lease without a row is free, and none that the store lost still runs."""
        if self._first_start and not self._restored:
            return True
        return now - self._store.era.since >= self._ttl_s

    def _enter_era(self, era: int, now: float) -> None:
        """Note an era; a later one than before ends what is known of the row.

        A holder whose grant still runs goes on: until it ends nobody else can have taken the lease.
        """
        known, self._era = self._era, max(era, self._era)
        if not EraVersion(self._era).is_restored_since(EraVersion(known)):
            return
        self._restored = True
        if self.lease.grant(now) is not None:
            self._renew_at_once = True
            return
        self.lease.forget()
        self._version_era = self._era
        self.holder = NO_HOLDER
        self._last_renewal_at = max(self._last_renewal_at, now - self._ttl_s + RESTORE_GRACE_S)
        self._next_read_at = now + RESTORE_GRACE_S * self._interval_factor * self._rng.random()

    def _observe_row(self, standing: StateRow, store_s: float, now: float) -> None:
        """Note a row as it stands in this era.

        One that this life wrote, though the answer was lost, is its own. One that was written in
        another era, or can't be read, takes no grant away, and tells nothing of when the lease was
        last renewed.
        """
        row = read_row(LEASE_TABLE, standing, LeaseRow) or UNREADABLE_ROW
        self._highest_fence = max(self._highest_fence, row.epoch)
        tells_holder = row.era == self._era and row is not UNREADABLE_ROW
        if not tells_holder and self.lease.grant(now) is not None:
            self._schedule_renewal(standing.version)
            return
        if row.operation == self._pending_operation and tells_holder:
            self._record_write(row, standing.version, self._pending_sent_at)
            return
        self.holder = row.holder
        if not tells_holder:
            since = now
        elif row.holder == NO_HOLDER:
            since = now - self._ttl_s
        elif row.renewed_s is not None:
            since = now - max(0.0, store_s - row.renewed_s)
        else:
            since = now
        self.lease.saw(row, standing.version, since)
        self._version_era = self._era

    def _schedule_renewal(self, version: int) -> None:
        """Have this node's lease renewed at once where the row stands now."""
        self.lease.stands_at(version)
        self._version_era = self._era
        self._renew_at_once = True

    def _record_write(self, row: LeaseRow, version: int, sent_at: float) -> None:
        self.lease.wrote(row, version, sent_at)
        self._version_era = self._era
        self._renew_at_once = False
        self._highest_fence = max(self._highest_fence, row.epoch)
        self._renewed_at = sent_at
        self.holder = self._node

    async def _write(self, now: float) -> None:
        self._write_count += 1
        self._pending_operation = f"{self._nonce}/{self._write_count}"
        self._pending_sent_at = now
        era = self._era
        least_fence = max(self._highest_fence, era * FENCES_PER_ERA) + 1
        row = msgspec.structs.replace(
            self.lease.next_row(self._pending_operation, least_fence),
            renewed_s=self._clock.upper_bound(now),
            era=era,
        )
        outcome = await self._store.write(
            LEASE_TABLE, LEASE_KEY, msgspec.json.encode(row), self.lease.version, CALL_TIMEOUT_S
        )
        if isinstance(outcome, Err):
            if outcome.err_value.uncertain:
                await self._read()
            return
        written = outcome.ok_value
        answered_at = monotonic()
        self._clock.record_answer(written.store_s, now)
        self._enter_era(written.era, answered_at)
        if written.committed and era == self._era:
            self._record_write(row, written.version, now)
        elif written.committed:
            value = msgspec.json.encode(row)
            self._observe_row(
                StateRow(LEASE_KEY, value, written.version), written.store_s, answered_at
            )
        elif written.standing is not None:
            self._observe_row(written.standing, written.store_s, answered_at)
        elif self.lease.grant(answered_at) is not None:
            self._schedule_renewal(ABSENT)
        self._log_change(answered_at)

    def _log_change(self, now: float) -> None:
        grant = self.lease.grant(now)
        if (grant is not None) == self._was_held:
            return
        self._was_held = grant is not None
        if grant is not None:
            emit(Event.LEASE_WON, lease=LEASE_KEY, fence=grant.epoch)
        else:
            emit(Event.LEASE_LOST, lease=LEASE_KEY)
