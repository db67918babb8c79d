"""Reading rows of the store that nodes keep; other writers may have spoilt them."""

from typing import TypeVar

import msgspec

from moledale.gateway.outside import StateRow
from moledale.log import Event, emit

T = TypeVar("T")


def read_row(table: str, row: StateRow, kind: type[T]) -> T | None:
    """Return what a row holds, or None for one that can't be read, which is logged."""
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.DecodeError as error:
        emit(Event.ROW_UNREADABLE, table=table, key=row.key, why=str(error))
        return None
