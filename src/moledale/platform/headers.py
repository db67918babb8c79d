"""The platform's wire format of requests and responses."""

from urllib.parse import parse_qs

import msgspec

from moledale.gateway.entry import ControlRequest, ControlRequestKind
from moledale.gateway.messages import (
    AnswerFacts,
    AnswerHead,
    AttemptFacts,
    Headers,
    PromptPart,
    RequestFacts,
    RequestHead,
    ServerStatement,
)
from moledale.http_fields import (
    HOP_BY_HOP,
    RETRY_AFTER,
    decode_value,
    field_values,
    first_count,
    keep_alive_timeout_s,
    lowest_limit,
    parse_count,
    parse_number,
    request_lines,
    retry_after_s,
    text_or_none,
)
from moledale.platform.entries import platform_id

BEARER_PREFIX = b"bearer "
DEADLINE_HEADER = b"deadline-ms"
RESERVED_HEADERS = frozenset(  # for nodes only; values that callers send are dropped
    {
        b"authorization",
        b"tenant",
        DEADLINE_HEADER,
        b"expect-instance",
        b"request-priority",
        b"kv-from",
        b"kv-fetch",
        b"kv-backup",
        b"hold",
        b"pin-ms",
        b"expect-version",
    }
)
LAST_EVENT_ID_HEADER = b"last-event-id"
LENGTH_HINT_HEADER = "length-hint"
LEAVING_HEADER = "server-leaving"
SERVER_LIMIT_HEADER = "server-limit"
SERVER_BRITTLE_HEADER = "server-brittle"
TRUE_VALUE = "1"


class PlatformHeaders:
    """Implements `Dialect`: reads and writes the headers of callers and servers."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return the facts that the head of a request states; raise ValueError if it is invalid."""
        found = {name.lower(): value for name, value in head.headers}
        prompt, answer = _token_counts(found.get(b"token-count"))
        deadline = parse_number(found.get(DEADLINE_HEADER), "Deadline-Ms")
        return RequestFacts(
            decode_value(found.get(b"request-id")),
            _bearer_token(found.get(b"authorization")),
            None if deadline is None else deadline / 1000,
            prompt,
            answer,
            _prompt_parts(found.get(b"prompt-prefix")),
            decode_value(found.get(LAST_EVENT_ID_HEADER)),
            first_count(head.headers, LENGTH_HINT_HEADER) or 0,
            decode_value(found.get(b"resumes")),
        )

    def attempt_head(self, head: RequestHead, facts: AttemptFacts, length: int) -> bytes:
        """Return the head that is sent to a server, without the caller's own reserved headers."""
        resumes = frozenset({LAST_EVENT_ID_HEADER} if facts.after_event else ())
        lines = request_lines(head, RESERVED_HEADERS | resumes, length)
        if facts.remaining_s is not None:
            lines.append(b"Deadline-Ms: %d" % max(1, int(facts.remaining_s * 1000)))
        lines.append(b"Expect-Instance: " + platform_id(facts.server_id).encode())
        if facts.account is not None:
            lines.append(b"Tenant: " + facts.account.encode())
        if facts.priority is not None:
            lines.append(b"Request-Priority: %d" % min(9, max(0, facts.priority)))
        if facts.after_event:
            lines.append(b"Last-Event-Id: " + facts.after_event.encode())
        if facts.continued_from:
            lines.append(b"Kv-From: " + facts.continued_from.encode())
        if facts.fetch_from:
            lines.append(b"Kv-Fetch: " + facts.fetch_from.encode())
        if facts.backup_at:
            lines.append(b"Kv-Backup: " + facts.backup_at.encode())
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def relay_head(self, head: RequestHead, remaining_s: float, length: int) -> bytes:
        """Return the head that is sent to a peer: the caller's, with the time left as deadline."""
        lines = request_lines(head, frozenset({DEADLINE_HEADER}), length)
        lines.append(b"Deadline-Ms: %d" % max(1, int(remaining_s * 1000)))
        lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return the facts that the head of a server's response states."""
        found = {name.lower(): value for name, value in head.headers}
        request_id = found.get(b"request-id")
        return AnswerFacts(
            text_or_none(request_id),
            b"server-stamp" in found,
            b"not-executed" in found or head.status == 421,
            keep_alive_timeout_s(found.get(b"keep-alive")),
            b"close" in found.get(b"connection", b"").lower(),
            _server_statement(head.headers, text_or_none(found.get(b"date"))),
        )

    def answer_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of a server's response that are relayed to the caller."""
        return [(name, value) for name, value in head.headers if name.lower() not in HOP_BY_HOP]

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of a response of the node's own."""
        headers: Headers = [(b"Content-Type", b"application/json")]
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        return headers


class PlatformEntry:
    """Implements `EntryDialect`: readiness checks and address lookups at a node."""

    def parse_control_request(self, head: RequestHead) -> ControlRequest | None:
        """Return the control request, or None for any other request."""
        path, _, query = head.target.partition(b"?")
        if path == b"/v1/ready":
            return ControlRequest(ControlRequestKind.READY)
        if path == b"/v1/resolve":
            zone = parse_qs(query.decode("latin-1")).get("zone", [""])
            return ControlRequest(ControlRequestKind.ADDRESSES, zone[0])
        return None

    def addresses(self, addresses: list[str], ttl_s: float) -> tuple[Headers, bytes]:
        """Return headers and body of a response with the addresses that a client uses."""
        body = msgspec.json.encode({"addresses": addresses, "ttlS": ttl_s})
        return [(b"Content-Type", b"application/json")], body


def _bearer_token(value: bytes | None) -> str:
    if value is None or not value.lower().startswith(BEARER_PREFIX):
        return ""
    return value[len(BEARER_PREFIX) :].strip().decode("latin-1")


def _token_counts(value: bytes | None) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, answer = value.partition(b",")
    try:
        return parse_count(prompt), parse_count(answer or b"0")
    except ValueError:
        raise ValueError("Token-Count is not two numbers") from None


def _prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(b","):
        name, _, tokens = item.strip().rpartition(b":")
        try:
            parts.append(PromptPart(name.decode("latin-1"), parse_count(tokens)))
        except ValueError:
            raise ValueError("Prompt-Prefix is not a list of ID:TOKENS") from None
    return tuple(parts)


def _server_statement(headers: Headers, date: str | None) -> ServerStatement:
    """Return what a response states about its server."""
    leaving = any(text.strip() == TRUE_VALUE for text in field_values(headers, LEAVING_HEADER))
    retry_s = retry_after_s(field_values(headers, RETRY_AFTER), date)
    limits = field_values(headers, SERVER_LIMIT_HEADER)
    limit = lowest_limit(limits, SERVER_LIMIT_HEADER)
    rejections = lowest_limit(field_values(headers, SERVER_BRITTLE_HEADER), SERVER_BRITTLE_HEADER)
    max_rejections = None if rejections is None else int(rejections)
    return ServerStatement(leaving, retry_s, limit, bool(limits) and limit is None, max_rejections)
