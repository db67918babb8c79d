"""Messages and interfaces of the given platform; adapters and fakes both implement them."""

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
    """A call that brought no answer; with `uncertain`, its effect may have happened."""

    part: Part
    detail: str
    uncertain: bool
    retry_after_s: float = 1.0


class Row(msgspec.Struct, frozen=True):
    """A row of a table: `value` is JSON text, `version` grows with each write."""

    key: str
    version: int
    value: str


class RowPage(msgspec.Struct, frozen=True):
    """Rows of a scan, in order of their keys."""

    rows: list[Row]


class Condition(msgspec.Struct, frozen=True):
    """A row must stand at this version, `ABSENT` meaning not at all."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Put a row's value, or delete the row where `value` is None."""

    table: str
    key: str
    value: str | None


class Transaction(msgspec.Struct, frozen=True):
    """All writes take effect if all conditions hold, else none."""

    operation: str
    conditions: list[Condition]
    writes: list[Write]


class TransactionOutcome(msgspec.Struct, frozen=True):
    """`failed` lists the indices of conditions that did not hold; `versions` follow the writes."""

    committed: bool
    failed: list[int] = []
    versions: list[int] = []


class InstanceKind(StrEnum):
    """What runs on an instance of the list."""

    NODE = "node"
    SERVER = "server"


class InstanceState(StrEnum):
    """Life cycle of an instance as the lagging list tells it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Instance(msgspec.Struct, frozen=True):
    """An entry of the lagging list; `address` is `host:port`."""

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
    """Entries that changed since a revision; `full` means all that exist."""

    revision: int
    full: bool
    instances: list[Instance]


class RentOrder(msgspec.Struct, frozen=True):
    """Rent one instance; the same `token` never rents a second one."""

    token: str
    hall: str
    instance_class: str
    market: str


class RentResult(msgspec.Struct, frozen=True):
    """The cloud's answer: the instance's id, or why it was refused."""

    instance_id: str | None
    refused: str | None = None


class ReclaimNotice(msgspec.Struct, frozen=True):
    """The cloud takes an instance back in `seconds_left`."""

    instance_id: str
    hall: str
    seconds_left: float


class ReclaimNoticePage(msgspec.Struct, frozen=True):
    """All open notices."""

    notices: list[ReclaimNotice]


class WeightGrant(msgspec.Struct, frozen=True):
    """Whether a server may read a model's weights now, or when to ask again."""

    granted: bool
    retry_after_s: float = 0.0


class TableService(Protocol):
    """Conditional transactions over several rows, and reads."""

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
    """Named immutable bytes."""

    async def put(self, key: str, body: bytes) -> Result[None, PlatformFailure]:
        """Store an object."""
        ...

    async def get(self, key: str) -> Result[bytes | None, PlatformFailure]:
        """Return an object, or None if it does not exist."""
        ...


class InstanceList(Protocol):
    """The lagging list of live and leaving instances."""

    async def changes(self, since: int) -> Result[InstancePage, PlatformFailure]:
        """Return what changed after a revision; 0 asks for everything."""
        ...


class CloudApi(Protocol):
    """Renting, returning, and notices of reclaim."""

    async def rent(self, order: RentOrder) -> Result[RentResult, PlatformFailure]:
        """Rent one instance."""
        ...

    async def release(self, instance_id: str) -> Result[None, PlatformFailure]:
        """Return an instance."""
        ...

    async def notices(self, hall: str) -> Result[list[ReclaimNotice], PlatformFailure]:
        """Return the open notices of a hall."""
        ...


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def request_grant(self, server: str, model: str) -> Result[WeightGrant, PlatformFailure]:
        """Ask whether a server may load a model's weights now."""
        ...


class Platform(msgspec.Struct, frozen=True):
    """All parts of the platform."""

    table: TableService
    objects: ObjectStore
    instances: InstanceList
    cloud: CloudApi
    weights: WeightStore
