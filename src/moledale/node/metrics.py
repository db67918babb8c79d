"""Counters and timers sent to statsd, and a no-op where none is set."""

from typing import Protocol

import statsd

from moledale.settings import MetricsSection


class Metrics(Protocol):
    """What tasks report."""

    def incr(self, name: str, count: int = 1) -> None:
        """Count something."""
        ...

    def timing(self, name: str, milliseconds: float) -> None:
        """Report a duration."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Report a level."""
        ...


class NoMetrics:
    """Sends nothing."""

    def incr(self, name: str, count: int = 1) -> None:
        """Count something."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Report a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Report a level."""


def make_metrics(section: MetricsSection) -> Metrics:
    """Make a statsd client, or a no-op without an address."""
    if section.statsd is None:
        return NoMetrics()
    host, port = section.statsd.rsplit(":", 1)
    client: Metrics = statsd.StatsClient(host.strip("[]"), int(port), prefix=section.prefix)
    return client
