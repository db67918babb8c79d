"""Error responses to callers: RFC 9457 problems that state whether the request ran."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

PROBLEM_MEDIA_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:moledale:problem:"


class Ran(StrEnum):
    """Whether a failed request ran: `no` guarantees that it did not, `unknown` leaves it open."""

    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """An error response; `retry_after` is in seconds, None if a retry would not help."""

    kind: str
    status: int
    title: str
    detail: str
    ran: Ran
    retry_after: int | None = None

    def body(self, request_id: str | None = None) -> bytes:
        """Return the `application/problem+json` body."""
        fields: dict[str, object] = {
            "type": TYPE_PREFIX + self.kind,
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "ran": self.ran.value,
        }
        if self.retry_after is not None:
            fields["retry_after"] = self.retry_after
        if request_id is not None:
            fields["instance"] = request_id
        return msgspec.json.encode(fields)


def bad_request(detail: str) -> Problem:
    """Return a 400 for a malformed request."""
    return Problem("bad-request", 400, "The request is malformed", detail, Ran.NO)


def unauthorized(detail: str) -> Problem:
    """Return a 401 for an unknown account key."""
    return Problem("unauthorized", 401, "The account key is not known", detail, Ran.NO)


def forbidden(detail: str) -> Problem:
    """Return a 403 for an operation that the caller is not allowed to do."""
    return Problem("forbidden", 403, "Not allowed", detail, Ran.NO)


def not_found(detail: str, ran: Ran = Ran.NO) -> Problem:
    """Return a 404 for an unknown model, service, stream or job."""
    return Problem("not-found", 404, "Not known here", detail, ran)


def conflict(detail: str) -> Problem:
    """Return a 409 for a request that conflicts with another one that came first."""
    return Problem("conflict", 409, "Overtaken by another request", detail, Ran.NO)


def too_large(detail: str) -> Problem:
    """Return a 413 for a body over the size limit."""
    return Problem("too-large", 413, "The body is too large", detail, Ran.NO)


def key_reused(detail: str) -> Problem:
    """Return a 422 for an idempotency key that was used before with a different body."""
    return Problem("key-reused", 422, "The idempotency key was used before", detail, Ran.NO)


def limited(detail: str, retry_after: int) -> Problem:
    """Return a 429 for an account over its rate limit."""
    return Problem("limited", 429, "Over the account's limit", detail, Ran.NO, retry_after)


def overloaded(detail: str, retry_after: int) -> Problem:
    """Return a 503 for work that there is no capacity for, or that would miss its deadline."""
    return Problem("overloaded", 503, "No room for this request", detail, Ran.NO, retry_after)


def unavailable(detail: str, retry_after: int) -> Problem:
    """Return a 503 for a node or platform that can't accept the request now."""
    return Problem("unavailable", 503, "Not available now", detail, Ran.NO, retry_after)


def failed(detail: str) -> Problem:
    """Return a 502 for a request whose servers failed; it may have run partially."""
    return Problem("failed", 502, "Backend servers failed", detail, Ran.UNKNOWN, 1)


def outcome_unknown(detail: str) -> Problem:
    """Return a 502 for a non-repeatable call that may have run and is not retried."""
    return Problem("outcome-unknown", 502, "The outcome is not known", detail, Ran.UNKNOWN)


def undecided(detail: str, retry_after: int) -> Problem:
    """Return a 503 for a call that did not run here, but whose key may have run elsewhere."""
    return Problem(
        "undecided",
        503,
        "It can't be told yet whether this key has run",
        f"{detail}; sending it again with the same key is safe",
        Ran.UNKNOWN,
        retry_after,
    )


def deadline_passed(detail: str, ran: Ran) -> Problem:
    """Return a 504 for a request whose deadline passed."""
    return Problem("deadline", 504, "The deadline has passed", detail, ran)
