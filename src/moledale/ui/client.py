"""Client of the command line for calls to nodes."""

import asyncio
from dataclasses import dataclass

import aiosonic
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from moledale.http_client import make_client, read_content
from moledale.http_failures import CALL_FAILURES

CALL_TIMEOUT_S = 10.0

MAX_CONNECTIONS = 64
"""Nodes that are called at the same time."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A node's response."""

    node: str
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NodeClient:
    """Calls nodes with the operators' token; errors are texts that name the node."""

    addresses: tuple[str, ...]
    token: str

    def get(self, path: str) -> Result[Answer, str]:
        """Send a GET to the nodes in order until one responds."""
        return asyncio.run(self._get(path))

    def post(self, path: str, body: bytes) -> Result[Answer, str]:
        """Send a POST to the first node that accepts the connection.

        The next node is tried only after a refused connection: after any other failure, the node
        may have acted on the request.
        """
        return asyncio.run(self._post(path, body))

    def get_each(self, addresses: list[str], path: str) -> list[Result[Answer, str]]:
        """Send a GET to several nodes concurrently, and return the outcomes in their order."""
        return asyncio.run(self._get_each(addresses, path))

    async def _get(self, path: str) -> Result[Answer, str]:
        failure: Result[Answer, str] = Err("no node is named: use --node or MOLEDALE_NODES")
        async with make_client(MAX_CONNECTIONS) as client:
            for address in self.addresses:
                failure = await self._call(client, address, "GET", path, None)
                if isinstance(failure, Ok):
                    return failure
        return failure

    async def _post(self, path: str, body: bytes) -> Result[Answer, str]:
        outcome: Result[Answer, str] = Err("no node is named: use --node or MOLEDALE_NODES")
        async with make_client(MAX_CONNECTIONS) as client:
            for address in self.addresses:
                outcome = await self._call(client, address, "POST", path, body)
                if isinstance(outcome, Ok) or "ConnectionRefused" not in outcome.err_value:
                    return outcome
        return outcome

    async def _get_each(self, addresses: list[str], path: str) -> list[Result[Answer, str]]:
        async with make_client(MAX_CONNECTIONS) as client:
            calls = (self._call(client, address, "GET", path, None) for address in addresses)
            return list(await asyncio.gather(*calls))

    async def _call(
        self,
        client: aiosonic.HTTPClient,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Result[Answer, str]:
        headers = {"Authorization": f"Bearer {self.token}", "Content-Type": "application/json"}
        timeouts = Timeouts(
            sock_connect=2, sock_read=CALL_TIMEOUT_S, request_timeout=CALL_TIMEOUT_S
        )
        try:
            response = await client.request(
                f"http://{address}{path}",
                method=method,
                headers=headers,
                data=body,
                timeouts=timeouts,
            )
            return Ok(Answer(address, response.status_code, await read_content(response)))
        except CALL_FAILURES as error:
            return Err(f"{address}: {type(error).__name__}")
