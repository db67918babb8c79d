"""What a request needs of a server, as the routing decision takes it."""

from moledale.bundle.schema import Bundle
from moledale.core.routing import Need, RoutingParams
from moledale.node.streams import GenerationRequest, StreamRecord


def estimate_tokens(text: str) -> int:
    """Estimate the tokens of a prompt by its words; engines alone know the true count."""
    return max(1, len(text.split()))


def context_tokens(record: StreamRecord) -> int:
    """Return the length of the prompt and of what was generated so far."""
    return estimate_tokens(record.request.prompt) + len(record.tokens)


def routing_need(
    request: GenerationRequest,
    tokens: list[str],
    hall: str,
    excluded: frozenset[str] = frozenset(),
) -> Need:
    """Return the need of a request that has some tokens already."""
    return Need(
        request.model,
        estimate_tokens(request.prompt) + len(tokens),
        request.max_tokens - len(tokens),
        request.session,
        hall,
        request.priority,
        excluded,
    )


def routing_params(bundle: Bundle | None) -> RoutingParams:
    """Return the routing parameters that a bundle states."""
    if bundle is None:
        return RoutingParams()
    return RoutingParams(set_aside=bundle.routing.set_aside)
