"""The nodes and servers known from the instance list, which lags behind the cloud."""

import random
from collections.abc import Callable

from result import Err

from moledale.backing.types import Instance, InstanceKind, InstanceState, Platform
from moledale.bundle.schema import Bundle
from moledale.clock import Clock
from moledale.core.addresses import NodeView
from moledale.core.routing import ServerView, Speeds
from moledale.core.subset import Followable, select_followed
from moledale.node.messages import ServerGone, ServerLeaving, ServerMessage


class Fleet:
    """Holds the listed nodes and servers, and selects the servers that this node follows.

    `follow` is called with the view of each followed server, new or updated, and `notify` with a
    message for each one that leaves or is no longer followed.
    """

    def __init__(
        self,
        node: str,
        hall: str,
        max_followed: int,
        follow: Callable[[ServerView], None],
        notify: Callable[[ServerMessage], None],
    ) -> None:
        self.nodes: dict[str, Instance] = {}
        self.servers: dict[str, Instance] = {}
        self.followed: set[str] = set()
        self.leaving_nodes: set[str] = set()
        self.node_loads: dict[str, int] = {}
        self._node = node
        self._hall = hall
        self._max_followed = max_followed
        self._follow = follow
        self._notify = notify

    def peer_nodes(self) -> list[Instance]:
        """Return the listed nodes other than this one."""
        return [node for node in self.nodes.values() if node.id != self._node]

    def node_views(self) -> list[NodeView]:
        """Return the listed nodes, this one included, as input for choosing addresses."""
        return [
            NodeView(
                node.id,
                node.hall,
                node.address,
                node.state is not InstanceState.LIVE or node.id in self.leaving_nodes,
                self.node_loads.get(node.id, 0),
            )
            for node in self.nodes.values()
        ]

    def is_node_listed(self, node: str) -> bool:
        """Return whether a node is listed, also if it is leaving."""
        return node in self.nodes

    def apply_page(self, full: bool, instances: list[Instance], bundle: Bundle | None) -> None:
        """Apply a page of the list: a full snapshot or a delta."""
        if full:
            present = {instance.id for instance in instances}
            for gone in [name for name in self.nodes if name not in present]:
                del self.nodes[gone]
            for gone in [name for name in self.servers if name not in present]:
                self._drop_server(gone)
        for instance in instances:
            if instance.kind is InstanceKind.NODE:
                self._apply_node(instance)
            else:
                self._apply_server(instance)
        self.update_followed(bundle)

    def update_followed(self, bundle: Bundle | None) -> None:
        """Reselect the servers to follow, and report changes through `follow` and `notify`.

        Without a bundle the speeds of instance classes are unknown, and nothing changes.
        """
        if bundle is None:
            return
        known = [
            Followable(server.id, server.hall)
            for server in self.servers.values()
            if bundle.instance_class(server.instance_class) is not None
        ]
        wanted = select_followed(self._node, self._hall, known, self._max_followed)
        for server_id in self.followed - wanted:
            self._notify(ServerGone(server_id, "no longer followed"))
        for server_id in sorted(wanted):
            self._follow(server_view(self.servers[server_id], bundle))
            if self.servers[server_id].state is InstanceState.LEAVING:
                self._notify(ServerLeaving(server_id, None, "list"))
        self.followed = wanted

    def _apply_node(self, instance: Instance) -> None:
        if instance.state is InstanceState.GONE:
            self.nodes.pop(instance.id, None)
            self.leaving_nodes.discard(instance.id)
            self.node_loads.pop(instance.id, None)
        else:
            self.nodes[instance.id] = instance

    def _apply_server(self, instance: Instance) -> None:
        if instance.state is InstanceState.GONE:
            self._drop_server(instance.id)
        else:
            self.servers[instance.id] = instance

    def _drop_server(self, server: str) -> None:
        self.servers.pop(server, None)
        if server in self.followed:
            self.followed.discard(server)
            self._notify(ServerGone(server, "gone from the list"))


def server_view(instance: Instance, bundle: Bundle) -> ServerView:
    """Return a new view of a listed server; its models arrive with its first load report."""
    instance_class = bundle.instance_class(instance.instance_class)
    assert instance_class is not None, "only servers of classes in the bundle are followed"
    speeds = Speeds(
        instance_class.prefill_tokens_per_s,
        instance_class.decode_tokens_per_s,
        instance_class.slots,
    )
    return ServerView(instance.id, instance.hall, instance.address, speeds)


class FleetWatch:
    """Polls the instance list for changes."""

    def __init__(
        self,
        platform: Platform,
        fleet: Fleet,
        bundle: Callable[[], Bundle | None],
        poll_s: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._fleet = fleet
        self._bundle = bundle
        self._poll_s = poll_s
        self._clock = clock
        self._rng = rng
        self._revision = 0
        self._bundle_version = 0

    async def run(self) -> None:
        """Poll forever, with jitter."""
        while True:
            await self.poll()
            await self._clock.sleep(self._poll_s * self._rng.uniform(0.75, 1.25))

    async def poll(self) -> None:
        """Fetch and apply changes once; during an outage the last known state is kept."""
        outcome = await self._platform.instances.changes(self._revision)
        bundle = self._bundle()
        version = bundle.version if bundle is not None else 0
        if isinstance(outcome, Err):
            changed = False
        else:
            page = outcome.ok_value
            changed = page.full or bool(page.instances)
            if changed:
                self._fleet.apply_page(page.full, page.instances, bundle)
            self._revision = page.revision
        if version != self._bundle_version and not changed:
            self._fleet.update_followed(bundle)
        self._bundle_version = version
