"""Typed messages between the tasks of a node."""

from dataclasses import dataclass

from moledale.servers.types import LoadReport


@dataclass(frozen=True, slots=True)
class HeadHint:
    """A peer has a bundle version; `confirmed_ago_s` is how long ago the table confirmed it."""

    version: int
    confirmed_ago_s: float | None
    peer: str


@dataclass(frozen=True, slots=True)
class ServerReported:
    """A load report arrived; `max_age_s` is how old it is at the most."""

    report: LoadReport
    max_age_s: float


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A server leaves, whichever source told of it; `seconds_left` may be unknown."""

    server: str
    seconds_left: float | None
    source: str


@dataclass(frozen=True, slots=True)
class ServerGone:
    """A server isn't there any more."""

    server: str
    detail: str


ServerMessage = ServerReported | ServerLeaving | ServerGone
