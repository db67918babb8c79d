"""Builds the input of the routing decision from requests and the bundle."""

from moledale.bundle.schema import Bundle
from moledale.core.routing import Need, RoutingParams
from moledale.node.streams import GenerationRequest, StreamRecord


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens by counting words; only the engines know the exact count."""
    return max(1, len(text.split()))


def context_tokens(record: StreamRecord) -> int:
    """Return the estimated tokens of the prompt plus the tokens generated so far."""
    return estimate_tokens(record.request.prompt) + len(record.tokens)


def routing_need(
    request: GenerationRequest,
    tokens: list[str],
    hall: str,
    excluded: frozenset[str] = frozenset(),
) -> Need:
    """Return the routing need of a request that has already generated `tokens`."""
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
    """Return the routing parameters of a bundle, or the defaults without one."""
    if bundle is None:
        return RoutingParams()
    return RoutingParams(set_aside=bundle.routing.set_aside)
