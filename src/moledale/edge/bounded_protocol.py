"""The HTTP protocol of the caller interface, with a bound on what callers send beside bodies."""

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from moledale.http_overhead import OverheadMeter


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuses a request whose head, chunk sizes or trailers have too many bytes to ever end."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self._overhead = OverheadMeter()
        self._body_bytes = 0

    def on_message_begin(self) -> None:
        """Count anew for each request."""
        self._overhead = OverheadMeter()
        super().on_message_begin()

    def on_body(self, body: bytes) -> None:
        """Count a part of the body."""
        self._body_bytes += len(body)
        super().on_body(body)

    def data_received(self, data: bytes) -> None:
        """Parse data of the caller, and close the connection if it may never end."""
        if self.transport.is_closing():
            return
        overhead, body_before = self._overhead, self._body_bytes
        super().data_received(data)
        if self._overhead is not overhead:
            # A request began in this data, of which only a part is its own.
            return
        overhead.record(len(data), self._body_bytes - body_before)
        if overhead.is_exceeded and not self.transport.is_closing():
            self.send_400_response("The head or the framing of the request is too long.")
