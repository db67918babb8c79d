"""Telling when the platform's store is lost and regained for a purpose: a line for each."""

from moledale.log import Event, emit


class StoreHealth:
    """Follows the calls of one purpose, so that an outage brings one line for each reason."""

    def __init__(self, purpose: str) -> None:
        self._purpose = purpose
        self._failures = 0
        self._logged_reasons: set[str] = set()

    def record_failure(self, why: str) -> None:
        """Note a call that brought nothing."""
        self._failures += 1
        if why not in self._logged_reasons:
            self._logged_reasons.add(why)
            emit(Event.PLATFORM_DOWN, part=self._purpose, why=why, failed=self._failures)

    def record_success(self) -> None:
        """Note a call that was answered."""
        if self._failures:
            emit(Event.PLATFORM_UP, part=self._purpose, failed=self._failures)
            self._failures = 0
            self._logged_reasons.clear()
