"""The list of tests that fail for a fault which is known and not mended yet."""

from dataclasses import dataclass

MAX_LISTED = 3
"""Faults that may be left red at a time; the next work begins with them."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails, why, and where that is followed."""

    test: str
    cause: str
    issue: str

    def matches(self, failed: str) -> bool:
        """Say whether a failure is of this test; a part of a test counts as it."""
        return failed == self.test or failed.startswith(f"{self.test} ")


def parse_known_red(text: str) -> list[KnownRed]:
    """Read the list: a line each, its three parts parted by `|`; ValueError if it isn't that."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MAX_LISTED:
        raise ValueError(f"{len(lines)} tests are listed as red, {MAX_LISTED} at most may be")
    return [_parse_line(line) for line in lines]


def _parse_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise ValueError(f"not `test | cause | issue`: {line}")
    return KnownRed(*parts)


def all_listed(known: list[KnownRed], failed: list[str]) -> bool:
    """Say whether all that failed is listed."""
    return all(any(each.matches(name) for each in known) for name in failed)


def outcome_text(known: KnownRed, failed: list[str]) -> str:
    """Return the line that tells how a listed test ended."""
    if any(known.matches(name) for name in failed):
        return f"KNOWN RED: {known.test}: {known.cause} ({known.issue})"
    return f"KNOWN RED, but did not fail: {known.test}: take it off the list"
