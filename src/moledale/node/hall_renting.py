"""Renting and returning instances of one hall.

The lease holders of all halls compute the same plan from the same rows, and each carries out the
changes of its own hall.
"""

import uuid
from collections.abc import Callable

import msgspec
from result import Err

from moledale.backing.stored_rows import decode_row
from moledale.backing.types import (
    ABSENT,
    Condition,
    InstanceState,
    Platform,
    RentOrder,
    Row,
    Transaction,
    Write,
)
from moledale.bundle.schema import Bundle, Market
from moledale.clock import Clock
from moledale.core.leases import Grant
from moledale.core.renting import HeldInstance, Rent, RentRefusal, RentView, Return, plan
from moledale.log import Event, emit
from moledale.node.fleet import Fleet
from moledale.node.messages import ServerLeaving

DEMAND_TABLE = "demand"
MAX_HALLS = 100
"""Maximum of demand rows that are read, one per hall."""

REFUSAL_TTL_S = 30.0
"""Time for which a refused class and market of a hall are left out of the plan."""

LISTING_TIMEOUT_S = 180.0
"""Time within which a rented instance must appear in the list; after that it counts as lost."""

DEMAND_GROWTH_FACTOR = 1.2
"""Factor on the measured demand, so that capacity is rented before growing demand needs it."""


class PendingInstance(msgspec.Struct, frozen=True):
    """An instance that was ordered and is not listed yet; it expires at wall-clock time `until`.

    Without an `instance_id` the cloud's answer was lost, and the order is retried with the same
    token.
    """

    token: str
    instance_class: str
    market: Market
    until: float
    instance_id: str | None = None


class RecentRefusal(msgspec.Struct, frozen=True):
    """A class and market that the cloud refused to rent; expires at wall-clock time `until`."""

    instance_class: str
    market: Market
    until: float


class HallDemand(msgspec.Struct, frozen=True):
    """A hall's row: demand, idle instances, pending instances (`coming`) and recent refusals."""

    operation: str
    hall: str
    tokens_per_s: float
    idle: list[str] = []
    coming: list[PendingInstance] = []
    refused: list[RecentRefusal] = []


class HallRenting:
    """Rents and returns instances of one hall while its lease is held.

    Pending instances and refusals are stored in the hall's row, so that the holders of the other
    halls include them in their plans and the next holder of this hall's lease continues from them.
    """

    def __init__(
        self,
        hall: str,
        platform: Platform,
        fleet: Fleet,
        announce: Callable[[ServerLeaving], None],
        clock: Clock,
    ) -> None:
        self._hall = hall
        self._platform = platform
        self._fleet = fleet
        self._announce = announce
        self._clock = clock
        self._row_version: int | None = None
        self._pending: list[PendingInstance] = []
        self._refusals: list[RecentRefusal] = []

    async def run_round(
        self, bundle: Bundle, grant: Grant, tokens_per_s: float, idle: list[str]
    ) -> None:
        """Write this hall's row, plan from the rows of all halls, and apply this hall's changes."""
        if self._row_version is None and not await self._load_row():
            return
        self._prune()
        await self._retry_unanswered()
        own = await self._write_row(tokens_per_s, idle)
        demands = await self._read_rows(own)
        if demands is None:
            return
        changes = plan(bundle, self._rent_view(demands))
        for change in changes:
            if change.hall == self._hall and grant.valid(self._clock.monotonic()):
                await self._apply_change(change)
        if any(change.hall == self._hall for change in changes):
            await self._write_row(tokens_per_s, idle)

    async def _load_row(self) -> bool:
        """Load the row that the previous holder left; return False if it can't be read."""
        read = await self._platform.table.read(DEMAND_TABLE, self._hall)
        if isinstance(read, Err):
            return False
        self._row_version = ABSENT
        if read.ok_value is not None:
            self._row_version = read.ok_value.version
            row = _decode(read.ok_value)
            if row is not None:
                self._pending, self._refusals = list(row.coming), list(row.refused)
        return True

    async def _write_row(self, tokens_per_s: float, idle: list[str]) -> HallDemand:
        own = HallDemand(
            uuid.uuid4().hex, self._hall, tokens_per_s, idle, self._pending, self._refusals
        )
        assert self._row_version is not None, "the row is loaded before it is written"
        condition = Condition(DEMAND_TABLE, self._hall, self._row_version)
        write = Write(DEMAND_TABLE, self._hall, msgspec.json.encode(own).decode())
        outcome = await self._platform.table.transact(
            Transaction(own.operation, [condition], [write])
        )
        if not isinstance(outcome, Err) and outcome.ok_value.committed:
            self._row_version = outcome.ok_value.versions[0]
        else:
            # Only the version is read back: the row may be this write or another holder's, and the
            # next round overwrites it.
            read = await self._platform.table.read(DEMAND_TABLE, self._hall)
            if not isinstance(read, Err) and read.ok_value is not None:
                self._row_version = read.ok_value.version
        return own

    async def _read_rows(self, own: HallDemand) -> list[HallDemand] | None:
        outcome = await self._platform.table.scan(DEMAND_TABLE, "", MAX_HALLS)
        if isinstance(outcome, Err):
            return None
        rows = [_decode(row) for row in outcome.ok_value]
        return [own, *(row for row in rows if row is not None and row.hall != self._hall)]

    def _rent_view(self, demands: list[HallDemand]) -> RentView:
        now = self._clock.wall()
        refusals = frozenset(
            RentRefusal(row.hall, refusal.instance_class, refusal.market)
            for row in demands
            for refusal in row.refused
            if refusal.until > now
        )
        total = sum(row.tokens_per_s for row in demands) * DEMAND_GROWTH_FACTOR
        return RentView(
            total, [*self._listed_instances(demands), *self._pending_instances(demands)], refusals
        )

    def _listed_instances(self, demands: list[HallDemand]) -> list[HeldInstance]:
        idle = {server for row in demands for server in row.idle}
        return [
            HeldInstance(
                server.id,
                server.hall,
                server.instance_class,
                Market.ON_DEMAND if server.market == Market.ON_DEMAND else Market.RECLAIMABLE,
                server.id in idle,
            )
            for server in self._fleet.servers.values()
            if server.state is InstanceState.LIVE
        ]

    def _pending_instances(self, demands: list[HallDemand]) -> list[HeldInstance]:
        now = self._clock.wall()
        return [
            HeldInstance(pending.token, row.hall, pending.instance_class, pending.market)
            for row in demands
            for pending in row.coming
            if pending.until > now and pending.instance_id not in self._fleet.servers
        ]

    async def _apply_change(self, change: Rent | Return) -> None:
        if isinstance(change, Return):
            emit(Event.RENT_DECIDED, returned=change.instance_id)
            self._announce(ServerLeaving(change.instance_id, None, "returned"))
            await self._platform.cloud.release(change.instance_id)
            return
        until = self._clock.wall() + LISTING_TIMEOUT_S
        pending = PendingInstance(uuid.uuid4().hex, change.instance_class, change.market, until)
        self._pending.append(pending)
        await self._send_order(pending)

    async def _retry_unanswered(self) -> None:
        """Retry orders whose answer was lost; a token rents at most one instance."""
        for pending in [each for each in self._pending if each.instance_id is None]:
            await self._send_order(pending)

    async def _send_order(self, pending: PendingInstance) -> None:
        order = RentOrder(pending.token, self._hall, pending.instance_class, pending.market.value)
        outcome = await self._platform.cloud.rent(order)
        if isinstance(outcome, Err):
            if not outcome.err_value.uncertain:
                self._pending.remove(pending)
            return
        self._pending.remove(pending)
        rented = outcome.ok_value
        if rented.instance_id is not None:
            emit(Event.RENT_DECIDED, rented=rented.instance_id, hall=self._hall)
            answered = msgspec.structs.replace(pending, instance_id=rented.instance_id)
            self._pending.append(answered)
            return
        emit(Event.RENT_REFUSED, hall=self._hall, detail=rented.refused)
        until = self._clock.wall() + REFUSAL_TTL_S
        self._refusals.append(RecentRefusal(pending.instance_class, pending.market, until))

    def _prune(self) -> None:
        """Drop pending instances that are listed by now or timed out, and expired refusals."""
        now = self._clock.wall()
        listed = self._fleet.servers
        self._pending = [
            pending
            for pending in self._pending
            if pending.until > now and pending.instance_id not in listed
        ]
        self._refusals = [refusal for refusal in self._refusals if refusal.until > now]


def _decode(row: Row) -> HallDemand | None:
    return decode_row(DEMAND_TABLE, row, HallDemand)
