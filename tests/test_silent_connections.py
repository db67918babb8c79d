"""Open connections that go silent for good, without a reset, while new ones work."""

import asyncio
import unittest

from moledale.clock import monotonic
from moledale.gateway.calls import HttpCaller
from tests.gateway_world import Arrival, GatewayWorld, ScriptedServer, a_plan, answer, quietly

KEPT = 4
"""Connections at rest when they go silent."""


class Silenced:
    """A script that says nothing any more on connections that were there at some moment."""

    def __init__(self) -> None:
        self.seen: set[int] = set()
        self.silent: set[int] = set()
        self.asked_in_vain = 0

    def silence(self) -> None:
        """Make all connections that were seen silent."""
        self.silent = set(self.seen)

    async def __call__(
        self, arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer, but on a silent connection."""
        self.seen.add(arrival.connection)
        if arrival.connection in self.silent:
            self.asked_in_vain += 1
            await asyncio.sleep(60.0)
        await asyncio.sleep(0.02)
        writer.write(answer(arrival))


class ServerConnectionsTest(unittest.TestCase):
    def silenced_world(self, path: str, servers: int) -> tuple[int, list[float]]:
        """Silence what is kept to one server; return requests lost, and times of answers.

        Other servers look slower than that one, so that it is chosen first.
        """
        silenced = Silenced()
        served: list[float] = []
        lost = 0

        async def run() -> None:
            nonlocal lost
            async with GatewayWorld(a_plan()) as world:
                await world.server("s1", "plain", silenced)
                ticking = asyncio.create_task(tick(world))
                await asyncio.gather(*(world.ask(path, request_id=f"w{n}") for n in range(KEPT)))
                silenced.silence()
                for number in range(1, servers):
                    await world.server(f"s{number + 1}", "plain", Silenced())
                    world.balancer.views[f"s{number + 1}"].answer_s = 0.2
                for number in range(KEPT + 2):
                    began = monotonic()
                    got = await world.ask(path, request_id=f"r{number}")
                    served.append(monotonic() - began)
                    lost += got.status != 200
                ticking.cancel()

        quietly(run())
        self.in_vain = silenced.asked_in_vain
        return lost, served

    def test_one_request_at_most_is_lost_to_kept_connections(self) -> None:
        lost, served = self.silenced_world("/order/", servers=1)
        self.assertEqual((lost, self.in_vain), (1, 1))
        self.assertTrue(all(took_s < 0.3 for took_s in served[1:]), served)

    def test_safe_requests_are_served_elsewhere_and_the_rest_on_new_connections(self) -> None:
        lost, served = self.silenced_world("/check/", servers=2)
        self.assertEqual((lost, self.in_vain), (0, 1))
        self.assertLess(sum(served), 1.0)


async def tick(world: GatewayWorld) -> None:
    """Follow the time as a node does."""
    while True:
        await asyncio.sleep(0.1)
        world.balancer.tick(monotonic())


class CallsTest(unittest.TestCase):
    def test_calls_work_again_after_one_that_failed(self) -> None:
        """The store's connections go silent: the others at rest are not tried one by one."""

        async def run() -> None:
            silenced = Silenced()
            server = ScriptedServer("store", silenced)
            await server.start()
            caller = HttpCaller(server.address)
            await asyncio.gather(*(caller.call("GET", "/x") for _ in range(KEPT)))
            silenced.silence()
            first = await caller.call("GET", "/x", timeout_s=0.3)
            self.assertTrue(first.is_err())
            second = await caller.call("GET", "/x", timeout_s=0.3)
            self.assertEqual(second.unwrap().status, 200)
            self.assertEqual(silenced.asked_in_vain, 1)
            server.stop()

        asyncio.run(run())
