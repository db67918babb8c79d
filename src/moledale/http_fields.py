"""Parsing of HTTP header fields that more than one adapter reads."""

import math
from collections.abc import Iterable
from email.utils import parsedate_to_datetime
from typing import Protocol

from moledale.log import Event, emit

RETRY_AFTER = "retry-after"

MAX_LOGGED_CHARS = 64
"""Longest prefix of an unreadable value that is logged."""

MAX_COUNT = 1_000_000_000
"""Largest count in a field. Sums over many requests still fit 64 bits, as messages require."""

MAX_DECIMALS = 18
"""Longest number that is read: those of thousands of digits can't be converted."""

MAX_SECONDS = 1_000_000_000.0
MAX_LIMIT = 1_000_000_000.0
"""Longer times, of 30 years, and higher limits of a server are cut to these."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Fields that apply to one connection only and are not forwarded (RFC 9110, 7.6.1)."""

BODY_FIELDS = frozenset({b"content-length", b"transfer-encoding"})
"""Fields of a request that has a body, which may be empty."""

Fields = Iterable[tuple[bytes, bytes]]


class Request(Protocol):
    """The request line and fields of a request."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]


def request_lines(head: Request, dropped: frozenset[bytes], length: int) -> list[bytes]:
    """Return the lines of a request that is forwarded with a body of `length` bytes.

    Fields of one connection only, and those whose lower-case names are in `dropped`, are left out.
    """
    lines = [b"%b %b HTTP/1.1" % (head.method, head.target)]
    left_out = HOP_BY_HOP | connection_options(head.headers) | dropped
    fields = [(name.lower(), name, value) for name, value in head.headers]
    lines.extend(name + b": " + value for key, name, value in fields if key not in left_out)
    if length or any(key in BODY_FIELDS for key, _, _ in fields):
        lines.append(b"Content-Length: %d" % length)
    return lines


def field_values(fields: Fields, wanted: str) -> list[str]:
    """Return the values of all fields whose lower-case name is `wanted`."""
    name = wanted.encode()
    return [value.decode("latin-1") for key, value in fields if key.lower() == name]


def decode_value(value: bytes | None) -> str:
    """Return a value as text, "" if it is missing."""
    return "" if value is None else value.decode("latin-1")


def text_or_none(value: bytes | None) -> str | None:
    """Return a value as text, None if it is missing."""
    return None if value is None else value.decode("latin-1")


def parse_number(value: bytes | None, name: str) -> float | None:
    """Return a value as a finite number, None if missing; raise ValueError if it is invalid."""
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise ValueError(f"{name} is not a number")
    return number


def parse_decimal(text: str) -> int | None:
    """Return a text of decimal digits as a number, None for any other or a longer one."""
    return int(text) if text.isdecimal() and len(text) <= MAX_DECIMALS else None


def parse_count(value: bytes, largest: int = MAX_COUNT) -> int:
    """Return a value as an integer from 0 to `largest`; raise ValueError if it is not one."""
    number = int(value)
    if not 0 <= number <= largest:
        raise ValueError("count is out of range")
    return number


def first_count(fields: Fields, name: str, largest: int = MAX_COUNT) -> int | None:
    """Return the first valid count in the fields of a lower-case name, None if there is none.

    Invalid values are logged and skipped.
    """
    for text in field_values(fields, name):
        try:
            return parse_count(text.encode(), largest)
        except ValueError:
            emit(Event.HEADER_UNREADABLE, header=name, value=text[:MAX_LOGGED_CHARS])
    return None


def connection_options(fields: Fields) -> set[bytes]:
    """Return the fields listed in Connection, which must not be forwarded (RFC 9110, 7.6.1)."""
    options: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            options.update(item.strip().lower() for item in value.split(b","))
    return options - {b"close", b"keep-alive"}


def keep_alive_timeout_s(value: bytes | None) -> float | None:
    """Return the idle timeout in a Keep-Alive field, in seconds, None if it states none."""
    if value is None:
        return None
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _seconds(number)
    return None


def _seconds(value: bytes) -> float | None:
    try:
        seconds = float(value)
    except ValueError:
        return None
    return min(seconds, MAX_SECONDS) if math.isfinite(seconds) else None


def retry_after_s(values: Iterable[str], date: str | None) -> float | None:
    """Return the longest delay of the Retry-After values (RFC 9110, 10.2.3), None without any.

    An HTTP date is taken relative to `date`, the Date field of the same response, since the clocks
    of two machines differ. Invalid values are logged and ignored.
    """
    delays = [_parse_retry_after_s(value.strip(), date) for value in values]
    return max((delay for delay in delays if delay is not None), default=None)


def _parse_retry_after_s(text: str, date: str | None) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_between_dates(text, date)
    if math.isfinite(seconds) and seconds >= 0:
        return min(seconds, MAX_SECONDS)
    emit(Event.HEADER_UNREADABLE, header=RETRY_AFTER, value=text[:MAX_LOGGED_CHARS])
    return None


def lowest_limit(values: Iterable[str], name: str) -> float | None:
    """Return the lowest of the limits that a response states, None without any.

    Values that are not numbers or are negative are logged and ignored.
    """
    limits = [_parse_limit(value.strip(), name) for value in values]
    return min((limit for limit in limits if limit is not None), default=None)


def _parse_limit(text: str, name: str) -> float | None:
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if math.isfinite(limit) and limit >= 0:
        return min(limit, MAX_LIMIT)
    emit(Event.HEADER_UNREADABLE, header=name, value=text[:MAX_LOGGED_CHARS])
    return None


def _seconds_between_dates(text: str, date: str | None) -> float:
    """Return the seconds from HTTP date `date` to `text`, at least 0; NaN if either is invalid."""
    if date is None:
        return math.nan
    try:
        delta = parsedate_to_datetime(text) - parsedate_to_datetime(date)
    except (ValueError, TypeError, OverflowError):
        return math.nan
    return max(0.0, delta.total_seconds())
