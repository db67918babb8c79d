"""Rendezvous hashing: every node orders candidates the same way, without shared state."""

from collections.abc import Iterable
from functools import lru_cache
from heapq import nsmallest

import xxhash

RING_KEY = "ring"
RING_SIZE = 2**64
"""Positions on the hash ring: the range of a 64-bit hash."""

POSITION_CACHE_SIZE = 4096
"""Names whose ring positions are cached: more than there are nodes."""


def weight(key: str, candidate: str) -> int:
    """Return the pseudo-random weight of a candidate for a key (64 bits)."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, the highest weight first; ties are broken by name."""
    return sorted(candidates, key=lambda name: (-weight(key, name), name))


def first_ranked(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest weight, or None if there are none."""
    return min(candidates, key=lambda name: (-weight(key, name), name), default=None)


def ring_successors(own: str, candidates: Iterable[str], count: int) -> list[str]:
    """Return the `count` candidates that come next after `own` on a ring of hashed names."""
    position = _position(own)
    return nsmallest(count, candidates, key=lambda name: (_position(name) - position) % RING_SIZE)


@lru_cache(POSITION_CACHE_SIZE)
def _position(name: str) -> int:
    return weight(RING_KEY, name)
