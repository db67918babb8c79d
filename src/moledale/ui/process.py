"""What the daemons do before they can serve: wait for their settings, and choose an event loop."""

import asyncio
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

from result import Err, Result

from moledale.faults import describe
from moledale.findings import Finding
from moledale.log import Event, emit

Settings = TypeVar("Settings")

SETTINGS_WAIT_S = 5.0
"""A file of settings that is missing or has findings is read again for this long, since it may be
written just now."""

SETTINGS_INTERVAL_S = 0.1


def await_settings(
    path: Path, load: Callable[[Path], Result[Settings, list[Finding]]]
) -> Result[Settings, list[Finding]]:
    """Return the settings once their file has no findings, or the findings after a while."""
    ends_at = time.monotonic() + SETTINGS_WAIT_S
    logged = False
    while True:
        settings = load(path)
        if not isinstance(settings, Err) or time.monotonic() >= ends_at:
            return settings
        if not logged:
            findings = [str(finding) for finding in settings.err_value]
            emit(Event.SETTINGS_AWAITED, findings=findings, wait_s=SETTINGS_WAIT_S)
            logged = True
        time.sleep(SETTINGS_INTERVAL_S)


def report(findings: list[Finding]) -> None:
    """Write findings to standard error, if it is open."""
    for finding in findings:
        print(finding, file=sys.stderr)


def _make_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop of uvloop, or of asyncio where uvloop can't be loaded."""
    try:
        import uvloop

        loop: asyncio.AbstractEventLoop = uvloop.new_event_loop()
    except Exception as error:
        emit(Event.LOOP_REPLACED, error=describe(error))
        return asyncio.new_event_loop()
    return loop


def run_loop(work: Coroutine[Any, Any, int]) -> int:
    """Run a daemon in an event loop; return its exit code."""
    with asyncio.Runner(loop_factory=_make_loop) as runner:
        return runner.run(work)
