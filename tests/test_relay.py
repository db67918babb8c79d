"""Requests that a node without any server relays through a peer."""

import asyncio
import random
import unittest

import msgspec

from moledale.gateway.messages import RequestHead
from moledale.gateway.peers import NodeState, Standing
from moledale.gateway.relay import relay_peers
from moledale.platform.headers import PlatformHeaders
from tests.cut_world import Cut, ServerLinks, start_cluster
from tests.gateway_world import (
    Arrival,
    answer,
    chunk,
    event,
    request_bytes,
    stream_head,
)
from tests.test_gateway_nodes import Cluster, ask, make_config, run_on_cluster, wait_until


def make_state(name: str, **changes: object) -> NodeState:
    """Return the state of a ready node that relays."""
    state = NodeState(
        name, 1, 1, "hall-a", f"{name}:1", f"{name}:2", f"{name}:3", Standing.READY, 1,
        {}, {}, {}, {}, {}, relays=True,
    )  # fmt: skip
    return msgspec.structs.replace(state, **changes)


def unsafe_config(**route: object) -> object:
    """Return a configuration whose only route is unsafe, with an account limit in requests."""
    config = make_config(2)
    assert isinstance(config, dict)
    config["routes"][0].update({"kind": "unsafe", **route})
    return config


class CutCluster:
    """Two nodes, of which the first one reaches no server."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.links: dict[str, ServerLinks] = {}

    async def cut_first_node(self, servers: int = 1) -> None:
        """Start the nodes, and cut the first one off until it knows that."""
        self.links = await start_cluster(self.cluster, 2, servers)
        self.links["n1"].fail(Cut.REFUSE)
        node = self.cluster.nodes["n1"]
        await self.cluster.ask("n1")
        await wait_until(lambda: node.balancer.reachability.is_unreachable("plain"))

    def arrivals(self) -> list[Arrival]:
        """Return the requests that the cluster's own server got."""
        return self.cluster.backend.arrivals


class PeerChoiceTest(unittest.TestCase):
    def test_peers_of_builds_without_relaying_and_peers_without_servers_are_not_asked(self) -> None:
        states = [
            make_state("old", relays=False),
            make_state("cut", unreachable=["plain"]),
            make_state("starting", standing=Standing.STARTING),
            make_state("leaving", standing=Standing.LEAVING),
            make_state("idle"),
            make_state("reserve", reached=["plain"]),
            make_state("serving", reached=["plain"], serving=True),
        ]
        peers = relay_peers("plain", states, random.Random(1))
        self.assertEqual([each.id for each in peers], ["serving", "reserve", "idle"])


class RelayTest(unittest.TestCase):
    def test_server_gets_the_callers_request_with_the_time_that_is_left(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = CutCluster(cluster)
            await world.cut_first_node()
            world.arrivals().clear()
            data = request_bytes(
                "/check/a?b=c", body=b"body", headers={"Deadline-Ms": "800", "X-Own": "kept"}
            )
            got = await ask(cluster.nodes["n1"].settings.node.callers, data)
            self.assertEqual((got.status, got.body, got.whole), (200, b"fine", True))
            self.assertEqual(got.headers["server-stamp"], "s1")
            (arrival,) = world.arrivals()
            self.assertEqual(arrival.line, "POST /check/a?b=c HTTP/1.1")
            self.assertEqual(arrival.body, b"body")
            self.assertEqual(arrival.get("request-id"), "r1")
            self.assertEqual(arrival.get("x-own"), "kept")
            self.assertEqual(arrival.get("tenant"), "north")
            self.assertIsNone(arrival.get("authorization"))
            self.assertLess(float(arrival.get("deadline-ms") or 1e9), 800)

        run_on_cluster(work)

    def test_account_is_charged_once_for_a_relayed_request(self) -> None:
        async def work(cluster: Cluster) -> None:
            config = make_config(2)
            assert isinstance(config, dict)
            config["tenants"][0].update({"ratePerS": 1000.0, "burst": 1000})
            cluster.platform.put("op", "config", config)
            world = CutCluster(cluster)
            await world.cut_first_node()
            before = [self.spent(cluster, name) for name in ("n1", "n2")]
            self.assertEqual((await cluster.ask("n1")).status, 200)
            after = [self.spent(cluster, name) for name in ("n1", "n2")]
            self.assertEqual(after, [before[0] + 1.0, before[1]])

        run_on_cluster(work)

    def spent(self, cluster: Cluster, name: str) -> float:
        """Return what a node has granted of the account's limit."""
        return cluster.nodes[name].forwarder.limits.spent.get("north", 0.0)

    def test_unsafe_request_is_not_sent_again_if_the_peers_answer_breaks_off(self) -> None:
        async def break_off(
            arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            cluster_kill()
            writer.write(answer(arrival))

        def cluster_kill() -> None:
            node = kill["cluster"].nodes["n2"]
            for connection in list(node._relay_listener.connections):
                assert connection._transport is not None
                connection._transport.abort()

        kill: dict[str, Cluster] = {}

        async def work(cluster: Cluster) -> None:
            kill["cluster"] = cluster
            cluster.platform.put("op", "config", unsafe_config())
            world = CutCluster(cluster)
            await world.cut_first_node()
            world.arrivals().clear()
            cluster.backend.script = break_off
            got = await cluster.ask("n1")
            self.assertEqual(got.status, 502)
            await asyncio.sleep(0.2)
            self.assertEqual(len(world.arrivals()), 1)

        run_on_cluster(work)

    def test_request_is_refused_at_once_if_the_peer_reaches_no_server_either(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = CutCluster(cluster)
            await world.cut_first_node()
            world.links["n2"].fail(Cut.REFUSE)
            got = await cluster.ask("n1")
            self.assertEqual(got.status, 503)
            self.assertIn("retry-after", got.headers)
            self.assertNotIn("x-moledale-unreachable", got.headers)

        run_on_cluster(work)

    def test_request_is_not_relayed_while_some_server_is_reached(self) -> None:
        async def work(cluster: Cluster) -> None:
            await start_cluster(cluster, 2, servers=4)
            for server in cluster.servers[1:]:
                server.stop()
            for _ in range(6):
                self.assertEqual((await cluster.ask("n1")).status, 200)
            self.assertEqual(cluster.nodes["n1"].forwarder.relay.relayed, 0)

        run_on_cluster(work)

    def test_relay_ends_once_servers_are_reached_again(self) -> None:
        async def work(cluster: Cluster) -> None:
            world = CutCluster(cluster)
            await world.cut_first_node()
            node = cluster.nodes["n1"]
            self.assertEqual((await cluster.ask("n1")).status, 200)
            relayed = node.forwarder.relay.relayed
            self.assertGreater(relayed, 0)
            world.links["n1"].heal()
            await wait_until(lambda: not node.balancer.reachability.is_unreachable("plain"))
            self.assertEqual((await cluster.ask("n1")).status, 200)
            self.assertEqual(node.forwarder.relay.relayed, relayed)

        run_on_cluster(work)

    def test_events_of_a_relayed_stream_are_passed_on_as_they_come(self) -> None:
        continued = asyncio.Event()

        async def stream(
            arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(stream_head(arrival) + chunk(event(1)))
            await continued.wait()
            writer.write(chunk(event(2)) + b"0\r\n\r\n")

        async def work(cluster: Cluster) -> None:
            cluster.platform.put("op", "config", unsafe_config(kind="streaming"))
            world = CutCluster(cluster)
            await world.cut_first_node()
            cluster.backend.script = stream
            host, port = cluster.nodes["n1"].settings.node.callers.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes("/check/"))
            first = await asyncio.wait_for(reader.readuntil(b"piece 1\n\n"), 2.0)
            self.assertIn(b"200", first)
            continued.set()
            rest = await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 2.0)
            self.assertIn(b"piece 2", rest)
            writer.close()

        run_on_cluster(work)

    def test_server_stops_when_the_caller_of_a_relayed_request_leaves(self) -> None:
        async def hang(
            _arrival: Arrival, reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(1)
            raise ConnectionError

        async def work(cluster: Cluster) -> None:
            cluster.platform.put("op", "config", unsafe_config())
            world = CutCluster(cluster)
            await world.cut_first_node()
            server = cluster.backend
            server.script = hang
            closed, arrived = server.closed, len(server.arrivals)
            host, port = cluster.nodes["n1"].settings.node.callers.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes("/check/"))
            await wait_until(lambda: len(server.arrivals) > arrived)
            writer.close()
            await wait_until(lambda: server.closed > closed, 0.5)

        run_on_cluster(work)


class RelayHeadTest(unittest.TestCase):
    def test_deadline_is_replaced_and_fields_of_the_connection_are_dropped(self) -> None:
        head = RequestHead(
            b"POST",
            b"/x",
            [
                (b"Host", b"h"),
                (b"Deadline-Ms", b"9000"),
                (b"Connection", b"keep-alive, X-Hop"),
                (b"X-Hop", b"1"),
                (b"Transfer-Encoding", b"chunked"),
                (b"Authorization", b"Bearer k"),
            ],
        )
        sent = PlatformHeaders().relay_head(head, 1.25, 3).decode().split("\r\n")
        self.assertEqual(
            sent,
            [
                "POST /x HTTP/1.1",
                "Host: h",
                "Authorization: Bearer k",
                "Content-Length: 3",
                "Deadline-Ms: 1250",
                "Connection: close",
                "",
                "",
            ],
        )


if __name__ == "__main__":
    unittest.main()
