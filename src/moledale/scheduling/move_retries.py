"""When a refused move is tried again, and whether a run without room may be stopped.

A pause that suits a notice of several seconds would leave one try within a notice of one second.
"""

RETRIES_LEFT = 10
"""Number of times that a refused move could be retried before its server ends, if no retry came
before the next one's time: enough that a slot which comes up meanwhile is found."""

MIN_RETRY_S = 0.03
"""Minimum interval of retries: a call to another hall and a batch of announced placements (20 ms),
before which nothing new is known of a target."""


def retry_interval_s(usual_s: float, left_s: float) -> float:
    """Return the interval of retries on a server that ends in `left_s`, `usual_s` at most."""
    return min(usual_s, max(MIN_RETRY_S, left_s / RETRIES_LEFT))


def may_queue(queue_s: float, caller_waits_s: float) -> bool:
    """Return whether a run that is stopped and queued for `queue_s` goes on for its caller.

    The caller leaves after `caller_waits_s`. A run that would not go on by then is better left at
    its server, where a slot for a copy may still come up.
    """
    return queue_s < caller_waits_s
