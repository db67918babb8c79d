"""The hall duty, done by one lease holder per hall: notices, renting, models, orphaned jobs."""

import asyncio
import random
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err

from moledale.backing.stored_rows import decode_row
from moledale.backing.types import (
    ABSENT,
    Condition,
    Instance,
    InstanceState,
    Platform,
    Row,
    Transaction,
    Write,
)
from moledale.bundle.schema import Bundle
from moledale.clock import Clock
from moledale.core.leases import Grant, Lease, LeaseAction, LeaseRow, may_send_order
from moledale.log import Event, emit
from moledale.node.fleet import Fleet
from moledale.node.hall_renting import HallRenting
from moledale.node.jobs import Jobs
from moledale.node.messages import ServerLeaving
from moledale.servers.types import LoadReport, ModelServers, Order
from moledale.settings import TimesSection

LEASE_TABLE = "lease"
UNREADABLE_LEASE = LeaseRow("unreadable", 0, "")
HOLDER_POLLS_PER_TTL = 10
CANDIDATE_POLLS_PER_TTL = 3
"""Lease checks per lease TTL; a holder also does one round of duty per check interval."""

SERVERS_POLLED_PER_ROUND = 5
"""Servers that a holder polls for their load per renting round; the rest follow in later rounds."""

ROUNDS_PER_RENTING = 5
ROUNDS_PER_ADOPTION = 3
"""Rounds of duty from one renting, or adoption of orphaned jobs, to the next."""

MIN_IDLE_POLLS = 6
"""Polls in a row that must find a server idle before it may be returned."""


@dataclass(slots=True)
class _HolderState:
    """State that the holder keeps between rounds; a new holder starts empty and rebuilds it."""

    seen_notices: set[str] = field(default_factory=set)
    reports: dict[str, LoadReport] = field(default_factory=dict)
    idle_polls: Counter[str] = field(default_factory=Counter)
    polled_in_round: dict[str, int] = field(default_factory=dict)


class HallDuty:
    """Competes for one hall's lease and does the hall's duty while it holds the lease.

    `announce` is called for each server that received a reclaim notice or is to be returned.
    """

    def __init__(
        self,
        hall: str,
        node: str,
        platform: Platform,
        servers: ModelServers,
        fleet: Fleet,
        jobs: Jobs,
        bundle: Callable[[], Bundle | None],
        announce: Callable[[ServerLeaving], None],
        times: TimesSection,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.hall = hall
        self.lease = Lease(f"hall/{hall}", node, times.lease_ttl_s)
        self._node = node
        self._platform = platform
        self._servers = servers
        self._fleet = fleet
        self._jobs = jobs
        self._bundle = bundle
        self._announce = announce
        self._times = times
        self._clock = clock
        self._rng = rng
        self._state = _HolderState()
        self._renting = self._new_renting()
        self._was_holder = False
        self._round = 0
        self._highest_epoch = 0

    def _new_renting(self) -> HallRenting:
        return HallRenting(self.hall, self._platform, self._fleet, self._announce, self._clock)

    async def run(self) -> None:
        """Maintain the lease and do the duty forever, in two concurrent tasks.

        They are separate so that a slow round, when a server or the cloud does not answer, does
        not cost the lease.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_lease())
            group.create_task(self._run_duty())

    async def _run_lease(self) -> None:
        while True:
            await self.keep_lease()
            grant = self.lease.grant(self._clock.monotonic())
            self._on_lease_change(grant)
            # A holder must renew the row in time, while a candidate only reads it.
            polls_per_ttl = HOLDER_POLLS_PER_TTL if grant is not None else CANDIDATE_POLLS_PER_TTL
            await self._sleep(polls_per_ttl)

    async def _run_duty(self) -> None:
        while True:
            grant = self.lease.grant(self._clock.monotonic())
            if grant is not None:
                await self._run_round(grant)
            await self._sleep(HOLDER_POLLS_PER_TTL)

    async def _sleep(self, polls_per_ttl: int) -> None:
        """Sleep for the lease's TTL divided by `polls_per_ttl`, with 20 % jitter."""
        await self._clock.sleep(
            self._times.lease_ttl_s / polls_per_ttl * self._rng.uniform(0.8, 1.2)
        )

    async def keep_lease(self) -> None:
        """Do what the lease requires now: read, acquire or renew it."""
        action = self.lease.decide(self._clock.monotonic())
        if action is LeaseAction.READ:
            await self._read_row()
        elif action in (LeaseAction.ACQUIRE, LeaseAction.RENEW):
            await self._write_row()

    async def _read_row(self) -> None:
        outcome = await self._platform.table.read(LEASE_TABLE, self.lease.name)
        if isinstance(outcome, Err):
            return
        row = outcome.ok_value
        decoded = None if row is None else self._decode_lease(row)
        version = ABSENT if row is None else row.version
        self.lease.record_read(decoded, version, self._clock.monotonic())

    async def _write_row(self) -> None:
        sent_at = self._clock.monotonic()
        row = self.lease.next_row(uuid.uuid4().hex, self._highest_epoch + 1)
        name = self.lease.name
        outcome = await self._platform.table.transact(
            Transaction(
                row.operation,
                [Condition(LEASE_TABLE, name, self.lease.version)],
                [Write(LEASE_TABLE, name, msgspec.json.encode(row).decode())],
            )
        )
        if isinstance(outcome, Err) or not outcome.ok_value.committed:
            await self._resolve_write(row, sent_at)
            return
        self.lease.record_write(row, outcome.ok_value.versions[0], sent_at)

    async def _resolve_write(self, row: LeaseRow, sent_at: float) -> None:
        """Read the row to find out whether a write that was lost or refused has been committed."""
        outcome = await self._platform.table.read(LEASE_TABLE, self.lease.name)
        if isinstance(outcome, Err):
            return
        found = outcome.ok_value
        if found is None:
            return
        held = self._decode_lease(found)
        if held.operation == row.operation:
            self.lease.record_write(row, found.version, sent_at)
        else:
            self.lease.record_read(held, found.version, self._clock.monotonic())

    def _decode_lease(self, row: Row) -> LeaseRow:
        """Return the lease in a row; one that can't be read expires like that of a lost holder."""
        lease = decode_row(LEASE_TABLE, row, LeaseRow) or UNREADABLE_LEASE
        self._highest_epoch = max(self._highest_epoch, lease.epoch)
        return lease

    def _on_lease_change(self, grant: Grant | None) -> None:
        if (grant is not None) == self._was_holder:
            return
        self._was_holder = grant is not None
        if grant is not None:
            self._state = _HolderState()
            self._renting = self._new_renting()
            emit(Event.LEASE_WON, lease=grant.name, epoch=grant.epoch)
        else:
            emit(Event.LEASE_LOST, lease=self.lease.name)

    async def _run_round(self, grant: Grant) -> None:
        self._round += 1
        await self._announce_notices()
        if self._round % ROUNDS_PER_ADOPTION == 1:
            await self._jobs.adopt_orphans(self.hall, self._fleet.is_node_listed)
        if self._round % ROUNDS_PER_RENTING == 1:
            await self._poll_loads()
            await self._place_models(grant)
            await self._run_renting(grant)

    async def _announce_notices(self) -> None:
        outcome = await self._platform.cloud.notices(self.hall)
        if isinstance(outcome, Err):
            return
        for notice in outcome.ok_value:
            if notice.instance_id not in self._state.seen_notices:
                self._state.seen_notices.add(notice.instance_id)
                self._announce(ServerLeaving(notice.instance_id, notice.seconds_left, "cloud"))

    def _live_servers(self) -> list[Instance]:
        return [
            server
            for server in self._fleet.servers.values()
            if server.hall == self.hall and server.state is InstanceState.LIVE
        ]

    async def _poll_loads(self) -> None:
        """Poll some of the hall's servers for their load, the least recently polled first."""
        live = self._live_servers()
        state = self._state
        names = {server.id for server in live}
        state.reports = {name: r for name, r in state.reports.items() if name in names}
        live.sort(key=lambda server: (state.polled_in_round.get(server.id, 0), server.id))
        servers = live[:SERVERS_POLLED_PER_ROUND]
        outcomes = await asyncio.gather(*(self._servers.load(s.address) for s in servers))
        for server, outcome in zip(servers, outcomes, strict=True):
            state.polled_in_round[server.id] = self._round
            state.reports.pop(server.id, None)
            if not isinstance(outcome, Err):
                state.reports[server.id] = outcome.ok_value
                self._count_idle(outcome.ok_value)

    def _count_idle(self, report: LoadReport) -> None:
        requests = report.running + report.waiting
        polls = 0 if requests else self._state.idle_polls[report.server] + 1
        self._state.idle_polls[report.server] = polls

    async def _place_models(self, grant: Grant) -> None:
        """Have each server of the hall load every model and adapter of the bundle.

        Every round orders whatever is missing, so a stale order's effect lasts only until the
        next round.
        """
        bundle = self._bundle()
        if bundle is None:
            return
        wanted = [model.name for model in bundle.models]
        wanted += [adapter.name for adapter in bundle.adapters]
        for server in self._live_servers():
            report = self._state.reports.get(server.id)
            if report is None or report.leaving:
                continue
            for name in wanted:
                if name not in report.models:
                    await self._order_load(grant, server, bundle, name)

    async def _order_load(self, grant: Grant, server: Instance, bundle: Bundle, name: str) -> None:
        kind = "load_model" if bundle.adapter(name) is None else "load_adapter"
        instance_class = bundle.instance_class(server.instance_class)
        granted = await self._platform.weights.request_grant(server.id, name)
        if isinstance(granted, Err) or not granted.ok_value.granted:
            return
        checks = instance_class is not None and instance_class.checks_fence
        times = self._times
        now = self._clock.monotonic()
        if not may_send_order(grant, now, checks, times.lease_ttl_s, times.order_max_s):
            return
        order = Order(f"{grant.name}:{server.id}:{name}", grant.name, grant.epoch, kind, name)
        outcome = await self._servers.order(server.address, order)
        if isinstance(outcome, Err):
            emit(Event.ORDER_FAILED, server=server.id, detail=outcome.err_value.detail)
        elif not outcome.ok_value.taken:
            emit(Event.ORDER_FAILED, server=server.id, detail=outcome.ok_value.detail)

    async def _run_renting(self, grant: Grant) -> None:
        bundle = self._bundle()
        if bundle is not None:
            tokens_per_s, idle = self._measure_demand(bundle)
            await self._renting.run_round(bundle, grant, tokens_per_s, idle)

    def _measure_demand(self, bundle: Bundle) -> tuple[float, list[str]]:
        """Return the hall's demand in tokens per second, and the ids of its idle servers."""
        total = 0.0
        idle = []
        polled = 0
        live = self._live_servers()
        for server in live:
            report = self._state.reports.get(server.id)
            instance_class = bundle.instance_class(server.instance_class)
            if report is None or instance_class is None:
                continue
            polled += 1
            requests = report.running + report.waiting
            total += instance_class.decode_tokens_per_s * requests / instance_class.slots
            if self._state.idle_polls[server.id] >= MIN_IDLE_POLLS:
                idle.append(server.id)
        # Servers that have not been polled are assumed to have the mean load of the polled ones.
        scaled = total * len(live) / polled if polled else 0.0
        return scaled, idle
