"""Encoding of plans and server lists as compressed deltas, so that a small change of a large
document takes few bytes.

A delta is the document compressed with an earlier document, its base, as the dictionary. zstd
allows dictionaries as large as a plan, while those of zlib are limited to 32 KiB. A frame without a
base is the whole document compressed. Nodes that run the same release encode the same document and
base to the same bytes, so an interrupted transfer can be continued from another node.
"""

import xxhash
import zstandard

WINDOW_LOG = 23
"""Window of the compressor, as a power of two in bytes: the store's maximum object size, 8 MiB."""

HASH_LOG = 17
"""Entries of the compressor's match table, as a power of two; the table takes 2 MB."""

MIN_MATCH_BYTES = 7
"""Shortest repetition that the compressor looks for."""

MAX_DOCUMENT_BYTES = 1 << WINDOW_LOG


class DocumentUnreadable(Exception):
    """A frame could not be decoded, or it holds another document than the announced one."""


def digest_of(raw: bytes) -> str:
    """Return the digest of a document's bytes; "" if it is empty."""
    return xxhash.xxh3_128_hexdigest(raw) if raw else ""


def encode(raw: bytes, base: bytes = b"") -> bytes:
    """Compress a document into a frame, which is decoded with the same base."""
    parameters = zstandard.ZstdCompressionParameters(
        window_log=WINDOW_LOG,
        hash_log=HASH_LOG,
        chain_log=HASH_LOG,
        min_match=MIN_MATCH_BYTES,
        strategy=zstandard.STRATEGY_FAST,
        write_content_size=True,
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_dictionary(base)
    )
    return compressor.compress(raw)


def decode(frame: bytes, base: bytes, digest: str) -> bytes:
    """Return the document in a frame; raise DocumentUnreadable if its digest is not `digest`."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(base), max_window_size=MAX_DOCUMENT_BYTES
    )
    try:
        size = zstandard.frame_content_size(frame)
        if not 0 <= size <= MAX_DOCUMENT_BYTES:
            raise DocumentUnreadable(f"invalid document size of {size} bytes")
        raw = decompressor.decompress(frame, max_output_size=MAX_DOCUMENT_BYTES)
    except zstandard.ZstdError as error:
        raise DocumentUnreadable(str(error)) from error
    if digest_of(raw) != digest:
        raise DocumentUnreadable("digest mismatch")
    return raw


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
