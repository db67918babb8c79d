"""Findings: validation errors in files that people write, each with its location."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    # The gateway also reports findings, but is deployed without pydantic.
    from pydantic import ValidationError


class Finding(msgspec.Struct, frozen=True):
    """A validation error: `source` is the file, `path` the dotted key in it."""

    source: str
    path: str
    message: str

    def __str__(self) -> str:
        location = f"{self.source}: {self.path}" if self.path else self.source
        return f"{location}: {self.message}"


def from_validation(source: str, error: ValidationError) -> list[Finding]:
    """Return a finding for each error of a pydantic validation."""
    return [
        Finding(
            source, _dotted_path(detail["loc"]), _readable_message(detail["type"], detail["msg"])
        )
        for detail in error.errors(include_url=False, include_context=False)
    ]


def _dotted_path(loc: tuple[int | str, ...]) -> str:
    """Format a location as a path such as `accounts[0].name`."""
    path = ""
    for part in loc:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path


def _readable_message(kind: str, message: str) -> str:
    """Return the message for a pydantic error of type `kind`."""
    if kind == "extra_forbidden":
        return "unknown key"
    if kind == "missing":
        return "required key is missing"
    return message.removeprefix("Value error, ")
