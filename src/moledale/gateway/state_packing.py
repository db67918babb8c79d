"""Compression of node states for the wire, as snapshots and deltas.

Most of a state is unchanged one round later. Every `ROUNDS_PER_SNAPSHOT`-th state is sent as a
snapshot, and those between as deltas: compressed with the snapshot's bytes as the dictionary. A
node that missed the snapshot waits for the next one; until then it only knows that the sender is
alive.
"""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import zstandard

from moledale.decoding import decode_finite
from moledale.gateway.gossip import UNENCODABLE, PackedState, StateNews

ROUNDS_PER_SNAPSHOT = 5
"""Rounds from one snapshot to the next: one second."""

NO_BASE = -1
"""Base of a snapshot."""

MAX_SNAPSHOTS = 256
"""Nodes whose last snapshot is kept; only serving nodes send deltas."""

MAX_UNPACKED_BYTES = 65_536
"""Larger states are not unpacked: about the maximum size of a datagram."""

COMPRESSION_LEVEL = 1
"""Zstandard level; level 3 makes deltas no smaller."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateNews)


def pack_snapshot(message: StateNews) -> PackedState | StateNews:
    """Return a state compressed as a snapshot, which can be read without another one.

    One that can't be encoded is returned as it is.
    """
    try:
        return _compress(message, _encoder.encode(message), NO_BASE, b"")
    except UNENCODABLE:
        return message


class StatePacker(msgspec.Struct):
    """Packs the successive states of one node as snapshots and deltas."""

    _snapshot: bytes = b""
    _snapshot_sequence: int = NO_BASE
    _rounds_since_snapshot: int = 0
    _snapshot_targets: set[str] = msgspec.field(default_factory=set)

    def pack(self, message: StateNews, targets: Iterable[str]) -> PackedState | StateNews:
        """Return a state packed for some addresses, or as it is if it can't be encoded.

        It is a delta, or a snapshot if one is due or a target did not get the last one, such as a
        node that has just become the lease holder.
        """
        try:
            raw = _encoder.encode(message)
        except UNENCODABLE:
            return message  # sending it logs the error
        self._rounds_since_snapshot += 1
        if self._rounds_since_snapshot < ROUNDS_PER_SNAPSHOT and self._snapshot_targets.issuperset(
            targets
        ):
            return _compress(message, raw, self._snapshot_sequence, self._snapshot)
        self._snapshot, self._snapshot_sequence, self._rounds_since_snapshot = (
            raw,
            message.state.sequence,
            0,
        )
        self._snapshot_targets = set(targets)
        return _compress(message, raw, NO_BASE, b"")


class StateUnpacker(msgspec.Struct):
    """Unpacks the states of all other nodes, keeping their last snapshots.

    `_snapshots` holds the incarnation, sequence and bytes of each by node.
    """

    _snapshots: OrderedDict[str, tuple[int, int, bytes]] = msgspec.field(
        default_factory=OrderedDict
    )

    def unpack(self, packed: PackedState) -> StateNews | None:
        """Return a state, or None if its snapshot is missing or it is unreadable."""
        base = b""
        if packed.base != NO_BASE:
            incarnation, sequence, base = self._snapshots.get(packed.id, (0, NO_BASE, b""))
            if (incarnation, sequence) != (packed.life, packed.base):
                return None
        try:
            if zstandard.frame_content_size(packed.frame) > MAX_UNPACKED_BYTES:
                return None
            raw = _decompressor(base).decompress(packed.frame, max_output_size=MAX_UNPACKED_BYTES)
            message = decode_finite(_decoder, raw)
        except (zstandard.ZstdError, MemoryError, msgspec.DecodeError):
            return None
        if packed.base == NO_BASE and not message.state.brief:
            self._store_snapshot(message, raw)
        return message

    def _store_snapshot(self, message: StateNews, raw: bytes) -> None:
        state = message.state
        incarnation, sequence, _ = self._snapshots.get(state.id, (0, NO_BASE, b""))
        if incarnation == state.life and sequence >= state.sequence:
            return
        self._snapshots[state.id] = (state.life, state.sequence, raw)
        self._snapshots.move_to_end(state.id)
        if len(self._snapshots) > MAX_SNAPSHOTS:
            self._snapshots.popitem(last=False)


def _compress(message: StateNews, raw: bytes, base: int, dictionary: bytes) -> PackedState:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, write_checksum=True
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_dictionary(dictionary)
    )
    return PackedState(message.state.id, message.state.life, base, compressor.compress(raw))


def _decompressor(base: bytes) -> zstandard.ZstdDecompressor:
    return zstandard.ZstdDecompressor(dict_data=_dictionary(base))


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
