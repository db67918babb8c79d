"""Roll-outs of a new version of a service's servers: phases, shares of traffic, transitions.

The new servers start alongside the old ones and get a small share of the requests until the version
is either found bad, which any node may decide, or adopted, which only the holder of the duties
lease decides. A phase is only ever replaced by a higher one, so nodes agree whatever the order in
which they receive updates.
"""

from enum import IntEnum

import msgspec

TRIAL_SHARE_RATIO = 0.8
"""Part of `Exposure.share` that a trial uses. The rest is for requests that can't be held back:
streams that move, and those whose count is lost with a node."""

TRIAL_FREE_RATIO = 0.6
"""Part of `Exposure.free` that a trial uses. These free requests bring evidence where there is
little traffic."""

MAX_FREE_SHARE = 0.5
"""Maximum share of the requests that are free ones, so that they don't come all at once."""

RISING_SHARE = 0.35
"""Share of the requests that the new version gets before it gets all of them, so that more of its
servers are under load before the old ones stop taking any."""

EARLIEST_RISE_SHARE = 0.55
LATEST_RISE_SHARE = 0.8
"""Parts of an order's duration: no version rises before the first, as it may turn bad only after a
while, and routes without enough answers delay none after the second, as streams on old servers need
the remaining time."""

RISING_DURATION_SHARE = 0.06
"""Part of an order's duration that the rising phase lasts: 0.7 s of 12 s."""

MIN_MOVING_S = 1.2
"""All requests go to the new servers for at least this long before the old ones end: a node that
missed the first update receives the next one within a second."""

STATUS_WRITE_S = 0.5
"""Time for the last requests on old servers, and for the store to accept the status."""

POLL_INTERVAL_S = 0.25
"""Time between two checks by the lease holder: a tick of its duties, 0.2 s, plus the check
itself."""

POLLS_AFTER_RISE = 3
"""Checks by which a version may be adopted later than its phases require: each of the rise, the
move and the end happens up to one check after it is due."""

MIN_ANSWERS_PER_ROUTE = 6
"""Answers of the new servers on each route with traffic before the version rises: a version that
fails half of its answers shows no failure among these in one case of 64."""

MIN_ANSWERS = 10
"""Answers of the new version without which it never rises: fewer are no evidence for it."""


class Phase(IntEnum):
    """How far a roll-out has progressed; a higher phase is newer, whichever node reports it."""

    TRIAL = 0
    RISING = 1
    MOVING = 2
    ROLLED_BACK = 3
    COMPLETED = 4

    @property
    def ended(self) -> bool:
        """Return whether the phase is a final one."""
        return self >= Phase.ROLLED_BACK


class RolloutOrder(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order that a service's requests move to servers of another version.

    `revision` rises with each order within an `era` of the store. `ordered_s` is when the order was
    first seen, on the store's clock.
    """

    service: str
    revision: int
    target: str
    duration_s: float
    ordered_s: float
    era: int = 0

    @property
    def sequence(self) -> tuple[int, int]:
        """Return the era and the revision, which rise with each order."""
        return self.era, self.revision

    def is_equivalent(self, other: "RolloutOrder") -> bool:
        """Return whether another order asks for the same version in the same time."""
        return (self.target, self.duration_s) == (other.target, other.duration_s)

    def is_same_order(self, other: "RolloutOrder") -> bool:
        """Return whether another order is this one, possibly written again under a new revision."""
        if self.sequence == other.sequence:
            return True
        return self.is_equivalent(other) and self.ordered_s == other.ordered_s


class RolloutNews(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of a service's roll-out; `rejected` versions get no work."""

    order: RolloutOrder
    phase: Phase = Phase.TRIAL
    rejected: tuple[str, ...] = ()

    def merged_with(self, other: "RolloutNews") -> "RolloutNews":
        """Return what two nodes know together; the result doesn't depend on their order."""
        if other.order.sequence != self.order.sequence:
            return max(self, other, key=lambda news: news.order.sequence)
        earlier = min(self.order, other.order, key=lambda order: order.ordered_s)
        rejected = tuple(sorted({*self.rejected, *other.rejected}))
        return RolloutNews(earlier, max(self.phase, other.phase), rejected)

    def with_rewritten_order(self, order: RolloutOrder) -> "RolloutNews":
        """Return this state with the order that was written again after the store lost it."""
        rewritten = msgspec.structs.replace(order, ordered_s=self.order.ordered_s)
        return msgspec.structs.replace(self, order=rewritten)

    def superseded_by(self, order: RolloutOrder) -> "RolloutNews":
        """Return the state of an order that replaces this one.

        A version that wasn't adopted stays out of use.
        """
        rejected = set(self.rejected)
        if self.phase is not Phase.COMPLETED:
            rejected.add(self.order.target)
        rejected.discard(order.target)
        return RolloutNews(order, rejected=tuple(sorted(rejected)))


class VersionRule(msgspec.Struct, frozen=True):
    """Which versions of a service's servers get requests that aren't part of a trial.

    With `only_target` just the target gets them, otherwise all versions but the target. Without a
    target all versions do. Those in `rejected` get none in any case.
    """

    target: str = ""
    only_target: bool = False
    rejected: frozenset[str] = frozenset()

    def allows(self, version: str) -> bool:
        """Return whether servers of a version may get work."""
        if version in self.rejected:
            return False
        return not self.target or (version == self.target) == self.only_target


def rule_of(news: RolloutNews) -> VersionRule:
    """Return which versions get work in the current phase."""
    only_target = news.phase in (Phase.MOVING, Phase.COMPLETED)
    return VersionRule(news.order.target, only_target, frozenset(news.rejected))


class Exposure(msgspec.Struct, frozen=True):
    """Requests that a version may get before it is judged: a share of the service's, and a number
    of `free` ones beyond it."""

    share: float = 0.1
    free: float = 50.0

    @property
    def trial_share(self) -> float:
        """Return the share that a trial uses."""
        return TRIAL_SHARE_RATIO * self.share

    def per_node(self, nodes: int) -> "Exposure":
        """Return the part of the exposure that one of `nodes` serving nodes may use."""
        return Exposure(self.trial_share, TRIAL_FREE_RATIO * self.free / nodes if nodes else 0.0)

    def allows(self, requests: int, tried: float) -> bool:
        """Return whether a node may send one more request to the version on trial.

        `requests` and `tried` are the node's own counts since the trial began: all requests of the
        service, and those sent to the new version. Each node stays within its own part, so all
        together stay within the bound, whichever peers they receive updates from.
        """
        return tried + 1 <= self.share * requests + min(self.free, MAX_FREE_SHARE * requests)

    def within_share(self, requests: int, tried: int) -> bool:
        """Return whether one more request on trial is within the share, without the free ones."""
        return tried + 1 <= self.share * requests


class Progress(msgspec.Struct, frozen=True):
    """What the holder of the duties lease sees of a roll-out.

    `elapsed` is the part of the order's `duration_s` that has passed, `rising_elapsed` the part
    spent in the rising phase, `moving_s` the time since all requests go to the new servers.
    `new_ready` is the number of servers of the new version that may get work, `old_running` the
    number of requests of all nodes on the old ones, and `new_answers` the number of answers of the
    new version. `untested_routes` counts the routes with traffic on which these are too few.
    """

    phase: Phase
    duration_s: float
    elapsed: float
    rising_elapsed: float
    moving_s: float
    new_ready: int
    old_running: int
    new_answers: int
    untested_routes: int


def latest_rise_share(duration_s: float) -> float:
    """Return the part of an order's duration by which a version must rise to finish in time."""
    after_rise_s = MIN_MOVING_S + STATUS_WRITE_S + POLLS_AFTER_RISE * POLL_INTERVAL_S
    return min(LATEST_RISE_SHARE, 1.0 - RISING_DURATION_SHARE - after_rise_s / duration_s)


def next_phase(progress: Progress) -> Phase:
    """Return the phase that a version which wasn't found bad should be in."""
    if progress.phase is Phase.TRIAL:
        return _after_trial(progress)
    if progress.phase is Phase.RISING and progress.rising_elapsed >= RISING_DURATION_SHARE:
        return Phase.MOVING
    if (
        progress.phase is Phase.MOVING
        and progress.old_running == 0
        and progress.moving_s >= MIN_MOVING_S
    ):
        return Phase.COMPLETED
    return progress.phase


def _after_trial(progress: Progress) -> Phase:
    if progress.elapsed < EARLIEST_RISE_SHARE:
        return Phase.TRIAL
    if progress.new_ready and progress.new_answers >= MIN_ANSWERS and not progress.untested_routes:
        return Phase.RISING
    if progress.elapsed < latest_rise_share(progress.duration_s):
        return Phase.TRIAL
    if progress.new_ready and progress.new_answers >= MIN_ANSWERS:
        return Phase.RISING
    return Phase.ROLLED_BACK if progress.elapsed >= 1.0 - RISING_DURATION_SHARE else Phase.TRIAL
