"""The gateway daemon: runs one node with its settings, logging and signal handlers."""

import asyncio
import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path

from result import Err

from moledale.faults import run_step, watch_loop
from moledale.gateway.dialect import Dialect
from moledale.gateway.entry import EntryDialect
from moledale.gateway.node import GatewayNode
from moledale.gateway.outside import CloudOrders, Store
from moledale.gateway.settings import GatewaySettings, load
from moledale.log import Event, emit, log_to_stdout
from moledale.scheduling.stream_runs import Engines
from moledale.ui.process import await_settings, report, run_loop

EXIT_SETTINGS = 2

LEVEL_AT_START = "info"
"""Level of the log until the settings are known."""


def run_gateway(
    path: Path,
    dialect: Dialect,
    entry: EntryDialect,
    store: Callable[[GatewaySettings], Store],
    orders: Callable[[GatewaySettings], CloudOrders],
    engines: Engines,
) -> int:
    """Run a node until SIGTERM and return its exit code; 2 means invalid settings.

    `store` and `orders` create the adapters for the store and the cloud from the settings.
    """
    handler = log_to_stdout(LEVEL_AT_START)
    settings = await_settings(path, load)
    if isinstance(settings, Err):
        report(settings.err_value)
        return EXIT_SETTINGS
    value = settings.ok_value
    handler.level_name = value.log_level.upper()
    node = GatewayNode(value, dialect, entry, store(value), orders(value), engines)
    return run_loop(_run(node, path))


async def _run(node: GatewayNode, path: Path) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    watch_loop(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, run_step, "reload", partial(_reload, node, path))
    # Logged only now, so that this first line shows that the signal handlers are installed.
    emit(Event.STARTING, node=node.settings.node.id, life=node.incarnation)
    return await node.run(stop)


def _reload(node: GatewayNode, path: Path) -> None:
    """Reload the settings; a file with findings changes nothing."""
    settings = load(path)
    if isinstance(settings, Err):
        findings = [str(finding) for finding in settings.err_value]
        emit(Event.RELOADED, node=node.settings.node.id, findings=findings)
        return
    node.reload(settings.ok_value)
    emit(Event.RELOADED, node=node.settings.node.id, findings=[])
