"""Reads entries of the server list; malformed ones of other writers are logged and skipped."""

from typing import Literal

import msgspec

from moledale import field_types as fields
from moledale.decoding import decode_json
from moledale.gateway.messages import Server
from moledale.gateway.state_rows import UnreadableLog
from moledale.host_port import split_address
from moledale.platform.records import Record, RowRecord

INCARNATION_SEPARATOR = "#"
"""Separates a server's id from the start time of its process. A server that restarts under the same
id has lost all its state, so each incarnation counts as a different server."""


class ServerRecord(Record, frozen=True):
    """An entry; `born` is when the server's process started, in Unix milliseconds."""

    service: fields.Name
    address: fields.Address
    zone: fields.Text
    version: fields.HeaderText
    slots: fields.UsableSlotCount
    state: Literal["ready", "draining"]
    seq: int
    spot: bool = False
    leaves_ms: fields.Milliseconds | None = msgspec.field(default=None, name="leaves_ms")
    born: fields.Whole | None = None


class EntryReader:
    """Reads entries, and logs each unreadable one once per version of its row."""

    def __init__(self) -> None:
        self._log = UnreadableLog()

    def read(self, row: RowRecord) -> Server | None:
        """Return the server that an entry describes, or None if it can't be read."""
        return self._log.parse(row.table, row.key, row.ver, lambda: read_server(row))


def read_server(row: RowRecord) -> Server:
    """Decode an entry; raise ValueError if it can't be read."""
    record = decode_json(row.body(), ServerRecord)
    split_address(record.address)
    server_id = msgspec.convert(row.key, fields.ServerId)
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
