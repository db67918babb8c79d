"""Tests whole gateway nodes in one process, over real sockets, with a fault-injecting store."""

import asyncio
import random
import subprocess
import sys
import unittest
from collections.abc import Awaitable, Callable
from importlib.metadata import packages_distributions
from pathlib import Path

import msgspec

from moledale.clock import monotonic
from moledale.gateway.node import GatewayNode
from moledale.gateway.outside import ABSENT_VERSION
from moledale.gateway.peers import Standing
from moledale.gateway.settings import Bounds, GatewaySettings, Identity, Outside, load, parse
from moledale.gateway.watch_turn import MAX_CHECK_AGE_SHARE, WATCHER_COUNT
from moledale.platform.cloud import PlatformCloud
from moledale.platform.engines import PlatformEngines
from moledale.platform.headers import PlatformEntry, PlatformHeaders
from moledale.platform.store import PlatformStore
from standins.rows import RowsPlatform, StoreMode
from tests.gateway_world import (
    API_KEY,
    HOST,
    CallerAnswer,
    ScriptedServer,
    answer_ok,
    read_answer,
    request_bytes,
    run_quietly,
)

BOUNDS = Bounds(stop_s=3.0, lease_s=0.6, usage_window_s=1.0)
UNNOTICED_S = 3.3
"""Longer than a node may take to notice that the store is silent."""


def make_config(
    version: int, prefix: str = "/check/", keys: tuple[str, ...] = (API_KEY,)
) -> object:
    """Return a configuration in the format that operators write."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r1",
                "host": HOST,
                "pathPrefix": prefix,
                "kind": "safe",
                "timeoutMs": 1000,
                "sloMs": 200,
                "priority": 1,
                "service": "plain",
                "maxAttempts": 2,
            }
        ],
        "services": [{"name": "plain", "healthPath": "/health", "maxConns": 10}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "north", "apiKeys": list(keys)}],
    }


FIRST_PORT = 7100


def random_loopback_address() -> str:
    """Return a random loopback address; all nodes of the machine use the same ports."""
    return f"127.{random.randint(1, 254)}.{random.randint(0, 254)}.{random.randint(1, 254)}"


class Cluster:
    """Runs nodes, a store and backend servers, one of them at first."""

    def __init__(
        self, bounds: Bounds = BOUNDS, store_type: type[PlatformStore] = PlatformStore
    ) -> None:
        self.platform = RowsPlatform()
        self._store_type = store_type
        self.backend = ScriptedServer("s1", answer_ok)
        self.servers = [self.backend]
        self.nodes: dict[str, GatewayNode] = {}
        self.bounds = bounds
        self._stops: dict[str, asyncio.Event] = {}
        self._tasks: dict[str, asyncio.Task[int]] = {}

    async def __aenter__(self) -> "Cluster":
        await self.platform.start()
        await self.backend.start()
        self.platform.put("op", "config", make_config(1))
        self.list_backend("ready")
        return self

    async def __aexit__(self, *_: object) -> None:
        for name in list(self._tasks):
            self.kill(name)
        await asyncio.sleep(0)
        await self.platform.stop()
        for server in self.servers:
            server.stop()

    def list_backend(self, state: str) -> None:
        """Write the list entry of the cluster's own backend server."""
        self.list_server(self.backend, state)

    def list_server(self, server: ScriptedServer, state: str, **more: object) -> None:
        """Write a server's entry in the list."""
        entry = {
            "service": "plain",
            "address": server.address,
            "zone": "hall-a",
            "slots": 4,
            "state": state,
            "version": "v1",
            "seq": 1,
            **more,
        }
        self.platform.put("servers", server.id, entry)

    async def start(
        self, name: str, seeds: tuple[str, ...] = (), hall: str = "hall-a"
    ) -> GatewayNode:
        """Start a node; any start after the first one of a name counts as a restart."""
        address = random_loopback_address()
        callers, control, directory, readiness, peers = (
            f"{address}:{FIRST_PORT + number}" for number in range(5)
        )
        identity = Identity(
            name,
            hall,
            "r",
            callers,
            control,
            directory,
            readiness,
            peers,
            seeds,
            first_start=name not in self.nodes,
        )
        store = self.platform.address
        settings = GatewaySettings(identity, Outside(store, store), self.bounds)
        node = GatewayNode(
            settings,
            PlatformHeaders(),
            PlatformEntry(),
            self._store_type(store),
            PlatformCloud(store),
            PlatformEngines(),
        )
        self.nodes[name] = node
        self._stops[name] = asyncio.Event()
        task = asyncio.create_task(node.run(self._stops[name]))
        task.add_done_callback(_record_failure)
        self._tasks[name] = task
        return node

    def stop(self, name: str) -> asyncio.Task[int]:
        """Begin a planned stop; return the task, which ends with the exit code."""
        self._stops[name].set()
        return self._tasks[name]

    def kill(self, name: str) -> None:
        """Kill a node: it sends nothing more and closes its sockets."""
        node = self.nodes[name]
        if node._gossip is not None:
            node._gossip.close()
            node._gossip = None
        for server in node._tcp_servers:
            server.close()
        for connection in list(node._caller_listener.connections):
            connection.close()
        self._tasks.pop(name).cancel()
        for child in node.supervisor._children:
            if child.task is not None:
                child.task.cancel()

    async def ask(self, name: str, path: str = "/check/", key: str = API_KEY) -> CallerAnswer:
        """Send a request to a node and return its answer."""
        return await ask(
            self.nodes[name].settings.node.callers,
            request_bytes(path, headers={"Authorization": f"Bearer {key}"}),
        )

    async def addresses(self, name: str) -> list[str]:
        """Return the addresses from a node's directory, none on an error."""
        data = b"GET /v1/resolve?name=x&region=r&zone=hall-a HTTP/1.1\r\nHost: d\r\n\r\n"
        got = await ask(self.nodes[name].settings.node.directory, data)
        if got.status != 200:
            return []
        found: list[str] = msgspec.json.decode(got.body)["addresses"]
        return found


NODE_FAILURES: list[str] = []
"""Exceptions that ended nodes, over all tests of the process."""


def _record_failure(task: "asyncio.Task[int]") -> None:
    if not task.cancelled() and task.exception() is not None:
        NODE_FAILURES.append(repr(task.exception()))


async def ask(address: str, data: bytes) -> CallerAnswer:
    """Send bytes to an address on a new connection and read one answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    got = await read_answer(reader)
    writer.close()
    return got


async def wait_until(condition: Callable[[], bool], within_s: float = 5.0) -> None:
    """Wait until a condition holds; the error after the timeout names nodes that failed."""
    ends = monotonic() + within_s
    while not condition():
        if monotonic() > ends:
            raise AssertionError(f"condition did not hold in time; failed nodes: {NODE_FAILURES}")
        await asyncio.sleep(0.02)


def ready(node: GatewayNode) -> Callable[[], bool]:
    """Return a condition that holds while the node is ready."""
    return lambda: node.standing is Standing.READY


def plan_version_of(node: GatewayNode) -> int:
    """Return the version of the plan in force at a node, 0 without a plan."""
    return node.forwarder.index.version if node.forwarder.index is not None else 0


def is_watching(node: GatewayNode) -> bool:
    """Return whether the store answered the node's watch recently."""
    return monotonic() - node.plans.store_reached_at < MAX_CHECK_AGE_SHARE * BOUNDS.apply_s


def run_on_cluster(work: Callable[[Cluster], Awaitable[None]], bounds: Bounds = BOUNDS) -> None:
    """Run a test on a cluster."""

    async def run() -> None:
        async with Cluster(bounds) as cluster:
            await work(cluster)

    run_quietly(run())


class PlanTest(unittest.TestCase):
    def test_newer_plan_is_applied_at_once_and_older_one_is_ignored(self) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            self.assertEqual((await cluster.ask("n1")).status, 200)
            cluster.platform.put("op", "config", make_config(3, "/new/"))
            await wait_until(lambda: plan_version_of(node) == 3, 1.0)
            self.assertEqual((await cluster.ask("n1", "/new/")).status, 200)
            self.assertEqual((await cluster.ask("n1", "/check/")).status, 404)
            cluster.platform.put("op", "config", make_config(2))
            await asyncio.sleep(0.3)
            self.assertEqual(plan_version_of(node), 3)

        run_on_cluster(work)

    def test_node_without_a_plan_responds_with_503_and_is_not_ready(self) -> None:
        async def work(cluster: Cluster) -> None:
            cluster.platform.drop("op", "config")
            node = await cluster.start("n1")
            await wait_until(lambda: node.fleet.known)
            self.assertEqual((await cluster.ask("n1")).status, 503)
            self.assertIs(node.standing, Standing.STARTING)
            cluster.platform.put("op", "config", make_config(1))
            await wait_until(ready(node), 1.0)

        run_on_cluster(work)

    def test_new_plan_is_found_when_the_store_has_dropped_its_history(self) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            cluster.platform.history_from = cluster.platform.version + 10
            cluster.platform.put("op", "config", make_config(4))
            await wait_until(lambda: plan_version_of(node) == 4, 2.0)

        run_on_cluster(work)

    def test_node_that_gets_no_answer_from_the_store_gets_a_new_plan_from_its_peers(self) -> None:
        async def work(cluster: Cluster) -> None:
            first, second = await cluster.start("n1"), await cluster.start("n2")
            await wait_until(lambda: ready(first)() and ready(second)())
            silent = RowsPlatform(mode=StoreMode.SILENT)
            await silent.start()
            second.plans._store = PlatformStore(silent.address)
            await asyncio.sleep(UNNOTICED_S)
            cluster.platform.put("op", "config", make_config(4))
            await wait_until(lambda: plan_version_of(second) == 4, 2.0)
            await silent.stop()

        run_on_cluster(work)

    def test_few_nodes_watch_the_store_and_all_get_a_new_plan_at_once(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = [await cluster.start(f"n{number}") for number in range(7)]
            for node in nodes:
                await wait_until(ready(node))
            await asyncio.sleep(7.5)
            self.assertEqual(len([node for node in nodes if is_watching(node)]), WATCHER_COUNT)
            cluster.platform.put("op", "config", make_config(4))
            await wait_until(lambda: all(plan_version_of(node) == 4 for node in nodes), 0.8)

        run_on_cluster(work)

    def test_other_nodes_watch_the_store_after_its_watchers_are_killed(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = {f"n{number}": await cluster.start(f"n{number}") for number in range(6)}
            for node in nodes.values():
                await wait_until(ready(node))
            await asyncio.sleep(7.5)
            for name in [name for name, node in nodes.items() if is_watching(node)]:
                cluster.kill(name)
                del nodes[name]
            cluster.platform.put("op", "config", make_config(4))
            await wait_until(
                lambda: all(plan_version_of(node) == 4 for node in nodes.values()), 1.9
            )

        run_on_cluster(work)

    def test_requests_succeed_while_the_store_is_down(self) -> None:
        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            for mood in (StoreMode.BUSY, StoreMode.SILENT, StoreMode.RESET):
                cluster.platform.mode = mood
                await asyncio.sleep(0.4)
                self.assertEqual((await cluster.ask("n1")).status, 200)

        run_on_cluster(work)


class FleetTest(unittest.TestCase):
    def test_all_nodes_learn_of_a_leaving_server_while_only_one_reads_the_list(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = [await cluster.start(f"n{number}") for number in range(3)]
            for node in nodes:
                await wait_until(ready(node))
            await asyncio.sleep(1.0)
            before = cluster.platform.reads["servers"]
            await asyncio.sleep(4.0)
            self.assertLessEqual(cluster.platform.reads["servers"] - before, 4.0 / 0.8 + 2)
            cluster.list_backend("draining")
            for node in nodes:
                await wait_until(lambda node=node: node.balancer.views["s1"].server.leaving, 1.5)  # type: ignore[misc]

        run_on_cluster(work)

    def test_other_node_reads_the_list_after_its_reader_is_killed(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = [await cluster.start(f"n{number}") for number in range(3)]
            for node in nodes:
                await wait_until(ready(node))
            cluster.kill("n0")
            cluster.list_backend("draining")
            for node in nodes[1:]:
                await wait_until(lambda node=node: node.balancer.views["s1"].server.leaving, 1.8)  # type: ignore[misc]

        run_on_cluster(work)


class DutyTest(unittest.TestCase):
    def reported_counts(self, cluster: Cluster) -> dict[int, list[dict[str, int]]]:
        """Return the counts of all reports, by window."""
        found: dict[int, list[dict[str, int]]] = {}
        for call in cluster.platform.duty_calls:
            if call.path == "/usage":
                window = int(str(call.body["window"]))
                found.setdefault(window, []).append(call.body["counts"])  # type: ignore[arg-type]
        return found

    def test_each_request_is_reported_once_whichever_node_served_it(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = [await cluster.start(f"n{number}") for number in range(3)]
            for node in nodes:
                await wait_until(ready(node))
            for number in range(30):
                self.assertEqual((await cluster.ask(f"n{number % 3}")).status, 200)
            await wait_until(
                lambda: sum(c[0]["north"] for c in self.reported_counts(cluster).values()) == 30,
                6.0,
            )
            for counts in self.reported_counts(cluster).values():
                self.assertTrue(all(each == counts[0] for each in counts))

        run_on_cluster(work)

    def test_successor_of_a_killed_holder_has_a_higher_fence_and_the_same_counts(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = {f"n{number}": await cluster.start(f"n{number}") for number in range(3)}
            for node in nodes.values():
                await wait_until(ready(node))
            await wait_until(lambda: any(node.keeper.grant() for node in nodes.values()))
            holder = next(name for name, node in nodes.items() if node.keeper.grant())
            other = next(name for name in nodes if name != holder)
            for _ in range(5):
                await cluster.ask(holder)
            await asyncio.sleep(0.5)
            cluster.kill(holder)
            await wait_until(
                lambda: any(n.keeper.grant() for name, n in nodes.items() if name != holder), 8.0
            )
            await cluster.ask(other)
            await wait_until(
                lambda: (
                    sum(c[0].get("north", 0) for c in self.reported_counts(cluster).values()) >= 6
                ),
                6.0,
            )
            fences: dict[str, set[int]] = {}
            for call in cluster.platform.duty_calls:
                fences.setdefault(call.holder, set()).add(call.fence)
            holders = list(fences)
            for one in holders:
                for two in holders:
                    if one != two:
                        self.assertFalse(fences[one] & fences[two])
            order = [call.fence for call in cluster.platform.duty_calls]
            self.assertEqual(order, sorted(order))

        run_on_cluster(work)

    def test_lost_answers_of_the_store_cause_no_second_holder(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = [await cluster.start(f"n{number}") for number in range(2)]
            for node in nodes:
                await wait_until(ready(node))
            await wait_until(lambda: any(node.keeper.grant() for node in nodes))
            cluster.platform.mode = StoreMode.LOSES_WRITE_ANSWERS
            ends = monotonic() + 4.0
            while monotonic() < ends:
                held = [node for node in nodes if node.keeper.grant() is not None]
                self.assertLessEqual(len(held), 1)
                await asyncio.sleep(0.02)
            cluster.platform.mode = StoreMode.HEALTHY
            await wait_until(lambda: any(node.keeper.grant() for node in nodes), 6.0)

        run_on_cluster(work)

    def test_planned_stop_of_the_holder_hands_over_the_lease_at_once(self) -> None:
        async def work(cluster: Cluster) -> None:
            nodes = {f"n{number}": await cluster.start(f"n{number}") for number in range(3)}
            await wait_until(lambda: any(node.keeper.grant() for node in nodes.values()))
            holder = next(name for name, node in nodes.items() if node.keeper.grant())
            cluster.stop(holder)
            peers = [node for name, node in nodes.items() if name != holder]
            await wait_until(lambda: any(node.keeper.grant() for node in peers), 2.5)

        run_on_cluster(work)

    def test_counts_that_a_successor_finds_stored_are_not_overwritten(self) -> None:
        async def work(cluster: Cluster) -> None:
            store = PlatformStore(cluster.platform.address)
            row = msgspec.json.encode({"window": 7, "counts": {"north": 3}})
            first = (await store.write("usage", "7", row, ABSENT_VERSION, 1.0)).unwrap()
            self.assertTrue(first.committed)
            second = (await store.write("usage", "7", b"{}", ABSENT_VERSION, 1.0)).unwrap()
            self.assertFalse(second.committed)
            assert second.conflicting_row is not None
            self.assertEqual(
                (second.conflicting_row.value, second.conflicting_row.version), (row, first.version)
            )

        run_on_cluster(work)


class StopTest(unittest.TestCase):
    def test_planned_stop_finishes_requests_and_removes_the_node_from_the_directory(self) -> None:
        async def slow(arrival, reader, writer) -> None:  # type: ignore[no-untyped-def]
            await asyncio.sleep(0.7)
            await answer_ok(arrival, reader, writer)

        async def work(cluster: Cluster) -> None:
            cluster.backend.script = slow
            nodes = {name: await cluster.start(name) for name in ("n1", "n2")}
            for node in nodes.values():
                await wait_until(ready(node))
                await wait_until(lambda node=node: bool(node.members.alive(monotonic())))  # type: ignore[misc]
            for node in nodes.values():
                await wait_until(
                    lambda node=node: [n.serving for n in node.serving_nodes()] == [True]
                )  # type: ignore[misc]
            address = (await cluster.addresses("n1"))[0]
            first = next(n for n, node in nodes.items() if node.settings.node.callers == address)
            second = next(name for name in nodes if name != first)
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes("/check/"))
            await asyncio.sleep(0.1)
            stopping = cluster.stop(first)
            await asyncio.sleep(0.4)
            self.assertNotIn(address, await cluster.addresses(second))
            got = await read_answer(reader)
            self.assertEqual((got.status, got.whole), (200, True))
            writer.close()
            late = await ask(address, request_bytes("/check/", request_id="r2"))
            self.assertEqual((late.status, late.headers["connection"]), (200, "close"))
            self.assertEqual(await stopping, 0)

        run_on_cluster(work)

    def test_request_that_may_not_finish_before_the_end_of_a_stop_is_rejected(self) -> None:
        async def hangs(arrival, reader, writer) -> None:  # type: ignore[no-untyped-def]
            await reader.read()

        async def work(cluster: Cluster) -> None:
            node = await cluster.start("n1")
            await wait_until(ready(node))
            cluster.backend.script = hangs
            host, port = node.settings.node.callers.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            stopping = cluster.stop("n1")
            await asyncio.sleep(1.3)
            writer.write(request_bytes("/check/"))
            got = await read_answer(reader)
            self.assertEqual((got.status, got.headers.get("connection")), (503, "close"))
            self.assertGreater(float(got.headers["retry-after"]), 0)
            self.assertEqual(cluster.backend.arrivals, [])
            writer.close()
            self.assertEqual(await stopping, 0)

        run_on_cluster(work)


class DeployedLibrariesTest(unittest.TestCase):
    def test_start_imports_only_what_the_deployment_installs(self) -> None:
        code = (
            "import sys\n"
            "before = set(sys.modules)\n"
            "import moledale.platform.start\n"
            "names = {name.partition('.')[0] for name in set(sys.modules) - before}\n"
            "print(*sorted(names - set(sys.stdlib_module_names)))\n"
        )
        root = Path(__file__).resolve().parent.parent
        run = subprocess.run(
            [sys.executable, "-c", code],
            cwd=root, timeout=30, check=True, capture_output=True, text=True,
        )  # fmt: skip
        lines = (root / "deploy" / "requirements.txt").read_text("ascii").splitlines()
        installed = {line.partition("==")[0].lower() for line in lines}
        made_by_cython = "cython_runtime"
        modules = set(run.stdout.split()) - {"moledale", made_by_cython}
        # A module may be named differently from the distribution that has it.
        distributions = packages_distributions()
        found = {
            distribution.lower()
            for name in modules
            if not name.startswith("_")
            for distribution in distributions.get(name, [name])
        }
        self.assertEqual(found - installed, set())
        self.assertIn("msgspec", found)

    def test_requirements_are_the_versions_that_tests_run_with(self) -> None:
        root = Path(__file__).resolve().parent.parent
        pinned = (root / "constraints.txt").read_text("ascii").lower().split()
        for line in (root / "deploy" / "requirements.txt").read_text("ascii").split():
            self.assertIn(line.lower(), pinned)


class LauncherTest(unittest.TestCase):
    def test_reload_during_imports_does_not_end_the_process(self) -> None:
        code = (
            "import runpy, signal\n"
            "import moledale.platform.start as start\n"
            "ignored = signal.SIG_IGN\n"
            "start.main = lambda: 0 if signal.getsignal(signal.SIGHUP) == ignored else 5\n"
            "runpy.run_path('deploy/launch.py', run_name='__main__')\n"
        )
        root = Path(__file__).resolve().parent.parent
        done = subprocess.run([sys.executable, "-c", code], cwd=root, timeout=30, check=False)
        self.assertEqual(done.returncode, 0)


class SettingsTest(unittest.TestCase):
    def test_example_has_no_findings(self) -> None:
        root = Path(__file__).resolve().parent.parent
        settings = load(root / "examples" / "gateway.toml").unwrap()
        self.assertEqual((settings.node.hall, settings.bounds.lease_s), ("hall-a", 3.0))
        missing = load(root / "examples" / "no-such-file.toml").unwrap_err()
        self.assertIn("can't be read", str(missing[0]))

    def test_findings_name_the_path_of_the_setting(self) -> None:
        text = '[node]\nid = "n1"\nhall = "h"\nregion = "r"\ncallers = "x"\ncontrol = "a:1"\n'
        text += (
            'directory = "a:2"\nreadiness = "a:3"\npeers = "a:99999"\n[outside]\nstore = "a:1"\n'
        )
        findings = parse("node.toml", text).unwrap_err()
        self.assertEqual([each.path for each in findings], ["node.callers", "node.peers"])
        wrong = parse("node.toml", text + "[bounds]\nstop = 3\n").unwrap_err()
        self.assertIn("bounds", str(wrong[0]))


if __name__ == "__main__":
    unittest.main()
