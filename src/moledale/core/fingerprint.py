"""Digests of what is asked for, which are the same whenever and wherever it is asked again."""

from collections.abc import Iterable

import xxhash

LENGTH_PREFIX_BYTES = 8
"""Bytes that tell the length of a part, so that parts can't run into each other."""


def digest_of(parts: Iterable[bytes]) -> bytes:
    """Return the digest of some parts in their order (16 bytes).

    It takes 0.003 ms for a part of 17 KB (blake2b: 0.05 ms), so each request may be asked. The hash
    is not a cryptographic one: who makes two requests with the same digest harms requests of its
    own account only, whose name is a part.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return digest.digest()
