"""What servers say of themselves in their answers decides where later requests go."""

import asyncio
import unittest

from tests.gateway_world import Arrival, GatewayWorld, a_plan, answer, quietly

LEAVES = b"Server-Leaving: 1\r\n"
REST_S = 1.2
"""A server asks for so long without requests, several times the half second in which requests
that were under way may still come."""
WANTS_REST = b"Not-Executed: 1\r\nRetry-After: %.1f\r\n" % REST_S
STAMP = b"Server-Stamp: s1\r\n"


async def leaves(arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A script that answers whole and says that the server leaves."""
    writer.write(answer(arrival, more=STAMP + LEAVES))


async def slow(arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A script that answers after a time that makes the other server look better."""
    await asyncio.sleep(0.05)
    writer.write(answer(arrival))


async def declines(arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A script that turns a request away and asks for rest."""
    writer.write(answer(arrival, b"", 503, WANTS_REST))


class NextChoiceTest(unittest.TestCase):
    """What a server's answer says of it counts for all requests that come after.

    Callers saw two things on the same days. A server said in its answers that it leaves, while the
    platform's store was away and the list still named it as ready: nodes that had passed such an
    answer on sent it more requests for seconds (one 6.8 s later), until the store was back. And
    servers that turned requests away with a time to come back got five and more requests from the
    same node within that time, each one another caller's, refused although others were free.

    Cause: an answer was read for the one request that it answers. Its head was decoded, its time
    to come back was kept with the attempt, its word of leaving not at all; nothing of it reached
    what the node believes of the server, which only the list and broken connections changed.

    Evidence: the log of each send tells what its answer said of the server. Before a send to a
    server that leaves, the same node's line of an earlier answer has `leaving` true; before one to
    a server that asked for rest, it has the time that was asked for, which had not passed. The
    server was named as ready, had no cached front and was not the last one left.
    """

    def test_later_requests_go_by_what_an_answer_said(self) -> None:
        for name, script in (("leaves", leaves), ("wants rest", declines)):
            with self.subTest(name):
                quietly(self._ask_after(script))

    async def _ask_after(self, script: object) -> None:
        async with GatewayWorld(a_plan()) as world:
            first = await world.server("s1", "plain", script)  # type: ignore[arg-type]
            other = await world.server("s2", "plain", slow)
            await world.ask("/check/")
            for number in range(4):
                asked = await world.ask("/order/", request_id=f"r{number}")
                self.assertEqual(asked.status, 200)
            self.assertEqual(len(first.arrivals), 1)
            self.assertGreaterEqual(len(other.arrivals), 4)
