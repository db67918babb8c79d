"""Stand-in for the users' platform: the row store and the duties, as the platform documents them.

It can be silent, slow or busy, lose the answers to writes that took effect, apply writes late,
discard its history, and be restored from an older snapshot. Tests can inspect what it accepted.
"""

import asyncio
import base64
import json
from dataclasses import dataclass, field, replace
from enum import StrEnum
from urllib.parse import parse_qs, urlsplit

MAX_ROWS = 500  # default limit of a page


class StoreMode(StrEnum):
    """How the store responds to calls."""

    HEALTHY = "good"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSES_WRITE_ANSWERS = "loses answers of changes"
    UNREADABLE = "gives answers that can't be read"


@dataclass(slots=True)
class Row:
    """A row of the store; a removed row is kept as `gone`, so that the feed reports it."""

    table: str
    part: str
    key: str
    value: str
    ver: int
    gone: bool = False


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Version and rows of the store at one moment."""

    version: int
    rows: dict[tuple[str, str, str], Row]


@dataclass(frozen=True, slots=True)
class DutyCall:
    """An accepted duty call; `at` is in seconds of the event loop's clock."""

    path: str
    holder: str
    fence: int
    body: dict[str, object]
    at: float = 0.0


@dataclass(slots=True)
class RowsPlatform:
    """Serves the store and the duties at one address.

    A feed that starts before version `history_from` gets status 410.
    """

    mode: StoreMode = StoreMode.HEALTHY
    delay_s: float = 0.0
    history_from: int = 0
    version: int = 0
    era: int = 1
    rows: dict[tuple[str, str, str], Row] = field(default_factory=dict)
    duty_calls: list[DutyCall] = field(default_factory=list)
    spot_refused_zones: set[str] = field(default_factory=set)
    calls: int = 0
    reads: dict[str, int] = field(default_factory=dict)
    address: str = ""
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, body: object) -> int:
        """Write a row as the operator or a server does; return its version."""
        value = base64.b64encode(json.dumps(body).encode()).decode()
        self.version += 1
        self.rows[(table, "", key)] = Row(table, "", key, value, self.version)
        self._changed.set()
        return self.version

    def drop(self, table: str, key: str) -> None:
        """Mark a row as removed."""
        self.version += 1
        row = self.rows.get((table, "", key))
        if row is not None:
            row.gone, row.ver = True, self.version
        self._changed.set()

    def body(self, table: str, key: str) -> object:
        """Return the decoded value of a row, or None."""
        row = self.rows.get((table, "", key))
        if row is None or row.gone:
            return None
        return json.loads(base64.b64decode(row.value))

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot that the store can be restored from."""
        return StoreSnapshot(self.version, {name: replace(row) for name, row in self.rows.items()})

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a snapshot in a new era: later writes are lost, and their versions are reused."""
        self.era += 1
        self.version = snapshot.version
        self.rows = {name: replace(row) for name, row in snapshot.rows.items()}
        self._changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, headers = _parse(head)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                self.calls += 1
                if self.mode is StoreMode.RESET:
                    writer.transport.abort()
                    return
                if self.mode is StoreMode.SILENT:
                    await asyncio.sleep(3600)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                status: int = 503
                answer: dict[str, object] = {}
                if self.mode is not StoreMode.BUSY:
                    status, answer = await self._answer(method, target, headers, body)
                if self.mode is StoreMode.LOSES_WRITE_ANSWERS and method == "POST":
                    await asyncio.sleep(3600)
                unreadable = self.mode is StoreMode.UNREADABLE
                data = b"<html>" if unreadable else json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, self.era, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path in ("/usage", "/scale"):
            return self._duty(url.path, headers, json.loads(body))
        if url.path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/v1/rows-get":
            return self._get(query)
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _duty(
        self, path: str, headers: dict[str, str], body: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        if body.get("spot") and body.get("zone") in self.spot_refused_zones:
            return 409, {}
        now = asyncio.get_running_loop().time()
        call = DutyCall(path, headers["duty-holder"], int(headers["fence-token"]), body, now)
        self.duty_calls.append(call)
        return 200, {}

    def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, dict[str, object]]:
        conditions = [(_row_id(each), each["ver"]) for each in body["expectedRev"]]
        existing = []
        failed = False
        for name, ver in conditions:
            row = self.rows.get(name)
            current = row if row is not None and not row.gone else None
            failed = failed or (current.ver if current is not None else 0) != ver
            if current is not None:
                existing.append(_encode_row(current))
        if failed:
            return 412, {"rows": existing, "ver": self.version, "now_ms": self._now_ms()}
        self.version += 1
        for each in body["put"]:
            table, part, key = name = _row_id(each)
            self.rows[name] = Row(table, part, key, str(each["value"]), self.version)
        for each in body["remove"]:
            found = self.rows.get(_row_id(each))
            if found is not None:
                found.gone, found.ver = True, self.version
        self._changed.set()
        return 200, {"ver": self.version, "now_ms": self._now_ms()}

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        table = query["table"]
        self.reads[table] = self.reads.get(table, 0) + 1
        rows = [
            row
            for row in sorted(self.rows.values(), key=lambda row: row.key.encode())
            if row.table == table and not row.gone and row.key >= query.get("from", "")
        ]
        limit = int(query.get("limit", MAX_ROWS))
        return 200, {
            "rows": [_encode_row(row) for row in rows[:limit]],
            "more": len(rows) > limit,
            "ver": self.version,
            "now_ms": self._now_ms(),
        }

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        after = int(query["startAfter"])
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            if not self.history_from <= after <= self.version:
                return 410, {}
            rows = [r for r in self.rows.values() if r.table == query["table"] and r.ver > after]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                encoded = [_encode_row(row) for row in sorted(rows, key=lambda row: row.ver)]
                return 200, {"rows": encoded, "ver": self.version, "now_ms": self._now_ms()}
            self._changed.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _now_ms(self) -> int:
        return int(asyncio.get_running_loop().time() * 1000)


def _row_id(entry: dict[str, object]) -> tuple[str, str, str]:
    return str(entry["table"]), str(entry.get("part", "")), str(entry["key"])


def _encode_row(row: Row) -> dict[str, object]:
    encoded: dict[str, object] = {
        "table": row.table,
        "part": row.part,
        "key": row.key,
        "ver": row.ver,
    }
    encoded.update({"gone": True} if row.gone else {"value": row.value})
    return encoded


def _parse(head: bytes) -> tuple[str, str, dict[str, str]]:
    request_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = request_line.split(" ")
    pairs = (line.split(":", 1) for line in lines)
    return method, target, {name.strip().lower(): value.strip() for name, value in pairs}
