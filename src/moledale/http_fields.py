"""HTTP header fields that more than one adapter reads, and what their values mean."""

import math
from collections.abc import Iterable
from email.utils import parsedate_to_datetime

from moledale.log import Event, emit

RETRY_AFTER = "retry-after"

MAX_LOGGED_CHARS = 64
"""Characters that are logged of a value which can't be read."""

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
"""Fields that hold for one connection and are not passed on (RFC 9110, 7.6.1)."""

Fields = Iterable[tuple[bytes, bytes]]


def field_values(fields: Fields, wanted: str) -> list[str]:
    """Return the values of all fields of a lower-case name."""
    name = wanted.encode()
    return [value.decode("latin-1") for each, value in fields if each.lower() == name]


def decode_value(value: bytes | None) -> str:
    """Return a value as text, "" if there is none."""
    return "" if value is None else value.decode("latin-1")


def parse_number(value: bytes | None, name: str) -> float | None:
    """Return a number, None if there is none; ValueError if it can't be read."""
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise ValueError(f"{name} is not a number")
    return number


def parse_count(value: bytes) -> int:
    """Return a whole number; ValueError if it can't be read or is below zero."""
    number = int(value)
    if number < 0:
        raise ValueError("below zero")
    return number


def first_count(fields: Fields, name: str) -> int | None:
    """Return the count that the fields of a lower-case name state; what is none is logged."""
    for text in field_values(fields, name):
        try:
            return parse_count(text.encode())
        except ValueError:
            emit(Event.HEADER_UNREADABLE, header=name, value=text[:MAX_LOGGED_CHARS])
    return None


def connection_options(fields: Fields) -> set[bytes]:
    """Return the fields that the Connection field names, which end at this hop."""
    named: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            named.update(item.strip().lower() for item in value.split(b","))
    return named - {b"close", b"keep-alive"}


def keep_alive_timeout_s(value: bytes | None) -> float | None:
    """Return for how long a Keep-Alive field says that a connection may rest, in seconds."""
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
    return seconds if math.isfinite(seconds) else None


def retry_after_s(values: Iterable[str], date: str | None) -> float | None:
    """Return the longest time that an answer states (RFC 9110, 10.2.3), None if it states none.

    A date counts from `date`, the answer's own one, since clocks of two machines differ. What can't
    be read states no time and is logged.
    """
    times = [_parse_retry_after_s(value.strip(), date) for value in values]
    return max((each for each in times if each is not None), default=None)


def _parse_retry_after_s(text: str, date: str | None) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_between_dates(text, date)
    if math.isfinite(seconds) and seconds >= 0:
        return seconds
    emit(Event.HEADER_UNREADABLE, header=RETRY_AFTER, value=text[:MAX_LOGGED_CHARS])
    return None


def lowest_limit(values: Iterable[str], name: str) -> float | None:
    """Return the lowest number that an answer states in the fields of a name, None if it has none.

    What is no number, or below zero, is logged and counts as missing.
    """
    limits = [_parse_limit(value.strip(), name) for value in values]
    return min((each for each in limits if each is not None), default=None)


def _parse_limit(text: str, name: str) -> float | None:
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if math.isfinite(limit) and limit >= 0:
        return limit
    emit(Event.HEADER_UNREADABLE, header=name, value=text[:MAX_LOGGED_CHARS])
    return None


def _seconds_between_dates(text: str, date: str | None) -> float:
    """Return the seconds from one date to another, not a number if either can't be read."""
    if date is None:
        return math.nan
    try:
        left = parsedate_to_datetime(text) - parsedate_to_datetime(date)
    except (ValueError, TypeError):
        return math.nan
    return max(0.0, left.total_seconds())
