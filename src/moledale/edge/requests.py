"""Parses and validates requests of callers: bodies of bounded size, headers and known fields."""

import uuid
from dataclasses import dataclass
from typing import Annotated

import msgspec
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request

from moledale import problems
from moledale.bundle.schema import Account, Bundle, Priority
from moledale.decoding import decode_json
from moledale.http_fields import MAX_LOGGED_CHARS, parse_decimal
from moledale.node.node import Node
from moledale.node.streams import GenerationRequest
from moledale.problems import Problem

MAX_SESSION_CHARS = 200
DEFAULT_MAX_TOKENS = 256
MAX_DEADLINE_MS = 24 * 3600 * 1000
PRIORITY_HEADER = "moledale-priority"
SESSION_HEADER = "moledale-session"
DEADLINE_HEADER = "moledale-deadline-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MaxTokens = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class CompletionBody(msgspec.Struct, frozen=True):
    """The supported fields of a completion request; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """The supported fields of a chat completion request; unknown fields are ignored."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False


@dataclass(frozen=True, slots=True)
class ParsedGeneration:
    """A validated generation request, and how its caller wants the answer."""

    request: GenerationRequest
    stream: bool
    respond_async: bool
    idempotency_key: str | None


async def read_body(request: Request, max_bytes: int) -> Result[bytes, Problem]:
    """Return the body, or a problem if it exceeds `max_bytes` or the caller disconnects."""
    parts: list[bytes] = []
    size = 0
    try:
        async for part in request.stream():
            size += len(part)
            if size > max_bytes:
                return Err(problems.too_large(f"the body is over {max_bytes} bytes"))
            parts.append(part)
    except ClientDisconnect:
        return Err(problems.bad_request("the body was cut off"))
    return Ok(b"".join(parts))


def bearer(request: Request) -> str:
    """Return the bearer token, or an empty string."""
    scheme, _, value = request.headers.get("authorization", "").partition(" ")
    return value.strip() if scheme.lower() == "bearer" else ""


def authenticate(node: Node, request: Request) -> Result[Account, Problem]:
    """Return the account of the caller's key, or a problem if the key is unknown."""
    account = node.accounts.find(bearer(request))
    if account is None:
        return Err(problems.unauthorized("send a known key as Authorization: Bearer"))
    return Ok(account)


def parse_generation(
    node: Node, account: Account, request: Request, body: bytes, chat: bool
) -> Result[ParsedGeneration, Problem]:
    """Validate a completion or chat completion against the bundle in force."""
    try:
        if chat:
            chat_body = decode_json(body, ChatBody)
            prompt = "\n".join(f"{m.role}: {m.content}" for m in chat_body.messages)
            model, max_tokens, stream = chat_body.model, chat_body.max_tokens, chat_body.stream
        else:
            completion = decode_json(body, CompletionBody)
            prompt = completion.prompt
            model, max_tokens, stream = completion.model, completion.max_tokens, completion.stream
    except msgspec.DecodeError as error:
        return Err(problems.bad_request(f"body: {error}"))
    bundle = node.bundle()
    if bundle is None or bundle.model(model) is None:
        return Err(problems.not_found(f"model or adapter {model!r} is not in the bundle"))
    respond_async = "respond-async" in request.headers.get("prefer", "").lower()
    parsed = parse_priority(account, request, respond_async)
    if isinstance(parsed, Err):
        return parsed
    priority = parsed.ok_value
    deadline = _deadline_s(bundle, request, priority)
    if isinstance(deadline, Err):
        return deadline
    session = request.headers.get(SESSION_HEADER, "")
    if len(session) > MAX_SESSION_CHARS:
        return Err(problems.bad_request(f"{SESSION_HEADER}: over {MAX_SESSION_CHARS} characters"))
    now = node.clock.wall()
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    generation = GenerationRequest(
        f"req_{node.id}_{uuid.uuid4().hex}",
        account.name,
        model,
        prompt,
        max_tokens,
        priority,
        # Prefixed with the account, so that accounts never share a session.
        f"{account.name}/{session}" if session else "",
        now + deadline.ok_value,
        int(now),
        chat,
        key is None,
    )
    return Ok(ParsedGeneration(generation, stream, respond_async, key))


def parse_priority(
    account: Account, request: Request, respond_async: bool
) -> Result[Priority, Problem]:
    """Return the priority that a request states, or the default.

    The default is `can-wait` for asynchronous requests, else `normal`. An account may use only the
    priorities that the bundle grants it.
    """
    default = Priority.CAN_WAIT if respond_async else Priority.NORMAL
    text = request.headers.get(PRIORITY_HEADER, default.value)
    if text not in list(Priority):
        known = ", ".join(priority.value for priority in Priority)
        return Err(problems.bad_request(f"{PRIORITY_HEADER}: {text!r} is none of {known}"))
    priority = Priority(text)
    if priority not in account.priorities:
        return Err(problems.forbidden(f"account {account.name!r} may not use priority {text}"))
    return Ok(priority)


def _deadline_s(bundle: Bundle, request: Request, priority: Priority) -> Result[float, Problem]:
    """Return the seconds until the deadline: the stated ones, or the priority's default."""
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return Ok(bundle.target(priority).deadline_s)
    deadline_ms = parse_decimal(text)
    if deadline_ms is None or not 0 < deadline_ms <= MAX_DEADLINE_MS:
        shown = text[:MAX_LOGGED_CHARS]
        detail = f"{DEADLINE_HEADER}: {shown!r} is not a number of 1 to {MAX_DEADLINE_MS}"
        return Err(problems.bad_request(detail))
    return Ok(deadline_ms / 1000)
