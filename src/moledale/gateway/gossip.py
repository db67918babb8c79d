"""Gossip between nodes over UDP: states in rounds, changes of the server list at once.

Datagrams suffice because each state replaces the one before it. Nothing is retransmitted, an
unreachable peer costs no connection, and a starting node is known to others within one round.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import lru_cache
from ipaddress import IPv4Address
from typing import get_args

import msgspec

from moledale.faults import record_fault
from moledale.gateway.messages import Placed
from moledale.gateway.peers import NodeState
from moledale.gateway.permits import PermitAnswer, PermitAsk
from moledale.gateway.quarantine_sharing import BlockNews, ClearedNews, EndNews, PartNews
from moledale.gateway.server_list import ServerChange
from moledale.log import Event, emit
from moledale.quarantine.server_checks import ServerAnswer, ServerAsk
from moledale.scheduling.evacuation_coordinator import EvacuationOrder, EvacuationReport
from moledale.streams.origins import OriginAnswer, OriginAsk, OriginNews
from moledale.streams.version_register import VersionNews


class StateNews(msgspec.Struct, array_like=True, tag="state"):
    """A node's own state and some addresses of other nodes that it knows."""

    state: NodeState
    addresses: list[str]


class PackedState(msgspec.Struct, array_like=True, tag="packed"):
    """A compressed `StateNews`; `base` is the sequence of the snapshot it is a delta to, or -1."""

    id: str
    life: int
    base: int
    frame: bytes


class PlacementNews(msgspec.Struct, array_like=True, tag="placed"):
    """A node's placements since the last ones it sent; `sequence` is that of its last state."""

    id: str
    life: int
    sequence: int
    placed: list[Placed]


class PlanCheck(msgspec.Struct, array_like=True, tag="plan check"):
    """States that the store answered a node's watch for plans `age_s` ago."""

    id: str
    life: int
    age_s: float


Message = (
    StateNews
    | PackedState
    | ServerChange
    | PlacementNews
    | PlanCheck
    | EndNews
    | PartNews
    | ClearedNews
    | BlockNews
    | ServerAsk
    | ServerAnswer
    | PermitAsk
    | PermitAnswer
    | EvacuationReport
    | EvacuationOrder
    | OriginNews
    | OriginAsk
    | OriginAnswer
    | VersionNews
)
MESSAGES: tuple[type[msgspec.Struct], ...] = get_args(Message)

MAX_UNREADABLE_KINDS = 32
"""Kinds of unreadable messages that are counted separately. It bounds the memory, since anyone may
send anything to the port."""

MAX_KIND_CHARS = 32
"""Kinds are cut to this length; those of this build are shorter."""

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)

OTHER_KINDS = "others"
"""Kind under which messages are counted beyond `MAX_UNREADABLE_KINDS`."""

MAX_ADDRESSES = 4_096
"""Parsed addresses of peers that are remembered."""

MAX_PORT = 65_535
"""Highest port number of UDP."""

NO_KIND = "no message"
"""Kind of datagrams that name none."""


def claimed_kind(data: bytes) -> str:
    """Return the kind that an unreadable message claims to be, `NO_KIND` if it names none."""
    try:
        parts = msgspec.msgpack.decode(data)
    except msgspec.DecodeError:
        return NO_KIND
    if isinstance(parts, list) and parts and isinstance(parts[0], str):
        return parts[0][:MAX_KIND_CHARS]
    return NO_KIND


@lru_cache(MAX_ADDRESSES)
def _socket_address(address: str) -> tuple[str, int] | None:
    """Return `host:port` as a socket takes it, or None, once logged, if it is no such address.

    The event loop would look a name up, and close the socket when that fails.
    """
    host, _, port = address.rpartition(":")
    try:
        ip, number = str(IPv4Address(host)), int(port)
        if not 0 < number <= MAX_PORT:
            raise ValueError(f"no port: {port[:MAX_KIND_CHARS]}")
    except ValueError as error:
        record_fault("gossip address", error)
        return None
    return ip, number


class GossipSocket(asyncio.DatagramProtocol):
    """UDP endpoint that encodes and sends messages, and decodes received ones."""

    def __init__(self, on_message: Callable[[Message], None]) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self.unreadable: Counter[str] = Counter()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message; an unreadable one is counted by kind and dropped."""
        try:
            message = _decoder.decode(data)
        except msgspec.DecodeError as error:
            self._record_unreadable(claimed_kind(data), addr[0], str(error))
            return
        try:
            self._on_message(message)
        except Exception as error:
            record_fault(f"message {type(message).__name__}", error)

    def _record_unreadable(self, kind: str, sender: str, why: str) -> None:
        """Count an unreadable message and log the first of its kind.

        It comes from another build or is no message at all.
        """
        if kind not in self.unreadable and len(self.unreadable) >= MAX_UNREADABLE_KINDS:
            kind = OTHER_KINDS
        self.unreadable[kind] += 1
        if self.unreadable[kind] == 1:
            emit(Event.FORMAT_REFUSED, kind=kind, sender=sender, why=why)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the socket closed because of an error."""
        if exc is not None:
            record_fault("gossip socket", exc)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as a closed port of a peer; a silent peer is detected by a timeout."""

    def send(self, message: Message, addresses: list[str]) -> None:
        """Send a message to each address; do nothing while the socket is not open."""
        if self._transport is None or self._transport.is_closing():
            return
        data = _encoder.encode(message)
        for address in addresses:
            target = _socket_address(address)
            if target is not None:
                self._transport.sendto(data, target)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_gossip(address: str, on_message: Callable[[Message], None]) -> GossipSocket:
    """Bind the gossip socket at `host:port`."""
    host, _, port = address.rpartition(":")
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: GossipSocket(on_message), local_addr=(host, int(port))
    )
    return protocol
