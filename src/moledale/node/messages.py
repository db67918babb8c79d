"""Typed messages between the tasks of a node."""

from dataclasses import dataclass

from moledale.servers.types import LoadReport


@dataclass(frozen=True, slots=True)
class HeadHint:
    """A peer's bundle version, and the seconds since the peer confirmed it as the head."""

    version: int
    confirmed_ago_s: float | None
    peer: str


@dataclass(frozen=True, slots=True)
class ServerReported:
    """A load report arrived; it is at most `max_age_s` old."""

    report: LoadReport
    max_age_s: float


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A server is leaving, as reported by `source`; `seconds_left` is None if unknown."""

    server: str
    seconds_left: float | None
    source: str


@dataclass(frozen=True, slots=True)
class ServerGone:
    """A server is gone, no longer followed, or does not answer.

    With the detail "does not answer" it is still tracked, as it may recover.
    """

    server: str
    detail: str


ServerMessage = ServerReported | ServerLeaving | ServerGone
