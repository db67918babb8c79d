"""A node's part in the evacuation plans of all nodes: reports, orders and plans that it makes."""

import asyncio
from collections.abc import Callable

from moledale.clock import monotonic
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.evacuation import Evacuation
from moledale.gateway.peers import Membership, Standing
from moledale.gateway.plan import Engine, PlanIndex
from moledale.gateway.server_view import ServerView
from moledale.log import Event, emit
from moledale.scheduling.engine_memory import ServerClaims
from moledale.scheduling.evacuation import StreamOffer, Target
from moledale.scheduling.evacuation_coordinator import (
    ClusterView,
    Coordinator,
    EvacuationMessage,
    EvacuationOrder,
    EvacuationReport,
    select_coordinator,
)
from moledale.scheduling.stream_runs import END_UNCERTAINTY_S, Leaving, link_of
from moledale.scheduling.switches import Feature, Switches


class EvacuationSharing:
    """Exchanges reports and orders with other nodes, and coordinates servers for them.

    `formats` is the digest of this build's message formats. `serving` returns whether this node
    serves. `send` sends a message to an address.
    """

    def __init__(
        self,
        own_id: str,
        own_peer_address: str,
        formats: str,
        evacuation: Evacuation,
        balancer: LoadBalancer,
        members: Membership,
        switches: Switches,
        index: Callable[[], PlanIndex | None],
        serving: Callable[[], bool],
        send: Callable[[EvacuationMessage, str], None],
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._own_id = own_id
        self._own_peer_address = own_peer_address
        self._formats = formats
        self._evacuation = evacuation
        self._balancer = balancer
        self._members = members
        self._switches = switches
        self._index = index
        self._serving = serving
        self._send = send
        self._now = now
        self._coordinator = Coordinator(own_id)
        evacuation.coordination = self

    def applies(self, service: str) -> bool:
        """Return whether evacuations of a service are coordinated."""
        return self._switches.applies(Feature.EVACUATION, self._index(), service)

    def report(self, leaving: Leaving, sequence: int, streams: list[StreamOffer]) -> None:
        """Send the streams on a leaving server to its coordinator, which may be this node."""
        server = leaving.server
        report = EvacuationReport(
            self._own_id,
            self._own_peer_address,
            sequence,
            server.id,
            server.service,
            server.hall,
            max(0, round((leaving.ends_at + END_UNCERTAINTY_S - self._now()) * 1000)),
            streams,
        )
        addresses = self._candidates()
        selected = select_coordinator(server.id, addresses)
        if selected is None or selected == self._own_id:
            self._on_report(report)
        else:
            self._send(report, addresses[selected])

    def _candidates(self) -> dict[str, str]:
        """Return the nodes that may coordinate, with their addresses: those heard of this build.

        Nodes of another build may not know the messages.
        """
        alive = self._members.alive(self._now())
        addresses = {
            each.id: each.peer
            for each in alive
            if each.serving and each.standing != Standing.LEAVING and each.formats == self._formats
        }
        if self._serving() or not addresses:
            addresses[self._own_id] = self._own_peer_address
        return addresses

    def on_message(self, message: EvacuationMessage) -> None:
        """Handle a report of another node, or an order for this one."""
        if isinstance(message, EvacuationOrder):
            self._evacuation.on_order(message)
        elif self.applies(message.service):
            self._on_report(message)

    def _on_report(self, report: EvacuationReport) -> None:
        now = self._now()
        plan_at = self._coordinator.on_report(report, now)
        if plan_at is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(plan_at - now, self._plan, report.server, report.service)

    def _plan(self, server: str, service: str) -> None:
        """Make a plan for a server, and send the orders that changed."""
        index = self._index()
        found = index.services.get(service) if index is not None else None
        if found is None or found.engine is None:
            return
        now = self._now()
        cluster = self._cluster_view(server, service, found.engine)
        result = self._coordinator.plan(server, cluster, now)
        if result.again_in_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(result.again_in_s, self._plan_again, server, service, now)
        for address, order in result.orders:
            if address == self._own_peer_address:
                self._evacuation.on_order(order)
            else:
                self._send(order, address)
        emit(
            Event.EVACUATION_PLANNED,
            server=server,
            streams=result.streams,
            planned=result.planned,
            uncounted=result.uncounted,
            orders=len(result.orders),
            left_s=round(result.left_s, 2),
        )

    def _plan_again(self, server: str, service: str, planned_at: float) -> None:
        """Make the plan for a server again unless that was done since `planned_at`."""
        if self._coordinator.planned_at(server) == planned_at:
            self._plan(server, service)

    def _cluster_view(self, server: str, service: str, engine: Engine) -> ClusterView:
        """Return what is known of the servers to which streams of a leaving server may move."""
        now = self._now()
        leaving = self._evacuation.leaving_halls(service)
        version = self._evacuation.version_of(server)
        excluded = self._balancer.other_versions(service, version) | leaving.keys()
        stream_tokens = self._evacuation.mean_final_tokens(service)
        views = self._balancer.group(service).views.values()
        targets = [
            _free_room(view, engine, stream_tokens, self._balancer.claims.at(view.server.id))
            for view in views
            if view.server.id not in excluded and _takes_streams(view, now)
        ]
        nodes = frozenset({self._own_id, *(each.id for each in self._members.alive(now))})
        return ClusterView(targets, leaving, nodes, link_of(engine))


def _takes_streams(view: ServerView, now: float) -> bool:
    """Return whether a server takes new work and was neither silent nor full lately."""
    return not view.is_closed(now) and not view.is_deprioritized(now)


def _free_room(
    view: ServerView, engine: Engine, stream_tokens: int, claims: ServerClaims
) -> Target:
    """Return a server as a target, with the slots and tokens that its known requests leave.

    Requests whose claims on its memory are not known count as usual streams.
    """
    running = view.total_running
    slots = max(0, engine.slots - running)
    unknown = max(0, running - claims.requests)
    tokens = max(0, engine.cache_tokens - claims.tokens - unknown * stream_tokens)
    return Target(view.server.id, view.server.hall, slots, tokens, speed=view.relative_speed)
