"""The fault matrix: injects each fault at each step of a request or duty and checks the outcome.

`python -m tests.matrix` runs and prints it. A cell is `proved`, `FAILS` with a reason, or `-` if
a scenario never reaches the step. Each scenario of a step runs in a new `World`, once with the
fault at the first time that the step is reached, and once with it at the first two times.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import logbook
from result import Err, Result

from moledale.backing.types import Part
from moledale.node.jobs import JobState, new_job_id
from moledale.node.once import OnceCall
from moledale.problems import Problem, Ran
from moledale.servers.types import ServiceAnswer
from tests.world import Action, World, expected_tokens

FAULT_DURATION_S = 8.0
FREEZE_S = 30.0
NOTICE_S = 3.0
CELL_TIMEOUT_S = 400.0
NODE_DIED = "lost"
WORKER_PROCESSES = 4
NODES = ("n0", "n1", "n2")


# Faults


async def reclaim_server(world: World, node: str, server: str) -> None:
    world.reclaim(server or "e0", NOTICE_S)


async def kill_server(world: World, node: str, server: str) -> None:
    world.engines[server or "e0"].alive = False


async def kill_node(world: World, node: str, server: str) -> None:
    if node in world.nodes:
        world.kill(node)


async def freeze_node(world: World, node: str, server: str) -> None:
    world.freeze(node, FREEZE_S)


async def cut_off_node(world: World, node: str, server: str) -> None:
    host = world.hosts[node]
    host.cut_peers = host.cut_platform = True

    def heal() -> None:
        host.cut_peers = host.cut_platform = False

    world.call_later(FAULT_DURATION_S, heal)


def _platform_fault(**fields: bool) -> Action:
    async def inject(world: World, node: str, server: str) -> None:
        for part in Part:
            for name, value in fields.items():
                setattr(world.faults[part], name, value)

        def heal() -> None:
            for part in Part:
                for name in fields:
                    setattr(world.faults[part], name, False)

        world.call_later(FAULT_DURATION_S, heal)

    return inject


async def lose_table_answer(world: World, node: str, server: str) -> None:
    world.faults[Part.TABLE].lose_answers = 1


async def apply_table_write_late(world: World, node: str, server: str) -> None:
    world.faults[Part.TABLE].late_writes = 1


async def reclaim_hall(world: World, node: str, server: str) -> None:
    """Reclaim all servers of a hall; the cloud has no replacement."""
    for engine in list(world.engines.values()):
        if engine.hall == "hall-a":
            world.reclaim(engine.name, NOTICE_S)


async def roll_as_second_operator(world: World, node: str, server: str) -> None:
    other = next(name for name in world.nodes if name != node)
    version = world.nodes[other].bundles.version + 1
    signed = world.make_signed_bundle(version, "bram", "second")
    task = asyncio.create_task(world.nodes[other].roll(signed))
    world.keep_task(task)


FAULTS: dict[str, Action] = {
    "reclaim notice": reclaim_server,
    "server killed": kill_server,
    "node killed": kill_node,
    "node frozen": freeze_node,
    "node cut off": cut_off_node,
    "platform slow": _platform_fault(hang=True),
    "platform dead": _platform_fault(down=True),
    "answer lost": lose_table_answer,
    "write late": apply_table_write_late,
    "hall, refused": reclaim_hall,
    "2nd operator": roll_as_second_operator,
}


# Scenarios: each returns a description of the failure, or None


async def run_stream(world: World) -> str | None:
    """Stream through n0; retry at other nodes if the node dies or refuses."""
    request = world.make_request("stream", 60)
    for node in ("n0", "n1", "n2", "n1", "n2"):
        if node not in world.nodes:
            continue
        await world.reach_step("accept", node, outside=True)
        if node not in world.nodes:
            continue
        target = world.nodes[node]
        submitted = target.dispatcher.submit(world.make_request("stream", 60))
        if isinstance(submitted, Err):
            if submitted.err_value.ran is not Ran.NO:
                return "an immediate refusal reported an unknown outcome"
            await world.clock.sleep(3.0)
            continue
        read = await _await_unless_node_dies(world, node, world.read(node, submitted.ok_value))
        if read == NODE_DIED:
            continue
        problem = submitted.ok_value.problem
        if problem is not None:
            return f"failed: {problem.kind}: {problem.detail}"
        return None if read == expected_tokens(request) else f"wrong text after {len(read)} tokens"
    return "no node answered"


async def run_stream_during_drain(world: World) -> str | None:
    """Stream through n0, which makes a planned stop during the stream."""
    request = world.make_request("drained", 150)
    record = world.nodes["n0"].dispatcher.submit(request).unwrap()
    read_task = asyncio.create_task(_await_unless_node_dies(world, "n0", world.read("n0", record)))
    await world.clock.sleep(0.5)
    await world.reach_step("drain", "n0", str(record.server), outside=True)
    if "n0" in world.nodes:
        draining = asyncio.create_task(world.nodes["n0"].drain())
        await _await_unless_node_dies(world, "n0", _wait_for_task(draining))
    read = await read_task
    if read == NODE_DIED:
        return None if "n0" not in world.nodes else "the stream was lost although its node lives"
    return None if read == expected_tokens(request) else f"wrong text after {len(read)} tokens"


async def run_job(world: World) -> str | None:
    """Accept a job at n0 and fetch its result at another node."""
    request = world.make_request("job", 60, deadline_at=world.clock.wall() + 1e6)
    await world.reach_step("accept", "n0", outside=True)
    if "n0" not in world.nodes:
        return None
    node = world.nodes["n0"]
    job = new_job_id("hall-a")
    accepted = await _await_unless_node_dies(world, "n0", node.jobs.accept(request, job))
    if accepted != NODE_DIED and isinstance(accepted, Err):
        return await _check_refused_job(world, accepted.err_value, job)
    # Without an answer the job may or may not have been accepted, but its result must be complete.
    must_finish = accepted != NODE_DIED
    return await _check_job_result(world, job, "".join(expected_tokens(request)), must_finish)


async def _check_refused_job(world: World, refusal: Problem, job: str) -> str | None:
    await world.clock.sleep(40.0)
    ran = [a for e in world.engines.values() for _, a in e.starts if a.startswith(job)]
    if refusal.ran is Ran.NO and ran:
        return "it ran although the refusal reported that it did not"
    return None


async def _check_job_result(world: World, job: str, text: str, must_finish: bool) -> str | None:
    for _ in range(200):
        if not world.nodes:
            await world.start_node("n9", "hall-b")
        name = list(world.nodes)[-1]
        found = await world.nodes[name].jobs.result("brokers", job)
        if not isinstance(found, Err) and found.ok_value is not None:
            ended = found.ok_value
            right = ended.state is JobState.DONE and ended.text == text
            return None if right else f"ended as {ended.state} with {len(ended.text or '')}"
        if isinstance(found, Err) and found.err_value.status == 404 and not must_finish:
            return None
        await world.clock.sleep(0.5)
    return "the job did not finish"


async def run_adopted_job(world: World) -> str | None:
    """Kill the node of a job, so that the fault hits the node that adopts it."""
    request = world.make_request("adopted", 200, deadline_at=world.clock.wall() + 1e6)
    job = new_job_id("hall-a")
    (await world.nodes["n0"].jobs.accept(request, job)).unwrap()
    await world.clock.sleep(0.5)
    world.kill("n0")
    return await _check_job_result(world, job, "".join(expected_tokens(request)), must_finish=True)


async def run_once_call(world: World) -> str | None:
    """Send a call that is not repeatable to n0, and again to other nodes; it may run only once."""
    call = world.make_once_call("ticket", "key-1")
    for node in ("n0", "n1", "n2", "n0", "n1"):
        if node not in world.nodes:
            continue
        await world.reach_step("accept", node, outside=True)
        if node not in world.nodes:
            continue
        before = world.service_runs["ticket"]
        outcome = await _await_unless_node_dies(world, node, world.nodes[node].once.run(call))
        failure = _check_once_outcome(world, call, outcome, before)
        if failure is not None:
            return failure
        await world.clock.sleep(3.0)
    await world.clock.sleep(FREEZE_S + FAULT_DURATION_S)
    return (
        f"it ran {world.service_runs['ticket']} times" if world.service_runs["ticket"] > 1 else None
    )


def _check_once_outcome(
    world: World, call: OnceCall, outcome: "str | Result[ServiceAnswer, Problem]", before: int
) -> str | None:
    runs = world.service_runs["ticket"]
    if runs > 1:
        return f"it ran {runs} times"
    if isinstance(outcome, str):
        return None
    if isinstance(outcome, Err):
        reported_not_run = outcome.err_value.ran is Ran.NO
        return (
            "it ran although the error reported that it did not"
            if reported_not_run and runs
            else None
        )
    return None if outcome.ok_value.body == b"ran ticket" else "a wrong answer"


async def run_bundle_roll(world: World) -> str | None:
    """Roll version 2 through n0; check that nodes converge on one version and never go back."""
    signed = world.make_signed_bundle(2, "anna", "first")
    outcome = await _await_unless_node_dies(world, "n0", world.nodes["n0"].roll(signed))
    floors = dict.fromkeys(NODES, 0)
    for _ in range(160):
        for name, node in world.nodes.items():
            if node.bundles.version < floors[name]:
                return f"{name} went back to version {node.bundles.version}"
            floors[name] = node.bundles.version
        await world.clock.sleep(0.5)
    heads = {node.bundles.head for node in world.nodes.values()}
    if len(heads) != 1:
        return f"nodes differ: {sorted(floors.items())}"
    head = heads.pop()
    assert head is not None, "version 1 is in force at least"
    if not isinstance(outcome, str) and not isinstance(outcome, Err):
        is_head = head.version > 2 or head.digest == outcome.ok_value.digest
        return None if is_head else "an accepted version is not in force"
    return None


async def watch_lease(world: World) -> str | None:
    """Check the lease of hall-a and the orders of its holders.

    There is at most one holder at any time, servers that check the epoch take no order with an
    older one, and at the end the holder has had the missing models loaded.
    """
    world.engines["e1"].checks_fence = False
    for step in range(250):
        running = [n for n in world.nodes if world.hosts[n].running.is_set()]
        held = [lease for n in running for lease in world.nodes[n].leases_held()]
        if len(held) != len(set(held)):
            return f"two holders at once: {held}"
        if step % 40 == 20:
            for engine in world.engines.values():
                engine.models = ["cover-7b"]
        await world.clock.sleep(0.4)
    for engine in world.engines.values():
        epochs: dict[str, int] = {}
        for order in engine.orders:
            if engine.checks_fence and order.epoch < epochs.get(order.lease, 0):
                return f"{engine.name} took an order with an older epoch"
            epochs[order.lease] = max(order.epoch, epochs.get(order.lease, 0))
    if "hall/hall-a" not in held:
        return "no node holds the lease at the end"
    alive = [engine for engine in world.engines.values() if engine.alive]
    missing = [e.name for e in alive if "claims" not in e.models and e.leaving_since is None]
    return f"models are missing at {missing}" if missing else None


async def _await_unless_node_dies(world: World, node: str, work: Coroutine[Any, Any, Any]) -> Any:
    """Await work at a node; return `NODE_DIED` if the node dies first."""
    task = asyncio.create_task(work)
    while not task.done():
        if node not in world.nodes:
            task.cancel()
            return NODE_DIED
        await world.clock.sleep(0.1)
    return task.result()


async def _wait_for_task(task: "asyncio.Task[None]") -> None:
    await asyncio.wait([task])


# Cells


Scenario = Callable[[World], Awaitable[str | None]]


@dataclass(frozen=True)
class Cell:
    """The outcome of one fault at one step."""

    verdict: str
    reason: str = ""


REQUEST_SCENARIOS: list[Scenario] = [run_stream, run_job, run_once_call]
STEPS: dict[str, list[Scenario]] = {
    "accept": REQUEST_SCENARIOS,
    "commit": [run_job, run_once_call],
    "pick": REQUEST_SCENARIOS,
    "dispatch": REQUEST_SCENARIOS,
    "first token": REQUEST_SCENARIOS,
    "mid-stream": REQUEST_SCENARIOS,
    "finish": REQUEST_SCENARIOS,
    "hand-over": [run_stream_during_drain],
    "adopt": [run_adopted_job],
    "lease": [watch_lease],
    "order": [watch_lease],
    "roll": [run_bundle_roll],
    "adopt version": [run_bundle_roll],
    "drain": [run_stream_during_drain],
}


def run_cell(step: str, fault: str, times: int) -> Cell:
    """Run every scenario of a cell, each in a new world, with the fault `times` times."""
    for scenario in STEPS[step]:
        failure, reached = asyncio.run(_run_scenario(scenario, step, FAULTS[fault], times))
        name = getattr(scenario, "__name__", "")
        if not reached:
            return Cell("-", f"{name} does not reach the step")
        if failure is not None:
            return Cell("FAILS", f"{name}, x{times}: {failure}")
    return Cell("proved")


async def _run_scenario(
    scenario: Scenario, step: str, action: Action, times: int
) -> tuple[str | None, bool]:
    world = World()
    try:
        await world.clock.run(world.start(), CELL_TIMEOUT_S)
        world.steps_reached.clear()
        world.plan_fault(step, action, times)
        failure = await world.clock.run(scenario(world), CELL_TIMEOUT_S)  # type: ignore[arg-type]
        return failure, world.steps_reached[step] > 0
    except AssertionError as error:
        return f"{error}", True
    finally:
        await world.stop()


def run_cell_once_and_twice(coordinate: tuple[str, str]) -> Cell:
    """Run a cell with its fault once and twice; return the first result that is not proved."""
    logbook.NullHandler().push_application()
    cells = [run_cell(*coordinate, times) for times in (1, 2)]
    return next((cell for cell in cells if cell.verdict != "proved"), cells[0])


def run_matrix() -> dict[tuple[str, str], Cell]:
    """Run every cell, in `WORKER_PROCESSES` processes as the worlds share nothing."""
    coordinates = [(step, fault) for step in STEPS for fault in FAULTS]
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        return dict(zip(coordinates, pool.map(run_cell_once_and_twice, coordinates), strict=True))


def print_matrix(found: dict[tuple[str, str], Cell]) -> None:
    """Print the matrix, then the reason for each cell that is not proved."""
    width = max(len(fault) for fault in FAULTS) + 2
    print("".ljust(15) + "".join(fault.ljust(width) for fault in FAULTS))
    for step in STEPS:
        cells = "".join(found[(step, fault)].verdict.ljust(width) for fault in FAULTS)
        print(step.ljust(15) + cells)
    print()
    for (step, fault), cell in found.items():
        if cell.verdict != "proved":
            print(f"{step} / {fault}: {cell.verdict}: {cell.reason}")
    counts = [cell.verdict for cell in found.values()]
    print(
        f"proved {counts.count('proved')}, fails {counts.count('FAILS')}, "
        f"not covered {counts.count('-')}, each with its fault once and twice"
    )


def main() -> int:
    """Run and print the matrix; return 1 if a cell fails."""
    found = run_matrix()
    print_matrix(found)
    return 1 if any(cell.verdict == "FAILS" for cell in found.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
