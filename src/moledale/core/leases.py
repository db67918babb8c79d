"""Leases on table rows that don't depend on anyone's wall clock.

A holder renews its row; a candidate acquires the lease only after it has seen the row unchanged for
a whole time to live (TTL) on its own monotonic clock. The holder counts the TTL from before it sent
the renewal, so its lease ends before any candidate can acquire it.
"""

from enum import StrEnum

import msgspec
from transitions import Machine

VACANT = "vacant"
OBSERVED = "observed"
HELD = "held"
MAX_EPOCH = 2**62
"""Largest epoch; messages carry 64 bits. Nothing but a corrupt row comes near it."""

MARGIN_SHARE = 0.2
"""Share of the TTL by which a holder stops early, to allow for unequal clock rates."""


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as stored in the table; `operation` identifies the write that stored it.

    Where the table returns a steady clock, `renewed_s` is that clock's time, never earlier than the
    time from which the holder counts; a candidate then need not watch the row for a whole TTL.
    `era` is the store's era as known to the writer, 0 where there is none. `former` has the end of
    each recent tenure of another holder on the table's clock, None if some may be missing.
    """

    holder: str
    epoch: int
    operation: str
    renewed_s: float | None = None
    era: int = 0
    former: dict[str, float] | None = None

    def __post_init__(self) -> None:
        if not (0 <= self.epoch <= MAX_EPOCH and 0 <= self.era <= MAX_EPOCH):
            raise ValueError("the epoch or era is out of range")


class LeaseAction(StrEnum):
    """What a node should do about a lease now."""

    WAIT = "wait"
    READ = "read"
    ACQUIRE = "take"
    RENEW = "renew"


class Grant(msgspec.Struct, frozen=True):
    """Proof of a lease held from `since` to `until` (monotonic times); orders carry its epoch."""

    name: str
    epoch: int
    until: float
    since: float

    def valid(self, now: float) -> bool:
        """Return whether the holder may still act."""
        return now < self.until


class Lease:
    """One node's view of one lease, updated by its reads and the outcome of its writes."""

    state: str

    def __init__(self, name: str, node: str, ttl_s: float) -> None:
        self.name = name
        self.version = 0
        self.row: LeaseRow | None = None
        self._node = node
        self._ttl_s = ttl_s
        self._unchanged_since = 0.0
        self._held_until = 0.0
        self._held_since = 0.0
        Machine(
            model=self,
            states=[VACANT, OBSERVED, HELD],
            initial=VACANT,
            auto_transitions=False,
            transitions=[
                {"trigger": "_observe", "source": "*", "dest": OBSERVED},
                {"trigger": "_vacate", "source": "*", "dest": VACANT},
                {"trigger": "_hold", "source": "*", "dest": HELD},
            ],
        )

    @property
    def hold_s(self) -> float:
        """Return for how long after a renewal its holder may act."""
        return self._ttl_s * (1 - MARGIN_SHARE)

    def decide(self, now: float) -> LeaseAction:
        """Return the action that is due at `now`."""
        if self.state == HELD:
            if now >= self._held_until:
                self._observe()  # type: ignore[attr-defined]
                self._unchanged_since = now
                return LeaseAction.READ
            renew_at = self._held_until - self.hold_s * 0.66
            return LeaseAction.RENEW if now >= renew_at else LeaseAction.WAIT
        if self.state == VACANT:
            return LeaseAction.ACQUIRE
        if now - self._unchanged_since >= self._ttl_s:
            return LeaseAction.ACQUIRE
        return LeaseAction.READ

    def next_row(self, operation: str, min_epoch: int = 1) -> LeaseRow:
        """Return the row to write to acquire or renew the lease.

        Acquiring raises the epoch by one, and to at least `min_epoch`, up to `MAX_EPOCH`.
        """
        if self.state == HELD and self.row is not None:
            return LeaseRow(self._node, self.row.epoch, operation)
        epoch = self.row.epoch + 1 if self.row is not None else 1
        return LeaseRow(self._node, min(max(epoch, min_epoch), MAX_EPOCH), operation)

    def set_version(self, version: int) -> None:
        """Set the row version that the next write replaces, if another write has changed it."""
        self.version = version

    def reset(self) -> None:
        """Discard the row that was read, and treat the lease as vacant."""
        self.row = None
        self.version = 0
        self._vacate()  # type: ignore[attr-defined]

    def record_write(self, row: LeaseRow, version: int, sent_at: float) -> None:
        """Record that the table holds the row that this node sent at `sent_at`."""
        if self.state != HELD:
            self._held_since = sent_at
        self.row = row
        self.version = version
        self._held_until = sent_at + self.hold_s
        self._hold()  # type: ignore[attr-defined]

    def record_read(self, row: LeaseRow | None, version: int, now: float) -> None:
        """Record the result of a read; only a change of version restarts the wait for the TTL."""
        if row is None:
            self.reset()
            return
        if version != self.version or self.state != OBSERVED:
            self._unchanged_since = now
        if version == self.version and self.state == HELD:
            return
        self.row = row
        self.version = version
        self._observe()  # type: ignore[attr-defined]

    def grant(self, now: float) -> Grant | None:
        """Return proof of the lease if it is held at `now`, else None."""
        if self.state != HELD or self.row is None or now >= self._held_until:
            return None
        return Grant(self.name, self.row.epoch, self._held_until, self._held_since)


def may_send_order(
    grant: Grant, now: float, checks_fence: bool, ttl_s: float, order_max_s: float
) -> bool:
    """Return whether a fenced order may be sent now.

    A server that checks fences rejects an old epoch itself. For one that doesn't, the order must
    end within the lease, as an order takes up to `order_max_s`. A new holder also waits first until
    any order that the previous holder sent at the end of its lease must have ended.
    """
    if not grant.valid(now):
        return False
    if checks_fence:
        return True
    ends_within_lease = now + order_max_s < grant.until
    previous_orders_ended = (
        grant.epoch == 1 or now >= grant.since + ttl_s * MARGIN_SHARE + order_max_s
    )
    return ends_within_lease and previous_orders_ended
