"""Decides whether the holder of the duties reads the list of servers often.

Servers that are reclaimed say so in their answers, and nodes tell it to the holder in their next
gossip round. With many answers this is faster than any read. Where the holder hears of few, because
few requests come or nodes are cut off from it, only the list tells it in time.
"""

ANSWER_WAIT_S = 0.1
"""Time within which an answer of a leaving hall is expected: what is left of 0.5 s from the
announcement to the order beside a gossip round and a poll of the duties (0.2 s each)."""

MIN_ANSWERS = 5.0
"""Mean number of such answers that makes it certain enough: none comes with 0.7 %."""


def needs_list(requests_per_s: float, halls: int) -> bool:
    """Return whether answers may tell too late that a hall leaves.

    `requests_per_s` are those of this node and the nodes that it hears, of a service in so many
    halls.
    """
    return requests_per_s / max(1, halls) * ANSWER_WAIT_S < MIN_ANSWERS
