"""Removes one mechanism at a time and shows which tests then fail: `make without`.

A test that never fails proves nothing. Each entry patches the product in memory, runs the tests
that should detect it, and prints those that failed. An entry that no test detects is reported as
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
from moledale.peers import gossip
from tools.without_gateway import MECHANISMS

PROCESSES = 4
GATEWAY = "gateway"
PROMISES = "tests.test_promises"


@dataclass(frozen=True, slots=True)
class Removal:
    """A mechanism, the patch that removes it, and the tests that must then fail."""

    group: str
    mechanism: str
    patch: Callable[[], Any]
    tests: str


def _patch_attribute(owner: Any, name: str, value: Any) -> Callable[[], Any]:
    return lambda: mock.patch.object(owner, name, value)


def _add_unchecked(
    self: streams.StreamRecord, attempt: str, index: int, token: str, now: float
) -> bool:
    """Append any token, whatever its attempt and index."""
    self.tokens.append(token)
    self._record_token_time(now)
    self._wake_readers()
    return True


async def _ask_no_peer(_: gossip.Gossip) -> bool:
    """Wait for the next round of gossip."""
    return False


async def _hold_nothing(self: dispatcher.Dispatcher, record: streams.StreamRecord) -> None:
    """Let a stream continue while it is handed over to a peer."""
    self._suspended.add(record.request.id)


async def _report_conflict(self: journal.Journal, entry: journal.Entry) -> journal.Outcome:
    return journal.Outcome.CONFLICT


async def _claim_nothing(self: once.OnceRunner, call: once.OnceCall) -> Any:
    """Dispatch a call with an idempotency key without claiming the key."""
    return await self._dispatch_once(call, self._track(call))


async def _accept_before_durable(
    self: jobs.Jobs, request: streams.GenerationRequest, job_id: str, keyed: bool = False
) -> Any:
    """Accept a job before it is stored durably."""
    from result import Ok

    return Ok(job_id)


async def _adopt_nothing(self: jobs.Jobs, hall: str, is_live: Any) -> int:
    return 0


async def _adopt_head_unchecked(self: bundle_watch.BundleWatch) -> None:
    """Adopt the bundle of any head, without a minimum version."""
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


async def _stop_without_drain(self: node.Node) -> None:
    """Cancel all streams instead of draining or handing them over."""
    self.to_drain()  # type: ignore[attr-defined]
    for record in self.streams.live():
        self.dispatcher.cancel(record.request.id)


REMOVALS: list[Removal] = [
    Removal(
        "1 survives a reclaim",
        "streams resume at another server",
        _patch_attribute(limits.RetryBudget, "try_spend", lambda self: False),
        f"{PROMISES}.StreamSurvivesTest",
    ),
    Removal(
        "1 survives a reclaim",
        "KV cache moves within the notice",
        _patch_attribute(
            reclaim,
            "plan",
            lambda streams, view: {s.id: reclaim.ReclaimAction.PREFILL for s in streams},
        ),
        f"{PROMISES}.StreamSurvivesTest",
    ),
    Removal(
        "1 survives a reclaim",
        "a job is durable before it is accepted",
        _patch_attribute(jobs.Jobs, "accept", _accept_before_durable),
        f"{PROMISES}.JobTest",
    ),
    Removal(
        "1 survives a reclaim",
        "jobs of dead nodes are adopted",
        _patch_attribute(jobs.Jobs, "adopt_orphans", _adopt_nothing),
        f"{PROMISES}.JobTest",
    ),
    Removal(
        "2 whole answer",
        "answers are fenced by attempt and index",
        _patch_attribute(streams.StreamRecord, "add", _add_unchecked),
        f"{PROMISES}.StreamSurvivesTest",
    ),
    Removal(
        "2 whole answer",
        "a stream stands still while it is handed over",
        _patch_attribute(dispatcher.Dispatcher, "suspend", _hold_nothing),
        f"{PROMISES}.PlannedStopTest",
    ),
    Removal(
        "3 did not run",
        "a refusal after dispatch says unknown",
        _patch_attribute(dispatcher, "_with_unknown_outcome", lambda problem, record: problem),
        f"{PROMISES}.RefusalTest",
    ),
    Removal(
        "4 at most once",
        "a key is claimed before dispatch",
        _patch_attribute(once.OnceRunner, "_run_claimed", _claim_nothing),
        f"{PROMISES}.OnceTest",
    ),
    Removal(
        "4 at most once",
        "lost answers are read back",
        _patch_attribute(journal.Journal, "_read_back", _report_conflict),
        f"{PROMISES}.JobTest",
    ),
    Removal(
        "5 no new work when leaving",
        "leaving servers are not eligible",
        _patch_attribute(dispatcher.Dispatcher, "_on_leaving", lambda self, message: None),
        f"{PROMISES}.LeavingServerTest",
    ),
    Removal(
        "6 planned stop",
        "drain waits and hands over",
        _patch_attribute(node.Node, "drain", _stop_without_drain),
        f"{PROMISES}.PlannedStopTest",
    ),
    Removal(
        "7 bundles",
        "the floor never falls",
        _patch_attribute(bundle_watch.BundleWatch, "poll", _adopt_head_unchecked),
        f"{PROMISES}.BundleTest",
    ),
    Removal(
        "7 bundles",
        "an unconfirmed or cut-off node serves nothing",
        _patch_attribute(node, "decide_verdict", lambda view, grace: Verdict.SERVE),
        f"{PROMISES}.BundleTest",
    ),
    Removal(
        "7 bundles",
        "peers are asked before a node takes itself for isolated",
        _patch_attribute(gossip.Gossip, "find_peer", _ask_no_peer),
        f"{PROMISES}.BundleTest",
    ),
    Removal(
        "leases",
        "a holder gives up before a candidate may begin",
        _patch_attribute(leases, "MARGIN_SHARE", -2.0),
        f"{PROMISES}.LeaseDutyTest tests.test_core.LeaseTest",
    ),
    Removal(
        "leases",
        "orders are given only inside the lease",
        _patch_attribute(leases.Grant, "valid", lambda self, now: True),
        "tests.test_core.LeaseTest",
    ),
    Removal(
        "recovery",
        "polls and returns are spread by chance",
        _patch_attribute(random.Random, "uniform", lambda self, low, high: high),
        f"{PROMISES}.RecoveryTest",
    ),
    Removal(
        "routing",
        "pick and reserve in one step",
        _patch_attribute(routing, "_apply_reservation", lambda view, made, sign: None),
        "tests.test_core.RoutingTest",
    ),
]


REMOVALS.extend(
    Removal(GATEWAY, mechanism, _patch_attribute(owner, name, value), tests)
    for mechanism, owner, name, value, tests in MECHANISMS
)


def run_entry(index: int) -> tuple[int, list[str]]:
    """Run one entry; return its index and the names of the tests that failed."""
    logbook.NullHandler().push_application()
    # Errors logged by tasks that a failing test leaves behind are irrelevant here.
    logging.disable(logging.CRITICAL)
    entry = REMOVALS[index]
    # Load the tests before patching, or those that import a constant by name get the patched one.
    suite = unittest.defaultTestLoader.loadTestsFromNames(entry.tests.split())
    with entry.patch():
        outcome = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
    unsuccessful = [*outcome.failures, *outcome.errors]
    return index, sorted({test.id().split(".", 2)[-1] for test, _ in unsuccessful})


def main() -> int:
    """Run all entries, or those that the options select."""
    parser = argparse.ArgumentParser(prog="python -m tools.without", description=__doc__)
    parser.add_argument("--gateway", action="store_true", help="only the mechanisms of the gateway")
    parser.add_argument("--named", metavar="TEXT", default="", help="mechanisms with TEXT in them")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    options = parser.parse_args()
    chosen = [
        index
        for index, entry in enumerate(REMOVALS)
        if options.named in entry.mechanism and (entry.group == GATEWAY or not options.gateway)
    ]
    if not chosen:
        parser.error(f"no mechanism has {options.named!r} in its name")
    missed = 0
    with ProcessPoolExecutor(options.processes) as pool:
        for index, failed in pool.map(run_entry, chosen):
            entry = REMOVALS[index]
            verdict = f"{len(failed)} fail" if failed else "NOT NOTICED"
            missed += not failed
            print(f"{entry.group:28} without: {entry.mechanism:52} {verdict}")
            for name in failed:
                print(f"{'':30}{name}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
