"""A node's estimates of server speed, tested against the engine model on a virtual clock."""

import heapq
import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from moledale.gateway.server_model import (
    PRIOR,
    PRIOR_PREFILL_TOKENS_PER_S,
    SAMPLE_TTL_S,
    SLOWDOWN_DECAY_S,
    PrefillSample,
    PrefillTracker,
    Slowness,
    Speed,
    SpeedEstimator,
    combine_speeds,
)
from moledale.gateway.server_need import mean_wait_s, servers_needed
from standins.engine_model import EngineModel, EngineSpec, Sequence

REQUESTS = 200
TOLERANCE = 0.15
FULL_STEP_S = 0.001
"""Time of a step with all slots in use; short, so that prefill dominates and not the decoding."""

SERVERS = 4
ANSWER_TOKENS = 40
MEAN_PROMPT_TOKENS = 5_000.0


def make_spec(read_per_s: float, slots: int) -> EngineSpec:
    return EngineSpec(read_per_s, slots / FULL_STEP_S, slots, cache_tokens=0)


def prefill_rate(spec: EngineSpec) -> float:
    """Return an engine's prefill rate in tokens per second, with a tenth of its slots decoding."""
    took = []
    for prompt in (2_000, 12_000):
        engine = EngineModel(spec)
        for number in range(spec.slots // 10):
            engine.submit(Sequence(f"d{number}", "", (), 1, 0, 100_000, "normal"))
        engine.step()
        engine.submit(Sequence("p", "", (), prompt, 0, 10, "normal"))
        seconds = 0.0
        while True:
            step = engine.step()
            seconds += step.duration_s
            if any(attempt == "p" for attempt, _ in step.tokens):
                break
        took.append(seconds)
    return 10_000 / (took[1] - took[0])


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A placed request, with the server's load as the node saw it at that time."""

    server: int
    at: float
    prompt: int
    queued_ahead: int
    concurrent: int
    cumulative_work: float


@dataclass(slots=True)
class ServerViewHistory:
    """A node's counts for a server over time: prompt tokens before a first event, and requests."""

    states: list[tuple[float, int, int]] = field(default_factory=lambda: [(0.0, 0, 0)])

    def record_change(self, now: float, tokens: int, requests: int) -> None:
        """Record that a request was placed, had its first event or finished."""
        _, queued_ahead, concurrent = self.states[-1]
        self.states.append((now, queued_ahead + tokens, concurrent + requests))

    def as_of(self, when: float) -> tuple[int, int]:
        """Return the counts as of a time: queued prompt tokens and running requests."""
        known = [state for state in self.states if state[0] <= when]
        return known[-1][1:] if known else (0, 0)


@dataclass(slots=True)
class Simulation:
    """Simulates a node that places requests on engines and estimates their speed.

    `load` is the share of the engines' time that prefill takes. The node sees the load of servers
    with a delay of `view_delay_s`, and counts a prompt as queued in full until its first event.
    Server 0 takes `slow_factor` times as long as the others, and from `change_at` all take
    `change_factor` times as long.
    """

    spec: EngineSpec
    load: float = 0.3
    view_delay_s: float = 0.0
    slow_factor: float = 1.0
    change_at: float = 1e9
    change_factor: float = 1.0
    estimator: SpeedEstimator = field(default_factory=SpeedEstimator)
    trackers: list[PrefillTracker] = field(
        default_factory=lambda: [PrefillTracker() for _ in range(SERVERS)]
    )
    slowness: list[Slowness] = field(default_factory=lambda: [Slowness() for _ in range(SERVERS)])
    now: float = 0.0

    def run_until(self, end: float) -> None:
        """Simulate the requests that arrive until a time, and stop then."""
        self.run(int(end * self.load * SERVERS * prefill_rate(self.spec) / MEAN_PROMPT_TOKENS), end)

    def run(self, requests: int = REQUESTS, end: float = 1e9) -> None:
        """Simulate a number of requests until all have finished, or until a time."""
        rng = random.Random(3)
        rate = prefill_rate(self.spec)
        engines = [EngineModel(self.spec) for _ in range(SERVERS)]
        clocks = [0.0] * SERVERS
        views = [ServerViewHistory() for _ in range(SERVERS)]
        sent: dict[str, SentRequest] = {}
        arrivals: list[float] = []
        at = 0.0
        for _ in range(requests):
            at += rng.expovariate(self.load * SERVERS * rate / MEAN_PROMPT_TOKENS)
            heapq.heappush(arrivals, at)
        number = 0
        while arrivals or any(engine.busy for engine in engines):
            busy = [each for each in range(SERVERS) if engines[each].busy]
            first = min(busy, key=lambda each: clocks[each], default=None)
            if first is not None and clocks[first] >= end:
                return
            if first is None or (arrivals and arrivals[0] <= clocks[first]):
                at = heapq.heappop(arrivals)
                chosen = rng.randrange(SERVERS)
                prompt = int(min(50_000, rng.lognormvariate(8.2, 0.8))) + 1
                if not engines[chosen].busy:
                    clocks[chosen] = at
                name = f"r{number}"
                number += 1
                queued_ahead, concurrent = views[chosen].as_of(at - self.view_delay_s)
                cumulative_work = self.trackers[chosen].record_placed(prompt)
                sent[name] = SentRequest(
                    chosen, at, prompt, queued_ahead, concurrent, cumulative_work
                )
                engines[chosen].submit(Sequence(name, "", (), prompt, 0, ANSWER_TOKENS, "normal"))
                views[chosen].record_change(at, prompt, 1)
                continue
            step = engines[first].step()
            times = self.change_factor if clocks[first] >= self.change_at else 1.0
            clocks[first] += step.duration_s * times * (self.slow_factor if first == 0 else 1.0)
            for attempt, produced in step.tokens:
                if produced == 0:
                    views[first].record_change(clocks[first], -sent[attempt].prompt, 0)
                    self._on_first_event(sent[attempt], clocks[first])
            for sequence in step.finished:
                views[first].record_change(clocks[first], 0, -1)
                self.estimator.record_hold(clocks[first] - sent[sequence.attempt].at)

    def _on_first_event(self, sent: SentRequest, now: float) -> None:
        self.now = max(self.now, now)
        took_s = now - sent.at
        self.estimator.record_placed(sent.prompt)
        unqueued = PrefillSample(sent.prompt, sent.queued_ahead, took_s, now, sent.concurrent)
        sample = self.trackers[sent.server].on_first_event(sent.at, sent.cumulative_work, unqueued)
        if sample is not None:
            self.estimator.add_sample(sample)
        speed = self.estimator.speed(now)
        tokens = sent.prompt + speed.remaining_work(sent.queued_ahead)
        expected_s = speed.start_s + speed.prefill_s(tokens, sent.concurrent)
        self.slowness[sent.server].observe(took_s, expected_s, now)


class LearningTest(unittest.TestCase):
    def assert_rate_is_learnt(self, simulation: Simulation) -> None:
        truth = prefill_rate(simulation.spec)
        learnt = simulation.estimator.speed(simulation.now + 1.0).read_per_s
        self.assertAlmostEqual(learnt / truth, 1.0, delta=TOLERANCE)

    def test_rate_is_found_for_slow_and_fast_servers_with_few_and_many_slots(self) -> None:
        for read_per_s in (10_000.0, 50_000.0, 157_000.0, 300_000.0):
            for slots in (8, 24, 128):
                with self.subTest(read_per_s=read_per_s, slots=slots):
                    simulation = Simulation(make_spec(read_per_s, slots))
                    simulation.run()
                    self.assert_rate_is_learnt(simulation)

    def test_rate_is_found_although_queue_depths_arrive_late(self) -> None:
        for view_delay_s in (0.1, 0.3, 1.0):
            with self.subTest(view_delay_s=view_delay_s):
                simulation = Simulation(make_spec(157_000.0, 24), view_delay_s=view_delay_s)
                simulation.run()
                self.assert_rate_is_learnt(simulation)

    def test_rate_is_found_under_load(self) -> None:
        simulation = Simulation(make_spec(157_000.0, 24), load=0.6)
        simulation.run(2 * REQUESTS)
        self.assert_rate_is_learnt(simulation)

    def test_one_slow_server_is_distinguished_from_the_others(self) -> None:
        simulation = Simulation(make_spec(50_000.0, 24), load=0.1, slow_factor=5.0)
        simulation.run()
        self.assert_rate_is_learnt(simulation)
        slowdowns = [each.factor(simulation.now) for each in simulation.slowness]
        self.assertGreater(slowdowns[0], 2.0)
        self.assertLess(max(slowdowns[1:]), 1.5)

    def test_a_server_that_was_slow_is_tried_again(self) -> None:
        slowness = Slowness()
        for _ in range(20):
            slowness.observe(2.0, 0.2, 10.0)
        self.assertGreater(slowness.factor(10.0), 4.0)
        self.assertLess(slowness.factor(10.0 + 4 * SLOWDOWN_DECAY_S), 1.2)

    def test_prior_applies_without_requests(self) -> None:
        self.assertEqual(SpeedEstimator().speed(5.0), PRIOR)

    def test_prompts_of_one_length_give_no_rate(self) -> None:
        estimator = SpeedEstimator()
        for number in range(100):
            estimator.add_sample(PrefillSample(1_000.0, 0.0, 0.05 + number % 3 * 0.01, 1.0))
        self.assertEqual(estimator.speed(2.0).read_per_s, PRIOR_PREFILL_TOKENS_PER_S)

    def test_negative_queues_and_empty_prompts_keep_the_rate_positive(self) -> None:
        estimator = SpeedEstimator()
        for number in range(100):
            work = 0.0 if number % 2 else 1_000.0
            estimator.add_sample(PrefillSample(work, -6_000.0, 0.05, number / 100))
        self.assertGreater(estimator.speed(2.0).read_per_s, 0.0)

    def test_old_observations_are_forgotten(self) -> None:
        estimator = SpeedEstimator()
        for number in range(100):
            work = 1_000.0 * (1 + number % 5)
            estimator.add_sample(PrefillSample(work, 0.0, work / 20_000, number / 100))
        self.assertAlmostEqual(estimator.speed(2.0).read_per_s, 20_000, delta=3_000)
        for number in range(100):
            work = 1_000.0 * (1 + number % 5)
            at = SAMPLE_TTL_S + 2.0 + number / 100
            estimator.add_sample(PrefillSample(work, 0.0, work / 80_000, at))
        self.assertAlmostEqual(estimator.speed(SAMPLE_TTL_S + 4.0).read_per_s, 80_000, delta=12_000)

    def test_node_that_starts_uses_the_estimates_of_its_peers(self) -> None:
        estimator = SpeedEstimator()
        estimator.set_peer_speeds([Speed(100_000.0, 0.02, 0.8, 6_000.0, 150)])
        self.assertEqual(estimator.speed(1.0).read_per_s, 100_000.0)

    def test_outlier_among_peers_does_not_change_the_combined_estimate(self) -> None:
        speeds = [Speed(100_000.0 + number, 0.02, 0.8, 6_000.0, 100) for number in range(5)]
        outlier = Speed(1.0, 9.0, 90.0, 1.0, 160)
        self.assertAlmostEqual(
            combine_speeds(speeds[0], [*speeds[1:], outlier]).read_per_s, 100_000, delta=10
        )


CHANGE_AT_S = (3.0, 30.0)
LOADS = (0.5, 0.9, 1.8)
"""Half of the servers' capacity, close to all of it, and twice the latter."""

ADAPTATION_S = 2.0
"""Time within which the estimate must follow a change of speed."""

CHANGED_RATE_TOLERANCE = 0.3
MAX_MEAN_WAIT_S = 0.1


class ChangeTest(unittest.TestCase):
    """All servers of a service become slower or faster at once."""

    def need(self, work_per_s: float, running: float, slots: int, speed: Speed) -> int:
        return servers_needed(work_per_s, running, slots, MAX_MEAN_WAIT_S, speed)

    def test_rate_follows_a_change_within_two_seconds(self) -> None:
        spec = make_spec(157_000.0, 64)
        for change_at in CHANGE_AT_S:
            for load in LOADS:
                for change_factor in (3.0, 1 / 3):
                    with self.subTest(change_at=change_at, load=load, change_factor=change_factor):
                        simulation = Simulation(
                            spec,
                            load=load,
                            view_delay_s=0.1,
                            change_at=change_at,
                            change_factor=change_factor,
                        )
                        simulation.run_until(change_at + ADAPTATION_S)
                        learnt = simulation.estimator.speed(simulation.now)
                        truth = prefill_rate(spec) / change_factor
                        self.assertAlmostEqual(
                            learnt.read_per_s / truth, 1.0, delta=CHANGED_RATE_TOLERANCE
                        )

    def test_no_change_is_signalled_at_constant_speed(self) -> None:
        for load in (0.3, 0.6, 0.9):
            with self.subTest(load=load):
                simulation = Simulation(make_spec(157_000.0, 64), load=load, view_delay_s=0.1)
                simulation.run(1_000)
                self.assertEqual(simulation.estimator.changes, 0)

    def test_single_outliers_signal_no_change(self) -> None:
        estimator = SpeedEstimator()
        for number in range(100):
            work = 1_000.0 * (1 + number % 5)
            took_s = 9.0 if number % 20 == 10 else work / 20_000
            estimator.add_sample(PrefillSample(work, 0.0, took_s, number / 10))
            estimator.speed(number / 10)
        self.assertEqual(estimator.changes, 0)


class NeedTest(unittest.TestCase):
    def test_wait_is_exact_for_one_channel(self) -> None:
        self.assertAlmostEqual(mean_wait_s(0.5, 1, 0.2), 0.2)
        self.assertAlmostEqual(mean_wait_s(0.8, 1, 0.2), 0.8)

    def test_slots_decide_where_answers_are_long(self) -> None:
        speed = Speed(1e9, 0.02, 2.0, 1_000.0, 100)
        self.assertGreaterEqual(servers_needed(1_000.0, 100, 24, 0.03, speed), 5)

    def test_prefill_decides_where_prompts_are_long(self) -> None:
        speed = Speed(50_000.0, 0.02, 0.01, 10_000.0, 100)
        self.assertGreaterEqual(servers_needed(200_000.0, 10, 64, 0.03, speed), 5)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.floats(0, 2e6),
        st.floats(0, 2_000),
        st.integers(1, 128),
        st.floats(0.01, 1.0),
        st.floats(5_000, 400_000),
    )
    def test_more_work_never_needs_fewer_servers(
        self, work: float, running: float, slots: int, max_wait_s: float, rate: float
    ) -> None:
        speed = Speed(rate, 0.02, 1.0, 5_000.0, 100)
        need = servers_needed(work, running, slots, max_wait_s, speed)
        self.assertGreaterEqual(servers_needed(1.2 * work, running, slots, max_wait_s, speed), need)
        self.assertGreaterEqual(servers_needed(work, 1.2 * running, slots, max_wait_s, speed), need)
        self.assertLessEqual(work / rate, need)
        self.assertLessEqual(running / slots, need)


if __name__ == "__main__":
    unittest.main()
