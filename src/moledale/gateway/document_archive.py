"""The newest documents of one kind, plans or server lists, which other nodes fetch from this one.

Documents are served in pieces, at a rate that this node's link can carry. A piece is small enough
for a slow link, so that a missing one is soon requested from another node, and the pieces received
before are kept.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated

import msgspec
import xxhash

from moledale.gateway.document_codec import digest_of, encode
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion

PIECE_BYTES = 16_384
"""Size of a piece, which takes 26 ms on a link of 5 Mbit/s."""

MAX_DOCUMENTS = 4
"""Documents kept as bases for deltas; operators may change the plan several times a second."""

MAX_FRAMES = 8
"""Cached frames of the newest document, one per base that nodes requested."""

LINK_SHARE = 0.5
"""Share of a node's link that fetches by other nodes may use; requests need the rest."""

BURST_S = 0.1
"""Size of the bucket for fetches, in seconds at their rate; it always holds at least one piece."""

BYTES_PER_MBIT = 125_000
"""Bytes in one megabit (1,000,000 bits)."""


class DocumentPiece(msgspec.Struct, frozen=True, array_like=True):
    """A piece of a frame, which is a compressed document or its delta from a base.

    `version` and `digest` name the document, `base` is the digest of the base or "" for a frame
    without one, and `frame` is the digest of the whole frame of `size` bytes. `data` begins at
    `offset`. `era` is that of the version; it is unknown for plans and in pieces of earlier builds.
    """

    version: int
    digest: str
    base: str
    frame: str
    size: int
    offset: int
    data: bytes
    era: int = UNKNOWN_ERA

    @property
    def era_version(self) -> EraVersion:
        """Return the version with its era."""
        return EraVersion(self.era, self.version)


class PieceRequest(msgspec.Struct, frozen=True):
    """A request for the next piece of the newest document.

    `have` is the digest of the document that the requesting node has, `frame` the frame that it has
    begun to fetch, and `offset` the number of bytes received of it.
    """

    have: str = ""
    frame: str = ""
    offset: Annotated[int, msgspec.Meta(ge=0)] = 0


class ArchivedDocument(msgspec.Struct):
    """The bytes and version of a document."""

    version: EraVersion
    raw: bytes


class UploadBudget(msgspec.Struct):
    """Token bucket of bytes that fetches may use of this node's link; refills at `bytes_per_s`."""

    bytes_per_s: float
    level: float = 0.0
    updated_at: float = 0.0

    def take(self, size: int, now: float) -> bool:
        """Take `size` bytes if the bucket holds them; return whether it did."""
        capacity = max(float(PIECE_BYTES), self.bytes_per_s * BURST_S)
        self.level = min(capacity, self.level + (now - self.updated_at) * self.bytes_per_s)
        self.updated_at = now
        if self.level < min(size, capacity):
            return False
        self.level -= size
        return True


class DocumentArchive(msgspec.Struct):
    """Holds the latest documents by digest, the newest last, and serves the newest in pieces.

    Frames of the newest document are cached by base.
    """

    link_mbps: float
    now: Callable[[], float]
    max_documents: int = MAX_DOCUMENTS
    _documents: OrderedDict[str, ArchivedDocument] = msgspec.field(default_factory=OrderedDict)
    _frames: OrderedDict[str, tuple[str, bytes]] = msgspec.field(default_factory=OrderedDict)
    _budget: UploadBudget = msgspec.field(default_factory=lambda: UploadBudget(0.0))

    def __post_init__(self) -> None:
        self._budget = UploadBudget(self.link_mbps * BYTES_PER_MBIT * LINK_SHARE)

    def add(self, version: EraVersion, raw: bytes) -> None:
        """Add a document as the newest one; its content may equal that of an earlier one."""
        digest = digest_of(raw)
        self._documents[digest] = ArchivedDocument(version, raw)
        self._documents.move_to_end(digest)
        self._frames.clear()
        while len(self._documents) > self.max_documents:
            self._documents.popitem(last=False)

    def update_version(self, version: EraVersion) -> None:
        """Assign a later version to the newest document, whose content did not change."""
        if self._documents:
            self._documents[self.newest].version = version

    @property
    def newest(self) -> str:
        """Return the digest of the newest document, or "" if there is none."""
        return next(reversed(self._documents), "")

    def raw(self, digest: str) -> bytes | None:
        """Return the document with a digest, b"" for the empty digest; None if not archived."""
        if not digest:
            return b""
        document = self._documents.get(digest)
        return None if document is None else document.raw

    def piece(self, request: PieceRequest) -> DocumentPiece | None:
        """Return a piece of the newest document; None without one or if the budget is used up."""
        digest = self.newest
        if not digest:
            return None
        base = request.have if request.have in self._documents else ""
        frame_digest, frame = self._frame(digest, base)
        offset = request.offset if request.frame == frame_digest else 0
        data = frame[offset : offset + PIECE_BYTES]
        if not self._budget.take(len(data), self.now()):
            return None
        version = self._documents[digest].version
        size = len(frame)
        return DocumentPiece(
            version.number, digest, base, frame_digest, size, offset, data, version.era
        )

    def _frame(self, digest: str, base: str) -> tuple[str, bytes]:
        """Return the digest and bytes of the newest document's frame for a base, cached."""
        found = self._frames.get(base)
        if found is None:
            frame = encode(self._documents[digest].raw, self._documents[base].raw if base else b"")
            found = xxhash.xxh3_64_hexdigest(frame), frame
            self._frames[base] = found
            while len(self._frames) > MAX_FRAMES:
                self._frames.popitem(last=False)
        return found
