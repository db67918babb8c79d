"""Rendezvous hashing: the same order of candidates on every node, with no shared state."""

from collections.abc import Iterable
from functools import lru_cache
from heapq import nsmallest

import xxhash

RING_KEY = "ring"
RING_SIZE = 2**64
"""Places of the ring: those of a 64-bit hash."""

POSITION_CACHE_SIZE = 4096
"""Names whose places in the ring are kept: more than there are nodes."""


def weight(key: str, candidate: str) -> int:
    """Return the pseudo-random weight of a candidate for a key (64 bits)."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return candidates with the heaviest first; ties are broken by name."""
    return sorted(candidates, key=lambda name: (-weight(key, name), name))


def first_ranked(key: str, candidates: Iterable[str]) -> str | None:
    """Return the heaviest candidate, or None if there are none."""
    return min(candidates, key=lambda name: (-weight(key, name), name), default=None)


def ring_successors(own: str, candidates: Iterable[str], number: int) -> list[str]:
    """Return the candidates next after a name in a ring that is the same on every node."""
    place = _position(own)
    return nsmallest(number, candidates, key=lambda name: (_position(name) - place) % RING_SIZE)


@lru_cache(POSITION_CACHE_SIZE)
def _position(name: str) -> int:
    return weight(RING_KEY, name)
