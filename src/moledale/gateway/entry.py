"""Control requests of callers and the platform to a node; dialects implement their wire format."""

from enum import StrEnum
from typing import Protocol

import msgspec

from moledale.gateway.messages import Headers, RequestHead


class ControlRequestKind(StrEnum):
    """What a control request asks for."""

    READY = "ready"
    ADDRESSES = "addresses"


class ControlRequest(msgspec.Struct, frozen=True):
    """A parsed control request; `hall` is that of the sender, empty if it was not given."""

    kind: ControlRequestKind
    hall: str = ""


class EntryDialect(Protocol):
    """Parses control requests and encodes their answers."""

    def parse_control_request(self, head: RequestHead) -> ControlRequest | None:
        """Return the control request, or None for any other request."""
        ...

    def addresses(self, addresses: list[str], ttl_s: float) -> tuple[Headers, bytes]:
        """Return headers and body of an answer that lists the addresses to use."""
        ...
