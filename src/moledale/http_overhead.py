"""Bound on the bytes of an HTTP message that are no body: heads, chunk sizes, trailers.

A peer in trouble may send such bytes without end. Parsers keep some of them, and none ever makes
the message complete.
"""

MAX_OVERHEAD_BYTES = 65_536
"""Bytes of a message that may be no body, with interim answers: more than any sound head has."""

OVERHEAD_PER_BODY_BYTE = 16
"""Further such bytes for each byte of the body. A chunk of one byte has six."""


class OverheadMeter:
    """Counts the bytes of one message that are no body."""

    def __init__(self, max_bytes: int = MAX_OVERHEAD_BYTES) -> None:
        self._left = max_bytes

    def record(self, received: int, body: int) -> None:
        """Record bytes that were received, and how many of them are body."""
        self._left -= received - body - OVERHEAD_PER_BODY_BYTE * body

    @property
    def is_exceeded(self) -> bool:
        """Return whether more bytes were no body than a sound message has."""
        return self._left < 0
