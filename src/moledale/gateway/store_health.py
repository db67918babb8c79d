"""Telling when the platform's store is lost and regained for a purpose: a line for each."""

from moledale.log import Event, emit


class StoreHealth:
    """Follows the calls of one purpose, so that an outage brings one line for each reason."""

    def __init__(self, purpose: str) -> None:
        self._purpose = purpose
        self._failed = 0
        self._told: set[str] = set()

    def failed(self, why: str) -> None:
        """Note a call that brought nothing."""
        self._failed += 1
        if why not in self._told:
            self._told.add(why)
            emit(Event.PLATFORM_DOWN, part=self._purpose, why=why, failed=self._failed)

    def answered(self) -> None:
        """Note a call that was answered."""
        if self._failed:
            emit(Event.PLATFORM_UP, part=self._purpose, failed=self._failed)
            self._failed = 0
            self._told.clear()
