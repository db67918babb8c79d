"""Decoding of JSON, MessagePack and TOML that others wrote.

The libraries raise further errors for some inputs, such as RecursionError for deep nesting, which
would end the task that reads them. Here each of them is a ValueError.
"""

import math
import re
import tomllib
from typing import Protocol, TypeVar

import msgspec

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

UNDECODABLE = (ArithmeticError, RecursionError, MemoryError, ValueError)
"""Errors that decoders raise for some inputs beside the documented one."""

NOT_FINITE = re.compile(rb"\xcb[\x7f\xff][\xf0-\xff]|\xca[\x7f\xff][\x80-\xff]")
"""Bytes that each encoded NaN and infinity begins with; texts may contain them, too."""


class Decoder(Protocol[T_co]):
    """A decoder of msgspec for one type."""

    def decode(self, buf: bytes, /) -> T_co:
        """Return the value of an encoded message."""
        ...


def decode_with(decoder: Decoder[T], raw: bytes) -> T:
    """Decode a message; raise `msgspec.DecodeError`, a ValueError, if it can't be read."""
    try:
        return decoder.decode(raw)
    except msgspec.DecodeError:
        raise
    except UNDECODABLE as error:
        raise msgspec.DecodeError(_describe(error)) from error


def decode_finite(decoder: Decoder[T], raw: bytes) -> T:
    """Decode a MessagePack message like `decode_with`; refuse NaN and infinity.

    Any sum or comparison with them would be wrong for as long as it is kept.
    """
    message = decode_with(decoder, raw)
    if NOT_FINITE.search(raw) is not None and _has_non_finite(decode_msgpack(raw, object)):
        raise msgspec.DecodeError("a number is not finite")
    return message


def _has_non_finite(value: object) -> bool:
    pending = [value]
    while pending:
        each = pending.pop()
        if isinstance(each, float) and not math.isfinite(each):
            return True
        if isinstance(each, list | tuple):
            pending.extend(each)
        elif isinstance(each, dict):
            pending.extend((*each.keys(), *each.values()))
    return False


def decode_json(raw: bytes | str, value_type: type[T]) -> T:
    """Decode JSON; raise `msgspec.DecodeError`, a ValueError, if it can't be read."""
    try:
        return msgspec.json.decode(raw, type=value_type)
    except msgspec.DecodeError:
        raise
    except UNDECODABLE as error:
        raise msgspec.DecodeError(_describe(error)) from error


def decode_msgpack(raw: bytes, value_type: type[T]) -> T:
    """Decode MessagePack; raise `msgspec.DecodeError`, a ValueError, if it can't be read."""
    try:
        return msgspec.msgpack.decode(raw, type=value_type)
    except msgspec.DecodeError:
        raise
    except UNDECODABLE as error:
        raise msgspec.DecodeError(_describe(error)) from error


def decode_sendable_json(raw: bytes | str, value_type: type[T]) -> T:
    """Decode JSON like `decode_json`; refuse values that messages to peers can't carry."""
    value = decode_json(raw, value_type)
    try:
        msgspec.msgpack.encode(value)
    except (*UNDECODABLE, msgspec.EncodeError) as error:
        raise msgspec.DecodeError(_describe(error)) from error
    return value


def decode_toml(text: str) -> dict[str, object]:
    """Decode TOML; raise `tomllib.TOMLDecodeError`, a ValueError, if it can't be read."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        raise
    except UNDECODABLE as error:
        raise tomllib.TOMLDecodeError(_describe(error)) from error


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
