"""What the daemons do before they can serve: wait for their settings, and report findings."""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from result import Err, Result

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
