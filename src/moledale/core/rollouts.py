"""Roll-outs of a new version of a service's servers: phases, shares of traffic, what comes next.

The new servers start beside the old ones and get a small share of the requests until the version is
either found bad, which any node may find, or taken over, which only the holder of the duties
decides. Phases only ever rise, so nodes that hear of them in any order agree, and none goes back.
"""

from enum import IntEnum

import msgspec

TRIAL_SHARE_RATIO = 0.8
"""Part of the share of requests that a bad version may get which a trial uses; the rest is for
streams that move, and for requests whose count is lost with a node."""

TRIAL_FREE_RATIO = 0.6
"""The same of the requests that it may get beyond that share. Free ones bring evidence where there
are few requests: at 10 a second 19 answers in place of 2 within a trial of 3.2 s."""

MAX_FREE_SHARE = 0.5
"""Part of the requests that the free ones may be at most, so that they don't come all at once."""

RISING_SHARE = 0.35
"""Part of the requests that the new version gets before it gets all of them, so that more servers
bear the load of their own before no old one does."""

EARLIEST_RISE_SHARE = 0.55
LATEST_RISE_SHARE = 0.8
"""Parts of an order's time before which no version rises, and until which evidence is waited for:
versions may turn bad only after a while, and streams at old servers need the time that is left."""

RISING_DURATION_SHARE = 0.06
"""Part of an order's time for which it has the share of the rise: 0.7 s of 12 s."""

MIN_MOVING_S = 1.2
"""All requests go to the new servers for this long at least before the old ones end: a node that
missed the first word of it hears the next within a second."""

STATUS_WRITE_S = 0.5
"""Time for the last requests at old servers and for the store to take the status."""

POLL_INTERVAL_S = 0.25
"""Time between two looks of the holder: a tick of its duties, 0.2 s, and what the look takes."""

POLLS_AFTER_RISE = 3
"""Looks by which a version may be taken over later than its phases ask for: each of the rise, the
move and the end comes up to one look after it is due."""

MIN_ANSWERS_PER_ROUTE = 6
"""Answers of the new servers on each route that has traffic before the version rises: of those of a
version half of whose answers fail there, one in 64 has none."""

MIN_ANSWERS = 10
"""With fewer answers in all at the latest moment, nothing speaks for the version."""


class Phase(IntEnum):
    """How far a roll-out is; a higher one is newer whoever tells it."""

    TRIAL = 0
    RISING = 1
    MOVING = 2
    ROLLED_BACK = 3
    COMPLETED = 4

    @property
    def ended(self) -> bool:
        """Say whether nothing comes after it."""
        return self >= Phase.ROLLED_BACK


class RolloutOrder(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order that a service's requests move to servers of another version.

    `revision` rises with each order within an `era` of the store. `ordered_s` is when it was first
    seen, on the store's clock.
    """

    service: str
    revision: int
    target: str
    duration_s: float
    ordered_s: float
    era: int = 0

    @property
    def sequence(self) -> tuple[int, int]:
        """Return what rises with each order: the era and the revision."""
        return self.era, self.revision

    def is_equivalent(self, other: "RolloutOrder") -> bool:
        """Say whether another order is for the same version in the same time."""
        return (self.target, self.duration_s) == (other.target, other.duration_s)

    def is_same_order(self, other: "RolloutOrder") -> bool:
        """Say whether another one is this order, perhaps as it was written again."""
        if self.sequence == other.sequence:
            return True
        return self.is_equivalent(other) and self.ordered_s == other.ordered_s


class RolloutNews(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of a service's roll-out; `rejected` versions get no work."""

    order: RolloutOrder
    phase: Phase = Phase.TRIAL
    rejected: tuple[str, ...] = ()

    def merged_with(self, other: "RolloutNews") -> "RolloutNews":
        """Return what two nodes know together; the same whichever is asked first."""
        if other.order.sequence != self.order.sequence:
            return max(self, other, key=lambda news: news.order.sequence)
        earlier = min(self.order, other.order, key=lambda order: order.ordered_s)
        rejected = tuple(sorted({*self.rejected, *other.rejected}))
        return RolloutNews(earlier, max(self.phase, other.phase), rejected)

    def with_rewritten_order(self, order: RolloutOrder) -> "RolloutNews":
        """Return the news of this order after the operator wrote it again, as the store lost it."""
        again = msgspec.structs.replace(order, ordered_s=self.order.ordered_s)
        return msgspec.structs.replace(self, order=again)

    def superseded_by(self, order: RolloutOrder) -> "RolloutNews":
        """Return the news of an order that takes the place of this one.

        A version that was not taken over stays out of use.
        """
        rejected = set(self.rejected)
        if self.phase is not Phase.COMPLETED:
            rejected.add(self.order.target)
        rejected.discard(order.target)
        return RolloutNews(order, rejected=tuple(sorted(rejected)))


class VersionRule(msgspec.Struct, frozen=True):
    """Which versions of a service's servers get requests that are not part of a trial."""

    target: str = ""
    only_target: bool = False
    rejected: frozenset[str] = frozenset()

    def allows(self, version: str) -> bool:
        """Say whether servers of a version may get work."""
        if version in self.rejected:
            return False
        return not self.target or (version == self.target) == self.only_target


def rule_of(news: RolloutNews) -> VersionRule:
    """Return which versions get work in a phase."""
    only_target = news.phase in (Phase.MOVING, Phase.COMPLETED)
    return VersionRule(news.order.target, only_target, frozenset(news.rejected))


class Exposure(msgspec.Struct, frozen=True):
    """What a version may get of a service's requests before it is judged: a share, and a number
    beyond it."""

    share: float = 0.1
    free: float = 50.0

    @property
    def trial_share(self) -> float:
        """Return the share that a trial uses."""
        return TRIAL_SHARE_RATIO * self.share

    def per_node(self, nodes: int) -> "Exposure":
        """Return what is left to one of `nodes` that serve."""
        return Exposure(self.trial_share, TRIAL_FREE_RATIO * self.free / nodes if nodes else 0.0)

    def allows(self, requests: int, tried: float) -> bool:
        """Say whether a node may send one more request to the version on trial.

        `requests` and `tried` are the node's own since the trial began. Each node keeps within its
        part by itself, so all of them keep within the bound whomever they hear.
        """
        return tried + 1 <= self.share * requests + min(self.free, MAX_FREE_SHARE * requests)

    def within_share(self, requests: int, tried: int) -> bool:
        """Say whether one more request is within the share, with none of the free ones."""
        return tried + 1 <= self.share * requests


class Progress(msgspec.Struct, frozen=True):
    """What the holder of the duties sees of a roll-out.

    `elapsed` is the part of the order's `duration_s` that has passed, `moving_s` the time since all
    requests go to the new servers. `new_ready` are servers of the new version that may get work,
    `old_running` requests that all nodes have at the old ones, `untested_routes` routes with traffic that
    were tried too little.
    """

    phase: Phase
    duration_s: float
    elapsed: float
    rising_elapsed: float
    moving_s: float
    new_ready: int
    old_running: int
    tried: int
    untested_routes: int


def latest_rise_share(duration_s: float) -> float:
    """Return the part of an order's time after which a version can hardly be taken over in it."""
    follows_s = MIN_MOVING_S + STATUS_WRITE_S + POLLS_AFTER_RISE * POLL_INTERVAL_S
    return min(LATEST_RISE_SHARE, 1.0 - RISING_DURATION_SHARE - follows_s / duration_s)


def next_phase(seen: Progress) -> Phase:
    """Return the phase that a version which was not found bad is to be in."""
    if seen.phase is Phase.TRIAL:
        return _after_trial(seen)
    if seen.phase is Phase.RISING and seen.rising_elapsed >= RISING_DURATION_SHARE:
        return Phase.MOVING
    if seen.phase is Phase.MOVING and seen.old_running == 0 and seen.moving_s >= MIN_MOVING_S:
        return Phase.COMPLETED
    return seen.phase


def _after_trial(seen: Progress) -> Phase:
    if seen.elapsed < EARLIEST_RISE_SHARE:
        return Phase.TRIAL
    if seen.new_ready and seen.tried >= MIN_ANSWERS and not seen.untested_routes:
        return Phase.RISING
    if seen.elapsed < latest_rise_share(seen.duration_s):
        return Phase.TRIAL
    if seen.new_ready and seen.tried >= MIN_ANSWERS:
        return Phase.RISING
    return Phase.ROLLED_BACK if seen.elapsed >= 1.0 - RISING_DURATION_SHARE else Phase.TRIAL
