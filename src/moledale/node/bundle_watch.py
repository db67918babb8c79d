"""Polls the bundle head and adopts newer versions, never older ones."""

import random
from collections.abc import Callable

from result import Err

from moledale.backing.types import Platform
from moledale.bundle import store
from moledale.bundle.schema import Bundle
from moledale.clock import Clock
from moledale.log import Event, emit
from moledale.node.mailbox import Mailbox
from moledale.node.messages import HeadHint
from moledale.settings import OperatorsSection


class BundleWatch:
    """Holds this node's current bundle and when its version was last confirmed as the head."""

    def __init__(
        self,
        platform: Platform,
        operators: OperatorsSection,
        poll_s: float,
        on_adopted: Callable[[], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.bundle: Bundle | None = None
        self.head: store.Head | None = None
        self.hints: Mailbox[HeadHint] = Mailbox("bundle-hints", 100)
        self.newest_version_seen = 0
        self._confirmed_at: float | None = None
        self._platform = platform
        self._operators = operators
        self._poll_s = poll_s
        self._on_adopted = on_adopted
        self._clock = clock
        self._rng = rng

    @property
    def version(self) -> int:
        """Return the current version, or 0 before the first bundle is adopted."""
        return self.bundle.version if self.bundle is not None else 0

    def confirmed_ago_s(self) -> float | None:
        """Return the seconds since the current version was confirmed as the head, or None."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    async def run(self) -> None:
        """Poll the head periodically, and immediately when a peer reports a newer version."""
        while True:
            await self.poll()
            await self._wait_for_next_poll()

    async def poll(self) -> None:
        """Read the head once and adopt it if it is newer."""
        asked_at = self._clock.monotonic()
        outcome = await store.read_head(self._platform)
        if isinstance(outcome, Err):
            return
        head, _ = outcome.ok_value
        if head is None:
            return
        if head.version < self.version:
            emit(Event.BUNDLE_OLDER, head=head.version, floor=self.version)
            return
        self.newest_version_seen = max(self.newest_version_seen, head.version)
        if head.version > self.version and not await self._adopt(head):
            return
        self._confirmed_at = asked_at

    def handle_hint(self, hint: HeadHint) -> bool:
        """Process a version reported by a peer; return True if it is newer than this node's.

        A peer's confirmation of the same version counts for this node too, at the age that the
        peer reported. A newer version is never adopted from a peer: it only triggers a read of
        the table.
        """
        if hint.version > self.version:
            self.newest_version_seen = max(self.newest_version_seen, hint.version)
            return True
        if hint.version == self.version and hint.confirmed_ago_s is not None:
            confirmed_at = self._clock.monotonic() - hint.confirmed_ago_s
            if self._confirmed_at is None or confirmed_at > self._confirmed_at:
                self._confirmed_at = confirmed_at
        return False

    async def _adopt(self, head: store.Head) -> bool:
        fetched = await store.fetch(self._platform, head, self._operators)
        if isinstance(fetched, Err):
            emit(Event.BUNDLE_REFUSED, version=head.version, detail=fetched.err_value)
            return False
        # A newer version may have been adopted while this one was fetched.
        if head.version <= self.version:
            return False
        self.bundle = fetched.ok_value
        self.head = head
        emit(Event.BUNDLE_ADOPTED, version=head.version, rolled_by=head.rolled_by)
        self._on_adopted()
        return True

    async def _wait_for_next_poll(self) -> None:
        """Wait for the poll interval, or until a peer reports a newer version."""
        # The jitter keeps the nodes from polling in lockstep after an outage.
        until = self._clock.monotonic() + self._poll_s * self._rng.uniform(0.75, 1.25)
        while (left := until - self._clock.monotonic()) > 0:
            hint = await self.hints.get_within(left, self._clock)
            if hint is not None and self.handle_hint(hint):
                return
