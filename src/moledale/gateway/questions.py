"""Answers control requests: node addresses, readiness, metrics and documents for peers."""

from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec

from moledale.clock import monotonic
from moledale.gateway.document_archive import DocumentArchive, PieceRequest
from moledale.gateway.document_fetch import PLAN_PATH, SERVERS_PATH
from moledale.gateway.entry import ControlRequestKind, EntryDialect
from moledale.gateway.inbound import Listener
from moledale.gateway.messages import InboundRequest
from moledale.gateway.neighbours import Neighbours
from moledale.gateway.peers import NodeState, Standing
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.reply import Reply

METRICS_PATH = b"/metrics"


class ControlHandler:
    """Answers control requests from the state of the node's components."""

    def __init__(
        self,
        entry: EntryDialect,
        neighbours: Neighbours,
        plans: DocumentArchive,
        servers: DocumentArchive,
        pool: ConnectionPool,
        address_ttl_s: float,
        extra_metrics: Callable[[], dict[str, int]] = dict,
    ) -> None:
        self._entry = entry
        self._neighbours = neighbours
        self._archives = {PLAN_PATH: plans, SERVERS_PATH: servers}
        self._pool = pool
        self._address_ttl_s = address_ttl_s
        self._extra_metrics = extra_metrics

    def answer(
        self, request: InboundRequest, reply: Reply, own: NodeState, callers: Listener
    ) -> None:
        """Answer a control request, or any other one with 404."""
        path, _, query = request.head.target.decode("latin-1").partition("?")
        if path in self._archives:
            self._send_piece(reply, self._archives[path], query)
            return
        if request.head.target == METRICS_PATH:
            reply.send_whole(200, [(b"Content-Type", b"text/plain")], self._metrics(own, callers))
            return
        control_request = self._entry.parse_control_request(request.head)
        if control_request is None:
            reply.send_whole(404, [], b"")
        elif control_request.kind is ControlRequestKind.READY:
            reply.send_whole(200 if own.standing == Standing.READY else 503, [], b"")
        else:
            self._send_addresses(reply, own)

    def _send_piece(self, reply: Reply, archive: DocumentArchive, query: str) -> None:
        """Answer a peer that fetches a document; 503 without one or over the rate limit."""
        try:
            wanted = msgspec.convert(dict(parse_qsl(query)), PieceRequest, strict=False)
        except msgspec.ValidationError:
            reply.send_whole(400, [], b"")
            return
        piece = archive.piece(wanted)
        if piece is None:
            reply.send_whole(503, [], b"")
        else:
            reply.send_whole(200, [], msgspec.msgpack.encode(piece))

    def _send_addresses(self, reply: Reply, own: NodeState) -> None:
        """Answer with the addresses of serving nodes; 503 while too few nodes are known."""
        now = monotonic()
        addresses = [each.address for each in self._neighbours.serving_nodes(own, now)]
        if not addresses or not self._neighbours.can_direct_callers(own, now):
            reply.send_whole(503, [], b"")
            return
        headers, body = self._entry.addresses(addresses, self._address_ttl_s)
        reply.send_whole(200, headers, body)

    def _metrics(self, own: NodeState, callers: Listener) -> bytes:
        metrics = {
            "plan_version": own.plan_version,
            "standing": own.standing,
            "serving": int(own.serving),
            "connections": len(callers.connections),
            "busy": callers.busy(),
            "upstream_opened_total": self._pool.opened,
            "peers": len(self._neighbours.members.alive(monotonic())),
            **self._extra_metrics(),
        }
        return "".join(f"moledale_{name} {value}\n" for name, value in metrics.items()).encode()
