"""How requests and answers are spelled; the spelling itself is an adapter's."""

from typing import Protocol

from moledale.gateway.messages import (
    AnswerFacts,
    AnswerHead,
    AttemptFacts,
    Headers,
    RequestFacts,
    RequestHead,
)


class Dialect(Protocol):
    """Reads and writes the headers of callers and servers."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return what a request says of itself; ValueError for what can't be read."""
        ...

    def attempt_head(self, head: RequestHead, facts: AttemptFacts, length: int) -> bytes:
        """Return the first lines of the request as a server gets them."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return what a server's answer says of itself."""
        ...

    def answer_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of an answer that the caller gets."""
        ...

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the system's own."""
        ...
