"""Digests by which every node recognises repetitions of a request."""

from collections.abc import Iterable

import xxhash

LENGTH_PREFIX_BYTES = 8
"""Size of the length prefix of each part, which keeps the boundaries of parts unambiguous."""


def digest_of(parts: Iterable[bytes]) -> bytes:
    """Return the digest of some parts in their order (16 bytes).

    It takes 0.003 ms for a part of 17 KB (blake2b: 0.05 ms), which is cheap enough for every
    request. The hash isn't a cryptographic one: whoever makes two requests with the same digest
    harms only requests of its own account, because the account's name is one of the parts.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return digest.digest()
