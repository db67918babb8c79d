"""Generations that crash engines, as seen by the dispatcher and the jobs.

Guards against accepted work that is retried without limit although each engine that starts to run
it crashes. Forwarded requests had the same fault.
"""

import unittest

from moledale.core.quarantine import INITIAL_BLOCK_S
from moledale.problems import Ran
from tests.world import World, in_world

CRASH_PROMPT = "a prompt that no engine survives"


class GenerationGuardTest(unittest.TestCase):
    @in_world
    async def test_job_crashes_at_most_three_engines(self, world: World) -> None:
        await world.start(nodes=1, engines=8)
        world.crash_prompt = CRASH_PROMPT
        jobs = world.nodes["n0"].jobs
        request = world.make_request(CRASH_PROMPT)
        (await jobs.accept(request, f"job_hall-a_{1:032x}")).unwrap()
        await world.clock.sleep(60.0)
        crashed = sum(not engine.alive for engine in world.engines.values())
        self.assertEqual(crashed, 3)
        self.assertEqual(jobs.open_jobs, 1)

    @in_world
    async def test_generation_that_crashed_engines_is_rejected_as_not_run(
        self, world: World
    ) -> None:
        await world.start(nodes=1, engines=8)
        world.crash_prompt = CRASH_PROMPT
        dispatcher = world.nodes["n0"].dispatcher
        record = dispatcher.submit(world.make_request(CRASH_PROMPT)).unwrap()
        await record.wait_ended()
        await world.clock.sleep(2.0)
        crashed = sum(not engine.alive for engine in world.engines.values())
        problem = dispatcher.submit(world.make_request(CRASH_PROMPT)).unwrap_err()
        self.assertEqual((problem.status, problem.ran), (503, Ran.NO))
        self.assertGreater(problem.retry_after or 0, INITIAL_BLOCK_S - 60)
        self.assertEqual(crashed, 3)
        self.assertEqual(sum(not engine.alive for engine in world.engines.values()), crashed)

    @in_world
    async def test_generations_survive_simultaneous_engine_crashes(self, world: World) -> None:
        """Two engines crash at one moment and two more later; their streams finish on others."""
        await world.start(nodes=1, engines=8)
        dispatcher = world.nodes["n0"].dispatcher
        prompts = [f"question {number}" for number in range(3)]
        records = [dispatcher.submit(world.make_request(each, 200)).unwrap() for each in prompts]
        for names in (("e0", "e2"), ("e4", "e6")):
            await world.clock.sleep(1.0)
            for name in names:
                world.engines[name].alive = False
        for record in records:
            await record.wait_ended()
        self.assertEqual({record.state for record in records}, {"finished"})
        again = [dispatcher.submit(world.make_request(each)) for each in prompts]
        self.assertTrue(all(each.is_ok() for each in again))


if __name__ == "__main__":
    unittest.main()
