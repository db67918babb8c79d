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

TTL_X = 1.05
"""Time to live, as a multiple of the least time between two holders that act in turn."""

RANK_DELAY_S = 0.25
"""Candidates try so long after each other: a write and its news take less."""

READ_AGAIN_S = 1.0
"""A candidate that does not know the row reads it this often."""

RESTORED_WAIT_S = 0.5
"""After a return of the store, candidates leave the holder this long to renew before they read the
row: several rounds of news."""

FENCES_PER_ERA = 1 << 20
"""Fences begin anew with each era, above all of the eras before, whatever the store has lost."""

NOBODY = ""

UNREADABLE = LeaseRow("unreadable", 0, "")
"""Stands for a row that another writer spoilt: whoever held the lease may hold it still."""


class StoreClock:
    """The latest that the store's clock may show, from its answers to this node."""

    def __init__(self) -> None:
        self._store_s: float | None = None
        self._sent_at = 0.0

    def answered(self, store_s: float, sent_at: float) -> None:
        """Note what the store's clock showed some time after a call was sent."""
        self._store_s = store_s
        self._sent_at = sent_at

    def latest(self, now: float) -> float | None:
        """Return a bound that the store's clock has not passed, or None if it was never told."""
        return None if self._store_s is None else self._store_s + (now - self._sent_at)


class LeaseKeeper:
    """One node's part in the lease."""

    def __init__(
        self, node: str, store: Store, bounds: Bounds, nonce: str, first_start: bool = True
    ) -> None:
        self.holder = NOBODY
        self._ttl_s = bounds.lease_s * TTL_X
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
        self._writes = 0
        self._pending = ""
        self._pending_at = 0.0
        self._renewed_at = 0.0
        self._began_at = monotonic()
        self._news_at = -1e9
        self._told_at = -1e9
        self._read_again_at = -1e9
        self._random = random.Random()
        self._was_held = False
        self._renew_at_once = False
        self._crowd = 1.0

    def grant(self) -> Grant | None:
        """Return proof of the lease if it is held now."""
        return self.lease.grant(monotonic())

    def news(self) -> LeaseNews | None:
        """Return what this node tells of the lease if it holds it."""
        grant = self.grant()
        if grant is None:
            return None
        age = monotonic() - self._renewed_at
        return LeaseNews(grant.epoch, self.lease.version, age, self._version_era)

    def lease_heard(self, now: float) -> HeldLease | None:
        """Return the lease that its holder told this node, to pass on.

        What others passed on is left out: it would be told back and forth, a little younger each
        time, and the lease of a holder that is gone would never end.
        """
        row = self.lease.row
        age_s = now - self._told_at
        if row is None or self.holder == NOBODY or age_s >= self._ttl_s or self.grant() is not None:
            return None
        news = LeaseNews(row.epoch, self.lease.version, age_s, self._version_era)
        return HeldLease(self.holder, news)

    def heard(self, holder: str, news: LeaseNews, now: float, passed_on: bool = False) -> None:
        """Take over a holder's word of its renewal, told by itself or passed on."""
        self._highest_fence = max(self._highest_fence, news.fence)
        self._enter(news.era, now)
        told_at = EraVersion(news.era or self._era, news.version)
        if self.grant() is not None or told_at < self._known_at():
            return
        self.holder = holder
        self._version_era = told_at.era
        self._news_at = max(self._news_at, now - news.age_s)
        if not passed_on:
            self._told_at = now - news.age_s
        self.lease.saw(LeaseRow(holder, news.fence, ""), news.version, now - news.age_s)

    def _known_at(self) -> EraVersion:
        """Return the version of the row as it is known here, with its era."""
        return EraVersion(self._version_era, self.lease.version)

    def gave_up(self, node: str, now: float) -> None:
        """Note that a node no longer says that it holds the lease."""
        if node != self.holder or self.grant() is not None:
            return
        self.holder = NOBODY
        self._news_at = now - self._ttl_s
        self._told_at = -1e9
        self._read_again_at = -1e9

    async def step(self, rank: int, crowd: float = 1.0) -> None:
        """Do what is due; `rank` orders the candidates, so that they don't all try at once.

        A candidate that finds the row unreadable asks again `crowd` times as seldom as one alone.
        One in a crowd that just started takes the lease for held until it should have heard of it.
        """
        now = monotonic()
        self._crowd = crowd
        self._enter(self._store.era.number, now)
        action = self.lease.decide(now)
        self._tell_change(now)
        if action is LeaseAction.RENEW or (self._renew_at_once and self.grant() is not None):
            await self._write(now)
            return
        if action is LeaseAction.WAIT:
            return
        heard_at = max(self._news_at, self._began_at) if crowd > 1.0 else self._news_at
        if now - heard_at < self._ttl_s + rank * RANK_DELAY_S:
            return
        if action is LeaseAction.TAKE and self.lease.row is not None:
            await self._write(now)
        elif now >= self._read_again_at:
            self._read_again_at = now + READ_AGAIN_S * crowd * (0.5 + self._random.random())
            await self._read()

    async def give_back(self) -> None:
        """Let others take the lease at once, at a planned stop."""
        if self.grant() is None or self.lease.row is None:
            return
        row = LeaseRow(NOBODY, self.lease.row.epoch, f"{self._nonce}/end", era=self._era)
        version = self.lease.version
        self.lease.saw(row, version + 1, monotonic())
        self._tell_change(monotonic())
        value = msgspec.json.encode(row)
        await self._store.write(LEASE_TABLE, LEASE_KEY, value, version, CALL_TIMEOUT_S)

    async def _read(self) -> None:
        sent_at = monotonic()
        outcome = await self._store.read(LEASE_TABLE, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            return
        now = monotonic()
        reading = outcome.ok_value
        self._clock.answered(reading.store_s, sent_at)
        self._enter(reading.era, now)
        for row in reading.rows:
            if row.key == LEASE_KEY:
                self._saw(row, reading.store_s, now)
                return
        self.lease.saw(None, ABSENT, now)
        if self._may_take_missing(now):
            await self._write(now)

    def _may_take_missing(self, now: float) -> bool:
        """Say whether a lease without a row is free, and none that the store lost still runs."""
        if self._first_start and not self._restored:
            return True
        return now - self._store.era.since >= self._ttl_s

    def _enter(self, era: int, now: float) -> None:
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
        self.holder = NOBODY
        self._news_at = max(self._news_at, now - self._ttl_s + RESTORED_WAIT_S)
        self._read_again_at = now + RESTORED_WAIT_S * self._crowd * self._random.random()

    def _saw(self, standing: StateRow, store_s: float, now: float) -> None:
        """Note a row as it stands in this era.

        One that this life wrote, though the answer was lost, is its own. One that was written in
        another era, or can't be read, takes no grant away, and tells nothing of when the lease was
        last renewed.
        """
        row = read_row(LEASE_TABLE, standing, LeaseRow) or UNREADABLE
        self._highest_fence = max(self._highest_fence, row.epoch)
        tells_holder = row.era == self._era and row is not UNREADABLE
        if not tells_holder and self.lease.grant(now) is not None:
            self._stands_at(standing.version)
            return
        if row.operation == self._pending and tells_holder:
            self._wrote(row, standing.version, self._pending_at)
            return
        self.holder = row.holder
        if not tells_holder:
            since = now
        elif row.holder == NOBODY:
            since = now - self._ttl_s
        elif row.renewed_s is not None:
            since = now - max(0.0, store_s - row.renewed_s)
        else:
            since = now
        self.lease.saw(row, standing.version, since)
        self._version_era = self._era

    def _stands_at(self, version: int) -> None:
        """Have this node's lease renewed at once where the row stands now."""
        self.lease.stands_at(version)
        self._version_era = self._era
        self._renew_at_once = True

    def _wrote(self, row: LeaseRow, version: int, sent_at: float) -> None:
        self.lease.wrote(row, version, sent_at)
        self._version_era = self._era
        self._renew_at_once = False
        self._highest_fence = max(self._highest_fence, row.epoch)
        self._renewed_at = sent_at
        self.holder = self._node

    async def _write(self, now: float) -> None:
        self._writes += 1
        self._pending = f"{self._nonce}/{self._writes}"
        self._pending_at = now
        era = self._era
        least_fence = max(self._highest_fence, era * FENCES_PER_ERA) + 1
        row = msgspec.structs.replace(
            self.lease.next_row(self._pending, least_fence),
            renewed_s=self._clock.latest(now),
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
        self._clock.answered(written.store_s, now)
        self._enter(written.era, answered_at)
        if written.committed and era == self._era:
            self._wrote(row, written.version, now)
        elif written.committed:
            value = msgspec.json.encode(row)
            self._saw(StateRow(LEASE_KEY, value, written.version), written.store_s, answered_at)
        elif written.standing is not None:
            self._saw(written.standing, written.store_s, answered_at)
        elif self.lease.grant(answered_at) is not None:
            self._stands_at(ABSENT)
        self._tell_change(answered_at)

    def _tell_change(self, now: float) -> None:
        grant = self.lease.grant(now)
        if (grant is not None) == self._was_held:
            return
        self._was_held = grant is not None
        if grant is not None:
            emit(Event.LEASE_WON, lease=LEASE_KEY, fence=grant.epoch)
        else:
            emit(Event.LEASE_LOST, lease=LEASE_KEY)
