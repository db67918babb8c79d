"""Messages and interfaces of the platform, implemented by the HTTP adapter and by test fakes."""

from enum import StrEnum
from typing import Protocol

import msgspec
from result import Result

ABSENT = 0
"""Version of a row that does not exist."""


class Part(StrEnum):
    """The parts of the platform."""

    TABLE = "table"
    OBJECTS = "objects"
    CLOUD = "cloud"
    WEIGHTS = "weights"
    INSTANCES = "instances"


class PlatformFailure(msgspec.Struct, frozen=True):
    """A failed call; if `uncertain`, it may have taken effect all the same."""

    part: Part
    detail: str
    uncertain: bool
    retry_after_s: float = 1.0


class Row(msgspec.Struct, frozen=True):
    """A row of a table: `value` is JSON text, `version` increases with each write."""

    key: str
    version: int
    value: str


class RowPage(msgspec.Struct, frozen=True):
    """Rows of a scan, sorted by key."""

    rows: list[Row]


class Condition(msgspec.Struct, frozen=True):
    """Requires a row to have this version, or not to exist if the version is `ABSENT`."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Sets a row's value, or deletes the row if `value` is None."""

    table: str
    key: str
    value: str | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are all applied if every condition holds, otherwise none of them."""

    operation: str
    conditions: list[Condition]
    writes: list[Write]


class TransactionOutcome(msgspec.Struct, frozen=True):
    """Result of a transaction.

    `failed` has the indices of the conditions that did not hold, `versions` the new row version of
    each write, in the same order.
    """

    committed: bool
    failed: list[int] = []
    versions: list[int] = []


class InstanceKind(StrEnum):
    """Whether an instance runs an entry node or a backend server."""

    NODE = "node"
    SERVER = "server"


class InstanceState(StrEnum):
    """State of an instance in the eventually consistent instance list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Instance(msgspec.Struct, frozen=True):
    """An entry of the instance list; `address` is `host:port`."""

    id: str
    kind: InstanceKind
    hall: str
    region: str
    address: str
    state: InstanceState
    peer_address: str = ""
    instance_class: str = ""
    market: str = ""


class InstancePage(msgspec.Struct, frozen=True):
    """The entries that changed since a revision, or a full snapshot if `full` is set."""

    revision: int
    full: bool
    instances: list[Instance]


class RentOrder(msgspec.Struct, frozen=True):
    """A request to rent one instance; `token` is its idempotency key."""

    token: str
    hall: str
    instance_class: str
    market: str


class RentResult(msgspec.Struct, frozen=True):
    """The cloud's response: the id of the rented instance, or the reason of the refusal."""

    instance_id: str | None
    refused: str | None = None


class ReclaimNotice(msgspec.Struct, frozen=True):
    """Notice that the cloud will reclaim an instance in `seconds_left`."""

    instance_id: str
    hall: str
    seconds_left: float


class ReclaimNoticePage(msgspec.Struct, frozen=True):
    """All pending reclaim notices of a hall."""

    notices: list[ReclaimNotice]


class WeightGrant(msgspec.Struct, frozen=True):
    """Whether a server may load a model's weights now; if not, when to retry."""

    granted: bool
    retry_after_s: float = 0.0


class TableService(Protocol):
    """Key-value tables with conditional transactions over several rows."""

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionOutcome, PlatformFailure]:
        """Commit all writes or none."""
        ...

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformFailure]:
        """Return a row, or None if it does not exist."""
        ...

    async def scan(self, table: str, prefix: str, limit: int) -> Result[list[Row], PlatformFailure]:
        """Return rows whose keys start with `prefix`."""
        ...


class ObjectStore(Protocol):
    """Store of immutable objects by key."""

    async def put(self, key: str, body: bytes) -> Result[None, PlatformFailure]:
        """Store an object."""
        ...

    async def get(self, key: str) -> Result[bytes | None, PlatformFailure]:
        """Return an object, or None if it does not exist."""
        ...


class InstanceList(Protocol):
    """Eventually consistent list of live and leaving instances."""

    async def changes(self, since: int) -> Result[InstancePage, PlatformFailure]:
        """Return the instances that changed after revision `since`; 0 returns all."""
        ...


class CloudApi(Protocol):
    """Cloud API to rent and release instances and to read reclaim notices."""

    async def rent(self, order: RentOrder) -> Result[RentResult, PlatformFailure]:
        """Rent one instance."""
        ...

    async def release(self, instance_id: str) -> Result[None, PlatformFailure]:
        """Give an instance back to the cloud."""
        ...

    async def notices(self, hall: str) -> Result[list[ReclaimNotice], PlatformFailure]:
        """Return the pending reclaim notices of a hall."""
        ...


class WeightStore(Protocol):
    """Rate-limited store of model weights."""

    async def request_grant(self, server: str, model: str) -> Result[WeightGrant, PlatformFailure]:
        """Request permission for a server to load a model's weights now."""
        ...


class Platform(msgspec.Struct, frozen=True):
    """Clients of all parts of the platform."""

    table: TableService
    objects: ObjectStore
    instances: InstanceList
    cloud: CloudApi
    weights: WeightStore
