"""Tests that a server that restarts under the same id counts as a different, empty server."""

import asyncio
import unittest

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.messages import Placed, PromptPart, RequestFacts, Server
from moledale.gateway.plan import Engine
from tests.gateway_world import answer_ok, request_bytes
from tests.test_gateway_nodes import Cluster, ScriptedServer, ask, ready, run_on_cluster, wait_until

ENGINE = Engine(64, 100_000, 1, 1000.0)
PARTS = (PromptPart("front", 4_000), PromptPart("own", 100))
FACTS = RequestFacts("r1", prompt_tokens=4_100, parts=PARTS)


def make_server(born_ms: int) -> Server:
    return Server(f"a#{born_ms}", "model", "h:1", "hall-a", 64)


class BookTest(unittest.TestCase):
    """What was known of the previous incarnation is dropped at once and never restored."""

    def setUp(self) -> None:
        self.balancer = LoadBalancer("hall-a")
        self.balancer.apply([make_server(1)])
        self.before = self.balancer.place("model", FACTS, ENGINE, 0.0)
        assert self.before is not None
        self.gone = self.balancer.apply([make_server(2)])

    def test_load_and_cache_of_the_previous_incarnation_are_dropped(self) -> None:
        self.assertEqual([server.id for server in self.gone], ["a#1"])
        view = self.balancer.views["a#2"]
        self.assertEqual(
            (view.cached_prefix_tokens(PARTS), view.running, view.total_prefill), (0, 0, 0)
        )
        self.assertEqual(self.balancer.group("model").holders(PARTS), [])
        self.assertEqual(self.balancer.running("model"), 0)

    def test_end_of_a_request_of_the_previous_incarnation_changes_nothing(self) -> None:
        self.before.end()
        self.assertEqual(self.balancer.views["a#2"].running, 0)
        self.assertEqual(self.balancer.running("model"), 0)

    def test_late_updates_about_the_previous_incarnation_change_nothing(self) -> None:
        self.balancer.apply_peer_placement("n2", {}, Placed("a#1", 3, 4_000, PARTS, 4_000), ENGINE)
        self.balancer.apply_peer_loads("n3", {"a#1": (5, 9_000)})
        view = self.balancer.views["a#2"]
        self.assertEqual(
            (view.cached_prefix_tokens(PARTS), view.total_running, view.total_prefill), (0, 0, 0)
        )


class NodeTest(unittest.TestCase):
    def test_server_that_restarts_between_two_reads_of_the_list_gets_new_connections(self) -> None:
        """It restarts at the same address, so the list never shows it as gone."""

        async def work(cluster: Cluster) -> None:
            cluster.list_server(cluster.backend, "ready", born=1_000)
            node = await cluster.start("n1")
            await wait_until(ready(node))
            await wait_until(lambda: list(node.balancer.views) == ["s1#1000"])
            self.assertEqual((await cluster.ask("n1")).status, 200)
            self.assertTrue(node.pool.has_idle("s1#1000"))
            cluster.list_server(cluster.backend, "ready", born=2_000)
            await wait_until(lambda: list(node.balancer.views) == ["s1#2000"], 2.0)
            self.assertFalse(node.pool.has_idle("s1#1000"))
            got = await ask(node.settings.node.callers, request_bytes("/check/"))
            self.assertEqual(got.status, 200)
            asked = [each.get("expect-instance") for each in cluster.backend.arrivals]
            self.assertEqual(asked, ["s1", "s1"])

        run_on_cluster(work)

    def test_unreadable_half_of_a_list_hides_no_server(self) -> None:
        async def work(cluster: Cluster) -> None:
            for number in range(4):
                cluster.platform.put("servers", f"bad{number}", {"service": "plain"})
            others = [ScriptedServer(f"s{number}", answer_ok) for number in (2, 3)]
            for other in others:
                await other.start()
                cluster.list_server(other, "ready")
            node = await cluster.start("n1")
            await wait_until(ready(node))
            await wait_until(lambda: len(node.balancer.views) == 3)
            answers = await asyncio.gather(*(cluster.ask("n1") for _ in range(6)))
            self.assertEqual([each.status for each in answers], [200] * 6)
            for other in others:
                other.stop()

        run_on_cluster(work)


if __name__ == "__main__":
    unittest.main()
