"""Stand-in engine that streams tokens at a fixed interval, to measure the cost of relaying them."""

import argparse
import asyncio
from collections.abc import AsyncIterator

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from moledale.servers.types import CacheEventPage, Done, GenerateCall, LoadReport, Token
from standins.serve import run


def make_app(name: str, pause_s: float) -> Starlette:
    """Return the ASGI application; each stream gets a token every `pause_s`."""
    running = 0
    sequence = 0

    def report() -> LoadReport:
        nonlocal sequence
        sequence += 1
        return LoadReport(name, sequence, running, 0, 0, 0, ["cover-7b", "claims"])

    async def tokens(call: GenerateCall) -> AsyncIterator[bytes]:
        nonlocal running
        running += 1
        try:
            for index in range(len(call.resume), call.max_tokens):
                await asyncio.sleep(pause_s)
                yield b"data: %s\n\n" % msgspec.json.encode(Token(index, "token "))
        finally:
            running -= 1
        yield b"data: %s\n\n" % msgspec.json.encode(Done("length", 0, 1, report()))

    async def generate(request: Request) -> Response:
        call = msgspec.json.decode(await request.body(), type=GenerateCall)
        return StreamingResponse(tokens(call), media_type="text/event-stream")

    async def load(_: Request) -> Response:
        return Response(msgspec.json.encode(report()), media_type="application/json")

    async def events(_: Request) -> Response:
        return Response(msgspec.json.encode(CacheEventPage([])))

    async def acknowledge(_: Request) -> Response:
        return Response(b"{}")

    return Starlette(
        routes=[
            Route("/v1/generate", generate, methods=["POST"]),
            Route("/v1/load", load),
            Route("/v1/cache-events", events),
            Route("/v1/cancel", acknowledge, methods=["POST"]),
        ]
    )


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--pause-s", type=float, default=0.01)
    options = parser.parse_args()
    run(make_app(options.name, options.pause_s))


if __name__ == "__main__":
    main()
