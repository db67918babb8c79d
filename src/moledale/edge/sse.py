"""Encodes answers as server-sent events or as one JSON body."""

from collections.abc import AsyncIterator

import msgspec

from moledale.http_fields import parse_decimal
from moledale.node.streams import GenerationRequest, StreamRecord


class Usage(msgspec.Struct, frozen=True):
    """Token counts of an answer, under the field names of the OpenAI API."""

    completion_tokens: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    attempts: int = 1


DONE = b"data: [DONE]\n\n"


def event_id(request_id: str, index: int) -> str:
    """Return the id of the event with the token at `index`."""
    return f"{request_id}.{index}"


def resume_index(request_id: str, last_event_id: str) -> int | None:
    """Return the token index to resume at, or None if the id isn't one of this stream."""
    stream_id, _, index = last_event_id.rpartition(".")
    number = parse_decimal(index)
    if stream_id != request_id or number is None:
        return None
    return number + 1


async def events(record: StreamRecord, start: int) -> AsyncIterator[bytes]:
    """Yield the events of a stream from token `start`; the last is `[DONE]`, `error` or `moved`."""
    prefix, suffix = _event_affixes(record)
    request_id = record.request.id
    encode = msgspec.json.encode
    async for position, tokens in record.follow(start):
        yield b"".join(
            b"id: %s.%d\ndata: %s%s%s\n\n"
            % (request_id.encode(), position + offset, prefix, encode(token), suffix)
            for offset, token in enumerate(tokens)
        )
    yield _final_event(record)


def encode_completion(
    request: GenerationRequest, tokens: list[str], reason: str, usage: Usage
) -> bytes:
    """Return the JSON body of a finished completion or chat completion."""
    text = "".join(tokens)
    choice: dict[str, object] = {"index": 0, "finish_reason": reason}
    if request.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode({**_common_fields(request, ""), "choices": [choice], "usage": usage})


def usage_of(record: StreamRecord) -> Usage:
    """Return the token counts of an answer over all its attempts."""
    return Usage(
        len(record.tokens),
        record.cached_tokens + record.computed_tokens,
        record.cached_tokens,
        record.attempts,
    )


def _event_affixes(record: StreamRecord) -> tuple[bytes, bytes]:
    """Return the constant parts of an event's data before and after the token."""
    fields = msgspec.json.encode(_common_fields(record.request, ".chunk"))[:-1]
    if record.request.chat:
        return (
            fields + b',"choices":[{"index":0,"delta":{"content":',
            b'},"finish_reason":null}]}',
        )
    return fields + b',"choices":[{"index":0,"text":', b',"finish_reason":null}]}'


def _common_fields(request: GenerationRequest, object_suffix: str) -> dict[str, object]:
    """Return the fields that whole answers and events share.

    `object_suffix` is appended to the `object` field of chats, which differs between the two.
    """
    object_type = f"chat.completion{object_suffix}" if request.chat else "text_completion"
    return {
        "id": request.id,
        "object": object_type,
        "created": request.created_at,
        "model": request.model,
    }


def _final_event(record: StreamRecord) -> bytes:
    """Return the final event: the error, the address that the stream moved to, or the end."""
    if record.problem is not None:
        return b"event: error\ndata: %s\n\n" % record.problem.body(record.request.id)
    if record.successor is not None:
        moved = {
            "address": record.successor,
            "resume": f"http://{record.successor}/v1/streams/{record.request.id}",
        }
        return b"event: moved\ndata: %s\n\n" % msgspec.json.encode(moved)
    choice: dict[str, object] = {"index": 0, "finish_reason": record.reason}
    choice["delta" if record.request.chat else "text"] = {} if record.request.chat else ""
    chunk = {
        **_common_fields(record.request, ".chunk"),
        "choices": [choice],
        "usage": usage_of(record),
    }
    return b"data: %s\n\n%s" % (msgspec.json.encode(chunk), DONE)
