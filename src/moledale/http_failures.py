"""Exceptions that a call through the HTTP client library may raise if the remote side fails."""

from aiosonic import HttpResponse
from aiosonic.exceptions import AiosonicError

BODILESS_STATUSES = frozenset({204, 304})

# The library does not wrap errors of its parser: a truncated chunked body raises ValueError (for
# an empty chunk size), a short read EOFError.
CALL_FAILURES = (AiosonicError, OSError, EOFError, TimeoutError, ValueError)


class UnframedAnswer(ValueError):
    """An answer has neither a length nor chunks, so nothing shows whether it is complete.

    The library takes the body of such an answer for empty.
    """


def check_framing(response: HttpResponse) -> None:
    """Raise `UnframedAnswer` if a response has a body without a length or chunks."""
    framed = response.chunked or "content-length" in response.headers
    if not framed and response.status_code not in BODILESS_STATUSES:
        raise UnframedAnswer
