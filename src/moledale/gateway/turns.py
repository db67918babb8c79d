"""How long requests wait for servers with limits, and when rejected ones should retry."""

from collections.abc import Callable

from moledale.gateway.job import Job

QUEUE_WAIT_SHARE = 0.5
"""Share of its target that the most urgent request waits for a permit; the rest is for its answer.

A request of rank n waits 1/(n + 1) of that, so that less urgent ones leave permits for new ones.
"""

DEFAULT_RANK = 5
"""Rank of requests whose priority is not stated."""

PERMIT_TIMEOUT_SHARE = 0.25
"""Maximum share of a target that a request waits for the grantor's answer."""

MAX_RETRY_AFTER_S = 10.0
"""Maximum time after which callers are asked to retry: the limits may be removed by then."""


def max_queue_wait_s(job: Job, now: float) -> float:
    """Return for how many seconds a request may wait for a permit.

    For a stream that broke off, the wait counts from its last event: a late continuation is better
    than none.
    """
    rank = DEFAULT_RANK if job.caller.priority is None else max(0, job.caller.priority)
    max_s = QUEUE_WAIT_SHARE * job.route.target_s / (rank + 1)
    since = job.request.arrived_at if job.last_event_at is None else job.last_event_at
    return max(0.0, min(max_s - (now - since), job.left_s(now)))


class RetryScheduler:
    """Assigns successive retry times to rejected callers.

    With the same time, all would retry together, and all but one would be rejected again.
    `node_count` returns how many nodes share the permits.
    """

    def __init__(self, node_count: Callable[[], int], now: Callable[[], float]) -> None:
        self._node_count = node_count
        self._now = now
        self._next_at: dict[str, float] = {}

    def next_retry_s(self, service: str, earliest_s: float, permits_per_s: float) -> float:
        """Return the seconds after which the next rejected caller of a service should retry.

        No permit is free before `earliest_s`; `permits_per_s` is the rate of all nodes together.
        """
        now = self._now()
        interval_s = self._node_count() / permits_per_s
        retry_at = max(now + earliest_s, self._next_at.get(service, 0.0) + interval_s)
        self._next_at[service] = min(retry_at, now + MAX_RETRY_AFTER_S)
        return self._next_at[service] - now
