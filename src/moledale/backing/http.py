"""HTTP adapter to the platform's parts."""

from typing import TypeVar
from urllib.parse import quote

import aiosonic
import msgspec
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from moledale.backing.types import (
    InstancePage,
    Part,
    Platform,
    PlatformFailure,
    ReclaimNotice,
    ReclaimNoticePage,
    RentOrder,
    RentResult,
    Row,
    RowPage,
    Transaction,
    TransactionOutcome,
    WeightGrant,
)
from moledale.http_failures import CALL_FAILURES
from moledale.settings import PlatformSection

T = TypeVar("T")
_JSON = {"Content-Type": "application/json"}
NOT_FOUND = 404


class HttpPart:
    """Calls to one part of the platform, each bounded by one time-out."""

    def __init__(self, client: aiosonic.HTTPClient, part: Part, base: str, timeout_s: float):
        self._client = client
        self._part = part
        self._base = base
        self._timeouts = Timeouts(
            sock_connect=timeout_s, sock_read=timeout_s, request_timeout=timeout_s
        )

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[bytes | None, PlatformFailure]:
        """Return the body, None for a 404, or a failure."""
        writes = method != "GET"
        try:
            response = await self._client.request(
                self._base + path,
                method=method,
                headers=_JSON if writes else None,
                data=body,
                timeouts=self._timeouts,
            )
            content = await response.content()
        except ConnectionRefusedError:
            return Err(PlatformFailure(self._part, "connection refused", uncertain=False))
        except CALL_FAILURES as error:
            return Err(PlatformFailure(self._part, type(error).__name__, uncertain=writes))
        if response.status_code == NOT_FOUND:
            return Ok(None)
        if response.status_code >= 300:
            detail = f"answered {response.status_code}"
            uncertain = writes and response.status_code >= 500
            return Err(PlatformFailure(self._part, detail, uncertain))
        return Ok(content)

    async def call_json(
        self, method: str, path: str, body: object, kind: type[T]
    ) -> Result[T, PlatformFailure]:
        """Send JSON and decode the answer as `kind`; a 404 or odd body is a failure."""
        encoded = None if body is None else msgspec.json.encode(body)
        outcome = await self.call(method, path, encoded)
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(msgspec.json.decode(outcome.ok_value or b"", type=kind))
        except msgspec.DecodeError as error:
            return Err(PlatformFailure(self._part, f"odd answer: {error}", method != "GET"))


class HttpTable(HttpPart):
    """The table service over HTTP."""

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, PlatformFailure]:
        """Commit all writes or none."""
        return await self.call_json("POST", "/v1/transactions", transaction, TransactionOutcome)

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformFailure]:
        """Return a row, or None if it does not exist."""
        path = f"/v1/tables/{table}/rows/{quote(key, safe='')}"
        return await self.call_json("GET", path, None, Row | None)  # type: ignore[arg-type]

    async def scan(self, table: str, prefix: str, limit: int) -> Result[list[Row], PlatformFailure]:
        """Return rows whose keys start with `prefix`."""
        path = f"/v1/tables/{table}/rows?prefix={quote(prefix, safe='')}&limit={limit}"
        page = await self.call_json("GET", path, None, RowPage)
        return page.map(lambda found: found.rows)


class HttpObjects(HttpPart):
    """The object store over HTTP."""

    async def put(self, key: str, body: bytes) -> Result[None, PlatformFailure]:
        """Store an object."""
        outcome = await self.call("PUT", f"/v1/objects/{quote(key, safe='')}", body)
        return outcome.map(lambda _: None)

    async def get(self, key: str) -> Result[bytes | None, PlatformFailure]:
        """Return an object, or None if it does not exist."""
        return await self.call("GET", f"/v1/objects/{quote(key, safe='')}")


class HttpInstances(HttpPart):
    """The lagging list over HTTP."""

    async def changes(self, since: int) -> Result[InstancePage, PlatformFailure]:
        """Return what changed after a revision."""
        return await self.call_json("GET", f"/v1/instances?since={since}", None, InstancePage)


class HttpCloud(HttpPart):
    """The cloud API over HTTP."""

    async def rent(self, order: RentOrder) -> Result[RentResult, PlatformFailure]:
        """Rent one instance."""
        return await self.call_json("POST", "/v1/instances", order, RentResult)

    async def release(self, instance_id: str) -> Result[None, PlatformFailure]:
        """Return an instance."""
        outcome = await self.call("DELETE", f"/v1/instances/{quote(instance_id, safe='')}")
        return outcome.map(lambda _: None)

    async def notices(self, hall: str) -> Result[list[ReclaimNotice], PlatformFailure]:
        """Return the open notices of a hall."""
        page = await self.call_json("GET", f"/v1/notices?hall={hall}", None, ReclaimNoticePage)
        return page.map(lambda found: found.notices)


class HttpWeights(HttpPart):
    """The weight store over HTTP."""

    async def request_grant(self, server: str, model: str) -> Result[WeightGrant, PlatformFailure]:
        """Ask whether a server may load a model's weights now."""
        body = {"server": server, "model": model}
        return await self.call_json("POST", "/v1/grants", body, WeightGrant)


def http_platform(client: aiosonic.HTTPClient, section: PlatformSection) -> Platform:
    """Make the adapters for all parts."""
    wait = section.timeout_s
    return Platform(
        table=HttpTable(client, Part.TABLE, section.table, wait),
        objects=HttpObjects(client, Part.OBJECTS, section.objects, wait),
        instances=HttpInstances(client, Part.INSTANCES, section.instances, wait),
        cloud=HttpCloud(client, Part.CLOUD, section.cloud, wait),
        weights=HttpWeights(client, Part.WEIGHTS, section.weights, wait),
    )
