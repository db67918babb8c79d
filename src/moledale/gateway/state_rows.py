"""Reading rows of the store, which other writers may have spoilt."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from moledale.gateway.outside import StateRow
from moledale.log import Event, emit

T = TypeVar("T")


def parse_or_log(table: str, key: str, read: Callable[[], T]) -> T | None:
    """Return what `read` makes of a row; its ValueError is logged and makes None of the row."""
    try:
        return read()
    except ValueError as error:
        emit(Event.ROW_UNREADABLE, table=table, key=key, why=str(error))
        return None


def decode_row(table: str, row: StateRow, kind: type[T]) -> T | None:
    """Return what a row that nodes keep holds, or None for one that can't be read."""
    return parse_or_log(table, row.key, lambda: msgspec.json.decode(row.value, type=kind))
