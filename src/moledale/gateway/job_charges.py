"""Charges of requests to the limits of their accounts: told to peers, or taken back."""

from collections.abc import Callable

from moledale.gateway.accounts import AccountLimits
from moledale.gateway.job import Job


class JobCharges:
    """Publishes and refunds the charges of requests, where `limits` may take them back."""

    def __init__(self, limits: AccountLimits, now: Callable[[], float]) -> None:
        self._limits = limits
        self._now = now

    def publish(self, job: Job) -> None:
        """Tell peers of a request's charge, since the request was accepted."""
        if job.charge is not None:
            self._limits.publish(job.charge, self._now())

    def refund(self, job: Job) -> None:
        """Take back the charge of a request that did not run and never will."""
        if job.charge is not None:
            self._limits.refund(job.charge, self._now())
