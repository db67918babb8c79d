"""Polls followed servers for load reports and cache events."""

import asyncio
import random
from collections.abc import Callable

from result import Err

from moledale.clock import Clock
from moledale.core.routing import LoadTracker, ServerView
from moledale.log import Event, emit
from moledale.node.messages import ServerGone, ServerMessage, ServerReported
from moledale.servers.types import ModelServers

DOWN_AFTER_FAILED_POLLS = 3
"""Unanswered polls in a row after which a server is considered down and gets no new work."""

NO_MODEL_POLL_INTERVAL_S = 1.0
"""Time between polls of a server that has not loaded a model yet."""

EVENT_POLL_SHARE = 0.1
"""Share of the polls that ask for cache events instead of load."""


class ServerWatch:
    """Polls servers that have not recently sent a load report along with an answer.

    The total poll rate is fixed instead of an interval per server, so that a node's polling cost
    does not grow with the number of servers it follows. The server without a report for longest is
    polled first.
    """

    def __init__(
        self,
        servers: ModelServers,
        load_tracker: LoadTracker,
        notify: Callable[[ServerMessage], None],
        poll_s: float,
        polls_per_s: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._servers = servers
        self._load_tracker = load_tracker
        self._notify = notify
        self._poll_s = poll_s
        self._polls_per_s = polls_per_s
        self._polled_at: dict[str, float] = {}
        self._event_poll_credit = 0.0
        self._clock = clock
        self._rng = rng
        self._failed_polls: dict[str, int] = {}
        self._last_event_sequences: dict[str, int] = {}

    async def run(self) -> None:
        """Poll forever, at the configured rate with jitter."""
        while True:
            await self.poll()
            await self._clock.sleep(self._rng.uniform(0.75, 1.25) / self._polls_per_s)

    async def poll(self) -> None:
        """Poll all new servers, or else one: for cache events, or the most overdue for its load."""
        views = list(self._load_tracker.views.values())
        new = [view for view in views if view.id not in self._polled_at]
        self._polled_at = {
            name: at for name, at in self._polled_at.items() if name in self._load_tracker.views
        }
        self._failed_polls = {
            name: n for name, n in self._failed_polls.items() if name in self._load_tracker.views
        }
        now = self._clock.monotonic()
        if new:
            await asyncio.gather(*(self._poll_load(view) for view in new))
            return
        self._event_poll_credit += EVENT_POLL_SHARE
        if self._event_poll_credit >= 1.0:
            self._event_poll_credit -= 1.0
            await self._poll_events_of_one(views)
            return
        due = [
            view
            for view in views
            if now - self._last_contact_at(view) >= self._poll_interval_s(view)
        ]
        if due:
            await self._poll_load(min(due, key=self._last_contact_at))

    def _poll_interval_s(self, view: ServerView) -> float:
        """Return the poll interval of a server, which is shorter until it has loaded a model."""
        return self._poll_s if view.models else min(self._poll_s, NO_MODEL_POLL_INTERVAL_S)

    def _last_contact_at(self, view: ServerView) -> float:
        return max(view.reported_at, self._polled_at[view.id])

    async def _poll_events_of_one(self, views: list[ServerView]) -> None:
        """Poll a random server that should hold caches for its evictions."""
        holding = [view for view in views if view.cached]
        if holding:
            await self._poll_events(self._rng.choice(holding))

    async def _poll_load(self, view: ServerView) -> None:
        sent_at = self._clock.monotonic()
        self._polled_at[view.id] = sent_at
        outcome = await self._servers.load(view.address)
        if isinstance(outcome, Err):
            failures = self._failed_polls.get(view.id, 0) + 1
            self._failed_polls[view.id] = failures
            if failures == DOWN_AFTER_FAILED_POLLS:
                emit(Event.SERVER_DOWN, server=view.id, detail=outcome.err_value.detail)
                self._notify(ServerGone(view.id, "does not answer"))
            return
        self._failed_polls[view.id] = 0
        self._notify(ServerReported(outcome.ok_value, self._clock.monotonic() - sent_at))

    async def _poll_events(self, view: ServerView) -> None:
        """Apply evictions; after a sequence gap, forget all sessions cached on the server."""
        last_sequence = self._last_event_sequences.get(view.id, 0)
        outcome = await self._servers.cache_events(view.address, last_sequence)
        if isinstance(outcome, Err):
            return
        for event in outcome.ok_value:
            if last_sequence and event.sequence != last_sequence + 1:
                for session in list(view.cached):
                    self._load_tracker.forget_session(session)
            last_sequence = event.sequence
            if event.kind == "evicted" and self._load_tracker.server_of(event.session) == view.id:
                self._load_tracker.forget_session(event.session)
        self._last_event_sequences[view.id] = last_sequence
