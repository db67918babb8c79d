"""Decoding of rows of the store, which other writers may have corrupted."""

from collections.abc import Callable
from typing import TypeVar

from cachetools import LRUCache

from moledale.decoding import decode_sendable_json
from moledale.gateway.outside import StateRow
from moledale.log import Event, emit

T = TypeVar("T")

MAX_LOGGED_ROWS = 1_000
"""Unreadable rows that are remembered as already logged: 0.1 MB."""


def parse_or_log(table: str, key: str, parse: Callable[[], T]) -> T | None:
    """Return the result of `parse`, or None if it raises ValueError, which is logged."""
    try:
        return parse()
    except ValueError as error:
        emit(Event.ROW_UNREADABLE, table=table, key=key, why=str(error))
        return None


def decode_row(table: str, row: StateRow, value_type: type[T]) -> T | None:
    """Decode the JSON value of a row that nodes wrote; None, logged, if it is corrupt.

    Whole numbers that messages to peers can't carry count as corrupt.
    """
    return parse_or_log(table, row.key, lambda: decode_sendable_json(row.value, value_type))


class UnreadableLog:
    """Logs each unreadable row once per version."""

    def __init__(self) -> None:
        self._logged: LRUCache[str, int] = LRUCache(MAX_LOGGED_ROWS)

    def parse(self, table: str, key: str, version: int, parse: Callable[[], T]) -> T | None:
        """Return the result of `parse`, or None if it raises ValueError."""
        try:
            return parse()
        except ValueError as error:
            if self._logged.get(key) != version:
                self._logged[key] = version
                emit(Event.ROW_UNREADABLE, table=table, key=key, why=str(error))
            return None
