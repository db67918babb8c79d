"""Rendezvous hashing: the same order of candidates on every node, with no shared state."""

from collections.abc import Iterable

import xxhash


def weight(key: str, candidate: str) -> int:
    """Return the pseudo-random weight of a candidate for a key (64 bits)."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return candidates with the heaviest first; ties are broken by name."""
    return sorted(candidates, key=lambda name: (-weight(key, name), name))


def first(key: str, candidates: Iterable[str]) -> str | None:
    """Return the heaviest candidate, or None if there are none."""
    return min(candidates, key=lambda name: (-weight(key, name), name), default=None)
