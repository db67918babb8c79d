"""Runs gateway nodes as processes and controls them by signals."""

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from tests.soak.link import Link
from tests.soak.records import Exit, Ledger

ROOT = Path(__file__).resolve().parents[2]
BASE_PORT = 7100
STOP_S = 5.0
LAUNCH_POLL_INTERVAL_S = 0.02

SETTINGS_TEMPLATE = """
[node]
id = "{name}"
hall = "{hall}"
region = "north"
callers = "{host}:{callers}"
control = "{host}:{control}"
directory = "{host}:{directory}"
readiness = "{host}:{readiness}"
peers = "{host}:{peers}"
first_start = {first}
seeds = [{seeds}]
[outside]
store = "{store}"
cloud = "{store}"
[bounds]
stop_s = {stop_s}
leave_s = 2.0
apply_s = 2.0
lease_s = 1.5
retry_ratio = 0.2
retry_slack = 30
retry_window_s = 10
usage_window_s = 2
usage_late_s = 6
address_ttl_s = 2
limit_window_s = 8
"""

SCHEDULING_SETTINGS = """
[scheduling]
max_pause_s = 0.4
evacuation = true
overload = true
fair_shares = true
performance = true
unheard_load = true
move_slots = true
engine_memory = true
"""


@dataclass(slots=True)
class EndRequest:
    """Whether the soak asked a process to end, and since when a planned stop goes on."""

    requested: bool = False
    stopping_since: float | None = None


class NodeProcess:
    """Runs the process of one node, with a link for its callers and one to the store.

    Each start runs one of the `builds`: folders of sources, of which the first is the tested one.
    """

    def __init__(
        self,
        name: str,
        host: str,
        hall: str,
        folder: Path,
        store: str,
        ledger: Ledger,
        builds: Sequence[Path] = (ROOT,),
        rng: random.Random | None = None,
        scheduling: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.hall = hall
        self.caller_link = Link(f"{self.host}:{BASE_PORT}")
        self.store_link = Link(store)
        self.readiness_address = f"{self.host}:{BASE_PORT + 3}"
        self.directory_address = f"{self.host}:{BASE_PORT + 2}"
        self.process: asyncio.subprocess.Process | None = None
        self.paused = False
        self.gossip_port = 0
        self._end = EndRequest()
        self._folder = folder
        self._scheduling = scheduling
        self._ledger = ledger
        self._builds = builds
        self._rng = rng or random.Random(name)
        self._seeds: list[str] = []
        self._log_offset = 0
        self._pidfd: int | None = None
        self._exit_watch: asyncio.Task[None] | None = None

    @property
    def advertised_address(self) -> str:
        """Return the caller address that the directory lists for this node."""
        return f"{self.host}:{BASE_PORT}"

    @property
    def seed_address(self) -> str:
        """Return the control address, which other nodes have in their seeds."""
        return f"{self.host}:{BASE_PORT + 1}"

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    async def prepare(self, seeds: list[str], first: bool) -> None:
        """Open the links and write the settings of the first start."""
        await self.caller_link.start()
        await self.store_link.start()
        self._seeds = seeds
        self._write_settings(first)
        (self._folder / f"{self.name}.step").write_text("0.0", "ascii")

    def _write_settings(self, first: bool) -> None:
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            hall=self.hall,
            host=self.host,
            callers=BASE_PORT,
            control=BASE_PORT + 1,
            directory=BASE_PORT + 2,
            readiness=BASE_PORT + 3,
            peers=BASE_PORT + 4,
            first="true" if first else "false",
            seeds=", ".join(f'"{seed}"' for seed in self._seeds),
            store=self.store_link.address,
            stop_s=STOP_S,
        )
        if self._scheduling:
            text += SCHEDULING_SETTINGS
        (self._folder / f"{self.name}.toml").write_text(text, "utf-8")

    async def start(self) -> None:
        """Start the process; the logs of all its starts are appended to one file.

        Later starts have `first_start = false` in their settings, as on the platform.
        """
        if self.process is not None:
            self._write_settings(first=False)
        build = self._rng.choice(self._builds) if len(self._builds) > 1 else self._builds[0]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": f"{build / 'src'}",
            "MOLEDALE_NODE_FILE": str(self._folder / f"{self.name}.toml"),
            "SOAK_STEP_FILE": str(self._folder / f"{self.name}.step"),
            "SOAK_STALL_FILE": str(self._folder / f"{self.name}.stalls"),
        }
        if self.gossip_port:
            environment["SOAK_GOSSIP_PORT"] = str(self.gossip_port)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._log_offset = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(build / "tests" / "soak" / "node_main.py"),
                env=environment,
                stdout=log,
                stderr=log,
            )
        # A pidfd refers to this process even after its id was reused.
        self._pidfd = os.pidfd_open(self.process.pid)
        self._end = EndRequest()
        self.paused = False
        began = time.monotonic()
        self._ledger.starts.append((self.name, began))
        if build != self._builds[0]:
            self._ledger.former_builds.add((self.name, began))
        self._exit_watch = asyncio.create_task(
            self._record_exit(self.process, self._pidfd, self._end)
        )

    async def _record_exit(
        self, process: asyncio.subprocess.Process, pidfd: int, end: EndRequest
    ) -> None:
        code = await process.wait()
        os.close(pidfd)
        if self._pidfd == pidfd:
            self._pidfd = None
        now = time.monotonic()
        took = None if end.stopping_since is None else now - end.stopping_since
        self._ledger.exits.append(Exit(self.name, now, code, end.requested, took))

    def _send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running.

        This doesn't use the process object's own method: it polls for the exit, which takes the
        exit code away from the task that waits for it.
        """
        if self._pidfd is None or not self.running:
            return
        with suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._pidfd, number)

    async def _wait_until_launched(self) -> bool:
        """Wait for the process's first output, after which it handles signals.

        Until then the interpreter is still starting, and any signal ends the process. Return False
        if the process exited.
        """
        while self.running:
            with (self._folder / f"{self.name}.log").open("rb") as log:
                log.seek(self._log_offset)
                if log.read(1):
                    return True
            await asyncio.sleep(LAUNCH_POLL_INTERVAL_S)
        return False

    def kill(self) -> None:
        """Send SIGKILL."""
        self._end.requested = True
        self._send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Send SIGTERM once the process handles it, which begins a planned stop."""
        await self._wait_until_launched()
        self._end.requested = True
        self._end.stopping_since = time.monotonic()
        self._send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.paused = True
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.paused = False
        self._send_signal(signal.SIGCONT)

    async def reload(self) -> None:
        """Send SIGHUP, on which the process reloads its settings."""
        if await self._wait_until_launched():
            self._send_signal(signal.SIGHUP)

    async def step_clock(self, seconds: float) -> None:
        """Offset the process's wall clock by `seconds` from the machine's."""
        (self._folder / f"{self.name}.step").write_text(str(seconds), "ascii")
        if await self._wait_until_launched():
            self._send_signal(signal.SIGUSR1)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait for the process to exit; return False on timeout."""
        if self.process is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            return False
        return True
