"""Backend servers that crash under a certain request, with all other requests in flight there."""

import asyncio
from dataclasses import dataclass, field

from tests.gateway_world import Arrival, ScriptedServer, answer, reset

CRASH_BODY = b"the request that ends servers"
"""Body of the request that crashes each server that runs it."""

CRASH_DELAY_S = 0.05
"""Time from the arrival of that request to the crash."""

ANSWER_DELAY_S = 0.3
"""Time to answer any other request; some are in flight whenever a server crashes."""


@dataclass(slots=True)
class FragileServer(ScriptedServer):
    """A server that crashes under the request with `CRASH_BODY`, then refuses all connections."""

    has_crashed: bool = False
    answer_delay_s: float = ANSWER_DELAY_S
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve_one(
        self, arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, or crash if its body is `CRASH_BODY`."""
        self.writers.add(writer)
        if arrival.body == CRASH_BODY:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash()
            return
        await asyncio.sleep(self.answer_delay_s)
        writer.write(answer(arrival))

    def crash(self) -> None:
        """Reset all connections and stop listening, as when the process crashes."""
        self.has_crashed = True
        self.stop()
        for writer in self.writers:
            reset(writer)
        self.writers.clear()

    @property
    def crash_request_count(self) -> int:
        """Return how many requests with `CRASH_BODY` arrived."""
        return sum(1 for each in self.arrivals if each.body == CRASH_BODY)


def make_fragile_server(name: str) -> FragileServer:
    """Return a server that is not started."""
    server = FragileServer(name, _no_script)
    server.script = server.serve_one
    return server


async def _no_script(_: Arrival, __: asyncio.StreamReader, ___: asyncio.StreamWriter) -> None:
    """Placeholder for the script, which is set once the server exists."""
