"""Starts a node as a process in conditions in which it once did not start, or ended by itself."""

import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from tests.test_gateway_nodes import random_loopback_address

ROOT = Path(__file__).resolve().parent.parent
LAUNCHER = ROOT / "deploy" / "launch.py"
WITHIN_S = 20.0

SETTINGS = """
[node]
id = "n1"
hall = "a"
region = "r"
callers = "{host}:7100"
control = "{host}:7101"
directory = "{host}:7102"
readiness = "{host}:7103"
peers = "{host}:7104"
[outside]
store = "{host}:7199"
[bounds]
stop_s = 2.0
address_ttl_s = 0.2
"""


class StartCase(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        self.host = random_loopback_address()
        self.settings = self.folder / "settings.toml"
        self.text = SETTINGS.format(host=self.host)
        self.settings.write_text(self.text)
        self.log = self.folder / "log"

    def start(
        self, redirections: str = '> "$LOG" 2>&1', limits: str = "", **variables: str
    ) -> "subprocess.Popen[bytes]":
        """Start a node; its log goes to a file unless the redirections say otherwise."""
        command = f"{limits} exec {shlex.quote(sys.executable)} {LAUNCHER} {redirections}"
        process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT / "src"),
                "MOLEDALE_NODE_FILE": str(self.settings),
                "LOG": str(self.log),
                **variables,
            },
        )
        self.addCleanup(self.end, process)
        return process

    def end(self, process: "subprocess.Popen[bytes]") -> None:
        if process.poll() is None:
            process.kill()
            process.wait()

    def lines(self) -> str:
        return self.log.read_text() if self.log.exists() else ""

    def wait_for(self, condition: Callable[[], bool], within_s: float = WITHIN_S) -> None:
        ends_at = time.monotonic() + within_s
        while not condition():
            self.assertLess(time.monotonic(), ends_at, self.lines())
            time.sleep(0.02)

    def wait_for_line(self, part: str) -> None:
        self.wait_for(lambda: part in self.lines())

    def wait_for_line_or_end(self, part: str, process: "subprocess.Popen[bytes]") -> None:
        self.wait_for(lambda: part in self.lines() or process.poll() is not None)

    def wait_until_serving(self, process: "subprocess.Popen[bytes]") -> None:
        """Wait until the node answers; fail if it ended before."""
        self.wait_for(lambda: self.is_serving() or process.poll() is not None)
        self.assertIsNone(process.poll(), self.lines())

    def is_serving(self) -> bool:
        """Return whether the node answers; a path that it does not know is enough."""
        try:
            with socket.create_connection((self.host, 7103), 2.0) as connection:
                connection.sendall(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 404")
        except OSError:
            return False

    def assert_stops(self, process: "subprocess.Popen[bytes]") -> None:
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(WITHIN_S), 0)

    def hold(self, kind: socket.SocketKind, port: int) -> socket.socket:
        """Bind a port of the node, as a former process does that is not gone yet."""
        holder = socket.socket(socket.AF_INET, kind)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((self.host, port))
        if kind is socket.SOCK_STREAM:
            holder.listen()
        self.addCleanup(holder.close)
        return holder


class AddressTest(StartCase):
    def test_node_waits_for_an_address_that_is_still_in_use(self) -> None:
        for kind, port in ((socket.SOCK_DGRAM, 7104), (socket.SOCK_STREAM, 7100)):
            with self.subTest(kind):
                self.log.unlink(missing_ok=True)
                holder = self.hold(kind, port)
                process = self.start()
                self.wait_for_line_or_end("E108", process)
                time.sleep(0.5)
                self.assertIsNone(process.poll(), self.lines())
                holder.close()
                self.wait_for(self.is_serving)
                self.assertEqual(self.lines().count("E108"), 1)
                self.assert_stops(process)

    def test_stop_while_an_address_is_in_use_ends_with_0_and_serves_nothing(self) -> None:
        self.hold(socket.SOCK_STREAM, 7100)
        process = self.start()
        self.wait_for_line_or_end("E108", process)
        self.assert_stops(process)
        self.assertNotIn("E101", self.lines())
        self.assertNotIn("Traceback", self.lines())


class SettingsFileTest(StartCase):
    def test_node_waits_for_settings_that_are_missing_or_half_written(self) -> None:
        for text in (None, "", self.text[:100], self.text[:-90]):
            with self.subTest(text):
                self.log.unlink(missing_ok=True)
                self.settings.unlink(missing_ok=True)
                if text is not None:
                    self.settings.write_text(text)
                process = self.start()
                self.wait_for_line_or_end("E109", process)
                self.settings.write_text(self.text)
                self.wait_for(self.is_serving)
                self.assert_stops(process)

    def test_settings_with_findings_end_the_start_after_a_while(self) -> None:
        self.settings.write_text(self.text + "unknown = 1\n")
        process = self.start()
        self.assertEqual(process.wait(WITHIN_S), 2)
        self.assertIn("unknown", self.lines().splitlines()[-1])

    def test_reload_of_settings_that_are_gone_changes_nothing(self) -> None:
        process = self.start()
        self.wait_for(self.is_serving)
        self.settings.unlink()
        process.send_signal(signal.SIGHUP)
        self.wait_for_line("E106")
        self.assertTrue(self.is_serving())
        self.assert_stops(process)


class SignalTest(StartCase):
    def test_stop_before_the_event_loop_runs_ends_with_0(self) -> None:
        self.settings.unlink()
        process = self.start()
        self.wait_for_line_or_end("E109", process)
        self.assert_stops(process)

    def test_hangup_and_broken_pipe_signals_during_the_start_and_after_end_nothing(self) -> None:
        self.settings.unlink()
        process = self.start()
        self.wait_for_line("E109")
        for _ in range(5):
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGPIPE)
            time.sleep(0.02)
        self.settings.write_text(self.text)
        self.wait_for(self.is_serving)
        for _ in range(5):
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGPIPE)
            time.sleep(0.02)
        self.wait_for_line("E106")
        self.assertTrue(self.is_serving())
        self.assert_stops(process)


class StandardStreamTest(StartCase):
    def test_node_serves_with_closed_standard_streams(self) -> None:
        for redirections in (">&-", "<&- >&- 2>&-", '>&- 2> "$LOG"'):
            with self.subTest(redirections):
                process = self.start(redirections)
                self.wait_until_serving(process)
                process.send_signal(signal.SIGHUP)
                time.sleep(0.2)
                self.assertTrue(self.is_serving())
                self.assert_stops(process)

    def test_node_serves_on_after_the_reader_of_its_log_is_gone(self) -> None:
        read_end, write_end = os.pipe()
        process = subprocess.Popen(
            [sys.executable, str(LAUNCHER)],
            stdout=write_end,
            stderr=write_end,
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT / "src"),
                "MOLEDALE_NODE_FILE": str(self.settings),
            },
        )
        self.addCleanup(self.end, process)
        os.close(write_end)
        os.close(read_end)
        self.wait_until_serving(process)
        for _ in range(5):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        self.assertTrue(self.is_serving())
        self.assert_stops(process)


class EventLoopTest(StartCase):
    def replace_uvloop(self) -> str:
        """Return a path on which uvloop can't be loaded."""
        (self.folder / "uvloop.py").write_text('raise ImportError("wrong ELF class")')
        return f"{self.folder}:{ROOT / 'src'}"

    def test_node_serves_where_uvloop_cannot_be_loaded(self) -> None:
        process = self.start(PYTHONPATH=self.replace_uvloop())
        self.wait_until_serving(process)
        self.assertIn("E114", self.lines())
        self.assert_stops(process)


class DescriptorTest(StartCase):
    def assert_survives_running_out(self, process: "subprocess.Popen[bytes]") -> None:
        self.wait_until_serving(process)
        connections = []
        for _ in range(120):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((self.host, 7100))
            connections.append(connection)
        time.sleep(2.0)
        self.assertIsNone(process.poll(), self.lines())
        for connection in connections:
            connection.close()
        self.wait_until_serving(process)
        self.assertIn("Too many open files", self.lines())
        self.assertLess(len(self.lines()), 20_000)
        self.assert_stops(process)

    def test_node_that_ran_out_of_descriptors_says_so_and_serves_again(self) -> None:
        self.assert_survives_running_out(self.start(limits="ulimit -n 60;"))

    def test_node_on_the_loop_of_asyncio_does_too(self) -> None:
        (self.folder / "uvloop.py").write_text('raise ImportError("wrong ELF class")')
        path = f"{self.folder}:{ROOT / 'src'}"
        self.assert_survives_running_out(self.start(limits="ulimit -n 60;", PYTHONPATH=path))


if __name__ == "__main__":
    unittest.main()
