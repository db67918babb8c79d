"""Digest of a request's content, the same for each retry at any node."""

from moledale.core.fingerprint import digest_of
from moledale.gateway.messages import InboundRequest


def fingerprint(request: InboundRequest, account: str | None) -> bytes:
    """Return the digest of a request's account, method, host, target and body.

    Ids and deadlines are left out, as they are new with each retry, and so are other headers.
    """
    head = request.head
    name = (account or "").encode()
    return digest_of((name, head.method, head.get(b"host") or b"", head.target, request.body))
