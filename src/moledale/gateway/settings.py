"""Settings of a gateway node, read from TOML; all errors are reported with their location."""

import tomllib
from math import inf
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from moledale.decoding import decode_toml
from moledale.findings import Finding
from moledale.host_port import split_address

MAX_NAME_CHARS = 255
"""Longest id, hall or region: messages to peers and headers carry them."""

POSITIVE_BOUNDS = ("apply_s", "retry_window_s", "usage_window_s")
"""Bounds that other figures are divided by, or that pace calls."""

LOG_LEVELS = ("debug", "info", "notice", "warning", "error", "critical")


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the tables in the file; unknown keys are reported as findings."""


class Identity(Table, frozen=True):
    """Identity of this node and the addresses on which it listens (`host:port`).

    `callers` accepts requests of callers, `control`, `directory` and `readiness` accept control
    requests, and `peers` is the gossip address. `seeds` are addresses on other nodes' hosts, whose
    gossip port is taken to be that of `peers`. `first_start` is set if the whole system starts for
    the first time, so that no request was served before. `cores` and `link_mbps` describe the
    instance, and `halls` lists all halls in which nodes may serve.
    """

    id: str
    hall: str
    region: str
    callers: str
    control: str
    directory: str
    readiness: str
    peers: str
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    cores: float = 1.0
    link_mbps: float = 1000.0
    halls: tuple[str, ...] = ()


class Outside(Table, frozen=True):
    """Addresses of the platform's services (`host:port`)."""

    store: str
    cloud: str = ""


class Bounds(Table, frozen=True):
    """Times and ratios that the whole system observes; times are in seconds.

    `stop_s` is the maximum duration of a planned stop, `leave_s` the time after which a leaving
    server may get no new work, `apply_s` the time within which a plan is in force, `address_ttl_s`
    the time for which callers cache an answer of the directory, and `lease_s` the minimum time
    between two holders of a duty. Retries within `retry_window_s` are limited to
    `retry_ratio` of the requests plus `retry_slack`.

    Within each `limit_window_s` an account may use its rate over that time plus its burst; with 0.0
    the burst is granted only once. The total of a window may be exceeded by the fraction
    `limit_share` of it plus `limit_tokens`. Usage is counted in windows of `usage_window_s`. By the
    time a new server version is found to be bad, it may have received the fraction `exposure_share`
    of the requests plus `exposure_free`.
    """

    stop_s: float = 8.0
    leave_s: float = 2.0
    apply_s: float = 2.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    address_ttl_s: float = 2.0
    limit_window_s: float = 0.0
    limit_share: float = 0.0
    limit_tokens: float = 0.0
    exposure_share: float = 0.1
    exposure_free: float = 50.0


class Scheduling(Table, frozen=True):
    """Switches of the scheduling features, all off by default.

    A feature applies to the services with a model engine and a stream route whose longest allowed
    pause is `max_pause_s` or less. There, a queue at a server or a lost stream makes answers late.
    """

    max_pause_s: float = 0.0
    evacuation: bool = False
    overload: bool = False
    fair_shares: bool = False
    performance: bool = False
    unheard_load: bool = False
    move_slots: bool = False
    loss_series: bool = False
    backups: bool = False
    engine_memory: bool = False


class GatewaySettings(Table, frozen=True):
    """All settings of one gateway node."""

    node: Identity
    outside: Outside
    bounds: Bounds = Bounds()
    scheduling: Scheduling = Scheduling()
    log_level: str = "info"


def parse(source: str, text: str) -> Result[GatewaySettings, list[Finding]]:
    """Parse and validate TOML text; `source` is the file name reported in findings."""
    try:
        data = decode_toml(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Finding(source, "", f"not valid TOML: {error}")])
    try:
        settings = msgspec.convert(data, GatewaySettings, strict=False)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at ")
        return Err([Finding(source, path.strip("`$.") or "", message)])
    findings = _check(source, settings)
    return Err(findings) if findings else Ok(settings)


def load(path: Path) -> Result[GatewaySettings, list[Finding]]:
    """Read and validate a settings file."""
    try:
        text = path.read_text("utf-8")
    except (OSError, ValueError) as error:
        return Err([Finding(str(path), "", f"can't be read: {type(error).__name__}")])
    return parse(str(path), text)


def _check(source: str, settings: GatewaySettings) -> list[Finding]:
    findings = []
    node = settings.node
    addresses = {
        "node.callers": node.callers,
        "node.control": node.control,
        "node.directory": node.directory,
        "node.readiness": node.readiness,
        "node.peers": node.peers,
        "outside.store": settings.outside.store,
    }
    if settings.outside.cloud:
        addresses["outside.cloud"] = settings.outside.cloud
    for path, address in addresses.items():
        if not _is_address(address):
            findings.append(Finding(source, path, f"{address!r} is not host:port"))
    numbers = {
        f"bounds.{name}": getattr(settings.bounds, name) for name in Bounds.__struct_fields__
    }
    numbers |= {"node.cores": node.cores, "node.link_mbps": node.link_mbps}
    for path, number in numbers.items():
        if not 0 <= number < inf:
            findings.append(Finding(source, path, "must be a finite number, 0 or more"))
    for name in POSITIVE_BOUNDS:
        if getattr(settings.bounds, name) == 0:
            findings.append(Finding(source, f"bounds.{name}", "must be more than 0"))
    names = {"node.id": node.id, "node.hall": node.hall, "node.region": node.region}
    for path, name in names.items():
        if not name.isprintable() or len(name) > MAX_NAME_CHARS:
            findings.append(Finding(source, path, f"{name[:MAX_NAME_CHARS]!r} is not a name"))
    if settings.log_level.lower() not in LOG_LEVELS:
        findings.append(Finding(source, "log_level", f"must be one of {', '.join(LOG_LEVELS)}"))
    return findings + _check_scheduling(source, settings.scheduling)


def _is_address(address: str) -> bool:
    """Return whether an address can be bound or connected to; port 0 is any free one."""
    host, _, port = address.rpartition(":")
    try:
        split_address(f"{host}:1" if port == "0" else address)
    except ValueError:
        return False
    return True


def _check_scheduling(source: str, scheduling: Scheduling) -> list[Finding]:
    if not 0 <= scheduling.max_pause_s < inf:
        why = "must be a number of seconds, 0 or more"
        return [Finding(source, "scheduling.max_pause_s", why)]
    if scheduling.fair_shares and not scheduling.overload:
        why = "has no effect without scheduling.overload"
        return [Finding(source, "scheduling.fair_shares", why)]
    if scheduling.move_slots and not scheduling.evacuation:
        why = "has no effect without scheduling.evacuation"
        return [Finding(source, "scheduling.move_slots", why)]
    return []
