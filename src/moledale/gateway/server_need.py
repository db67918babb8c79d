"""Number of servers that a service needs to limit the mean wait of its requests."""

from math import ceil, sqrt

from moledale.gateway.server_model import Speed

UNBOUNDED_WAIT_S = 1e9
"""The wait if the offered load reaches or exceeds the capacity."""


def mean_wait_s(load: float, channels: int, residual_s: float) -> float:
    """Return the mean wait at `channels` parallel channels that are offered `load` erlangs.

    `residual_s` is the mean remaining service time of a busy channel. This is Sakasegawa's
    approximation (Ann. Inst. Stat. Math. 29, 1977); it is exact for one channel.
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
    """Return the fewest servers that keep the mean wait for prefill and for a slot to `max_wait_s`.

    For prefill all servers form one queue, since a request goes to a free one. A slot must be free
    on the server that was chosen, so each server has its own queue for slots.
    """
    number = max(1, ceil(speed.prefill_s(work_per_s)))
    while _prefill_wait_s(work_per_s, running, number, speed) > max_wait_s:
        number += 1
    while mean_wait_s(running / number, slots, speed.hold_s) > max_wait_s:
        number += 1
    return number


def _prefill_wait_s(work_per_s: float, running: float, number: int, speed: Speed) -> float:
    """Return the mean wait for prefill at `number` servers that share the running requests."""
    concurrent = running / number
    residual_s = speed.prefill_s(speed.residual_work, concurrent)
    return mean_wait_s(speed.prefill_s(work_per_s, concurrent), number, residual_s)
