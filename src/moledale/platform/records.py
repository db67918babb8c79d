"""Records in the platform's wire format, and their conversion to the gateway's own types."""

import base64
from typing import Any, Literal

import msgspec

from moledale import field_types as fields
from moledale.core.rollouts import Phase, RolloutNews, RolloutOrder
from moledale.decoding import decode_json
from moledale.gateway import plan
from moledale.gateway.store_era import UNKNOWN_ERA, EraVersion

RUNNING = "running"
STATE_BY_PHASE = {Phase.COMPLETED: "completed", Phase.ROLLED_BACK: "rolled_back"}
PHASE_BY_STATE = {state: phase for phase, state in STATE_BY_PHASE.items()}

KIND_BY_NAME = {"safe": plan.Kind.SAFE, "unsafe": plan.Kind.ONCE, "streaming": plan.Kind.STREAM}


class Record(msgspec.Struct, frozen=True, rename="camel"):
    """Base class of records: names in camel case, unknown fields are ignored."""


class SplitRecord(Record, frozen=True):
    """A service and its weight in a route's traffic split."""

    service: fields.Text
    weight: fields.Amount = 1.0


class RouteRecord(Record, frozen=True):
    """A route of a configuration."""

    name: fields.Text
    host: fields.Text
    path_prefix: fields.LongText
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: fields.Milliseconds
    slo_ms: fields.Milliseconds = 0.0
    priority: fields.Priority = 5
    service: fields.Text = ""
    split: tuple[SplitRecord, ...] = ()
    max_attempts: fields.Count = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: fields.Milliseconds = 0.0


class EngineRecord(Record, frozen=True):
    """Properties of a service's model servers; `stride` is the number of tokens per event."""

    slots: fields.SlotCount = 1
    kv_capacity: fields.Count = 0
    kv_token_bytes: fields.Amount = 0.0
    link_mbps: fields.Amount = 0.0
    moves: bool = False
    backups: bool = False
    handle_s: fields.Seconds = 5.0
    stride: fields.Count = 1


class ScalingRecord(Record, frozen=True):
    """Minimum and maximum number of a service's servers, their boot time and their prices."""

    min: fields.ServerCount = 0
    max: fields.ServerCount = 0
    boot_s: fields.Seconds = 0.0
    spot_price: fields.Amount = 1.0
    zone_prices: dict[fields.Text, fields.Amount] = {}


class ServiceRecord(Record, frozen=True):
    """A service of a configuration."""

    name: fields.Text
    max_conns: fields.Count = 100
    engine: EngineRecord | None = None
    scaling: ScalingRecord | None = None


class LimitsRecord(Record, frozen=True):
    """Limits on the requests of clients."""

    max_header_bytes: fields.Count = 16_384
    max_body_bytes: fields.Count = 4_194_304
    header_timeout_ms: fields.Milliseconds = 3_000.0
    idle_timeout_ms: fields.Milliseconds = 15_000.0


class TenantRecord(Record, frozen=True):
    """A tenant, which is a client account of the gateway."""

    name: fields.HeaderText
    api_keys: tuple[fields.LongText, ...] = ()
    priority: fields.Priority | None = None
    unit: fields.Text = ""
    plain_tokens: fields.Amount = 1.0
    rate_per_s: fields.Amount = 0.0
    burst: fields.Amount = 0.0


class ConfigRecord(Record, frozen=True):
    """A configuration, from which the gateway's plan is made."""

    version: fields.Whole
    routes: tuple[RouteRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
    limits: LimitsRecord = LimitsRecord()
    tenants: tuple[TenantRecord, ...] = ()


class RolloutRecord(Record, frozen=True):
    """An order to move a service's requests to servers of another version."""

    service: fields.Text
    target_version: fields.HeaderText
    duration_s: fields.Seconds


class StatusRecord(Record, frozen=True):
    """The status of a rollout."""

    state: fields.Text
    target_version: fields.HeaderText


class RowRecord(msgspec.Struct, frozen=True):
    """A row of the store; its value is base64."""

    table: str
    key: str
    value: str = ""
    ver: fields.Whole = 0
    part: str = ""
    gone: bool = False

    def body(self) -> bytes:
        """Return the row's bytes."""
        return base64.b64decode(self.value)


class RowsRecord(msgspec.Struct, frozen=True):
    """A response with rows; `era` is taken from its header."""

    rows: tuple[RowRecord, ...] = ()
    more: bool = False
    ver: fields.Whole = 0
    now_ms: fields.Milliseconds = 0.0
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
