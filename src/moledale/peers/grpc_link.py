"""Implementation of the link to other nodes over gRPC."""

import errno
from functools import partial
from typing import Any

import grpc
import msgspec
from result import Err, Ok, Result

from moledale import problems
from moledale.decoding import decode_json
from moledale.listening import bind_patiently
from moledale.node.once import OnceCall
from moledale.node.streams import StreamRecord
from moledale.peers.auth import METADATA_KEY, PeerTokens
from moledale.peers.link import PeerHandler
from moledale.peers.pb import peers_pb2, peers_pb2_grpc
from moledale.peers.server import start
from moledale.peers.wire import encode_request
from moledale.problems import Problem, Ran
from moledale.servers.types import ServiceAnswer

DIGEST_TIMEOUT_S = 1.0
HAND_OVER_TIMEOUT_S = 2.0
RUN_ONCE_TIMEOUT_S = 60.0
MAX_CHANNELS = 64
STOP_GRACE_S = 1.0


class GrpcLink:
    """Calls peers over gRPC and serves their calls.

    The number of channels is bounded: a new one beyond the maximum closes the oldest.
    """

    def __init__(self, node: str, listen: str, tokens: PeerTokens) -> None:
        self._node = node
        self._listen = listen
        self._tokens = tokens
        self._server: Any = None
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def serve(self, handler: PeerHandler) -> int:
        """Start the service for peers and return its port."""
        self._server, port = await bind_patiently(self._listen, partial(self._start, handler))
        return port

    async def _start(self, handler: PeerHandler) -> tuple[Any, int]:
        """Start the service; raise OSError if it can't be bound, as gRPC tells no reason."""
        try:
            return await start(handler, self._tokens, self._listen)
        except RuntimeError as error:
            raise OSError(errno.EADDRINUSE, str(error)) from error

    async def digest(
        self, address: str, message: peers_pb2.DigestMessage
    ) -> Result[peers_pb2.DigestMessage, str]:
        """Send this node's digest and return the peer's, or an error text."""
        stub = await self._stub(address)
        try:
            return Ok(
                await stub.Digest(message, metadata=self._metadata(), timeout=DIGEST_TIMEOUT_S)
            )
        except grpc.aio.AioRpcError as error:
            return Err(f"{error.code().name}: {error.details()}")

    async def hand_over(self, address: str, record: StreamRecord) -> Result[None, str]:
        """Hand a live stream over to a peer; the error is why it was not adopted."""
        state = peers_pb2.StreamState(
            request_id=record.request.id,
            request=encode_request(record.request),
            tokens=record.tokens,
            from_node=self._node,
        )
        stub = await self._stub(address)
        try:
            reply = await stub.HandOver(
                state, metadata=self._metadata(), timeout=HAND_OVER_TIMEOUT_S
            )
        except grpc.aio.AioRpcError as error:
            return Err(f"{error.code().name}: {error.details()}")
        return Ok(None) if reply.accepted else Err(str(reply.reason))

    async def run_once(self, address: str, call: OnceCall) -> Result[ServiceAnswer, Problem]:
        """Run a call on the node that owns its key, and return the answer or the problem.

        A failed RPC leaves the outcome unknown: the peer may have run the call.
        """
        message = peers_pb2.OnceRequest(key=call.key, call=msgspec.json.encode(call))
        stub = await self._stub(address)
        try:
            reply = await stub.RunOnce(
                message, metadata=self._metadata(), timeout=RUN_ONCE_TIMEOUT_S
            )
        except grpc.aio.AioRpcError as error:
            detail = f"the node that took the key does not answer: {error.code().name}"
            return Err(problems.outcome_unknown(detail))
        if reply.ran:
            try:
                return Err(_decode_problem(reply))
            except (ValueError, KeyError) as error:
                detail = f"the node that took the key gave an unreadable answer: {error}"
                return Err(problems.outcome_unknown(detail))
        return Ok(ServiceAnswer(reply.status, reply.content_type, reply.body))

    async def close(self) -> None:
        """Stop the service and close all channels."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    async def _stub(self, address: str) -> peers_pb2_grpc.PeersStub:
        channel = self._channels.get(address)
        if channel is None:
            if len(self._channels) >= MAX_CHANNELS:
                oldest = next(iter(self._channels))
                await self._channels.pop(oldest).close()
            channel = grpc.aio.insecure_channel(address)
            self._channels[address] = channel
        return peers_pb2_grpc.PeersStub(channel)

    def _metadata(self) -> tuple[tuple[str, str], ...]:
        return ((METADATA_KEY, self._tokens.token()),)


def _decode_problem(reply: peers_pb2.OnceReply) -> Problem:
    """Return the problem in a reply; raise ValueError or KeyError if it can't be read."""
    body = decode_json(reply.body, dict[str, str])
    return Problem(body["kind"], reply.status, body["title"], body["detail"], Ran(reply.ran))
