"""Tests that nodes keep serving when other writers corrupt rows, and apply later valid rows."""

import asyncio
import base64
import unittest
from collections.abc import Callable

import msgspec

from moledale.clock import monotonic
from moledale.core.leases import LeaseRow
from moledale.gateway.lease_keeper import LEASE_KEY
from moledale.gateway.node import GatewayNode
from moledale.gateway.outside import StateRow
from moledale.gateway.settings import Bounds
from standins.rows import RowsPlatform, StoreMode
from tests.gateway_world import ScriptedServer, answer_ok, run_quietly
from tests.test_gateway_lease import SingleRowStore, make_keeper
from tests.test_gateway_nodes import Cluster, make_config, ready, run_on_cluster, wait_until

NOT_AN_OBJECT = b'["not an object"]'
NOT_BASE64 = "a"
DEPTH = 5_000
NESTED_DEEPLY = b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
"""A JSON object with an unknown field that decoders can't follow."""

LONG_LEASE = Bounds(stop_s=3.0, lease_s=2.0, usage_window_s=1.0)
"""With a lease this long, renewals come well before it expires even on a slow machine."""


def put_corrupt_row(platform: RowsPlatform, table: str, key: str, value: bytes | str) -> None:
    """Write a row with these bytes, or with a text that need not be valid base64."""
    platform.put(table, key, {})
    text = value if isinstance(value, str) else base64.b64encode(value).decode()
    platform.rows[(table, "", key)].value = text


def task_failures(node: GatewayNode) -> dict[str, int]:
    """Return the number of failures of each task of a node that failed."""
    return {each.name: len(each.failures) for each in node.supervisor._children if each.failures}


def current_plan_version(node: GatewayNode) -> int:
    """Return the version of a node's plan, -1 without a plan."""
    index = node.forwarder.index
    return -1 if index is None else index.version


class PlanOfOthersTest(unittest.TestCase):
    def _assert_plan_survives(self, corrupt: Callable[[RowsPlatform], object]) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            corrupt(cluster.platform)
            calls = cluster.platform.calls
            await wait_until(lambda: cluster.platform.calls > calls + 3)
            self.assertEqual((await cluster.ask("n1")).status, 200)
            cluster.platform.put("op", "config", make_config(3))
            await wait_until(lambda: current_plan_version(node) == 3)
            self.assertEqual(task_failures(node), {})

        run_on_cluster(work)

    def test_plan_that_is_not_an_object_leaves_the_previous_one_in_force(self) -> None:
        self._assert_plan_survives(
            lambda platform: put_corrupt_row(platform, "op", "config", NOT_AN_OBJECT)
        )

    def test_plan_that_is_not_base64_leaves_the_previous_one_in_force(self) -> None:
        self._assert_plan_survives(
            lambda platform: put_corrupt_row(platform, "op", "config", NOT_BASE64)
        )

    def test_plan_that_is_nested_deeply_leaves_the_previous_one_in_force(self) -> None:
        self._assert_plan_survives(
            lambda platform: put_corrupt_row(platform, "op", "config", NESTED_DEEPLY)
        )

    def test_plan_with_an_unknown_kind_of_route_leaves_the_previous_one_in_force(
        self,
    ) -> None:
        plan = make_config(2)
        assert isinstance(plan, dict)
        plan["routes"][0]["kind"] = "strange"
        self._assert_plan_survives(lambda platform: platform.put("op", "config", plan))


class EntriesOfOthersTest(unittest.TestCase):
    def test_odd_entries_of_servers_hide_no_other_server(self) -> None:
        async def work(cluster: Cluster) -> None:
            for number, odd in enumerate(
                (
                    {"slots": 2**70},
                    {"address": "127.0.0.1:99999"},
                    {"address": "a\0b:80"},
                    {"address": "a..b:80"},
                    {"version": "v1\r\n"},
                    {"born": 2**63},
                )
            ):
                cluster.list_server(ScriptedServer(f"odd-{number}", answer_ok), "ready", **odd)
            node = await cluster.start("n1")
            await wait_until(ready(node))
            for _ in range(20):
                self.assertEqual((await cluster.ask("n1")).status, 200)
            late = ScriptedServer("s2", answer_ok)
            cluster.servers.append(late)
            await late.start()
            cluster.list_server(late, "ready")
            await wait_until(lambda: "s2" in node.fleet.list.servers)
            self.assertEqual(sorted(node.fleet.list.servers), ["s1", "s2"])
            self.assertEqual(task_failures(node), {})

        run_on_cluster(work)


class NestedRowsTest(unittest.TestCase):
    def test_rows_of_all_tables_that_are_nested_deeply_end_no_task(self) -> None:
        async def work(cluster: Cluster) -> None:
            for table, key in (
                ("servers", "s2"),
                ("op", "rollout/plain"),
                ("status", "rollout/plain"),
                ("rollouts", "plain"),
                ("members", "n9"),
                ("leases", "duties"),
                ("blocks", "00" * 16),
                ("usage", "1"),
                ("stream_versions", "plain"),
                ("stream_origins", "001"),
            ):
                put_corrupt_row(cluster.platform, table, key, NESTED_DEEPLY)
            node = await cluster.start("n1")
            await wait_until(ready(node))
            await asyncio.sleep(2.0)
            self.assertEqual((await cluster.ask("n1")).status, 200)
            await wait_until(lambda: node.keeper.grant() is not None, 10.0)
            self.assertEqual(task_failures(node), {})

        run_on_cluster(work)


class NumbersOfOthersTest(unittest.TestCase):
    def test_rows_with_huge_numbers_end_no_task(self) -> None:
        async def work(cluster: Cluster) -> None:
            lease = {"holder": "n9", "epoch": 2**64 - 1, "operation": "x"}
            cluster.platform.put("leases", "duties", lease)
            for number, times in enumerate((2_000, 2**32, 2**70, -5)):
                block = {"until_s": 1e6, "times": times}
                cluster.platform.put("blocks", f"{number:032x}", block)
            cluster.platform.put("stream_versions", "plain", {"versions": {"v0": 1e300}})
            cluster.platform.put("stream_origins", "001", {"at_s": 1e300, "streams": {"v0": ""}})
            cluster.platform.put("usage", "1", {"window": 2**70, "counts": {"north": 2**70}})
            node = await cluster.start("n1")
            await wait_until(ready(node))
            await wait_until(lambda: node.keeper.grant() is not None, 10.0)
            await asyncio.sleep(1.0)
            self.assertEqual((await cluster.ask("n1")).status, 200)
            self.assertEqual(task_failures(node), {})

        run_on_cluster(work)


class LeaseOfOthersTest(unittest.TestCase):
    def test_unreadable_lease_is_acquired_after_the_ttl(self) -> None:
        async def work(cluster: Cluster) -> None:
            put_corrupt_row(cluster.platform, "leases", "duties", NOT_AN_OBJECT)
            began = monotonic()
            node = await cluster.start("n1")
            await wait_until(lambda: node.keeper.grant() is not None, 10.0)
            self.assertGreater(monotonic() - began, cluster.bounds.lease_s)
            self.assertEqual(task_failures(node), {})

        run_on_cluster(work)

    def test_candidate_does_not_mistake_a_corrupt_lease_for_its_own(self) -> None:
        async def work() -> None:
            store = SingleRowStore()
            store.row = StateRow(LEASE_KEY, NOT_AN_OBJECT, 9)
            candidate = make_keeper(store, "n1")
            for _ in range(3):
                await candidate.step(0)
                self.assertIsNone(candidate.grant())
                self.assertNotEqual(candidate.holder, "n1")

        run_quietly(work())

    def test_holder_keeps_the_lease_when_its_row_is_corrupted(self) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(lambda: node.keeper.grant() is not None)
            held = node.keeper.grant()
            assert held is not None
            put_corrupt_row(cluster.platform, "leases", "duties", NOT_AN_OBJECT)
            corrupt_version = cluster.platform.rows[("leases", "", "duties")].ver
            while cluster.platform.rows[("leases", "", "duties")].ver == corrupt_version:
                grant = node.keeper.grant()
                assert grant is not None
                self.assertEqual(grant.epoch, held.epoch)
                await asyncio.sleep(0.05)
            row = msgspec.convert(cluster.platform.body("leases", "duties"), LeaseRow)
            self.assertEqual((row.holder, row.epoch), ("n1", held.epoch))
            self.assertEqual(task_failures(node), {})

        run_on_cluster(work, LONG_LEASE)


class AnswersTest(unittest.TestCase):
    def test_unreadable_answers_of_the_store_count_as_an_outage(self) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(lambda: node.keeper.grant() is not None)
            cluster.platform.mode = StoreMode.UNREADABLE
            await asyncio.sleep(3.0)
            self.assertEqual((await cluster.ask("n1")).status, 200)
            cluster.platform.mode = StoreMode.HEALTHY
            cluster.platform.put("op", "config", make_config(3))
            await wait_until(lambda: current_plan_version(node) == 3)
            await wait_until(lambda: node.keeper.grant() is not None)
            self.assertEqual(task_failures(node), {})

        run_on_cluster(work)


class MembersOfOthersTest(unittest.TestCase):
    def test_unreadable_registrations_hide_no_other_node(self) -> None:
        async def work(cluster: Cluster) -> None:
            for number, value in enumerate(
                (
                    b"\xff\xfe",
                    b"word",
                    b"host:7",
                    b"1.2.3.4:0",
                    b"1.2.3.4:99999",
                    b"1.2.3.4:8_0",
                    b"1.2.3.4:" + b"9" * 5_000,
                    b"::1:7",
                    NOT_BASE64,
                )
            ):
                put_corrupt_row(cluster.platform, "members", f"spoilt-{number}", value)
            one, two = await cluster.start("n1"), await cluster.start("n2")
            await wait_until(lambda: "n2" in one.members.members and "n1" in two.members.members)
            await wait_until(ready(one))
            self.assertEqual((await cluster.ask("n1")).status, 200)
            self.assertEqual((task_failures(one), task_failures(two)), ({}, {}))

        run_on_cluster(work)


if __name__ == "__main__":
    unittest.main()
