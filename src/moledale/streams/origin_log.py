"""Which version began each stream, kept in the store for when all nodes end at once.

Nodes tell each other which version began a stream while a service has several
(`streams.origins`), so one node can write for all. In a cluster that is too large for each node to
be told of each stream, nothing is written.
"""

import asyncio
from collections.abc import Callable

import msgspec
from result import Err

from moledale.clock import monotonic
from moledale.gateway.outside import ABSENT_VERSION, StateRow, Store, WriteResult
from moledale.gateway.state_rows import decode_row
from moledale.gateway.store_health import StoreHealth
from moledale.gateway.usage import TrueTime

ORIGIN_TABLE = "stream_origins"

DIGEST_BYTES = 8
"""Size of the digest that names a stream."""

WRITE_INTERVAL_S = 0.1
"""Streams that begin within this time are written together, and lost if all nodes end meanwhile."""

SLOTS = 320
"""Rows of the table. A row is replaced after so many intervals, which is longer than callers resume
a stream."""

CALL_TIMEOUT_S = 0.3
"""Timeout of a store call: a resumed stream waits for a read, and a late row is of little use."""

MAX_KEPT_S = 2.0
"""Nodes that do not write keep streams for this long, in case that they have to write next."""

Streams = dict[str, bytes]
"""By version, the digests of the requests that began its streams, one after the other."""


class OriginRow(msgspec.Struct, frozen=True):
    """The streams that began until `at_s` on the store's clock, since the row before it."""

    at_s: float
    streams: Streams


class _Begun(msgspec.Struct, frozen=True):
    """A stream that is not written yet: its version, and when it was added."""

    version: str
    added_at: float


class OriginLog:
    """Writes the versions that began streams, and reads them where no node knows them.

    `is_writer` returns whether this node writes on behalf of all, and `is_used` whether any node
    does. `keep` takes over what was read.
    `lifetime_s` returns for how long after its first event a stream may be resumed.
    """

    def __init__(
        self,
        store: Store,
        true_time: TrueTime,
        is_writer: Callable[[], bool],
        is_used: Callable[[], bool],
        keep: Callable[[Streams], None],
        lifetime_s: Callable[[], float],
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._store = store
        self._true_time = true_time
        self._is_writer = is_writer
        self._is_used = is_used
        self._keep = keep
        self._lifetime_s = lifetime_s
        self._now = now
        self._unwritten: dict[bytes, _Begun] = {}
        self._added = asyncio.Event()
        self._versions: dict[str, int] = {}
        self._health = StoreHealth("origins of streams")
        self._read_task: asyncio.Task[None] | None = None

    def add(self, streams: dict[bytes, str]) -> None:
        """Add streams that began, by digest."""
        now = self._now()
        self._unwritten.update({stream: _Begun(each, now) for stream, each in streams.items()})
        self._added.set()

    async def run(self) -> None:
        """Write what was added, forever; after a start read what former processes wrote."""
        await self.read()
        while True:
            await self._added.wait()
            await asyncio.sleep(WRITE_INTERVAL_S)
            if self._is_writer():
                await self._write()
            else:
                self._drop_older(MAX_KEPT_S)
            if not self._unwritten:
                self._added.clear()

    async def read(self) -> None:
        """Read what nodes wrote and hand it to `keep`; calls at the same time share one read."""
        if not self._is_used():
            return
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._read())
        await asyncio.shield(self._read_task)

    async def _read(self) -> None:
        outcome = await self._store.read(ORIGIN_TABLE, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            self._health.record_failure(outcome.err_value.detail)
            return
        self._health.record_success()
        snapshot = outcome.ok_value
        self._versions = {row.key: row.version for row in snapshot.rows}
        for row in snapshot.rows:
            self._keep_row(row, snapshot.store_s)

    def _keep_row(self, stored: StateRow, store_s: float) -> None:
        row = decode_row(ORIGIN_TABLE, stored, OriginRow)
        if row is not None and store_s - row.at_s < self._lifetime_s():
            self._keep(row.streams)

    async def _write(self) -> None:
        """Write the streams that were added; they are kept for the next row if that fails."""
        store_s = self._true_time.to_store(self._now())
        if store_s is None:
            return
        written = {stream: each.version for stream, each in self._unwritten.items()}
        key = f"{int(store_s / WRITE_INTERVAL_S) % SLOTS:03}"
        row = OriginRow(store_s, by_version(written))
        result = await self._put(key, row)
        if result is not None and self._is_of_former_round(result.conflicting_row, row):
            result = await self._put(key, row)
        if result is None or not result.committed:
            self._drop_older(self._lifetime_s())
            return
        for stream in written:
            self._unwritten.pop(stream, None)

    async def _put(self, key: str, row: OriginRow) -> WriteResult | None:
        """Write a row unless there is one that this node does not know; None without an answer."""
        value = msgspec.json.encode(row)
        expected = self._versions.get(key, ABSENT_VERSION)
        outcome = await self._store.write(ORIGIN_TABLE, key, value, expected, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            self._health.record_failure(outcome.err_value.detail)
            return None
        self._health.record_success()
        result = outcome.ok_value
        conflicting = result.conflicting_row
        if result.committed:
            self._versions[key] = result.version
        elif conflicting is not None:
            self._versions[key] = conflicting.version
        else:
            self._versions.pop(key, None)
        return result

    def _is_of_former_round(self, stored: StateRow | None, row: OriginRow) -> bool:
        """Return whether a stored row may be replaced: it is unreadable, or of an earlier round.

        One of this round is that of another writer, which this node may not hear.
        """
        if stored is None:
            return False
        found = decode_row(ORIGIN_TABLE, stored, OriginRow)
        return found is None or row.at_s - found.at_s > WRITE_INTERVAL_S * SLOTS / 2

    def _drop_older(self, age_s: float) -> None:
        """Drop streams that were added longer ago than `age_s`."""
        oldest = self._now() - age_s
        kept = {stream: each for stream, each in self._unwritten.items() if each.added_at > oldest}
        self._unwritten = kept


def by_version(streams: dict[bytes, str]) -> Streams:
    """Return digests of streams by the version that began them."""
    grouped: dict[str, bytearray] = {}
    for stream, version in streams.items():
        grouped.setdefault(version, bytearray()).extend(stream)
    return {version: bytes(packed) for version, packed in grouped.items()}


def digests_in(packed: bytes) -> list[bytes]:
    """Return the digests in a run of them; a part of one at its end is dropped."""
    whole = len(packed) - len(packed) % DIGEST_BYTES
    return [packed[start : start + DIGEST_BYTES] for start in range(0, whole, DIGEST_BYTES)]
