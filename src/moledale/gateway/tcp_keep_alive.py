"""TCP keep-alive of connections that this node opens.

A connection may fall silent for good without a reset. An idle one shows that only when a request is
lost on it, and one that waits for an answer only at the request's deadline. Probes by the kernel
find both, and need no answer of the server's program.
"""

import socket
from typing import Protocol

IDLE_S = 1
"""Time without any packet of the other side before the first probe."""

INTERVAL_S = 1
"""Time between two probes."""

PROBES = 2
"""Probes without an answer after which the connection counts as lost. A program that stands still
does not matter, since the kernel answers for it."""


class SocketOptions(Protocol):
    """A socket, or what an event loop returns in its place."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set an option."""
        ...


def enable_keep_alive(sock: SocketOptions) -> None:
    """Make the kernel close a connection whose other side sends nothing for about 3 s."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    # If it is set, as by some libraries, it overrides the number of probes.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
