"""The gateway node: wires its components, runs their tasks and drains them on a planned stop."""

import asyncio
import os
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from moledale.clock import SystemClock, monotonic
from moledale.core.hashing import first_ranked
from moledale.core.rollouts import Exposure, RolloutNews
from moledale.faults import faults, run_step
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.builds import FORMATS, BuildWatch
from moledale.gateway.cold_start import ColdStart
from moledale.gateway.dialect import Dialect
from moledale.gateway.directory import power_of
from moledale.gateway.duties import DUTY_POLL_INTERVAL_S, Duties
from moledale.gateway.entry import EntryDialect
from moledale.gateway.fleet_watch import FleetWatch
from moledale.gateway.forwarder import Forwarder
from moledale.gateway.gossip import (
    GossipSocket,
    Message,
    PackedState,
    PlacementNews,
    PlanCheck,
    StateNews,
    open_gossip,
)
from moledale.gateway.inbound import Listener, listen, sweep_forever
from moledale.gateway.lease_keeper import LeaseKeeper
from moledale.gateway.limit_sharing import LimitSharing
from moledale.gateway.messages import InboundRequest, Refusal, Server
from moledale.gateway.neighbours import GOSSIP_INTERVAL_S, Neighbours
from moledale.gateway.outside import CloudOrders, Store
from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.gateway.permits import PermitAnswer, PermitAsk
from moledale.gateway.plan import Engine, Limits, Plan
from moledale.gateway.plan_watch import PlanWatch
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.quarantine_sharing import (
    BlockNews,
    ClearedNews,
    EndNews,
    PartNews,
    QuarantineMessage,
    QuarantineSharing,
)
from moledale.gateway.quarantine_store import QuarantineStore
from moledale.gateway.questions import ControlHandler
from moledale.gateway.rate import Rate
from moledale.gateway.registration import Registration
from moledale.gateway.renting_duty import RentingDuty
from moledale.gateway.reply import Reply
from moledale.gateway.rollout_duty import RolloutDuty
from moledale.gateway.rollouts import Rollouts
from moledale.gateway.server_list import ServerChange
from moledale.gateway.settings import Bounds, GatewaySettings
from moledale.gateway.sharing import Sharing
from moledale.gateway.state_packing import StatePacker, StateUnpacker, pack_snapshot
from moledale.gateway.store_era import EraVersion
from moledale.gateway.suspension import SuspensionWatch
from moledale.gateway.watch_turn import Watchers, max_check_age_s
from moledale.listening import bind_patiently, completes_before
from moledale.log import Event, emit
from moledale.node.supervisor import Supervisor
from moledale.quarantine.server_checks import (
    ServerAnswer,
    ServerAsk,
    ServerCheckMessage,
    ServerChecks,
)
from moledale.scheduling.evacuation_coordinator import (
    EvacuationMessage,
    EvacuationOrder,
    EvacuationReport,
)
from moledale.scheduling.evacuation_sharing import EvacuationSharing
from moledale.scheduling.stream_runs import Engines
from moledale.scheduling.switches import Feature, Switches
from moledale.streams.origin_log import OriginLog
from moledale.streams.origins import (
    OriginAnswer,
    OriginAsk,
    OriginMessage,
    OriginNews,
    StreamOrigins,
)
from moledale.streams.version_history import DEFAULT_LIFETIME_S, VersionHistory
from moledale.streams.version_register import VersionNews, VersionRegister

POOL_SWEEP_INTERVAL_S = 0.5
"""Interval between closing of connections that have been idle for too long."""

MIN_STOP_FACTOR = 1.6
"""Minimum duration of a planned stop as a multiple of `bounds.address_ttl_s`. Callers cache the
addresses they got, some of them for longer than the TTL."""

STOP_MARGIN_S = 0.9
"""A planned stop ends this long before `bounds.stop_s`, to leave time for closing on a slow
instance."""

STOP_ADMISSION_SHARE = 0.35
"""Share of `bounds.stop_s` during which a draining node still admits new requests. Later ones might
be cut off at the end of the stop."""

PLACEMENT_BATCH_S = 0.02
"""Placements are batched for this long before they are sent to other nodes."""

STOPPING_RETRY_AFTER_S = 0.05
"""Retry-After of requests that a draining node rejects. It is short because other nodes serve
immediately."""

STOP_QUIET_S = 0.3
"""A draining node ends once it has had no request for this long, which is several round trips of a
caller."""

CUT_OFF_DELAY_S = 1.5
"""A node that lost a service waits for this long before it takes what peers state for evidence that
they still reach it: longer than `REACHED_RECENTLY_S` and a gossip round."""

RESUMPTION_MARGIN_S = 5.0
"""Streams may be resumed this much later than the longest time limit of their routes: callers count
their deadline from the first attempt, which may have been refused."""

MAX_LOGGED_NODES = 16
"""Nodes in the log line of those that callers are directed to."""

EXIT_OK = 0
"""Exit code after a planned stop."""


def min_stop_s(bounds: Bounds) -> float:
    """Return the minimum duration of a planned stop."""
    return min(MIN_STOP_FACTOR * bounds.address_ttl_s, bounds.stop_s / 2)


class GatewayNode:
    """Owns the components of one gateway process and connects them to gossip and callers."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        entry: EntryDialect,
        store: Store,
        orders: CloudOrders,
        engines: Engines,
    ) -> None:
        node = settings.node
        self.settings = settings
        self.switches = Switches(settings.scheduling)
        self.standing = Standing.STARTING
        self._started_at = monotonic()
        self.incarnation = int.from_bytes(os.urandom(6), "big")
        self.members = Membership(node.id, self.incarnation)
        self.sharing = Sharing(self.members, settings.bounds)
        self.balancer = LoadBalancer(
            node.hall, VersionHistory(node.first_start, self._stream_lifetime_s)
        )
        self.pool = ConnectionPool(monotonic)
        self.rollouts = Rollouts(
            self.balancer,
            self.members,
            self._on_rollout_changed,
            self.sharing.true_time.to_local,
            self._serving_count,
            self._started_at,
            Exposure(settings.bounds.exposure_share, settings.bounds.exposure_free),
            store.era,
        )
        self.balancer.on_outcome = self.rollouts.record_answer
        self.server_limits = LimitSharing(
            node.id, node.hall, node.peers, self.balancer, self.members, self._send_to
        )
        cold_start = ColdStart(self._backoff_scale)
        self._register = VersionRegister(
            store,
            self.balancer.versions,
            self.sharing.true_time,
            lambda service: self.forwarder.has_streams(service),
            self._send_versions,
            self._list_read_rank,
            self._backoff_scale,
            self._stream_lifetime_s,
            cold_start,
        )
        self._origins = StreamOrigins(
            node.peers,
            self.balancer.versions,
            self.members,
            self._send_origins,
            self._register.recent,
            lambda service: self.forwarder.evacuation.running_versions(service),
            log=lambda streams: self._origin_log.add(streams),
            read_log=lambda: self._origin_log.read(),
            is_mixed=self._register.is_mixed,
        )
        self._origin_log = OriginLog(
            store,
            self.sharing.true_time,
            self._writes_origins,
            self._reads_origins,
            self._origins.keep,
            self._stream_lifetime_s,
        )
        self.balancer.on_versions_mixed = self._origins.on_versions_mixed
        self.forwarder = Forwarder(
            dialect,
            self.balancer,
            self.pool,
            self.sharing,
            engines,
            newer_plan=lambda: self.plans.fetch.is_behind(monotonic()),
            list_is_current=lambda: self.fleet.ensure_current(),
            first_start=node.first_start,
            trial_share=self.rollouts.trial_share,
            starting_nodes=lambda: max(1, len(node.halls), self._serving_count()),
            permits=self.server_limits.permits,
            switches=self.switches,
            origins=self._origins,
            may_begin=self._register.may_begin,
        )
        self.forwarder.overload.account_excess = self.account_excess
        self.sharing.has_fair_shares = lambda service: self.switches.applies(
            Feature.FAIR_SHARES, self.forwarder.index, service
        )
        self.evacuation = EvacuationSharing(
            node.id,
            node.peers,
            FORMATS,
            self.forwarder.evacuation,
            self.balancer,
            self.members,
            self.switches,
            lambda: self.forwarder.index,
            lambda: self.neighbours.serving,
            self._send_to,
        )
        self._store = store
        nonce = f"{node.id}/{self.incarnation:x}"
        self.keeper = LeaseKeeper(node.id, store, settings.bounds, nonce, node.first_start)
        self.renting = RentingDuty(
            node.id,
            self.keeper,
            orders,
            self.sharing,
            self.balancer,
            lambda: self.forwarder.index,
            node.first_start,
            uses_unheard_load=self._uses_unheard_load,
            uses_loss_series=self._uses_loss_series,
            read_list=lambda: self.fleet.read_now(),
            watch_list=lambda: self.fleet.read_early(),
        )
        self.duties = Duties(
            node.id,
            self.keeper,
            store,
            orders,
            self.sharing,
            self.renting,
            RolloutDuty(
                store, self.rollouts, self.balancer, self.sharing.true_time.to_local, monotonic
            ),
            usage_late_s=settings.bounds.usage_late_s,
        )
        self.quarantine = QuarantineSharing(self.forwarder.guard, self._send_quarantine)
        self.forwarder.guard.parts.is_prober = self._is_prober
        self._server_checks = ServerChecks(
            node.peers,
            lambda: self.members.alive(monotonic()),
            self._send_to,
            self.pool.probe,
        )
        self.forwarder.guard.ask_peers(self._server_checks.has_ended)
        self._quarantine_store = QuarantineStore(
            store,
            self.forwarder.guard,
            self.quarantine,
            self.sharing.true_time,
            lambda: self.neighbours.serving,
            self._backoff_scale,
        )
        self.supervisor = Supervisor("gateway", SystemClock())
        self.neighbours = Neighbours(self.members, node.peers, monotonic())
        self._gossip: GossipSocket | None = None
        self._placement_timer: asyncio.TimerHandle | None = None
        self.balancer.on_placed = self._on_placed
        self.balancer.expects_unheard_load = self._uses_unheard_load
        self.balancer.server_speeds.applies = self._uses_server_speeds
        self.balancer.has_connection = self.pool.has_idle
        self.balancer.idle_servers = self.pool.idle_servers
        self._request_rate = Rate()
        self._sequence = 0
        self._cut_off = False
        self._list_was_fresh = True
        self._logged_addresses: list[str] = []
        self._packer = StatePacker()
        self._unpacker = StateUnpacker()
        self._builds = BuildWatch()
        self.plans = PlanWatch(
            store,
            self.sharing.true_time,
            self._plan_watchers,
            self._adopt,
            self._announce_plan,
            self._backoff_scale,
            node.link_mbps,
            lambda stored: self.rollouts.apply_order(stored.order, stored.phase),
            cold_start,
            on_checked=self._send_plan_check,
            apply_s=settings.bounds.apply_s,
        )
        self.fleet = FleetWatch(
            store,
            self.sharing.true_time,
            self._list_read_rank,
            self._apply_servers,
            self._send_changes,
            self._send_confirmation,
            self._backoff_scale,
            node.control,
            node.link_mbps,
            settings.bounds.leave_s,
            cold_start=cold_start,
        )
        self._control_handler = ControlHandler(
            entry,
            self.neighbours,
            self.plans.archive,
            self.fleet.archive,
            self.pool,
            settings.bounds.address_ttl_s,
            self._extra_metrics,
        )
        self._leaving_since: float | None = None
        self._rollouts_sent: dict[str, RolloutNews] = {}
        self._caller_listener = Listener(self._handle, self._limits, monotonic)
        self._relay_listener = Listener(self._handle_relayed, self._limits, monotonic)
        self._control_listener = Listener(self._handle_control, self._limits, monotonic)
        self._tcp_servers: list[asyncio.Server] = []
        self._handlers = self._message_handlers()

    def account_excess(self, account: str | None, now: float) -> float:
        """Return an account's recent work at all nodes relative to its fair share.

        It is 1.0, at its share, while fair shares are switched off.
        """
        if not self.settings.scheduling.fair_shares:
            return 1.0
        return self.sharing.shares.excess(account, now)

    def _log_addresses(self) -> None:
        """Log the nodes that callers are directed to, if they changed."""
        nodes = sorted(each.id for each in self.serving_nodes())
        if nodes != self._logged_addresses:
            self._logged_addresses = nodes
            emit(Event.ADDRESSES_CHANGED, nodes=nodes[:MAX_LOGGED_NODES], number=len(nodes))

    def _extra_metrics(self) -> dict[str, int]:
        """Return metrics that the control handler cannot read from the components it holds."""
        now = monotonic()
        alive = self.members.alive(now)
        unheard = self.renting.unheard_shares()
        unreadable = self._gossip.unreadable.total() if self._gossip is not None else 0
        speeds = self.balancer.server_speeds.summary()
        return {
            "task_failures_total": self.supervisor.failures,
            "tasks_failing": len(self.supervisor.failing()),
            "unexpected_errors_total": faults.total,
            "servers_limited": self.balancer.limited_count(),
            "services_brittle": self.balancer.notices.brittle.count(),
            "services_unreachable": len(self.balancer.reachability.unreachable()),
            "requests_relayed_total": self.forwarder.relay.relayed,
            "peers_of_other_builds": self._builds.count_different(alive),
            "news_unreadable_total": unreadable,
            "requests_and_parts_blocked": len(self.forwarder.guard.quarantine.blocks),
            **self.forwarder.evacuation.counts.metrics(),
            **self.forwarder.backups.counts.metrics(),
            **{
                f'unheard_demand_percent{{service="{service}"}}': round(100 * share)
                for service, share in unheard.items()
            },
            **self.balancer.unheard_metrics(now),
            "accounts_above_share": len(self.sharing.shares.above_share(now)),
            **self.forwarder.refusal_metrics(),
            **self.forwarder.overload.metrics(),
            **self.forwarder.move_slots.metrics(),
            "account_charges_refunded_total": self.forwarder.limits.refunds,
            **self.balancer.memory_metrics.metrics(),
            "servers_with_speed": speeds.estimated,
            "server_speed_min_percent": round(100 * speeds.smallest),
            "server_speed_max_percent": round(100 * speeds.largest),
        }

    def _stream_lifetime_s(self) -> float:
        """Return for how long after its first event a stream may be resumed.

        A plan that shortens the time limits does not shorten the deadlines of callers.
        """
        index = self.forwarder.index
        longest_s = 0.0 if index is None else index.max_stream_s + RESUMPTION_MARGIN_S
        return max(DEFAULT_LIFETIME_S, longest_s)

    def _writes_origins(self) -> bool:
        """Return whether this node writes down which versions began streams, for all nodes."""
        return self._reads_origins() and self._list_read_rank() == 0

    def _reads_origins(self) -> bool:
        """Return whether the cluster is small enough for the origins of its streams to be kept."""
        return not self.neighbours.is_large(monotonic())

    def _send_versions(self, news: VersionNews) -> None:
        """Send the row of a service's versions to all nodes that read it."""
        if self._gossip is not None:
            alive = self.members.alive(monotonic())
            self._gossip.send(news, [each.peer for each in alive if each.registers])

    def _send_origins(self, message: OriginMessage, addresses: list[str]) -> None:
        if self._gossip is not None:
            self._gossip.send(message, addresses)

    def _uses_unheard_load(self, service: str) -> bool:
        return self.switches.applies(Feature.UNHEARD_LOAD, self.forwarder.index, service)

    def _uses_loss_series(self, service: str) -> bool:
        return self.switches.applies(Feature.LOSS_SERIES, self.forwarder.index, service)

    def _uses_server_speeds(self, service: str) -> bool:
        """Return whether the relative speeds of servers are learnt and used for a service."""
        return self.switches.applies(Feature.PERFORMANCE, self.forwarder.index, service)

    def _limits(self) -> Limits:
        index = self.forwarder.index
        return index.limits if index is not None else Limits()

    async def _handle(self, request: InboundRequest, reply: Reply) -> None:
        """Forward a request, or reject it with 503 if too little time of a planned stop is left."""
        since = self._leaving_since
        if since is not None and monotonic() - since > self._stop_admission_s:
            self.forwarder.refuse(
                reply, request, Refusal(503, "the node stops", STOPPING_RETRY_AFTER_S)
            )
            return
        await self.forwarder.handle(request, reply)

    async def _handle_relayed(self, request: InboundRequest, reply: Reply) -> None:
        """Handle a request that a peer relays, since it reaches no server itself."""
        request.relayed = True
        await self._handle(request, reply)

    @property
    def _stop_admission_s(self) -> float:
        """Return for how long after the start of a planned stop new requests are admitted."""
        return self.settings.bounds.stop_s * STOP_ADMISSION_SHARE

    async def run(self, stop: asyncio.Event) -> int:
        """Serve until `stop` is set, whatever fails meanwhile, then drain; return the exit code."""
        node = self.settings.node
        if not await completes_before(stop, self._open_listeners()):
            self._close_listeners()
            emit(Event.STOPPED, node=node.id)
            return EXIT_OK
        emit(Event.LISTENING, node=node.id, hall=node.hall)
        now = monotonic()
        port = node.peers.rpartition(":")[2]
        for seed in node.seeds:
            self.neighbours.addresses.add(f"{seed.rpartition(':')[0]}:{port}", now)
        registration = Registration(
            self._store,
            node.id,
            node.peers,
            self.neighbours.addresses,
            self._backoff_scale,
            self.sharing.true_time,
        )
        start = self.supervisor.start
        start("gossip", self._gossip_forever)
        start("versions", self._register.run)
        start("origins", self._origin_log.run)
        start("plan", self.plans.watch)
        start("plan of peers", self.plans.fetch.run)
        start("fleet", self.fleet.watch)
        start("fleet of peers", self.fleet.fetch.run)
        start("members", registration.run)
        start("duties", self._duties_forever)
        start("blocks", self._quarantine_store.run)
        start("pool", self._sweep_pool_forever)
        start("callers", lambda: sweep_forever(self._caller_listener))
        start("questions", lambda: sweep_forever(self._control_listener))
        start("relayed", lambda: sweep_forever(self._relay_listener))
        await stop.wait()
        await self._drain()
        return EXIT_OK

    async def _open_listeners(self) -> None:
        """Bind all addresses, those of callers last."""
        node = self.settings.node
        self._gossip = await bind_patiently(
            node.peers, lambda: open_gossip(node.peers, self._on_message)
        )
        control = {node.control, node.directory, node.readiness}
        listeners = [
            *((address, self._control_listener) for address in control),
            (node.peers, self._relay_listener),
            (node.callers, self._caller_listener),
        ]
        for address, listener in listeners:
            server = await bind_patiently(address, partial(listen, address, listener))
            self._tcp_servers.append(server)

    def _close_listeners(self) -> None:
        if self._gossip is not None:
            self._gossip.close()
        for server in self._tcp_servers:
            server.close()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; the node's identity and listen addresses stay as they are."""
        self.settings = msgspec.structs.replace(settings, node=self.settings.node)
        self.switches.settings = settings.scheduling

    async def _drain(self) -> None:
        """Leave the directory, finish responses in flight and stop within `bounds.stop_s`."""
        began_at = monotonic()
        self.standing = Standing.LEAVING
        self._leaving_since = began_at
        emit(Event.DRAINING, node=self.settings.node.id)
        self._caller_listener.closing = True
        run_step("stop", self._send_state)
        release = asyncio.create_task(self._release_lease())
        end_at = began_at + max(0.5, self.settings.bounds.stop_s - STOP_MARGIN_S)
        earliest_end_at = began_at + min_stop_s(self.settings.bounds)
        quiet_since = monotonic()
        listeners = (self._caller_listener, self._relay_listener)
        while (now := monotonic()) < end_at:
            if any(listener.busy() or listener.has_unsent() for listener in listeners):
                quiet_since = now
            elif now >= earliest_end_at and now - quiet_since >= STOP_QUIET_S:
                break
            await asyncio.sleep(0.05)
        release.cancel()
        for server in self._tcp_servers:
            server.close()
        for listener in listeners:
            listener.close_idle()
        await self.supervisor.stop()
        run_step("stop", self._send_state)
        emit(Event.STOPPED, node=self.settings.node.id)

    async def _release_lease(self) -> None:
        """Release the lease once no duty's call is in flight."""
        async with self.duties.step_lock:
            await self.keeper.release()

    # Gossip

    def _own_state(self) -> NodeState:
        """Return this node's current state under the next sequence number."""
        now = monotonic()
        node = self.settings.node
        self._sequence += 1
        index = self.forwarder.index
        loads = self.balancer.loads()
        return NodeState(
            node.id,
            self.incarnation,
            self._sequence,
            node.hall,
            node.callers,
            node.peers,
            node.control,
            int(self.standing),
            index.version if index is not None else -1,
            self.sharing.usage.started,
            self.forwarder.limits.spent,
            loads,
            self.sharing.sends(now),
            self.balancer.placed_work,
            self.neighbours.serving,
            power_of(node.cores, node.link_mbps),
            now - self.plans.store_reached_at,
            self.sharing.offset_s(),
            self.keeper.lease_update(),
            lease_heard=self.keeper.lease_to_relay(now),
            requests_per_s=self._request_rate.per_s,
            speeds=self.balancer.speeds(now),
            age_s=now - self._started_at,
            servers=self.fleet.head(),
            rollouts=self.rollouts.updates(),
            trials=self.rollouts.trial_counts(),
            blocks=self.quarantine.digest(),
            leaving=self.balancer.notices.leaving_ahead_of_list(),
            declined=self.balancer.declined(now),
            limits=self.balancer.limits(now),
            formats=FORMATS,
            era=self._store.era.to_broadcast(),
            claims=self.balancer.claims_report(loads),
            relays=True,
            unreachable=self.balancer.reachability.unreachable(),
            reached=self.balancer.reachability.reached_recently(now),
            cut_off=self._cut_off,
            brittle=self.balancer.notices.brittle.to_broadcast(now),
            origins=True,
            part_news=True,
            server_checks=True,
            registers=True,
        )

    def _send_state(self, everyone: bool = True) -> None:
        """Send the full state to this round's targets, and a brief one to others that need it.

        With `everyone` all remaining addresses get the brief state.
        """
        if self._gossip is None:
            return
        now = monotonic()
        own = self._own_state()
        if self._caller_listener.busy():
            self.neighbours.record_busy(now)
        hints = self.neighbours.hints(now)
        targets = self.neighbours.state_targets(own, now, self.keeper.holder)
        if self.neighbours.in_slow_round:
            # Once a second: in each round, it would make states a quarter larger.
            own.shares = self.sharing.shares_report()
            own.performance = self.balancer.server_speeds.next_report(len(targets), now)
        full = StateNews(own, hints)
        large = self.neighbours.is_large(now)
        self._gossip.send(self._packer.pack(full, targets) if large else full, targets)
        brief = self.neighbours.brief_targets(own, targets, now)
        if everyone:
            sent = set(targets)
            brief = [each for each in self.neighbours.all_addresses(now) if each not in sent]
        if brief:
            self._gossip.send(pack_snapshot(StateNews(own.without_counts(), [])), brief)

    def _send_to(
        self,
        message: PermitAsk | PermitAnswer | EvacuationMessage | ServerCheckMessage,
        address: str,
    ) -> None:
        if self._gossip is not None:
            self._gossip.send(message, [address])

    def _on_placed(self) -> None:
        """Schedule the sending of new placements, batched over `PLACEMENT_BATCH_S`."""
        if self._placement_timer is None:
            loop = asyncio.get_running_loop()
            self._placement_timer = loop.call_later(PLACEMENT_BATCH_S, self._send_placements)

    def _send_placements(self) -> None:
        self._placement_timer = None
        placed = self.balancer.drain_placements()
        if self._gossip is None or not placed:
            return
        node = self.settings.node
        targets = self.neighbours.placement_targets(node.hall, monotonic())
        self._gossip.send(PlacementNews(node.id, self.incarnation, self._sequence, placed), targets)

    def _send_quarantine(
        self, message: QuarantineMessage, *, everyone: bool = False, peer: str | None = None
    ) -> None:
        if self._gossip is None:
            return
        now = monotonic()
        if peer is not None:
            targets = [peer]
        elif everyone:
            targets = self.neighbours.all_addresses(now)
        else:
            targets = self.neighbours.possible_readers(now)
        if isinstance(message, PartNews):
            readers = {each.peer for each in self.members.alive(now) if each.part_news}
            targets = [each for each in targets if each in readers]
        self._gossip.send(message, targets)

    def _is_prober(self, part: bytes) -> bool:
        """Return whether this node is the one that may send a request with a blocked part."""
        serving = [each.id for each in self.members.alive(monotonic()) if each.serving]
        if not self.neighbours.serving:
            return False
        own = self.settings.node.id
        return first_ranked(part.hex(), [own, *serving]) == own

    def _engine_of(self, server: str) -> Engine | None:
        """Return the engine of a server's service, None for an unknown or plain server."""
        view = self.balancer.views.get(server)
        index = self.forwarder.index
        if view is None or index is None:
            return None
        service = index.services.get(view.server.service)
        return service.engine if service is not None else None

    async def _gossip_forever(self) -> None:
        """Send the state each gossip round, and run what is due once per round."""
        suspension = SuspensionWatch()
        while True:
            if slept_s := suspension.slept_s():
                emit(Event.WOKEN, node=self.settings.node.id, slept_s=round(slept_s, 3))
            for step in self._round_steps(monotonic()):
                run_step("gossip round", step)
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    def _round_steps(self, now: float) -> tuple[Callable[[], object], ...]:
        """Return what is due in a gossip round; an error in one step leaves out no other."""
        return (
            self._note_list_gap,
            lambda: self._request_rate.observe(self.forwarder.handled, now),
            lambda: self._update_cut_off(now),
            lambda: self._share_state(now),
            lambda: self.sharing.apply_peers(self.balancer),
            lambda: self.sharing.update_shares(self.forwarder.index),
            lambda: self.server_limits.refresh(self.neighbours.serving),
            self.rollouts.step,
            self.forwarder.guard.block_suspects,
            self.fleet.drop_lapsed,
            lambda: self._refresh_rooms(now),
            lambda: self.balancer.tick(now),
            lambda: self.members.forget_old(now),
            self._log_addresses,
        )

    def _share_state(self, now: float) -> None:
        """Send the own state, to everyone if this node begins or ceases to serve."""
        changed = self.neighbours.update_serving(self._own_state(), now)
        if changed and self.neighbours.promoted_without_counts(now):
            self.forwarder.reset_limits()
        self._send_state(everyone=changed)

    def _note_list_gap(self) -> None:
        """Note that versions may have come and gone unseen if the list was out of date for long."""
        if not self.fleet.known:
            return
        was_fresh, self._list_was_fresh = self._list_was_fresh, self.fleet.is_fresh()
        if self._list_was_fresh and not was_fresh:
            self.balancer.versions.interrupt()

    def _refresh_rooms(self, now: float) -> None:
        """Bound the requests at brittle servers by the nodes that serve now."""
        serving = [each.id for each in self.members.alive(now) if each.serving]
        if self.neighbours.serving:
            serving.append(self.settings.node.id)
        self.balancer.refresh_rooms(self.settings.node.id, sorted(serving), now)

    def _update_cut_off(self, now: float) -> None:
        """Decide whether this node lacks a service that peers reach, and check those they lack."""
        alive = self.members.alive(now)
        lost = self.balancer.reachability.unreachable_for(CUT_OFF_DELAY_S, now)
        reached = {name for each in alive for name in each.reached if name not in each.unreachable}
        self._cut_off = any(service in reached for service in lost)
        large = self.neighbours.is_large(now)
        hall = self.settings.node.hall
        for peer in alive:
            if peer.cut_off and (not large or peer.hall == hall):
                self.forwarder.prober.check_for_peers(peer.unreachable)

    def _message_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return what handles each kind of gossip message."""
        return {
            StateNews: lambda message: self._on_state(message, monotonic()),
            PackedState: self._on_packed_state,
            PlacementNews: self._on_placements,
            PlanCheck: self._on_plan_check,
            ServerChange: self.fleet.on_change,
            EndNews: self.quarantine.on_message,
            PartNews: self.quarantine.on_message,
            ClearedNews: self.quarantine.on_message,
            BlockNews: self.quarantine.on_message,
            ServerAsk: self._server_checks.on_message,
            ServerAnswer: self._server_checks.on_message,
            PermitAsk: self.server_limits.on_message,
            PermitAnswer: self.server_limits.on_message,
            EvacuationReport: self.evacuation.on_message,
            EvacuationOrder: self.evacuation.on_message,
            OriginNews: self._origins.on_message,
            OriginAsk: self._origins.on_message,
            OriginAnswer: self._origins.on_message,
            VersionNews: self._register.on_news,
        }

    def _on_message(self, message: Message) -> None:
        """Dispatch a gossip message to the component that handles its kind."""
        self._handlers[type(message)](message)

    def _on_placements(self, message: PlacementNews) -> None:
        self.server_limits.on_placed(message)
        self.sharing.apply_placements(message, self.balancer, self._engine_of)

    def _on_plan_check(self, message: PlanCheck) -> None:
        at = monotonic() - message.age_s
        self.members.record_store_check(message.id, message.life, at)

    def _on_packed_state(self, message: PackedState) -> None:
        """Unpack a peer's state; one whose base is not here only shows that the peer is alive."""
        now = monotonic()
        unpacked = self._unpacker.unpack(message)
        if unpacked is None:
            self.members.record_alive(message.id, message.life, now)
        else:
            self._on_state(unpacked, now)

    def _on_state(self, message: StateNews, now: float) -> None:
        """Merge a peer's state unless it is outdated; answer an unknown peer with the own state."""
        state = message.state
        known = self.members.members.get(state.id)
        unknown = known is None
        started = known is None or known.state.life != state.life
        if not self.sharing.merge_state(state, self.forwarder.limits):
            return
        self._builds.check(state)
        if unknown and self._gossip is not None:
            self._gossip.send(
                StateNews(self._own_state(), self.neighbours.hints(now)), [state.peer]
            )
        if started and state.registers:
            self._send_known_versions(state, now)
        for name in state.leaving:
            self.forwarder.handle_leaving_server(name, source=state.id)
        self.balancer.notices.brittle.merge(state.brittle, state.id, now)
        self.balancer.notices.merge_peer_declines(state.declined, now)
        self.server_limits.on_state(state)
        self.rollouts.merge(state.rollouts)
        self.neighbours.addresses.add(state.peer, now)
        for address in message.addresses:
            self.neighbours.addresses.hint(address, now)
        if state.lease is not None:
            self.keeper.on_renewal(state.id, state.lease, now)
        else:
            self.keeper.on_lease_lost(state.id, now)
        if state.lease_heard is not None:
            relayed = state.lease_heard
            self.keeper.on_renewal(relayed.holder, relayed.news, now, relayed=True)
        self.quarantine.on_peer_digest(state.peer, state.blocks)
        if state.era is not None:
            self._store.era.observe(state.era.number, state.era.age_s)
        if state.servers is not None:
            self.fleet.on_head(state.servers, state.control, state.power)
        index = self.forwarder.index
        if state.plan_version > (index.version if index is not None else -1):
            version = EraVersion(number=state.plan_version)
            self.plans.fetch.add_source(state.control, version, state.power, now)

    def _send_known_versions(self, started: NodeState, now: float) -> None:
        """Send the rows of the versions of services to a node that was started just now."""
        if self._gossip is not None and not self.neighbours.is_large(now):
            for news in self._register.known_rows():
                self._gossip.send(news, [started.peer])

    def _on_rollout_changed(self, rollout: RolloutNews) -> None:
        """Broadcast a changed roll-out."""
        if self._gossip is not None and self._rollouts_sent.get(rollout.order.service) != rollout:
            self._rollouts_sent[rollout.order.service] = rollout
            self._send_state()

    def _serving_count(self) -> int:
        """Return how many nodes serve, or 0 if this one does not."""
        if not self.neighbours.serving:
            return 0
        alive = self.members.alive(monotonic())
        return 1 + sum(1 for each in alive if each.serving)

    def serving_nodes(self) -> list[NodeState]:
        """Return the nodes that callers should connect to."""
        return self.neighbours.serving_nodes(self._own_state(), monotonic())

    # Plan and server list

    def _adopt(self, plan: Plan) -> bool:
        """Adopt a plan unless a newer one is in force; return whether it is in force now."""
        if not self.forwarder.adopt(plan):
            return False
        self._register.on_list_changed()
        self._update_readiness()
        return True

    def _announce_plan(self, from_store: bool) -> None:
        """Announce a newer plan: to all peers if it came from the store, else to a random few."""
        if from_store:
            self._send_state()
        elif self._gossip is not None:
            targets = self.neighbours.random_addresses(monotonic())
            self._gossip.send(StateNews(self._own_state().without_counts(), []), targets)

    def _backoff_scale(self) -> float:
        return self.neighbours.backoff_scale(self._own_state())

    def _plan_watchers(self) -> Watchers:
        max_age_s = max_check_age_s(self.settings.bounds.apply_s)
        return self.neighbours.watchers(max_age_s, monotonic())

    def _send_plan_check(self) -> None:
        """Tell serving nodes that get few states of this node that the store answered its watch."""
        if self._gossip is None:
            return
        now = monotonic()
        targets = self.neighbours.check_targets(self.settings.node.hall, now)
        age_s = now - self.plans.store_reached_at
        self._gossip.send(PlanCheck(self.settings.node.id, self.incarnation, age_s), targets)

    def _list_read_rank(self) -> int:
        """Return this node's rank among the readers of the server list, serving nodes first."""
        return self.neighbours.rank(self._own_state(), monotonic(), reserve_first=False)

    def _apply_servers(self, servers: list[Server]) -> None:
        """Apply a changed server list to the balancer, the pool and the evacuation."""
        gone = self.balancer.apply(servers)
        self._register.on_list_changed()
        for server in gone:
            self.pool.discard(server.id)
        self.forwarder.evacuation.servers_changed(gone)
        self.forwarder.backups.servers_changed(gone)
        self._update_readiness()

    def _send_changes(self, changes: list[ServerChange], read_here: bool) -> None:
        """Send changes of the server list that this node read itself, or relay received ones."""
        if self._gossip is None:
            return
        now, own = monotonic(), self._own_state()
        choose = self.neighbours.change_targets if read_here else self.neighbours.relay_targets
        targets = choose(own, now)
        for change in changes:
            self._gossip.send(change, targets)

    def _send_confirmation(self, unchanged: ServerChange) -> None:
        """Send that the list is unchanged to the nodes that might read it next."""
        if self._gossip is not None:
            self._gossip.send(unchanged, self.neighbours.possible_readers(monotonic()))

    def _update_readiness(self) -> None:
        """Become ready once both the plan and the server list are known."""
        known = self.forwarder.index is not None and self.fleet.known
        if self.standing is Standing.STARTING and known:
            self.standing = Standing.READY
            emit(Event.READY, node=self.settings.node.id)

    # Duties and maintenance

    async def _duties_forever(self) -> None:
        """Compete for the lease and run the duties of its holder, unless this node is leaving."""
        while True:
            now = monotonic()
            if self.standing is not Standing.LEAVING and self.neighbours.has_listened(now):
                state = self._own_state()
                rank = self.neighbours.rank(state, now, True)
                await self.keeper.step(rank, self.neighbours.backoff_scale(state))
                await self.duties.step()
            await asyncio.sleep(DUTY_POLL_INTERVAL_S)

    async def _sweep_pool_forever(self) -> None:
        while True:
            await asyncio.sleep(POOL_SWEEP_INTERVAL_S)
            self.pool.sweep()

    async def _handle_control(self, request: InboundRequest, reply: Reply) -> None:
        self._control_handler.answer(request, reply, self._own_state(), self._caller_listener)
