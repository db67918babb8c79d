"""Takes one mechanism away at a time and shows which tests then fail: `make without`.

A proof that never failed proves nothing. Each entry patches the product in memory, runs the
tests that should notice, and tells what failed. An entry that no test notices is reported as
NOT NOTICED and makes the exit code 1.
"""

import argparse
import io
import logging
import random
import sys
import unittest
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any
from unittest import mock

import logbook

from moledale.core import leases, limits, reclaim, routing
from moledale.core.freshness import Verdict
from moledale.node import bundle_watch, dispatcher, jobs, journal, node, once, streams
from tools.without_gateway import MECHANISMS

PROCESSES = 4
GATEWAY = "gateway"
PROMISES = "tests.test_promises"


@dataclass(frozen=True, slots=True)
class Without:
    """A mechanism, how to take it away, and the tests that must notice."""

    point: str
    mechanism: str
    patch: Callable[[], Any]
    tests: str


def _attribute(owner: Any, name: str, value: Any) -> Callable[[], Any]:
    return lambda: mock.patch.object(owner, name, value)


def _add_anything(
    self: streams.StreamRecord, attempt: str, index: int, token: str, now: float
) -> bool:
    """Add whatever comes, from whichever attempt."""
    self.tokens.append(token)
    self._record_token_time(now)
    self._wake_readers()
    return True


async def _no_hold(self: dispatcher.Dispatcher, record: streams.StreamRecord) -> None:
    """Let a stream go on while it is sent to a peer."""
    self._suspended.add(record.request.id)


async def _never_settle(self: journal.Journal, entry: journal.Entry) -> journal.Outcome:
    return journal.Outcome.CONFLICT


async def _claim_nothing(self: once.OnceRunner, call: once.OnceCall) -> Any:
    """Dispatch a caller's key without a claim."""
    return await self._dispatch_once(call, self._track(call))


async def _accept_first(
    self: jobs.Jobs, request: streams.GenerationRequest, job_id: str, keyed: bool = False
) -> Any:
    """Accept a job before it is durable."""
    from result import Ok

    return Ok(job_id)


async def _adopt_nothing(self: jobs.Jobs, hall: str, is_live: Any) -> int:
    return 0


async def _adopt_any_head(self: bundle_watch.BundleWatch) -> None:
    """Adopt whatever the head says, without a floor."""
    from moledale.bundle import store

    outcome = await store.read_head(self._platform)
    if outcome.is_ok() and outcome.unwrap()[0] is not None:
        head = outcome.unwrap()[0]
        assert head is not None
        fetched = await store.fetch(self._platform, head, self._operators)
        if fetched.is_ok():
            self.bundle, self.head = fetched.unwrap(), head
            self.newest_version_seen = head.version
            self._confirmed_at = self._clock.monotonic()


async def _cut_off(self: node.Node) -> None:
    """Stop without waiting for anything."""
    self.to_drain()  # type: ignore[attr-defined]
    for record in self.streams.live():
        self.dispatcher.cancel(record.request.id)


TABLE: list[Without] = [
    Without(
        "1 survives a reclaim",
        "streams resume at another server",
        _attribute(limits.RetryBudget, "try_spend", lambda self: False),
        f"{PROMISES}.StreamSurvivesTest",
    ),
    Without(
        "1 survives a reclaim",
        "KV cache moves within the notice",
        _attribute(
            reclaim,
            "plan",
            lambda streams, view: {s.id: reclaim.ReclaimAction.PREFILL for s in streams},
        ),
        f"{PROMISES}.StreamSurvivesTest",
    ),
    Without(
        "1 survives a reclaim",
        "a job is durable before it is accepted",
        _attribute(jobs.Jobs, "accept", _accept_first),
        f"{PROMISES}.JobTest",
    ),
    Without(
        "1 survives a reclaim",
        "jobs of dead nodes are adopted",
        _attribute(jobs.Jobs, "adopt_orphans", _adopt_nothing),
        f"{PROMISES}.JobTest",
    ),
    Without(
        "2 whole answer",
        "answers are fenced by attempt and index",
        _attribute(streams.StreamRecord, "add", _add_anything),
        f"{PROMISES}.StreamSurvivesTest",
    ),
    Without(
        "2 whole answer",
        "a stream stands still while it is handed over",
        _attribute(dispatcher.Dispatcher, "suspend", _no_hold),
        f"{PROMISES}.PlannedStopTest",
    ),
    Without(
        "3 did not run",
        "a refusal after dispatch says unknown",
        _attribute(dispatcher, "_with_unknown_outcome", lambda problem, record: problem),
        f"{PROMISES}.RefusalTest",
    ),
    Without(
        "4 at most once",
        "a key is claimed before dispatch",
        _attribute(once.OnceRunner, "_run_claimed", _claim_nothing),
        f"{PROMISES}.OnceTest",
    ),
    Without(
        "4 at most once",
        "lost answers are read back",
        _attribute(journal.Journal, "_read_back", _never_settle),
        f"{PROMISES}.JobTest",
    ),
    Without(
        "5 no new work when leaving",
        "leaving servers are not eligible",
        _attribute(dispatcher.Dispatcher, "_on_leaving", lambda self, message: None),
        f"{PROMISES}.LeavingServerTest",
    ),
    Without(
        "6 planned stop",
        "drain waits and hands over",
        _attribute(node.Node, "drain", _cut_off),
        f"{PROMISES}.PlannedStopTest",
    ),
    Without(
        "7 bundles",
        "the floor never falls",
        _attribute(bundle_watch.BundleWatch, "poll", _adopt_any_head),
        f"{PROMISES}.BundleTest",
    ),
    Without(
        "7 bundles",
        "an unconfirmed or cut-off node serves nothing",
        _attribute(node, "decide_verdict", lambda view, grace: Verdict.SERVE),
        f"{PROMISES}.BundleTest",
    ),
    Without(
        "leases",
        "a holder gives up before a candidate may begin",
        _attribute(leases, "MARGIN_SHARE", -2.0),
        f"{PROMISES}.LeaseDutyTest tests.test_core.LeaseTest",
    ),
    Without(
        "leases",
        "orders are given only inside the lease",
        _attribute(leases.Grant, "valid", lambda self, now: True),
        "tests.test_core.LeaseTest",
    ),
    Without(
        "recovery",
        "polls and returns are spread by chance",
        _attribute(random.Random, "uniform", lambda self, low, high: high),
        f"{PROMISES}.RecoveryTest",
    ),
    Without(
        "routing",
        "pick and reserve in one step",
        _attribute(routing, "_apply_reservation", lambda view, made, sign: None),
        "tests.test_core.RoutingTest",
    ),
]


TABLE.extend(
    Without(GATEWAY, mechanism, _attribute(owner, name, value), tests)
    for mechanism, owner, name, value, tests in MECHANISMS
)


def run(index: int) -> tuple[int, list[str]]:
    """Run one entry and return the tests that failed."""
    logbook.NullHandler().push_application()
    # What a test leaves behind when it fails is no news here.
    logging.disable(logging.CRITICAL)
    entry = TABLE[index]
    # Tests are loaded first: one that imports a constant by name must not get the patched one.
    suite = unittest.defaultTestLoader.loadTestsFromNames(entry.tests.split())
    with entry.patch():
        outcome = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
    bad = [*outcome.failures, *outcome.errors]
    return index, sorted({test.id().split(".", 2)[-1] for test, _ in bad})


def main() -> int:
    """Run the table, or the entries that were asked for."""
    parser = argparse.ArgumentParser(prog="python -m tools.without", description=__doc__)
    parser.add_argument("--gateway", action="store_true", help="the gateway's mechanisms only")
    parser.add_argument("--named", metavar="TEXT", default="", help="mechanisms with TEXT in them")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    asked = parser.parse_args()
    chosen = [
        index
        for index, entry in enumerate(TABLE)
        if asked.named in entry.mechanism and (entry.point == GATEWAY or not asked.gateway)
    ]
    if not chosen:
        parser.error(f"no mechanism has {asked.named!r} in its name")
    missed = 0
    with ProcessPoolExecutor(asked.processes) as pool:
        for index, failed in pool.map(run, chosen):
            entry = TABLE[index]
            verdict = f"{len(failed)} fail" if failed else "NOT NOTICED"
            missed += not failed
            print(f"{entry.point:28} without: {entry.mechanism:52} {verdict}")
            for name in failed:
                print(f"{'':30}{name}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
