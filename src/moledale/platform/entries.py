"""Entries of the list of servers, which others than our servers may have written as well.

An entry that is not as the platform says names no server, and the others hold.
"""

from typing import Annotated, Literal

import msgspec
from cachetools import LRUCache

from moledale.gateway.messages import Server
from moledale.log import Event, emit
from moledale.platform.records import Record, RowRecord

INCARNATION_SEPARATOR = "#"
"""Parts a server's id from the start of its process: one that starts again under its id holds and
knows nothing of before, so the product takes it for another server."""

MAX_LOGGED_ENTRIES = 1_000
"""Entries that can't be read of which it is remembered that they were logged: 0.1 MB."""

Address = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:[1-9][0-9]{0,4}$")]


class ServerRecord(Record, frozen=True):
    """An entry; `born` is the Unix millisecond at which the server's process started."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: Address
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    seq: int
    spot: bool = False
    leaves_ms: float | None = msgspec.field(default=None, name="leaves_ms")
    born: Annotated[int, msgspec.Meta(ge=0)] | None = None


class EntryReader:
    """Reads entries, and logs each one that can't be read once for each change of it."""

    def __init__(self) -> None:
        self._logged: LRUCache[str, int] = LRUCache(MAX_LOGGED_ENTRIES)

    def read(self, row: RowRecord) -> Server | None:
        """Return the server that an entry names, or None if it names none."""
        try:
            return read_server(row)
        except (msgspec.DecodeError, ValueError) as error:
            if self._logged.get(row.key) != row.ver:
                self._logged[row.key] = row.ver
                emit(Event.ROW_UNREADABLE, table=row.table, key=row.key, why=str(error))
            return None


def read_server(row: RowRecord) -> Server:
    """Make a server of an entry; `msgspec.DecodeError` or `ValueError` if it can't be read."""
    record = msgspec.json.decode(row.body(), type=ServerRecord)
    return Server(
        row.key if record.born is None else f"{row.key}{INCARNATION_SEPARATOR}{record.born}",
        record.service,
        record.address,
        record.zone,
        record.slots,
        record.state == "draining",
        record.spot,
        None if record.leaves_ms is None else record.leaves_ms / 1000,
        record.version,
    )


def platform_id(server: str) -> str:
    """Return the id under which the platform knows a server, whichever life it is in."""
    return server.partition(INCARNATION_SEPARATOR)[0]
