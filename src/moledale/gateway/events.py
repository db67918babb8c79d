"""Splitting of a stream of server-sent events into whole events."""

END_OF_EVENT = b"\n\n"

MAX_EVENT_BYTES = 1_048_576
"""Longest event; engines' events have some hundred bytes."""


class EventTooLong(Exception):
    """A server sends an event that may never end."""


class EventSplitter:
    """Holds back a partial event, counts whole ones, and tracks the id of the last one.

    `after` is the id of the last event that the caller already has.
    """

    def __init__(self, after: str = "") -> None:
        self.last_id = after
        self.event_count = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete with this data; raise `EventTooLong`."""
        data = self._partial + data
        end = data.rfind(END_OF_EVENT)
        if len(data) - max(0, end) > MAX_EVENT_BYTES:
            raise EventTooLong
        if end < 0:
            self._partial = data
            return b""
        whole, self._partial = data[: end + 2], data[end + 2 :]
        self._record_events(whole)
        return whole

    @property
    def partial_bytes(self) -> int:
        """Return the size of the event that is not complete yet."""
        return len(self._partial)

    def discard_partial(self) -> None:
        """Drop the partial event, since its server broke off."""
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
