"""A proxy for the datagrams between nodes, which can cut a node from all others."""

import asyncio

from tests.soak.process import BASE_PORT

GOSSIP_PORT = BASE_PORT + 4
BOUND_PORT = GOSSIP_PORT + 100
"""The port at which other nodes reach a node, and the one that its process binds."""


class GossipLinks:
    """Takes the gossip port of each node and forwards datagrams to its process.

    A forwarded datagram comes from the gossip port of the node that sent it.
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self._transports: dict[str, asyncio.DatagramTransport] = {}

    async def add(self, host: str) -> int:
        """Take the gossip port of a node; return the port that its process has to bind."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Receiver(self, host), local_addr=(host, GOSSIP_PORT)
        )
        self._transports[host] = transport
        return BOUND_PORT

    def forward(self, data: bytes, sender: str, receiver: str) -> None:
        """Forward a datagram unless one of its nodes is cut off."""
        source = self._transports.get(sender)
        if source is not None and not self.cut & {sender, receiver}:
            source.sendto(data, (receiver, BOUND_PORT))

    def close(self) -> None:
        """Release all ports."""
        for transport in self._transports.values():
            transport.close()


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, links: GossipLinks, host: str) -> None:
        self._links = links
        self._host = host

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._links.forward(data, addr[0], self._host)
