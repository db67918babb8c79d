"""Fetching a newer document, the plan or the list of servers, from nodes that have it.

Documents come piece by piece. Each node that has one serves it to others, so the number of sources
doubles as it spreads. A source that is dark, slow or busy is left for another, and what came before
is kept. Where no source delivers, the document is read from the store after a time that differs by
chance, so that not all come at once.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from moledale.clock import monotonic
from moledale.gateway.calls import HttpCaller
from moledale.gateway.document_archive import DocumentArchive, DocumentPiece, PieceRequest
from moledale.gateway.document_codec import DocumentUnreadable, decode
from moledale.gateway.store_era import EraVersion
from moledale.log import Event, emit

PLAN_PATH = "/peer/plan"
SERVERS_PATH = "/peer/servers"
PIECE_TIMEOUT_S = 0.4
"""Time for one piece, with a new connection: 26 ms at 5 Mbit/s, and others before it in the
queue."""

BUSY_RETRY_S = 0.03
"""A source that is busy is asked again after this time: that of a piece at 5 Mbit/s, 26 ms."""

FAILED_RETRY_S = 1.0
"""A source that failed is not asked again for this long while there are others."""

STORE_FALLBACK_S = 1.0
"""Without a piece from any source for this long, the store is asked."""

STORE_FALLBACK_JITTER_S = 0.6
"""The store is asked up to this much later, by chance: 390 nodes ask it 650 times a second at
most."""

NEWER_VERSION_TTL_S = 5.0
"""Word of a newer document that nobody delivers within this time is not believed any longer."""


def piece_path(path: str, wanted: PieceRequest) -> str:
    """Return the path that asks for a piece."""
    return f"{path}?{urlencode(msgspec.structs.asdict(wanted))}"


class Source(msgspec.Struct):
    """A node that says it has a document, and what it can carry (see `directory.power_of`)."""

    version: EraVersion
    power: float
    paused_until: float = 0.0


class Transfer(msgspec.Struct):
    """What came of one frame so far."""

    base: str = ""
    frame: str = ""
    data: bytearray = msgspec.field(default_factory=bytearray)

    def add(self, piece: DocumentPiece) -> None:
        """Add a piece; one of another frame begins anew."""
        if piece.frame != self.frame:
            self.base, self.frame, self.data = piece.base, piece.frame, bytearray()
        if piece.offset == len(self.data):
            self.data += piece.data


class DocumentFetch:
    """Brings the newest document that other nodes have under `path`.

    `took` gets its version and bytes; `read_store` says whether the store answered.
    """

    def __init__(
        self,
        path: str,
        archive: DocumentArchive,
        own_version: Callable[[], EraVersion],
        took: Callable[[EraVersion, bytes], None],
        read_store: Callable[[], Awaitable[bool]],
    ) -> None:
        self._path = path
        self._archive = archive
        self._own_version = own_version
        self._on_document = took
        self._read_store = read_store
        self._sources: dict[str, Source] = {}
        self._newer_since = -1e9
        self._newer_known = asyncio.Event()
        self._transfer = Transfer()
        self._ignore_bases = False
        self._rng = random.Random()

    def add_source(self, control: str, version: EraVersion, power: float, now: float) -> None:
        """Note a node's word of the document that it has."""
        known = self._sources.get(control)
        if known is not None and known.version >= version:
            return
        self._sources[control] = Source(version, power)
        if not self._newer_known.is_set():
            self._newer_since = now
        self._newer_known.set()

    def is_behind(self, now: float) -> bool:
        """Say whether a newer document is known of that is not here yet."""
        return self._newer_known.is_set() and now - self._newer_since < NEWER_VERSION_TTL_S

    async def run(self) -> None:
        """Fetch newer documents for ever."""
        while True:
            await self._newer_known.wait()
            await self._fetch_newest()
            self._newer_known.clear()

    async def _fetch_newest(self) -> None:
        """Ask sources until none of them has a newer document than this node."""
        patience_s = self._fallback_delay_s()
        got_at = monotonic()
        while True:
            sources = self._newer_sources()
            if not sources:
                return
            now = monotonic()
            if now - self._newer_since > NEWER_VERSION_TTL_S:
                self._sources.clear()
                return
            if now - got_at > patience_s:
                await self._read_store()
                got_at, patience_s = monotonic(), self._fallback_delay_s()
                continue
            control = self._choose(sources, now)
            if control is None:
                await asyncio.sleep(BUSY_RETRY_S)
            elif await self._fetch_piece(control):
                got_at = monotonic()

    def _fallback_delay_s(self) -> float:
        return STORE_FALLBACK_S + STORE_FALLBACK_JITTER_S * self._rng.random()

    def _newer_sources(self) -> dict[str, Source]:
        own = self._own_version()
        self._sources = {name: each for name, each in self._sources.items() if each.version > own}
        return self._sources

    def _choose(self, sources: dict[str, Source], now: float) -> str | None:
        """Choose among the sources that are not paused; strong ones more often."""
        free = [name for name, each in sources.items() if each.paused_until <= now]
        if not free:
            return None
        weights = [sources[name].power for name in free]
        return self._rng.choices(free, weights)[0]

    async def _fetch_piece(self, control: str) -> bool:
        """Ask a source for the next piece; say whether one came."""
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
        """Return a piece, or for how long the source should be left alone."""
        transfer = self._transfer
        have = "" if self._ignore_bases else self._archive.newest
        if transfer.frame:
            # Sources keep different bases; all of them can go on with the frame that was begun.
            have = transfer.base
        wanted = PieceRequest(have, transfer.frame, len(transfer.data))
        caller = HttpCaller(control)
        outcome = await caller.call(
            "GET", piece_path(self._path, wanted), timeout_s=PIECE_TIMEOUT_S
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
            return Ok(msgspec.msgpack.decode(outcome.ok_value.body, type=DocumentPiece))
        except msgspec.DecodeError as error:
            emit(Event.PEER_FETCH_FAILED, what=self._path, peer=control, why=str(error))
            return Err(FAILED_RETRY_S)

    def _finish_transfer(self, piece: DocumentPiece) -> bool:
        """Read a frame that came whole; one that can't be read is fetched without a base.

        Return whether its document was taken over here.
        """
        transfer, self._transfer = self._transfer, Transfer()
        base = self._archive.raw(transfer.base)
        try:
            if base is None:
                raise DocumentUnreadable("its base is not here")
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
