"""Group commit: combines the durable writes of many requests into one table transaction."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
from result import Err

from moledale.backing.stored_rows import decode_row
from moledale.backing.types import Condition, TableService, Transaction, Write
from moledale.clock import Clock
from moledale.log import Event, emit
from moledale.node.mailbox import Mailbox

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 512_000
MAX_ATTEMPTS = 3
RETRY_STEP_S = 0.1
"""Pause after a failed read, and after a batch's first failed transaction; each further failure of
the batch makes it longer by this much."""


class JournaledRow(msgspec.Struct):
    """The field that all rows written through the journal have: the operation that wrote them."""

    operation: str


class Outcome(StrEnum):
    """Outcome of committing an entry; `UNKNOWN` if it may or may not have been written."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    NOT_WRITTEN = "not-written"


@dataclass(slots=True)
class Entry:
    """The conditions and writes of one request; the value of its first put contains `operation`.

    A put is a write with a value, not a deletion. Once committed, `versions` holds the new row
    versions in the order of the writes. If the answer was lost and reading the first put back
    showed that the entry is committed, only the version of that row is known; the others are 0.
    """

    operation: str
    conditions: list[Condition]
    writes: list[Write]
    versions: list[int] = field(default_factory=list)
    done: "asyncio.Future[Outcome] | None" = None

    def size(self) -> int:
        """Return the approximate number of bytes that the entry adds to a transaction."""
        return sum(len(write.value or "") + len(write.key) + 64 for write in self.writes)


def new_operation() -> str:
    """Return a new unique operation id."""
    return uuid.uuid4().hex


class Journal:
    """Collects entries for a short interval and commits them in one transaction.

    The interval is the latency that durability adds to a request. It also bounds a node's write
    rate, and grows with the number of nodes so that all nodes together stay within the table's
    limit. Entries are independent: one whose condition fails is removed from the batch, and the
    rest is sent again.
    """

    def __init__(
        self,
        table: TableService,
        interval_s: Callable[[], float],
        max_pending_bytes: int,
        clock: Clock,
    ) -> None:
        self._table = table
        self._interval_s = interval_s
        self._clock = clock
        self._inbox: Mailbox[Entry] = Mailbox("journal", 4 * MAX_BATCH_ENTRIES)
        self._max_pending_bytes = max_pending_bytes
        self._pending_bytes = 0
        self.transactions = 0

    async def commit(self, entry: Entry) -> Outcome:
        """Queue an entry for the next transaction and return its outcome.

        It is rejected as not written if too many bytes or entries are pending.
        """
        if self._pending_bytes + entry.size() > self._max_pending_bytes:
            return Outcome.NOT_WRITTEN
        entry.done = asyncio.get_running_loop().create_future()
        if not self._inbox.put(entry):
            return Outcome.NOT_WRITTEN
        self._pending_bytes += entry.size()
        try:
            return await entry.done
        finally:
            self._pending_bytes -= entry.size()

    async def run(self) -> None:
        """Commit batches in an endless loop."""
        while True:
            batch = await self._collect()
            try:
                await self._commit_batch(batch)
            finally:
                for entry in batch:
                    _settle(entry, Outcome.UNKNOWN)

    async def _collect(self) -> list[Entry]:
        batch = [await self._inbox.get()]
        await self._clock.sleep(self._interval_s())
        size = batch[0].size()
        while len(batch) < MAX_BATCH_ENTRIES and size < MAX_BATCH_BYTES:
            entry = self._inbox.get_nowait()
            if entry is None:
                break
            batch.append(entry)
            size += entry.size()
        return batch

    async def _commit_batch(self, batch: list[Entry]) -> None:
        """Commit a batch; after a conflict, retry without the conflicting entries."""
        rest = batch
        uncertain = False
        failures = 0
        while rest:
            conditions = [condition for entry in rest for condition in entry.conditions]
            writes = [write for entry in rest for write in entry.writes]
            self.transactions += 1
            outcome = await self._table.transact(Transaction(new_operation(), conditions, writes))
            if isinstance(outcome, Err):
                uncertain = uncertain or outcome.err_value.uncertain
                failures += 1
                if failures >= MAX_ATTEMPTS:
                    self._abandon(rest, uncertain)
                    return
                if outcome.err_value.uncertain:
                    emit(Event.WRITE_UNCERTAIN, entries=len(rest))
                await self._clock.sleep(RETRY_STEP_S * failures)
                continue
            if outcome.ok_value.committed:
                _settle_committed(rest, outcome.ok_value.versions)
                return
            rest = await self._without_conflicts(rest, outcome.ok_value.failed, uncertain)

    async def _without_conflicts(
        self, batch: list[Entry], failed: list[int], uncertain: bool
    ) -> list[Entry]:
        """Settle the entries whose conditions failed and return the rest.

        After an uncertain transaction a conflict may be with the entry's own write, so the row is
        read back.
        """
        conflicting = _entries_with_conditions(batch, failed)
        for entry in conflicting:
            if uncertain:
                _settle(entry, await self._read_back(entry))
            else:
                _settle(entry, Outcome.CONFLICT)
        return [entry for entry in batch if entry not in conflicting]

    async def _read_back(self, entry: Entry) -> Outcome:
        """Read an entry's row back to find out if the entry itself wrote it or another one did."""
        write = next((write for write in entry.writes if write.value is not None), None)
        if write is None:
            return Outcome.UNKNOWN
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._table.read(write.table, write.key)
            if isinstance(outcome, Err):
                await self._clock.sleep(RETRY_STEP_S)
                continue
            row = outcome.ok_value
            if row is None:
                return Outcome.CONFLICT
            found = decode_row(write.table, row, JournaledRow)
            if found is not None and found.operation == entry.operation:
                entry.versions = [row.version if w is write else 0 for w in entry.writes]
                return Outcome.COMMITTED
            return Outcome.CONFLICT
        return Outcome.UNKNOWN

    def _abandon(self, batch: list[Entry], uncertain: bool) -> None:
        for entry in batch:
            _settle(entry, Outcome.UNKNOWN if uncertain else Outcome.NOT_WRITTEN)


def _settle(entry: Entry, outcome: Outcome) -> None:
    if entry.done is not None and not entry.done.done():
        entry.done.set_result(outcome)


def _settle_committed(batch: list[Entry], versions: list[int]) -> None:
    position = 0
    for entry in batch:
        entry.versions = versions[position : position + len(entry.writes)]
        position += len(entry.writes)
        _settle(entry, Outcome.COMMITTED)


def _entries_with_conditions(batch: list[Entry], conditions: list[int]) -> list[Entry]:
    """Return the entries whose conditions are at these indices of the batch's conditions."""
    failed = set(conditions)
    found = []
    position = 0
    for entry in batch:
        if failed & set(range(position, position + len(entry.conditions))):
            found.append(entry)
        position += len(entry.conditions)
    return found
