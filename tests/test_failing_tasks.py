"""A node whose task keeps failing serves on, and its other tasks run on."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from moledale.gateway.peers import Standing
from moledale.node.supervisor import Supervisor
from tests.gateway_world import API_KEY
from tests.test_gateway_nodes import (
    Cluster,
    make_config,
    plan_version_of,
    ready,
    run_on_cluster,
    wait_until,
)

FAILING_S = 3.0
"""Long enough for eight restarts after pauses of 0.2 s."""

TASKS = ("gossip", "versions", "plan", "fleet", "members", "duties", "callers")


def fail_once_set(broken: asyncio.Event, task: str) -> Callable[..., None]:
    """Return a replacement of `Supervisor.start` whose child of that name fails once told to."""
    start = Supervisor.start

    def replaced(tree: Supervisor, name: str, run: Callable[[], Awaitable[None]]) -> None:
        async def failing() -> None:
            running = asyncio.ensure_future(run())
            await broken.wait()
            running.cancel()
            raise ValueError(name)

        start(tree, name, failing if name == task else run)

    return replaced


class FailingTaskTest(unittest.TestCase):
    def test_node_serves_on_whichever_of_its_tasks_keeps_failing(self) -> None:
        async def work(cluster: Cluster) -> None:
            broken = asyncio.Event()
            for task in TASKS:
                node = await cluster.start(task)
                node.supervisor.start = fail_once_set(broken, task).__get__(node.supervisor)  # type: ignore[attr-defined]
            for task in TASKS:
                await wait_until(ready(cluster.nodes[task]))
            broken.set()
            await asyncio.sleep(FAILING_S)
            for task in TASKS:
                with self.subTest(task):
                    self.assertIs(cluster.nodes[task].standing, Standing.READY)
                    self.assertEqual((await cluster.ask(task)).status, 200)

        run_on_cluster(work)

    def test_error_in_a_step_of_the_gossip_round_leaves_out_no_other_step(self) -> None:
        def fail() -> None:
            raise ValueError

        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            node._note_list_gap = fail  # type: ignore[method-assign]
            node.rollouts.step = fail  # type: ignore[method-assign]
            ticks = 0

            def tick(now: float) -> None:
                nonlocal ticks
                ticks += 1

            node.balancer.tick = tick  # type: ignore[method-assign]
            sequence = node._sequence
            await asyncio.sleep(FAILING_S)
            self.assertGreater(ticks, 5)
            self.assertGreater(node._sequence, sequence + 5)
            self.assertIs(node.standing, Standing.READY)

        run_on_cluster(work)

    def test_duty_that_fails_leaves_out_no_other_duty_and_ends_no_node(self) -> None:
        async def fail() -> None:
            raise ValueError

        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            rented = 0

            async def rent() -> None:
                nonlocal rented
                rented += 1

            node.duties._report_usage = fail  # type: ignore[method-assign]
            node.renting.step = rent  # type: ignore[method-assign]
            await wait_until(lambda: rented > 5, 8.0)
            await asyncio.sleep(FAILING_S)
            self.assertIs(node.standing, Standing.READY)
            self.assertEqual((await cluster.ask("n1")).status, 200)

        run_on_cluster(work)

    def test_plan_is_followed_again_after_its_task_failed_for_long(self) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            adopt = node.plans._adopt

            def fail(plan: object) -> bool:
                raise ValueError

            node.plans._adopt = fail
            cluster.platform.put("op", "config", make_config(3, "/new/"))
            await asyncio.sleep(FAILING_S)
            self.assertEqual((await cluster.ask("n1", "/check/", API_KEY)).status, 200)
            node.plans._adopt = adopt
            await wait_until(lambda: plan_version_of(node) == 3, 3.0)

        run_on_cluster(work)


if __name__ == "__main__":
    unittest.main()
