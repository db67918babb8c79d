"""Overload control: decides whether a request to a model engine is sent or refused at once.

A request that waits until it is late delays others and earns little, so under overload it is better
refused, with the time at which room is expected. Rules that hold for every policy:

- A request for which the best server is idle is sent.
- A request whose first event or end of stream is expected after the deadline is refused. If the
  server has room, observations must confirm the expectation.
- A request is sent if the best server has nothing waiting, or under half of its slots taken.
- Each kind and size of requests gets a minimum share of sends.

The rest is decided by a policy, which refuses the least urgent requests, those of accounts above
their share and the largest ones first. `now` is in monotonic seconds.
"""

from enum import StrEnum
from typing import Protocol

import msgspec

from moledale.gateway.turns import RetryScheduler
from moledale.scheduling.overload_state import (
    Correction,
    MinimumShares,
    Pressure,
    SendRate,
    SizeRanks,
)

MAX_ROOM_SLOT_SHARE = 0.5
"""A server with under this share of its slots taken has room."""

RETURN_RATIO = 0.2
"""Rate at which refused callers are asked to come back, relative to the sends of their urgency:
they come in addition to new requests, and one that is refused twice costs more than one refusal."""

MIN_RETURNS_PER_S = 0.5
"""Minimum rate at which refused callers of one urgency are asked to come back to a node."""

MIN_ROOM_IN_S = 0.1
"""Shortest time until room is expected: several round trips of a caller."""

MAX_EXCESS = 4.0
"""Excess of an account beyond which it is treated alike. It keeps a quarter of the waiting time
that others may have."""

SIZE_FACTORS = (1.0, 0.9, 0.8)
"""Share of the allowed waiting time for prompts of usual size, for the fifth below the largest
tenth of a kind, and for the largest tenth."""

LESS_URGENT_SHARE = 0.5
"""Share of what is left of its target that a request may wait while more urgent ones are late. It
falls with the square of their strain, so that less urgent requests are refused first."""


class Arrival(msgspec.Struct, frozen=True):
    """A request at the time of the decision, and the server that is best for it.

    `kind` is its route, `urgency` its engine priority (0 is the most urgent), `spent_s` the time
    since it arrived, and `deadline_in_s` the time until its caller's deadline or the time limit of
    its route, whichever is first. `expected_s` is the expected time to its first event, and `work`
    the prompt tokens to process. `waiting` is the work that waits for prefill at the server, and
    `slots_taken` the share of its slots that are taken. `account_excess` is the recent work of its
    account relative to its fair share. `stream_s` is the expected time from its first event to the
    end of its stream, 0.0 if it has none or that is not known.
    """

    kind: str
    urgency: int
    target_s: float
    spent_s: float
    deadline_in_s: float
    expected_s: float
    work: float
    waiting: float
    slots_taken: float
    account_excess: float = 1.0
    stream_s: float = 0.0

    @property
    def left_s(self) -> float:
        """Return what is left of the target."""
        return max(0.0, self.target_s - self.spent_s)

    @property
    def is_idle(self) -> bool:
        """Return whether the server has nothing waiting and under half of its slots taken."""
        return self.waiting <= 0 and self.slots_taken < MAX_ROOM_SLOT_SHARE

    @property
    def correction_key(self) -> tuple[int, bool]:
        """Return which observed first events correct the expectation.

        First events of requests that found a free slot say nothing of the wait for one.
        """
        return self.urgency, self.slots_taken >= 1.0

    @property
    def has_room(self) -> bool:
        """Return whether the server has nothing waiting or under half of its slots taken.

        Requests beyond its slots wait, also if their prompts are cached and are no work.
        """
        nothing_waits = self.waiting <= 0 and self.slots_taken <= 1.0
        return nothing_waits or self.slots_taken < MAX_ROOM_SLOT_SHARE


class Reason(StrEnum):
    """Why a request was refused; the value is sent to the caller."""

    DEADLINE = "the deadline would pass before the first event"
    END = "the deadline would pass before the end of the stream"
    OVERLOAD = "the servers are overloaded"


class Send(msgspec.Struct, frozen=True):
    """The request may be sent; `expected_s` is the corrected time to its first event."""

    expected_s: float


class Refuse(msgspec.Struct, frozen=True):
    """The request is refused; the caller should come back after `retry_after_s`."""

    reason: Reason
    retry_after_s: float


class OverloadPolicy(Protocol):
    """Decides which requests are refused while no server has room."""

    @property
    def overloaded(self) -> bool:
        """Return whether the policy refuses requests."""
        ...

    def room_in_s(
        self, arrival: Arrival, expected_s: float, size_class: int, now: float
    ) -> float | None:
        """Record a request; return None to send it, or the seconds until room is expected.

        `expected_s` is the corrected time to its first event.
        """
        ...

    def observe(self, arrival: Arrival, first_event_s: float, now: float) -> None:
        """Record the time that a request took to its first event."""
        ...


class OverloadControl:
    """Decides on the requests to one service at one node."""

    def __init__(self, policy: OverloadPolicy) -> None:
        self._policy = policy
        self._now = 0.0
        self._corrections: dict[tuple[int, bool], Correction] = {}
        self._sizes: dict[str, SizeRanks] = {}
        self._shares = MinimumShares()
        self._send_rates: dict[int, SendRate] = {}
        self._returns = RetryScheduler(lambda: 1, lambda: self._now)

    @property
    def overloaded(self) -> bool:
        """Return whether requests may be refused for overload."""
        return self._policy.overloaded

    def decide(self, arrival: Arrival, now: float) -> Send | Refuse:
        """Decide on the first send of a request."""
        self._now = now
        size_class = self._sizes.setdefault(arrival.kind, SizeRanks()).size_class(arrival.work)
        group = (arrival.kind, size_class)
        self._shares.record_arrival(group)
        expected_s = self._corrected_s(arrival, now)
        room_in_s = self._policy.room_in_s(arrival, expected_s, size_class, now)
        hopeless = _hopeless_reason(arrival, expected_s)
        if hopeless is not None and self._may_be_hopeless(arrival, now):
            wait_s = expected_s - arrival.left_s
            return Refuse(hopeless, self._retry_after_s(arrival, wait_s, now))
        if room_in_s is not None and not arrival.has_room and not self._shares.is_due(group):
            return Refuse(Reason.OVERLOAD, self._retry_after_s(arrival, room_in_s, now))
        self._shares.record_sent(group)
        self._send_rates.setdefault(arrival.urgency, SendRate()).record(now)
        return Send(expected_s)

    def observe(self, arrival: Arrival, first_event_s: float, now: float) -> None:
        """Record the time from the send of a request to its first event."""
        correction = self._corrections.setdefault(arrival.correction_key, Correction())
        correction.add(first_event_s, arrival.expected_s, now)
        self._policy.observe(arrival, first_event_s, now)

    def _may_be_hopeless(self, arrival: Arrival, now: float) -> bool:
        """Return whether an expectation may refuse a request that has no time for it.

        While the server has room, recent observations must confirm it, and an idle server is used.
        """
        correction = self._corrections.get(arrival.correction_key)
        confirmed = correction is not None and correction.is_known(now)
        return not arrival.is_idle and (confirmed or not arrival.has_room)

    def _corrected_s(self, arrival: Arrival, now: float) -> float:
        correction = self._corrections.get(arrival.correction_key)
        if correction is None:
            return arrival.expected_s
        return correction.corrected_s(arrival.expected_s, now)

    def _retry_after_s(self, arrival: Arrival, room_in_s: float, now: float) -> float:
        """Return a time of its own for each refused caller, from when room is expected."""
        rate = self._send_rates.get(arrival.urgency)
        sends_per_s = rate.value_per_s(now) if rate is not None else 0.0
        returns_per_s = max(MIN_RETURNS_PER_S, RETURN_RATIO * sends_per_s)
        earliest_s = max(MIN_ROOM_IN_S, room_in_s)
        return self._returns.next_retry_s(str(arrival.urgency), earliest_s, returns_per_s)


def _hopeless_reason(arrival: Arrival, expected_s: float) -> Reason | None:
    """Return why a request can't be answered in time, None if it can.

    `expected_s` is the corrected time to its first event.
    """
    if expected_s > arrival.deadline_in_s:
        return Reason.DEADLINE
    return Reason.END if expected_s + arrival.stream_s > arrival.deadline_in_s else None


class ExpectedTimePolicy:
    """Refuses requests that are expected to be late, once that has lasted longer than a burst.

    What a request may wait is what is left of its target; less for accounts above their share, for
    large prompts, and while more urgent requests are under strain.
    """

    def __init__(self) -> None:
        self._pressures: dict[int, Pressure] = {}

    @property
    def overloaded(self) -> bool:
        """Return whether requests of any urgency are under overload."""
        return any(pressure.overloaded for pressure in self._pressures.values())

    def room_in_s(
        self, arrival: Arrival, expected_s: float, size_class: int, now: float
    ) -> float | None:
        """Record a request; return None to send it, or the seconds until room is expected."""
        self._drop_stale(now)
        strain = 0.0 if arrival.is_idle else expected_s / max(arrival.left_s, MIN_ROOM_IN_S)
        self._pressures.setdefault(arrival.urgency, Pressure()).update(strain, now)
        allowed_s = arrival.left_s * self._allowed_share(arrival, size_class)
        if expected_s <= allowed_s or not self._under_overload(arrival.urgency):
            return None
        return expected_s - allowed_s

    def observe(self, arrival: Arrival, first_event_s: float, now: float) -> None:
        """Do nothing: what was observed is in the corrected expectation."""

    def _drop_stale(self, now: float) -> None:
        """Drop the strain of urgencies without requests, which would end only by new ones."""
        for urgency in [each for each, state in self._pressures.items() if state.is_stale(now)]:
            del self._pressures[urgency]

    def _under_overload(self, urgency: int) -> bool:
        """Return whether requests of this urgency, or more urgent ones, are under overload."""
        return any(each.overloaded for key, each in self._pressures.items() if key <= urgency)

    def _allowed_share(self, arrival: Arrival, size_class: int) -> float:
        """Return the share of what is left of its target that a request may wait."""
        excess = min(MAX_EXCESS, max(1.0, arrival.account_excess))
        share = SIZE_FACTORS[size_class] / excess
        for urgency, pressure in self._pressures.items():
            if urgency < arrival.urgency and pressure.overloaded:
                share = min(share, LESS_URGENT_SHARE / max(1.0, pressure.strain) ** 2)
        return share
