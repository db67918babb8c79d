"""Chooses the server for a request, and tracks load including this node's own reservations.

Reserving in the same step as the choice follows "Unified routing ablation: A (tighter affinity) + B
(decode-aware LMetric)"; docs/DESIGN.md lists the parts of it that were not adopted.
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
"""A server that uses less than this share of its slots may take work that can wait."""


class Standing(StrEnum):
    """State of a server as this node sees it."""

    LIVE = "live"
    BACKOFF = "backoff"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Speeds:
    """Measured speeds of an instance class in tokens per second, and its concurrent requests."""

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slots: int


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs from a server; token counts are estimates.

    With `wait_for_cache` it may wait for a slot on the server that has its session's cache.
    """

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
    """The load that a dispatched request puts on a server until it ends."""

    id: int
    server: str
    prefill_tokens: int
    decode_tokens: int
    made_at: float


@dataclass(eq=False)
class ServerView:
    """A server as this node sees it: the last report plus this node's changes since.

    Once a `LoadTracker` follows it, its standing changes by the triggers of `SERVER_STATES`.
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
        """Return how many prompt tokens the session's cache on this server should cover."""
        return min(self.cached.get(need.session, 0), need.prompt_tokens)

    def uncached(self, need: Need) -> int:
        """Return the prompt tokens that this server would have to prefill."""
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
"""State machine of a server: one that is leaving never comes back under the same id.

A server that rejected an attempt and stated when to retry is in backoff until then.
"""


@dataclass(frozen=True, slots=True)
class RoutingParams:
    """Parameters of the choice.

    `cross_hall_s` is the latency added by a server in another hall, and `set_aside` the share of
    servers kept for work that can wait.
    """

    cross_hall_s: float = 0.002
    set_aside: float = 0.2


@dataclass(frozen=True, slots=True)
class Pick:
    """The chosen server, whether it has the session's cache, and the tokens that this covers."""

    server: str
    affinity: bool
    cached_tokens: int


def eligible(views: Iterable[ServerView], need: Need) -> list[ServerView]:
    """Return the live servers that hold the model and aren't excluded."""
    return [
        view
        for view in views
        if view.standing is Standing.LIVE
        and need.model in view.models
        and view.id not in need.excluded
    ]


def with_free_slot(views: Iterable[ServerView]) -> list[ServerView]:
    """Return the servers with a free slot."""
    return [view for view in views if view.running < view.speeds.slots]


def servers_for_priority(
    live: Sequence[ServerView], need: Need, params: RoutingParams
) -> list[ServerView]:
    """Return the servers with a free slot that a request of this priority should use.

    Long prompts that can wait slow down every step of the batch they are in. So some servers are
    set aside for them, and on others they run only if these are lightly loaded; immediate work
    avoids the set-aside servers while others have room. A hash of the servers decides which ones
    are set aside, so nodes agree without communicating.
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
    """Return whether few requests run on a server and none waits for its prefill."""
    return view.prefill_tokens == 0 and view.running < LIGHT_LOAD_SHARE * view.speeds.slots


def estimated_ttft_s(view: ServerView, need: Need) -> float:
    """Estimate the time to first token if the request went to this server."""
    work = view.prefill_tokens + view.uncached(need)
    share = view.running / view.speeds.slots
    return work / view.speeds.prefill_tokens_per_s * (1.0 + share)


def cost_s(view: ServerView, need: Need, params: RoutingParams) -> float:
    """Return the cost of a choice in seconds: time to first token plus latency to another hall."""
    cross_hall_s = params.cross_hall_s if need.hall and view.hall != need.hall else 0.0
    return estimated_ttft_s(view, need) + cross_hall_s


def pick(views: Sequence[ServerView], need: Need, params: RoutingParams) -> Pick | None:
    """Choose a server with a free slot; return None to wait for one.

    The server with most of the session's cache is preferred as long as it is eligible. If it has no
    free slot, immediate work goes elsewhere, and other work waits for it if `wait_for_cache` is
    set: on another server the whole prompt would be prefilled again, and that server time is lost
    to other requests when servers are short. Without such a server the cheapest one is chosen, and
    a rendezvous weight breaks ties the same way on every node.
    """
    live = eligible(views, need)
    holder = cache_holder(live, need)
    if holder is not None:
        if holder.running < holder.speeds.slots:
            return Pick(holder.id, True, holder.cached_for(need))
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
    """Return the server that holds most of the session's cache, or None if none holds any."""
    holder = max(live, key=lambda view: view.cached_for(need), default=None)
    return holder if holder is not None and holder.cached_for(need) > 0 else None


class LoadTracker:
    """Tracks the servers that a node follows, with its own reservations on top of their reports.

    A reservation counts until a report that was made after it, and a release is subtracted until a
    report that was made after that; so a delayed report neither hides nor doubles it.
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
        """Start following a server, or update its address, speeds and hall."""
        known = self.views.get(view.id)
        if known is None:
            self.views[view.id] = view
            SERVER_STATES.add_model(view, initial=view.standing)
            return
        known.address = view.address
        known.speeds = view.speeds
        known.hall = view.hall

    def back_off(self, server: str, until: float) -> None:
        """Make a server ineligible until `until`, as it asked for a later retry."""
        view = self.views.get(server)
        if view is not None:
            view.retry_at = max(view.retry_at, until)
            view.note_backoff()  # type: ignore[attr-defined]

    def end_backoffs(self, now: float) -> None:
        """Make servers whose backoff is over eligible again."""
        for view in self.views.values():
            if view.standing is Standing.BACKOFF and view.retry_at <= now:
                view.note_backoff_over()  # type: ignore[attr-defined]

    def retry_in_s(self, model: str, now: float) -> float | None:
        """Return the seconds until a server of the model ends its backoff, None if none does."""
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
        """Choose and reserve in one step, so that no other request can choose in between."""
        chosen = pick(list(self.views.values()), need, params)
        if chosen is None:
            return None
        return chosen, self.reserve(chosen.server, need, now)

    def reserve(self, server: str, need: Need, now: float) -> Reservation:
        """Count a request on a server from now on."""
        view = self.views[server]
        self._next_id += 1
        uncached = view.uncached(need)
        reservation = Reservation(self._next_id, server, uncached, need.prompt_tokens, now)
        self._open[reservation.id] = reservation
        self._unreported.setdefault(server, []).append(reservation.id)
        _apply_reservation(view, reservation, 1)
        return reservation

    def record_first_token(self, reservation: Reservation) -> Reservation:
        """Record that a request's prefill is complete; return what is left of its reservation."""
        if reservation.id not in self._open:
            return reservation
        view = self.views.get(reservation.server)
        if view is not None:
            view.prefill_tokens = max(0, view.prefill_tokens - reservation.prefill_tokens)
        after = Reservation(
            reservation.id, reservation.server, 0, reservation.decode_tokens, reservation.made_at
        )
        self._open[reservation.id] = after
        return after

    def release(self, reservation: Reservation, now: float) -> None:
        """Stop counting a request; a second release has no effect."""
        current = self._open.pop(reservation.id, None)
        if current is None:
            return
        view = self.views.get(reservation.server)
        if view is None:
            return
        _apply_reservation(view, current, -1)
        unreported = self._unreported.get(reservation.server, [])
        if reservation.id in unreported:
            unreported.remove(reservation.id)
        else:
            self._released.setdefault(reservation.server, []).append((now, current))

    def apply_report(self, report: LoadReport, made_at: float, now: float) -> bool:
        """Apply a report made at `made_at`; return False if it is not newer than the last one."""
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
        """Record that a server caches `tokens` of a session; only the latest server is kept."""
        view = self.views.get(server)
        if not session or view is None:
            return
        self.forget_session(session)
        view.cached[session] = tokens
        self._cached_sessions[session] = server
        if len(self._cached_sessions) > self._max_sessions:
            self.forget_session(next(iter(self._cached_sessions)))

    def forget_session(self, session: str) -> None:
        """Forget which server caches a session."""
        server = self._cached_sessions.pop(session, None)
        view = self.views.get(server) if server is not None else None
        if view is not None:
            view.cached.pop(session, None)

    def server_of(self, session: str) -> str | None:
        """Return the server that caches a session, or None if none is known to."""
        return self._cached_sessions.get(session)

    def open_reservations(self) -> int:
        """Return the number of open reservations."""
        return len(self._open)

    def _add_unreported(self, view: ServerView, made_at: float) -> None:
        unreported = []
        for reservation_id in self._unreported.get(view.id, []):
            reservation = self._open.get(reservation_id)
            if reservation is not None and reservation.made_at >= made_at:
                unreported.append(reservation_id)
                _apply_reservation(view, reservation, 1)
        self._unreported[view.id] = unreported

    def _subtract_released(self, view: ServerView, made_at: float) -> None:
        unreported = [
            (at, reservation)
            for at, reservation in self._released.get(view.id, [])
            if at >= made_at
        ]
        for _, reservation in unreported:
            _apply_reservation(view, reservation, -1)
        self._released[view.id] = unreported


def _apply_reservation(view: ServerView, reservation: Reservation, sign: int) -> None:
    view.running = max(0, view.running + sign)
    view.prefill_tokens = max(0, view.prefill_tokens + sign * reservation.prefill_tokens)
    view.decode_tokens = max(0, view.decode_tokens + sign * reservation.decode_tokens)
