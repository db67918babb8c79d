"""Telling the store of a node that starts, and learning from it of others to send news to."""

import asyncio
from collections.abc import Callable

from result import Ok

from moledale.clock import monotonic
from moledale.gateway.backoff import Backoff
from moledale.gateway.neighbours import AddressBook
from moledale.gateway.outside import Store
from moledale.gateway.usage import TrueTime

MEMBER_TABLE = "members"
STORE_TIMEOUT_S = 0.8
"""A call has this long: 200 times its usual answer."""

AGAIN_S = 0.2
"""First pause after a call that failed."""

AGAIN_MOST_S = 1.0
"""Longest pause, for a node alone."""


class Registration:
    """Writes one row and reads all; done once both have succeeded.

    The answer tells the store's clock, too, by which the age of a list is told.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        own_address: str,
        addresses: AddressBook,
        crowd: Callable[[], float],
        true_time: TrueTime,
    ) -> None:
        self._store = store
        self._node = node
        self._own_address = own_address
        self._addresses = addresses
        self._true_time = true_time
        self._backoff = Backoff(AGAIN_S, AGAIN_MOST_S, crowd)

    async def run(self) -> None:
        """Register, repeating what fails."""
        registered = read = False
        while not (registered and read):
            registered = registered or await self._write()
            read = await self._read()
            await asyncio.sleep(self._backoff.next_s())

    async def _write(self) -> bool:
        value = self._own_address.encode()
        trouble = await self._store.put(MEMBER_TABLE, self._node, value, STORE_TIMEOUT_S)
        return trouble is None

    async def _read(self) -> bool:
        sent_at = monotonic()
        outcome = await self._store.read(MEMBER_TABLE, STORE_TIMEOUT_S)
        if not isinstance(outcome, Ok):
            return False
        now = monotonic()
        self._true_time.store_read(outcome.ok_value.store_s, sent_at, now)
        for row in outcome.ok_value.rows:
            self._addresses.add(row.value.decode(), now)
        return True
