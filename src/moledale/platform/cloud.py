"""Calls to the platform that only the holder of the duties lease makes."""

from result import Err, Ok, Result

from moledale.gateway.calls import HttpCaller
from moledale.gateway.messages import Headers
from moledale.gateway.outside import Failure
from moledale.platform.records import encode

CALL_TIMEOUT_S = 1.5
"""Timeout of a call: half of the default lease TTL."""

STATUS_NO_CAPACITY = 409
"""Status of the response to an order for servers that are not available now."""


class PlatformCloud:
    """Reports usage and orders servers, with the holder and fence of the duties lease."""

    def __init__(self, address: str) -> None:
        self._calls = HttpCaller(address)

    async def report_usage(
        self, holder: str, fence: int, window: int, counts: dict[str, int]
    ) -> Failure | None:
        """Report the counts of a usage window; return the error, or None."""
        body = encode({"window": window, "counts": counts})
        outcome = await self._post("/usage", holder, fence, body)
        if isinstance(outcome, Err):
            return outcome.err_value
        status = outcome.ok_value
        return None if status == 200 else Failure(f"status {status}", uncertain=False)

    async def order_servers(
        self, holder: str, fence: int, service: str, hall: str, number: int, spot: bool
    ) -> Result[bool, Failure]:
        """Order the number of servers that a hall is to have; False if none are available now."""
        body: dict[str, object] = {"service": service, "zone": hall, "desired": number}
        if spot:
            body["spot"] = True
        outcome = await self._post("/scale", holder, fence, encode(body))
        if isinstance(outcome, Err):
            return outcome
        status = outcome.ok_value
        if status in (200, STATUS_NO_CAPACITY):
            return Ok(status == 200)
        return Err(Failure(f"status {status}", uncertain=False))

    async def _post(self, path: str, holder: str, fence: int, body: bytes) -> Result[int, Failure]:
        headers: Headers = [
            (b"Duty-Holder", holder.encode()),
            (b"Fence-Token", str(fence).encode()),
            (b"Content-Type", b"application/json"),
        ]
        outcome = await self._calls.call("POST", path, body, headers, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            return Err(Failure(outcome.err_value.detail, uncertain=outcome.err_value.sent))
        return Ok(outcome.ok_value.status)
