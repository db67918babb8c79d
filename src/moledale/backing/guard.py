"""Circuit breakers around the platform's parts.

During an outage, calls fail at once instead of waiting, and nodes do not all retry together.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Result

from moledale.backing.types import (
    CloudApi,
    InstanceList,
    InstancePage,
    ObjectStore,
    Part,
    Platform,
    PlatformFailure,
    ReclaimNotice,
    RentOrder,
    RentResult,
    Row,
    TableService,
    Transaction,
    TransactionOutcome,
    WeightGrant,
    WeightStore,
)
from moledale.clock import Clock
from moledale.core.breaker import CLOSED, Breaker, BreakerLimits
from moledale.log import Event, emit

T = TypeVar("T")


class Guard:
    """Makes the calls to one part of the platform through a circuit breaker."""

    def __init__(self, part: Part, clock: Clock, rng: random.Random) -> None:
        self.part = part
        self._clock = clock
        self._breaker = Breaker(BreakerLimits(), rng)

    @property
    def reachable(self) -> bool:
        """Whether the breaker is closed."""
        return self._breaker.state == CLOSED

    async def call(
        self, operation: Callable[[], Awaitable[Result[T, PlatformFailure]]]
    ) -> Result[T, PlatformFailure]:
        """Run `operation`, or fail without running it while the breaker is open."""
        now = self._clock.monotonic()
        if not self._breaker.allows(now):
            wait = max(0.1, self._breaker.wait_s(now))
            return Err(PlatformFailure(self.part, "not answering of late", False, wait))
        try:
            outcome = await operation()
        except asyncio.CancelledError:
            self._breaker.record_cancelled(self._clock.monotonic())
            raise
        if outcome.is_ok():
            if self._breaker.record_success():
                emit(Event.PLATFORM_UP, part=self.part)
        elif self._breaker.record_failure(self._clock.monotonic()):
            emit(Event.PLATFORM_DOWN, part=self.part, detail=outcome.unwrap_err().detail)
        return outcome


class GuardedTable:
    """A table service behind a circuit breaker."""

    def __init__(self, inner: TableService, guard: Guard) -> None:
        self._inner = inner
        self.guard = guard

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, PlatformFailure]:
        """Commit all writes or none."""
        return await self.guard.call(lambda: self._inner.transact(transaction))

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformFailure]:
        """Return a row, or None if it does not exist."""
        return await self.guard.call(lambda: self._inner.read(table, key))

    async def scan(self, table: str, prefix: str, limit: int) -> Result[list[Row], PlatformFailure]:
        """Return rows whose keys start with `prefix`."""
        return await self.guard.call(lambda: self._inner.scan(table, prefix, limit))


class GuardedObjects:
    """An object store behind a circuit breaker."""

    def __init__(self, inner: ObjectStore, guard: Guard) -> None:
        self._inner = inner
        self._guard = guard

    async def put(self, key: str, body: bytes) -> Result[None, PlatformFailure]:
        """Store an object."""
        return await self._guard.call(lambda: self._inner.put(key, body))

    async def get(self, key: str) -> Result[bytes | None, PlatformFailure]:
        """Return an object, or None if it does not exist."""
        return await self._guard.call(lambda: self._inner.get(key))


class GuardedInstances:
    """The eventually consistent instance list behind a circuit breaker."""

    def __init__(self, inner: InstanceList, guard: Guard) -> None:
        self._inner = inner
        self._guard = guard

    async def changes(self, since: int) -> Result[InstancePage, PlatformFailure]:
        """Return the instances that changed after revision `since`; 0 returns all."""
        return await self._guard.call(lambda: self._inner.changes(since))


class GuardedCloud:
    """A cloud API behind a circuit breaker."""

    def __init__(self, inner: CloudApi, guard: Guard) -> None:
        self._inner = inner
        self._guard = guard

    async def rent(self, order: RentOrder) -> Result[RentResult, PlatformFailure]:
        """Rent one instance."""
        return await self._guard.call(lambda: self._inner.rent(order))

    async def release(self, instance_id: str) -> Result[None, PlatformFailure]:
        """Give an instance back to the cloud."""
        return await self._guard.call(lambda: self._inner.release(instance_id))

    async def notices(self, hall: str) -> Result[list[ReclaimNotice], PlatformFailure]:
        """Return the pending reclaim notices of a hall."""
        return await self._guard.call(lambda: self._inner.notices(hall))


class GuardedWeights:
    """A weight store behind a circuit breaker."""

    def __init__(self, inner: WeightStore, guard: Guard) -> None:
        self._inner = inner
        self._guard = guard

    async def request_grant(self, server: str, model: str) -> Result[WeightGrant, PlatformFailure]:
        """Request permission for a server to load a model's weights now."""
        return await self._guard.call(lambda: self._inner.request_grant(server, model))


def guard_platform(platform: Platform, clock: Clock, rng: random.Random) -> tuple[Platform, Guard]:
    """Wrap every part in its own circuit breaker; also return the guard of the table."""
    table_guard = Guard(Part.TABLE, clock, rng)
    wrapped = Platform(
        table=GuardedTable(platform.table, table_guard),
        objects=GuardedObjects(platform.objects, Guard(Part.OBJECTS, clock, rng)),
        instances=GuardedInstances(platform.instances, Guard(Part.INSTANCES, clock, rng)),
        cloud=GuardedCloud(platform.cloud, Guard(Part.CLOUD, clock, rng)),
        weights=GuardedWeights(platform.weights, Guard(Part.WEIGHTS, clock, rng)),
    )
    return wrapped, table_guard
