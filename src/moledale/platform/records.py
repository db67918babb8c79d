"""Records in the platform's wire format, and their conversion to the gateway's own types."""

import base64
from typing import Annotated, Any, Literal

import msgspec

from moledale.core.rollouts import Phase, RolloutNews, RolloutOrder
from moledale.decoding import decode_json
from moledale.gateway import plan
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion

RUNNING = "running"
STATE_BY_PHASE = {Phase.COMPLETED: "completed", Phase.ROLLED_BACK: "rolled_back"}
PHASE_BY_STATE = {state: phase for phase, state in STATE_BY_PHASE.items()}

KIND_BY_NAME = {"safe": plan.Kind.SAFE, "unsafe": plan.Kind.ONCE, "streaming": plan.Kind.STREAM}

MAX_TEXT_CHARS = 255
"""Longest id or name. Several of them have to fit a datagram together."""

MAX_LONG_TEXT_CHARS = 16_384
"""Longest path or API key, that of the head of a request by default."""

MAX_SLOTS = 1_000_000
"""Most slots of a server that are accepted: sums over all servers stay exact."""

MAX_SERVERS = 1_000_000
MAX_PRIORITY = 1_000_000

MAX_COUNT = 1_000_000_000_000
"""Largest count that is accepted. Sums of many still fit 64 bits, as messages to peers require."""

MAX_TIME_MS = 1e15
"""Longest time that is accepted, 31,000 years: multiples of it stay finite and fit 64 bits."""

Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
SlotCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
ServerCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SERVERS)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_COUNT))]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_MS / 1000)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS, pattern=r"\A[^\x00-\x1f\x7f]*\Z")]
LongText = Annotated[str, msgspec.Meta(max_length=MAX_LONG_TEXT_CHARS)]
HeaderText = Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT_CHARS, pattern=r"\A[ -~\u00a0-\u00ff]*\Z")
]
"""Text that is sent in headers: it has no control characters and only those of Latin-1."""


class Record(msgspec.Struct, frozen=True, rename="camel"):
    """Base class of records: names in camel case, unknown fields are ignored."""


class SplitRecord(Record, frozen=True):
    """A service and its weight in a route's traffic split."""

    service: Text
    weight: Amount = 1.0


class RouteRecord(Record, frozen=True):
    """A route of a configuration."""

    name: Text
    host: Text
    path_prefix: LongText
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: Milliseconds
    slo_ms: Milliseconds = 0.0
    priority: Priority = 5
    service: Text = ""
    split: tuple[SplitRecord, ...] = ()
    max_attempts: Count = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: Milliseconds = 0.0


class EngineRecord(Record, frozen=True):
    """Properties of a service's model servers; `stride` is the number of tokens per event.

    Slots and a stride of 0 count as 1.
    """

    slots: SlotCount = 1
    kv_capacity: Count = 0
    kv_token_bytes: Amount = 0.0
    link_mbps: Amount = 0.0
    moves: bool = False
    backups: bool = False
    handle_s: Seconds = 5.0
    stride: Count = 1


class ScalingRecord(Record, frozen=True):
    """Minimum and maximum number of a service's servers, their boot time and their prices."""

    min: ServerCount = 0
    max: ServerCount = 0
    boot_s: Seconds = 0.0
    spot_price: Amount = 1.0
    zone_prices: dict[Text, Amount] = {}


class ServiceRecord(Record, frozen=True):
    """A service of a configuration."""

    name: Text
    max_conns: Count = 100
    engine: EngineRecord | None = None
    scaling: ScalingRecord | None = None


class LimitsRecord(Record, frozen=True):
    """Limits on the requests of clients."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Milliseconds = 3_000.0
    idle_timeout_ms: Milliseconds = 15_000.0


class TenantRecord(Record, frozen=True):
    """A tenant, which is a client account of the gateway."""

    name: HeaderText
    api_keys: tuple[LongText, ...] = ()
    priority: Priority | None = None
    unit: Text = ""
    plain_tokens: Amount = 1.0
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0


class ConfigRecord(Record, frozen=True):
    """A configuration, from which the gateway's plan is made."""

    version: Whole
    routes: tuple[RouteRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
    limits: LimitsRecord = LimitsRecord()
    tenants: tuple[TenantRecord, ...] = ()


class RolloutRecord(Record, frozen=True):
    """An order to move a service's requests to servers of another version."""

    service: Text
    target_version: HeaderText
    duration_s: Seconds


class StatusRecord(Record, frozen=True):
    """The status of a rollout."""

    state: Text
    target_version: HeaderText


class RowRecord(msgspec.Struct, frozen=True):
    """A row of the store; its value is base64."""

    table: str
    key: str
    value: str = ""
    ver: Whole = 0
    part: str = ""
    gone: bool = False

    def body(self) -> bytes:
        """Return the row's bytes."""
        return base64.b64decode(self.value)


class RowsRecord(msgspec.Struct, frozen=True):
    """A response with rows; `era` is taken from its header."""

    rows: tuple[RowRecord, ...] = ()
    more: bool = False
    ver: Whole = 0
    now_ms: Milliseconds = 0.0
    era: int = UNKNOWN_ERA

    @property
    def era_version(self) -> EraVersion:
        """Return the version with its era."""
        return EraVersion(self.era, self.ver)


def read_config(raw: bytes) -> plan.Plan:
    """Decode a configuration into a plan; raise ValueError if it can't be read."""
    record = decode_json(raw, ConfigRecord)
    return plan.Plan(
        record.version,
        tuple(_route(each) for each in record.routes),
        tuple(_service(each) for each in record.services),
        tuple(_account(each) for each in record.tenants),
        plan.Limits(
            record.limits.max_header_bytes,
            record.limits.max_body_bytes,
            record.limits.header_timeout_ms / 1000,
            record.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(record: RouteRecord) -> plan.Route:
    split = tuple(plan.Share(each.service, each.weight) for each in record.split)
    return plan.Route(
        name=record.name,
        host=record.host,
        prefix=record.path_prefix,
        kind=KIND_BY_NAME[record.kind],
        split=split or (plan.Share(record.service),),
        time_limit_s=record.timeout_ms / 1000,
        target_s=record.slo_ms / 1000,
        priority=record.priority,
        max_servers=record.max_attempts,
        public=record.public,
        affinity=record.sticky,
        resumable=record.resumable,
        gap_s=record.gap_target_ms / 1000,
    )


def _service(record: ServiceRecord) -> plan.Service:
    engine = renting = None
    if record.engine is not None:
        properties = record.engine
        engine = plan.Engine(
            max(1, properties.slots),
            properties.kv_capacity,
            int(properties.kv_token_bytes),
            properties.link_mbps,
            properties.moves,
            properties.backups,
            properties.handle_s,
            max(1, properties.stride),
        )
    if record.scaling is not None:
        scaling = record.scaling
        renting = plan.Renting(
            scaling.min, scaling.max, scaling.boot_s, scaling.spot_price, scaling.zone_prices
        )
    return plan.Service(record.name, record.max_conns, engine, renting)


def _account(record: TenantRecord) -> plan.Account:
    return plan.Account(
        record.name,
        record.api_keys,
        record.priority,
        record.unit,
        record.plain_tokens,
        record.rate_per_s,
        record.burst,
    )


def read_rollout(row: RowRecord, now_s: float, era: int) -> RolloutOrder:
    """Decode a rollout order from its row; raise ValueError if it can't be read."""
    body = decode_json(row.body(), RolloutRecord)
    return RolloutOrder(body.service, row.ver, body.target_version, body.duration_s, now_s, era)


def read_phase(row: RowRecord, order: RolloutOrder) -> Phase | None:
    """Return the phase of an order from a status row, or None if that is of another order."""
    record = decode_json(row.body(), StatusRecord)
    if row.ver < order.revision or record.target_version != order.target:
        return None
    return PHASE_BY_STATE.get(record.state, Phase.TRIAL)


def status_body(news: RolloutNews) -> dict[str, object]:
    """Return the status of a rollout in the format that operators read."""
    return {"state": STATE_BY_PHASE.get(news.phase, RUNNING), "targetVersion": news.order.target}


def encode(body: Any) -> bytes:
    """Encode a request body as JSON."""
    return msgspec.json.encode(body)
