"""Decoding of rows of the table service, which other writers may have corrupted."""

from typing import TypeVar

from moledale.backing.types import Row
from moledale.decoding import decode_json
from moledale.log import Event, emit

T = TypeVar("T")


def decode_row(table: str, row: Row, value_type: type[T]) -> T | None:
    """Decode the value of a row; None, logged, if it can't be read."""
    try:
        return decode_json(row.value, value_type)
    except ValueError as error:
        emit(Event.ROW_UNREADABLE, table=table, key=row.key, why=str(error))
        return None
