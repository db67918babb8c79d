"""Backend servers that a certain request ends, with all that they have in hand."""

import asyncio
from dataclasses import dataclass, field

from tests.gateway_world import Arrival, ScriptedServer, answer, reset

CRASH_BODY = b"the request that ends servers"
"""Body of the request that no server survives."""

CRASH_DELAY_S = 0.05
"""A server ends so long after it began to run the guilty request."""

ANSWER_DELAY_S = 0.3
"""Time of an answer to any other request: some are in hand whenever a server ends."""


@dataclass(slots=True)
class FragileServer(ScriptedServer):
    """A server that ends under the guilty request; its address takes no connection after that."""

    has_crashed: bool = False
    answer_delay_s: float = ANSWER_DELAY_S
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve_one(
        self, arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, or end with all that is in hand."""
        self.writers.add(writer)
        if arrival.body == CRASH_BODY:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash()
            return
        await asyncio.sleep(self.answer_delay_s)
        writer.write(answer(arrival))

    def crash(self) -> None:
        """End as a process does that crashes: every connection is reset, none is taken."""
        self.has_crashed = True
        self.stop()
        for writer in self.writers:
            reset(writer)
        self.writers.clear()

    @property
    def crash_request_count(self) -> int:
        """Return how often the guilty request came here."""
        return sum(1 for each in self.arrivals if each.body == CRASH_BODY)


def make_fragile_server(name: str) -> FragileServer:
    """Return a server that is not started yet."""
    server = FragileServer(name, _no_script)
    server.script = server.serve_one
    return server


async def _no_script(_: Arrival, __: asyncio.StreamReader, ___: asyncio.StreamWriter) -> None:
    """Stand in for the script until the server is made."""
