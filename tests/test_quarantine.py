"""Requests under which servers end: how they are told from others, and what is done with them."""

import asyncio
import json
import unittest

import logbook

from moledale.gateway.fingerprint import fingerprint
from moledale.gateway.messages import InboundRequest, RequestHead
from tests.gateway_world import Arrival, GatewayWorld, a_plan, quietly, reset

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


async def ends(_: Arrival, __: Reader, writer: Writer) -> None:
    """End every connection, as a server does that crashes."""
    reset(writer)


def a_request(
    target: bytes = b"/draft/1", body: bytes = b"why", request_id: bytes = b"r1", host: bytes = b"h"
) -> InboundRequest:
    head = RequestHead(b"POST", target, [(b"Host", host), (b"Request-Id", request_id)])
    return InboundRequest(head, body, 0.0)


class FingerprintTest(unittest.TestCase):
    def test_the_same_request_has_the_same_one_whenever_it_comes(self) -> None:
        first, again = a_request(), a_request(request_id=b"r2")
        self.assertEqual(fingerprint(first, "north"), fingerprint(again, "north"))

    def test_another_caller_path_host_or_body_has_another(self) -> None:
        others = [
            fingerprint(a_request(), "north"),
            fingerprint(a_request(), "south"),
            fingerprint(a_request(), None),
            fingerprint(a_request(target=b"/draft/2"), "north"),
            fingerprint(a_request(host=b"i"), "north"),
            fingerprint(a_request(body=b"what"), "north"),
            fingerprint(a_request(target=b"/draft/1w", body=b"hy"), "north"),
        ]
        self.assertEqual(len(set(others)), len(others))


class SightTest(unittest.TestCase):
    def test_log_shows_that_the_same_request_broke_off_again(self) -> None:
        """Two arrivals with ids of their own have one fingerprint in the log."""
        lines: list[str] = []

        async def work() -> None:
            async with GatewayWorld(a_plan()) as world:
                await world.server("s1", "model", ends)
                await world.server("s2", "model", ends)
                await world.ask("/draft/", body=b"one", request_id="r1")
                await world.ask("/draft/", body=b"one", request_id="r2")
                await world.ask("/draft/", body=b"two", request_id="r3")

        with logbook.TestHandler().applicationbound() as handler:
            asyncio.run(work())
            lines = [record.message for record in handler.records]
        ended = [json.loads(line[line.index("{") :]) for line in lines if line.startswith("E412")]
        self.assertEqual([each["request"] for each in ended], ["r1", "r2", "r3"])
        one, again, other = (each["fingerprint"] for each in ended)
        self.assertEqual(one, again)
        self.assertNotEqual(one, other)
        self.assertEqual((ended[0]["route"], ended[0]["account"]), ("draft", "north"))


if __name__ == "__main__":
    unittest.main()
