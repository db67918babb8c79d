"""Digests of a request's content and of parts of its prompt, the same at any node."""

from collections.abc import Iterable

from moledale.core.fingerprint import digest_of
from moledale.gateway.messages import InboundRequest, PromptPart


def fingerprint(request: InboundRequest, account: str | None) -> bytes:
    """Return the digest of a request's account, method, host, target and body.

    Ids and deadlines are left out, as they are new with each retry, and so are other headers.
    """
    head = request.head
    name = (account or "").encode()
    return digest_of((name, head.method, head.get(b"host") or b"", head.target, request.body))


PART_KIND = b"part of a prompt"
"""Distinguishes digests of parts from those of requests, as both lie in the same table."""


def part_digests(parts: Iterable[PromptPart]) -> tuple[bytes, ...]:
    """Return the digests of parts of a prompt, whichever accounts use them."""
    return tuple(digest_of((PART_KIND, part.id.encode())) for part in parts)
