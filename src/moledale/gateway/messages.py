"""Typed messages between the parts of a gateway node."""

import msgspec

Headers = list[tuple[bytes, bytes]]


class RequestHead(msgspec.Struct):
    """The first lines of a caller's request, as they came."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def bodiless(self) -> bool:
        """Say whether the answer has first lines only."""
        return self.method == b"HEAD"

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        return first_header(self.headers, name)


class AnswerHead(msgspec.Struct):
    """The first lines of a server's answer, as they came."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        return first_header(self.headers, name)


def first_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a lower-case header name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that other requests may share; `tokens` is its length."""

    id: str
    tokens: int


class Placed(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a node placed on a server, its `work` there, and what the node has there with
    it."""

    server: str
    running: int
    prefill: int
    parts: tuple[PromptPart, ...]
    work: int = 0


class RequestFacts(msgspec.Struct, frozen=True):
    """What a request says of itself, whatever its headers are called."""

    id: str = ""
    key: str = ""
    deadline_s: float | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resumed_after: str = ""

    @property
    def tokens(self) -> int:
        """Return the tokens that count against a limit."""
        return self.prompt_tokens + self.answer_tokens


class ServerStatement(msgspec.Struct, frozen=True):
    """What an answer says of its server, for all requests that come after.

    With `leaving` the server ends soon. `retry_after_s` is None where the answer states no time
    that can be read. `limit_per_s` are the requests a second that the server takes from all nodes
    together, None if it names no limit; with `limit_unreadable` it names one that can't be read.
    """

    leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    limit_unreadable: bool = False


class AnswerFacts(msgspec.Struct, frozen=True):
    """What an answer says of itself and of its server, whatever its headers are called."""

    request_id: str | None
    stamped: bool
    not_run: bool
    keep_alive_s: float | None
    closes: bool
    statement: ServerStatement = ServerStatement()


class AttemptFacts(msgspec.Struct, frozen=True):
    """What the system adds to a request that it sends to a server."""

    server_id: str
    account: str | None
    remaining_s: float | None
    priority: int | None
    after_event: str = ""
    continued_from: str = ""
    fetch_from: str = ""
    backup_at: str = ""


class Server(msgspec.Struct, frozen=True):
    """A backend server as the platform lists it.

    `id` names one life of it: a server that starts again has another, and nothing that is known of
    the one before holds for it. `leaves_s` is the time it has left, if told, and `version` that of
    its software.
    """

    id: str
    service: str
    address: str
    hall: str
    slots: int
    leaving: bool = False
    spot: bool = False
    leaves_s: float | None = None
    version: str = ""


class Refusal(msgspec.Struct, frozen=True):
    """An answer of the system's own; with `retry_after_s` the request has not run."""

    status: int
    reason: str
    retry_after_s: float | None = None
    request: str = ""


class Caller(msgspec.Struct):
    """Who asks: the account behind a key, or nobody on a public route."""

    account: str | None
    priority: int | None


class InboundRequest(msgspec.Struct):
    """A whole request of a caller; `arrived_at` is on the monotonic clock."""

    head: RequestHead
    body: bytes
    arrived_at: float
    closing: bool = False
    context: dict[str, object] = msgspec.field(default_factory=dict)
