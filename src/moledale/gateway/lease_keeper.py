"""Acquires, renews and releases the lease of the duties.

The holder broadcasts each renewal, so candidates need not poll the row while it is renewed. A
candidate counts the time to live from the last renewal that it received, or that the row states on
the store's clock, so it acquires the lease as soon as the time to live has passed. Its write is
conditional on the row version that it counted from.

The store may be restored from an older copy. Later renewals, holders and fences are then missing
from the row while a grant is still valid, and versions are issued again. Therefore a row counts as
renewed only now unless it was written in the era in which it is read, a write yields no grant if
its condition was read in another era, and fences are numbered by era.

A planned stop releases the lease early. `LeaseHistory` keeps a node that held it before the last
holder from acquiring it again at once.
"""

import random

import msgspec
from result import Err

from moledale.clock import monotonic
from moledale.core.leases import MAX_EPOCH, Grant, Lease, LeaseAction, LeaseRow
from moledale.gateway.lease_history import LeaseHistory
from moledale.gateway.outside import ABSENT_VERSION, StateRow, Store
from moledale.gateway.peers import HeldLease, LeaseNews
from moledale.gateway.settings import Bounds
from moledale.gateway.state_rows import decode_row
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion
from moledale.log import Event, emit

LEASE_TABLE = "leases"
LEASE_KEY = "duties"
CALL_TIMEOUT_S = 1.0
"""Timeout of a call to the store: a third of the lease."""

TTL_FACTOR = 1.05
"""Time to live, as a multiple of the minimum time between the actions of two successive holders
(`Bounds.lease_s`)."""

RANK_DELAY_S = 0.25
"""Delay between the attempts of candidates of successive ranks: a write and the broadcast of its
result take less."""

READ_INTERVAL_S = 1.0
"""Interval at which a candidate that does not know the row reads it."""

RESTORE_GRACE_S = 0.5
"""After a restore of the store, candidates give the holder this long to renew before they read the
row: several gossip rounds."""

FENCES_PER_ERA = 1 << 20
"""Range of fences in each era. Fences of an era are above those of all earlier eras, whatever the
store has lost."""

NO_HOLDER = ""

UNREADABLE_ROW = LeaseRow("unreadable", 0, "")
"""Stands for a row that another writer corrupted: whoever held the lease may still hold it."""


class StoreClock:
    """Bounds the store's clock from above, based on its answers to this node."""

    def __init__(self) -> None:
        self._store_s: float | None = None
        self._sent_at = 0.0

    def record_answer(self, store_s: float, sent_at: float) -> None:
        """Record what the store's clock showed some time after a call was sent at `sent_at`."""
        self._store_s = store_s
        self._sent_at = sent_at

    def upper_bound(self, now: float) -> float | None:
        """Return a time that the store's clock has not passed, None before its first answer."""
        return None if self._store_s is None else self._store_s + (now - self._sent_at)


class LeaseKeeper:
    """Acquires, renews and releases the lease on behalf of one node.

    `nonce` identifies the node's incarnation in the operations that it writes. `first_start` is set
    when the whole system starts for the first time, so that no lost grant can still be valid.
    """

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
        self._history = LeaseHistory(node, self._ttl_s, self._started_at, first_start)
        self._logged_deferral_until = -1e9
        self._last_renewal_at = -1e9
        self._direct_renewal_at = -1e9
        self._next_read_at = -1e9
        self._rng = random.Random()
        self._was_held = False
        self._renew_at_once = False
        self._backoff_scale = 1.0

    def grant(self) -> Grant | None:
        """Return proof of the lease if this node holds it now."""
        return self.lease.grant(monotonic())

    def lease_update(self) -> LeaseNews | None:
        """Return the renewal to broadcast, or None if this node does not hold the lease."""
        grant = self.grant()
        if grant is None:
            return None
        now = monotonic()
        age_s = now - self._renewed_at
        former = self._former_ages(self._node, now)
        return LeaseNews(grant.epoch, self.lease.version, age_s, self._version_era, former)

    def lease_to_relay(self, now: float) -> HeldLease | None:
        """Return the lease as received from its holder, for nodes that the holder cannot reach.

        Renewals that were relayed to this node are excluded: nodes would relay them back and forth,
        each time with a slightly lower age, and the lease of a holder that is gone would never
        expire.
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
        former = self._former_ages(self.holder, now)
        update = LeaseNews(row.epoch, self.lease.version, age_s, self._version_era, former)
        return HeldLease(self.holder, update)

    def on_renewal(self, holder: str, update: LeaseNews, now: float, relayed: bool = False) -> None:
        """Apply a holder's renewal, received from the holder itself or relayed by a peer."""
        fence = min(max(0, update.fence), MAX_EPOCH)
        self._highest_fence = max(self._highest_fence, fence)
        self._enter_era(update.era, now)
        received = EraVersion(update.era or self._era, update.version)
        known = self._known_version()
        if self.grant() is not None or received < known:
            return
        if update.former is not None:
            self._history.replace({node: now - age for node, age in update.former.items()})
        elif received > known:
            self._history.is_complete = False
        self._history.record_tenure(holder, now - update.age_s + self.lease.hold_s)
        self.holder = holder
        self._version_era = received.era
        self._last_renewal_at = max(self._last_renewal_at, now - update.age_s)
        if not relayed:
            self._direct_renewal_at = now - update.age_s
        self.lease.record_read(
            LeaseRow(holder, fence, ""),
            update.version,
            now - update.age_s,
        )

    def _known_version(self) -> EraVersion:
        """Return the last known version of the row, with its era."""
        return EraVersion(self._version_era, self.lease.version)

    def _former_tenures(self, holder: str, now: float) -> dict[str, float] | None:
        """Return the ends of recent tenures before that of `holder`, None if some may be missing.

        The ends are on the monotonic clock.
        """
        if not self._history.is_complete:
            return None
        recent = self._history.recent(now)
        return {node: at for node, at in recent.items() if node != holder}

    def _former_ages(self, holder: str, now: float) -> dict[str, float] | None:
        """Return the same as seconds since the ends, for peers."""
        former = self._former_tenures(holder, now)
        return None if former is None else {node: now - at for node, at in former.items()}

    def _former_on_store_clock(self, holder: str, now: float) -> dict[str, float] | None:
        """Return the same with the ends on the store's clock, for the row."""
        former, store_s = self._former_tenures(holder, now), self._clock.upper_bound(now)
        if former is None or store_s is None:
            return None
        return {node: store_s - (now - at) for node, at in former.items()}

    def on_lease_lost(self, node: str, now: float) -> None:
        """Record that a node's state no longer reports the lease."""
        if node != self.holder or self.grant() is not None:
            return
        self.holder = NO_HOLDER
        self._last_renewal_at = now - self._ttl_s
        self._direct_renewal_at = -1e9
        self._next_read_at = -1e9

    async def step(self, rank: int, backoff_scale: float = 1.0) -> None:
        """Perform the lease action that is due; `rank` staggers the attempts of the candidates.

        While a candidate can't read the row, it multiplies its read interval by `backoff_scale`,
        which is 1 for a node without peers. If it is above 1, a candidate that just started assumes
        that the lease is held until it should have received a renewal.
        """
        now = monotonic()
        self._backoff_scale = backoff_scale
        self._enter_era(self._store.era.number, now)
        action = self.lease.decide(now)
        self._log_change(now)
        if action is LeaseAction.RENEW or (self._renew_at_once and self.grant() is not None):
            await self._write(now)
            return
        if action is LeaseAction.WAIT:
            return
        last_renewal_at = (
            max(self._last_renewal_at, self._started_at)
            if backoff_scale > 1.0
            else self._last_renewal_at
        )
        if now - last_renewal_at < self._ttl_s + rank * RANK_DELAY_S:
            return
        if action is LeaseAction.ACQUIRE and self.lease.row is not None:
            if self._may_hold_again(now):
                await self._write(now)
        elif now >= self._next_read_at:
            self._next_read_at = now + READ_INTERVAL_S * backoff_scale * (0.5 + self._rng.random())
            await self._read()

    def _may_hold_again(self, now: float) -> bool:
        """Return whether enough time has passed since this node held the lease before another."""
        may_acquire_at = self._history.may_acquire_at()
        if now >= may_acquire_at:
            return True
        if may_acquire_at != self._logged_deferral_until:
            self._logged_deferral_until = may_acquire_at
            emit(Event.LEASE_DEFERRED, lease=LEASE_KEY, wait_s=round(may_acquire_at - now, 3))
        return False

    async def release(self) -> None:
        """Release the lease at a planned stop, so that a candidate can acquire it at once."""
        if self.grant() is None or self.lease.row is None:
            return
        now = monotonic()
        self._history.record_tenure(self._node, now)
        row = LeaseRow(
            NO_HOLDER,
            self.lease.row.epoch,
            f"{self._nonce}/end",
            era=self._era,
            former=self._former_on_store_clock(NO_HOLDER, now),
        )
        version = self.lease.version
        self.lease.record_read(row, version + 1, now)
        self._log_change(now)
        value = msgspec.json.encode(row)
        await self._store.write(LEASE_TABLE, LEASE_KEY, value, version, CALL_TIMEOUT_S)

    async def _read(self) -> None:
        sent_at = monotonic()
        outcome = await self._store.read(LEASE_TABLE, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            return
        now = monotonic()
        snapshot = outcome.ok_value
        self._clock.record_answer(snapshot.store_s, sent_at)
        self._enter_era(snapshot.era, now)
        for row in snapshot.rows:
            if row.key == LEASE_KEY:
                self._observe_row(row, snapshot.store_s, now)
                return
        self.lease.record_read(None, ABSENT_VERSION, now)
        if self._first_start and not self._restored:
            self._history.replace({})
        if self._may_acquire_without_row(now) and self._may_hold_again(now):
            await self._write(now)

    def _may_acquire_without_row(self, now: float) -> bool:
        """Return whether a lease without a row is free, with no lost grant still valid."""
        if self._first_start and not self._restored:
            return True
        return now - self._store.era.since >= self._ttl_s

    def _enter_era(self, era: int, now: float) -> None:
        """Record an era; a later one than before invalidates what is known of the row.

        A holder whose grant is still valid continues: until the grant expires nobody else can have
        acquired the lease.
        """
        known, self._era = self._era, max(era, self._era)
        if not EraVersion(self._era).is_restored_since(EraVersion(known)):
            return
        self._restored = True
        if self.lease.grant(now) is not None:
            self._renew_at_once = True
            return
        self.lease.reset()
        self._history.is_complete = False
        self._version_era = self._era
        self.holder = NO_HOLDER
        self._last_renewal_at = max(self._last_renewal_at, now - self._ttl_s + RESTORE_GRACE_S)
        self._next_read_at = now + RESTORE_GRACE_S * self._backoff_scale * self._rng.random()

    def _observe_row(self, stored: StateRow, store_s: float, now: float) -> None:
        """Apply a row as it is stored in this era.

        A row that this process wrote is its own, even if the answer to the write was lost. A row
        that was written in another era, or can't be decoded, revokes no grant, and does not show
        when the lease was last renewed.
        """
        row = decode_row(LEASE_TABLE, stored, LeaseRow) or UNREADABLE_ROW
        self._highest_fence = max(self._highest_fence, row.epoch)
        is_current = row.era == self._era and row is not UNREADABLE_ROW
        if not is_current and self.lease.grant(now) is not None:
            self._schedule_renewal(stored.version)
            return
        if row.operation == self._pending_operation and is_current:
            self._record_write(row, stored.version, self._pending_sent_at)
            return
        self.holder = row.holder
        self._record_former(row.former if is_current else None, store_s, now)
        if not is_current:
            renewed_at = now
        elif row.holder == NO_HOLDER:
            renewed_at = now - self._ttl_s
        elif row.renewed_s is not None:
            renewed_at = now - max(0.0, store_s - row.renewed_s)
        else:
            renewed_at = now
        if is_current and row.holder != NO_HOLDER:
            self._history.record_tenure(row.holder, renewed_at + self.lease.hold_s)
        self.lease.record_read(row, stored.version, renewed_at)
        self._version_era = self._era

    def _record_former(self, former: dict[str, float] | None, store_s: float, now: float) -> None:
        """Record the tenures that a row lists, on the store's clock, which shows `store_s` now."""
        if former is None:
            self._history.is_complete = False
        else:
            self._history.replace({node: now - (store_s - at) for node, at in former.items()})

    def _schedule_renewal(self, version: int) -> None:
        """Have this node's lease renewed at once, on top of the row at `version`."""
        self.lease.set_version(version)
        self._version_era = self._era
        self._renew_at_once = True

    def _record_write(self, row: LeaseRow, version: int, sent_at: float) -> None:
        self.lease.record_write(row, version, sent_at)
        self._version_era = self._era
        self._renew_at_once = False
        self._highest_fence = max(self._highest_fence, row.epoch)
        self._renewed_at = sent_at
        self.holder = self._node
        self._history.record_tenure(self._node, sent_at + self.lease.hold_s)
        grant = self.lease.grant(sent_at)
        if grant is not None and sent_at - grant.since >= self._ttl_s:
            self._history.is_complete = True

    async def _write(self, now: float) -> None:
        self._write_count += 1
        self._pending_operation = f"{self._nonce}/{self._write_count}"
        self._pending_sent_at = now
        era = self._era
        min_fence = max(self._highest_fence, era * FENCES_PER_ERA) + 1
        row = msgspec.structs.replace(
            self.lease.next_row(self._pending_operation, min_fence),
            renewed_s=self._clock.upper_bound(now),
            era=era,
            former=self._former_on_store_clock(self._node, now),
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
        elif written.conflicting_row is not None:
            self._observe_row(written.conflicting_row, written.store_s, answered_at)
        elif self.lease.grant(answered_at) is not None:
            self._schedule_renewal(ABSENT_VERSION)
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
