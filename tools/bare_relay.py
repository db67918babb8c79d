"""The least that any relay must do: pass a stream through, for comparison with a node."""

import argparse
from collections.abc import AsyncIterator

import aiosonic
from aiosonic.timeout import Timeouts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from moledale.servers.http import make_client
from standins.serve import run

NO_END = Timeouts(request_timeout=None)


def make_app(target: str) -> Starlette:
    """Make the application that relays to one server."""
    client: list[aiosonic.HTTPClient] = []

    async def relay(request: Request) -> Response:
        if not client:
            client.append(make_client())
        body = await request.body()
        answer = await client[0].request(
            f"http://{target}/v1/generate",
            method="POST",
            headers={"Content-Type": "application/json"},
            data=body,
            timeouts=NO_END,
            stream=True,
        )

        async def chunks() -> AsyncIterator[bytes]:
            async for chunk in answer.read_chunks():
                yield chunk

        return StreamingResponse(chunks(), media_type="text/event-stream")

    return Starlette(routes=[Route("/v1/generate", relay, methods=["POST"])])


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--target", required=True)
    run(make_app(parser.parse_args().target))


if __name__ == "__main__":
    main()
