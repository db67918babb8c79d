"""Which software versions may have begun a stream that its caller resumes now."""

from collections.abc import Callable, Iterable

from moledale.clock import monotonic

DEFAULT_LIFETIME_S = 30.0
"""Assumed longest time between the first event of a stream and its last resumption, without a
plan."""


class VersionHistory:
    """The versions that the servers of each service had lately, by the list of servers.

    `lifetime_s` returns for how long after its first event a stream may be resumed. A node that
    takes part in the first start of the system knows all versions from the beginning: `complete`
    is set. Any other one misses those that were gone before it got its first list.
    """

    def __init__(
        self,
        complete: bool = True,
        lifetime_s: Callable[[], float] = lambda: DEFAULT_LIFETIME_S,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._complete = complete
        self._lifetime_s = lifetime_s
        self._now = now
        self._listed: dict[str, frozenset[str]] = {}
        self._gone_at: dict[str, dict[str, float]] = {}
        self._listed_since: float | None = None

    def observe(self, listed: Iterable[tuple[str, str]]) -> set[str]:
        """Replace the listed versions, as pairs of a service and a version.

        Return the services that have got a version beside another one.
        """
        now = self._now()
        if self._listed_since is None:
            self._listed_since = now
        versions: dict[str, set[str]] = {}
        for service, version in listed:
            versions.setdefault(service, set()).add(version)
        changed = {name for name, each in versions.items() if each - self.listed(name)}
        for service in self._listed.keys() | versions.keys():
            self._replace(service, frozenset(versions.get(service, ())), now)
        return {name for name in changed if self.is_mixed(name)}

    def _replace(self, service: str, versions: frozenset[str], now: float) -> None:
        """Replace the listed versions of one service, and keep when others were listed last."""
        gone_at = self._gone_at.setdefault(service, {})
        gone_at.update(dict.fromkeys(self.listed(service) - versions, now))
        kept_s = self._lifetime_s()
        self._gone_at[service] = {
            version: at
            for version, at in gone_at.items()
            if version not in versions and now - at < kept_s
        }
        self._listed[service] = versions

    def interrupt(self) -> None:
        """Record that versions may have come and gone unnoticed, as this process stood still."""
        self._complete = False
        self._listed_since = None if self._listed_since is None else self._now()

    def services(self) -> list[str]:
        """Return the services that have or had servers."""
        return list(self._listed)

    def gone_s(self, service: str, version: str) -> float:
        """Return for how long a version has not been listed, or since the first list if never."""
        at = self._gone_at.get(service, {}).get(version, self._listed_since)
        return 0.0 if at is None else self._now() - at

    def listed(self, service: str) -> frozenset[str]:
        """Return the versions of the servers that are listed, those that leave included."""
        return self._listed.get(service, frozenset())

    def recent(self, service: str) -> frozenset[str]:
        """Return the versions that this node knows to have been listed within a stream's life."""
        now, kept_s = self._now(), self._lifetime_s()
        gone = self._gone_at.get(service, {})
        return self.listed(service) | {each for each, at in gone.items() if now - at < kept_s}

    def is_mixed(self, service: str) -> bool:
        """Return whether resumed streams of a service may have begun at several versions."""
        return len(self.recent(service)) > 1

    def sole_version(self, service: str) -> str | None:
        """Return the version that began any stream which is resumed now, None if it is not known.

        That takes a history as long as the life of a stream.
        """
        recent = self.recent(service)
        if len(recent) != 1 or not self.covers_lifetime():
            return None
        return next(iter(recent))

    def covers_lifetime(self) -> bool:
        """Return whether no version is missing that was listed within a stream's life."""
        if self._listed_since is None:
            return False
        return self._complete or self._now() - self._listed_since >= self._lifetime_s()
