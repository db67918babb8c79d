"""Calls to plain services: routed by name, passed through unread."""

import random
from collections.abc import Callable

from result import Err, Result

from moledale import problems
from moledale.bundle.schema import Bundle, Service
from moledale.problems import Problem
from moledale.servers.types import PlainServices, ServiceAnswer, ServiceCall

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class ServiceRouter:
    """Picks an address of a service and calls it."""

    def __init__(
        self, services: PlainServices, bundle: Callable[[], Bundle | None], rng: random.Random
    ) -> None:
        self._services = services
        self._bundle = bundle
        self._rng = rng

    async def call(self, call: ServiceCall) -> Result[ServiceAnswer, Problem]:
        """Call a service; only what can't have run, or may run again, is tried elsewhere."""
        bundle = self._bundle()
        service = bundle.service(call.service) if bundle is not None else None
        if service is None:
            return Err(problems.not_found(f"service {call.service!r}"))
        may_repeat = service.repeatable or call.method in SAFE_METHODS
        refusal = problems.unavailable(f"service {call.service!r} refuses connections", 2)
        for address in self._order(service):
            outcome = await self._services.call(address, call, service.timeout_s)
            if not isinstance(outcome, Err):
                return outcome
            failure = outcome.err_value
            if not failure.may_have_run:
                continue
            if not may_repeat:
                return Err(problems.outcome_unknown(f"the service failed: {failure.detail}"))
            refusal = problems.failed(f"the service failed: {failure.detail}")
        return Err(refusal)

    def _order(self, service: Service) -> list[str]:
        return self._rng.sample(service.addresses, len(service.addresses))
