"""Adapter for the platform's store of rows."""

import base64
from functools import partial
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from moledale.core.rollouts import Phase, RolloutNews, RolloutOrder
from moledale.decoding import decode_json
from moledale.gateway import outside
from moledale.gateway.calls import HttpCaller
from moledale.gateway.messages import Headers, Server
from moledale.gateway.outside import (
    Failure,
    PlanUpdate,
    ServerList,
    StateRow,
    StatusWriteResult,
    StoredRollout,
    TableSnapshot,
    WriteResult,
)
from moledale.gateway.plan import Plan
from moledale.gateway.state_rows import decode_row, parse_or_log
from moledale.gateway.store_era import MAX_ERA, UNKNOWN_ERA, EraVersion, StoreEra
from moledale.http_fields import first_count
from moledale.platform.entries import EntryReader, platform_id
from moledale.platform.records import (
    RowRecord,
    RowsRecord,
    encode,
    read_config,
    read_phase,
    read_rollout,
    status_body,
)

JSON_TYPE: Headers = [(b"Content-Type", b"application/json")]
ERA_HEADER = "store-era"
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
STATUS_TABLE = "status"
ROLLOUT_TABLE = "rollouts"
SERVER_TABLE = "servers"
STATUS_HISTORY_GONE = 410
"""Status of a feed response if the changes since the given version are no longer known."""

ERA_CHANGED = Failure("the store came back from an older copy", uncertain=False, history_gone=True)
WATCH_TIMEOUT_MARGIN_S = 0.7
"""Timeout of a watch beyond the time that the store may wait before it responds."""

MAX_PAGE_ROWS = 500
"""Maximum rows of a response, as the platform documents it."""

FULL_FEED_ROWS = 100
"""A feed response with this many changes may be incomplete, so the rest is requested."""


class Answer(msgspec.Struct, frozen=True):
    """A response of the store: its status and its rows."""

    status: int
    rows: RowsRecord

    def rows_if_era(self, era: int) -> Result[RowsRecord, Failure]:
        """Return the rows, or an error if they are not of this era."""
        return Ok(self.rows) if self.rows.era == era else Err(ERA_CHANGED)


class PlatformStore:
    """Reads and writes rows, the configuration and the server list in the platform's store."""

    def __init__(self, address: str) -> None:
        self.era = StoreEra()
        self._calls = HttpCaller(address)
        self._entry_reader = EntryReader()

    async def read(self, table: str, timeout_s: float) -> Result[TableSnapshot, Failure]:
        """Return all rows of a table."""
        outcome = await self._read_table(table, timeout_s)
        if isinstance(outcome, Err):
            return outcome
        record = outcome.ok_value
        rows = tuple(_state_row(row) for row in record.rows)
        return Ok(TableSnapshot(rows, record.ver, record.now_ms / 1000, record.era))

    async def write(
        self, table: str, key: str, value: bytes, expected: int, timeout_s: float
    ) -> Result[WriteResult, Failure]:
        """Put a row if its version is still `expected`."""
        row_id = {"table": table, "part": "", "key": key}
        body = {
            "expectedRev": [{**row_id, "ver": expected}],
            "put": [{**row_id, "value": _to_base64(value)}],
            "remove": [],
        }
        outcome = await self._call("POST", "/v1/rows-tx", timeout_s, encode(body), (200, 412))
        if isinstance(outcome, Err):
            return outcome
        record = outcome.ok_value.rows
        committed = outcome.ok_value.status == 200
        existing = (row for row in record.rows if row.key == key and not row.gone and row.ver)
        row = None if committed else next(existing, None)
        current = None if row is None else _state_row(row)
        return Ok(WriteResult(record.ver, committed, current, record.now_ms / 1000, record.era))

    async def put(self, table: str, key: str, value: bytes, timeout_s: float) -> Failure | None:
        """Put a row without a condition."""
        row = {"table": table, "part": "", "key": key, "value": _to_base64(value)}
        return await self._commit({"expectedRev": [], "put": [row], "remove": []}, timeout_s)

    async def remove(self, table: str, key: str, timeout_s: float) -> Failure | None:
        """Remove a row."""
        row = {"table": table, "part": "", "key": key}
        return await self._commit({"expectedRev": [], "put": [], "remove": [row]}, timeout_s)

    async def servers(
        self, timeout_s: float, before: ServerList | None = None
    ) -> Result[ServerList, Failure]:
        """Return the list of backend servers, if possible from what changed since `before`."""
        if before is not None:
            outcome = await self._servers_since(before, timeout_s)
            if isinstance(outcome, Ok) or not outcome.err_value.history_gone:
                return outcome
        outcome = await self._all_servers(timeout_s)
        if isinstance(outcome, Err) or len(outcome.ok_value.servers) < MAX_PAGE_ROWS:
            return outcome
        # Each page is a snapshot of its own; the feed has what changed between them.
        complete = await self._servers_since(outcome.ok_value, timeout_s)
        return complete.map(lambda listed: msgspec.structs.replace(listed, changed=True))

    async def _all_servers(self, timeout_s: float) -> Result[ServerList, Failure]:
        outcome = await self._read_table(SERVER_TABLE, timeout_s)
        if isinstance(outcome, Err):
            return outcome
        record = outcome.ok_value
        read = (self._entry_reader.read(row) for row in record.rows)
        servers = tuple(server for server in read if server is not None)
        return Ok(ServerList(servers, record.ver, record.now_ms / 1000, era=record.era))

    async def _servers_since(
        self, before: ServerList, timeout_s: float
    ) -> Result[ServerList, Failure]:
        """Return an earlier list with the changes since applied."""
        changes: dict[str, Server | None] = {}
        position = before.version
        for _ in range(outside.MAX_PAGES):
            path = f"/v1/rows-feed?table={SERVER_TABLE}&startAfter={position}&waitMs=0"
            answer = await self._call("GET", path, timeout_s)
            outcome = answer.and_then(lambda answer: answer.rows_if_era(before.era))
            if isinstance(outcome, Err):
                return outcome
            record = outcome.ok_value
            for row in record.rows:
                changes[row.key] = None if row.gone else self._entry_reader.read(row)
            if len(record.rows) < FULL_FEED_ROWS or record.ver <= position:
                break
            position = record.ver
        else:
            return Err(outside.FEED_ENDLESS)
        now_s = record.now_ms / 1000
        if not changes:
            return Ok(ServerList(before.servers, record.ver, now_s, False, before.era))
        servers: dict[str, Server | None] = {
            platform_id(server.id): server for server in before.servers
        }
        servers.update(changes)
        remaining = tuple(server for server in servers.values() if server is not None)
        return Ok(ServerList(remaining, record.ver, now_s, era=before.era))

    async def plan(self, timeout_s: float) -> Result[PlanUpdate, Failure]:
        """Return the newest plan, and all rollout orders with their phases."""
        outcome = await self._read_table(CONFIG_TABLE, timeout_s)
        if isinstance(outcome, Err):
            return outcome
        update = _plan_update(outcome.ok_value)
        if not update.rollouts:
            return Ok(update)
        statuses = await self._read_table(STATUS_TABLE, timeout_s)
        if isinstance(statuses, Err):
            return statuses
        rows = {row.key: row for row in statuses.ok_value.rows}
        rollouts = tuple(_with_status(each, rows) for each in update.rollouts)
        return Ok(msgspec.structs.replace(update, rollouts=rollouts))

    async def watch_plan(self, position: EraVersion, wait_s: float) -> Result[PlanUpdate, Failure]:
        """Return what changed after `position`, once there is a change or after `wait_s`."""
        wait = int(wait_s * 1000)
        path = f"/v1/rows-feed?table={CONFIG_TABLE}&startAfter={position.number}&waitMs={wait}"
        outcome = await self._call("GET", path, wait_s + WATCH_TIMEOUT_MARGIN_S)
        return outcome.and_then(lambda answer: answer.rows_if_era(position.era)).map(_plan_update)

    async def write_rollout(
        self, news: RolloutNews, expected: int, timeout_s: float
    ) -> Result[StatusWriteResult, Failure]:
        """Write a rollout's status, and in the same transaction the state for later holders."""
        order = news.order
        key = ROLLOUT_PREFIX + order.service
        order_row = {"table": CONFIG_TABLE, "part": "", "key": key, "ver": order.revision}
        status = {"table": STATUS_TABLE, "part": "", "key": key}
        state = {"table": ROLLOUT_TABLE, "part": "", "key": order.service}
        body = {
            "expectedRev": [order_row, {**status, "ver": expected}],
            "put": [
                {**status, "value": _to_base64(encode(status_body(news)))},
                {**state, "value": _to_base64(msgspec.json.encode(news))},
            ],
            "remove": [],
        }
        outcome = await self._call("POST", "/v1/rows-tx", timeout_s, encode(body), (200, 412))
        if isinstance(outcome, Err):
            return outcome
        record = outcome.ok_value.rows
        if record.era != order.era:
            return Err(ERA_CHANGED)
        committed = outcome.ok_value.status == 200
        return Ok(
            StatusWriteResult(True, record.ver) if committed else _write_conflict(record, order)
        )

    async def load_rollouts(self, timeout_s: float) -> Result[tuple[RolloutNews, ...], Failure]:
        """Return the state of rollouts that earlier holders stored."""
        outcome = await self._read_table(ROLLOUT_TABLE, timeout_s)
        return outcome.map(_stored_rollouts)

    def decode_plan(self, raw: bytes) -> Plan:
        """Decode a configuration that a peer sent; raise ValueError if it can't be read."""
        return read_config(raw)

    async def _read_table(self, table: str, timeout_s: float) -> Result[RowsRecord, Failure]:
        """Read all pages of a table and return the rows with the version of the first page."""
        rows: list[RowRecord] = []
        start = ""
        first: RowsRecord | None = None
        for _ in range(outside.MAX_PAGES):
            path = f"/v1/rows-get?table={table}&part=" + (f"&from={quote(start)}" if start else "")
            outcome = await self._call("GET", path, timeout_s)
            if isinstance(outcome, Err):
                return outcome
            page = outcome.ok_value.rows
            first = first or page
            if page.era != first.era:
                return Err(ERA_CHANGED)
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return Ok(msgspec.structs.replace(first, rows=tuple(rows), more=False))
            if page.rows[-1].key < start:
                return Err(outside.PAGES_ENDLESS)
            start = page.rows[-1].key + "\x00"
        return Err(outside.PAGES_ENDLESS)

    async def _commit(self, body: dict[str, object], timeout_s: float) -> Failure | None:
        outcome = await self._call("POST", "/v1/rows-tx", timeout_s, encode(body))
        return outcome.err_value if isinstance(outcome, Err) else None

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        expected_statuses: tuple[int, ...] = (200,),
    ) -> Result[Answer, Failure]:
        outcome = await self._calls.call(method, path, body, JSON_TYPE if body else [], timeout_s)
        if isinstance(outcome, Err):
            return Err(Failure(outcome.err_value.detail, uncertain=outcome.err_value.sent))
        response = outcome.ok_value
        count = first_count(response.headers, ERA_HEADER, MAX_ERA - 1)
        era = UNKNOWN_ERA if count is None else count + 1  # a count of 0 is valid, unlike era 0
        self.era.observe(era)
        if response.status not in expected_statuses:
            gone = response.status == STATUS_HISTORY_GONE
            return Err(Failure(f"status {response.status}", uncertain=False, history_gone=gone))
        try:
            rows = decode_json(response.body, RowsRecord)
        except msgspec.DecodeError as error:
            return Err(Failure(f"an answer that can't be read: {error}"))
        return Ok(Answer(response.status, msgspec.structs.replace(rows, era=era)))


def _plan_update(record: RowsRecord) -> PlanUpdate:
    plan, raw = None, b""
    now_s = record.now_ms / 1000
    rollouts = []
    for row in (each for each in record.rows if not each.gone):
        if row.key == CONFIG_KEY:
            read_plan = partial(lambda plan_row: read_config(plan_row.body()), row)
            plan = parse_or_log(row.table, row.key, read_plan)
            raw = b"" if plan is None else row.body()
        elif row.key.startswith(ROLLOUT_PREFIX):
            read = partial(read_rollout, row, now_s, record.era)
            order = parse_or_log(row.table, row.key, read)
            if order is not None:
                rollouts.append(StoredRollout(order))
    return PlanUpdate(plan, raw, record.era_version, now_s, tuple(rollouts))


def _state_row(row: RowRecord) -> StateRow:
    """Decode a row that nodes write; one that another writer corrupted gets an empty value."""
    return StateRow(row.key, parse_or_log(row.table, row.key, row.body) or b"", row.ver)


def _stored_rollouts(record: RowsRecord) -> tuple[RolloutNews, ...]:
    rows = [decode_row(ROLLOUT_TABLE, _state_row(row), RolloutNews) for row in record.rows]
    return tuple(news for news in rows if news is not None)


def _read_phase(row: RowRecord, order: RolloutOrder) -> Phase | None:
    return parse_or_log(row.table, row.key, lambda: read_phase(row, order))


def _with_status(stored: StoredRollout, statuses: dict[str, RowRecord]) -> StoredRollout:
    """Return an order with the phase of its status row, if there is one."""
    row = statuses.get(ROLLOUT_PREFIX + stored.order.service)
    phase = _read_phase(row, stored.order) if row is not None else None
    return stored if phase is None else StoredRollout(stored.order, phase)


def _write_conflict(record: RowsRecord, order: RolloutOrder) -> StatusWriteResult:
    """Return why a status was not written, from the current rows."""
    current = {row.table: row for row in record.rows if not row.gone}
    order_row = current.get(CONFIG_TABLE)
    if order_row is None or order_row.ver != order.revision:
        return StatusWriteResult(False, 0, superseded=True)
    status = current.get(STATUS_TABLE)
    if status is None:
        return StatusWriteResult(False, 0)
    return StatusWriteResult(False, status.ver, _read_phase(status, order))


def _to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()
