"""Plans which streams of a leaving server move when and where, with the room and links at hand.

A copy occupies the links of its source and its target, one copy at a time. The plan saves as many
streams as possible within the notice: those that can't be resumed first, and among them those that
take the least link time. Functions here are pure; times are seconds from the moment of the plan.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from moledale.core.hashing import weight

CROSS_HALL_COPY_FACTOR = 2.0
"""A copy to another hall takes this many times as long as one within a hall."""

DIRECT_COPY_PAUSE_SHARE = 1 / 3
"""A run whose copy takes at most this share of its allowed pause is stopped and copied in one step.
The rest of the pause is for calls to two servers, for the wait at links, and for the first step at
the target."""

LAST_COPY_S = 0.004
"""Time reserved on a link after a first copy, for the last copy: a round trip between halls (3 ms)
and a few events. Without it, the last copy would wait behind the next first copy while the stream
pauses."""

COPY_TIME_CLASS_S = 0.01
"""Copies whose durations differ by less than this count as equally long; the more urgent stream
goes first."""

MAX_OWN_TARGETS = 16
"""Maximum targets of a plan: a server's link carries copies for few of them at a time, and more
would make the plan slower to compute."""


class StreamOffer(msgspec.Struct, frozen=True, array_like=True):
    """A stream that its node wants to move off a leaving server.

    `serial` names it at its node. It has `tokens` in the server's memory now and `final_tokens` at
    its end, which is expected in `left_ms`. It may pause for `gap_ms`. `moving` is set while a move
    is in progress, and `refused_by` are the targets that refused it.
    """

    serial: int
    tokens: int
    final_tokens: int
    left_ms: int
    gap_ms: int
    resumable: bool
    priority: int
    moving: bool = False
    refused_by: tuple[str, ...] = ()


class PlannedMove(msgspec.Struct, frozen=True, array_like=True):
    """When a stream is to move, counted from when the order is received, and to which server.

    `counted` is set if room at the target is reserved by the plan. Without it the target may be
    full, and the run must not be stopped before a first copy was accepted.
    """

    serial: int
    start_ms: int
    target: str
    counted: bool = True


class Link(msgspec.Struct, frozen=True):
    """Bandwidth of a server's link, and the bytes that a token takes on it."""

    token_bytes: int
    mbps: float

    def copy_s(self, tokens: int, other_hall: bool) -> float:
        """Return the time of a copy on idle links."""
        copy_s = tokens * self.token_bytes * 8e-6 / max(1.0, self.mbps)
        return copy_s * CROSS_HALL_COPY_FACTOR if other_hall else copy_s


class Target(msgspec.Struct):
    """A server that streams may move to, with its free slots and tokens of memory.

    `share` is the part of its link that this plan may use, since others move streams there too.
    `speed` is relative to the other servers of the service. `free_at` is the time until which this
    plan uses its link already.
    """

    id: str
    hall: str
    slots: int
    tokens: int
    share: float = 1.0
    free_at: float = 0.0
    speed: float = 1.0

    def has_room(self, offer: StreamOffer) -> bool:
        """Return whether a stream fits, with the tokens that it will have at its end."""
        return self.slots > 0 and self.tokens >= offer.final_tokens

    def take(self, offer: StreamOffer) -> None:
        """Reserve the room of a stream."""
        self.slots -= 1
        self.tokens -= offer.final_tokens


class Step(msgspec.Struct, frozen=True):
    """A move in a plan: from `start_s` to `finish_s` it occupies the links."""

    offer: StreamOffer
    target: str
    start_s: float
    finish_s: float
    counted: bool = True


def needs_first_copy(copy_s: float, gap_s: float) -> bool:
    """Return whether a run should be copied while it goes on, before it is stopped."""
    return copy_s > DIRECT_COPY_PAUSE_SHARE * gap_s


def move_order(offers: Iterable[StreamOffer], link: Link) -> list[StreamOffer]:
    """Return streams in the order in which their moves save the most per second of link time.

    Equal ones keep their order, so that a later plan does not exchange them.
    """

    def key(offer: StreamOffer) -> tuple[bool, int, int]:
        copy_s = link.copy_s(offer.tokens, other_hall=False)
        return offer.resumable, int(copy_s / COPY_TIME_CLASS_S), offer.priority

    return sorted(offers, key=key)


def plan_moves(
    offers: Iterable[StreamOffer],
    source_hall: str,
    targets: Sequence[Target],
    spare_targets: Sequence[Target],
    link: Link,
    notice_s: float,
    source_free_s: float = 0.0,
) -> list[Step]:
    """Plan moves that finish within `notice_s`, the most useful first.

    `targets` have room that this plan may count on. Streams that don't fit there are sent to
    `spare_targets`, whose room other plans count on, so that they may be refused. The room and
    links of the targets are updated. The link of the source is busy until `source_free_s`.
    """
    steps = []
    left_over = []
    for offer in move_order(offers, link):
        step = _earliest_step(offer, source_hall, targets, link, source_free_s, True)
        if step is None:
            left_over.append(offer)
        elif step.finish_s <= notice_s:
            source_free_s = _reserve(step, targets)
            steps.append(step)
    for offer in left_over:
        step = _earliest_step(offer, source_hall, spare_targets, link, source_free_s, False)
        if step is not None and step.finish_s <= notice_s:
            source_free_s = _reserve(step, spare_targets)
            steps.append(step)
    return steps


def _reserve(step: Step, targets: Sequence[Target]) -> float:
    """Reserve a move's room and its target's link; return until when the source's link is busy."""
    target = next(each for each in targets if each.id == step.target)
    target.take(step.offer)
    target.free_at = step.start_s + (step.finish_s - step.start_s) / target.share
    return step.finish_s


def _earliest_step(
    offer: StreamOffer,
    source_hall: str,
    targets: Iterable[Target],
    link: Link,
    source_free_s: float,
    counted: bool,
) -> Step | None:
    """Return the move to the target with room where it finishes first, None without any room.

    Of targets where it finishes in the same millisecond, the fast and empty ones are preferred.
    """
    best: tuple[tuple[int, float], Step] | None = None
    for target in targets:
        if target.id in offer.refused_by or not target.has_room(offer):
            continue
        start_s = max(source_free_s, target.free_at)
        copy_s = link.copy_s(offer.tokens, target.hall != source_hall)
        if not counted or needs_first_copy(copy_s, offer.gap_ms / 1000):
            copy_s += LAST_COPY_S
        step = Step(offer, target.id, start_s, start_s + copy_s, counted)
        rank = (round(step.finish_s * 1000), -target.slots * target.speed)
        if best is None or rank < best[0]:
            best = rank, step
    return best[1] if best is not None else None


def target_shares(
    source: str, leaving: Mapping[str, str], targets: Mapping[str, str]
) -> dict[str, float]:
    """Return the targets whose room a leaving server's plan may count on, and its share of each.

    Servers are given with their halls; `source` is one of the `leaving` ones. Each server has its
    own coordinator. With the same lists, these nodes split the targets without any message, so that
    two plans don't count on the same slot. Half of what the targets of a hall have is for leaving
    servers of that hall if there are any, since copies between halls take twice as long.
    """
    shares: dict[str, float] = {}
    for hall in sorted(set(targets.values())):
        here = [name for name, its_hall in targets.items() if its_hall == hall]
        near = [name for name, its_hall in leaving.items() if its_hall == hall]
        far = [name for name, its_hall in leaving.items() if its_hall != hall]
        rivals = near if leaving[source] == hall else far
        part = 0.5 if near and far else 1.0
        for name, share in _split(source, rivals, here).items():
            shares[name] = share * part
    first = sorted(
        shares, key=lambda name: (targets[name] != leaving[source], weight(source, name))
    )
    return {name: shares[name] for name in first[:MAX_OWN_TARGETS]}


def _split(source: str, rivals: Sequence[str], targets: Sequence[str]) -> dict[str, float]:
    """Split targets evenly between rivals; return the share of `source` of each of its targets."""
    rank = _shuffled(rivals).index(source)
    ordered = _shuffled(targets)
    if len(ordered) >= len(rivals):
        return dict.fromkeys(ordered[rank :: len(rivals)], 1.0)
    position = rank % len(ordered)
    sharing = len(range(position, len(rivals), len(ordered)))
    return {ordered[position]: 1.0 / sharing}


def _shuffled(names: Iterable[str]) -> list[str]:
    """Return names in an order that is the same at all nodes and unrelated to the names."""
    return sorted(names, key=lambda name: (weight("evacuation", name), name))
