"""Builds HTTP responses from problems and JSON values."""

import msgspec
from starlette.responses import Response

from moledale.problems import PROBLEM_MEDIA_TYPE, Problem

JSON_MEDIA_TYPE = "application/json"


def problem_response(problem: Problem, request_id: str | None = None) -> Response:
    """Return a problem details response (RFC 9457).

    `Moledale-Ran` states whether the request may have run.
    """
    headers = {"Moledale-Ran": problem.ran.value}
    if problem.retry_after is not None:
        headers["Retry-After"] = str(problem.retry_after)
    return Response(
        problem.body(request_id), problem.status, headers, media_type=PROBLEM_MEDIA_TYPE
    )


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(value), status, headers, media_type=JSON_MEDIA_TYPE)
