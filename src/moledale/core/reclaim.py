"""Plans how the live streams and idle caches of a reclaimed server are preserved."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

NOTICE_MARGIN_S = 0.5
"""Time at the end of a notice that plans leave unused, as a safety margin."""


MAX_TRANSFER_TO_PREFILL_RATIO = 4.0
"""A transfer may take this many times as long as a new prefill, as it uses no server's compute."""

IDLE_RETURN_SHARE = 0.5
"""Estimated share of the idle sessions that have another turn soon and so use their cache."""


class ReclaimAction(StrEnum):
    """What to do with a session: let its stream finish on the leaving server, move the KV cache to
    another server, or prefill the context there again."""

    FINISH = "finish"
    MOVE = "move"
    PREFILL = "prefill"


@dataclass(frozen=True, slots=True)
class HeldSession:
    """A session on the leaving server; times in seconds, sizes in bytes.

    An idle session has no stream now, only a cache that its next turn would use; for it, `PREFILL`
    means that nothing is done.
    """

    id: str
    context_tokens: int
    kv_bytes: int
    remaining_s: float
    immediate: bool
    idle: bool = False


@dataclass(frozen=True, slots=True)
class ReclaimView:
    """The time and bandwidth left until the server is gone.

    `bandwidth_bytes_per_s` is this node's share of the link out of the server;
    `prefill_tokens_per_s` is the speed at which another server would recompute the context.
    """

    notice_s: float
    bandwidth_bytes_per_s: float
    prefill_tokens_per_s: float


def plan(sessions: Sequence[HeldSession], view: ReclaimView) -> dict[str, ReclaimAction]:
    """Choose an action for each session.

    Streams that finish within the notice stay. The others move in order of the prefill time that a
    move saves per second of link time, as long as their transfers fit in the notice. Immediate
    streams count twice, and idle caches by the chance that they are used again. What doesn't fit
    is prefilled elsewhere, which needs nothing from the leaving server.
    """
    usable_s = max(0.0, view.notice_s - NOTICE_MARGIN_S)
    actions = {
        session.id: ReclaimAction.FINISH
        for session in sessions
        if not session.idle and session.remaining_s <= usable_s
    }
    rest = [session for session in sessions if session.id not in actions]
    rest.sort(key=lambda session: (-_value_per_s(session, view), session.id))
    link_used_s = 0.0
    for session in rest:
        transfer_s = _transfer_s(session, view)
        fits = link_used_s + transfer_s <= usable_s
        if fits and transfer_s <= _prefill_s(session, view) * MAX_TRANSFER_TO_PREFILL_RATIO:
            actions[session.id] = ReclaimAction.MOVE
            link_used_s += transfer_s
        else:
            actions[session.id] = ReclaimAction.PREFILL
    return actions


def _transfer_s(session: HeldSession, view: ReclaimView) -> float:
    return (
        session.kv_bytes / view.bandwidth_bytes_per_s
        if view.bandwidth_bytes_per_s > 0
        else float("inf")
    )


def _prefill_s(session: HeldSession, view: ReclaimView) -> float:
    return session.context_tokens / view.prefill_tokens_per_s


def _value_per_s(session: HeldSession, view: ReclaimView) -> float:
    saved_s = _prefill_s(session, view) * (2.0 if session.immediate else 1.0)
    saved_s *= IDLE_RETURN_SHARE if session.idle else 1.0
    return saved_s / max(1e-6, _transfer_s(session, view))
