"""News between nodes by datagrams: own state often, changes of the list of servers at once.

Datagrams fit since a state replaces the one before it: nothing is sent again, a dark peer costs
no connection, and a node that starts is heard of within one round.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import get_args

import msgspec

from moledale.gateway.messages import Placed
from moledale.gateway.peers import NodeState
from moledale.gateway.permits import PermitAnswer, PermitAsk
from moledale.gateway.quarantine_sharing import BlockNews, ClearedNews, EndNews
from moledale.gateway.server_list import ServerChange
from moledale.log import Event, emit


class StateNews(msgspec.Struct, array_like=True, tag="state"):
    """A node's own state and some addresses of nodes it has heard of."""

    state: NodeState
    addresses: list[str]


class PackedState(msgspec.Struct, array_like=True, tag="packed"):
    """A `StateNews` of a node, compressed; `base` is the sequence of the state it is made from."""

    id: str
    life: int
    base: int
    frame: bytes


class PlacementNews(msgspec.Struct, array_like=True, tag="placed"):
    """What a node placed since it last told; `sequence` is that of its last state."""

    id: str
    life: int
    sequence: int
    placed: list[Placed]


Message = (
    StateNews
    | PackedState
    | ServerChange
    | PlacementNews
    | EndNews
    | ClearedNews
    | BlockNews
    | PermitAsk
    | PermitAnswer
)
MESSAGES: tuple[type[msgspec.Struct], ...] = get_args(Message)

MAX_UNREADABLE_KINDS = 32
"""Kinds of messages that can't be read which are told apart, whatever is sent to the port."""

MAX_KIND_CHARS = 32
"""Letters of a kind that are kept: those of this build have fewer."""

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


OTHER_KINDS = "others"
NO_KIND = "no message"


def claimed_kind(data: bytes) -> str:
    """Return the name that a message which can't be read gives itself."""
    try:
        parts = msgspec.msgpack.decode(data)
    except msgspec.DecodeError:
        return NO_KIND
    if isinstance(parts, list) and parts and isinstance(parts[0], str):
        return parts[0][:MAX_KIND_CHARS]
    return NO_KIND


class GossipSocket(asyncio.DatagramProtocol):
    """The socket that news go through."""

    def __init__(self, heard: Callable[[Message], None]) -> None:
        self._on_message = heard
        self._transport: asyncio.DatagramTransport | None = None
        self.unreadable: Counter[str] = Counter()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Read a message; what can't be read is counted by kind and dropped."""
        try:
            message = _decoder.decode(data)
        except msgspec.DecodeError as error:
            self._record_unreadable(claimed_kind(data), addr[0], str(error))
            return
        self._on_message(message)

    def _record_unreadable(self, kind: str, sender: str, why: str) -> None:
        """Count a message of another build, or of nobody; the first of a kind is logged."""
        if kind not in self.unreadable and len(self.unreadable) >= MAX_UNREADABLE_KINDS:
            kind = OTHER_KINDS
        self.unreadable[kind] += 1
        if self.unreadable[kind] == 1:
            emit(Event.FORMAT_REFUSED, kind=kind, sender=sender, why=why)

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed: its silence tells as much."""

    def send(self, message: Message, addresses: list[str]) -> None:
        """Send a message to some addresses."""
        if self._transport is None or self._transport.is_closing():
            return
        data = _encoder.encode(message)
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_gossip(address: str, heard: Callable[[Message], None]) -> GossipSocket:
    """Bind the socket for news at `host:port`."""
    host, _, port = address.rpartition(":")
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: GossipSocket(heard), local_addr=(host, int(port))
    )
    return protocol
