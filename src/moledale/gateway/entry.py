"""The small questions that callers and the platform ask a node; how they are spelled is outside."""

from enum import StrEnum
from typing import Protocol

import msgspec

from moledale.gateway.messages import Headers, RequestHead


class ControlRequestKind(StrEnum):
    """What a question is about."""

    READY = "ready"
    ADDRESSES = "addresses"


class ControlRequest(msgspec.Struct, frozen=True):
    """A question, and the hall of the one who asks if it was told."""

    kind: ControlRequestKind
    hall: str = ""


class EntryDialect(Protocol):
    """Reads questions and writes their answers."""

    def parse_control_request(self, head: RequestHead) -> ControlRequest | None:
        """Return the question, or None for any other request."""
        ...

    def addresses(self, addresses: list[str], ttl_s: float) -> tuple[Headers, bytes]:
        """Return headers and body that tell which addresses to use."""
        ...
