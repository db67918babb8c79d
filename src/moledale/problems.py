"""Refusals towards callers: RFC 9457 problems that say whether the request ran."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

PROBLEM_MEDIA_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:moledale:problem:"


class Ran(StrEnum):
    """Whether a refused or failed request ran: `no` is a promise, `unknown` is not."""

    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """A refusal: `retry_after` is in seconds, None where coming back doesn't help."""

    kind: str
    status: int
    title: str
    detail: str
    ran: Ran
    retry_after: int | None = None

    def body(self, request_id: str | None = None) -> bytes:
        """Encode as an `application/problem+json` body."""
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
    """Make a 400 for a request that is malformed."""
    return Problem("bad-request", 400, "The request is malformed", detail, Ran.NO)


def unauthorized(detail: str) -> Problem:
    """Make a 401 for an unknown account key."""
    return Problem("unauthorized", 401, "The account key is not known", detail, Ran.NO)


def forbidden(detail: str) -> Problem:
    """Make a 403 for something that the caller may not do."""
    return Problem("forbidden", 403, "Not allowed", detail, Ran.NO)


def not_found(detail: str, ran: Ran = Ran.NO) -> Problem:
    """Make a 404 for an unknown model, service, stream or job."""
    return Problem("not-found", 404, "Not known here", detail, ran)


def conflict(detail: str) -> Problem:
    """Make a 409 for a request that another one has overtaken."""
    return Problem("conflict", 409, "Overtaken by another request", detail, Ran.NO)


def too_large(detail: str) -> Problem:
    """Make a 413 for a body over the limit."""
    return Problem("too-large", 413, "The body is too large", detail, Ran.NO)


def key_reused(detail: str) -> Problem:
    """Make a 422 for an idempotency key that came with another body before."""
    return Problem("key-reused", 422, "The idempotency key was used before", detail, Ran.NO)


def limited(detail: str, retry_after: int) -> Problem:
    """Make a 429 for an account over its limit."""
    return Problem("limited", 429, "Over the account's limit", detail, Ran.NO, retry_after)


def overloaded(detail: str, retry_after: int) -> Problem:
    """Make a 503 for work that has no room or can't make its deadline."""
    return Problem("overloaded", 503, "No room for this request", detail, Ran.NO, retry_after)


def unavailable(detail: str, retry_after: int) -> Problem:
    """Make a 503 for a node or platform that can't take the request now."""
    return Problem("unavailable", 503, "Not available now", detail, Ran.NO, retry_after)


def failed(detail: str) -> Problem:
    """Make a 502 for a request whose servers failed; it may have run in part."""
    return Problem("failed", 502, "Backend servers failed", detail, Ran.UNKNOWN, 1)


def outcome_unknown(detail: str) -> Problem:
    """Make a 502 for a not-repeatable call that may have run and won't be sent again."""
    return Problem("outcome-unknown", 502, "The outcome is not known", detail, Ran.UNKNOWN)


def undecided(detail: str, retry_after: int) -> Problem:
    """Make a 503 for a keyed call that did nothing here, but whose key may have run elsewhere."""
    return Problem(
        "undecided",
        503,
        "It can't be told yet whether this key has run",
        f"{detail}; sending it again with the same key is safe",
        Ran.UNKNOWN,
        retry_after,
    )


def deadline_passed(detail: str, ran: Ran) -> Problem:
    """Make a 504 for a request whose deadline passed."""
    return Problem("deadline", 504, "The deadline has passed", detail, ran)
