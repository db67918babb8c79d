"""Logging of outages of the platform's store."""

from moledale.log import Event, emit


class StoreHealth:
    """Logs when the store calls made for one purpose begin to fail and when they succeed again.

    Each distinct reason is logged once per outage.
    """

    def __init__(self, purpose: str) -> None:
        self._purpose = purpose
        self._failures = 0
        self._logged_reasons: set[str] = set()

    def record_failure(self, why: str) -> None:
        """Record a failed call."""
        self._failures += 1
        if why not in self._logged_reasons:
            self._logged_reasons.add(why)
            emit(Event.PLATFORM_DOWN, part=self._purpose, why=why, failed=self._failures)

    def record_success(self) -> None:
        """Record a successful call, which ends an outage."""
        if self._failures:
            emit(Event.PLATFORM_UP, part=self._purpose, failed=self._failures)
            self._failures = 0
            self._logged_reasons.clear()
