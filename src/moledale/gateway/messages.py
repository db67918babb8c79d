"""Types that the parts of a gateway node exchange."""

from enum import StrEnum

import msgspec

Headers = list[tuple[bytes, bytes]]

MAX_LOGGED_PARTS = 8
MAX_LOGGED_ID_CHARS = 32
"""Parts of a prompt in a log line, and characters of the id of each."""

EVENT_STREAM = b"text/event-stream"
"""Media type of a series of server-sent events."""


class RequestHead(msgspec.Struct):
    """The request line and headers of a caller's request, as received."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def bodiless(self) -> bool:
        """Return whether the answer to this request has no body (HEAD)."""
        return self.method == b"HEAD"

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its lower-case name; None if it is missing."""
        return first_header(self.headers, name)


class Framing(StrEnum):
    """What marks the end of an answer's body (RFC 9112, 6.3).

    `CLOSE`: only the end of the connection, so a body that broke off may look complete.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class AnswerHead(msgspec.Struct):
    """The status and headers of a server's answer, as received, and how its body is framed."""

    status: int
    headers: Headers
    framing: Framing = Framing.LENGTH

    @property
    def may_be_events(self) -> bool:
        """Return whether the body is a series of events, unless the answer states another type."""
        return self.media_type in (None, EVENT_STREAM)

    @property
    def media_type(self) -> bytes | None:
        """Return the type of the body without its parameters, None if it is not stated."""
        stated = self.get(b"content-type")
        return None if stated is None else stated.partition(b";")[0].strip().lower()

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its lower-case name; None if it is missing."""
        return first_header(self.headers, name)


def first_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given its lower-case name; None if it is missing."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that other requests may share, with its length in tokens."""

    id: str
    tokens: int


class Placed(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a node placed on a server, and the node's load there including it.

    `work` is the prefill work of this prompt; `running` and `prefill` are totals of the node's
    requests on the server. `claim` is the memory and urgency of this request, 0 if not counted (see
    `scheduling.engine_memory.pack_placed`).
    """

    server: str
    running: int
    prefill: int
    parts: tuple[PromptPart, ...]
    work: int = 0
    claim: int = 0


class RequestFacts(msgspec.Struct, frozen=True):
    """Metadata of a request, independent of the names of its headers.

    `key` is the API key, `deadline_s` the time left until the caller's deadline, `parts` are the
    shareable parts of the prompt, and `resumed_after` is the id of the last event that the caller
    received of a stream that it resumes. `resumes` is the id of the request that brought the first
    event of that stream. `hint_tokens` is the caller's estimate of the tokens of the answer, 0
    without one.
    """

    id: str = ""
    key: str = ""
    deadline_s: float | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resumed_after: str = ""
    hint_tokens: int = 0
    resumes: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts of the prompt that other requests may have: all but the last one."""
        return self.parts[:-1]

    @property
    def logged_parts(self) -> list[str]:
        """Return the ids of the first shared parts, for log lines."""
        return [part.id[:MAX_LOGGED_ID_CHARS] for part in self.shared_parts[:MAX_LOGGED_PARTS]]

    @property
    def resumed(self) -> bool:
        """Return whether the caller resumes a stream of which it has events."""
        return bool(self.resumed_after or self.resumes)

    @property
    def tokens(self) -> int:
        """Return the number of tokens that count against a rate limit."""
        return self.prompt_tokens + self.answer_tokens


class ServerStatement(msgspec.Struct, frozen=True):
    """What an answer states about its server, which applies to later requests too.

    `leaving` is set if the server terminates soon. `retry_after_s` is None if the answer states no
    readable time. `limit_per_s` is the number of requests per second that the server accepts from
    all nodes together, None if it states no limit; `limit_unreadable` is set if the stated limit
    can't be parsed. `max_rejections` is how many requests the server can reject within a second;
    one more ends it. It is None if the server states none.
    """

    leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    limit_unreadable: bool = False
    max_rejections: int | None = None


class AnswerFacts(msgspec.Struct, frozen=True):
    """Metadata of an answer, independent of the names of its headers.

    `stamped` is set if a backend server marked the answer as its own, `not_run` if the request was
    not executed, and `closes` if the server closes the connection after it. `keep_alive_s` is for
    how long the server keeps an idle connection open, None if it does not state it.
    """

    request_id: str | None
    stamped: bool
    not_run: bool
    keep_alive_s: float | None
    closes: bool
    statement: ServerStatement = ServerStatement()


class AttemptFacts(msgspec.Struct, frozen=True):
    """Metadata that a node adds to a request when it sends it to a server.

    `remaining_s` is the time left until the deadline. A stream is resumed after the event
    `after_event`, and continues a run of another server given by `continued_from`. `fetch_from` is
    the address of a server from which to fetch the cached prefix of the prompt.
    """

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

    `id` names one incarnation of the server: after a restart it has another id, and nothing known
    about the former incarnation applies to it. `leaves_s` is the time until it terminates, if
    known, and `version` the version of its software.
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
    """An error answer made by a node itself; with `retry_after_s` the request has not run.

    `unreachable` is set if the request could not be sent to any server from this node.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    request: str = ""
    unreachable: bool = False


class Caller(msgspec.Struct):
    """The account and priority of a request; both may be None on a public route."""

    account: str | None
    priority: int | None


class InboundRequest(msgspec.Struct):
    """A complete request of a caller; `arrived_at` is on the monotonic clock.

    `closing` is set if the connection is to be closed after the answer. `relayed` is set if the
    request came from a peer, which has charged it to its account.
    """

    head: RequestHead
    body: bytes
    arrived_at: float
    closing: bool = False
    relayed: bool = False
    context: dict[str, object] = msgspec.field(default_factory=dict)
