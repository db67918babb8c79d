"""Connections whose other side is gone without a reset are found by TCP keep-alive."""

import socket
import unittest

from moledale.clock import monotonic
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.tcp_keep_alive import IDLE_S, INTERVAL_S, PROBES, enable_keep_alive
from tests.gateway_world import ScriptedServer, answer_ok, run_quietly

CONTACT_S = 3.0
"""Time after the begin of a cut until a node must know of it."""


class KeepAliveTest(unittest.TestCase):
    def test_connections_to_servers_are_probed_by_the_kernel(self) -> None:
        async def work() -> None:
            server = ScriptedServer("s1", answer_ok)
            await server.start()
            connection = await ConnectionPool(monotonic).acquire("s1", server.address)
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1)
            self.assertEqual(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT), PROBES)
            connection.abort()
            server.stop()

        run_quietly(work())

    def test_silent_connection_is_given_up_within_the_contact_time(self) -> None:
        self.assertLessEqual(IDLE_S + PROBES * INTERVAL_S, CONTACT_S)

    def test_user_timeout_of_a_library_does_not_override_the_number_of_probes(self) -> None:
        with socket.socket() as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000)
            enable_keep_alive(sock)
            self.assertEqual(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT), 0)

    def lose_idle_connection(self, error: OSError) -> list[tuple[str, bool]]:
        """Lose an idle connection with an error; return what the pool reports in two sweeps."""
        reports: list[tuple[str, bool]] = []

        async def work() -> None:
            server = ScriptedServer("s1", answer_ok)
            await server.start()
            pool = ConnectionPool(monotonic)
            self.assertTrue(await pool.probe("s1", server.address))
            pool.on_connect = lambda name, connected: reports.append((name, connected))
            (connection,) = pool._idle["s1"]
            assert connection.transport is not None
            connection.connection_lost(error)
            connection.transport.abort()
            pool.sweep()
            pool.sweep()
            self.assertFalse(pool.has_idle("s1"))
            server.stop()

        run_quietly(work())
        return reports

    def test_idle_connection_that_timed_out_is_reported_once_and_not_reused(self) -> None:
        reports = self.lose_idle_connection(TimeoutError(110, "Connection timed out"))
        self.assertEqual(reports, [("s1", False)])

    def test_connection_that_the_server_closed_is_not_reported(self) -> None:
        self.assertEqual(self.lose_idle_connection(ConnectionResetError()), [])


if __name__ == "__main__":
    unittest.main()
