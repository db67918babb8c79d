"""The newest documents of one kind, plans or lists of servers, as other nodes fetch them.

They come in pieces, and no faster than the link of the node bears.

A piece is small enough for a thin link, so that one that does not come is soon asked for elsewhere
and what came before it is kept.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated

import msgspec
import xxhash

from moledale.gateway.document_codec import digest_of, encode
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion

PIECE_BYTES = 16_384
"""Size of a piece: 26 ms on a link of 5 Mbit/s."""

MAX_DOCUMENTS = 4
"""Documents kept as bases of differences; operators may change several plans in a second."""

MAX_FRAMES = 8
"""Frames of the newest document that are kept, one for each base that nodes asked with."""

LINK_SHARE = 0.5
"""Part of a node's link that other nodes' fetches may take; requests go through it too."""

BURST_S = 0.1
"""Fetches may use this much of that part at once, in seconds of it; one piece always."""

BYTES_PER_MBIT = 125_000
"""A unit."""


class DocumentPiece(msgspec.Struct, frozen=True, array_like=True):
    """A piece of a frame: of which document, made from which base, its place and the frame's size.

    `base` is "" for one that is compressed by itself; `frame` is the digest of the whole frame.
    `era` is that of the version, unknown for plans and in pieces of earlier builds.
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
    """What a node that fetches has: its document's digest, and how far it is in which frame."""

    have: str = ""
    frame: str = ""
    offset: Annotated[int, msgspec.Meta(ge=0)] = 0


class ArchivedDocument(msgspec.Struct):
    """A document's bytes and version."""

    version: EraVersion
    raw: bytes


class UploadBudget(msgspec.Struct):
    """Bytes that fetches may take of this node's link; a bucket that fills at `bytes_per_s`."""

    bytes_per_s: float
    level: float = 0.0
    updated_at: float = 0.0

    def take(self, size: int, now: float) -> bool:
        """Take bytes if they are there."""
        most = max(float(PIECE_BYTES), self.bytes_per_s * BURST_S)
        self.level = min(most, self.level + (now - self.updated_at) * self.bytes_per_s)
        self.updated_at = now
        if self.level < min(size, most):
            return False
        self.level -= size
        return True


class DocumentArchive(msgspec.Struct):
    """Documents by digest, the newest last, and the frames made of the newest one."""

    link_mbps: float
    now: Callable[[], float]
    max_documents: int = MAX_DOCUMENTS
    _documents: OrderedDict[str, ArchivedDocument] = msgspec.field(default_factory=OrderedDict)
    _frames: OrderedDict[str, tuple[str, bytes]] = msgspec.field(default_factory=OrderedDict)
    _budget: UploadBudget = msgspec.field(default_factory=lambda: UploadBudget(0.0))

    def __post_init__(self) -> None:
        self._budget = UploadBudget(self.link_mbps * BYTES_PER_MBIT * LINK_SHARE)

    def add(self, version: EraVersion, raw: bytes) -> None:
        """Keep a document that is newer than all before it; it may have been there before."""
        digest = digest_of(raw)
        self._documents[digest] = ArchivedDocument(version, raw)
        self._documents.move_to_end(digest)
        self._frames.clear()
        while len(self._documents) > self.max_documents:
            self._documents.popitem(last=False)

    def update_version(self, version: EraVersion) -> None:
        """Note that the newest document is that of a later version, too."""
        if self._documents:
            self._documents[self.newest].version = version

    @property
    def newest(self) -> str:
        """Return the digest of the newest document, or "" if there is none."""
        return next(reversed(self._documents), "")

    def raw(self, digest: str) -> bytes | None:
        """Return a document that is kept; b"" for the digest of none."""
        if not digest:
            return b""
        kept = self._documents.get(digest)
        return None if kept is None else kept.raw

    def piece(self, wanted: PieceRequest) -> DocumentPiece | None:
        """Return a piece of the newest document; None without one, or while others are served."""
        digest = self.newest
        if not digest:
            return None
        base = wanted.have if wanted.have in self._documents else ""
        name, frame = self._frame(digest, base)
        offset = wanted.offset if wanted.frame == name else 0
        data = frame[offset : offset + PIECE_BYTES]
        if not self._budget.take(len(data), self.now()):
            return None
        version = self._documents[digest].version
        size = len(frame)
        return DocumentPiece(version.number, digest, base, name, size, offset, data, version.era)

    def _frame(self, digest: str, base: str) -> tuple[str, bytes]:
        found = self._frames.get(base)
        if found is None:
            frame = encode(self._documents[digest].raw, self._documents[base].raw if base else b"")
            found = xxhash.xxh3_64_hexdigest(frame), frame
            self._frames[base] = found
            while len(self._frames) > MAX_FRAMES:
                self._frames.popitem(last=False)
        return found
