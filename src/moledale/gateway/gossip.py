"""News between nodes by datagrams: own state often, the server list as soon as it is read.

Datagrams fit since a state replaces the one before it: nothing is sent again, a dark peer costs
no connection, and a node that starts is heard of within one round.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from moledale.gateway.messages import Server
from moledale.gateway.peers import NodeState

ROUND_S = 0.2
MOST_TARGETS = 16
MOST_ADDRESSES = 12
ADDRESS_KEPT_S = 60.0


class StateNews(msgspec.Struct, array_like=True, tag="state"):
    """A node's own state and some addresses of nodes it has heard of."""

    state: NodeState
    addresses: list[str]


class FleetNews(msgspec.Struct, array_like=True, tag="fleet"):
    """The server list as of `version`; without servers it is the same as the last one told."""

    version: int
    digest: int
    age_s: float
    servers: list[Server] | None


Message = StateNews | FleetNews
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


@dataclass(slots=True)
class AddressBook:
    """Addresses to send news to, and until when one that is silent is still tried."""

    own: str
    until: dict[str, float] = field(default_factory=dict)

    def add(self, address: str, now: float) -> None:
        """Note an address that was told or heard from."""
        if address and address != self.own:
            self.until[address] = now + ADDRESS_KEPT_S

    def hint(self, address: str, now: float) -> None:
        """Note an address that a peer knows; its time is not made longer."""
        if address and address != self.own and address not in self.until:
            self.until[address] = now + ADDRESS_KEPT_S

    def targets(self, preferred: list[str], now: float, choice: random.Random) -> list[str]:
        """Return whom to tell this round: all while they are few, else the preferred and some."""
        for address in [each for each, until in self.until.items() if until < now]:
            del self.until[address]
        if len(self.until) <= MOST_TARGETS:
            return list(self.until)
        first = [address for address in preferred if address in self.until][: MOST_TARGETS // 2]
        rest = [address for address in self.until if address not in first]
        return first + choice.sample(rest, MOST_TARGETS - len(first))


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
