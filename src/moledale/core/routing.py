"""Where a request runs: pure choice over server views, and the book that reserves with it.

Reserving in the same step as the choice follows "Unified routing ablation: A (tighter affinity)
+ B (decode-aware LMetric)"; docs/DESIGN.md says what else of it was tried and left out.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from transitions import Machine

from moledale.bundle.schema import Priority
from moledale.core.hashing import ranked, weight
from moledale.servers.types import LoadReport

SET_ASIDE_KEY = "can-wait"
LIGHT_LOAD_SHARE = 0.25
"""Part of its slots below which a server is quiet, so that work that can wait may go there."""


class Standing(StrEnum):
    """Life cycle of a server as this node sees it."""

    LIVE = "live"
    BACKOFF = "backoff"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Speeds:
    """Measured speeds of a class: tokens a second, and requests that run side by side."""

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slots: int


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs from a server; token counts are estimates."""

    model: str
    prompt_tokens: int
    max_tokens: int
    session: str = ""
    hall: str = ""
    priority: Priority = Priority.NORMAL
    excluded: frozenset[str] = frozenset()
    wait_for_cache: bool = True


@dataclass(frozen=True, slots=True)
class Reservation:
    """What a dispatched request holds of a server until it ends."""

    id: int
    server: str
    prefill_tokens: int
    decode_tokens: int
    made_at: float


@dataclass(eq=False)
class ServerView:
    """A server as this node sees it: the last report plus what this node did since.

    Its standing changes by the triggers of `SERVER_STATES` once a book follows it.
    """

    id: str
    hall: str
    address: str
    speeds: Speeds
    models: frozenset[str] = frozenset()
    standing: Standing = Standing.LIVE
    sequence: int = -1
    reported_at: float = -1.0
    running: int = 0
    prefill_tokens: int = 0
    decode_tokens: int = 0
    cached: dict[str, int] = field(default_factory=dict)
    retry_at: float = 0.0

    def cached_for(self, need: Need) -> int:
        """Return how many prompt tokens the session's cache here should cover."""
        return min(self.cached.get(need.session, 0), need.prompt_tokens)

    def uncached(self, need: Need) -> int:
        """Return the prompt tokens that this server would have to compute."""
        return need.prompt_tokens - self.cached_for(need)


SERVER_STATES: Any = Machine(
    model=None,
    model_attribute="standing",
    states=Standing,
    initial=Standing.LIVE,
    auto_transitions=False,
    transitions=[
        {"trigger": "note_leaving", "source": "*", "dest": Standing.LEAVING},
        {
            "trigger": "note_backoff",
            "source": [Standing.LIVE, Standing.BACKOFF],
            "dest": Standing.BACKOFF,
        },
        {"trigger": "note_backoff_over", "source": Standing.BACKOFF, "dest": Standing.LIVE},
        {
            "trigger": "note_silent",
            "source": [Standing.LIVE, Standing.BACKOFF],
            "dest": Standing.DOWN,
        },
        {"trigger": "note_answer", "source": Standing.DOWN, "dest": Standing.LIVE},
    ],
    ignore_invalid_triggers=True,
)
"""Life cycle of a server: one that is leaving never comes back under the same id.

A server that turned an attempt away and stated when to retry is in backoff until then.
"""


@dataclass(frozen=True, slots=True)
class RoutingParams:
    """Parameters of the choice; the bundle states them."""

    cross_hall_s: float = 0.002
    set_aside: float = 0.2


@dataclass(frozen=True, slots=True)
class Pick:
    """The chosen server and why it was chosen."""

    server: str
    affinity: bool
    cached_tokens: int


def eligible(views: Iterable[ServerView], need: Need) -> list[ServerView]:
    """Return live servers that hold the model and aren't excluded."""
    return [
        view
        for view in views
        if view.standing is Standing.LIVE
        and need.model in view.models
        and view.id not in need.excluded
    ]


def with_free_slot(views: Iterable[ServerView]) -> list[ServerView]:
    """Return servers with a free slot."""
    return [view for view in views if view.running < view.speeds.slots]


def servers_for_priority(
    live: Sequence[ServerView], need: Need, params: RoutingParams
) -> list[ServerView]:
    """Return the servers with a free slot that this priority should use.

    Long prompts that can wait slow every step of the batch they are in, so they have some
    servers set aside, and go elsewhere only where little runs; immediate work keeps off these
    servers while others have room. Which ones are set aside follows from a hash of the servers,
    so nodes agree on it without talking.
    """
    room = with_free_slot(live)
    number = round(len(live) * params.set_aside)
    if number == 0 or need.priority is Priority.NORMAL:
        return room
    aside = set(ranked(SET_ASIDE_KEY, (view.id for view in live))[:number])
    if need.priority is Priority.IMMEDIATE:
        return [view for view in room if view.id not in aside] or room
    inside = [view for view in room if view.id in aside]
    return inside or [view for view in room if is_lightly_loaded(view)]


def is_lightly_loaded(view: ServerView) -> bool:
    """Say whether little runs on a server and nothing waits for its prefill."""
    return view.prefill_tokens == 0 and view.running < LIGHT_LOAD_SHARE * view.speeds.slots


def estimated_ttft_s(view: ServerView, need: Need) -> float:
    """Estimate the seconds until the first token if the request went to this server."""
    work = view.prefill_tokens + view.uncached(need)
    share = view.running / view.speeds.slots
    return work / view.speeds.prefill_tokens_per_s * (1.0 + share)


def cost_s(view: ServerView, need: Need, params: RoutingParams) -> float:
    """Return the seconds that a choice costs: the wait, and the way to another hall."""
    away = params.cross_hall_s if need.hall and view.hall != need.hall else 0.0
    return estimated_ttft_s(view, need) + away


def pick(views: Sequence[ServerView], need: Need, params: RoutingParams) -> Pick | None:
    """Choose a server with a free slot, or None to wait for one.

    The server with most of the session's cache keeps it as long as it is there. Where it has no
    free slot, immediate work goes elsewhere, and other work waits for it while it is patient:
    what leaves its cache is computed again elsewhere, which takes more of the servers than it
    saves when they are short. Without such a server the cheapest wins, and a rendezvous weight
    breaks ties the same way on every node.
    """
    live = eligible(views, need)
    home = cache_holder(live, need)
    if home is not None:
        if home.running < home.speeds.slots:
            return Pick(home.id, True, home.cached_for(need))
        if need.wait_for_cache and need.priority is not Priority.IMMEDIATE:
            return None
    candidates = servers_for_priority(live, need, params)
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda view: (cost_s(view, need, params), -weight(need.session, view.id)),
    )
    return Pick(best.id, best.cached_for(need) > 0, best.cached_for(need))


def cache_holder(live: Sequence[ServerView], need: Need) -> ServerView | None:
    """Return the server that holds most of the session's cache, if one holds any."""
    home = max(live, key=lambda view: view.cached_for(need), default=None)
    return home if home is not None and home.cached_for(need) > 0 else None


class LoadTracker:
    """The views of the servers a node follows, with this node's own reservations on top.

    A reservation counts until a report that was made after it, and a release is taken off
    until a report that was made after that; so a lagged report neither hides nor doubles it.
    """

    def __init__(self, max_sessions: int) -> None:
        self.views: dict[str, ServerView] = {}
        self._open: dict[int, Reservation] = {}
        self._unreported: dict[str, list[int]] = {}
        self._released: dict[str, list[tuple[float, Reservation]]] = {}
        self._next_id = 0
        self._max_sessions = max_sessions
        self._cached_sessions: dict[str, str] = {}

    def follow(self, view: ServerView) -> None:
        """Start to follow a server, or take over its changed address and class."""
        known = self.views.get(view.id)
        if known is None:
            self.views[view.id] = view
            SERVER_STATES.add_model(view, initial=view.standing)
            return
        known.address = view.address
        known.speeds = view.speeds
        known.hall = view.hall

    def back_off(self, server: str, until: float) -> None:
        """Give a server nothing until some time, since it asked for that."""
        view = self.views.get(server)
        if view is not None:
            view.retry_at = max(view.retry_at, until)
            view.note_backoff()  # type: ignore[attr-defined]

    def end_backoffs(self, now: float) -> None:
        """Let servers have work again whose time is over."""
        for view in self.views.values():
            if view.standing is Standing.BACKOFF and view.retry_at <= now:
                view.note_backoff_over()  # type: ignore[attr-defined]

    def retry_in_s(self, model: str, now: float) -> float | None:
        """Return when the first server of a model may be retried, None if none asked for that."""
        waiting = (view for view in self.views.values() if view.standing is Standing.BACKOFF)
        waits = (view.retry_at - now for view in waiting if model in view.models)
        return min((max(0.0, wait_s) for wait_s in waits), default=None)

    def unfollow(self, server: str) -> None:
        """Stop following a server; open reservations may still be released."""
        view = self.views.pop(server, None)
        if view is not None:
            SERVER_STATES.remove_model(view)
        self._released.pop(server, None)
        self._unreported.pop(server, None)
        self._cached_sessions = {s: at for s, at in self._cached_sessions.items() if at != server}

    def pick_and_reserve(
        self, need: Need, params: RoutingParams, now: float
    ) -> tuple[Pick, Reservation] | None:
        """Choose and reserve in one step; there is no point between where another may choose."""
        chosen = pick(list(self.views.values()), need, params)
        if chosen is None:
            return None
        return chosen, self.reserve(chosen.server, need, now)

    def reserve(self, server: str, need: Need, now: float) -> Reservation:
        """Count a request on a server from now on."""
        view = self.views[server]
        self._next_id += 1
        uncached = view.uncached(need)
        made = Reservation(self._next_id, server, uncached, need.prompt_tokens, now)
        self._open[made.id] = made
        self._unreported.setdefault(server, []).append(made.id)
        _apply_reservation(view, made, 1)
        return made

    def record_first_token(self, made: Reservation) -> Reservation:
        """Note that a request's prefill is done."""
        if made.id not in self._open:
            return made
        view = self.views.get(made.server)
        if view is not None:
            view.prefill_tokens = max(0, view.prefill_tokens - made.prefill_tokens)
        after = Reservation(made.id, made.server, 0, made.decode_tokens, made.made_at)
        self._open[made.id] = after
        return after

    def release(self, made: Reservation, now: float) -> None:
        """Stop counting a request; releasing twice changes nothing."""
        current = self._open.pop(made.id, None)
        if current is None:
            return
        view = self.views.get(made.server)
        if view is None:
            return
        _apply_reservation(view, current, -1)
        unreported = self._unreported.get(made.server, [])
        if made.id in unreported:
            unreported.remove(made.id)
        else:
            self._released.setdefault(made.server, []).append((now, current))

    def apply_report(self, report: LoadReport, made_at: float, now: float) -> bool:
        """Take over a report made at `made_at`; an older one than the last is ignored."""
        view = self.views.get(report.server)
        if view is None or report.sequence <= view.sequence:
            return False
        view.sequence = report.sequence
        view.reported_at = now
        view.models = frozenset(report.models)
        view.running = report.running + report.waiting
        view.prefill_tokens = report.pending_prefill_tokens
        view.decode_tokens = report.decode_tokens
        self._add_unreported(view, made_at)
        self._subtract_released(view, made_at)
        return True

    def record_cache(self, session: str, server: str, tokens: int) -> None:
        """Note that a server's cache covers `tokens` of a session; the newest place counts."""
        view = self.views.get(server)
        if not session or view is None:
            return
        self.forget_session(session)
        view.cached[session] = tokens
        self._cached_sessions[session] = server
        if len(self._cached_sessions) > self._max_sessions:
            self.forget_session(next(iter(self._cached_sessions)))

    def forget_session(self, session: str) -> None:
        """Forget where a session's cache is."""
        server = self._cached_sessions.pop(session, None)
        view = self.views.get(server) if server is not None else None
        if view is not None:
            view.cached.pop(session, None)

    def server_of(self, session: str) -> str | None:
        """Return the server whose cache covers a session."""
        return self._cached_sessions.get(session)

    def open_reservations(self) -> int:
        """Return the number of requests that are counted now."""
        return len(self._open)

    def _add_unreported(self, view: ServerView, made_at: float) -> None:
        still = []
        for identity in self._unreported.get(view.id, []):
            made = self._open.get(identity)
            if made is not None and made.made_at >= made_at:
                still.append(identity)
                _apply_reservation(view, made, 1)
        self._unreported[view.id] = still

    def _subtract_released(self, view: ServerView, made_at: float) -> None:
        still = [(at, made) for at, made in self._released.get(view.id, []) if at >= made_at]
        for _, made in still:
            _apply_reservation(view, made, -1)
        self._released[view.id] = still


def _apply_reservation(view: ServerView, made: Reservation, sign: int) -> None:
    view.running = max(0, view.running + sign)
    view.prefill_tokens = max(0, view.prefill_tokens + sign * made.prefill_tokens)
    view.decode_tokens = max(0, view.decode_tokens + sign * made.decode_tokens)
