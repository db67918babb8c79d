"""Settings of one node, read from TOML; each validation error names its key."""

import os
import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
    model_validator,
)
from result import Err, Ok, Result

from moledale.decoding import decode_toml
from moledale.findings import Finding, from_validation

MAX_PORT = 65_535


def _check_port(address: str) -> str:
    if int(address.rpartition(":")[2]) > MAX_PORT:
        raise ValueError("the port is out of range")
    return address


HostPort = Annotated[
    str,
    Field(pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}$"),
    AfterValidator(_check_port),
]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/]+$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
MIN_SECRET_BYTES = 16


class Section(BaseModel):
    """Base of the TOML tables; unknown keys are errors and types are not coerced."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class NodeSection(Section):
    """Identity and listen addresses of this node."""

    id: Name
    hall: Name
    region: Name
    listen: HostPort
    peer_listen: HostPort


class PlatformSection(Section):
    """Base URLs of the platform's parts, the timeout of calls and the poll interval."""

    table: Url
    objects: Url
    cloud: Url
    weights: Url
    instances: Url
    timeout_s: float = Field(default=1.0, gt=0, le=30)
    poll_s: float = Field(default=3.0, ge=0.05, le=5)


class OperatorsSection(Section):
    """Base64 Ed25519 public keys of the operators who may sign bundles."""

    keys: dict[Name, str] = Field(min_length=1)
    required_signatures: int = Field(default=1, ge=1)

    @model_validator(mode="after")
    def _check_key_count(self) -> "OperatorsSection":
        if self.required_signatures > len(self.keys):
            raise ValueError("required_signatures is larger than the number of keys")
        return self


class SecretSource(Section):
    """Source of a secret: either an environment variable or a file."""

    env: str | None = None
    file: str | None = None

    @model_validator(mode="after")
    def _check_single_source(self) -> "SecretSource":
        if (self.env is None) == (self.file is None):
            raise ValueError("name exactly one of env and file")
        return self

    def read(self) -> Result[str, str]:
        """Return the secret, or an error message."""
        if self.env is not None:
            value = os.environ.get(self.env)
            if value is None:
                return Err(f"environment variable {self.env} is not set")
        else:
            try:
                value = Path(str(self.file)).read_text("utf-8").strip()
            except (OSError, ValueError) as error:
                return Err(f"file can't be read: {type(error).__name__}")
        if len(value.encode(errors="surrogateescape")) < MIN_SECRET_BYTES:
            return Err(f"secret is shorter than {MIN_SECRET_BYTES} bytes")
        return Ok(value)


class SecretsSection(Section):
    """Sources of the node's secrets; the values are never logged."""

    peer: SecretSource
    operator: SecretSource


class LimitsSection(Section):
    """Limits of one node: sizes and rates, with a cap for each map and queue.

    Finished streams can be resumed for up to `finished_stream_s` seconds. A node follows the load
    of at most `followed_servers` backend servers.
    """

    body_bytes: int = Field(default=1_000_000, ge=1024, le=64_000_000)
    header_bytes: int = Field(default=16_384, ge=1024, le=262_144)
    streams: int = Field(default=2_000, ge=1)
    finished_streams: int = Field(default=500, ge=0)
    finished_stream_s: float = Field(default=60.0, ge=0)
    queue: int = Field(default=1_000, ge=1)
    sessions: int = Field(default=20_000, ge=1)
    idempotency_keys: int = Field(default=20_000, ge=1)
    followed_servers: int = Field(default=32, ge=2)
    load_polls_per_s: float = Field(default=1.0, gt=0)
    journal_writes_per_s: float = Field(default=80.0, gt=0)
    journal_bytes: int = Field(default=4_000_000, ge=1024)


class TimesSection(Section):
    """Timeouts, intervals and lifetimes, in seconds.

    `order_max_s` is the longest time that an order to a backend server may take. A node that
    reaches neither the table nor a peer accepts no new requests after `isolation_grace_s`.
    """

    lease_ttl_s: float = Field(default=10.0, gt=0)
    order_max_s: float = Field(default=2.0, gt=0)
    commit_interval_s: float = Field(default=0.05, gt=0, le=5)
    drain_s: float = Field(default=20.0, ge=0)
    isolation_grace_s: float = Field(default=5.0, gt=0)
    gossip_s: float = Field(default=5.0, gt=0)
    load_poll_s: float = Field(default=10.0, gt=0)
    address_ttl_s: int = Field(default=30, ge=1)


class MetricsSection(Section):
    """Address of the statsd server (no metrics are sent without it) and prefix of the metrics."""

    statsd: HostPort | None = None
    prefix: Name = "moledale"


class LogSection(Section):
    """Lowest level that is logged."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(Section):
    """All settings of one node."""

    node: NodeSection
    platform: PlatformSection
    operators: OperatorsSection
    secrets: SecretsSection
    limits: LimitsSection = LimitsSection()
    times: TimesSection = TimesSection()
    metrics: MetricsSection = MetricsSection()
    log: LogSection = LogSection()

    @field_validator("operators")
    @classmethod
    def _check_keys_decode(cls, value: OperatorsSection) -> OperatorsSection:
        from moledale.bundle.signing import decode_public_key

        for name, key in value.keys.items():
            if decode_public_key(key) is None:
                raise ValueError(f"keys.{name} is not a base64 Ed25519 public key")
        return value


class Secrets(BaseModel):
    """Values of the secrets, excluded from `repr`."""

    peer: str = Field(repr=False)
    operator: str = Field(repr=False)


def parse(source: str, text: str) -> Result[Settings, list[Finding]]:
    """Parse and validate TOML text; `source` is the file name to put into findings."""
    try:
        data = decode_toml(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Finding(source, "", f"not valid TOML: {error}")])
    try:
        return Ok(Settings.model_validate(data))
    except ValidationError as error:
        return Err(from_validation(source, error))


def load(path: Path) -> Result[Settings, list[Finding]]:
    """Read and validate a settings file."""
    try:
        text = path.read_text("utf-8")
    except (OSError, ValueError) as error:
        return Err([Finding(str(path), "", f"can't be read: {type(error).__name__}")])
    return parse(str(path), text)


def read_secrets(source: str, settings: Settings) -> Result[Secrets, list[Finding]]:
    """Read all secrets; return a finding for each one that can't be read."""
    peer = settings.secrets.peer.read()
    operator = settings.secrets.operator.read()
    findings = [
        Finding(source, f"secrets.{name}", outcome.unwrap_err())
        for name, outcome in (("peer", peer), ("operator", operator))
        if outcome.is_err()
    ]
    if findings:
        return Err(findings)
    return Ok(Secrets(peer=peer.unwrap(), operator=operator.unwrap()))
