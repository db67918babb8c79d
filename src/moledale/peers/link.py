"""Interfaces of the link to other nodes: outgoing calls, and the handler of incoming ones."""

from typing import Protocol

from result import Result

from moledale.node.once import OnceCall
from moledale.node.streams import StreamRecord
from moledale.peers.pb import peers_pb2
from moledale.problems import Problem
from moledale.servers.types import ServiceAnswer


class PeerHandler(Protocol):
    """Handles calls from peers; the node implements it."""

    def exchange_digest(self, message: peers_pb2.DigestMessage) -> peers_pb2.DigestMessage:
        """Apply a peer's digest and return this node's own."""
        ...

    def adopt_stream(self, record: StreamRecord) -> str | None:
        """Adopt a live stream; return the reason if it is rejected, or None."""
        ...

    async def run_once_locally(self, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Run a non-repeatable call whose key this node owns."""
        ...


class PeerLink(Protocol):
    """Calls peers, whose addresses are `host:port`, and serves their calls."""

    async def serve(self, handler: PeerHandler) -> int:
        """Start the service for peers and return its port."""
        ...

    async def digest(
        self, address: str, message: peers_pb2.DigestMessage
    ) -> Result[peers_pb2.DigestMessage, str]:
        """Send this node's digest and return the peer's, or an error text."""
        ...

    async def hand_over(self, address: str, record: StreamRecord) -> Result[None, str]:
        """Hand a live stream over to a peer; the error is why it was not adopted."""
        ...

    async def run_once(self, address: str, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Run a call on the node that owns its key, and return the answer or the problem."""
        ...

    async def close(self) -> None:
        """Stop the service and close all channels."""
        ...
