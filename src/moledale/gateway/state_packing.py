"""States of nodes packed for the wire: compressed, and as differences from one sent before.

Most of a state is the same a round later. Every `ROUNDS_PER_SNAPSHOT`-th is sent by itself; those between are
compressed with its bytes as the dictionary. A node that missed the state a difference is made from
waits for the next one that is sent by itself; until then it knows only that the sender lives.
"""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
import zstandard

from moledale.gateway.gossip import PackedState, StateNews

ROUNDS_PER_SNAPSHOT = 5
"""Rounds from one state that is sent by itself to the next: a second."""

NO_BASE = -1
"""Base of a state that is sent by itself."""

MAX_SNAPSHOTS = 256
"""Nodes whose last whole state is kept; only those that serve send differences."""

MAX_UNPACKED_BYTES = 65_536
"""A packed state that would be larger is not unpacked: about what a datagram can hold."""

COMPRESSION_LEVEL = 1
"""Level 3 makes the difference no smaller."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateNews)


def pack_snapshot(news: StateNews) -> PackedState:
    """Return a state that can be read by itself."""
    return _compress(news, _encoder.encode(news), NO_BASE, b"")


class StatePacker(msgspec.Struct):
    """Packs the states of one node, one after the other."""

    _snapshot: bytes = b""
    _snapshot_sequence: int = NO_BASE
    _rounds_since_snapshot: int = 0
    _snapshot_targets: set[str] = msgspec.field(default_factory=set)

    def pack(self, news: StateNews, targets: Iterable[str]) -> PackedState:
        """Return a state for some addresses.

        It is a difference, or by itself if it is time for that or one of them missed the last that
        was, as a node that has just taken the duties.
        """
        raw = _encoder.encode(news)
        self._rounds_since_snapshot += 1
        if self._rounds_since_snapshot < ROUNDS_PER_SNAPSHOT and self._snapshot_targets.issuperset(
            targets
        ):
            return _compress(news, raw, self._snapshot_sequence, self._snapshot)
        self._snapshot, self._snapshot_sequence, self._rounds_since_snapshot = (
            raw,
            news.state.sequence,
            0,
        )
        self._snapshot_targets = set(targets)
        return _compress(news, raw, NO_BASE, b"")


class StateUnpacker(msgspec.Struct):
    """Reads the states of all other nodes."""

    _snapshots: OrderedDict[str, tuple[int, int, bytes]] = msgspec.field(
        default_factory=OrderedDict
    )

    def unpack(self, packed: PackedState) -> StateNews | None:
        """Return a state, or None if what it is made from is not here or it can't be read."""
        base = b""
        if packed.base != NO_BASE:
            life, sequence, base = self._snapshots.get(packed.id, (0, NO_BASE, b""))
            if (life, sequence) != (packed.life, packed.base):
                return None
        try:
            raw = _decompressor(base).decompress(packed.frame, max_output_size=MAX_UNPACKED_BYTES)
            news = _decoder.decode(raw)
        except (zstandard.ZstdError, msgspec.DecodeError):
            return None
        if packed.base == NO_BASE and not news.state.brief:
            self._store_snapshot(news, raw)
        return news

    def _store_snapshot(self, news: StateNews, raw: bytes) -> None:
        state = news.state
        life, sequence, _ = self._snapshots.get(state.id, (0, NO_BASE, b""))
        if life == state.life and sequence >= state.sequence:
            return
        self._snapshots[state.id] = (state.life, state.sequence, raw)
        self._snapshots.move_to_end(state.id)
        if len(self._snapshots) > MAX_SNAPSHOTS:
            self._snapshots.popitem(last=False)


def _compress(news: StateNews, raw: bytes, base: int, dictionary: bytes) -> PackedState:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, write_checksum=True
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_dictionary(dictionary)
    )
    return PackedState(news.state.id, news.state.life, base, compressor.compress(raw))


def _decompressor(base: bytes) -> zstandard.ZstdDecompressor:
    return zstandard.ZstdDecompressor(dict_data=_dictionary(base))


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
