"""Stand-in for a plain service; it counts its runs per idempotency key."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from standins.serve import run


class ServiceFaults(msgspec.Struct):
    """Faults: `break_after` next calls run but their answers are cut; all answers are delayed."""

    break_after: int = 0
    delay_s: float = 0.0


async def _broken_body() -> AsyncIterator[bytes]:
    """Yield the start of an answer, then abort the connection."""
    yield b"{"
    raise ConnectionAbortedError("fault set by a test")


def make_app() -> Starlette:
    """Return the ASGI application of the service."""
    runs: Counter[str] = Counter()
    faults = ServiceFaults()

    async def call(request: Request) -> Response:
        body = await request.body()
        name = request.headers.get("idempotency-key", "none")
        runs[name] += 1
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.break_after > 0:
            faults.break_after -= 1
            return StreamingResponse(_broken_body())
        answer = {"path": request.url.path, "echo": body.decode(), "run": runs[name]}
        return Response(msgspec.json.encode(answer), media_type="application/json")

    async def counts(_: Request) -> Response:
        return Response(msgspec.json.encode(dict(runs)), media_type="application/json")

    async def control(request: Request) -> Response:
        wanted = msgspec.json.decode(await request.body(), type=ServiceFaults)
        faults.break_after, faults.delay_s = wanted.break_after, wanted.delay_s
        return Response(b"{}")

    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    return Starlette(
        routes=[
            Route("/control/counts", counts),
            Route("/control", control, methods=["POST"]),
            Route("/{path:path}", call, methods=methods),
        ]
    )


def main() -> None:
    """Serve until SIGTERM."""
    run(make_app())


if __name__ == "__main__":
    main()
