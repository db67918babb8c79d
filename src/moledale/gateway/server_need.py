"""How many servers a service needs so that its requests wait no longer than they may."""

from math import ceil, sqrt

from moledale.gateway.server_model import Speed

ENDLESS_S = 1e9
"""The wait for servers that are offered more than they can do."""


def wait_s(load: float, places: int, residual_s: float) -> float:
    """Return the mean wait for one of `places` that are offered the work of `load` of them.

    `residual_s` is what is left on average of the service that a place is busy with. This is
    Sakasegawa's approximation (Ann. Inst. Stat. Math. 29, 1977); it is exact for one place.
    """
    used = load / places
    if used >= 1.0:
        return ENDLESS_S
    return residual_s * float(used ** (sqrt(2.0 * (places + 1)) - 1.0)) / (places * (1.0 - used))


def servers_needed(
    work_per_s: float, running: float, slots: int, most_s: float, speed: Speed
) -> int:
    """Return the fewest servers at which requests wait `most_s` on average, for reading or a slot.

    For reading, all servers are taken for one queue, since requests go to the one that is free. A
    slot has to be free at the server that was chosen, so each has its own queue for these.
    """
    number = max(1, ceil(speed.prefill_s(work_per_s)))
    while _reading_wait_s(work_per_s, running, number, speed) > most_s:
        number += 1
    while wait_s(running / number, slots, speed.hold_s) > most_s:
        number += 1
    return number


def _reading_wait_s(work_per_s: float, running: float, number: int, speed: Speed) -> float:
    """Return the mean wait for reading at `number` servers that share what runs."""
    beside = running / number
    residual_s = speed.prefill_s(speed.residual_work, beside)
    return wait_s(speed.prefill_s(work_per_s, beside), number, residual_s)
