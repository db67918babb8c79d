"""The plan: routes, services, client accounts and limits, as operators configure them.

Each change by operators makes a new version of the whole plan.
"""

from bisect import bisect_right
from enum import StrEnum
from itertools import accumulate

import msgspec

TOKENS = "tokens"
"""Unit of account limits that count tokens; any other unit counts requests."""


class Kind(StrEnum):
    """Whether requests of a route may be retried, and whether answers are streams.

    `SAFE` requests may run more than once, `ONCE` requests may not. The answer to a `STREAM`
    request is a stream of events; see `Route.repeatable` for its retries.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests in proportion to `weight`."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Requests to one host whose path begins with `prefix`; times are in seconds.

    `split` distributes the requests over services. `max_servers` is the maximum number of servers
    that one request may be sent to. `target_s` is the time within which an answer earns its full
    value, and `gap_s` the longest pause with which a stream still does. A `public` route needs no
    API key. With `resumable` a broken stream may be continued at another server. `priority` applies
    to callers whose account has none; 0 is the most urgent.
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
        """Return whether a request may run more than once."""
        return self.kind is Kind.SAFE or (self.kind is Kind.STREAM and self.resumable)


class Engine(msgspec.Struct, frozen=True):
    """Properties that all model servers of a service share.

    A server runs up to `slots` requests at once and caches `cache_tokens` tokens, each of which
    takes `token_bytes` bytes. With `moves` servers can transfer cached tokens to each other.
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
    """Minimum and maximum number of servers of a service in each hall, and their prices per second.

    `boot_s` is the time from the order of a server until it serves. `hall_prices` gives prices by
    hall, and `spot_price` is that of a spot server.
    """

    min_per_hall: int
    max_per_hall: int
    boot_s: float
    spot_price: float
    hall_prices: dict[str, float]


class Service(msgspec.Struct, frozen=True):
    """A set of interchangeable backend servers; `max_connections` is per server."""

    name: str
    max_connections: int = 100
    engine: Engine | None = None
    renting: Renting | None = None


class Account(msgspec.Struct, frozen=True):
    """A client account with its API keys and its rate limit, a token bucket.

    `unit` is what `rate_per_s` and `burst` count, tokens or requests (see `TOKENS`); a rate of 0
    sets no limit. `default_tokens` is charged for a request that does not state its tokens.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = ""
    default_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def price(self, tokens: int) -> float:
        """Return the amount that a request with this many tokens uses of the limit, in its unit."""
        if self.unit != TOKENS:
            return 1.0
        return float(tokens) if tokens else self.default_tokens


class Limits(msgspec.Struct, frozen=True):
    """Maximum sizes of a caller's request in bytes, and timeouts for sending it in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Plan(msgspec.Struct, frozen=True):
    """One version of everything that operators configure."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] = ()
    limits: Limits = Limits()


class PlanIndex:
    """Looks up the routes, services and accounts of a plan.

    `max_stream_s` is the longest time limit of a route of streams, 0 without one, and
    `stream_services` are the services that such routes lead to.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.version = plan.version
        self.limits = plan.limits
        self.services = {service.name: service for service in plan.services}
        self.has_accounts = bool(plan.accounts)
        self.accounts = {account.name: account for account in plan.accounts}
        self._by_key = {key: account for account in plan.accounts for key in account.keys}
        limits_s = [each.time_limit_s for each in plan.routes if each.kind is Kind.STREAM]
        self.max_stream_s = max(limits_s, default=0.0)
        self.stream_services = frozenset(
            share.service
            for each in plan.routes
            if each.kind is Kind.STREAM
            for share in each.split
        )
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in plan.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path; None if none matches."""
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
        """Return the account with an API key; None if the key is unknown."""
        return self._by_key.get(key)


def _host_name(host: str) -> str:
    """Return a Host header's name in lower case, without the port."""
    return host.lower().partition(":")[0]


def choose_service(route: Route, draw: float) -> str:
    """Return the service for a request by weight; `draw` is a random number in [0, 1)."""
    if len(route.split) == 1:
        return route.split[0].service
    sums = list(accumulate(share.weight for share in route.split))
    return route.split[min(bisect_right(sums, draw * sums[-1]), len(sums) - 1)].service
