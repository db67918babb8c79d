"""How many servers a service needs so that its requests wait no longer than they may."""

from math import ceil, sqrt

from moledale.gateway.server_model import Speed

UNBOUNDED_WAIT_S = 1e9
"""The wait for servers that are offered more than they can do."""


def mean_wait_s(load: float, channels: int, residual_s: float) -> float:
    """Return the mean wait for one of `channels` that are offered the work of `load` of them.

    `residual_s` is what is left on average of the service that a place is busy with. This is
    Sakasegawa's approximation (Ann. Inst. Stat. Math. 29, 1977); it is exact for one place.
    """
    utilization = load / channels
    if utilization >= 1.0:
        return UNBOUNDED_WAIT_S
    return (
        residual_s
        * float(utilization ** (sqrt(2.0 * (channels + 1)) - 1.0))
        / (channels * (1.0 - utilization))
    )


def servers_needed(
    work_per_s: float, running: float, slots: int, max_wait_s: float, speed: Speed
) -> int:
    """Return the fewest servers at which requests wait `max_wait_s` on average, for reading or a slot.

    For reading, all servers are taken for one queue, since requests go to the one that is free. A
    slot has to be free at the server that was chosen, so each has its own queue for these.
    """
    number = max(1, ceil(speed.prefill_s(work_per_s)))
    while _prefill_wait_s(work_per_s, running, number, speed) > max_wait_s:
        number += 1
    while mean_wait_s(running / number, slots, speed.hold_s) > max_wait_s:
        number += 1
    return number


def _prefill_wait_s(work_per_s: float, running: float, number: int, speed: Speed) -> float:
    """Return the mean wait for reading at `number` servers that share what runs."""
    concurrent = running / number
    residual_s = speed.prefill_s(speed.residual_work, concurrent)
    return mean_wait_s(speed.prefill_s(work_per_s, concurrent), number, residual_s)
