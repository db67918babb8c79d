"""Rows of the store that other writers spoilt: nodes serve on, and good rows after them count."""

import base64
import unittest
from collections.abc import Callable

from moledale.gateway.node import GatewayNode
from standins.rows import RowsPlatform
from tests.test_gateway_nodes import Cluster, config, on_cluster, ready, until

NO_OBJECT = b'["not an object"]'
NO_BASE64 = "a"
WATCHED_S = 5.0


def spoil(platform: RowsPlatform, table: str, key: str, value: bytes | str) -> None:
    """Write a row of any bytes, or with a value that is not even base64."""
    platform.put(table, key, {})
    text = value if isinstance(value, str) else base64.b64encode(value).decode()
    platform.rows[(table, "", key)].value = text


def failures(node: GatewayNode) -> dict[str, int]:
    """Return how often tasks of a node failed."""
    return {each.name: len(each.failures) for each in node.supervisor._children if each.failures}


def plan_of(node: GatewayNode) -> int:
    """Return the version of a node's plan."""
    index = node.forwarder.index
    return -1 if index is None else index.version


class PlanOfOthersTest(unittest.TestCase):
    def _plan_outlives(self, spoilt: Callable[[RowsPlatform], object]) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await until(ready(node))
            spoilt(cluster.platform)
            calls = cluster.platform.calls
            await until(lambda: cluster.platform.calls > calls + 3)
            self.assertEqual((await cluster.ask("n1")).status, 200)
            cluster.platform.put("op", "config", config(3))
            await until(lambda: plan_of(node) == 3)
            self.assertEqual(failures(node), {})

        on_cluster(work)

    def test_plan_that_is_no_object_leaves_the_one_before_in_force(self) -> None:
        self._plan_outlives(lambda platform: spoil(platform, "op", "config", NO_OBJECT))

    def test_plan_that_is_not_base64_leaves_the_one_before_in_force(self) -> None:
        self._plan_outlives(lambda platform: spoil(platform, "op", "config", NO_BASE64))

    def test_plan_with_a_kind_of_route_that_is_not_known_leaves_the_one_before_in_force(
        self,
    ) -> None:
        plan = config(2)
        assert isinstance(plan, dict)
        plan["routes"][0]["kind"] = "strange"
        self._plan_outlives(lambda platform: platform.put("op", "config", plan))


if __name__ == "__main__":
    unittest.main()
