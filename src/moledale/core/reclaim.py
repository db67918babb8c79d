"""What becomes of each session on a server that is taken back: live streams and idle caches."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

NOTICE_MARGIN_S = 0.5
"""Part of a notice that is never planned with."""


MAX_TRANSFER_TO_PREFILL_RATIO = 4.0
"""A transfer may take this many times as long as computing again: it takes no server's time."""

IDLE_RETURN_SHARE = 0.5
"""Part of the idle sessions that are taken to have another turn soon."""


class ReclaimAction(StrEnum):
    """The ways to bring a stream through a reclaim."""

    FINISH = "finish"
    MOVE = "move"
    PREFILL = "prefill"


@dataclass(frozen=True, slots=True)
class HeldSession:
    """A session on the leaving server; times in seconds, sizes in bytes.

    An idle one has no stream now, only a cache that its next turn would use; for it, `PREFILL`
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
    """What there is to work with until the server is gone.

    `bandwidth_bytes_per_s` is this node's part of the link out of the server, in bytes a second;
    `prefill_tokens_per_s` is the speed at which another server would compute the context anew.
    """

    notice_s: float
    bandwidth_bytes_per_s: float
    prefill_tokens_per_s: float


def plan(streams: Sequence[HeldSession], view: ReclaimView) -> dict[str, ReclaimAction]:
    """Choose a course for each stream.

    Streams that end within the notice stay. The others move in order of the value of what a
    move saves for each second of the link, as long as their transfers fit in the notice; what
    doesn't fit is prefilled elsewhere, which needs nothing from the leaving server.
    """
    usable_s = max(0.0, view.notice_s - NOTICE_MARGIN_S)
    courses = {
        stream.id: ReclaimAction.FINISH
        for stream in streams
        if not stream.idle and stream.remaining_s <= usable_s
    }
    rest = [stream for stream in streams if stream.id not in courses]
    rest.sort(key=lambda stream: (-_value_per_s(stream, view), stream.id))
    spent_s = 0.0
    for stream in rest:
        transfer_s = _transfer_s(stream, view)
        fits = spent_s + transfer_s <= usable_s
        if fits and transfer_s <= _prefill_s(stream, view) * MAX_TRANSFER_TO_PREFILL_RATIO:
            courses[stream.id] = ReclaimAction.MOVE
            spent_s += transfer_s
        else:
            courses[stream.id] = ReclaimAction.PREFILL
    return courses


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
