"""`moledaled`: the daemon of an entry instance."""

import argparse
import asyncio
import random
import signal
import socket
import sys
from functools import partial
from pathlib import Path

from result import Err

from moledale import __version__
from moledale.backing.http import http_platform
from moledale.clock import SystemClock
from moledale.edge.app import bind_listener, make_app, make_server
from moledale.faults import watch_loop
from moledale.findings import Finding
from moledale.http_client import make_client
from moledale.listening import bind_patiently
from moledale.log import Event, emit, log_to_stderr
from moledale.node.node import Node
from moledale.peers.auth import PeerTokens
from moledale.peers.grpc_link import GrpcLink
from moledale.servers.http import HttpModelServers, HttpPlainServices
from moledale.settings import Secrets, Settings, load, read_secrets
from moledale.ui.process import report, run_loop

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM and return its exit code; 2 means invalid settings."""
    parser = argparse.ArgumentParser(prog="moledaled", description="Entry node of moledale.")
    parser.add_argument("--settings", required=True, type=Path, metavar="FILE")
    parser.add_argument("--version", action="version", version=f"moledaled {__version__}")
    options = parser.parse_args(arguments)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = load(options.settings)
    if isinstance(settings, Err):
        return _report(settings.err_value)
    secrets = read_secrets(str(options.settings), settings.ok_value)
    if isinstance(secrets, Err):
        return _report(secrets.err_value)
    log_to_stderr(settings.ok_value.log.level)
    return run_loop(_run(settings.ok_value, secrets.ok_value))


def _report(findings: list[Finding]) -> int:
    report(findings)
    return EXIT_SETTINGS


async def _bind(address: str) -> socket.socket:
    return bind_listener(address)


async def _run(settings: Settings, secrets: Secrets) -> int:
    """Serve until a signal comes or the listener ends, then drain and stop."""
    emit(Event.STARTING, node=settings.node.id, hall=settings.node.hall, version=__version__)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    watch_loop(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        sock = await bind_patiently(settings.node.listen, partial(_bind, settings.node.listen))
    except OSError as error:
        return _report([Finding("settings", "node.listen", f"can't be bound: {error}")])
    platform_client, server_client = make_client(), make_client()
    clock = SystemClock()
    tokens = PeerTokens(settings.node.id, secrets.peer, clock)
    node = Node(
        settings,
        secrets,
        http_platform(platform_client, settings.platform),
        HttpModelServers(server_client),
        HttpPlainServices(),
        GrpcLink(settings.node.id, settings.node.peer_listen, tokens),
        clock,
        random.Random(),
    )
    peer_port = await node.start()
    server = make_server(make_app(node))
    serving = asyncio.create_task(server.serve(sockets=[sock]))
    emit(Event.LISTENING, port=sock.getsockname()[1], peer_port=peer_port)
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait([stopping, serving], return_when=asyncio.FIRST_COMPLETED)
    await node.drain()
    server.should_exit = True
    await serving
    await node.stop()
    for client in (platform_client, server_client):
        await client.aclose()
    emit(Event.STOPPED, node=settings.node.id)
    return EXIT_OK if stop.is_set() else EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
