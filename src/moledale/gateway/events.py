"""Cutting a stream of server-sent events into whole events."""

END_OF_EVENT = b"\n\n"


class EventSplitter:
    """Holds back the part of an event that has not come whole, and knows the last whole id."""

    def __init__(self, after: str = "") -> None:
        self.last_id = after
        self.event_count = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are at hand now."""
        data = self._partial + data
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            self._partial = data
            return b""
        whole, self._partial = data[: end + 2], data[end + 2 :]
        self._record_events(whole)
        return whole

    def flush(self) -> bytes:
        """Return what is left when the stream has ended whole."""
        rest, self._partial = self._partial, b""
        return rest

    def discard_partial(self) -> None:
        """Drop the torn part of an event, since the stream goes on elsewhere."""
        self._partial = b""

    def _record_events(self, whole: bytes) -> None:
        self.event_count += whole.count(END_OF_EVENT)
        begin = whole.rfind(b"\nid:")
        if begin < 0:
            if not whole.startswith(b"id:"):
                return
            begin = -1
        line = whole[begin + 4 : whole.find(b"\n", begin + 1)]
        self.last_id = line.strip().decode("latin-1")
