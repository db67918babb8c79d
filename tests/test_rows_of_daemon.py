"""Tests that daemons keep serving when other writers corrupt rows of the table service."""

import asyncio
import json
import unittest
from unittest import mock
from unittest.mock import AsyncMock

import msgspec
from result import Result
from starlette.requests import Request

from moledale.backing.types import Row
from moledale.bundle import store
from moledale.bundle.schema import Priority
from moledale.decoding import decode_json
from moledale.edge import sse
from moledale.edge.requests import DEADLINE_HEADER, _deadline_s
from moledale.node.hall_duty import LEASE_TABLE
from moledale.node.hall_renting import DEMAND_TABLE
from moledale.node.jobs import JOB_TABLE
from moledale.node.node import Node
from moledale.node.once import OnceCall
from moledale.peers.grpc_link import GrpcLink
from moledale.peers.pb import peers_pb2
from moledale.problems import Problem, Ran
from moledale.servers.types import LoadReport, ServiceAnswer
from moledale.settings import MetricsSection
from tests.world import World, in_world

DEPTH = 5_000
VALUES = ("[" * DEPTH + "]" * DEPTH, '{"x":' * DEPTH + "1" + "}" * DEPTH, "word", "[]", "{}")
JOB_KEY = f"hall-a/{1:032x}"


def corrupt(world: World, table: str, key: str, value: str) -> None:
    """Replace the value of a row, or add one, as another writer would."""
    known = world.state.rows.get((table, key))
    version = 1 if known is None else known.version + 1
    world.state.rows[(table, key)] = Row(key, version, value)


def failures(node: Node) -> dict[str, int]:
    """Return the number of failures of each task of a node that failed."""
    return {each.name: len(each.failures) for each in node.supervisor._children if each.failures}


class RowsOfDaemonTest(unittest.TestCase):
    @in_world
    async def test_unreadable_rows_end_no_task(self, world: World) -> None:
        await world.start(nodes=1, engines=2)
        node = world.nodes["n0"]
        for value in VALUES:
            corrupt(world, LEASE_TABLE, "hall/hall-a", value)
            corrupt(world, DEMAND_TABLE, "hall-b", value)
            corrupt(world, JOB_TABLE, JOB_KEY, value)
            corrupt(world, store.HEAD_TABLE, store.HEAD_KEY, value)
            await world.clock.sleep(30.0)
            self.assertEqual(failures(node), {})
        record = node.dispatcher.submit(world.make_request("question")).unwrap()
        await record.wait_ended()
        self.assertEqual(record.state, "finished")

    @in_world
    async def test_unreadable_lease_is_acquired_after_its_ttl(self, world: World) -> None:
        await world.start(nodes=1, engines=2)
        corrupt(world, LEASE_TABLE, "hall/hall-a", VALUES[0])
        await world.clock.sleep(60.0)
        self.assertNotEqual(world.state.rows[(LEASE_TABLE, "hall/hall-a")].value, VALUES[0])

    @in_world
    async def test_unreadable_head_is_a_failure_and_not_absent(self, world: World) -> None:
        await world.start(nodes=1, engines=1)
        corrupt(world, store.HEAD_TABLE, store.HEAD_KEY, VALUES[0])
        outcome = await store.read_head(world.nodes["n0"].platform)
        self.assertTrue(outcome.is_err())


class InputsOfDaemonTest(unittest.TestCase):
    """Numbers of callers, servers and peers that can't be converted or computed with."""

    def test_numbers_of_thousands_of_digits_are_rejected(self) -> None:
        digits = "9" * DEPTH
        self.assertIsNone(sse.resume_index("r1", f"r1.{digits}"))
        self.assertEqual(sse.resume_index("r1", "r1.7"), 8)
        headers = [(DEADLINE_HEADER.encode(), digits.encode())]
        request = Request({"type": "http", "headers": headers})
        self.assertTrue(_deadline_s(mock.Mock(), request, next(iter(Priority))).is_err())

    def test_reports_of_servers_with_huge_numbers_are_unreadable(self) -> None:
        report = LoadReport("s1", 1, 0, 0, 0, 0, [])
        for field, value in (
            ("running", 2**70),
            ("pending_prefill_tokens", 10**400),
            ("waiting", -1),
            ("seconds_left", 1e300),
            ("sequence", 2**64),
        ):
            raw = json.dumps({**msgspec.to_builtins(report), field: value})
            with self.subTest(field), self.assertRaises(ValueError):
                decode_json(raw, LoadReport)

    def test_addresses_with_a_port_out_of_range_are_no_settings(self) -> None:
        for address in ("127.0.0.1:99999", "127.0.0.1:65536", "127.0.0.1:80\n"):
            with self.subTest(address), self.assertRaises(ValueError):
                MetricsSection(statsd=address)
        self.assertEqual(MetricsSection(statsd="127.0.0.1:65535").statsd, "127.0.0.1:65535")

    def test_problems_of_peers_that_cannot_be_read_leave_the_outcome_unknown(self) -> None:
        async def run(body: bytes, ran: str) -> Result[ServiceAnswer, Problem]:
            link = GrpcLink("n1", "", mock.Mock())
            reply = peers_pb2.OnceReply(status=503, body=body, ran=ran)
            stub = mock.Mock(RunOnce=AsyncMock(return_value=reply))
            metadata = mock.patch.object(link, "_metadata", return_value=())
            with metadata, mock.patch.object(link, "_stub", AsyncMock(return_value=stub)):
                return await link.run_once("127.0.0.1:1", OnceCall("a", "k", "f", b""))

        for body, ran in ((VALUES[0].encode(), "no"), (b"{}", "no"), (b"x", "no"), (b"{}", "odd")):
            with self.subTest(body[:8]):
                self.assertEqual(asyncio.run(run(body, ran)).unwrap_err().ran, Ran.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
