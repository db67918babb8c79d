"""The interface to the wire format of requests and responses, which an adapter implements."""

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
        """Return the facts that the head of a request states; raise ValueError if it is invalid."""
        ...

    def attempt_head(self, head: RequestHead, facts: AttemptFacts, length: int) -> bytes:
        """Return the head of a request with a body of `length` bytes as it is sent to a server."""
        ...

    def relay_head(self, head: RequestHead, remaining_s: float, length: int) -> bytes:
        """Return the head of a caller's request as it is sent to a peer, with the time left."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return the facts that the head of a server's response states."""
        ...

    def answer_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of a server's response that are relayed to the caller."""
        ...

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of a response of the node's own."""
        ...
