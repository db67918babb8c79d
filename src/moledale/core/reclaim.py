"""Plans how the live streams and idle caches of a reclaimed server are preserved."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

NOTICE_MARGIN_S = 0.5
"""Part of a notice that plans never use."""


MAX_TRANSFER_TO_PREFILL_RATIO = 4.0
"""A transfer may take this many times as long as a new prefill, as it uses no server's compute."""

IDLE_RETURN_SHARE = 0.5
"""Share of the idle sessions that are expected to have another turn soon."""


class ReclaimAction(StrEnum):
    """The ways to bring a stream through a reclaim."""

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


def plan(streams: Sequence[HeldSession], view: ReclaimView) -> dict[str, ReclaimAction]:
    """Choose an action for each session.

    Streams that finish within the notice stay. The others move in order of the prefill time that a
    move saves per second of link time, weighted by priority and for idle caches by the chance of a
    return, as long as their transfers fit in the notice. What doesn't fit is prefilled elsewhere,
    which needs nothing from the leaving server.
    """
    usable_s = max(0.0, view.notice_s - NOTICE_MARGIN_S)
    actions = {
        stream.id: ReclaimAction.FINISH
        for stream in streams
        if not stream.idle and stream.remaining_s <= usable_s
    }
    rest = [stream for stream in streams if stream.id not in actions]
    rest.sort(key=lambda stream: (-_value_per_s(stream, view), stream.id))
    link_used_s = 0.0
    for stream in rest:
        transfer_s = _transfer_s(stream, view)
        fits = link_used_s + transfer_s <= usable_s
        if fits and transfer_s <= _prefill_s(stream, view) * MAX_TRANSFER_TO_PREFILL_RATIO:
            actions[stream.id] = ReclaimAction.MOVE
            link_used_s += transfer_s
        else:
            actions[stream.id] = ReclaimAction.PREFILL
    return actions


def _transfer_s(stream: HeldSession, view: ReclaimView) -> float:
    return (
        stream.kv_bytes / view.bandwidth_bytes_per_s
        if view.bandwidth_bytes_per_s > 0
        else float("inf")
    )


def _prefill_s(stream: HeldSession, view: ReclaimView) -> float:
    return stream.context_tokens / view.prefill_tokens_per_s


def _value_per_s(stream: HeldSession, view: ReclaimView) -> float:
    saved = _prefill_s(stream, view) * (2.0 if stream.immediate else 1.0)
    saved *= IDLE_RETURN_SHARE if stream.idle else 1.0
    return saved / max(1e-6, _transfer_s(stream, view))
