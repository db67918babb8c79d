"""Persistence of blocked requests in the store, so that blocks survive a restart of all nodes."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import msgspec
from result import Err

from moledale.clock import monotonic
from moledale.core.quarantine import Block
from moledale.gateway.backoff import Backoff
from moledale.gateway.outside import StateRow, Store
from moledale.gateway.quarantine_sharing import QuarantineSharing
from moledale.gateway.request_guard import RequestGuard
from moledale.gateway.state_rows import decode_row, parse_or_log
from moledale.gateway.store_health import StoreHealth
from moledale.gateway.usage import TrueTime

BLOCK_TABLE = "blocks"

POLL_INTERVAL_S = 0.1
"""A node that has not received the blocks checks this often whether it serves callers by now."""

CALL_TIMEOUT_S = 0.8
"""Timeout of a store call; 200 times its usual duration."""

RETRY_INITIAL_S = 0.5
RETRY_MAX_S = 4.0
"""First and longest pause after a failed call. Nothing depends on a quick retry: peers have the
blocks that the store lacks."""

MAX_REMOVALS_PER_READ = 16
"""Expired rows that are removed after one read; each takes a store call, and none is urgent."""


class StoredBlock(msgspec.Struct, frozen=True):
    """A block as stored in its row; it expires at `until_s` on the store's clock."""

    until_s: float
    times: int


class QuarantineStore:
    """Writes the blocks that this node decided, and reads all blocks if no peer sends them.

    Blocks are written again when the store came back from an older copy and may have lost them.
    `is_serving` says whether this node serves callers, and `backoff_scale` lengthens the pauses
    between retries (see `Backoff`).
    """

    def __init__(
        self,
        store: Store,
        guard: RequestGuard,
        sharing: QuarantineSharing,
        true_time: TrueTime,
        is_serving: Callable[[], bool],
        backoff_scale: Callable[[], float],
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._store = store
        self._guard = guard
        self._sharing = sharing
        self._true_time = true_time
        self._is_serving = is_serving
        self._now = now
        self._health = StoreHealth("blocked requests")
        self._backoff = Backoff(RETRY_INITIAL_S, RETRY_MAX_S, backoff_scale)
        self._unwritten: dict[bytes, Block] = {}
        self._written: dict[bytes, Block] = {}
        self._has_unwritten = asyncio.Event()
        guard.on_block = self._on_block
        store.era.on_restored.append(self._requeue_written)

    async def run(self) -> None:
        """Write queued blocks, and read all blocks if no peer sent them, forever."""
        while True:
            await self._wait_for_work()
            if self._needs_read():
                record_success = await self._read()
            elif self._unwritten:
                record_success = await self._write()
            else:
                continue
            if record_success:
                self._backoff.reset()
                self._health.record_success()
            else:
                await asyncio.sleep(self._backoff.next_s())

    async def _wait_for_work(self) -> None:
        """Wait for a block to write, or at most one poll interval while not synced."""
        with suppress(TimeoutError):
            async with asyncio.timeout(None if self._sharing.synced else POLL_INTERVAL_S):
                await self._has_unwritten.wait()

    def _on_block(self, block: Block) -> None:
        self._unwritten[block.fingerprint] = block
        self._has_unwritten.set()
        self._sharing.broadcast_block(block)

    def _requeue_written(self) -> None:
        """Queue the written blocks that have not expired to be written again."""
        self._unwritten = self._unexpired(self._written) | self._unwritten
        self._written.clear()
        if self._unwritten:
            self._has_unwritten.set()

    def _unexpired(self, blocks: dict[bytes, Block]) -> dict[bytes, Block]:
        """Return the blocks that have not expired."""
        now = self._now()
        return {key: block for key, block in blocks.items() if not block.is_expired(now)}

    def _needs_read(self) -> bool:
        """Return whether this node serves callers but has not received the blocks from a peer.

        A node listens to its peers before it serves, for longer than they take to send their state,
        so if it is not synced by then, no peer that it reaches has the blocks.
        """
        return self._is_serving() and not self._sharing.synced

    async def _read(self) -> bool:
        """Read all blocks and remove expired rows; return whether the read succeeded."""
        outcome = await self._store.read(BLOCK_TABLE, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            self._health.record_failure(outcome.err_value.detail)
            return False
        snapshot = outcome.ok_value
        blocks = [self._decode_block(row, snapshot.store_s) for row in snapshot.rows]
        known = [block for block in blocks if block is not None]
        for block in known:
            if not block.is_expired(self._now()):
                self._guard.merge_block(block)
        self._sharing.synced = True
        await self._remove_expired([block for block in known if block.is_expired(self._now())])
        return True

    def _decode_block(self, row: StateRow, store_s: float) -> Block | None:
        """Return a row's block; None, logged, if the row is corrupt. Such a row is not removed.

        `store_s` is the store's clock at the read.
        """
        fingerprint = parse_or_log(BLOCK_TABLE, row.key, lambda: bytes.fromhex(row.key))
        stored = decode_row(BLOCK_TABLE, row, StoredBlock)
        if fingerprint is None or stored is None:
            return None
        return Block(fingerprint, self._now() + stored.until_s - store_s, stored.times)

    async def _remove_expired(self, expired: list[Block]) -> None:
        """Remove the rows of expired blocks; those left are removed after the next read."""
        for block in expired[:MAX_REMOVALS_PER_READ]:
            key = block.fingerprint.hex()
            failure = await self._store.remove(BLOCK_TABLE, key, CALL_TIMEOUT_S)
            if failure is not None:
                self._health.record_failure(failure.detail)
                return

    async def _write(self) -> bool:
        """Write one block, replacing the row of an earlier block of the same request.

        Return whether that succeeded.
        """
        fingerprint, block = next(iter(self._unwritten.items()))
        store_s = self._true_time.to_store(self._now())
        if store_s is None:
            return False
        stored = StoredBlock(store_s + block.until - self._now(), block.times)
        value = msgspec.json.encode(stored)
        failure = await self._store.put(BLOCK_TABLE, fingerprint.hex(), value, CALL_TIMEOUT_S)
        if failure is not None:
            self._health.record_failure(failure.detail)
            return False
        if self._unwritten.get(fingerprint) is block:
            del self._unwritten[fingerprint]
            self._written = self._unexpired(self._written) | {fingerprint: block}
        if not self._unwritten:
            self._has_unwritten.clear()
        return True
