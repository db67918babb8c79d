"""Exceptions that a call through the HTTP client library may raise if the remote side fails."""

from aiosonic.exceptions import AiosonicError

# The library does not wrap errors of its parser: a truncated chunked body raises ValueError (for
# an empty chunk size), a short read EOFError.
CALL_FAILURES = (AiosonicError, OSError, EOFError, TimeoutError, ValueError)
