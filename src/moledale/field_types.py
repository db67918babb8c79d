"""Types of fields that others state, bounded so that each value can be used and sent on."""

from typing import Annotated

import msgspec

MAX_TEXT_CHARS = 255
"""Longest id or name. Several of them have to fit a datagram together."""

MAX_LONG_TEXT_CHARS = 16_384
"""Longest path or API key, that of the head of a request by default."""

MAX_SLOTS = 1_000_000
"""Most slots of a server that are accepted: sums over all servers stay exact."""

MAX_SERVERS = 1_000_000
MAX_PRIORITY = 1_000_000

MAX_COUNT = 1_000_000_000_000
"""Largest count that is accepted. Sums of many still fit 64 bits, as messages to peers require."""

MAX_TIME_MS = 1e15
"""Longest time that is accepted, 31,000 years: multiples of it stay finite and fit 64 bits."""

Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
SlotCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
ServerCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SERVERS)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_COUNT))]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_MS / 1000)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS, pattern=r"\A[^\x00-\x1f\x7f]*\Z")]
LongText = Annotated[str, msgspec.Meta(max_length=MAX_LONG_TEXT_CHARS)]
HeaderText = Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT_CHARS, pattern=r"\A[ -~\u00a0-\u00ff]*\Z")
]
"""Text that is sent in headers: it has no control characters and only those of Latin-1."""

Address = Annotated[str, msgspec.Meta(max_length=261, pattern=r"\A[^:\s]+:[1-9][0-9]{0,4}\Z")]
Name = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARS, pattern=r"\A[^\x00-\x1f\x7f]*\Z"),
]
ServerId = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARS, pattern=r"\A[ -\"$-~\u00a0-\u00ff]*\Z"),
]
"""Text that is sent in headers, without the separator of incarnations (#)."""

UsableSlotCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
