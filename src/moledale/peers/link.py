"""The link to other nodes: what a node asks of them, and what they may ask of it."""

from typing import Protocol

from result import Result

from moledale.node.once import OnceCall
from moledale.node.streams import StreamRecord
from moledale.peers.pb import peers_pb2
from moledale.problems import Problem
from moledale.servers.types import ServiceAnswer


class PeerHandler(Protocol):
    """The node's side of the calls."""

    def exchange_digest(self, message: peers_pb2.DigestMessage) -> peers_pb2.DigestMessage:
        """Take a peer's digest and return this node's own."""
        ...

    def adopt_stream(self, record: StreamRecord) -> str | None:
        """Take a live stream; return why not, or None if it was taken."""
        ...

    async def run_once_locally(self, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Run a not-repeatable call whose key this node answers for."""
        ...


class PeerLink(Protocol):
    """Calls to peers at `host:port`, and the service that peers call."""

    async def serve(self, handler: PeerHandler) -> int:
        """Start to answer peers and return the port."""
        ...

    async def digest(
        self, address: str, message: peers_pb2.DigestMessage
    ) -> Result[peers_pb2.DigestMessage, str]:
        """Exchange digests."""
        ...

    async def hand_over(self, address: str, record: StreamRecord) -> Result[None, str]:
        """Give a live stream to a peer."""
        ...

    async def run_once(self, address: str, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Have the node that answers for a key run the call, or tell what became of it."""
        ...

    async def close(self) -> None:
        """Stop answering and close all channels."""
        ...
