"""Tests that suspended time counts, and that nodes do not act on what expired meanwhile."""

import asyncio
import time
import unittest
from unittest import mock

from moledale.clock import SystemClock, monotonic
from moledale.core.leases import LeaseRow
from moledale.gateway.lease_keeper import LeaseKeeper
from moledale.gateway.settings import Bounds
from moledale.gateway.suspension import MIN_SUSPENSION_S, SuspensionWatch
from moledale.platform.store import PlatformStore
from tests.gateway_world import Arrival, GatewayWorld, answer_ok, make_plan, reset, run_quietly


class FakeClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.at = 100.0

    def __call__(self) -> float:
        return self.at


class SuspensionWatchTest(unittest.TestCase):
    def test_each_suspension_is_reported_once_and_short_ones_add_up(self) -> None:
        boot_clock, monotonic_clock = FakeClock(), FakeClock()
        watch = SuspensionWatch(boot_clock, monotonic_clock)
        reported = []
        for slept_s in (0.0, 5.0, 0.0, MIN_SUSPENSION_S / 2, MIN_SUSPENSION_S / 2 + 0.01, 0.0):
            boot_clock.at += 0.2 + slept_s
            monotonic_clock.at += 0.2
            reported.append(round(watch.slept_s(), 3))
        self.assertEqual(reported, [0.0, 5.0, 0.0, 0.0, round(MIN_SUSPENSION_S + 0.01, 3), 0.0])

    @unittest.skipUnless(hasattr(time, "CLOCK_BOOTTIME"), "this system has no CLOCK_BOOTTIME")
    def test_durations_include_suspended_time(self) -> None:
        expected = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertAlmostEqual(monotonic(), expected, delta=0.05)
        self.assertAlmostEqual(SystemClock().monotonic(), expected, delta=0.05)

    @unittest.skipUnless(hasattr(time, "CLOCK_BOOTTIME"), "this system has no CLOCK_BOOTTIME")
    def test_durations_are_read_from_the_boot_clock(self) -> None:
        """Both clocks agree on a machine that was never suspended, so the clock id is checked."""
        with mock.patch.object(time, "clock_gettime", return_value=123.0) as clock_gettime:
            self.assertEqual(monotonic(), 123.0)
        clock_gettime.assert_called_once_with(time.CLOCK_BOOTTIME)


class DeadlineTest(unittest.TestCase):
    def test_request_is_not_retried_after_its_deadline_passed_while_suspended(self) -> None:
        """The request's timer stopped meanwhile; only the server that reset it got the request."""
        clock_ahead_s = 0.0

        async def suspends(_: Arrival, __: object, writer: asyncio.StreamWriter) -> None:
            nonlocal clock_ahead_s
            clock_ahead_s = 10.0
            reset(writer)

        async def work() -> None:
            async with GatewayWorld(make_plan()) as world:
                world.forwarder._now = lambda: monotonic() + clock_ahead_s
                first = await world.start_server("s1", "plain", suspends)
                second = await world.start_server("s2", "plain", answer_ok)
                got = await world.send_request("/check/")
                self.assertEqual((len(first.arrivals), len(second.arrivals)), (1, 0))
                self.assertEqual(got.status, 504)

        run_quietly(work())


class LeaseTest(unittest.TestCase):
    def test_lease_that_expired_while_suspended_is_not_held(self) -> None:
        keeper = LeaseKeeper("n1", PlatformStore("127.0.0.1:1"), Bounds(lease_s=3.0), "nonce")
        slept_since = monotonic() - 5.0
        keeper.lease.record_write(LeaseRow("n1", 1, "nonce/1"), 1, slept_since)
        self.assertIsNone(keeper.grant())
        keeper.lease.record_write(LeaseRow("n1", 1, "nonce/2"), 2, monotonic())
        self.assertIsNotNone(keeper.grant())


if __name__ == "__main__":
    unittest.main()
