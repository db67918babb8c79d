"""One entry instance: builds and supervises its parts, and drains without breaking streams."""

import asyncio
import random
import uuid

import msgspec
from cachetools import LRUCache
from result import Err, Ok, Result
from transitions import Machine

from moledale import problems
from moledale.backing.guard import guard_platform
from moledale.backing.types import Platform
from moledale.bundle import store
from moledale.bundle.schema import Bundle
from moledale.clock import Clock
from moledale.core.addresses import NodeView, addresses_for
from moledale.core.duties import halls_to_lease
from moledale.core.freshness import Freshness, Verdict, decide_verdict
from moledale.core.hashing import ranked
from moledale.core.routing import LoadTracker
from moledale.decoding import decode_json
from moledale.faults import await_step, faults
from moledale.log import Event, emit
from moledale.node.accounts import Accounts
from moledale.node.background import BackgroundTasks
from moledale.node.bundle_watch import BundleWatch
from moledale.node.burn import BurnCounter
from moledale.node.dispatcher import Dispatcher
from moledale.node.fleet import Fleet, FleetWatch
from moledale.node.hall_duty import HallDuty
from moledale.node.jobs import Jobs
from moledale.node.journal import Journal
from moledale.node.messages import HeadHint, ServerLeaving, ServerMessage
from moledale.node.metrics import make_metrics
from moledale.node.once import OnceCall, OnceRunner
from moledale.node.server_watch import ServerWatch
from moledale.node.services import ServiceRouter
from moledale.node.streams import GenerationRequest, StreamRecord, StreamTable
from moledale.node.supervisor import Supervisor
from moledale.node.tally import Tally
from moledale.peers.gossip import PEERS_PER_UPDATE, PEERS_PER_UPDATE_RELAY, Gossip
from moledale.peers.link import PeerLink
from moledale.peers.pb import peers_pb2
from moledale.problems import Problem
from moledale.servers.types import ModelServers, PlainServices, ServiceAnswer, ServiceCall
from moledale.settings import Secrets, Settings

MAX_HANDOVER_ATTEMPTS = 3
"""Peers to which a draining node offers a stream before it finishes the stream itself."""

STATE_POLL_INTERVAL_S = 1.0
"""Interval of the checks of readiness and of hall duties."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval of the checks whether open requests have ended, or the first bundle has arrived."""

GOSSIP_BATCH_DELAY_S = 0.02
"""Delay that batches updates for peers, for example when all servers of a hall leave at once."""

ISOLATION_CHECK_SHARE = 0.25
"""Share of the isolation grace period at which a node checks whether it is isolated, so that peers
that don't answer can be passed over within the rest of it."""

LEAVING_GOSSIP_TTL_S = 30.0
"""Time for which a leaving server stays in this node's digests."""

MAX_LEAVING_REMEMBERED = 2_000
"""Leaving servers that a node remembers so that it relays each of them only once."""


class OnceWork(msgspec.Struct, frozen=True):
    """A non-repeatable call: exactly one of the two fields is set."""

    service: ServiceCall | None = None
    generation: GenerationRequest | None = None


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


class Node:
    """Builds and owns all parts of one entry instance except the sockets for callers."""

    state: str

    def __init__(
        self,
        settings: Settings,
        secrets: Secrets,
        platform: Platform,
        servers: ModelServers,
        services: PlainServices,
        link: PeerLink,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.secrets = secrets
        self.id = settings.node.id
        self.incarnation = uuid.uuid4().hex
        Machine(
            model=self,
            states=["starting", "serving", "draining", "stopped"],
            initial="starting",
            auto_transitions=False,
            transitions=[
                {"trigger": "to_serve", "source": "starting", "dest": "serving"},
                {"trigger": "to_drain", "source": ["starting", "serving"], "dest": "draining"},
                {"trigger": "to_stop", "source": "*", "dest": "stopped"},
            ],
        )
        self.clock = clock
        self.rng = rng
        self.platform, self._table_guard = guard_platform(platform, clock, rng)
        limits, times = settings.limits, settings.times
        self.bundles = BundleWatch(
            self.platform,
            settings.operators,
            settings.platform.poll_s,
            lambda: self.gossip_soon(PEERS_PER_UPDATE_RELAY),
            clock,
            rng,
        )
        self.burn = BurnCounter(self.id)
        self.metrics = make_metrics(settings.metrics)
        self.streams = StreamTable(
            limits.streams, limits.finished_streams, limits.finished_stream_s
        )
        self.load_tracker = LoadTracker(limits.sessions)
        self.dispatcher = Dispatcher(
            settings.node.hall,
            servers,
            self.streams,
            self.load_tracker,
            Tally(self.burn, self.metrics, self.bundle, clock),
            self.bundle,
            limits.queue,
            clock,
            rng,
        )
        self.fleet = Fleet(
            self.id,
            settings.node.hall,
            limits.followed_servers,
            self.dispatcher.follow,
            self._handle_list_message,
        )
        self.journal = Journal(
            self.platform.table, self._commit_interval_s, limits.journal_bytes, clock
        )
        self.accounts = Accounts(self.bundle, lambda: len(self.fleet.nodes), clock)
        self.services = ServiceRouter(services, self.bundle, rng, clock.monotonic)
        self._link = link
        self.once = OnceRunner(
            self.id,
            self.incarnation,
            secrets.peer,
            self.platform.table,
            self.journal,
            self,
            self._dispatch_once,
            limits.idempotency_keys,
            clock,
        )
        self.jobs = Jobs(
            self.id,
            self.incarnation,
            settings.node.hall,
            self.platform,
            self.journal,
            self.dispatcher,
            clock,
        )
        self._fleet_watch = FleetWatch(
            self.platform, self.fleet, self.bundle, settings.platform.poll_s, clock, rng
        )
        self._server_watch = ServerWatch(
            servers,
            self.load_tracker,
            self.dispatcher.handle,
            times.load_poll_s,
            limits.load_polls_per_s,
            clock,
            rng,
        )
        self._gossip = Gossip(
            self._link, self.fleet, self.own_digest, self._apply_digest, times.gossip_s, clock, rng
        )
        self._servers = servers
        self.supervisor = Supervisor("node", clock)
        self._duties: dict[str, HallDuty] = {}
        self._duty_supervisor = Supervisor("duties", clock)
        self._peer_contact_at: float | None = None
        self._leaving_to_gossip: dict[str, float] = {}
        # Bounded, so that a server reported again much later is relayed again.
        self._leaving_seen: LRUCache[str, bool] = LRUCache(MAX_LEAVING_REMEMBERED)
        self._logged_verdict = Verdict.UNCONFIRMED
        self._background = BackgroundTasks("news")
        self._pending_fanout = 0

    @property
    def draining(self) -> bool:
        """Whether a planned stop has started."""
        return self.state in ("draining", "stopped")

    @property
    def table_reachable(self) -> bool:
        """Whether the table service is reachable according to this node's circuit breaker."""
        return self._table_guard.reachable

    def bundle(self) -> Bundle | None:
        """Return the current bundle, or None before the first is adopted."""
        return self.bundles.bundle

    def _commit_interval_s(self) -> float:
        """Return the journal's commit interval, which grows with the number of nodes.

        Together all nodes stay within the table's limit on journal writes per second.
        """
        writes = self.settings.limits.journal_writes_per_s
        return max(self.settings.times.commit_interval_s, len(self.fleet.nodes) / writes)

    async def start(self) -> int:
        """Start all tasks; return the port that peers connect to."""
        port = await self._link.serve(self)
        self.supervisor.start("journal", self.journal.run)
        self.supervisor.start("bundle", self.bundles.run)
        self.supervisor.start("fleet", self._fleet_watch.run)
        self.supervisor.start("servers", self._server_watch.run)
        self.supervisor.start("dispatcher", self.dispatcher.run)
        self.supervisor.start("gossip", self._gossip.run)
        self.supervisor.start("standing", self._report_readiness)
        self.supervisor.start("isolation", self._check_isolation)
        self.supervisor.start("own-jobs", self._adopt_own_jobs)
        self.supervisor.start("duty-choice", self._choose_duties)
        self.supervisor.start_supervisor(self._duty_supervisor)
        self.to_serve()  # type: ignore[attr-defined]
        return port

    async def drain(self) -> None:
        """Drain for a planned stop: let requests finish, and hand over those that don't in time."""
        self.to_drain()  # type: ignore[attr-defined]
        emit(Event.DRAINING, open=self.dispatcher.open_requests, jobs=self.jobs.open_jobs)
        await self._gossip.exchange(PEERS_PER_UPDATE)
        await self.jobs.release_all()
        deadline = self.clock.monotonic() + self.settings.times.drain_s
        while self.dispatcher.open_requests and self.clock.monotonic() < deadline:
            await self.clock.sleep(DRAIN_POLL_INTERVAL_S)
        await asyncio.gather(*(self._hand_over(record) for record in self.streams.live()))
        # Requests that no peer accepted finish here, however long that takes.
        while self.dispatcher.open_requests:
            await self.clock.sleep(DRAIN_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stop all tasks in reverse order of their start, and close the link to peers."""
        await self.supervisor.stop()
        await self._link.close()
        self.to_stop()  # type: ignore[attr-defined]

    async def _hand_over(self, record: StreamRecord) -> None:
        """Hand a stream over to a peer, ranked by the request id so that any node can find it."""
        await self.dispatcher.suspend(record)
        if record.ended:
            return
        for view in self.successors(record.request.id)[:MAX_HANDOVER_ATTEMPTS]:
            peer = self.fleet.nodes[view.id]
            outcome = await self._link.hand_over(peer.peer_address, record)
            if not isinstance(outcome, Err):
                emit(Event.STREAM_HANDED, request=record.request.id, peer=peer.id)
                self.dispatcher.finish_handover(record, peer.address)
                return
        self.dispatcher.resume(record)

    def successors(self, request_id: str) -> list[NodeView]:
        """Return the peers that may take over a stream, in order of preference."""
        staying = {
            view.id: view
            for view in self.fleet.node_views()
            if not view.leaving and view.id != self.id
        }
        return [staying[name] for name in ranked(request_id, staying)]

    def _peer_contact_ago_s(self) -> float | None:
        """Return the seconds since a peer was heard, None if none was."""
        at = self._peer_contact_at
        return None if at is None else self.clock.monotonic() - at

    def verdict(self) -> Verdict:
        """Return whether new requests may be accepted, by how recently the bundle was confirmed."""
        view = Freshness(
            self.bundles.version,
            self.bundles.confirmed_ago_s(),
            self._peer_contact_ago_s(),
            len(self.fleet.peer_nodes()),
            self.bundles.newest_version_seen,
        )
        return decide_verdict(view, self.settings.times.isolation_grace_s)

    def refusal(self) -> Problem | None:
        """Return the problem with which new requests are rejected now, or None to accept them."""
        if self.draining:
            return problems.unavailable("this node is leaving; use another address", 1)
        verdict = self.verdict()
        if verdict is Verdict.UNCONFIRMED:
            return problems.unavailable("this node has not confirmed its bundle yet", 1)
        if verdict is Verdict.ISOLATED:
            return problems.unavailable("this node is cut off from platform and peers", 2)
        return None

    def addresses(self, session: str) -> list[NodeView]:
        """Return the nodes that a session's caller should use, in order of preference."""
        self.fleet.node_loads[self.id] = self.dispatcher.open_requests
        return addresses_for(session, self.fleet.node_views())

    def failing_tasks(self) -> int:
        """Return how many of the supervised tasks fail again and again."""
        return len(self.supervisor.failing()) + len(self._duty_supervisor.failing())

    async def _report_readiness(self) -> None:
        while True:
            verdict = self.verdict()
            if verdict is not self._logged_verdict:
                self._logged_verdict = verdict
                event = Event.READY if verdict is Verdict.SERVE else Event.NOT_READY
                emit(
                    event,
                    verdict=verdict.value,
                    version=self.bundles.version,
                    confirmed_s=_rounded(self.bundles.confirmed_ago_s()),
                    peer_contact_s=_rounded(self._peer_contact_ago_s()),
                )
            self.metrics.gauge("open_requests", self.dispatcher.open_requests)
            self.metrics.gauge("waiting", self.dispatcher.waiting)
            self.metrics.gauge("tasks_failing", self.failing_tasks())
            self.metrics.gauge("unexpected_errors", faults.total)
            await self.clock.sleep(STATE_POLL_INTERVAL_S)

    async def _check_isolation(self) -> None:
        """Ask peers while the bundle is not confirmed, as gossip rounds may be too far apart."""
        grace_s = self.settings.times.isolation_grace_s
        while True:
            await self.clock.sleep(grace_s * ISOLATION_CHECK_SHARE)
            confirmed_s = self.bundles.confirmed_ago_s()
            contact_s = self._peer_contact_ago_s()
            limit_s = grace_s * ISOLATION_CHECK_SHARE
            if confirmed_s is None or confirmed_s <= limit_s:
                continue
            if contact_s is None or contact_s > limit_s:
                await self._gossip.find_peer()

    async def _adopt_own_jobs(self) -> None:
        """Adopt the jobs of earlier incarnations of this node, once there is a bundle."""
        while self.bundles.version == 0:
            await self.clock.sleep(DRAIN_POLL_INTERVAL_S)
        await self.jobs.adopt_orphans(self.settings.node.hall, lambda _: True)

    async def _choose_duties(self) -> None:
        """Compete for the hall leases assigned to this node; a started duty is never stopped."""
        while True:
            bundle = self.bundle()
            halls = [hall.name for hall in bundle.halls] if bundle is not None else []
            own = self.settings.node.hall
            for hall in halls_to_lease(self.id, own, self.fleet.node_views(), halls):
                if hall not in self._duties and bundle is not None:
                    self._start_duty(hall)
            await self.clock.sleep(STATE_POLL_INTERVAL_S)

    def _start_duty(self, hall: str) -> None:
        duty = HallDuty(
            hall,
            self.id,
            self.platform,
            self._servers,
            self.fleet,
            self.jobs,
            self.bundle,
            self.handle_leaving_server,
            self.settings.times,
            self.clock,
            self.rng,
        )
        self._duties[hall] = duty
        self._duty_supervisor.start(f"hall/{hall}", duty.run)

    def leases_held(self) -> list[str]:
        """Return the names of the leases that this node holds now."""
        now = self.clock.monotonic()
        return [d.lease.name for d in self._duties.values() if d.lease.grant(now) is not None]

    def handle_leaving_server(self, message: ServerLeaving) -> None:
        """Handle a notice received by this node that a server is leaving, and gossip it soon."""
        self.dispatcher.handle(message)
        self._leaving_seen[message.server] = True
        self._leaving_to_gossip[message.server] = self.clock.monotonic()
        self.gossip_soon()

    def _handle_list_message(self, message: ServerMessage) -> None:
        """Handle a change from the instance list, and relay to peers if a server is leaving."""
        self.dispatcher.handle(message)
        if isinstance(message, ServerLeaving):
            self._relay_leaving(message.server)

    def gossip_soon(self, peers: int = PEERS_PER_UPDATE) -> None:
        """Exchange digests with several peers after a short delay that batches updates."""
        if self._pending_fanout == 0:
            self._background.start(self._gossip_after_delay())
        self._pending_fanout = max(self._pending_fanout, peers)

    async def _gossip_after_delay(self) -> None:
        await self.clock.sleep(GOSSIP_BATCH_DELAY_S)
        peers, self._pending_fanout = self._pending_fanout, 0
        await self._gossip.exchange(peers)

    def own_digest(self) -> peers_pb2.DigestMessage:
        """Return this node's state as a digest for peers."""
        confirmed = self.bundles.confirmed_ago_s()
        oldest = self.clock.monotonic() - LEAVING_GOSSIP_TTL_S
        self._leaving_to_gossip = {
            s: at for s, at in self._leaving_to_gossip.items() if at >= oldest
        }
        return peers_pb2.DigestMessage(
            node=self.id,
            hall=self.settings.node.hall,
            bundle_version=self.bundles.version,
            confirmed_ago_ms=round((confirmed if confirmed is not None else 1e6) * 1000),
            table_reachable=self.table_reachable,
            leaving=self.draining,
            leaving_servers=list(self._leaving_to_gossip),
            open_requests=self.dispatcher.open_requests,
            demand=self.accounts.demand(),
        )

    def exchange_digest(self, message: peers_pb2.DigestMessage) -> peers_pb2.DigestMessage:
        """Apply a peer's digest and return this node's own."""
        self._apply_digest(message)
        return self.own_digest()

    def _apply_digest(self, message: peers_pb2.DigestMessage) -> None:
        self._peer_contact_at = self.clock.monotonic()
        if message.leaving:
            self.fleet.leaving_nodes.add(message.node)
        else:
            self.fleet.leaving_nodes.discard(message.node)
        self.fleet.node_loads[message.node] = message.open_requests
        self.accounts.record_peer_demand(message.node, dict(message.demand))
        hint = HeadHint(message.bundle_version, message.confirmed_ago_ms / 1000, message.node)
        if hint.version >= self.bundles.version:
            self.bundles.hints.put(hint)
        for server in message.leaving_servers:
            self.dispatcher.handle(ServerLeaving(server, None, f"peer {message.node}"))
            self._relay_leaving(server)

    def _relay_leaving(self, server: str) -> None:
        """Gossip to a few peers that a server is leaving, unless this node has done so already."""
        if server in self._leaving_seen:
            return
        self._leaving_seen[server] = True
        self._leaving_to_gossip[server] = self.clock.monotonic()
        self.gossip_soon(PEERS_PER_UPDATE_RELAY)

    def adopt_stream(self, record: StreamRecord) -> str | None:
        """Adopt a live stream from a leaving peer; return why not, or None on success.

        Idempotent: a stream that this node already has counts as adopted.
        """
        if self.streams.get(record.request.id) is not None:
            return None
        if self.draining:
            return "leaving"
        if self.streams.full:
            return "full"
        self.dispatcher.adopt(record)
        return None

    async def run_once(self, node: str, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Forward a call to the node that owns its idempotency key."""
        peer = self.fleet.nodes.get(node)
        if peer is None:
            return Err(problems.outcome_unknown(f"node {node}, which took the key, is gone"))
        return await self._link.run_once(peer.peer_address, call)

    async def run_once_locally(self, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Run a call that a peer forwarded."""
        return await self.once.run(call)

    async def _dispatch_once(self, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        work = decode_json(call.encoded, OnceWork)
        if work.service is not None:
            return await self.services.call(work.service)
        assert work.generation is not None, "exactly one field is set"
        return await self.generate_to_completion(work.generation)

    async def generate_to_completion(
        self, request: GenerationRequest
    ) -> Result[ServiceAnswer, Problem]:
        """Run a generation to its end; return its finish reason and tokens as a JSON list."""
        submitted = self.dispatcher.submit(request)
        if isinstance(submitted, Err):
            return submitted
        record = submitted.ok_value
        await record.wait_ended()
        if record.problem is not None:
            return Err(record.problem)
        if record.successor is not None:
            return Err(problems.outcome_unknown(f"the stream went on at {record.successor}"))
        body = msgspec.json.encode([record.reason or "", *record.tokens])
        return Ok(ServiceAnswer(200, "application/json", body))

    async def roll(self, signed: store.SignedBundle) -> Result[store.Head, store.RollRefusal]:
        """Move the bundle head to a version signed by operators, adopt it here and gossip it."""
        outcome = await store.roll(
            self.platform, signed, self.settings.operators, self.clock.wall()
        )
        if isinstance(outcome, Ok):
            emit(Event.BUNDLE_ROLLED, version=outcome.ok_value.version)
            await await_step("bundle", self.bundles.poll())
            self.gossip_soon()
        return outcome
