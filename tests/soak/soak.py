"""Runs one soak: callers and faults drawn from a seed; then the checks of what was recorded."""

import asyncio
import random
import tempfile
import time
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path

from tests.soak.backend import EVENTS_PER_STREAM
from tests.soak.callers import ANSWER_TOKENS, SoakCaller, probe
from tests.soak.checks import CHECKS, RECOVERY_S, duties_by_one, limits_hold
from tests.soak.gossip_link import GossipLinks
from tests.soak.list_follower import ListFollower
from tests.soak.odd_rows import OddRowWriter
from tests.soak.process import ROOT
from tests.soak.records import SOAK_STALL, Ledger
from tests.soak.stalls import stall_lines
from tests.soak.troubles import Disruption, FaultInjector
from tests.soak.version_drills import VersionDrills
from tests.soak.world import ACCOUNTS, TOKEN_LIMITS, SoakWorld

LIMIT_SLACK_TOKENS = 200.0
"""Tokens that five nodes may spend in one gossip interval, before they learn of each other's."""

ROUTES = ("check", "check", "order", "order", "draft", "review")
CALLERS_PER_ACCOUNT = 4
SCHEDULING_ROUTES = ("check", "order", "draft", "draft", "review", "review")
SCHEDULING_CALLERS = 6
"""Routes, and callers per account, with scheduling: about as many streams as one hall has slots, so
that some find the target of their move full when the other hall leaves."""

RESUME_GRACE_S = 0.6
"""Duty calls this soon after a process or link resumed may be late ones of a former holder."""

PROBE_INTERVAL_S = 0.25

RECOVERED_TRAFFIC_S = 4.0
"""Traffic goes on for this long after `RECOVERY_S`; its requests show whether nodes recovered."""

HEARTBEAT_INTERVAL_S = 0.05

MIN_STALL_S = 0.5
"""A wake-up this late counts as a stall of the soak process. It is less than the 0.9 s that
a planned stop has in reserve for its callers."""

STALL_WINDOW_S = 2.0
"""Pauses within this time are added up, as they may all delay the same request."""

PLANNED_INTERVAL_S = 0.5
UNPLANNED_INTERVAL_S = 0.45
RESTORE_INTERVAL_S = 4.0
RESTORE_PROBABILITY = 0.7
SNAPSHOT_INTERVAL_S = 0.5
SERVER_HEARTBEAT_INTERVAL_S = 1.2


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of a soak; each round has a phase of planned work and one with faults.

    With a `former_build`, a folder of sources, each start of a node runs either these sources or
    the tested ones. With `scheduling` nodes run with all scheduling features, model servers act as
    engines, and some are reclaimed. With `odd_rows` another writer leaves odd rows in the store.
    With `version_drills` each round begins with a node out of step while a new version joins, and
    ends with all nodes killed twice while servers of a version come and go.
    """

    seed: int
    nodes: int = 5
    planned_s: float = 8.0
    chaos_s: float = 12.0
    rounds: int = 2
    former_build: Path | None = None
    scheduling: bool = False
    odd_rows: bool = False
    version_drills: bool = False

    @property
    def builds(self) -> tuple[Path, ...]:
        """Return the folders of the sources that nodes run, the tested ones first."""
        return (ROOT,) if self.former_build is None else (ROOT, self.former_build)


def record_stall(ledger: Ledger, began: float, ended: float) -> None:
    """Record that callers, servers and store, which run in the soak process, were stalled."""
    fault = ledger.record_fault(SOAK_STALL, f"for {ended - began:.2f} s")
    fault.begins, fault.ends = began, ended


class StallDetector:
    """Detects stalls of the soak process: one long pause, or several short ones close together."""

    def __init__(self) -> None:
        self._pauses: deque[tuple[float, float]] = deque()

    def record_sleep(self, slept_at: float, now: float) -> tuple[float, float] | None:
        """Record a sleep of `HEARTBEAT_INTERVAL_S`; return the span of a stall, if any."""
        late_s = now - slept_at - HEARTBEAT_INTERVAL_S
        if late_s > HEARTBEAT_INTERVAL_S:
            self._pauses.append((slept_at, late_s))
        while self._pauses and now - self._pauses[0][0] > STALL_WINDOW_S + late_s:
            self._pauses.popleft()
        if sum(each for _, each in self._pauses) <= MIN_STALL_S:
            return None
        began = self._pauses[0][0]
        self._pauses.clear()
        return began, now


@dataclass(slots=True)
class SoakResult:
    """Findings of the checks, and counts and events of the soak.

    `unframed` counts the answers that only the end of their connection marks as complete, and
    `resumed` the requests that take a stream up again.
    """

    findings: list[str]
    attempts: int
    served: int
    runs: int
    faults: list[str]
    folder: Path
    former_starts: int
    stalls: list[str]
    continued: int = 0
    unframed: int = 0
    resumed: int = 0


class Soak:
    """Runs one soak and evaluates it."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        # A separate generator, so that restores don't change what else a seed draws.
        self._restore_rng = random.Random(f"{plan.seed} restores")
        self._partition_rng = random.Random(f"{plan.seed} partitions")
        self._world = SoakWorld(folder, self._rng, builds=plan.builds, scheduling=plan.scheduling)
        self._injector = FaultInjector(self._world)
        # A separate generator, so that odd rows don't change what else a seed draws.
        self._odd_rng = random.Random(f"{plan.seed} odd rows")
        self._follower = ListFollower(self._world, self._odd_rng) if plan.odd_rows else None
        if plan.version_drills:
            self._world.gossip = GossipLinks()
        self._drills = VersionDrills(self._world, random.Random(f"{plan.seed} versions"))
        self._probes = 0
        self._over = False
        self._jobs: set[asyncio.Task[None]] = set()

    async def run(self) -> SoakResult:
        """Run the soak and check what was recorded."""
        await self._world.start(self._plan.nodes)
        try:
            await self._run_phases()
        finally:
            await self._world.stop()
        return self._evaluate(self._world.ledger)

    def _evaluate(self, ledger: Ledger) -> SoakResult:
        findings = [f"{check.__name__}: {found}" for check in CHECKS for found in check(ledger)]
        findings += limits_hold(ledger, TOKEN_LIMITS, LIMIT_SLACK_TOKENS)
        calls = self._world.platform.duty_calls
        findings += duties_by_one(calls, self._world.resumed_at, RESUME_GRACE_S)
        attempts = [attempt for attempt in ledger.attempts if not attempt.probe]
        served = sum(1 for attempt in attempts if attempt.whole and attempt.status == 200)
        faults = [
            f"{fault.begins - ledger.began:6.2f} {fault.kind} {fault.detail}"
            for fault in ledger.faults
        ]
        return SoakResult(
            findings,
            len(attempts),
            served,
            len(ledger.runs),
            faults,
            self._world.folder,
            len(ledger.former_builds),
            stall_lines(self._world.folder, ledger.began),
            len(ledger.continued),
            sum(attempt.whole and not attempt.framed for attempt in attempts),
            sum(bool(attempt.resumes) for attempt in attempts),
        )

    async def _run_phases(self) -> None:
        scheduling = self._plan.scheduling
        callers = [
            SoakCaller(
                f"{account.name}{number}",
                account,
                self._world.nodes,
                self._world.ledger,
                random.Random(self._rng.random()),
                lambda: SCHEDULING_ROUTES if scheduling else ROUTES,
                EVENTS_PER_STREAM if scheduling else ANSWER_TOKENS,
            )
            for account in ACCOUNTS
            for number in range(SCHEDULING_CALLERS if scheduling else CALLERS_PER_ACCOUNT)
        ]
        over = self._is_over
        work = [asyncio.create_task(caller.run(over)) for caller in callers]
        work.append(asyncio.create_task(self._probe_forever()))
        work.append(asyncio.create_task(self._watch_own_stalls()))
        work.append(asyncio.create_task(self._snapshot_forever()))
        work.append(asyncio.create_task(self._heartbeat_forever()))
        if self._follower is not None:
            writer = OddRowWriter(self._world, self._odd_rng)
            work.append(asyncio.create_task(writer.run(over)))
            work.append(asyncio.create_task(self._follower.run(await self._follower.start(), over)))
        for _ in range(self._plan.rounds):
            if self._plan.version_drills:
                await self._drills.join_out_of_step()
            self._restore_before_planned_work()
            if scheduling:
                self._start_job(self._injector.reclaim_hall())
            await self._phase(self._plan.planned_s, self._injector.planned(), PLANNED_INTERVAL_S)
            await self._wait_for_jobs()
            await self._partition_store()
            restores = asyncio.create_task(self._restore_repeatedly())
            await self._phase(self._plan.chaos_s, self._injector.unplanned(), UNPLANNED_INTERVAL_S)
            await restores
            await self._wait_for_jobs()
            await self._world.heal()
            if self._plan.version_drills:
                await self._drills.kill_all_twice()
        self._world.ledger.healed_at = time.monotonic()
        await asyncio.sleep(RECOVERY_S + RECOVERED_TRAFFIC_S)
        self._over = True
        for each in await asyncio.gather(*work, return_exceptions=True):
            if isinstance(each, BaseException):
                raise each

    async def _watch_own_stalls(self) -> None:
        """Record stalls of the soak process, which also stall its callers, servers and store.

        They count as unplanned faults.
        """
        detector = StallDetector()
        while not self._over:
            slept_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            stall = detector.record_sleep(slept_at, time.monotonic())
            if stall is not None:
                record_stall(self._world.ledger, *stall)
                self._world.resumed_at.append(asyncio.get_running_loop().time())

    def _is_over(self) -> bool:
        return self._over

    async def _phase(self, duration_s: float, choices: list[Disruption], interval_s: float) -> None:
        ends = time.monotonic() + duration_s
        while time.monotonic() < ends:
            disruption = self._rng.choice(choices)
            self._start_job(disruption())
            await asyncio.sleep(interval_s * (0.3 + 1.4 * self._rng.random()))

    def _start_job(self, disruption: Coroutine[None, None, None]) -> None:
        job = asyncio.create_task(disruption)
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    async def _wait_for_jobs(self) -> None:
        """Wait until all running disruptions and probes are over."""
        while self._jobs:
            done, _ = await asyncio.wait(set(self._jobs))
            for job in done:
                job.result()

    async def _partition_store(self) -> None:
        """Cut some nodes from the store between planned work and other faults.

        Nodes of a former build notice that later.
        """
        if self._plan.former_build is None:
            self._start_job(self._injector.partition_store(self._partition_rng))
            await self._wait_for_jobs()

    @property
    def _restores_enabled(self) -> bool:
        """Return whether store restores are injected; a former build may not handle them."""
        return self._plan.former_build is None

    def _restore_before_planned_work(self) -> None:
        """Maybe start a store restore at the beginning of a phase without other faults."""
        rng = self._restore_rng
        if rng.random() < RESTORE_PROBABILITY and self._restores_enabled:
            self._start_job(self._injector.restore_store(rng))

    async def _restore_repeatedly(self) -> None:
        """Restore the store from older snapshots while other faults are injected."""
        if not self._restores_enabled:
            return
        rng = self._restore_rng
        ends = time.monotonic() + self._plan.chaos_s
        while True:
            await asyncio.sleep(RESTORE_INTERVAL_S * (0.3 + 1.4 * rng.random()))
            if time.monotonic() > ends:
                return
            self._start_job(self._injector.restore_store(rng))

    async def _snapshot_forever(self) -> None:
        while not self._over:
            self._world.take_snapshot()
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    async def _heartbeat_forever(self) -> None:
        while not self._over:
            self._world.send_heartbeats()
            await asyncio.sleep(SERVER_HEARTBEAT_INTERVAL_S)

    async def _probe_forever(self) -> None:
        """Probe nodes directly for the newest configuration version and the one before it."""
        while not self._over:
            await asyncio.sleep(PROBE_INTERVAL_S)
            node = self._rng.choice(self._world.nodes)
            recent = self._world.ledger.versions[-2:]
            number = self._rng.choice(recent).number
            self._probes += 1
            name = f"probe-{self._probes}"
            ledger = self._world.ledger
            self._start_job(probe(node, f"only-{number}", ACCOUNTS[0], name, ledger))


def run_soak(plan: SoakPlan) -> SoakResult:
    """Run one soak in a new temporary folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    return asyncio.run(Soak(plan, folder).run())
