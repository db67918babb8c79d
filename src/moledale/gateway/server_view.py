"""A backend server as one node sees it, with estimates from its answers and silences."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from moledale.gateway.messages import PromptPart, Server
from moledale.gateway.server_model import PrefillTracker, Slowness
from moledale.gateway.server_stalls import ServerStalls
from moledale.gateway.server_standing import ServerStanding
from moledale.scheduling.engine_memory import Claim, Demand

EWMA_WEIGHT = 0.2
"""Weight of a new answer in the moving averages of a server's answer time and share of failures:
about the last five count."""

ENGINE_SILENCE_S = 0.8
"""An engine with several requests is silent after this time: its steps take 3 to 20 ms. It is not
derived from the pauses that routes allow (0.25 to 0.5 s), which are over by then."""

SINGLE_REQUEST_SILENCE_S = 2.5
"""An engine with a single request gets more time, since that may be a long prefill, unless a
request has failed there for its silence already."""

LOST_SILENCE_S = 1.3
"""A sound server may send nothing for a second or so and then go on. It gets no new requests by
then, but those that it runs are sent elsewhere only after this time."""

MIN_PLAIN_SILENCE_S = 0.3
PLAIN_SILENCE_FACTOR = 6.0
"""A plain server is silent after this many of its average answer times, and not before
`MIN_PLAIN_SILENCE_S`."""


class ServerView(msgspec.Struct, eq=False):
    """A server as this node sees it; `on_change` is called on each change of its load or standing.

    `running` and `prefill_tokens` are the requests of this node there and their prompt tokens that
    wait for prefill, `peers_running` and `peers_prefill` those of other nodes. `failed_share` and
    `answer_s` are moving averages over its answers. `standing` is what is known of its readiness.
    `cached` holds the prompt parts in its cache with their tokens, the least recently used first.
    `has_engine` tells whether the plan gives its service an engine (see `ServerGroup.set_engine`).
    `relative_speed` is its prefill speed relative to its service (see `scheduling.performance`).
    `room` and `own_room` are how many requests of all nodes and of this node it may get at a time,
    None if that is not bounded. All times are monotonic seconds.
    """

    server: Server
    running: int = 0
    prefill_tokens: int = 0
    peers_running: int = 0
    peers_prefill: int = 0
    failed_share: float = 0.0
    answer_s: float = 0.02
    standing: ServerStanding = msgspec.field(default_factory=ServerStanding)
    last_data_at: float = 0.0
    busy_since: float = 0.0
    cached: OrderedDict[str, int] = msgspec.field(default_factory=OrderedDict)
    cached_tokens: int = 0
    slowness: Slowness = msgspec.field(default_factory=Slowness)
    prefill_times: PrefillTracker = msgspec.field(default_factory=PrefillTracker)
    on_change: Callable[["ServerView"], None] | None = None
    has_engine: bool = False
    relative_speed: float = 1.0
    stalls: ServerStalls = msgspec.field(default_factory=ServerStalls)
    room: int | None = None
    own_room: int | None = None

    def notify_change(self) -> None:
        """Report that the load or the standing of the server changed."""
        if self.on_change is not None:
            self.on_change(self)

    def add_peer_load(self, running: int, prefill: int) -> None:
        """Add to the load that other nodes have there; the numbers may be negative."""
        self.peers_running += running
        self.peers_prefill += prefill
        self.notify_change()

    def pause(self, until: float) -> None:
        """Deprioritize the server as a silent one until the given time."""
        self.standing.pause(until)
        self.notify_change()

    def hold_until(self, until: float) -> None:
        """Send the server no requests before the given time, for lack of a permit."""
        self.standing.held_until = until
        self.notify_change()

    def record_decline(self, now: float, retry_after_s: float | None) -> None:
        """Record that the server rejected a request, maybe with a time to retry."""
        self.standing.record_decline(now, retry_after_s)
        self.notify_change()

    def record_accepted(self, sent_at: float) -> None:
        """Record that the server accepted a request that was sent at `sent_at`."""
        if self.standing.record_accepted(sent_at):
            self.notify_change()

    def record_peer_decline(self, now: float, until: float) -> None:
        """Record that the server rejected requests of other nodes."""
        self.standing.record_peer_decline(now, until)
        self.notify_change()

    @property
    def limit_per_s(self) -> float | None:
        """Return the requests per second accepted from all nodes, or None without a limit."""
        return self.standing.limit.per_s

    def is_open(self, now: float) -> bool:
        """Return whether the server is neither leaving nor backing off."""
        return not self.server.leaving and self.standing.retry_at <= now

    def is_closed(self, now: float) -> bool:
        """Return whether this node may not send to the server now, even if no other one is open."""
        return not self.is_open(now) or self.standing.is_held(now) or self.is_full

    @property
    def is_full(self) -> bool:
        """Return whether the server has as many requests as it may get at a time."""
        if self.own_room is not None and self.running >= self.own_room:
            return True
        return self.room is not None and self.total_running >= self.room

    def set_rooms(self, room: int | None, own_room: int | None) -> None:
        """Set how many requests of all nodes and of this node the server may get at a time."""
        if (room, own_room) != (self.room, self.own_room):
            self.room, self.own_room = room, own_room
            self.notify_change()

    def is_deprioritized(self, now: float) -> bool:
        """Return whether the server gets requests only if no other one may."""
        return self.standing.is_deprioritized(now)

    @property
    def total_running(self) -> int:
        """Return the requests that all nodes have running there.

        Updates may arrive out of order, so the count of other nodes may be below zero for a moment.
        """
        return max(0, self.running + self.peers_running)

    @property
    def total_prefill(self) -> int:
        """Return the prompt tokens of all nodes that wait for prefill there."""
        return max(0, self.prefill_tokens + self.peers_prefill)

    def record_data(self, now: float) -> None:
        """Record that the server sent data."""
        self.stalls.record_data(self.silent_s(now), now)
        self.last_data_at = now

    def is_stall_counted(self, sent_at: float, now: float) -> bool:
        """Return whether an outcome was counted already for the stall that delayed a request."""
        return self.stalls.is_counted(sent_at, self.silent_s(now), now)

    def silent_s(self, now: float) -> float:
        """Return for how long no data came while requests were running there."""
        return now - max(self.last_data_at, self.busy_since) if self.running else 0.0

    def is_silent(self, now: float) -> bool:
        """Return whether no data came for so long that the server may be unreachable."""
        if not self.has_engine:
            max_silence_s = max(MIN_PLAIN_SILENCE_S, PLAIN_SILENCE_FACTOR * self.answer_s)
        else:
            use_short_limit = self.running > 1 or self.standing.failures
            max_silence_s = ENGINE_SILENCE_S if use_short_limit else SINGLE_REQUEST_SILENCE_S
        return self.silent_s(now) > max_silence_s

    def is_lost(self, now: float) -> bool:
        """Return whether no data came for longer than a sound server falls silent."""
        return self.is_silent(now) and self.silent_s(now) > LOST_SILENCE_S

    def record_cached(self, parts: tuple[PromptPart, ...], capacity: int) -> list[str]:
        """Record a prompt's parts as cached at the server; return the ids of evicted parts."""
        for part in parts:
            if part.tokens <= 0:
                continue
            if part.id not in self.cached:
                self.cached_tokens += part.tokens
                self.cached[part.id] = part.tokens
            self.cached.move_to_end(part.id)
        evicted = []
        while self.cached_tokens > capacity and self.cached:
            name, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens
            evicted.append(name)
        return evicted

    def cached_prefix_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens of a prompt's prefix that is in the server's cache."""
        tokens = 0
        for part in parts:
            if part.tokens <= 0:
                continue
            if part.id not in self.cached:
                break
            tokens += part.tokens
        return tokens


class Placement(msgspec.Struct):
    """A request counted on a server until it ends.

    `work`, `uncached`, `queued_ahead` (prompt tokens) and `concurrent` (requests) are the estimates
    at the time of the choice. `prefill` is the part of `work` that still counts as queued, 0
    after the first token. `cumulative_work` is all work placed there so far, including this
    request. The server fetches `fetched` tokens of the prefix from the one at `fetch_from`.
    `first_at` is when the first event came. `outcome_recorded` is set once the answer, or the lack
    of one, was reported for the server's version, and `permitted` if the server states a limit and
    a permit was granted. `on_first_event` is called with the time that the first event took, and
    the time now. `claim` is what it takes of the engine, if that is counted.
    """

    view: ServerView
    prefill: int
    sent_at: float
    work: int = 0
    uncached: int = 0
    queued_ahead: int = 0
    concurrent: int = 0
    cumulative_work: float = 0.0
    fetch_from: str = ""
    fetched: int = 0
    fetching_s: float = 0.0
    first_at: float = 0.0
    route: str = ""
    outcome_recorded: bool = False
    permitted: bool = False
    on_first_event: Callable[[float, float], None] | None = None
    ended: bool = False
    claim: Claim | None = None

    @property
    def demand(self) -> Demand | None:
        """Return what the request asks of an engine, if that is counted."""
        return self.claim.demand if self.claim is not None else None

    def on_first_token(self) -> None:
        """Record that the prefill is done."""
        if self.prefill:
            self.view.prefill_tokens -= self.prefill
            self.prefill = 0
            self.view.notify_change()

    def end(self) -> None:
        """Stop counting the request; a second call changes nothing."""
        if self.ended:
            return
        self.ended = True
        self.view.prefill_tokens -= self.prefill
        self.prefill = 0
        self.view.running -= 1
        if self.claim is not None:
            self.claim.end()
        self.view.notify_change()


def record_answer(view: ServerView, failed: bool, took_s: float) -> None:
    """Update a server's estimates with an answer."""
    view.standing.failures = 0
    view.failed_share += EWMA_WEIGHT * (float(failed) - view.failed_share)
    view.answer_s += EWMA_WEIGHT * (min(took_s, 2.0) - view.answer_s)
    view.notify_change()


def record_silence(view: ServerView, now: float) -> None:
    """Record that a server can't be reached or broke off an answer: pause it, longer each time."""
    view.standing.record_failure(now)
    view.failed_share += EWMA_WEIGHT * (1.0 - view.failed_share)
    view.notify_change()
