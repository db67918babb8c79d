"""Whatever servers, lists and peers state in any order, choices respect what servers asked for."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.messages import Server, ServerStatement
from moledale.gateway.server_standing import DECLINE_PAUSE_MAX_S, FAILURE_PAUSE_MAX_S
from moledale.gateway.server_view import record_silence
from moledale.gateway.stated_limit import LimitNews

SERVICE = "plain"
NAMES = st.sampled_from(["s0", "s1", "s2"])
MAX_STATED_WAIT_S = 5.0
LIMITS = st.sampled_from([None, 0.0, 0.4, 1.0, 50.0])
WAITS = st.one_of(st.none(), st.floats(0.0, MAX_STATED_WAIT_S))


class Beliefs(RuleBasedStateMachine):
    """One node's servers, compared with a simple model of the statements that are in force.

    The attributes apart from `balancer` are the model. Keys are server ids, except for
    `incarnations`, `listed` and `listed_as_leaving`, which have names without the incarnation.
    """

    def __init__(self) -> None:
        super().__init__()
        self.balancer = LoadBalancer("hall-a")
        self.now = 100.0
        self.incarnations = dict.fromkeys(("s0", "s1", "s2"), 0)
        self.listed_as_leaving: set[str] = set()
        self.listed = {"s0", "s1", "s2"}
        self.stated_leaving: set[str] = set()
        self.retry_at: dict[str, float] = {}
        self.limits: dict[str, tuple[float | None, float]] = {}
        self.held_until: dict[str, float] = {}
        self.apply()

    def id_of(self, name: str) -> str:
        return f"{name}#{self.incarnations[name]}"

    def apply(self) -> None:
        """Apply the current list."""
        self.balancer.apply(
            Server(self.id_of(name), SERVICE, f"{name}:1", "hall-a", 4, name in leaving)
            for leaving in [self.listed_as_leaving]
            for name in sorted(self.listed)
        )

    @rule(name=NAMES, leaving=st.booleans())
    def update_list(self, name: str, leaving: bool) -> None:
        self.listed.add(name)
        if leaving:
            self.listed_as_leaving.add(name)
        else:
            self.listed_as_leaving.discard(name)
        self.apply()

    @rule(name=NAMES)
    def lapse_entry(self, name: str) -> None:
        self.listed.discard(name)
        self.held_until.pop(self.id_of(name), None)
        self.apply()

    @rule(name=NAMES)
    def restart_server(self, name: str) -> None:
        old = self.id_of(name)
        self.incarnations[name] += 1
        self.stated_leaving.discard(old)
        self.retry_at.pop(old, None)
        self.limits.pop(old, None)
        self.held_until.pop(old, None)
        self.listed_as_leaving.discard(name)
        self.listed.add(name)
        self.apply()

    @rule(name=NAMES, by_peer=st.booleans())
    def state_leaving(self, name: str, by_peer: bool) -> None:
        if name in self.listed:
            self.balancer.notices.record_leaving(self.id_of(name))
            self.stated_leaving.add(self.id_of(name))

    @rule(name=NAMES, wait_s=WAITS)
    def decline_request(self, name: str, wait_s: float | None) -> None:
        view = self.balancer.views.get(self.id_of(name))
        if view is not None:
            view.record_decline(self.now, wait_s)
            until = self.now + (wait_s or 0.0)
            self.retry_at[view.server.id] = max(until, self.retry_at.get(view.server.id, 0.0))

    @rule(name=NAMES, sent_ago_s=st.floats(0.0, 3.0))
    def accept_request(self, name: str, sent_ago_s: float) -> None:
        view = self.balancer.views.get(self.id_of(name))
        if view is not None:
            view.record_accepted(self.now - sent_ago_s)

    @rule(name=NAMES)
    def break_connection(self, name: str) -> None:
        view = self.balancer.views.get(self.id_of(name))
        if view is not None:
            record_silence(view, self.now)

    @rule(name=NAMES, wait_s=st.floats(0.0, MAX_STATED_WAIT_S))
    def report_peer_decline(self, name: str, wait_s: float) -> None:
        self.balancer.notices.merge_peer_declines({self.id_of(name): wait_s}, self.now)

    @rule(name=NAMES, limit=LIMITS, sent_ago_s=st.floats(0.0, 3.0))
    def answer_with_limit(self, name: str, limit: float | None, sent_ago_s: float) -> None:
        view = self.balancer.views.get(self.id_of(name))
        if view is None:
            return
        sent_at = self.now - sent_ago_s
        self.balancer.notices.handle_answer(
            view, 200, False, ServerStatement(limit_per_s=limit), sent_at, self.now
        )
        known, observed_at = self.limits.get(view.server.id, (None, -1e9))
        loosens = known is not None and (limit is None or limit > known)
        if (known, limit) == (None, None) or (loosens and sent_at < observed_at):
            return
        self.expect_limit(view.server.id, limit, self.now)

    @rule(name=NAMES, limit=LIMITS, age_s=st.floats(0.0, 3.0))
    def report_peer_limit(self, name: str, limit: float | None, age_s: float) -> None:
        server = self.id_of(name)
        self.balancer.notices.merge_peer_limits({server: LimitNews(limit, age_s)}, "n2", self.now)
        observed_at = self.now - age_s
        if server in self.balancer.views and observed_at > self.limits.get(server, (None, -1e9))[1]:
            self.expect_limit(server, limit, observed_at)

    def expect_limit(self, server: str, limit: float | None, observed_at: float) -> None:
        """Record the expected limit; a change of it ends a hold that belongs to the former one."""
        if limit != self.limits.get(server, (None, 0.0))[0]:
            self.held_until.pop(server, None)
        self.limits[server] = (limit, observed_at)

    @rule(name=NAMES, wait_s=st.floats(0.0, MAX_STATED_WAIT_S))
    def refuse_permit(self, name: str, wait_s: float) -> None:
        view = self.balancer.views.get(self.id_of(name))
        if view is not None and view.limit_per_s is not None:
            view.hold_until(self.now + wait_s)
            self.held_until[view.server.id] = self.now + wait_s

    @rule(seconds=st.floats(0.01, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.balancer.tick(self.now)

    def expected_candidates(self) -> set[str]:
        """Return the servers that may get a request by the statements in force."""
        ids = {self.id_of(name) for name in self.listed - self.listed_as_leaving}
        waits = {name for name, at in self.retry_at.items() if at > self.now}
        waits |= {name for name, at in self.held_until.items() if at > self.now}
        return ids - self.stated_leaving - waits

    @invariant()
    def candidates_respect_statements(self) -> None:
        chosen = self.balancer.group(SERVICE).candidates(self.now, frozenset())
        names = {view.server.id for view in chosen}
        allowed = self.expected_candidates()
        assert names <= allowed, f"{names - allowed} may be chosen"
        assert bool(names) == bool(allowed), f"nothing to choose from though {allowed} are there"

    @invariant()
    def limits_are_the_last_observed(self) -> None:
        group = self.balancer.group(SERVICE)
        limits = {name: view.limit_per_s for name, view in self.balancer.views.items()}
        heard = {name: self.limits.get(name, (None, 0.0))[0] for name in limits}
        assert limits == heard
        limited = {name: limit for name, limit in heard.items() if limit is not None}
        assert group.limited.names == set(limited)
        assert abs(group.limited.total_per_s() - sum(limited.values())) < 1e-6

    @invariant()
    def no_server_stays_closed(self) -> None:
        """Each pause ends: some time later every server that is not leaving is open again."""
        later = self.now + 3 * MAX_STATED_WAIT_S + DECLINE_PAUSE_MAX_S + FAILURE_PAUSE_MAX_S
        for view in self.balancer.views.values():
            if view.server.id not in self.stated_leaving and not view.server.leaving:
                assert not view.is_closed(later) and not view.is_deprioritized(later)

    @invariant()
    def retry_time_agrees_with_candidates(self) -> None:
        wait_s = self.balancer.group(SERVICE).retry_in_s(self.now)
        if self.expected_candidates():
            assert wait_s == 0.0
        elif wait_s is not None:
            assert wait_s > 0.0


Beliefs.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)


class BeliefsTest(Beliefs.TestCase, unittest.TestCase):  # type: ignore[misc, name-defined]
    """Runs the state machine."""
