"""Calls to plain services, routed by service name and forwarded unchanged."""

import random
from collections.abc import Callable
from math import ceil

from result import Err, Result

from moledale import problems
from moledale.bundle.schema import Bundle, Service
from moledale.log import Event, emit
from moledale.problems import Problem
from moledale.servers.types import PlainServices, ServiceAnswer, ServiceCall

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class ServiceRouter:
    """Calls services at a random available address, and retries at others where that is safe."""

    def __init__(
        self,
        services: PlainServices,
        bundle: Callable[[], Bundle | None],
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self._services = services
        self._bundle = bundle
        self._rng = rng
        self._now = now
        self._retry_at: dict[str, float] = {}

    async def call(self, call: ServiceCall) -> Result[ServiceAnswer, Problem]:
        """Call a service; retry at another address if the call did not run or is repeatable."""
        bundle = self._bundle()
        service = bundle.service(call.service) if bundle is not None else None
        if service is None:
            return Err(problems.not_found(f"service {call.service!r}"))
        may_repeat = service.repeatable or call.method in SAFE_METHODS
        refusal = problems.unavailable(f"service {call.service!r} refuses connections", 2)
        available = self._available(service)
        if not available:
            return Err(self._all_back_off(service))
        for address in self._shuffled(available):
            outcome = await self._services.call(address, call, service.timeout_s)
            if not isinstance(outcome, Err):
                self._record_retry_after(address, outcome.ok_value.retry_after_s)
                return outcome
            failure = outcome.err_value
            if not failure.may_have_run:
                continue
            if not may_repeat:
                return Err(problems.outcome_unknown(f"the service failed: {failure.detail}"))
            refusal = problems.failed(f"the service failed: {failure.detail}")
        return Err(refusal)

    def _shuffled(self, addresses: list[str]) -> list[str]:
        return self._rng.sample(addresses, len(addresses))

    def _available(self, service: Service) -> list[str]:
        """Return the addresses that are not backing off."""
        now = self._now()
        self._retry_at = {name: at for name, at in self._retry_at.items() if at > now}
        return [address for address in service.addresses if address not in self._retry_at]

    def _record_retry_after(self, address: str, retry_after_s: float | None) -> None:
        if retry_after_s is not None:
            retry_at = self._now() + retry_after_s
            self._retry_at[address] = max(retry_at, self._retry_at.get(address, retry_at))
            emit(Event.SERVER_BACKOFF, server=address, retry_after_s=retry_after_s)

    def _all_back_off(self, service: Service) -> Problem:
        """Return a refusal whose retry time is when the first address becomes available."""
        first_retry_at = min(self._retry_at[address] for address in service.addresses)
        detail = f"all addresses of service {service.name!r} asked for a later retry"
        return problems.unavailable(detail, max(1, ceil(first_retry_at - self._now())))
