"""Plans and lists of servers as compressed differences from an earlier one, so that a change of a
large document stays small.

The earlier one is the compressor's dictionary. zstd was chosen for that: its dictionaries may be
as large as a plan, where those of zlib end at 32 KiB. A frame made from nothing is a document
compressed by itself. Frames of the same document and base are the same bytes on all nodes that run
the same release, so a transfer that breaks off can be taken up at another node.
"""

import xxhash
import zstandard

WINDOW_LOG = 23
"""Compressor's window, as a power of two in bytes: the store takes no larger object (8 MiB)."""

HASH_LOG = 17
"""Entries of the match table, as a power of two: 2 MB."""

MIN_MATCH_BYTES = 7
"""Shortest repetition that is looked for, in bytes."""

MAX_DOCUMENT_BYTES = 1 << WINDOW_LOG


class DocumentUnreadable(Exception):
    """A frame could not be decoded, or its document is not the one that was announced."""


def digest_of(raw: bytes) -> str:
    """Return a short name of a document's exact bytes; "" for none at all."""
    return xxhash.xxh3_128_hexdigest(raw) if raw else ""


def encode(raw: bytes, base: bytes = b"") -> bytes:
    """Return a document as a frame that is read with the same base."""
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
    """Return the document in a frame; DocumentUnreadable unless its digest is the announced one."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(base), max_window_size=MAX_DOCUMENT_BYTES
    )
    try:
        size = zstandard.frame_content_size(frame)
        if not 0 <= size <= MAX_DOCUMENT_BYTES:
            raise DocumentUnreadable(f"{size} bytes are no document")
        raw = decompressor.decompress(frame, max_output_size=MAX_DOCUMENT_BYTES)
    except zstandard.ZstdError as error:
        raise DocumentUnreadable(str(error)) from error
    if digest_of(raw) != digest:
        raise DocumentUnreadable("the digest differs")
    return raw


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
