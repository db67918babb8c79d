"""Reads entries of the server list; malformed ones of other writers are logged and skipped."""

from typing import Annotated, Literal

import msgspec
from cachetools import LRUCache

from moledale.decoding import decode_json
from moledale.gateway.messages import Server
from moledale.host_port import split_address
from moledale.log import Event, emit
from moledale.platform.records import (
    MAX_SLOTS,
    HeaderText,
    Milliseconds,
    Record,
    RowRecord,
    Text,
    Whole,
)

INCARNATION_SEPARATOR = "#"
"""Separates a server's id from the start time of its process. A server that restarts under the same
id has lost all its state, so each incarnation counts as a different server."""

MAX_LOGGED_ENTRIES = 1_000
"""Maximum unreadable entries that are remembered as already logged: 0.1 MB."""

Address = Annotated[str, msgspec.Meta(max_length=261, pattern=r"\A[^:\s]+:[1-9][0-9]{0,4}\Z")]


class ServerRecord(Record, frozen=True):
    """An entry; `born` is when the server's process started, in Unix milliseconds."""

    service: Annotated[Text, msgspec.Meta(min_length=1)]
    address: Address
    zone: Text
    version: HeaderText
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    seq: int
    spot: bool = False
    leaves_ms: Milliseconds | None = msgspec.field(default=None, name="leaves_ms")
    born: Whole | None = None


class EntryReader:
    """Reads entries, and logs each unreadable one once per version of its row."""

    def __init__(self) -> None:
        self._logged: LRUCache[str, int] = LRUCache(MAX_LOGGED_ENTRIES)

    def read(self, row: RowRecord) -> Server | None:
        """Return the server that an entry describes, or None if it can't be read."""
        try:
            return read_server(row)
        except ValueError as error:
            if self._logged.get(row.key) != row.ver:
                self._logged[row.key] = row.ver
                emit(Event.ROW_UNREADABLE, table=row.table, key=row.key, why=str(error))
            return None


def read_server(row: RowRecord) -> Server:
    """Decode an entry; raise ValueError if it can't be read."""
    record = decode_json(row.body(), ServerRecord)
    split_address(record.address)
    server_id = msgspec.convert(row.key, HeaderText)
    if not server_id or INCARNATION_SEPARATOR in server_id:
        raise ValueError("the key is no id of a server")
    return Server(
        server_id if record.born is None else f"{server_id}{INCARNATION_SEPARATOR}{record.born}",
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
    """Return the id under which the platform knows a server, without its incarnation."""
    return server.partition(INCARNATION_SEPARATOR)[0]
