"""Leases on table rows without trust in anyone's wall clock.

A holder renews its row; a candidate takes it over only after it has seen the row unchanged
for a whole time to live on its own monotonic clock. The holder counts its time from before it
sent the renewal, so it stops believing before any candidate can begin.
"""

from enum import StrEnum

import msgspec
from transitions import Machine

VACANT = "vacant"
OBSERVED = "observed"
HELD = "held"
MARGIN_SHARE = 0.2
"""Part of the time to live that a holder gives up early, against unequal clock rates."""


class LeaseRow(msgspec.Struct, frozen=True):
    """What the table holds for a lease; `operation` names the write that put it there.

    Where the table tells a steady clock, `renewed_s` is that clock's time, never earlier than the
    holder began to count; a candidate then need not watch the row for the whole time to live.
    `era` is that of the store as the writer knew it, 0 where there is none.
    """

    holder: str
    epoch: int
    operation: str
    renewed_s: float | None = None
    era: int = 0


class LeaseAction(StrEnum):
    """What a node should do about a lease now."""

    WAIT = "wait"
    READ = "read"
    ACQUIRE = "take"
    RENEW = "renew"


class Grant(msgspec.Struct, frozen=True):
    """Proof of a held lease: orders carry its epoch, `until` is on the monotonic clock."""

    name: str
    epoch: int
    until: float
    since: float

    def valid(self, now: float) -> bool:
        """Say whether the holder may still act."""
        return now < self.until


class Lease:
    """One node's view of one lease, driven by what it reads and by the outcome of its writes."""

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

    def decide(self, now: float) -> LeaseAction:
        """Return the action that is due at `now`."""
        if self.state == HELD:
            if now >= self._held_until:
                self._observe()  # type: ignore[attr-defined]
                self._unchanged_since = now
                return LeaseAction.READ
            renew_at = self._held_until - self._ttl_s * (1 - MARGIN_SHARE) * 0.66
            return LeaseAction.RENEW if now >= renew_at else LeaseAction.WAIT
        if self.state == VACANT:
            return LeaseAction.ACQUIRE
        if now - self._unchanged_since >= self._ttl_s:
            return LeaseAction.ACQUIRE
        return LeaseAction.READ

    def next_row(self, operation: str, min_epoch: int = 1) -> LeaseRow:
        """Return the row to write when taking or renewing; taking raises the epoch."""
        if self.state == HELD and self.row is not None:
            return LeaseRow(self._node, self.row.epoch, operation)
        epoch = self.row.epoch + 1 if self.row is not None else 1
        return LeaseRow(self._node, max(epoch, min_epoch), operation)

    def set_version(self, version: int) -> None:
        """Note that the row to renew stands at another version than the last renewal left it."""
        self.version = version

    def reset(self) -> None:
        """Forget the row: what was read of it holds no longer."""
        self.row = None
        self.version = 0
        self._vacate()  # type: ignore[attr-defined]

    def record_write(self, row: LeaseRow, version: int, sent_at: float) -> None:
        """Note that this node's write, sent at `sent_at`, stands in the table."""
        if self.state != HELD:
            self._held_since = sent_at
        self.row = row
        self.version = version
        self._held_until = sent_at + self._ttl_s * (1 - MARGIN_SHARE)
        self._hold()  # type: ignore[attr-defined]

    def record_read(self, row: LeaseRow | None, version: int, now: float) -> None:
        """Note what a read found; only a change of version starts the wait anew."""
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
        """Return proof of the lease if it is held at `now`."""
        if self.state != HELD or self.row is None or now >= self._held_until:
            return None
        return Grant(self.name, self.row.epoch, self._held_until, self._held_since)


def may_send_order(
    grant: Grant, now: float, checks_fence: bool, ttl_s: float, order_max_s: float
) -> bool:
    """Say whether a fenced order may be sent now.

    A server that checks fences refuses an old epoch itself. For one that doesn't, the order
    must end inside the lease, and a new holder first waits out the longest order that the
    holder before it may have sent at the end of its time.
    """
    if not grant.valid(now):
        return False
    if checks_fence:
        return True
    ends_inside = now + order_max_s < grant.until
    waited_out = grant.epoch == 1 or now >= grant.since + ttl_s * MARGIN_SHARE + order_max_s
    return ends_inside and waited_out
