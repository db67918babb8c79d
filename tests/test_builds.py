"""Nodes of different builds are detected, and unreadable messages are counted by kind."""

import asyncio
import unittest
from importlib.metadata import PackageNotFoundError
from pathlib import Path
from unittest import mock

import logbook
import msgspec

from moledale.build import build_id
from moledale.edge.operators import NodeStatus
from moledale.gateway.builds import FORMATS, BuildWatch
from moledale.gateway.gossip import MAX_UNREADABLE_KINDS, OTHER_KINDS, GossipSocket, Message
from tests.gateway_states import make_state
from tests.test_gateway_nodes import Cluster, ask, ready, run_on_cluster, wait_until


def event_numbers(handler: logbook.TestHandler) -> list[str]:
    """Return the numbers of the logged events, such as "E602"."""
    return [record.message[:4] for record in handler.records]


class UnreadableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.received: list[Message] = []
        self.socket = GossipSocket(self.received.append)

    def receive(self, *messages: object) -> list[str]:
        """Deliver messages as datagrams; return the numbers of the logged events."""
        with logbook.TestHandler().applicationbound() as handler:
            for message in messages:
                data = message if isinstance(message, bytes) else msgspec.msgpack.encode(message)
                self.socket.datagram_received(data, ("10.0.0.1", 7))
        return event_numbers(handler)

    def test_each_kind_is_counted_and_logged_once(self) -> None:
        logged = self.receive(["newer", 1], ["newer", 2], b"\xff\xff", 7, {"a": 1}, ["state"])
        self.assertEqual(logged, ["E602"] * 3)
        self.assertEqual(self.socket.unreadable, {"newer": 2, "no message": 3, "state": 1})
        self.assertEqual(self.received, [])

    def test_kinds_are_bounded(self) -> None:
        logged = self.receive(*([f"kind{number}" * 9, 1] for number in range(200)))
        self.assertEqual(len(logged), MAX_UNREADABLE_KINDS + 1)
        self.assertEqual(self.socket.unreadable[OTHER_KINDS], 200 - MAX_UNREADABLE_KINDS)
        self.assertLess(max(len(kind) for kind in self.socket.unreadable), 40)


class BuildIdTest(unittest.TestCase):
    def test_build_id_depends_on_the_sources(self) -> None:
        build_id.cache_clear()
        first = build_id()
        self.assertEqual(build_id(), first)
        build_id.cache_clear()
        with mock.patch.object(Path, "read_bytes", return_value=b"changed"):
            self.assertNotEqual(build_id(), first)
        build_id.cache_clear()
        with mock.patch("moledale.build.version", side_effect=PackageNotFoundError):
            self.assertTrue(build_id().startswith("unpacked+"))
        build_id.cache_clear()
        self.assertEqual(build_id(), first)

    def test_status_without_a_build_is_readable(self) -> None:
        """`moledale fleet` also reads the status of nodes that run an earlier build."""
        fields = [name for name in NodeStatus.__struct_fields__ if name != "build"]
        self.assertEqual(NodeStatus.__struct_fields__[-1], "build")
        status = {name: [] if name in ("leases", "servers") else 0 for name in fields}
        status |= dict.fromkeys(("node", "hall", "incarnation", "bundle_digest", "verdict"), "x")
        status |= {"nodes": {}, "draining": False, "table_reachable": True}
        decoded = msgspec.json.decode(msgspec.json.encode(status), type=NodeStatus)
        self.assertEqual(decoded.build, "")


class BuildsTest(unittest.TestCase):
    def test_different_build_is_logged_once_per_node_and_build(self) -> None:
        watch = BuildWatch()
        same = make_state("n1", formats=FORMATS)
        older, newer = make_state("n2"), make_state("n2", formats="f00")
        with logbook.TestHandler().applicationbound() as handler:
            for each in (
                same,
                older,
                older,
                newer,
                newer,
                make_state("n2", formats=FORMATS),
                older,
            ):
                watch.check(each)
        # A return to this build is logged too: the node no longer runs the other one.
        self.assertEqual(event_numbers(handler), ["E603"] * 4)
        self.assertEqual(watch.count_different([same, older, newer]), 2)

    def test_nodes_of_one_build_report_no_differences(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            first = await cluster.start("n1")
            second = await cluster.start("n2", (first.settings.node.control,))
            for node in (first, second):
                await wait_until(ready(node))
            await wait_until(lambda: bool(first.members.members))
            await asyncio.sleep(0.5)
            data = b"GET /metrics HTTP/1.1\r\nHost: d\r\n\r\n"
            body = (await ask(first.settings.node.control, data)).body
            self.assertIn(b"moledale_peers 1\n", body)
            for name in (b"peers_of_other_builds", b"news_unreadable_total", b"servers_limited"):
                self.assertIn(b"moledale_" + name + b" 0\n", body)

        run_on_cluster(scenario)


if __name__ == "__main__":
    unittest.main()
