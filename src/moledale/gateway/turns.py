"""How long requests wait for servers that name limits, and when those turned away come back."""

from collections.abc import Callable

from moledale.gateway.job import Job

QUEUE_WAIT_SHARE = 0.5
"""Part of its target that the most urgent request waits for its turn; the rest is for its answer.

One of rank n waits 1/(n + 1) of that, so that less urgent ones leave places for those that come.
"""

DEFAULT_RANK = 5
"""Rank of requests whose priority is not stated."""

PERMIT_TIMEOUT_SHARE = 0.25
"""Part of a target that a request waits for the word of the node that grants, at most."""

MAX_RETRY_AFTER_S = 10.0
"""Nobody is told to come back later: the limits may be gone by then."""


def max_queue_wait_s(job: Job, now: float) -> float:
    """Return for how many seconds a request may wait for its turn.

    A stream that broke off waits from its last event on: that it goes on late is better than never.
    """
    rank = DEFAULT_RANK if job.caller.priority is None else max(0, job.caller.priority)
    most_s = QUEUE_WAIT_SHARE * job.route.target_s / (rank + 1)
    since = job.request.arrived_at if job.event_at is None else job.event_at
    return max(0.0, min(most_s - (now - since), job.left_s(now)))


class RetryScheduler:
    """Tells callers that are turned away when to come back, one after the other.

    Told the same time, all would come back together, and all but one in vain. `node_count` tells how
    many nodes share the places.
    """

    def __init__(self, node_count: Callable[[], int], now: Callable[[], float]) -> None:
        self._node_count = node_count
        self._now = now
        self._next_at: dict[str, float] = {}

    def next_retry_s(self, service: str, first_s: float, places_per_s: float) -> float:
        """Return the seconds until a place of a service comes free for one more caller."""
        now = self._now()
        each_s = self._node_count() / places_per_s
        told = max(now + first_s, self._next_at.get(service, 0.0) + each_s)
        self._next_at[service] = min(told, now + MAX_RETRY_AFTER_S)
        return self._next_at[service] - now
