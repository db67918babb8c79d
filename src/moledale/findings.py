"""Findings: what is wrong with something a person wrote, each with its place."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    # The gateway reports findings too and is deployed without this library.
    from pydantic import ValidationError


class Finding(msgspec.Struct, frozen=True):
    """One thing that is wrong: `source` is a file, `path` the dotted key inside it."""

    source: str
    path: str
    message: str

    def __str__(self) -> str:
        place = f"{self.source}: {self.path}" if self.path else self.source
        return f"{place}: {self.message}"


def from_validation(source: str, error: ValidationError) -> list[Finding]:
    """Turn every error of a pydantic validation into a finding."""
    return [
        Finding(
            source, _dotted_path(detail["loc"]), _readable_message(detail["type"], detail["msg"])
        )
        for detail in error.errors(include_url=False, include_context=False)
    ]


def _dotted_path(loc: tuple[int | str, ...]) -> str:
    """Write a location as `accounts[0].name`."""
    path = ""
    for part in loc:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path


def _readable_message(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key"
    if kind == "missing":
        return "required key is missing"
    return message.removeprefix("Value error, ")
