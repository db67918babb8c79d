"""Tests the decisions in `moledale.core`, which do no I/O and get the time as an argument."""

import random
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from moledale.bundle.schema import Bundle, Market, Priority, Renting, Weights, parse
from moledale.core.addresses import NodeView, addresses_for
from moledale.core.breaker import Breaker, BreakerLimits
from moledale.core.duties import halls_to_lease
from moledale.core.freshness import Freshness, Verdict, decide_verdict
from moledale.core.leases import Lease, LeaseAction, LeaseRow, may_send_order
from moledale.core.limits import RetryBudget, TokenBucket, node_rate
from moledale.core.queueing import RANK_OFFSET_S, WaitingQueue, estimated_wait_s
from moledale.core.reclaim import HeldSession, ReclaimAction, ReclaimView, plan
from moledale.core.renting import HeldInstance as Rented
from moledale.core.renting import Rent, RentRefusal, RentView
from moledale.core.renting import plan as renting_plan
from moledale.core.routing import (
    LoadTracker,
    Need,
    RoutingParams,
    ServerView,
    Speeds,
    Standing,
    pick,
)
from moledale.core.subset import Followable, select_followed
from moledale.servers.types import LoadReport

SPEEDS = Speeds(8_000, 1_500, 4)
PARAMS = RoutingParams()
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60, database=None)
settings.load_profile("ci")


def make_view(name: str, hall: str = "a", **fields: object) -> ServerView:
    made = ServerView(name, hall, f"{name}:1", SPEEDS, frozenset({"m"}))
    for field, value in fields.items():
        setattr(made, field, value)
    return made


def make_need(tokens: int = 100, session: str = "s") -> Need:
    return Need("m", tokens, 10, session, "a")


def make_report(name: str, sequence: int, running: int = 0) -> LoadReport:
    return LoadReport(name, sequence, running, 0, 0, 0, ["m"])


class RoutingTest(unittest.TestCase):
    def test_pick_chooses_the_cheapest_eligible_server(self) -> None:
        cases = [
            ("none", [], None),
            ("leaving gets nothing", [make_view("x", standing=Standing.LEAVING)], None),
            ("down gets nothing", [make_view("x", standing=Standing.DOWN)], None),
            ("full gets nothing", [make_view("x", running=4)], None),
            ("no model", [make_view("x", models=frozenset())], None),
            ("least prefill", [make_view("x", prefill_tokens=9000), make_view("y")], "y"),
            ("cache wins", [make_view("x"), make_view("y", cached={"s": 90})], "y"),
        ]
        for name, views, wanted in cases:
            with self.subTest(name):
                chosen = pick(views, make_need(), PARAMS)
                self.assertEqual(chosen.server if chosen else None, wanted)

    def test_session_waits_for_its_cached_server_unless_immediate(self) -> None:
        busy = make_view("y", running=3, prefill_tokens=9_000, cached={"s": 90})
        full = make_view("y", running=4, cached={"s": 90})
        soon, later = Priority.IMMEDIATE, Priority.NORMAL
        cases: list[tuple[ServerView, Priority, bool, str | None]] = [
            (busy, soon, True, "y"),
            (busy, later, True, "y"),
            (full, soon, True, "x"),
            (full, later, True, None),
            (full, later, False, "x"),
        ]
        for home, priority, wait_for_cache, wanted in cases:
            with self.subTest(
                running=home.running, priority=priority, wait_for_cache=wait_for_cache
            ):
                asked = Need("m", 100, 10, "s", "a", priority, wait_for_cache=wait_for_cache)
                chosen = pick([make_view("x"), home], asked, PARAMS)
                self.assertEqual(chosen.server if chosen else None, wanted)

    def test_can_wait_requests_are_confined_to_set_aside_servers(self) -> None:
        views = [make_view(f"v{i}", running=2) for i in range(10)]
        picked: dict[Priority, set[str]] = {}
        for priority in Priority:
            needs = (Need("m", 9, 9, f"s{i}", "a", priority) for i in range(60))
            picked[priority] = {p.server for n in needs if (p := pick(views, n, PARAMS))}
        self.assertEqual(len(picked[Priority.CAN_WAIT]), 2)
        self.assertFalse(picked[Priority.CAN_WAIT] & picked[Priority.IMMEDIATE])
        self.assertEqual(len(picked[Priority.NORMAL]), 10)

    def test_picks_spread_before_the_first_report(self) -> None:
        tracker = LoadTracker(10)
        for name in "wxyz":
            tracker.follow(make_view(name))
        picked = [tracker.pick_and_reserve(make_need(session=""), PARAMS, 1.0) for _ in range(16)]
        self.assertIsNone(tracker.pick_and_reserve(make_need(), PARAMS, 1.0))
        counts = {n: sum(1 for p in picked if p and p[0].server == n) for n in "wxyz"}
        self.assertEqual(set(counts.values()), {4})

    def test_late_report_neither_hides_nor_double_counts_reservations(self) -> None:
        tracker = LoadTracker(10)
        tracker.follow(make_view("x"))
        early = tracker.reserve("x", make_need(), 1.0)
        late = tracker.reserve("x", make_need(), 3.0)
        tracker.apply_report(make_report("x", 1, running=1), made_at=2.0, now=3.5)
        self.assertEqual(tracker.views["x"].running, 2)
        tracker.release(early, 4.0)
        tracker.apply_report(make_report("x", 2, running=2), made_at=3.8, now=4.5)
        self.assertEqual(tracker.views["x"].running, 1)
        tracker.release(late, 5.0)
        tracker.release(late, 5.0)
        self.assertEqual(tracker.views["x"].running, 0)

    def test_an_older_report_is_ignored(self) -> None:
        tracker = LoadTracker(10)
        tracker.follow(make_view("x"))
        self.assertTrue(tracker.apply_report(make_report("x", 5, 3), 1.0, 1.0))
        self.assertFalse(tracker.apply_report(make_report("x", 4, 0), 2.0, 2.0))
        self.assertEqual(tracker.views["x"].running, 3)

    @given(st.lists(st.sampled_from(["reserve", "release", "report"]), max_size=40))
    def test_load_returns_to_zero_after_all_releases(self, steps: list[str]) -> None:
        tracker = LoadTracker(5)
        tracker.follow(make_view("x"))
        held = []
        for number, step in enumerate(steps):
            at = float(number)
            if step == "reserve":
                held.append(tracker.reserve("x", make_need(), at))
            elif step == "release" and held:
                tracker.release(held.pop(0), at)
            elif step == "report":
                tracker.apply_report(make_report("x", number, len(held)), at - 0.5, at)
            self.assertGreaterEqual(tracker.views["x"].running, 0)
        for made in held:
            tracker.release(made, 100.0)
        tracker.apply_report(make_report("x", 1000, 0), 200.0, 200.0)
        self.assertEqual((tracker.views["x"].running, tracker.open_reservations()), (0, 0))

    def test_tracked_sessions_are_bounded_and_dropped_with_their_server(self) -> None:
        tracker = LoadTracker(2)
        tracker.follow(make_view("x"))
        for session in ("a", "b", "c"):
            tracker.record_cache(session, "x", 10)
        self.assertEqual(sorted(tracker.views["x"].cached), ["b", "c"])
        tracker.unfollow("x")
        self.assertIsNone(tracker.server_of("b"))


class QueueTest(unittest.TestCase):
    def test_order_by_priority_and_age(self) -> None:
        queue: WaitingQueue[str] = WaitingQueue(10)
        queue.offer("old wait", Priority.CAN_WAIT, 0.0, 99)
        queue.offer("normal", Priority.NORMAL, 1.0, 99)
        queue.offer("now", Priority.IMMEDIATE, 2.0, 99)
        late = RANK_OFFSET_S[Priority.CAN_WAIT] + 1.0
        queue.offer("late now", Priority.IMMEDIATE, late, 99)
        self.assertEqual(queue.in_order(), ["now", "normal", "old wait", "late now"])

    def test_full_queue_evicts_only_lower_priorities(self) -> None:
        queue: WaitingQueue[str] = WaitingQueue(2)
        queue.offer("a", Priority.CAN_WAIT, 0.0, 9)
        queue.offer("b", Priority.CAN_WAIT, 1.0, 9)
        self.assertFalse(queue.offer("c", Priority.CAN_WAIT, 2.0, 9).accepted)
        offered = queue.offer("d", Priority.IMMEDIATE, 2.0, 9)
        self.assertEqual((offered.accepted, offered.evicted), (True, "b"))
        self.assertEqual(queue.in_order(), ["d", "a"])

    def test_expired_and_removed_items_leave_the_queue(self) -> None:
        queue: WaitingQueue[str] = WaitingQueue(5)
        queue.offer("a", Priority.NORMAL, 0.0, 1.0)
        queue.offer("b", Priority.NORMAL, 0.0, 5.0)
        self.assertEqual(queue.pop_expired(1.0), ["a"])
        queue.remove("b")
        queue.remove("b")
        self.assertEqual(len(queue), 0)

    def test_estimated_wait_grows_with_the_queue(self) -> None:
        for ahead, free, slots, wanted in [(0, 1, 4, 0.0), (0, 0, 4, 0.5), (7, 0, 4, 4.0)]:
            self.assertEqual(estimated_wait_s(ahead, free, slots, 2.0), wanted)
        self.assertEqual(estimated_wait_s(0, 0, 0, 2.0), float("inf"))


class LeaseTest(unittest.TestCase):
    TTL_S = 10.0

    def make_held_lease(self, at: float) -> Lease:
        lease = Lease("hall/a", "n1", self.TTL_S)
        lease.record_write(lease.next_row("op"), 1, at)
        return lease

    def test_holder_stops_before_a_candidate_may_acquire(self) -> None:
        holder = self.make_held_lease(0.0)
        candidate = Lease("hall/a", "n2", self.TTL_S)
        candidate.record_read(holder.row, 1, 0.0)
        self.assertIsNotNone(holder.grant(7.9))
        self.assertIsNone(holder.grant(8.0))
        self.assertEqual(candidate.decide(9.9), LeaseAction.READ)
        self.assertEqual(candidate.decide(10.0), LeaseAction.ACQUIRE)
        self.assertEqual(candidate.next_row("op2").epoch, 2)

    def test_observed_renewal_restarts_the_wait(self) -> None:
        candidate = Lease("hall/a", "n2", self.TTL_S)
        row = LeaseRow("n1", 1, "op")
        candidate.record_read(row, 1, 0.0)
        candidate.record_read(row, 1, 5.0)
        candidate.record_read(row, 2, 9.0)
        self.assertEqual(candidate.decide(18.9), LeaseAction.READ)
        self.assertEqual(candidate.decide(19.0), LeaseAction.ACQUIRE)

    def test_paused_holder_reads_before_it_acts(self) -> None:
        lease = self.make_held_lease(0.0)
        self.assertEqual(lease.decide(100.0), LeaseAction.READ)
        self.assertIsNone(lease.grant(100.0))
        lease.record_read(LeaseRow("n2", 2, "other"), 7, 100.0)
        self.assertEqual(lease.decide(101.0), LeaseAction.READ)

    def test_renewal_keeps_the_epoch(self) -> None:
        lease = self.make_held_lease(0.0)
        self.assertEqual(lease.decide(1.0), LeaseAction.WAIT)
        self.assertEqual(lease.decide(4.0), LeaseAction.RENEW)
        self.assertEqual(lease.next_row("op").epoch, 1)

    def test_orders_without_fence_check_need_time_left(self) -> None:
        lease = self.make_held_lease(100.0)
        grant = lease.grant(100.0)
        assert grant is not None
        cases = [
            (100.0, True, True),
            (100.0, False, True),
            (105.9, False, True),
            (106.1, False, False),
            (107.9, True, True),
            (108.1, True, False),
        ]
        for now, checks, wanted in cases:
            with self.subTest(now=now, checks=checks):
                self.assertEqual(may_send_order(grant, now, checks, self.TTL_S, 2.0), wanted)

    def test_successor_waits_for_the_longest_order_to_end(self) -> None:
        lease = Lease("hall/a", "n2", self.TTL_S)
        lease.record_read(LeaseRow("n1", 3, "op"), 5, 0.0)
        lease.record_write(lease.next_row("op2"), 6, 10.0)
        grant = lease.grant(10.0)
        assert grant is not None
        self.assertEqual(grant.epoch, 4)
        self.assertFalse(may_send_order(grant, 13.9, False, self.TTL_S, 2.0))
        self.assertTrue(may_send_order(grant, 14.1, False, self.TTL_S, 2.0))


class MembershipTest(unittest.TestCase):
    def make_nodes(self, count: int) -> list[NodeView]:
        return [NodeView(f"n{i}", f"h{i % 4}", f"10.0.0.{i}:80") for i in range(count)]

    def test_addresses_cover_halls_and_skip_leaving_or_loaded_nodes(self) -> None:
        nodes = self.make_nodes(9)
        found = addresses_for("s", nodes)
        self.assertEqual(len({node.hall for node in found[:2]}), 2)
        left = [n if n != found[0] else NodeView(n.id, n.hall, n.address, True) for n in nodes]
        self.assertNotIn(found[0].id, [node.id for node in addresses_for("s", left)])
        busy = [n if n != found[0] else NodeView(n.id, n.hall, n.address, load=500) for n in nodes]
        self.assertNotEqual(addresses_for("s", busy)[0].id, found[0].id)
        self.assertEqual(addresses_for("s", []), [])

    def test_added_node_moves_few_sessions(self) -> None:
        sessions = [f"s{i}" for i in range(2_000)]
        before = [addresses_for(s, self.make_nodes(9))[0].id for s in sessions]
        after = [addresses_for(s, self.make_nodes(10))[0].id for s in sessions]
        moved = sum(1 for old, new in zip(before, after, strict=True) if old != new)
        self.assertLess(moved, 2_000 * 0.14)

    def test_subsets_are_even_and_change_little(self) -> None:
        servers = [Followable(f"srv{i}", f"h{i % 7}") for i in range(1_100)]
        sets = {f"n{i}": select_followed(f"n{i}", f"h{i % 7}", servers, 32) for i in range(390)}
        followers = {s.id: sum(1 for one in sets.values() if s.id in one) for s in servers}
        self.assertTrue(all(len(one) == 32 for one in sets.values()))
        self.assertGreaterEqual(min(followers.values()), 1)
        self.assertLess(max(followers.values()), 30)
        fewer = servers[1:]
        changed = sum(
            len(sets[n] ^ select_followed(n, f"h{int(n[1:]) % 7}", fewer, 32)) for n in sets
        )
        self.assertLessEqual(changed, 2 * followers["srv0"])

    def test_hall_without_nodes_is_leased_by_other_halls(self) -> None:
        nodes = [n for n in self.make_nodes(8) if n.hall != "h0"]
        halls = ["h0", "h1", "h2", "h3"]
        standing = [n.id for n in nodes if "h0" in halls_to_lease(n.id, n.hall, nodes, halls)]
        self.assertEqual(len(standing), 2)
        self.assertEqual(halls_to_lease("n1", "h1", self.make_nodes(8), halls), {"h1"})


class LimitsTest(unittest.TestCase):
    def test_token_bucket_limits_rate_and_burst(self) -> None:
        bucket = TokenBucket(10, 2, 2, 0.0)
        self.assertEqual([bucket.take(0.0) for _ in range(3)], [0.0, 0.0, 0.1])
        self.assertEqual(bucket.take(0.1), 0.0)

    @given(st.lists(st.floats(0, 1_000), min_size=1, max_size=9))
    def test_node_shares_do_not_exceed_the_rate(self, demands: list[float]) -> None:
        nodes = len(demands)
        shares = [
            node_rate(90.0, own, demands[:i] + demands[i + 1 :], nodes)
            for i, own in enumerate(demands)
        ]
        self.assertLessEqual(sum(shares), 90.0 + 1e-6)

    def test_retries_are_limited_to_a_share_of_requests(self) -> None:
        budget = RetryBudget(0.1, 2.0, 0.0)
        for _ in range(15):
            budget.record_request()
        self.assertEqual([budget.try_spend(), budget.try_spend()], [True, False])

    def test_breaker_backs_off_with_jitter_and_closes(self) -> None:
        breaker = Breaker(BreakerLimits(2, 1.0, 4.0), random.Random(1))
        self.assertFalse(breaker.record_failure(0.0))
        self.assertTrue(breaker.record_failure(0.0))
        self.assertFalse(breaker.allows(0.4))
        self.assertTrue(breaker.allows(1.0))
        self.assertFalse(breaker.allows(1.0), "one probe at a time")
        breaker.record_cancelled(1.0)
        self.assertFalse(breaker.allows(1.9))
        self.assertTrue(breaker.allows(3.0))
        self.assertTrue(breaker.record_success())
        self.assertTrue(breaker.allows(3.0))


class FreshnessTest(unittest.TestCase):
    def test_verdict_by_confirmation_and_connectivity(self) -> None:
        cases = [
            ("new node", Freshness(0, None, None, 8, 0), Verdict.UNCONFIRMED),
            ("fresh", Freshness(3, 1.0, None, 8, 3), Verdict.SERVE),
            ("newer seen", Freshness(3, 1.0, 1.0, 8, 4), Verdict.UNCONFIRMED),
            ("outage, peers there", Freshness(3, 600.0, 1.0, 8, 3), Verdict.SERVE),
            ("cut off from everything", Freshness(3, 6.0, 6.0, 8, 3), Verdict.ISOLATED),
            ("alone by the list", Freshness(3, 600.0, None, 0, 3), Verdict.SERVE),
        ]
        for name, seen, wanted in cases:
            with self.subTest(name):
                self.assertEqual(decide_verdict(seen, 5.0), wanted)


def make_bundle(**renting: object) -> Bundle:
    path = Path(__file__).parent.parent / "examples" / "bundle.toml"
    parsed = parse("b", path.read_bytes()).unwrap()
    return parsed.model_copy(update={"renting": Renting.model_validate(renting)})


def rent_until_settled(
    bundle: Bundle, demand: float, refused: frozenset[RentRefusal] = frozenset()
) -> list[Rented]:
    """Apply the plan in rounds until it rents no more, as lease holders do; return what is held."""
    held: list[Rented] = []
    for number in range(50):
        changes = renting_plan(bundle, RentView(demand, held, refused))
        rents = [change for change in changes if isinstance(change, Rent)]
        if not rents:
            return held
        for place, rent in enumerate(rents):
            name = f"i{number}-{place}"
            held.append(Rented(name, rent.hall, rent.instance_class, rent.market))
    raise AssertionError("the plan still rents after 50 rounds")


class RentingTest(unittest.TestCase):
    def test_loss_of_any_hall_leaves_enough_servers(self) -> None:
        bundle = make_bundle()
        for demand in (0.0, 500.0, 4_000.0, 20_000.0):
            held = rent_until_settled(bundle, demand)
            for hall in ("hall-a", "hall-b"):
                left = sum(1_500 for one in held if one.hall != hall)
                self.assertGreaterEqual(left, demand / 0.7)

    def test_changes_per_plan_are_bounded_and_settle(self) -> None:
        bundle = make_bundle(most_changes=2)
        self.assertEqual(len(renting_plan(bundle, RentView(20_000.0, []))), 2)
        held = rent_until_settled(bundle, 5_000.0)
        idle = [Rented(h.id, h.hall, h.instance_class, h.market, True) for h in held]
        self.assertEqual(renting_plan(bundle, RentView(5_000.0, idle)), [])
        self.assertEqual(renting_plan(bundle, RentView(4_800.0, idle)), [])
        returned = renting_plan(bundle, RentView(500.0, idle))
        self.assertEqual(len(returned), 2)
        busy = renting_plan(bundle, RentView(500.0, held))
        self.assertEqual(busy, [], "servers with requests are not returned")

    def test_recompute_weight_raises_the_on_demand_share(self) -> None:
        shares = []
        for recompute in (0.1, 0.5, 0.9):
            weights = Weights(cost=1 - recompute, recompute=recompute)
            bundle = make_bundle().model_copy(update={"weights": weights})
            held = rent_until_settled(bundle, 20_000.0)
            shares.append(sum(h.market is Market.ON_DEMAND for h in held) / len(held))
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[0], shares[2])

    def test_refused_market_falls_back_to_on_demand(self) -> None:
        bundle = make_bundle()
        cheap = frozenset(
            RentRefusal(hall, "small", Market.RECLAIMABLE) for hall in ("hall-a", "hall-b")
        )
        markets = {one.market for one in rent_until_settled(bundle, 4_000.0, cheap)}
        self.assertEqual(markets, {Market.ON_DEMAND})
        everything = cheap | {
            RentRefusal(h, "small", Market.ON_DEMAND) for h in ("hall-a", "hall-b")
        }
        self.assertEqual(rent_until_settled(bundle, 4_000.0, everything), [])

    def test_hall_stays_within_its_maximum_of_instances(self) -> None:
        bundle = make_bundle()
        halls = [hall.model_copy(update={"most_instances": 2}) for hall in bundle.halls]
        held = rent_until_settled(bundle.model_copy(update={"halls": halls}), 50_000.0)
        self.assertEqual(len(held), 4)


class ReclaimTest(unittest.TestCase):
    VIEW = ReclaimView(10.0, 1e9, 8_000)

    def make_stream(self, name: str, tokens: int, remaining: float = 60.0) -> HeldSession:
        return HeldSession(name, tokens, tokens * 100_000, remaining, False)

    def test_short_streams_finish_and_long_ones_move_within_the_notice(self) -> None:
        streams = [
            self.make_stream("short", 1_000, 5.0),
            self.make_stream("a", 50_000),
            self.make_stream("b", 40_000),
            self.make_stream("c", 30_000),
        ]
        actions = plan(streams, self.VIEW)
        self.assertEqual(actions["short"], ReclaimAction.FINISH)
        moved = [s for s in streams if actions[s.id] is ReclaimAction.MOVE]
        self.assertTrue(moved)
        self.assertLessEqual(sum(s.kv_bytes for s in moved) / 1e9, 9.5)
        self.assertIn(ReclaimAction.PREFILL, actions.values())

    def test_idle_caches_move_after_live_streams_of_equal_size(self) -> None:
        idle = HeldSession("idle", 40_000, 4_000_000_000, 0.0, False, idle=True)
        live = [self.make_stream("a", 40_000), self.make_stream("b", 40_000)]
        actions = plan([idle, *live], self.VIEW)
        self.assertEqual(actions["idle"], ReclaimAction.PREFILL)
        self.assertEqual({actions["a"], actions["b"]}, {ReclaimAction.MOVE})
        self.assertEqual(plan([idle], self.VIEW), {"idle": ReclaimAction.MOVE})

    def test_no_time_or_no_link_means_prefill(self) -> None:
        for notice, link in [(0.0, 1e9), (10.0, 0.0)]:
            reclaim_view = ReclaimView(notice, link, 8_000)
            self.assertEqual(
                plan([self.make_stream("a", 100)], reclaim_view), {"a": ReclaimAction.PREFILL}
            )


if __name__ == "__main__":
    unittest.main()
