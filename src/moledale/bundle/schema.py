"""Schema of a bundle: models, accounts, halls, instance classes, prices, weights and targets."""

import hashlib
import tomllib
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from moledale.decoding import decode_toml
from moledale.findings import Finding, from_validation
from moledale.settings import Name, Url

KeyDigest = Annotated[str, Field(pattern=r"^sha256:[0-9a-f]{64}$")]


class Priority(StrEnum):
    """Priority class of a request, by how soon it must be answered."""

    IMMEDIATE = "immediate"
    NORMAL = "normal"
    CAN_WAIT = "can-wait"


class Market(StrEnum):
    """Market on which an instance is rented."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on-demand"


class BundleSection(BaseModel):
    """Base of the TOML tables of a bundle; unknown keys are validation errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class Model(BundleSection):
    """A model that callers may request."""

    name: Name
    context_tokens: int = Field(gt=0)
    weights_gb: float = Field(gt=0)
    kv_bytes_per_token: int = Field(default=100_000, gt=0)


class Adapter(BundleSection):
    """An adapter of a base model; callers request it by its own name, like a model."""

    name: Name
    model: Name


class Account(BundleSection):
    """A client account: its limits, and digests of its keys (never the keys themselves)."""

    name: Name
    key_digests: list[KeyDigest] = Field(min_length=1)
    requests_per_s: float = Field(gt=0)
    burst: int = Field(gt=0)
    priorities: list[Priority] = Field(default=list(Priority), min_length=1)


class Hall(BundleSection):
    """A hall that may be used, and the maximum number of instances in it."""

    name: Name
    region: Name
    most_instances: int = Field(default=1000, ge=0)


class InstanceClass(BundleSection):
    """An instance class of backend servers, with its measured throughput and its capacity.

    A server runs up to `slots` requests at once and caches up to `cache_tokens` tokens. With
    `checks_fence` it rejects orders whose lease epoch is out of date.
    """

    name: Name
    prefill_tokens_per_s: float = Field(gt=0)
    decode_tokens_per_s: float = Field(gt=0)
    slots: int = Field(gt=0)
    cache_tokens: int = Field(gt=0)
    checks_fence: bool


class Price(BundleSection):
    """Prices of an instance class in a hall, per instance and hour."""

    hall: Name
    instance_class: Name
    reclaimable: float = Field(gt=0)
    on_demand: float = Field(gt=0)


class Service(BundleSection):
    """A plain HTTP service (not a model engine) that calls are routed to by name.

    `repeatable` means that a call may safely run more than once.
    """

    name: Name
    addresses: list[Url] = Field(min_length=1)
    repeatable: bool = False
    timeout_s: float = Field(default=10.0, gt=0)


class Target(BundleSection):
    """Service level objective of a priority.

    `objective` is the share of requests whose first token must arrive within `first_token_ms`, and
    `deadline_s` the deadline of requests that state none.
    """

    priority: Priority
    first_token_ms: float = Field(gt=0)
    between_tokens_ms: float = Field(gt=0)
    objective: float = Field(gt=0, lt=1)
    deadline_s: float = Field(gt=0)


class Weights(BundleSection):
    """Relative weights of cost and recomputation in decisions."""

    cost: float = Field(ge=0)
    recompute: float = Field(ge=0)

    @model_validator(mode="after")
    def _check_any_weight(self) -> "Weights":
        if self.cost + self.recompute <= 0:
            raise ValueError("cost and recompute can't both be 0")
        return self


class Renting(BundleSection):
    """Parameters of renting instances for the demand.

    Enough capacity is rented that the demand, or at least `least_tokens_per_s`, uses `utilization`
    of what is left after the loss of the `survive_halls` largest halls. One decision makes at most
    `most_changes` changes. If `on_demand_share` is not set, it is derived from the weights.
    """

    utilization: float = Field(default=0.7, gt=0, le=1)
    survive_halls: int = Field(default=1, ge=0)
    on_demand_share: float | None = Field(default=None, ge=0, le=1)
    most_changes: int = Field(default=4, ge=1)
    least_tokens_per_s: float = Field(default=0, ge=0)


class Routing(BundleSection):
    """Parameters of the routing decision.

    `set_aside` is the share of servers that is reserved for requests that can wait.
    """

    set_aside: float = Field(default=0.2, ge=0, le=0.5)


class Bundle(BundleSection):
    """One version of the complete configuration that operators declare."""

    version: int = Field(ge=1)
    name: Name
    weights: Weights
    models: list[Model] = Field(min_length=1)
    adapters: list[Adapter] = []
    accounts: list[Account] = Field(min_length=1)
    halls: list[Hall] = Field(min_length=1)
    classes: list[InstanceClass] = Field(min_length=1)
    prices: list[Price] = Field(min_length=1)
    services: list[Service] = []
    targets: list[Target] = Field(min_length=1)
    renting: Renting = Renting()
    routing: Routing = Routing()
    format: Literal[1] = 1

    def target(self, priority: Priority) -> Target:
        """Return the target of a priority; `parse` rejects bundles that lack one."""
        return next(target for target in self.targets if target.priority == priority)

    def model(self, name: str) -> Model | None:
        """Return the model of that name, or the base model of the adapter of that name."""
        base = next((a.model for a in self.adapters if a.name == name), name)
        return next((model for model in self.models if model.name == base), None)

    def adapter(self, name: str) -> Adapter | None:
        """Return the adapter of that name."""
        return next((adapter for adapter in self.adapters if adapter.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service of that name."""
        return next((service for service in self.services if service.name == name), None)

    def instance_class(self, name: str) -> InstanceClass | None:
        """Return the class of that name."""
        return next((item for item in self.classes if item.name == name), None)

    def account_for(self, key: str) -> Account | None:
        """Return the account that owns a caller's key, or None."""
        wanted = key_digest(key)
        return next((a for a in self.accounts if wanted in a.key_digests), None)


def key_digest(key: str) -> str:
    """Return the digest under which a bundle lists an account key."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def parse(source: str, body: bytes) -> Result[Bundle, list[Finding]]:
    """Parse and validate a bundle; each finding names the key that is wrong."""
    try:
        data = decode_toml(body.decode("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err([Finding(source, "", f"not valid TOML: {error}")])
    try:
        bundle = Bundle.model_validate(data)
    except ValidationError as error:
        return Err(from_validation(source, error))
    findings = _find_inconsistencies(source, bundle)
    return Err(findings) if findings else Ok(bundle)


def _find_inconsistencies(source: str, bundle: Bundle) -> list[Finding]:
    """Return findings for duplicate names, dangling references and missing targets."""
    findings = _find_duplicates(source, bundle)
    models = {model.name for model in bundle.models}
    halls = {hall.name for hall in bundle.halls}
    classes = {item.name for item in bundle.classes}
    for index, adapter in enumerate(bundle.adapters):
        if adapter.model not in models:
            findings.append(_unknown_name(source, f"adapters[{index}].model", adapter.model))
        if adapter.name in models:
            path = f"adapters[{index}].name"
            findings.append(Finding(source, path, f"{adapter.name!r} is a model's name too"))
    for index, price in enumerate(bundle.prices):
        if price.hall not in halls:
            findings.append(_unknown_name(source, f"prices[{index}].hall", price.hall))
        if price.instance_class not in classes:
            path = f"prices[{index}].instance_class"
            findings.append(_unknown_name(source, path, price.instance_class))
    covered = {target.priority for target in bundle.targets}
    for priority in Priority:
        if priority not in covered:
            findings.append(Finding(source, "targets", f"no target for priority {priority.value}"))
    return findings


def _unknown_name(source: str, path: str, name: str) -> Finding:
    return Finding(source, path, f"{name!r} is not stated in this bundle")


def _find_duplicates(source: str, bundle: Bundle) -> list[Finding]:
    """Return a finding for each name that occurs twice where names must be unique."""
    names_by_path: dict[str, list[str]] = {
        "models": [item.name for item in bundle.models],
        "adapters": [item.name for item in bundle.adapters],
        "accounts": [item.name for item in bundle.accounts],
        "halls": [item.name for item in bundle.halls],
        "classes": [item.name for item in bundle.classes],
        "services": [item.name for item in bundle.services],
        "targets": [item.priority for item in bundle.targets],
        "prices": [f"{item.hall}/{item.instance_class}" for item in bundle.prices],
        "accounts.key_digests": [d for item in bundle.accounts for d in item.key_digests],
    }
    return [
        Finding(source, path, f"{name!r} stands more than once")
        for path, names in names_by_path.items()
        for name in sorted({n for n in names if names.count(n) > 1})
    ]
