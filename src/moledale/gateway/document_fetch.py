"""Fetching of a newer document, the plan or the server list, from nodes that have it.

Documents are fetched piece by piece. Each node that has a document serves it to others, so the
number of sources doubles as it spreads. An unreachable, slow or busy source is replaced by another,
and the pieces received so far are kept. If no source delivers, the document is read from the store
after a random delay, so that not all nodes read it at once.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from moledale.clock import monotonic
from moledale.decoding import decode_msgpack
from moledale.gateway.calls import HttpCaller
from moledale.gateway.document_archive import DocumentArchive, DocumentPiece, PieceRequest
from moledale.gateway.document_codec import DocumentUnreadable, decode
from moledale.gateway.store_era import EraVersion
from moledale.log import Event, emit

PLAN_PATH = "/peer/plan"
SERVERS_PATH = "/peer/servers"
PIECE_TIMEOUT_S = 0.4
"""Timeout for one piece, including a new connection: it takes 26 ms at 5 Mbit/s, and other pieces
may be queued ahead."""

BUSY_RETRY_S = 0.03
"""Pause before a busy source is asked again, about the 26 ms that one piece takes at 5 Mbit/s."""

FAILED_RETRY_S = 1.0
"""Pause before a failed source is asked again."""

STORE_FALLBACK_S = 1.0
"""The store is read after this time without a piece from any source."""

MAX_STEP_S = PIECE_TIMEOUT_S + BUSY_RETRY_S
"""A request takes no longer than this unless the process was paused, which tells nothing of the
sources."""

STORE_FALLBACK_JITTER_S = 0.6
"""Maximum random delay added to `STORE_FALLBACK_S`: with it, 390 nodes read the store at most 650
times a second."""

MIN_POWER = 1e-6
MAX_POWER = 1e9
"""Bounds of a source's capacity, which it states itself: a choice needs a positive, finite sum."""

NEWER_VERSION_TTL_S = 5.0
"""Sources of a newer document are discarded if none delivers it within this time."""


def piece_path(path: str, request: PieceRequest) -> str:
    """Return the path and query of a request for a piece."""
    return f"{path}?{urlencode(msgspec.structs.asdict(request))}"


class Source(msgspec.Struct):
    """A node that announced a document, with its capacity (see `directory.power_of`)."""

    version: EraVersion
    power: float
    paused_until: float = 0.0


class Transfer(msgspec.Struct):
    """The part of a frame that was received so far."""

    base: str = ""
    frame: str = ""
    data: bytearray = msgspec.field(default_factory=bytearray)

    def add(self, piece: DocumentPiece) -> None:
        """Append a piece; one of another frame restarts the transfer."""
        if piece.frame != self.frame:
            self.base, self.frame, self.data = piece.base, piece.frame, bytearray()
        if piece.offset == len(self.data):
            self.data += piece.data


class DocumentFetch:
    """Fetches the newest document that other nodes serve under `path`.

    `on_document` is called with its version and bytes. `read_store` reads the document from the
    store instead and returns whether the store answered.
    """

    def __init__(
        self,
        path: str,
        archive: DocumentArchive,
        own_version: Callable[[], EraVersion],
        on_document: Callable[[EraVersion, bytes], None],
        read_store: Callable[[], Awaitable[bool]],
    ) -> None:
        self._path = path
        self._archive = archive
        self._own_version = own_version
        self._on_document = on_document
        self._read_store = read_store
        self._sources: dict[str, Source] = {}
        self._newer_since = -1e9
        self._newer_known = asyncio.Event()
        self._transfer = Transfer()
        self._ignore_bases = False
        self._rng = random.Random()

    def add_source(self, control: str, version: EraVersion, power: float, now: float) -> None:
        """Record the version that a node announced; `control` is the node's address for fetches."""
        known = self._sources.get(control)
        if known is not None and known.version >= version:
            return
        self._sources[control] = Source(version, power)
        if not self._newer_known.is_set():
            self._newer_since = now
        self._newer_known.set()

    def is_behind(self, now: float) -> bool:
        """Return whether a newer document is known but not fetched yet."""
        return self._newer_known.is_set() and now - self._newer_since < NEWER_VERSION_TTL_S

    async def run(self) -> None:
        """Fetch newer documents, forever."""
        while True:
            await self._newer_known.wait()
            await self._fetch_newest()
            self._newer_known.clear()

    async def _fetch_newest(self) -> None:
        """Fetch pieces until no source has a newer document than this node.

        Give up after `NEWER_VERSION_TTL_S`, and read the store if no piece arrives.
        """
        fallback_delay_s = self._fallback_delay_s()
        without_piece_s = 0.0
        stepped_at = monotonic()
        while True:
            sources = self._newer_sources()
            if not sources:
                return
            now = monotonic()
            if now - self._newer_since > NEWER_VERSION_TTL_S:
                self._sources.clear()
                return
            without_piece_s += min(now - stepped_at, MAX_STEP_S)
            stepped_at = now
            if without_piece_s > fallback_delay_s:
                await self._read_store()
                without_piece_s, fallback_delay_s = 0.0, self._fallback_delay_s()
                stepped_at = monotonic()
                continue
            control = self._choose(sources, now)
            if control is None:
                await asyncio.sleep(BUSY_RETRY_S)
            elif await self._fetch_piece(control):
                without_piece_s, stepped_at = 0.0, monotonic()

    def _fallback_delay_s(self) -> float:
        """Return a random time without a piece after which the store is read."""
        return STORE_FALLBACK_S + STORE_FALLBACK_JITTER_S * self._rng.random()

    def _newer_sources(self) -> dict[str, Source]:
        """Drop sources that have nothing newer than this node, and return the others."""
        own = self._own_version()
        self._sources = {name: each for name, each in self._sources.items() if each.version > own}
        return self._sources

    def _choose(self, sources: dict[str, Source], now: float) -> str | None:
        """Choose at random among the sources that are not paused, weighted by their capacity."""
        free = [name for name, each in sources.items() if each.paused_until <= now]
        if not free:
            return None
        weights = [min(max(sources[name].power, MIN_POWER), MAX_POWER) for name in free]
        return self._rng.choices(free, weights)[0]

    async def _fetch_piece(self, control: str) -> bool:
        """Fetch the next piece from a source; return whether a usable one arrived."""
        source = self._sources[control]
        outcome = await self._request_piece(control)
        now = monotonic()
        if isinstance(outcome, Err):
            source.paused_until = now + outcome.err_value
            return False
        piece = outcome.ok_value
        if piece.era_version <= self._own_version():
            del self._sources[control]
            return False
        self._transfer.add(piece)
        if len(self._transfer.data) >= piece.size and not self._finish_transfer(piece):
            source.paused_until = now + FAILED_RETRY_S
            return False
        return True

    async def _request_piece(self, control: str) -> Result[DocumentPiece, float]:
        """Request a piece; the error is the number of seconds for which to pause the source."""
        transfer = self._transfer
        have = "" if self._ignore_bases else self._archive.newest
        if transfer.frame:
            # Sources have different bases; with the base of the begun frame any of them can
            # continue it.
            have = transfer.base
        request = PieceRequest(have, transfer.frame, len(transfer.data))
        caller = HttpCaller(control)
        outcome = await caller.call(
            "GET", piece_path(self._path, request), timeout_s=PIECE_TIMEOUT_S
        )
        caller.close()
        if isinstance(outcome, Err):
            emit(
                Event.PEER_FETCH_FAILED, what=self._path, peer=control, why=outcome.err_value.detail
            )
            return Err(FAILED_RETRY_S)
        if outcome.ok_value.status != 200:
            return Err(BUSY_RETRY_S * (1.0 + self._rng.random()))
        try:
            return Ok(decode_msgpack(outcome.ok_value.body, DocumentPiece))
        except msgspec.DecodeError as error:
            emit(Event.PEER_FETCH_FAILED, what=self._path, peer=control, why=str(error))
            return Err(FAILED_RETRY_S)

    def _finish_transfer(self, piece: DocumentPiece) -> bool:
        """Decode a complete frame and return whether its document was adopted.

        After a frame that can't be decoded, the document is fetched without a base.
        """
        transfer, self._transfer = self._transfer, Transfer()
        base = self._archive.raw(transfer.base)
        try:
            if base is None:
                raise DocumentUnreadable("the base is not archived")
            raw = decode(bytes(transfer.data), base, piece.digest)
        except DocumentUnreadable as error:
            self._ignore_bases = True
            emit(
                Event.PEER_FETCH_FAILED,
                what=self._path,
                version=piece.version,
                base=piece.base,
                why=str(error),
            )
            return False
        self._ignore_bases = False
        self._on_document(piece.era_version, raw)
        return self._own_version() >= piece.era_version
