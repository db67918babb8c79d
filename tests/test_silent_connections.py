"""Tests for connections that become silent for good, without a reset, while new ones work."""

import asyncio
import unittest

from moledale.clock import monotonic
from moledale.gateway.calls import HttpCaller
from tests.gateway_world import (
    Arrival,
    GatewayWorld,
    ScriptedServer,
    answer,
    make_plan,
    run_quietly,
    run_ticks,
)

IDLE_CONNECTIONS = 4
"""Idle connections at the time when they become silent."""


class SilencingScript:
    """A server script that no longer answers on the connections that `silence` marked."""

    def __init__(self) -> None:
        self.seen: set[int] = set()
        self.silent: set[int] = set()
        self.unanswered_count = 0

    def silence(self) -> None:
        """Stop answering on all connections seen so far."""
        self.silent = set(self.seen)

    async def __call__(
        self, arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the request, unless its connection is silent."""
        self.seen.add(arrival.connection)
        if arrival.connection in self.silent:
            self.unanswered_count += 1
            await asyncio.sleep(60.0)
        await asyncio.sleep(0.02)
        writer.write(answer(arrival))


class ServerConnectionsTest(unittest.TestCase):
    def run_with_silent_connections(self, path: str, servers: int) -> tuple[int, list[float]]:
        """Silence the idle connections to one server; return the lost requests and all latencies.

        The other servers look slower than that one, so that it is chosen first.
        """
        script = SilencingScript()
        served: list[float] = []
        lost = 0

        async def run() -> None:
            nonlocal lost
            async with GatewayWorld(make_plan()) as world:
                await world.start_server("s1", "plain", script)
                ticking = asyncio.create_task(run_ticks(world))
                await asyncio.gather(
                    *(world.send_request(path, request_id=f"w{n}") for n in range(IDLE_CONNECTIONS))
                )
                script.silence()
                for number in range(1, servers):
                    await world.start_server(f"s{number + 1}", "plain", SilencingScript())
                    world.balancer.views[f"s{number + 1}"].answer_s = 0.2
                for number in range(IDLE_CONNECTIONS + 2):
                    began = monotonic()
                    got = await world.send_request(path, request_id=f"r{number}")
                    served.append(monotonic() - began)
                    lost += got.status != 200
                ticking.cancel()

        run_quietly(run())
        self.unanswered = script.unanswered_count
        return lost, served

    def test_silent_idle_connections_lose_at_most_one_request(self) -> None:
        lost, served = self.run_with_silent_connections("/order/", servers=1)
        self.assertEqual((lost, self.unanswered), (1, 1))
        self.assertTrue(all(took_s < 0.3 for took_s in served[1:]), served)

    def test_safe_request_is_retried_elsewhere_and_later_ones_use_new_connections(self) -> None:
        lost, served = self.run_with_silent_connections("/check/", servers=2)
        self.assertEqual((lost, self.unanswered), (0, 1))
        self.assertLess(sum(served), 1.0)


class CallsTest(unittest.TestCase):
    def test_only_one_call_fails_on_silent_connections(self) -> None:
        """After the first failure the other idle connections are not tried one by one."""

        async def run() -> None:
            script = SilencingScript()
            server = ScriptedServer("store", script)
            await server.start()
            caller = HttpCaller(server.address)
            await asyncio.gather(*(caller.call("GET", "/x") for _ in range(IDLE_CONNECTIONS)))
            script.silence()
            first = await caller.call("GET", "/x", timeout_s=0.3)
            self.assertTrue(first.is_err())
            second = await caller.call("GET", "/x", timeout_s=0.3)
            self.assertEqual(second.unwrap().status, 200)
            self.assertEqual(script.unanswered_count, 1)
            server.stop()

        asyncio.run(run())
