"""The gRPC service that other nodes call."""

from typing import Any

import grpc
import msgspec
from result import Err

from moledale.decoding import decode_json
from moledale.log import Event, emit
from moledale.node.once import OnceCall
from moledale.node.streams import StreamRecord
from moledale.peers.auth import METADATA_KEY, PeerTokens
from moledale.peers.link import PeerHandler
from moledale.peers.pb import peers_pb2, peers_pb2_grpc
from moledale.peers.wire import decode_request

MAX_MESSAGE_BYTES = 16_000_000


class PeerServer(peers_pb2_grpc.PeersServicer):  # type: ignore[misc]
    """Decodes calls from peers and passes them to a handler.

    Calls without a valid token are rejected.
    """

    def __init__(self, handler: PeerHandler, tokens: PeerTokens) -> None:
        self._handler = handler
        self._tokens = tokens

    async def Digest(
        self, request: peers_pb2.DigestMessage, context: Any
    ) -> peers_pb2.DigestMessage:
        """Apply a peer's digest and reply with this node's own."""
        await self._authenticate(context)
        return self._handler.exchange_digest(request)

    async def HandOver(
        self, request: peers_pb2.StreamState, context: Any
    ) -> peers_pb2.HandOverReply:
        """Adopt a live stream, or reply with the reason why not."""
        peer = await self._authenticate(context)
        try:
            decoded = decode_request(request.request)
        except msgspec.DecodeError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"damaged request: {error}")
            raise AssertionError("abort raises") from error
        reason = self._handler.adopt_stream(StreamRecord(decoded, list(request.tokens)))
        if reason is None:
            emit(Event.STREAM_ADOPTED, request=decoded.id, peer=peer)
        return peers_pb2.HandOverReply(accepted=reason is None, reason=reason or "")

    async def RunOnce(self, request: peers_pb2.OnceRequest, context: Any) -> peers_pb2.OnceReply:
        """Run a non-repeatable call; `ran` is set in the reply only for a problem."""
        await self._authenticate(context)
        try:
            call = decode_json(request.call, OnceCall)
        except msgspec.DecodeError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"damaged call: {error}")
            raise AssertionError("abort raises") from error
        outcome = await self._handler.run_once_locally(call)
        if isinstance(outcome, Err):
            problem = outcome.err_value
            fields = {"kind": problem.kind, "title": problem.title, "detail": problem.detail}
            return peers_pb2.OnceReply(
                status=problem.status, body=msgspec.json.encode(fields), ran=problem.ran.value
            )
        answer = outcome.ok_value
        return peers_pb2.OnceReply(
            status=answer.status, content_type=answer.content_type, body=answer.body
        )

    async def _authenticate(self, context: Any) -> str:
        metadata = dict(context.invocation_metadata() or ())
        peer = self._tokens.check(str(metadata.get(METADATA_KEY, "")))
        if peer is None:
            emit(Event.PEER_REFUSED, caller=context.peer())
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "no valid peer token")
            raise AssertionError("abort raises")
        return peer


async def start(handler: PeerHandler, tokens: PeerTokens, listen: str) -> tuple[Any, int]:
    """Start the service and return the server with its port."""
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.so_reuseport", 0),
        ]
    )
    peers_pb2_grpc.add_PeersServicer_to_server(PeerServer(handler, tokens), server)
    port = server.add_insecure_port(listen)
    await server.start()
    return server, port
