"""What operators want forwarded: routes, services, client accounts and limits of one version."""

from bisect import bisect_right
from enum import StrEnum
from itertools import accumulate

import msgspec

TOKENS = "tokens"


class Kind(StrEnum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True):
    """A service that takes a part of a route's requests in proportion to `weight`."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Requests to one host below one path; times are in seconds.

    `max_servers` bounds the servers that one request may be sent to. `target_s` is the time in
    which an answer earns its full worth, `gap_s` the longest pause in a stream that still does.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    split: tuple[Share, ...]
    time_limit_s: float
    target_s: float
    priority: int = 5
    max_servers: int = 1
    public: bool = False
    affinity: bool = False
    resumable: bool = False
    gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Say whether a request may run more than once."""
        return self.kind is Kind.SAFE or (self.kind is Kind.STREAM and self.resumable)


class Engine(msgspec.Struct, frozen=True):
    """What the model servers of a service have in common; sizes in tokens and bytes.

    `event_tokens` is the number of tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    moves: bool = False
    backups: bool = False
    handle_s: float = 5.0
    event_tokens: int = 1


class Renting(msgspec.Struct, frozen=True):
    """How many servers of a service each hall may have, and what they cost a second."""

    min_per_hall: int
    max_per_hall: int
    boot_s: float
    spot_price: float
    hall_prices: dict[str, float]


class Service(msgspec.Struct, frozen=True):
    """A set of interchangeable backend servers; `max_connections` is for each server."""

    name: str
    max_connections: int = 100
    engine: Engine | None = None
    renting: Renting | None = None


class Account(msgspec.Struct, frozen=True):
    """A client account: its keys and its limit in requests or tokens a second, 0 for none."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = ""
    default_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def price(self, tokens: int) -> float:
        """Return what a request with this many tokens takes of the limit."""
        if self.unit != TOKENS:
            return 1.0
        return float(tokens) if tokens else self.default_tokens


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send (bytes) and on how long it may take (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Plan(msgspec.Struct, frozen=True):
    """One version of everything that operators state."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] = ()
    limits: Limits = Limits()


class PlanIndex:
    """A plan, arranged for looking up routes, services and keys."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.version = plan.version
        self.limits = plan.limits
        self.services = {service.name: service for service in plan.services}
        self.has_accounts = bool(plan.accounts)
        self.accounts = {account.name: account for account in plan.accounts}
        self._by_key = {key: account for account in plan.accounts for key in account.keys}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in plan.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix of the path is the longest."""
        routes = self._hosts.get(_host_name(host))
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def account(self, key: str) -> Account | None:
        """Return the account that holds a key."""
        return self._by_key.get(key)


def _host_name(host: str) -> str:
    return host.lower().partition(":")[0]


def choose_service(route: Route, chance: float) -> str:
    """Return the service for a request; `chance` is uniform in [0, 1)."""
    if len(route.split) == 1:
        return route.split[0].service
    sums = list(accumulate(share.weight for share in route.split))
    return route.split[min(bisect_right(sums, chance * sums[-1]), len(sums) - 1)].service
