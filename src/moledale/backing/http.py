"""HTTP clients of the platform's parts."""

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
from moledale.decoding import decode_json
from moledale.http_client import read_content
from moledale.http_failures import CALL_FAILURES, check_framing
from moledale.settings import PlatformSection

T = TypeVar("T")
_JSON = {"Content-Type": "application/json"}
NOT_FOUND = 404


class HttpPart:
    """Client of one part of the platform; one timeout bounds each call."""

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
        """Send a request; return the response body, None for a 404, or a failure."""
        is_write = method != "GET"
        try:
            response = await self._client.request(
                self._base + path,
                method=method,
                headers=_JSON if is_write else None,
                data=body,
                timeouts=self._timeouts,
            )
            if not is_write:
                check_framing(response)
            content = await read_content(response)
        except ConnectionRefusedError:
            return Err(PlatformFailure(self._part, "connection refused", uncertain=False))
        except CALL_FAILURES as error:
            return Err(PlatformFailure(self._part, type(error).__name__, uncertain=is_write))
        if response.status_code == NOT_FOUND:
            return Ok(None)
        if response.status_code >= 300:
            detail = f"answered {response.status_code}"
            uncertain = is_write and response.status_code >= 500
            return Err(PlatformFailure(self._part, detail, uncertain))
        return Ok(content)

    async def call_json(
        self, method: str, path: str, body: object, response_type: type[T]
    ) -> Result[T, PlatformFailure]:
        """Send `body` as JSON and decode the response; a 404 or undecodable body is a failure."""
        encoded = None if body is None else msgspec.json.encode(body)
        outcome = await self.call(method, path, encoded)
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(decode_json(outcome.ok_value or b"", response_type))
        except msgspec.DecodeError as error:
            return Err(PlatformFailure(self._part, f"odd answer: {error}", method != "GET"))


class HttpTable(HttpPart):
    """Table service over HTTP."""

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
        return page.map(lambda decoded: decoded.rows)


class HttpObjects(HttpPart):
    """Object store over HTTP."""

    async def put(self, key: str, body: bytes) -> Result[None, PlatformFailure]:
        """Store an object."""
        outcome = await self.call("PUT", f"/v1/objects/{quote(key, safe='')}", body)
        return outcome.map(lambda _: None)

    async def get(self, key: str) -> Result[bytes | None, PlatformFailure]:
        """Return an object, or None if it does not exist."""
        return await self.call("GET", f"/v1/objects/{quote(key, safe='')}")


class HttpInstances(HttpPart):
    """Eventually consistent instance list over HTTP."""

    async def changes(self, since: int) -> Result[InstancePage, PlatformFailure]:
        """Return the instances that changed after revision `since`; 0 returns all."""
        return await self.call_json("GET", f"/v1/instances?since={since}", None, InstancePage)


class HttpCloud(HttpPart):
    """Cloud API over HTTP."""

    async def rent(self, order: RentOrder) -> Result[RentResult, PlatformFailure]:
        """Rent one instance."""
        return await self.call_json("POST", "/v1/instances", order, RentResult)

    async def release(self, instance_id: str) -> Result[None, PlatformFailure]:
        """Give an instance back to the cloud."""
        outcome = await self.call("DELETE", f"/v1/instances/{quote(instance_id, safe='')}")
        return outcome.map(lambda _: None)

    async def notices(self, hall: str) -> Result[list[ReclaimNotice], PlatformFailure]:
        """Return the pending reclaim notices of a hall."""
        page = await self.call_json("GET", f"/v1/notices?hall={hall}", None, ReclaimNoticePage)
        return page.map(lambda decoded: decoded.notices)


class HttpWeights(HttpPart):
    """Weight store over HTTP."""

    async def request_grant(self, server: str, model: str) -> Result[WeightGrant, PlatformFailure]:
        """Request permission for a server to load a model's weights now."""
        body = {"server": server, "model": model}
        return await self.call_json("POST", "/v1/grants", body, WeightGrant)


def http_platform(client: aiosonic.HTTPClient, section: PlatformSection) -> Platform:
    """Return HTTP clients for all parts, with the addresses and timeout of the settings."""
    timeout_s = section.timeout_s
    return Platform(
        table=HttpTable(client, Part.TABLE, section.table, timeout_s),
        objects=HttpObjects(client, Part.OBJECTS, section.objects, timeout_s),
        instances=HttpInstances(client, Part.INSTANCES, section.instances, timeout_s),
        cloud=HttpCloud(client, Part.CLOUD, section.cloud, timeout_s),
        weights=HttpWeights(client, Part.WEIGHTS, section.weights, timeout_s),
    )
