"""Roll-outs of a new version: the judge, the exposure limit, and both end to end under faults."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from moledale.clock import monotonic
from moledale.core.rollout_evidence import Arm, Evidence, Judge, merged
from moledale.core.rollouts import (
    EARLIEST_RISE_SHARE,
    LATEST_RISE_SHARE,
    MIN_ANSWERS,
    MIN_MOVING_S,
    RISING_DURATION_SHARE,
    Exposure,
    Phase,
    Progress,
    RolloutNews,
    RolloutOrder,
    VersionRule,
    next_phase,
    rule_of,
)
from moledale.gateway.balance import LoadBalancer
from moledale.gateway.messages import RequestFacts, Server
from moledale.gateway.node import GatewayNode
from moledale.gateway.peers import Membership
from moledale.gateway.rollout_duty import RolloutDuty, _has_enough_answers
from moledale.gateway.rollouts import MIN_TRIALS_PER_ROUTE, REWRITE_WINDOW_S, Rollouts
from moledale.gateway.server_group import UNORDERED_VERSION_DELAY_S
from moledale.gateway.store_era import StoreEra
from standins.rows import StoreMode
from tests.gateway_world import run_quietly
from tests.rollout_world import NEW, OLD, SERVICE, Defect, RolloutWorld

EXPOSURE_SHARE = 0.1
EXPOSURE_FREE = 50


def make_order(revision: int = 5, target: str = NEW, ordered_s: float = 1.0) -> RolloutOrder:
    return RolloutOrder(SERVICE, revision, target, 12.0, ordered_s)


class SimulatedTrial:
    """Random answers of an old and a new version, with the judge that compares them."""

    def __init__(self, seed: int, sigma: float = 0.47) -> None:
        self.rng = random.Random(seed)
        self.sigma = sigma
        self.evidence = Evidence()
        self.judge = Judge()

    def judge_answers(
        self, arm: Arm, number: int, failure_rate: float, slow_factor: float = 1.0
    ) -> bool:
        """Record answers and return whether the new version is found bad."""
        self.record_answers(arm, number, failure_rate, slow_factor)
        return self.judge.observe(self.evidence)

    def record_answers(
        self, arm: Arm, number: int, failure_rate: float, slow_factor: float = 1.0
    ) -> None:
        """Record answers, which are judged at the next call of `judge_answers`."""
        for _ in range(number):
            failed = self.rng.random() < failure_rate
            took_s = 0.06 * slow_factor * self.rng.lognormvariate(0.0, self.sigma)
            self.evidence.observe(arm, "r", failed, took_s)

    def run_rounds(
        self,
        number: int,
        failure_rate: float,
        slow_factor: float = 1.0,
        control_failure_rate: float = 0.02,
    ) -> int:
        """Run rounds of ten old answers and a new one; return the round that found it bad, or 0."""
        for index in range(1, number + 1):
            self.judge_answers(Arm.OLD, 10, control_failure_rate)
            if self.judge_answers(Arm.NEW, 1, failure_rate, slow_factor):
                return index
        return 0


class JudgeTest(unittest.TestCase):
    def detection_rate(
        self,
        rounds: int,
        failure_rate: float,
        slow_factor: float = 1.0,
        control_failure_rate: float = 0.02,
    ) -> float:
        """Return the share of 200 seeds with which a version is found bad."""
        detections = (
            SimulatedTrial(seed).run_rounds(rounds, failure_rate, slow_factor, control_failure_rate)
            for seed in range(200)
        )
        return sum(1 for each in detections if each) / 200

    def test_bad_versions_are_found(self) -> None:
        self.assertGreater(self.detection_rate(30, 0.5), 0.97)
        self.assertGreater(self.detection_rate(30, 0.02, slow_factor=3.0), 0.97)
        self.assertGreater(self.detection_rate(60, 0.3), 0.9)

    def test_good_versions_are_seldom_stopped(self) -> None:
        self.assertLess(self.detection_rate(60, 0.02), 0.06)
        self.assertLess(self.detection_rate(60, 0.14, control_failure_rate=0.14), 0.08)

    def test_bad_version_is_found_although_the_old_one_fails_in_part(self) -> None:
        self.assertGreater(self.detection_rate(60, 0.5, control_failure_rate=0.14), 0.9)

    def test_slowdown_of_all_servers_does_not_count_against_the_version(self) -> None:
        stopped = 0
        for seed in range(100):
            trial = SimulatedTrial(seed)
            trial.run_rounds(10, 0.02)
            for _ in range(40):
                trial.judge_answers(Arm.OLD, 10, 0.02, slow_factor=3.0)
                trial.judge_answers(Arm.NEW, 1, 0.02, slow_factor=3.0)
            stopped += trial.judge.bad
        self.assertLess(stopped, 25)

    def test_pause_of_all_servers_does_not_count_against_the_version(self) -> None:
        stopped = 0
        for seed in range(100):
            trial = SimulatedTrial(seed)
            trial.run_rounds(10, 0.02)
            for number in range(40):
                slow_factor = 6.0 if number % 8 == 0 else 1.0
                trial.record_answers(Arm.OLD, 10, 0.02, slow_factor)
                trial.judge_answers(Arm.NEW, 3, 0.02, slow_factor)
            stopped += trial.judge.bad
        self.assertLess(stopped, 3)

    def test_version_that_turns_bad_later_is_found_as_soon(self) -> None:
        rounds_needed = []
        for seed in range(100):
            trial = SimulatedTrial(seed)
            trial.run_rounds(200, 0.02)
            if not trial.judge.bad:
                rounds_needed.append(trial.run_rounds(60, 0.6) or 60)
        self.assertLess(sorted(rounds_needed)[len(rounds_needed) // 2], 20)

    def test_only_failures_count_once_the_old_servers_have_less_to_do(self) -> None:
        slow_trial, failing_trial = SimulatedTrial(1), SimulatedTrial(2)
        for trial in (slow_trial, failing_trial):
            trial.run_rounds(10, 0.02)
        for _ in range(60):
            slow_trial.record_answers(Arm.OLD, 1, 0.02)
            slow_trial.record_answers(Arm.NEW, 10, 0.02, slow_factor=5.0)
            self.assertFalse(slow_trial.judge.observe(slow_trial.evidence, with_times=False))
        failing_trial.record_answers(Arm.NEW, 30, 0.5)
        self.assertTrue(failing_trial.judge.observe(failing_trial.evidence, with_times=False))

    def test_one_lost_answer_does_not_make_a_version_bad(self) -> None:
        evidence, judge = Evidence(), Judge()
        for number in range(60):
            for _ in range(10):
                evidence.observe(Arm.OLD, "r", False, 0.06)
            evidence.observe(Arm.NEW, "r", number == 20, 0.06)
            self.assertFalse(judge.observe(evidence))

    def test_few_milliseconds_more_do_not_count_as_slow(self) -> None:
        evidence, judge = Evidence(), Judge()
        for _ in range(40):
            for _ in range(5):
                evidence.observe(Arm.OLD, "r", False, 0.002)
            evidence.observe(Arm.NEW, "r", False, 0.006)
            self.assertFalse(judge.observe(evidence))

    def test_version_found_bad_stays_bad(self) -> None:
        trial = SimulatedTrial(1)
        self.assertTrue(trial.run_rounds(60, 0.9))
        self.assertTrue(trial.judge_answers(Arm.NEW, 500, 0.0))

    def test_counts_of_many_nodes_add_up(self) -> None:
        parts = [Evidence() for _ in range(5)]
        rng = random.Random(1)
        whole = Evidence()
        for number in range(200):
            arm, failed = Arm(number % 2), rng.random() < 0.3
            took_s = rng.random()
            parts[number % 5].observe(arm, "r", failed, took_s)
            whole.observe(arm, "r", failed, took_s)
        self.assertEqual(merged(parts).old["r"].count, whole.old["r"].count)
        self.assertEqual(merged(parts).new["r"].times, whole.new["r"].times)
        self.assertEqual(merged(reversed(parts)).new["r"].failed, whole.new["r"].failed)


UPDATES = st.builds(
    RolloutNews,
    st.builds(
        RolloutOrder,
        st.just(SERVICE),
        st.integers(1, 3),
        st.just(NEW),
        st.just(12.0),
        st.floats(0.0, 3.0),
    ),
    st.sampled_from(Phase),
    st.sampled_from([(), ("v0",), ("v3",), ("v0", "v3")]),
)


class NewsTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(UPDATES, UPDATES)
    def test_merge_of_two_updates_does_not_depend_on_their_order(
        self, one: RolloutNews, two: RolloutNews
    ) -> None:
        merged_update = one.merged_with(two)
        self.assertEqual(merged_update.order.revision, two.merged_with(one).order.revision)
        self.assertEqual(merged_update.phase, two.merged_with(one).phase)
        self.assertEqual(merged_update.merged_with(merged_update), merged_update)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(UPDATES, min_size=1, max_size=8))
    def test_merge_never_returns_to_an_earlier_order_or_phase(
        self, updates: list[RolloutNews]
    ) -> None:
        known = updates[0]
        for update in updates[1:]:
            after = known.merged_with(update)
            self.assertGreaterEqual(
                (after.order.revision, after.phase), (known.order.revision, known.phase)
            )
            known = after

    def test_version_that_a_newer_order_replaced_stays_out_of_use(self) -> None:
        first = RolloutNews(make_order(5, "v2"))
        second = first.superseded_by(make_order(6, "v3"))
        rule = rule_of(second)
        self.assertEqual([rule.allows(each) for each in ("v1", "v2", "v3")], [True, False, False])
        again = second.superseded_by(make_order(7, "v2"))
        self.assertEqual(again.rejected, ("v3",))
        done = RolloutNews(make_order(5, "v2"), Phase.COMPLETED).superseded_by(make_order(6, "v3"))
        self.assertTrue(rule_of(done).allows("v2"))


class RestoredOrderTest(unittest.TestCase):
    """The store was restored from an older copy, and the operator writes its orders again."""

    def setUp(self) -> None:
        self.now = 100.0
        self.era = StoreEra(lambda: self.now)
        self.era.observe(1)
        self.rollouts = Rollouts(
            LoadBalancer("hall-a"),
            Membership("n1", 1),
            lambda _: None,
            lambda at: at,
            lambda: 1,
            -1.0,
            Exposure(),
            self.era,
        )
        self.rollouts.apply_order(self.order(90, era=1))
        self.rollouts.advance(SERVICE, Phase.ROLLED_BACK, "it is bad")

    def order(self, revision: int, era: int, target: str = NEW) -> RolloutOrder:
        return RolloutOrder(SERVICE, revision, target, 12.0, self.now, era)

    def test_version_that_was_found_bad_stays_so_when_its_order_is_written_again(self) -> None:
        self.era.observe(2)
        for revision in (70, 95):
            self.now += 0.5
            self.rollouts.apply_order(self.order(revision, era=2))
            known = self.rollouts.services[SERVICE]
            self.assertIs(known.phase, Phase.ROLLED_BACK)
            self.assertEqual(known.order.sequence, (2, revision))

    def test_order_for_the_same_version_that_comes_later_is_a_new_one(self) -> None:
        self.era.observe(2)
        self.rollouts.apply_order(self.order(70, era=2))
        self.now += REWRITE_WINDOW_S + 0.1
        self.rollouts.apply_order(self.order(95, era=2))
        self.assertIs(self.rollouts.services[SERVICE].phase, Phase.TRIAL)

    def test_new_order_counts_though_its_revision_is_lower_than_one_of_the_former_era(self) -> None:
        self.era.observe(2)
        self.rollouts.apply_order(self.order(60, era=2, target="v3"))
        known = self.rollouts.services[SERVICE]
        self.assertEqual((known.order.target, known.phase), ("v3", Phase.TRIAL))

    def test_trial_keeps_its_counts_when_its_order_is_written_again(self) -> None:
        self.rollouts.apply_order(self.order(91, era=1, target="v3"))
        self.rollouts.services[SERVICE].record_trial("r")
        self.era.observe(2)
        self.rollouts.apply_order(self.order(80, era=2, target="v3"))
        own = self.rollouts.services[SERVICE].own_counts
        self.assertEqual((own.tried, own.revision), (1, 80))


class TrialShareTest(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 400), min_size=1, max_size=20), st.integers(1, 20))
    def test_all_nodes_together_keep_within_the_exposure_limit(
        self, requests: list[int], serving: int
    ) -> None:
        part = Exposure(EXPOSURE_SHARE, EXPOSURE_FREE).per_node(max(serving, len(requests)))
        total_tried = 0
        for number in requests:
            tried = 0
            for each in range(1, number + 1):
                tried += part.allows(each, tried)
            total_tried += tried
        self.assertLessEqual(total_tried, EXPOSURE_SHARE * sum(requests) + EXPOSURE_FREE)

    def test_few_requests_are_enough_for_the_minimum_of_answers(self) -> None:
        tried = 0
        for each in range(1, 41):
            tried += Exposure().per_node(1).allows(each, tried)
        self.assertGreater(tried, MIN_ANSWERS)


def make_progress(**changes: object) -> Progress:
    values: dict[str, object] = {
        "phase": Phase.TRIAL,
        "duration_s": 12.0,
        "elapsed": EARLIEST_RISE_SHARE,
        "rising_elapsed": 0.0,
        "moving_s": MIN_MOVING_S,
        "new_ready": 3,
        "old_running": 5,
        "new_answers": 40,
        "untested_routes": 0,
    }
    return Progress(**{**values, **changes})  # type: ignore[arg-type]


class NextPhaseTest(unittest.TestCase):
    def test_version_rises_with_evidence_and_not_before_its_time(self) -> None:
        self.assertIs(next_phase(make_progress(elapsed=EARLIEST_RISE_SHARE - 0.01)), Phase.TRIAL)
        self.assertIs(next_phase(make_progress()), Phase.RISING)
        self.assertIs(next_phase(make_progress(untested_routes=1)), Phase.TRIAL)
        self.assertIs(
            next_phase(make_progress(untested_routes=1, elapsed=LATEST_RISE_SHARE)), Phase.RISING
        )

    def test_version_without_evidence_or_servers_is_not_adopted(self) -> None:
        for lacking in ({"new_answers": 2}, {"new_ready": 0}):
            self.assertIs(
                next_phase(make_progress(elapsed=LATEST_RISE_SHARE, **lacking)), Phase.TRIAL
            )
            self.assertIs(next_phase(make_progress(elapsed=0.99, **lacking)), Phase.ROLLED_BACK)

    def test_old_servers_end_only_with_nothing_running(self) -> None:
        self.assertIs(next_phase(make_progress(phase=Phase.RISING)), Phase.RISING)
        risen = make_progress(phase=Phase.RISING, rising_elapsed=RISING_DURATION_SHARE)
        self.assertIs(next_phase(risen), Phase.MOVING)
        self.assertIs(next_phase(make_progress(phase=Phase.MOVING, elapsed=2.0)), Phase.MOVING)
        self.assertIs(next_phase(make_progress(phase=Phase.MOVING, old_running=0)), Phase.COMPLETED)
        soon = make_progress(phase=Phase.MOVING, old_running=0, moving_s=MIN_MOVING_S / 2)
        self.assertIs(next_phase(soon), Phase.MOVING)


def make_servers(old: int, new: int) -> list[Server]:
    versions = [OLD] * old + [NEW] * new
    return [
        Server(f"s{number}", SERVICE, f"h:{number}", "hall-a", 4, version=version)
        for number, version in enumerate(versions)
    ]


class VersionsTest(unittest.TestCase):
    """Which servers get work in each phase."""

    def make_balancer(self, rule: VersionRule | None = None) -> LoadBalancer:
        balancer = LoadBalancer("hall-a")
        balancer.apply(make_servers(4, 0))
        balancer.apply(make_servers(4, 4))
        if rule is not None:
            balancer.group(SERVICE).set_rule(rule)
        return balancer

    def chosen_versions(
        self, balancer: LoadBalancer, number: int = 40, share: float = 0.0
    ) -> set[str]:
        versions = set()
        for each in range(number):
            facts = RequestFacts(id=f"r{each}")
            placed = balancer.place(SERVICE, facts, None, 1.0, trial_share=share)
            assert placed is not None
            versions.add(placed.view.server.version)
        return versions

    def test_version_without_an_order_gets_nothing(self) -> None:
        self.assertEqual(self.chosen_versions(self.make_balancer()), {OLD})

    def test_version_without_an_order_gets_work_after_a_long_while(self) -> None:
        balancer = self.make_balancer()
        balancer.tick(UNORDERED_VERSION_DELAY_S / 2)
        self.assertEqual(self.chosen_versions(balancer), {OLD})
        balancer.tick(UNORDERED_VERSION_DELAY_S * 1.5)
        self.assertIn(NEW, self.chosen_versions(balancer))

    def test_version_without_an_order_serves_once_no_other_is_left(self) -> None:
        balancer = self.make_balancer()
        balancer.apply(make_servers(4, 4)[4:])
        self.assertEqual(self.chosen_versions(balancer), {NEW})

    def test_each_phase_uses_only_its_versions(self) -> None:
        update = RolloutNews(make_order())
        expected = {
            Phase.TRIAL: {OLD},
            Phase.RISING: {OLD},
            Phase.MOVING: {NEW},
            Phase.ROLLED_BACK: {OLD},
            Phase.COMPLETED: {NEW},
        }
        for phase, versions in expected.items():
            rule = rule_of(RolloutNews(update.order, phase))
            self.assertEqual(self.chosen_versions(self.make_balancer(rule)), versions, phase)

    def test_number_of_trial_servers_matches_the_share_of_the_trial(self) -> None:
        balancer = LoadBalancer("hall-a")
        balancer.apply(make_servers(50, 0))
        balancer.apply(make_servers(50, 50))
        balancer.group(SERVICE).set_rule(rule_of(RolloutNews(make_order())))
        self.assertEqual(len(balancer.group(SERVICE).trial_servers(0.08, frozenset())), 4)
        self.assertEqual(self.chosen_versions(balancer, share=0.08), {NEW})

    def test_few_new_servers_get_no_more_requests_than_as_many_old_ones(self) -> None:
        rollouts, balancer = self.make_rollouts(36, 4)
        sent = [rollouts.trial_share(SERVICE, "check", True) > 0 for _ in range(400)]
        self.assertLess(sum(sent[:60]), 20)
        self.assertLess(sum(sent), 1.6 * 400 * 4 / 40)
        self.assertGreater(sum(sent), 15)
        self.assertAlmostEqual(balancer.group(SERVICE).new_version_share(), 0.1)

    def test_routes_with_few_requests_are_tried_with_priority(self) -> None:
        for new in (4, 36):
            rollouts, _ = self.make_rollouts(36, new)
            for _ in range(200):
                rollouts.trial_share(SERVICE, "check", True)
            seldom = [rollouts.trial_share(SERVICE, "seldom", True) > 0 for _ in range(10)]
            self.assertGreaterEqual(sum(seldom), MIN_TRIALS_PER_ROUTE)

    def test_server_on_trial_gets_about_as_many_requests_as_an_old_one(self) -> None:
        for new in (1, 4, 36):
            rollouts, balancer = self.make_rollouts(36, new)
            shares = {rollouts.trial_share(SERVICE, "check", True) for _ in range(40)} - {0.0}
            for share in shares:
                servers = len(balancer.group(SERVICE).trial_servers(share, frozenset()))
                self.assertAlmostEqual(share / servers, (1.0 - share) / 36, delta=0.01)

    def test_nodes_with_one_or_two_requests_try_the_version_too(self) -> None:
        tried = 0
        for node in range(200):
            rollouts, _ = self.make_rollouts(36, 36, serving=0)
            rollouts._rng.seed(node)
            tried += sum(rollouts.trial_share(SERVICE, "seldom", True) > 0 for _ in range(2))
        self.assertGreater(tried, 0.04 * 400)
        self.assertLess(tried, 0.1 * 400 + 50)

    def test_required_answers_are_no_more_than_a_trial_brings(self) -> None:
        for old, required in ((5, 1), (36, 1), (93, 3), (500, 6)):
            rollouts, _ = self.make_rollouts(36, 36)
            evidence = rollouts.services[SERVICE].evidence
            for _ in range(old):
                evidence.observe(Arm.OLD, "r", False, 0.01)
            for number in range(1, required + 1):
                self.assertFalse(
                    _has_enough_answers(rollouts.services[SERVICE], "r"), (old, number)
                )
                evidence.observe(Arm.NEW, "r", False, 0.01)
            self.assertTrue(_has_enough_answers(rollouts.services[SERVICE], "r"), old)

    def make_rollouts(self, old: int, new: int, serving: int = 1) -> tuple[Rollouts, LoadBalancer]:
        """Return the roll-outs of a node that just received an order; `serving` nodes serve."""
        balancer = LoadBalancer("hall-a")
        balancer.apply(make_servers(old, 0))
        balancer.apply(make_servers(old, new))
        rollouts = Rollouts(
            balancer,
            Membership("n1", 1),
            lambda _: None,
            lambda store_s: store_s,
            lambda: serving,
            -10.0,
            Exposure(),
        )
        rollouts._rng.seed(1)
        rollouts.apply_order(make_order())
        return rollouts, balancer

    def test_request_is_served_by_old_servers_where_none_is_on_trial(self) -> None:
        rule = rule_of(RolloutNews(make_order(target="v9")))
        self.assertEqual(
            self.chosen_versions(self.make_balancer(rule), share=0.08), {OLD, NEW} - {NEW}
        )

    def test_version_rolled_back_gets_nothing_even_if_no_other_is_left(self) -> None:
        balancer = self.make_balancer(rule_of(RolloutNews(make_order(), Phase.ROLLED_BACK)))
        balancer.apply(make_servers(4, 4)[4:])
        self.assertIsNone(balancer.place(SERVICE, RequestFacts(), None, 1.0))


def run_in_world(
    work: Callable[[RolloutWorld], Awaitable[None]], defect: Defect | None = None
) -> RolloutWorld:
    """Run a test with complete nodes and return its world."""
    world = RolloutWorld(defect)

    async def run() -> None:
        async with world:
            await work(world)

    run_quietly(run())
    return world


def knows_both_versions(node: GatewayNode) -> bool:
    """Return whether a node knows the order and the servers of both versions."""
    return SERVICE in node.rollouts.services and len(node.balancer.views) == 8


DURATION_S = 8.0
REQUESTS_PER_S = 60.0


class EndToEndTest(unittest.TestCase):
    """Nodes, servers and an operator's order, connected by real sockets."""

    def assert_bounded(self, world: RolloutWorld) -> None:
        """Assert that the new version got no more requests than the exposure limit allows."""
        max_requests = EXPOSURE_SHARE * world.counts.requests + EXPOSURE_FREE
        self.assertLessEqual(world.counts.new_version_requests, max_requests)
        self.assertLess(world.counts.bad_answers, EXPOSURE_FREE)

    def assert_rolled_back(self, defect: Defect) -> RolloutWorld:
        """Order a bad version, assert that it is rolled back, and return the world."""

        async def work(world: RolloutWorld) -> None:
            await world.start("n1", "n2", "n3")
            traffic = asyncio.create_task(world.send_requests(DURATION_S, REQUESTS_PER_S))
            await asyncio.sleep(0.3)
            await world.order_rollout(DURATION_S)
            await world.wait_until(lambda: world.status.get("state") == "rolled_back", DURATION_S)
            self.assertEqual(world.status["targetVersion"], NEW)
            stopped_at = monotonic()
            await traffic
            self.assertLess(world.counts.last_new_version_request_at, stopped_at + 0.3)

        world = run_in_world(work, defect)
        self.assert_bounded(world)
        return world

    def test_good_version_is_completed_in_time_and_nothing_is_lost(self) -> None:
        async def work(world: RolloutWorld) -> None:
            await world.start("n1", "n2", "n3")
            traffic = asyncio.create_task(world.send_requests(DURATION_S + 1.0, REQUESTS_PER_S))
            await asyncio.sleep(0.3)
            await world.order_rollout(DURATION_S)
            await world.wait_until(lambda: world.status.get("state") == "running", 1.5)
            await world.wait_until(lambda: world.status.get("state") == "completed", DURATION_S)
            await traffic

        world = run_in_world(work)
        self.assertLess(world.ended_at - world.ordered_at, DURATION_S)
        self.assertEqual(world.counts.running_at_stop, 0)
        self.assertEqual(world.counts.served, world.counts.requests, world.counts.answers_by_status)

    def test_version_whose_answers_fail_is_rolled_back(self) -> None:
        self.assert_rolled_back(Defect(failure_rate=0.5))

    def test_version_that_is_slow_is_rolled_back(self) -> None:
        world = self.assert_rolled_back(Defect(slow_factor=5.0))
        self.assertEqual(world.counts.served, world.counts.requests)

    def test_version_that_is_bad_on_one_route_is_rolled_back(self) -> None:
        self.assert_rolled_back(Defect(failure_rate=0.7, route="order"))

    def test_version_that_turns_bad_later_is_rolled_back(self) -> None:
        self.assert_rolled_back(Defect(failure_rate=0.7, starts_after_s=1.5))

    def test_crash_of_the_holder_loses_neither_order_nor_evidence(self) -> None:
        async def work(world: RolloutWorld) -> None:
            await world.start("n1", "n2", "n3")
            traffic = asyncio.create_task(world.send_requests(DURATION_S, REQUESTS_PER_S))
            await asyncio.sleep(0.3)
            await world.order_rollout(DURATION_S)
            await world.wait_until(lambda: world.status.get("state") == "running", 1.5)
            holder = next(name for name, node in world.cluster.nodes.items() if node.keeper.grant())
            world.cluster.kill(holder)
            await world.wait_until(
                lambda: world.status.get("state") == "completed", DURATION_S + 1.0
            )
            await traffic

        world = run_in_world(work)
        self.assertEqual(world.counts.running_at_stop, 0)

    def test_bad_version_gets_no_more_requests_while_the_store_is_down(self) -> None:
        async def work(world: RolloutWorld) -> None:
            nodes = await world.start("n1", "n2", "n3")
            traffic = asyncio.create_task(world.send_requests(DURATION_S, REQUESTS_PER_S))
            await asyncio.sleep(0.3)
            await world.order_rollout(DURATION_S)
            await world.wait_until(lambda: all(map(knows_both_versions, nodes)), 2.0)
            world.platform.mode = StoreMode.SILENT
            await world.wait_until(
                lambda: all(
                    node.rollouts.services[SERVICE].phase is Phase.ROLLED_BACK for node in nodes
                ),
                DURATION_S,
            )
            stopped_at = monotonic()
            await asyncio.sleep(0.5)
            self.assertLess(world.counts.last_new_version_request_at, stopped_at + 0.3)
            world.platform.mode = StoreMode.HEALTHY
            await world.wait_until(lambda: world.status.get("state") == "rolled_back", 6.0)
            await traffic

        self.assert_bounded(run_in_world(work, Defect(failure_rate=0.6)))

    def test_lost_answers_of_the_store_do_not_change_the_verdict(self) -> None:
        async def work(world: RolloutWorld) -> None:
            await world.start("n1", "n2")
            traffic = asyncio.create_task(world.send_requests(DURATION_S, REQUESTS_PER_S))
            await asyncio.sleep(0.3)
            await world.order_rollout(DURATION_S)
            await world.wait_until(lambda: world.status.get("state") == "running", 1.5)
            world.platform.mode = StoreMode.LOSES_WRITE_ANSWERS
            await asyncio.sleep(1.5)
            world.platform.mode = StoreMode.HEALTHY
            await world.wait_until(lambda: world.status.get("state") == "rolled_back", DURATION_S)
            await traffic

        self.assert_bounded(run_in_world(work, Defect(failure_rate=0.6)))

    def test_second_order_takes_the_place_of_the_first(self) -> None:
        async def work(world: RolloutWorld) -> None:
            await world.start("n1", "n2")
            traffic = asyncio.create_task(world.send_requests(DURATION_S + 2.0, REQUESTS_PER_S))
            await asyncio.sleep(0.3)
            await world.order_rollout(DURATION_S)
            await asyncio.sleep(1.0)
            await world.order_rollout(DURATION_S, target="v3")
            await world.wait_until(
                lambda: world.status == {"state": "completed", "targetVersion": "v3"},
                DURATION_S,
            )
            await traffic

        world = run_in_world(work)
        self.assertEqual(world.counts.served, world.counts.requests, world.counts.answers_by_status)

    def test_order_survives_a_crash_of_all_nodes(self) -> None:
        async def work(world: RolloutWorld) -> None:
            await world.start("n1", "n2")
            await world.order_rollout(DURATION_S)
            traffic = asyncio.create_task(world.send_requests(DURATION_S, REQUESTS_PER_S))
            await world.wait_until(lambda: world.status.get("state") == "running", 1.5)
            for name in ("n1", "n2"):
                world.cluster.kill(name)
            await world.start("n3", "n4")
            await world.wait_until(lambda: world.status.get("state") == "rolled_back", DURATION_S)
            await traffic

        self.assert_bounded(run_in_world(work, Defect(failure_rate=0.7)))

    def test_node_that_starts_after_the_rollback_knows_the_verdict(self) -> None:
        async def work(world: RolloutWorld) -> None:
            await world.start("n1")
            traffic = asyncio.create_task(world.send_requests(2.5, REQUESTS_PER_S))
            await world.order_rollout(DURATION_S)
            await world.wait_until(lambda: world.status.get("state") == "rolled_back", DURATION_S)
            await traffic
            world.cluster.kill("n1")
            (node,) = await world.start("n2")
            await world.wait_until(lambda: SERVICE in node.rollouts.services, 1.0)
            self.assertIs(node.rollouts.services[SERVICE].phase, Phase.ROLLED_BACK)

        run_in_world(work, Defect(failure_rate=0.8))


class DutyTest(unittest.TestCase):
    def test_status_written_by_another_holder_is_adopted(self) -> None:
        """A holder that froze and finds the roll-out ended adopts that and writes nothing."""

        async def work(world: RolloutWorld) -> None:
            (node,) = await world.start("n1")
            await world.order_rollout(60.0)
            await world.wait_until(lambda: world.status.get("state") == "running", 2.0)
            ended = {"state": "rolled_back", "targetVersion": NEW}
            world.platform.put("status", f"rollout/{SERVICE}", ended)
            duty: RolloutDuty = node.duties._rollouts
            duty.reset()
            rollout = node.rollouts.services[SERVICE]
            await world.wait_until(lambda: rollout.phase is Phase.ROLLED_BACK, 2.0)
            self.assertEqual(world.status, ended)

        run_in_world(work)
