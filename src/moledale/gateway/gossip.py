"""News between nodes by datagrams: own state often, changes of the list of servers at once.

Datagrams fit since a state replaces the one before it: nothing is sent again, a dark peer costs
no connection, and a node that starts is heard of within one round.
"""

import asyncio
from collections.abc import Callable

import msgspec

from moledale.gateway.messages import Placed
from moledale.gateway.peers import NodeState
from moledale.gateway.permits import PermitAnswer, PermitAsk
from moledale.gateway.quarantine_sharing import BlockNews, ClearedNews, EndNews
from moledale.gateway.server_list import ServerChange


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
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class GossipSocket(asyncio.DatagramProtocol):
    """The socket that news go through."""

    def __init__(self, heard: Callable[[Message], None]) -> None:
        self._heard = heard
        self._transport: asyncio.DatagramTransport | None = None
        self.unreadable = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Read a message; what can't be read is counted and dropped."""
        try:
            message = _decoder.decode(data)
        except msgspec.DecodeError:
            self.unreadable += 1
            return
        self._heard(message)

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed: its silence tells as much."""

    def tell(self, message: Message, addresses: list[str]) -> None:
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
