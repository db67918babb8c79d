"""Places requests on servers, with a permit where the server states a limit."""

import asyncio
from collections.abc import Callable

import msgspec

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.choice import Choice, PlacementRefused
from moledale.gateway.messages import RequestFacts
from moledale.gateway.permits import PERMIT_TIMEOUT_S, PermitClient
from moledale.gateway.plan import Engine
from moledale.gateway.server_view import Placement
from moledale.scheduling.engine_memory import Demand

MAX_REFUSED_PERMITS = 2
"""Refused permits after which a request goes to a server without a limit, if there is one."""

MAX_PERMIT_REQUESTS = 8
"""Maximum permits that one request asks for when all servers state limits: each takes 1 ms."""


ROOM_POLL_INTERVAL_S = 0.01
"""Interval at which a request checks whether a full server has room."""


PlacementCheck = Callable[[Choice, float], Callable[[float, float], None]]
"""Raises `PlacementRefused`, or returns what is called with the time to the first event and now."""


class PlacementRequest(msgspec.Struct, frozen=True):
    """What a request needs of a server.

    `max_wait_s` is how long it may wait for a permit of a server with a limit if no other server is
    free, and `permit_timeout_s` is the timeout for the answer of the node that grants permits. With
    a `trial_share`, a server that takes this share of the load for a new version is preferred. A
    `moved` request brings its KV cache along. `check` decides on the first choice, before anything
    is counted or a permit is requested. Servers that are `avoided` are used only if there is no
    other. With a `demand`, what requests take of engines counts.
    """

    service: str
    facts: RequestFacts
    engine: Engine | None
    excluded: frozenset[str] = frozenset()
    trial_share: float = 0.0
    moved: bool = False
    max_wait_s: float = 0.0
    permit_timeout_s: float = PERMIT_TIMEOUT_S
    check: PlacementCheck | None = None
    avoided: frozenset[str] = frozenset()
    demand: Demand | None = None


class Placer:
    """Chooses a server for each request and counts the request there."""

    def __init__(
        self, balancer: LoadBalancer, permits: PermitClient, now: Callable[[], float]
    ) -> None:
        self._balancer = balancer
        self._permits = permits
        self._now = now

    async def place(self, request: PlacementRequest) -> Placement | None:
        """Choose a server and count the request there; return None if none is available in time.

        If the server states no limit, nothing is awaited between the two steps, so no other request
        can change the load in between. A refusal by the request's check is raised.
        """
        return (
            await self._place_now(request)
            or await self._wait_for_room(request)
            or await self._wait_for_permit(request)
        )

    async def _place_now(self, request: PlacementRequest) -> Placement | None:
        """Place the request on a server that takes it now, None if there is none."""
        on_first_event = None
        for refused in range(MAX_PERMIT_REQUESTS):
            choice = self._choose(request, refused)
            if choice is None:
                break
            if refused == 0 and request.check is not None:
                choice, on_first_event = self._checked(request, choice, request.check)
            view = choice.view
            limited = view.limit_per_s is not None
            if not limited or await self._permits.take(view, timeout_s=request.permit_timeout_s):
                placement = self._reserve(choice, request, limited)
                placement.on_first_event = on_first_event
                return placement
        return None

    async def _wait_for_room(self, request: PlacementRequest) -> Placement | None:
        """Wait up to `max_wait_s` until a full server has room; place the request there."""
        group = self._balancer.group(request.service)
        ends_at = self._now() + request.max_wait_s
        while group.has_full_servers and self._now() < ends_at:
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)
            placement = await self._place_now(request)
            if placement is not None:
                return placement
        return None

    def _checked(
        self, request: PlacementRequest, choice: Choice, check: PlacementCheck
    ) -> tuple[Choice, Callable[[float, float], None]]:
        """Return the choice that the request's check accepts, and what the check returned.

        A server on trial need not be the best one, so its refusal does not count.
        """
        try:
            return choice, check(choice, self._now())
        except PlacementRefused:
            if not request.trial_share:
                self._balancer.record_refused(choice)
                raise
        without_trial = msgspec.structs.replace(request, trial_share=0.0)
        best = self._choose(without_trial, 0) or choice
        return self._checked(without_trial, best, check)

    def _choose(self, request: PlacementRequest, refused: int) -> Choice | None:
        choice = None
        avoided = request.avoided
        if refused >= MAX_REFUSED_PERMITS:
            avoided |= self._balancer.group(request.service).limited.names
        if avoided:
            choice = self._choose_excluding(request, request.excluded | avoided)
        return choice or self._choose_excluding(request, request.excluded)

    def _choose_excluding(
        self, request: PlacementRequest, excluded: frozenset[str]
    ) -> Choice | None:
        return self._balancer.choose(
            request.service,
            request.facts,
            request.engine,
            self._now(),
            excluded,
            request.trial_share,
            None,
            request.demand,
        )

    async def _wait_for_permit(self, request: PlacementRequest) -> Placement | None:
        """Wait up to `max_wait_s` for the next permit of any server; place the request there."""
        view = self._balancer.group(request.service).closed.first_permitted(request.excluded)
        if view is None or view.limit_per_s is None:
            return None
        if view.standing.held_until - self._now() > request.max_wait_s:
            return None
        if not await self._permits.take(view, request.max_wait_s, request.permit_timeout_s):
            return None
        if not view.is_open(self._now()):
            return None
        choice = self._balancer.choose(
            request.service,
            request.facts,
            request.engine,
            self._now(),
            only=view,
            demand=request.demand,
        )
        return None if choice is None else self._reserve(choice, request, True)

    def _reserve(self, choice: Choice, request: PlacementRequest, permitted: bool) -> Placement:
        placement = self._balancer.reserve(choice, self._now(), request.moved)
        placement.permitted = permitted
        return placement
