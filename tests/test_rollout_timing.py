"""A version whose evidence comes late must still be adopted within the duration of its order.

Without the 6 answers that a route needs, a version rises at the latest moment. If that moment
leaves time for the later phases but not for the delay of the holder's polls (five per second), a
roll-out of 8 s that rises at 5.8 s is adopted at 8.1 s.
"""

import asyncio
import unittest
from unittest import mock

from result import Ok

from moledale.core.rollout_evidence import Arm
from moledale.core.rollouts import STATUS_WRITE_S, Exposure, Phase, RolloutOrder
from moledale.gateway import duties
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.messages import Server
from moledale.gateway.peers import Membership
from moledale.gateway.rollout_duty import RolloutDuty
from moledale.gateway.rollouts import Rollouts
from tests.gateway_world import run_quietly

POLL_DELAY_S = 0.02
"""Delay of each of the holder's polls, caused by the duration of the previous one."""


class LateEvidenceTest(unittest.TestCase):
    def test_version_is_adopted_in_time_whatever_the_timing_of_the_polls(self) -> None:
        for duration_s in (8.0, 10.0, 12.0, 20.0):
            for phase_ms in range(0, 200, 20):
                with self.subTest(duration_s=duration_s, phase_ms=phase_ms):
                    run_quietly(self.assert_adopted_in_time(duration_s, phase_ms / 1000))

    async def assert_adopted_in_time(self, duration_s: float, first_poll_s: float) -> None:
        self.now = first_poll_s
        balancer = LoadBalancer("hall-a")
        old = [Server("s0", "model", "h:0", "hall-a", 4, version="v1")]
        balancer.apply(old)
        balancer.apply([*old, Server("s1", "model", "h:1", "hall-a", 4, version="v2")])
        rollouts = Rollouts(
            balancer,
            Membership("n1", 1),
            lambda _: None,
            lambda at: at,
            lambda: 1,
            -1.0,
            Exposure(),
        )
        rollouts.apply_order(RolloutOrder("model", 1, "v2", duration_s, 0.0))
        self.record_answers(rollouts)
        store = mock.Mock()
        store.load_rollouts = mock.AsyncMock(return_value=Ok([]))
        store.write_rollout = mock.AsyncMock(
            return_value=Ok(mock.Mock(superseded=False, committed=True, version=1))
        )
        duty = RolloutDuty(store, rollouts, balancer, lambda at: at, lambda: self.now)
        while rollouts.services["model"].phase is not Phase.COMPLETED:
            await duty.step(lambda: True)
            self.assertLessEqual(self.now, duration_s - STATUS_WRITE_S)
            self.now += duties.DUTY_POLL_INTERVAL_S + POLL_DELAY_S
            await asyncio.sleep(0)

    def record_answers(self, rollouts: Rollouts) -> None:
        """Record enough answers in total, but only 3 of the 6 required ones on one route."""
        rollout = rollouts.services["model"]
        for route, new in (("review", 30), ("order", 3)):
            for _ in range(200):
                rollout.own_counts.seen.observe(Arm.OLD, route, False, 0.1)
            for _ in range(new):
                rollout.own_counts.seen.observe(Arm.NEW, route, False, 0.1)
        rollouts.step()
