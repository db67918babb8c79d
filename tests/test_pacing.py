"""Slots of a pacer keep its rate in each span of time, and few of them are lost."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from moledale.core.pacing import BURST_S, MAX_EXTRA_WAIT_S, MIN_RATE_PER_S, Pacer

RATES = st.sampled_from([0.0, 0.1, 0.4, 1.0, 3.0, 50.0, 2_000.0])
SPANS_S = (1.0, 4.0, 10.0)
CALLS = st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 1.0)), min_size=1, max_size=200)


def max_count_in_span(span_s: float, times: list[float]) -> int:
    """Return the maximum number of these times within any span of `span_s`."""
    return max((sum(at <= each < at + span_s for each in times) for at in times), default=0)


class PacerTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(RATES, CALLS)
    def test_rate_is_kept_in_each_span_of_time(
        self, per_s: float, calls: list[tuple[float, float]]
    ) -> None:
        pacer = Pacer.without_credit(per_s, 100.0)
        now, slots = 100.0, []
        for pause_s, max_wait_s in calls:
            now += pause_s
            reservation = pacer.take(now, max_wait_s)
            if reservation.granted:
                self.assertLessEqual(reservation.wait_s, max_wait_s)
                slots.append(now + reservation.wait_s)
        rate = max(MIN_RATE_PER_S, per_s)
        for span_s in SPANS_S:
            burst = 1 + max(1.0, rate * BURST_S)
            self.assertLessEqual(max_count_in_span(span_s, slots), rate * span_s + burst + 1e-6)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(RATES, st.floats(0.0, 2.0)), min_size=1, max_size=40))
    def test_changing_rates_do_not_block_a_server(self, changes: list[tuple[float, float]]) -> None:
        pacer = Pacer.without_credit(1.0, 0.0)
        now = 0.0
        for per_s, pause_s in changes:
            now += pause_s
            pacer.set_rate(per_s, now)
            pacer.take(now)
        pacer.set_rate(1.0, now)
        self.assertTrue(pacer.take(now + 2.0 / MIN_RATE_PER_S).granted)

    def test_fluctuating_rate_loses_no_slots(self) -> None:
        """A node's rate depends on the peers it hears from, which may change each gossip round."""
        pacer = Pacer.without_credit(0.4, 0.0)
        granted = 0
        for step in range(400):
            now = step * 0.1
            pacer.set_rate(0.4 if step % 4 < 2 else 0.36, now)
            granted += pacer.take(now).granted
        self.assertIn(granted, range(14, 18))

    def test_new_pacer_has_no_free_slot(self) -> None:
        for per_s in (0.4, 1.0, 50.0):
            pacer = Pacer.without_credit(per_s, 5.0)
            self.assertFalse(pacer.take(5.0).granted)
            self.assertTrue(pacer.take(5.0 + 1.0 / per_s + 0.001).granted)

    def test_lower_and_higher_rates_apply_at_once(self) -> None:
        pacer = Pacer.without_credit(50.0, 0.0)
        self.assertTrue(pacer.take(1.0).granted)
        pacer.set_rate(0.5, 1.0)
        self.assertFalse(pacer.take(2.9).granted)
        self.assertTrue(pacer.take(3.1).granted)
        pacer.set_rate(50.0, 3.1)
        self.assertTrue(pacer.take(3.2).granted)

    def test_rejected_callers_get_different_retry_times(self) -> None:
        pacer = Pacer.without_credit(1.0, 0.0)
        waits = [pacer.take(0.0).wait_s for _ in range(5)]
        self.assertEqual(len(set(waits)), 5)
        more_waits = [pacer.take(0.0).wait_s for _ in range(390)]
        self.assertLessEqual(max(more_waits), 1.0 + MAX_EXTRA_WAIT_S)

    def test_waiting_callers_get_successive_slots(self) -> None:
        pacer = Pacer.without_credit(2.0, 0.0)
        waits = [pacer.take(0.0, 1.6).wait_s for _ in range(3)]
        self.assertEqual([round(wait, 3) for wait in waits], [0.5, 1.0, 1.5])
        self.assertFalse(pacer.take(0.0, 1.6).granted)

    def test_requests_without_a_slot_delay_the_next_slot_within_a_bound(self) -> None:
        pacer = Pacer.without_credit(1.0, 0.0)
        for _ in range(100):
            pacer.record_external(10.0)
        self.assertFalse(pacer.take(11.0).granted)
        self.assertTrue(pacer.take(10.0 + MAX_EXTRA_WAIT_S + 1.1).granted)


if __name__ == "__main__":
    unittest.main()
