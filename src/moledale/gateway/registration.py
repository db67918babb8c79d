"""Registration of this node in the store, and discovery of its peers there."""

import asyncio
import ipaddress
import random
from collections.abc import Callable
from functools import partial

from result import Ok

from moledale.clock import monotonic
from moledale.gateway.backoff import Backoff
from moledale.gateway.neighbours import AddressBook
from moledale.gateway.outside import StateRow, Store
from moledale.gateway.state_rows import parse_or_log
from moledale.gateway.usage import TrueTime
from moledale.host_port import split_address

MEMBER_TABLE = "members"
CALL_TIMEOUT_S = 0.8
"""Timeout of a store call; 200 times its usual duration."""

RETRY_INITIAL_S = 0.2
"""First pause after a failed call."""

RETRY_MAX_S = 1.0
"""Longest pause at a backoff scale of 1.0; the scale grows with the number of nodes."""

JITTER_S = 0.5
"""After a restore of the store, nodes register again after a random delay of up to this time per
`neighbours.MAX_MESH_PEERS` nodes, so that they do not all write at once."""


class Registration:
    """Writes this node's address to the store and reads those of all nodes, once in each era.

    A restore of the store, which starts a new era, may have lost the row. The read also returns the
    store's clock, from which `true_time` derives the age of server lists. `backoff_scale`
    lengthens pauses as the number of nodes grows (see `Backoff`).
    """

    def __init__(
        self,
        store: Store,
        node: str,
        own_address: str,
        addresses: AddressBook,
        backoff_scale: Callable[[], float],
        true_time: TrueTime,
    ) -> None:
        self._store = store
        self._node = node
        self._own_address = own_address
        self._addresses = addresses
        self._true_time = true_time
        self._backoff_scale = backoff_scale
        self._rng = random.Random()
        self._backoff = Backoff(RETRY_INITIAL_S, RETRY_MAX_S, backoff_scale)
        self._restored = asyncio.Event()
        store.era.on_restored.append(self._restored.set)

    async def run(self) -> None:
        """Register in each era, forever."""
        while True:
            self._restored.clear()
            await self._register()
            await self._restored.wait()
            await asyncio.sleep(JITTER_S * self._backoff_scale() * self._rng.random())

    async def _register(self) -> None:
        """Write this node's row and read all rows, until both succeeded."""
        registered = read = False
        while not (registered and read):
            registered = registered or await self._write()
            read = await self._read()
            await asyncio.sleep(self._backoff.next_s())
        self._backoff.reset()

    async def _write(self) -> bool:
        value = self._own_address.encode()
        failure = await self._store.put(MEMBER_TABLE, self._node, value, CALL_TIMEOUT_S)
        return failure is None

    async def _read(self) -> bool:
        sent_at = monotonic()
        outcome = await self._store.read(MEMBER_TABLE, CALL_TIMEOUT_S)
        if not isinstance(outcome, Ok):
            return False
        now = monotonic()
        self._true_time.record_store_clock(outcome.ok_value.store_s, sent_at, now)
        for row in outcome.ok_value.rows:
            address = parse_or_log(MEMBER_TABLE, row.key, partial(_parse_address, row))
            if address is not None:
                self._addresses.add(address, now)
        return True


def _parse_address(row: StateRow) -> str:
    """Return the address `IP:port` in a row; raise ValueError if it is malformed."""
    address = row.value.decode("ascii")
    host, _ = split_address(address)
    ipaddress.ip_address(host)
    return address
