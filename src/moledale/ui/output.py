"""Output of the command line: tables or JSON on standard output, errors on standard error."""

import os
import sys
from collections.abc import Sequence
from enum import IntEnum

import msgspec

from moledale.findings import Finding

_RED = "\x1b[31m"
_RESET = "\x1b[0m"


class Exit(IntEnum):
    """Exit codes of `moledale`.

    `FINDINGS` also stands for wrong usage; `CONFLICT` means that another roll won, and `UNCERTAIN`
    that a change may have taken effect.
    """

    OK = 0
    FAILED = 1
    FINDINGS = 2
    CONFLICT = 3
    UNCERTAIN = 4


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(header))]
    for row in texts:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_error(message: str) -> None:
    """Print an error to standard error, in red on a terminal unless `NO_COLOR` is set."""
    colour = sys.stderr.isatty() and "NO_COLOR" not in os.environ
    text = f"{_RED}moledale: {message}{_RESET}" if colour else f"moledale: {message}"
    print(text, file=sys.stderr)


def report_findings(findings: Sequence[Finding], as_json: bool) -> Exit:
    """Print every finding and return the exit code for findings."""
    if as_json:
        print_json([{"source": f.source, "path": f.path, "message": f.message} for f in findings])
    for finding in findings:
        print_error(str(finding))
    return Exit.FINDINGS
