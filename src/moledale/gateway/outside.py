"""What the gateway needs from the outside, as typed interfaces; adapters implement them."""

from typing import Protocol

import msgspec
from result import Result

from moledale.core.rollouts import Phase, RolloutNews, RolloutOrder
from moledale.gateway.messages import Server
from moledale.gateway.plan import Plan
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion, StoreEra

ABSENT_VERSION = 0
"""Version of a row that does not exist."""


class Failure(msgspec.Struct, frozen=True):
    """A call that brought nothing; with `uncertain` its effect may have happened or may yet.

    `history_gone` tells that changes since the asked version are no longer known.
    """

    detail: str
    uncertain: bool = True
    history_gone: bool = False


class StateRow(msgspec.Struct, frozen=True):
    """A row that this system keeps in the store."""

    key: str
    value: bytes
    version: int


class WriteResult(msgspec.Struct, frozen=True):
    """Outcome of a conditional write: its version, or the row that stood in its way."""

    version: int
    committed: bool
    conflicting_row: StateRow | None = None
    store_s: float = 0.0
    era: int = UNKNOWN_ERA


class TableSnapshot(msgspec.Struct, frozen=True):
    """Rows as of one moment; `store_s` is the store's steady clock in seconds."""

    rows: tuple[StateRow, ...]
    version: int
    store_s: float
    era: int = UNKNOWN_ERA


class ServerList(msgspec.Struct, frozen=True):
    """The backend servers that the store lists, as of one moment.

    `changed` is false if they are the ones that the reading was made from.
    """

    servers: tuple[Server, ...]
    version: int
    store_s: float
    changed: bool = True
    era: int = UNKNOWN_ERA

    @property
    def at(self) -> EraVersion:
        """Return the version with its era."""
        return EraVersion(self.era, self.version)


class StoredRollout(msgspec.Struct, frozen=True):
    """An order as the store has it, and the phase that its last status tells."""

    order: RolloutOrder
    phase: Phase = Phase.TRIAL


class StatusWriteResult(msgspec.Struct, frozen=True):
    """Outcome of writing a roll-out's status, with the version of the row as it stands now.

    Where another status stood in its way, `phase` is what that one tells of the same order.
    `superseded` tells that a newer order was given.
    """

    committed: bool
    version: int
    phase: Phase | None = None
    superseded: bool = False


class PlanUpdate(msgspec.Struct, frozen=True):
    """Answer of a watch: the newest plan if it changed, and where to go on watching.

    `rollouts` are orders for new versions of servers that are new or were asked for.
    """

    plan: Plan | None
    raw: bytes
    position: EraVersion
    store_s: float
    rollouts: tuple[StoredRollout, ...] = ()


class Store(Protocol):
    """The platform's store, as far as the gateway uses it; `era` follows its answers."""

    era: StoreEra

    async def read(self, table: str, timeout_s: float) -> Result[TableSnapshot, Failure]:
        """Return all rows of one of this system's tables."""
        ...

    async def write(
        self, table: str, key: str, value: bytes, expected: int, timeout_s: float
    ) -> Result[WriteResult, Failure]:
        """Put a row if it stands at version `expected`."""
        ...

    async def put(self, table: str, key: str, value: bytes, timeout_s: float) -> Failure | None:
        """Put a row without a condition."""
        ...

    async def remove(self, table: str, key: str, timeout_s: float) -> Failure | None:
        """Remove a row."""
        ...

    async def servers(
        self, timeout_s: float, before: ServerList | None = None
    ) -> Result[ServerList, Failure]:
        """Return the list of backend servers, if possible from what changed since `before`."""
        ...

    async def plan(self, timeout_s: float) -> Result[PlanUpdate, Failure]:
        """Return the newest plan."""
        ...

    async def watch_plan(self, position: EraVersion, wait_s: float) -> Result[PlanUpdate, Failure]:
        """Return the newest plan once there is one after `position`, or after `wait_s`."""
        ...

    async def write_rollout(
        self, news: RolloutNews, expected: int, timeout_s: float
    ) -> Result[StatusWriteResult, Failure]:
        """Tell the operator how far a roll-out is, and keep what a later holder needs.

        It holds only if the order still stands, and the status at version `expected`.
        """
        ...

    async def load_rollouts(self, timeout_s: float) -> Result[tuple[RolloutNews, ...], Failure]:
        """Return what earlier holders kept of roll-outs."""
        ...

    def decode_plan(self, raw: bytes) -> Plan:
        """Read a plan that a peer passed on; ValueError if it can't be read."""
        ...


class CloudOrders(Protocol):
    """Calls to the cloud that one node at a time may make."""

    async def report_usage(
        self, holder: str, fence: int, window: int, counts: dict[str, int]
    ) -> Failure | None:
        """Report how many requests of each account began to run in a window."""
        ...

    async def order_servers(
        self, holder: str, fence: int, service: str, hall: str, number: int, spot: bool
    ) -> Result[bool, Failure]:
        """Order how many servers a hall shall have; False where none are to be had now."""
        ...
