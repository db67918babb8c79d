"""Streams in flight and leaving servers, as evacuation keeps track of them."""

import asyncio
from collections.abc import Callable
from math import inf
from typing import Protocol

import msgspec
from result import Result

from moledale.gateway.messages import RequestFacts, Server
from moledale.gateway.plan import Engine
from moledale.gateway.server_notices import SERVICE_UNAVAILABLE
from moledale.gateway.server_view import Placement, ServerView
from moledale.scheduling.backups import BackupCopy
from moledale.scheduling.evacuation import Link, StreamOffer
from moledale.scheduling.evacuation_orders import FollowedPlan
from moledale.scheduling.expected_ends import RECENT_EVENT_WEIGHT, max_events_of, remaining_s
from moledale.scheduling.move_retries import retry_interval_s

LIST_AGE_S = 0.5
"""Approximate age of the time left that the list states, which is reduced by it."""

END_UNCERTAINTY_S = LIST_AGE_S
"""A server may end this much later than expected, if its entry was new when the list was read.
Streams that are still there are moved until then, since they would be lost otherwise."""

REFUSAL_TTL_S = 0.5
"""A target that refused a stream may be ordered for it again after this time: a few gossip rounds,
in which its load changes. Otherwise no target would be left after some seconds without room."""

MIN_REFUSAL_TTL_S = 0.15
"""A refusal is kept this long although the server ends soon: until it was reported (at most each 50
ms) and the plan that follows was carried out, so that the next order names another target."""

MAX_OFFERED_REFUSALS = 4
"""Maximum targets that refused a stream in its offer, the latest ones. It bounds the size of
reports: one with 40 streams and four names of seven characters each takes 2.1 KB."""

DEFAULT_PRIORITY = 5
"""Priority of a stream whose request has none."""


class Moved(msgspec.Struct, frozen=True):
    """A copy that a run can continue from.

    `handle` identifies it at its source, and `events` is the number of events made until then.
    """

    handle: str
    events: int = 0


class MoveRefused(msgspec.Struct, frozen=True):
    """No copy was made; with `handle` the run was stopped and its source still has the cache.

    `status` is that of the source's answer, 0 without one. `sent` is false if the source certainly
    did not get the order.
    """

    detail: str
    handle: str = ""
    status: int = 0
    sent: bool = True

    @property
    def target_full(self) -> bool:
        """Return whether the target has no room, or can't be reached from the source."""
        return self.status == SERVICE_UNAVAILABLE


class Engines(Protocol):
    """Sends orders to model servers."""

    async def move(
        self, source: str, run: str, target: str, last: bool, timeout_s: float
    ) -> Result[Moved, MoveRefused]:
        """Copy a run's KV cache between two addresses; with `last` the run is stopped first."""
        ...

    async def release(self, source: str, handle: str) -> None:
        """Free a copy that will not be used."""
        ...


class Continuation(msgspec.Struct):
    """Where a run continues: a placement that already counts it, and the copy it continues from.

    `source_view` is the server at the address `source`. `refusals` counts the servers that did not
    take the run. With `cut_at`, the run's server ended at that time and `source` is its backup, the
    server of the placement itself; `handle` is then the id of the request.
    """

    placement: Placement
    source: str
    handle: str
    source_view: ServerView
    refusals: int = 0
    cut_at: float | None = None


class BrokenRun(msgspec.Struct, frozen=True):
    """A run with a backup, and when its answer broke off at its placement."""

    copy: BackupCopy
    placement: Placement
    cut_at: float


class StreamRun(msgspec.Struct, eq=False):
    """A stream in flight.

    `events` counts all events of the run, `server_events` those of its current server.
    `event_tokens` is the number of tokens per event. `moving` is set while a move is tried, and
    `move_at` is the earliest time of the next try. `stopping` is set once the run is being
    stopped for a move, and `continuation` is resolved after that, with None if the move failed.

    The caller may wait `gap_s` for an event, and `priority` is 0 for the most urgent requests. A
    coordinator knows the stream by its `serial`; `refusals` are the targets of its orders that
    refused the stream, and when. `resend` ends the attempt of a request that has no event
    yet, if it may be sent to another server, and returns whether it did; `sent_elsewhere` is set by
    that. Its caller leaves at `deadline_at`. `from_backup` is set if the run continues after the
    end of its former server, and `backup` is the copy from which it may do so.
    """

    facts: RequestFacts
    service: str
    placement: Placement
    event_tokens: int = 1
    events: int = 0
    server_events: int = 0
    gap_s: float = 0.0
    priority: int = DEFAULT_PRIORITY
    resumable: bool = False
    resend: Callable[[], bool] = lambda: False
    sent_elsewhere: bool = False
    from_backup: bool = False
    backup: BackupCopy | None = None
    serial: int = 0
    refusals: dict[str, float] = {}
    stopping: bool = False
    moving: bool = False
    move_at: float = 0.0
    done: bool = False
    interval_s: float = 0.0
    last_event_at: float = 0.0
    deadline_at: float = inf
    continuation: asyncio.Future[Continuation | None] = msgspec.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def record_events(self, number: int, now: float) -> None:
        """Record new events; the interval between events is measured on the current server only."""
        if number and self.server_events:
            recent_s = (now - self.last_event_at) / number
            weight = RECENT_EVENT_WEIGHT if self.interval_s else 1.0
            self.interval_s += weight * (recent_s - self.interval_s)
        self.events += number
        self.server_events += number
        if self.placement.claim is not None:
            self.placement.claim.record_made(self.events * self.event_tokens)
        self.last_event_at = now

    def remaining_s(self, now: float) -> float:
        """Estimate the time until the stream ends."""
        max_events = max_events_of(self.facts.answer_tokens, self.event_tokens)
        waited_s = now - self.last_event_at
        return remaining_s(max_events, self.events, self.server_events, self.interval_s, waited_s)

    def tokens(self) -> int:
        """Return the tokens in the server's KV cache."""
        return self.facts.prompt_tokens + self.events * self.event_tokens

    def record_refusal(self, target: str, now: float) -> None:
        """Record that the target of an order did not take the stream."""
        self.refusals[target] = now

    @property
    def refused_by(self) -> frozenset[str]:
        """Return the targets of orders that did not take the stream."""
        return frozenset(self.refusals)

    def offer(self, now: float, left_s: float = inf) -> StreamOffer:
        """Return what the coordinator has to know of the stream; old refusals are forgotten.

        Its server ends in `left_s`.
        """
        kept_s = max(MIN_REFUSAL_TTL_S, retry_interval_s(REFUSAL_TTL_S, left_s))
        self.refusals = {target: at for target, at in self.refusals.items() if now - at <= kept_s}
        latest = sorted(self.refusals, key=lambda target: self.refusals[target])
        return StreamOffer(
            self.serial,
            self.tokens(),
            max(self.tokens(), self.facts.tokens),
            round(self.remaining_s(now) * 1000),
            round(self.gap_s * 1000),
            self.resumable,
            self.priority,
            self.moving or self.stopping,
            tuple(sorted(latest[-MAX_OFFERED_REFUSALS:])),
        )


class Leaving(msgspec.Struct, eq=False):
    """A server that is expected to end at `ends_at`.

    `stated` is set if the server list states that time. `active` is set while a task moves this
    node's streams off the server, and `wake` is resolved once that task has something new to do.
    `alone` is set once the node follows its own plan.
    """

    server: Server
    engine: Engine
    ends_at: float
    stated: bool = False
    active: bool = False
    alone: bool = False
    followed: FollowedPlan = msgspec.field(default_factory=FollowedPlan)
    wake: asyncio.Future[None] | None = None

    def may_serve(self, now: float) -> bool:
        """Return whether the server may not have ended yet."""
        return now < self.ends_at + END_UNCERTAINTY_S

    def notify(self) -> None:
        """Wake the task that moves the streams."""
        if self.wake is not None and not self.wake.done():
            self.wake.set_result(None)


class Coordination(Protocol):
    """Connects a node's evacuation with the coordinators of leaving servers."""

    def applies(self, service: str) -> bool:
        """Return whether evacuations of a service are coordinated."""
        ...

    def report(self, leaving: Leaving, sequence: int, streams: list[StreamOffer]) -> None:
        """Send the streams on a leaving server to its coordinator."""
        ...


def link_of(engine: Engine) -> Link:
    """Return the link of an engine's servers."""
    return Link(engine.token_bytes, engine.link_mbps)
