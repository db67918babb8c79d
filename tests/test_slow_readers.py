"""A planned stop waits for callers that read their responses slowly."""

import asyncio
import socket
import unittest

import msgspec

from moledale.clock import monotonic
from tests.gateway_world import API_KEY, Arrival, answer, read_answer, request_bytes
from tests.test_gateway_nodes import BOUNDS, Cluster, ready, run_on_cluster, wait_until

BODY_BYTES = 1_000_000
RECEIVE_BUFFER_BYTES = 8_192
SEGMENT_BYTES = 1_400
STOP_S = 6.0
READ_AFTER_S = 4.0
"""Later than a node without any request ends its stop."""


async def answer_long(
    arrival: Arrival, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send a long answer."""
    writer.write(answer(arrival, b"x" * BODY_BYTES))


async def connect_slowly(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with a small receive buffer, so that most of an answer waits at its sender."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)


class SlowReaderTest(unittest.TestCase):
    def test_planned_stop_cuts_no_response_that_its_caller_has_not_read_yet(self) -> None:
        async def work(cluster: Cluster) -> None:
            cluster.backend.script = answer_long
            node = await cluster.start("n1")
            await wait_until(ready(node))
            reader, writer = await connect_slowly(node.settings.node.callers)
            headers = {"Authorization": f"Bearer {API_KEY}", "Deadline-Ms": "9000"}
            writer.write(request_bytes("/check/", headers=headers))
            await wait_until(lambda: node.forwarder.handled == 1)
            await wait_until(lambda: not node._caller_listener.busy())
            began = monotonic()
            stopping = cluster.stop("n1")
            stopping.add_done_callback(lambda _: end_process(cluster))
            await asyncio.sleep(READ_AFTER_S)
            got = await read_answer(reader)
            self.assertTrue(got.whole, len(got.body))
            await stopping
            self.assertLess(monotonic() - began, STOP_S)
            writer.close()

        run_on_cluster(work, msgspec.structs.replace(BOUNDS, stop_s=STOP_S))


def end_process(cluster: Cluster) -> None:
    """Drop what the node's process holds, as its end does."""
    for connection in list(cluster.nodes["n1"]._caller_listener.connections):
        if connection._transport is not None:
            connection._transport.abort()


if __name__ == "__main__":
    unittest.main()
