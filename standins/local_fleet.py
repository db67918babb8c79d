"""Starts stand-ins and nodes as processes on loopback, for the demo, tests and tools."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from queue import Empty, Queue
from urllib.request import Request, urlopen

import msgspec

from moledale.backing.types import Instance, InstanceKind, InstanceState
from moledale.bundle import signing
from moledale.edge.operators import NodeStatus
from standins.serve import LISTENING_PREFIX
from standins.settings_text import settings_text

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
LISTENING_EVENT = " E101 listening "
OPERATOR_TOKEN = "operators-token-for-tests"
PEER_SECRET = "peer-secret-for-tests-0123456789abcdef"
CALL_TIMEOUT_S = 10.0


@dataclass(slots=True)
class Proc:
    """A started process, its addresses, and the lines it has printed."""

    name: str
    process: "subprocess.Popen[str]"
    address: str = ""
    peer_address: str = ""
    lines: list[str] = field(default_factory=list)
    _announcements: "Queue[dict[str, object]]" = field(default_factory=Queue)

    def read_output(self, stream: object) -> None:
        """Collect the lines of an output stream and queue the addresses announced in them."""
        for line in stream:  # type: ignore[attr-defined]
            self.lines.append(line.rstrip())
            if line.startswith(LISTENING_PREFIX):
                self._announcements.put(json.loads(line.removeprefix(LISTENING_PREFIX)))
            elif LISTENING_EVENT in line:
                self._announcements.put(json.loads(line.split(LISTENING_EVENT)[1]))

    def wait_listening(self) -> dict[str, object]:
        """Wait until the process announces where it listens; return the announced fields."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                return self._announcements.get(timeout=0.1)
            except Empty:
                if self.process.poll() is not None:
                    break
        raise RuntimeError(f"{self.name} did not start:\n" + "\n".join(self.lines))


def http_call(
    method: str, url: str, body: bytes | None = None, headers: dict[str, str] | None = None
) -> bytes:
    """Send a request and return the response body; raises an error unless the call succeeds."""
    request = Request(url, data=body, method=method, headers=headers or {})
    with urlopen(request, timeout=CALL_TIMEOUT_S) as response:
        return bytes(response.read())


class LocalFleet:
    """Runs a platform, engines, services and nodes as processes; stops only those it started."""

    def __init__(self, operators: Sequence[str] = ("anna",)) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="moledale-"))
        self.procs: dict[str, Proc] = {}
        self.instances: dict[str, Instance] = {}
        self._public_keys: dict[str, str] = {}
        for operator in operators:
            self._make_key(operator)
        self.platform = self.start_standin("platform", "standins.platform")

    # Stand-ins

    def start_standin(self, name: str, module: str, *arguments: str) -> Proc:
        """Start a stand-in and wait until it listens."""
        proc = self._spawn(name, [sys.executable, "-m", module, *arguments], {})
        proc.address = str(proc.wait_listening()["address"])
        return proc

    def start_engine(self, name: str, hall: str, *arguments: str, listed: bool = True) -> Proc:
        """Start an engine and add it to the platform's list, unless `listed` is False."""
        proc = self.start_standin(name, "standins.engine", "--name", name, *arguments)
        instance = Instance(
            name,
            InstanceKind.SERVER,
            hall,
            "north",
            proc.address,
            InstanceState.LIVE,
            instance_class="small",
        )
        self.instances[name] = instance
        if listed:
            self.control("instances", instance)
        return proc

    def control(self, endpoint: str, value: object) -> None:
        """Post a value to a control endpoint of the platform."""
        http_call(
            "POST", f"http://{self.platform.address}/control/{endpoint}", msgspec.json.encode(value)
        )

    def set_state(self, name: str, state: InstanceState) -> None:
        """Change an instance's state in the platform's list."""
        self.instances[name] = msgspec.structs.replace(self.instances[name], state=state)
        self.control("instances", self.instances[name])

    # Nodes

    def start_node(self, name: str, hall: str, extra: str = "", listed: bool = True) -> Proc:
        """Start a node and add it to the platform's list, unless `listed` is False."""
        proc = self.launch_node(name, hall, extra)
        return self.register_node(proc, hall, listed)

    def launch_node(self, name: str, hall: str, extra: str = "") -> Proc:
        """Start a node without waiting until it listens."""
        settings = self.write_settings(name, hall, extra)
        command = [sys.executable, "-m", "moledale.ui.daemon", "--settings", str(settings)]
        secrets = {
            "MOLEDALE_PEER_SECRET": PEER_SECRET,
            "MOLEDALE_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }
        return self._spawn(name, command, secrets)

    def register_node(self, proc: Proc, hall: str, listed: bool = True) -> Proc:
        """Wait until a launched node listens, and add it to the platform's list."""
        ports = proc.wait_listening()
        proc.address = f"127.0.0.1:{ports['port']}"
        proc.peer_address = f"127.0.0.1:{ports['peer_port']}"
        instance = Instance(
            proc.name,
            InstanceKind.NODE,
            hall,
            "north",
            proc.address,
            InstanceState.LIVE,
            proc.peer_address,
        )
        self.instances[proc.name] = instance
        if listed:
            self.control("instances", instance)
        return proc

    def write_settings(self, name: str, hall: str, extra: str = "") -> Path:
        """Write a node's settings file and return its path."""
        base = f"http://{self.platform.address}"
        text = settings_text(name, hall, base, self._public_keys, extra)
        path = self.folder / f"{name}.toml"
        path.write_text(text, "utf-8")
        return path

    def wait_ready(self, names: Sequence[str], version: int = 1, servers: int = 0) -> float:
        """Wait until nodes serve a bundle version and see enough servers with models.

        Returns the seconds that it took.
        """
        started_at = time.monotonic()
        for name in names:
            while True:
                status = self.status(name)
                ready = [server for server in status.servers if server.models]
                serves = status.verdict == "serve"
                if serves and status.bundle_version >= version and len(ready) >= servers:
                    break
                if time.monotonic() - started_at > START_TIMEOUT_S:
                    raise RuntimeError(f"{name} is not ready: {status}")
                time.sleep(0.02)
        return time.monotonic() - started_at

    def status(self, name: str) -> NodeStatus:
        """Return a node's status."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"http://{self.procs[name].address}/admin/v1/status"
        return msgspec.json.decode(http_call("GET", url, headers=headers), type=NodeStatus)

    # Operator commands

    def key_file(self, operator: str) -> Path:
        """Return the path of an operator's private key."""
        return self.folder / f"{operator}.pem"

    def cli(self, *arguments: str, node: str | None = None) -> "subprocess.CompletedProcess[str]":
        """Run `moledale` and return the completed process with its output."""
        environment = {**os.environ, "MOLEDALE_OPERATOR_TOKEN": OPERATOR_TOKEN}
        if node is not None:
            environment["MOLEDALE_NODES"] = self.procs[node].address
        return subprocess.run(
            [sys.executable, "-m", "moledale.ui.cli", *arguments],
            capture_output=True,
            text=True,
            env=environment,
            cwd=ROOT,
            timeout=60,
            check=False,
        )

    def write_bundle(self, version: int = 1, service: str | None = None, name: str = "") -> Path:
        """Write the example bundle with a version and a service address; return its path."""
        text = (ROOT / "examples" / "bundle.toml").read_text("utf-8")
        text = text.replace("version = 1", f"version = {version}", 1)
        if service is not None:
            text = text.replace("127.0.0.1:1", service)
        path = self.folder / f"bundle-{version}{name}.toml"
        path.write_text(text, "utf-8")
        return path

    def sign(self, path: Path, operator: str = "anna") -> None:
        """Sign a bundle as an operator."""
        key = str(self.key_file(operator))
        result = self.cli("bundle", "sign", str(path), "--key", key, "--operator", operator)
        if result.returncode != 0:
            raise RuntimeError(result.stderr)

    def roll(self, path: Path, node: str) -> None:
        """Sign a bundle and roll it through a node."""
        self.sign(path)
        result = self.cli("bundle", "roll", str(path), node=node)
        if result.returncode != 0:
            raise RuntimeError(result.stderr)

    # Stopping processes

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.procs[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        proc = self.procs[name].process
        proc.kill()
        proc.wait(STOP_TIMEOUT_S)

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        proc = self.procs[name].process
        if proc.poll() is None:
            proc.send_signal(signal.SIGTERM)
        return proc.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes that still run, suspended ones included."""
        for proc in self.procs.values():
            if proc.process.poll() is None:
                proc.process.send_signal(signal.SIGCONT)
                proc.process.kill()
        for proc in self.procs.values():
            proc.process.wait(STOP_TIMEOUT_S)
            for stream in (proc.process.stdout, proc.process.stderr):
                if stream is not None:
                    stream.close()

    def _spawn(self, name: str, command: list[str], environment: dict[str, str]) -> Proc:
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, **environment},
            cwd=ROOT,
        )
        proc = Proc(name, process)
        for stream in (process.stdout, process.stderr):
            threading.Thread(target=proc.read_output, args=(stream,), daemon=True).start()
        self.procs[name] = proc
        return proc

    def _make_key(self, operator: str) -> None:
        pem = signing.generate_private_key()
        self.key_file(operator).write_bytes(pem)
        key = signing.load_private_key(pem)
        assert key is not None, "a generated key must load"
        self._public_keys[operator] = signing.encode_public_key(key)
