"""What a request asks for, as a digest that is the same whenever and wherever it comes again."""

from moledale.core.fingerprint import digest_of
from moledale.gateway.messages import InboundRequest


def fingerprint(request: InboundRequest, account: str | None) -> bytes:
    """Return the digest of who asks for what.

    Ids and deadlines are left out, as they are new each time a caller asks again, and so are other
    headers.
    """
    head = request.head
    name = (account or "").encode()
    return digest_of((name, head.method, head.get(b"host") or b"", head.target, request.body))
