"""Orders and doubles of faults, explored by hypothesis over a world on its own clock."""

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from moledale.backing.types import Part
from moledale.node.jobs import JobState, new_job_id
from moledale.problems import Ran
from tests.world import World, expected_tokens

NODES = ("n0", "n1", "n2", "n3")
ENGINES = ("e0", "e1", "e2", "e3")
RECOVERY_S = 70.0
STEP_TIMEOUT_S = 600.0
nodes = st.sampled_from(NODES)
engines = st.sampled_from(ENGINES)


class OrdersOfFaults(RuleBasedStateMachine):
    """Work and faults in any order; what must always hold is checked after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = World()
        self.run(self.world.start(nodes=len(NODES), engines=len(ENGINES)))
        self.min_versions = dict.fromkeys(NODES, 0)
        self.jobs: list[tuple[str, str]] = []
        self.streams: list[tuple[str, Any, list[str]]] = []
        self.key_count = 0
        self.tasks: list[asyncio.Task[Any]] = []
        self.reported_not_run: set[str] = set()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(self.world.clock.run(work, STEP_TIMEOUT_S))

    def is_running(self, node: str) -> bool:
        return node in self.world.nodes and self.world.hosts[node].running.is_set()

    # Work

    @rule(node=nodes)
    def stream(self, node: str) -> None:
        if not self.is_running(node):
            return

        async def start() -> None:
            request = self.world.make_request(f"stream {len(self.streams)}", 100)
            submitted = self.world.nodes[node].dispatcher.submit(request)
            if submitted.is_ok():
                self.streams.append((node, submitted.unwrap(), expected_tokens(request)))

        self.run(start())

    @rule(node=nodes)
    def job(self, node: str) -> None:
        if not self.is_running(node) or not self.world.hosts[node].running.is_set():
            return

        async def accept() -> None:
            deadline = self.world.clock.wall() + 1e6
            request = self.world.make_request(f"job {len(self.jobs)}", 80, deadline_at=deadline)
            job = new_job_id(self.world.nodes[node].settings.node.hall)
            accepted = await self.world.nodes[node].jobs.accept(request, job)
            if accepted.is_ok():
                self.jobs.append((job, "".join(expected_tokens(request))))
            elif accepted.unwrap_err().ran is Ran.NO:
                self.reported_not_run.add(job)

        self.run(accept())

    @rule(node=nodes, reuse_key=st.booleans())
    def once(self, node: str, reuse_key: bool) -> None:
        if not self.is_running(node):
            return
        self.key_count += 0 if reuse_key and self.key_count else 1

        async def start() -> None:
            call = self.world.make_once_call(f"call {self.key_count}", f"key {self.key_count}")
            self.tasks.append(asyncio.create_task(self.world.nodes[node].once.run(call)))

        self.run(start())

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 15.0]))
    def wait(self, seconds: float) -> None:
        self.run(self.world.clock.sleep(seconds))

    # Faults

    @precondition(lambda self: len(self.world.nodes) > 2)
    @rule(node=nodes)
    def kill(self, node: str) -> None:
        if node in self.world.nodes:
            self.run(self._call_in_loop(lambda: self.world.kill(node)))

    @rule(node=nodes, seconds=st.sampled_from([2.0, 20.0]))
    def freeze(self, node: str, seconds: float) -> None:
        if self.is_running(node):
            self.run(self._call_in_loop(lambda: self.world.freeze(node, seconds)))

    @rule(engine=engines)
    def reclaim(self, engine: str) -> None:
        alive = [e for e in self.world.engines.values() if e.leaving_since is None]
        if len(alive) > 1:
            self.run(self._call_in_loop(lambda: self.world.reclaim(engine, 2.0)))

    @rule(count=st.integers(1, 3), late=st.booleans())
    def lose_answers(self, count: int, late: bool) -> None:
        faults = self.world.faults[Part.TABLE]
        faults.lose_answers, faults.late_writes = (0, count) if late else (count, 0)

    @rule(down=st.booleans(), seconds=st.sampled_from([1.0, 12.0]))
    def outage(self, down: bool, seconds: float) -> None:
        faults = self.world.faults[Part.TABLE]
        name = "down" if down else "hang"
        setattr(faults, name, True)
        heal = self.world.call_later
        self.run(self._call_in_loop(lambda: heal(seconds, lambda: setattr(faults, name, False))))

    @rule(node=nodes, operator=st.sampled_from(["anna", "bram"]))
    def roll(self, node: str, operator: str) -> None:
        if not self.is_running(node):
            return

        async def start() -> None:
            version = self.world.nodes[node].bundles.version + 1
            signed = self.world.make_signed_bundle(version, operator, f"{node} {operator}")
            self.tasks.append(asyncio.create_task(self.world.nodes[node].roll(signed)))

        self.run(start())

    async def _call_in_loop(self, action: Any) -> None:
        action()

    # What must hold

    @invariant()
    def service_calls_ran_once(self) -> None:
        assert all(runs == 1 for runs in self.world.service_runs.values()), self.world.service_runs

    @invariant()
    def bundle_versions_never_decrease(self) -> None:
        for name, node in self.world.nodes.items():
            assert node.bundles.version >= self.min_versions[name]
            self.min_versions[name] = node.bundles.version

    @invariant()
    def each_lease_has_one_holder(self) -> None:
        held = [
            one for n in self.world.nodes if self.is_running(n) for one in self.leases_held_by(n)
        ]
        assert len(held) == len(set(held)), held

    def leases_held_by(self, node: str) -> list[str]:
        return self.world.nodes[node].leases_held()

    @invariant()
    def stream_tokens_are_correct(self) -> None:
        for _, record, text in self.streams:
            assert record.tokens == text[: len(record.tokens)]

    def teardown(self) -> None:
        for part in Part:
            self.world.faults[part].down = self.world.faults[part].hang = False
            self.world.faults[part].lose_answers = self.world.faults[part].late_writes = 0
        self.run(self._check_final_state())
        self.loop.run_until_complete(self.world.stop())
        self.loop.close()

    async def _check_final_state(self) -> None:
        await self.world.clock.sleep(RECOVERY_S)
        self.service_calls_ran_once()
        self.bundle_versions_never_decrease()
        versions = {node.bundles.version for node in self.world.nodes.values()}
        assert len(versions) == 1, versions
        for node, record, text in self.streams:
            if node in self.world.nodes:
                assert record.ended, "a stream neither ended nor failed"
                failed = record.problem is not None
                assert failed or record.tokens == text
        asked = next(iter(self.world.nodes.values()))
        for job, answer in self.jobs:
            ended = (await asked.jobs.result("brokers", job)).unwrap()
            assert ended is not None, f"{job} was accepted and did not finish"
            assert (ended.state, ended.text) == (JobState.DONE, answer)
        started = {a for e in self.world.engines.values() for _, a in e.starts}
        for job in self.reported_not_run:
            assert not any(name.startswith(job) for name in started), "it ran after all"


OrdersOfFaults.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=14,
    database=None,
    suppress_health_check=list(HealthCheck),
)
OrdersOfFaultsTest: type[unittest.TestCase] = OrdersOfFaults.TestCase

if __name__ == "__main__":
    unittest.main()
