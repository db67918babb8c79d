"""Gossip between nodes over UDP: states in rounds, changes of the server list at once.

Datagrams suffice because each state replaces the one before it. Nothing is retransmitted, an
unreachable peer costs no connection, and a starting node is known to others within one round.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any, get_args

import msgspec

from moledale.decoding import decode_finite, decode_msgpack
from moledale.faults import record_fault
from moledale.gateway.messages import Placed
from moledale.gateway.peers import NodeState
from moledale.gateway.permits import PermitAnswer, PermitAsk
from moledale.gateway.quarantine_sharing import BlockNews, ClearedNews, EndNews, PartNews
from moledale.gateway.server_list import ServerChange
from moledale.host_port import split_address
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

UNENCODABLE = (ArithmeticError, RecursionError, TypeError, ValueError, msgspec.EncodeError)
"""Errors of the encoder for values that it can't encode, as numbers beyond 64 bits."""

MAX_UNSENT = 64
"""Messages and addresses that are logged as unsendable."""


OTHER_KINDS = "others"
"""Kind under which messages are counted beyond `MAX_UNREADABLE_KINDS`."""

MAX_ADDRESSES = 4_096
"""Parsed addresses of peers that are remembered."""

NO_KIND = "no message"
"""Kind of datagrams that name none."""


def claimed_kind(data: bytes) -> str:
    """Return the kind that an unreadable message claims to be, `NO_KIND` if it names none."""
    try:
        parts = decode_msgpack(data, list[Any])
    except msgspec.DecodeError:
        return NO_KIND
    if parts and isinstance(parts[0], str):
        return parts[0][:MAX_KIND_CHARS]
    return NO_KIND


@lru_cache(MAX_ADDRESSES)
def _destination(address: str) -> tuple[str, int]:
    """Return `IP:port` as a socket takes it; raise ValueError for anything else.

    The event loop would look a name up, and close the socket when that fails.
    """
    host, port = split_address(address)
    return str(IPv4Address(host)), port


class GossipSocket(asyncio.DatagramProtocol):
    """UDP endpoint that encodes and sends messages, and decodes received ones."""

    def __init__(self, on_message: Callable[[Message], None]) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self.unreadable: Counter[str] = Counter()
        self._unsent: set[str] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message; an unreadable one is counted by kind and dropped."""
        try:
            message = decode_finite(_decoder, data)
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
        """Send a message to each address; do nothing while the socket is not open.

        A message that can't be encoded, or an address that can't be sent to, is logged and left
        out: others may have stated either.
        """
        if self._transport is None or self._transport.is_closing():
            return
        try:
            data = _encoder.encode(message)
        except UNENCODABLE as error:
            self._record_unsent(type(message).__name__, error)
            return
        for address in addresses:
            try:
                self._transport.sendto(data, _destination(address))
            except (ValueError, OverflowError, OSError) as error:
                self._record_unsent(address, error)

    def _record_unsent(self, what: str, error: Exception) -> None:
        """Log a message or address that can't be sent, once each while there are few."""
        if what not in self._unsent and len(self._unsent) < MAX_UNSENT:
            self._unsent.add(what)
            emit(Event.MESSAGE_UNSENT, what=what, why=f"{type(error).__name__}: {error}")

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
