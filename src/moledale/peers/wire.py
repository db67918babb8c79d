"""Encoding of generation requests inside peer messages."""

import msgspec

from moledale.decoding import decode_msgpack
from moledale.node.streams import GenerationRequest


def encode_request(request: GenerationRequest) -> bytes:
    """Encode a request for a peer."""
    return msgspec.msgpack.encode(request)


def decode_request(body: bytes) -> GenerationRequest:
    """Decode a request from a peer; raise `msgspec.DecodeError` if it is malformed."""
    return decode_msgpack(body, GenerationRequest)
